"""Chooses the daemon whose target is likely to answer a call first.

Targets of a service may differ in speed and load. Each daemon keeps the state
that the daemons of all targets reported last, and adds the calls that it has
sent since. With many targets, many daemons send calls and would all choose the
target that was reported idle; so each draws two targets at random and compares
only these.
"""

import random
from collections.abc import Iterable

import msgspec

from tamarackgap.peers import calls
from tamarackgap.scheduling import estimates

# A daemon that has not reported for this long gets no new calls. If its report
# interval is long, the limit is _SILENCE_INTERVALS of these intervals instead,
# since one report may be lost.
SILENCE_TIMEOUT_S = 1.2
_SILENCE_INTERVALS = 2.4
# Half-life of the counts of failures and successes.
_OUTCOME_HALF_LIFE_S = 2.0
# A failure ratio of one adds this many usual durations to an estimate.
_FAILURE_COST = 3.0
# A target slows down as it fills, and its load is not known exactly; so a full
# target counts as if its calls took this share longer.
_FULL_TARGET_COST = 0.2
# Estimates that exceed the best by up to this share count as equal to it.
_TIE_MARGIN = 0.1
# Of more targets than this, only two are drawn and compared. In bench/loads.py,
# comparing all targets is as good as drawing two with 6 targets. With 8, two
# calls in a hundred fewer are answered within their latency objective, and with
# 24 a tenth fewer.
_MAX_COMPARED = 6


class Candidate(msgspec.Struct):
    """Holds the last known state of one target.

    Attributes:
        incarnation: The incarnation of its daemon.
        service: The service that it runs.
        accepting: Whether it accepts new calls.
        capacity: Number of calls that it runs at once.
        reported_load: Number of calls there, running and waiting, in the last
            status or completion.
        sent_since_report: Number of calls sent there since then.
        relative_latency: Usual duration of a call divided by its latency
            objective; 0 if it has answered none.
        last_heard: Monotonic time of the last status or completion, seconds.
        data_centre: The data centre of its daemon.
        process: Id of its daemon's process.
        status_interval: Time between two statuses of its daemon, seconds.
        status: The last status of its daemon, None before the first one.
        status_at: Monotonic time when its daemon or a relay heard that status,
            seconds.
        failures: Number of failed calls, decayed by age.
        successes: Number of successful calls, decayed by age.
        decayed_at: Monotonic time up to which both numbers are decayed,
            seconds.
        slowdown: How long work takes there at this moment, as a multiple of
            the usual time.
        way: How late calls arrive there, seconds.
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
    status_interval: float = 0.0
    status: calls.TargetStatus | None = None
    status_at: float = float("-inf")
    failures: float = 0.0
    successes: float = 0.0
    decayed_at: float = 0.0
    slowdown: float = 1.0
    way: float = 0.0

    def failure_ratio(self, now: float) -> float:
        """Returns the recent number of failures per success.

        It is a ratio so that a few failures among many calls do not leave a
        target unused.
        """
        factor = self._decay_factor(now)
        return self.failures * factor / (1.0 + self.successes * factor)

    def record_failure(self, now: float) -> None:
        """Counts a failed call."""
        self._decay(now)
        self.failures += 1.0

    def record_success(self, now: float) -> None:
        """Counts a successful call."""
        self._decay(now)
        self.successes += 1.0

    def _decay(self, now: float) -> None:
        factor = self._decay_factor(now)
        self.failures *= factor
        self.successes *= factor
        self.decayed_at = now

    def _decay_factor(self, now: float) -> float:
        return 0.5 ** ((now - self.decayed_at) / _OUTCOME_HALF_LIFE_S)

    def is_usable(self, now: float) -> bool:
        """Returns whether new calls may be sent to the target."""
        return self.accepting and self.capacity > 0 and not self.is_silent(now)

    def is_silent(self, now: float) -> bool:
        """Returns whether the daemon has not reported for too long."""
        limit = max(
            SILENCE_TIMEOUT_S, self.status_interval * _SILENCE_INTERVALS
        )
        return now - self.last_heard >= limit

    def estimate(
        self, now: float, default_latency: float, latency_objective: float = 1.0
    ) -> float:
        """Returns the expected time to an answer.

        Args:
            now: Monotonic time, seconds.
            default_latency: Relative latency to assume if the target has
                answered no call.
            latency_objective: The call's latency objective, seconds.

        Returns:
            The expected time divided by the latency objective of the call.
        """
        load = self.load(now, default_latency)
        expected = estimates.estimate(load, 1.0)
        calls_there = load.running + load.waiting
        more_durations = _FULL_TARGET_COST * calls_there / max(
            1, self.capacity
        ) + _FAILURE_COST * self.failure_ratio(now)
        way = self.way / latency_objective
        return expected.total + expected.duration * more_durations + way

    def load(
        self, now: float, default_latency: float = 0.0
    ) -> estimates.TargetLoad:
        """Returns what is known of the target's load.

        Args:
            now: Monotonic time, seconds.
            default_latency: Relative latency to assume if the target has
                answered no call.
        """
        running = min(self.reported_load, self.capacity)
        return estimates.TargetLoad(
            self.capacity,
            running,
            self.reported_load - running + self.sent_since_report,
            self.relative_latency or default_latency,
            self.slowdown,
            age=max(0.0, now - self.last_heard),
        )


def choose(
    candidates: Iterable[Candidate],
    tried: frozenset[str],
    now: float,
    rng: random.Random,
    latency_objective: float = 1.0,
    service_targets: int = 0,
) -> Candidate | None:
    """Returns the target to send a call to, or None.

    Args:
        candidates: Targets of the call's service, of data centres that are
            equally far.
        tried: Incarnations that have been tried and are left out.
        now: Monotonic time, seconds.
        rng: Draws two of many targets and breaks ties, so that daemons do not
            all choose the same target.
        latency_objective: The call's latency objective, seconds.
        service_targets: Number of targets of the service in all data centres,
            if these are only some of them. The more there are, the more
            daemons choose at the same time.
    """
    usable = [
        candidate
        for candidate in candidates
        if candidate.is_usable(now) and candidate.incarnation not in tried
    ]
    if not usable:
        return None
    latencies = [
        candidate.relative_latency
        for candidate in usable
        if candidate.relative_latency
    ]
    default_latency = (
        sum(latencies) / len(latencies)
        if latencies
        else estimates.INITIAL_RELATIVE_LATENCY
    )
    if len(usable) > 2 and max(len(usable), service_targets) > _MAX_COMPARED:
        usable = _draw_two(usable, now, default_latency, rng, latency_objective)
    expected = [
        (
            candidate.estimate(now, default_latency, latency_objective),
            candidate,
        )
        for candidate in usable
    ]
    limit = min(end for end, _ in expected) * (1 + _TIE_MARGIN)
    return rng.choice([target for end, target in expected if end <= limit])


def _draw_two(
    usable: list[Candidate],
    now: float,
    default_latency: float,
    rng: random.Random,
    latency_objective: float,
) -> list[Candidate]:
    """Draws two targets, weighted by how many calls each can serve."""
    weights = [
        candidate.capacity
        / (
            (candidate.relative_latency or default_latency) * candidate.slowdown
            + candidate.way / latency_objective
        )
        / (1.0 + _FAILURE_COST * candidate.failure_ratio(now))
        for candidate in usable
    ]
    indexes = range(len(usable))
    first = rng.choices(indexes, weights)[0]
    weights[first] = 0.0
    second = rng.choices(indexes, weights)[0]
    return [usable[first], usable[second]]
