"""Measures how long keys are not served after a daemon got SIGKILL."""

import http.client
import random
import signal
import time

from bench import report
from demo import cluster, deployments

_PROBE_INTERVAL_S = 0.005
_PROBE_DEADLINE_MS = "3000"
_BASE_PORT = 25000
_READY_TIMEOUT_S = 60.0
# Time within which a key is to be served again after a loss.
_MAX_GAP_MS = 1000.0


def _is_served(vm: cluster.VM, path: str) -> bool:
    host, _, port = vm.http_address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    try:
        headers = {"X-Deadline-Ms": _PROBE_DEADLINE_MS}
        connection.request("GET", path, headers=headers)
        response = connection.getresponse()
        response.read()
        return response.status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def _measure_gap(running: cluster.Cluster, victim: cluster.VM) -> float:
    """Kills a daemon.

    Returns:
        Seconds until one of its keys is served again.
    """
    entry = next(vm for vm in running.vms if vm.service != victim.service)
    key = find_owned_key(running, entry, victim)
    path = f"/v1/{victim.service}/browse?key={key}"
    victim.daemon_process.send_signal(signal.SIGKILL)
    started_at = time.monotonic()
    victim.daemon_process.wait()
    while not _is_served(entry, path):
        time.sleep(_PROBE_INTERVAL_S)
    return time.monotonic() - started_at


def find_owned_key(
    running: cluster.Cluster, entry: cluster.VM, victim: cluster.VM
) -> str:
    """Returns a key that a daemon owns.

    Args:
        running: The deployment.
        entry: VM whose daemon is asked for the owners of keys.
        victim: VM of the daemon that owns the key.

    Raises:
        RuntimeError: If the daemon owns none of the keys tried.
    """
    for number in range(10_000):
        query = f"/explain?service={victim.service}&key=k{number}"
        response = cluster.call(entry.http_address, "GET", query)[1]
        if f'"daemon":"{victim.name}"'.encode() in response:
            return f"k{number}"
    raise RuntimeError(f"{victim.name} owns no key")


def _measure_kills(table_up: bool, kills: int, seed: int) -> list[report.Row]:
    rng = random.Random(seed)
    rows = []
    with cluster.run_deployment(deployments.ASSOCIATION, _BASE_PORT) as running:
        for number in range(kills):
            victim = rng.choice(running.vms)
            running.set_faults(down=not table_up)
            time.sleep(0.5 + rng.random() * 0.2)
            gap = _measure_gap(running, victim)
            running.set_faults(down=False)
            running.start_daemon(victim)
            running.wait_until_ready(_READY_TIMEOUT_S)
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
    """Kills random daemons, with the table up and with the table down.

    Args:
        quick: Whether to kill 3 daemons instead of 30 in each case.
    """
    kills = 3 if quick else 30
    kill_rows = _measure_kills(True, kills, 1) + _measure_kills(False, kills, 2)
    report.show("recovery_raw", kill_rows)
    summary = []
    for state in ("up", "down"):
        for checks in (True, False):
            gaps_ms = [
                row["ms"]
                for row in kill_rows
                if row["table"] == state and row["checks_grants"] == checks
            ]
            if gaps_ms:
                summary.append(_summary(state, checks, gaps_ms))
    report.show("recovery", summary)


def _summary(state: str, checks: bool, gaps_ms: list[float]) -> report.Row:
    return {
        "table": state,
        "targets_check": checks,
        "kills": len(gaps_ms),
        "p50_ms": report.percentile(gaps_ms, 0.5),
        "p99_ms": report.percentile(gaps_ms, 0.99),
        "max_ms": max(gaps_ms),
        "max_over_target": round(max(gaps_ms) / _MAX_GAP_MS, 3),
    }
