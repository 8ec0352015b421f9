"""The soak's judge must find what it looks for."""

import json

import pytest

from soak import judge


class Server:
    """A server that holds keys, and tells what it runs."""

    def __init__(self, name, holding=True):
        self.instance = name
        self.service = "money"
        self.ended = False
        self.holding = holding
        self.begins = None

    def holds(self, position):
        return self.holding


@pytest.fixture
def subject():
    return judge.Judge()


def _asked(request="r1", status=200, path="/pay/r1", **changed):
    values = {
        "idempotent": False,
        "signed": True,
        "echo": request,
        "body": json.dumps({"path": "/pay/r1"}).encode(),
        **changed,
    }
    return judge.Asked(request, path=path, status=status, **values)


def test_good_answers_are_kept(subject):
    server = Server("a")
    subject.watch(server)
    server.begins(server, "r1", 5)
    subject.ask(_asked())
    assert subject.finish() == []


def test_two_runs_of_one_request_are_found(subject):
    server = Server("a")
    subject.watch(server)
    server.begins(server, "r1", 5)
    server.begins(server, "r1", 5)
    subject.ask(_asked())
    assert subject.finish() == ["TWICE r1"]


def test_a_refused_request_that_has_run_is_found(subject):
    server = Server("a")
    subject.watch(server)
    subject.ask(_asked(status=503))
    server.begins(server, "r1", 5)
    assert subject.finish() == ["REFUSED r1: it has run"]


def test_two_holders_of_a_key_are_found(subject):
    one, other = Server("a"), Server("b")
    subject.watch(one)
    subject.watch(other)
    one.begins(one, "r1", 5)
    (found,) = subject.finish()
    assert found.startswith("OWNER 5: a runs r1, b holds it too")


def test_a_holder_that_has_ended_does_not_count(subject):
    one, other = Server("a"), Server("b")
    other.ended = True
    subject.watch(one)
    subject.watch(other)
    one.begins(one, "r1", 5)
    assert subject.finish() == []


@pytest.mark.parametrize(
    "changed",
    [
        {"signed": False},
        {"echo": "r2"},
        {"body": b"half of it"},
        {"body": b'{"path": "/pay/other"}'},
    ],
)
def test_an_answer_that_is_not_its_own_is_found(subject, changed):
    subject.ask(_asked(**changed))
    (found,) = subject.finish()
    assert found.startswith("MIXED r1")
