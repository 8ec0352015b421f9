"""Measures the load of slots and finds hot keys, as one owner sees them."""

import math

import msgspec

DEFAULT_HALF_LIFE_S = 10.0
_SKETCH_CAPACITY_KEYS = 192
# A slot that was assigned more recently is treated as this old: its first
# request would otherwise look like a high rate.
_MIN_AGE_S = 2.0
_SKETCH_PERIOD_S = 60.0
# A target's measured pace counts as much as this many calls at the usual pace
# that are added to it, until it has executed more.
_PRIOR_CALLS = 8.0
# Half-life of the calls from which a pace is measured.
_PACE_HALF_LIFE_S = 5.0
# Slots of lower weight are dropped from the meter.
_MIN_WEIGHT = 0.001


class HotKey(msgspec.Struct, frozen=True):
    """A key that gets a large part of an owner's requests.

    Attributes:
        key: The key.
        share: Lower bound of its share of the owner's requests, in [0, 1].
    """

    key: str
    share: float


class SlotMeter:
    """Measures requests a second of each slot, with an exponential decay."""

    def __init__(
        self, now: float, half_life: float = DEFAULT_HALF_LIFE_S
    ) -> None:
        """Creates a meter that has counted nothing.

        Args:
            now: Monotonic time, seconds.
            half_life: Time in which the weight of a request halves, seconds.
        """
        self._weights: dict[int, float] = {}
        # Decayed sums of the amounts counted and of their squares.
        self._amounts = 0.0
        self._squared_amounts = 0.0
        self._half_life = half_life
        self._rescaled_at = now
        # Time of the first request, seconds.
        self._first_at = math.inf

    def count(self, slot: int, now: float, amount: float = 1.0) -> None:
        """Counts a request.

        Args:
            slot: Slot of the request.
            now: Monotonic time, seconds.
            amount: Cost of the request; 1 for a usual one.
        """
        # Later requests get a higher weight, instead of earlier ones a lower
        # one, so that counting touches a single slot.
        self._first_at = min(self._first_at, now)
        weight = amount * 2.0 ** ((now - self._rescaled_at) / self._half_life)
        self._weights[slot] = self._weights.get(slot, 0.0) + weight
        self._amounts += weight
        self._squared_amounts += weight * amount

    @property
    def typical_amount(self) -> float:
        """Amount of the requests that make up the load; 1 without any.

        As many requests of this amount as make up a measured load would have
        the same error by chance.
        """
        if not self._amounts:
            return 1.0
        return self._squared_amounts / self._amounts

    def amount_per_request(self, rates: dict[int, float]) -> float:
        """Returns the amount in some rates that stands for a counted request.

        It is the typical amount, or more if so few requests were counted yet
        that a rate rests on fewer of them than one of an old slot would.

        Args:
            rates: Rates of all slots, from `rates`.
        """
        typical = self.typical_amount
        request_count = self._amounts / typical
        if not request_count:
            return typical
        total = sum(rates.values()) * time_constant_s(self._half_life)
        return max(typical, total / request_count)

    def rates(
        self, owned_since: dict[int, float], now: float
    ) -> dict[int, float]:
        """Returns requests a second of each slot.

        Args:
            owned_since: Time since which each slot is served here, monotonic
                seconds. Recent slots were counted for a shorter time, as were
                all slots if the first request came later.
            now: Monotonic time, seconds.
        """
        self._rescale(now)
        return {
            slot: self._weights.get(slot, 0.0)
            / self._unit_weight(now - max(since, min(self._first_at, now)))
            for slot, since in owned_since.items()
        }

    def _rescale(self, now: float) -> None:
        factor = 2.0 ** ((self._rescaled_at - now) / self._half_life)
        self._weights = {
            slot: weight * factor
            for slot, weight in self._weights.items()
            if weight * factor > _MIN_WEIGHT
        }
        self._amounts *= factor
        self._squared_amounts *= factor
        self._rescaled_at = now

    def _unit_weight(self, age: float) -> float:
        """Returns the weight of one request a second over the last `age`."""
        time_constant = time_constant_s(self._half_life)
        min_age = min(_MIN_AGE_S, self._half_life)
        return time_constant * (
            1 - 2.0 ** (-max(age, min_age) / self._half_life)
        )


def time_constant_s(half_life: float) -> float:
    """Returns the time constant of an exponential decay, seconds.

    It is also the total weight of an endless stream of one request a second.

    Args:
        half_life: Half-life, seconds.
    """
    return half_life / math.log(2)


class PaceMeter:
    """Measures how long a target takes for calls, against the usual time.

    Single calls vary a lot, so the pace is the ratio of sums, and the usual
    pace is assumed until there are enough calls.
    """

    def __init__(self, now: float) -> None:
        """Creates a meter of the usual pace.

        Args:
            now: Monotonic time, seconds.
        """
        # Decayed sums, and the time of their last update.
        self._durations = 0.0
        self._usual_durations = 0.0
        self._calls = 0.0
        self._updated_at = now

    def record(
        self,
        duration: float,
        usual_duration: float,
        is_served: bool,
        now: float,
    ) -> None:
        """Records a call that the target has executed.

        A call that failed shows only that it would have taken longer.

        Args:
            duration: Time that the target took, seconds.
            usual_duration: Time that such a call usually takes, seconds.
            is_served: Whether the call was served.
            now: Monotonic time, seconds.
        """
        if not is_served and duration <= usual_duration * self.pace:
            return
        factor = 2.0 ** ((self._updated_at - now) / _PACE_HALF_LIFE_S)
        self._durations = self._durations * factor + duration
        self._usual_durations = self._usual_durations * factor + usual_duration
        self._calls = self._calls * factor + 1
        self._updated_at = now

    @property
    def is_known(self) -> bool:
        """Whether enough calls have been measured for a pace of their own."""
        return self._calls >= _PRIOR_CALLS

    @property
    def pace(self) -> float:
        """Time that calls take here, as a multiple of the usual time."""
        if not self._calls:
            return 1.0
        prior = _PRIOR_CALLS * self._usual_durations / self._calls
        return (self._durations + prior) / (self._usual_durations + prior)


class HotKeySketch:
    """Finds the keys with most requests by the Space-Saving algorithm.

    A key that is not in the full sketch replaces the key with the lowest
    count and starts from that count, which is noted as its possible error.
    A count less its error is therefore never too high.
    """

    def __init__(self, now: float) -> None:
        """Creates an empty sketch.

        Args:
            now: Monotonic time, seconds.
        """
        self._reset(now)

    def _reset(self, now: float) -> None:
        self._counts: dict[str, int] = {}
        self._errors: dict[str, int] = {}
        self._total = 0
        self._started_at = now

    def count(self, key: str, now: float) -> None:
        """Counts a request; the sketch is emptied every minute.

        Args:
            key: Key of the request.
            now: Monotonic time, seconds.
        """
        if now - self._started_at > _SKETCH_PERIOD_S:
            self._reset(now)
        self._total += 1
        if key in self._counts:
            self._counts[key] += 1
            return
        error = 0
        if len(self._counts) >= _SKETCH_CAPACITY_KEYS:
            coldest = min(self._counts, key=self._counts.__getitem__)
            error = self._counts.pop(coldest)
            del self._errors[coldest]
        self._counts[key] = error + 1
        self._errors[key] = error

    def hottest(self, limit: int) -> list[HotKey]:
        """Returns keys that are certainly among the hottest, hottest first.

        Args:
            limit: Largest number of keys to return.
        """
        min_count = 0
        if len(self._counts) >= _SKETCH_CAPACITY_KEYS:
            min_count = min(self._counts.values())
        lower_bounds = {
            key: count - self._errors[key]
            for key, count in self._counts.items()
        }
        certain = [
            key for key, bound in lower_bounds.items() if bound > min_count
        ]
        certain.sort(key=lower_bounds.__getitem__, reverse=True)
        return [
            HotKey(key, round(lower_bounds[key] / self._total, 4))
            for key in certain[:limit]
        ]
