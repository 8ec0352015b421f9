"""Tests that callers keep using their connection until it ends."""

import random
import threading

import pytest

from soak import callers, checker
from standins import httpd, ports


@pytest.fixture
def daemon():
    address = f"127.0.0.1:{ports.find_free_ports(1)}"
    server = httpd.serve(address, lambda request: httpd.Response(503))
    threading.Thread(
        target=server.serve_forever, args=(0.01,), daemon=True
    ).start()
    yield address, server
    server.stop()


def _caller(address):
    invariants = checker.InvariantChecker()
    return callers.Caller(
        address, random.Random(1), invariants, threading.Event()
    ), invariants


def test_requests_share_one_connection_while_it_is_open(daemon):
    caller, invariants = _caller(daemon[0])
    for _ in range(20):
        caller.send_request()
    assert caller.connection_count == 1
    assert invariants.statuses == {503: 20}


def test_a_connection_is_used_until_the_daemon_ends_it(daemon):
    address, server = daemon
    caller, invariants = _caller(address)
    caller.send_request()
    server.stop()
    caller.send_request()
    caller.send_request()
    assert invariants.statuses == {503: 1, 0: 2}
    assert caller.connection_count == 1
