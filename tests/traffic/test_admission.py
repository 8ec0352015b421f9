import pytest

from tamarackgap.traffic import admission


class Target:
    """A target with so many slots, in steps of one millisecond."""

    def __init__(self, capacity, work=0.1, latency_objective=0.3):
        self.queue = admission.AdmissionQueue()
        self.now = 0.0
        self.queue.resize(capacity, 0.0)
        self.work = work
        self.latency_objective = latency_objective
        self.running = []
        self.started = []
        self.refused = []

    def offer(
        self, name, rank=1, latency_objective=None, deadline=1.0, waited=0.0
    ):
        latency_objective = latency_objective or self.latency_objective

        def start():
            self.started.append(name)
            self.running.append((self.now + self.work, latency_objective))

        waiting = admission.QueuedCall(
            rank,
            latency_objective,
            self.now + latency_objective - waited,
            self.now + deadline,
            start,
            lambda refusal: self.refused.append((name, refusal)),
        )
        self.queue.offer(waiting, self.now)
        return waiting

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.001
            done = [item for item in self.running if item[0] <= self.now]
            for item in done:
                self.running.remove(item)
                self.queue.finish(self.work, item[1], self.now)
            self.queue.refuse_late(self.now)


def test_a_free_slot_is_used_at_once():
    target = Target(2)
    target.offer("a")
    target.offer("b")
    assert target.started == ["a", "b"]
    assert target.queue.running == 2
    target.offer("c")
    assert target.queue.waiting == 1
    target.run(0.11)
    assert target.started == ["a", "b", "c"]


def test_lower_ranks_wait_for_higher_ones():
    target = Target(1)
    target.offer("first")
    target.offer("later", rank=2)
    target.offer("sooner", rank=0)
    target.run(0.15)
    assert target.started == ["first", "sooner"]


def test_a_call_that_can_be_in_time_goes_before_a_late_one():
    target = Target(1)
    target.offer("first")
    target.offer("late", waited=0.29)
    target.offer("in time", latency_objective=0.3)
    target.run(0.15)
    assert target.started == ["first", "in time"]
    target.run(0.1)
    assert target.started == ["first", "in time", "late"]


def test_a_short_call_goes_before_a_long_one_of_its_rank():
    target = Target(1)
    target.offer("first")
    target.offer("long", latency_objective=0.6)
    target.offer("short", latency_objective=0.2)
    target.run(0.15)
    assert target.started == ["first", "short"]


def test_what_cannot_start_in_time_is_refused_at_once():
    target = Target(1)
    target.offer("first")
    target.offer("hopeless", deadline=0.05)
    assert [name for name, _ in target.refused] == ["hopeless"]


def test_advice_grows_with_the_queue():
    target = Target(1)
    target.offer("first")
    for index in range(5):
        target.offer(index, deadline=10.0)
    target.offer("a", deadline=0.05)
    for index in range(5):
        target.offer(index, deadline=10.0)
    target.offer("b", deadline=0.05)
    (_, sooner), (_, later) = target.refused
    assert 0 < sooner.retry_after < later.retry_after


def test_without_a_target_everything_is_refused():
    target = Target(1)
    target.offer("first")
    target.offer("second")
    target.queue.resize(0, 0.0)
    assert [name for name, _ in target.refused] == ["second"]
    target.offer("third")
    assert [name for name, _ in target.refused] == ["second", "third"]


def test_a_withdrawn_call_never_starts():
    target = Target(1)
    target.offer("first")
    waiting = target.offer("second")
    assert target.queue.withdraw(waiting)
    assert not target.queue.withdraw(waiting)
    target.run(0.2)
    assert target.started == ["first"]


def test_a_target_that_turns_calls_away_gets_fewer():
    target = Target(10)
    for _ in range(3):
        target.queue.reduce_capacity()
    assert target.queue.capacity < 10
    for _ in range(40):
        target.queue._running += 1
        target.queue.finish(0.1, 0.3, 0.0)
    assert target.queue.capacity == 10


def test_under_overload_kinds_of_one_rank_are_served_alike():
    # Short calls always have the nearest aim; long ones must not starve.
    target = Target(2, work=0.05)
    count = {"short": 0, "long": 0}
    due = 0.0
    while target.now < 10.0:
        if target.now >= due:
            for kind, latency_objective in (("short", 0.2), ("long", 0.4)):
                count[kind] += 1
                target.offer(
                    (kind, count[kind]),
                    latency_objective=latency_objective,
                    deadline=0.8,
                )
            due += 0.05 * 2 / 2 / 1.5
        target.run(0.001)
    started = {
        kind: sum(name[0] == kind for name in target.started) / count[kind]
        for kind in count
    }
    assert abs(started["short"] - started["long"]) < 0.15


@pytest.mark.parametrize("factor", [1.2, 1.6])
def test_overload_leaves_most_of_the_served_in_time(factor):
    # One kind of call, more of it than the target can run: what is served
    # should be in time, and what is refused should hear of it early.
    target = Target(4, work=0.1, latency_objective=0.3)
    arrivals = {}
    held = {}
    interval = 0.1 / 4 / factor
    due = 0.0
    count = 0
    while target.now < 10.0:
        while due <= target.now:
            arrivals[count] = target.now
            target.offer(count, deadline=1.0)
            count += 1
            due += interval
        before = len(target.refused)
        target.run(0.001)
        for name, _ in target.refused[before:]:
            held[name] = target.now - arrivals[name]
    # Starts are not stamped here: the order of the queue tells enough.
    served = len(target.started)
    assert served >= 0.95 * 10.0 * 4 / 0.1
    longest = sorted(held.values())[int(len(held) * 0.9)]
    assert longest < 0.8


def test_a_refusal_says_what_decided_it():
    target = Target(1, work=10.0)
    target.offer("first")
    target.offer("second", deadline=0.5)
    target.run(0.5)
    ((name, refusal),) = target.refused
    assert name == "second"
    # The one that was refused is the last that waited.
    assert (refusal.running, refusal.waiting) == (1, 1)
    assert refusal.expected_wait > 0
