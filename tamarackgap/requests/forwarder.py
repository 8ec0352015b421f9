"""The entry's side of a request: route it, wait, retry what did not run."""

import functools
import random
import uuid
from collections.abc import Callable

import msgspec
from returns import result

from tamarackgap import logs, metrics, types, verdicts
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.peers import messages, transport
from tamarackgap.placement import slotowners, slots
from tamarackgap.requests import executor, retries

_BACKOFF_S = 0.005
_BACKOFF_MAX_S = 0.04
# Time for an answer on its way back when the deadline has come.
_DEADLINE_GRACE_S = 0.03

# Refusals after which another try may find an owner that serves.
_PASSING = frozenset(
    {
        types.Reason.WRONG_OWNER,
        types.Reason.SLOT_MOVING,
        types.Reason.LEASE_EXPIRED,
        types.Reason.NO_OWNER,
        types.Reason.TARGET_ABSENT,
        types.Reason.TARGET_REFUSED,
        types.Reason.PEER_UNREACHABLE,
        types.Reason.OWNER_LOST,
        types.Reason.TARGET_FAILED,
    }
)
# Refusals that were given without a message to another daemon.
_LOCAL = frozenset({types.Reason.NO_OWNER, types.Reason.PEER_UNREACHABLE})


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request, checked.

    Attributes:
        request_id: Its id.
        service: The service.
        key: The key.
        method: HTTP method.
        path: Path below the service, with the query's other parts.
        body: The body.
        timeout: Seconds until the caller's deadline.
        idempotent: Whether running it twice does no harm.
        attempt: 1 where the caller never sent the id before.
        first_sent_ms: Wall-clock time of the first sending, milliseconds.
        urgent: False where it can wait.
    """

    request_id: str
    service: str
    key: str
    method: str
    path: str
    body: bytes
    timeout: float
    idempotent: bool
    attempt: int
    first_sent_ms: int
    urgent: bool


DoneCallback = Callable[[verdicts.Result], None]


class PendingRequest:
    """A caller's request under way."""

    def __init__(
        self, request: CallerRequest, slot: int, now: float, done: DoneCallback
    ) -> None:
        """Creates a flight that began `now`."""
        self.request = request
        self.slot = slot
        self.started_at = now
        self.deadline = now + request.timeout
        self.on_done: DoneCallback | None = done
        self.leg = ""
        self.route: slotowners.SlotOwner | None = None
        self.attempts = 0
        self.backoff = _BACKOFF_S
        self.deadline_timer: scheduler.Timer | None = None
        # Once a leg may have run, no later refusal may say "not run".
        self.may_have_run = False
        self.last_refusal = verdicts.Refusal(
            types.Verdict.NOT_RUN, types.Reason.NO_OWNER
        )


class Forwarder:
    """All requests that callers sent to this daemon."""

    def __init__(
        self,
        core: ownership.Ownership,
        request_executor: executor.Executor,
        links: transport.PeerTransport,
        timers: scheduler.Scheduler,
        budget: retries.RetryBudget,
        rng: random.Random,
        counters: metrics.Metrics,
    ) -> None:
        """Creates an entry without requests.

        Args:
            core: Knows the routes.
            request_executor: Serves the slots that this daemon owns itself.
            links: Links to the other owners.
            timers: For deadlines and backoff.
            budget: Bounds the legs that are sent again.
            rng: Source of leg ids and jitter.
            counters: Metrics.
        """
        self._core = core
        self._owner = request_executor
        self._peers = links
        self._timers = timers
        self._budget = budget
        self._rng = rng
        self._metrics = counters
        self._flights: dict[str, PendingRequest] = {}
        self._open = 0

    @property
    def in_flight(self) -> int:
        """Number of callers' requests under way."""
        return self._open

    def has_service(self, service: str) -> bool:
        """Returns whether a service exists."""
        return self._core.view.service_record(service) is not None

    def submit(
        self, request: CallerRequest, done: DoneCallback
    ) -> PendingRequest:
        """Serves a request.

        Args:
            request: A request for a service that exists.
            done: Called once with the result, perhaps at once.

        Returns:
            The flight, for `cancel`.
        """
        service_record = self._core.view.service_record(request.service)
        slot = slots.slot_of_key(types.Key(request.key), service_record.slots)
        flight = PendingRequest(request, slot, self._timers.now, done)
        self._open += 1
        self._budget.deposit()
        flight.deadline_timer = self._timers.after(
            request.timeout + _DEADLINE_GRACE_S,
            lambda: self._deadline(flight),
        )
        self._try(flight)
        return flight

    def cancel(self, flight: PendingRequest) -> None:
        """Gives a flight up: its caller went away."""
        if flight.on_done is None:
            return
        flight.on_done = _ignore
        self._cancel_leg(flight)
        self._finish(flight, self._unfinished(flight))

    def handle_reply(self, outcome: messages.ForwardReply) -> None:
        """Takes an owner's answer in; one that comes late is dropped."""
        flight = self._flights.pop(outcome.leg, None)
        if flight is None:
            logs.event("late_answer_dropped", leg=outcome.leg)
            return
        flight.leg = ""
        if outcome.owner:
            route = slotowners.SlotOwner(outcome.owner, outcome.fence)
            self._core.slot_owners.update(
                flight.request.service, flight.slot, route
            )
        if outcome.verdict is types.Verdict.ANSWERED:
            answer = verdicts.answered(
                outcome.status, outcome.content_type, outcome.body
            )
            self._finish(flight, answer)
        else:
            reason = outcome.reason or types.Reason.NO_ANSWER
            self._refused(flight, verdicts.Refusal(outcome.verdict, reason))

    def fail_owner(self, incarnation: str) -> None:
        """Notes that an owner's lease is over; its answers are not due."""
        for flight in list(self._flights.values()):
            if flight.route and flight.route.owner == incarnation:
                self._flights.pop(flight.leg)
                flight.leg = ""
                self._refused(
                    flight,
                    verdicts.Refusal(
                        types.Verdict.MAY_HAVE_RUN, types.Reason.OWNER_LOST
                    ),
                )

    def _try(self, flight: PendingRequest) -> None:
        if flight.on_done is None:
            return
        route = self._core.slot_owners.find(flight.request.service, flight.slot)
        flight.route = route
        if route is None:
            self._refuse_here(flight, types.Reason.NO_OWNER)
            return
        flight.attempts += 1
        forward = self._forward(flight, route)
        flight.leg = forward.leg
        self._flights[forward.leg] = flight
        if route.owner == self._core.incarnation:
            self._owner.submit(forward, self.handle_reply)
            return
        record = self._core.view.lease(route.owner)
        sent = record is not None and self._peers.send(
            self._core.incarnation, record.peer_address, forward
        )
        if not sent:
            self._flights.pop(forward.leg, None)
            flight.leg = ""
            self._refuse_here(flight, types.Reason.PEER_UNREACHABLE)

    def _forward(
        self, flight: PendingRequest, route: slotowners.SlotOwner
    ) -> messages.Forward:
        request = flight.request
        return messages.Forward(
            owner=route.owner,
            leg=f"{self._rng.getrandbits(64):016x}",
            request_id=request.request_id,
            service=request.service,
            key=request.key,
            slot=flight.slot,
            method=request.method,
            path=request.path,
            body=request.body,
            remaining=flight.deadline - self._timers.now,
            idempotent=request.idempotent,
            # A refused leg did not run, so this is still the same attempt.
            attempt=request.attempt,
            first_sent_ms=request.first_sent_ms,
            urgent=request.urgent,
        )

    def _refuse_here(
        self, flight: PendingRequest, reason: types.Reason
    ) -> None:
        self._refused(flight, verdicts.Refusal(types.Verdict.NOT_RUN, reason))

    def _refused(
        self, flight: PendingRequest, refusal: verdicts.Refusal
    ) -> None:
        if refusal.reason is types.Reason.DEADLINE_PASSED:
            # What took up the time says more than that it is up.
            reason = flight.last_refusal.reason if flight.attempts > 1 else None
            refusal = verdicts.Refusal(
                refusal.verdict, reason or refusal.reason
            )
        flight.may_have_run = flight.may_have_run or refusal.may_have_run
        if flight.may_have_run:
            refusal = verdicts.Refusal(
                types.Verdict.MAY_HAVE_RUN, refusal.reason
            )
        flight.last_refusal = refusal
        wait = flight.backoff * (0.5 + self._rng.random())
        late = self._timers.now + wait >= flight.deadline
        if late or not self._may_retry(flight, refusal):
            self._finish(flight, result.Failure(refusal))
            return
        flight.backoff = min(flight.backoff * 2, _BACKOFF_MAX_S)
        self._timers.after(wait, functools.partial(self._try, flight))

    def _may_retry(
        self, flight: PendingRequest, refusal: verdicts.Refusal
    ) -> bool:
        if refusal.reason not in _PASSING:
            return False
        if refusal.may_have_run and not flight.request.idempotent:
            return False
        # Waiting for an owner costs nobody anything.
        return refusal.reason in _LOCAL or self._budget.withdraw()

    def _deadline(self, flight: PendingRequest) -> None:
        if flight.on_done is None:
            return
        self._cancel_leg(flight)
        self._finish(flight, self._unfinished(flight))

    def _unfinished(self, flight: PendingRequest) -> verdicts.Result:
        if flight.leg:
            return verdicts.may_have_run(types.Reason.NO_ANSWER)
        return result.Failure(flight.last_refusal)

    def _cancel_leg(self, flight: PendingRequest) -> None:
        if not flight.leg or flight.route is None:
            return
        owner = flight.route.owner
        if owner == self._core.incarnation:
            self._owner.cancel(flight.leg)
            return
        record = self._core.view.lease(owner)
        if record is not None:
            self._peers.send(
                self._core.incarnation,
                record.peer_address,
                messages.Cancel(flight.leg),
            )

    def _finish(self, flight: PendingRequest, outcome: verdicts.Result) -> None:
        done = flight.on_done
        if done is None:
            return
        flight.on_done = None
        flight.deadline_timer.cancel()
        if flight.leg:
            self._flights.pop(flight.leg, None)
        self._open -= 1
        self._record(flight, outcome)
        done(outcome)

    def _record(self, flight: PendingRequest, outcome: verdicts.Result) -> None:
        refusal = outcome.swap().value_or(None)
        verdict = refusal.verdict if refusal else types.Verdict.ANSWERED
        reason = refusal.reason.value if refusal else ""
        elapsed = self._timers.now - flight.started_at
        self._metrics.observe_request(verdict.value, reason, elapsed)
        route = flight.route
        logs.event(
            "request",
            request=flight.request.request_id,
            service=flight.request.service,
            key=flight.request.key,
            slot=flight.slot,
            owner=route.owner if route else "",
            fence=route.fence if route else 0,
            route_version=self._core.slot_owners.version,
            attempts=flight.attempts,
            verdict=verdict.value,
            reason=reason,
            ms=round(elapsed * 1000, 2),
        )


def new_request_id(now_ms: int) -> str:
    """Returns a fresh id, which carries the time of the first sending."""
    return f"{now_ms}-{uuid.uuid4().hex[:16]}"


def _ignore(outcome: verdicts.Result) -> None:
    del outcome
