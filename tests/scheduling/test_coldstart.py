"""Plays load on a cold target, with limits as operators state them."""

import random

import pytest

from tamarackgap.scheduling import admission, coldstart

# Calls per second, factor and further calls that callers' operators state, and
# the calls of any second that these allow.
LIMIT = coldstart.ColdLimit(7.0, 1.5, 8.0)
ALLOWED = 18


class ColdTarget:
    """Plays a target behind its queue in steps of two milliseconds."""

    def __init__(self, limit=LIMIT, cold_s=3.0, capacity=3, duration=0.06):
        self.now = 100.0
        self.duration = duration
        self.queue = admission.AdmissionQueue()
        self.queue.cold.limit = limit
        self.queue.cold.set_cold(cold_s, self.now)
        self.queue.resize(capacity, self.now)
        self.running = []
        self.started = []
        self.refused = []
        self.ended = 0

    def submit(self, rank=1, objective=0.282, deadline=1.13):
        submitted_at = self.now

        def start():
            self.started.append((self.now, rank, self.now - submitted_at))
            self.running.append((self.now + self.duration, objective))

        self.queue.submit(
            admission.QueuedCall(
                rank,
                objective,
                self.now + objective,
                self.now + deadline,
                start,
                lambda refusal: self.refused.append(
                    (self.now, rank, self.now - submitted_at, refusal)
                ),
            ),
            self.now,
        )

    def play(self, seconds, calls_per_second, rng, ranks=(1,)):
        """Plays calls that come at random times."""
        for _ in range(round(seconds / 0.002)):
            self.now += 0.002
            for ended in [r for r in self.running if r[0] <= self.now]:
                self.running.remove(ended)
                self.queue.finish(self.duration, ended[1], self.now)
            if rng.random() < calls_per_second * 0.002:
                self.submit(rng.choice(ranks))
            self.queue.refuse_late(self.now)

    def most_in_a_second(self):
        times = [time for time, _, _ in self.started]
        return max(
            sum(time <= other < time + 1.0 for other in times) for time in times
        )


@pytest.mark.parametrize("calls_per_second", [10, 25, 60, 300])
@pytest.mark.parametrize("seed", range(5))
def test_a_cold_target_gets_no_more_in_any_second_than_allowed(
    calls_per_second, seed
):
    target = ColdTarget()
    target.play(2.9, calls_per_second, random.Random(seed))
    assert target.most_in_a_second() <= ALLOWED
    assert len(target.started) <= 3.0 * LIMIT.pace + LIMIT.burst


def test_the_rate_is_used_while_there_is_more_to_do():
    target = ColdTarget()
    target.play(2.9, 60, random.Random(1))
    assert len(target.started) >= 2.9 * LIMIT.pace * 0.9


@pytest.mark.parametrize("seed", range(5))
def test_calls_sent_before_it_turned_cold_count(seed):
    target = ColdTarget(cold_s=0.0)
    rng = random.Random(seed)
    target.play(1.0, 17, rng)
    target.queue.cold.set_cold(3.0, target.now)
    turned_cold_at = target.now
    target.play(2.9, 60, rng)
    for start, _, _ in target.started:
        if start >= turned_cold_at - 1.0:
            in_second = [
                time
                for time, _, _ in target.started
                if start <= time < start + 1.0
            ]
            # What was sent before can't be taken back.
            if in_second[-1] >= turned_cold_at:
                assert len(in_second) <= ALLOWED


def test_the_most_urgent_calls_go_first():
    target = ColdTarget()
    target.play(2.9, 60, random.Random(1), ranks=(0, 1, 1, 1, 1, 1, 1, 1))
    ranks = [rank for _, rank, _ in target.started]
    refused = [rank for _, rank, _, _ in target.refused]
    # An eighth of 60 calls a second is urgent: all of them fit.
    assert refused.count(0) <= 2
    assert ranks.count(0) >= 15


def test_calls_that_cannot_run_in_time_are_refused_at_once():
    target = ColdTarget()
    for _ in range(60):
        target.submit()
    at_once = [wait for _, _, wait, _ in target.refused]
    assert len(at_once) >= 45
    assert set(at_once) == {0.0}
    target.play(1.2, 0, random.Random(1))
    # The others were sent, and none of them waited in vain.
    assert len(target.started) + len(at_once) == 60
    retry_after = target.refused[0][3].retry_after
    # The queue of what can run in time is that long.
    assert 0.2 < retry_after < 1.2
    assert target.refused[0][3].cold_wait > 0.2


def test_a_target_that_gets_warm_is_not_limited_any_more():
    target = ColdTarget(cold_s=1.0)
    target.play(1.0, 60, random.Random(1))
    cold_count = len(target.started)
    target.play(1.0, 45, random.Random(2))
    assert len(target.started) - cold_count > 30
    assert target.queue.offered_capacity(target.now) == 3


def test_a_cold_target_offers_what_its_rate_bears():
    target = ColdTarget(capacity=12)
    assert target.queue.offered_capacity(target.now) == 1
    target.play(1.0, 10, random.Random(1))
    # 10.5 calls a second of 0.06 s keep 0.63 running.
    assert target.queue.offered_capacity(target.now) == 1
    slow = ColdTarget(capacity=12, duration=0.4)
    slow.play(2.0, 10, random.Random(1))
    # 10.5 calls a second of 0.4 s keep 4.2 running.
    assert slow.queue.offered_capacity(slow.now) in (3, 4)
    slow.play(1.5, 10, random.Random(1))
    assert slow.queue.offered_capacity(slow.now) == 12


def test_a_target_may_be_taken_to_be_cold_without_end():
    target = ColdTarget(cold_s=float("inf"))
    target.play(5.0, 60, random.Random(1))
    assert target.most_in_a_second() <= ALLOWED
    assert len(target.started) <= 5.0 * LIMIT.pace + LIMIT.burst


def play_uneven_load(queue_has_cold_time):
    target = ColdTarget(
        coldstart.ColdLimit(), 60.0 if queue_has_cold_time else 0.0
    )
    rng = random.Random(3)
    target.play(2.0, 30, rng, ranks=(0, 1, 2))
    target.play(2.0, 90, rng, ranks=(0, 1, 2))
    return target.started, target.refused, target.queue.cold.held_count


def test_without_a_rate_a_cold_target_is_served_like_any_other():
    assert play_uneven_load(True) == play_uneven_load(False)
    target = ColdTarget(coldstart.ColdLimit(), 60.0)
    assert target.queue.offered_capacity(target.now) == 3


def test_calls_that_wait_are_counted():
    target = ColdTarget()
    target.play(1.0, 5, random.Random(1))
    assert target.queue.cold.held_count <= 1
    target.play(1.0, 60, random.Random(1))
    assert target.queue.cold.held_count > 30
