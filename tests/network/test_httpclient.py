import socket
import time

import pytest
from circuits.core import pollers
from returns import result

from tamarackgap.network import bytebudget, exchanges, httpclient


class Poller:
    """A poller whose events are fired by the test."""

    def __init__(self):
        self.watched = set()

    def addReader(self, source, sock):  # noqa: N802
        self.watched.add(sock)

    addWriter = addReader  # noqa: N815

    def removeWriter(self, sock):  # noqa: N802
        pass

    def isWriting(self, sock):  # noqa: N802
        return True

    def discard(self, sock):
        self.watched.discard(sock)


class Timers:
    """Timers that never fire."""

    def after(self, seconds, call):
        return self

    def cancel(self):
        pass


class Sender:
    """Sends requests to a target whose bytes the test writes."""

    def __init__(self, server, budget=None):
        self._server = server
        self._poller = Poller()
        self._client = httpclient.HttpClient(
            self._poller, Timers(), budget or bytebudget.ByteBudget()
        )
        self._target = None
        self.outcomes = []

    @property
    def connection_count(self):
        """Number of open connections, used or idle."""
        return len(self._poller.watched)

    def send(self):
        host, port = self._server.getsockname()
        request = httpclient.Request(
            f"{host}:{port}", "GET", "/", {}, b"", 1.0, 10_000
        )
        self._client.send(request, self.outcomes.append)
        if self._target is None:
            self._target, _ = self._server.accept()
            self._fire(pollers._write)
        self._target.recv(1000)

    def receive(self, data):
        """Lets the client read bytes of the target."""
        self._target.sendall(data)
        time.sleep(0.02)
        self._fire(pollers._read)

    def end(self):
        """Closes the target's side of the connection."""
        self._target.close()
        self._fire(pollers._read)

    def _fire(self, event_type):
        for sock in list(self._poller.watched):
            self._client.fire(event_type(sock), self._client.channel)
        while len(self._client):
            self._client.flush()


@pytest.fixture
def sender():
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.settimeout(5)
        yield Sender(server)


ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize(
    "surplus", [b"x", ANSWER, b"HTTP/1.1 503 Busy\r\nX-Not-Run: full\r\n"]
)
def test_bytes_after_an_answer_are_not_part_of_it(sender, surplus):
    sender.send()
    sender.receive(ANSWER + surplus)
    assert [outcome.unwrap().body for outcome in sender.outcomes] == [b"ok"]
    assert sender.connection_count == 0


def test_a_connection_is_kept_after_a_whole_answer(sender):
    for count in (1, 2):
        sender.send()
        sender.receive(ANSWER)
        assert len(sender.outcomes) == count
        assert sender.connection_count == 1


@pytest.mark.parametrize(
    "part",
    [
        b"HTTP/1.1 200 OK\r\nX-A: b\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\nX-Not-Run: full\r\n",
    ],
)
def test_an_answer_that_does_not_end_as_framed_is_no_success(sender, part):
    sender.send()
    sender.receive(part)
    if not sender.outcomes:
        sender.end()
    assert [type(outcome) for outcome in sender.outcomes] == [result.Failure]
    assert sender.outcomes[0].failure().sent


@pytest.mark.parametrize(
    ("begin", "endless"),
    [
        (b"HTTP/1.1 200 OK\r\nX-A: ", b"a"),
        (b"HTTP/1.1 200 OK\r\n", b"x-a: b\r\n"),
        (b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n", b"a"),
    ],
)
def test_bytes_without_end_are_given_up(sender, begin, endless):
    sender.send()
    for data in (begin, endless * 1000, endless * 10_000):
        if data and not sender.outcomes:
            sender.receive(data)
    assert sender.outcomes == [
        result.Failure(exchanges.Failure(exchanges.Cause.TOO_LARGE, sent=True))
    ]


def test_bytes_that_are_no_answer_are_given_up_at_once(sender):
    sender.send()
    sender.receive(b"a")
    assert sender.outcomes == [
        result.Failure(exchanges.Failure(exchanges.Cause.MALFORMED, sent=True))
    ]
    assert sender.connection_count == 0


def test_an_answer_without_room_in_the_process_is_given_up():
    # Each answer within its own limit, many of them exceeded the memory.
    budget = bytebudget.ByteBudget(8000)
    with socket.create_server(("127.0.0.1", 0)) as server:
        sender = Sender(server, budget)
        sender.send()
        sender.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 9000\r\n\r\n")
        sender.receive(b"a" * 6000)
        assert budget.used > 6000
        others = bytebudget.Charge(budget)
        others.hold(2500)
        sender.receive(b"a" * 2000)
        sender.end()
    (outcome,) = sender.outcomes
    assert outcome.failure().cause is exchanges.Cause.TOO_LARGE
    others.release()
    assert budget.used == 0
