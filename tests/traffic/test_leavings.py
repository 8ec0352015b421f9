import pytest

from tamarackgap import types
from tamarackgap.ownership import effects
from tamarackgap.peers import calls
from tamarackgap.placement import records
from tamarackgap.traffic import leavingquery, leavings, leavingtable

OWN = "10.0.0.1:7620"
GONE = types.TargetProcess("i-1", 100)
COUNT = 8


class Timers:
    def __init__(self):
        self.now = 50.0
        self._due = []

    def after(self, seconds, call):
        self._due.append((self.now + seconds, call))

    def run(self, seconds):
        end = self.now + seconds
        while due := sorted(
            (each for each in self._due if each[0] <= end),
            key=lambda each: each[0],
        ):
            self._due.remove(due[0])
            self.now = max(self.now, due[0][0])
            due[0][1]()
        self.now = end


class Table:
    """Stores rows by era; a transaction takes a moment."""

    def __init__(self, timers):
        self.timers = timers
        self.era = 7
        self.revision = 10
        self.rows = {}
        self.writes = 0
        self.is_away = False

    def commit(self, transaction, done):
        def answer():
            if self.is_away or transaction.era != self.era:
                done(effects.CommitState.UNKNOWN, [])
                return
            (check,), (write,) = transaction.checks, transaction.writes
            key = (transaction.era, write.key)
            known = self.rows.get(key)
            if (known.revision if known else 0) != check.revision:
                done(effects.CommitState.CONFLICT, [known])
                return
            self.writes += 1
            self.put(write.key, write.value)
            done(effects.CommitState.COMMITTED, [self.rows[key]])

        self.timers.after(0.006, answer)

    def put(self, key, value):
        self.revision += 1
        self.rows[self.era, key] = records.Row(
            key, value, self.revision, self.era
        )

    def restore(self, rows):
        self.rows = dict(rows)
        self.era += 1


class Network:
    """Daemons that know of leavings, and one whose target leaves."""

    def __init__(self, count=COUNT):
        self.timers = Timers()
        self.table = Table(self.timers)
        self.memories = {
            f"h:{index}": self.new_memory() for index in range(count)
        }
        self.cut = set()
        self.confirmed = []
        self.sent = 0
        self.starts = 0
        self.start()

    def new_memory(self):
        return leavings.LeavingMemory(self.timers)

    def start(self):
        """Starts the daemon anew; what it knew is gone."""
        self.starts += 1
        self.process = f"p-{self.starts}"
        self.left = []
        self.answered = []
        self.view = records.TableView()
        if not self.table.is_away:
            self.read_table()
        self.leaving_table = leavingtable.LeavingTable(
            OWN,
            self.view,
            self.table.commit,
            self.view.merge,
            self.timers,
        )
        common = (self.send, self.timers, self.peers)
        self.recorder = leavings.LeavingRecorder(
            OWN, *common, self.leaving_table
        )
        self.query = leavingquery.LeavingQuery(
            OWN,
            self.process,
            *common,
            lambda: leavingtable.read_evidence(self.view, OWN),
            self.left.append,
            lambda holds: self.answered.append((self.timers.now, holds)),
        )
        for address, memory in self.memories.items():
            if address not in self.cut:
                memory.hear(address=OWN, status=self.status())

    def restart_all(self):
        """Kills all daemons, and starts them."""
        for address in self.memories:
            self.memories[address] = self.new_memory()
        self.start()

    def status(self):
        return calls.TargetStatus(
            types.ServiceName("s"), True, 4, 0, 0, 0.0, 1,
            types.DataCentre("z"), self.process, 0.5,
        )  # fmt: skip

    def read_table(self):
        """Reads the table as it is now."""
        if self.table.era > self.view.era:
            self.view.begin_era(self.table.era)
        self.view.merge(self.table.rows.values())
        self.view.advance(types.Revision(self.table.revision))

    def write_lease(self, knows_leavings):
        """Writes this daemon's record of the present era."""
        lease = records.LeaseRecord(
            *("s", OWN, self.process, "z", OWN, OWN),
            knows_leavings=knows_leavings,
        )
        self.table.put(lease.key, records.encode(lease))

    def peers(self):
        return leavings.Peers(frozenset(self.memories), self.view.is_read)

    def seconds_until_use(self, started_at):
        return self.answered[0][0] - started_at

    def send(self, address, message):
        self.sent += 1
        if address in self.cut:
            return
        memory = self.memories[address]
        query = calls.TargetLeftQuery()
        if isinstance(message, calls.TargetLeft):
            memory.record(OWN, message.process)
        else:
            query = message
        answer = memory.answer(OWN, query)
        recorder, query = self.recorder, self.query

        def deliver():
            recorder.handle_answer(address, answer)
            query.handle_answer(address, answer)

        self.timers.after(0.003, deliver)

    def leave(self):
        self.recorder.confirm(GONE, self.confirmed.append)

    @property
    def keepers(self):
        return leavings.choose_keepers(OWN, frozenset(self.memories))


def test_a_leaving_is_known_after_a_restart_before_the_target_is_used():
    # A daemon that was killed right after its acknowledgement took a late
    # announcement for the present state.
    network = Network()
    network.leave()
    network.timers.run(0.1)
    assert network.confirmed == [True]
    network.start()
    restarted_at = network.timers.now
    network.timers.run(0.1)
    assert GONE in network.left
    assert network.seconds_until_use(restarted_at) < 0.05


def test_a_leaving_is_known_after_all_daemons_were_killed():
    # It was kept in memories only, and daemons that had just started themselves
    # answered that they knew of none.
    network = Network()
    network.leave()
    network.timers.run(0.1)
    assert network.confirmed == [True]
    network.restart_all()
    restarted_at = network.timers.now
    network.timers.run(0.1)
    assert GONE in network.left
    assert network.seconds_until_use(restarted_at) < 0.05


@pytest.mark.parametrize("lost", range(leavings.KEEPERS))
def test_a_leaving_is_known_when_a_keeper_has_started_anew(lost):
    network = Network()
    network.leave()
    network.timers.run(0.1)
    network.memories[network.keepers[lost]] = network.new_memory()
    network.start()
    network.timers.run(2.0)
    assert GONE in network.left


@pytest.mark.parametrize("cut_for_leaving", range(leavings.KEEPERS))
@pytest.mark.parametrize("cut_for_start", range(leavings.KEEPERS))
def test_a_leaving_is_known_when_other_keepers_can_not_be_reached(
    cut_for_leaving, cut_for_start
):
    network = Network()
    network.cut = {network.keepers[cut_for_leaving]}
    network.leave()
    network.timers.run(0.1)
    assert network.confirmed == [True]
    network.cut = {network.keepers[cut_for_start]}
    network.start()
    network.timers.run(0.1)
    assert GONE in network.left
    assert network.answered


def test_a_leaving_that_nobody_knows_of_is_not_acknowledged():
    network = Network()
    network.cut = set(network.memories)
    network.table.is_away = True
    network.leave()
    network.timers.run(0.5)
    assert network.confirmed == []
    network.timers.run(0.5)
    assert network.confirmed == [False]
    network.cut = set()
    network.table.is_away = False
    network.leave()
    network.timers.run(0.3)
    assert network.confirmed == [False, True]


@pytest.mark.parametrize("is_away", [True, False])
def test_a_leaving_is_acknowledged_before_the_target_gives_up(is_away):
    # Either the table or the other daemons know of it.
    network = Network()
    network.table.is_away = is_away
    network.cut = set() if is_away else set(network.memories)
    network.leave()
    network.timers.run(0.9)
    assert network.confirmed == [True]


def test_a_leaving_is_written_once_the_table_is_back():
    network = Network()
    network.table.is_away = True
    network.leave()
    network.timers.run(2.0)
    assert network.confirmed == [True]
    assert not network.table.writes
    network.table.is_away = False
    network.timers.run(0.3)
    network.restart_all()
    network.timers.run(0.1)
    assert GONE in network.left


def test_a_known_leaving_is_acknowledged_at_once_again():
    network = Network()
    network.leave()
    network.timers.run(0.1)
    sent = network.sent
    network.leave()
    assert network.confirmed == [True, True]
    assert network.sent == sent
    assert network.table.writes == 1


def test_a_daemon_without_others_acknowledges_and_uses_its_target():
    network = Network(0)
    network.leave()
    network.timers.run(0.1)
    assert network.confirmed == [True]
    assert network.answered


def test_a_daemon_that_gets_no_answers_uses_its_target_after_a_second():
    # The table has lost nothing.
    network = Network()
    network.cut = set(network.memories)
    network.timers.run(0.9)
    assert not network.answered
    network.timers.run(0.3)
    assert network.answered
    assert not network.left


def test_a_leaving_that_the_table_lacks_is_known_by_others():
    # It was acknowledged while the table was away; the daemon was killed, and
    # starts once the table is back.
    network = Network()
    network.table.is_away = True
    network.leave()
    network.timers.run(0.8)
    assert network.confirmed == [True]
    network.leaving_table.write_if_due = lambda: None
    network.table.is_away = False
    network.start()
    network.timers.run(0.1)
    assert GONE in network.left
    assert network.answered


def restored(others=(), **lease):
    """Returns a network whose table lost a leaving while all were killed."""
    network = Network()
    network.write_lease(knows_leavings=True)
    copy = dict(network.table.rows)
    network.leave()
    network.timers.run(0.1)
    assert network.confirmed == [True]
    network.table.restore(copy)
    if lease:
        network.write_lease(**lease)
    kept = {address: network.memories[address] for address in others}
    network.restart_all()
    network.memories.update(kept)
    return network


def test_daemons_that_have_just_started_are_no_evidence():
    # Their answers say that they know of none. A late announcement of before
    # must not count, however long all wait for each other.
    network = restored()
    network.timers.run(9.5)
    assert not network.answered
    network.timers.run(1.0)
    ((_, holds_before),) = network.answered
    assert not holds_before
    assert not network.left


def test_an_announcement_to_an_address_of_this_process_is_evidence():
    network = restored()
    asked = []
    network.query.on_no_evidence = lambda: asked.append(network.timers.now)
    restarted_at = network.timers.now
    network.timers.run(1.0)
    ((asked_at),) = asked
    assert asked_at - restarted_at < 0.3
    assert not network.answered
    network.query.handle_fresh_announcement()
    network.query.handle_fresh_announcement()
    assert network.answered == [(network.timers.now, False)]


def test_one_daemon_that_lived_through_the_kill_is_enough_after_a_second():
    network = restored(["h:3"])
    network.timers.run(0.9)
    assert GONE in network.left
    assert not network.answered
    network.timers.run(0.3)
    assert network.answered


def test_answers_of_the_keepers_are_enough_at_once():
    keepers = Network().keepers
    network = restored(keepers[:3])
    restarted_at = network.timers.now
    network.timers.run(0.1)
    assert GONE in network.left
    assert network.seconds_until_use(restarted_at) < 0.05


@pytest.mark.parametrize("knows", [True, False])
def test_a_restored_table_is_evidence_if_written_to_by_one_that_knew(knows):
    network = restored(knows_leavings=knows)
    network.timers.run(0.1)
    assert bool(network.answered) is knows


def test_a_leaving_is_written_again_after_the_table_went_back():
    network = Network()
    copy = dict(network.table.rows)
    network.leave()
    network.timers.run(0.1)
    assert network.leaving_table.is_complete
    network.table.restore(copy)
    network.read_table()
    assert not network.leaving_table.is_complete
    network.leaving_table.write_if_due()
    network.timers.run(0.1)
    assert network.leaving_table.is_complete
    network.restart_all()
    network.timers.run(0.1)
    assert GONE in network.left


def test_a_daemon_that_was_not_there_before_is_used_by_those_that_were():
    # A VM that is added long after the table went back.
    network = Network()
    network.table.restore({(7, "policy/s/z"): records.Row("x", None, 1, 7)})
    network.timers.run(20.0)
    for memory in network.memories.values():
        memory._daemons.clear()
    network.start()
    started_at = network.timers.now
    network.timers.run(0.1)
    assert network.seconds_until_use(started_at) < 0.05


@pytest.mark.parametrize("is_known", [True, False])
def test_a_table_that_failed_at_the_start_may_lack_a_leaving(is_known):
    # It was acknowledged by the memories of others while the table was away.
    network = Network()
    network.table.is_away = True
    network.leave()
    network.timers.run(0.8)
    assert network.confirmed == [True]
    if is_known:
        network.start()
    else:
        network.restart_all()
    network.query.handle_table_failure()
    network.timers.run(0.5)
    network.table.is_away = False
    network.read_table()
    network.query.handle_table_read()
    network.timers.run(2.0)
    assert bool(network.answered) is is_known
    assert (GONE in network.left) is is_known


def test_a_daemon_that_can_not_read_the_table_asks_all_that_it_hears_of():
    network = Network()
    network.leave()
    network.timers.run(0.1)
    network.table.is_away = True
    known = network.memories
    network.memories = {}
    network.start()
    network.timers.run(0.5)
    assert not network.answered
    network.memories = known
    network.query.handle_table_read()
    network.timers.run(0.1)
    assert GONE in network.left
    network.timers.run(2.5)
    assert network.answered


def test_the_last_leavings_of_each_daemon_are_kept():
    memory = leavings.LeavingMemory(Timers())
    processes = [types.TargetProcess("i", born) for born in range(9)]
    for process in processes:
        memory.record("a", process)
        memory.record("a", process)
    query = calls.TargetLeftQuery()
    assert memory.answer("a", query).left == tuple(processes[-4:])
    assert memory.answer("b", query).left == ()


def test_leavings_are_heard_with_the_status():
    # A keeper that starts anew is told by the daemon that has acknowledged.
    memory = leavings.LeavingMemory(Timers())
    network = Network()
    status = network.status()
    memory.hear(OWN, calls.TargetStatus(*_fields(status)[:-1], (GONE,)))
    same = memory.answer(OWN, calls.TargetLeftQuery(status.process))
    assert same == calls.TargetLeftAnswer((GONE,), False)
    later = memory.answer(OWN, calls.TargetLeftQuery("p-9"))
    assert later == calls.TargetLeftAnswer((GONE,), True)


def _fields(status):
    return [getattr(status, name) for name in status.__struct_fields__]


def test_no_message_is_sent_once_all_is_known():
    network = Network()
    network.leave()
    network.timers.run(1.0)
    sent = network.sent
    network.timers.run(60.0)
    assert network.sent == sent
    assert network.table.writes == 1
