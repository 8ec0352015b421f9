"""Who owns which keys, and why, as far as one daemon knows."""

import msgspec

from tamarackgap import types
from tamarackgap.ownership import ownership
from tamarackgap.placement import slots


class OwnerRow(msgspec.Struct, frozen=True):
    """One daemon's part of a service."""

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
    """Who owns a key, and why.

    Attributes:
        service: The service.
        key: The key.
        slot: The key's slot.
        owner: The owning incarnation; empty if none is known.
        daemon: The owner's name.
        fence: The slot's fence.
        epoch: The owner's epoch.
        state: State of the owner's record.
        successor: The incarnation that would take the slot over.
        change: Id of the write that the decision was made by.
        here: Whether this daemon would serve the key now.
        refusal: Why it would not.
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
    """Returns the rows of an `/owners` page."""
    return msgspec.json.decode(text, type=list[OwnerRow])


def owners(core: ownership.Ownership, service: str | None) -> list[OwnerRow]:
    """Returns each daemon's part of one service, or of all."""
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
        KeyError: If the service has no owned keys that are known here.
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
    """Returns who owns a key's slot, and why, as far as is known here."""
    route = core.slot_owners.find(service, slot)
    owner = route.owner if route else types.NO_INCARNATION
    record = core.view.lease(owner)
    held = slots.expand(record.runs).get(slot) if record is not None else None
    own = service == core.settings.service
    refusal = core.refusal(slot, now) if own else None
    return Explanation(
        service=service,
        key=key,
        slot=slot,
        owner=owner,
        daemon=record.daemon if record else "",
        fence=route.fence if route else 0,
        epoch=record.epoch if record else 0,
        state=record.state.value if record else "unknown",
        successor=held.successor if held else "",
        change=record.change if record else "",
        here=own and refusal is None,
        refusal=refusal.value if refusal else "",
    )
