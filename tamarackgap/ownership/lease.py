"""The owner's side of a lease that is granted by witnesses."""

import math

from tamarackgap import types


def majority(count: int) -> int:
    """Returns the smallest integer that is more than half of `count`."""
    return count // 2 + 1


class EpochGrants:
    """The grants that an owner holds for one epoch, one per witness.

    A grant is valid for the lease length from the time at which the owner
    *sent* the renewal, on the owner's clock. The witness counts from its
    later receipt, so a grant never ends later for the owner than for its
    witness.
    """

    def __init__(
        self,
        epoch: types.Epoch,
        witnesses: tuple[str, ...],
        length: types.Seconds,
        since: types.Seconds,
    ) -> None:
        """Creates the state of an epoch for which no witness has granted yet.

        Args:
            epoch: The epoch.
            witnesses: Incarnations of the witnesses.
            length: Time for which a grant is valid, seconds.
            since: Current time, seconds; a witness that never answers counts
                as silent from here on.
        """
        self._epoch = epoch
        self._length = length
        self._expiries = dict.fromkeys(witnesses, -math.inf)
        self._last_answers = dict.fromkeys(witnesses, since)
        self._states = dict.fromkeys(witnesses, types.WitnessState.OPEN)

    @property
    def epoch(self) -> types.Epoch:
        """The epoch that the grants are for."""
        return self._epoch

    @property
    def witnesses(self) -> tuple[str, ...]:
        """Incarnations of the witnesses."""
        return tuple(self._expiries)

    @property
    def quorum(self) -> int:
        """Number of witnesses that form a majority."""
        return majority(len(self._expiries))

    def record_answer(
        self,
        witness: str,
        state: types.WitnessState,
        now: types.Seconds,
        sent: types.Seconds | None = None,
    ) -> None:
        """Records a witness's answer; answers of others are ignored.

        Args:
            witness: The incarnation that answered.
            state: The witness's state for this epoch.
            now: Time of receipt, seconds.
            sent: Time at which the renewal was sent, seconds, or None if the
                answer grants nothing.
        """
        if witness not in self._expiries:
            return
        self._last_answers[witness] = now
        self._states[witness] = state
        if sent is not None:
            expiry = sent + self._length
            self._expiries[witness] = max(self._expiries[witness], expiry)

    def valid_until(self) -> float:
        """Returns the time up to which a majority of grants is valid, seconds.

        It is minus infinity while a majority has never granted.
        """
        if not self._expiries:
            return -math.inf
        ranked = sorted(self._expiries.values(), reverse=True)
        return ranked[self.quorum - 1]

    def count(self, *states: types.WitnessState) -> int:
        """Returns how many witnesses last reported one of `states`."""
        return sum(state in states for state in self._states.values())

    def has_majority(self, *states: types.WitnessState) -> bool:
        """Returns whether a majority last reported one of `states`."""
        return bool(self._states) and self.count(*states) >= self.quorum

    def silent_witnesses(
        self, now: types.Seconds, after: types.Seconds
    ) -> set[str]:
        """Returns the witnesses whose last answer is older than `after`.

        Args:
            now: Current time, seconds.
            after: Longest time without an answer, seconds.
        """
        return {
            witness
            for witness, answered_at in self._last_answers.items()
            if now - answered_at > after
        }

    def has_recent_majority(
        self, now: types.Seconds, within: types.Seconds
    ) -> bool:
        """Returns whether a majority has answered recently.

        Args:
            now: Current time, seconds.
            within: Largest age of an answer that counts, seconds.
        """
        silent = self.silent_witnesses(now, within)
        return len(self._last_answers) - len(silent) >= self.quorum

    def refusing_witnesses(self) -> set[str]:
        """Returns the witnesses that will not renew this epoch any more."""
        refusing = (
            types.WitnessState.SEALED,
            types.WitnessState.CLOSED,
            types.WitnessState.SUPERSEDED,
        )
        return {
            witness
            for witness, state in self._states.items()
            if state in refusing
        }


class Lease:
    """An owner's lease: its current epoch, and the next one in preparation.

    While it is unknown whether the write that begins the next epoch has been
    committed, the lease is valid only while the grants of both epochs are. So
    it never outlasts the lease that a successor computes, whichever epoch that
    successor reads from the table.

    The end of the lease never moves back, since the target may hold slots until
    then. So the next epoch is not written before its grants last as long as the
    lease has been promised to last.
    """

    def __init__(self, grants: EpochGrants) -> None:
        """Creates a lease whose current epoch is that of `grants`."""
        self._current = grants
        self._next: EpochGrants | None = None
        self._undecided = False
        # End of the lease when the next epoch could have been written but for
        # its grants' end; None before that.
        self._promised_until: float | None = None

    @property
    def current(self) -> EpochGrants:
        """Grants of the epoch that is recorded in the table."""
        return self._current

    @property
    def next(self) -> EpochGrants | None:
        """Grants of the epoch in preparation, or None."""
        return self._next

    @property
    def is_undecided(self) -> bool:
        """Whether the write that begins the next epoch may be committed."""
        return self._undecided

    def epochs(self) -> list[EpochGrants]:
        """Returns the grants of all epochs that have to be renewed."""
        if self._next is None:
            return [self._current]
        return [self._current, self._next]

    def valid_until(self) -> float:
        """Returns the end of the lease on the owner's clock, seconds."""
        until = self._current.valid_until()
        if self._next is None:
            return until
        if self._undecided:
            return min(until, self._next.valid_until())
        if self._promised_until is not None:
            # Not prolonged ahead of the next epoch's grants, which could
            # otherwise never catch up.
            return min(
                until, max(self._promised_until, self._next.valid_until())
            )
        return until

    def prepare(self, grants: EpochGrants) -> None:
        """Starts collecting grants of the next epoch."""
        self.abandon()
        self._next = grants

    def is_prepared(self, now: types.Seconds) -> bool:
        """Returns whether the write that begins the next epoch may be sent.

        A majority of witnesses has to retire the current epoch first. From
        then on a successor can end it only by a write to the table, which
        conflicts with this one. The next epoch's grants have to last at least
        as long as the lease has been promised to.
        """
        if self._next is None or self._next.valid_until() <= now:
            return False
        if self._current.witnesses and not self._current.has_majority(
            types.WitnessState.RETIRED
        ):
            return False
        if self._promised_until is None:
            self._promised_until = self._current.valid_until()
        return self._next.valid_until() >= self._promised_until

    def has_next_expired(self, now: types.Seconds) -> bool:
        """Returns whether the next epoch was granted, but no longer is."""
        return self._next is not None and (
            -math.inf < self._next.valid_until() <= now
        )

    def begin_write(self) -> None:
        """Records that the write that begins the next epoch is being sent."""
        self._undecided = True

    def promote(self) -> None:
        """Makes the next epoch current, once it is recorded in the table."""
        if self._next is not None:
            self._current = self._next
        self.abandon()

    def abandon(self) -> None:
        """Drops the next epoch, once it can't be committed any more."""
        self._next = None
        self._undecided = False
        self._promised_until = None
