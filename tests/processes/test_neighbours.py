import pytest

from tamarackgap.processes import neighbours
from tamarackgap.traffic import balancer


@pytest.mark.parametrize("daemons", [1, 12, 25, 75, 1800])
def test_a_daemon_that_is_not_heard_twice_still_counts_as_there(daemons):
    interval = neighbours.status_interval(daemons)
    assert interval >= 0.25
    assert 2 * interval < balancer.SILENCE_S


def test_few_daemons_hear_of_each_other_often():
    assert neighbours.status_interval(12) == 0.25


def test_many_daemons_cost_fewer_messages_each():
    assert 75 / neighbours.status_interval(75) <= 150
