"""Runs one seed of the soak: a cluster, its callers and injected faults."""

import contextlib
import http.client
import itertools
import pathlib
import random
import threading
import time
import traceback

import msgspec

from soak import checker, faults, proxy
from standins import platformcluster, ports

# Name, service, and whether the service is keyed.
_VMS = (
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
_REQUEST_TIMEOUT_MS = 1200
_CALLERS_PER_VM = 2
# Mean pause of a caller between two requests.
_MEAN_PAUSE_S = 0.02
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
        fault_log: Start and end of each fault, with seconds since the start
            of the run.
    """

    violations: list[str]
    requests_sent: int
    served_share: float
    recovery_s: float | None
    fault_log: list[str]

    @property
    def passed(self) -> bool:
        """Whether no invariant was violated and the cluster recovered."""
        return not self.violations and self.recovery_s is not None


class _Soak:
    """A cluster with its proxies, callers and injected faults."""

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self.rng = random.Random(seed)
        self.checker = checker.InvariantChecker()
        self.cluster = platformcluster.PlatformCluster(folder, _VMS)
        self.fault_log: list[str] = []
        self._ids = itertools.count(1)
        self._stopped = threading.Event()
        self._started_at = time.monotonic()
        self._proxies: list[proxy.Proxy] = []
        store_proxies = {}
        target_proxies = {}
        for vm in self.cluster.vms:
            store_proxies[vm.name] = self._add_proxy(vm.store_address)
            vm.store_address = self._proxy_address
            target_proxies[vm.name] = self._add_proxy(vm.server_address)
            vm.target_address = self._proxy_address
        self.context = faults.FaultContext(
            self.cluster,
            store_proxies,
            target_proxies,
            self.start_server,
            self.rng,
        )

    def _add_proxy(self, target: str) -> proxy.Proxy:
        port = ports.find_free_ports(1, self.cluster.next_port())
        self.cluster.reserve_ports_below(port + 1)
        self._proxy_address = f"127.0.0.1:{port}"
        new_proxy = proxy.Proxy(self._proxy_address, target)
        self._proxies.append(new_proxy)
        return new_proxy

    def start_server(self, vm: platformcluster.VM) -> None:
        vm.start_server()
        self.checker.add_server(vm.server)

    def start(self) -> None:
        self.cluster.start()
        for vm in self.cluster.vms:
            self.checker.add_server(vm.server)
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
                threading.Thread(
                    target=self._run_caller, args=(vm,), daemon=True
                ).start()
        end = time.monotonic() + seconds
        active: dict[str, threading.Thread] = {}
        while time.monotonic() < end:
            time.sleep(self.rng.uniform(0.1, 1.5))
            fault = self.rng.choice(faults.ALL)
            vm = self.rng.choice(self.cluster.vms)
            vm_names = {vm.name}
            if fault is faults.kill_all:
                vm_names = {each.name for each in self.cluster.vms}
            # Faults at the same VM would act on the same processes, so they
            # must not overlap.
            if any(
                name in active and active[name].is_alive() for name in vm_names
            ):
                continue
            self._log_fault(f"{fault.__name__} {vm.name}")
            thread = threading.Thread(
                target=self._inject, args=(fault, vm), daemon=True
            )
            thread.start()
            active.update(dict.fromkeys(vm_names, thread))
        for thread in active.values():
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

    def _inject(self, fault: faults.Fault, vm: platformcluster.VM) -> None:
        try:
            fault(self.context, vm)
        except Exception:  # noqa: BLE001
            # A run in which a fault was not injected must fail.
            self.checker.violations.append(traceback.format_exc())
        self._log_fault(f"{fault.__name__} {vm.name} ends")

    def _log_fault(self, text: str) -> None:
        elapsed_s = time.monotonic() - self._started_at
        self.fault_log.append(f"{elapsed_s:7.3f} {text}")

    def _run_caller(self, vm: platformcluster.VM) -> None:
        """Sends requests until the run stops; reconnects after an error."""
        rng = random.Random(self.rng.random())
        connection = http.client.HTTPConnection(vm.caller_address, timeout=3)
        while not self._stopped.is_set():
            time.sleep(rng.uniform(0, 2 * _MEAN_PAUSE_S))
            request_id = f"s{next(self._ids):07d}"
            keyed = rng.random() < 0.6
            host = "money.example" if keyed else "seats.example"
            path = f"/pay/{request_id}" if keyed else f"/browse/{request_id}"
            headers = {
                "Host": host,
                "X-Tamarackgap-Attempt-Id": request_id,
                "X-Tamarackgap-Timeout-Ms": str(_REQUEST_TIMEOUT_MS),
            }
            if keyed:
                headers["X-Tamarackgap-Shard-Key"] = str(rng.randrange(65_536))
            status, response_headers, body = 0, {}, b""
            try:
                connection.request(
                    "POST" if keyed else "GET", path, headers=headers
                )
                response = connection.getresponse()
                body = response.read()
                status, response_headers = response.status, response.headers
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = http.client.HTTPConnection(
                    vm.caller_address, timeout=3
                )
            self.checker.record_exchange(
                checker.Exchange(
                    request_id,
                    not keyed,
                    path,
                    status,
                    bool(
                        response_headers.get("X-Tamarackgap-Response-Signature")
                    ),
                    response_headers.get("X-Tamarackgap-Attempt-Id", ""),
                    body,
                )
            )


def run_seed(folder: pathlib.Path, seed: int, seconds: float) -> RunResult:
    """Runs one seed.

    Args:
        folder: Folder for the daemons' settings and logs.
        seed: Seed for the choice of VMs, faults and times.
        seconds: Time during which faults are injected, seconds.

    Raises:
        TimeoutError: If the cluster does not start in time.
    """
    soak = _Soak(folder, seed)
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
    )
