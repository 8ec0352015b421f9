import pytest

from tamarackgap.processes import peersync
from tamarackgap.traffic import balancer

# Reads a second of all daemons together that a changing table may cost.
MOST_READS_PER_S = 20
# Messages a second that one daemon may spend on its status.
MOST_MESSAGES_PER_S = 100.001


@pytest.mark.parametrize("daemons", [1, 12, 25, 75, 1800])
def test_a_daemon_that_is_not_heard_twice_still_counts_as_there(daemons):
    interval = peersync.status_interval(daemons)
    assert interval >= 0.25
    told = balancer.Candidate("a", last_heard=0.0, interval=interval)
    assert not told.is_silent(2 * interval)


def test_few_daemons_hear_of_each_other_often():
    assert peersync.status_interval(12) == 0.25


def test_many_daemons_cost_fewer_messages_each():
    assert 75 / peersync.status_interval(75) <= 150


def test_messages_of_a_status_do_not_grow_with_the_daemons():
    for daemons in range(1, 101):
        told = daemons / peersync.status_interval(daemons)
        assert told <= MOST_MESSAGES_PER_S


def test_reads_of_a_changing_table_do_not_grow_with_the_daemons():
    for daemons in range(1, 81):
        assert daemons / peersync.read_pause(daemons) <= MOST_READS_PER_S
