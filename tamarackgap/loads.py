"""What other members serve, and how much may be moved because of it."""

# A load that is older than this counts as unknown.
_FRESH_S = 6.0
_MINUTE_S = 60.0


class Loads:
    """The latest load that each member has told of."""

    def __init__(self) -> None:
        self._known: dict[str, tuple[float, float]] = {}

    def note(self, incarnation: str, rate: float | None, now: float) -> None:
        """Takes in what a member serves, in requests a second.

        None makes it unknown: its slots have changed too lately.
        """
        if rate is None:
            self._known.pop(incarnation, None)
        else:
            self._known[incarnation] = (rate, now)

    def fresh(self, now: float) -> dict[str, float]:
        """Returns the loads that are not too old; forgets the others."""
        self._known = {
            name: (rate, at)
            for name, (rate, at) in self._known.items()
            if now - at <= _FRESH_S
        }
        return {name: rate for name, (rate, _) in self._known.items()}


class MoveBudget:
    """Slots that may be given away, up to so many in a minute."""

    def __init__(self, a_minute: int, now: float) -> None:
        """Creates a full budget."""
        self._a_minute = a_minute
        self._tokens = float(a_minute)
        self._at = now

    def resize(self, a_minute: int, now: float) -> None:
        """Sets how many slots may be given away in a minute."""
        self._refill(now)
        self._a_minute = a_minute
        self._tokens = min(self._tokens, float(a_minute))

    def tokens(self, now: float) -> float:
        """Returns how many slots may be given away now."""
        self._refill(now)
        return self._tokens

    def spend(self, count: int) -> None:
        """Notes slots that are given away; draining may go below zero."""
        self._tokens = max(0.0, self._tokens - count)

    def _refill(self, now: float) -> None:
        gained = (now - self._at) * self._a_minute / _MINUTE_S
        self._tokens = min(float(self._a_minute), self._tokens + gained)
        self._at = now
