"""Starts routers with the deploy file's command, beside stand-ins.

The store and the servers are stand-ins on threads of this process. Each VM has
a loopback address of its own, so that ports are the same on all VMs.
"""

import collections
import contextlib
import http.client
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

import msgspec

from standins import appserver, httpd, rowstore

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds of the small deployments on the users' pages.
HEARTBEAT_S = 0.87
CONTACT_S = 3.0
DRAIN_S = 2.0
_GRACE_S = 6
_MAX_HOLD_MS = 10_000
_EXTRA_RERUNS = 62
_OUTBOUND_PORT = 8304
_READY_PORT = 8302
_CONTROL_PORT = 8306
_SERVER_PORT = 8301
_PEER_PORT = 7620
_STORE_PORT = 8309
_METRICS_PORT = 9464
_READY_TIMEOUT_S = 40.0
_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_000_000,
    "header_timeout_ms": 2000,
    "idle_timeout_ms": 15_000,
}
_PLACEHOLDER = re.compile(r"\{\{([a-z_0-9.]+)(\|json)?\}\}")
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, case_file):
        self._started_at = time.monotonic()
        path = pathlib.Path(case_file).with_name("record.txt")
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()

    def add(self, text, is_shown=False):
        """Writes a line, and prints it if it `is_shown`."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()
        if is_shown:
            print(line, flush=True)


class Server(appserver.AppServer):
    """A server that beats as often as the settings say."""

    def _send_heartbeats(self):
        while not self._stopping.is_set():
            self.send_heartbeat()
            self._stopping.wait(HEARTBEAT_S)

    def _run(self, request):
        # The answer is small, whatever the size of the request.
        return super()._run(msgspec.structs.replace(request, body=b""))

    @property
    def born_ms(self):
        """Unix time of its start, milliseconds."""
        return self._started_at_ms

    def next_heartbeat(self):
        """Returns path and body of its next heartbeat, without sending it."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": "north",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self._sequence,
            "born": self.born_ms,
        }
        return f"/-/instances/{self.instance}/heartbeat", json.dumps(body)


class VM:
    """A machine with one server and one router."""

    def __init__(self, cluster, index, service, keyed):
        self._cluster = cluster
        self.index = index
        self.service = service
        self.keyed = keyed
        self.ip = cluster.ip(index)
        self.name = f"vm-{index}"
        self.zone = f"zone-{index}"
        self.process = None
        self.server = None
        self.started_at = 0.0
        self._incarnations = itertools.count(1)

    @property
    def caller_address(self):
        """Where the router listens for clients."""
        return f"{self.ip}:{_OUTBOUND_PORT}"

    @property
    def control_address(self):
        """Where the router listens for the server beside it."""
        return f"{self.ip}:{_CONTROL_PORT}"

    def start_server(self, **attributes):
        """Starts the next incarnation of the server."""
        self.server = Server(
            f"{self.name}-{next(self._incarnations)}",
            self.service,
            f"{self.ip}:{_SERVER_PORT}",
            self.control_address,
            self.keyed,
        )
        for name, value in attributes.items():
            setattr(self.server, name, value)
        self.server.start()
        self._cluster.record.add(f"server {self.server.instance} starts")
        return self.server

    def _settings(self):
        """Returns the fields of the platform's settings file."""
        return {
            "node": self.name,
            "service": self.service,
            "zone": self.zone,
            "ip": self.ip,
            "app_addr": f"{self.ip}:{_SERVER_PORT}",
            "grants": "call",
            "heartbeat_ms": round(HEARTBEAT_S * 1000),
            "limits.memory_mb": 300,
            "limits.link_mbps": 1000.0,
            "listen.outbound": self.caller_address,
            "listen.ready": f"{self.ip}:{_READY_PORT}",
            "listen.control": self.control_address,
            "port_range.0": _PEER_PORT,
            "bounds.max_hold_ms": _MAX_HOLD_MS,
            "bounds.grace_s": _GRACE_S,
            "bounds.retry_budget_extra": _EXTRA_RERUNS,
            "platform.address": self._cluster.store_address,
        }

    def start_router(self):
        """Renders the settings template, and starts the router."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["router"]
        fields = self._settings()
        text = _PLACEHOLDER.sub(
            lambda match: str(fields.get(match[1], "")),
            (ROOT / role["template"]).read_text(),
        )
        settings = self._cluster.folder / f"{self.name}.ini"
        settings.write_text(text)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["TAMARACKGAP_NODE_FILE"] = str(settings)
        log = self._cluster.folder / f"{self.name}.log"
        with log.open("ab") as file:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=file,
                stderr=subprocess.STDOUT,
            )
        self.started_at = time.monotonic()
        self._cluster.record.add(f"router {self.name} starts")

    def kill_router(self):
        """Kills the router, and waits for its end."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self._cluster.record.add(f"router {self.name} is killed")

    def is_ready(self):
        """Returns whether the readiness check succeeds."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            address = f"{self.ip}:{_READY_PORT}"
            return exchange(address, "GET", "/-/readiness")[0] == 200
        return False

    def log_lines(self, event):
        """Returns the router's log lines for an event."""
        log = self._cluster.folder / f"{self.name}.log"
        return [
            line
            for line in log.read_text().splitlines()
            if f"event={event} " in line
        ]


class Cluster:
    """A store, and VMs that share it."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._block = _find_free_block()
        self.vms = []
        self.store = rowstore.RowStore()
        self.store_address = f"{self.ip(250)}:{_STORE_PORT}"
        self._server = httpd.serve(
            self.store_address, self.store.handle_request
        )
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self._request_numbers = itertools.count(1)
        self._lock = threading.Lock()
        self.arrivals = collections.defaultdict(list)

    def ip(self, index):
        """Returns the loopback address of a machine."""
        return f"{self._block}.{index}"

    def add(self, service, keyed=False):
        """Adds a machine, without starting anything."""
        vm = VM(self, len(self.vms) + 1, service, keyed)
        self.vms.append(vm)
        return vm

    def configure(self, version, *resources, **limits):
        """Writes a configuration, as the operator does.

        Args:
            version: Its version.
            *resources: Routes and services.
            **limits: Limits that are not as usual.
        """
        limits = {
            "type": "limits",
            "metadata": {},
            "spec": {**_LIMITS, **limits},
        }
        body = {
            "version": f"{version:08x}",
            "resources": [*resources, limits],
        }
        self.store.put("op", "config", json.dumps(body).encode("utf-8"))
        self.record.add(f"configuration {version} acknowledged")

    def note_run(self, server, request_id, shard_key):
        """Records that a server begins to run a request."""
        now = time.monotonic()
        self.arrivals[request_id].append((now, server))
        self.record.add(
            f"server {server.instance} runs {request_id} key {shard_key}"
        )

    def start(self, machines=None, **attributes):
        """Starts servers and routers, and waits until all are ready.

        Args:
            machines: Their machines; all if None.
            **attributes: Further attributes of the servers.
        """
        machines = self.vms if machines is None else machines
        for vm in machines:
            vm.start_server(on_run_started=self.note_run, **attributes)
            vm.start_router()
        if not wait_until(
            _READY_TIMEOUT_S, lambda: all(vm.is_ready() for vm in machines)
        ):
            raise CouldNotRunError("the routers do not get ready")

    def call(
        self,
        vm,
        host,
        path,
        key=None,
        method="GET",
        timeout_ms=2000,
        body=None,
    ):
        """Sends a client's request; returns its id and status, 0 for none."""
        with self._lock:
            request_id = f"{next(self._request_numbers):016x}"
        headers = {
            "Host": host,
            "X-Tamarackgap-Attempt-Id": request_id,
            "X-Tamarackgap-Timeout-Ms": str(timeout_ms),
        }
        if key is not None:
            headers["X-Tamarackgap-Shard-Key"] = str(key)
        self.record.add(f"client sends {request_id} {path} to {vm.name}")
        try:
            status = exchange(
                vm.caller_address,
                method,
                path,
                headers,
                body,
                # The answer at the deadline is on its way for a moment.
                timeout=timeout_ms / 1000 + 0.25,
            )[0]
        except (OSError, http.client.HTTPException) as error:
            self.record.add(f"client gets none for {request_id}: {error!r}")
            return request_id, 0
        self.record.add(f"client gets {status} for {request_id}")
        return request_id, status

    def stop(self):
        """Ends all that was started."""
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.kill_router()
            if vm.server is not None and not vm.server.is_stopped:
                vm.server.stop()
        self._server.shutdown()
        self._server.server_close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, service, idempotent=True, **spec):
    """Returns a route of the operator's configuration."""
    return {
        "type": "routes",
        "metadata": {"name": name},
        "spec": {
            "host": host,
            "path_prefix": prefix,
            "kind": "idempotent" if idempotent else "non_idempotent",
            "timeout_ms": 2000,
            "target_latency_ms": 300,
            "priority": 1,
            "max_attempts": 2,
            "service": service,
            **spec,
        },
    }


def service(name, keyed=False):
    """Returns a service of the operator's configuration."""
    return {
        "type": "services",
        "metadata": {"name": name},
        "spec": {
            "health_path": "/health",
            "max_connections": 130,
            "sharded": keyed,
        },
    }


def exchange(address, method, path, headers=None, body=None, timeout=5):
    """Sends an HTTP request; returns status, headers and body."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_until(seconds, condition):
    """Polls a condition; returns whether it held within `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return False


def _find_free_block():
    """Returns the first three numbers of loopback addresses not in use."""
    for _ in range(100):
        block = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((f"{block}.250", _STORE_PORT))
            return block
    raise CouldNotRunError("no free loopback addresses")


def _end_by_signal(number, frame):
    del number, frame
    raise CouldNotRunError("ended by a signal")


def run(case_file, play):
    """Plays a case, and exits with its result.

    Args:
        case_file: The case's file; the record is written beside it.
        play: Plays the case with a cluster and a record; returns what was
            broken, "" for nothing.
    """
    signal.signal(signal.SIGTERM, _end_by_signal)
    signal.signal(signal.SIGINT, _end_by_signal)
    record = Record(case_file)
    cluster = None
    status = 2
    try:
        cluster = Cluster(record)
        broken = play(cluster, record)
        status = 1 if broken else 0
        record.add(f"broken: {broken}" if broken else "held", True)
    except CouldNotRunError as error:
        record.add(f"could not run: {error}", True)
    except Exception:
        # Without it an error of the case would end as a broken rule does.
        record.add(f"could not run: {traceback.format_exc()}", True)
    try:
        if cluster is not None:
            cluster.stop()
    except Exception:
        record.add(f"could not stop: {traceback.format_exc()}", True)
        status = 2
    sys.stdout.flush()
    # Threads of the case may still wait for answers.
    os._exit(status)
