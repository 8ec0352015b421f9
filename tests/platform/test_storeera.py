"""The configuration is followed when the store comes back from a copy."""

import base64
import json
import types as module_types

import pytest
from returns import result

from standins import platformcluster
from tamarackgap.network import bytebudget, exchanges, httppool
from tamarackgap.platform import store, storeera


def answer(era=None, status=200, **body):
    headers = [] if era is None else [(b"store-era", era)]
    data = json.dumps({"ver": 1, "now_ms": 5, "rows": [], **body}).encode()
    return httppool.Answer(status, headers, data)


@pytest.mark.parametrize(
    "eras",
    [
        [None, None],
        [b"1", b"1"],
        [b"7", b"7"],
        [b"3", b"2"],
        [b"3", None],
        [b"3", b"-4"],
        [b"3", b"4.0"],
        [b"3", b"\xff"],
        [b"3", b"1" * 400],
    ],
)
def test_an_era_that_stays_falls_or_is_odd_is_no_rise(eras):
    follower = storeera.EraFollower()
    assert [follower.record(answer(era)) for era in eras] == [False] * 2
    assert follower.era == int(eras[0] or b"0")


@pytest.mark.parametrize("eras", [[None, b"1"], [b"1", b"2"], [b"9", b"12"]])
def test_an_era_that_rises_is_told_once(eras):
    follower = storeera.EraFollower()
    follower.record(answer(eras[0]))
    assert follower.record(answer(eras[1]))
    assert not follower.record(answer(eras[1]))
    # A late answer of before changes nothing.
    assert not follower.record(answer(eras[0]))
    assert follower.era == int(eras[1])


class Pool:
    """Holds the calls of a store's client; the test answers them."""

    def __init__(self):
        self.calls = []

    def send(self, build, timeout, done):
        path = build().split(b" ", 2)[1].decode()
        call = module_types.SimpleNamespace(path=path, done=done, open=True)
        self.calls.append(call)
        return call

    def cancel(self, call):
        call.open = False


class Client:
    """A client that follows the configuration; its rows are never answered."""

    def __init__(self):
        self.now = 100.0
        self.due = []
        self.versions = []
        self.checks = 0
        self.store = store.Store(
            None, self, "127.0.0.1:1", bytebudget.ByteBudget()
        )
        self.pool = self.store._pool = Pool()
        self.store.watch(lambda *rows: None, lambda problem: None)
        self.store.watch_route_table(
            lambda table: self.versions.append(table.version), self._check
        )

    def _check(self, as_of):
        self.checks += 1

    def after(self, seconds, call):
        timer = module_types.SimpleNamespace(call=call)
        timer.cancel = lambda: self.due.remove(timer)
        self.due.append(timer)
        return timer

    def fire(self):
        while self.due:
            self.due.pop(0).call()

    @property
    def call(self):
        """The last call for the configuration."""
        return [c for c in self.pool.calls if "table=op" in c.path][-1]

    def respond(self, given, call=None):
        (call or self.call).done(result.Success(given))
        self.fire()

    def fail(self):
        failure = exchanges.Failure(exchanges.Cause.CLOSED, True)
        self.call.done(result.Failure(failure))


def config(version, ver):
    source = platformcluster.configuration(
        version, *platformcluster.DEFAULT_RESOURCES
    )
    value = base64.b64encode(source).decode()
    return {"ver": ver, "rows": [{"key": "config", "ver": ver, "value": value}]}


@pytest.fixture
def client():
    client = Client()
    client.respond(answer(b"1", **config(4, 20)))
    assert "after=20" in client.call.path
    return client


def test_changes_under_versions_given_out_again_are_read(client):
    # The copy has version 12; it is at 25 again when the poll ends, and the
    # configuration was written under 18.
    client.respond(answer(b"2", ver=25))
    assert "rows-get" in client.call.path
    client.respond(answer(b"2", **config(5, 25)))
    assert client.versions == [4, 5]
    assert "after=25" in client.call.path


def test_a_poll_under_way_ends_when_another_call_shows_the_new_era(client):
    poll = client.call
    client.store.call("POST", "/-/rows-tx", b"", 1.0, lambda outcome: None)
    client.respond(answer(b"2", 429), client.pool.calls[-1])
    assert not poll.open
    assert "rows-get" in client.call.path


def test_a_watch_that_fails_reads_the_table_when_it_is_answered(client):
    client.fail()
    client.due.pop(0).call()
    assert "after=20" in client.call.path
    other = client.pool.calls[0]
    other.done(result.Success(answer(b"2", 503)))
    client.respond(answer(b"2", ver=30))
    assert "rows-get" in client.call.path
    client.respond(answer(b"2", **config(5, 31)))
    assert client.versions[-1] == 5


@pytest.mark.parametrize("era", [b"1", b"0", b"x", None])
def test_changes_are_followed_while_the_era_does_not_rise(client, era):
    client.respond(answer(era, ver=25))
    assert "after=25" in client.call.path


def test_an_older_configuration_of_the_copy_is_no_proof(client):
    checks = client.checks
    client.respond(answer(b"2", 410))
    client.respond(answer(b"2", **config(4, 12)))
    assert client.checks == checks + 1
