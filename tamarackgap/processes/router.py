"""One router daemon: the parts, put together on one loop and one thread."""

import faulthandler
import functools
import gc
import random
import signal
import time
from collections.abc import Callable

import circuits
import msgspec
from returns import result

from tamarackgap import logs, metrics, types
from tamarackgap.network import (
    exchanges,
    httppool,
    httpserver,
    scheduler,
    sockets,
)
from tamarackgap.ownership import effects, ownership
from tamarackgap.peers import calls, messages, transport
from tamarackgap.placement import records
from tamarackgap.processes import ownershipsettings, peersync, routerpages
from tamarackgap.requests import retries
from tamarackgap.settings import config
from tamarackgap.traffic import (
    adapter,
    crashes,
    dispatcher,
    localtarget,
    routetable,
    runner,
    slotgrants,
    slotrelease,
)

_TICK_S = 0.05
_SWEEP_S = 0.02
_LOAD_S = 0.5
# Hot ranges of keys change within seconds.
_LOAD_HALF_LIFE_S = 2.0
_LOAD_UNSETTLED_S = 1.0
_TOLERANCE_PERCENT = 15
# Below this part of its capacity a target gives no keys away: moving them
# would cost their callers more than they gain.
_CALM_UTILISATION = 0.6
# A process that leaves is still asked until the second question in a row has
# failed; it serves all who come until then.
_LINGER_S = 2.6
# A process that leaves beside a target that stays takes calls for it until so
# long before it closes its door: daemons hear of that within a status's
# interval, and calls under way end meanwhile, seconds.
_STOP_BEFORE_S = 0.8
# Keys that can't be moved in this time after a target or process began to
# leave go to the successors without a handover.
_GIVE_UP_S = 0.8
# Left of the grace time when the process ends whatever is still going on.
_LAST_S = 0.4
# A process that has stopped and not ended after this time ends by force, with
# a trace of where it hung, seconds.
_END_S = 2.0
_TARGET_IDLE_S = 7.0
_TARGET_SILENCE_MS = 3000
_ENVELOPE_BYTES = 65_536
_OK = 200
_NO_ROUTE = 404
_BAD = 400
_UNAVAILABLE = 503
_RETRY_S = b"0.2"


def now() -> float:
    """Returns seconds on a clock that also counts suspended time.

    A lease must not outlive a suspension of the VM.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Router(circuits.Component):
    """A process of the system, beside one target."""

    channel = "router"

    def __init__(
        self,
        settings: config.Config,
        read_settings: Callable[[], result.Result[config.Config, str]],
    ) -> None:
        """Creates the parts that need nothing of the world.

        Args:
            settings: All settings.
            read_settings: Reads them again.
        """
        super().__init__()
        self._settings = settings
        self._read_settings = read_settings
        self._service = types.ServiceName(settings.daemon_service)
        self._rng = random.Random()
        self.poller = sockets.Poller().register(self)
        self.timers = scheduler.Scheduler(now).register(self)
        self.poller.run_due = self.timers.run_due
        self._table: routetable.RouteTable | None = None
        self._table_since = now()
        self._index: routetable.RouteIndex | None = None
        self._leave_at: float | None = None
        self._end_at = 0.0
        # When keys that were to move are given up instead, seconds.
        self._give_up_at = 0.0
        self._stopped = False

    def begin(self, platform_adapter: adapter.Adapter) -> None:
        """Binds all addresses, and starts.

        Args:
            platform_adapter: How the world around the router is met.

        Raises:
            OSError: If an address can't be bound.
        """
        settings = self._settings
        self._adapter = platform_adapter
        self._core = ownership.Ownership(
            _ownership_settings(settings), self._rng, self._must_stay, now()
        )
        self._core.keyed = False
        self._pool = httppool.ConnectionPool(
            self.poller,
            self.timers,
            settings.router_target_address,
            _TARGET_IDLE_S,
            _TARGET_SILENCE_MS,
        )
        # Orders wait for nobody, and need few of the target's connections.
        self._orders = httppool.ConnectionPool(
            self.poller,
            self.timers,
            settings.router_target_address,
            _TARGET_IDLE_S,
            _TARGET_SILENCE_MS,
        )
        lease = settings.ownership_lease / 1000
        self._holds = slotgrants.SlotGrants(
            self._core,
            self._order,
            self.timers,
            lease,
            settings.router_longest_hold / 1000,
        )
        self._peers = transport.PeerTransport(
            self.poller,
            self.timers,
            settings.daemon_deployment,
            settings.daemon_peer_address,
            settings.requests_body + settings.requests_answer + _ENVELOPE_BYTES,
            self._receive,
        )
        self._crashes = crashes.CrashHistory()
        self._runner = runner.Runner(
            self._service,
            self._core,
            self._holds,
            self._pool,
            platform_adapter.codec,
            self.timers,
            self._target_refused,
            self._crashes,
        )
        self._hand_offs = slotrelease.SlotReleaser(
            self._holds, self._core.slots_released
        )
        self._budgets = retries.ServiceRetryBudgets(
            settings.router_reruns / 100, settings.router_extra_reruns
        )
        self._entry = dispatcher.Dispatcher(
            self._core,
            self._runner,
            self._peers,
            self.timers,
            self._budgets,
            self._rng,
            self._crashes,
            settings.daemon_data_centre,
        )
        self._core.is_reachable = self._entry.is_heard
        self._peer_sync = peersync.PeerSync(
            self._core,
            self._peers,
            self._runner,
            self._entry,
            self._crashes,
            self.timers,
            lambda: self._table,
        )
        self._runner.on_content_cleared = self._peer_sync.broadcast_cleared
        self._beside = localtarget.LocalTarget(
            self._service, settings.router_announce_interval / 1000, now()
        )
        self._metrics = metrics.Metrics(settings.daemon_name, self._service)
        self._entry.observe = self._observe_request
        self._runner.observe = self._observe_call
        if settings.router_metrics_address:
            self._open(settings.router_metrics_address, self._pages())
        self._http_server = self._open(
            settings.daemon_http_address, self._serve
        )
        self._open(settings.router_announce_address, self._announced)
        self._open(settings.router_ready_address, self._asked_ready)
        logs.event(
            "started",
            incarnation=self._core.incarnation,
            service=self._service,
            data_centre=settings.daemon_data_centre,
            callers=settings.daemon_http_address,
            peers=settings.daemon_peer_address,
        )
        signal.signal(signal.SIGHUP, self._signal_handler)
        platform_adapter.store.watch(self._rows_read, self._read_failed)
        platform_adapter.store.watch_route_table(self._table_changed)
        self.timers.every(_TICK_S, self._tick)
        self.timers.every(_SWEEP_S, self._runner.refuse_late)
        self.timers.every(_LOAD_S, self._tell_load)

    def _open(
        self, address: str, serve: httpserver.RequestHandler
    ) -> httpserver.HttpServer:
        return httpserver.HttpServer(self.poller, self.timers, address, serve)

    # Callers.

    def _serve(self, incoming: httpserver.IncomingRequest) -> None:
        match self._adapter.decode_call(incoming, self._service):
            case result.Failure(problem):
                logs.request_event("request_malformed", True, problem=problem)
                incoming.respond(_BAD, [], b"")
                return
            case result.Success(adapter.DecodedRequest() as asked):
                pass
            case other:
                raise AssertionError(other)
        if self._index is None:
            incoming.respond(_UNAVAILABLE, [(b"retry-after", _RETRY_S)], b"")
            return
        route = self._index.find(asked.host, asked.call.request_target)
        if route is None:
            logs.request_event(
                "request_without_route",
                True,
                request=asked.call.request_id,
                host=asked.host,
                version=self._table.version,
            )
            incoming.respond(_NO_ROUTE, [], b"")
            return
        timeout = route.timeout if asked.timeout is None else asked.timeout
        flight = self._entry.submit(
            asked.call,
            route,
            incoming.received_at,
            timeout,
            functools.partial(self._answer, incoming),
        )
        if flight.done is not None:
            incoming.on_disconnect = functools.partial(
                self._entry.cancel, flight
            )

    def _answer(
        self, incoming: httpserver.IncomingRequest, completion: calls.Completion
    ) -> None:
        said = self._adapter.encode_answer(completion)
        incoming.respond(said.status, said.headers, said.body)

    # The target.

    def _announced(self, incoming: httpserver.IncomingRequest) -> None:
        said = self._adapter.decode_announcement(incoming)
        if said is None:
            incoming.respond(_BAD, [], b"")
            return
        incoming.respond(_OK, [], b"")
        self._target_changed(self._beside.handle_announcement(said, now()))
        if self._beside.phase is localtarget.Phase.SERVING:
            self._holds.resume()
        if self._takes_calls:
            self._runner.attach(self._beside.instance, self._beside.capacity)

    def _target_refused(self) -> None:
        self._target_changed(self._beside.handle_connection_refused())

    def _target_changed(self, change: localtarget.Transition) -> None:
        if change is localtarget.Transition.NONE:
            return
        logs.event(
            "target_changed",
            change=change.value,
            instance=self._beside.instance,
            phase=self._beside.phase.value,
        )
        if change in (
            localtarget.Transition.NEW_PROCESS,
            localtarget.Transition.LOST,
        ):
            self._peer_sync.broadcast_crash()
        match change:
            case localtarget.Transition.NEW_PROCESS:
                self._replace_target()
                if self._beside.phase is localtarget.Phase.LEAVING:
                    self._runner.drain()
            case localtarget.Transition.LEAVING:
                self._runner.drain()
            case localtarget.Transition.LOST:
                self._runner.detach()
                self._abandon_keys("target-gone")
            case localtarget.Transition.SILENT:
                self._runner.detach()
                # It may live, and hold keys until its holds have ended.
                self.timers.after(self._holds.pause(), self._abandon_if_silent)
        self._peer_sync.broadcast_status()

    def _give_keys_up(self, moment: float) -> None:
        """Lets successors serve, where the table does not take the moves.

        The witnesses alone are enough for that.
        """
        if moment < self._give_up_at or self._holds.has_pending_releases:
            return
        if self._core.owned:
            self._give_up_at = moment + _GIVE_UP_S
            logs.event("keys_given_up", slots=len(self._core.owned))
            self._holds.release_all(
                functools.partial(self._abandon_keys, "leaving")
            )

    def _replace_target(self) -> None:
        """Lets successors serve: what the earlier target held is over.

        Grants without an answer may have reached the new one, which then holds
        these keys until they end.
        """
        doubtful = self._holds.stop()
        self._pool.close()
        self._orders.close()
        if not doubtful:
            self._abandon_keys("target-started-anew")
            return
        logs.event("grants_in_doubt", ms=round(doubtful * 1000))
        self.timers.after(
            doubtful,
            functools.partial(self._end_doubt, self._core.incarnation),
        )

    def _end_doubt(self, incarnation: types.Incarnation) -> None:
        if incarnation == self._core.incarnation:
            self._abandon_keys("target-started-anew")
        else:
            self._holds.reset()

    def _must_stay(self, slot: int) -> bool:
        return not self._holds.is_confirmed(slot)

    def _abandon_if_silent(self) -> None:
        if self._beside.phase is localtarget.Phase.ABSENT:
            self._abandon_keys("target-silent")

    def _abandon_keys(self, reason: str) -> None:
        """Lets the successors serve at once: the target holds no key."""
        if self._core.owned:
            logs.event("keys_abandoned", reason=reason)
            self._core.release_lease(now())
        self._holds.reset()
        self._carry_out()

    def _order(
        self,
        order: slotgrants.Grant | slotgrants.Release,
        timeout: float,
        done: Callable[[slotgrants.OrderResult], None],
    ) -> None:
        def answered(
            outcome: result.Result[httppool.Answer, exchanges.Failure],
        ) -> None:
            match outcome:
                case result.Success(httppool.Answer() as answer):
                    done(self._adapter.decode_order_answer(answer))
                case result.Failure(exchanges.Failure(cause=cause)):
                    logs.event("order_unanswered", cause=cause.value)
                    if cause is exchanges.Cause.REFUSED:
                        self._target_refused()
                    done(slotgrants.OrderResult(False))

        def build() -> bytes:
            current = self._holds.with_remaining_hold(order)
            if current is None:
                return b""
            return self._adapter.encode_order(current)

        self._orders.send(build, timeout, answered)

    # The store.

    def _rows_read(
        self, rows: list[records.Row], revision: int, as_of: float
    ) -> None:
        self._core.apply_table_read(_readable(rows), revision, now(), as_of)
        members = self._core.view.members()
        linked = {record.peer_address for record in members}
        self._peers.set_peers(linked | self._entry.addresses())
        self._adapter.store.set_pause(peersync.read_pause(len(members)))
        self._budgets.set_daemon_count(len(members))
        self._carry_out()

    def _read_failed(self, problem: str) -> None:
        del problem
        self._core.record_table_failure()

    def _committed(
        self,
        change: str,
        state: effects.CommitState,
        rows: list[records.Row],
    ) -> None:
        self._core.handle_commit_result(change, state, _readable(rows), now())
        self._carry_out()

    def _table_changed(self, table: routetable.RouteTable) -> None:
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        self._table_since = now()
        self._index = routetable.RouteIndex(table)
        self._http_server.limits = table.limits
        self._entry.configure(table)
        service = table.services.get(self._service)
        keyed = service is not None and service.keyed
        self._core.keyed = keyed
        self._runner.keyed = keyed
        logs.event(
            "route_table_in_force",
            version=table.version,
            routes=len(table.routes),
            services=len(table.services),
        )

    # Other daemons.

    def _receive(self, envelope: messages.Envelope) -> None:
        sender = envelope.sender
        match envelope.message:
            case calls.Dispatch() as dispatch:
                self._runner.submit(
                    dispatch,
                    sender,
                    functools.partial(self._reply, envelope.address),
                )
            case calls.Completion() as completion:
                self._entry.handle_completion(sender, completion)
            case calls.Withdraw(leg=leg):
                self._runner.withdraw(sender, leg)
            case calls.RouteTableUpdate(source=source):
                table = self._adapter.decode_table(source)
                if table is not None:
                    self._table_changed(table)
            case _:
                if not self._peer_sync.receive(envelope):
                    self._core.receive(envelope, now())
                    self._carry_out()

    def _reply(self, address: str, completion: calls.Completion) -> None:
        self._peers.send(self._core.incarnation, address, completion)

    def _tell_load(self) -> None:
        self._core.has_low_load = self._runner.utilisation < _CALM_UTILISATION
        self._core.report_load(self._runner.slot_loads(), now())
        self._carry_out()

    # The loop's turns.

    def _tick(self) -> None:
        moment = now()
        self._target_changed(
            self._beside.check_silence(self._runner.last_answered_at, moment)
        )
        leaving = self._leave_at is not None
        self._core.set_target_state(
            self._beside.phase is localtarget.Phase.SERVING and not leaving,
            True,
        )
        self._core.tick(moment)
        self._carry_out()
        self._peer_sync.update_new_daemons()
        self._entry.fail_silent_legs()
        if leaving or self._beside.phase is localtarget.Phase.LEAVING:
            self._give_keys_up(moment)
        else:
            self._give_up_at = moment + _GIVE_UP_S
        if leaving:
            self._leave(moment)

    def _carry_out(self) -> None:
        for effect in self._core.take_effects():
            match effect:
                case effects.Send(
                    sender=sender, address=address, message=message
                ):
                    self._peers.send(sender, address, message)
                case effects.Commit(change=change):
                    self._adapter.store.commit(
                        change.transaction,
                        functools.partial(
                            self._committed, change.transaction.change
                        ),
                    )
                case effects.LogLine(event=event, fields=fields):
                    self._metrics.count_event(event)
                    logs.event(
                        event, incarnation=self._core.incarnation, **fields
                    )
                case effects.ReleaseSlots(slots=moving):
                    if moving:
                        self._hand_offs.begin(moving)
                    else:
                        self._hand_offs.end()
                case effects.ReadTable(urgent=urgent):
                    # The long poll brings it, after a pause at most.
                    if urgent:
                        self._adapter.store.skip_pause()
        self._holds.renew()

    # Metrics.

    def _observe_request(
        self, flight: dispatcher.PendingRequest, completion: calls.Completion
    ) -> None:
        reason = completion.reason.value if completion.reason else ""
        elapsed = self.timers.now - flight.begun
        self._metrics.observe_request(
            completion.verdict.value, reason, elapsed, flight.route.name
        )
        if flight.runs > 1:
            self._metrics.count_event("request_rerun")

    def _observe_call(self, verdict: types.Verdict, seconds: float) -> None:
        self._metrics.observe_leg(verdict.value, seconds)

    def _gauges(self) -> dict[str, float]:
        return {
            "peer_messages_sent": self._peers.sent_messages,
            "peer_bytes_sent": self._peers.sent_bytes,
            "peer_messages_dropped": self._peers.dropped_messages,
            "peer_frames_malformed": self._peers.malformed_frames,
            "open_connections": self._http_server.connections,
        }

    def _pages(self) -> httpserver.RequestHandler:
        return routerpages.build(
            routerpages.PageSources(
                core=self._core,
                target=self._beside,
                runner=self._runner,
                dispatcher=self._entry,
                holds=self._holds,
                store=self._adapter.store,
                metrics=self._metrics,
                route_table=lambda: (
                    self._table.version if self._table else 0,
                    self._table_since,
                ),
                gauges=self._gauges,
                clock=now,
            )
        )

    # Readiness and end.

    def _asked_ready(self, incoming: httpserver.IncomingRequest) -> None:
        ready = (
            self._leave_at is None
            and self._table is not None
            and self._core.view.is_read
        )
        incoming.respond(_OK if ready else _UNAVAILABLE, [], b"")

    @circuits.handler("signal", channel="*")
    def _on_signal(
        self, event: circuits.Event, number: int, stack: object
    ) -> None:
        del stack
        if number == signal.SIGHUP:
            event.stop()
            self._reload()
            return
        if number not in (signal.SIGTERM, signal.SIGINT):
            return
        event.stop()
        if self._leave_at is not None:
            return
        logs.event("draining", signal=number)
        moment = now()
        self._leave_at = moment + _LINGER_S
        self._end_at = moment + self._settings.router_grace / 1000 - _LAST_S
        self._http_server.draining = True
        self._core.drain()
        # The target may stay, with slots that others can use meanwhile.
        self.timers.after(_LINGER_S - _STOP_BEFORE_S, self._stop_calls)
        self._peer_sync.broadcast_status()

    @property
    def _takes_calls(self) -> bool:
        """Whether the target beside this daemon may be sent new calls."""
        leaves = self._leave_at is not None and (
            now() >= self._leave_at - _STOP_BEFORE_S
        )
        return self._beside.phase is localtarget.Phase.SERVING and not leaves

    def _stop_calls(self) -> None:
        self._runner.drain()
        self._peer_sync.broadcast_status()

    def _reload(self) -> None:
        """Takes over the settings that can change while it runs."""
        match self._read_settings():
            case result.Failure(problem):
                logs.event("settings_refused", problem=problem)
            case result.Success(config.Config() as settings):
                self._settings = settings
                self._budgets.resize(
                    settings.router_reruns / 100, settings.router_extra_reruns
                )
                logs.event("settings_reloaded")

    def _leave(self, moment: float) -> None:
        """Ends the process, once nothing depends on it any more."""
        if self._stopped:
            return
        if moment > self._leave_at and self._http_server.is_open:
            # Callers that come later find nobody, and lose nothing.
            self._http_server.close()
        idle = (
            not self._http_server.is_open
            and not self._entry.in_flight
            and not self._runner.in_progress
            and not self._http_server.in_progress
            and not self._core.owned
        )
        if not idle and moment < self._end_at:
            return
        self._stopped = True
        # Keys still held here are not given up now: the target may run calls
        # for them until its holds have ended with the lease.
        logs.event("stopped", in_flight=self._entry.in_flight)
        faulthandler.dump_traceback_later(_TICK_S + _END_S, exit=True)
        self.timers.after(_TICK_S, self.stop)

    def close(self) -> None:
        """Closes the links to other daemons, after the loop has ended."""
        self._peers.close()


def _readable(rows: list[records.Row]) -> list[records.Row]:
    """Returns the rows that have the expected shape."""
    found = []
    for row in rows:
        try:
            records.TableView().merge([row])
        except msgspec.MsgspecError as error:
            logs.event("row_malformed", key=row.key, error=str(error))
        else:
            found.append(row)
    return found


def _ownership_settings(settings: config.Config) -> effects.Settings:
    return msgspec.structs.replace(
        ownershipsettings.from_config(settings),
        # Targets enforce the end of their holds themselves.
        linger=0.0,
        ordered_keys=True,
        load_half_life=_LOAD_HALF_LIFE_S,
        load_warmup=_LOAD_UNSETTLED_S,
        min_tolerance=_TOLERANCE_PERCENT,
        anchor=settings.ownership_anchor / 1000,
    )


def run(router: Router) -> None:
    """Runs a router until it has drained after SIGTERM."""
    # What exists by now stays: collections need not look at it again.
    gc.collect()
    gc.freeze()
    router.run()
    router.close()
    # Libraries report what is still held when the interpreter ends.
    gc.unfreeze()
