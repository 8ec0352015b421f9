"""Decides which calls a target runs next, and which it can't run in time.

Answers a target that gets more calls than it has slots: the daemon beside it
holds the queue, so that the target's own queue stays empty and nothing that
is refused has ever reached it.
"""

import heapq
import itertools
import math
from collections.abc import Callable

import msgspec

# A call whose remaining time is less than this part of the usual work would
# be stopped at its deadline with nothing to show.
_LEAST_TIME = 0.5
# How fast the usual time of a call follows what is measured.
_LEARN = 0.05
_FIRST_WORK_S = 0.1
# A target that turns calls away has less room than it says; it comes back.
_BACKOFF = 0.8
_REGAIN = 0.02
_LEAST_SHARE = 0.25
# Least advice on when to come back: sooner than a slot's usual turn is vain.
_LEAST_RETRY_S = 0.05


class Waiting(msgspec.Struct, frozen=True, eq=False):
    """A call that waits for one of the target's slots.

    Attributes:
        rank: 0 goes first.
        deadline: When its answer is of no more use, seconds.
        start: Called when its turn comes.
        refuse: Called with advice on when to come back, seconds, if its
            turn can't come in time.
    """

    rank: int
    deadline: float
    start: Callable[[], None]
    refuse: Callable[[float], None]


class Admission:
    """The queue before one target."""

    def __init__(self) -> None:
        self._capacity = 0
        self._share = 1.0
        self._running = 0
        self._work = _FIRST_WORK_S
        self._order = itertools.count()
        self._queue: list[tuple[int, float, int, Waiting]] = []

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
    def work(self) -> float:
        """Usual time of a call at the target, seconds."""
        return self._work

    def resize(self, capacity: int, now: float) -> None:
        """Sets how many calls the target runs at once; 0 for no target."""
        self._capacity = capacity
        if not capacity:
            self.flush()
        self.pump(now)

    def offer(self, waiting: Waiting, now: float) -> None:
        """Starts a call, queues it, or refuses it at once."""
        if not self._queue and self._running < self.capacity:
            self._running += 1
            waiting.start()
            return
        wait = self.wait_for(waiting.rank)
        if now + wait + self._work * _LEAST_TIME > waiting.deadline:
            waiting.refuse(max(_LEAST_RETRY_S, wait))
            return
        heapq.heappush(
            self._queue,
            (waiting.rank, waiting.deadline, next(self._order), waiting),
        )

    def wait_for(self, rank: int) -> float:
        """Returns how long a call of a rank would wait now, seconds."""
        capacity = self.capacity
        if not capacity:
            return math.inf
        ahead = sum(entry[0] <= rank for entry in self._queue)
        free = capacity - self._running
        turns = ahead + 1 - max(0, free)
        return max(0.0, turns) * self._work / capacity

    def finished(self, worked: float | None, now: float) -> None:
        """Frees a slot, and starts the call whose turn it is.

        Args:
            worked: Seconds that the target took, where it answered.
            now: Monotonic time, seconds.
        """
        self._running -= 1
        if worked is not None:
            self._work += (worked - self._work) * _LEARN
            self._share = min(1.0, self._share + _REGAIN)
        self.pump(now)

    def turned_away(self) -> None:
        """Notes that the target had no room for a call."""
        self._share = max(_LEAST_SHARE, self._share * _BACKOFF)

    def pump(self, now: float) -> None:
        """Starts calls while there are slots, and refuses those too late."""
        while self._queue and self._running < self.capacity:
            waiting = heapq.heappop(self._queue)[-1]
            if now + self._work * _LEAST_TIME > waiting.deadline:
                waiting.refuse(_LEAST_RETRY_S)
                continue
            self._running += 1
            waiting.start()

    def sweep(self, now: float) -> None:
        """Refuses all calls whose turn can no longer come in time."""
        least = now + self._work * _LEAST_TIME
        late = [entry for entry in self._queue if entry[1] < least]
        if not late:
            return
        self._queue = [entry for entry in self._queue if entry[1] >= least]
        heapq.heapify(self._queue)
        for entry in late:
            entry[-1].refuse(max(_LEAST_RETRY_S, self.wait_for(entry[0])))

    def withdraw(self, waiting: Waiting) -> bool:
        """Takes a call out of the queue; returns whether it was there."""
        left = [entry for entry in self._queue if entry[-1] is not waiting]
        if len(left) == len(self._queue):
            return False
        heapq.heapify(left)
        self._queue = left
        return True

    def flush(self) -> None:
        """Refuses all calls that wait."""
        queue = self._queue
        self._queue = []
        for entry in queue:
            entry[-1].refuse(_LEAST_RETRY_S)
