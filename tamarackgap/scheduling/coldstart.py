"""Limits how many calls a second a cold target gets.

A target is cold for some seconds after its start, and may turn cold at any
time. It then bears few calls a second and ends its process at many more. Load
that this answers: all that comes to a target while it is cold, above all when
many return at once and their callers with them.

Calls are paced evenly with a small burst, so that an urgent call need not wait
until a second is over. Beside that, the calls of any second are counted,
including those sent before it was known that the target is cold.
"""

import collections
import math

import msgspec

# A target counts by its own clock when calls arrive: a connection may have to
# be made first, and timers fire late. So the calls of this time count as those
# of one second.
_WINDOW_S = 1.1
# Part of the calls that are allowed beyond the rate that is used for a burst.
# The others are left for calls that arrive closer together than they were sent.
_BURST_SHARE = 0.25
# Share of the rate that each rank is assumed to get at least.
_MIN_RANK_SHARE = 0.05


class ColdLimit(msgspec.Struct, frozen=True):
    """What a cold target bears.

    Attributes:
        rate: Calls per second; 0 for no limit.
        overage: By what factor the rate may be exceeded.
        slack: How many calls may come in a second beyond that.
    """

    rate: float = 0.0
    overage: float = 1.0
    slack: float = 0.0

    @property
    def pace(self) -> float:
        """Calls per second that are sent on average."""
        return self.rate * self.overage

    @property
    def burst(self) -> float:
        """Calls that are sent at once after a while without any."""
        return max(1.0, self.slack * _BURST_SHARE)

    @property
    def most(self) -> int:
        """Largest number of calls in any second."""
        return max(1, math.floor(self.pace + self.slack))


class ColdStart:
    """Paces the calls to one target while it is cold.

    Attributes:
        limit: What the target bears while it is cold.
        held_count: Number of calls that had to wait, or were refused, since
            the target was cold.
    """

    def __init__(self) -> None:
        """Creates an instance that limits nothing."""
        self.limit = ColdLimit()
        self.held_count = 0
        # Monotonic time, seconds.
        self._cold_until = float("-inf")
        # When the next call would be due if all came at the pace, seconds.
        self._due_at = float("-inf")
        # Time, seconds, and rank of each call sent within _WINDOW_S.
        self._sent: collections.deque[tuple[float, int]] = collections.deque()

    def set_cold(self, seconds: float, now: float) -> None:
        """Records for how long the target is still cold.

        Args:
            seconds: That time; infinite for a target that is taken to be cold
                until it says otherwise.
            now: Monotonic time, seconds.
        """
        self._cold_until = now + seconds if seconds > 0 else float("-inf")

    def is_limiting(self, now: float) -> bool:
        """Returns whether the target is cold, and its calls are limited."""
        return self.limit.rate > 0 and now < self._cold_until

    def cold_for(self, now: float) -> float:
        """Returns the seconds for which the target is still cold, or 0."""
        return max(0.0, self._cold_until - now)

    def record(self, rank: int, now: float) -> None:
        """Records that a call is sent to the target.

        Args:
            rank: Priority of the call.
            now: Monotonic time, seconds.
        """
        if not self.limit.rate:
            return
        self._forget_before(now - _WINDOW_S)
        self._sent.append((now, rank))
        if now < self._cold_until:
            self._due_at = max(self._due_at, now) + 1 / self.limit.pace

    def may_send(self, now: float) -> bool:
        """Returns whether a call may be sent now."""
        return not self.is_limiting(now) or self._room_at(now) <= now

    def wait(self, ahead: int, rank: int, now: float) -> float:
        """Returns the seconds until a call may be sent.

        Calls of higher priority keep arriving, so what they have used lately
        is subtracted from the pace.

        Args:
            ahead: Number of calls that go before it.
            rank: Its priority.
            now: Monotonic time, seconds.
        """
        if not self.is_limiting(now):
            return 0.0
        self._forget_before(now - _WINDOW_S)
        pace = self.limit.pace
        used = sum(other < rank for _, other in self._sent) / _WINDOW_S
        pace = max(pace - used, pace * _MIN_RANK_SHARE)
        wait = max(0.0, self._room_at(now) - now) + ahead / pace
        return min(wait, self.cold_for(now))

    def _room_at(self, now: float) -> float:
        """Returns when the next call may be sent; now or before for at once."""
        limit = self.limit
        room_at = self._due_at - (limit.burst - 1) / limit.pace
        self._forget_before(now - _WINDOW_S)
        excess = len(self._sent) - limit.most
        if excess >= 0:
            room_at = max(room_at, self._sent[excess][0] + _WINDOW_S)
        return room_at

    def _forget_before(self, time: float) -> None:
        while self._sent and self._sent[0][0] <= time:
            self._sent.popleft()
