from tests.support import simulation


def test_slots_released_for_a_daemon_that_has_left_stay_with_their_owner():
    # The write dropped them from their owner's record and put them in no other.
    cluster = simulation.Simulation(ordered_keys=True)
    cluster.deploy(4)
    assert cluster.run(20, cluster.is_balanced) is not None
    cluster.run(1)
    cluster.targets_release = False
    joined = cluster.add_daemon("seats-4", "a")
    owners = [
        daemon.core
        for daemon in cluster.daemons.values()
        if daemon is not joined
    ]
    assert cluster.run(5, lambda: any(o.is_releasing_slots for o in owners))
    releasing = [core for core in owners if core.is_releasing_slots]
    joined.core.drain()
    name = joined.core.incarnation
    assert cluster.run(
        3, lambda: all(core.view.lease(name) is None for core in releasing)
    )
    assert all(core.is_releasing_slots for core in releasing)
    for core in releasing:
        core.record_release({})
    cluster.kill("seats-4")
    cluster.targets_release = True
    cluster.run(5)
    assert sum(cluster.slot_counts().values()) == cluster.slot_count()
    assert cluster.violations == []
