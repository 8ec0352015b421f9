"""Judges a run against the targets' own logs."""

import collections
import datetime
import re

import msgspec

from demo import checker, cluster, load

_MILLISECONDS = 1000


class Summary(msgspec.Struct, frozen=True):
    """The outcome of one deployment's run.

    Attributes:
        deployment: Its name.
        requests: Number of requests.
        answered: Of those, answered whole.
        refused: Refused as not run, by reason.
        may_have_run: Refused as "may have run", by reason.
        unconnected: Requests whose every sending found no daemon.
        violations: Violations found by each check of `judge`.
        p50_ms: Median latency of answered requests.
        p99_ms: 99th percentile of the same.
        imbalance: Greatest over mean number of runs at a service's targets.
        moved: Slots that changed their owner during the run.
        longest_wait_ms: Longest time to an answer without a resend.
        broken: Promises that did not hold.
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


def summarise(running: cluster.Cluster, evidence: checker.History) -> Summary:
    """Returns the outcome of a run."""
    results = evidence.results
    violations = checker.find_violations(evidence)
    latencies = sorted(
        done.latency_s for done in results if done.verdict == "answered"
    )
    name = running.deployment.name
    broken = [
        f"{name}: {check}: {len(found)}, such as {found[0]}"
        for check, found in violations.items()
        if found
    ]
    if not latencies:
        broken.append(f"{name}: nothing was answered")
    return Summary(
        deployment=name,
        requests=len(results),
        answered=len(latencies),
        refused=_reasons(results, "not-run"),
        may_have_run=_reasons(results, "may-have-run"),
        unconnected=sum(done.verdict == "no-connection" for done in results),
        violations={check: len(found) for check, found in violations.items()},
        p50_ms=_percentile(latencies, 0.5),
        p99_ms=_percentile(latencies, 0.99),
        imbalance=_imbalance(running, evidence.runs),
        moved=_moved(running, results),
        longest_wait_ms=_longest_wait(results),
        broken=tuple(broken),
    )


def _reasons(results: list[load.Result], verdict: str) -> dict[str, int]:
    return dict(
        collections.Counter(
            done.reason for done in results if done.verdict == verdict
        )
    )


def _percentile(ordered: list[float], share: float) -> float:
    if not ordered:
        return float("nan")
    index = min(len(ordered) - 1, int(len(ordered) * share))
    return round(ordered[index] * _MILLISECONDS, 1)


def _imbalance(running: cluster.Cluster, runs: list[dict]) -> dict[str, float]:
    found = {}
    for service in running.deployment.services:
        counts = collections.Counter(
            run.target
            for run in runs
            if run.target.rpartition("-")[0] == service.name
        )
        mean = sum(counts.values()) / service.target_count
        found[service.name] = round(max(counts.values()) / mean, 2)
    return found


def _moved(running: cluster.Cluster, results: list[load.Result]) -> int:
    """Returns slots moved or taken over, from the daemons' logs."""
    begun = min(int(done.request_id.partition("-")[0]) for done in results)
    moved = 0
    for event, field in (("slots_changed", "gained"), ("taken_over", "slots")):
        moved += sum(
            int(re.search(rf" {field}=(\d+)", line)[1])
            for line in running.log_lines(event)
            if _stamp_ms(line) >= begun
        )
    return moved


def _stamp_ms(line: str) -> int:
    text = re.search(r"time=(\S+)", line)[1]
    moment = datetime.datetime.fromisoformat(text.replace("Z", "+00:00"))
    return int(moment.timestamp() * _MILLISECONDS)


def _longest_wait(results: list[load.Result]) -> float:
    """Returns the longest time to an answer without a resend."""
    waits = [
        done.latency_s
        for done in results
        if done.verdict == "answered" and done.attempts == 1
    ]
    return round(max(waits, default=0.0) * _MILLISECONDS, 1)


def as_dict(summary: Summary) -> dict[str, object]:
    """Returns a summary as plain data."""
    return msgspec.to_builtins(summary)


def render(summary: Summary) -> str:
    """Returns a summary for a person."""
    lines = [f"== {summary.deployment}"]
    lines += [
        f"  {name:16} {value}"
        for name, value in as_dict(summary).items()
        if name not in ("deployment", "broken")
    ]
    return "\n".join(lines)
