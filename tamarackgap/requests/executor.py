"""Executes requests for the slots of this daemon at its target.

A request is checked, queued and sent to the target. The results of
non-idempotent requests are kept, so that none of them is executed twice.
"""

import functools
from collections.abc import Callable

import msgspec
from returns import result

from tamarackgap import logs, metrics, types, verdicts
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.peers import messages
from tamarackgap.placement import loadstats, records, slots
from tamarackgap.requests import (
    dedup,
    health,
    limiter,
    quarantine,
    targetclient,
)

# A request must have taken effect this long before a successor may serve.
_LEASE_MARGIN_S = 0.02
_MAX_HOT_KEYS = 5

ReplyCallback = Callable[[messages.ForwardReply], None]


class Leg(msgspec.Struct):
    """A request that this daemon has received as the owner of its key.

    Attributes:
        forward: The request.
        deadline: The caller's deadline, monotonic seconds of this VM.
        reply: Called once with the reply.
        fingerprint: Hash of what the request asks for.
        exclusive: Whether it must be the only request at the target.
        started_at: Time at which it was sent to the target, monotonic
            seconds.
        cancel: Cancels the request at the target; None until it is sent.
    """

    forward: messages.Forward
    deadline: float
    reply: ReplyCallback
    fingerprint: str = ""
    exclusive: bool = False
    started_at: float = 0.0
    cancel: Callable[[], None] | None = None


class Executor:
    """Handles all requests that this daemon receives as an owner."""

    def __init__(
        self,
        core: ownership.Ownership,
        target: targetclient.TargetClient,
        dedup_cache: dedup.DedupCache,
        quarantined_requests: quarantine.Quarantine,
        report_crash: Callable[[messages.CrashReport], None],
        clock: scheduler.Clock,
        wall_ms: Callable[[], int],
        counters: metrics.Metrics,
    ) -> None:
        """Creates an executor without requests.

        Args:
            core: Has the owned slots and the lease.
            target: Client of the local target.
            dedup_cache: Results of non-idempotent requests.
            quarantined_requests: Requests that a target was executing when
                it crashed.
            report_crash: Sends a crash report to the other daemons.
            clock: The VM's monotonic clock, seconds.
            wall_ms: Wall clock, milliseconds since 1970.
            counters: Counts results of legs.
        """
        self._core = core
        self._target = target
        self._dedup_cache = dedup_cache
        self._quarantine = quarantined_requests
        self._report_crash = report_crash
        self._target_health = health.PassiveHealthCheck()
        self._slot_meter = loadstats.SlotMeter(clock())
        self._hot_keys = loadstats.HotKeySketch(clock())
        self._clock = clock
        self._wall_ms = wall_ms
        self._metrics = counters
        self._limiter = limiter.Limiter()
        self._legs: dict[str, Leg] = {}
        self._running_per_slot: dict[int, int] = {}

    @property
    def in_progress(self) -> int:
        """Number of requests that the target is executing."""
        return self._limiter.in_progress

    @property
    def queued(self) -> int:
        """Number of requests that wait to be sent to the target."""
        return self._limiter.queued

    def is_slot_busy(self, slot: int) -> bool:
        """Returns whether the target is executing requests for a slot."""
        return slot in self._running_per_slot

    def is_target_healthy(self) -> bool:
        """Returns whether the target answers the requests it is sent."""
        return self._target_health.is_healthy(self._clock())

    def slot_loads(self) -> dict[int, float]:
        """Returns the rate of requests for each owned slot, per second."""
        since = {
            slot: owned_slot.since
            for slot, owned_slot in self._core.owned.items()
        }
        return self._slot_meter.rates(since, self._clock())

    def hot_keys(self) -> list[loadstats.HotKey]:
        """Returns the keys with most requests."""
        return self._hot_keys.hottest(_MAX_HOT_KEYS)

    def apply_limits(self, policy: records.Policy) -> None:
        """Applies the limits that the target and the operators have set.

        Args:
            policy: The operators' settings for this service.
        """
        limit = self._target.concurrency
        if policy.in_progress:
            limit = min(limit, policy.in_progress)
        now = self._clock()
        self._limiter.set_limits(limit, policy.queue, now)
        if not limit:
            self._limiter.shed_all()
        else:
            self._limiter.start_queued(now)

    def submit(self, forward: messages.Forward, reply: ReplyCallback) -> None:
        """Accepts a request.

        Args:
            forward: The request.
            reply: Called once with the reply, possibly before this method
                returns.
        """
        now = self._clock()
        leg = Leg(forward, now + forward.remaining, reply)
        refusal = self._check(forward)
        if refusal is not None:
            self._answer(leg, verdicts.not_run(refusal))
            return
        if not forward.idempotent:
            outcome = self._known_result(forward)
            if outcome is not None:
                self._answer(leg, outcome)
                return
        leg.fingerprint = quarantine.fingerprint_of(forward)
        state = self._quarantine.state(leg.fingerprint, now)
        if state is quarantine.QuarantineState.BLOCKED:
            reason = types.Reason.CRASHES_TARGETS
            self._answer(leg, verdicts.not_run(reason))
            return
        leg.exclusive = state is quarantine.QuarantineState.SUSPECTED
        self._legs[forward.leg] = leg
        queued = limiter.QueuedRequest(
            leg.deadline,
            functools.partial(self._start, leg),
            functools.partial(self._shed, leg),
            forward.urgent,
            leg.exclusive,
        )
        if not self._limiter.submit(queued, now):
            self._answer(leg, verdicts.not_run(types.Reason.QUEUE_FULL))

    def cancel(self, leg_id: str) -> None:
        """Cancels a request whose caller has disconnected.

        A request that is still queued is not removed.
        """
        leg = self._legs.get(leg_id)
        if leg is not None and leg.cancel is not None:
            leg.cancel()

    def _check(self, forward: messages.Forward) -> types.Reason | None:
        if forward.owner != self._core.incarnation:
            return types.Reason.WRONG_OWNER
        service = self._core.settings.service
        service_record = self._core.view.service_record(service)
        if forward.service != service or service_record is None:
            return types.Reason.WRONG_OWNER
        if slots.slot_of_key(forward.key, service_record.slots) != forward.slot:
            return types.Reason.BAD_REQUEST
        refusal = self._core.refusal(forward.slot, self._clock())
        if refusal is None and self._target.announcement is None:
            return types.Reason.TARGET_ABSENT
        return refusal

    def _known_result(
        self, forward: messages.Forward
    ) -> verdicts.Result | None:
        """Returns the result for a request that may have been executed before.

        It is the recorded result, or a refusal if there is none yet or none is
        kept. Returns None if the request was certainly not executed before.
        """
        owned_slot = self._core.find_slot(forward.slot)
        wall_ms = self._wall_ms()
        owned_ms = int((self._clock() - owned_slot.since) * 1000)
        request_state = self._dedup_cache.lookup(
            forward.request_id,
            forward.attempt,
            forward.first_sent_ms,
            wall_ms - owned_ms,
            wall_ms,
        )
        match request_state:
            case dedup.RequestState.FRESH:
                return None
            case dedup.RequestState.FINISHED:
                return self._dedup_cache.result_of(forward.request_id)
            case dedup.RequestState.IN_PROGRESS:
                return verdicts.may_have_run(types.Reason.IN_PROGRESS)
            case dedup.RequestState.UNKNOWN:
                return verdicts.may_have_run(types.Reason.REPEAT_UNKNOWN)

    def _start(self, leg: Leg) -> None:
        """Sends a request to the target.

        It may have been queued for long, so that all checks are repeated.
        """
        forward = leg.forward
        now = self._clock()
        refusal = self._check(forward)
        if refusal is None and now >= leg.deadline:
            refusal = types.Reason.DEADLINE_PASSED
        if refusal is None and self._is_newly_quarantined(leg, now):
            # The target has crashed while it ran a request with the same
            # fingerprint. On a retry, this one runs exclusively.
            refusal = types.Reason.TARGET_ABSENT
        if refusal is not None:
            self._finish(leg, verdicts.not_run(refusal))
            return
        owned_slot = self._core.find_slot(forward.slot)
        leg.started_at = now
        if not forward.idempotent:
            known_result = self._known_result(forward)
            if known_result is not None:
                self._finish(leg, known_result)
                return
            self._dedup_cache.record_start(forward.request_id, self._wall_ms())
        self._running_per_slot[forward.slot] = (
            self._running_per_slot.get(forward.slot, 0) + 1
        )
        self._slot_meter.count(forward.slot, now)
        self._hot_keys.count(forward.key, now)
        target_request = targetclient.TargetRequest(
            forward, owned_slot.fence, self._effect_deadline(leg)
        )
        logs.event(
            "handed_over",
            request=forward.request_id,
            key=forward.key,
            slot=forward.slot,
            owner=forward.owner,
            epoch=self._core.epoch,
            fence=owned_slot.fence,
            lease_left=round(self._core.lease_until() - now, 4),
            in_progress=self.in_progress,
            alone=leg.exclusive,
        )
        leg.cancel = self._target.run(
            target_request, functools.partial(self._handle_result, leg)
        )

    def _effect_deadline(self, leg: Leg) -> float:
        """Returns the time by which a request must have taken effect.

        A target that checks grants stops by itself when the lease ends. With
        any other target, a successor serves once the linger time after the
        lease's end has passed.
        """
        if self._target.checks_grants:
            return leg.deadline
        lease_end = self._core.lease_until() - _LEASE_MARGIN_S
        return min(leg.deadline, lease_end + self._core.linger)

    def _handle_result(self, leg: Leg, outcome: verdicts.Result) -> None:
        slot = leg.forward.slot
        remaining = self._running_per_slot.pop(slot) - 1
        if remaining:
            self._running_per_slot[slot] = remaining
        if not leg.forward.idempotent:
            self._dedup_cache.record_result(leg.forward.request_id, outcome)
        self._record_outcome(leg, outcome)
        self._finish(leg, outcome)

    def _is_newly_quarantined(self, leg: Leg, now: float) -> bool:
        state = self._quarantine.state(leg.fingerprint, now)
        return (
            not leg.exclusive and state is not quarantine.QuarantineState.CLEAR
        )

    def _record_outcome(self, leg: Leg, outcome: verdicts.Result) -> None:
        """Updates limits, health and quarantine from a result."""
        now = self._clock()
        refusal = outcome.swap().value_or(None)
        if refusal is None:
            self._target_health.record_answer()
            self._limiter.record_answer()
            self._target.record_answer()
            if leg.exclusive:
                self._quarantine.remove(leg.fingerprint)
            return
        if refusal.reason is types.Reason.TARGET_REFUSED:
            self._limiter.record_overload()
        if not refusal.may_have_run:
            return
        if self._target_health.record_failure(now - leg.started_at, now):
            logs.event("target_unfit", request=leg.forward.request_id)
        if refusal.reason is types.Reason.TARGET_FAILED:
            self._quarantine_request(leg, now)

    def _quarantine_request(self, leg: Leg, now: float) -> None:
        """Quarantines a request that ran when the target crashed.

        A request that ran exclusively is the cause, and is blocked.
        """
        state = quarantine.QuarantineState.SUSPECTED
        if leg.exclusive:
            state = quarantine.QuarantineState.BLOCKED
        self._quarantine.add(leg.fingerprint, state, now)
        logs.event(
            "request_suspected",
            request=leg.forward.request_id,
            key=leg.forward.key,
            content=leg.fingerprint,
            standing=state.value,
        )
        self._report_crash(
            messages.CrashReport((leg.fingerprint,), leg.exclusive)
        )

    def _finish(self, leg: Leg, outcome: verdicts.Result) -> None:
        self._answer(leg, outcome)
        self._limiter.release(self._clock())

    def _shed(self, leg: Leg) -> None:
        self._answer(leg, verdicts.not_run(types.Reason.QUEUE_FULL))

    def _answer(self, leg: Leg, outcome: verdicts.Result) -> None:
        self._legs.pop(leg.forward.leg, None)
        reply = self._make_reply(leg.forward, outcome)
        self._metrics.observe_leg(reply.verdict.value)
        leg.reply(reply)

    def _make_reply(
        self, forward: messages.Forward, outcome: verdicts.Result
    ) -> messages.ForwardReply:
        match outcome:
            case result.Success(verdicts.Answer() as answer):
                return messages.ForwardReply(
                    forward.leg,
                    types.Verdict.ANSWERED,
                    status=answer.status,
                    content_type=answer.content_type,
                    body=answer.body,
                )
            case result.Failure(verdicts.Refusal() as refusal):
                slot_owner = self._core.slot_owners.find(
                    forward.service, forward.slot
                )
                return messages.ForwardReply(
                    forward.leg,
                    refusal.verdict,
                    refusal.reason,
                    owner=slot_owner.owner
                    if slot_owner
                    else types.NO_INCARNATION,
                    fence=slot_owner.fence if slot_owner else 0,
                )
        raise AssertionError(outcome)
