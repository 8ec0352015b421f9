"""Tells a target that checks grants which slots it may serve until when."""

from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.placement import slots
from tamarackgap.requests import targetclient

# A grant is renewed when the lease has grown by this share of its length.
_STEP_SHARE = 0.2


class Granter:
    """Keeps the target's grant up with lease and slots."""

    def __init__(
        self,
        core: ownership.Ownership,
        target: targetclient.TargetClient,
        lease: float,
        clock: scheduler.Clock,
    ) -> None:
        """Creates a granter that has granted nothing.

        Args:
            core: Holds the lease and the slots.
            target: The target.
            lease: Length of a lease, seconds.
            clock: The VM's monotonic clock, seconds.
        """
        self._core = core
        self._target = target
        self._step = lease * _STEP_SHARE
        self._clock = clock
        self._until = 0.0
        self._version = 0

    def renew(self) -> None:
        """Sends a grant, if lease or slots have changed enough."""
        if not self._target.checks_grants:
            return
        until = self._core.lease_until()
        version = self._core.slots_version
        grown = until - self._until >= self._step
        if until <= self._clock() or not (grown or version != self._version):
            return
        holdings = {
            slot: slots.SlotAssignment(held.fence)
            for slot, held in self._core.owned.items()
        }
        grant = targetclient.Grant(
            self._core.incarnation, until, slots.compress(holdings)
        )
        if self._target.send_grant(grant):
            self._until = until
            self._version = version
