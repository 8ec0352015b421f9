"""The side of a call beside its target: admit it, hand it over, judge it."""

import functools
import math
from collections.abc import Callable

import msgspec
from returns import result

from tamarackgap import logs, types
from tamarackgap.network import exchanges, httppool, scheduler
from tamarackgap.ownership import ownership
from tamarackgap.peers import calls
from tamarackgap.placement import loadstats, slots
from tamarackgap.traffic import admission, crashes, slotgrants

# A target ends a call at its deadline; its answer takes a little longer.
_GRACE_S = 0.02
# Least time left with which a call is still handed over, seconds.
_LEAST_S = 0.005
_DRAIN_S = 1.6
# Work of a call that counts as one in the slots' loads, seconds.
_USUAL_WORK_S = 0.05
# A target that crashed refuses connections, or announces another life, within
# this time after its connections broke, seconds.
_CRASH_SEEN_S = 2.0
# An answer that was on its way when the target crashed may be read so much
# later than the first connection broke, seconds.
_ANSWER_SLACK_S = 0.1
# How fast the part of the target in use follows what is seen in each sweep.
_LEARN = 0.05

Reply = Callable[[calls.Completion], None]


class Codec(msgspec.Struct, frozen=True):
    """How calls and answers are spelled on the way to targets.

    Attributes:
        encode: Returns a call's bytes, from the dispatch, the milliseconds
            left and the target's instance.
        is_answer_to: Returns whether an answer is the one to a request id.
        decode_answer: Returns the completion that an answer means.
    """

    encode: Callable[[calls.Dispatch, int, str], bytes]
    is_answer_to: Callable[[str, httppool.Answer], bool]
    decode_answer: Callable[[int, httppool.Answer], calls.Completion]


class Leg(msgspec.Struct, eq=False):
    """A call that this daemon deals with.

    Attributes:
        dispatch: The call.
        sender: The incarnation that sent it.
        deadline: The caller's deadline on this clock, seconds.
        reply: Takes the completion, once.
        begun: When it was handed over, seconds.
        waiting: Its place in the queue.
        exchange: Its exchange with the target.
    """

    dispatch: calls.Dispatch
    sender: str
    deadline: float
    reply: Reply | None
    begun: float = 0.0
    waiting: admission.QueuedCall | None = None
    exchange: httppool.Exchange | None = None


class Runner:
    """All calls for the target beside this daemon."""

    def __init__(
        self,
        service: types.ServiceName,
        core: ownership.Ownership,
        holds: slotgrants.SlotGrants,
        pool: httppool.ConnectionPool,
        codec: Codec,
        timers: scheduler.Scheduler,
        on_connection_refused: Callable[[], None],
        crash_history: crashes.CrashHistory,
    ) -> None:
        """Creates a runner without a target.

        Args:
            service: The target's service.
            core: Says which keys are owned.
            holds: Says which keys the target holds.
            pool: Connections to the target.
            codec: Spells calls and answers.
            timers: The loop's scheduler.
            on_connection_refused: Called when the target refuses connections.
            crash_history: Contents that were at targets when these crashed.
        """
        self._service = service
        self._core = core
        self._holds = holds
        self._pool = pool
        self._codec = codec
        self._timers = timers
        self._on_connection_refused = on_connection_refused
        self._crashes = crash_history
        # Runs that ended with their connections: content, begin and end.
        self._broken: list[tuple[str, float, float]] = []
        # Called with a content that was answered after a crash.
        self.on_content_cleared: Callable[[str], None] = _forget
        self._admission = admission.AdmissionQueue()
        self._legs: dict[tuple[str, int], Leg] = {}
        self._instance = ""
        self._leave_at = 0.0
        self._meter = loadstats.SlotMeter(
            timers.now, core.settings.load_half_life
        )
        self._draining = False
        # Whether each key has one owner among the service's targets.
        self.keyed = False
        # Observes each call that was handed over: what became of it, and
        # the seconds that it took.
        self.observe: Callable[[types.Verdict, float], None] = _ignore
        # When the target last answered a call, seconds.
        self.last_answered_at = float("-inf")
        # Part of the target's capacity that was in use lately.
        self._utilisation = 0.0

    @property
    def queue(self) -> admission.AdmissionQueue:
        """The queue before the target."""
        return self._admission

    @property
    def in_progress(self) -> int:
        """Number of calls here, waiting or at the target."""
        return len(self._legs)

    @property
    def accepting(self) -> bool:
        """Whether the target takes new calls."""
        return bool(self._instance) and not self._draining

    def attach(self, instance: str, capacity: int) -> None:
        """Takes a target into use.

        Args:
            instance: Id of this life of the target.
            capacity: Calls that it runs at once.
        """
        if instance != self._instance:
            self._admission.reset_estimates()
        self._instance = instance
        self._draining = False
        self._admission.resize(capacity, self._timers.now)

    def drain(self) -> None:
        """Takes no new calls; those that wait must start soon."""
        if not self._draining:
            self._draining = True
            self._leave_at = self._timers.now + _DRAIN_S

    def detach(self) -> None:
        """Notes that there is no target any more."""
        self._instance = ""
        self._admission.resize(0, self._timers.now)
        self._pool.close()

    def pop_crashed_runs(self) -> list[tuple[str, float, float]]:
        """Returns the runs that a crash of the target has just ended.

        Returns:
            Content, begin and end of each, in seconds.
        """
        since = max(
            self._timers.now - _CRASH_SEEN_S,
            self.last_answered_at - _ANSWER_SLACK_S,
        )
        broken = [run for run in self._broken if run[2] >= since]
        self._broken = []
        # What was sent after the first of them broke has met no target.
        crashed = min((end for _, _, end in broken), default=0.0)
        return [run for run in broken if run[1] < crashed]

    @property
    def utilisation(self) -> float:
        """Calls here against what the target runs at once, of late."""
        return self._utilisation

    def refuse_late(self) -> None:
        """Refuses calls that can no longer start in time."""
        now = self._timers.now
        used = len(self._legs) / max(1, self._admission.capacity)
        self._utilisation += (used - self._utilisation) * _LEARN
        if self._draining and now >= self._leave_at:
            self._admission.refuse_all()
        else:
            self._admission.refuse_late(now)

    def submit(
        self, dispatch: calls.Dispatch, sender: str, reply: Reply
    ) -> None:
        """Deals with a call; `reply` is called once, perhaps at once."""
        now = self._timers.now
        leg = Leg(dispatch, sender, now + dispatch.remaining, reply)
        refusal = self._refusal(dispatch, now)
        if refusal is not None:
            self._refuse(leg, refusal)
            return
        self._legs[sender, dispatch.leg] = leg
        if self.keyed:
            # Calls that find no room are load as well.
            amount = (
                self._admission.expected_duration(dispatch.latency_objective)
                / _USUAL_WORK_S
            )
            self._meter.count(self._slot(dispatch), now, amount)
        leg.waiting = admission.QueuedCall(
            dispatch.rank,
            dispatch.latency_objective,
            now + dispatch.objective_remaining,
            leg.deadline,
            functools.partial(self._start, leg),
            functools.partial(self._turned_down, leg),
        )
        self._admission.offer(leg.waiting, now)

    def withdraw(self, sender: str, leg_id: int) -> None:
        """Gives a call up, where that can do no harm."""
        leg = self._legs.get((sender, leg_id))
        if leg is None:
            return
        leg.reply = None
        if leg.exchange is None:
            if leg.waiting is not None and self._admission.withdraw(
                leg.waiting
            ):
                self._legs.pop((sender, leg_id), None)
        elif leg.dispatch.idempotent:
            self._pool.cancel(leg.exchange)

    def _refusal(
        self, dispatch: calls.Dispatch, now: float
    ) -> types.Reason | None:
        # A process that has left its lease goes on under another id: what was
        # sent to the earlier one is still for the same target.
        if (
            not self._core.is_own(dispatch.owner)
            or dispatch.service != self._service
        ):
            return types.Reason.WRONG_OWNER
        if not self._instance:
            return types.Reason.TARGET_ABSENT
        if self._crashes and self._barred(dispatch, now):
            return types.Reason.CRASHES_TARGETS
        if self._draining and (not self.keyed or now >= self._leave_at):
            return types.Reason.DRAINING
        if not self.keyed:
            return None
        if dispatch.call.position is None:
            return types.Reason.BAD_REQUEST
        if self._core.view.service_record(self._service) is None:
            return types.Reason.NO_OWNER
        slot = self._slot(dispatch)
        refusal = self._core.refusal(slot, now)
        if refusal is None and not self._holds.is_held(slot, now):
            return types.Reason.SLOT_MOVING
        return refusal

    def _barred(self, dispatch: calls.Dispatch, now: float) -> bool:
        content = _content(dispatch)
        return self._crashes.barred_for(content, now) > 0

    def _slot(self, dispatch: calls.Dispatch) -> types.Slot:
        service_record = self._core.view.service_record(self._service)
        return slots.slot_of_position(
            dispatch.call.position, service_record.slots
        )

    def slot_loads(self) -> dict[int, float]:
        """Returns the load of each slot owned here, in usual calls a second.

        A call counts by the time that this target takes for one, so that
        a slow target has more load from the same calls.
        """
        since = {slot: held.since for slot, held in self._core.owned.items()}
        return self._meter.rates(since, self._timers.now)

    def _start(self, leg: Leg) -> None:
        """Hands a call over, if it still may be: time has gone by."""
        now = self._timers.now
        dispatch = leg.dispatch
        refusal = self._refusal(dispatch, now)
        left = leg.deadline - now
        if refusal is None and left < _LEAST_S:
            refusal = types.Reason.DEADLINE_PASSED
        if refusal is not None:
            self._refuse(leg, refusal)
            self._admission.finish(None, dispatch.latency_objective, now)
            return
        leg.begun = now
        request = dispatch.call.request_id
        leg.exchange = self._pool.send(
            functools.partial(self._encode, leg, self._instance),
            left + _GRACE_S,
            functools.partial(self._ran, leg),
            functools.partial(self._codec.is_answer_to, request),
        )

    def _encode(self, leg: Leg, instance: str) -> bytes:
        """Returns a call's bytes; none once its deadline has passed."""
        left = leg.deadline - self._timers.now
        if left < _LEAST_S:
            return b""
        return self._codec.encode(leg.dispatch, int(left * 1000), instance)

    def _ran(
        self,
        leg: Leg,
        outcome: result.Result[httppool.Answer, exchanges.Failure],
    ) -> None:
        now = self._timers.now
        worked: float | None = None
        match outcome:
            case result.Success(httppool.Answer() as answer):
                self.last_answered_at = now
                completion = self._codec.decode_answer(leg.dispatch.leg, answer)
                if completion.verdict is types.Verdict.ANSWERED:
                    worked = now - leg.begun
                    if self._crashes:
                        self._clear(leg)
                elif completion.reason is types.Reason.TARGET_FULL:
                    self._admission.reduce_capacity()
                elif completion.reason is types.Reason.TARGET_MISDIRECTED:
                    self._holds.renew_soon()
            case result.Failure(exchanges.Failure() as failure):
                completion = self._failed(leg, failure)
            case _:
                raise AssertionError(outcome)
        self._log(leg, completion, now)
        self.observe(completion.verdict, now - leg.begun)
        self._finish(leg, completion)
        self._admission.finish(worked, leg.dispatch.latency_objective, now)

    def _failed(self, leg: Leg, failure: exchanges.Failure) -> calls.Completion:
        if failure.cause is exchanges.Cause.CLOSED and failure.sent:
            self._note_broken(leg)
        if failure.cause is exchanges.Cause.REFUSED:
            self._on_connection_refused()
        if not failure.sent:
            late = failure.cause is exchanges.Cause.CANCELLED
            return calls.Completion(
                leg.dispatch.leg,
                types.Verdict.NOT_RUN,
                types.Reason.DEADLINE_PASSED
                if late
                else types.Reason.TARGET_ABSENT,
            )
        return calls.Completion(
            leg.dispatch.leg,
            types.Verdict.MAY_HAVE_RUN,
            _REASONS[failure.cause],
        )

    def _note_broken(self, leg: Leg) -> None:
        now = self._timers.now
        since = now - _CRASH_SEEN_S
        self._broken = [run for run in self._broken if run[2] >= since]
        self._broken.append((_content(leg.dispatch), leg.begun, now))

    def _clear(self, leg: Leg) -> None:
        content = _content(leg.dispatch)
        if self._crashes.clear(content):
            self.on_content_cleared(content)

    def _turned_down(self, leg: Leg, refusal: admission.Refusal) -> None:
        self._refuse(leg, types.Reason.QUEUE_FULL, refusal)

    def _refuse(
        self,
        leg: Leg,
        reason: types.Reason,
        refusal: admission.Refusal | None = None,
    ) -> None:
        completion = calls.Completion(
            leg.dispatch.leg,
            types.Verdict.NOT_RUN,
            reason,
            retry_after=refusal.retry_after if refusal is not None else 0.0,
        )
        self._log(leg, completion, self._timers.now, refusal)
        self._finish(leg, completion)

    def _finish(self, leg: Leg, completion: calls.Completion) -> None:
        self._legs.pop((leg.sender, leg.dispatch.leg), None)
        reply = leg.reply
        leg.reply = None
        if reply is not None:
            reply(
                msgspec.structs.replace(
                    completion,
                    running=self._admission.running,
                    waiting=self._admission.waiting,
                )
            )

    def _log(
        self,
        leg: Leg,
        completion: calls.Completion,
        now: float,
        refusal: admission.Refusal | None = None,
    ) -> None:
        """Logs what became of a call.

        Args:
            leg: The call.
            completion: What became of it.
            now: Monotonic time, seconds.
            refusal: Why the queue turned it down, as things stood then.
        """
        reason = completion.reason
        seen: dict[str, int] = {
            "running": self._admission.running,
            "waiting": self._admission.waiting,
        }
        if refusal is not None:
            seen = {"running": refusal.running, "waiting": refusal.waiting}
            seen["work_ms"] = round(refusal.expected_duration * 1000)
            if math.isfinite(refusal.expected_wait):
                seen["wait_ms"] = round(refusal.expected_wait * 1000)
        logs.request_event(
            "call",
            completion.verdict is not types.Verdict.ANSWERED,
            request=leg.dispatch.call.request_id,
            leg=leg.dispatch.leg,
            instance=self._instance,
            verdict=completion.verdict.value,
            reason=reason.value if reason else "",
            status=completion.status,
            ms=round((now - leg.begun) * 1000, 1) if leg.begun else 0,
            left_ms=round((leg.deadline - now) * 1000),
            **seen,
        )


_REASONS = {
    exchanges.Cause.REFUSED: types.Reason.TARGET_ABSENT,
    exchanges.Cause.UNREACHABLE: types.Reason.TARGET_ABSENT,
    exchanges.Cause.CLOSED: types.Reason.TARGET_FAILED,
    exchanges.Cause.TIMEOUT: types.Reason.NO_ANSWER,
    exchanges.Cause.TRUNCATED: types.Reason.ANSWER_TRUNCATED,
    exchanges.Cause.MALFORMED: types.Reason.TARGET_FAILED,
    exchanges.Cause.CANCELLED: types.Reason.NO_ANSWER,
}


def _content(dispatch: calls.Dispatch) -> str:
    return crashes.fingerprint(dispatch.service, dispatch.call)


def _forget(content: str) -> None:
    del content


def _ignore(verdict: types.Verdict, seconds: float) -> None:
    del verdict, seconds
