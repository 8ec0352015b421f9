"""Starts and stops the processes of one deployment."""

from __future__ import annotations

import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator

import msgspec

from demo import deployments
from standins import target as target_lib
from tamarackgap.commands import control

_HOST = "127.0.0.1"
_READY_S = 90.0


class VM(msgspec.Struct):
    """One VM: a target and the daemon beside it.

    Attributes:
        name: Name of the daemon and the target.
        service: Their service.
        data_centre: Where the VM stands.
        http_address: The daemon's `ip:port` for callers.
        peer_address: The daemon's `ip:port` for other daemons.
        target_address: The target's `ip:port`.
        checks_grants: Whether the target checks grants.
        daemon_process: The daemon.
        target_process: The target.
    """

    name: str
    service: str
    data_centre: str
    http_address: str
    peer_address: str
    target_address: str
    checks_grants: bool
    daemon_process: subprocess.Popen | None = None
    target_process: subprocess.Popen | None = None


def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    timeout: float = 2.0,
) -> tuple[int, bytes]:
    """Returns status and body of one request, with a JSON body.

    Raises:
        OSError: If there is no whole answer.
    """
    data = json.dumps(body).encode() if body is not None else b""
    return control.send_request(address, method, path, data, timeout)


@contextlib.contextmanager
def run_deployment(
    plan: deployments.Deployment,
    base_port: int,
    balanced: bool = True,
    **options: object,
) -> Iterator[Cluster]:
    """Runs a deployment in a temporary folder, for a measurement.

    Args:
        plan: What to start.
        base_port: First of the ports.
        balanced: Whether to wait for an even spread.
        **options: As for `Cluster`.

    Raises:
        RuntimeError: If it does not get ready.
    """
    with tempfile.TemporaryDirectory() as folder:
        running = Cluster(plan, pathlib.Path(folder), base_port, **options)
        running.start()
        try:
            if running.wait_until_ready(_READY_S, balanced) is None:
                raise RuntimeError(f"{plan.name} did not get ready")
            yield running
        finally:
            running.stop()


class Cluster:
    """All processes of one deployment, on loopback."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        folder: pathlib.Path,
        base_port: int,
        work_ms: float = 3.0,
        overrides: dict[str, dict[str, object]] | None = None,
    ) -> None:
        """Plans the processes; nothing is started yet.

        Args:
            deployment: What to start.
            folder: For settings, logs and the targets' runs.
            base_port: First of the ports; three for each VM and one more.
            work_ms: Mean time of an operation at a target.
            overrides: Settings by section, for every daemon.
        """
        self.deployment = deployment
        self.folder = folder
        self.work_ms = work_ms
        self._overrides = overrides or {}
        self.table_address = f"{_HOST}:{base_port}"
        self.platform: subprocess.Popen | None = None
        self.vms: list[VM] = []
        port = base_port + 1
        for service in deployment.services:
            for index in range(service.target_count):
                centres = deployment.data_centres
                self.vms.append(
                    VM(
                        name=f"{service.name}-{index}",
                        service=service.name,
                        data_centre=centres[index % len(centres)],
                        http_address=f"{_HOST}:{port}",
                        peer_address=f"{_HOST}:{port + 1}",
                        target_address=f"{_HOST}:{port + 2}",
                        checks_grants=service.checks_grants,
                    )
                )
                port += 3

    def vm(self, name: str) -> VM:
        """Returns the VM with a name."""
        return next(place for place in self.vms if place.name == name)

    def start(self) -> None:
        """Starts everything."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.start_platform()
        for place in self.vms:
            self.start_target(place)
            self.start_daemon(place)

    def start_platform(self) -> None:
        """Starts the platform's stand-in."""
        self.platform = self._run(
            "platform", "standins.platform", "--listen", self.table_address
        )

    def start_target(self, place: VM) -> None:
        """Starts a VM's target."""
        flag = (
            "--checks-grants" if place.checks_grants else "--no-checks-grants"
        )
        place.target_process = self._run(
            f"target-{place.name}",
            "standins.target",
            "--name",
            place.name,
            "--service",
            place.service,
            "--listen",
            place.target_address,
            "--daemon",
            place.http_address,
            "--slots",
            str(self.deployment.slots),
            "--connections",
            str(self.deployment.connections),
            "--work-ms",
            str(self.work_ms),
            "--log",
            str(self.folder / f"{place.name}.runs"),
            flag,
        )

    def write_settings(self, place: VM) -> pathlib.Path:
        """Writes a daemon's settings file and returns its path."""
        sections: dict[str, dict[str, object]] = {
            "daemon": {
                "deployment": self.deployment.name,
                "name": place.name,
                "service": place.service,
                "data_centre": place.data_centre,
                "http_address": place.http_address,
                "peer_address": place.peer_address,
                "log": self.folder / f"{place.name}.log",
            },
            "table": {"address": self.table_address},
        }
        for section, values in self._overrides.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{name} = {value}" for name, value in values.items()]
        path = self.folder / f"{place.name}.ini"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def start_daemon(self, place: VM) -> None:
        """Starts a VM's daemon."""
        place.daemon_process = self.launch_daemon(place, "daemon")

    def launch_daemon(
        self, place: VM, prefix: str = "again"
    ) -> subprocess.Popen:
        """Starts a daemon with a VM's settings, and returns the process."""
        return self._run(
            f"{prefix}-{place.name}",
            "tamarackgap",
            "daemon",
            "--config",
            str(self.write_settings(place)),
        )

    def wait_until_ready(
        self, seconds: float, balanced: bool = True
    ) -> float | None:
        """Waits until all slots are owned; returns the time, or None.

        Args:
            seconds: Longest wait.
            balanced: Whether to wait for an even spread as well.
        """
        begun = time.monotonic()
        while time.monotonic() - begun < seconds:
            if self._is_ready(balanced):
                return time.monotonic() - begun
            time.sleep(0.1)
        return None

    def _is_ready(self, balanced: bool) -> bool:
        slots = self._overrides.get("ownership", {}).get("slots", 256)
        for service in self.deployment.services:
            counts = self.owned_slot_counts(service.name)
            if None in counts or sum(counts) != slots:
                return False
            if balanced and max(counts) > 1.1 * min(counts) + 2:
                return False
        return True

    def owned_slot_counts(self, service: str) -> list[int | None]:
        """Returns the number of slots of each daemon of a service."""
        return [
            self._owned(place) for place in self.vms if place.service == service
        ]

    def _owned(self, place: VM) -> int | None:
        with contextlib.suppress(OSError, ValueError):
            status = json.loads(call(place.http_address, "GET", "/status")[1])
            if status["lease_left_ms"] > 0:
                return status["owned"]
        return None

    def set_faults(self, **values: object) -> None:
        """Switches faults of the platform."""
        call(self.table_address, "POST", "/faults", values)

    def runs(self) -> list[target_lib.RunRecord]:
        """Returns everything that the targets say took effect."""
        decoder = msgspec.json.Decoder(target_lib.RunRecord)
        found = []
        for place in self.vms:
            path = self.folder / f"{place.name}.runs"
            if path.exists():
                found += decoder.decode_lines(path.read_bytes())
        return found

    def log_lines(self, event: str) -> list[str]:
        """Returns all daemons' log lines of one event."""
        return [
            line
            for place in self.vms
            for line in self._log_of(place).splitlines()
            if f" event={event} " in line
        ]

    def _log_of(self, place: VM) -> str:
        path = self.folder / f"{place.name}.log"
        return path.read_text(encoding="utf-8") if path.exists() else ""

    def stop(self) -> None:
        """Ends all processes that were started here."""
        processes = [self.platform]
        for place in self.vms:
            processes += [place.daemon_process, place.target_process]
        for process in filter(None, processes):
            if process.poll() is None:
                # A stopped process takes no other signal.
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in filter(None, processes):
            process.wait()

    def _run(self, name: str, module: str, *words: str) -> subprocess.Popen:
        with (self.folder / f"{name}.out").open("ab") as out:
            return subprocess.Popen(
                [sys.executable, "-m", module, *words],
                stdout=out,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )
