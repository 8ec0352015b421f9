"""The messages that daemons of a large deployment exchange about targets."""

import collections
import types as module_types

import pytest

from tamarackgap.ownership import effects
from tamarackgap.peers import messages
from tamarackgap.placement import records
from tamarackgap.processes import peersync
from tamarackgap.traffic import statusrelay, targets

COUNT = 120
DATA_CENTRES = ["a", "b", "c"]


class Network:
    """Delivers messages between daemons, and counts them.

    Attributes:
        now: Time in seconds.
        daemons: The daemons by address.
        far: Number of messages between data centres.
        cut: Addresses that get and send nothing.
        is_parted: Whether no message passes between data centres.
    """

    def __init__(self, count):
        self.now = 100.0
        self.far = 0
        self.cut = set()
        self.is_parted = False
        self._queue = []
        self._sequence = 0
        members = [
            records.LeaseRecord(
                service="s",
                daemon=f"d{index}",
                incarnation=f"i{index}",
                data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
                peer_address=f"h:{index}",
                http_address=f"c:{index}",
                lease_ms=1000,
                linger_ms=0,
                accepting=True,
            )
            for index in range(count)
        ]
        self.daemons = {
            member.peer_address: Daemon(self, member, members)
            for member in members
        }

    def after(self, seconds, call):
        self._sequence += 1
        self._queue.append((self.now + seconds, self._sequence, call))

    def run(self, seconds):
        end = self.now + seconds
        while self._queue:
            entry = min(self._queue, key=lambda entry: entry[:2])
            if entry[0] > end:
                break
            self._queue.remove(entry)
            self.now = entry[0]
            entry[2]()
        self.now = end

    def deliver(self, source, destination, message):
        if source.address in self.cut or destination in self.cut:
            return
        receiver = self.daemons[destination]
        is_far = receiver.data_centre != source.data_centre
        if is_far and self.is_parted:
            return
        self.far += is_far
        envelope = messages.decode(
            messages.encode(
                messages.Envelope("d", source.name, source.address, message)
            )
        )
        receiver.sync.receive(envelope)


class Daemon:
    """A daemon's part that exchanges the state of targets."""

    def __init__(self, network, record, members):
        self.name = record.incarnation
        self.address = record.peer_address
        self.data_centre = record.data_centre
        self.network = network
        self.members = members
        self.view = view = module_types.SimpleNamespace(
            open_records=lambda: members,
            lease=lambda name: None,
            version=1,
        )
        core = module_types.SimpleNamespace(
            incarnation=self.name,
            view=view,
            settings=module_types.SimpleNamespace(
                peer_address=self.address,
                data_centre=self.data_centre,
                service="s",
            ),
            own_load=float(len(self.name)),
            record_member_load=self._record_load,
        )
        self.loads = {}
        self.directory = targets.TargetDirectory(core, network)
        queue = module_types.SimpleNamespace(
            capacity=4, running=1, waiting=0, relative_latency=0.3
        )
        self.runner = module_types.SimpleNamespace(queue=queue, accepting=True)
        self.sync = peersync.PeerSync(
            core,
            self,
            self.runner,
            self.directory,
            None,
            network,
            lambda: None,
        )

    def _record_load(self, name, load, reported_at):
        self.loads[name] = (load, reported_at)

    def send(self, sender, address, message):
        self.network.deliver(self, address, message)

    def send_all(self, sender, addresses, message):
        for address in sorted(addresses):
            self.network.deliver(self, address, message)

    def known(self):
        return {
            candidate.incarnation
            for candidate in self.directory.candidates_of_service("s")
            if candidate.is_usable(self.network.now)
        }


@pytest.fixture(scope="module")
def network():
    started = Network(COUNT)
    for daemon in started.daemons.values():
        daemon.sync.update_new_daemons()
    started.run(12)
    return started


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
    network = Network(COUNT)
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
    network = Network(COUNT)
    for daemon in network.daemons.values():
        daemon.sync.update_new_daemons()
    network.run(12)
    network.cut.add("h:7")
    network.run(6)
    for daemon in network.daemons.values():
        assert daemon.address == "h:7" or "i7" not in daemon.known()


def test_all_targets_are_known_again_after_a_partition():
    network = Network(COUNT)
    network.is_parted = True
    network.run(12)
    for daemon in network.daemons.values():
        assert len(daemon.known()) == COUNT / len(DATA_CENTRES)
    network.is_parted = False
    network.run(4)
    for daemon in network.daemons.values():
        assert len(daemon.known()) == COUNT


def _share_rows(network, sender, revision, involved=()):
    """Lets a daemon share a row; returns who gets it, and how often."""
    received = collections.Counter()
    for daemon in network.daemons.values():
        daemon.sync.receive = _recorder(daemon, received, revision)
    network.far = 0
    row = records.Row("lease/x", "{}", revision)
    network.daemons[sender].sync.share_rows(
        effects.ShareRows(
            network.daemons[sender].name,
            (row,),
            frozenset(network.daemons) - {sender},
            frozenset(involved),
        )
    )
    return received


def _recorder(daemon, received, revision):
    receive = type(daemon.sync).receive

    def record(envelope):
        message = envelope.message
        if (
            isinstance(message, messages.RowUpdates)
            and message.rows[0].revision == revision
        ):
            received[daemon.address] += 1
        return receive(daemon.sync, envelope)

    return record


def test_rows_reach_all_daemons_with_few_messages_between_data_centres(
    network,
):
    received = _share_rows(network, "h:0", 11, involved={"h:1"})
    assert network.far <= 2 * 2 + 1
    network.run(0.3)
    assert set(received) == set(network.daemons) - {"h:0"}
    # One copy each, and those that relays get directly.
    assert sum(received.values()) <= COUNT + 4


def test_the_second_relay_passes_rows_on_if_the_first_is_gone():
    network = Network(COUNT)
    for daemon in network.daemons.values():
        daemon.sync.update_new_daemons()
    network.run(12)
    sender = network.daemons["h:0"]
    delays = statusrelay.relay_delays(
        sender.data_centre,
        list(sender.members),
        sender.directory.is_reachable,
    )
    first = {address for address, delay in delays.items() if not delay}
    assert len(first) == 2
    # Nobody has noticed yet.
    network.cut |= first
    received = _share_rows(network, "h:0", 12)
    network.run(0.3)
    assert set(received) == set(network.daemons) - first - {"h:0"}
