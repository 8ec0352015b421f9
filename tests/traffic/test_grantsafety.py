"""Plays faults of targets and their orders on the stepped clock."""

import contextlib

import pytest

from tamarackgap.peers import messages
from tamarackgap.traffic import routetable
from tests.support import targetfaults, targetsimulation

Fault = targetfaults.Fault
CALL = routetable.GrantChannel.CALL
HEARTBEAT = routetable.GrantChannel.HEARTBEAT

VICTIM = "seats-1"
# A target announces itself again within this time, seconds.
ANNOUNCED_S = targetsimulation.ANNOUNCE_INTERVAL_S + 0.1


@contextlib.contextmanager
def settled_cluster(seed=1, count=5, **settings):
    with targetsimulation.TargetSimulation(seed, **settings) as cluster:
        cluster.deploy(count)
        assert cluster.run(20, cluster.is_settled) is not None
        assert cluster.slot_count() == targetsimulation.SLOT_COUNT
        cluster.run(2)
        yield cluster


def broken_rules(cluster, kind):
    """Returns what was seen of targets that broke a rule."""
    assert cluster.violations == []
    return [
        text for _, found, text in cluster.ledger.violations if found == kind
    ]


def restart_target_unnoticed(cluster):
    """Starts a target again; its first announcement is lost."""
    faults = cluster.hosts[VICTIM].faults
    faults.announcement_loss = 1.0
    cluster.restart_target(VICTIM)
    cluster.run(ANNOUNCED_S)
    faults.announcement_loss = 0.0
    cluster.run(3)


def test_slots_of_a_target_that_announces_its_restart_at_once_are_held_again():
    with settled_cluster() as cluster:
        cluster.restart_target(VICTIM)
        cluster.run(3)
        assert cluster.is_settled()
        assert cluster.violations == cluster.ledger.violations == []


def test_new_target_process_is_not_granted_slots_under_fence_of_earlier_one():
    with settled_cluster() as cluster:
        restart_target_unnoticed(cluster)
        assert broken_rules(cluster, "fence") == []


def test_lease_is_not_released_while_unnoticed_new_process_holds_slots():
    with settled_cluster() as cluster:
        restart_target_unnoticed(cluster)
        assert broken_rules(cluster, "holders") == []


def test_process_born_before_earlier_one_by_its_clock_has_a_higher_fence():
    with settled_cluster() as cluster:
        cluster.restart_target(VICTIM, clock_step_s=-100.0)
        cluster.run(3)
        assert broken_rules(cluster, "fence") == []


def test_lease_is_not_released_while_target_keeps_connections_open():
    # A target without room for another connection was taken for an ended one.
    with settled_cluster() as cluster:
        cluster.hosts[VICTIM].faults.refuses = True
        handler = cluster.sidecars[cluster.daemons[VICTIM]].handler
        handler.runner.on_connection_refused()
        cluster.run(3)
        assert broken_rules(cluster, "holders") == []
        assert handler.is_serving


def test_lease_is_not_released_while_target_that_refuses_connections_holds():
    with settled_cluster() as cluster:
        host = cluster.hosts[VICTIM]
        host.faults.refuses = True
        host.close_connections()
        cluster.run(3)
        assert broken_rules(cluster, "holders") == []


def test_lease_is_not_released_while_unheard_target_that_refuses_holds():
    # One late announcement beside refused connections made two holders.
    with settled_cluster(lease=3.0) as cluster:
        host = cluster.hosts[VICTIM]
        host.faults.refuses = True
        host.faults.announcement_loss = 1.0
        host.close_connections()
        cluster.run(5)
        assert broken_rules(cluster, "holders") == []


def test_holds_do_not_outlast_lease_that_ends_earlier_in_the_next_epoch():
    with settled_cluster(count=4) as cluster:
        core = cluster.daemons[VICTIM].core
        cluster.hosts[VICTIM].faults.max_work_s = 0.8
        cluster.add_daemon("seats-4", "a")
        assert cluster.run(3, lambda: core.is_releasing_slots) is not None
        next_epoch = core.epoch + 1
        cluster.is_lost = lambda message: (
            isinstance(message, messages.Renew) and message.epoch == next_epoch
        )
        assert cluster.run(3, lambda: core.epoch == next_epoch) is not None
        cluster.kill(VICTIM)
        cluster.is_lost = lambda message: False
        cluster.run(3)
        assert broken_rules(cluster, "holders") == []


def test_grant_carried_out_after_release_of_leaving_daemon_makes_no_holder():
    for seed in range(5):
        with settled_cluster(seed) as cluster:
            cluster.table_up = False
            faults = cluster.hosts[VICTIM].faults
            faults.late_share = 1.0
            faults.max_lateness_s = 0.8
            cluster.daemons[VICTIM].core.drain()
            cluster.run(3)
            assert broken_rules(cluster, "holders") == [], seed
            assert broken_rules(cluster, "fence") == [], seed


def test_late_end_of_a_release_does_not_release_the_lease_that_came_after_it():
    with settled_cluster(lease=3.0) as cluster:
        host = cluster.hosts[VICTIM]
        handler = cluster.sidecars[cluster.daemons[VICTIM]].handler
        host.process.leaving = True
        host.faults.max_work_s = 1.0
        cluster.table_up = False
        begun = cluster.run(4, lambda: handler.slot_grants.has_pending_releases)
        assert begun is not None
        cluster.restart_target(VICTIM)
        cluster.table_up = True
        cluster.run(8)
        assert broken_rules(cluster, "holders") == []


# Each seed that broke a rule stays.
STORIES = {
    "restart": ({Fault.RESTART}, CALL, 0),
    "clock-step": ({Fault.CLOCK_STEP}, CALL, 0),
    "refusal": ({Fault.REFUSAL}, CALL, 0),
    "epochs": (
        {
            Fault.LOST_MESSAGES,
            Fault.LONG_WORK,
            Fault.DAEMON_ENDS,
            Fault.DAEMON_LEAVING,
        },
        CALL,
        14,
    ),
    "daemon-leaving": (
        {Fault.LATE_GRANT, Fault.DAEMON_LEAVING, Fault.TABLE_AWAY},
        CALL,
        0,
    ),
    "target-leaving": (
        {Fault.LATE_GRANT, Fault.TARGET_LEAVING, Fault.TABLE_AWAY},
        CALL,
        9,
    ),
    "heartbeat-target-leaving": ({Fault.TARGET_LEAVING}, HEARTBEAT, 13),
    "all": (set(Fault), CALL, 0),
    "heartbeat-all": (set(Fault), HEARTBEAT, 4),
}


@pytest.mark.parametrize("story", STORIES)
def test_faults_make_no_second_holder_and_no_outdated_fence(story):
    faults, channel, seed = STORIES[story]
    cluster = targetfaults.play(faults, seed, 8.0, channel=channel)
    assert cluster.violations == cluster.ledger.violations == []


@pytest.mark.parametrize("channel", routetable.GrantChannel)
@pytest.mark.parametrize("seed", range(2))
def test_faults_that_restart_no_target_at_once_break_no_rule(channel, seed):
    faults = set(Fault) - {Fault.RESTART, Fault.CLOCK_STEP, Fault.REFUSAL}
    cluster = targetfaults.play(faults, seed, 8.0, channel=channel)
    assert cluster.violations == cluster.ledger.violations == []


def test_copy_of_an_earlier_answer_is_not_taken_for_one_to_a_release():
    for seed in range(3):
        with settled_cluster(seed, count=4) as cluster:
            for host in cluster.hosts.values():
                host.faults.copies_answers = True
                host.faults.max_work_s = 0.8
            cluster.run(1)
            cluster.add_daemon("seats-4", "a")
            assert cluster.run(20, cluster.is_settled) is not None
            assert broken_rules(cluster, "holders") == [], seed
