"""What other members serve, and how much may be moved because of it."""

import random

from tamarackgap.ownership import effects
from tamarackgap.peers import messages
from tamarackgap.placement import records

# Loads go to a sample, so that their number does not grow with the square.
_FANOUT = 8
# Requests a second below which there is nothing to measure.
_IDLE_RATE = 5.0
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


class LoadExchange:
    """Tells other members of this daemon's load, and learns of theirs."""

    def __init__(
        self,
        settings: effects.Settings,
        view: records.TableView,
        outbox: effects.Outbox,
        rng: random.Random,
        now: float,
    ) -> None:
        """Creates a daemon that has served nothing.

        Args:
            settings: What the daemon is told about itself.
            view: The rows of the table known here.
            outbox: Takes messages.
            rng: Chooses whom to tell.
            now: Monotonic time, seconds.
        """
        self._settings = settings
        self._view = view
        self._outbox = outbox
        self._rng = rng
        self.known = Loads()
        self.budget = MoveBudget(records.Policy().moves, now)
        # Requests a second of each slot served here.
        self.rates: dict[int, float] = {}

    def share(
        self, rates: dict[int, float], now: float, changed_at: float
    ) -> None:
        """Notes the slots' rates, and tells a sample of the others.

        Args:
            rates: Requests a second of each slot.
            now: Monotonic time, seconds.
            changed_at: When slots came or went last, seconds.
        """
        self.rates = rates
        total: float | None = sum(rates.values())
        unsettled = now - changed_at < self._settings.load_warmup
        if unsettled and total >= _IDLE_RATE:
            # What came lately is not measured well enough to move more.
            total = None
        own = self._outbox.incarnation
        self.known.note(own, total, now)
        service = self._settings.service
        policy = self._view.policy(service, self._settings.data_centre)
        self.budget.resize(policy.moves, now)
        others = [
            record
            for record in self._view.members(service)
            if record.incarnation != own
        ]
        for record in self._rng.sample(others, min(_FANOUT, len(others))):
            self._outbox.send_to(
                record.peer_address, messages.LoadReport(total)
            )
