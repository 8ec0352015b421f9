"""A service under load: the shipped queue and choice beside earlier policies.

Targets, clock and arrivals are made up; `admission` and `balancer` are those
that ship. The earlier policies: a queue in order of arrival whose calls are
kept until their deadline, and targets chosen in turn.
"""

import collections
import functools
import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from bench import report
from tamarackgap.traffic import admission, balancer

_SECONDS = 20.0
_SLOTS = 6
_SWEEP_S = 0.02
_STATUS_S = 0.25
# With many daemons.
_RARE_STATUS_S = 0.75
# Targets that a call is tried at before its caller is told.
_TRIES = 2
# A caller whose call was refused comes back once.
_RETURNS = 1
_LOST_SHARE = 0.05


class CallKind(msgspec.Struct, frozen=True):
    """A kind of call: rank, latency objective, deadline and work, seconds."""

    name: str
    rank: int
    latency_objective: float
    deadline: float
    work: float


KINDS = (
    CallKind("inner", 0, 0.2, 0.8, 0.04),
    CallKind("pay", 1, 0.4, 1.2, 0.08),
    CallKind("browse", 2, 0.4, 1.2, 0.08),
)


class Scenario(msgspec.Struct, frozen=True):
    """What the targets meet.

    Attributes:
        name: Its name.
        load: Calls against what all targets can run.
        burst_load: The same, between 6 and 10 s.
        slowdowns: How much longer each target takes than usual.
        last_joins_at: When the last target joins, seconds; 0 is at the start.
        lossy_targets: How many of the targets lose one answer in 20.
        entry_count: How many daemons send calls, each by what it knows itself:
            answers tell it of a target's load as well, it tries a second
            target, and targets tell of theirs at different times.
        slots: Calls that a target runs at once.
        report_interval_s: Time between load reports of a target, seconds.
    """

    name: str
    load: float
    burst_load: float
    slowdowns: tuple[float, ...]
    last_joins_at: float = 0.0
    lossy_targets: int = 0
    entry_count: int = 1
    slots: int = _SLOTS
    report_interval_s: float = _STATUS_S


_DATA_CENTRES = ("a", "b", "c")
_MIXED_SPEEDS = (0.7, 1, 1, 2) * 6

SCENARIOS = (
    Scenario("steady", 0.7, 0.7, (1, 1, 1, 1)),
    Scenario("burst", 0.7, 2.0, (1, 1, 1, 1)),
    Scenario("overload", 1.3, 1.3, (1, 1, 1, 1)),
    Scenario("slow target", 0.7, 0.7, (1, 1, 1, 4)),
    Scenario("unlike targets, burst", 0.7, 1.5, (0.7, 1, 1.4, 3)),
    Scenario("one joins", 0.9, 0.9, (1, 1, 1, 1), 8.0),
    Scenario("answers lost", 0.85, 0.85, (1, 1, 1, 1), lossy_targets=2),
    Scenario("twelve entries", 0.7, 0.9, (0.7, 1, 1, 2), entry_count=12),
    Scenario(
        "many entries", 0.5, 0.8, _MIXED_SPEEDS, 0, 0, 75, 5, _RARE_STATUS_S
    ),
    Scenario(
        "many entries, full",
        0.8,
        1.1,
        _MIXED_SPEEDS,
        0,
        0,
        75,
        5,
        _RARE_STATUS_S,
    ),
)


class CallerStats(msgspec.Struct):
    """What callers got.

    Attributes:
        callers: Callers, by kind.
        in_objective: Answers within their latency objective, by kind.
        late: Later answers.
        refused: Callers that were refused for good or got nothing.
        refusal_delays_s: Time from arrival to each refusal, seconds.
        last_target_starts: Calls started at the last target.
    """

    callers: collections.Counter = msgspec.field(
        default_factory=collections.Counter
    )
    in_objective: collections.Counter = msgspec.field(
        default_factory=collections.Counter
    )
    late: int = 0
    refused: int = 0
    refusal_delays_s: list[float] = []
    last_target_starts: list[float] = []

    @property
    def share_in_objective(self) -> float:
        """Share of the callers answered within their objective."""
        return sum(self.in_objective.values()) / max(
            1, sum(self.callers.values())
        )

    def share(self, name: str) -> float:
        """Share of a kind's callers answered within their objective."""
        return self.in_objective[name] / max(1, self.callers[name])

    def refusal_delay(self, share: float) -> float:
        """Time after which a part of all refusals had been told, seconds."""
        held = sorted(self.refusal_delays_s)
        return held[int(len(held) * share)] if held else 0.0


class FifoQueue:
    """The earlier queue: in order of arrival, kept until the deadline."""

    def __init__(self) -> None:
        self.capacity = _SLOTS
        self.running = 0
        self.relative_latency = 0.0
        self._queue: collections.deque = collections.deque()

    @property
    def waiting(self) -> int:
        """Number of calls that wait."""
        return len(self._queue)

    def offer(self, waiting: admission.QueuedCall, now: float) -> None:
        """Queues a call."""
        self._queue.append(waiting)
        self.start_waiting(now)

    def finish(
        self, worked: float | None, latency_objective: float, now: float
    ) -> None:
        """Frees a slot."""
        del worked, latency_objective
        self.running -= 1
        self.start_waiting(now)

    def refuse_late(self, now: float) -> None:
        """Refuses what is past its deadline."""
        while self._queue and self._queue[0].deadline <= now:
            self._queue.popleft().refuse(
                admission.Refusal(0.1, 0.0, 0.0, self.running, len(self._queue))
            )

    def start_waiting(self, now: float) -> None:
        """Starts calls while there are slots."""
        self.refuse_late(now)
        while self._queue and self.running < self.capacity:
            self.running += 1
            self._queue.popleft().start()


class _Target:
    def __init__(
        self, name: str, data_centre: str, queue: object, speed: float
    ) -> None:
        self.data_centre = data_centre
        self.queue = queue
        self.speed = speed
        self.name = name


class Simulation:
    """One scenario under one policy."""

    def __init__(self, scenario: Scenario, shipped: bool, seed: int) -> None:
        """Prepares the targets."""
        self.tally = CallerStats()
        self._scenario = scenario
        self._shipped = shipped
        self._rng = random.Random(seed)
        self._many = scenario.entry_count > 1
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._turn = itertools.count()
        self._targets = [
            _Target(
                f"t{index}",
                _DATA_CENTRES[index % len(_DATA_CENTRES)],
                self._queue(),
                speed,
            )
            for index, speed in enumerate(scenario.slowdowns)
        ]
        # What each entry knows of each target, by the target's name.
        self._told = [
            {
                target.name: balancer.Candidate(
                    target.name,
                    service="s",
                    accepting=True,
                    data_centre=target.data_centre,
                )
                for target in self._targets
            }
            for _ in range(scenario.entry_count)
        ]
        self._near = {
            id(known): _DATA_CENTRES[index % len(_DATA_CENTRES)]
            if self._many
            else ""
            for index, known in enumerate(self._told)
        }

    def run(self) -> CallerStats:
        """Plays it; returns what callers got."""
        for target in self._targets:
            self._tell(target)
            shift = self._scenario.report_interval_s
            if self._many:
                shift *= self._rng.random()
            self._at(shift, functools.partial(self._tell_again, target))
        self._at(0.0, self._sweep)
        self._at(0.0, self._arrive)
        while self._events and self._events[0][0] < _SECONDS + 3:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.tally

    def _queue(self) -> object:
        if not self._shipped:
            return FifoQueue()
        queue = admission.AdmissionQueue()
        queue.resize(self._scenario.slots, 0.0)
        return queue

    def _at(self, moment: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (moment, next(self._order), action))

    def _present(self) -> list[_Target]:
        scenario = self._scenario
        if scenario.last_joins_at and self._now < scenario.last_joins_at:
            return self._targets[:-1]
        return self._targets

    def _arrive(self) -> None:
        if self._now >= _SECONDS:
            return
        burst = 6 <= self._now < 10
        load = self._scenario.burst_load if burst else self._scenario.load
        work = sum(kind.work for kind in KINDS) / len(KINDS)
        capacity = sum(
            self._scenario.slots / speed for speed in self._scenario.slowdowns
        )
        rate = load * capacity / work
        self._at(self._now + self._rng.expovariate(rate), self._arrive)
        kind = self._rng.choice(KINDS)
        self.tally.callers[kind.name] += 1
        self._ask(kind, self._now, _RETURNS)

    def _ask(self, kind: CallKind, first: float, returns: int) -> None:
        known = self._rng.choice(self._told) if self._many else self._told[0]
        self._try(kind, first, self._now, returns, known, frozenset())

    def _try(
        self,
        kind: CallKind,
        first: float,
        came: float,
        returns: int,
        known: dict[str, balancer.Candidate],
        tried: frozenset[str],
    ) -> None:
        target = self._choose(known, tried)
        told = known[target.name]
        told.sent_since_report += 1

        def start() -> None:
            if target is self._targets[-1]:
                self.tally.last_target_starts.append(self._now)
            work = kind.work * target.speed * self._rng.uniform(0.6, 1.4)
            self._at(self._now + work, lambda: done(work))

        def done(work: float) -> None:
            target.queue.finish(work, kind.latency_objective, self._now)
            lossy = target in self._targets[: self._scenario.lossy_targets]
            if lossy and self._rng.random() < _LOST_SHARE:
                told.record_failure(self._now)
                self.tally.refused += 1
                return
            told.record_success(self._now)
            if self._many:
                self._learn(told, target)
            taken = self._now - first
            if taken <= kind.latency_objective:
                self.tally.in_objective[kind.name] += 1
            elif self._now <= came + kind.deadline:
                self.tally.late += 1
            else:
                self.tally.refused += 1

        def refuse(refusal: admission.Refusal) -> None:
            if self._many:
                self._learn(told, target)
            seen = tried | {target.name}
            if self._many and self._shipped and len(seen) < _TRIES:
                self._try(kind, first, came, returns, known, seen)
                return
            self.tally.refusal_delays_s.append(self._now - came)
            if returns:
                again = self._now + max(0.05, refusal.retry_after)
                self._at(again, lambda: self._ask(kind, first, returns - 1))
            else:
                self.tally.refused += 1

        target.queue.offer(
            admission.QueuedCall(
                kind.rank,
                kind.latency_objective,
                first + kind.latency_objective,
                came + kind.deadline,
                start,
                refuse,
            ),
            self._now,
        )

    def _choose(
        self, known: dict[str, balancer.Candidate], tried: frozenset[str]
    ) -> _Target:
        present = self._present()
        if not self._shipped:
            return present[next(self._turn) % len(present)]
        chosen = balancer.choose(
            (known[target.name] for target in present),
            tried,
            self._now,
            self._rng,
            self._near[id(known)],
        )
        return next(t for t in present if known[t.name] is chosen)

    def _learn(self, told: balancer.Candidate, target: _Target) -> None:
        """Lets an entry know a target's load, as an answer tells it."""
        told.reported_load = target.queue.running + target.queue.waiting
        told.sent_since_report = 0
        told.last_heard = self._now

    def _tell(self, target: _Target) -> None:
        """Lets all entries know of a target, as its daemon does."""
        for known in self._told:
            told = known[target.name]
            told.capacity = target.queue.capacity
            told.relative_latency = target.queue.relative_latency
            self._learn(told, target)

    def _tell_again(self, target: _Target) -> None:
        if target in self._present():
            self._tell(target)
        if self._now < _SECONDS + 3:
            again = functools.partial(self._tell_again, target)
            self._at(self._now + self._scenario.report_interval_s, again)

    def _sweep(self) -> None:
        for target in self._targets:
            target.queue.refuse_late(self._now)
        if self._now < _SECONDS + 3:
            self._at(self._now + _SWEEP_S, self._sweep)


def run(quick: bool) -> None:
    """Prints what callers get under both policies, and their ratio."""
    rows = []
    for scenario in SCENARIOS:
        for seed in range(1 if quick else 5):
            old = Simulation(scenario, False, seed).run()
            new = Simulation(scenario, True, seed).run()
            rows.append(
                {
                    "scenario": scenario.name,
                    "seed": seed,
                    "in_aim_before": round(old.share_in_objective, 3),
                    "in_aim": round(new.share_in_objective, 3),
                    "inner_before": round(old.share("inner"), 3),
                    "inner": round(new.share("inner"), 3),
                    "told_s_before": round(old.refusal_delay(0.9), 3),
                    "told_s": round(new.refusal_delay(0.9), 3),
                }
            )
    report.show("loads", rows)
