"""Checks the specifications and their mutants with minicheck."""

import time

import minicheck
import msgspec

from model import anchor, grants
from model import spec as spec_lib

ONE_OWNER = "at most one owner"
FENCES = "no two owners under one fence"


class CheckResult(msgspec.Struct, frozen=True):
    """Result of checking one specification.

    Attributes:
        holds: Whether both properties hold; None if the search ended at its
            limit of states without a violation.
        states: Number of states reached.
        seconds: Duration of the search.
        trace: Labels of the steps of the shortest violation.
        property: The property that is violated.
    """

    holds: bool | None
    states: int
    seconds: float
    trace: tuple[str, ...] = ()
    property: str = ""


Spec = spec_lib.Spec | anchor.Spec | grants.Spec


def protocol(spec: Spec) -> minicheck.Protocol:
    """Returns a specification as a protocol of minicheck."""

    def one_owner(fields: dict) -> bool:
        return len(spec.serving_parties(spec.state_type(**fields))) <= 1

    def distinct_fences(fields: dict) -> bool:
        return len(spec.second_fence_parties(spec.state_type(**fields))) <= 1

    def steps(fields: tuple) -> list:
        state = spec.state_type(*fields)
        if (
            len(spec.serving_parties(state)) > 1
            or len(spec.second_fence_parties(state)) > 1
        ):
            # minicheck has the shortest trace to this violation already: do
            # not search beyond it.
            raise minicheck.IntBoundExceeded("violated")
        return list(spec.steps(state))

    return minicheck.Protocol(
        name="ownership",
        candidate=False,
        fields=spec.state_type._fields,
        initial=spec.initial(),
        transitions=steps,
        invariants={ONE_OWNER: one_owner, FENCES: distinct_fences},
    )


def check(spec: Spec, max_states: int) -> CheckResult:
    """Checks both properties in all reachable states.

    Args:
        spec: The specification or mutant.
        max_states: Most states to search.
    """
    started_at = time.monotonic()
    report = minicheck.check_safety(protocol(spec), max_states=max_states)
    seconds = time.monotonic() - started_at
    states = report["reachable_states"]
    properties = report["properties"]
    for name, verdict in properties.items():
        if verdict["holds"] is False:
            steps = verdict["counterexample"]
            labels = tuple(str(step["label"]) for step in steps[1:])
            return CheckResult(False, states, seconds, labels, name)
    proved = all(verdict["holds"] for verdict in properties.values())
    return CheckResult(proved or None, states, seconds)
