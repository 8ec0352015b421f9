"""HTTP pages of a router for operators and for collectors of metrics."""

import urllib.parse
from collections.abc import Callable, Mapping

import msgspec

from tamarackgap import metrics
from tamarackgap.network import httpserver
from tamarackgap.ownership import ownership, reports
from tamarackgap.placement import slots
from tamarackgap.processes import callpreview
from tamarackgap.traffic import (
    adapter,
    dispatcher,
    localtarget,
    routetable,
    runner,
    slotgrants,
)

_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400
_STATUS_NOT_FOUND = 404

# Builds a page from the fields of the query; raises KeyError or ValueError
# where they are missing or invalid.
Page = Callable[[dict[str, str]], adapter.Response]


class PageSources(msgspec.Struct, frozen=True):
    """Holds the components of a router that the pages read.

    Attributes:
        core: The daemon's lease and slots.
        target: State of the local target.
        runner: Calls for the local target.
        dispatcher: Callers' requests that this daemon received.
        slot_grants: Slots granted to the local target.
        store: Client of the store that keeps the table's rows.
        metrics: Counters and histograms.
        route_table: Returns the version of the route table in force, and
            since when it has been, seconds on this daemon's clock.
        find_route: Returns the route of a host and path, if there is one.
        gauges: Returns further gauges by name.
        peer_bytes: Returns the bytes sent to other daemons by kind of message,
            and whether they went to daemons of the same data centre.
        clock: Returns monotonic time, seconds.
    """

    core: ownership.Ownership
    target: localtarget.LocalTarget
    runner: runner.Runner
    dispatcher: dispatcher.Dispatcher
    slot_grants: slotgrants.SlotGrants
    store: adapter.Store
    metrics: metrics.Metrics
    route_table: Callable[[], tuple[int, float]]
    find_route: Callable[[str, str], routetable.Route | None]
    gauges: Callable[[], dict[str, float]]
    peer_bytes: Callable[[], Mapping[tuple[str, bool], int]]
    clock: Callable[[], float]


class Status(msgspec.Struct, frozen=True):
    """Holds a router's state as the status page shows it.

    Attributes:
        daemon: Name of the daemon.
        service: Service of the local target.
        data_centre: Data centre of the daemon's VM.
        incarnation: Id of the daemon's current incarnation.
        epoch: Epoch of the lease.
        lease_left_ms: Time until the lease expires; 0 once it has.
        owned: Number of slots owned.
        unrecorded: Number of those that the table does not record yet.
        witnesses: Incarnations that witness the lease.
        draining: Whether the daemon is leaving.
        target: Instance id of the local target, or "".
        phase: Phase of the local target: absent, serving or leaving.
        capacity: Most calls sent to the target at once.
        running: Calls at the target.
        waiting: Calls queued for the target.
        in_flight: Callers' requests that this daemon has not answered yet.
        table_revision: Revision up to which the table has been read.
        table_read_age_ms: Age of the table's state that was read last.
        routes_version: Version of the route table in force.
        routes_age_ms: Time since that version came into force.
        pending: Kind of change that is being committed, or "".
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


def build(sources: PageSources) -> httpserver.RequestHandler:
    """Returns the handler of requests for the pages."""
    pages: dict[str, Page] = {
        "/metrics": lambda query: _metrics(sources),
        "/status": lambda query: _json(status(sources)),
        "/owners": lambda query: _json(
            reports.owners(sources.core, query.get("service"))
        ),
        "/explain": lambda query: _json(_explain(sources, query)),
        "/explain-request": lambda query: _json(_preview(sources, query)),
    }

    def handle(incoming: httpserver.IncomingRequest) -> None:
        path, _, query = incoming.target.partition("?")
        page = pages.get(path)
        if page is None:
            incoming.respond(_STATUS_NOT_FOUND, [], b"no such page")
            return
        try:
            response = page(dict(urllib.parse.parse_qsl(query)))
        except (KeyError, ValueError) as error:
            incoming.respond(
                _STATUS_BAD_REQUEST, [], str(error).encode("utf-8")
            )
            return
        incoming.respond(response.status, response.headers, response.body)

    return handle


def status(sources: PageSources) -> Status:
    """Returns the router's current state."""
    core = sources.core
    queue = sources.runner.queue
    current_time = sources.clock()
    version, in_force_since = sources.route_table()
    return Status(
        daemon=core.settings.daemon,
        service=core.settings.service,
        data_centre=core.settings.data_centre,
        incarnation=core.incarnation,
        epoch=core.epoch,
        lease_left_ms=_ms(max(0.0, core.lease_until() - current_time)),
        owned=len(core.owned),
        unrecorded=len(core.unrecorded),
        witnesses=core.grants().witnesses,
        draining=core.draining,
        target=sources.target.instance,
        phase=sources.target.phase.value,
        capacity=queue.capacity,
        running=queue.running,
        waiting=queue.waiting,
        in_flight=sources.dispatcher.in_flight,
        table_revision=core.view.cursor,
        table_read_age_ms=_ms(current_time - core.table_as_of),
        routes_version=version,
        routes_age_ms=_ms(current_time - in_force_since),
        pending=core.pending.kind.value if core.pending else "",
    )


def _explain(
    sources: PageSources, query: dict[str, str]
) -> reports.Explanation:
    service = query["service"]
    position = int(query["key"])
    if not 0 <= position < slots.POSITION_COUNT:
        raise ValueError(
            f"key {position} is negative or not below {slots.POSITION_COUNT}"
        )
    slot = slots.slot_of_position(
        position, reports.slot_count(sources.core, service)
    )
    explanation = reports.explanation(
        sources.core, service, query["key"], slot, sources.clock()
    )
    if explanation.here and not sources.slot_grants.is_held(
        slot, sources.clock()
    ):
        return msgspec.structs.replace(
            explanation, here=False, refusal="not-held-by-target"
        )
    return explanation


def _preview(
    sources: PageSources, query: dict[str, str]
) -> callpreview.Preview:
    route = sources.find_route(query["host"], query["path"])
    if route is None:
        raise ValueError(f"no route for {query['host']}{query['path']}")
    return callpreview.preview(
        sources.core,
        sources.dispatcher,
        route,
        query.get("key"),
        max(0, int(query.get("bytes", "0"))),
        sources.clock(),
    )


def _metrics(sources: PageSources) -> adapter.Response:
    state = status(sources)
    values = {
        "owned_slots": state.owned,
        "lease_left_seconds": state.lease_left_ms / 1000,
        "epoch": state.epoch,
        "in_progress": state.running,
        "queued": state.waiting,
        "table_revision": state.table_revision,
        "renewal_lateness_seconds": sources.core.renewal_lateness,
        "held_runs": sources.slot_grants.range_count,
        "route_table_version": state.routes_version,
        "route_table_age_seconds": state.routes_age_ms / 1000,
        "table_read_age_seconds": state.table_read_age_ms / 1000,
        **sources.gauges(),
    }
    for name, value in values.items():
        sources.metrics.set_gauge(name, value)
    sources.metrics.set_store_calls(sources.store.call_counts())
    sources.metrics.set_peer_bytes(sources.peer_bytes())
    body, headers = sources.metrics.render("text/plain")
    fields = [
        (name.lower().encode("ascii"), value.encode("ascii"))
        for name, value in headers.items()
    ]
    return adapter.Response(_STATUS_OK, fields, body)


def _json(value: object) -> adapter.Response:
    headers = [(b"content-type", b"application/json")]
    return adapter.Response(_STATUS_OK, headers, msgspec.json.encode(value))


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
