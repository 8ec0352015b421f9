"""Runs routers as real processes, with stand-ins for the users' platform.

The store and the servers are stand-ins that run on threads of this process.
"""

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
# While slots move or epochs change, the store is written more often than this.
STORE_IDLE_S = 2.0
LIMITS = {
    "max_header_bytes": 4096,
    "max_body_bytes": 100_000,
    "header_timeout_ms": 500,
    "idle_timeout_ms": 5000,
}


def route(name, host, prefix, service, idempotent=True, **spec):
    """Returns a route resource of the operators' configuration."""
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


def service(name, keyed=False, **spec):
    """Returns a service resource of the operators' configuration."""
    return {
        "type": "services",
        "metadata": {"name": name},
        "spec": {
            "health_path": "/health",
            "max_connections": 60,
            "sharded": keyed,
            **spec,
        },
    }


def configuration(version, *resources):
    """Returns a complete configuration, encoded as JSON."""
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
# The same, with servers that take their keys with heartbeats.
HEARTBEAT_RESOURCES = (
    *DEFAULT_RESOURCES[:-1],
    service("money", keyed=True, grants="heartbeat"),
)


class VM:
    """A server and its local daemon.

    Attributes:
        cluster: The cluster that the VM is part of.
        name: Name of the VM, its daemon and its data centre.
        service: Service of the server.
        keyed: Whether the service is keyed.
        caller_address: Where the daemon listens for callers.
        peer_address: Where the daemon listens for other daemons.
        announce_address: Where the daemon listens for the server.
        ready_address: Where the daemon answers readiness checks.
        metrics_address: Where the daemon serves its metrics and pages.
        server_address: Where the server listens.
        store_address: Address of the store in the daemon's settings; change
            it before `start` to put a proxy in between.
        target_address: Address of the server in the daemon's settings; may be
            changed likewise.
        heartbeat_address: Address to which the server announces itself; may be
            changed likewise.
        server_incarnation: Number of server ids used so far.
        server: The current server, None before the first start.
        process: The daemon's process, None before the first start.
        log: File for the daemon's log.
        memory_mb: Memory that the daemon may use, megabytes; 0 leaves its
            default.
    """

    def __init__(self, cluster, name, service_name, keyed):
        self.cluster = cluster
        self.name = name
        self.service = service_name
        self.keyed = keyed
        base = ports.find_free_ports(PORTS_PER_VM, cluster.next_port())
        cluster.reserve_ports_below(base + PORTS_PER_VM)
        addresses = [
            f"127.0.0.1:{base + index}" for index in range(PORTS_PER_VM)
        ]
        (
            self.caller_address,
            self.peer_address,
            self.announce_address,
            self.ready_address,
        ) = addresses[:4]
        self.server_address, self.metrics_address = addresses[4:]
        self.store_address = cluster.store_address
        self.target_address = self.server_address
        self.heartbeat_address = self.announce_address
        self.server_incarnation = 0
        self.server = None
        self.process = None
        self.log = cluster.folder / f"{name}.log"
        self.memory_mb = 0

    def create_server(self, same_id=False):
        """Creates the next incarnation of the server, without starting it.

        Args:
            same_id: Whether it has the id of the one before it.
        """
        self.server_incarnation += not same_id
        self.server = appserver.AppServer(
            f"{self.name}-{self.server_incarnation}",
            self.service,
            self.server_address,
            self.heartbeat_address,
            self.keyed,
            grants=self.cluster.grants,
        )

    def start_server(self):
        """Starts the next incarnation of the server."""
        self.create_server()
        self.server.start()

    def start(self):
        """Writes the daemon's settings, and starts it."""
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
memory = {self.memory_mb}
[router]
announce_address = {self.announce_address}
ready_address = {self.ready_address}
metrics_address = {self.metrics_address}
target_address = {self.target_address}
announce_interval = 200
grants = {self.cluster.grants}
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
        """Kills the daemon with SIGKILL, and waits for its end."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        """Returns whether the daemon's readiness check succeeds."""
        with contextlib.suppress(OSError):
            return (
                send_request(self.ready_address, "GET", "/-/readiness")[0]
                == 200
            )
        return False

    def log_lines(self, event):
        """Returns the daemon's log lines for an event."""
        text = self.log.read_text()
        return [line for line in text.splitlines() if f"event={event} " in line]


class PlatformCluster:
    """A store and VMs that share it.

    Attributes:
        folder: Folder for settings and logs.
        store: The store.
        store_address: Where the store listens.
        vms: The VMs.
        grants: How servers take their keys: by `call`, or with the answers to
            their `heartbeat`.
    """

    def __init__(self, folder, vms, grants="call"):
        """Starts the store only.

        Args:
            folder: Folder for settings and logs.
            vms: Name, service and whether that is keyed, for each VM.
            grants: How servers take their keys.
        """
        self.folder = folder
        self.grants = grants
        self._next_port = 25_000
        self.store = rowstore.RowStore()
        port = ports.find_free_ports(1, self.next_port())
        self.reserve_ports_below(port + 1)
        self.store_address = f"127.0.0.1:{port}"
        self._server = httpd.serve(
            self.store_address, self.store.handle_request
        )
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self.vms = [VM(self, *vm) for vm in vms]

    def serves_all_routes(self):
        """Returns whether all daemons are ready and serve all services."""
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
        """Returns whether no transaction is committed for `STORE_IDLE_S`."""
        count = self.store.committed_transactions
        time.sleep(STORE_IDLE_S)
        return self.store.committed_transactions == count

    def next_port(self):
        """Returns the first port that is not reserved."""
        return self._next_port

    def reserve_ports_below(self, port):
        """Reserves all ports below `port`."""
        self._next_port = port

    def write_configuration(self):
        """Writes the first version of the configuration."""
        resources = (
            HEARTBEAT_RESOURCES
            if self.grants == "heartbeat"
            else DEFAULT_RESOURCES
        )
        self.store.put("op", "config", configuration(1, *resources))

    def start(self):
        """Writes the configuration, and starts all servers and daemons."""
        self.write_configuration()
        for vm in self.vms:
            vm.start_server()
            vm.start()

    def stop(self):
        """Stops all daemons, the servers and the store."""
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.kill()
            if vm.server is not None:
                vm.server.stop()
        self._server.shutdown()
        self._server.server_close()


@contextlib.contextmanager
def run_cluster(folder, vms, ready_s, grants="call"):
    """Runs a cluster for the duration of a `with` block.

    Args:
        folder: Folder for settings and logs.
        vms: Name, service and whether that is keyed, for each VM.
        ready_s: Time until all services must be served, seconds.
        grants: How servers take their keys.

    Yields:
        The cluster, once it serves all services.

    Raises:
        TimeoutError: If that takes longer than `ready_s`.
    """
    cluster = PlatformCluster(folder, vms, grants)
    cluster.start()
    try:
        if not wait_until(ready_s, cluster.serves_all_routes):
            raise TimeoutError("the cluster does not serve all routes")
        yield cluster
    finally:
        cluster.stop()


def send_request(address, method, path, headers=None, body=None, timeout=5):
    """Sends an HTTP request; returns status, headers and body."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


_ids = itertools.count(1)


def send_caller_request(
    vm, host, path, key=None, method="GET", body=None, timeout_ms=1500
):
    """Sends a caller's request to a VM's daemon.

    Returns:
        Status, headers and body of the response, and the request's id.
    """
    request_id = f"r{next(_ids):06d}"
    headers = {
        "Host": host,
        "X-Tamarackgap-Attempt-Id": request_id,
        "X-Tamarackgap-Timeout-Ms": str(timeout_ms),
    }
    if key is not None:
        headers["X-Tamarackgap-Shard-Key"] = str(key)
    return (
        *send_request(vm.caller_address, method, path, headers, body),
        request_id,
    )


def wait_until(seconds, condition):
    """Polls a condition; returns whether it held within `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.02)
    return False
