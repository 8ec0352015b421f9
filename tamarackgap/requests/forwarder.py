"""Forwards callers' requests to the owners of their keys.

A refused request is forwarded again after a backoff if the reason may pass,
the retry budget allows it, and it was not executed or is idempotent.
"""

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

_FIRST_BACKOFF_S = 0.005
_MAX_BACKOFF_S = 0.04
# Time that a request waits beyond its deadline, since the owner's reply may be
# on its way.
_DEADLINE_GRACE_S = 0.03

# Reasons that may no longer apply when the request is forwarded again.
_RETRYABLE_REASONS = frozenset(
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
# Reasons for which the request was not sent to another daemon.
_UNSENT_REASONS = frozenset(
    {types.Reason.NO_OWNER, types.Reason.PEER_UNREACHABLE}
)


class CallerRequest(msgspec.Struct, frozen=True):
    """A valid request from a caller.

    Attributes:
        request_id: Id that the caller chose, or a new one.
        service: Service of the request.
        key: Key of the request.
        method: HTTP method.
        path: Path below the service, with the query except for the key.
        body: Whole body.
        timeout: Time from receipt until the caller's deadline, seconds.
        idempotent: Whether the request may be executed twice.
        attempt: 1 if the caller has not sent this id before; a higher number
            if it may have.
        first_sent_ms: Wall-clock time at which the caller first sent this
            id, milliseconds since 1970.
        urgent: Whether the request is served before those that can wait,
            such as reports.
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
    """A caller's request that has no result yet.

    Attributes:
        request: The request.
        slot: Slot of its key.
        started_at: Time of receipt, monotonic seconds.
        deadline: The caller's deadline, monotonic seconds.
        on_done: Callback for the result, or None once there is a result.
        leg: Id of the leg whose reply is awaited, or "".
        slot_owner: Owner at the last attempt, or None if none was known.
        attempts: Number of legs so far.
        backoff: Mean delay before the next leg, seconds.
        deadline_timer: Ends the request soon after its deadline.
        may_have_run: Whether any leg may have been executed. If so, no later
            refusal may have the verdict "not run".
        last_refusal: Refusal of the last leg.
    """

    def __init__(
        self,
        request: CallerRequest,
        slot: int,
        now: float,
        on_done: DoneCallback,
    ) -> None:
        """Creates a request without a leg.

        Args:
            request: The request.
            slot: Slot of its key.
            now: Monotonic time, seconds.
            on_done: Called once with the result.
        """
        self.request = request
        self.slot = slot
        self.started_at = now
        self.deadline = now + request.timeout
        self.on_done: DoneCallback | None = on_done
        self.leg = ""
        self.slot_owner: slotowners.SlotOwner | None = None
        self.attempts = 0
        self.backoff = _FIRST_BACKOFF_S
        self.deadline_timer: scheduler.Timer | None = None
        self.may_have_run = False
        self.last_refusal = verdicts.Refusal(
            types.Verdict.NOT_RUN, types.Reason.NO_OWNER
        )


class Forwarder:
    """Handles all requests that this daemon receives from callers.

    The owner of a request's key may be this daemon itself or another one.
    """

    def __init__(
        self,
        core: ownership.Ownership,
        request_executor: executor.Executor,
        peers: transport.PeerTransport,
        timers: scheduler.Scheduler,
        budget: retries.RetryBudget,
        rng: random.Random,
        counters: metrics.Metrics,
    ) -> None:
        """Creates a forwarder without requests.

        Args:
            core: Has the owners of slots and the lease records.
            request_executor: Executes requests for slots of this daemon.
            peers: Connections to the other daemons.
            timers: Timers for deadlines and backoff.
            budget: Limits the retries of legs that were sent.
            rng: Source of leg ids and of jitter.
            counters: Counts results of requests.
        """
        self._core = core
        self._executor = request_executor
        self._peers = peers
        self._timers = timers
        self._budget = budget
        self._rng = rng
        self._metrics = counters
        self._pending_by_leg: dict[str, PendingRequest] = {}
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of callers' requests without a result."""
        return self._in_flight

    def has_service(self, service: str) -> bool:
        """Returns whether a service exists."""
        return self._core.view.service_record(service) is not None

    def submit(
        self, request: CallerRequest, on_done: DoneCallback
    ) -> PendingRequest:
        """Accepts a request and forwards it.

        Args:
            request: A request for a service that exists.
            on_done: Called once with the result, possibly before this method
                returns.

        Returns:
            The pending request, as an argument for `cancel`.
        """
        service_record = self._core.view.service_record(request.service)
        slot = slots.slot_of_key(types.Key(request.key), service_record.slots)
        pending = PendingRequest(request, slot, self._timers.now, on_done)
        self._in_flight += 1
        self._budget.deposit()
        pending.deadline_timer = self._timers.after(
            request.timeout + _DEADLINE_GRACE_S,
            lambda: self._expire(pending),
        )
        self._send_leg(pending)
        return pending

    def cancel(self, pending: PendingRequest) -> None:
        """Cancels a request whose caller has disconnected."""
        if pending.on_done is None:
            return
        pending.on_done = _ignore
        self._cancel_leg(pending)
        self._finish(pending, self._result_without_reply(pending))

    def handle_reply(self, reply: messages.ForwardReply) -> None:
        """Handles an owner's reply to a leg.

        A reply to a leg that is no longer pending is dropped.
        """
        pending = self._pending_by_leg.pop(reply.leg, None)
        if pending is None:
            logs.event("late_answer_dropped", leg=reply.leg)
            return
        pending.leg = ""
        if reply.owner:
            slot_owner = slotowners.SlotOwner(reply.owner, reply.fence)
            self._core.slot_owners.update(
                pending.request.service, pending.slot, slot_owner
            )
        if reply.verdict is types.Verdict.ANSWERED:
            answer = verdicts.answered(
                reply.status, reply.content_type, reply.body
            )
            self._finish(pending, answer)
        else:
            reason = reply.reason or types.Reason.NO_ANSWER
            self._handle_refusal(
                pending, verdicts.Refusal(reply.verdict, reason)
            )

    def fail_owner(self, incarnation: str) -> None:
        """Fails all legs at an owner whose lease has ended.

        Their replies are no longer awaited.
        """
        for pending in list(self._pending_by_leg.values()):
            if pending.slot_owner and pending.slot_owner.owner == incarnation:
                self._pending_by_leg.pop(pending.leg)
                pending.leg = ""
                self._handle_refusal(
                    pending,
                    verdicts.Refusal(
                        types.Verdict.MAY_HAVE_RUN, types.Reason.OWNER_LOST
                    ),
                )

    def _send_leg(self, pending: PendingRequest) -> None:
        if pending.on_done is None:
            return
        slot_owner = self._core.slot_owners.find(
            pending.request.service, pending.slot
        )
        pending.slot_owner = slot_owner
        if slot_owner is None:
            self._handle_local_refusal(pending, types.Reason.NO_OWNER)
            return
        pending.attempts += 1
        forward = self._make_forward(pending, slot_owner)
        pending.leg = forward.leg
        self._pending_by_leg[forward.leg] = pending
        if slot_owner.owner == self._core.incarnation:
            self._executor.submit(forward, self.handle_reply)
            return
        record = self._core.view.lease(slot_owner.owner)
        sent = record is not None and self._peers.send(
            self._core.incarnation, record.peer_address, forward
        )
        if not sent:
            self._pending_by_leg.pop(forward.leg, None)
            pending.leg = ""
            self._handle_local_refusal(pending, types.Reason.PEER_UNREACHABLE)

    def _make_forward(
        self, pending: PendingRequest, slot_owner: slotowners.SlotOwner
    ) -> messages.Forward:
        request = pending.request
        return messages.Forward(
            owner=slot_owner.owner,
            leg=f"{self._rng.getrandbits(64):016x}",
            request_id=request.request_id,
            service=request.service,
            key=request.key,
            slot=pending.slot,
            method=request.method,
            path=request.path,
            body=request.body,
            remaining=pending.deadline - self._timers.now,
            idempotent=request.idempotent,
            # Earlier legs of a non-idempotent request were not executed, so
            # this is still the caller's attempt.
            attempt=request.attempt,
            first_sent_ms=request.first_sent_ms,
            urgent=request.urgent,
        )

    def _handle_local_refusal(
        self, pending: PendingRequest, reason: types.Reason
    ) -> None:
        self._handle_refusal(
            pending, verdicts.Refusal(types.Verdict.NOT_RUN, reason)
        )

    def _handle_refusal(
        self, pending: PendingRequest, refusal: verdicts.Refusal
    ) -> None:
        if refusal.reason is types.Reason.DEADLINE_PASSED:
            # The previous refusal tells why the time ran out.
            reason = (
                pending.last_refusal.reason if pending.attempts > 1 else None
            )
            refusal = verdicts.Refusal(
                refusal.verdict, reason or refusal.reason
            )
        pending.may_have_run = pending.may_have_run or refusal.may_have_run
        if pending.may_have_run:
            refusal = verdicts.Refusal(
                types.Verdict.MAY_HAVE_RUN, refusal.reason
            )
        pending.last_refusal = refusal
        delay = pending.backoff * (0.5 + self._rng.random())
        late = self._timers.now + delay >= pending.deadline
        if late or not self._may_retry(pending, refusal):
            self._finish(pending, result.Failure(refusal))
            return
        pending.backoff = min(pending.backoff * 2, _MAX_BACKOFF_S)
        self._timers.after(delay, functools.partial(self._send_leg, pending))

    def _may_retry(
        self, pending: PendingRequest, refusal: verdicts.Refusal
    ) -> bool:
        if refusal.reason not in _RETRYABLE_REASONS:
            return False
        if refusal.may_have_run and not pending.request.idempotent:
            return False
        # A leg that was not sent added no load, so its retry needs no token.
        return refusal.reason in _UNSENT_REASONS or self._budget.withdraw()

    def _expire(self, pending: PendingRequest) -> None:
        if pending.on_done is None:
            return
        self._cancel_leg(pending)
        self._finish(pending, self._result_without_reply(pending))

    def _result_without_reply(self, pending: PendingRequest) -> verdicts.Result:
        if pending.leg:
            return verdicts.may_have_run(types.Reason.NO_ANSWER)
        return result.Failure(pending.last_refusal)

    def _cancel_leg(self, pending: PendingRequest) -> None:
        if not pending.leg or pending.slot_owner is None:
            return
        owner = pending.slot_owner.owner
        if owner == self._core.incarnation:
            self._executor.cancel(pending.leg)
            return
        record = self._core.view.lease(owner)
        if record is not None:
            self._peers.send(
                self._core.incarnation,
                record.peer_address,
                messages.Cancel(pending.leg),
            )

    def _finish(
        self, pending: PendingRequest, outcome: verdicts.Result
    ) -> None:
        on_done = pending.on_done
        if on_done is None:
            return
        pending.on_done = None
        pending.deadline_timer.cancel()
        if pending.leg:
            self._pending_by_leg.pop(pending.leg, None)
        self._in_flight -= 1
        self._record_result(pending, outcome)
        on_done(outcome)

    def _record_result(
        self, pending: PendingRequest, outcome: verdicts.Result
    ) -> None:
        refusal = outcome.swap().value_or(None)
        verdict = refusal.verdict if refusal else types.Verdict.ANSWERED
        reason = refusal.reason.value if refusal else ""
        elapsed = self._timers.now - pending.started_at
        self._metrics.observe_request(verdict.value, reason, elapsed)
        slot_owner = pending.slot_owner
        logs.event(
            "request",
            request=pending.request.request_id,
            service=pending.request.service,
            key=pending.request.key,
            slot=pending.slot,
            owner=slot_owner.owner if slot_owner else "",
            fence=slot_owner.fence if slot_owner else 0,
            route_version=self._core.slot_owners.version,
            attempts=pending.attempts,
            verdict=verdict.value,
            reason=reason,
            ms=round(elapsed * 1000, 2),
        )


def new_request_id(now_ms: int) -> str:
    """Returns a new request id that starts with the given time.

    Args:
        now_ms: Wall-clock time, milliseconds since 1970.
    """
    return f"{now_ms}-{uuid.uuid4().hex[:16]}"


def _ignore(outcome: verdicts.Result) -> None:
    del outcome
