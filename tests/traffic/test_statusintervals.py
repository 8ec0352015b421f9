import pytest

from tamarackgap.scheduling import balancer
from tamarackgap.traffic import statusintervals

# Status messages of one daemon.
MAX_MESSAGES_PER_S = 100.001


@pytest.mark.parametrize("daemons", [1, 12, 25, 75, 1800])
def test_a_daemon_is_not_silent_after_two_intervals(daemons):
    interval = statusintervals.near_interval(daemons)
    assert interval >= 0.25
    candidate = balancer.Candidate(
        "a", last_heard=0.0, status_interval=interval
    )
    assert not candidate.is_silent(2 * interval)


def test_few_daemons_send_their_status_often():
    assert statusintervals.near_interval(12) == 0.25


def test_many_daemons_send_fewer_messages_each():
    assert 75 / statusintervals.near_interval(75) <= 150


def test_status_messages_per_second_are_bounded():
    for daemons in range(1, 101):
        messages_per_s = daemons / statusintervals.near_interval(daemons)
        assert messages_per_s <= MAX_MESSAGES_PER_S


@pytest.mark.parametrize(("daemons", "data_centres"), [(195, 5), (300, 6)])
def test_far_daemons_are_sent_fewer_messages(daemons, data_centres):
    near = daemons / data_centres
    interval = statusintervals.near_interval(daemons)
    rounds = statusintervals.rounds_per_far_status(daemons)
    assert rounds * interval <= 2.0
    messages_per_s = (near + (daemons - near) / rounds) / interval
    assert messages_per_s <= 0.6 * daemons / interval


def test_few_daemons_send_far_daemons_each_status():
    assert statusintervals.rounds_per_far_status(12) == 1
    assert statusintervals.rounds_per_far_status(80) == 1
