"""How the table alone ends the epoch of an owner that does not answer.

Parties: the owner O; the daemon C, which challenges O and closes its record;
the daemon D, which may challenge O as well; and the successor S, which owns the
slot once the record is closed. O's witnesses are left out: the model assumes
that they always renew its lease. Only the anchor limits O: after each
read of the table, O serves for at most `ANCHOR` ticks.

Time is counted in ticks. A paused party, a slow or lost call and an
unreachable table are steps that are not taken.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator
from typing import NamedTuple

# Ticks for which a read of the table lets O serve.
ANCHOR = 3
# Ticks by which C's clock may gain on O's within the wait.
DRIFT = 1
# Most ticks between the sending of a read and its arrival.
DELAY = 2
# Value of a time that is not being counted.
NONE = -1


class Rule(enum.Enum):
    """A rule of the protocol; a mutant is the model without it."""

    ANCHOR = "an owner that has not read the table for long serves nothing"
    FROM_SENDING = "a read counts from its sending"
    HELD = "a read that shows a challenge does not count"
    WAIT = "a challenge stands for the anchor time before it ends an epoch"
    DRIFT_MARGIN = "wait for the clocks' difference as well"
    SAME_CHALLENGE = "only the challenge that was waited for ends an epoch"


class State(NamedTuple):
    """State of the table, the owner and the daemon that challenges it.

    Attributes:
        valid_for: Ticks for which O's last read still lets it serve.
        deposed: Whether O knows that its record is closed.
        answer_due: Whether O has read a challenge that it has not answered.
        answer_sent: Whether an answer of O is on its way to the table.
        read_age: Ticks since O sent the read that is under way, or `NONE`.
        read_result: State of O's record in that read: `o`pen, `c`hallenged
            or `x` for closed; `-` if the table has not answered yet.
        challenge: Number of the challenge in the table; 0 for none.
        challenges: How many challenges have been made.
        closed: Whether the record is closed and the slot is S's.
        known_challenge: Number of the challenge that C last saw; 0 for none.
        waited: Ticks since C first saw that challenge, or `NONE`.
    """

    valid_for: int = ANCHOR
    deposed: bool = False
    answer_due: bool = False
    answer_sent: bool = False
    read_age: int = NONE
    read_result: str = "-"
    challenge: int = 0
    challenges: int = 0
    closed: bool = False
    known_challenge: int = 0
    waited: int = NONE


@dataclasses.dataclass(frozen=True)
class Spec:
    """The protocol with all its rules, or a mutant without some of them.

    Attributes:
        without: Rules that are left out.
        max_challenges: How many challenges may be made.
    """

    without: frozenset[Rule] = frozenset()
    max_challenges: int = 3

    state_type = State

    def initial(self) -> State:
        """Returns the state in which O has just read the table."""
        return State()

    def holds(self, rule: Rule) -> bool:
        """Returns whether a rule is part of this protocol or mutant."""
        return rule not in self.without

    def serving_parties(self, state: State) -> list[str]:
        """Returns all parties that would serve a request for the slot now."""
        read_valid = state.valid_for > 0 or not self.holds(Rule.ANCHOR)
        owner = ["O"] if read_valid and not state.deposed else []
        return [*owner, "S"] if state.closed else owner

    def second_fence_parties(self, state: State) -> str:
        """Returns the parties that have served under the second fence."""
        return "S" if state.closed else ""

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yields the label and next state of each step that may be taken."""
        if state.read_age < DELAY:
            yield "tick", _tick(state)
        yield from self._read_steps(state)
        yield from self._answer_steps(state)
        yield from self._challenge_steps(state)

    def _read_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.deposed:
            return
        if state.read_age == NONE:
            yield "O sends a read", state._replace(read_age=0, read_result="-")
            return
        yield "O's read is lost", state._replace(read_age=NONE, read_result="-")
        if state.read_result == "-":
            result = "c" if state.challenge else "o"
            result = "x" if state.closed else result
            yield "the table answers", state._replace(read_result=result)
            return
        read_done = state._replace(read_age=NONE, read_result="-")
        if state.read_result == "x":
            yield "O is deposed", read_done._replace(deposed=True)
            return
        challenged = state.read_result == "c"
        valid_for = state.valid_for
        if not challenged or not self.holds(Rule.HELD):
            elapsed = state.read_age if self.holds(Rule.FROM_SENDING) else 0
            valid_for = max(valid_for, ANCHOR - elapsed)
        yield (
            "O reads",
            read_done._replace(
                valid_for=valid_for, answer_due=state.answer_due or challenged
            ),
        )

    def _answer_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.answer_due and not state.answer_sent and not state.deposed:
            yield (
                "O sends its answer",
                state._replace(answer_sent=True, answer_due=False),
            )
        if state.answer_sent:
            yield "the answer is lost", state._replace(answer_sent=False)
            if not state.closed:
                yield (
                    "the answer lands",
                    state._replace(answer_sent=False, challenge=0),
                )

    def _challenge_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.closed:
            return
        if not state.challenge and state.challenges < self.max_challenges:
            number = state.challenges + 1
            challenged_state = state._replace(
                challenge=number, challenges=number
            )
            yield (
                "C challenges",
                challenged_state._replace(known_challenge=number, waited=0),
            )
            yield "D challenges", challenged_state
        if state.challenge != state.known_challenge:
            waited = 0 if state.challenge else NONE
            yield (
                "C reads",
                state._replace(known_challenge=state.challenge, waited=waited),
            )
        same_challenge = state.challenge == state.known_challenge
        same_challenge = same_challenge or not self.holds(Rule.SAME_CHALLENGE)
        if (
            state.challenge
            and state.known_challenge
            and same_challenge
            and self._waited_long_enough(state)
        ):
            yield "C closes", state._replace(closed=True, challenge=0)

    def _waited_long_enough(self, state: State) -> bool:
        if not self.holds(Rule.WAIT):
            return True
        wait = ANCHOR
        if self.holds(Rule.DRIFT_MARGIN):
            wait += DRIFT
        # C's clock may have gained up to DRIFT ticks.
        return state.waited + DRIFT >= wait


def _tick(state: State) -> State:
    waited = state.waited
    return state._replace(
        valid_for=max(0, state.valid_for - 1),
        read_age=state.read_age + 1 if state.read_age != NONE else NONE,
        waited=min(ANCHOR + DRIFT, waited + 1) if waited != NONE else NONE,
    )
