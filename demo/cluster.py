"""Starts, stops and inspects the processes of one deployment."""

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
_READY_TIMEOUT_S = 90.0


class VM(msgspec.Struct):
    """One VM, which runs a target and its local daemon.

    Attributes:
        name: Name of both the daemon and the target.
        service: Service that they belong to.
        data_centre: Data centre that the VM is in.
        http_address: The daemon's `ip:port` for callers.
        peer_address: The daemon's `ip:port` for other daemons.
        target_address: The target's `ip:port`.
        checks_grants: Whether the target checks grants.
        daemon_process: The daemon's latest process; None before its start.
        target_process: The target's process; None before its start.
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
    """Sends a request with a JSON body; returns the response's status and body.

    Args:
        address: `ip:port` of the server.
        method: HTTP method.
        path: Path and query.
        body: Value to encode as JSON; None for an empty body.
        timeout: Longest wait for the response, seconds.

    Raises:
        OSError: If no complete response arrives in time.
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
    """Runs a deployment in a temporary folder until the block ends.

    Args:
        plan: Deployment to start.
        base_port: First of the ports.
        balanced: Whether to wait until slots are spread evenly.
        **options: Further arguments of `Cluster`.

    Raises:
        RuntimeError: If the deployment does not get ready.
    """
    with tempfile.TemporaryDirectory() as folder:
        running = Cluster(plan, pathlib.Path(folder), base_port, **options)
        running.start()
        try:
            if running.wait_until_ready(_READY_TIMEOUT_S, balanced) is None:
                raise RuntimeError(f"{plan.name} did not get ready")
            yield running
        finally:
            running.stop()


class Cluster:
    """The processes of one deployment, all on loopback addresses."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        folder: pathlib.Path,
        base_port: int,
        work_ms: float = 3.0,
        overrides: dict[str, dict[str, object]] | None = None,
    ) -> None:
        """Assigns names and addresses; nothing is started yet.

        Args:
            deployment: Deployment to start.
            folder: Folder for settings, logs and the targets' run records.
            base_port: First of the ports. The platform takes one port, each VM
                takes three.
            work_ms: Mean time that a target takes for an operation,
                milliseconds.
            overrides: Settings of every daemon, by section.
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
                data_centres = deployment.data_centres
                self.vms.append(
                    VM(
                        name=f"{service.name}-{index}",
                        service=service.name,
                        data_centre=data_centres[index % len(data_centres)],
                        http_address=f"{_HOST}:{port}",
                        peer_address=f"{_HOST}:{port + 1}",
                        target_address=f"{_HOST}:{port + 2}",
                        checks_grants=service.checks_grants,
                    )
                )
                port += 3

    def vm(self, name: str) -> VM:
        """Returns the VM with the given name."""
        return next(vm for vm in self.vms if vm.name == name)

    def start(self) -> None:
        """Starts the platform, then the target and daemon of each VM."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.start_platform()
        for vm in self.vms:
            self.start_target(vm)
            self.start_daemon(vm)

    def start_platform(self) -> None:
        """Starts the stand-in for the platform."""
        self.platform = self._start_module(
            "platform", "standins.platform", "--listen", self.table_address
        )

    def start_target(self, vm: VM) -> None:
        """Starts the target of a VM."""
        flag = "--checks-grants" if vm.checks_grants else "--no-checks-grants"
        vm.target_process = self._start_module(
            f"target-{vm.name}",
            "standins.target",
            "--name",
            vm.name,
            "--service",
            vm.service,
            "--listen",
            vm.target_address,
            "--daemon",
            vm.http_address,
            "--slots",
            str(self.deployment.slots),
            "--connections",
            str(self.deployment.connections),
            "--work-ms",
            str(self.work_ms),
            "--log",
            str(self.folder / f"{vm.name}.runs"),
            flag,
        )

    def write_settings(self, vm: VM) -> pathlib.Path:
        """Writes the settings file of a VM's daemon and returns its path."""
        sections: dict[str, dict[str, object]] = {
            "daemon": {
                "deployment": self.deployment.name,
                "name": vm.name,
                "service": vm.service,
                "data_centre": vm.data_centre,
                "http_address": vm.http_address,
                "peer_address": vm.peer_address,
                "log": self.folder / f"{vm.name}.log",
            },
            "table": {"address": self.table_address},
        }
        for section, values in self._overrides.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{name} = {value}" for name, value in values.items()]
        path = self.folder / f"{vm.name}.ini"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def start_daemon(self, vm: VM) -> None:
        """Starts the daemon of a VM."""
        vm.daemon_process = self.launch_daemon(vm, "daemon")

    def launch_daemon(self, vm: VM, prefix: str = "again") -> subprocess.Popen:
        """Starts a process with the settings of a VM's daemon.

        A second daemon of the VM can be started as well: it is not recorded
        in the VM and not stopped by `stop`.

        Args:
            vm: VM whose settings the daemon gets.
            prefix: First part of the name of the output file.

        Returns:
            The process.
        """
        return self._start_module(
            f"{prefix}-{vm.name}",
            "tamarackgap",
            "daemon",
            "--config",
            str(self.write_settings(vm)),
        )

    def wait_until_ready(
        self, seconds: float, balanced: bool = True
    ) -> float | None:
        """Waits until all slots of all services are owned.

        Args:
            seconds: Longest wait.
            balanced: Whether to wait until slots are spread evenly as well.

        Returns:
            The time that it took in seconds, or None if it took too long.
        """
        started_at = time.monotonic()
        while time.monotonic() - started_at < seconds:
            if self._is_ready(balanced):
                return time.monotonic() - started_at
            time.sleep(0.1)
        return None

    def _is_ready(self, balanced: bool) -> bool:
        # 256 is the default of the setting `ownership.slots`.
        slots = self._overrides.get("ownership", {}).get("slots", 256)
        for service in self.deployment.services:
            counts = self.owned_slot_counts(service.name)
            if None in counts or sum(counts) != slots:
                return False
            if balanced and max(counts) > 1.1 * min(counts) + 2:
                return False
        return True

    def owned_slot_counts(self, service: str) -> list[int | None]:
        """Returns the number of slots that each daemon of a service owns.

        It is None for a daemon that does not respond or has no lease.
        """
        return [
            self._owned_slots(vm) for vm in self.vms if vm.service == service
        ]

    def _owned_slots(self, vm: VM) -> int | None:
        with contextlib.suppress(OSError, ValueError):
            status = json.loads(call(vm.http_address, "GET", "/status")[1])
            if status["lease_left_ms"] > 0:
                return status["owned"]
        return None

    def set_faults(self, **values: object) -> None:
        """Sets faults of the stand-in for the platform."""
        call(self.table_address, "POST", "/faults", values)

    def run_records(self) -> list[target_lib.RunRecord]:
        """Returns the run records that all targets have logged."""
        decoder = msgspec.json.Decoder(target_lib.RunRecord)
        records = []
        for vm in self.vms:
            path = self.folder / f"{vm.name}.runs"
            if path.exists():
                records += decoder.decode_lines(path.read_bytes())
        return records

    def log_lines(self, event: str) -> list[str]:
        """Returns the log lines of one event, of all daemons."""
        return [
            line
            for vm in self.vms
            for line in self._read_log(vm).splitlines()
            if f" event={event} " in line
        ]

    def _read_log(self, vm: VM) -> str:
        path = self.folder / f"{vm.name}.log"
        return path.read_text(encoding="utf-8") if path.exists() else ""

    def stop(self) -> None:
        """Kills the platform and the target and daemon of each VM."""
        processes = [self.platform]
        for vm in self.vms:
            processes += [vm.daemon_process, vm.target_process]
        for process in filter(None, processes):
            if process.poll() is None:
                # A process stopped by SIGSTOP handles no other signal until
                # it is resumed.
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in filter(None, processes):
            process.wait()

    def _start_module(
        self, name: str, module: str, *arguments: str
    ) -> subprocess.Popen:
        with (self.folder / f"{name}.out").open("ab") as out:
            return subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=out,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )
