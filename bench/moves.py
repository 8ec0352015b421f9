"""Measures for how long a key is not served during a planned move."""

import http.client
import threading
import time

from bench import recovery, report
from demo import cluster, deployments
from tamarackgap.commands import control

_BASE_PORT = 28000
_READY_TIMEOUT_S = 60.0
_MOVE_PERIOD_S = 4.0
# Longest wait that a planned move may cause.
_MAX_WAIT_MS = 100.0


def _probe(
    vm: cluster.VM,
    path: str,
    stop: threading.Event,
    waits: list[float],
) -> None:
    host, _, port = vm.http_address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    while not stop.is_set():
        started_at = time.monotonic()
        connection.request("GET", path)
        connection.getresponse().read()
        waits.append(time.monotonic() - started_at)


def _move(running: cluster.Cluster, weight: int, victim: cluster.VM) -> float:
    """Edits a weight while requests for one key are sent.

    Returns:
        The longest wait for a response, seconds.
    """
    entry = next(vm for vm in running.vms if vm.service != victim.service)
    key = recovery.find_owned_key(running, entry, victim)
    path = f"/v1/{victim.service}/browse?key={key}"
    waits: list[float] = []
    stop = threading.Event()
    probe = threading.Thread(
        target=_probe, args=(entry, path, stop, waits), daemon=True
    )
    probe.start()
    time.sleep(0.5)
    row = f"policy/{victim.service}/{victim.data_centre}"
    control.set_policy(
        running.table_address, row, {"weight": weight}, "bench", None
    )
    time.sleep(_MOVE_PERIOD_S)
    stop.set()
    probe.join()
    return max(waits)


def run(quick: bool) -> None:
    """Measures moves of all slots of a service out of a data centre.

    After each move the slots are moved back, which is not measured.

    Args:
        quick: Whether to do two moves instead of eight.
    """
    rows = []
    with cluster.run_deployment(deployments.ASSOCIATION, _BASE_PORT) as running:
        for number in range(2 if quick else 8):
            victim = running.vm(f"payments-{number % 3}")
            longest = _move(running, 0, victim)
            rows.append(
                {
                    "move": number,
                    "longest_wait_ms": round(longest * 1000, 1),
                    "over_slack": round(longest * 1000 / _MAX_WAIT_MS, 2),
                }
            )
            row = f"policy/{victim.service}/{victim.data_centre}"
            control.set_policy(
                running.table_address, row, {"weight": 100}, "bench", None
            )
            running.wait_until_ready(_READY_TIMEOUT_S)
    report.show("moves", rows)
