"""Keeps a target within its slots, with a bounded queue before it."""

import collections
from collections.abc import Callable

import msgspec


class Waiting(msgspec.Struct, frozen=True):
    """A request that waits for one of the target's slots.

    Attributes:
        deadline: When it is of no more use, seconds.
        start: Called when its turn comes.
        shed: Called if its turn can't come in time.
    """

    deadline: float
    start: Callable[[], None]
    shed: Callable[[], None]


class Limiter:
    """Requests in progress at one target, and those that wait.

    Urgent requests go first, and take the place of others that wait.
    """

    def __init__(self) -> None:
        self._in_progress = 0
        self._limit = 0
        self._queue_limit = 0
        self._urgent: collections.deque[Waiting] = collections.deque()
        self._patient: collections.deque[Waiting] = collections.deque()

    @property
    def in_progress(self) -> int:
        """Number of requests handed over and not finished."""
        return self._in_progress

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._urgent) + len(self._patient)

    @property
    def limit(self) -> int:
        """Most requests in progress."""
        return self._limit

    def resize(self, limit: int, queue_limit: int) -> None:
        """Sets the most requests in progress, and the most that wait."""
        self._limit = limit
        self._queue_limit = queue_limit

    def admit(self, waiting: Waiting, urgent: bool, now: float) -> bool:
        """Starts a request, queues it, or returns False for a full queue."""
        if self._in_progress < self._limit and not self.waiting:
            self._in_progress += 1
            waiting.start()
            return True
        self._shed_late(now)
        if self.waiting >= self._queue_limit and not self._make_room(urgent):
            return False
        (self._urgent if urgent else self._patient).append(waiting)
        return True

    def release(self, now: float) -> None:
        """Ends one request, and starts those that wait."""
        self._in_progress -= 1
        self.pump(now)

    def pump(self, now: float) -> None:
        """Starts waiting requests while slots are free."""
        self._shed_late(now)
        while self._in_progress < self._limit and self.waiting:
            queue = self._urgent or self._patient
            waiting = queue.popleft()
            self._in_progress += 1
            waiting.start()

    def flush(self) -> None:
        """Sheds all that wait."""
        for queue in (self._urgent, self._patient):
            while queue:
                queue.popleft().shed()

    def _make_room(self, urgent: bool) -> bool:
        if not urgent or not self._patient:
            return False
        self._patient.pop().shed()
        return True

    def _shed_late(self, now: float) -> None:
        for queue in (self._urgent, self._patient):
            late = [waiting for waiting in queue if waiting.deadline <= now]
            for waiting in late:
                queue.remove(waiting)
                waiting.shed()
