"""The messages that daemons of a large deployment exchange about targets."""

import pytest

from tests.support import peernetwork


@pytest.fixture(scope="module")
def network():
    return peernetwork.start_network()


def test_all_targets_stay_known_in_all_data_centres(network):
    everyone = {daemon.name for daemon in network.daemons.values()}
    for _ in range(10):
        network.run(0.5)
        for daemon in network.daemons.values():
            assert daemon.known() == everyone


def test_all_members_know_all_loads_within_seconds(network):
    network.run(4)
    for daemon in network.daemons.values():
        others = network.daemons.keys() - {daemon.address}
        for address in others:
            name = network.daemons[address].name
            load, reported_at = daemon.loads[name]
            assert load == len(name)
            assert network.now - reported_at <= 4


def test_a_far_daemon_that_joins_is_sent_the_status_at_once():
    network = peernetwork.Network(peernetwork.COUNT)
    sender = network.daemons["h:0"]
    joining = sender.members.pop()
    assert joining.data_centre != sender.data_centre
    newcomer = network.daemons[joining.peer_address]
    network.run(12.2)
    sender.members.append(joining)
    newcomer.directory.remove(sender.name)
    sender.view.version += 1
    # The next broadcast to near daemons comes before the next tick.
    before = network.far
    while network.far == before:
        network.run(0.05)
        assert network.now < 114
    network.run(0.8)
    assert sender.name in newcomer.known()


def test_few_messages_go_between_data_centres(network):
    network.far = 0
    network.run(10)
    # Two relays of each data centre send to two others each two seconds.
    assert network.far <= 2 * 2 * 3 * 10 / 2 + 12


def test_a_silent_daemon_is_noticed_in_all_data_centres():
    network = peernetwork.start_network()
    network.cut.add("h:7")
    network.run(6)
    for daemon in network.daemons.values():
        assert daemon.address == "h:7" or "i7" not in daemon.known()


def test_all_targets_are_known_again_after_a_partition():
    network = peernetwork.Network(peernetwork.COUNT)
    network.is_parted = True
    network.run(12)
    for daemon in network.daemons.values():
        assert len(daemon.known()) == peernetwork.COUNT / len(
            peernetwork.DATA_CENTRES
        )
    network.is_parted = False
    network.run(4)
    for daemon in network.daemons.values():
        assert len(daemon.known()) == peernetwork.COUNT


@pytest.mark.parametrize("count", [36, 77])
def test_states_between_data_centres_are_few_and_at_most_seconds_old(count):
    # 77 daemons sent each other 5,000 states a second between data centres.
    network = peernetwork.Network(count)
    for daemon in network.daemons.values():
        daemon.sync.update_new_daemons()
    network.run(12)
    network.far = 0
    network.run(10)
    # Two relays of each data centre send to two others each second.
    assert network.far <= 2 * 2 * 3 * 10 + 12
    everyone = {daemon.name for daemon in network.daemons.values()}
    for daemon in network.daemons.values():
        assert daemon.known() == everyone
        oldest = min(
            candidate.status_at
            for candidate in daemon.directory.candidates_of_service("s")
        )
        assert network.now - oldest <= 2.0
