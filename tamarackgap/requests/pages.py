"""Operators' pages: what a daemon knows and does, as JSON."""

import msgspec

from tamarackgap import types
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership, reports
from tamarackgap.placement import loadstats, slots
from tamarackgap.requests import executor, forwarder, targetclient, web


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
    target: targetclient.Announcement | None
    in_progress: int
    queued: int
    in_flight: int
    hot_keys: list[loadstats.HotKey]
    table_revision: int
    route_version: int
    pending: str


def build(
    core: ownership.Ownership,
    target: targetclient.TargetClient,
    request_executor: executor.Executor,
    request_forwarder: forwarder.Forwarder,
    clock: scheduler.Clock,
) -> dict[str, web.Page]:
    """Returns the pages by path; `clock` is monotonic, in seconds."""

    def status(query: dict[str, str]) -> bytes:
        del query
        return msgspec.json.encode(
            _status(core, target, request_executor, request_forwarder, clock())
        )

    def owner_rows(query: dict[str, str]) -> bytes:
        return msgspec.json.encode(reports.owners(core, query.get("service")))

    def explain(query: dict[str, str]) -> bytes:
        service = query["service"]
        key = query["key"]
        slot = slots.slot_of_key(
            types.Key(key), reports.slot_count(core, service)
        )
        found = reports.explanation(core, service, key, slot, clock())
        return msgspec.json.encode(found)

    return {"/status": status, "/owners": owner_rows, "/explain": explain}


def _status(
    core: ownership.Ownership,
    target: targetclient.TargetClient,
    request_executor: executor.Executor,
    request_forwarder: forwarder.Forwarder,
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
        target=target.announcement,
        in_progress=request_executor.in_progress,
        queued=request_executor.queued,
        in_flight=request_forwarder.in_flight,
        hot_keys=request_executor.hot_keys(),
        table_revision=core.view.cursor,
        route_version=core.slot_owners.version,
        pending=pending.kind.value if pending else "",
    )
