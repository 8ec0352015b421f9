import pytest

from tamarackgap.peers import calls
from tamarackgap.traffic import leavings

GONE = calls.TargetProcess("i-1", 100)
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


class Network:
    """Daemons that keep leavings in memory, and one whose target leaves."""

    def __init__(self, count=COUNT):
        self.timers = Timers()
        self.memories = {
            f"h:{index}": leavings.LeavingMemory() for index in range(count)
        }
        self.cut = set()
        self.is_read = True
        self.confirmed = []
        self.sent = 0
        self.start()

    def start(self):
        """Starts the daemon anew; what it knew is gone."""
        self.left = []
        self.answered = []
        common = ("own", self.send, self.timers, self.peers)
        self.recorder = leavings.LeavingRecorder(*common)
        self.query = leavings.LeavingQuery(
            *common,
            self.left.append,
            lambda: self.answered.append(self.timers.now),
        )

    def peers(self):
        return leavings.Peers(frozenset(self.memories), self.is_read)

    def send(self, address, message):
        self.sent += 1
        if address in self.cut:
            return
        memory = self.memories[address]
        if isinstance(message, calls.TargetLeft):
            memory.record("own", message.process)
        answer = calls.TargetLeftAnswer(memory.find("own"))
        recorder, query = self.recorder, self.query

        def deliver():
            recorder.handle_answer(address, answer)
            query.handle_answer(address, answer)

        self.timers.after(0.003, deliver)

    def leave(self):
        self.recorder.confirm(GONE, self.confirmed.append)

    @property
    def keepers(self):
        return leavings.choose_keepers("own", frozenset(self.memories))


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
    assert network.answered[0] - restarted_at < 0.05


@pytest.mark.parametrize("lost", range(leavings.KEEPERS))
def test_a_leaving_is_known_when_a_keeper_has_started_anew(lost):
    network = Network()
    network.leave()
    network.timers.run(0.1)
    network.memories[network.keepers[lost]] = leavings.LeavingMemory()
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
    network.leave()
    network.timers.run(0.5)
    assert network.confirmed == []
    network.timers.run(0.5)
    assert network.confirmed == [False]
    network.cut = set()
    network.leave()
    network.timers.run(0.1)
    assert network.confirmed == [False, True]


def test_a_known_leaving_is_acknowledged_at_once_again():
    network = Network()
    network.leave()
    network.timers.run(0.1)
    sent = network.sent
    network.leave()
    assert network.confirmed == [True, True]
    assert network.sent == sent


def test_a_daemon_without_others_acknowledges_and_uses_its_target():
    network = Network(0)
    network.leave()
    network.timers.run(0.1)
    assert network.confirmed == [True]
    assert network.answered


def test_a_daemon_that_gets_no_answers_uses_its_target_after_a_second():
    network = Network()
    network.cut = set(network.memories)
    network.timers.run(0.9)
    assert not network.answered
    network.timers.run(0.3)
    assert network.answered
    assert not network.left


def test_a_daemon_that_can_not_read_the_table_asks_all_that_it_hears_of():
    network = Network()
    network.leave()
    network.timers.run(0.1)
    network.is_read = False
    known = network.memories
    network.memories = {}
    network.start()
    network.timers.run(0.5)
    assert not network.answered
    network.memories = known
    network.query.handle_new_peers()
    network.timers.run(0.1)
    assert GONE in network.left
    network.timers.run(2.5)
    assert network.answered


def test_the_last_leavings_of_each_daemon_are_kept():
    memory = leavings.LeavingMemory()
    processes = [calls.TargetProcess("i", born) for born in range(9)]
    for process in processes:
        memory.record("a", process)
        memory.record("a", process)
    assert memory.find("a") == tuple(processes[-4:])
    assert memory.find("b") == ()


def test_no_message_is_sent_once_all_is_known():
    network = Network()
    network.leave()
    network.timers.run(1.0)
    sent = network.sent
    network.timers.run(60.0)
    assert network.sent == sent
