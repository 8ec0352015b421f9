"""Measures how a target's capacity is used, and by which calls."""

import math

# Half-life of the counts of offered and started calls of each kind.
_SERVED_HALF_LIFE_S = 2.0
# Served shares are rounded to this many steps, so that small differences don't
# override the order by deadlines.
_SHARE_STEPS = 10
# Below this many offered calls a kind has no meaningful served share.
_MIN_OFFERED_CALLS = 5
# Half-life of the measured capacity usage of each rank.
_USAGE_HALF_LIFE_S = 1.0
# Time constant of the moving average of the utilisation.
_UTILISATION_TIME_S = 0.4


class ServedShare:
    """Measures the share of one kind's calls that were started in time."""

    def __init__(self, now: float) -> None:
        self._offered = 0.0
        self._started = 0.0
        self._updated_at = now

    def record_offer(self, now: float) -> None:
        """Counts a call that was offered to the queue."""
        factor = 0.5 ** ((now - self._updated_at) / _SERVED_HALF_LIFE_S)
        self._offered = self._offered * factor + 1
        self._started *= factor
        self._updated_at = now

    def is_offered(self, now: float) -> bool:
        """Returns whether calls of this kind arrive all the time."""
        factor = 0.5 ** ((now - self._updated_at) / _SERVED_HALF_LIFE_S)
        return self._offered * factor >= _MIN_OFFERED_CALLS

    def record_start(self) -> None:
        """Counts a call that was started in time for its soft deadline."""
        self._started += 1

    @property
    def share(self) -> float:
        """Recent share of calls that were started in time, rounded."""
        if self._offered < _MIN_OFFERED_CALLS:
            return 1.0
        return (
            round(self._started / self._offered * _SHARE_STEPS) / _SHARE_STEPS
        )


class CapacityUsage:
    """Measures how much of the capacity the calls of one rank take up."""

    def __init__(self, now: float) -> None:
        self._work_s = 0.0
        self._updated_at = now

    def record_start(self, duration: float, now: float) -> None:
        """Counts a started call with its expected duration in seconds."""
        self._work_s = self._decayed_work(now) + duration
        self._updated_at = now

    def running_calls(self, now: float) -> float:
        """Returns how many calls run on average, by the recent starts."""
        return self._decayed_work(now) * math.log(2) / _USAGE_HALF_LIFE_S

    def _decayed_work(self, now: float) -> float:
        return self._work_s * 0.5 ** (
            (now - self._updated_at) / _USAGE_HALF_LIFE_S
        )


class Utilisation:
    """Averages the calls in progress, divided by the capacity."""

    def __init__(self, now: float) -> None:
        self._sampled_at = now
        self.average = 0.0

    def sample(self, in_progress: int, capacity: int, now: float) -> None:
        """Updates the average; to be called regularly.

        Args:
            in_progress: Number of calls that are queued or run.
            capacity: Number of calls that the target runs at once.
            now: Monotonic time, seconds.
        """
        weight = 1 - math.exp((self._sampled_at - now) / _UTILISATION_TIME_S)
        sample = in_progress / max(1, capacity)
        self.average += (sample - self.average) * weight
        self._sampled_at = now
