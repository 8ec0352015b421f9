"""A network of daemons that exchange states and rows, on a stepped clock."""

import types as module_types

from tamarackgap.peers import messages
from tamarackgap.placement import records
from tamarackgap.processes import peersync, rowsharing
from tamarackgap.scheduling import ways
from tamarackgap.traffic import targets

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
        receiver.receive(envelope)


class Daemon:
    """The parts of a daemon that exchange the state of targets and rows.

    Attributes:
        name: Its incarnation.
        address: Its address for other daemons.
        data_centre: Its data centre.
        members: The records of all daemons; shared by all of them.
        view: What stands for its copy of the table.
        directory: The targets that it knows of.
        loads: The load of each member, and when that was reported.
        sync: Exchanges the state of targets.
        sharer: Sends rows, and passes them on.
        row_updates: Number of messages with rows that it has received.
    """

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
            own_speed=0.0,
            record_member_load=self._record_load,
        )
        self.loads = {}
        self.directory = targets.TargetDirectory(core, network)
        queue = module_types.SimpleNamespace(
            offered_capacity=lambda now: 4,
            running=1,
            waiting=0,
            relative_latency=0.3,
            slowdown=lambda now: 1.0,
        )
        self.runner = module_types.SimpleNamespace(
            queue=queue, accepting=True, way=ways.Way()
        )
        self.sync = peersync.PeerSync(
            core,
            self,
            self.runner,
            self.directory,
            None,
            network,
            module_types.SimpleNamespace(
                version=0,
                as_of_ms=0,
                calls_lost_before_ms=0,
                hear_version=lambda *heard: None,
                hear_lost_calls=lambda before_ms: None,
            ),
        )
        self.sharer = rowsharing.RowSharer(core, self, self.directory, network)
        self.row_updates = 0

    def receive(self, envelope):
        """Handles a message as a router does."""
        if isinstance(envelope.message, messages.RowUpdates):
            self.row_updates += 1
            self.sharer.pass_on(envelope.message)
        else:
            self.sync.receive(envelope)

    def _record_load(self, name, load, reported_at, speed):
        self.loads[name] = (load, reported_at)

    def send(self, sender, address, message):
        self.network.deliver(self, address, message)

    def send_all(self, sender, addresses, message, can_wait=False):
        for address in sorted(addresses):
            self.network.deliver(self, address, message)

    def known(self):
        return {
            candidate.incarnation
            for candidate in self.directory.candidates_of_service("s")
            if candidate.is_usable(self.network.now)
        }


def start_network():
    """Returns a network in which all daemons have heard of each other."""
    network = Network(COUNT)
    for daemon in network.daemons.values():
        daemon.sync.update_new_daemons()
    network.run(12)
    return network
