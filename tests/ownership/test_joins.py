"""What daemons write to the table when they start, with and without keys."""

from tests.support import simulation


def _start(keyed, count=6):
    cluster = simulation.Simulation(seed=3, ordered_keys=True)
    cluster.deploy(count)
    for daemon in cluster.daemons.values():
        daemon.core.keyed = keyed
    cluster.run(8)
    return cluster


def _commits(cluster, name):
    return [
        fields["kind"]
        for fields in cluster.events("commit")
        if fields["at"] == name and fields["outcome"] == "committed"
    ]


def test_a_daemon_without_keys_only_joins():
    cluster = _start(keyed=False)
    for name in cluster.daemons:
        assert _commits(cluster, name) == ["join"]


def test_a_daemon_without_keys_leaves_with_one_change():
    cluster = _start(keyed=False)
    daemon = cluster.daemons["seats-0"]
    daemon.core.drain()
    cluster.run(2)
    assert _commits(cluster, "seats-0") == ["join", "leave"]


def test_a_daemon_without_keys_joins_again_with_one_change():
    cluster = _start(keyed=False)
    cluster.log.clear()
    daemon = cluster.restart("seats-0")
    daemon.core.keyed = False
    cluster.run(3)
    assert _commits(cluster, "seats-0") == ["join"]
    addresses = [
        record.peer_address for record in daemon.core.view.open_records()
    ]
    assert len(addresses) == len(set(addresses)) == 6


def test_the_first_epoch_carries_the_flags():
    cluster = _start(keyed=True)
    for name in cluster.daemons:
        assert _commits(cluster, name)[:2] == ["join", "reconfigure"]
        assert "flag" not in _commits(cluster, name)


def test_keys_that_a_service_gets_later_are_owned():
    cluster = _start(keyed=False)
    for daemon in cluster.daemons.values():
        daemon.core.keyed = True
    assert cluster.run(10, cluster.is_balanced) is not None
    assert not cluster.violations


def test_daemons_that_start_together_choose_their_witnesses_once():
    cluster = simulation.Simulation(seed=3, ordered_keys=True)
    cluster.deploy(12)
    cluster.run(8)
    for name in cluster.daemons:
        reasons = [
            fields["reason"]
            for fields in cluster.events("commit")
            if fields["at"] == name and fields["outcome"] == "committed"
        ]
        assert reasons.count("witnesses") == 1
