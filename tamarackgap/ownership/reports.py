"""Reports the owners of keys, as far as one daemon knows them."""

import msgspec

from tamarackgap import types
from tamarackgap.ownership import ownership
from tamarackgap.placement import slots


class OwnerRow(msgspec.Struct, frozen=True):
    """One row of the `/owners` page: a daemon's part of a service.

    Attributes:
        service: The service.
        daemon: The daemon's name.
        data_centre: The data centre of its VM.
        incarnation: Its incarnation.
        epoch: Its epoch.
        state: State of its lease record.
        slots: Number of slots that it owns.
        weight: Its weight in the operators' policy.
        accepting: Whether it takes more slots.
    """

    service: str
    daemon: str
    data_centre: str
    incarnation: str
    epoch: int
    state: str
    slots: int
    weight: int
    accepting: bool


class Explanation(msgspec.Struct, frozen=True):
    """The owner of a key, and the rows that decide it.

    Attributes:
        service: The service.
        key: The key.
        slot: The key's slot.
        owner: The owning incarnation, or empty if none is known.
        daemon: The owner's name.
        fence: The slot's fence.
        epoch: The owner's epoch.
        state: State of the owner's record, or "unknown".
        successor: The incarnation that would take the slot over.
        change: Id of the write that made the owner's record.
        here: Whether this daemon would serve the key now.
        refusal: Why it would not, or empty.
    """

    service: str
    key: str
    slot: int
    owner: str
    daemon: str
    fence: int
    epoch: int
    state: str
    successor: str
    change: str
    here: bool
    refusal: str


def decode_owners(text: bytes) -> list[OwnerRow]:
    """Returns the rows of an `/owners` page.

    Raises:
        msgspec.DecodeError: If the text is not such a page.
    """
    return msgspec.json.decode(text, type=list[OwnerRow])


def owners(core: ownership.Ownership, service: str | None) -> list[OwnerRow]:
    """Returns each daemon's part of one service, or of all.

    Args:
        core: The daemon's ownership protocol.
        service: The service, or None for all.
    """
    rows = [
        OwnerRow(
            service=record.service,
            daemon=record.daemon,
            data_centre=record.data_centre,
            incarnation=record.incarnation,
            epoch=record.epoch,
            state=record.state.value,
            slots=core.slot_owners.slot_counts(record.service).get(
                record.incarnation, 0
            ),
            weight=core.view.policy(record.service, record.data_centre).weight,
            accepting=record.accepting,
        )
        for record in core.view.leases()
        if service in (None, record.service)
    ]
    return sorted(rows, key=lambda row: (row.service, row.daemon))


def slot_count(core: ownership.Ownership, service: str) -> int:
    """Returns the number of a service's slots.

    Raises:
        KeyError: If this daemon knows of no service record.
    """
    service_record = core.view.service_record(service)
    if service_record is None:
        raise KeyError(f"service {service} is not known")
    return service_record.slots


def explanation(
    core: ownership.Ownership,
    service: str,
    key: str,
    slot: types.Slot,
    now: float,
) -> Explanation:
    """Returns the owner of a key, and the rows that decide it.

    Args:
        core: The daemon's ownership protocol.
        service: The key's service.
        key: The key.
        slot: The key's slot.
        now: Monotonic time, seconds.
    """
    slot_owner = core.slot_owners.find(service, slot)
    owner = slot_owner.owner if slot_owner else types.NO_INCARNATION
    record = core.view.lease(owner)
    assignment = (
        slots.expand(record.runs).get(slot) if record is not None else None
    )
    is_own_service = service == core.settings.service
    refusal = core.refusal(slot, now) if is_own_service else None
    return Explanation(
        service=service,
        key=key,
        slot=slot,
        owner=owner,
        daemon=record.daemon if record else "",
        fence=slot_owner.fence if slot_owner else 0,
        epoch=record.epoch if record else 0,
        state=record.state.value if record else "unknown",
        successor=assignment.successor if assignment else "",
        change=record.change if record else "",
        here=is_own_service and refusal is None,
        refusal=refusal.value if refusal else "",
    )
