"""Executes calls at the local target: admits, sends and interprets them.

Calls come from the dispatchers of all daemons. Each is checked again when its
turn comes, since the ownership of its key or the target may have changed.
"""

import functools
import math
from collections.abc import Callable

import msgspec
from returns import result

from tamarackgap import logs, types
from tamarackgap.network import bytebudget, exchanges, httppool, scheduler
from tamarackgap.ownership import ownership
from tamarackgap.peers import calls
from tamarackgap.placement import loadstats, slots
from tamarackgap.scheduling import admission, usage, ways
from tamarackgap.traffic import crashes, slotgrants

# A target ends a call at its deadline; its answer takes a little longer.
_ANSWER_GRACE_S = 0.02
# A call with less time left is not sent to the target.
_MIN_REMAINING_S = 0.005
# Time for which a keyed service still runs calls after draining has begun.
_DRAIN_TIME_S = 1.6
# Duration of the call that counts as one unit of a slot's load, at a target of
# usual speed.
_LOAD_UNIT_S = 0.05
# Time that a call is taken to need at such a target, as a share of its latency
# objective.
_USUAL_RELATIVE_LATENCY = 0.3
# A target that crashed refuses connections, or is announced by a new process,
# within this time after its connections broke.
_CRASH_DETECTION_S = 2.0
# An answer that was on its way when the target crashed may be read this much
# later than the first connection broke.
_LATE_ANSWER_S = 0.1
_REFUSE_LATE_INTERVAL_S = 0.02
_SERVER_ERROR_STATUS = 500

ReplyCallback = Callable[[calls.Completion], None]


class Codec(msgspec.Struct, frozen=True):
    """Encodes calls for targets and decodes their answers.

    Attributes:
        encode: Returns the bytes of a call. Takes the dispatch, the time left
            to the deadline in milliseconds and the target's instance id.
        is_answer_to: Returns whether an answer belongs to a request id.
        decode_answer: Returns the completion of a leg. Takes the leg's id and
            the target's answer.
    """

    encode: Callable[[calls.Dispatch, int, str], bytes]
    is_answer_to: Callable[[str, httppool.Answer], bool]
    decode_answer: Callable[[int, httppool.Answer], calls.Completion]


class Leg(msgspec.Struct, eq=False):
    """Holds a leg that this daemon executes at its target.

    Attributes:
        dispatch: The call, as it was sent to this daemon.
        sender: The incarnation that sent it.
        deadline: The caller's deadline in this daemon's monotonic time,
            seconds.
        reply: Called once with the completion; None after that, or when the
            caller no longer waits.
        sent_at: Monotonic time at which it was sent to the target, seconds; 0
            before that.
        queued_call: The call in the admission queue.
        exchange: The HTTP exchange with the target.
        charge: The memory that a peer's call takes.
    """

    dispatch: calls.Dispatch
    sender: str
    deadline: float
    reply: ReplyCallback | None
    charge: bytebudget.Charge
    sent_at: float = 0.0
    queued_call: admission.QueuedCall | None = None
    exchange: httppool.Exchange | None = None


class Runner:
    """Executes calls at the local target."""

    def __init__(
        self,
        service: types.ServiceName,
        core: ownership.Ownership,
        grants: slotgrants.SlotGrants,
        pool: httppool.ConnectionPool,
        codec: Codec,
        timers: scheduler.Scheduler,
        on_connection_refused: Callable[[], None],
        crash_history: crashes.CrashHistory,
        budget: bytebudget.ByteBudget,
    ) -> None:
        """Creates a runner without a target.

        Args:
            service: The target's service.
            core: Tells which slots this daemon owns.
            grants: Tells which slots the target holds.
            pool: Connections to the target.
            codec: Encodes calls and decodes answers.
            timers: The loop's scheduler.
            on_connection_refused: Called when the target refuses connections.
            crash_history: Fingerprints of requests that targets ran when they
                crashed.
            budget: Limits the memory of all messages under way.
        """
        self._budget = budget
        self._service = service
        self._core = core
        self._grants = grants
        self._pool = pool
        self._codec = codec
        self._timers = timers
        self.on_connection_refused = on_connection_refused
        self._crash_history = crash_history
        # Runs whose connection broke: fingerprint, begin and end, seconds.
        self._broken_runs: list[tuple[str, float, float]] = []
        # Called with the fingerprint of a request that a target has answered
        # after another one crashed while running it.
        self.on_fingerprint_cleared: Callable[[str], None] = _ignore_fingerprint
        self._admission = admission.AdmissionQueue()
        # How late calls of other daemons arrive here.
        self.way = ways.Way()
        self._legs: dict[tuple[str, int], Leg] = {}
        # Deadline of each request that the target has refused or failed, by
        # request id. It may come again until then, with the same id.
        self._returned_requests: dict[types.RequestId, float] = {}
        self._instance = ""
        self._drain_ends_at = 0.0
        self._meter = loadstats.SlotMeter(
            timers.now, core.settings.load_half_life
        )
        self._pace_meter = loadstats.PaceMeter(timers.now)
        # Calls that the target runs at once, as it announces.
        self._capacity = 0
        self._draining = False
        # Whether each key has one owner among the service's targets.
        self.keyed = False
        # Called with the verdict and the duration in seconds of each call that
        # was sent to the target, for metrics.
        self.on_finished: Callable[[types.Verdict, float], None] = _ignore
        # Monotonic time of the target's last answer, seconds.
        self.last_answered_at = float("-inf")
        self.utilisation = usage.Utilisation(timers.now)
        # Whether a check of the queued calls is scheduled.
        self._is_check_due = False

    @property
    def queue(self) -> admission.AdmissionQueue:
        """The queue of calls for the target."""
        return self._admission

    @property
    def in_progress(self) -> int:
        """Number of calls that are queued or run by the target."""
        return len(self._legs)

    @property
    def returned_request_count(self) -> int:
        """Number of requests that may come again."""
        return len(self._returned_requests)

    @property
    def accepting(self) -> bool:
        """Whether the target takes new calls."""
        return bool(self._instance) and not self._draining

    def attach(self, instance: str, capacity: int) -> None:
        """Starts to use a target.

        Args:
            instance: Id of the target instance.
            capacity: Calls that it runs at once.
        """
        if instance != self._instance:
            self._admission.reset_estimates()
            self._pace_meter = loadstats.PaceMeter(self._timers.now)
        self._instance = instance
        self._capacity = capacity
        self._draining = False
        self._admission.resize(capacity, self._timers.now)

    def drain(self, seconds: float = _DRAIN_TIME_S) -> None:
        """Starts to refuse calls, since the target or its daemon is leaving.

        Calls of a keyed service are run for some time more, since its keys are
        still owned here; other calls are refused at once or when their turn
        comes.

        Args:
            seconds: That time, seconds.
        """
        if not self._draining:
            self._draining = True
            self._drain_ends_at = self._timers.now + seconds

    def detach(self) -> None:
        """Stops using the target and refuses all queued calls.

        Calls that it runs are left to their answers, the end of their
        connections or their deadlines.
        """
        self._instance = ""
        self._admission.resize(0, self._timers.now)

    def pop_crashed_runs(self) -> list[tuple[str, float, float]]:
        """Returns and forgets the runs that a crash of the target has ended.

        Returns:
            The fingerprint, begin and end of each run, in monotonic seconds.
        """
        # A connection that broke before the target's last answer was not broken
        # by a crash.
        since = max(
            self._timers.now - _CRASH_DETECTION_S,
            self.last_answered_at - _LATE_ANSWER_S,
        )
        broken = [run for run in self._broken_runs if run[2] >= since]
        self._broken_runs = []
        # Calls sent after the first connection broke have not reached the
        # target.
        crashed_at = min((end for _, _, end in broken), default=0.0)
        return [run for run in broken if run[1] < crashed_at]

    def refuse_late(self) -> None:
        """Refuses queued calls that can no longer start in time."""
        now = self._timers.now
        if self._draining and now >= self._drain_ends_at:
            self._admission.refuse_all(now)
        else:
            self._admission.refuse_late(now)

    def sample_utilisation(self) -> None:
        """Updates the recent utilisation; to be called regularly."""
        self.utilisation.sample(
            len(self._legs), self._admission.capacity, self._timers.now
        )

    def _refuse_late_soon(self) -> None:
        """Checks queued calls regularly while there are any."""
        if not self._is_check_due and self._admission.waiting:
            self._is_check_due = True
            self._timers.after(_REFUSE_LATE_INTERVAL_S, self._check_queue)

    def _check_queue(self) -> None:
        self._is_check_due = False
        self.refuse_late()
        self._refuse_late_soon()

    def submit(
        self, dispatch: calls.Dispatch, sender: str, reply: ReplyCallback
    ) -> None:
        """Starts a call at the target, queues it or refuses it.

        Args:
            dispatch: The call.
            sender: The incarnation that sent it.
            reply: Called once with the completion, possibly before this method
                returns.
        """
        now = self._timers.now
        leg = Leg(
            dispatch,
            sender,
            now + dispatch.remaining,
            reply,
            bytebudget.Charge(self._budget),
        )
        refusal = self._refusal(dispatch, now)
        if refusal is None and not self._charge(leg):
            refusal = types.Reason.QUEUE_FULL
        if refusal is not None:
            self._refuse(leg, refusal)
            return
        self._legs[sender, dispatch.leg] = leg
        if self.keyed:
            # Counted before admission, since calls that are refused for lack of
            # room are load as well.
            amount = _usual_duration(dispatch) / _LOAD_UNIT_S
            self._meter.count(self._slot(dispatch), now, amount)
        leg.queued_call = admission.QueuedCall(
            dispatch.rank,
            dispatch.latency_objective,
            now + dispatch.objective_remaining,
            leg.deadline,
            functools.partial(self._start, leg),
            functools.partial(self._refuse_queued, leg),
            dispatch.call.is_nested,
        )
        self._admission.submit(leg.queued_call, now)
        self._refuse_late_soon()

    def _charge(self, leg: Leg) -> bool:
        """Counts the memory of a peer's call; returns whether it has room.

        The call of a local caller counts while its connection holds it.
        """
        if self._core.is_own(leg.sender):
            return True
        call = leg.dispatch.call
        return leg.charge.hold(len(call.head) + len(call.body))

    def withdraw(self, sender: str, leg_id: int) -> None:
        """Cancels a leg whose caller no longer waits.

        A call that the target runs already is cut off only if its request is
        idempotent.

        Args:
            sender: The incarnation that sent the leg.
            leg_id: The leg's id.
        """
        leg = self._legs.get((sender, leg_id))
        if leg is None:
            return
        leg.reply = None
        if leg.exchange is None:
            if leg.queued_call is not None and self._admission.withdraw(
                leg.queued_call
            ):
                self._drop(leg)
        elif leg.dispatch.idempotent:
            self._pool.cancel(leg.exchange)

    def refusal(self, dispatch: calls.Dispatch) -> types.Reason | None:
        """Returns why a call must not be run now, or None."""
        return self._refusal(dispatch, self._timers.now)

    def _refusal(
        self, dispatch: calls.Dispatch, now: float
    ) -> types.Reason | None:
        # A process that has left its lease continues under a new incarnation;
        # calls sent to the earlier one are still for the same target.
        if (
            not self._core.is_own(dispatch.owner)
            or dispatch.service != self._service
        ):
            return types.Reason.WRONG_OWNER
        if not self._instance:
            return types.Reason.TARGET_ABSENT
        if self._crash_history and self._is_barred(dispatch, now):
            return types.Reason.CRASHES_TARGETS
        if self._draining and (not self.keyed or now >= self._drain_ends_at):
            return types.Reason.DRAINING
        if not self.keyed:
            return None
        if dispatch.call.position is None:
            return types.Reason.BAD_REQUEST
        if self._core.view.service_record(self._service) is None:
            return types.Reason.NO_OWNER
        slot = self._slot(dispatch)
        refusal = self._core.refusal(slot, now)
        if refusal is None and not self._grants.is_held(slot, now):
            return types.Reason.SLOT_MOVING
        return refusal

    def _is_barred(self, dispatch: calls.Dispatch, now: float) -> bool:
        fingerprint = _fingerprint(dispatch)
        return self._crash_history.barred_for(fingerprint, now) > 0

    def _slot(self, dispatch: calls.Dispatch) -> types.Slot:
        service_record = self._core.view.service_record(self._service)
        return slots.slot_of_position(
            dispatch.call.position, service_record.slots
        )

    def slot_loads(self) -> dict[int, float]:
        """Returns the load of each owned slot, in units of load per second.

        A call counts as its usual duration divided by _LOAD_UNIT_S, so that it
        is the same load wherever its slot is.
        """
        since = {slot: owned.since for slot, owned in self._core.owned.items()}
        return self._meter.rates(since, self._timers.now)

    @property
    def speed(self) -> float:
        """Units of load a second that the target can do; 0 if not known."""
        if not (self._instance and self._pace_meter.is_known):
            return 0.0
        return self._capacity / (_LOAD_UNIT_S * self._pace_meter.pace)

    @property
    def request_amount(self) -> float:
        """Amount that stands for one counted call in `slot_loads`."""
        return self._meter.amount_per_request(self.slot_loads())

    def _start(self, leg: Leg) -> None:
        """Sends a call to the target, unless it must be refused by now."""
        now = self._timers.now
        dispatch = leg.dispatch
        refusal = self._refusal(dispatch, now)
        left = leg.deadline - now
        if refusal is None and left < _MIN_REMAINING_S:
            refusal = types.Reason.DEADLINE_PASSED
        if refusal is not None:
            self._refuse(leg, refusal)
            self._admission.finish(None, dispatch.latency_objective, now)
            return
        leg.sent_at = now
        request_id = dispatch.call.request_id
        exchange = self._pool.send(
            functools.partial(self._encode, leg, self._instance),
            left + _ANSWER_GRACE_S,
            functools.partial(self._handle_outcome, leg),
            functools.partial(self._codec.is_answer_to, request_id),
            # A copy of its first answer would have its id as well.
            exclusive=request_id in self._returned_requests,
        )
        if self._legs.get((leg.sender, dispatch.leg)) is leg:
            leg.exchange = exchange

    def _encode(self, leg: Leg, instance: str) -> bytes:
        """Returns the bytes of a call; none if its time has run out."""
        left = leg.deadline - self._timers.now
        if left < _MIN_REMAINING_S:
            return b""
        return self._codec.encode(leg.dispatch, int(left * 1000), instance)

    def _handle_outcome(
        self,
        leg: Leg,
        outcome: result.Result[httppool.Answer, exchanges.Failure],
    ) -> None:
        """Completes a call with the outcome of its exchange with the target."""
        now = self._timers.now
        duration: float | None = None
        match outcome:
            case result.Success(httppool.Answer() as answer):
                self.last_answered_at = now
                completion = self._codec.decode_answer(leg.dispatch.leg, answer)
                if completion.slowdown:
                    self._admission.record_slowdown(completion.slowdown, now)
                if completion.verdict is types.Verdict.ANSWERED:
                    duration = now - leg.sent_at
                    if self._crash_history:
                        self._clear_fingerprint(leg)
                elif completion.reason is types.Reason.TARGET_FULL:
                    self._admission.reduce_capacity()
                elif completion.reason is types.Reason.TARGET_MISDIRECTED:
                    self._grants.renew_soon()
                if (
                    completion.verdict is not types.Verdict.ANSWERED
                    or completion.status >= _SERVER_ERROR_STATUS
                ):
                    self._remember_returned(leg)
            case result.Failure(exchanges.Failure() as failure):
                completion = self._handle_failure(leg, failure)
            case _:
                raise AssertionError(outcome)
        if completion.verdict is not types.Verdict.NOT_RUN:
            self._pace_meter.record(
                now - leg.sent_at,
                _usual_duration(leg.dispatch),
                duration is not None
                and completion.status < _SERVER_ERROR_STATUS,
                now,
            )
        self._log(leg, completion, now)
        self.on_finished(completion.verdict, now - leg.sent_at)
        self._finish(leg, completion)
        self._admission.finish(duration, leg.dispatch.latency_objective, now)

    def _remember_returned(self, leg: Leg) -> None:
        now = self._timers.now
        while self._returned_requests:
            request_id, deadline = next(iter(self._returned_requests.items()))
            if deadline >= now:
                break
            del self._returned_requests[request_id]
        self._returned_requests[leg.dispatch.call.request_id] = leg.deadline

    def _handle_failure(
        self, leg: Leg, failure: exchanges.Failure
    ) -> calls.Completion:
        """Returns the completion of a call that the target did not answer."""
        if failure.cause is exchanges.Cause.CLOSED and failure.sent:
            self._record_broken_run(leg)
        if failure.cause is exchanges.Cause.REFUSED:
            self.on_connection_refused()
        if not failure.sent:
            # An exchange is cancelled before it is sent if `_encode` finds that
            # its time has run out.
            is_late = failure.cause is exchanges.Cause.CANCELLED
            return calls.Completion(
                leg.dispatch.leg,
                types.Verdict.NOT_RUN,
                types.Reason.DEADLINE_PASSED
                if is_late
                else types.Reason.TARGET_ABSENT,
            )
        return calls.Completion(
            leg.dispatch.leg,
            types.Verdict.MAY_HAVE_RUN,
            _REASON_BY_CAUSE[failure.cause],
        )

    def _record_broken_run(self, leg: Leg) -> None:
        now = self._timers.now
        since = now - _CRASH_DETECTION_S
        self._broken_runs = [
            run for run in self._broken_runs if run[2] >= since
        ]
        self._broken_runs.append((_fingerprint(leg.dispatch), leg.sent_at, now))

    def _clear_fingerprint(self, leg: Leg) -> None:
        fingerprint = _fingerprint(leg.dispatch)
        if self._crash_history.clear(fingerprint):
            self.on_fingerprint_cleared(fingerprint)

    def not_run(self, leg_id: int, reason: types.Reason) -> calls.Completion:
        """Returns the completion of a leg that is not run.

        Args:
            leg_id: The leg's id.
            reason: Why it is not.
        """
        return self._with_load(
            calls.Completion(leg_id, types.Verdict.NOT_RUN, reason)
        )

    def _with_load(self, completion: calls.Completion) -> calls.Completion:
        return msgspec.structs.replace(
            completion,
            running=self._admission.running,
            waiting=self._admission.waiting,
            slowdown=self._admission.slowdown(self._timers.now),
        )

    def _refuse_queued(self, leg: Leg, refusal: admission.QueueRefusal) -> None:
        self._refuse(leg, types.Reason.QUEUE_FULL, refusal)

    def _refuse(
        self,
        leg: Leg,
        reason: types.Reason,
        refusal: admission.QueueRefusal | None = None,
    ) -> None:
        completion = calls.Completion(
            leg.dispatch.leg,
            types.Verdict.NOT_RUN,
            reason,
            retry_after=refusal.retry_after if refusal is not None else 0.0,
        )
        self._log(leg, completion, self._timers.now, refusal)
        self._finish(leg, completion)

    def _drop(self, leg: Leg) -> None:
        """Forgets a leg.

        Its queued call and its exchange refer back to it, so that its body
        would be kept until a cyclic garbage collection.
        """
        self._legs.pop((leg.sender, leg.dispatch.leg), None)
        leg.charge.release()
        leg.queued_call = None
        leg.exchange = None

    def _finish(self, leg: Leg, completion: calls.Completion) -> None:
        self._drop(leg)
        reply = leg.reply
        leg.reply = None
        if reply is not None:
            reply(self._with_load(completion))

    def _log(
        self,
        leg: Leg,
        completion: calls.Completion,
        now: float,
        refusal: admission.QueueRefusal | None = None,
    ) -> None:
        """Logs the completion of a call.

        Args:
            leg: The leg.
            completion: Its completion.
            now: Monotonic time, seconds.
            refusal: The state of the queue when it refused the call, if it
                did.
        """
        reason = completion.reason
        queue_state: dict[str, int] = {
            "running": self._admission.running,
            "waiting": self._admission.waiting,
        }
        if refusal is not None:
            queue_state = {
                "running": refusal.running,
                "waiting": refusal.waiting,
            }
            queue_state["work_ms"] = round(refusal.expected_duration * 1000)
            if math.isfinite(refusal.expected_wait):
                queue_state["wait_ms"] = round(refusal.expected_wait * 1000)
            if refusal.cold_wait:
                queue_state["cold_wait_ms"] = round(refusal.cold_wait * 1000)
        logs.request_event(
            "call",
            completion.verdict is not types.Verdict.ANSWERED,
            request=leg.dispatch.call.request_id,
            leg=leg.dispatch.leg,
            instance=self._instance,
            verdict=completion.verdict.value,
            reason=reason.value if reason else "",
            status=completion.status,
            ms=round((now - leg.sent_at) * 1000, 1) if leg.sent_at else 0,
            left_ms=round((leg.deadline - now) * 1000),
            slowdown=completion.slowdown,
            **queue_state,
        )


_REASON_BY_CAUSE = {
    exchanges.Cause.REFUSED: types.Reason.TARGET_ABSENT,
    exchanges.Cause.UNREACHABLE: types.Reason.TARGET_ABSENT,
    exchanges.Cause.CLOSED: types.Reason.TARGET_FAILED,
    exchanges.Cause.TIMEOUT: types.Reason.NO_ANSWER,
    exchanges.Cause.TRUNCATED: types.Reason.ANSWER_TRUNCATED,
    exchanges.Cause.MALFORMED: types.Reason.TARGET_FAILED,
    exchanges.Cause.TOO_LARGE: types.Reason.ANSWER_TOO_LARGE,
    exchanges.Cause.CANCELLED: types.Reason.NO_ANSWER,
}


def _usual_duration(dispatch: calls.Dispatch) -> float:
    """Returns a call's time at a target of usual speed, seconds."""
    return _USUAL_RELATIVE_LATENCY * dispatch.latency_objective


def _fingerprint(dispatch: calls.Dispatch) -> str:
    return crashes.fingerprint(dispatch.service, dispatch.call)


def _ignore_fingerprint(fingerprint: str) -> None:
    del fingerprint


def _ignore(verdict: types.Verdict, seconds: float) -> None:
    del verdict, seconds
