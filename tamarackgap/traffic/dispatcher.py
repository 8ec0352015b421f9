"""The side of a call where it came in: route it, send it, answer for it."""

import functools
import itertools
import random
from collections.abc import Callable

import msgspec

from tamarackgap import logs, types
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.peers import calls, transport
from tamarackgap.placement import slots
from tamarackgap.requests import retries
from tamarackgap.traffic import balancer, crashes, routetable, runner, targets

# A key's owner is known again within this time after a planned move.
_MOVE_PAUSE_S = 0.02
# Part of the aim that a call may wait for a key that is between two owners.
_MOVE_SHARE = 0.6
# Advice where a key has no owner: a lease has to end first, seconds.
_NO_OWNER_RETRY_S = 0.3
_RETRY_S = 0.1
# A leg must have this part of the aim left to be worth sending.
_LEAST_AIM = 0.25
_SERVER_ERROR = 500

# Refusals of a key's daemon after which its owner is looked up again.
_MOVED = frozenset(
    {
        types.Reason.WRONG_OWNER,
        types.Reason.SLOT_MOVING,
        types.Reason.LEASE_EXPIRED,
        types.Reason.NO_OWNER,
    }
)

# Refusals of the target itself.
_ASKED = frozenset(
    {
        types.Reason.TARGET_REFUSED,
        types.Reason.TARGET_FULL,
        types.Reason.TARGET_MISDIRECTED,
    }
)

Done = Callable[[calls.Completion], None]


class PendingRequest(msgspec.Struct, eq=False):
    """A caller's request under way.

    Attributes:
        call: The request.
        route: Its route.
        service: The service that is to run it.
        begun: When it came in, seconds.
        deadline: When its answer is due, seconds.
        done: Takes the completion, once.
        leg: Id of the leg under way; 0 for none.
        candidate: Where that leg was sent.
        tried: Incarnations that got a leg.
        runs: Legs that may have reached a target.
        may_have_run: Whether any leg may have run.
        timer: Fires at the deadline.
        last: The last refusal.
    """

    call: calls.Call
    route: routetable.Route
    service: types.ServiceName
    begun: float
    deadline: float
    done: Done | None
    leg: int = 0
    candidate: balancer.Candidate | None = None
    tried: frozenset[str] = frozenset()
    runs: int = 0
    may_have_run: bool = False
    timer: scheduler.Timer | None = None
    last: calls.Completion | None = None


class Dispatcher:
    """All requests that came in at this daemon."""

    def __init__(
        self,
        core: ownership.Ownership,
        local_runner: runner.Runner,
        links: transport.PeerTransport,
        timers: scheduler.Scheduler,
        budgets: retries.ServiceRetryBudgets,
        rng: random.Random,
        crash_history: crashes.CrashHistory,
        data_centre: str,
    ) -> None:
        """Creates a dispatcher without requests.

        Args:
            core: Knows the keys' owners.
            local_runner: Runs calls at this daemon's own target.
            links: Links to the other daemons.
            timers: The loop's scheduler.
            budgets: Bound the legs that are sent again.
            rng: Decides between equals.
            crash_history: Contents that were at targets when these crashed.
            data_centre: Where this daemon stands.
        """
        self._data_centre = data_centre
        self._core = core
        self._runner = local_runner
        self._peers = links
        self._timers = timers
        self._budgets = budgets
        self._rng = rng
        self._crashes = crash_history
        self._spread = routetable.WeightedRoundRobin()
        self._keyed: frozenset[str] = frozenset()
        self._targets = targets.TargetDirectory(core, timers)
        self._flights: dict[int, PendingRequest] = {}
        self._legs = itertools.count(1)
        self._open = 0
        # Observes each finished flight, for metrics.
        self.observe: Callable[[PendingRequest, calls.Completion], None] = (
            _ignore
        )

    @property
    def in_flight(self) -> int:
        """Number of requests under way."""
        return self._open

    def configure(self, table: routetable.RouteTable) -> None:
        """Follows a new version of the operators' table."""
        self._keyed = frozenset(
            name for name, service in table.services.items() if service.keyed
        )

    def is_heard(self, incarnation: str) -> bool:
        """Returns whether a daemon has told of itself lately."""
        return self._targets.is_heard(incarnation)

    def addresses(self) -> set[str]:
        """Returns the `ip:port` of all daemons that calls may be sent to."""
        return self._targets.addresses()

    def update_status(
        self, sender: str, address: str, status: calls.TargetStatus
    ) -> None:
        """Takes in what a daemon tells of itself."""
        for gone in self._targets.update_status(sender, address, status):
            self._drop(gone)

    def submit(
        self,
        call: calls.Call,
        route: routetable.Route,
        begun: float,
        timeout: float,
        done: Done,
    ) -> PendingRequest:
        """Serves a request.

        Args:
            call: The request.
            route: Its route.
            begun: When its first byte came, seconds.
            timeout: How long the caller waits, seconds.
            done: Called once with what became of it, perhaps at once.

        Returns:
            The flight, for `cancel`.
        """
        flight = PendingRequest(
            call,
            route,
            self._spread.pick(route),
            begun,
            begun + min(timeout, route.timeout),
            done,
        )
        self._open += 1
        self._budgets.for_service(flight.service).deposit()
        left = flight.deadline - self._timers.now
        flight.timer = self._timers.after(
            max(0.0, left), functools.partial(self._deadline, flight)
        )
        self._try(flight)
        return flight

    def cancel(self, flight: PendingRequest) -> None:
        """Gives a flight up: its caller went away."""
        if flight.done is None:
            return
        flight.done = _nobody
        self._withdraw(flight)
        self._finish(
            flight,
            self._final(flight, types.Reason.NO_ANSWER, bool(flight.leg)),
        )

    def handle_completion(
        self, sender: str, completion: calls.Completion
    ) -> None:
        """Takes in what became of a leg; one that comes late is dropped."""
        self._targets.record_load(sender, completion)
        flight = self._flights.pop(completion.leg, None)
        if flight is None:
            logs.event("late_completion_dropped", leg=completion.leg)
            return
        flight.leg = 0
        if completion.verdict is types.Verdict.ANSWERED:
            self._answered(flight, completion)
        else:
            self._refused(flight, completion)

    def fail_silent_legs(self) -> None:
        """Gives up legs at daemons that are silent."""
        for name in self._targets.expired():
            self._drop(name)
        for leg, flight in list(self._flights.items()):
            candidate = flight.candidate
            if (
                flight.route.idempotent
                and candidate is not None
                and self._targets.is_silent(candidate)
            ):
                self._lose(leg, flight)

    # Legs.

    def _try(self, flight: PendingRequest) -> None:
        if flight.done is None:
            return
        now = self._timers.now
        if self._crashes:
            content = crashes.fingerprint(flight.service, flight.call)
            barred = self._crashes.barred_for(content, now)
            if barred:
                reason = types.Reason.CRASHES_TARGETS
                self._finish(flight, self._final(flight, reason, False, barred))
                return
        if flight.service in self._keyed:
            owner, refusal = self._owner(flight)
            if refusal is not None:
                self._await_owner(flight, refusal)
                return
            candidate = self._targets.for_owner(owner)
        else:
            candidate = balancer.choose(
                self._targets.of_service(flight.service),
                flight.tried,
                now,
                self._rng,
                self._data_centre,
            )
            if candidate is None:
                reason = types.Reason.TARGET_ABSENT
                if flight.last is not None and flight.last.reason:
                    reason = flight.last.reason
                self._finish(flight, self._final(flight, reason, False))
                return
        self._send(flight, candidate, now)

    def _owner(self, flight: PendingRequest) -> tuple[str, types.Reason | None]:
        position = flight.call.position
        if position is None:
            return types.NO_INCARNATION, types.Reason.BAD_REQUEST
        service_record = self._core.view.service_record(flight.service)
        if service_record is None:
            return types.NO_INCARNATION, types.Reason.NO_OWNER
        slot = slots.slot_of_position(position, service_record.slots)
        route = self._core.slot_owners.find(flight.service, slot)
        if route is None or self._core.view.lease(route.owner) is None:
            return types.NO_INCARNATION, types.Reason.NO_OWNER
        return route.owner, None

    def _send(
        self, flight: PendingRequest, candidate: balancer.Candidate, now: float
    ) -> None:
        leg = next(self._legs)
        route = flight.route
        dispatch = calls.Dispatch(
            owner=types.Incarnation(candidate.incarnation),
            leg=leg,
            service=flight.service,
            call=flight.call,
            remaining=flight.deadline - now,
            rank=route.rank,
            idempotent=route.idempotent,
            latency_objective=route.latency_objective,
            objective_remaining=flight.begun + route.latency_objective - now,
        )
        flight.leg = leg
        flight.candidate = candidate
        flight.tried |= {candidate.incarnation}
        flight.runs += 1
        candidate.sent_since_report += 1
        self._flights[leg] = flight
        own = self._core.incarnation
        if candidate.incarnation == own:
            self._runner.submit(
                dispatch, own, functools.partial(self.handle_completion, own)
            )
            return
        address = self._targets.address(candidate.incarnation)
        if not address or not self._peers.send(own, address, dispatch):
            self._flights.pop(leg, None)
            flight.leg = 0
            candidate.record_failure(now)
            self._refused(
                flight,
                calls.Completion(
                    leg,
                    types.Verdict.NOT_RUN,
                    types.Reason.PEER_UNREACHABLE,
                ),
            )

    def _answered(
        self, flight: PendingRequest, completion: calls.Completion
    ) -> None:
        failed = completion.status >= _SERVER_ERROR
        self._judge(flight, failed)
        if failed and flight.route.idempotent and self._may_rerun(flight):
            flight.may_have_run = True
            flight.last = completion
            self._try(flight)
            return
        self._finish(flight, completion)

    def _judge(self, flight: PendingRequest, failed: bool) -> None:
        """Notes how well the target of the last leg does."""
        candidate = flight.candidate
        if candidate is None:
            return
        if failed:
            candidate.record_failure(self._timers.now)
        else:
            candidate.record_success(self._timers.now)

    def _refused(
        self, flight: PendingRequest, completion: calls.Completion
    ) -> None:
        reason = completion.reason
        ran = completion.verdict is types.Verdict.MAY_HAVE_RUN
        flight.may_have_run |= ran
        flight.last = completion
        if ran or reason is types.Reason.TARGET_REFUSED:
            self._judge(flight, True)
        if ran:
            if flight.route.idempotent and self._may_rerun(flight):
                self._try(flight)
            else:
                self._finish(flight, self._final(flight, reason, True))
            return
        if flight.service in self._keyed:
            if reason in _MOVED:
                self._await_owner(flight, reason)
                return
            if self._may_ask_again(flight, reason):
                self._try(flight)
                return
        elif self._may_go_elsewhere(flight, reason):
            self._try(flight)
            return
        self._finish(
            flight,
            self._final(flight, reason, False, completion.retry_after),
        )

    def _may_rerun(self, flight: PendingRequest) -> bool:
        """Returns whether a call that may have run is sent once more."""
        now = self._timers.now
        return (
            flight.runs < flight.route.max_attempts
            and flight.deadline - now
            > flight.route.latency_objective * _LEAST_AIM
            and self._targets.has_room(flight.service)
            and self._budgets.for_service(flight.service).withdraw()
        )

    def _may_go_elsewhere(
        self, flight: PendingRequest, reason: types.Reason | None
    ) -> bool:
        """Returns whether a call that did not run is tried at another."""
        if len(flight.tried) >= max(2, flight.route.max_attempts):
            return False
        if reason in _ASKED:
            # It counts as a run: the target was asked.
            return flight.runs < flight.route.max_attempts and (
                self._budgets.for_service(flight.service).withdraw()
            )
        flight.runs -= 1
        return True

    def _may_ask_again(
        self, flight: PendingRequest, reason: types.Reason | None
    ) -> bool:
        """Returns whether a key's one target, which refused, is asked again.

        It had room: whatever made it refuse may not concern the next try.
        """
        return (
            reason is types.Reason.TARGET_REFUSED
            and flight.runs < flight.route.max_attempts
            and self._budgets.for_service(flight.service).withdraw()
        )

    def _await_owner(
        self, flight: PendingRequest, reason: types.Reason
    ) -> None:
        """Waits a moment for a key that is between two owners."""
        now = self._timers.now
        until = flight.begun + flight.route.latency_objective * _MOVE_SHARE
        waits = reason in (
            types.Reason.SLOT_MOVING,
            types.Reason.WRONG_OWNER,
        )
        if waits and now + _MOVE_PAUSE_S < min(until, flight.deadline):
            flight.runs = 0
            self._timers.after(
                _MOVE_PAUSE_S, functools.partial(self._try, flight)
            )
            return
        self._finish(
            flight, self._final(flight, reason, False, _NO_OWNER_RETRY_S)
        )

    def _lose(self, leg: int, flight: PendingRequest) -> None:
        self._flights.pop(leg, None)
        flight.leg = 0
        self._refused(
            flight,
            calls.Completion(
                leg, types.Verdict.MAY_HAVE_RUN, types.Reason.OWNER_LOST
            ),
        )

    def _drop(self, incarnation: str) -> None:
        """Forgets a daemon that is gone; its answers are not due."""
        self._targets.remove(incarnation)
        for leg, flight in list(self._flights.items()):
            candidate = flight.candidate
            if candidate and candidate.incarnation == incarnation:
                self._lose(leg, flight)

    def _withdraw(self, flight: PendingRequest) -> None:
        if not flight.leg or flight.candidate is None:
            return
        owner = flight.candidate.incarnation
        own = self._core.incarnation
        if owner == own:
            self._runner.withdraw(own, flight.leg)
            return
        address = self._targets.address(owner)
        if address:
            self._peers.send(own, address, calls.Withdraw(flight.leg))

    # Ends.

    def _deadline(self, flight: PendingRequest) -> None:
        if flight.done is None:
            return
        self._withdraw(flight)
        under_way = bool(flight.leg)
        self._finish(
            flight, self._final(flight, types.Reason.NO_ANSWER, under_way)
        )

    def _final(
        self,
        flight: PendingRequest,
        reason: types.Reason | None,
        ran: bool,
        retry_after: float = 0.0,
    ) -> calls.Completion:
        if flight.last is not None and (
            flight.last.verdict is types.Verdict.ANSWERED
        ):
            # The target's own failure says more than ours.
            return flight.last
        ran = ran or flight.may_have_run
        verdict = types.Verdict.MAY_HAVE_RUN if ran else types.Verdict.NOT_RUN
        return calls.Completion(
            flight.leg,
            verdict,
            reason,
            retry_after=0.0 if ran else retry_after or _RETRY_S,
        )

    def _finish(
        self, flight: PendingRequest, completion: calls.Completion
    ) -> None:
        done = flight.done
        if done is None:
            return
        flight.done = None
        flight.timer.cancel()
        if flight.leg:
            self._flights.pop(flight.leg, None)
        self._open -= 1
        self._log(flight, completion)
        self.observe(flight, completion)
        done(completion)

    def _log(
        self, flight: PendingRequest, completion: calls.Completion
    ) -> None:
        now = self._timers.now
        candidate = flight.candidate
        reason = completion.reason
        logs.request_event(
            "request",
            completion.verdict is not types.Verdict.ANSWERED,
            request=flight.call.request_id,
            route=flight.route.name,
            rank=flight.route.rank,
            service=flight.service,
            position=flight.call.position,
            owner=candidate.incarnation if candidate else "",
            revision=self._core.view.cursor,
            load=candidate.reported_load + candidate.sent_since_report
            if candidate
            else 0,
            load_age_ms=(
                round((now - candidate.last_heard) * 1000) if candidate else 0
            ),
            runs=flight.runs,
            verdict=completion.verdict.value,
            reason=reason.value if reason else "",
            status=completion.status,
            ms=round((now - flight.begun) * 1000, 1),
        )


def _ignore(flight: PendingRequest, completion: calls.Completion) -> None:
    del flight, completion


def _nobody(completion: calls.Completion) -> None:
    del completion
