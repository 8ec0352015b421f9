"""One seeded run of the soak: a cluster, callers, faults, and the result."""

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

_VMS = (
    ("north", "seats", False),
    ("south", "seats", False),
    ("east", "money", True),
    ("west", "money", True),
    ("centre", "money", True),
)
_READY_S = 40.0
# The users' bound: served again so long after the last fault.
_RECOVER_S = 15.0
_TIMEOUT_MS = 1200
_CALLERS_A_PLACE = 2
_PAUSE_S = 0.02
# An order may be carried out, and a run begin, so long after it was sent.
_SETTLE_S = 2.0


class RunResult(msgspec.Struct, frozen=True):
    """What a run showed.

    Attributes:
        violations: Broken promises.
        requests_sent: Requests that callers sent.
        served_share: The part of them that was answered well.
        recovery_s: How long after the last fault all was served; None if
            it was not within the bound.
        fault_log: The faults, with their times.
    """

    violations: list[str]
    requests_sent: int
    served_share: float
    recovery_s: float | None
    fault_log: list[str]

    @property
    def passed(self) -> bool:
        """Whether every promise was kept."""
        return not self.violations and self.recovery_s is not None


class _Soak:
    """A cluster with its proxies, callers and faults."""

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self.rng = random.Random(seed)
        self.checker = checker.InvariantChecker()
        self.cluster = platformcluster.PlatformCluster(folder, _VMS)
        self.fault_log: list[str] = []
        self._ids = itertools.count(1)
        self._ended = threading.Event()
        self._begun = time.monotonic()
        self._proxies: list[proxy.Proxy] = []
        store_proxies = {}
        target_proxies = {}
        for vm in self.cluster.vms:
            store_proxies[vm.name] = self._proxy(vm.store_address)
            vm.store_address = self._last
            target_proxies[vm.name] = self._proxy(vm.server_address)
            vm.target_address = self._last
        self.context = faults.FaultContext(
            self.cluster,
            store_proxies,
            target_proxies,
            self.start_server,
            self.rng,
        )

    def _proxy(self, target: str) -> proxy.Proxy:
        port = ports.free_ports(1, self.cluster.next_port())
        self.cluster.reserve_ports_below(port + 1)
        self._last = f"127.0.0.1:{port}"
        found = proxy.Proxy(self._last, target)
        self._proxies.append(found)
        return found

    def start_server(self, vm: platformcluster.VM) -> None:
        vm.start_server()
        self.checker.add_server(vm.server)

    def start(self) -> None:
        self.cluster.start()
        for vm in self.cluster.vms:
            self.checker.add_server(vm.server)
        if not platformcluster.wait_until(_READY_S, self._works):
            raise TimeoutError("the cluster does not serve everything")

    def stop(self) -> None:
        self._ended.set()
        self.cluster.stop()
        for each in self._proxies:
            each.close()

    def play(self, seconds: float) -> None:
        """Runs callers and faults, which overlap, for a time."""
        for vm in self.cluster.vms:
            for _ in range(_CALLERS_A_PLACE):
                threading.Thread(
                    target=self._call, args=(vm,), daemon=True
                ).start()
        end = time.monotonic() + seconds
        going: dict[str, threading.Thread] = {}
        while time.monotonic() < end:
            time.sleep(self.rng.uniform(0.1, 1.5))
            fault = self.rng.choice(faults.ALL)
            vm = self.rng.choice(self.cluster.vms)
            names = {vm.name}
            if fault is faults.kill_all:
                names = {each.name for each in self.cluster.vms}
            # One thing at a time is done to each vm's processes.
            if any(name in going and going[name].is_alive() for name in names):
                continue
            self._note(f"{fault.__name__} {vm.name}")
            thread = threading.Thread(
                target=self._inject, args=(fault, vm), daemon=True
            )
            thread.start()
            going.update(dict.fromkeys(names, thread))
        for thread in going.values():
            thread.join(30)

    def recover(self) -> float | None:
        """Returns how long it took until all was served, or None."""
        begun = time.monotonic()
        worked = platformcluster.wait_until(_RECOVER_S, self._works)
        return time.monotonic() - begun if worked else None

    def _works(self) -> bool:
        with contextlib.suppress(OSError, http.client.HTTPException):
            return self.cluster.serves_all_routes()
        return False

    def _inject(self, fault: faults.Fault, vm: platformcluster.VM) -> None:
        try:
            fault(self.context, vm)
        except Exception:  # noqa: BLE001
            # A fault that can't be injected makes the run worthless.
            self.checker.violations.append(traceback.format_exc())
        self._note(f"{fault.__name__} {vm.name} ends")

    def _note(self, text: str) -> None:
        at = time.monotonic() - self._begun
        self.fault_log.append(f"{at:7.3f} {text}")

    def _call(self, vm: platformcluster.VM) -> None:
        """Asks again and again, on a connection that is kept while it works."""
        rng = random.Random(self.rng.random())
        link = http.client.HTTPConnection(vm.caller_address, timeout=3)
        while not self._ended.is_set():
            time.sleep(rng.uniform(0, 2 * _PAUSE_S))
            request = f"s{next(self._ids):07d}"
            pay = rng.random() < 0.6
            host = "money.example" if pay else "seats.example"
            path = f"/pay/{request}" if pay else f"/browse/{request}"
            headers = {
                "Host": host,
                "X-Tamarackgap-Attempt-Id": request,
                "X-Tamarackgap-Timeout-Ms": str(_TIMEOUT_MS),
            }
            if pay:
                headers["X-Tamarackgap-Shard-Key"] = str(rng.randrange(65_536))
            status, answer, body = 0, {}, b""
            try:
                link.request("POST" if pay else "GET", path, headers=headers)
                found = link.getresponse()
                body = found.read()
                status, answer = found.status, found.headers
            except (OSError, http.client.HTTPException):
                link.close()
                link = http.client.HTTPConnection(vm.caller_address, timeout=3)
            self.checker.record_exchange(
                checker.Exchange(
                    request,
                    not pay,
                    path,
                    status,
                    bool(answer.get("X-Tamarackgap-Response-Signature")),
                    answer.get("X-Tamarackgap-Attempt-Id", ""),
                    body,
                )
            )


def run_seed(folder: pathlib.Path, seed: int, seconds: float) -> RunResult:
    """Plays one seed.

    Args:
        folder: Takes settings and logs.
        seed: Of vms, faults and times.
        seconds: How long faults are injected.
    """
    soak = _Soak(folder, seed)
    try:
        soak.start()
        soak.play(seconds)
        recovered = soak.recover()
        time.sleep(_SETTLE_S)
        violations = soak.checker.finish()
    finally:
        soak.stop()
    requests_sent = soak.checker.requests_sent
    return RunResult(
        violations,
        requests_sent,
        soak.checker.statuses[200] / max(1, requests_sent),
        recovered,
        soak.fault_log,
    )
