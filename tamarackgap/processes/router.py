"""The router daemon, for a platform with its own HTTP conventions.

Its components run on one event loop and one thread.
"""

import faulthandler
import functools
import gc
import math
import random
import signal
import time
from collections.abc import Callable

import circuits
import msgspec
from returns import result

from tamarackgap import logs, metrics, types
from tamarackgap.network import (
    bytebudget,
    httpserver,
    scheduler,
    sockets,
)
from tamarackgap.ownership import effects, ownership
from tamarackgap.peers import calls, lateness, messages, transport
from tamarackgap.placement import records, workload
from tamarackgap.processes import (
    ownershipsettings,
    peersync,
    routerpages,
    routetables,
    rowsharing,
    targethandler,
)
from tamarackgap.requests import retries
from tamarackgap.settings import config
from tamarackgap.traffic import (
    adapter,
    crashes,
    dispatcher,
    evacuations,
    incomingbodies,
    latecalls,
    leavingquery,
    leavings,
    leavingtable,
    outgoingbodies,
    pendingrequests,
    routetable,
)

_TICK_INTERVAL_S = 0.05
_LOAD_REPORT_INTERVAL_S = 0.5
# Short, because the busiest keys change within seconds.
_LOAD_HALF_LIFE_S = 2.0
_LOAD_WARMUP_S = 0.5
_MIN_TOLERANCE_PERCENT = 15
# A target whose speed is not known, and that uses less than this share of its
# capacity, gives no slots away: moving them would cost their callers more than
# it gains.
_LOW_LOAD_UTILISATION = 0.6
# Callers keep arriving until the readiness check has failed twice in a row. A
# draining process accepts their requests for this time.
_DRAIN_LISTEN_S = 2.6
# A draining process stops accepting calls for its target this long before it
# closes its caller address. Within this time the other daemons learn of it
# (after one status interval at most) and calls in progress end.
_STOP_CALLS_BEFORE_CLOSE_S = 0.8
# The process exits this long before its grace time ends, whatever is still in
# progress.
_EXIT_RESERVE_S = 0.4
# A process that still runs this long after it stopped its loop is ended by
# force, with a traceback that shows where it hung.
_EXIT_TIMEOUT_S = 2.0
_ENVELOPE_OVERHEAD_BYTES = 65_536
# Limits of all addresses that are not for callers.
_CONTROL_LIMITS = httpserver.Limits(max_body_bytes=262_144)
# An answer for another daemon waits this long for a connection to it.
_REPLY_TIMEOUT_S = 2.0
_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_BAD_REQUEST = 400
_STATUS_UNAVAILABLE = 503
_RETRY_AFTER_S = b"0.2"
_READ_PLAN_INTERVAL_S = 1.0
# A daemon has read the records of all members this long after its start.
_ALL_MEMBERS_KNOWN_S = 2.0


def now() -> float:
    """Returns the time on a clock that runs on during suspension, seconds.

    A lease must not outlast a suspension of the VM.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Router(circuits.Component):
    """Holds the components of a router daemon and passes events between them.

    It routes callers' requests to daemons, and runs calls at the local target.
    """

    channel = "router"

    def __init__(
        self,
        settings: config.Config,
        read_settings: Callable[[], result.Result[config.Config, str]],
    ) -> None:
        """Creates the poller and the timers; `begin` creates the rest.

        Args:
            settings: The daemon's settings.
            read_settings: Reads the settings file again; fails with what is
                wrong with it.
        """
        super().__init__()
        self._settings = settings
        self._read_settings = read_settings
        self._service = types.ServiceName(settings.daemon_service)
        self._rng = random.Random()
        self.poller = sockets.Poller().register(self)
        self.timers = scheduler.Scheduler(now).register(self)
        self.poller.run_due = self.timers.run_due
        self.budget = bytebudget.ByteBudget(settings.message_memory)
        # When the caller address closes, seconds; None unless draining.
        self._listen_until: float | None = None
        self._exit_deadline = 0.0
        self._stopped = False

    def begin(self, platform_adapter: adapter.Adapter) -> None:
        """Binds all addresses and starts the periodic work.

        Args:
            platform_adapter: Decodes and encodes the platform's requests, and
                reads and writes its store.

        Raises:
            OSError: If an address can't be bound.
        """
        settings = self._settings
        self._adapter = platform_adapter
        self._core = ownership.Ownership(
            _ownership_settings(settings),
            self._rng,
            self._is_pinned,
            now(),
        )
        self._core.keyed = False
        self._transport = transport.PeerTransport(
            self.poller,
            self.timers,
            settings.daemon_deployment,
            settings.daemon_peer_address,
            max(settings.requests_body, outgoingbodies.PART_BYTES)
            + settings.requests_answer
            + _ENVELOPE_OVERHEAD_BYTES,
            self._receive,
            settings.link_rate,
        )
        self._lateness = lateness.LatenessMeter(now)
        self._crash_history = crashes.CrashHistory()
        self._target_handler = targethandler.TargetHandler(
            settings,
            platform_adapter,
            self._core,
            self.poller,
            self.timers,
            self._crash_history,
            self._perform_effects,
            self.budget,
        )
        self._runner = self._target_handler.runner
        self._leaving_memory = leavings.LeavingMemory(self.timers)
        self._leaving_table = leavingtable.LeavingTable(
            settings.daemon_peer_address,
            self._core.view,
            functools.partial(platform_adapter.store.commit, name="leavings"),
            lambda rows: self._core.merge(rows, now()),
            self.timers,
        )
        self._leaving_recorder = leavings.LeavingRecorder(
            settings.daemon_peer_address,
            self._send_about_leaving,
            self.timers,
            self._known_peers,
            self._leaving_table,
        )
        self._target_handler.confirm_leaving = self._leaving_recorder.confirm
        self._target_handler.await_leavings()
        self._leaving_query = leavingquery.LeavingQuery(
            settings.daemon_peer_address,
            self._core.incarnation,
            self._send_about_leaving,
            self.timers,
            self._known_peers,
            lambda: leavingtable.read_evidence(
                self._core.view, settings.daemon_peer_address
            ),
            self._target_handler.record_left,
            self._target_handler.begin_use,
        )
        self._leaving_query.on_no_evidence = self._open_fresh_address
        self._target_handler.on_fresh_announcement = (
            self._leaving_query.handle_fresh_announcement
        )
        self._late_calls = latecalls.LateCalls(self.timers, self._runner.way)
        self._retry_budgets = retries.ServiceRetryBudgets(
            settings.router_reruns / 100, settings.router_extra_reruns
        )
        self._request_dispatcher = dispatcher.Dispatcher(
            self._core,
            self._runner,
            self._transport,
            self.timers,
            self._retry_budgets,
            self._rng,
            self._crash_history,
            settings.daemon_data_centre,
            settings.router_far_price / 100,
            self.budget,
        )
        self._incoming_bodies = incomingbodies.IncomingBodies(
            self.timers, self.budget, self._runner
        )
        self._core.knows_leavings = lambda: (
            self._leaving_query.is_answered and self._leaving_table.is_complete
        )
        self._core.is_reachable = self._request_dispatcher.is_reachable
        self._route_tables = routetables.RouteTableKeeper(
            platform_adapter.store,
            platform_adapter.decode_table,
            self.timers,
            self._rng,
            lambda address, message: self._transport.send(
                self._core.incarnation, address, message
            ),
            self._configure,
        )
        self._evacuations = evacuations.EvacuationKeeper()
        self._started_at = now()
        # Those of all members so far; a member may lose its lease for a while.
        self._data_centres: set[types.DataCentre] = set()
        self._peer_sync = peersync.PeerSync(
            self._core,
            self._transport,
            self._runner,
            self._request_dispatcher,
            self._crash_history,
            self.timers,
            self._route_tables,
            self._evacuations,
            self._leaving_memory,
            lambda: self._target_handler.target.left,
        )
        self._evacuations.on_change = self._handle_evacuations
        platform_adapter.store.on_evacuations = self._evacuations.handle_read
        self._route_tables.on_store_news = self._peer_sync.broadcast_status
        self._row_sharer = rowsharing.RowSharer(
            self._core, self._transport, self._request_dispatcher, self.timers
        )
        self._runner.on_fingerprint_cleared = self._peer_sync.broadcast_cleared
        self._target_handler.on_crash = self._peer_sync.broadcast_crash
        self._target_handler.on_status_changed = (
            self._peer_sync.broadcast_status
        )
        self._metrics = metrics.Metrics(settings.daemon_name, self._service)
        self._request_dispatcher.on_finished = self._observe_request
        self._runner.on_finished = self._observe_call
        if settings.router_metrics_address:
            self._listen(settings.router_metrics_address, self._build_pages())
        self._caller_server = self._listen(
            settings.daemon_http_address, self._handle_request
        )
        self._caller_server.limits = httpserver.Limits()
        self._listen(
            settings.router_announce_address,
            self._target_handler.handle_announcement,
        )
        self._listen(settings.router_ready_address, self._handle_readiness)
        logs.event(
            "started",
            incarnation=self._core.incarnation,
            service=self._service,
            data_centre=settings.daemon_data_centre,
            callers=settings.daemon_http_address,
            peers=settings.daemon_peer_address,
        )
        for problem in settings.replaced:
            logs.event("setting_replaced", problem=problem)
        signal.signal(signal.SIGHUP, self._signal_handler)
        platform_adapter.store.watch(
            self._apply_rows, self._handle_read_failure
        )
        self._route_tables.start()
        self.timers.every(_TICK_INTERVAL_S, self._tick)
        self.timers.every(_LOAD_REPORT_INTERVAL_S, self._report_load)
        self.timers.every(_READ_PLAN_INTERVAL_S, self._set_read_plans)

    def _listen(
        self, address: str, handler: httpserver.RequestHandler
    ) -> httpserver.HttpServer:
        server = httpserver.HttpServer(
            self.poller, self.timers, address, handler, self.budget
        )
        server.limits = _CONTROL_LIMITS
        return server

    def _open_fresh_address(self) -> None:
        """Listens where no earlier process has asked the target to announce.

        The port is drawn anew by each process.
        """
        count = self._settings.router_spare_ports
        if not count:
            return
        ip, _, port = self._settings.daemon_peer_address.rpartition(":")
        offset = self._rng.randint(1, count)
        address = f"{ip}:{int(port) + offset}"
        try:
            self._listen(
                address, self._target_handler.handle_fresh_announcement
            )
        except OSError as error:
            logs.event("fresh_address_taken", address=address, error=str(error))
            return
        logs.event("fresh_address", address=address)
        self._target_handler.fresh_address = address

    # Callers.

    def _handle_request(self, incoming: httpserver.IncomingRequest) -> None:
        match self._adapter.decode_call(incoming, self._service):
            case result.Failure(problem):
                logs.request_event("request_malformed", True, problem=problem)
                incoming.respond(_STATUS_BAD_REQUEST, [], b"")
                return
            case result.Success(adapter.DecodedRequest() as request):
                pass
            case other:
                raise AssertionError(other)
        index = self._route_tables.index
        if index is None or self._takes_no_requests:
            self._refuse_for_now(incoming)
            return
        route = index.find(request.host, request.call.request_target)
        if route is None:
            self._refuse_without_route(incoming, request)
            return
        timeout = route.timeout if request.timeout is None else request.timeout
        pending = self._request_dispatcher.submit(
            request.call,
            route,
            incoming.received_at,
            timeout,
            functools.partial(self._respond, incoming),
        )
        if pending.on_done is not None:
            incoming.on_disconnect = functools.partial(
                self._request_dispatcher.cancel, pending
            )

    def _refuse_without_route(
        self,
        incoming: httpserver.IncomingRequest,
        request: adapter.DecodedRequest,
    ) -> None:
        """Answers 404, or 503 while a newer table may have the route."""
        tables = self._route_tables
        proof_age = tables.proof_age
        logs.request_event(
            "request_without_route",
            True,
            request=request.call.request_id,
            host=request.host,
            version=tables.version,
            knows_newer=tables.knows_newer,
            proof_age_ms=round(proof_age * 1000)
            if math.isfinite(proof_age)
            else None,
        )
        if tables.can_deny_route():
            incoming.respond(_STATUS_NOT_FOUND, [], b"")
        else:
            self._refuse_for_now(incoming)

    def _refuse_for_now(self, incoming: httpserver.IncomingRequest) -> None:
        incoming.respond(
            _STATUS_UNAVAILABLE, [(b"retry-after", _RETRY_AFTER_S)], b""
        )

    def _respond(
        self, incoming: httpserver.IncomingRequest, completion: calls.Completion
    ) -> None:
        response = self._adapter.encode_response(completion)
        incoming.respond(response.status, response.headers, response.body)

    def _is_pinned(self, slot: int) -> bool:
        return self._target_handler.is_pinned(slot)

    # The store.

    def _apply_rows(
        self,
        rows: list[records.Row],
        revision: int,
        as_of: float,
        era: int,
    ) -> None:
        self._core.apply_table_read(rows, revision, now(), as_of, era)
        members = self._core.view.open_records()
        member_addresses = {record.peer_address for record in members}
        self._data_centres |= {record.data_centre for record in members}
        self._transport.near = {
            record.peer_address
            for record in members
            if record.data_centre == self._settings.daemon_data_centre
        }
        self._transport.set_peers(
            member_addresses | self._request_dispatcher.addresses()
        )
        self._leaving_table.write_if_due()
        self._leaving_query.handle_table_read()
        self._set_read_plans()
        self._retry_budgets.set_daemon_count(len(members))
        self._perform_effects()

    def _set_read_plans(self) -> None:
        """Sets how this daemon follows the store among all daemons."""
        if not self._core.view.is_read:
            return
        self._route_tables.set_read_plans(
            self._settings.daemon_peer_address,
            self._settings.daemon_data_centre,
            self._core.view.open_records(),
            self._runner.keyed or bool(self._core.owned),
            self._request_dispatcher.is_reachable,
        )

    def _handle_read_failure(self, problem: str) -> None:
        del problem
        self._leaving_query.handle_table_failure()
        self._core.record_table_failure()

    def _handle_commit_result(
        self,
        change: str,
        state: effects.CommitState,
        rows: list[records.Row],
    ) -> None:
        self._core.handle_commit_result(change, state, rows, now())
        self._perform_effects()

    def _configure(self, table: routetable.RouteTable, source: str) -> None:
        """Applies a route table that has come into force.

        Args:
            table: The table.
            source: "store", or the address of the daemon that has sent it.
        """
        self._caller_server.limits = table.limits
        self._request_dispatcher.configure(table)
        service = table.services.get(self._service)
        keyed = service is not None and service.keyed
        self._core.keyed = keyed
        self._runner.keyed = keyed
        self._target_handler.limit_cold_calls(service)
        if keyed:
            self._target_handler.configure_grants(table, service)
        logs.event(
            "route_table_in_force",
            version=table.version,
            routes=len(table.routes),
            services=len(table.services),
            source=source,
            lease_ms=round(self._core.lease_length * 1000),
        )

    def _handle_evacuations(self, is_read: bool) -> None:
        """Applies a change of the evacuated data centres.

        Args:
            is_read: Whether this daemon has read it from the store; all others
                are then told, since only some of them follow the store.
        """
        evacuated = self._evacuations.newest.data_centres
        own = self._settings.daemon_data_centre
        self._target_handler.set_evacuated(own in evacuated)
        if not is_read:
            return
        self._peer_sync.broadcast_status()
        wait = _ALL_MEMBERS_KNOWN_S - (now() - self._started_at)
        if wait > 0:
            self.timers.after(wait, self._log_unknown_evacuations)
        else:
            self._log_unknown_evacuations()

    def _log_unknown_evacuations(self) -> None:
        """Logs the evacuated data centres that no daemon is in.

        A daemon that has just started may not have read of all others.
        """
        evacuated = self._evacuations.newest.data_centres
        # The own record may not be written yet.
        known = self._data_centres | {self._settings.daemon_data_centre}
        for name in sorted(evacuated - known if self._data_centres else ()):
            logs.unreadable_event(
                "evacuation_of_unknown_data_centre", data_centre=name
            )

    # Other daemons.

    def _receive(self, envelope: messages.Envelope) -> None:
        sender = envelope.sender
        match envelope.message:
            case calls.Dispatch() as dispatch:
                self._receive_call(
                    sender,
                    envelope.address,
                    self._lateness.measure(sender, dispatch.sent),
                    dispatch,
                )
            case calls.Upload() as upload:
                late_s = self._lateness.measure(sender, upload.dispatch.sent)
                self._incoming_bodies.begin(
                    sender,
                    upload,
                    functools.partial(
                        self._receive_call, sender, envelope.address, late_s
                    ),
                    functools.partial(self._reply, envelope.address),
                )
            case calls.BodyPart() as part:
                self._incoming_bodies.add(
                    sender,
                    part,
                    functools.partial(self._reply, envelope.address),
                )
            case calls.BodyCredit() as credit:
                self._request_dispatcher.bodies.handle_credit(credit)
            case calls.Completion() as completion:
                self._request_dispatcher.handle_completion(sender, completion)
            case calls.Withdraw(leg=leg):
                self._incoming_bodies.withdraw(sender, leg)
                self._late_calls.withdraw(sender, leg)
                self._runner.withdraw(sender, leg)
            case calls.RouteTableUpdate() as update:
                self._route_tables.handle_update(update, envelope.address)
            case calls.TargetLeft(process=process):
                self._leaving_memory.record(envelope.address, process)
                self._answer_about_leavings(
                    envelope.address, calls.TargetLeftQuery()
                )
            case calls.TargetLeftQuery() as query:
                self._answer_about_leavings(envelope.address, query)
            case calls.TargetLeftAnswer() as answer:
                self._leaving_recorder.handle_answer(envelope.address, answer)
                self._leaving_query.handle_answer(envelope.address, answer)
            case _:
                if isinstance(envelope.message, messages.RowUpdates):
                    self._row_sharer.pass_on(envelope.message)
                if not self._peer_sync.receive(envelope):
                    self._core.receive(envelope, now())
                    self._perform_effects()

    def _known_peers(self) -> leavings.Peers:
        addresses = {
            record.peer_address for record in self._core.view.open_records()
        }
        addresses |= self._request_dispatcher.addresses()
        return leavings.Peers(
            frozenset(addresses - {self._settings.daemon_peer_address}),
            self._core.view.is_read,
        )

    def _answer_about_leavings(
        self, address: str, query: calls.TargetLeftQuery
    ) -> None:
        self._send_about_leaving(
            address, self._leaving_memory.answer(address, query)
        )

    def _send_about_leaving(
        self, address: str, message: leavings.Message
    ) -> None:
        self._transport.send(self._core.incarnation, address, message)

    def _receive_call(
        self,
        sender: str,
        address: str,
        late_s: float,
        dispatch: calls.Dispatch,
    ) -> None:
        self._late_calls.receive(
            dispatch,
            sender,
            late_s,
            functools.partial(self._submit_call, sender, address),
        )

    def _submit_call(
        self, sender: str, address: str, dispatch: calls.Dispatch
    ) -> None:
        self._runner.submit(
            dispatch,
            sender,
            functools.partial(self._send_completion, address, now()),
        )

    def _send_completion(
        self, address: str, received_at: float, completion: calls.Completion
    ) -> None:
        self._reply(
            address,
            msgspec.structs.replace(completion, took=now() - received_at),
        )

    def _reply(
        self, address: str, message: calls.BodyCredit | calls.Completion
    ) -> None:
        # The connection to a daemon that has just started may not be made yet.
        self._transport.send_within(
            self._core.incarnation, address, message, _REPLY_TIMEOUT_S
        )

    def _report_load(self) -> None:
        rates = self._runner.slot_loads()
        speed = self._runner.speed
        self._core.has_low_load = (
            workload.is_idle(
                sum(rates.values()), speed, self._runner.queue.capacity
            )
            if speed
            else self._runner.utilisation.average < _LOW_LOAD_UTILISATION
        )
        self._core.report_load(
            rates,
            now(),
            self._runner.request_amount,
            speed,
        )
        self._perform_effects()

    # Periodic work.

    def _tick(self) -> None:
        current_time = now()
        target = self._target_handler
        target.check_silence()
        draining = self._listen_until is not None
        self._core.set_target_state(target.is_serving and not draining, True)
        self._runner.sample_utilisation()
        self._core.tick(current_time)
        self._perform_effects()
        self._peer_sync.update_new_daemons()
        self._request_dispatcher.rerun_silent_legs()
        target.release_if_leaving(draining)
        if draining:
            self._stop_when_idle(current_time)

    def _perform_effects(self) -> None:
        for effect in self._core.take_effects():
            match effect:
                case effects.Send(
                    sender=sender, address=address, message=message
                ):
                    self._transport.send(sender, address, message)
                case effects.ShareRows():
                    self._row_sharer.share(effect)
                case effects.Commit(change=change):
                    self._adapter.store.commit(
                        change.transaction,
                        functools.partial(
                            self._handle_commit_result,
                            change.transaction.change,
                        ),
                    )
                case effects.LogLine(event=event, fields=fields):
                    self._metrics.count_event(event)
                    logs.event(
                        event, incarnation=self._core.incarnation, **fields
                    )
                case effects.ReleaseSlots(slots=slots):
                    if slots:
                        self._target_handler.begin_release(slots)
                    else:
                        self._target_handler.end_release()
                case effects.ReadTable(urgent=urgent):
                    # A read that is not urgent is left to the next long poll,
                    # which starts after the store's pause at most.
                    if urgent:
                        self._adapter.store.skip_pause()
        self._target_handler.renew_grants()

    # Metrics.

    def _observe_request(
        self,
        pending: pendingrequests.PendingRequest,
        completion: calls.Completion,
    ) -> None:
        reason = completion.reason.value if completion.reason else ""
        elapsed = self.timers.now - pending.received_at
        self._metrics.observe_request(
            completion.verdict.value, reason, elapsed, pending.route.name
        )
        if pending.runs > 1:
            self._metrics.count_event("request_rerun")

    def _observe_call(self, verdict: types.Verdict, seconds: float) -> None:
        self._metrics.observe_leg(verdict.value, seconds)

    def _gauges(self) -> dict[str, float]:
        return {
            "peer_messages_sent": self._transport.sent_messages,
            "peer_bytes_sent": self._transport.sent_bytes,
            "peer_messages_dropped": self._transport.dropped_messages,
            "peer_messages_expired": self._transport.expired_messages,
            "peer_frames_malformed": self._transport.malformed_frames,
            "calls_sent_to_other_zone": (
                self._request_dispatcher.zones.calls_sent_away
            ),
            "open_connections": self._caller_server.connection_count,
            "message_bytes": self.budget.used,
            "messages_refused_for_memory": self.budget.refusals,
            "bodies_arriving": self._incoming_bodies.count,
            "evacuated_data_centres": len(
                self._evacuations.newest.data_centres
            ),
            "calls_held_for_cold_target": self._runner.queue.cold.held_count,
        }

    def _build_pages(self) -> httpserver.RequestHandler:
        return routerpages.build(
            routerpages.PageSources(
                core=self._core,
                target=self._target_handler.target,
                runner=self._runner,
                dispatcher=self._request_dispatcher,
                slot_grants=self._target_handler.slot_grants,
                store=self._adapter.store,
                metrics=self._metrics,
                route_table=lambda: (
                    self._route_tables.version,
                    self._route_tables.in_force_since,
                ),
                find_route=self._find_route,
                gauges=self._gauges,
                peer_bytes=lambda: self._transport.sent_bytes_by_kind,
                clock=now,
            )
        )

    def _find_route(self, host: str, path: str) -> routetable.Route | None:
        index = self._route_tables.index
        return index.find(host, path) if index is not None else None

    # Readiness and shutdown.

    @property
    def _takes_no_requests(self) -> bool:
        """Whether requests come too late to be answered before the end."""
        return self._listen_until is not None and now() > self._listen_until

    def _handle_readiness(self, incoming: httpserver.IncomingRequest) -> None:
        ready = (
            self._listen_until is None
            and self._route_tables.table is not None
            and self._core.view.is_read
        )
        incoming.respond(_STATUS_OK if ready else _STATUS_UNAVAILABLE, [], b"")

    @circuits.handler("signal", channel="*")
    def _on_signal(
        self, event: circuits.Event, number: int, stack: object
    ) -> None:
        del stack
        if number == signal.SIGHUP:
            event.stop()
            self._reload_settings()
            return
        if number not in (signal.SIGTERM, signal.SIGINT):
            return
        event.stop()
        if self._listen_until is not None:
            return
        logs.event("draining", signal=number)
        current_time = now()
        self._listen_until = current_time + _DRAIN_LISTEN_S
        self._exit_deadline = (
            current_time + self._settings.grace - _EXIT_RESERVE_S
        )
        self._caller_server.draining = True
        self._core.drain()
        # The target may keep running, so other daemons may use its capacity
        # until this daemon stops accepting calls.
        self.timers.after(
            _DRAIN_LISTEN_S - _STOP_CALLS_BEFORE_CLOSE_S,
            self._stop_accepting_calls,
        )
        self._peer_sync.broadcast_status()

    def _stop_accepting_calls(self) -> None:
        self._target_handler.stop_calls()
        self._peer_sync.broadcast_status()

    def _reload_settings(self) -> None:
        """Applies the settings that can change while the process runs."""
        match self._read_settings():
            case result.Failure(problem):
                logs.event("settings_refused", problem=problem)
            case result.Success(config.Config() as settings):
                self._settings = settings
                self._target_handler.settings = settings
                self._request_dispatcher.zones.price_per_megabyte = (
                    settings.router_far_price / 100
                )
                self._retry_budgets.resize(
                    settings.router_reruns / 100, settings.router_extra_reruns
                )
                logs.event("settings_reloaded")

    def _stop_when_idle(self, current_time: float) -> None:
        """Ends the process once it is idle, or at its exit deadline."""
        if self._stopped:
            return
        if current_time > self._listen_until and self._caller_server.is_open:
            # Later callers get no connection, so no request of theirs is lost.
            self._caller_server.close()
        idle = (
            not self._caller_server.is_open
            and not self._request_dispatcher.in_flight
            and not self._runner.in_progress
            and not self._caller_server.busy_connections
            and not self._core.owned
        )
        if not idle and current_time < self._exit_deadline:
            return
        self._stopped = True
        # Slots that are still owned are not released here: the target may run
        # calls for them until its holds expire with the lease.
        logs.event("stopped", in_flight=self._request_dispatcher.in_flight)
        self._request_dispatcher.give_up()
        self._target_handler.end_calls()
        faulthandler.dump_traceback_later(
            _TICK_INTERVAL_S + _EXIT_TIMEOUT_S, exit=True
        )
        self.timers.after(_TICK_INTERVAL_S, self.stop)

    def close(self) -> None:
        """Closes the connections to other daemons after the loop has ended."""
        self._transport.close()


def _ownership_settings(settings: config.Config) -> effects.Settings:
    return msgspec.structs.replace(
        ownershipsettings.from_config(settings),
        # Targets enforce the end of their holds themselves.
        linger=0.0,
        ordered_keys=True,
        load_half_life=_LOAD_HALF_LIFE_S,
        load_warmup=_LOAD_WARMUP_S,
        min_tolerance=_MIN_TOLERANCE_PERCENT,
        anchor=settings.ownership_anchor / 1000,
    )


def run(router: Router) -> None:
    """Runs a router until it has drained after SIGTERM."""
    # These objects live as long as the process: garbage collections can
    # skip them.
    gc.collect()
    gc.freeze()
    router.run()
    router.close()
    # Frozen objects would still exist when the interpreter ends, and libraries
    # would report them as leaked.
    gc.unfreeze()
