"""What a daemon promises as a witness of other daemons' leases.

All state is volatile. A process that restarts is a new incarnation, which
no record names, so a promise is never forgotten: it ends with the process.
"""

import math

import msgspec

from tamarackgap import types

_STOPPED = frozenset({types.WitnessState.SEALED, types.WitnessState.CLOSED})


class Entry(msgspec.Struct):
    """A witness's state for one owner's epoch.

    Attributes:
        state: What the witness will still do.
        granted_at: Time of the last grant, or None if there was none.
        released: Whether the owner itself gave the epoch up.
    """

    state: types.WitnessState = types.WitnessState.OPEN
    granted_at: types.Seconds | None = None
    released: bool = False

    def age(self, now: types.Seconds) -> float:
        """Returns seconds since the last grant; infinite if none counts."""
        if self.released or self.granted_at is None:
            return math.inf
        return now - self.granted_at


class Suspicion(msgspec.Struct, frozen=True):
    """An owner's epoch that is no longer renewed here."""

    owner: types.Incarnation
    epoch: types.Epoch


class Witness:
    """The grants, seals and retirements that this incarnation has given."""

    def __init__(self, suspect_after: types.Seconds) -> None:
        """Creates a witness that has promised nothing.

        Args:
            suspect_after: Age of the last grant from which a seal is given.
        """
        self._suspect_after = suspect_after
        self._entries: dict[str, dict[int, Entry]] = {}

    def entry(self, owner: str, epoch: int) -> Entry | None:
        """Returns the entry of an epoch, made if new; None if superseded.

        An owner prepares its next epoch while the last one still counts, so
        the two highest are kept.
        """
        epochs = self._entries.setdefault(owner, {})
        if epoch in epochs:
            return epochs[epoch]
        if epochs and epoch < max(epochs):
            return None
        for old in [known for known in epochs if known < epoch - 1]:
            del epochs[old]
        return epochs.setdefault(epoch, Entry())

    def renew(
        self,
        owner: str,
        epoch: int,
        now: types.Seconds,
        probe: bool = False,
    ) -> types.WitnessState:
        """Grants, if the returned state is OPEN or RETIRED.

        A probe is no renewal: the owner may not hear the answers, and would
        stay unserved and unsuspected for ever.
        """
        entry = self.entry(owner, epoch)
        if entry is None:
            return types.WitnessState.SUPERSEDED
        if entry.state not in _STOPPED and not probe:
            entry.granted_at = now
        return entry.state

    def seal(
        self, owner: str, epoch: int, now: types.Seconds
    ) -> tuple[types.WitnessState, float]:
        """Stops renewing, unless the owner has renewed lately.

        Returns:
            The state afterwards, and the age of the last grant in seconds.
        """
        entry = self.entry(owner, epoch)
        if entry is None:
            return types.WitnessState.SUPERSEDED, 0.0
        age = entry.age(now)
        if age >= self._suspect_after:
            if entry.state is types.WitnessState.OPEN:
                entry.state = types.WitnessState.SEALED
            elif entry.state is types.WitnessState.RETIRED:
                entry.state = types.WitnessState.CLOSED
        return entry.state, age

    def retire(self, owner: str, epoch: int) -> types.WitnessState:
        """Lets the epoch end only by the table, unless it is sealed."""
        entry = self.entry(owner, epoch)
        if entry is None:
            return types.WitnessState.SUPERSEDED
        if entry.state is types.WitnessState.OPEN:
            entry.state = types.WitnessState.RETIRED
        return entry.state

    def release(self, owner: str, epoch: int) -> None:
        """Notes that the owner has given the epoch up."""
        entry = self.entry(owner, epoch)
        if entry is not None:
            entry.released = True

    def suspicions(self, now: types.Seconds) -> list[Suspicion]:
        """Returns the epochs whose last grant is old.

        Of an owner's two latest epochs only the table knows which counts:
        the later one may have been prepared and never written.
        """
        return [
            Suspicion(types.Incarnation(owner), types.Epoch(epoch))
            for owner, epochs in self._entries.items()
            for epoch, entry in epochs.items()
            if (entry.granted_at is not None or entry.released)
            and entry.age(now) >= self._suspect_after
        ]

    def forget_suspicion(self, suspicion: Suspicion) -> None:
        """Stops reporting an epoch whose record is gone from the table.

        The state itself stays: a paused owner may still ask for a renewal.
        """
        entry = self._entries[suspicion.owner][suspicion.epoch]
        entry.granted_at = None
        entry.released = False
        entry.state = types.WitnessState.CLOSED
