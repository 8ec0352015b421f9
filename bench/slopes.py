"""Measures what a daemon costs while idle, by size of the deployment."""

import json
import re
import signal
import time

from bench import process, report
from demo import cluster, deployments

_WARMUP_S = 6.0
_STEADY_PERIOD_S = 10.0
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


def _metrics(vm: cluster.VM) -> dict[str, float]:
    text = cluster.call(vm.http_address, "GET", "/metrics")[1].decode()
    samples = re.findall(r"^tamarackgap_(\w+)\{[^}]*\} (\S+)$", text, re.M)
    return {name: float(value) for name, value in samples}


def _table_counts(running: cluster.Cluster) -> dict[str, int]:
    """Returns the numbers of reads and writes that the table has counted."""
    return json.loads(cluster.call(running.table_address, "GET", "/counts")[1])


def _mean_rate(before: list[float], after: list[float], time_s: float) -> float:
    """Returns the mean increase per daemon and second."""
    total = sum(after) - sum(before)
    return total / len(before) / time_s


def _slot_count(size: int) -> int:
    """Returns a power of two with at least four slots per daemon."""
    return 1 << max(6, (4 * size - 1).bit_length())


def _measure(size: int, loss: bool) -> list[report.Row]:
    overrides = {"ownership": {"slots": _slot_count(size)}}
    with cluster.run_deployment(
        _plan(size), _BASE_PORT, balanced=False, overrides=overrides
    ) as running:
        time.sleep(_WARMUP_S)
        rows = [_measure_idle(running, size)]
        if loss:
            rows.append(_measure_loss(running, size))
        return rows


def _measure_idle(running: cluster.Cluster, size: int) -> report.Row:
    pids = [vm.daemon_process.pid for vm in running.vms]
    metrics = [_metrics(vm) for vm in running.vms]
    counts = _table_counts(running)
    cpu = [process.cpu_seconds(pid) for pid in pids]
    started_at = time.monotonic()
    time.sleep(_STEADY_PERIOD_S)
    cpu_after = [process.cpu_seconds(pid) for pid in pids]
    elapsed_s = time.monotonic() - started_at
    metrics_after = [_metrics(vm) for vm in running.vms]
    counts_after = _table_counts(running)

    def rate(name: str) -> float:
        return _mean_rate(
            [values[name] for values in metrics],
            [values[name] for values in metrics_after],
            elapsed_s,
        )

    lateness_s = [
        values["renewal_lateness_seconds"] for values in metrics_after
    ]
    return {
        "daemons": size,
        "phase": "steady",
        "messages_per_s": round(rate("peer_messages_sent"), 1),
        "kb_per_s": round(rate("peer_bytes_sent") / 1000, 2),
        "core_percent": round(100 * _mean_rate(cpu, cpu_after, elapsed_s), 2),
        "memory_mb": round(sum(map(process.memory_mb, pids)) / size, 1),
        "table_writes_per_s": round(
            (counts_after["writes"] - counts["writes"]) / elapsed_s, 2
        ),
        "table_reads_per_s": round(
            (counts_after["reads"] - counts["reads"]) / elapsed_s, 1
        ),
        "takeovers": len(running.log_lines("taken_over")),
        "worst_renewal_late_ms": round(max(lateness_s) * 1000, 1),
    }


def _measure_loss(running: cluster.Cluster, size: int) -> report.Row:
    """Kills all daemons of a data centre; measures the peak of table writes."""
    before = _table_counts(running)["writes"]
    started_at = time.monotonic()
    for vm in running.vms:
        if vm.data_centre == "a":
            vm.daemon_process.send_signal(signal.SIGKILL)
    peak_writes_per_s = 0
    last = before
    while time.monotonic() - started_at < 8.0:
        time.sleep(1.0)
        now = _table_counts(running)["writes"]
        peak_writes_per_s = max(peak_writes_per_s, now - last)
        last = now
    return {
        "daemons": size,
        "phase": "data centre lost",
        "messages_per_s": "",
        "kb_per_s": "",
        "core_percent": "",
        "memory_mb": "",
        "table_writes_per_s": peak_writes_per_s,
        "table_reads_per_s": "",
        "takeovers": len(running.log_lines("taken_over")),
        "worst_renewal_late_ms": "",
    }


def run(quick: bool) -> None:
    """Measures idle deployments of growing size, and the loss of a data centre.

    Args:
        quick: Whether to measure small deployments only.
    """
    sizes = (4, 8) if quick else (4, 8, 16, 32, 48)
    rows: list[report.Row] = []
    for size in sizes:
        rows += _measure(size, loss=size >= 8)
    report.show("slopes", rows)
