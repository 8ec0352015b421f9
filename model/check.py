"""Checks the specification with minicheck, and each mutant of it."""

import time

import minicheck
import msgspec

from model import anchor
from model import spec as spec_lib

ONE_OWNER = "at most one owner"
FENCES = "no two owners under one fence"


class Outcome(msgspec.Struct, frozen=True):
    """What the checker found.

    Attributes:
        holds: Whether both properties hold; None if it was cut short.
        states: Number of states reached.
        seconds: Time taken.
        trace: Labels of the shortest way to a violation.
        property: The property that is violated.
    """

    holds: bool | None
    states: int
    seconds: float
    trace: tuple[str, ...] = ()
    property: str = ""


Spec = spec_lib.Spec | anchor.Spec


def protocol(spec: Spec) -> minicheck.Protocol:
    """Returns a specification in the checker's form."""

    def one_owner(fields: dict) -> bool:
        return len(spec.serving(spec.state_type(**fields))) <= 1

    def fences(fields: dict) -> bool:
        return len(spec.served(spec.state_type(**fields))) <= 1

    def steps(state: tuple) -> list:
        here = spec.state_type(*state)
        if len(spec.serving(here)) > 1 or len(spec.served(here)) > 1:
            # The shortest way here is recorded: there is no more to learn.
            raise minicheck.IntBoundExceeded("violated")
        return list(spec.steps(here))

    return minicheck.Protocol(
        name="ownership",
        candidate=False,
        fields=spec.state_type._fields,
        initial=spec.initial(),
        transitions=steps,
        invariants={ONE_OWNER: one_owner, FENCES: fences},
    )


def check(spec: Spec, most: int) -> Outcome:
    """Searches all states, or the first `most` of them."""
    begun = time.monotonic()
    found = minicheck.check_safety(protocol(spec), max_states=most)
    taken = time.monotonic() - begun
    states = found["reachable_states"]
    properties = found["properties"]
    for name, verdict in properties.items():
        if verdict["holds"] is False:
            steps = verdict["counterexample"]
            labels = tuple(str(step["label"]) for step in steps[1:])
            return Outcome(False, states, taken, labels, name)
    proved = all(verdict["holds"] for verdict in properties.values())
    return Outcome(proved or None, states, taken)
