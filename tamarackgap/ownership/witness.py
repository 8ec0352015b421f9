"""The state that a daemon keeps as a witness of other daemons' leases.

All state is volatile. A process that restarts gets a new incarnation id,
which no lease record names as a witness, so no daemon relies on a grant or
seal that the restart has lost.
"""

import math
from collections.abc import Callable

import msgspec

from tamarackgap import types

# States of a witness that will not renew the epoch any more.
_STOPPED_STATES = frozenset(
    {types.WitnessState.SEALED, types.WitnessState.CLOSED}
)


class EpochState(msgspec.Struct):
    """A witness's state for one owner's epoch.

    Attributes:
        state: Which requests the witness still accepts for the epoch.
        granted_at: Time of the last grant, seconds, or None if there was
            none.
        released: Whether the owner itself has given the epoch up.
    """

    state: types.WitnessState = types.WitnessState.OPEN
    granted_at: types.Seconds | None = None
    released: bool = False

    def age(self, now: types.Seconds) -> float:
        """Returns the age of the last grant, seconds.

        It is infinite if there was no grant, or if the owner has given the
        epoch up.
        """
        if self.released or self.granted_at is None:
            return math.inf
        return now - self.granted_at


class Suspicion(msgspec.Struct, frozen=True):
    """An epoch that its owner has stopped renewing at this witness."""

    owner: types.Incarnation
    epoch: types.Epoch


class Witness:
    """The grants, seals and retirements that one incarnation has given."""

    def __init__(self, suspect_after: Callable[[str], float]) -> None:
        """Creates a witness that has granted nothing.

        Args:
            suspect_after: Returns the age of the last grant from which on an
                owner is suspected and its epoch may be sealed, seconds.
        """
        self._suspect_after = suspect_after
        self._epoch_states: dict[str, dict[int, EpochState]] = {}

    def epoch_state(self, owner: str, epoch: int) -> EpochState | None:
        """Returns the state of an epoch, or None if a later epoch is known.

        Creates the state if the epoch is new. The two highest epochs of an
        owner are kept, because it prepares the next one while the current
        one is in use.
        """
        epochs = self._epoch_states.setdefault(owner, {})
        if epoch in epochs:
            return epochs[epoch]
        if epochs and epoch < max(epochs):
            return None
        for old in [known for known in epochs if known < epoch - 1]:
            del epochs[old]
        return epochs.setdefault(epoch, EpochState())

    def renew(
        self,
        owner: str,
        epoch: int,
        now: types.Seconds,
        probe: bool = False,
    ) -> types.WitnessState:
        """Renews a grant, unless the epoch has been sealed or closed.

        A probe renews nothing. If it did, an owner that can send but not
        receive would keep its grants fresh here: it would not serve, and no
        successor would suspect it.

        Args:
            owner: The incarnation that asks.
            epoch: Its epoch.
            now: Monotonic time, seconds.
            probe: Whether the owner asks for an answer only.

        Returns:
            The state of the epoch; OPEN and RETIRED mean granted, unless
            the request was a probe.
        """
        epoch_state = self.epoch_state(owner, epoch)
        if epoch_state is None:
            return types.WitnessState.SUPERSEDED
        if epoch_state.state not in _STOPPED_STATES and not probe:
            epoch_state.granted_at = now
        return epoch_state.state

    def seal(
        self, owner: str, epoch: int, now: types.Seconds
    ) -> tuple[types.WitnessState, float]:
        """Stops renewing an epoch, unless its last grant is recent.

        Args:
            owner: The incarnation whose epoch is to end.
            epoch: The epoch.
            now: Monotonic time, seconds.

        Returns:
            The state afterwards, and the age of the last grant in seconds.
        """
        epoch_state = self.epoch_state(owner, epoch)
        if epoch_state is None:
            return types.WitnessState.SUPERSEDED, 0.0
        age = epoch_state.age(now)
        if age >= self._suspect_after(owner):
            if epoch_state.state is types.WitnessState.OPEN:
                epoch_state.state = types.WitnessState.SEALED
            elif epoch_state.state is types.WitnessState.RETIRED:
                epoch_state.state = types.WitnessState.CLOSED
        return epoch_state.state, age

    def retire(self, owner: str, epoch: int) -> types.WitnessState:
        """Retires an epoch: from now on only a write to the table ends it.

        A sealed epoch stays sealed.

        Returns:
            The state afterwards.
        """
        epoch_state = self.epoch_state(owner, epoch)
        if epoch_state is None:
            return types.WitnessState.SUPERSEDED
        if epoch_state.state is types.WitnessState.OPEN:
            epoch_state.state = types.WitnessState.RETIRED
        return epoch_state.state

    def release(self, owner: str, epoch: int) -> None:
        """Records that the owner has given the epoch up."""
        epoch_state = self.epoch_state(owner, epoch)
        if epoch_state is not None:
            epoch_state.released = True

    def granted_since(self, since: float) -> list[str]:
        """Returns the owners that have had a grant since a time, seconds."""
        return [
            owner
            for owner, epochs in self._epoch_states.items()
            if any(
                state.granted_at is not None and state.granted_at >= since
                for state in epochs.values()
            )
        ]

    def suspicions(self, now: types.Seconds) -> list[Suspicion]:
        """Returns epochs whose last grant is old or whose owner gave them up.

        Both latest epochs of an owner are listed. Only the table tells which
        of them is in use: the later one may have been prepared and never
        written.
        """
        return [
            Suspicion(types.Incarnation(owner), types.Epoch(epoch))
            for owner, epochs in self._epoch_states.items()
            for epoch, epoch_state in epochs.items()
            if (epoch_state.granted_at is not None or epoch_state.released)
            and epoch_state.age(now) >= self._suspect_after(owner)
        ]

    def forget_suspicion(self, suspicion: Suspicion) -> None:
        """Stops reporting an epoch whose record is closed or deleted.

        The state is kept, as CLOSED: an owner that was paused may still ask
        for a renewal, and must not get one.
        """
        epoch_state = self._epoch_states[suspicion.owner][suspicion.epoch]
        epoch_state.granted_at = None
        epoch_state.released = False
        epoch_state.state = types.WitnessState.CLOSED
