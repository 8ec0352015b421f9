import socket
import time

import pytest
from returns import result

from tamarackgap.network import exchanges, httppool, sockets


class Poller:
    """Keeps what is watched, to be called by hand."""

    def __init__(self):
        self.watched = {}

    def watch(self, descriptor, flags, ready):
        self.watched[descriptor] = ready

    def modify(self, descriptor, flags):
        pass

    def unwatch(self, descriptor):
        self.watched.pop(descriptor, None)

    def fire(self, flags):
        for ready in list(self.watched.values()):
            ready(flags)


class Timers:
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
def subject(target):
    poller = Poller()
    host, port = target.getsockname()
    link = httppool.ConnectionPool(
        poller, Timers(), f"{host}:{port}", 5.0, 3000
    )
    yield poller, link
    link.close()


def _connect(poller):
    time.sleep(0.05)
    poller.fire(sockets.WRITABLE)


def test_bytes_are_built_when_the_connection_is_made(subject, target):
    poller, link = subject
    built = []

    def build():
        built.append(True)
        return b"GET / HTTP/1.1\r\n\r\n"

    link.send(build, 1.0, lambda outcome: None)
    assert not built
    _connect(poller)
    assert len(built) == 1
    accepted, _ = target.accept()
    with accepted:
        assert accepted.recv(100).startswith(b"GET")


def test_what_must_not_be_sent_any_more_is_not(subject):
    poller, link = subject
    outcomes = []
    link.send(lambda: b"", 1.0, outcomes.append)
    _connect(poller)
    assert outcomes == [
        result.Failure(exchanges.Failure(exchanges.Cause.CANCELLED, sent=False))
    ]


def test_a_used_connection_builds_at_once(subject, target):
    poller, link = subject
    outcomes = []
    link.send(lambda: b"GET /1 HTTP/1.1\r\n\r\n", 1.0, outcomes.append)
    _connect(poller)
    accepted, _ = target.accept()
    with accepted:
        accepted.recv(100)
        accepted.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        time.sleep(0.05)
        poller.fire(sockets.READABLE)
        assert len(outcomes) == 1
        link.send(lambda: b"GET /2 HTTP/1.1\r\n\r\n", 1.0, outcomes.append)
        assert accepted.recv(100).startswith(b"GET /2")
