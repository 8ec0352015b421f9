"""The ownership protocol of one slot: its states and steps.

Parties: O owns the slot under epoch 1, which has three witnesses, and under
epoch 2, which has one other witness. S is the slot's successor. P receives
the slot in a planned move. Q claims a slot that was left to S once S has
ended too.

Time is relative and counted in ticks. A paused party takes no step. A slow or
lost write or message and an unreachable table are steps that are not taken.

With `explicit_answers`, a grant and its answer are separate steps, and the
answer carries a sending time up to `DELAY` ticks before the grant. Otherwise
the owner learns of each grant at once and counts its lease for the longest
possible time, so every double ownership that delays can cause also occurs
without them. Seals are always answered at once: a later answer only makes the
successor wait longer.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator
from typing import NamedTuple

# Ticks for which a grant is valid.
LEASE = 2
# Ticks by which S's clock may gain on O's within a lease.
DRIFT = 1
# Most ticks between the sending of a renewal and the witness's grant.
DELAY = 1
# Age in ticks at which a grant has expired by every clock; ages stop there.
OLD = LEASE + DRIFT
# Estimated age of a grant when S has no reply from the witness.
NO_REPLY = -1
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


class Witness(NamedTuple):
    """A witness of one epoch, and what O and S have learned from it.

    Attributes:
        state: `o`pen, `s`ealed, `r`etired, `c`losed, or `x` if it is lost.
        age: Ticks since its last grant; `OLD` if that is long ago or there
            was none.
        valid_for: Ticks for which O still counts the grant as valid.
        reply: State in the reply to S: `s`, `c`, or `-` for no reply.
        estimated_age: Ticks since the last grant as S counts them, or
            `NO_REPLY`.
    """

    state: str = "o"
    age: int = OLD
    valid_for: int = 0
    reply: str = "-"
    estimated_age: int = NO_REPLY


class State(NamedTuple):
    """State of the table, the parties and the witnesses.

    Attributes:
        first: Witnesses of epoch 1, sorted because they are interchangeable.
        second: The witness of epoch 2.
        record: What is recorded in the table: `1` or `2` for O's epoch, `m`
            if the slot was moved to P, `S` if S took it, `h` if O's record
            is closed with the slot left to S, `Q` if Q claimed it.
        epoch: The epoch under which O counts its lease; 0 once O is deposed.
        prepared: Whether O collects grants of epoch 2.
        write: O's write to the table: `-` none; `k` (keeps the slot) or `m`
            (moves it to P) sent; `K` or `M` applied but not yet known to O;
            `f` rejected but not yet known to O.
        owns: Whether O counts the slot as its own.
        known_epoch: Epoch of O's record as S last read it.
        successor: `-` if S has not taken over, `s` while it serves, `d` once
            it has ended.
        taker: Whether P serves.
        claimer: Whether Q serves.
        served: Parties that have served under the second fence.
        crashes_left: How many more witnesses may crash.
    """

    first: tuple[Witness, ...]
    second: Witness
    record: str = "1"
    epoch: int = 1
    prepared: bool = False
    write: str = "-"
    owns: bool = True
    known_epoch: int = 1
    successor: str = "-"
    taker: bool = False
    claimer: bool = False
    served: str = ""
    crashes_left: int = 1


@dataclasses.dataclass(frozen=True)
class Spec:
    """The protocol with all its rules, or a mutant without some of them.

    Attributes:
        without: Rules that are left out.
        max_crashes: How many witnesses may crash.
        allow_moves: Whether O may move the slot to P.
        explicit_answers: Whether a grant and its answer are separate steps.
    """

    without: frozenset[Rule] = frozenset()
    max_crashes: int = 1
    allow_moves: bool = True
    explicit_answers: bool = False

    state_type = State

    def initial(self) -> State:
        """Returns the state in which O has just been granted its lease."""
        fresh = Witness(age=0, valid_for=LEASE)
        return State(
            (fresh,) * FIRST_WITNESSES, Witness(), crashes_left=self.max_crashes
        )

    def holds(self, rule: Rule) -> bool:
        """Returns whether a rule is part of this protocol or mutant."""
        return rule not in self.without

    def serving_parties(self, state: State) -> list[str]:
        """Returns all parties that would serve a request for the slot now."""
        parties = ["O"] if self._owner_is_serving(state) else []
        if state.successor == "s":
            parties.append("S")
        if state.taker:
            parties.append("P")
        if state.claimer:
            parties.append("Q")
        return parties

    def second_fence_parties(self, state: State) -> str:
        """Returns the parties that have served under the second fence."""
        return state.served

    def _owner_is_serving(self, state: State) -> bool:
        """Returns whether O would pass a request to its target now."""
        if not state.owns or not state.epoch or state.write in ("m", "M"):
            return False
        first = sum(witness.valid_for > 0 for witness in state.first) >= 2
        second = state.second.valid_for > 0
        if state.epoch == 2:
            return second
        if state.write != "-" and self.holds(Rule.BOTH_EPOCHS):
            return first and second
        return first

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yields the label and next state of each step that may be taken."""
        yield "tick", self._tick(state)
        yield from self._renewal_steps(state)
        yield from self._crash_steps(state)
        yield from self._reconfiguration_steps(state)
        yield from self._write_steps(state)
        yield from self._seal_steps(state)
        yield from self._takeover_steps(state)
        yield from self._claim_steps(state)

    def _tick(self, state: State) -> State:
        return _sorted(
            state._replace(
                first=tuple(_tick_witness(witness) for witness in state.first),
                second=_tick_witness(state.second),
            )
        )

    def _renewal_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.epoch == 1:
            for index, witness in _distinct(state.first):
                for label, after in self._renew(witness):
                    yield f"{label} 1", _with_witness(state, index, after)
        if state.prepared or state.epoch == 2:
            for label, after in self._renew(state.second):
                yield f"{label} 2", state._replace(second=after)

    def _renew(self, witness: Witness) -> Iterator[tuple[str, Witness]]:
        if witness.state in "or":
            valid_for = witness.valid_for if self.explicit_answers else LEASE
            yield "grant", witness._replace(age=0, valid_for=valid_for)
        if not self.holds(Rule.FROM_SENDING) and witness.age < LEASE:
            yield "late answer", witness._replace(valid_for=LEASE)
        if self.explicit_answers:
            for delay in range(DELAY + 1):
                valid_for = LEASE - witness.age - delay
                if valid_for > witness.valid_for:
                    yield "answer", witness._replace(valid_for=valid_for)

    def _crash_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if not state.crashes_left:
            return
        crashed = state._replace(crashes_left=state.crashes_left - 1)
        for index, witness in _distinct(state.first):
            lost = witness._replace(state="x", age=OLD)
            if not self.holds(Rule.SEALS_KEPT):
                lost = witness._replace(state="o", age=OLD)
            elif witness.state not in "or":
                # Its crash changes nothing: the reply that S has still
                # counts, and it would grant no renewal anyway.
                continue
            yield "crash of a witness", _with_witness(crashed, index, lost)

    def _reconfiguration_steps(
        self, state: State
    ) -> Iterator[tuple[str, State]]:
        if state.epoch != 1 or not state.owns:
            return
        if not state.prepared:
            yield "prepare", state._replace(prepared=True)
            return
        for index, witness in _distinct(state.first):
            if witness.state == "o":
                retired = witness._replace(state="r")
                yield "retire", _with_witness(state, index, retired)
        retired_count = sum(witness.state == "r" for witness in state.first)
        ready = retired_count >= 2 or not self.holds(Rule.RETIRE_FIRST)
        granted = state.second.valid_for > 0
        granted = granted or not self.holds(Rule.BOTH_EPOCHS)
        if state.write == "-" and ready and granted:
            yield "send write", state._replace(write="k")
            if self.allow_moves:
                yield "send write of a move", state._replace(write="m")

    def _write_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.write in "km" and state.write != "-":
            if state.record == "1":
                record = "2" if state.write == "k" else "m"
                yield (
                    "write lands",
                    state._replace(record=record, write=state.write.upper()),
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

    def _seal_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.successor != "-" or state.record in "mSQ":
            return
        if state.record == "2" and state.known_epoch == 1:
            reset = tuple(
                witness._replace(reply="-", estimated_age=NO_REPLY)
                for witness in state.first
            )
            yield (
                "S reads the table",
                _sorted(state._replace(known_epoch=2, first=reset)),
            )
        if state.known_epoch == 1:
            for index, witness in _distinct(state.first):
                if witness.state in "or" and witness.reply == "-":
                    yield (
                        "seal 1",
                        _with_witness(state, index, self._seal(witness)),
                    )
        elif state.second.state in "or" and state.second.reply == "-":
            yield "seal 2", state._replace(second=self._seal(state.second))

    def _seal(self, witness: Witness) -> Witness:
        reply = "s" if witness.state == "o" else "c"
        return witness._replace(
            state=reply, age=OLD, reply=reply, estimated_age=witness.age
        )

    def _takeover_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.successor != "-":
            if state.successor == "s":
                if state.record == str(state.known_epoch):
                    yield "S records", state._replace(record="S")
                yield "S ends", state._replace(successor="d")
            return
        sealed = self._lease_ended(state, "s")
        ended = self._lease_ended(state, "sc")
        if sealed or (ended and not self.holds(Rule.RETIRED_BY_TABLE)):
            yield "S serves", _start_serving(state, "S")
        if ended and state.record == str(state.known_epoch):
            yield (
                "S closes and serves",
                _start_serving(state._replace(record="S"), "S"),
            )
            yield "somebody closes", state._replace(record="h")
        if state.record == "h":
            yield "S claims", _start_serving(state._replace(record="S"), "S")
        yield "S ends", state._replace(successor="d")

    def _lease_ended(self, state: State, replies: str) -> bool:
        """Returns whether S knows that O's lease under its epoch has ended.

        Args:
            state: The current state.
            replies: States in a witness's reply that count.
        """
        witnesses = state.first if state.known_epoch == 1 else (state.second,)
        ended = sum(
            witness.reply in replies and self._grant_ended(witness)
            for witness in witnesses
        )
        needed = len(witnesses) // 2 + 1
        if not self.holds(Rule.MAJORITY):
            needed = 1
        return ended >= needed

    def _grant_ended(self, witness: Witness) -> bool:
        """Returns whether S may treat a grant as expired by its own clock."""
        if not self.holds(Rule.WAIT):
            return True
        wait = LEASE
        if self.holds(Rule.DRIFT_MARGIN):
            wait += DRIFT
        # S's clock may have gained up to DRIFT ticks.
        return witness.estimated_age + DRIFT >= wait

    def _claim_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.record == "m" and not state.taker:
            yield "P serves", _start_serving(state, "P")
        successor_ended = state.successor == "d" or not self.holds(
            Rule.HEIR_FIRST
        )
        if state.record == "h" and successor_ended:
            yield (
                "Q claims",
                _start_serving(state._replace(record="Q"), "Q", self),
            )
        record_closed = state.record in "hSQ" and state.write == "-"
        if record_closed and state.owns and state.epoch:
            yield "O is deposed", state._replace(epoch=0, owns=False)


def _start_serving(state: State, party: str, spec: Spec | None = None) -> State:
    """Returns the state once S, P or Q serves the slot.

    S and P serve under the second fence. Q, for which `spec` is given, does so
    only if its claim does not leave that fence out.
    """
    served = state.served
    if spec is None or not spec.holds(Rule.SKIP_FENCE):
        served = "".join(sorted(set(served) | {party}))
    if party == "S":
        return state._replace(successor="s", served=served)
    if party == "P":
        return state._replace(taker=True, served=served)
    return state._replace(claimer=True, served=served)


def _tick_witness(witness: Witness) -> Witness:
    estimated_age = witness.estimated_age
    return witness._replace(
        age=min(OLD, witness.age + 1),
        valid_for=max(0, witness.valid_for - 1),
        estimated_age=min(OLD, estimated_age + 1)
        if estimated_age != NO_REPLY
        else estimated_age,
    )


def _distinct(witnesses: tuple[Witness, ...]) -> Iterator[tuple[int, Witness]]:
    """Yields one of each group of witnesses in the same state."""
    for index, witness in enumerate(witnesses):
        if witness not in witnesses[:index]:
            yield index, witness


def _with_witness(state: State, index: int, witness: Witness) -> State:
    first = (*state.first[:index], witness, *state.first[index + 1 :])
    return _sorted(state._replace(first=first))


def _sorted(state: State) -> State:
    return state._replace(first=tuple(sorted(state.first)))
