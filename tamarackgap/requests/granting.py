"""Sends grants to a target that checks them."""

from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.placement import slots
from tamarackgap.requests import targetclient

# A grant is renewed when the lease's end has moved by this share of the lease.
_RENEWAL_SHARE = 0.2


class Granter:
    """Keeps the target's grant in step with the lease and the owned slots."""

    def __init__(
        self,
        core: ownership.Ownership,
        target: targetclient.TargetClient,
        lease: float,
        clock: scheduler.Clock,
    ) -> None:
        """Creates a granter that has sent no grant.

        Args:
            core: Has the lease and the owned slots.
            target: Client of the local target.
            lease: Length of a lease, seconds.
            clock: The VM's monotonic clock, seconds.
        """
        self._core = core
        self._target = target
        self._renewal_step = lease * _RENEWAL_SHARE
        self._clock = clock
        self._granted_until = 0.0
        self._granted_version = 0

    def renew(self) -> None:
        """Sends a grant if the slots have changed or the lease was extended.

        A small extension is not sent yet. Nothing is sent after the lease has
        ended.
        """
        if not self._target.checks_grants:
            return
        until = self._core.lease_until()
        version = self._core.slots_version
        is_extended = until - self._granted_until >= self._renewal_step
        if until <= self._clock() or not (
            is_extended or version != self._granted_version
        ):
            return
        assignments = {
            slot: slots.SlotAssignment(owned_slot.fence)
            for slot, owned_slot in self._core.owned.items()
        }
        grant = targetclient.Grant(
            self._core.incarnation, until, slots.compress(assignments)
        )
        if self._target.send_grant(grant):
            self._granted_until = until
            self._granted_version = version
