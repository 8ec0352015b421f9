"""Keeps a target within its slots, with a bounded queue before it."""

import collections
from collections.abc import Callable

import msgspec

# A target refuses or slows down: less at once. It copes: slowly more.
_DECREASE = 0.7
_LEAST_SHARE = 0.1
_RAMP_S = 5.0
_RAMP_START = 0.25


class QueuedRequest(msgspec.Struct, frozen=True):
    """A request that waits for one of the target's slots.

    Attributes:
        deadline: When it is of no more use, seconds.
        start: Called when its turn comes.
        shed: Called if its turn can't come in time.
        urgent: Whether it goes before others.
        exclusive: Whether nothing else may run beside it.
    """

    deadline: float
    start: Callable[[], None]
    shed: Callable[[], None]
    urgent: bool = True
    exclusive: bool = False


class Limiter:
    """Requests in progress at one target, and those that wait.

    Urgent requests go first, and take the place of others that wait. The
    limit is the target's own, less while it is cold or refuses work.
    """

    def __init__(self) -> None:
        self._in_progress = 0
        self._most = 0
        self._queue_limit = 0
        self._share = 1.0
        self._warm_at = 0.0
        self._is_alone = False
        self._alone: collections.deque[QueuedRequest] = collections.deque()
        self._urgent: collections.deque[QueuedRequest] = collections.deque()
        self._patient: collections.deque[QueuedRequest] = collections.deque()

    @property
    def in_progress(self) -> int:
        """Number of requests handed over and not finished."""
        return self._in_progress

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return sum(len(queue) for queue in self._queues)

    @property
    def _queues(self) -> tuple[collections.deque[QueuedRequest], ...]:
        return (self._alone, self._urgent, self._patient)

    def limit(self, now: float) -> int:
        """Returns the most requests in progress."""
        if not self._most:
            return 0
        share = self._share
        if now < self._warm_at:
            cold = (self._warm_at - now) / _RAMP_S
            share = min(share, 1 - (1 - _RAMP_START) * cold)
        return max(1, int(self._most * share))

    def set_limits(self, most: int, queue_limit: int, now: float) -> None:
        """Sets the target's own limit, and the most requests that wait.

        A target that was not there before starts cold.
        """
        if most and not self._most:
            self._warm_at = now + _RAMP_S
            self._share = 1.0
        self._most = most
        self._queue_limit = queue_limit

    def record_overload(self) -> None:
        """Notes that the target had too much to do."""
        self._share = max(_LEAST_SHARE, self._share * _DECREASE)

    def record_answer(self) -> None:
        """Notes that the target coped."""
        if self._most:
            self._share = min(1.0, self._share + 1 / (self._most * 10))

    def admit(self, waiting: QueuedRequest, now: float) -> bool:
        """Starts a request, queues it, or returns False for a full queue."""
        self._shed_late(now)
        full = self.queued >= self._queue_limit
        must_wait = self.queued or not self._may_start(waiting, now)
        if must_wait and full and not self._make_room(waiting):
            return False
        self._queue_of(waiting).append(waiting)
        self._pump(now)
        return True

    def release(self, now: float) -> None:
        """Ends one request, and starts those that wait."""
        self._in_progress -= 1
        self._is_alone = False
        self._shed_late(now)
        self._pump(now)

    def start_queued(self, now: float) -> None:
        """Starts waiting requests while slots are free."""
        self._shed_late(now)
        self._pump(now)

    def shed_all(self) -> None:
        """Sheds all that wait."""
        for queue in self._queues:
            while queue:
                queue.popleft().shed()

    def _queue_of(
        self, waiting: QueuedRequest
    ) -> collections.deque[QueuedRequest]:
        if waiting.exclusive:
            return self._alone
        return self._urgent if waiting.urgent else self._patient

    def _may_start(self, waiting: QueuedRequest, now: float) -> bool:
        if self._is_alone or self._in_progress >= self.limit(now):
            return False
        return not waiting.exclusive or not self._in_progress

    def _pump(self, now: float) -> None:
        while queue := next((q for q in self._queues if q), None):
            # One that must run alone holds up the rest until it can.
            if not self._may_start(queue[0], now):
                return
            waiting = queue.popleft()
            self._in_progress += 1
            self._is_alone = waiting.exclusive
            waiting.start()

    def _make_room(self, waiting: QueuedRequest) -> bool:
        if not (waiting.urgent or waiting.exclusive) or not self._patient:
            return False
        self._patient.pop().shed()
        return True

    def _shed_late(self, now: float) -> None:
        for queue in self._queues:
            late = [waiting for waiting in queue if waiting.deadline <= now]
            for waiting in late:
                queue.remove(waiting)
                waiting.shed()
