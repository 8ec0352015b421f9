"""Limits the requests that a target executes at once and queues the others."""

import collections
from collections.abc import Callable

import msgspec

# Factor on the limit each time the target refuses a request.
_DECREASE_FACTOR = 0.7
# Lower bound of the limit, as a share of the limit that was set.
_MIN_LIMIT_SHARE = 0.1
# A new target gets a share of the limit, which rises to 1 in this time.
_WARM_UP_S = 5.0
_WARM_UP_FIRST_SHARE = 0.25


class QueuedRequest(msgspec.Struct, frozen=True):
    """A request that waits to be sent to the target.

    Attributes:
        deadline: Time at which it is shed, monotonic seconds.
        start: Called when it may be sent to the target.
        shed: Called if it is removed from the queue instead.
        urgent: Whether it goes before those that are not urgent.
        exclusive: Whether it must be the only request at the target.
    """

    deadline: float
    start: Callable[[], None]
    shed: Callable[[], None]
    urgent: bool = True
    exclusive: bool = False


class Limiter:
    """Counts requests in progress at one target, and queues those that wait.

    Exclusive requests go first, then urgent ones. If the queue is full, an
    urgent or exclusive request takes the place of one that is neither. The
    limit is the one that was set, or less while the target warms up or after
    it has refused requests.
    """

    def __init__(self) -> None:
        self._in_progress = 0
        self._max_in_progress = 0
        self._queue_limit = 0
        self._limit_share = 1.0
        self._warm_up_end = 0.0
        self._runs_exclusive = False
        self._exclusive: collections.deque[QueuedRequest] = collections.deque()
        self._urgent: collections.deque[QueuedRequest] = collections.deque()
        self._not_urgent: collections.deque[QueuedRequest] = collections.deque()

    @property
    def in_progress(self) -> int:
        """Number of requests started and not released."""
        return self._in_progress

    @property
    def queued(self) -> int:
        """Number of requests that wait to be started."""
        return sum(len(queue) for queue in self._queues)

    @property
    def _queues(self) -> tuple[collections.deque[QueuedRequest], ...]:
        return (self._exclusive, self._urgent, self._not_urgent)

    def limit(self, now: float) -> int:
        """Returns how many requests may be in progress.

        Args:
            now: Monotonic time, seconds.
        """
        if not self._max_in_progress:
            return 0
        share = self._limit_share
        if now < self._warm_up_end:
            time_left = (self._warm_up_end - now) / _WARM_UP_S
            share = min(share, 1 - (1 - _WARM_UP_FIRST_SHARE) * time_left)
        return max(1, int(self._max_in_progress * share))

    def set_limits(
        self, max_in_progress: int, queue_limit: int, now: float
    ) -> None:
        """Sets the limits.

        A target that was absent before has to warm up.

        Args:
            max_in_progress: Most requests in progress; 0 if the target is
                absent.
            queue_limit: Most requests that may wait.
            now: Monotonic time, seconds.
        """
        if max_in_progress and not self._max_in_progress:
            self._warm_up_end = now + _WARM_UP_S
            self._limit_share = 1.0
        self._max_in_progress = max_in_progress
        self._queue_limit = queue_limit

    def record_overload(self) -> None:
        """Lowers the limit, since the target has refused a request."""
        self._limit_share = max(
            _MIN_LIMIT_SHARE, self._limit_share * _DECREASE_FACTOR
        )

    def record_answer(self) -> None:
        """Raises the limit slowly, since the target has answered."""
        if self._max_in_progress:
            self._limit_share = min(
                1.0, self._limit_share + 1 / (self._max_in_progress * 10)
            )

    def submit(self, request: QueuedRequest, now: float) -> bool:
        """Starts or queues a request.

        Args:
            request: The request.
            now: Monotonic time, seconds.

        Returns:
            False if the queue is full.
        """
        self._shed_late(now)
        full = self.queued >= self._queue_limit
        must_wait = self.queued or not self._may_start(request, now)
        if must_wait and full and not self._shed_one_for(request):
            return False
        self._queue_of(request).append(request)
        self._start_allowed(now)
        return True

    def release(self, now: float) -> None:
        """Ends a request in progress, and starts queued ones."""
        self._in_progress -= 1
        self._runs_exclusive = False
        self._shed_late(now)
        self._start_allowed(now)

    def start_queued(self, now: float) -> None:
        """Starts queued requests up to the limit."""
        self._shed_late(now)
        self._start_allowed(now)

    def shed_all(self) -> None:
        """Sheds all queued requests."""
        for queue in self._queues:
            while queue:
                queue.popleft().shed()

    def _queue_of(
        self, request: QueuedRequest
    ) -> collections.deque[QueuedRequest]:
        if request.exclusive:
            return self._exclusive
        return self._urgent if request.urgent else self._not_urgent

    def _may_start(self, request: QueuedRequest, now: float) -> bool:
        if self._runs_exclusive or self._in_progress >= self.limit(now):
            return False
        return not request.exclusive or not self._in_progress

    def _start_allowed(self, now: float) -> None:
        while queue := next((q for q in self._queues if q), None):
            # An exclusive request blocks all others until it has started.
            if not self._may_start(queue[0], now):
                return
            request = queue.popleft()
            self._in_progress += 1
            self._runs_exclusive = request.exclusive
            request.start()

    def _shed_one_for(self, request: QueuedRequest) -> bool:
        if not (request.urgent or request.exclusive) or not self._not_urgent:
            return False
        self._not_urgent.pop().shed()
        return True

    def _shed_late(self, now: float) -> None:
        for queue in self._queues:
            late = [request for request in queue if request.deadline <= now]
            for request in late:
                queue.remove(request)
                request.shed()
