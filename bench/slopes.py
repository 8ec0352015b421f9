"""What control costs one daemon, as the deployment grows."""

import json
import re
import signal
import time

from bench import process, report
from demo import cluster, deployments

_SETTLE_S = 6.0
_MEASURE_S = 10.0
_BASE_PORT = 26000


def _plan(size: int) -> deployments.Deployment:
    return deployments.Deployment(
        name=f"slopes-{size}",
        data_centres=("a", "b", "c", "d"),
        slots=4,
        connections=40,
        services=(deployments.Service("seats", size, True),),
        operations=(),
    )


def _metrics(place: cluster.VM) -> dict[str, float]:
    text = cluster.call(place.http_address, "GET", "/metrics")[1].decode()
    found = re.findall(r"^tamarackgap_(\w+)\{[^}]*\} (\S+)$", text, re.M)
    return {name: float(value) for name, value in found}


def _counts(running: cluster.Cluster) -> dict[str, int]:
    return json.loads(cluster.call(running.table_address, "GET", "/counts")[1])


def _mean_rate(before: list[float], after: list[float], time_s: float) -> float:
    total = sum(after) - sum(before)
    return total / len(before) / time_s


def _slots(size: int) -> int:
    """Returns a power of two with at least four slots a daemon."""
    return 1 << max(6, (4 * size - 1).bit_length())


def _measure(size: int, loss: bool) -> list[report.Row]:
    overrides = {"ownership": {"slots": _slots(size)}}
    with cluster.run_deployment(
        _plan(size), _BASE_PORT, balanced=False, overrides=overrides
    ) as running:
        time.sleep(_SETTLE_S)
        rows = [_steady(running, size)]
        if loss:
            rows.append(_lose(running, size))
        return rows


def _steady(running: cluster.Cluster, size: int) -> report.Row:
    pids = [place.daemon_process.pid for place in running.vms]
    metrics = [_metrics(place) for place in running.vms]
    counts = _counts(running)
    cpu = [process.cpu_seconds(pid) for pid in pids]
    begun = time.monotonic()
    time.sleep(_MEASURE_S)
    cpu_after = [process.cpu_seconds(pid) for pid in pids]
    took = time.monotonic() - begun
    metrics_after = [_metrics(place) for place in running.vms]
    counts_after = _counts(running)

    def rate(name: str) -> float:
        return _mean_rate(
            [found[name] for found in metrics],
            [found[name] for found in metrics_after],
            took,
        )

    lateness = [found["renewal_lateness_seconds"] for found in metrics_after]
    return {
        "daemons": size,
        "phase": "steady",
        "messages_per_s": round(rate("peer_messages_sent"), 1),
        "kb_per_s": round(rate("peer_bytes_sent") / 1000, 2),
        "core_percent": round(100 * _mean_rate(cpu, cpu_after, took), 2),
        "memory_mb": round(sum(map(process.memory_mb, pids)) / size, 1),
        "table_writes_per_s": round(
            (counts_after["writes"] - counts["writes"]) / took, 2
        ),
        "table_reads_per_s": round(
            (counts_after["reads"] - counts["reads"]) / took, 1
        ),
        "takeovers": len(running.log_lines("taken_over")),
        "worst_renewal_late_ms": round(max(lateness) * 1000, 1),
    }


def _lose(running: cluster.Cluster, size: int) -> report.Row:
    """Kills every daemon of one data centre at once."""
    before = _counts(running)["writes"]
    begun = time.monotonic()
    for place in running.vms:
        if place.data_centre == "a":
            place.daemon_process.send_signal(signal.SIGKILL)
    peak = 0
    last = before
    while time.monotonic() - begun < 8.0:
        time.sleep(1.0)
        now = _counts(running)["writes"]
        peak = max(peak, now - last)
        last = now
    return {
        "daemons": size,
        "phase": "data centre lost",
        "messages_per_s": "",
        "kb_per_s": "",
        "core_percent": "",
        "memory_mb": "",
        "table_writes_per_s": peak,
        "table_reads_per_s": "",
        "takeovers": len(running.log_lines("taken_over")),
        "worst_renewal_late_ms": "",
    }


def run(quick: bool) -> None:
    """Measures deployments of growing size, idle."""
    sizes = (4, 8) if quick else (4, 8, 16, 32, 48)
    rows: list[report.Row] = []
    for size in sizes:
        rows += _measure(size, loss=size >= 8)
    report.show("slopes", rows)
