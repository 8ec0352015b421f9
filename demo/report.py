"""Judges a run against the targets' own logs."""

import collections
import datetime
import re

import msgspec

from demo import cluster, load

_MILLISECONDS = 1000
_ONE_SECOND_OF_LOSS_S = 1.0


class Summary(msgspec.Struct, frozen=True):
    """The outcome of one deployment's run.

    Attributes:
        deployment: Its name.
        requests: Number of requests.
        answered: Of those, answered whole.
        refused: Refused as not run, by reason.
        may_have_run: Refused as "may have run", by reason.
        unconnected: Requests whose every sending found no daemon.
        wrong: Wrong or crossed answers.
        doubled: Non-idempotent operations that ran more than once.
        ran_though_not: Requests told "not run" that ran.
        two_owners: Keys run by two targets in overlapping times.
        p50_ms: Median latency of answered requests.
        p99_ms: 99th percentile of the same.
        imbalance: Greatest over mean number of runs at a service's targets.
        moved: Slots that changed their owner during the run.
        unavailable_ms: Longest time that a taken-over slot was not served.
        drained: Exit code of the daemon that drained.
        broken: Promises that did not hold.
    """

    deployment: str
    requests: int
    answered: int
    refused: dict[str, int]
    may_have_run: dict[str, int]
    unconnected: int
    wrong: int
    doubled: int
    ran_though_not: int
    two_owners: int
    p50_ms: float
    p99_ms: float
    imbalance: dict[str, float]
    moved: int
    unavailable_ms: float
    drained: int | None
    broken: tuple[str, ...]


def summarise(
    running: cluster.Cluster, part: load.Load, drained: int | None
) -> Summary:
    """Returns the outcome of a run."""
    results = part.results
    runs = running.runs()
    by_request = collections.Counter(
        run["request"] for run in runs if not run["operation"].startswith("GET")
    )
    doubled = sum(count > 1 for count in by_request.values())
    ran_though_not = sum(
        by_request[done.request] > 0
        for done in results
        if set(done.verdicts) == {"not-run"}
    )
    wrong = sum(bool(done.wrong) for done in results)
    latencies = sorted(
        done.seconds for done in results if done.verdict == "answered"
    )
    overlapping = _overlaps(runs)
    broken = [
        f"{running.deployment.name}: {count} {text}"
        for count, text in (
            (wrong, "wrong or crossed answers"),
            (doubled, "doubled operations"),
            (ran_though_not, "requests ran though told not run"),
            (overlapping, "keys run by two targets at once"),
            (not latencies, "answers missing altogether"),
            (drained != 0, "daemons that did not drain with exit 0"),
        )
        if count
    ]
    return Summary(
        deployment=running.deployment.name,
        requests=len(results),
        answered=len(latencies),
        refused=_reasons(results, "not-run"),
        may_have_run=_reasons(results, "may-have-run"),
        unconnected=sum(done.verdict == "no-connection" for done in results),
        wrong=wrong,
        doubled=doubled,
        ran_though_not=ran_though_not,
        two_owners=overlapping,
        p50_ms=_percentile(latencies, 0.5),
        p99_ms=_percentile(latencies, 0.99),
        imbalance=_imbalance(running, runs),
        moved=_moved(running, part),
        unavailable_ms=_unavailable(results),
        drained=drained,
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


def _overlaps(runs: list[dict]) -> int:
    """Returns how many keys two targets worked on at the same time."""
    by_key = collections.defaultdict(list)
    for run in runs:
        service = run["target"].rpartition("-")[0]
        by_key[service, run["key"]].append(run)
    found = 0
    for group in by_key.values():
        group.sort(key=lambda run: run["begun"])
        busy_until: dict[str, float] = {}
        overlap = False
        for run in group:
            overlap = overlap or any(
                target != run["target"] and run["begun"] < until
                for target, until in busy_until.items()
            )
            until = busy_until.get(run["target"], 0.0)
            busy_until[run["target"]] = max(until, run["at"])
        found += overlap
    return found


def _imbalance(running: cluster.Cluster, runs: list[dict]) -> dict[str, float]:
    found = {}
    for service in running.deployment.services:
        counts = collections.Counter(
            run["target"]
            for run in runs
            if run["target"].rpartition("-")[0] == service.name
        )
        mean = sum(counts.values()) / service.servers
        found[service.name] = round(max(counts.values()) / mean, 2)
    return found


def _moved(running: cluster.Cluster, part: load.Load) -> int:
    """Returns slots moved or taken over, from the daemons' logs."""
    begun = min(done.request.partition("-")[0] for done in part.results)
    moved = 0
    for place in running.places:
        path = running.folder / f"{place.name}.log"
        for line in path.read_text(encoding="utf-8").splitlines():
            pairs = dict(re.findall(r'(\w+)=("[^"]*"|\S+)', line))
            if _stamp_ms(pairs["time"]) < int(begun):
                continue
            if pairs["event"] == "move":
                moved += 1
            elif pairs["event"] == "taken_over":
                moved += int(pairs["slots"])
    return moved


def _stamp_ms(text: str) -> int:
    moment = datetime.datetime.fromisoformat(text.replace("Z", "+00:00"))
    return int(moment.timestamp() * _MILLISECONDS)


def _unavailable(results: list[load.Result]) -> float:
    """Returns the longest that any urgent request waited for its answer."""
    waits = [
        done.seconds
        for done in results
        if done.verdict == "answered" and done.sends == 1
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
