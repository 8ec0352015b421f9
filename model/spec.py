"""States and steps of the ownership protocol of one slot.

Parties: the owner O with epoch 1 (three witnesses) and epoch 2 (one other
witness), the slot's successor S, the taker P of a planned move, and Q, who
claims what is left when S is over as well. Time is relative and counted in
ticks; a party that is paused simply takes no step. A write or message that
is slow or lost, or a table that is down, is a step that is not taken.

With `explicit` answers, a grant and its answer are two steps, and the answer
carries a sending time up to `DELAY` ticks before the grant. Without, the
owner learns of each grant at once: it then counts its lease as long as it
ever could, so every double service with delays is one without them too.
Seals are answered at once: a later answer makes the successor wait longer.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator
from typing import NamedTuple

LEASE = 2
# Ticks that S's clock may run ahead of O's within a lease.
DRIFT = 1
DELAY = 1
# An age at which every grant is over, even on a clock that runs ahead.
OLD = LEASE + DRIFT
UNTOLD = -1
FIRST_WITNESSES = 3


class Rule(enum.Enum):
    """A rule of the protocol; a mutant is the model without it."""

    RETIRE_FIRST = "retire a majority before a new epoch is written"
    WAIT = "wait until the old lease is over"
    MAJORITY = "seals of a majority"
    SEALS_KEPT = "a witness that restarts is no witness any more"
    FROM_SENDING = "a grant counts from the renewal's sending"
    DRIFT_MARGIN = "wait for the clocks' difference as well"
    BOTH_EPOCHS = "an undecided write needs both epochs' grants"
    NEVER_ABANDON = "a write of unknown outcome stays pending"
    RETIRED_BY_TABLE = "a retired epoch ends only by the table"
    HEIR_FIRST = "left slots are claimed only when the successor is over"
    SKIP_FENCE = "a claim of left slots leaves one fence out"


class Wit(NamedTuple):
    """A witness of one epoch, and what O and S know from it.

    Attributes:
        state: `o`pen, `s`ealed, `r`etired, `c`losed or `x` for gone.
        age: Ticks since its last grant; `OLD` for long ago or never.
        expiry: Ticks for which the owner still counts its grant.
        told: State in its answer to S: `s`, `c`, or `-` for no answer.
        since: Ticks since its last grant as S counts them, or `UNTOLD`.
    """

    state: str = "o"
    age: int = OLD
    expiry: int = 0
    told: str = "-"
    since: int = UNTOLD


class State(NamedTuple):
    """All that the parties and the table know.

    Attributes:
        first: Witnesses of epoch 1, sorted: they are interchangeable.
        second: The witness of epoch 2.
        record: What the table shows: `1` or `2` for the epoch, `m` for the
            slot moved to P, `S` for taken by S, `h` for closed with the slot
            left to S, `Q` for taken by Q.
        epoch: The epoch under which O counts its lease; 0 once deposed.
        prepared: Whether O collects grants of epoch 2.
        write: O's write: `-` none, `k`/`m` sent (keep, move), `K`/`M`
            applied and unanswered, `f` failed and unanswered.
        owns: Whether O still counts the slot as its own.
        seen: Epoch of O's record that S knows.
        successor: `-`, `s` serving, `d` dead and over.
        taker: Whether P serves.
        claimer: Whether Q serves.
        served: Parties that have served under fence 2.
        crashes: How many witnesses may still crash.
    """

    first: tuple[Wit, ...]
    second: Wit
    record: str = "1"
    epoch: int = 1
    prepared: bool = False
    write: str = "-"
    owns: bool = True
    seen: int = 1
    successor: str = "-"
    taker: bool = False
    claimer: bool = False
    served: str = ""
    crashes: int = 1


@dataclasses.dataclass(frozen=True)
class Spec:
    """The steps, with all rules or without some.

    Attributes:
        without: Rules that do not hold.
        crashes: How many witnesses may crash.
        moves: Whether O may move the slot to P.
        explicit: Whether a grant and its answer are two steps.
    """

    without: frozenset[Rule] = frozenset()
    crashes: int = 1
    moves: bool = True
    explicit: bool = False

    state_type = State

    def initial(self) -> State:
        """Returns the state in which O holds a fresh lease."""
        fresh = Wit(age=0, expiry=LEASE)
        return State((fresh,) * FIRST_WITNESSES, Wit(), crashes=self.crashes)

    def holds(self, rule: Rule) -> bool:
        """Returns whether a rule holds."""
        return rule not in self.without

    def serving(self, state: State) -> list[str]:
        """Returns all parties that would serve the slot now."""
        parties = ["O"] if self._owner_serves(state) else []
        if state.successor == "s":
            parties.append("S")
        if state.taker:
            parties.append("P")
        if state.claimer:
            parties.append("Q")
        return parties

    def served(self, state: State) -> str:
        """Returns the parties that have served under the second fence."""
        return state.served

    def _owner_serves(self, state: State) -> bool:
        """Returns whether O would hand a request over now."""
        if not state.owns or not state.epoch or state.write in ("m", "M"):
            return False
        first = sum(wit.expiry > 0 for wit in state.first) >= 2
        second = state.second.expiry > 0
        if state.epoch == 2:
            return second
        if state.write != "-" and self.holds(Rule.BOTH_EPOCHS):
            return first and second
        return first

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yields every step that some party may take."""
        yield "tick", self._tick(state)
        yield from self._renewals(state)
        yield from self._crashes(state)
        yield from self._reconfiguration(state)
        yield from self._write(state)
        yield from self._seals(state)
        yield from self._takeover(state)
        yield from self._claims(state)

    # Time.

    def _tick(self, state: State) -> State:
        return _sorted(
            state._replace(
                first=tuple(_older(wit) for wit in state.first),
                second=_older(state.second),
            )
        )

    # The owner and its witnesses.

    def _renewals(self, state: State) -> Iterator[tuple[str, State]]:
        if state.epoch == 1:
            for index, wit in _distinct(state.first):
                for label, after in self._renew(wit):
                    yield f"{label} 1", _with(state, index, after)
        if state.prepared or state.epoch == 2:
            for label, after in self._renew(state.second):
                yield f"{label} 2", state._replace(second=after)

    def _renew(self, wit: Wit) -> Iterator[tuple[str, Wit]]:
        if wit.state in "or":
            expiry = wit.expiry if self.explicit else LEASE
            yield "grant", wit._replace(age=0, expiry=expiry)
        if not self.holds(Rule.FROM_SENDING) and wit.age < LEASE:
            yield "late answer", wit._replace(expiry=LEASE)
        if self.explicit:
            for late in range(DELAY + 1):
                left = LEASE - wit.age - late
                if left > wit.expiry:
                    yield "answer", wit._replace(expiry=left)

    def _crashes(self, state: State) -> Iterator[tuple[str, State]]:
        if not state.crashes:
            return
        fewer = state._replace(crashes=state.crashes - 1)
        for index, wit in _distinct(state.first):
            gone = wit._replace(state="x", age=OLD)
            if not self.holds(Rule.SEALS_KEPT):
                gone = wit._replace(state="o", age=OLD)
            elif wit.state not in "or":
                # What it answered still counts, and it renews no more.
                continue
            yield "crash of a witness", _with(fewer, index, gone)

    def _reconfiguration(self, state: State) -> Iterator[tuple[str, State]]:
        if state.epoch != 1 or not state.owns:
            return
        if not state.prepared:
            yield "prepare", state._replace(prepared=True)
            return
        for index, wit in _distinct(state.first):
            if wit.state == "o":
                retired = wit._replace(state="r")
                yield "retire", _with(state, index, retired)
        retired = sum(wit.state == "r" for wit in state.first)
        ready = retired >= 2 or not self.holds(Rule.RETIRE_FIRST)
        granted = state.second.expiry > 0
        granted = granted or not self.holds(Rule.BOTH_EPOCHS)
        if state.write == "-" and ready and granted:
            yield "send write", state._replace(write="k")
            if self.moves:
                yield "send write of a move", state._replace(write="m")

    def _write(self, state: State) -> Iterator[tuple[str, State]]:
        if state.write in "km" and state.write != "-":
            if state.record == "1":
                shown = "2" if state.write == "k" else "m"
                yield (
                    "write lands",
                    state._replace(record=shown, write=state.write.upper()),
                )
            else:
                yield "write conflicts", state._replace(write="f")
            if not self.holds(Rule.NEVER_ABANDON):
                yield (
                    "abandon",
                    state._replace(write="-", prepared=False),
                )
        elif state.write in "KM" and state.write != "-":
            if not self.holds(Rule.NEVER_ABANDON):
                yield (
                    "abandon",
                    state._replace(write="-", prepared=False),
                )
            yield (
                "O learns of its write",
                state._replace(epoch=2, write="-", owns=state.write == "K"),
            )
        elif state.write == "f":
            yield (
                "O learns of the conflict",
                state._replace(epoch=0, write="-", owns=False),
            )

    # Successor, taker and claimer.

    def _seals(self, state: State) -> Iterator[tuple[str, State]]:
        if state.successor != "-" or state.record in "mSQ":
            return
        if state.record == "2" and state.seen == 1:
            reset = tuple(
                wit._replace(told="-", since=UNTOLD) for wit in state.first
            )
            yield (
                "S reads the table",
                _sorted(state._replace(seen=2, first=reset)),
            )
        if state.seen == 1:
            for index, wit in _distinct(state.first):
                if wit.state in "or" and wit.told == "-":
                    yield "seal 1", _with(state, index, self._seal(wit))
        elif state.second.state in "or" and state.second.told == "-":
            yield "seal 2", state._replace(second=self._seal(state.second))

    def _seal(self, wit: Wit) -> Wit:
        told = "s" if wit.state == "o" else "c"
        return wit._replace(state=told, age=OLD, told=told, since=wit.age)

    def _takeover(self, state: State) -> Iterator[tuple[str, State]]:
        if state.successor != "-":
            if state.successor == "s":
                if state.record == str(state.seen):
                    yield "S records", state._replace(record="S")
                yield "S ends", state._replace(successor="d")
            return
        sealed = self._over(state, "s")
        stopped = self._over(state, "sc")
        if sealed or (stopped and not self.holds(Rule.RETIRED_BY_TABLE)):
            yield "S serves", _serving(state, "S")
        if stopped and state.record == str(state.seen):
            yield (
                "S closes and serves",
                _serving(state._replace(record="S"), "S"),
            )
            yield "somebody closes", state._replace(record="h")
        if state.record == "h":
            yield "S claims", _serving(state._replace(record="S"), "S")
        yield "S ends", state._replace(successor="d")

    def _over(self, state: State, kinds: str) -> bool:
        wits = state.first if state.seen == 1 else (state.second,)
        over = sum(wit.told in kinds and self._waited(wit) for wit in wits)
        needed = len(wits) // 2 + 1
        if not self.holds(Rule.MAJORITY):
            needed = 1
        return over >= needed

    def _waited(self, wit: Wit) -> bool:
        """Returns whether S may count the grant as over by its own clock."""
        if not self.holds(Rule.WAIT):
            return True
        wait = LEASE
        if self.holds(Rule.DRIFT_MARGIN):
            wait += DRIFT
        # S's clock may have run ahead.
        return wit.since + DRIFT >= wait

    def _claims(self, state: State) -> Iterator[tuple[str, State]]:
        if state.record == "m" and not state.taker:
            yield "P serves", _serving(state, "P")
        over = state.successor == "d" or not self.holds(Rule.HEIR_FIRST)
        if state.record == "h" and over:
            yield "Q claims", _serving(state._replace(record="Q"), "Q", self)
        closed = state.record in "hSQ" and state.write == "-"
        if closed and state.owns and state.epoch:
            yield "O is deposed", state._replace(epoch=0, owns=False)


def _serving(state: State, party: str, spec: Spec | None = None) -> State:
    served = state.served
    if spec is None or not spec.holds(Rule.SKIP_FENCE):
        served = "".join(sorted(set(served) | {party}))
    if party == "S":
        return state._replace(successor="s", served=served)
    if party == "P":
        return state._replace(taker=True, served=served)
    return state._replace(claimer=True, served=served)


def _older(wit: Wit) -> Wit:
    since = wit.since
    return wit._replace(
        age=min(OLD, wit.age + 1),
        expiry=max(0, wit.expiry - 1),
        since=min(OLD, since + 1) if since != UNTOLD else since,
    )


def _distinct(wits: tuple[Wit, ...]) -> Iterator[tuple[int, Wit]]:
    """Yields one of each group of witnesses in the same state."""
    for index, wit in enumerate(wits):
        if wit not in wits[:index]:
            yield index, wit


def _with(state: State, index: int, wit: Wit) -> State:
    first = (*state.first[:index], wit, *state.first[index + 1 :])
    return _sorted(state._replace(first=first))


def _sorted(state: State) -> State:
    return state._replace(first=tuple(sorted(state.first)))
