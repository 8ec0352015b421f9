"""Plays more calls than a target can run, and checks what callers get."""

import collections
import heapq
import itertools
import random

import msgspec
import pytest

from tamarackgap.scheduling import admission

# Calls of one kind last unlike times, relative to their mean: some of them wait
# for calls of their own.
_DURATIONS = (0.21, 0.35, 0.49, 0.66, 0.84, 1.05, 1.32, 1.6, 2.02, 2.4)
_MEAN = sum(_DURATIONS) / len(_DURATIONS)


class Kind(msgspec.Struct, frozen=True):
    """A kind of calls; `share` is its share of all calls."""

    rank: int
    objective: float
    deadline: float
    work: float
    share: float = 1.0
    is_nested: bool = False


LOOKUP = Kind(2, 0.73, 1.66, 0.215)
ORDER = Kind(1, 0.94, 2.14, 0.28, 0.35)


class Play:
    """Plays calls of some kinds; each refused caller comes back once."""

    def __init__(self, load, kinds, slots=7, seconds=20.0, seed=1):
        self.counts = {kind: collections.Counter() for kind in kinds}
        self.queue = admission.AdmissionQueue()
        self.queue.resize(slots, 0.0)
        self.now = 0.0
        self._end = seconds
        self._rng = random.Random(seed)
        self._events = []
        self._ids = itertools.count()
        work = sum(kind.work * kind.share for kind in kinds)
        for kind in kinds:
            self._arrive(kind, load * slots / work * kind.share)
        self._sweep()
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def share(self, kind, outcome):
        return self.counts[kind][outcome] / self.counts[kind]["all"]

    def _factor(self):
        """Returns the present load as a multiple of the usual one."""
        return 1.0

    def _at(self, seconds, action):
        event = (self.now + seconds, next(self._ids), action)
        heapq.heappush(self._events, event)

    def _arrive(self, kind, rate):
        if self.now < self._end:
            pause = self._rng.expovariate(rate * self._factor())
            self._at(pause, lambda: self._arrive(kind, rate))
            self.counts[kind]["all"] += 1
            self._submit(kind, self.now, True)

    def _sweep(self):
        self.queue.refuse_late(self.now)
        if self.now < self._end + 3:
            self._at(0.02, self._sweep)

    def _refuse(self, kind, asked_at, may_return, retry_after):
        self.counts[kind]["refused"] += 1
        left = asked_at + kind.deadline - self.now
        if may_return and retry_after < left:
            wait = min(retry_after, left / 3)
            self._at(wait, lambda: self._submit(kind, asked_at, False))

    def _submit(self, kind, asked_at, may_return):
        counts = self.counts[kind]
        sent_at = self.now

        def start():
            duration = kind.work * self._rng.choice(_DURATIONS) / _MEAN
            self._at(duration, lambda: finish(duration))

        def finish(duration):
            self.queue.finish(duration, kind.objective, self.now)
            in_time = self.now <= asked_at + kind.objective
            counts["in time" if in_time else "late"] += 1

        def refuse(refusal):
            if self.now > sent_at + kind.objective / 8:
                counts["told late"] += 1
            self._refuse(kind, asked_at, may_return, refusal.retry_after)

        counts["sent"] += 1
        self.queue.submit(
            admission.QueuedCall(
                kind.rank,
                kind.objective,
                asked_at + kind.objective,
                asked_at + kind.deadline,
                start,
                refuse,
                kind.is_nested,
            ),
            self.now,
        )


@pytest.mark.parametrize("load", [1.3, 1.7, 4.0])
def test_calls_are_answered_in_time_rather_than_late(load):
    # Before, 0.41 of the calls were in time at a load of 1.7, and 0.21 late.
    play = Play(load, (LOOKUP,))
    assert play.share(LOOKUP, "in time") >= 0.85 / load
    assert play.share(LOOKUP, "late") <= 0.1 / load


@pytest.mark.parametrize("load", [1.3, 1.7, 4.0])
def test_calls_that_take_much_of_their_objective_are_not_served_late(load):
    # If all calls count as late, those that have waited longest must not go
    # first: at a load of 1.7, 0.30 were in time and 0.30 late.
    slow = Kind(2, 0.73, 1.66, 0.35)
    play = Play(load, (slow,))
    assert play.share(slow, "in time") >= 0.7 / load
    assert play.share(slow, "late") <= 0.3 / load


@pytest.mark.parametrize("load", [1.3, 1.7, 4.0])
def test_most_refusals_are_told_at_once(load):
    counts = Play(load, (LOOKUP,)).counts[LOOKUP]
    assert counts["told late"] <= 0.25 * counts["refused"]


@pytest.mark.parametrize("load", [1.0, 1.7, 2.5])
def test_urgent_calls_are_served_first(load):
    play = Play(load, (LOOKUP, ORDER))
    assert play.share(ORDER, "in time") >= 0.97


@pytest.mark.parametrize("slots", [3, 7])
def test_nothing_is_refused_while_there_is_room(slots):
    play = Play(0.6, (LOOKUP, ORDER), slots)
    for kind in (LOOKUP, ORDER):
        assert play.share(kind, "in time") >= 0.97


def test_calls_of_running_requests_come_before_new_requests_of_their_rank():
    # A target of three slots with long runs; a request that waits for its call
    # holds a slot elsewhere.
    upload = Kind(1, 1.25, 2.9, 0.26)
    nested = Kind(1, 0.33, 0.99, 0.06, 0.5, is_nested=True)
    play = Play(1.7, (upload, nested), slots=3)
    assert play.share(nested, "in time") >= 0.9
    assert play.share(nested, "in time") + play.share(nested, "late") >= 0.99
    assert play.share(upload, "late") <= 0.1
