"""Checks a run's history against the brief's promises.

The targets' own logs of what took effect are the truth; they share the
machine's monotonic clock. Each check returns the violations it found.
"""

import collections
from collections.abc import Iterable

import msgspec

from demo import load
from standins import target as target_lib

LEAVING_LIMIT_S = 3.0


class History(msgspec.Struct, frozen=True):
    """All that is known of a run.

    Attributes:
        results: What the callers got.
        runs: What the targets say took effect.
        leave_started_at: Monotonic time when each target began to leave.
        drain_exit_codes: Exit code of each daemon that was asked to drain.
        edited_weights: For each accepted edit, the weight it set, by row.
        weights_in_force: For each daemon, the weight it has in force, by row.
    """

    results: list[load.Result]
    runs: list[target_lib.RunRecord]
    leave_started_at: dict[str, float] = {}
    drain_exit_codes: dict[str, int | None] = {}
    edited_weights: dict[str, int] = {}
    weights_in_force: dict[str, dict[str, int]] = {}


def _service(run: target_lib.RunRecord) -> str:
    return run.target.rpartition("-")[0]


def _unsafe(runs: Iterable[target_lib.RunRecord]) -> list[target_lib.RunRecord]:
    return [run for run in runs if not run.operation.startswith("GET")]


def two_owners(evidence: History) -> list[str]:
    """Finds keys that two targets worked on at the same time."""
    by_key = collections.defaultdict(list)
    for run in evidence.runs:
        by_key[_service(run), run.key].append(run)
    found = []
    for (service, key), group in sorted(by_key.items()):
        group.sort(key=lambda run: run.begun)
        busy: dict[str, float] = {}
        for run in group:
            others = [name for name in busy if name != run.target]
            if any(run.begun < busy[name] for name in others):
                found.append(f"{service} {key}: {run.target} and {others}")
                break
            busy[run.target] = max(run.at, busy.get(run.target, 0.0))
    return found


def fences_fall(evidence: History) -> list[str]:
    """Finds runs under a lower fence than an earlier run of the slot."""
    highest: dict[tuple[str, int], target_lib.RunRecord] = {}
    found = []
    for run in sorted(evidence.runs, key=lambda run: run.at):
        place = (_service(run), run.slot)
        last = highest.get(place)
        if last is not None and run.fence < last.fence:
            found.append(f"{place}: fence {run.fence} after {last.fence}")
        elif (
            last is not None
            and run.fence == last.fence
            and run.target != last.target
        ):
            found.append(f"{place}: fence {run.fence} at two targets")
        else:
            highest[place] = run
    return found


def wrong_answers(evidence: History) -> list[str]:
    """Finds answers that were not whole or not the caller's own."""
    return [
        f"{done.request_id}: {done.answer_error}"
        for done in evidence.results
        if done.answer_error
    ]


def doubled(evidence: History) -> list[str]:
    """Finds non-idempotent requests that ran more than once."""
    counts = collections.Counter(run.request for run in _unsafe(evidence.runs))
    return [
        f"{request}: ran {count} times"
        for request, count in counts.items()
        if count > 1
    ]


def ran_though_not(evidence: History) -> list[str]:
    """Finds requests that ran though every verdict said "not run"."""
    ran = {run.request for run in _unsafe(evidence.runs)}
    return [
        done.request_id
        for done in evidence.results
        if set(done.verdicts) == {"not-run"} and done.request_id in ran
    ]


def answered_unrun(evidence: History) -> list[str]:
    """Finds requests that were answered though no target ran them."""
    ran = {run.request for run in evidence.runs}
    return [
        done.request_id
        for done in evidence.results
        if done.verdict == "answered" and done.request_id not in ran
    ]


def work_after_leaving(evidence: History) -> list[str]:
    """Finds work that a leaving target got too late."""
    return [
        f"{run.target}: "
        f"{run.begun - evidence.leave_started_at[run.target]:.1f} s later"
        for run in evidence.runs
        if run.target in evidence.leave_started_at
        and run.begun > evidence.leave_started_at[run.target] + LEAVING_LIMIT_S
    ]


def cut_by_shutdown(evidence: History) -> list[str]:
    """Finds daemons that did not drain cleanly."""
    return [
        f"{name}: exit code {code}"
        for name, code in evidence.drain_exit_codes.items()
        if code != 0
    ]


def reverted_edits(evidence: History) -> list[str]:
    """Finds daemons in which an accepted edit is not in force."""
    return [
        f"{daemon}: {row} is {weights.get(row)}, not {weight}"
        for daemon, weights in evidence.weights_in_force.items()
        for row, weight in evidence.edited_weights.items()
        if weights.get(row) != weight
    ]


CHECKS = (
    two_owners,
    fences_fall,
    wrong_answers,
    doubled,
    ran_though_not,
    answered_unrun,
    work_after_leaving,
    cut_by_shutdown,
    reverted_edits,
)


def find_violations(evidence: History) -> dict[str, list[str]]:
    """Returns the violations of each check, by the check's name."""
    return {check.__name__: check(evidence) for check in CHECKS}
