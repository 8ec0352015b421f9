"""A small deployment: daemons as processes, stand-ins for all others.

The daemons are started with the command of deploy/system.toml, each with the
settings that deploy/settings.ini gives for a machine of the association.
"""

import http.client
import itertools
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable

from standins import appserver, httpd, platformcluster, ports, rowstore

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Figures of the association's deployment; those of the cold yards are the same
# but for the number of repeats.
HEARTBEAT_S = 0.87
GRACE_S = 6
_SETTINGS = {
    "limits.memory_mb|json": "300",
    "limits.link_mbps|json": "1000.0",
    "heartbeat_ms": str(round(HEARTBEAT_S * 1000)),
    "grants": "call",
    "bounds.max_hold_ms": "10000",
    "bounds.grace_s": str(GRACE_S),
    "bounds.retry_budget_extra": "62",
    "bounds.cold_overage": "",
    "bounds.cold_slack": "",
}
_PORTS_PER_MACHINE = 6


class Record:
    """Writes what was sent, answered and run, with the time of each line."""

    def __init__(self, path: pathlib.Path) -> None:
        """Creates an empty record.

        Args:
            path: The file.
        """
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._begin = time.monotonic()

    def add(self, text: str) -> None:
        """Adds a line."""
        with self._lock:
            elapsed = time.monotonic() - self._begin
            self._file.write(f"{elapsed:8.3f} {text}\n")
            self._file.flush()


class Server(appserver.AppServer):
    """A server that sends its heartbeats in the interval of the deployment.

    Attributes:
        arrivals: Time, id and shard key of each request that it began to run.
        acknowledged_at: When its leaving was acknowledged; None before that.
    """

    def __init__(self, *args: object, **kwargs: object) -> None:
        """Creates a server; takes the arguments of `AppServer`."""
        super().__init__(*args, **kwargs)
        self.arrivals: list[tuple[float, str, int | None]] = []
        self.acknowledged_at: float | None = None
        self.is_silent = threading.Event()
        self.on_run_started = _record_arrival

    def _send_heartbeats(self) -> None:
        while not self._stopping.is_set() and not self.is_silent.is_set():
            self.send_heartbeat()
            self._stopping.wait(HEARTBEAT_S)

    def deregister(self, address: str) -> int:
        """Says that it leaves, and sends no further heartbeats.

        Args:
            address: Where it says so.

        Returns:
            Status of the answer.
        """
        self.is_silent.set()
        path = f"/-/instances/{self.instance}/deregister"
        status = post(address, path, b"{}")
        if 200 <= status < 300:
            self.acknowledged_at = time.monotonic()
        return status


def _record_arrival(
    server: appserver.AppServer, request_id: str, key: int | None
) -> None:
    server.arrivals.append((time.monotonic(), request_id, key))


def post(address: str, path: str, body: bytes, timeout_s: float = 1.0) -> int:
    """Sends a POST; returns the status, 0 if there was no answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request("POST", path, body)
        response = connection.getresponse()
        response.read()
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()
    return response.status


class Machine:
    """A server and the daemon beside it."""

    def __init__(
        self, deployment: "Deployment", name: str, service: str, zone: str
    ) -> None:
        """Reserves the ports of a machine."""
        self._deployment = deployment
        self.name = name
        self.service = service
        self.zone = zone
        base = deployment.take_ports(_PORTS_PER_MACHINE)
        (
            self.callers,
            self.peers,
            self.control,
            self.ready,
            self.target,
            self.metrics,
        ) = [f"127.0.0.1:{base + i}" for i in range(_PORTS_PER_MACHINE)]
        self.store = deployment.store_address
        # Where the server sends its heartbeats.
        self.heartbeats = self.control
        self.server: Server | None = None
        self.process: subprocess.Popen | None = None
        self._lives = 0

    def start_server(
        self, keyed: bool, work_s: float, server_type: type[Server] = Server
    ) -> Server:
        """Starts the next life of the server, under a new id."""
        self._lives += 1
        self.server = server_type(
            f"{self.name}-{self._lives}",
            self.service,
            self.target,
            self.heartbeats,
            keyed,
            work_s,
        )
        self.server.start()
        return self.server

    def start(self) -> None:
        """Starts the daemon as the deploy file says."""
        folder = self._deployment.folder
        settings = folder / f"{self.name}.ini"
        settings.write_text(self._render(), "utf-8")
        run = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "router"
        ]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TAMARACKGAP_NODE_FILE": str(settings),
        }
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable if run[0] == "python3" else run[0], *run[1:]],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _render(self) -> str:
        host, port = self.peers.split(":")
        values = {
            **_SETTINGS,
            **self._deployment.settings,
            "node": self.name,
            "service": self.service,
            "zone": self.zone,
            "listen.outbound": self.callers,
            "listen.control": self.control,
            "listen.ready": self.ready,
            "ip": host,
            "port_range.0": port,
            "app_addr": self.target,
            "platform.address": self.store,
        }
        text = (ROOT / "deploy/settings.ini").read_text("utf-8")
        # Ports for metrics are the same on all machines; here they share one.
        text = text.replace("{{ip}}:9464", self.metrics)
        return re.sub(r"\{\{([^}]+)\}\}", lambda m: values[m[1]], text)

    def is_ready(self) -> bool:
        """Returns whether the daemon says that it is ready."""
        try:
            return (
                platformcluster.send_request(
                    self.ready, "GET", "/-/readiness", timeout=1
                )[0]
                == 200
            )
        except OSError:
            return False

    def log(self) -> str:
        """Returns what the daemon has written."""
        return (self._deployment.folder / f"{self.name}.log").read_text("utf-8")


class Deployment:
    """The store, the machines and the operator's configuration."""

    def __init__(
        self, record: Record, settings: dict[str, str] | None = None
    ) -> None:
        """Starts the store.

        Args:
            record: Where lines are written.
            settings: Fields of the settings file that are not those of the
                association's deployment.
        """
        self.settings = settings or {}
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.record = record
        self.machines: dict[str, Machine] = {}
        self.store = rowstore.RowStore()
        self._next_port = 24_000
        self.store_address = f"127.0.0.1:{self.take_ports(1)}"
        self._store_server = httpd.serve(
            self.store_address, self.store.handle_request
        )
        threading.Thread(
            target=self._store_server.serve_forever, daemon=True
        ).start()
        self._ids = itertools.count(1)

    def take_ports(self, count: int) -> int:
        """Reserves ports; returns the first one."""
        base = ports.find_free_ports(count, self._next_port)
        self._next_port = base + count
        return base

    def add(self, name: str, service: str, zone: str) -> Machine:
        """Adds a machine, without starting anything on it."""
        machine = Machine(self, name, service, zone)
        self.machines[name] = machine
        return machine

    def configure(self, version: int, *resources: dict) -> None:
        """Writes a configuration."""
        text = platformcluster.configuration(version, *resources)
        self.store.put("op", "config", text)

    def new_id(self) -> str:
        """Returns an id for a request."""
        return f"r{next(self._ids):06d}"

    def call(
        self,
        machine: Machine,
        host: str,
        path: str,
        method: str = "POST",
        key: int | None = None,
        timeout_ms: int = 1000,
    ) -> tuple[int, str, bytes]:
        """Sends a request on a new connection.

        Returns:
            Status (0 for no answer), the request's id, and the body.
        """
        request_id = self.new_id()
        headers = {
            "Host": host,
            "X-Tamarackgap-Attempt-Id": request_id,
            "X-Tamarackgap-Timeout-Ms": str(timeout_ms),
        }
        if key is not None:
            headers["X-Tamarackgap-Shard-Key"] = str(key)
        connection = http.client.HTTPConnection(
            machine.callers, timeout=timeout_ms / 1000 + 1
        )
        status, body = 0, b""
        try:
            connection.request(method, path, headers=headers)
            response = connection.getresponse()
            status, body = response.status, response.read()
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        return status, request_id, body

    def stop(self) -> None:
        """Ends all processes that were started, and the stand-ins."""
        for machine in self.machines.values():
            process = machine.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
            if machine.server is not None and not machine.server.is_stopped:
                machine.server.stop()
        self._store_server.stop()
        self._temporary.cleanup()


class KeptConnection:
    """A client's connection that is used for many requests."""

    def __init__(self, machine: Machine, timeout_ms: int) -> None:
        """Creates a connection that is opened with the first request."""
        self._address = machine.callers
        self._timeout_ms = timeout_ms
        self._connection: http.client.HTTPConnection | None = None

    def get(self, host: str, path: str, request_id: str) -> int:
        """Sends a request; returns the status, 0 if there was no answer."""
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._address, timeout=self._timeout_ms / 1000 + 1
            )
        headers = {
            "Host": host,
            "X-Tamarackgap-Attempt-Id": request_id,
            "X-Tamarackgap-Timeout-Ms": str(self._timeout_ms),
        }
        try:
            self._connection.request("GET", path, headers=headers)
            response = self._connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            self._connection.close()
            self._connection = None
            return 0
        return response.status


def run(main: Callable[[], int]) -> None:
    """Ends this process with the status of a case.

    It is 2 if the case fails in itself, or is told to stop; what it has started
    is ended then as well.

    Args:
        main: Runs the case; returns 1 if the rule was broken, 0 if it held.
    """
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        status = main()
    except Exception:
        traceback.print_exc()
        status = 2
    sys.exit(status)


def instance_of(body: bytes) -> str:
    """Returns the server that wrote an answer, "" if none did."""
    try:
        return json.loads(body)["instance"]
    except (ValueError, KeyError, TypeError):
        return ""
