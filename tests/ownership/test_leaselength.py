"""Leases that become longer while their owners serve."""

import pytest

from tests.support import simulation


@pytest.fixture
def make_cluster():
    """Makes simulations; no slot may ever have had a second owner."""
    clusters = []

    def make(seed):
        cluster = simulation.Simulation(seed=seed)
        cluster.deploy()
        clusters.append(cluster)
        return cluster

    yield make
    assert [cluster.violations for cluster in clusters] == [[]]


def set_lease_length(cluster, length):
    for daemon in cluster.daemons.values():
        daemon.core.lease_length = length


def own_record(daemon):
    return daemon.core.view.lease(daemon.core.incarnation)


def lease_left(cluster, daemon):
    return daemon.core.lease_until() - daemon.clock(cluster.now)


@pytest.mark.parametrize("seed", range(4))
def test_longer_lease_takes_effect_without_interruption(make_cluster, seed):
    cluster = make_cluster(seed)
    cluster.run(10, cluster.all_slots_served)
    set_lease_length(cluster, 3.0)
    for _ in range(100):
        cluster.run(0.05)
        assert cluster.all_slots_served()
    for daemon in cluster.daemons.values():
        assert own_record(daemon).lease_ms == 3000
        assert lease_left(cluster, daemon) > 2.5


@pytest.mark.parametrize("seed", range(4))
def test_successor_waits_for_longer_lease(make_cluster, seed):
    cluster = make_cluster(seed)
    set_lease_length(cluster, 3.0)
    cluster.run(15, cluster.all_slots_served)
    cluster.run(3)
    victim = next(iter(cluster.daemons))
    lost = list(cluster.daemons[victim].core.owned)
    end = cluster.now + lease_left(cluster, cluster.daemons[victim])
    cluster.kill(victim)
    assert lost
    while cluster.now < end:
        assert not any(cluster.serving_daemons(slot) for slot in lost)
        cluster.run(0.05)
    cluster.run(1, cluster.all_slots_served)
    assert cluster.all_slots_served()


def test_paused_owner_keeps_longer_lease(make_cluster):
    cluster = make_cluster(3)
    set_lease_length(cluster, 3.0)
    cluster.run(15, cluster.all_slots_served)
    cluster.run(3)
    victim = next(iter(cluster.daemons.values()))
    incarnation = victim.core.incarnation
    victim.paused = True
    cluster.run(1.5)
    victim.paused = False
    cluster.run(1)
    assert victim.core.incarnation == incarnation
    assert cluster.all_slots_served()


def test_lease_of_an_incarnation_never_becomes_shorter(make_cluster):
    cluster = make_cluster(5)
    set_lease_length(cluster, 3.0)
    cluster.run(15, cluster.all_slots_served)
    cluster.run(3)
    set_lease_length(cluster, 0.6)
    # The loss of a witness makes its owners begin new epochs.
    cluster.kill(next(iter(cluster.daemons)))
    cluster.run(8)
    for daemon in cluster.daemons.values():
        if daemon.alive:
            assert own_record(daemon).lease_ms == 3000


@pytest.mark.parametrize("seed", range(4))
def test_restarted_process_waits_for_longer_lease_of_earlier_one(
    make_cluster, seed
):
    cluster = make_cluster(seed)
    set_lease_length(cluster, 3.0)
    cluster.run(15, cluster.all_slots_served)
    cluster.run(3)
    victim = next(iter(cluster.daemons))
    earlier = cluster.daemons[victim].core.incarnation
    end = cluster.now + lease_left(cluster, cluster.daemons[victim])
    cluster.restart(victim)
    restarted = cluster.daemons[victim]
    while cluster.now < end:
        cluster.run(0.05)
        record = restarted.core.view.lease(earlier)
        assert record is None or record.is_open
    cluster.run(3, cluster.all_slots_served)
    assert cluster.all_slots_served()


@pytest.mark.parametrize("seed", range(4))
def test_process_whose_target_is_empty_does_not_wait_for_earlier_lease(
    make_cluster, seed
):
    cluster = make_cluster(seed)
    set_lease_length(cluster, 6.0)
    cluster.run(15, cluster.all_slots_served)
    cluster.run(3)
    for name in list(cluster.daemons):
        cluster.restart(name)
        cluster.daemons[name].core.is_target_empty = True
    cluster.run(4, cluster.all_slots_served)
    assert cluster.all_slots_served()
