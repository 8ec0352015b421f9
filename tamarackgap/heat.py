"""How much load slots and keys bring, as this owner sees it."""

import math

import datasketches
import msgspec

_HALF_LIFE_S = 10.0
# Sum of the weights of one request a second for ever.
LIFE_S = _HALF_LIFE_S / math.log(2)
# The sketch keeps up to three quarters of 2**8 keys.
_SKETCH_LOG2 = 8
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

    def __init__(self, now: float) -> None:
        """Creates a meter that has counted nothing."""
        self._weights: dict[int, float] = {}
        self._scale_at = now

    def count(self, slot: int, now: float) -> None:
        """Counts a request."""
        # Later requests weigh more instead of earlier ones less, so that
        # counting touches only one slot.
        weight = 2.0 ** ((now - self._scale_at) / _HALF_LIFE_S)
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
            slot: self._weights.get(slot, 0.0) / _seen(now - begun)
            for slot, begun in since.items()
        }

    def _rescale(self, now: float) -> None:
        factor = 2.0 ** ((self._scale_at - now) / _HALF_LIFE_S)
        self._weights = {
            slot: weight * factor
            for slot, weight in self._weights.items()
            if weight * factor > _FORGOTTEN
        }
        self._scale_at = now


def _seen(age: float) -> float:
    """Returns the weights of one request a second over the last `age`."""
    return LIFE_S * (1 - 2.0 ** (-max(age, _LEAST_AGE_S) / _HALF_LIFE_S))


class HotKeys:
    """The keys with most requests, by a heavy-hitters sketch."""

    def __init__(self, now: float) -> None:
        """Creates an empty sketch."""
        self._begin(now)

    def _begin(self, now: float) -> None:
        self._sketch = datasketches.frequent_strings_sketch(_SKETCH_LOG2)
        self._begun = now

    def count(self, key: str, now: float) -> None:
        """Counts a request; a new sketch begins every minute."""
        if now - self._begun > _SKETCH_KEPT_S:
            self._begin(now)
        self._sketch.update(key)

    def hottest(self, most: int) -> list[HotKey]:
        """Returns up to `most` keys that are surely among the hottest."""
        kind = datasketches.frequent_items_error_type.NO_FALSE_POSITIVES
        found = self._sketch.get_frequent_items(kind)
        total = self._sketch.total_weight
        return [
            HotKey(key, round(lower / total, 4))
            for key, _, lower, _ in found[:most]
        ]
