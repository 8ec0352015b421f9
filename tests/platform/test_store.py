import json
import types as module_types

import pytest
from returns import result

from tamarackgap.network import bytebudget, exchanges, httppool
from tamarackgap.ownership import effects
from tamarackgap.placement import records
from tamarackgap.platform import store
from tamarackgap.traffic import storewatch

# An owner must read the table at least this often.
MAX_READ_INTERVAL_S = 9.0


class Timers:
    """Runs timers when a test calls `fire`."""

    def __init__(self):
        self.now = 100.0
        self.due = []

    def after(self, seconds, call):
        timer = module_types.SimpleNamespace(
            at=self.now + seconds, call=call, cancel=lambda: None
        )
        timer.cancel = lambda: self.due.remove(timer)
        self.due.append(timer)
        return timer

    def fire(self):
        timer = min(self.due, key=lambda timer: timer.at)
        self.due.remove(timer)
        self.now = max(self.now, timer.at)
        timer.call()


class Client:
    """Holds a store client whose calls the test answers."""

    def __init__(self):
        self.timers = Timers()
        self.calls = []
        self.read_times = []
        self.store = store.Store(
            None, self.timers, "127.0.0.1:1", bytebudget.ByteBudget()
        )
        self.store.call = self._call
        self.store.watch(
            lambda rows, revision, as_of, era: self.read_times.append(as_of),
            lambda problem: None,
        )
        self.answer()
        self.timers.fire()

    def _call(self, method, path, body, timeout, done):
        self.calls.append((path, timeout, done))

    @property
    def wait_s(self):
        return int(self.calls[-1][0].rpartition("wait_ms=")[2]) / 1000

    def answer(self, rows=0):
        body = {
            "ver": 1,
            "now_ms": round(self.timers.now * 1000),
            "rows": [
                {"key": f"lease/{index}", "ver": 1, "value": ""}
                for index in range(rows)
            ],
        }
        data = json.dumps(body).encode("utf-8")
        self.calls[-1][2](result.Success(httppool.Answer(200, [], data)))


@pytest.fixture
def client():
    return Client()


@pytest.mark.parametrize("pause", [0.5, 4.0, 20.0])
def test_a_pause_after_changes_shortens_the_next_poll(client, pause):
    client.store.set_row_plan(storewatch.ReadPlan(pause, 8.0))
    client.answer(rows=1)
    read_at = client.timers.now
    client.timers.fire()
    assert client.timers.now - read_at == pytest.approx(min(pause, 8.0))
    assert client.timers.now + client.wait_s - read_at <= MAX_READ_INTERVAL_S
    # Without changes, the next poll has no pause before it and full length.
    client.answer()
    client.timers.fire()
    assert client.wait_s == 8.0


def test_skip_pause_polls_at_once(client):
    client.store.set_row_plan(storewatch.ReadPlan(4.0, 8.0))
    client.answer(rows=1)
    client.store.skip_pause()
    assert client.wait_s == 8.0
    assert client.timers.now == 100.0


def test_a_watch_that_does_not_wait_reads_once_in_each_period(client):
    client.store.set_row_plan(storewatch.ReadPlan(20.0, 20.0, waits=False))
    for rows in (1, 0, 2):
        client.answer(rows=rows)
        read_at = client.timers.now
        client.timers.fire()
        assert client.timers.now - read_at == pytest.approx(20.0)
        assert client.wait_s == 0.0


def test_a_failed_poll_is_repeated(client):
    failure = exchanges.Failure(exchanges.Cause.CLOSED, True)
    client.calls[-1][2](result.Failure(failure))
    calls_before = len(client.calls)
    client.timers.fire()
    assert len(client.calls) == calls_before + 1


def test_an_unreadable_row_after_a_conflict_is_not_taken_for_absent():
    client = Client()
    outcomes = []
    transaction = records.Transaction(
        "c", (records.Check("a", 1), records.Check("b", 1)), ()
    )
    client.store.commit(transaction, lambda *outcome: outcomes.append(outcome))
    rows = [{"key": "a", "ver": 2, "value": "/w=="}]
    body = json.dumps({"ver": 2, "rows": rows}).encode()
    client.calls[-1][2](result.Success(httppool.Answer(412, [], body)))
    assert outcomes == [
        (
            effects.CommitState.CONFLICT,
            [records.Row("a", "", 2), records.Row("b", None, 2)],
        )
    ]


def test_a_commit_with_an_odd_answer_has_an_unknown_outcome():
    client = Client()
    outcomes = []
    transaction = records.Transaction("c", (), (records.Write("a", "{}"),))
    client.store.commit(transaction, lambda *outcome: outcomes.append(outcome))
    for body in (b'{"ver": 1e300}', b"[" * 100_000, b'{"ver": -1}', b"\xff"):
        client.calls[-1][2](result.Success(httppool.Answer(200, [], body)))
    assert outcomes == [(effects.CommitState.UNKNOWN, [])] * 4


def test_a_route_table_is_read_while_messages_fill_the_memory():
    budget = bytebudget.ByteBudget(100_000)
    bytebudget.Charge(budget).hold(100_000)
    client = store.Store(None, Timers(), "127.0.0.1:1", budget)
    answer = bytebudget.Charge(client._pool.budget)
    assert answer.hold(500_000)
