"""How much load slots and keys bring, as this owner sees it."""

import math

import msgspec

HALF_LIFE_S = 10.0
# The sketch keeps so many keys.
_SKETCH_KEYS = 192
# Of a slot that came just now, one request must not look like a flood.
_LEAST_AGE_S = 2.0
_SKETCH_KEPT_S = 60.0
_FORGOTTEN = 0.001


class HotKey(msgspec.Struct, frozen=True):
    """A key that brings much of an owner's load.

    Attributes:
        key: The key.
        share: Its share of the owner's requests, at least.
    """

    key: str
    share: float


class SlotMeter:
    """Requests a second of each slot, with an exponential decay."""

    def __init__(self, now: float, half_life: float = HALF_LIFE_S) -> None:
        """Creates a meter that has counted nothing.

        Args:
            now: Monotonic time, seconds.
            half_life: Time in which what was counted is half forgotten,
                seconds.
        """
        self._weights: dict[int, float] = {}
        self._half_life = half_life
        self._scale_at = now

    def count(self, slot: int, now: float, amount: float = 1.0) -> None:
        """Counts a request, or what it costs in usual requests."""
        # Later requests weigh more instead of earlier ones less, so that
        # counting touches only one slot.
        weight = amount * 2.0 ** ((now - self._scale_at) / self._half_life)
        self._weights[slot] = self._weights.get(slot, 0.0) + weight

    def rates(self, since: dict[int, float], now: float) -> dict[int, float]:
        """Returns requests a second of each slot.

        Args:
            since: Since when each slot is served here; a slot that came
                lately has had less time to be counted.
            now: Monotonic time, seconds.
        """
        self._rescale(now)
        return {
            slot: self._weights.get(slot, 0.0) / self._seen(now - begun)
            for slot, begun in since.items()
        }

    def _rescale(self, now: float) -> None:
        factor = 2.0 ** ((self._scale_at - now) / self._half_life)
        self._weights = {
            slot: weight * factor
            for slot, weight in self._weights.items()
            if weight * factor > _FORGOTTEN
        }
        self._scale_at = now

    def _seen(self, age: float) -> float:
        """Returns the weights of one request a second over the last `age`."""
        life = time_constant_s(self._half_life)
        least = min(_LEAST_AGE_S, self._half_life)
        return life * (1 - 2.0 ** (-max(age, least) / self._half_life))


def time_constant_s(half_life: float) -> float:
    """Returns the sum of the weights of one request a second for ever."""
    return half_life / math.log(2)


class HotKeySketch:
    """The keys with most requests, by the Space-Saving sketch.

    A key that is not kept takes the place of the one counted least, and its
    count as a possible error. So a count less its error is never too high.
    """

    def __init__(self, now: float) -> None:
        """Creates an empty sketch."""
        self._begin(now)

    def _begin(self, now: float) -> None:
        self._counts: dict[str, int] = {}
        self._errors: dict[str, int] = {}
        self._total = 0
        self._begun = now

    def count(self, key: str, now: float) -> None:
        """Counts a request; a new sketch begins every minute."""
        if now - self._begun > _SKETCH_KEPT_S:
            self._begin(now)
        self._total += 1
        if key in self._counts:
            self._counts[key] += 1
            return
        error = 0
        if len(self._counts) >= _SKETCH_KEYS:
            least = min(self._counts, key=self._counts.__getitem__)
            error = self._counts.pop(least)
            del self._errors[least]
        self._counts[key] = error + 1
        self._errors[key] = error

    def hottest(self, most: int) -> list[HotKey]:
        """Returns up to `most` keys that are surely among the hottest."""
        least = 0
        if len(self._counts) >= _SKETCH_KEYS:
            least = min(self._counts.values())
        lower = {
            key: count - self._errors[key]
            for key, count in self._counts.items()
        }
        sure = [key for key, bound in lower.items() if bound > least]
        sure.sort(key=lower.__getitem__, reverse=True)
        return [
            HotKey(key, round(lower[key] / self._total, 4))
            for key in sure[:most]
        ]
