"""The owner's side of a request: check, admit, hand over, remember."""

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

# A grant must have ended at the target before a successor begins.
_LEASE_MARGIN_S = 0.02
_HOT_KEYS = 5

ReplyCallback = Callable[[messages.ForwardReply], None]


class Leg(msgspec.Struct):
    """A request that this owner deals with.

    Attributes:
        forward: The request.
        deadline: The caller's deadline on this clock, seconds.
        reply: Takes the outcome, once.
        fingerprint: Fingerprint of what it asks for.
        exclusive: Whether nothing else may run beside it.
        started_at: When it was handed over, seconds.
        cancel: Cancels it at the target, once it was handed over.
    """

    forward: messages.Forward
    deadline: float
    reply: ReplyCallback
    fingerprint: str = ""
    exclusive: bool = False
    started_at: float = 0.0
    cancel: Callable[[], None] | None = None


class Executor:
    """All requests for keys that this daemon owns."""

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
        """Creates an owner without requests.

        Args:
            core: Says which slots are owned.
            target: The target.
            dedup_cache: Ids of non-idempotent requests.
            quarantined_requests: Contents that were there when a target
                crashed.
            report_crash: Tells other daemons of such contents.
            clock: The VM's monotonic clock, seconds.
            wall_ms: Wall clock, milliseconds since 1970.
            counters: Metrics.
        """
        self._core = core
        self._target = target
        self._memory = dedup_cache
        self._suspects = quarantined_requests
        self._crashed = report_crash
        self._fitness = health.PassiveHealthCheck()
        self._meter = loadstats.SlotMeter(clock())
        self._hot_keys = loadstats.HotKeySketch(clock())
        self._clock = clock
        self._wall_ms = wall_ms
        self._metrics = counters
        self._limiter = limiter.Limiter()
        self._legs: dict[str, Leg] = {}
        self._busy: dict[int, int] = {}

    @property
    def in_progress(self) -> int:
        """Number of requests at the target."""
        return self._limiter.in_progress

    @property
    def queued(self) -> int:
        """Number of requests that wait for the target."""
        return self._limiter.queued

    def is_slot_busy(self, slot: int) -> bool:
        """Returns whether requests of a slot are at the target."""
        return slot in self._busy

    def is_target_healthy(self) -> bool:
        """Returns whether the target answers what it is given."""
        return self._fitness.is_healthy(self._clock())

    def slot_loads(self) -> dict[int, float]:
        """Returns requests a second of each slot that is owned here."""
        since = {slot: held.since for slot, held in self._core.owned.items()}
        return self._meter.rates(since, self._clock())

    def hot_keys(self) -> list[loadstats.HotKey]:
        """Returns the keys that bring most load."""
        return self._hot_keys.hottest(_HOT_KEYS)

    def apply_limits(self, policy: records.Policy) -> None:
        """Follows the target's announcement and the operators' limits."""
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
        """Deals with a request; `reply` is called once, perhaps at once."""
        now = self._clock()
        leg = Leg(forward, now + forward.remaining, reply)
        refusal = self._refusal(forward)
        if refusal is not None:
            self._answer(leg, verdicts.not_run(refusal))
            return
        if not forward.idempotent:
            outcome = self._repeat(forward)
            if outcome is not None:
                self._answer(leg, outcome)
                return
        leg.fingerprint = quarantine.fingerprint_of(forward)
        standing = self._suspects.state(leg.fingerprint, now)
        if standing is quarantine.QuarantineState.BLOCKED:
            reason = types.Reason.CRASHES_TARGETS
            self._answer(leg, verdicts.not_run(reason))
            return
        leg.exclusive = standing is quarantine.QuarantineState.SUSPECTED
        self._legs[forward.leg] = leg
        waiting = limiter.QueuedRequest(
            leg.deadline,
            functools.partial(self._start, leg),
            functools.partial(self._shed, leg),
            forward.urgent,
            leg.exclusive,
        )
        if not self._limiter.admit(waiting, now):
            self._answer(leg, verdicts.not_run(types.Reason.QUEUE_FULL))

    def cancel(self, leg_id: str) -> None:
        """Gives a request up: its caller went away."""
        leg = self._legs.get(leg_id)
        if leg is not None and leg.cancel is not None:
            leg.cancel()

    def _refusal(self, forward: messages.Forward) -> types.Reason | None:
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

    def _repeat(self, forward: messages.Forward) -> verdicts.Result | None:
        """Returns the result of a request that must not run (again)."""
        held = self._core.find(forward.slot)
        wall_ms = self._wall_ms()
        held_ms = int((self._clock() - held.since) * 1000)
        known = self._memory.lookup(
            forward.request_id,
            forward.attempt,
            forward.first_sent_ms,
            wall_ms - held_ms,
            wall_ms,
        )
        match known:
            case dedup.RequestState.FRESH:
                return None
            case dedup.RequestState.FINISHED:
                return self._memory.result_of(forward.request_id)
            case dedup.RequestState.IN_PROGRESS:
                return verdicts.may_have_run(types.Reason.IN_PROGRESS)
            case dedup.RequestState.UNKNOWN:
                return verdicts.may_have_run(types.Reason.REPEAT_UNKNOWN)

    def _start(self, leg: Leg) -> None:
        """Hands a request over, if it still may be: time has gone by."""
        forward = leg.forward
        now = self._clock()
        refusal = self._refusal(forward)
        if refusal is None and now >= leg.deadline:
            refusal = types.Reason.DEADLINE_PASSED
        if refusal is None and self._became_suspect(leg, now):
            # It waited while another one like it crashed the target.
            refusal = types.Reason.TARGET_ABSENT
        if refusal is not None:
            self._finish(leg, verdicts.not_run(refusal))
            return
        held = self._core.find(forward.slot)
        leg.started_at = now
        if not forward.idempotent:
            repeat = self._repeat(forward)
            if repeat is not None:
                self._finish(leg, repeat)
                return
            self._memory.record_start(forward.request_id, self._wall_ms())
        self._busy[forward.slot] = self._busy.get(forward.slot, 0) + 1
        self._meter.count(forward.slot, now)
        self._hot_keys.count(forward.key, now)
        order = targetclient.TargetRequest(
            forward, held.fence, self._run_until(leg)
        )
        logs.event(
            "handed_over",
            request=forward.request_id,
            key=forward.key,
            slot=forward.slot,
            owner=forward.owner,
            epoch=self._core.epoch,
            fence=held.fence,
            lease_left=round(self._core.lease_until() - now, 4),
            in_progress=self.in_progress,
            alone=leg.exclusive,
        )
        leg.cancel = self._target.run(order, functools.partial(self._ran, leg))

    def _run_until(self, leg: Leg) -> float:
        """Returns the time by which the request must have taken effect.

        A target that checks grants stops by itself when the lease ends. For
        any other the successor waits for the linger, and not longer.
        """
        if self._target.checks_grants:
            return leg.deadline
        lease_end = self._core.lease_until() - _LEASE_MARGIN_S
        return min(leg.deadline, lease_end + self._core.linger)

    def _ran(self, leg: Leg, outcome: verdicts.Result) -> None:
        slot = leg.forward.slot
        left = self._busy.pop(slot) - 1
        if left:
            self._busy[slot] = left
        if not leg.forward.idempotent:
            self._memory.record_result(leg.forward.request_id, outcome)
        self._judge_target(leg, outcome)
        self._finish(leg, outcome)

    def _became_suspect(self, leg: Leg, now: float) -> bool:
        standing = self._suspects.state(leg.fingerprint, now)
        return (
            not leg.exclusive
            and standing is not quarantine.QuarantineState.CLEAR
        )

    def _judge_target(self, leg: Leg, outcome: verdicts.Result) -> None:
        """Learns from a run what it says of the target and the request."""
        now = self._clock()
        refusal = outcome.swap().value_or(None)
        if refusal is None:
            self._fitness.record_answer()
            self._limiter.record_answer()
            self._target.record_answer()
            if leg.exclusive:
                self._suspects.remove(leg.fingerprint)
            return
        if refusal.reason is types.Reason.TARGET_REFUSED:
            self._limiter.record_overload()
        if not refusal.may_have_run:
            return
        if self._fitness.record_failure(now - leg.started_at, now):
            logs.event("target_unfit", request=leg.forward.request_id)
        if refusal.reason is types.Reason.TARGET_FAILED:
            self._suspect(leg, now)

    def _suspect(self, leg: Leg, now: float) -> None:
        """Tells everybody of a request that was there at a crash."""
        standing = quarantine.QuarantineState.SUSPECTED
        if leg.exclusive:
            standing = quarantine.QuarantineState.BLOCKED
        self._suspects.add(leg.fingerprint, standing, now)
        logs.event(
            "request_suspected",
            request=leg.forward.request_id,
            key=leg.forward.key,
            content=leg.fingerprint,
            standing=standing.value,
        )
        self._crashed(messages.CrashReport((leg.fingerprint,), leg.exclusive))

    def _finish(self, leg: Leg, outcome: verdicts.Result) -> None:
        self._answer(leg, outcome)
        self._limiter.release(self._clock())

    def _shed(self, leg: Leg) -> None:
        self._answer(leg, verdicts.not_run(types.Reason.QUEUE_FULL))

    def _answer(self, leg: Leg, outcome: verdicts.Result) -> None:
        self._legs.pop(leg.forward.leg, None)
        message = self._message(leg.forward, outcome)
        self._metrics.observe_leg(message.verdict.value)
        leg.reply(message)

    def _message(
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
                route = self._core.slot_owners.find(
                    forward.service, forward.slot
                )
                return messages.ForwardReply(
                    forward.leg,
                    refusal.verdict,
                    refusal.reason,
                    owner=route.owner if route else types.NO_INCARNATION,
                    fence=route.fence if route else 0,
                )
        raise AssertionError(outcome)
