"""Builds the pages for operators, as JSON."""

import msgspec

from tamarackgap import types
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership, reports
from tamarackgap.placement import loadstats, slots
from tamarackgap.requests import executor, forwarder, targetclient, web


class Status(msgspec.Struct, frozen=True):
    """Status of a daemon.

    Attributes:
        daemon: Name of the daemon.
        service: Service of the daemon.
        data_centre: Data centre of the daemon.
        incarnation: Its current incarnation.
        epoch: Epoch of its lease.
        lease_left_ms: Time until the lease ends; negative once it has.
        owned: Number of slots owned.
        unrecorded: Number of owned slots that are not yet recorded in the
            table.
        witnesses: Incarnations of the witnesses of the lease.
        accepting: Whether the daemon accepts more slots.
        draining: Whether it is leaving.
        target: Last announcement of the target, or None if it is too old.
        in_progress: Number of requests that the target is executing.
        queued: Number of requests that wait to be sent to the target.
        in_flight: Number of callers' requests without a result.
        hot_keys: Keys with most requests.
        table_revision: Revision up to which the table was read.
        route_version: Number of changes of slot owners known so far.
        pending: Kind of the change whose commit is awaited, or "".
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
    """Returns the pages by path.

    Args:
        core: Has the lease, the slots and the table's rows.
        target: Client of the local target.
        request_executor: Executor of requests for the owned slots.
        request_forwarder: Forwarder of callers' requests.
        clock: Monotonic clock, seconds.
    """

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
        explanation = reports.explanation(core, service, key, slot, clock())
        return msgspec.json.encode(explanation)

    return {"/status": status, "/owners": owner_rows, "/explain": explain}


def _status(
    core: ownership.Ownership,
    target: targetclient.TargetClient,
    request_executor: executor.Executor,
    request_forwarder: forwarder.Forwarder,
    now: float,
) -> Status:
    lease_left = core.lease_until() - now
    pending = core.pending
    return Status(
        daemon=core.settings.daemon,
        service=core.settings.service,
        data_centre=core.settings.data_centre,
        incarnation=core.incarnation,
        epoch=core.epoch,
        lease_left_ms=round(max(lease_left, -1e6) * 1000),
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
