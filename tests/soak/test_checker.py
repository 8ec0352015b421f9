"""Tests that the soak's checker reports each kind of violation."""

import json

import pytest

from soak import checker


class Server:
    """A server whose holds are set by the test."""

    def __init__(self, name, holds_keys=True):
        self.instance = name
        self.service = "money"
        self.is_stopped = False
        self.holds_keys = holds_keys
        self.on_run_started = None

    def holds(self, shard_key):
        return self.holds_keys


@pytest.fixture
def subject():
    return checker.InvariantChecker()


def _exchange(request="r1", status=200, path="/pay/r1", **changed):
    values = {
        "idempotent": False,
        "has_signature": True,
        "answered_id": request,
        "body": json.dumps({"path": "/pay/r1"}).encode(),
        **changed,
    }
    return checker.Exchange(request, path=path, status=status, **values)


def test_a_correct_exchange_is_no_violation(subject):
    server = Server("a")
    subject.add_server(server)
    server.on_run_started(server, "r1", 5)
    subject.record_exchange(_exchange())
    assert subject.finish() == []


def test_two_executions_of_one_request_are_reported(subject):
    server = Server("a")
    subject.add_server(server)
    server.on_run_started(server, "r1", 5)
    server.on_run_started(server, "r1", 5)
    subject.record_exchange(_exchange())
    assert subject.finish() == ["EXECUTED TWICE r1"]


def test_execution_of_a_refused_request_is_reported(subject):
    server = Server("a")
    subject.add_server(server)
    subject.record_exchange(_exchange(status=503))
    server.on_run_started(server, "r1", 5)
    assert subject.finish() == ["REFUSED r1: it was executed"]


def test_two_holders_of_a_key_are_reported(subject):
    first, second = Server("a"), Server("b")
    subject.add_server(first)
    subject.add_server(second)
    first.on_run_started(first, "r1", 5)
    (violation,) = subject.finish()
    assert violation.startswith("OWNER 5: a executes r1, b holds it too")


def test_a_holder_that_has_stopped_is_ignored(subject):
    first, second = Server("a"), Server("b")
    second.is_stopped = True
    subject.add_server(first)
    subject.add_server(second)
    first.on_run_started(first, "r1", 5)
    assert subject.finish() == []


@pytest.mark.parametrize(
    "changed",
    [
        {"has_signature": False},
        {"answered_id": "r2"},
        {"body": b"half of it"},
        {"body": b'{"path": "/pay/other"}'},
    ],
)
def test_a_response_to_another_request_is_reported(subject, changed):
    subject.record_exchange(_exchange(**changed))
    (violation,) = subject.finish()
    assert violation.startswith("MIXED r1")
