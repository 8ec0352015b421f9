"""Operators' pages: what a daemon knows and does, as JSON."""

import msgspec

from tamarackgap import types
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.placement import heat, slots
from tamarackgap.requests import entry, target, web
from tamarackgap.requests import owner as owner_lib


class Status(msgspec.Struct, frozen=True):
    """What a daemon says of itself.

    Attributes:
        daemon: Its name.
        service: Its service.
        data_centre: Where it stands.
        incarnation: This process start's id.
        epoch: The lease's epoch.
        lease_left_ms: Time until the lease ends; negative once it has.
        owned: Number of slots owned.
        unrecorded: Of those, slots that the table does not show yet.
        witnesses: Incarnations that witness the lease.
        accepting: Whether it takes more slots.
        draining: Whether it is leaving.
        target: The target's last announcement, if it is fresh.
        in_progress: Requests at the target.
        queued: Requests that wait for it.
        in_flight: Callers' requests under way here.
        hot_keys: Keys that bring most of the target's load.
        table_revision: Revision up to which the table was read.
        route_version: Rises with each route learnt.
        pending: What the awaited transaction is for, if there is one.
    """

    daemon: str
    service: str
    data_centre: str
    incarnation: str
    epoch: int
    lease_left_ms: int
    owned: int
    unrecorded: int
    witnesses: tuple[str, ...]
    accepting: bool
    draining: bool
    target: target.Announcement | None
    in_progress: int
    queued: int
    in_flight: int
    hot_keys: list[heat.HotKey]
    table_revision: int
    route_version: int
    pending: str


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


def build(
    core: ownership.Ownership,
    beside: target.Target,
    own: owner_lib.Owner,
    front: entry.Entry,
    clock: scheduler.Clock,
) -> dict[str, web.Page]:
    """Returns the pages by path; `clock` is monotonic, in seconds."""

    def status(query: dict[str, str]) -> bytes:
        del query
        return msgspec.json.encode(_status(core, beside, own, front, clock()))

    def owner_rows(query: dict[str, str]) -> bytes:
        return msgspec.json.encode(owners(core, query.get("service")))

    def explain(query: dict[str, str]) -> bytes:
        service = query["service"]
        key = query["key"]
        slot = slots.slot_of(types.Key(key), slot_count(core, service))
        found = explanation(core, service, key, slot, clock())
        return msgspec.json.encode(found)

    return {"/status": status, "/owners": owner_rows, "/explain": explain}


def _status(
    core: ownership.Ownership,
    beside: target.Target,
    own: owner_lib.Owner,
    front: entry.Entry,
    now: float,
) -> Status:
    left = core.lease_until() - now
    pending = core.pending
    return Status(
        daemon=core.settings.daemon,
        service=core.settings.service,
        data_centre=core.settings.data_centre,
        incarnation=core.incarnation,
        epoch=core.epoch,
        lease_left_ms=round(max(left, -1e6) * 1000),
        owned=len(core.owned),
        unrecorded=len(core.unrecorded),
        witnesses=core.grants().witnesses,
        accepting=core.accepting,
        draining=core.draining,
        target=beside.announcement,
        in_progress=own.in_progress,
        queued=own.waiting,
        in_flight=front.in_flight,
        hot_keys=own.hottest(),
        table_revision=core.view.cursor,
        route_version=core.routes.version,
        pending=pending.kind.value if pending else "",
    )


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
            slots=core.routes.counts(record.service).get(record.incarnation, 0),
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
    founded = core.view.founded(service)
    if founded is None:
        raise KeyError(f"service {service} is not known")
    return founded.slots


def explanation(
    core: ownership.Ownership,
    service: str,
    key: str,
    slot: types.Slot,
    now: float,
) -> Explanation:
    """Returns who owns a key's slot, and why, as far as is known here."""
    route = core.routes.find(service, slot)
    owner = route.owner if route else types.NOBODY
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
