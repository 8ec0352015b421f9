"""How rows that were just written reach all daemons of a large deployment."""

from tamarackgap.ownership import effects
from tamarackgap.placement import records
from tamarackgap.traffic import relays
from tests.support import peernetwork


def _share_rows(network, sender, involved=()):
    network.far = 0
    network.daemons[sender].sharer.share(
        effects.ShareRows(
            network.daemons[sender].name,
            (records.Row("lease/x", "{}", 11),),
            frozenset(network.daemons) - {sender},
            frozenset(involved),
        )
    )


def _receivers(network):
    return {
        daemon.address
        for daemon in network.daemons.values()
        if daemon.row_updates
    }


def test_rows_reach_all_daemons_with_few_messages_between_data_centres():
    network = peernetwork.start_network()
    _share_rows(network, "h:0", involved={"h:1"})
    assert network.far <= 2 * 2 + 1
    network.run(0.3)
    assert _receivers(network) == set(network.daemons) - {"h:0"}
    # One copy each, and those that relays get directly.
    total = sum(daemon.row_updates for daemon in network.daemons.values())
    assert total <= peernetwork.COUNT + 4


def test_the_second_relay_passes_rows_on_if_the_first_is_gone():
    network = peernetwork.start_network()
    sender = network.daemons["h:0"]
    delays = relays.pass_on_delays(
        sender.data_centre,
        list(sender.members),
        sender.directory.is_reachable,
    )
    first = {address for address, delay in delays.items() if not delay}
    assert len(first) == 2
    # Nobody has noticed yet.
    network.cut |= first
    _share_rows(network, "h:0")
    network.run(0.3)
    assert _receivers(network) == set(network.daemons) - first - {"h:0"}


def test_rows_reach_the_daemons_of_a_narrower_deployment_by_relays():
    network = peernetwork.Network(77)
    for daemon in network.daemons.values():
        daemon.sync.update_new_daemons()
    network.run(12)
    _share_rows(network, "h:0", involved={"h:1"})
    assert network.far <= 2 * 2 + 1
    network.run(0.3)
    assert _receivers(network) == set(network.daemons) - {"h:0"}
