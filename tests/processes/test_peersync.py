import pytest

from tamarackgap.processes import peersync
from tamarackgap.traffic import balancer

# Reads of a changing table by all daemons together.
MAX_READS_PER_S = 20
# Status messages of one daemon.
MAX_MESSAGES_PER_S = 100.001


@pytest.mark.parametrize("daemons", [1, 12, 25, 75, 1800])
def test_a_daemon_is_not_silent_after_two_intervals(daemons):
    interval = peersync.status_interval(daemons)
    assert interval >= 0.25
    candidate = balancer.Candidate(
        "a", last_heard=0.0, status_interval=interval
    )
    assert not candidate.is_silent(2 * interval)


def test_few_daemons_send_their_status_often():
    assert peersync.status_interval(12) == 0.25


def test_many_daemons_send_fewer_messages_each():
    assert 75 / peersync.status_interval(75) <= 150


def test_status_messages_per_second_are_bounded():
    for daemons in range(1, 101):
        messages_per_s = daemons / peersync.status_interval(daemons)
        assert messages_per_s <= MAX_MESSAGES_PER_S


def test_table_reads_per_second_are_bounded():
    for daemons in range(1, 81):
        assert daemons / peersync.read_pause(daemons) <= MAX_READS_PER_S
