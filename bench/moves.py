"""How long a key is not served while it is moved on purpose."""

import http.client
import threading
import time

from bench import recovery, report
from demo import cluster, deployments
from tamarackgap.commands import control

_BASE_PORT = 28000
_READY_S = 60.0
_WATCH_S = 4.0
_SLACK_MS = 100.0


def _probe(
    place: cluster.VM,
    path: str,
    stop: threading.Event,
    times: list[float],
) -> None:
    host, _, port = place.http_address.rpartition(":")
    link = http.client.HTTPConnection(host, int(port), timeout=10)
    while not stop.is_set():
        begun = time.monotonic()
        link.request("GET", path)
        link.getresponse().read()
        times.append(time.monotonic() - begun)


def _move(running: cluster.Cluster, weight: int, victim: cluster.VM) -> float:
    """Edits a weight while one key is asked for; returns the longest wait."""
    entry = next(p for p in running.vms if p.service != victim.service)
    key = recovery.find_owned_key(running, entry, victim)
    path = f"/v1/{victim.service}/browse?key={key}"
    times: list[float] = []
    stop = threading.Event()
    probe = threading.Thread(
        target=_probe, args=(entry, path, stop, times), daemon=True
    )
    probe.start()
    time.sleep(0.5)
    row = f"policy/{victim.service}/{victim.data_centre}"
    control.set_policy(
        running.table_address, row, {"weight": weight}, "bench", None
    )
    time.sleep(_WATCH_S)
    stop.set()
    probe.join()
    return max(times)


def run(quick: bool) -> None:
    """Empties a data centre of a service and fills it again, in turns."""
    rows = []
    with cluster.run_deployment(deployments.ASSOCIATION, _BASE_PORT) as running:
        for number in range(2 if quick else 8):
            victim = running.vm(f"payments-{number % 3}")
            longest = _move(running, 0, victim)
            rows.append(
                {
                    "move": number,
                    "longest_wait_ms": round(longest * 1000, 1),
                    "over_slack": round(longest * 1000 / _SLACK_MS, 2),
                }
            )
            row = f"policy/{victim.service}/{victim.data_centre}"
            control.set_policy(
                running.table_address, row, {"weight": 100}, "bench", None
            )
            running.wait_until_ready(_READY_S)
    report.show("moves", rows)
