"""Checks the history of a run against the guarantees of the deployments.

The checks rely on the targets' own logs of what took effect. All processes of
a run share one host, so their monotonic times can be compared. The name of a
check is its key in the summary.
"""

import collections
from collections.abc import Iterable

import msgspec

from demo import load
from standins import target as target_lib

# Time within which runs may still begin after their target began to leave.
LEAVING_LIMIT_S = 3.0


class History(msgspec.Struct, frozen=True):
    """Everything that was recorded during a run.

    Attributes:
        results: What each caller's request ended in.
        runs: Operations that took effect, from the targets' logs.
        leave_started_at: Monotonic time when each target began to leave, in
            seconds, by the target's name.
        drain_exit_codes: Exit code of each daemon that was asked to drain, by
            its name; None if the daemon did not exit in time.
        edited_weights: Weight that each accepted edit set, by table row.
        weights_in_force: Weights that each daemon applies, by table row.
    """

    results: list[load.Result]
    runs: list[target_lib.RunRecord]
    leave_started_at: dict[str, float] = {}
    drain_exit_codes: dict[str, int | None] = {}
    edited_weights: dict[str, int] = {}
    weights_in_force: dict[str, dict[str, int]] = {}


def _service(run: target_lib.RunRecord) -> str:
    return run.target.rpartition("-")[0]


def _non_idempotent(
    runs: Iterable[target_lib.RunRecord],
) -> list[target_lib.RunRecord]:
    return [run for run in runs if not run.operation.startswith("GET")]


def two_owners(history: History) -> list[str]:
    """Finds keys that two targets worked on at the same time."""
    runs_by_key = collections.defaultdict(list)
    for run in history.runs:
        runs_by_key[_service(run), run.key].append(run)
    violations = []
    for (service, key), runs in sorted(runs_by_key.items()):
        runs.sort(key=lambda run: run.begun)
        busy_until: dict[str, float] = {}
        for run in runs:
            others = [name for name in busy_until if name != run.target]
            if any(run.begun < busy_until[name] for name in others):
                violations.append(f"{service} {key}: {run.target} and {others}")
                break
            busy_until[run.target] = max(
                run.at, busy_until.get(run.target, 0.0)
            )
    return violations


def fences_fall(history: History) -> list[str]:
    """Finds runs whose fence is lower than an earlier one of the slot.

    Two targets that run operations under the same fence are reported as well.
    """
    highest: dict[tuple[str, int], target_lib.RunRecord] = {}
    violations = []
    for run in sorted(history.runs, key=lambda run: run.at):
        slot = (_service(run), run.slot)
        last = highest.get(slot)
        if last is not None and run.fence < last.fence:
            violations.append(f"{slot}: fence {run.fence} after {last.fence}")
        elif (
            last is not None
            and run.fence == last.fence
            and run.target != last.target
        ):
            violations.append(f"{slot}: fence {run.fence} at two targets")
        else:
            highest[slot] = run
    return violations


def wrong_answers(history: History) -> list[str]:
    """Finds answers that are truncated or belong to another request."""
    return [
        f"{result.request_id}: {result.answer_error}"
        for result in history.results
        if result.answer_error
    ]


def doubled(history: History) -> list[str]:
    """Finds non-idempotent requests that ran more than once."""
    counts = collections.Counter(
        run.request for run in _non_idempotent(history.runs)
    )
    return [
        f"{request}: ran {count} times"
        for request, count in counts.items()
        if count > 1
    ]


def ran_though_not(history: History) -> list[str]:
    """Finds requests that ran although each verdict was "not-run"."""
    executed = {run.request for run in _non_idempotent(history.runs)}
    return [
        result.request_id
        for result in history.results
        if set(result.verdicts) == {"not-run"} and result.request_id in executed
    ]


def answered_unrun(history: History) -> list[str]:
    """Finds requests that were answered although no target ran them."""
    executed = {run.request for run in history.runs}
    return [
        result.request_id
        for result in history.results
        if result.verdict == "answered" and result.request_id not in executed
    ]


def work_after_leaving(history: History) -> list[str]:
    """Finds runs that began too long after their target began to leave."""
    return [
        f"{run.target}: "
        f"{run.begun - history.leave_started_at[run.target]:.1f} s later"
        for run in history.runs
        if run.target in history.leave_started_at
        and run.begun > history.leave_started_at[run.target] + LEAVING_LIMIT_S
    ]


def cut_by_shutdown(history: History) -> list[str]:
    """Finds daemons whose drain did not end with exit code 0."""
    return [
        f"{name}: exit code {code}"
        for name, code in history.drain_exit_codes.items()
        if code != 0
    ]


def reverted_edits(history: History) -> list[str]:
    """Finds daemons that do not apply the weight of an accepted edit."""
    return [
        f"{daemon}: {row} is {weights.get(row)}, not {weight}"
        for daemon, weights in history.weights_in_force.items()
        for row, weight in history.edited_weights.items()
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


def find_violations(history: History) -> dict[str, list[str]]:
    """Returns the violations that each check finds, by the check's name."""
    return {check.__name__: check(history) for check in CHECKS}
