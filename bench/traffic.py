"""Generated requests: Zipf keys whose hot ones change, from a seed."""

import bisect
import itertools
import random

import msgspec


class Request(msgspec.Struct, frozen=True):
    """One request of a caller.

    Attributes:
        number: Its number.
        sent_at: When it is sent, seconds.
        key: The key.
        idempotent: Whether running it twice does no harm.
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
    """Keys with popularity 1/rank, in an order that can be changed."""

    def __init__(self, rng: random.Random, keys: int, exponent: float) -> None:
        """Creates `keys` keys."""
        self._rng = rng
        self._names = [f"k{number}" for number in range(keys)]
        weights = [1 / (rank + 1) ** exponent for rank in range(keys)]
        self._sums = list(itertools.accumulate(weights))
        self._flash: tuple[str, float] | None = None

    def change_hottest(self, hottest: int) -> None:
        """Makes other keys the hottest ones."""
        for rank in range(hottest):
            other = self._rng.randrange(hottest, len(self._names))
            names = self._names
            names[rank], names[other] = names[other], names[rank]

    def set_hot_key(self, key: str, share: float) -> None:
        """Gives one key a share of all requests."""
        self._flash = (key, share)

    def draw(self) -> str:
        """Returns a key."""
        if self._flash and self._rng.random() < self._flash[1]:
            return self._flash[0]
        point = self._rng.random() * self._sums[-1]
        return self._names[bisect.bisect(self._sums, point)]


def requests_of_second(
    rng: random.Random, keys: ZipfKeys, now: float, rate: float, first: int
) -> list[Request]:
    """Returns the requests of one second, in order."""
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
