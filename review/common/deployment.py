"""A small deployment on loopback addresses: daemons, store, servers, clients.

The daemons are the project's own program, started with the command and the
settings template of the deploy file. The store is the project's stand-in; the
servers and clients are written here after the users' pages.
"""

import contextlib
import http.client
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

from standins import httpd, ports, rowstore

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 0.87
DRAIN_S = 2.0
CONTACT_S = 3.0
CONFIG_S = 2.0
GRACE_S = 6.0
_BOUNDS = {
    "max_hold_ms": 10_000,
    "grace_s": GRACE_S,
    "retry_budget_extra": 62,
    # Not set on this site.
    "cold_overage": "",
    "cold_slack": "",
}
# Of a machine of the site.
_MEMORY_MB = 300
_LINK_MBPS = 1000.0
_HEARTBEAT_TIMEOUT_S = 1.0
_READY_S = 20.0
_STOP_POLL_S = 0.01
_PORTS_PER_MACHINE = 6
_FIRST_PORT = 26_000
_LIMITS = {
    "max_header_bytes": 8192,
    "max_body_bytes": 100_000,
    "header_timeout_ms": 2000,
    "idle_timeout_ms": 15_000,
}


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        """Creates an empty record at `path`."""
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started_at = time.monotonic()

    def write(self, event, **fields):
        """Writes one line, and returns its time in seconds."""
        now = time.monotonic() - self.started_at
        pairs = " ".join(f"{key}={value}" for key, value in fields.items())
        with self._lock:
            self._file.write(f"{now:9.3f} {event} {pairs}\n")
            self._file.flush()
        return now


def route(name, prefix, service, idempotent, timeout_ms, objective_ms):
    """Returns a route of the operators' configuration."""
    return {
        "type": "routes",
        "metadata": {"name": name},
        "spec": {
            "host": "hall.example",
            "path_prefix": prefix,
            "kind": "idempotent" if idempotent else "non_idempotent",
            "timeout_ms": timeout_ms,
            "target_latency_ms": objective_ms,
            "priority": 1,
            "max_attempts": 2,
            "service": service,
        },
    }


def service(name, sharded=False):
    """Returns a service of the operators' configuration."""
    return {
        "type": "services",
        "metadata": {"name": name},
        "spec": {
            "health_path": "/health",
            "max_connections": 130,
            "sharded": sharded,
        },
    }


def configuration(version, resources, limits):
    """Returns a configuration, encoded as the store keeps it."""
    entry = {"type": "limits", "metadata": {}, "spec": limits}
    return json.dumps(
        {"version": f"{version:08x}", "resources": [*resources, entry]}
    ).encode("utf-8")


class Server:
    """One life of an application server, which takes no keys.

    It runs a request for as long as `work_s` says, echoes its id, and signs
    its answers. It rejects requests for another instance, and those beyond its
    slots.

    Attributes:
        instance: Its id.
        running: Ids of the requests at which it is at work.
        begun: Ids of all requests that it has begun to run.
        heartbeat_addresses: Where the next heartbeats are sent, one address
            each; those after them go to the daemon.
        on_arrival: Called with this server, the request's id and path before
            each run; returns False if the server crashes on it.
    """

    def __init__(self, record, machine, number, work_s):
        """Creates a server that has not started.

        Args:
            record: Gets a line for each run, heartbeat and end.
            machine: The machine beside whose daemon it runs.
            number: Number of this life at the machine.
            work_s: Returns the duration of a request with a path, seconds.
        """
        self.instance = f"i-{machine.name}-{number}"
        self.slots = 12
        self.state = "ready"
        self.running = set()
        self.begun = set()
        self.heartbeat_addresses = []
        self.on_arrival = lambda server, request_id, path: True
        self._record = record
        self._machine = machine
        self._work_s = work_s
        self._born = int(time.time() * 1000)
        self._sequence = itertools.count(1)
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._silent = threading.Event()
        self._http = httpd.serve(machine.server_address, self.answer)

    def start(self):
        """Starts to serve and to send heartbeats."""
        for run in (
            lambda: self._http.serve_forever(_STOP_POLL_S),
            self._send_heartbeats,
        ):
            threading.Thread(target=run, daemon=True).start()

    def stop(self):
        """Ends the server at once, and cuts its connections."""
        if self._stopped.is_set():
            return
        self._stopped.set()
        self._record.write(
            "server_ends", instance=self.instance, at_work=len(self.running)
        )
        self._http.stop()

    def replace_listener(self, create):
        """Serves with the listener that `create` returns."""
        self._http.stop()
        self._http = listener = create()
        threading.Thread(
            target=listener.serve_forever, args=(_STOP_POLL_S,), daemon=True
        ).start()

    def stop_heartbeats(self):
        """Sends no further heartbeat."""
        self._silent.set()

    def send_heartbeat(self):
        """Sends a heartbeat; returns whether it was acknowledged in time."""
        body = {
            "service": self._machine.service,
            "address": self._machine.server_address,
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": next(self._sequence),
            "born": self._born,
        }
        address = self._machine.control_address
        if self.heartbeat_addresses:
            address = self.heartbeat_addresses.pop(0)
        return self._announce("heartbeat", body, address)

    def deregister(self):
        """Says that it leaves; returns whether that was acknowledged."""
        return self._announce(
            "deregister", {"born": self._born}, self._machine.control_address
        )

    def _announce(self, action, body, address):
        path = f"/-/instances/{self.instance}/{action}"
        link = http.client.HTTPConnection(address, timeout=_HEARTBEAT_TIMEOUT_S)
        status = 0
        try:
            link.request(
                "POST",
                path,
                json.dumps(body),
                {"Content-Type": "application/json"},
            )
            status = link.getresponse().status
        except (OSError, http.client.HTTPException):
            pass
        finally:
            link.close()
        if action == "deregister" or status != 200:
            self._record.write(
                action,
                instance=self.instance,
                seq=body.get("seq", 0),
                status=status,
            )
        return status == 200

    def _send_heartbeats(self):
        while not (self._stopped.is_set() or self._silent.is_set()):
            self.send_heartbeat()
            self._silent.wait(HEARTBEAT_S)

    def answer(self, request):
        """Returns the answer to a request, as `httpd` takes it."""
        if self._stopped.is_set():
            return httpd.Response(None)
        request_id = request.headers.get("x-tamarackgap-attempt-id", "")
        headers = {"X-Tamarackgap-Attempt-Id": request_id}
        rejected = {**headers, "X-Tamarackgap-Not-Executed": "1"}
        wanted = request.headers.get("x-tamarackgap-target-instance")
        with self._lock:
            if wanted != self.instance:
                return httpd.Response(421, b"", rejected)
            if len(self.running) >= self.slots:
                return httpd.Response(503, b"", rejected)
            self.running.add(request_id)
            self.begun.add(request_id)
        self._record.write(
            "run_begins",
            request=request_id,
            instance=self.instance,
            path=request.path,
        )
        try:
            if not self.on_arrival(self, request_id, request.path):
                threading.Thread(target=self.stop, daemon=True).start()
                self._stopped.wait(1)
                time.sleep(0.1)
                return httpd.Response(None)
            self._stopped.wait(self._work_s(request.path))
            if self._stopped.is_set():
                return httpd.Response(None)
        finally:
            self.running.discard(request_id)
        self._record.write(
            "run_ends", request=request_id, instance=self.instance
        )
        return httpd.Response(
            200,
            json.dumps({"id": request_id}).encode("ascii"),
            {**headers, "X-Tamarackgap-Response-Signature": "s.1"},
        )


class Machine:
    """A machine with one daemon and one server.

    Attributes:
        server: The present life of its server, or None.
        process: The daemon's process, or None.
    """

    def __init__(self, deployment, name, service_name):
        """Chooses the addresses; starts nothing."""
        self.name = name
        self.service = service_name
        self._deployment = deployment
        base = deployment.take_ports(_PORTS_PER_MACHINE)
        addresses = [
            f"127.0.0.1:{base + index}" for index in range(_PORTS_PER_MACHINE)
        ]
        (
            self.outbound_address,
            self.peer_address,
            self.control_address,
            self.ready_address,
            self.server_address,
            self.metrics_address,
        ) = addresses
        self.store_address = deployment.store_address
        self.server = None
        self.process = None
        self._lives = itertools.count(1)
        self.log_path = deployment.folder / f"{name}.log"

    def start_server(self, work_s, create=None):
        """Starts the next life of the server.

        Args:
            work_s: Returns the duration of a request with a path, seconds.
            create: Creates the server; None for one without keys.
        """
        self.server = (create or Server)(
            self._deployment.record, self, next(self._lives), work_s
        )
        self.server.start()
        return self.server

    def start_daemon(self):
        """Renders the settings file, and starts the daemon."""
        role = self._deployment.role
        settings = self._deployment.folder / f"{self.name}.ini"
        settings.write_text(self._render((ROOT / role["template"]).read_text()))
        environment = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG")
        }
        environment["TAMARACKGAP_NODE_FILE"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def await_end(self, seconds):
        """Waits for the daemon's end, and kills it if that takes too long."""
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def _render(self, template):
        host, _, peer_port = self.peer_address.partition(":")
        text = template.replace("{{ip}}:9464", self.metrics_address).replace(
            "{{ip}}:{{port_range.0}}", f"{host}:{peer_port}"
        )
        values = {
            "node": self.name,
            "service": self.service,
            "zone": "z1",
            "listen.outbound": self.outbound_address,
            "listen.control": self.control_address,
            "listen.ready": self.ready_address,
            "app_addr": self.server_address,
            "heartbeat_ms": round(HEARTBEAT_S * 1000),
            "grants": "call",
            "platform.address": self.store_address,
            "limits.memory_mb|json": json.dumps(_MEMORY_MB),
            "limits.link_mbps|json": json.dumps(_LINK_MBPS),
            **{f"bounds.{key}": value for key, value in _BOUNDS.items()},
        }
        return re.sub(
            r"\{\{([a-z_.|]+)\}\}", lambda match: str(values[match[1]]), text
        )

    def is_ready(self):
        """Returns whether the daemon's readiness check succeeds."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            link = http.client.HTTPConnection(self.ready_address, timeout=1)
            try:
                link.request("GET", "/-/readiness")
                return link.getresponse().status == 200
            finally:
                link.close()
        return False


class Deployment:
    """Store and machines, with a record of what clients and servers see."""

    def __init__(self, case_folder, machines, limits=None):
        """Starts the store only.

        Args:
            case_folder: Folder of the case; gets `record.txt`.
            machines: Name and service of each machine.
            limits: The operators' limits on requests; None for small ones.
        """
        self._limits = limits or _LIMITS
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(pathlib.Path(case_folder) / "record.txt")
        self.role = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )["roles"]["router"]
        self._next_port = _FIRST_PORT
        self.store = rowstore.RowStore()
        self.store_address = f"127.0.0.1:{self.take_ports(1)}"
        self._store_http = httpd.serve(
            self.store_address, self.store.handle_request
        )
        threading.Thread(
            target=self._store_http.serve_forever, daemon=True
        ).start()
        self.machines = [Machine(self, *each) for each in machines]
        self._ids = itertools.count(1)

    def take_ports(self, count):
        """Returns the first of some free ports that nothing else takes."""
        base = ports.find_free_ports(count, self._next_port)
        self._next_port = base + count
        return base

    def put_configuration(self, version, *resources):
        """Writes a version; the write's end is its acknowledgement."""
        self.store.put(
            "op", "config", configuration(version, resources, self._limits)
        )
        return self.record.write("configuration", version=version)

    def start(self, work_s, path, create=None, key=None):
        """Starts servers and daemons; returns whether all serve a path.

        Args:
            work_s: Returns the duration of a request with a path, seconds.
            path: The path.
            create: Creates a server; None for servers without keys.
            key: Key of the requests; None for none.
        """
        for machine in self.machines:
            machine.start_server(work_s, create)
            machine.start_daemon()
        deadline = time.monotonic() + _READY_S
        while time.monotonic() < deadline:
            if all(machine.is_ready() for machine in self.machines) and all(
                self.send(machine, "GET", path, key=key)[0] == 200
                for machine in self.machines
            ):
                return True
            time.sleep(0.1)
        return False

    def send(
        self,
        machine,
        method,
        path,
        timeout_ms=2500,
        body=None,
        kept=None,
        key=None,
    ):
        """Sends a client's request.

        Args:
            machine: The machine whose daemon gets it.
            method: Its method.
            path: Its path.
            timeout_ms: Time that the client waits.
            body: Its body, or None.
            kept: A connection that is kept open, as `connect` returns it; None
                for a new one.
            key: Its key, or None.

        Returns:
            The status, 0 if the connection ended without a whole answer, and
            the request's id.
        """
        request_id = self.next_id()
        self.record.write(
            "sent",
            request=request_id,
            method=method,
            path=path,
            machine=machine.name,
        )
        link = kept or self.connect(machine, timeout_ms)
        headers = {
            "Host": "hall.example",
            "X-Tamarackgap-Attempt-Id": request_id,
            "X-Tamarackgap-Timeout-Ms": str(timeout_ms),
        }
        if key is not None:
            headers["X-Tamarackgap-Shard-Key"] = str(key)
        status = 0
        try:
            link.request(method, path, body, headers)
            response = link.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException):
            # It is opened again for the next request.
            link.close()
        if kept is None:
            link.close()
        self.record.write("answered", request=request_id, status=status)
        return status, request_id

    def next_id(self):
        """Returns the id of the next request."""
        return f"{next(self._ids):016x}"

    def connect(self, machine, timeout_ms=2500):
        """Returns a connection of a client, which opens when it is used."""
        return http.client.HTTPConnection(
            machine.outbound_address, timeout=timeout_ms / 1000 + 1
        )

    def stop(self):
        """Ends all processes that were started, the servers and the store."""
        for machine in self.machines:
            if machine.server is not None:
                machine.server.stop()
            process = machine.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        self._store_http.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(main):
    """Exits with what `main` returns, or with 2 if the case can't run."""
    # So that a script that is stopped ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        status = main()
    except Exception:  # noqa: BLE001
        traceback.print_exc()
        status = 2
    sys.exit(status)


def in_background(call, *args):
    """Runs a function on a thread of its own, and returns the thread."""
    thread = threading.Thread(target=call, args=args, daemon=True)
    thread.start()
    return thread
