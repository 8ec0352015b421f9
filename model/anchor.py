"""States and steps by which the table alone ends a silent owner's epoch.

Parties: the owner O, the daemon C that challenges it and closes its record,
and D, which may challenge it as well. The slot is S's once the record is
closed. O's witnesses are left out: they are taken to renew its lease at all
times, so only the anchor ends it. Time is counted in ticks. A party that is
paused, a call that is slow or lost and a table that is away are steps that
are not taken.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator
from typing import NamedTuple

ANCHOR = 3
# Ticks that C's clock may run ahead of O's within the wait.
DRIFT = 1
# Longest time between the sending of a read and its arrival, ticks.
DELAY = 2
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
    """All that the parties and the table know.

    Attributes:
        left: Ticks for which O's last read still counts.
        deposed: Whether O knows that its record is closed.
        asked: Whether O has read of a challenge and not answered it yet.
        answering: Whether an answer of O's is on its way to the table.
        sent: Ticks since O sent the read that is open, or `NONE`.
        found: What that read found: `-` not there yet, `o`pen, `c`hallenged,
            `x` closed.
        challenge: Number of the challenge that stands; 0 for none.
        challenges: How many there were.
        closed: Whether the record is closed, and the slot S's.
        seen: Number of the challenge that C waits for; 0 for none.
        since: Ticks since C saw it, or `NONE`.
    """

    left: int = ANCHOR
    deposed: bool = False
    asked: bool = False
    answering: bool = False
    sent: int = NONE
    found: str = "-"
    challenge: int = 0
    challenges: int = 0
    closed: bool = False
    seen: int = 0
    since: int = NONE


@dataclasses.dataclass(frozen=True)
class Spec:
    """The steps, with all rules or without some.

    Attributes:
        without: Rules that do not hold.
        most: How many challenges there may be.
    """

    without: frozenset[Rule] = frozenset()
    most: int = 3

    state_type = State

    def initial(self) -> State:
        """Returns the state in which O has just read the table."""
        return State()

    def holds(self, rule: Rule) -> bool:
        """Returns whether a rule holds."""
        return rule not in self.without

    def serving(self, state: State) -> list[str]:
        """Returns all parties that would serve the slot now."""
        fresh = state.left > 0 or not self.holds(Rule.ANCHOR)
        owner = ["O"] if fresh and not state.deposed else []
        return [*owner, "S"] if state.closed else owner

    def served(self, state: State) -> str:
        """Returns the parties that have served under the second fence."""
        return "S" if state.closed else ""

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yields every step that some party may take."""
        if state.sent < DELAY:
            yield "tick", _later(state)
        yield from self._reads(state)
        yield from self._answers(state)
        yield from self._challenges(state)

    def _reads(self, state: State) -> Iterator[tuple[str, State]]:
        if state.deposed:
            return
        if state.sent == NONE:
            yield "O sends a read", state._replace(sent=0, found="-")
            return
        yield "O's read is lost", state._replace(sent=NONE, found="-")
        if state.found == "-":
            shown = "c" if state.challenge else "o"
            shown = "x" if state.closed else shown
            yield "the table answers", state._replace(found=shown)
            return
        done = state._replace(sent=NONE, found="-")
        if state.found == "x":
            yield "O is deposed", done._replace(deposed=True)
            return
        challenged = state.found == "c"
        left = state.left
        if not challenged or not self.holds(Rule.HELD):
            gone = state.sent if self.holds(Rule.FROM_SENDING) else 0
            left = max(left, ANCHOR - gone)
        yield (
            "O reads",
            done._replace(left=left, asked=state.asked or challenged),
        )

    def _answers(self, state: State) -> Iterator[tuple[str, State]]:
        if state.asked and not state.answering and not state.deposed:
            yield (
                "O sends its answer",
                state._replace(answering=True, asked=False),
            )
        if state.answering:
            yield "the answer is lost", state._replace(answering=False)
            if not state.closed:
                yield (
                    "the answer lands",
                    state._replace(answering=False, challenge=0),
                )

    def _challenges(self, state: State) -> Iterator[tuple[str, State]]:
        if state.closed:
            return
        if not state.challenge and state.challenges < self.most:
            number = state.challenges + 1
            put = state._replace(challenge=number, challenges=number)
            yield "C challenges", put._replace(seen=number, since=0)
            yield "D challenges", put
        if state.challenge != state.seen:
            since = 0 if state.challenge else NONE
            yield (
                "C reads",
                state._replace(seen=state.challenge, since=since),
            )
        same = state.challenge == state.seen
        same = same or not self.holds(Rule.SAME_CHALLENGE)
        if state.challenge and state.seen and same and self._waited(state):
            yield "C closes", state._replace(closed=True, challenge=0)

    def _waited(self, state: State) -> bool:
        if not self.holds(Rule.WAIT):
            return True
        wait = ANCHOR
        if self.holds(Rule.DRIFT_MARGIN):
            wait += DRIFT
        # C's clock may have run ahead.
        return state.since + DRIFT >= wait


def _later(state: State) -> State:
    since = state.since
    return state._replace(
        left=max(0, state.left - 1),
        sent=state.sent + 1 if state.sent != NONE else NONE,
        since=min(ANCHOR + DRIFT, since + 1) if since != NONE else NONE,
    )
