"""Runs one seed of the soak: a cluster, its callers and injected faults."""

import contextlib
import http.client
import pathlib
import random
import threading
import time
import traceback

import msgspec

from soak import callers, checker, faults, proxy
from standins import platformcluster, ports

# Name, service, and whether the service is keyed.
_DEFAULT_VMS = (
    ("north", "seats", False),
    ("south", "seats", False),
    ("east", "money", True),
    ("west", "money", True),
    ("centre", "money", True),
)
_START_TIMEOUT_S = 40.0
# The users require that all requests are served again within this time after
# the last fault.
_RECOVERY_LIMIT_S = 15.0
_CALLERS_PER_VM = 2
# The log tells when the threads of the soak run later than this.
_LATENESS_S = 0.3
_LATENESS_CHECK_S = 0.05
# A request that was sent to a server may still start to execute within this
# time.
_SETTLE_S = 2.0


class RunResult(msgspec.Struct, frozen=True):
    """The outcome of a run.

    Attributes:
        violations: Violated invariants, and tracebacks of faults that could
            not be injected.
        requests_sent: Number of requests that callers sent.
        served_share: Share of these requests with status 200.
        recovery_s: Seconds after the last fault until all routes were served,
            None if that took longer than the limit.
        fault_log: Start and end of each fault, with the time of day.
        hold_log: Each start of a server and each hold taken, likewise.
    """

    violations: list[str]
    requests_sent: int
    served_share: float
    recovery_s: float | None
    fault_log: list[str]
    hold_log: list[str]

    @property
    def passed(self) -> bool:
        """Whether no invariant was violated and the cluster recovered."""
        return not self.violations and self.recovery_s is not None


class Plan(msgspec.Struct, frozen=True):
    """What is run, and which faults are injected.

    Attributes:
        fault_choices: The faults among which is chosen.
        max_pause_s: Longest time between the starts of two faults, seconds.
        vms: Name, service and whether that is keyed, for each VM.
        grants: How targets take their keys: by `call` or `heartbeat`.
    """

    fault_choices: tuple[faults.Fault, ...] = faults.GENERAL
    max_pause_s: float = 1.5
    vms: tuple[tuple[str, str, bool], ...] = _DEFAULT_VMS
    grants: str = "call"

    def with_faults(self, *names: str) -> "Plan":
        """Returns the plan with those of its faults that are named only.

        Raises:
            ValueError: If there is no fault with one of the names.
        """
        chosen = tuple(f for f in self.fault_choices if f.name in names)
        if unknown := set(names) - {fault.name for fault in chosen}:
            raise ValueError(f"no faults with the names {sorted(unknown)}")
        return msgspec.structs.replace(self, fault_choices=chosen)


GENERAL = Plan()
OWNERSHIP = Plan(faults.OWNERSHIP, max_pause_s=0.8)


def name_vms(count: int) -> tuple[tuple[str, str, bool], ...]:
    """Returns VMs for a larger run, a quarter of them without keys."""
    return tuple(
        (f"vm{index}", "money", True)
        if index % 4
        else (f"vm{index}", "seats", False)
        for index in range(count)
    )


class _Soak:
    """A cluster with its proxies, callers and injected faults."""

    def __init__(self, folder: pathlib.Path, seed: int, plan: Plan) -> None:
        self.rng = random.Random(seed)
        self.checker = checker.InvariantChecker()
        self.cluster = platformcluster.PlatformCluster(
            folder, plan.vms, plan.grants
        )
        self.fault_log: list[str] = []
        self._plan = plan
        self._stopped = threading.Event()
        self._proxies: list[proxy.Proxy] = []
        store_proxies = {}
        target_proxies = {}
        announcement_proxies = {}
        for vm in self.cluster.vms:
            store_proxies[vm.name] = self._add_proxy(vm.store_address)
            vm.store_address = self._proxy_address
            target_proxies[vm.name] = self._add_proxy(vm.server_address)
            vm.target_address = self._proxy_address
            announcement_proxies[vm.name] = self._add_proxy(vm.announce_address)
            vm.heartbeat_address = self._proxy_address
        self.context = faults.FaultContext(
            self.cluster,
            store_proxies,
            target_proxies,
            announcement_proxies,
            self.start_server,
        )

    def _add_proxy(self, target: str) -> proxy.Proxy:
        port = ports.find_free_ports(1, self.cluster.next_port())
        self.cluster.reserve_ports_below(port + 1)
        self._proxy_address = f"127.0.0.1:{port}"
        new_proxy = proxy.Proxy(self._proxy_address, target)
        self._proxies.append(new_proxy)
        return new_proxy

    def start_server(self, vm: platformcluster.VM, same_id: bool) -> None:
        vm.create_server(same_id)
        self.checker.add_server(vm.server)
        link = self.context.target_proxies[vm.name]
        vm.server.arrival_time = link.arrival_time
        vm.server.start()

    def start(self) -> None:
        self.cluster.write_configuration()
        for vm in self.cluster.vms:
            self.start_server(vm, False)
            vm.start()
        if not platformcluster.wait_until(
            _START_TIMEOUT_S, self._serves_all_routes
        ):
            raise TimeoutError("the cluster does not serve all routes")

    def stop(self) -> None:
        self._stopped.set()
        self.cluster.stop()
        for each in self._proxies:
            each.close()

    def inject_faults(self, seconds: float) -> None:
        """Starts the callers, and injects overlapping faults for `seconds`."""
        for vm in self.cluster.vms:
            for _ in range(_CALLERS_PER_VM):
                caller = callers.Caller(
                    vm.caller_address,
                    random.Random(self.rng.random()),
                    self.checker,
                    self._stopped,
                )
                threading.Thread(target=caller.run, daemon=True).start()
        threading.Thread(target=self._watch_lateness, daemon=True).start()
        end = time.monotonic() + seconds
        active: dict[tuple[str, faults.Part], threading.Thread] = {}
        threads = []
        while time.monotonic() < end:
            time.sleep(self.rng.uniform(0.1, self._plan.max_pause_s))
            fault = self.rng.choice(self._plan.fault_choices)
            vm = self.rng.choice(self.cluster.vms)
            fault_seed = self.rng.random()
            parts = fault.parts_at(self.cluster, vm)
            if any(
                part in active and active[part].is_alive() for part in parts
            ):
                continue
            self._log_fault(f"{fault.name} {vm.name}")
            thread = threading.Thread(
                target=self._inject,
                args=(fault, vm, random.Random(fault_seed)),
                daemon=True,
            )
            thread.start()
            threads.append(thread)
            active.update(dict.fromkeys(parts, thread))
        for thread in threads:
            thread.join(30)

    def wait_for_recovery(self) -> float | None:
        """Waits until all routes are served.

        Returns:
            The time that it took, seconds, or None if it exceeded the limit.
        """
        started_at = time.monotonic()
        recovered = platformcluster.wait_until(
            _RECOVERY_LIMIT_S, self._serves_all_routes
        )
        return time.monotonic() - started_at if recovered else None

    def _serves_all_routes(self) -> bool:
        with contextlib.suppress(OSError, http.client.HTTPException):
            return self.cluster.serves_all_routes()
        return False

    def _inject(
        self, fault: faults.Fault, vm: platformcluster.VM, rng: random.Random
    ) -> None:
        try:
            fault.inject(self.context, vm, rng)
        except Exception:  # noqa: BLE001
            # A run in which a fault was not injected must fail.
            self.checker.violations.append(traceback.format_exc())
        self._log_fault(f"{fault.name} {vm.name} ends")

    def _watch_lateness(self) -> None:
        """Logs when this process runs late, and its servers with it."""
        while not self._stopped.is_set():
            due = time.monotonic() + _LATENESS_CHECK_S
            time.sleep(_LATENESS_CHECK_S)
            late_s = time.monotonic() - due
            if late_s > _LATENESS_S:
                self._log_fault(f"the soak runs {late_s:.1f} s late")

    def _log_fault(self, text: str) -> None:
        self.fault_log.append(f"{checker.current_time()} {text}")


def run_seed(
    folder: pathlib.Path, seed: int, seconds: float, plan: Plan = GENERAL
) -> RunResult:
    """Runs one seed.

    Args:
        folder: Folder for the daemons' settings and logs.
        seed: Seed for the choice of VMs, faults and times.
        seconds: Time during which faults are injected, seconds.
        plan: What is run, and which faults are injected.

    Raises:
        TimeoutError: If the cluster does not start in time.
    """
    soak = _Soak(folder, seed, plan)
    try:
        soak.start()
        soak.inject_faults(seconds)
        recovery_s = soak.wait_for_recovery()
        time.sleep(_SETTLE_S)
        violations = soak.checker.finish()
    finally:
        soak.stop()
    requests_sent = soak.checker.requests_sent
    return RunResult(
        violations,
        requests_sent,
        soak.checker.statuses[200] / max(1, requests_sent),
        recovery_s,
        soak.fault_log,
        soak.checker.hold_log,
    )
