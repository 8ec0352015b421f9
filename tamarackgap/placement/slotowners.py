"""Which incarnation owns each slot, as far as this process knows."""

import msgspec

from tamarackgap.placement import records


class SlotOwner(msgspec.Struct, frozen=True):
    """A slot's owner; of two routes the one with the higher fence holds."""

    owner: str
    fence: int


class SlotOwners:
    """Slot owners of all services. They only ever go forward by fence."""

    def __init__(self) -> None:
        self._services: dict[str, dict[int, SlotOwner]] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Rises with each route that was learnt."""
        return self._version

    def update(self, service: str, slot: int, route: SlotOwner) -> bool:
        """Takes a route in; returns whether it was news."""
        known = self._services.setdefault(service, {})
        present = known.get(slot)
        if present is not None and present.fence >= route.fence:
            return False
        known[slot] = route
        self._version += 1
        return True

    def update_from_record(self, record: records.LeaseRecord) -> int:
        """Takes all routes of a lease record in; returns how many were new."""
        return sum(
            self.update(
                record.service, slot, SlotOwner(record.incarnation, run.fence)
            )
            for run in record.runs
            for slot in range(run.first, run.last + 1)
        )

    def find(self, service: str, slot: int) -> SlotOwner | None:
        """Returns a slot's route, or None where none is known."""
        return self._services.get(service, {}).get(slot)

    def slot_counts(self, service: str) -> dict[str, int]:
        """Returns how many slots each owner has."""
        totals: dict[str, int] = {}
        for route in self._services.get(service, {}).values():
            totals[route.owner] = totals.get(route.owner, 0) + 1
        return totals
