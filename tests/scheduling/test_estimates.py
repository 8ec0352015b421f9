import pytest

from tamarackgap.scheduling import estimates


@pytest.mark.parametrize(
    ("running", "waiting", "wait"),
    [(0, 0, 0.0), (2, 0, 0.0), (3, 0, 0.1), (3, 2, 0.3), (3, 8, 0.9)],
)
def test_a_call_waits_for_those_before_it(running, waiting, wait):
    load = estimates.TargetLoad(3, running, waiting, relative_latency=0.3)
    estimate = estimates.estimate(load, latency_objective=1.0)
    assert estimate.wait == pytest.approx(wait)
    assert estimate.total == pytest.approx(wait + 0.3)


def test_a_target_that_is_slow_now_takes_longer_for_all_calls():
    usual = estimates.TargetLoad(3, 3, 3, relative_latency=0.2, age=0.4)
    slow = estimates.TargetLoad(
        3, 3, 3, relative_latency=0.2, slowdown=3.0, age=0.4
    )
    first = estimates.estimate(usual, 0.5)
    second = estimates.estimate(slow, 0.5)
    assert second.total == pytest.approx(3 * first.total)
    assert second.age == 0.4


def test_a_target_without_answers_is_taken_to_be_usual():
    estimate = estimates.estimate(estimates.TargetLoad(1, 0, 0), 1.0)
    assert estimate.duration == estimates.INITIAL_RELATIVE_LATENCY
