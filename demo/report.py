"""Summarises a run: counts, latencies and violated guarantees."""

import collections
import datetime
import re

import msgspec

from demo import checker, cluster, load

_MS_PER_S = 1000


class Summary(msgspec.Struct, frozen=True):
    """The outcome of one deployment's run.

    Attributes:
        deployment: Name of the deployment.
        requests: Number of requests that callers sent, without resends.
        answered: Number of requests that were answered.
        refused: Number of requests refused with the verdict "not-run", by
            reason.
        may_have_run: Number of requests refused with the verdict
            "may-have-run", by reason.
        unconnected: Number of requests whose last attempt got no response.
        violations: Number of violations that each check of `checker` found.
        p50_ms: Median latency of answered requests.
        p99_ms: 99th percentile of the latency of answered requests.
        imbalance: Greatest number of runs at a target over the mean number,
            by service.
        moved: Number of slots that changed their owner during the load.
        longest_wait_ms: Longest latency of a request answered at its first
            attempt.
        broken: Texts that describe each violated guarantee.
    """

    deployment: str
    requests: int
    answered: int
    refused: dict[str, int]
    may_have_run: dict[str, int]
    unconnected: int
    violations: dict[str, int]
    p50_ms: float
    p99_ms: float
    imbalance: dict[str, float]
    moved: int
    longest_wait_ms: float
    broken: tuple[str, ...]


def summarise(running: cluster.Cluster, history: checker.History) -> Summary:
    """Returns the summary of a run.

    Args:
        running: The deployment that got the load.
        history: What was recorded during the run.
    """
    results = history.results
    violations = checker.find_violations(history)
    latencies = sorted(
        result.latency_s for result in results if result.verdict == "answered"
    )
    name = running.deployment.name
    broken = [
        f"{name}: {check}: {len(texts)} violations, such as {texts[0]}"
        for check, texts in violations.items()
        if texts
    ]
    if not latencies:
        broken.append(f"{name}: nothing was answered")
    return Summary(
        deployment=name,
        requests=len(results),
        answered=len(latencies),
        refused=_count_reasons(results, "not-run"),
        may_have_run=_count_reasons(results, "may-have-run"),
        unconnected=sum(
            result.verdict == "no-connection" for result in results
        ),
        violations={check: len(texts) for check, texts in violations.items()},
        p50_ms=_percentile_ms(latencies, 0.5),
        p99_ms=_percentile_ms(latencies, 0.99),
        imbalance=_imbalance_by_service(running, history.runs),
        moved=_count_moved_slots(running, results),
        longest_wait_ms=_longest_wait_ms(results),
        broken=tuple(broken),
    )


def _count_reasons(results: list[load.Result], verdict: str) -> dict[str, int]:
    return dict(
        collections.Counter(
            result.reason for result in results if result.verdict == verdict
        )
    )


def _percentile_ms(ordered: list[float], share: float) -> float:
    if not ordered:
        return float("nan")
    index = min(len(ordered) - 1, int(len(ordered) * share))
    return round(ordered[index] * _MS_PER_S, 1)


def _imbalance_by_service(
    running: cluster.Cluster, runs: list[dict]
) -> dict[str, float]:
    imbalance = {}
    for service in running.deployment.services:
        counts = collections.Counter(
            run.target
            for run in runs
            if run.target.rpartition("-")[0] == service.name
        )
        mean = sum(counts.values()) / service.target_count
        imbalance[service.name] = round(max(counts.values()) / mean, 2)
    return imbalance


def _count_moved_slots(
    running: cluster.Cluster, results: list[load.Result]
) -> int:
    """Counts slots that were moved or taken over since the first request."""
    started_at = min(
        int(result.request_id.partition("-")[0]) for result in results
    )
    moved = 0
    for event, field in (("slots_changed", "gained"), ("taken_over", "slots")):
        moved += sum(
            int(re.search(rf" {field}=(\d+)", line)[1])
            for line in running.log_lines(event)
            if _log_time_ms(line) >= started_at
        )
    return moved


def _log_time_ms(line: str) -> int:
    text = re.search(r"time=(\S+)", line)[1]
    moment = datetime.datetime.fromisoformat(text.replace("Z", "+00:00"))
    return int(moment.timestamp() * _MS_PER_S)


def _longest_wait_ms(results: list[load.Result]) -> float:
    """Returns the longest latency of requests answered at first attempt."""
    waits = [
        result.latency_s
        for result in results
        if result.verdict == "answered" and result.attempts == 1
    ]
    return round(max(waits, default=0.0) * _MS_PER_S, 1)


def as_dict(summary: Summary) -> dict[str, object]:
    """Returns a summary as built-in types, for JSON."""
    return msgspec.to_builtins(summary)


def render(summary: Summary) -> str:
    """Returns a summary as readable text."""
    lines = [f"== {summary.deployment}"]
    lines += [
        f"  {name:16} {value}"
        for name, value in as_dict(summary).items()
        if name not in ("deployment", "broken")
    ]
    return "\n".join(lines)
