import random
import types as module_types

import pytest

from tamarackgap.peers import calls
from tamarackgap.processes import tablesync

SOURCE = b'{"version":"0000000c","resources":[' + b'{"type":"x"},' * 30_000


class Timers:
    """Timers whose clock the test advances."""

    def __init__(self):
        self.now = 0.0
        self._due = []

    def after(self, seconds, call):
        timer = module_types.SimpleNamespace(at=self.now + seconds, call=call)
        timer.cancel = lambda: timer in self._due and self._due.remove(timer)
        self._due.append(timer)
        return timer

    def run(self, seconds):
        end = self.now + seconds
        while due := [timer for timer in self._due if timer.at <= end]:
            timer = min(due, key=lambda timer: timer.at)
            self._due.remove(timer)
            self.now = timer.at
            timer.call()
        self.now = end


class Daemon:
    """A daemon whose messages the test delivers."""

    def __init__(self, seed=1, version=1):
        self.timers = Timers()
        self.version = version
        self.sent = []
        self.tried = []
        self.unconnected = set()
        self.sync = tablesync.RouteTableSync(
            self._send,
            self.timers,
            random.Random(seed),
            lambda: module_types.SimpleNamespace(
                version=self.version, source=SOURCE
            ),
        )

    def _send(self, address, message):
        self.tried.append(address)
        if address in self.unconnected:
            return False
        self.sent.append((address, message))
        return True

    @property
    def asked(self):
        return [address for address, _ in self.sent]


def test_a_table_under_way_is_not_requested_again():
    # On slow links all daemons asked for a large table again five times a
    # second while it was on its way. Links were full for many seconds, new
    # routes got 404 for longer than is allowed, and calls came 20 s late.
    daemon = Daemon()
    for _ in range(9):
        daemon.sync.record_version(2, "a:1")
        daemon.timers.run(0.1)
    assert daemon.asked == ["a:1"]


def test_a_request_without_answer_is_made_to_another_daemon():
    daemon = Daemon()
    for address in ("a:1", "b:1"):
        daemon.sync.record_version(2, address)
    daemon.timers.run(1.5)
    assert sorted(daemon.asked) == ["a:1", "b:1"]
    daemon.timers.run(30)
    assert 4 < len(daemon.asked) < 15


def test_daemons_that_hear_of_a_table_together_ask_different_ones():
    asked = set()
    for seed in range(40):
        daemon = Daemon(seed)
        for number in range(9):
            daemon.sync.record_version(2, f"h{number}:1")
        daemon.timers.run(0.2)
        (address,) = daemon.asked
        asked.add(address)
    assert len(asked) > 6


def test_a_later_table_is_requested_as_soon_as_the_earlier_one_has_come():
    daemon = Daemon()
    daemon.sync.record_version(2, "a:1")
    daemon.timers.run(0.2)
    daemon.version = 2
    daemon.sync.record_version(3, "a:1")
    daemon.timers.run(0.2)
    assert daemon.asked == ["a:1", "a:1"]
    daemon.version = 3
    daemon.timers.run(30)
    assert len(daemon.asked) == 2


def test_a_newer_table_is_known_until_it_is_in_force():
    # A daemon answered 404 for routes of a table that it knew it lacked.
    daemon = Daemon()
    assert not daemon.sync.knows_newer
    daemon.sync.record_version(2, "a:1")
    assert daemon.sync.knows_newer
    daemon.version = 2
    assert not daemon.sync.knows_newer
    daemon.sync.record_version(1, "b:1")
    assert not daemon.sync.knows_newer


def test_a_table_is_passed_on_whole_and_small():
    daemon = Daemon(version=2)
    daemon.sync.answer("b:1", 2)
    ((_, update),) = daemon.sent
    assert len(update.source) < len(SOURCE) / 10
    assert tablesync.decode_update(update) == SOURCE


@pytest.mark.parametrize("source", [b"", b"{}", b"\x78\x01", b"x" * 100])
def test_an_update_that_is_no_table_is_dropped(source):
    assert tablesync.decode_update(calls.RouteTableUpdate(source)) is None


def test_a_request_without_a_connection_is_made_to_another_at_once():
    # It counted as made, and was repeated only after a second.
    for seed in range(8):
        daemon = Daemon(seed)
        daemon.unconnected = {"a:1"}
        for address in ("a:1", "b:1"):
            daemon.sync.record_version(2, address)
        daemon.timers.run(0.3)
        assert daemon.asked == ["b:1"]


def test_a_request_waits_for_the_only_daemon_to_be_connected():
    daemon = Daemon()
    daemon.unconnected = {"a:1"}
    daemon.sync.record_version(2, "a:1")
    daemon.timers.run(2.0)
    assert daemon.asked == []
    daemon.unconnected.clear()
    daemon.timers.run(0.1)
    assert daemon.asked == ["a:1"]


def test_a_daemon_that_tells_is_asked_where_the_one_asked_has_ended():
    daemon = Daemon()
    daemon.sync.record_version(2, "a:1")
    daemon.timers.run(2.5)
    count = len(daemon.asked)
    assert set(daemon.asked) == {"a:1"}
    daemon.sync.record_version(2, "b:1")
    daemon.timers.run(0.01)
    assert daemon.asked[count:] == ["b:1"]


def test_a_daemon_that_tells_is_not_asked_beside_one_that_is_alive():
    daemon = Daemon()
    for _ in range(10):
        daemon.sync.record_version(2, "a:1")
        daemon.timers.run(0.1)
    asked = list(daemon.asked)
    daemon.sync.record_version(2, "b:1")
    daemon.timers.run(0.01)
    assert daemon.asked == asked


def test_many_requests_get_few_copies_and_the_names_of_those_who_have_one():
    holder = Daemon(version=2)
    holder.sync.answer("h0:1", 2)
    size = len(holder.sent[0][1].source)
    requests = 2 * 262_144 // size + 4
    for number in range(1, requests):
        holder.sync.answer(f"h{number}:1", 2)
    kinds = [type(message).__name__ for _, message in holder.sent]
    copies = kinds.count("RouteTableUpdate")
    assert copies * size <= 262_144
    assert kinds[copies:] == ["RouteTableHolders"] * (requests - copies)
    got = {address for address, _ in holder.sent[:copies]}
    for _, message in holder.sent[copies:]:
        assert set(message.addresses) <= got
    # Later ones get copies again.
    holder.timers.run(1.1)
    holder.sync.answer("late:1", 2)
    assert isinstance(holder.sent[-1][1], calls.RouteTableUpdate)


def test_a_daemon_that_is_named_is_asked_and_answers_once_it_can():
    daemon = Daemon()
    daemon.sync.record_version(2, "a:1")
    daemon.timers.run(0.2)
    daemon.sync.handle_holders(("b:1",), "stranger:1")
    daemon.timers.run(0.2)
    assert daemon.asked == ["a:1"]
    daemon.sync.handle_holders(("b:1", "c:1"), "a:1")
    daemon.timers.run(0.2)
    assert len(daemon.asked) == 2
    assert daemon.asked[1] in ("b:1", "c:1")
    daemon.sync.answer("d:1", 2)
    assert len(daemon.sent) == 2
    daemon.version = 2
    daemon.sync.handle_change()
    assert daemon.sent[-1][0] == "d:1"
    assert isinstance(daemon.sent[-1][1], calls.RouteTableUpdate)
