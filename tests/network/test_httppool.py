import socket
import time

import pytest
from returns import result

from tamarackgap.network import exchanges, httppool, sockets


class Poller:
    """A poller whose callbacks are called by the test."""

    def __init__(self):
        self.callbacks = {}

    def watch(self, descriptor, flags, callback):
        self.callbacks[descriptor] = callback

    def modify(self, descriptor, flags):
        pass

    def unwatch(self, descriptor):
        self.callbacks.pop(descriptor, None)

    def fire(self, flags):
        for callback in list(self.callbacks.values()):
            callback(flags)


class Timers:
    """Timers that never fire."""

    now = 1.0

    def after(self, seconds, call):
        return self

    def cancel(self):
        pass


@pytest.fixture
def target():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


@pytest.fixture
def poller_and_pool(target):
    poller = Poller()
    host, port = target.getsockname()
    pool = httppool.ConnectionPool(
        poller, Timers(), f"{host}:{port}", 5.0, 3000
    )
    yield poller, pool
    pool.close()


def _connect(poller):
    time.sleep(0.05)
    poller.fire(sockets.WRITABLE)


def test_request_is_built_when_connection_is_established(
    poller_and_pool, target
):
    poller, pool = poller_and_pool
    build_calls = []

    def build():
        build_calls.append(True)
        return b"GET / HTTP/1.1\r\n\r\n"

    pool.send(build, 1.0, lambda outcome: None)
    assert not build_calls
    _connect(poller)
    assert len(build_calls) == 1
    accepted, _ = target.accept()
    with accepted:
        assert accepted.recv(100).startswith(b"GET")


def test_exchange_is_cancelled_if_request_has_no_bytes(poller_and_pool):
    poller, pool = poller_and_pool
    outcomes = []
    pool.send(lambda: b"", 1.0, outcomes.append)
    _connect(poller)
    assert outcomes == [
        result.Failure(exchanges.Failure(exchanges.Cause.CANCELLED, sent=False))
    ]


def test_a_new_connection_is_told_before_its_request_is_built(poller_and_pool):
    poller, pool = poller_and_pool
    calls = []
    pool.on_connected = lambda: calls.append("connected")

    def build():
        calls.append("built")
        return b"GET / HTTP/1.1\r\n\r\n"

    pool.send(build, 1.0, lambda outcome: None)
    _connect(poller)
    assert calls == ["connected", "built"]


def test_a_pool_tells_whether_a_connection_is_established(
    poller_and_pool, target
):
    poller, pool = poller_and_pool
    pool.send(lambda: b"GET / HTTP/1.1\r\n\r\n", 1.0, lambda outcome: None)
    assert not pool.has_established_connection
    _connect(poller)
    assert pool.has_established_connection
    target.accept()[0].close()
    time.sleep(0.05)
    poller.fire(sockets.READABLE)
    assert not pool.has_established_connection


def test_request_is_built_at_once_for_idle_connection(poller_and_pool, target):
    poller, pool = poller_and_pool
    outcomes = []
    pool.send(lambda: b"GET /1 HTTP/1.1\r\n\r\n", 1.0, outcomes.append)
    _connect(poller)
    accepted, _ = target.accept()
    with accepted:
        accepted.recv(100)
        accepted.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        time.sleep(0.05)
        poller.fire(sockets.READABLE)
        assert len(outcomes) == 1
        pool.send(lambda: b"GET /2 HTTP/1.1\r\n\r\n", 1.0, outcomes.append)
        assert accepted.recv(100).startswith(b"GET /2")
