"""Estimates how long work takes at a target now, compared with usual.

Targets share their machines with others. Some say with each answer how long
work takes there at this moment, which changes within tenths of a second. A run
may last longer than one such moment: its begin goes by the last figure, the
rest by the average of late.
"""

import math

# Half-life of what one figure says about the time after it, or before it.
_FIGURE_HALF_LIFE_S = 0.2
# Half-life of the average.
_AVERAGE_HALF_LIFE_S = 2.0
# Figures outside of these are cut off; a wrong one must not stop all calls.
_MIN_SLOWDOWN = 0.2
_MAX_SLOWDOWN = 20.0


class Slowdown:
    """Follows how long work takes at one target, 1.0 as usual."""

    def __init__(self) -> None:
        self._average = 1.0
        self._last = 1.0
        self._recorded_at: float | None = None

    def record(self, slowdown: float, now: float) -> None:
        """Records what the target says of this moment.

        Args:
            slowdown: Time that work takes, as a multiple of the usual time.
            now: Monotonic time, seconds.
        """
        slowdown = min(_MAX_SLOWDOWN, max(_MIN_SLOWDOWN, slowdown))
        if self._recorded_at is None:
            self._average = slowdown
        else:
            # Each figure stands for the time since the one before.
            kept = 0.5 ** ((now - self._recorded_at) / _AVERAGE_HALF_LIFE_S)
            self._average = self._average * kept + slowdown * (1 - kept)
        self._last = slowdown
        self._recorded_at = now

    def at(self, now: float) -> float:
        """Returns how long work takes at this moment.

        Args:
            now: Monotonic time, seconds.
        """
        if self._recorded_at is None:
            return 1.0
        weight = 0.5 ** ((now - self._recorded_at) / _FIGURE_HALF_LIFE_S)
        return self._average + (self._last - self._average) * weight

    def during(self, duration: float, now: float) -> float:
        """Returns how long work takes in a span of time beside this moment.

        Args:
            duration: Length of the span that begins or ends now, seconds.
            now: Monotonic time, seconds.
        """
        decay = duration / _FIGURE_HALF_LIFE_S * math.log(2)
        if decay <= 0:
            return self.at(now)
        weight = (1 - math.exp(-decay)) / decay
        return self._average + (self.at(now) - self._average) * weight
