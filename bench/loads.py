"""Compares the admission queue and load balancing with earlier policies.

Targets, clock and arrivals are simulated; the decisions are those of the
modules `admission` and `balancer`. The earlier policies are a queue in order of
arrival that keeps calls until their deadline, and round-robin over the targets.
"""

import collections
import functools
import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from bench import report
from tamarackgap.scheduling import admission, balancer, zonepolicy

_ARRIVALS_END_S = 20.0
_TARGET_SLOTS = 6
_SWEEP_INTERVAL_S = 0.02
_REPORT_INTERVAL_S = 0.25
# Larger deployments report less often.
_LARGE_REPORT_INTERVAL_S = 0.75
# Targets that a call is offered to before its caller is refused.
_MAX_TARGETS = 2
# How often a caller sends its call again after a refusal.
_MAX_RETRIES = 1
_ANSWER_LOSS_RATE = 0.05
_ANSWER_BYTES = 5000


class CallKind(msgspec.Struct, frozen=True):
    """A kind of call.

    Attributes:
        name: Name of the kind.
        rank: Priority; 0 goes first.
        latency_objective: Time within which an answer is of full use, seconds.
        deadline: Time after which an answer is of no use, seconds.
        work: Mean time that a target of usual speed takes, seconds.
    """

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
    """Load and targets of one simulation.

    Attributes:
        name: Name in the table of results.
        load: Arrival rate as a share of the capacity of all targets.
        burst_load: The same, from 6 to 10 s.
        slowdowns: Duration of calls at each target, relative to the usual one.
        last_joins_at: When the last target joins, seconds; 0 is at the start.
        lossy_targets: Number of targets that lose one answer in 20.
        entry_count: Number of daemons that send calls. If there are several,
            each knows the targets from their reports and from its own answers,
            tries a second target after a refusal, and targets send their
            reports at different times.
        slots: Number of calls that a target runs at once.
        report_interval_s: Time between load reports of a target, seconds.
    """

    name: str
    load: float
    burst_load: float
    slowdowns: tuple[float, ...]
    last_joins_at: float = 0.0
    lossy_targets: int = 0
    entry_count: int = 1
    slots: int = _TARGET_SLOTS
    report_interval_s: float = _REPORT_INTERVAL_S


_DATA_CENTRES = ("a", "b", "c")
_MIXED_SLOWDOWNS = (0.7, 1, 1, 2) * 6

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
        "many entries",
        0.5,
        0.8,
        _MIXED_SLOWDOWNS,
        0,
        0,
        75,
        5,
        _LARGE_REPORT_INTERVAL_S,
    ),
    Scenario(
        "many entries, full",
        0.8,
        1.1,
        _MIXED_SLOWDOWNS,
        0,
        0,
        75,
        5,
        _LARGE_REPORT_INTERVAL_S,
    ),
)


class CallerStats(msgspec.Struct):
    """Counts what callers got.

    Attributes:
        callers: Number of callers, by kind of call.
        in_objective: Number of answers within their latency objective, by
            kind of call.
        late: Number of answers after the objective, but within the deadline.
        refused: Number of callers that were refused after all attempts, or got
            no answer in time.
        refusal_delays_s: Time from arrival to each refusal, seconds.
        last_target_starts: When calls were started at the last target,
            seconds.
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
        """Share of callers answered within their latency objective."""
        return sum(self.in_objective.values()) / max(
            1, sum(self.callers.values())
        )

    def share(self, name: str) -> float:
        """Returns the share of a kind's callers answered in the objective."""
        return self.in_objective[name] / max(1, self.callers[name])

    def refusal_delay(self, share: float) -> float:
        """Returns the delay that a share of refusals stays within, seconds."""
        delays = sorted(self.refusal_delays_s)
        return delays[int(len(delays) * share)] if delays else 0.0


class FifoQueue:
    """The earlier queue, which keeps calls in order until their deadline."""

    def __init__(self) -> None:
        self.capacity = _TARGET_SLOTS
        self.running = 0
        self.relative_latency = 0.0
        self._queue: collections.deque = collections.deque()

    @property
    def waiting(self) -> int:
        """Number of calls in the queue."""
        return len(self._queue)

    def submit(self, call: admission.QueuedCall, now: float) -> None:
        """Queues a call, and starts it if a slot is free."""
        self._queue.append(call)
        self.start_waiting(now)

    def finish(
        self, duration: float | None, latency_objective: float, now: float
    ) -> None:
        """Frees the slot of a call that has ended."""
        del duration, latency_objective
        self.running -= 1
        self.start_waiting(now)

    def refuse_late(self, now: float) -> None:
        """Refuses calls whose deadline has passed."""
        while self._queue and self._queue[0].deadline <= now:
            self._queue.popleft().refuse(
                admission.QueueRefusal(
                    0.1, 0.0, 0.0, self.running, len(self._queue)
                )
            )

    def start_waiting(self, now: float) -> None:
        """Starts calls while slots are free."""
        self.refuse_late(now)
        while self._queue and self.running < self.capacity:
            self.running += 1
            self._queue.popleft().start()


class _Target:
    """A target and its queue.

    `slowdown` is the duration of its calls, relative to the usual one.
    """

    def __init__(
        self, name: str, data_centre: str, queue: object, slowdown: float
    ) -> None:
        self.data_centre = data_centre
        self.queue = queue
        self.slowdown = slowdown
        self.name = name


class Simulation:
    """Simulates one scenario under one pair of policies."""

    def __init__(self, scenario: Scenario, shipped: bool, seed: int) -> None:
        """Creates the targets and entries.

        Args:
            scenario: Scenario to simulate.
            shipped: Whether to use the current policies, not the earlier ones.
            seed: Seed of arrivals and durations.
        """
        self.tally = CallerStats()
        self._scenario = scenario
        self._shipped = shipped
        self._rng = random.Random(seed)
        self._many_entries = scenario.entry_count > 1
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._round_robin = itertools.count()
        self._targets = [
            _Target(
                f"t{index}",
                _DATA_CENTRES[index % len(_DATA_CENTRES)],
                self._create_queue(),
                slowdown,
            )
            for index, slowdown in enumerate(scenario.slowdowns)
        ]
        # What each entry knows of each target, by the target's name.
        self._views = [
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
        self._policies = {
            id(view): zonepolicy.ZonePolicy(
                _DATA_CENTRES[index % len(_DATA_CENTRES)]
                if self._many_entries
                else "",
                zonepolicy.DEFAULT_PRICE,
                self._rng,
            )
            for index, view in enumerate(self._views)
        }

    def run(self) -> CallerStats:
        """Runs the simulation and returns what callers got."""
        for target in self._targets:
            self._report_load(target)
            first_report_at = self._scenario.report_interval_s
            if self._many_entries:
                first_report_at *= self._rng.random()
            self._schedule(
                first_report_at,
                functools.partial(self._report_periodically, target),
            )
        self._schedule(0.0, self._sweep)
        self._schedule(0.0, self._add_caller)
        while self._events and self._events[0][0] < _ARRIVALS_END_S + 3:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.tally

    def _create_queue(self) -> object:
        if not self._shipped:
            return FifoQueue()
        queue = admission.AdmissionQueue()
        queue.resize(self._scenario.slots, 0.0)
        return queue

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), action))

    def _joined_targets(self) -> list[_Target]:
        scenario = self._scenario
        if scenario.last_joins_at and self._now < scenario.last_joins_at:
            return self._targets[:-1]
        return self._targets

    def _add_caller(self) -> None:
        if self._now >= _ARRIVALS_END_S:
            return
        in_burst = 6 <= self._now < 10
        load = self._scenario.burst_load if in_burst else self._scenario.load
        work = sum(kind.work for kind in KINDS) / len(KINDS)
        capacity = sum(
            self._scenario.slots / slowdown
            for slowdown in self._scenario.slowdowns
        )
        calls_per_s = load * capacity / work
        self._schedule(
            self._now + self._rng.expovariate(calls_per_s), self._add_caller
        )
        kind = self._rng.choice(KINDS)
        self.tally.callers[kind.name] += 1
        self._send_call(kind, self._now, _MAX_RETRIES)

    def _send_call(
        self, kind: CallKind, first_sent_at: float, retries_left: int
    ) -> None:
        view = (
            self._rng.choice(self._views)
            if self._many_entries
            else self._views[0]
        )
        self._offer(
            kind, first_sent_at, self._now, retries_left, view, frozenset()
        )

    def _offer(
        self,
        kind: CallKind,
        first_sent_at: float,
        arrived_at: float,
        retries_left: int,
        view: dict[str, balancer.Candidate],
        tried: frozenset[str],
    ) -> None:
        target = self._choose(kind, first_sent_at, arrived_at, view, tried)
        candidate = view[target.name]
        candidate.sent_since_report += 1

        def start() -> None:
            if target is self._targets[-1]:
                self.tally.last_target_starts.append(self._now)
            work = kind.work * target.slowdown * self._rng.uniform(0.6, 1.4)
            self._schedule(self._now + work, lambda: finish(work))

        def finish(work: float) -> None:
            target.queue.finish(work, kind.latency_objective, self._now)
            lossy = target in self._targets[: self._scenario.lossy_targets]
            if lossy and self._rng.random() < _ANSWER_LOSS_RATE:
                candidate.record_failure(self._now)
                self.tally.refused += 1
                return
            candidate.record_success(self._now)
            if self._many_entries:
                self._record_load(candidate, target)
            latency = self._now - first_sent_at
            if latency <= kind.latency_objective:
                self.tally.in_objective[kind.name] += 1
            elif self._now <= arrived_at + kind.deadline:
                self.tally.late += 1
            else:
                self.tally.refused += 1

        def refuse(refusal: admission.QueueRefusal) -> None:
            if self._many_entries:
                self._record_load(candidate, target)
            tried_now = tried | {target.name}
            if (
                self._many_entries
                and self._shipped
                and len(tried_now) < _MAX_TARGETS
            ):
                self._offer(
                    kind,
                    first_sent_at,
                    arrived_at,
                    retries_left,
                    view,
                    tried_now,
                )
                return
            self.tally.refusal_delays_s.append(self._now - arrived_at)
            if retries_left:
                retry_at = self._now + max(0.05, refusal.retry_after)
                self._schedule(
                    retry_at,
                    lambda: self._send_call(
                        kind, first_sent_at, retries_left - 1
                    ),
                )
            else:
                self.tally.refused += 1

        target.queue.submit(
            admission.QueuedCall(
                kind.rank,
                kind.latency_objective,
                first_sent_at + kind.latency_objective,
                arrived_at + kind.deadline,
                start,
                refuse,
            ),
            self._now,
        )

    def _choose(
        self,
        kind: CallKind,
        first_sent_at: float,
        arrived_at: float,
        view: dict[str, balancer.Candidate],
        tried: frozenset[str],
    ) -> _Target:
        joined = self._joined_targets()
        if not self._shipped:
            return joined[next(self._round_robin) % len(joined)]
        choice = self._policies[id(view)].choose(
            (view[target.name] for target in joined),
            tried,
            zonepolicy.CallNeeds(
                kind.latency_objective,
                first_sent_at + kind.latency_objective - self._now,
                arrived_at + kind.deadline - self._now,
                answer_bytes=_ANSWER_BYTES,
            ),
            "",
            self._now,
        )
        chosen = choice.candidate
        return next(target for target in joined if view[target.name] is chosen)

    def _record_load(
        self, candidate: balancer.Candidate, target: _Target
    ) -> None:
        """Records the load of a target, as its answers report it."""
        candidate.reported_load = target.queue.running + target.queue.waiting
        candidate.sent_since_report = 0
        candidate.last_heard = self._now

    def _report_load(self, target: _Target) -> None:
        """Reports a target's state to all entries, as its daemon does."""
        for view in self._views:
            candidate = view[target.name]
            candidate.capacity = target.queue.capacity
            candidate.relative_latency = target.queue.relative_latency
            self._record_load(candidate, target)

    def _report_periodically(self, target: _Target) -> None:
        if target in self._joined_targets():
            self._report_load(target)
        if self._now < _ARRIVALS_END_S + 3:
            report_again = functools.partial(self._report_periodically, target)
            self._schedule(
                self._now + self._scenario.report_interval_s, report_again
            )

    def _sweep(self) -> None:
        for target in self._targets:
            target.queue.refuse_late(self._now)
        if self._now < _ARRIVALS_END_S + 3:
            self._schedule(self._now + _SWEEP_INTERVAL_S, self._sweep)


def run(quick: bool) -> None:
    """Prints what callers get under the earlier and the current policies.

    Args:
        quick: Whether to use one seed instead of five.
    """
    rows = []
    for scenario in SCENARIOS:
        for seed in range(1 if quick else 5):
            before = Simulation(scenario, False, seed).run()
            after = Simulation(scenario, True, seed).run()
            rows.append(
                {
                    "scenario": scenario.name,
                    "seed": seed,
                    "in_aim_before": round(before.share_in_objective, 3),
                    "in_aim": round(after.share_in_objective, 3),
                    "inner_before": round(before.share("inner"), 3),
                    "inner": round(after.share("inner"), 3),
                    "told_s_before": round(before.refusal_delay(0.9), 3),
                    "told_s": round(after.refusal_delay(0.9), 3),
                }
            )
    report.show("loads", rows)
