"""Chooses the daemon whose target answers a call soonest.

Answers services whose targets differ in speed and load: each entry knows of
every target what its daemon told last, and adds what it has sent since.
"""

import random
from collections.abc import Iterable

import msgspec

# A daemon that has told nothing for so long gets no new calls.
SILENCE_S = 1.2
# Failures of a target are forgotten by half in this time.
_FAILURE_HALF_LIFE_S = 2.0
# Each recent failure counts as so many usual calls of time.
_FAILURE_COST = 3.0
_FIRST_SLOWNESS = 0.3
# Estimates this close to the best are as good as the best.
_CLOSE = 0.1


class Candidate(msgspec.Struct):
    """What an entry knows of one target.

    Attributes:
        incarnation: Its daemon.
        service: Its service.
        accepting: Whether it takes new calls.
        capacity: Calls that it runs at once.
        busy: Calls there, running and waiting, when it was last told of.
        sent: Calls sent there since, and not completed.
        slowness: Usual time of a call, as a part of its route's aim; 0
            where it has served none.
        heard: When its daemon was last heard, seconds.
        failures: Recent failures, decayed.
        failed_at: When `failures` was right, seconds.
    """

    incarnation: str
    service: str = ""
    accepting: bool = False
    capacity: int = 0
    busy: int = 0
    sent: int = 0
    slowness: float = 0.0
    heard: float = float("-inf")
    failures: float = 0.0
    failed_at: float = 0.0

    def recent_failures(self, now: float) -> float:
        """Returns failures, each weighed by its age."""
        age = now - self.failed_at
        return self.failures * 0.5 ** (age / _FAILURE_HALF_LIFE_S)

    def failed(self, now: float) -> None:
        """Notes a failure."""
        self.failures = self.recent_failures(now) + 1.0
        self.failed_at = now

    def usable(self, now: float) -> bool:
        """Returns whether calls may be sent there."""
        return (
            self.accepting
            and self.capacity > 0
            and now - self.heard < SILENCE_S
        )

    def estimate(self, now: float, usual: float) -> float:
        """Returns the likely time to an answer, as a part of the aim.

        Args:
            now: Monotonic time, seconds.
            usual: Slowness to assume where nothing is known.
        """
        load = self.busy + self.sent
        over = max(0, load + 1 - self.capacity)
        turns = 1.0 + over / max(1, self.capacity)
        # Nearly full targets slow down, and estimates are rough.
        turns += 0.2 * load / max(1, self.capacity)
        failing = _FAILURE_COST * self.recent_failures(now)
        return (self.slowness or usual) * (turns + failing)


def choose(
    candidates: Iterable[Candidate],
    tried: frozenset[str],
    now: float,
    rng: random.Random,
) -> Candidate | None:
    """Returns the target to send a call to, or None.

    Args:
        candidates: Targets of the call's service.
        tried: Incarnations that have been tried; they come last.
        now: Monotonic time, seconds.
        rng: Decides between equals, so that entries do not move in step.
    """
    usable = [
        candidate
        for candidate in candidates
        if candidate.usable(now) and candidate.incarnation not in tried
    ]
    if not usable:
        return None
    known = [candidate.slowness for candidate in usable if candidate.slowness]
    usual = sum(known) / len(known) if known else _FIRST_SLOWNESS
    estimates = [
        (candidate.estimate(now, usual), candidate) for candidate in usable
    ]
    limit = min(estimate for estimate, _ in estimates) * (1 + _CLOSE)
    best = [candidate for estimate, candidate in estimates if estimate <= limit]
    return rng.choice(best)
