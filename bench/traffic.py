"""Generates seeded requests whose keys follow a Zipf distribution."""

import bisect
import itertools
import random

import msgspec


class Request(msgspec.Struct, frozen=True):
    """One request of a caller.

    Attributes:
        number: Number of the request, in order of sending.
        sent_at: Simulated time when it is sent, seconds.
        key: Key of the request.
        idempotent: Whether it may run twice without harm.
        service_s: Time that a server takes for it, seconds.
        poison: Whether it crashes each server that runs it.
    """

    number: int
    sent_at: float
    key: str
    idempotent: bool
    service_s: float
    poison: bool = False


class ZipfKeys:
    """Draws keys with probability 1/rank^exponent; ranks can change."""

    def __init__(self, rng: random.Random, keys: int, exponent: float) -> None:
        """Creates keys `k0`, `k1` and so on, with the most popular one first.

        Args:
            rng: Source of randomness.
            keys: Number of keys.
            exponent: Exponent of the distribution.
        """
        self._rng = rng
        self._keys_by_rank = [f"k{number}" for number in range(keys)]
        weights = [1 / (rank + 1) ** exponent for rank in range(keys)]
        self._cumulative_weights = list(itertools.accumulate(weights))
        self._hot_key: tuple[str, float] | None = None

    def change_hottest(self, hottest: int) -> None:
        """Swaps the `hottest` most popular keys with random other keys."""
        for rank in range(hottest):
            other = self._rng.randrange(hottest, len(self._keys_by_rank))
            keys = self._keys_by_rank
            keys[rank], keys[other] = keys[other], keys[rank]

    def set_hot_key(self, key: str, share: float) -> None:
        """Lets one key get the given share of all requests."""
        self._hot_key = (key, share)

    def draw(self) -> str:
        """Returns a random key."""
        if self._hot_key and self._rng.random() < self._hot_key[1]:
            return self._hot_key[0]
        position = self._rng.random() * self._cumulative_weights[-1]
        return self._keys_by_rank[
            bisect.bisect(self._cumulative_weights, position)
        ]


def requests_of_second(
    rng: random.Random, keys: ZipfKeys, now: float, rate: float, first: int
) -> list[Request]:
    """Returns the requests of one second, in order of sending.

    Args:
        rng: Source of randomness.
        keys: Source of keys.
        now: Simulated start of the second, seconds.
        rate: Mean number of requests per second.
        first: Number of the first request.
    """
    count = int(rate + rng.gauss(0, rate**0.5))
    return [
        Request(
            first + index,
            at,
            keys.draw(),
            rng.random() < 0.6,
            rng.uniform(0.5, 1.5) * 0.008,
        )
        for index, at in enumerate(
            sorted(now + rng.random() for _ in range(count))
        )
    ]
