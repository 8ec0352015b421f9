"""Tables are followed when the store comes back from a copy."""

import base64
import json
import types as module_types

import pytest
from returns import result

from standins import platformcluster
from tamarackgap.network import bytebudget, exchanges, httppool
from tamarackgap.ownership import effects
from tamarackgap.placement import records
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
    """A client that follows both tables."""

    def __init__(self):
        self.now = 100.0
        self.due = []
        self.versions = []
        self.checks = 0
        self.store = store.Store(
            None, self, "127.0.0.1:1", bytebudget.ByteBudget()
        )
        self.pool = self.store._pool = Pool()
        self.reads = []
        self.store.watch(
            lambda rows, ver, as_of, era: self.reads.append((rows, ver, era)),
            lambda problem: None,
        )
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

    @property
    def own_call(self):
        """The last call for the system's own rows."""
        return [c for c in self.pool.calls if "table=tam" in c.path][-1]

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


def own_rows(ver, *keys):
    value = base64.b64encode(b"{}").decode()
    return {
        "ver": ver,
        "rows": [{"key": key, "ver": ver, "value": value} for key in keys],
    }


def test_the_systems_rows_are_read_whole_after_the_era_has_risen(client):
    client.respond(answer(b"1", **own_rows(20, "@1/lease/a")), client.own_call)
    assert "after=20" in client.own_call.path
    client.respond(answer(b"2", ver=25), client.own_call)
    assert "rows-get" in client.own_call.path
    rows = own_rows(25, "@1/lease/a", "@2/lease/a", "lease/b")
    client.respond(answer(b"2", **rows), client.own_call)
    read, ver, era = client.reads[-1]
    assert (ver, era) == (25, 2)
    assert [(row.key, row.era) for row in read] == [
        ("lease/a", 1),
        ("lease/a", 2),
        ("lease/b", 0),
    ]


def test_rows_of_an_ended_era_are_no_answer(client):
    client.respond(answer(b"2", ver=30), client.own_call)
    client.respond(answer(b"2", ver=30), client.own_call)
    count = len(client.reads)
    client.respond(answer(b"1", ver=40), client.own_call)
    assert len(client.reads) == count


def test_pages_of_two_eras_are_not_put_together(client):
    page = {**own_rows(20, "@1/lease/a"), "has_more": True}
    client.respond(answer(b"1", **page), client.own_call)
    client.respond(answer(b"2", **own_rows(12, "@1/z")), client.own_call)
    assert client.reads == []
    client.respond(answer(b"2", **own_rows(12, "@1/z")), client.own_call)
    assert [row.key for row in client.reads[-1][0]] == ["z"]


@pytest.mark.parametrize("status", [200, 412])
def test_the_outcome_of_an_earlier_eras_transaction_is_unknown(client, status):
    outcomes = []
    transaction = records.Transaction(
        "c", (records.Check("a", 3),), (records.Write("a", "{}"),), 1
    )
    client.store.commit(transaction, lambda *each: outcomes.append(each))
    client.respond(answer(b"2", status), client.pool.calls[-1])
    assert outcomes == [(effects.CommitState.UNKNOWN, [])]


def test_rows_are_written_under_the_transactions_era(client):
    bodies = []
    client.store.call = lambda *call: bodies.append(json.loads(call[2]))
    transaction = records.Transaction(
        "c",
        (records.Check("a", 3),),
        (records.Write("a", "{}"), records.Write("b", None)),
        7,
    )
    client.store.commit(transaction, lambda *each: None)
    (body,) = bodies
    assert [row["key"] for row in body["expected_revision"]] == ["@7/a"]
    assert [row["key"] for row in body["put"]] == ["@7/a"]
    assert [row["key"] for row in body["remove"]] == ["@7/b"]
