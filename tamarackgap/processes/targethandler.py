"""Handles the local target: announcements, grants, releases and its end."""

import functools
import math
from collections.abc import Callable

import msgspec
from returns import result

from tamarackgap import logs, types
from tamarackgap.network import (
    bytebudget,
    exchanges,
    httppool,
    httpserver,
    scheduler,
    sockets,
)
from tamarackgap.ownership import ownership
from tamarackgap.scheduling import coldstart
from tamarackgap.settings import config
from tamarackgap.traffic import (
    adapter,
    crashes,
    heartbeatorders,
    leaselength,
    localtarget,
    orders,
    routetable,
    runner,
    slotgrants,
    slotrelease,
)

# Slots that have not moved through the table this long after the target or
# the process began to leave go to their successors without a handover.
_MOVE_TIMEOUT_S = 0.8
_IDLE_TIMEOUT_S = 7.0
_UNACKED_TIMEOUT_MS = 3000
_MAX_ORDER_ANSWER_BYTES = 65_536
_STATUS_BAD_REQUEST = 400
_STATUS_UNAVAILABLE = 503
# The same for an evacuation, and how long calls for keys that have not moved
# yet are run. Operators allow five seconds; to hear of it may take one.
_EVACUATION_MOVE_TIMEOUT_S = 2.0
_EVACUATION_DRAIN_S = 3.0
# An announcement may be under way for this time where nothing is lost.
_ANNOUNCEMENT_DELAY_S = 0.1


# Has other daemons confirm that a process has left, and calls back with whether
# they have.
ConfirmLeaving = Callable[[types.TargetProcess, Callable[[bool], None]], None]


def _do_nothing() -> None:
    """Is called where nobody is to be told."""


def _confirm_alone(
    process: types.TargetProcess, done: Callable[[bool], None]
) -> None:
    """Confirms a leaving where there are no other daemons."""
    del process
    done(True)


class TargetHandler:
    """Keeps the local target supplied with calls and grants.

    Attributes:
        settings: The daemon's settings; replaced when they are read again.
        target: What the target has announced.
        slot_grants: The grants that the target has.
        runner: Runs calls at the target.
        on_crash: Called when the target's process has ended, before other
            daemons learn of its new state.
        on_status_changed: Called when the target's state has changed.
        confirm_leaving: Called before a leaving is acknowledged.
        fresh_address: Where the target is to announce itself from now on, so
            that what it says is known to be new; "" for no change.
        on_fresh_announcement: Called with each such announcement that does not
            say that the target leaves.
    """

    def __init__(
        self,
        settings: config.Config,
        platform_adapter: adapter.Adapter,
        core: ownership.Ownership,
        poller: sockets.Poller,
        timers: scheduler.Scheduler,
        crash_history: crashes.CrashHistory,
        perform_effects: Callable[[], None],
        budget: bytebudget.ByteBudget,
    ) -> None:
        """Creates a handler whose target has not announced itself.

        Args:
            settings: The daemon's settings.
            platform_adapter: Decodes announcements and encodes orders.
            core: Tells which slots this daemon owns.
            poller: The loop's poller.
            timers: The loop's scheduler.
            crash_history: Fingerprints of requests that targets ran when they
                crashed.
            perform_effects: Performs what the ownership logic has decided.
            budget: Limits the memory of all messages under way.
        """
        self.settings = settings
        self.on_crash: Callable[[], None] = _do_nothing
        self.on_status_changed: Callable[[], None] = _do_nothing
        self.confirm_leaving: ConfirmLeaving = _confirm_alone
        self.fresh_address = ""
        self.on_fresh_announcement: Callable[[], None] = _do_nothing
        self._service = types.ServiceName(settings.daemon_service)
        self._adapter = platform_adapter
        self._core = core
        self._timers = timers
        self._perform_effects = perform_effects
        self._calls_stopped = False
        # Whether it is known which processes of the target have left.
        self._knows_leavings = True
        # The latest announcement that waits for that.
        self._held_announcement: localtarget.Announcement | None = None
        self._is_evacuated = False
        # Until then an announcement may have been sent before the target's
        # evacuation ended, seconds.
        self._doubtful_until = 0.0
        # When the slots still owned are released without the table, seconds.
        self._release_at = 0.0
        # Number of times that the target was lost or silent.
        self._absences = 0
        announce_interval = settings.router_announce_interval / 1000

        def create_pool(max_answer_bytes: int) -> httppool.ConnectionPool:
            return httppool.ConnectionPool(
                poller,
                timers,
                settings.router_target_address,
                _IDLE_TIMEOUT_S,
                _UNACKED_TIMEOUT_MS,
                max_answer_bytes,
                budget,
            )

        self._call_pool = create_pool(settings.requests_answer)
        # Orders have a pool of their own, so that they don't wait for calls.
        # They need few of the target's connections.
        self._order_pool = create_pool(_MAX_ORDER_ANSWER_BYTES)
        self.slot_grants = slotgrants.SlotGrants(
            core,
            self._send_order,
            timers,
            settings.ownership_lease / 1000,
            settings.router_longest_hold / 1000,
        )
        self._order_pool.on_connected = self.slot_grants.handle_new_connection
        self._heartbeat_orders = heartbeatorders.HeartbeatOrders(
            timers, announce_interval, platform_adapter.max_hold_ranges
        )
        self.runner = runner.Runner(
            self._service,
            core,
            self.slot_grants,
            self._call_pool,
            platform_adapter.codec,
            timers,
            self._handle_connection_refused,
            crash_history,
            budget,
        )
        self._slot_releaser = slotrelease.SlotReleaser(
            self.slot_grants, core.record_release
        )
        self.target = localtarget.LocalTarget(
            self._service, announce_interval, timers.now
        )

    @property
    def is_serving(self) -> bool:
        """Whether the target serves, and is not about to leave."""
        return (
            self.target.phase is localtarget.Phase.SERVING
            and not self._is_evacuated
        )

    def is_pinned(self, slot: int) -> bool:
        """Returns whether a slot must not move, since its grant is open."""
        return not self.slot_grants.is_confirmed(slot)

    def renew_grants(self) -> None:
        """Sends the grants that are due for renewal."""
        self.slot_grants.renew()

    def begin_release(self, slots: frozenset[int]) -> None:
        """Makes the target release slots that are to move."""
        self._slot_releaser.begin(slots)

    def end_release(self) -> None:
        """Ends a release: the slots have moved, or will not."""
        self._slot_releaser.end()

    def stop_calls(self) -> None:
        """Refuses further calls, since the daemon is about to end."""
        self._calls_stopped = True
        self.runner.drain()

    def end_calls(self) -> None:
        """Breaks off all calls, since the process ends; their callers hear."""
        self.runner.detach()
        self._call_pool.close()

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Lets the target be as if it were leaving, or takes it back.

        It may have turned cold meanwhile, so it is taken to be cold until it
        says otherwise.

        Args:
            is_evacuated: Whether the target is to get no calls.
        """
        if is_evacuated is self._is_evacuated:
            return
        self._is_evacuated = is_evacuated
        current_time = self._timers.now
        if is_evacuated:
            self.runner.drain(_EVACUATION_DRAIN_S)
            self._release_at = current_time + _EVACUATION_MOVE_TIMEOUT_S
        else:
            self._doubtful_until = current_time + _ANNOUNCEMENT_DELAY_S
            self.runner.queue.cold.set_cold(math.inf, current_time)
            self._attach_if_serving()
        logs.event(
            "target_evacuated",
            evacuated=is_evacuated,
            instance=self.target.instance,
            slots=len(self._core.owned),
        )
        self.on_status_changed()

    def check_silence(self) -> None:
        """Notices a target that no longer announces itself."""
        self._apply_transition(
            self.target.check_silence(
                self.runner.last_answered_at, self._timers.now
            )
        )

    def release_if_leaving(self, draining: bool) -> None:
        """Releases slots that could not move, where the target is leaving.

        Args:
            draining: Whether the daemon leaves.
        """
        if (
            draining
            or self._is_evacuated
            or self.target.phase is localtarget.Phase.LEAVING
        ):
            self._release_without_table()
        else:
            self._release_at = self._timers.now + _MOVE_TIMEOUT_S

    def configure_grants(
        self, table: routetable.RouteTable, service: routetable.Service
    ) -> None:
        """Sets how the target is granted slots, and for how long.

        Args:
            table: The route table in force.
            service: The target's service in it.
        """
        channel = service.grant_channel or routetable.GrantChannel(
            self.settings.router_grants
        )
        by_heartbeat = channel is routetable.GrantChannel.HEARTBEAT
        self.slot_grants.by_heartbeat = by_heartbeat
        self._core.defers_release = by_heartbeat
        if not by_heartbeat:
            # The target no longer reports what it holds.
            self._core.is_target_empty = False
        self._core.lease_length = leaselength.needed_length(
            table,
            self._service,
            self._core.settings.lease,
            self.settings.router_announce_interval / 1000
            if by_heartbeat
            else 0.0,
            self.settings.router_longest_hold / 1000,
        )

    def limit_cold_calls(self, service: routetable.Service | None) -> None:
        """Sets what the target bears while it is cold.

        Args:
            service: The target's service; None if the route table in force has
                none.
        """
        self.runner.queue.cold.limit = coldstart.ColdLimit(
            service.cold_rate if service is not None else 0.0,
            self.settings.router_cold_overage,
            self.settings.router_cold_slack,
        )

    def _set_cold(self, announcement: localtarget.Announcement) -> None:
        """Records for how long the target says that it is still cold."""
        if self._timers.now < self._doubtful_until and not announcement.cold_s:
            return
        cold = self.runner.queue.cold
        was_cold = cold.is_limiting(self._timers.now)
        cold.set_cold(announcement.cold_s, self._timers.now)
        if cold.is_limiting(self._timers.now) is not was_cold:
            logs.event(
                "target_cold",
                instance=announcement.instance,
                cold_ms=round(announcement.cold_s * 1000),
                pace=cold.limit.pace,
            )
            if self.runner.accepting:
                self.on_status_changed()

    def handle_fresh_announcement(
        self, incoming: httpserver.IncomingRequest
    ) -> None:
        """Handles an announcement at the address named by this process."""
        self.handle_announcement(incoming, is_fresh=True)

    def handle_announcement(
        self, incoming: httpserver.IncomingRequest, is_fresh: bool = False
    ) -> None:
        """Handles a request of the target that announces itself.

        Args:
            incoming: The request.
            is_fresh: Whether it can't have been sent before this process began.
        """
        announcement = self._adapter.decode_announcement(incoming)
        if announcement is None:
            incoming.respond(_STATUS_BAD_REQUEST, [], b"")
            return
        is_leaving = announcement.leaving or announcement.final
        if is_fresh and not is_leaving:
            self.on_fresh_announcement()
        if is_leaving or self._knows_leavings:
            self._apply_announcement(announcement)
        else:
            self._hold_announcement(announcement)
        if is_leaving:
            process = self.target.leaving_process(announcement)
            self.confirm_leaving(
                process,
                functools.partial(
                    self._acknowledge_leaving, incoming, announcement
                ),
            )
        else:
            self._acknowledge(incoming, announcement)
        self._attach_if_serving()
        self._perform_effects()

    def _acknowledge(
        self,
        incoming: httpserver.IncomingRequest,
        announcement: localtarget.Announcement,
    ) -> None:
        response = self._adapter.encode_announcement_answer(
            self._answer_hold_report(announcement),
            "" if self._knows_leavings else self.fresh_address,
        )
        incoming.respond(response.status, response.headers, response.body)

    def _acknowledge_leaving(
        self,
        incoming: httpserver.IncomingRequest,
        announcement: localtarget.Announcement,
        is_known: bool,
    ) -> None:
        """Acknowledges a leaving if other daemons know of it.

        This process may end at any moment. What it alone knows would then not
        bind the next one.
        """
        if is_known:
            self._acknowledge(incoming, announcement)
        else:
            incoming.respond(_STATUS_UNAVAILABLE, [], b"")

    def _apply_announcement(
        self, announcement: localtarget.Announcement
    ) -> None:
        self._apply_transition(
            self.target.handle_announcement(announcement, self._timers.now)
        )
        self.slot_grants.target_instance = self.target.instance
        if self.target.is_latest(announcement):
            self._set_cold(announcement)
        if self.is_serving:
            self.slot_grants.resume()

    def await_leavings(self) -> None:
        """Holds back announcements until `begin_use` is called.

        Those that say that the target leaves are applied at once.
        """
        self._knows_leavings = False

    def begin_use(self, with_held: bool = True) -> None:
        """Lets the target be used as soon as it announces itself.

        Args:
            with_held: Whether the announcement that was held back counts.
        """
        self._knows_leavings = True
        held = self._held_announcement
        self._held_announcement = None
        if held is not None and with_held:
            self._apply_announcement(held)
            self._attach_if_serving()
            self._perform_effects()

    def record_left(self, process: types.TargetProcess) -> None:
        """Records that a process of the target has left, as others know."""
        self._apply_transition(
            self.target.record_left(process, self._timers.now)
        )

    def _hold_announcement(
        self, announcement: localtarget.Announcement
    ) -> None:
        held = self._held_announcement
        if (
            held is None
            or held.process.born_ms < announcement.process.born_ms
            or (
                held.process == announcement.process
                and held.sequence < announcement.sequence
            )
        ):
            self._held_announcement = announcement

    def _attach_if_serving(self) -> None:
        if self.is_serving and not self._calls_stopped:
            self.runner.attach(self.target.instance, self.target.capacity)

    def _answer_hold_report(
        self, announcement: localtarget.Announcement
    ) -> heartbeatorders.HoldList | None:
        """Returns what the target is to hold; None for nothing to be said.

        An announcement that is older than the latest one may come from a
        process that has ended, and its report is out of date.
        """
        if not self.slot_grants.by_heartbeat or not (
            self.target.is_latest(announcement)
        ):
            return None
        self._slot_releaser.handle_heartbeat()
        hold_list = self._heartbeat_orders.answer(
            announcement.report,
            self.slot_grants.grant_all,
            bool(self._core.owned),
        )
        self._core.is_target_empty = self._heartbeat_orders.is_target_empty
        return hold_list

    def _handle_connection_refused(self) -> None:
        """Notices the end of the target's process.

        The process still runs as long as any of its connections is open: it
        may only have stopped listening, or have no room for more connections.
        """
        if (
            self._call_pool.has_established_connection
            or self._order_pool.has_established_connection
        ):
            return
        self._apply_transition(self.target.handle_connection_refused())

    def _apply_transition(self, transition: localtarget.Transition) -> None:
        if transition is localtarget.Transition.NONE:
            return
        logs.event(
            "target_changed",
            change=transition.value,
            instance=self.target.instance,
            phase=self.target.phase.value,
        )
        if transition in (
            localtarget.Transition.NEW_PROCESS,
            localtarget.Transition.LOST,
        ):
            self.on_crash()
        match transition:
            case localtarget.Transition.NEW_PROCESS:
                self._handle_target_restart()
                if self.target.phase is localtarget.Phase.LEAVING:
                    self.runner.drain()
            case localtarget.Transition.LEAVING:
                self.runner.drain()
            case localtarget.Transition.LOST:
                self.runner.detach()
                self._call_pool.close()
                self._release_lease_when_expired("target-gone")
            case localtarget.Transition.SILENT:
                self.runner.detach()
                self._release_lease_when_expired("target-silent")
        self.on_status_changed()

    def _release_without_table(self) -> None:
        """Releases the lease if slots have not moved through the table in time.

        Successors then take over with the witnesses alone, without the table.
        """
        current_time = self._timers.now
        if (
            current_time < self._release_at
            or self.slot_grants.has_pending_releases
            or self._slot_releaser.is_waiting
        ):
            return
        if self._core.owned:
            self._release_at = current_time + _MOVE_TIMEOUT_S
            logs.event("keys_given_up", slots=len(self._core.owned))
            self.slot_grants.release_all(
                functools.partial(self._release_lease, "leaving")
            )

    def _handle_target_restart(self) -> None:
        """Releases the lease, since the target process that held slots is gone.

        The new process may have taken grants that were meant for the earlier
        one, so it has to release all slots first. Grants without an answer are
        waited for.
        """
        uncertain_s = self.slot_grants.stop()
        self._call_pool.close()
        self._order_pool.close()
        self._heartbeat_orders.close()
        self._core.is_target_empty = False
        if self.slot_grants.by_heartbeat:
            # The new process gets its first grants with the answer to its
            # first announcement.
            self.slot_grants.clear()
        elif uncertain_s:
            logs.event("grants_in_doubt", ms=round(uncertain_s * 1000))
        self.slot_grants.release_all(
            functools.partial(
                self._end_grant_uncertainty, self._core.incarnation
            )
        )

    def _end_grant_uncertainty(self, incarnation: types.Incarnation) -> None:
        if incarnation == self._core.incarnation:
            self._release_lease("target-started-anew")
        else:
            self.slot_grants.reset()

    def _release_lease_when_expired(self, reason: str) -> None:
        """Releases the lease once all holds have ended, if nobody returns.

        A target that is silent or refuses connections may still run, and serve
        its slots until its holds expire.
        """
        self._absences += 1
        absence = self._absences

        def release_if_absent() -> None:
            is_same = absence == self._absences
            if is_same and self.target.phase is localtarget.Phase.ABSENT:
                self._release_lease(reason)

        wait = self.slot_grants.pause()
        if wait:
            self._timers.after(wait, release_if_absent)
        else:
            release_if_absent()

    def _release_lease(self, reason: str) -> None:
        """Releases the lease, so that successors take over at once.

        The target must hold no slot any more.
        """
        if self._core.owned:
            logs.event(
                "keys_abandoned",
                reason=reason,
                instance=self.target.instance,
                held_ms=round(self.slot_grants.remaining_hold * 1000),
            )
            self._core.release_lease(self._timers.now)
        self.slot_grants.reset()
        self._perform_effects()

    def _send_order(
        self,
        order: orders.Grant | orders.Release,
        timeout: float,
        done: Callable[[orders.OrderResult], None],
    ) -> None:
        if self.slot_grants.by_heartbeat:
            self._heartbeat_orders.send(order, timeout, done)
            return

        def handle_outcome(
            outcome: result.Result[httppool.Answer, exchanges.Failure],
        ) -> None:
            match outcome:
                case result.Success(httppool.Answer() as answer):
                    done(
                        msgspec.structs.replace(
                            self._adapter.decode_order_answer(answer),
                            is_certain=exchange.is_first,
                        )
                    )
                case result.Failure(exchanges.Failure(cause=cause)):
                    logs.event("order_unanswered", cause=cause.value)
                    if cause is exchanges.Cause.REFUSED:
                        self._handle_connection_refused()
                    done(orders.OrderResult(False))

        def encode() -> bytes:
            current = self.slot_grants.with_remaining_hold(order)
            if current is None:
                return b""
            return self._adapter.encode_order(current)

        exchange = self._order_pool.send(
            encode,
            timeout,
            handle_outcome,
            functools.partial(self._adapter.is_order_answer, order),
            # No copy of another answer may acknowledge these.
            exclusive=isinstance(order, orders.Release) or order.is_proof,
        )
