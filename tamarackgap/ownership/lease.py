"""The owner's side of a witnessed lease."""

import math

from tamarackgap import types


def majority(count: int) -> int:
    """Returns the smallest number that is more than half of `count`."""
    return count // 2 + 1


class EpochGrants:
    """Grants that an owner holds for one epoch.

    A grant is valid until the *sending* of its renewal plus the lease's
    length, on the owner's own clock.
    """

    def __init__(
        self,
        epoch: types.Epoch,
        witnesses: tuple[str, ...],
        length: types.Seconds,
        since: types.Seconds,
    ) -> None:
        """Creates the grants of an epoch, with none given yet.

        Args:
            epoch: The epoch.
            witnesses: Incarnations of the witnesses.
            length: Length of a grant.
            since: Now, from which silence of a witness is counted.
        """
        self._epoch = epoch
        self._length = length
        self._expiries = dict.fromkeys(witnesses, -math.inf)
        self._heard = dict.fromkeys(witnesses, since)
        self._states = dict.fromkeys(witnesses, types.WitnessState.OPEN)

    @property
    def epoch(self) -> types.Epoch:
        """The epoch."""
        return self._epoch

    @property
    def witnesses(self) -> tuple[str, ...]:
        """Incarnations of the witnesses."""
        return tuple(self._expiries)

    @property
    def quorum(self) -> int:
        """How many witnesses are a majority."""
        return majority(len(self._expiries))

    def record_answer(
        self,
        witness: str,
        state: types.WitnessState,
        now: types.Seconds,
        sent: types.Seconds | None = None,
    ) -> None:
        """Takes a witness's answer in.

        Args:
            witness: Who answered.
            state: The witness's state for this epoch.
            now: Time of receipt.
            sent: Time when the renewal was sent, where it was granted.
        """
        if witness not in self._expiries:
            return
        self._heard[witness] = now
        self._states[witness] = state
        if sent is not None:
            expiry = sent + self._length
            self._expiries[witness] = max(self._expiries[witness], expiry)

    def valid_until(self) -> float:
        """Returns when fewer than a majority of grants will be valid."""
        if not self._expiries:
            return -math.inf
        ranked = sorted(self._expiries.values(), reverse=True)
        return ranked[self.quorum - 1]

    def count(self, *states: types.WitnessState) -> int:
        """Returns how many witnesses last said one of `states`."""
        return sum(state in states for state in self._states.values())

    def has_majority(self, *states: types.WitnessState) -> bool:
        """Returns whether a majority last said one of `states`."""
        return bool(self._states) and self.count(*states) >= self.quorum

    def silent_witnesses(
        self, now: types.Seconds, after: types.Seconds
    ) -> set[str]:
        """Returns the witnesses that have not answered for `after`."""
        return {
            witness
            for witness, heard in self._heard.items()
            if now - heard > after
        }

    def has_recent_majority(
        self, now: types.Seconds, within: types.Seconds
    ) -> bool:
        """Returns whether a majority has answered `within` the last time."""
        silent = self.silent_witnesses(now, within)
        return len(self._heard) - len(silent) >= self.quorum

    def refusing_witnesses(self) -> set[str]:
        """Returns the witnesses that will renew no more."""
        stopped = (
            types.WitnessState.SEALED,
            types.WitnessState.CLOSED,
            types.WitnessState.SUPERSEDED,
        )
        return {
            witness
            for witness, state in self._states.items()
            if state in stopped
        }


class Lease:
    """An owner's lease: its epoch, and the next one while it is prepared.

    While a write that begins the next epoch has an unknown outcome, the
    lease holds only as long as both epochs' grants do. So it is safe
    whichever of the two the table shows to a successor.
    """

    def __init__(self, grants: EpochGrants) -> None:
        """Creates a lease under `grants`."""
        self._current = grants
        self._next: EpochGrants | None = None
        self._undecided = False

    @property
    def current(self) -> EpochGrants:
        """Grants of the epoch that the table shows."""
        return self._current

    @property
    def next(self) -> EpochGrants | None:
        """Grants of the epoch that is being prepared, if any."""
        return self._next

    @property
    def undecided(self) -> bool:
        """Whether a write that begins the next epoch may have landed."""
        return self._undecided

    def epochs(self) -> list[EpochGrants]:
        """Returns all grants that have to be renewed."""
        if self._next is None:
            return [self._current]
        return [self._current, self._next]

    def valid_until(self) -> float:
        """Returns the end of the lease on the owner's clock, seconds."""
        until = self._current.valid_until()
        if self._undecided and self._next is not None:
            until = min(until, self._next.valid_until())
        return until

    def prepare(self, grants: EpochGrants) -> None:
        """Begins to collect grants of the next epoch."""
        self._next = grants

    def is_prepared(self, now: types.Seconds) -> bool:
        """Returns whether the write that begins the next epoch may be sent.

        The present epoch has to be retired at a majority first, so that no
        successor can end it unseen by the table.
        """
        if self._next is None or self._next.valid_until() <= now:
            return False
        return not self._current.witnesses or self._current.has_majority(
            types.WitnessState.RETIRED
        )

    def begin_write(self) -> None:
        """Notes that the write that begins the next epoch is being sent."""
        self._undecided = True

    def promote(self) -> None:
        """Makes the next epoch the current one: the table shows it."""
        if self._next is not None:
            self._current = self._next
        self.abandon()

    def abandon(self) -> None:
        """Drops the next epoch: the table will never show it."""
        self._next = None
        self._undecided = False
