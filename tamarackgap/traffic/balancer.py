"""Chooses the daemon whose target answers a call soonest.

Answers services whose targets differ in speed and load: each entry knows of
every target what its daemon told last, and adds what it has sent since. Where
there are many targets there are many entries as well, which would all send to
the one that was told to be idle: each compares two drawn at random instead.
"""

import random
from collections.abc import Iterable

import msgspec

# A daemon that has told nothing for so long gets no new calls; where it tells
# seldom, for so many of its intervals: one message may be lost.
SILENCE_TIMEOUT_S = 1.2
_SILENCE_INTERVALS = 2.4
# What became of a target's calls is half forgotten in this time.
_OUTCOME_HALF_LIFE_S = 2.0
# A failure for each success counts as so many usual calls of time.
_FAILURE_COST = 3.0
_FIRST_SLOWNESS = 0.3
# Estimates this close to the best are as good as the best.
_CLOSE = 0.1
# Of more targets than this, two are drawn and compared (played loads of
# bench/loads.py: with 6 targets comparing all is as good, with 8 it serves two
# calls in a hundred less in their aim, with 24 a tenth less).
_COMPARED = 6


class Candidate(msgspec.Struct):
    """What an entry knows of one target.

    Attributes:
        incarnation: Its daemon.
        service: Its service.
        accepting: Whether it takes new calls.
        capacity: Calls that it runs at once.
        reported_load: Calls there, running and waiting, when it was last told
            of.
        sent_since_report: Calls sent there since, and not completed.
        relative_latency: Usual time of a call, as a part of its route's aim; 0
            where it has served none.
        last_heard: When its daemon was last heard, seconds.
        data_centre: Where it stands.
        process: Id of the daemon's process.
        interval: How often its daemon tells of it, seconds.
        failures: Recent failures, each weighed by its age.
        successes: Recent calls that it answered well, likewise.
        weighed_at: When both were right, seconds.
    """

    incarnation: str
    service: str = ""
    accepting: bool = False
    capacity: int = 0
    reported_load: int = 0
    sent_since_report: int = 0
    relative_latency: float = 0.0
    last_heard: float = float("-inf")
    data_centre: str = ""
    process: str = ""
    interval: float = 0.0
    failures: float = 0.0
    successes: float = 0.0
    weighed_at: float = 0.0

    def failure_ratio(self, now: float) -> float:
        """Returns how many calls failed of late for each that went well.

        A few failures among many calls must not leave a target unused.
        """
        factor = self._factor(now)
        return self.failures * factor / (1.0 + self.successes * factor)

    def record_failure(self, now: float) -> None:
        """Notes a failure."""
        self._weigh(now)
        self.failures += 1.0

    def record_success(self, now: float) -> None:
        """Notes a call that was answered well."""
        self._weigh(now)
        self.successes += 1.0

    def _weigh(self, now: float) -> None:
        factor = self._factor(now)
        self.failures *= factor
        self.successes *= factor
        self.weighed_at = now

    def _factor(self, now: float) -> float:
        return 0.5 ** ((now - self.weighed_at) / _OUTCOME_HALF_LIFE_S)

    def is_usable(self, now: float) -> bool:
        """Returns whether calls may be sent there."""
        return self.accepting and self.capacity > 0 and not self.is_silent(now)

    def is_silent(self, now: float) -> bool:
        """Returns whether its daemon has told nothing for too long."""
        limit = max(SILENCE_TIMEOUT_S, self.interval * _SILENCE_INTERVALS)
        return now - self.last_heard >= limit

    def estimate(self, now: float, usual: float) -> float:
        """Returns the likely time to an answer, as a part of the aim.

        Args:
            now: Monotonic time, seconds.
            usual: Slowness to assume where nothing is known.
        """
        load = self.reported_load + self.sent_since_report
        over = max(0, load + 1 - self.capacity)
        turns = 1.0 + over / max(1, self.capacity)
        # Nearly full targets slow down, and estimates are rough.
        turns += 0.2 * load / max(1, self.capacity)
        turns += _FAILURE_COST * self.failure_ratio(now)
        return (self.relative_latency or usual) * turns


def choose(
    candidates: Iterable[Candidate],
    tried: frozenset[str],
    now: float,
    rng: random.Random,
    data_centre: str = "",
) -> Candidate | None:
    """Returns the target to send a call to, or None.

    Args:
        candidates: Targets of the call's service.
        tried: Incarnations that have been tried; they come last.
        now: Monotonic time, seconds.
        rng: Decides between equals, so that entries do not move in step.
        data_centre: The entry's data centre. Of those that are as good as the
            best, one there is taken: what crosses data centres has a price.
    """
    usable = [
        candidate
        for candidate in candidates
        if candidate.is_usable(now) and candidate.incarnation not in tried
    ]
    if not usable:
        return None
    known = [
        candidate.relative_latency
        for candidate in usable
        if candidate.relative_latency
    ]
    usual = sum(known) / len(known) if known else _FIRST_SLOWNESS
    if len(usable) > _COMPARED:
        usable = _draw_two(usable, now, usual, rng, data_centre)
    estimates = [
        (candidate.estimate(now, usual), candidate) for candidate in usable
    ]
    limit = min(estimate for estimate, _ in estimates) * (1 + _CLOSE)
    best = [candidate for estimate, candidate in estimates if estimate <= limit]
    close = [
        candidate for candidate in best if candidate.data_centre == data_centre
    ]
    return rng.choice(close or best)


def _draw_two(
    usable: list[Candidate],
    now: float,
    usual: float,
    rng: random.Random,
    data_centre: str,
) -> list[Candidate]:
    """Returns two targets, drawn by how many calls each can serve well.

    One of them stands in the entry's data centre, if any does.
    """
    weights = [
        candidate.capacity
        / (candidate.relative_latency or usual)
        / (1.0 + _FAILURE_COST * candidate.failure_ratio(now))
        for candidate in usable
    ]
    here = [
        weight if candidate.data_centre == data_centre else 0.0
        for candidate, weight in zip(usable, weights, strict=True)
    ]
    places = range(len(usable))
    first = rng.choices(places, here if any(here) else weights)[0]
    weights[first] = 0.0
    second = rng.choices(places, weights)[0]
    return [usable[first], usable[second]]
