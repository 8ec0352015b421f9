import random

import pytest

from tamarackgap.scheduling import admission, slowdowns


def test_work_takes_as_long_as_usual_until_a_target_says_otherwise():
    slowdown = slowdowns.Slowdown()
    assert slowdown.at(5.0) == 1.0
    assert slowdown.during(0.3, 5.0) == 1.0


def test_the_last_figure_counts_now_and_the_average_later():
    slowdown = slowdowns.Slowdown()
    for step in range(200):
        slowdown.record(1.0 + step % 2, step * 0.05)
    last_at = 199 * 0.05
    assert slowdown.at(last_at) == pytest.approx(2.0)
    assert slowdown.at(last_at + 2.0) == pytest.approx(1.5, abs=0.05)
    short = slowdown.during(0.01, last_at)
    long = slowdown.during(1.0, last_at)
    assert 1.5 < long < 1.65 < 1.9 < short < 2.0


def test_a_wrong_figure_does_not_stop_all_calls():
    slowdown = slowdowns.Slowdown()
    slowdown.record(1e13, 0.0)
    assert slowdown.at(0.0) <= 20.0


def test_usual_duration_is_learnt_without_the_slowdown_of_the_moment():
    # The target is three times as slow for half of each half second.
    rng = random.Random(1)
    queue = admission.AdmissionQueue()
    queue.resize(4, 0.0)
    now = 0.0
    for step in range(400):
        now = step * 0.05
        slow = 3.0 if step % 10 < 5 else 1.0
        queue._running += 1
        queue.record_slowdown(slow, now)
        queue.finish(0.1 * slow * rng.uniform(0.9, 1.1), 0.5, now)
    assert queue.relative_latency == pytest.approx(0.2, rel=0.1)
    queue.record_slowdown(3.0, now + 2.0)
    queue.record_slowdown(3.0, now + 9.0)
    slow_duration = queue.expected_duration(0.5, now + 9.0)
    assert slow_duration == pytest.approx(0.3, rel=0.15)


def test_a_call_is_refused_that_a_slow_moment_makes_too_late():
    for slowdown, refused in ((1.0, 0), (4.0, 1)):
        queue = admission.AdmissionQueue()
        queue.resize(1, 0.0)
        queue._running += 1
        queue.finish(0.1, 0.5, 0.0)
        queue.record_slowdown(slowdown, 0.0)
        refusals = []
        for _ in range(2):
            queue.submit(
                admission.QueuedCall(
                    0, 0.5, 0.5, 0.6, lambda: None, refusals.append
                ),
                0.0,
            )
        assert len(refusals) == refused
