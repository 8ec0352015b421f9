"""Decides which calls the local target runs next and which are refused.

When a target gets more calls than it can run at once, its daemon keeps the
queue. The target's own queue stays empty, and a call that is refused has never
reached the target.

Within a rank, calls that a target makes for a request that it runs go first,
since that run waits for them. Then come calls that can still be answered within
their latency objective: a late answer is worth little and must not delay the
next one as well. Among kinds of calls of one rank, the kind with the smallest
served share goes first; otherwise the kind with the shortest objective would
get all of the capacity.
"""

import math
from collections.abc import Callable

import msgspec

from tamarackgap.scheduling import coldstart, slowdowns, usage

# A call is queued as one in time only if it could also wait for this multiple
# of the expected time: one that is refused at once can come back in time.
_WAIT_CAUTION = 1.5
# A call's duration seldom exceeds the usual one by more mean differences.
_LONG_DEVIATIONS = 2.0
# A long duration counts as at most this share of the latency objective, since
# else no call would be in time.
_MAX_LONG_SHARE = 0.7
# A call with less time left than this share of its expected duration would be
# stopped at its deadline without an answer.
_MIN_DURATION_SHARE = 0.7
# Weight of a new measurement in the moving average of the relative latency.
_LATENCY_WEIGHT = 0.05
# Relative latency that is assumed until the target has answered a call.
_INITIAL_RELATIVE_LATENCY = 0.3
# A target that reports that it is full has less room than it announced. Each
# such report multiplies the used share of its capacity by _CAPACITY_BACKOFF,
# each answered call adds _CAPACITY_RECOVERY.
_CAPACITY_BACKOFF = 0.8
_CAPACITY_RECOVERY = 0.02
_MIN_CAPACITY_SHARE = 0.25
# A caller that retried sooner would hardly find capacity free.
_MIN_RETRY_AFTER_S = 0.05
# Span for which the slowdown is reported to other daemons.
_SLOWDOWN_REPORT_S = 0.25
# Share of the capacity that each rank is assumed to get at least.
_MIN_RANK_SHARE = 0.05
# A call leaves the last free slot to more urgent calls if these would wait for
# more than this share of their latency objective until a slot is free again.
_MAX_URGENT_WAIT_SHARE = 0.5
# A call that is going to miss its soft deadline stays in the queue only if it
# is expected to start within this share of the time left to its deadline:
# calls that arrive later and can meet theirs will go before it.
_LATE_WAIT_SHARE = 0.22


class QueueRefusal(msgspec.Struct, frozen=True):
    """Holds the state of the queue at the time a call was refused.

    Attributes:
        retry_after: Seconds until there is likely to be room for such a call.
        expected_wait: Seconds that the call would have waited; infinite if
            there is no target.
        expected_duration: Seconds that the target usually takes for such a
            call.
        running: Number of calls at the target.
        waiting: Number of calls in the queue, including the refused one.
        cold_wait: Seconds that the call would have waited since the target is
            cold.
    """

    retry_after: float
    expected_wait: float
    expected_duration: float
    running: int
    waiting: int
    cold_wait: float = 0.0


class QueuedCall(msgspec.Struct, frozen=True, eq=False):
    """Holds a call that waits until the target can run it.

    Attributes:
        rank: Priority of the call; 0 goes first.
        latency_objective: Seconds within which an answer is of full use. The
            expected duration of a call is taken to be proportional to it.
        soft_deadline: Monotonic time after which an answer is no longer of
            full use, seconds.
        deadline: Monotonic time after which an answer is of no use, seconds.
        start: Called when the call is to be sent to the target.
        refuse: Called instead of `start` if the call can't start in time.
        is_nested: Whether a target sent it for a request that it runs, which
            fails with it.
    """

    rank: int
    latency_objective: float
    soft_deadline: float
    deadline: float
    start: Callable[[], None]
    refuse: Callable[[QueueRefusal], None]
    is_nested: bool = False


class AdmissionQueue:
    """Queues the calls for one target and limits how many run at once.

    Attributes:
        cold: Limits how many calls a second a cold target gets.
    """

    def __init__(self) -> None:
        self.cold = coldstart.ColdStart()
        # A kind is a rank and a latency objective.
        self._share_by_kind: dict[tuple[int, float], usage.ServedShare] = {}
        self._usage_by_rank: dict[int, usage.CapacityUsage] = {}
        self._capacity = 0
        # Share of the capacity that is used.
        self._capacity_share = 1.0
        self._running = 0
        self._relative_latency = 0.0
        # Mean difference of a call's relative latency from the usual one.
        self._latency_deviation = 0.0
        self._slowdown = slowdowns.Slowdown()
        self._queue: list[QueuedCall] = []

    @property
    def running(self) -> int:
        """Number of calls that the target runs."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of calls in the queue."""
        return len(self._queue)

    @property
    def capacity(self) -> int:
        """Number of calls that the target may run at once; 0 for no target."""
        if not self._capacity:
            return 0
        return max(1, round(self._capacity * self._capacity_share))

    def offered_capacity(self, now: float) -> int:
        """Returns the capacity that other daemons may count on.

        A cold target gets few calls a second, so that fewer run at once than
        it has room for.

        Args:
            now: Monotonic time, seconds.
        """
        if not self.cold.is_limiting(now):
            return self.capacity
        duration = max(
            (
                self.expected_duration(objective, now)
                for _, objective in self._share_by_kind
            ),
            default=0.0,
        )
        bearable = math.floor(self.cold.limit.pace * duration)
        return min(self.capacity, max(1, bearable))

    @property
    def relative_latency(self) -> float:
        """Usual duration of a call divided by its latency objective.

        It is 0 until the target has answered a call.
        """
        return self._relative_latency

    def expected_duration(self, latency_objective: float, now: float) -> float:
        """Returns the duration of a call that starts now, in seconds.

        Args:
            latency_objective: The call's latency objective, seconds.
            now: Monotonic time, seconds.
        """
        usual = (
            self._relative_latency or _INITIAL_RELATIVE_LATENCY
        ) * latency_objective
        return usual * self._slowdown.during(usual, now)

    def _longest_duration(self, latency_objective: float, now: float) -> float:
        """Returns the duration that few calls exceed, in seconds.

        Where that is most of the objective, calls that have just arrived must
        still be told from those that have waited.
        """
        usual = self.expected_duration(latency_objective, now)
        if not self._relative_latency:
            return usual
        deviation = self._latency_deviation / self._relative_latency
        longest = usual * (1 + _LONG_DEVIATIONS * deviation)
        return max(usual, min(longest, latency_objective * _MAX_LONG_SHARE))

    def record_slowdown(self, slowdown: float, now: float) -> None:
        """Records how long work takes at the target at this moment.

        Args:
            slowdown: Multiple of the usual time.
            now: Monotonic time, seconds.
        """
        self._slowdown.record(slowdown, now)

    def slowdown(self, now: float) -> float:
        """Returns how long work takes at the target in the next moments.

        Args:
            now: Monotonic time, seconds.
        """
        return self._slowdown.during(_SLOWDOWN_REPORT_S, now)

    def resize(self, capacity: int, now: float) -> None:
        """Sets the target's capacity.

        Args:
            capacity: Calls that the target runs at once; 0 for no target, which
                refuses all queued calls.
            now: Monotonic time, seconds.
        """
        self._capacity = capacity
        if not capacity:
            self.refuse_all(now)
        self.start_waiting(now)

    def reset_estimates(self) -> None:
        """Discards the measurements of a target that has been replaced."""
        self._relative_latency = 0.0
        self._latency_deviation = 0.0
        self._capacity_share = 1.0
        self._slowdown = slowdowns.Slowdown()

    def submit(self, call: QueuedCall, now: float) -> None:
        """Starts a call, queues it or refuses it at once."""
        self._served_share(call, now).record_offer(now)
        if (
            not self._queue
            and self._running < self.capacity
            and self._leaves_room(call, now)
            and self.cold.may_send(now)
        ):
            self._start(call, now)
            return
        wait = max(self._expected_wait(call, now), self._cold_wait(call, now))
        self._queue.append(call)
        if not self.cold.may_send(now):
            self.cold.held_count += 1
        if not self._can_start_in_time(call, wait, now, _WAIT_CAUTION):
            self._refuse(call, self._retry_after(call, now), wait, now)
            return
        self.start_waiting(now)

    def finish(
        self, duration: float | None, latency_objective: float, now: float
    ) -> None:
        """Records that a call has ended and starts the next one.

        Args:
            duration: Seconds that the target took; None if it did not answer.
            latency_objective: The call's latency objective, seconds.
            now: Monotonic time, seconds.
        """
        self._running -= 1
        if duration is not None:
            measured = (
                duration
                / self._slowdown.during(duration, now)
                / latency_objective
            )
            if self._relative_latency:
                difference = measured - self._relative_latency
                self._relative_latency += difference * _LATENCY_WEIGHT
                self._latency_deviation += (
                    abs(difference) - self._latency_deviation
                ) * _LATENCY_WEIGHT
            else:
                self._relative_latency = measured
            self._capacity_share = min(
                1.0, self._capacity_share + _CAPACITY_RECOVERY
            )
        self.start_waiting(now)

    def reduce_capacity(self) -> None:
        """Uses less of the target's capacity after it reported to be full."""
        self._capacity_share = max(
            _MIN_CAPACITY_SHARE, self._capacity_share * _CAPACITY_BACKOFF
        )

    def start_waiting(self, now: float) -> None:
        """Starts queued calls while capacity is free.

        Calls whose turn comes too late for their deadline are refused.
        """
        while (
            self._queue
            and self._running < self.capacity
            and self.cold.may_send(now)
        ):
            startable = [
                call for call in self._queue if self._leaves_room(call, now)
            ]
            if not startable:
                return
            call = min(startable, key=lambda c: self._sort_key(c, now))
            if not self._can_finish(call, now):
                self._refuse(call, _MIN_RETRY_AFTER_S, 0.0, now)
                continue
            self._queue.remove(call)
            self._start(call, now)

    def _leaves_room(self, call: QueuedCall, now: float) -> bool:
        """Returns whether urgent calls find room soon if a call starts now.

        Where calls take long at a target of few slots, no slot may get free for
        longer than a short call can wait.
        """
        capacity = self.capacity
        if self._running + 1 < capacity or capacity == 1:
            return True
        time_to_free_slot = (
            self.expected_duration(call.latency_objective, now) / capacity
        )
        return not any(
            rank < call.rank
            and time_to_free_slot > objective * _MAX_URGENT_WAIT_SHARE
            and served.is_offered(now)
            for (rank, objective), served in self._share_by_kind.items()
        )

    def refuse_late(self, now: float) -> None:
        """Refuses the queued calls that are not likely to start in time."""
        # Expected duration of the calls that go before the present one.
        ahead = 0.0
        calls_ahead = 0
        # By rank.
        available: dict[int, float] = {}
        for call in sorted(self._queue, key=lambda c: self._sort_key(c, now)):
            if call.rank not in available:
                available[call.rank] = self._available_capacity(call.rank, now)
            duration = self.expected_duration(call.latency_objective, now)
            wait = max(
                (ahead + duration) / available[call.rank],
                self.cold.wait(calls_ahead, call.rank, now),
            )
            if self._can_start_in_time(call, wait, now):
                ahead += duration
                calls_ahead += 1
            else:
                self._refuse(call, self._retry_after(call, now), wait, now)
        if self.cold.is_limiting(now):
            # No end of a call says that the next one may be sent.
            self.start_waiting(now)

    def _cold_wait(self, call: QueuedCall, now: float) -> float:
        """Returns the seconds that a call waits since the target is cold."""
        if not self.cold.is_limiting(now):
            return 0.0
        own = self._sort_key(call, now)
        ahead = sum(
            other is not call and self._sort_key(other, now) <= own
            for other in self._queue
        )
        return self.cold.wait(ahead, call.rank, now)

    def withdraw(self, call: QueuedCall) -> bool:
        """Removes a call from the queue and returns whether it was there."""
        if call not in self._queue:
            return False
        self._queue.remove(call)
        return True

    def refuse_all(self, now: float) -> None:
        """Refuses all queued calls."""
        while self._queue:
            self._refuse(self._queue[0], _MIN_RETRY_AFTER_S, math.inf, now)

    def _refuse(
        self, call: QueuedCall, retry_after: float, wait: float, now: float
    ) -> None:
        refusal = QueueRefusal(
            retry_after,
            wait,
            self.expected_duration(call.latency_objective, now),
            self._running,
            len(self._queue),
            self._cold_wait(call, now),
        )
        self._queue.remove(call)
        call.refuse(refusal)

    def _start(self, call: QueuedCall, now: float) -> None:
        if not self._is_late(call, now):
            self._served_share(call, now).record_start()
        used = self._usage_by_rank.get(call.rank)
        if used is None:
            used = self._usage_by_rank[call.rank] = usage.CapacityUsage(now)
        used.record_start(
            self.expected_duration(call.latency_objective, now), now
        )
        self._running += 1
        self.cold.record(call.rank, now)
        call.start()

    def _served_share(self, call: QueuedCall, now: float) -> usage.ServedShare:
        kind = (call.rank, call.latency_objective)
        served = self._share_by_kind.get(kind)
        if served is None:
            served = self._share_by_kind[kind] = usage.ServedShare(now)
        return served

    def _is_late(self, call: QueuedCall, now: float) -> bool:
        """Returns whether a call that starts now may miss its soft deadline.

        Calls last unlike times. Judged by the usual one, those at the edge
        would go first, and half of them would be late.
        """
        return (
            now + self._longest_duration(call.latency_objective, now)
            > call.soft_deadline
        )

    def _sort_key(
        self, call: QueuedCall, now: float
    ) -> tuple[int, bool, bool, float, float]:
        """Returns the sort key of a call; the smallest starts next."""
        late = self._is_late(call, now)
        share = self._served_share(call, now).share
        # Of late calls, the one that has waited least may still be in time.
        urgency = -call.soft_deadline if late else call.soft_deadline
        return (call.rank, not call.is_nested, late, share, urgency)

    def _expected_wait(self, call: QueuedCall, now: float) -> float:
        """Returns the seconds that a call is likely to wait from now."""
        capacity = self.capacity
        if not capacity:
            return math.inf
        own = self._sort_key(call, now)
        ahead = sum(
            self.expected_duration(other.latency_objective, now)
            for other in self._queue
            if other is not call and self._sort_key(other, now) < own
        )
        # Even with no call ahead, a running one has to end first; with n
        # running, that takes about an n-th of a call's duration.
        return (
            ahead + self.expected_duration(call.latency_objective, now)
        ) / self._available_capacity(call.rank, now)

    def _available_capacity(self, rank: int, now: float) -> float:
        """Returns the capacity that calls of higher priority leave to a rank.

        Calls of higher priority keep arriving, so their recent usage is
        subtracted even when none of them is queued.
        """
        used = sum(
            rank_usage.running_calls(now)
            for other, rank_usage in self._usage_by_rank.items()
            if other < rank
        )
        capacity = max(1, self.capacity)
        return max(capacity - used, capacity * _MIN_RANK_SHARE)

    def _retry_after(self, call: QueuedCall, now: float) -> float:
        """Returns the seconds until there is likely to be room for a call."""
        ahead = sum(
            self.expected_duration(other.latency_objective, now)
            for other in self._queue
            if other is not call and other.rank <= call.rank
        )
        return max(
            _MIN_RETRY_AFTER_S,
            ahead / self._available_capacity(call.rank, now),
            self._cold_wait(call, now),
        )

    def _can_finish(self, call: QueuedCall, now: float) -> bool:
        """Returns whether a call that starts now may end by its deadline."""
        shortest = (
            self.expected_duration(call.latency_objective, now)
            * _MIN_DURATION_SHARE
        )
        return now + shortest <= call.deadline

    def _can_start_in_time(
        self, call: QueuedCall, wait: float, now: float, caution: float = 1.0
    ) -> bool:
        """Returns whether a call is likely to start in time.

        Args:
            call: The call.
            wait: Seconds that it is expected to wait.
            now: Monotonic time, seconds.
            caution: Multiple of the wait after which it must not be late.
        """
        longest_wait = (
            call.deadline
            - now
            - self.expected_duration(call.latency_objective, now)
            * _MIN_DURATION_SHARE
        )
        if not call.is_nested and (
            now
            + wait * caution
            + self._longest_duration(call.latency_objective, now)
            > call.soft_deadline
        ):
            longest_wait *= _LATE_WAIT_SHARE
        return wait <= longest_wait
