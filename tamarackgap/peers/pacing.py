"""Lets messages that can wait yield to the others on a narrow link.

Answers to calls were ready at their daemon and came a second late, because they
waited behind a few hundred kilobytes of rows that the daemon had just handed to
the connections of all other daemons. So on a link of known rate, a message that
can wait is held back until nearly all that was handed over before has passed.
"""

import collections
from typing import Generic, TypeVar

Item = TypeVar("Item")

# Messages that can wait keep the link busy at most this much longer, so the
# others are hardly later than on an idle link.
MAX_BACKLOG_S = 0.01
# Share of the link that messages which can wait get while others need it all.
_MIN_SHARE = 0.25
# Rows and states that are older than this are read from the table, or have been
# replaced by newer ones.
_MAX_WAIT_S = 2.0
# Size of packet heads of a message, bytes.
_HEADS_BYTES = 60


class Pacer(Generic[Item]):
    """Holds the messages that wait, and when the link will be idle.

    Attributes:
        expired: Number of messages that have waited too long and were dropped.
    """

    def __init__(self, rate: float) -> None:
        """Creates a pacer with an idle link.

        Args:
            rate: Rate of the link, bytes a second.
        """
        self._rate = rate
        self._idle_at = 0.0
        # When the next message that can wait is sent whatever else is.
        self._share_at = 0.0
        # Each with its size and the time from which it has waited.
        self._waiting: collections.deque[tuple[Item, int, float]] = (
            collections.deque()
        )
        self.expired = 0

    @property
    def waiting(self) -> int:
        """Number of messages that wait."""
        return len(self._waiting)

    def record(self, size: int, now: float) -> None:
        """Records a message that could not wait and was sent.

        Args:
            size: Its size, bytes.
            now: Monotonic time, seconds.
        """
        self._idle_at = (
            max(now, self._idle_at) + (size + _HEADS_BYTES) / self._rate
        )

    def add(self, item: Item, size: int, now: float) -> None:
        """Adds a message that can wait; `take` returns it when it is due.

        Args:
            item: The message.
            size: Its size, bytes.
            now: Monotonic time, seconds.
        """
        self._waiting.append((item, size, now))

    def take(self, now: float) -> list[Item]:
        """Removes and returns the messages that are sent now, in order."""
        due = []
        while self._waiting:
            item, size, since = self._waiting[0]
            if now - since > _MAX_WAIT_S:
                self._waiting.popleft()
                self.expired += 1
                continue
            if self._next_at() > now:
                break
            self._waiting.popleft()
            self.record(size, now)
            self._share_at = max(now, self._share_at) + (
                size + _HEADS_BYTES
            ) / (self._rate * _MIN_SHARE)
            due.append(item)
        return due

    def delay(self, now: float) -> float | None:
        """Returns the time until `take` has a message, seconds.

        None if no message waits.
        """
        if not self._waiting:
            return None
        return max(0.0, self._next_at() - now)

    def _next_at(self) -> float:
        """Returns when the first message may be sent, seconds."""
        return min(self._idle_at - MAX_BACKLOG_S, self._share_at)
