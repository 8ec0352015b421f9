"""What a router tells collectors and operators, at its metrics address."""

import urllib.parse
from collections.abc import Callable

import msgspec

from tamarackgap import metrics
from tamarackgap.network import httpserver
from tamarackgap.ownership import ownership, reports
from tamarackgap.placement import slots
from tamarackgap.traffic import (
    adapter,
    dispatcher,
    localtarget,
    runner,
    slotgrants,
)

_OK = 200
_BAD = 400
_NOT_FOUND = 404

# Takes the query's fields; raises KeyError or ValueError if they are bad.
Page = Callable[[dict[str, str]], adapter.Response]


class PageSources(msgspec.Struct, frozen=True):
    """The router's parts that the pages look at.

    Attributes:
        core: Leases and slots.
        target: What is known of the target beside it.
        runner: Calls for that target.
        dispatcher: Requests that came in here.
        holds: What the target holds.
        store: Where rows last.
        metrics: Counters and histograms.
        route_table: Version of the route table in force, and since when in
            seconds on this daemon's clock.
        gauges: More values, by name.
        clock: Returns monotonic time, seconds.
    """

    core: ownership.Ownership
    target: localtarget.LocalTarget
    runner: runner.Runner
    dispatcher: dispatcher.Dispatcher
    holds: slotgrants.SlotGrants
    store: adapter.Store
    metrics: metrics.Metrics
    route_table: Callable[[], tuple[int, float]]
    gauges: Callable[[], dict[str, float]]
    clock: Callable[[], float]


class Status(msgspec.Struct, frozen=True):
    """What a router says of itself.

    Attributes:
        daemon: Its name.
        service: The service of the target beside it.
        data_centre: Where it stands.
        incarnation: This process start's id.
        epoch: The lease's epoch.
        lease_left_ms: Time until the lease ends; 0 once it has.
        owned: Number of slots owned.
        unrecorded: Of those, slots that the table does not show yet.
        witnesses: Incarnations that witness the lease.
        draining: Whether it is leaving.
        target: Id of the target, or "".
        phase: What may be done with it.
        capacity: Calls that it is sent at once.
        running: Calls at it.
        waiting: Calls that wait for it.
        in_flight: Callers' requests under way here.
        table_revision: Revision up to which the rows were read.
        table_read_age_ms: How long ago that was.
        routes_version: Version of the route table in force.
        routes_age_ms: For how long it has been in force.
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
    draining: bool
    target: str
    phase: str
    capacity: int
    running: int
    waiting: int
    in_flight: int
    table_revision: int
    table_read_age_ms: int
    routes_version: int
    routes_age_ms: int
    pending: str


def build(parts: PageSources) -> httpserver.RequestHandler:
    """Returns what answers requests for the pages."""
    found: dict[str, Page] = {
        "/metrics": lambda query: _metrics(parts),
        "/status": lambda query: _json(status(parts)),
        "/owners": lambda query: _json(
            reports.owners(parts.core, query.get("service"))
        ),
        "/explain": lambda query: _json(_explain(parts, query)),
    }

    def answer(incoming: httpserver.IncomingRequest) -> None:
        path, _, query = incoming.target.partition("?")
        page = found.get(path)
        if page is None:
            incoming.respond(_NOT_FOUND, [], b"no such page")
            return
        try:
            said = page(dict(urllib.parse.parse_qsl(query)))
        except (KeyError, ValueError) as error:
            incoming.respond(_BAD, [], str(error).encode("utf-8"))
            return
        incoming.respond(said.status, said.headers, said.body)

    return answer


def status(parts: PageSources) -> Status:
    """Returns what the router says of itself."""
    core = parts.core
    queue = parts.runner.queue
    moment = parts.clock()
    version, since = parts.route_table()
    return Status(
        daemon=core.settings.daemon,
        service=core.settings.service,
        data_centre=core.settings.data_centre,
        incarnation=core.incarnation,
        epoch=core.epoch,
        lease_left_ms=_ms(max(0.0, core.lease_until() - moment)),
        owned=len(core.owned),
        unrecorded=len(core.unrecorded),
        witnesses=core.grants().witnesses,
        draining=core.draining,
        target=parts.target.instance,
        phase=parts.target.phase.value,
        capacity=queue.capacity,
        running=queue.running,
        waiting=queue.waiting,
        in_flight=parts.dispatcher.in_flight,
        table_revision=core.view.cursor,
        table_read_age_ms=_ms(moment - core.table_as_of),
        routes_version=version,
        routes_age_ms=_ms(moment - since),
        pending=core.pending.kind.value if core.pending else "",
    )


def _explain(parts: PageSources, query: dict[str, str]) -> reports.Explanation:
    service = query["service"]
    position = int(query["key"])
    if not 0 <= position < slots.POSITION_COUNT:
        raise ValueError(f"key {position} is not below {slots.POSITION_COUNT}")
    slot = slots.slot_of_position(
        position, reports.slot_count(parts.core, service)
    )
    found = reports.explanation(
        parts.core, service, query["key"], slot, parts.clock()
    )
    if found.here and not parts.holds.is_held(slot, parts.clock()):
        return msgspec.structs.replace(
            found, here=False, refusal="not-held-by-target"
        )
    return found


def _metrics(parts: PageSources) -> adapter.Response:
    found = status(parts)
    values = {
        "owned_slots": found.owned,
        "lease_left_seconds": found.lease_left_ms / 1000,
        "epoch": found.epoch,
        "in_progress": found.running,
        "queued": found.waiting,
        "table_revision": found.table_revision,
        "renewal_lateness_seconds": parts.core.renewal_lateness,
        "held_runs": parts.holds.range_count,
        "route_table_version": found.routes_version,
        "route_table_age_seconds": found.routes_age_ms / 1000,
        "table_read_age_seconds": found.table_read_age_ms / 1000,
        **parts.gauges(),
    }
    for name, value in values.items():
        parts.metrics.set_gauge(name, value)
    parts.metrics.set_store_calls(parts.store.call_counts())
    body, headers = parts.metrics.render("text/plain")
    said = [
        (name.lower().encode("ascii"), value.encode("ascii"))
        for name, value in headers.items()
    ]
    return adapter.Response(_OK, said, body)


def _json(value: object) -> adapter.Response:
    headers = [(b"content-type", b"application/json")]
    return adapter.Response(_OK, headers, msgspec.json.encode(value))


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
