"""The soak's checker must find what it looks for."""

import json

import pytest

from soak import checker


class Server:
    """A server that holds keys, and tells what it runs."""

    def __init__(self, name, holding=True):
        self.instance = name
        self.service = "money"
        self.is_stopped = False
        self.holding = holding
        self.on_run_started = None

    def holds(self, position):
        return self.holding


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


def test_good_answers_are_kept(subject):
    server = Server("a")
    subject.add_server(server)
    server.on_run_started(server, "r1", 5)
    subject.record_exchange(_exchange())
    assert subject.finish() == []


def test_two_runs_of_one_request_are_found(subject):
    server = Server("a")
    subject.add_server(server)
    server.on_run_started(server, "r1", 5)
    server.on_run_started(server, "r1", 5)
    subject.record_exchange(_exchange())
    assert subject.finish() == ["TWICE r1"]


def test_a_refused_request_that_has_run_is_found(subject):
    server = Server("a")
    subject.add_server(server)
    subject.record_exchange(_exchange(status=503))
    server.on_run_started(server, "r1", 5)
    assert subject.finish() == ["REFUSED r1: it has run"]


def test_two_holders_of_a_key_are_found(subject):
    one, other = Server("a"), Server("b")
    subject.add_server(one)
    subject.add_server(other)
    one.on_run_started(one, "r1", 5)
    (found,) = subject.finish()
    assert found.startswith("OWNER 5: a runs r1, b holds it too")


def test_a_holder_that_has_ended_does_not_count(subject):
    one, other = Server("a"), Server("b")
    other.is_stopped = True
    subject.add_server(one)
    subject.add_server(other)
    one.on_run_started(one, "r1", 5)
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
def test_an_answer_that_is_not_its_own_is_found(subject, changed):
    subject.record_exchange(_exchange(**changed))
    (found,) = subject.finish()
    assert found.startswith("MIXED r1")
