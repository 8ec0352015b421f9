"""Tests that the soak's checker reports each kind of violation."""

import json
import time

import pytest

from soak import checker
from standins import keyranges


class Server:
    """A server whose holds are set by the test."""

    def __init__(self, name, holds_keys=True):
        self.instance = name
        self.service = "money"
        self.is_stopped = False
        self.holds_keys = holds_keys
        self.live_holds = []
        self.on_run_started = None
        self.on_hold_taken = None

    def holds(self, shard_key):
        return self.holds_keys

    def take(self, first, last, fence):
        hold = keyranges.Hold(first, last, fence, time.monotonic() + 1)
        self.live_holds.append(hold)
        self.on_hold_taken(self, hold)


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


@pytest.fixture
def servers(subject):
    created = Server("a"), Server("b")
    for server in created:
        subject.add_server(server)
    return created


def test_a_key_that_moves_with_a_higher_fence_is_no_violation(subject, servers):
    first, second = servers
    first.take(0, 99, 4)
    first.take(0, 99, 4)
    first.live_holds.clear()
    second.take(0, 99, 5)
    second.live_holds.clear()
    first.take(50, 99, 6)
    second.take(0, 49, 5)
    assert subject.finish() == []


def test_a_grant_of_a_key_that_another_holds_is_reported(subject, servers):
    first, second = servers
    first.take(0, 99, 4)
    second.take(50, 199, 5)
    (violation,) = subject.finish()
    assert violation.startswith(
        "OWNER 50: b takes it with fence 5, a holds it with fence 4"
    )


def test_holds_of_other_keys_are_no_violation(subject, servers):
    first, second = servers
    first.take(0, 99, 4)
    second.take(100, 199, 4)
    assert subject.finish() == []


def test_holds_of_other_services_are_no_violation(subject, servers):
    first, second = servers
    second.service = "deposits"
    first.take(0, 99, 4)
    second.take(0, 99, 4)
    assert subject.finish() == []


@pytest.mark.parametrize("fence", [3, 4])
def test_a_fence_that_another_had_is_reported(subject, servers, fence):
    first, second = servers
    first.take(0, 99, 4)
    first.live_holds.clear()
    second.take(90, 110, fence)
    (violation,) = subject.finish()
    assert violation.startswith(
        f"OWNER 90: b takes it with fence {fence}, a had it with fence 4"
    )


def test_a_fence_of_a_server_that_has_ended_is_reported(subject, servers):
    first, second = servers
    first.take(0, 99, 4)
    first.is_stopped = True
    second.take(0, 99, 4)
    (violation,) = subject.finish()
    assert "a had it with fence 4" in violation


def test_a_renewal_after_the_key_has_moved_is_reported(subject, servers):
    first, second = servers
    first.take(0, 99, 4)
    first.live_holds.clear()
    second.take(20, 29, 5)
    second.live_holds.clear()
    first.take(0, 99, 4)
    (violation,) = subject.finish()
    assert violation.startswith(
        "OWNER 20: a takes it with fence 4, b had it with fence 5"
    )


def test_a_fence_below_an_earlier_lower_one_is_still_reported(subject, servers):
    first, second = servers
    first.take(0, 99, 9)
    first.live_holds.clear()
    second.take(0, 99, 4)
    second.live_holds.clear()
    second.take(0, 99, 8)
    assert len(subject.finish()) == 2


def test_a_violation_is_reported_once(subject, servers):
    first, second = servers
    first.take(0, 99, 4)
    first.live_holds.clear()
    second.take(0, 99, 4)
    second.live_holds.clear()
    second.take(0, 99, 4)
    assert len(subject.finish()) == 1


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
