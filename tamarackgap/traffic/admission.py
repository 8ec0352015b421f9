"""Decides which calls a target runs next, and which it can't run in time.

Answers a target that gets more calls than it has slots: the daemon beside it
holds the queue, so that the target's own queue stays empty and nothing that
is refused has ever reached it. Calls that can still be answered within their
aim go before those of the same rank that can't: a late answer is worth
little, and must not make the next one late as well. Among kinds of one rank
the one that was served least goes first, or the one with the shortest aim
would take all there is.
"""

import math
from collections.abc import Callable

import msgspec

# A call whose remaining time is less than this part of the usual work would
# be stopped at its deadline with nothing to show.
_LEAST_TIME = 0.7
# How fast the usual time of a call follows what is measured.
_LEARN = 0.05
# Usual time of a call as a part of its aim, until the first is answered.
_FIRST_SLOWNESS = 0.3
# A target that turns calls away has less room than it says; it comes back.
_BACKOFF = 0.8
_REGAIN = 0.02
_LEAST_SHARE = 0.25
# What became of a kind of call is half forgotten in this time.
_FORTUNE_HALF_LIFE_S = 2.0
# Kinds are told apart by steps of this part of what they were offered, once
# they were offered a few.
_STEPS = 10
_FEW_CALLS = 5
# Least advice on when to come back: sooner than a slot's usual turn is vain.
_LEAST_RETRY_S = 0.05
# Slots that ranks before a call's own take up are half forgotten in this time.
_USAGE_HALF_LIFE_S = 1.0
# What a rank is taken to get at least, as a part of the slots.
_LEAST_LEFT = 0.05
# A late call is kept only if its turn is likely to come in this part of the
# time that it has left.
_LATE_SHARE = 0.6


class Refusal(msgspec.Struct, frozen=True):
    """Why a call is not run, as things stood when that was decided.

    Attributes:
        retry_after: When there is likely to be room, seconds from then.
        expected_wait: How long it would have waited, seconds; infinite where
            there is no target.
        expected_duration: How long the target usually takes for such a call,
            seconds.
        running: Calls at the target.
        waiting: Calls in the queue, this one included.
    """

    retry_after: float
    expected_wait: float
    expected_duration: float
    running: int
    waiting: int


class QueuedCall(msgspec.Struct, frozen=True, eq=False):
    """A call that waits for one of the target's slots.

    Attributes:
        rank: 0 goes first.
        latency_objective: Time within which an answer is of full use, seconds;
            usual work is taken to be in proportion to it.
        soft_deadline: When an answer is no longer of full use, seconds.
        deadline: When its answer is of no more use, seconds.
        start: Called when its turn comes.
        refuse: Called with the reason, if its turn can't come in time.
    """

    rank: int
    latency_objective: float
    soft_deadline: float
    deadline: float
    start: Callable[[], None]
    refuse: Callable[[Refusal], None]


class _Fortune:
    """How many calls of one kind were started while they could be in time."""

    def __init__(self, now: float) -> None:
        self._offered = 0.0
        self._started = 0.0
        self._at = now

    def offered(self, now: float) -> None:
        """Counts a call that came."""
        factor = 0.5 ** ((now - self._at) / _FORTUNE_HALF_LIFE_S)
        self._offered = self._offered * factor + 1
        self._started *= factor
        self._at = now

    def started(self) -> None:
        """Counts a call that was started in time."""
        self._started += 1

    @property
    def share(self) -> float:
        """The part that was started in time, in steps."""
        if self._offered < _FEW_CALLS:
            return 1.0
        return round(self._started / self._offered * _STEPS) / _STEPS


class _Usage:
    """Slots that one rank takes up."""

    def __init__(self, now: float) -> None:
        self._work = 0.0
        self._at = now

    def started(self, work: float, now: float) -> None:
        """Counts a call, with its likely time, seconds."""
        self._work = self._left(now) + work
        self._at = now

    def slots(self, now: float) -> float:
        """Returns how many slots it takes up, of late."""
        return self._left(now) * math.log(2) / _USAGE_HALF_LIFE_S

    def _left(self, now: float) -> float:
        return self._work * 0.5 ** ((now - self._at) / _USAGE_HALF_LIFE_S)


class AdmissionQueue:
    """The queue before one target."""

    def __init__(self) -> None:
        self._fortunes: dict[tuple[int, float], _Fortune] = {}
        self._usage: dict[int, _Usage] = {}
        self._capacity = 0
        self._share = 1.0
        self._running = 0
        self._slowness = 0.0
        self._queue: list[QueuedCall] = []

    @property
    def running(self) -> int:
        """Number of calls at the target."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of calls that wait."""
        return len(self._queue)

    @property
    def capacity(self) -> int:
        """Most calls at the target at once."""
        if not self._capacity:
            return 0
        return max(1, round(self._capacity * self._share))

    @property
    def relative_latency(self) -> float:
        """Usual time of a call as a part of its aim; 0 where none ran."""
        return self._slowness

    def expected_duration(self, latency_objective: float) -> float:
        """Returns the usual time of a call with an aim, seconds."""
        return (self._slowness or _FIRST_SLOWNESS) * latency_objective

    def resize(self, capacity: int, now: float) -> None:
        """Sets how many calls the target runs at once; 0 for no target."""
        self._capacity = capacity
        if not capacity:
            self.refuse_all()
        self.start_waiting(now)

    def reset_estimates(self) -> None:
        """Forgets how fast the target is: it is another one."""
        self._slowness = 0.0
        self._share = 1.0

    def offer(self, waiting: QueuedCall, now: float) -> None:
        """Starts a call, queues it, or refuses it at once."""
        self._fortune(waiting, now).offered(now)
        if not self._queue and self._running < self.capacity:
            self._start(waiting, now)
            return
        wait = self._wait_for(waiting, now)
        self._queue.append(waiting)
        if not self._is_worth_it(waiting, wait, now):
            self._turn_down(waiting, self._advice(waiting, now), wait)
            return
        self.start_waiting(now)

    def finish(
        self, worked: float | None, latency_objective: float, now: float
    ) -> None:
        """Frees a slot, and starts the call whose turn it is.

        Args:
            worked: Seconds that the target took, where it answered.
            latency_objective: The call's aim, seconds.
            now: Monotonic time, seconds.
        """
        self._running -= 1
        if worked is not None:
            seen = worked / latency_objective
            if self._slowness:
                self._slowness += (seen - self._slowness) * _LEARN
            else:
                self._slowness = seen
            self._share = min(1.0, self._share + _REGAIN)
        self.start_waiting(now)

    def reduce_capacity(self) -> None:
        """Notes that the target had no room for a call."""
        self._share = max(_LEAST_SHARE, self._share * _BACKOFF)

    def start_waiting(self, now: float) -> None:
        """Starts calls while there are slots, and refuses those too late."""
        while self._queue and self._running < self.capacity:
            waiting = min(self._queue, key=lambda w: self._order(w, now))
            if not self._fits(waiting, now):
                self._turn_down(waiting, _LEAST_RETRY_S, 0.0)
                continue
            self._queue.remove(waiting)
            self._start(waiting, now)

    def refuse_late(self, now: float) -> None:
        """Refuses all calls whose turn is not likely to come in time."""
        # The work of all calls before one is summed up on the way.
        ahead = 0.0
        left: dict[int, float] = {}
        for waiting in sorted(self._queue, key=lambda w: self._order(w, now)):
            if waiting.rank not in left:
                left[waiting.rank] = self._left_for(waiting.rank, now)
            work = self.expected_duration(waiting.latency_objective)
            wait = (ahead + work) / left[waiting.rank]
            if self._is_worth_it(waiting, wait, now):
                ahead += work
            else:
                self._turn_down(waiting, self._advice(waiting, now), wait)

    def withdraw(self, waiting: QueuedCall) -> bool:
        """Takes a call out of the queue; returns whether it was there."""
        if waiting not in self._queue:
            return False
        self._queue.remove(waiting)
        return True

    def refuse_all(self) -> None:
        """Refuses all calls that wait."""
        while self._queue:
            self._turn_down(self._queue[0], _LEAST_RETRY_S, math.inf)

    def _turn_down(
        self, waiting: QueuedCall, retry_after: float, wait: float
    ) -> None:
        refusal = Refusal(
            retry_after,
            wait,
            self.expected_duration(waiting.latency_objective),
            self._running,
            len(self._queue),
        )
        self._queue.remove(waiting)
        waiting.refuse(refusal)

    def _start(self, waiting: QueuedCall, now: float) -> None:
        if not self._is_late(waiting, now):
            self._fortune(waiting, now).started()
        usage = self._usage.get(waiting.rank)
        if usage is None:
            usage = self._usage[waiting.rank] = _Usage(now)
        usage.started(self.expected_duration(waiting.latency_objective), now)
        self._running += 1
        waiting.start()

    def _fortune(self, waiting: QueuedCall, now: float) -> _Fortune:
        kind = (waiting.rank, waiting.latency_objective)
        fortune = self._fortunes.get(kind)
        if fortune is None:
            fortune = self._fortunes[kind] = _Fortune(now)
        return fortune

    def _is_late(self, waiting: QueuedCall, now: float) -> bool:
        return (
            now + self.expected_duration(waiting.latency_objective)
            > waiting.soft_deadline
        )

    def _order(
        self, waiting: QueuedCall, now: float
    ) -> tuple[int, bool, float, float]:
        late = self._is_late(waiting, now)
        share = self._fortune(waiting, now).share
        due = waiting.deadline if late else waiting.soft_deadline
        return (waiting.rank, late, share, due)

    def _wait_for(self, waiting: QueuedCall, now: float) -> float:
        """Returns how long a call is likely to wait from now, seconds."""
        capacity = self.capacity
        if not capacity:
            return math.inf
        own = self._order(waiting, now)
        ahead = sum(
            self.expected_duration(other.latency_objective)
            for other in self._queue
            if other is not waiting and self._order(other, now) < own
        )
        # A slot falls free once a part of the work has been done.
        return (
            ahead + self.expected_duration(waiting.latency_objective)
        ) / self._left_for(waiting.rank, now)

    def _left_for(self, rank: int, now: float) -> float:
        """Returns the slots that the ranks before one leave to it."""
        # Calls of the ranks before it go on to come.
        before = sum(
            usage.slots(now)
            for other, usage in self._usage.items()
            if other < rank
        )
        capacity = max(1, self.capacity)
        return max(capacity - before, capacity * _LEAST_LEFT)

    def _advice(self, waiting: QueuedCall, now: float) -> float:
        """Returns when there is likely to be room for such a call, seconds."""
        ahead = sum(
            self.expected_duration(other.latency_objective)
            for other in self._queue
            if other is not waiting and other.rank <= waiting.rank
        )
        return max(_LEAST_RETRY_S, ahead / self._left_for(waiting.rank, now))

    def _fits(self, waiting: QueuedCall, now: float) -> bool:
        least = self.expected_duration(waiting.latency_objective) * _LEAST_TIME
        return now + least <= waiting.deadline

    def _is_worth_it(
        self, waiting: QueuedCall, wait: float, now: float
    ) -> bool:
        """Returns whether a call's turn is likely to come in time."""
        left = (
            waiting.deadline
            - now
            - self.expected_duration(waiting.latency_objective) * _LEAST_TIME
        )
        if (
            now + wait + self.expected_duration(waiting.latency_objective)
            > waiting.soft_deadline
        ):
            # Others that can be in time will come before it.
            left *= _LATE_SHARE
        return wait <= left
