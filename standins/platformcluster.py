"""Router daemons beside stand-ins of the users' platform, as real processes."""

import contextlib
import http.client
import itertools
import json
import os
import signal
import subprocess
import sys
import threading
import time

from standins import appserver, httpd, ports, rowstore

PORTS_PER_VM = 6
# Moves and new epochs follow each other faster than this.
STORE_IDLE_S = 2.0
LIMITS = {
    "max_header_bytes": 4096,
    "max_body_bytes": 100_000,
    "header_timeout_ms": 500,
    "idle_timeout_ms": 5000,
}


def route(name, host, prefix, service, idempotent=True, **spec):
    """Returns a route as the operator writes it."""
    return {
        "type": "routes",
        "metadata": {"name": name},
        "spec": {
            "host": host,
            "path_prefix": prefix,
            "kind": "idempotent" if idempotent else "non_idempotent",
            "timeout_ms": 2000,
            "target_latency_ms": 400,
            "priority": 1,
            "max_attempts": 2,
            "service": service,
            **spec,
        },
    }


def service(name, keyed=False):
    """Returns a service as the operator writes it."""
    return {
        "type": "services",
        "metadata": {"name": name},
        "spec": {
            "health_path": "/health",
            "max_connections": 60,
            "sharded": keyed,
        },
    }


def configuration(version, *resources):
    """Returns the bytes of a whole configuration."""
    limits = {"type": "limits", "metadata": {}, "spec": LIMITS}
    return json.dumps(
        {"version": f"{version:08x}", "resources": [*resources, limits]}
    ).encode("utf-8")


DEFAULT_RESOURCES = (
    route("browse", "seats.example", "/browse/", "seats"),
    route("book", "seats.example", "/book/", "seats", idempotent=False),
    route("pay", "money.example", "/", "money", idempotent=False),
    service("seats"),
    service("money", keyed=True),
)


class VM:
    """One VM: a server and the daemon beside it."""

    def __init__(self, cluster, name, service_name, keyed):
        self.cluster = cluster
        self.name = name
        self.service = service_name
        self.keyed = keyed
        base = ports.free_ports(PORTS_PER_VM, cluster.next_port())
        cluster.reserve_ports_below(base + PORTS_PER_VM)
        own = [f"127.0.0.1:{base + index}" for index in range(PORTS_PER_VM)]
        (
            self.caller_address,
            self.peer_address,
            self.announce_address,
            self.ready_address,
        ) = own[:4]
        self.server_address, self.metrics_address = own[4:]
        # Where the daemon finds the store and its target.
        self.store_address = cluster.store_address
        self.target_address = self.server_address
        self.server_incarnation = 0
        self.server = None
        self.process = None
        self.log = cluster.folder / f"{name}.log"

    def start_server(self):
        """Starts the next life of the server."""
        self.server_incarnation += 1
        self.server = appserver.AppServer(
            f"{self.name}-{self.server_incarnation}",
            self.service,
            self.server_address,
            self.announce_address,
            self.keyed,
        )
        self.server.start()

    def start(self):
        """Starts the daemon."""
        settings = self.cluster.folder / f"{self.name}.ini"
        settings.write_text(
            f"""[daemon]
deployment = test
name = {self.name}
service = {self.service}
data_centre = {self.name}
http_address = {self.caller_address}
peer_address = {self.peer_address}
log = stdout
[router]
announce_address = {self.announce_address}
ready_address = {self.ready_address}
metrics_address = {self.metrics_address}
target_address = {self.target_address}
announce_interval = 200
[table]
address = {self.store_address}
[ownership]
lease = 1000
settle = 500
slots = 32
"""
        )
        environment = {**os.environ, "TAMARACKGAP_NODE_FILE": str(settings)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "tamarackgap.platform"],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self):
        """Ends the daemon with SIGKILL."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        """Returns whether the daemon says that it is ready."""
        with contextlib.suppress(OSError):
            return (
                send_request(self.ready_address, "GET", "/-/readiness")[0]
                == 200
            )
        return False

    def log_lines(self, event):
        """Returns the daemon's log lines of one event."""
        text = self.log.read_text()
        return [line for line in text.splitlines() if f"event={event} " in line]


class PlatformCluster:
    """A store and some vms."""

    def __init__(self, folder, vms):
        self.folder = folder
        self._port = 25_000
        self.store = rowstore.RowStore()
        port = ports.free_ports(1, self.next_port())
        self.reserve_ports_below(port + 1)
        self.store_address = f"127.0.0.1:{port}"
        self._server = httpd.serve(
            self.store_address, self.store.handle_request
        )
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self.vms = [VM(self, *vm) for vm in vms]

    def serves_all_routes(self):
        """Returns whether all daemons are ready and serve everything."""
        if not all(vm.is_ready() for vm in self.vms):
            return False
        return all(
            send_caller_request(vm, "money.example", "/pay", key=key)[0] == 200
            for vm in self.vms
            for key in (0, 20_000, 40_000, 65_535)
        ) and all(
            send_caller_request(vm, "seats.example", "/browse/x")[0] == 200
            for vm in self.vms
        )

    def is_store_idle(self):
        """Returns whether nothing has been written for a while."""
        count = self.store.committed_transactions
        time.sleep(STORE_IDLE_S)
        return self.store.committed_transactions == count

    def next_port(self):
        """Returns the first port that may be free."""
        return self._port

    def reserve_ports_below(self, port):
        """Notes that all ports below one are taken."""
        self._port = port

    def start(self):
        """Starts all servers and daemons."""
        self.store.put("op", "config", configuration(1, *DEFAULT_RESOURCES))
        for vm in self.vms:
            vm.start_server()
            vm.start()

    def stop(self):
        """Ends everything that was started here."""
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.kill()
            if vm.server is not None:
                vm.server.stop()
        self._server.shutdown()
        self._server.server_close()


@contextlib.contextmanager
def run_cluster(folder, vms, ready_s):
    """Runs a cluster; raises TimeoutError if it does not work in time."""
    found = PlatformCluster(folder, vms)
    found.start()
    try:
        if not wait_until(ready_s, found.serves_all_routes):
            raise TimeoutError("the cluster does not serve everything")
        yield found
    finally:
        found.stop()


def send_request(address, method, path, headers=None, body=None, timeout=5):
    """Returns status, headers and body of a request."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


_ids = itertools.count(1)


def send_caller_request(
    vm, host, path, key=None, method="GET", body=None, timeout_ms=1500
):
    """Returns status, headers, body and id of a client's request."""
    request = f"r{next(_ids):06d}"
    headers = {
        "Host": host,
        "X-Tamarackgap-Attempt-Id": request,
        "X-Tamarackgap-Timeout-Ms": str(timeout_ms),
    }
    if key is not None:
        headers["X-Tamarackgap-Shard-Key"] = str(key)
    return (
        *send_request(vm.caller_address, method, path, headers, body),
        request,
    )


def wait_until(seconds, condition):
    """Returns whether a condition came to hold in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return False
