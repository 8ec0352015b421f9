"""Keeps the owner of each slot, as far as this process knows."""

import msgspec

from tamarackgap.placement import records


class SlotOwner(msgspec.Struct, frozen=True):
    """Owner of a slot under a fence; a higher fence replaces a lower one.

    Attributes:
        owner: Incarnation that owns the slot.
        fence: Fence of the slot.
    """

    owner: str
    fence: int


class SlotOwners:
    """Known slot owners of all services.

    The fence of a slot never decreases.
    """

    def __init__(self) -> None:
        self._services: dict[str, dict[int, SlotOwner]] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Number of changes so far."""
        return self._version

    def update(self, service: str, slot: int, slot_owner: SlotOwner) -> bool:
        """Records a slot's owner unless a fence as high is already known.

        Args:
            service: Service of the slot.
            slot: The slot.
            slot_owner: Its owner, from the table or from a peer.

        Returns:
            Whether the owner was recorded.
        """
        known = self._services.setdefault(service, {})
        current = known.get(slot)
        if current is not None and current.fence >= slot_owner.fence:
            return False
        known[slot] = slot_owner
        self._version += 1
        return True

    def update_from_record(self, record: records.LeaseRecord) -> int:
        """Records the owner of all slots in a lease record.

        Returns:
            Number of slots whose owner was recorded.
        """
        return sum(
            self.update(
                record.service,
                slot,
                SlotOwner(record.incarnation, slot_range.fence),
            )
            for slot_range in record.runs
            for slot in range(slot_range.first, slot_range.last + 1)
        )

    def find(self, service: str, slot: int) -> SlotOwner | None:
        """Returns a slot's owner, or None if it is not known."""
        return self._services.get(service, {}).get(slot)

    def slot_counts(self, service: str) -> dict[str, int]:
        """Returns the number of slots of each owner of a service."""
        totals: dict[str, int] = {}
        for slot_owner in self._services.get(service, {}).values():
            totals[slot_owner.owner] = totals.get(slot_owner.owner, 0) + 1
        return totals
