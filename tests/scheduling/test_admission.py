import pytest

from tamarackgap.scheduling import admission


class Target:
    """Simulates a target behind its queue in steps of one millisecond."""

    def __init__(self, capacity, duration=0.1, latency_objective=0.3):
        self.queue = admission.AdmissionQueue()
        self.now = 0.0
        self.queue.resize(capacity, 0.0)
        self.duration = duration
        self.latency_objective = latency_objective
        self.running = []
        self.started = []
        self.refused = []

    def submit(
        self, name, rank=1, latency_objective=None, deadline=1.0, waited=0.0
    ):
        latency_objective = latency_objective or self.latency_objective

        def start():
            self.started.append(name)
            self.running.append((self.now + self.duration, latency_objective))

        call = admission.QueuedCall(
            rank,
            latency_objective,
            self.now + latency_objective - waited,
            self.now + deadline,
            start,
            lambda refusal: self.refused.append((name, refusal)),
        )
        self.queue.submit(call, self.now)
        return call

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.001
            ended = [call for call in self.running if call[0] <= self.now]
            for call in ended:
                self.running.remove(call)
                self.queue.finish(self.duration, call[1], self.now)
            self.queue.refuse_late(self.now)


def test_call_starts_at_once_if_capacity_is_free():
    target = Target(2)
    target.submit("a")
    target.submit("b")
    assert target.started == ["a", "b"]
    assert target.queue.running == 2
    target.submit("c")
    assert target.queue.waiting == 1
    target.run(0.11)
    assert target.started == ["a", "b", "c"]


def test_calls_start_in_order_of_rank():
    target = Target(1)
    target.submit("first")
    target.submit("rank 2", rank=2)
    target.submit("rank 0", rank=0)
    target.run(0.15)
    assert target.started == ["first", "rank 0"]


def test_call_in_time_starts_before_late_call():
    target = Target(1)
    target.submit("first")
    target.submit("late", waited=0.29)
    target.submit("in time", latency_objective=0.3)
    target.run(0.15)
    assert target.started == ["first", "in time"]
    target.run(0.1)
    assert target.started == ["first", "in time", "late"]


def test_short_objective_starts_first_within_rank():
    target = Target(1)
    target.submit("first")
    target.submit("long", latency_objective=0.6)
    target.submit("short", latency_objective=0.2)
    target.run(0.15)
    assert target.started == ["first", "short"]


def test_call_that_cannot_start_in_time_is_refused_at_once():
    target = Target(1)
    target.submit("first")
    target.submit("too late", deadline=0.05)
    assert [name for name, _ in target.refused] == ["too late"]


def test_retry_after_grows_with_queue():
    target = Target(1)
    target.submit("first")
    for index in range(5):
        target.submit(index, deadline=10.0)
    target.submit("a", deadline=0.05)
    for index in range(5):
        target.submit(index, deadline=10.0)
    target.submit("b", deadline=0.05)
    (_, first), (_, second) = target.refused
    assert 0 < first.retry_after < second.retry_after


def test_all_calls_are_refused_without_target():
    target = Target(1)
    target.submit("first")
    target.submit("second")
    target.queue.resize(0, 0.0)
    assert [name for name, _ in target.refused] == ["second"]
    target.submit("third")
    assert [name for name, _ in target.refused] == ["second", "third"]


def test_withdrawn_call_never_starts():
    target = Target(1)
    target.submit("first")
    call = target.submit("second")
    assert target.queue.withdraw(call)
    assert not target.queue.withdraw(call)
    target.run(0.2)
    assert target.started == ["first"]


def test_capacity_shrinks_when_target_is_full_and_recovers():
    target = Target(10)
    for _ in range(3):
        target.queue.reduce_capacity()
    assert target.queue.capacity < 10
    for _ in range(40):
        target.queue._running += 1
        target.queue.finish(0.1, 0.3, 0.0)
    assert target.queue.capacity == 10


def test_kinds_of_one_rank_are_served_evenly_under_overload():
    # Calls with the shorter objective always have the earlier soft deadline;
    # ordered by deadline alone they would starve the others.
    target = Target(2, duration=0.05)
    offered = {"short": 0, "long": 0}
    next_arrival = 0.0
    while target.now < 10.0:
        if target.now >= next_arrival:
            for kind, latency_objective in (("short", 0.2), ("long", 0.4)):
                offered[kind] += 1
                target.submit(
                    (kind, offered[kind]),
                    latency_objective=latency_objective,
                    deadline=0.8,
                )
            next_arrival += 0.05 * 2 / 2 / 1.5
        target.run(0.001)
    served = {
        kind: sum(name[0] == kind for name in target.started) / offered[kind]
        for kind in offered
    }
    assert abs(served["short"] - served["long"]) < 0.15


@pytest.mark.parametrize("factor", [1.2, 1.6])
def test_target_stays_busy_and_refuses_early_under_overload(factor):
    # One kind of call, offered faster than the target can run it.
    target = Target(4, duration=0.1, latency_objective=0.3)
    arrivals = {}
    refused_after = {}
    interval = 0.1 / 4 / factor
    next_arrival = 0.0
    count = 0
    while target.now < 10.0:
        before = len(target.refused)
        while next_arrival <= target.now:
            arrivals[count] = target.now
            target.submit(count, deadline=1.0)
            count += 1
            next_arrival += interval
        target.run(0.001)
        for name, _ in target.refused[before:]:
            refused_after[name] = target.now - arrivals[name]
    started = len(target.started)
    assert started >= 0.95 * 10.0 * 4 / 0.1
    percentile_90 = sorted(refused_after.values())[
        int(len(refused_after) * 0.9)
    ]
    assert percentile_90 < 0.8


def test_refusal_holds_state_of_queue():
    target = Target(1, duration=10.0)
    target.submit("first")
    target.submit("second", deadline=0.5)
    target.run(0.5)
    ((name, refusal),) = target.refused
    assert name == "second"
    # The refused call counts as waiting.
    assert (refusal.running, refusal.waiting) == (1, 1)
    assert refusal.expected_wait > 0


class MixedTarget(Target):
    """A target whose calls take 0.3 of their latency objective."""

    def submit(self, name, rank, latency_objective, deadline):
        submitted_at = self.now

        def start():
            ends_at = self.now + 0.3 * latency_objective
            self.started.append((name, self.now - submitted_at))
            self.running.append((ends_at, latency_objective))

        call = admission.QueuedCall(
            rank,
            latency_objective,
            self.now + latency_objective,
            self.now + deadline,
            start,
            lambda refusal: self.refused.append((name, refusal)),
        )
        self.queue.submit(call, self.now)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.001
            ended = [call for call in self.running if call[0] <= self.now]
            for call in ended:
                self.running.remove(call)
                self.queue.finish(0.3 * call[1], call[1], self.now)
            self.queue.refuse_late(self.now)


def waits(target, name):
    return [wait for started, wait in target.started if started == name]


def test_urgent_calls_are_in_time_beside_too_many_long_calls():
    target = MixedTarget(capacity=5)
    for step in range(600):
        if step % 2 == 0:
            # Long calls are offered at 1.35 times the capacity.
            target.submit("long", 2, latency_objective=4.5, deadline=15.0)
        if step % 3 == 0:
            target.submit("urgent", 0, latency_objective=0.33, deadline=1.0)
        target.run(0.1)
    in_time = [wait for wait in waits(target, "urgent") if wait < 0.7 * 0.33]
    assert len(in_time) >= 0.95 * 200
    # The slot that is left free costs long calls a fifth of the capacity.
    assert len(waits(target, "long")) >= 0.9 * 60 * 4 / 1.35


def test_long_calls_use_all_slots_if_no_urgent_calls_arrive():
    target = MixedTarget(capacity=5)
    for _ in range(8):
        target.submit("long", 2, latency_objective=4.5, deadline=15.0)
    assert target.queue.running == 5


def test_short_calls_use_all_slots_beside_urgent_ones():
    target = MixedTarget(capacity=5)
    for _ in range(20):
        target.submit("urgent", 0, latency_objective=0.5, deadline=1.0)
        target.run(0.2)
    for _ in range(8):
        target.submit("short", 2, latency_objective=1.0, deadline=2.0)
    assert target.queue.running == 5
