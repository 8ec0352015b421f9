"""Time from a daemon's SIGKILL until its keys are served again."""

import http.client
import random
import signal
import time

from bench import report
from demo import cluster, deployments

_PROBE_PAUSE_S = 0.005
_PROBE_DEADLINE_MS = "3000"
_BASE_PORT = 25000
_READY_S = 60.0
_TARGET_MS = 1000.0


def _answered(place: cluster.VM, path: str) -> bool:
    host, _, port = place.http_address.rpartition(":")
    link = http.client.HTTPConnection(host, int(port), timeout=5)
    try:
        headers = {"X-Deadline-Ms": _PROBE_DEADLINE_MS}
        link.request("GET", path, headers=headers)
        answer = link.getresponse()
        answer.read()
        return answer.status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        link.close()


def _gap(running: cluster.Cluster, victim: cluster.VM) -> float:
    """Kills a daemon; returns seconds until one of its keys is served."""
    entry = next(
        place for place in running.vms if place.service != victim.service
    )
    key = find_owned_key(running, entry, victim)
    path = f"/v1/{victim.service}/browse?key={key}"
    victim.daemon_process.send_signal(signal.SIGKILL)
    begun = time.monotonic()
    victim.daemon_process.wait()
    while not _answered(entry, path):
        time.sleep(_PROBE_PAUSE_S)
    return time.monotonic() - begun


def find_owned_key(
    running: cluster.Cluster, entry: cluster.VM, victim: cluster.VM
) -> str:
    """Returns a key that a victim's daemon owns.

    Raises:
        RuntimeError: If it owns none.
    """
    for number in range(10_000):
        query = f"/explain?service={victim.service}&key=k{number}"
        found = cluster.call(entry.http_address, "GET", query)[1]
        if f'"daemon":"{victim.name}"'.encode() in found:
            return f"k{number}"
    raise RuntimeError(f"{victim.name} owns no key")


def _measure(table_up: bool, kills: int, seed: int) -> list[report.Row]:
    rng = random.Random(seed)
    rows = []
    with cluster.run_deployment(deployments.ASSOCIATION, _BASE_PORT) as running:
        for number in range(kills):
            victim = rng.choice(running.vms)
            running.set_faults(down=not table_up)
            time.sleep(0.5 + rng.random() * 0.2)
            gap = _gap(running, victim)
            running.set_faults(down=False)
            running.start_daemon(victim)
            running.wait_until_ready(_READY_S)
            rows.append(
                {
                    "table": "up" if table_up else "down",
                    "kill": number,
                    "checks_grants": victim.checks_grants,
                    "ms": round(gap * 1000, 1),
                }
            )
    return rows


def run(quick: bool) -> None:
    """Kills daemons with the table up, and with it down."""
    kills = 3 if quick else 30
    raw = _measure(True, kills, 1) + _measure(False, kills, 2)
    report.show("recovery_raw", raw)
    summary = []
    for state in ("up", "down"):
        for checks in (True, False):
            times = [
                row["ms"]
                for row in raw
                if row["table"] == state and row["checks_grants"] == checks
            ]
            if times:
                summary.append(_summary(state, checks, times))
    report.show("recovery", summary)


def _summary(state: str, checks: bool, times: list[float]) -> report.Row:
    return {
        "table": state,
        "targets_check": checks,
        "kills": len(times),
        "p50_ms": report.percentile(times, 0.5),
        "p99_ms": report.percentile(times, 0.99),
        "max_ms": max(times),
        "max_over_target": round(max(times) / _TARGET_MS, 3),
    }
