import gc
import socket
import struct
import sys
import time

import pytest
from returns import result

from tamarackgap.network import bytebudget, exchanges, httppool, sockets

MAX_ANSWER_BYTES = 100_000


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
        server.settimeout(5)
        yield server


@pytest.fixture
def poller_and_pool(target):
    poller = Poller()
    host, port = target.getsockname()
    pool = httppool.ConnectionPool(
        poller,
        Timers(),
        f"{host}:{port}",
        5.0,
        3000,
        MAX_ANSWER_BYTES,
        bytebudget.ByteBudget(),
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


def test_an_exclusive_connection_is_not_told_of(poller_and_pool):
    # The fences of all slots would rise with each release.
    poller, pool = poller_and_pool
    calls = []
    pool.on_connected = lambda: calls.append("connected")
    pool.send(lambda: b"x", 1.0, lambda outcome: None, exclusive=True)
    _connect(poller)
    assert pool.has_established_connection
    assert calls == []


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


class Exchanges:
    """Sends requests over a pool, to a target whose bytes the test writes."""

    def __init__(self, poller, pool, target):
        self._poller = poller
        self._pool = pool
        self._target = target
        self.outcomes = []
        self.accepted = None

    def send(self, request_id, **options):
        self._pool.send(
            lambda: b"GET / HTTP/1.1\r\nx-id: %b\r\n\r\n" % request_id,
            1.0,
            self.outcomes.append,
            lambda answer: answer.header(b"x-id") == request_id,
            **options,
        )

    def connect(self):
        _connect(self._poller)
        self.accepted, _ = self._target.accept()
        self.accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def receive(self, data):
        """Lets the pool read bytes of the target."""
        self.accepted.sendall(data)
        self._fire()

    def end(self, reset=False):
        """Closes the target's side of the connection."""
        self.accepted.recv(1000)
        if reset:
            no_linger = struct.pack("ii", 1, 0)
            self.accepted.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, no_linger
            )
        self.accepted.close()
        self._fire()

    def _fire(self):
        time.sleep(0.02)
        self._poller.fire(sockets.READABLE)

    @property
    def connection_count(self):
        """Number of open connections, used or idle."""
        return len(self._poller.callbacks)

    @property
    def statuses(self):
        """Status of each answer; the cause of each failure."""
        return [
            outcome.unwrap().status
            if isinstance(outcome, result.Success)
            else outcome.failure().cause
            for outcome in self.outcomes
        ]


@pytest.fixture
def sender(poller_and_pool, target):
    exchanges_of_pool = Exchanges(*poller_and_pool, target)
    yield exchanges_of_pool
    if exchanges_of_pool.accepted is not None:
        exchanges_of_pool.accepted.close()


@pytest.mark.parametrize(
    "part",
    [
        b"HTTP/1.1 200 OK\r\nx-id: a\r\nx-signature: s\r\n",
        b"HTTP/1.1 200 OK\r\nx-id: a\r\nx-signature: s\r\n\r",
        b"HTTP/1.1 503 Busy\r\nx-id: a\r\nx-not-run: 1\r\nretry",
        b"HTTP/1.1 200 OK\r\nx-id: a\r\nx-signature: s\r\ncontent-leng",
    ],
)
def test_an_answer_that_ends_in_its_head_is_not_complete(sender, part):
    sender.send(b"a")
    sender.connect()
    sender.receive(part)
    sender.end()
    assert sender.outcomes == [
        result.Failure(exchanges.Failure(exchanges.Cause.TRUNCATED, sent=True))
    ]


@pytest.mark.parametrize(
    "part",
    [
        b"HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 5\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\n",
        b"HTTP/1.1 200 OK\r\nx-id: a\r\ntransfer-encoding: gzip\r\n\r\nabc",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 0\r\n\r\n",
    ],
)
def test_an_answer_that_ends_before_its_framing_is_not_complete(sender, part):
    sender.send(b"a")
    sender.connect()
    sender.receive(part)
    sender.end()
    assert [type(outcome) for outcome in sender.outcomes] == [result.Failure]


@pytest.mark.parametrize(
    ("reset", "outcome"), [(False, 200), (True, exchanges.Cause.TRUNCATED)]
)
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_an_answer_without_length_is_complete_unless_reset(
    sender, version, reset, outcome
):
    sender.send(b"a")
    sender.connect()
    sender.receive(b"HTTP/%b 200 OK\r\nx-id: a\r\n\r\nab" % version)
    sender.receive(b"c")
    assert sender.outcomes == []
    sender.end(reset)
    assert sender.statuses == [outcome]
    if not reset:
        assert sender.outcomes[0].unwrap().body == b"abc"


@pytest.mark.parametrize(
    "framing",
    [
        b"content-length: 1\r\ncontent-length: 3\r\n",
        b"content-length: 1, 3\r\n",
        b"content-length: -1\r\n",
        b"content-length: 1\r\ntransfer-encoding: chunked\r\n",
    ],
)
def test_an_answer_with_contradictory_lengths_is_malformed(sender, framing):
    sender.send(b"a")
    sender.connect()
    sender.receive(b"HTTP/1.1 200 OK\r\nx-id: a\r\n%b\r\nabc" % framing)
    assert sender.statuses == [exchanges.Cause.MALFORMED]


def test_trailers_are_not_taken_for_headers(sender):
    sender.send(b"a")
    sender.connect()
    sender.receive(
        b"HTTP/1.1 503 Busy\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n"
        b"0\r\nx-not-run: 1\r\n\r\n"
    )
    assert sender.outcomes[0].unwrap().header(b"x-not-run") is None


OWN_ANSWER = b"HTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 2\r\n\r\nok"
SURPLUS_REFUSALS = [
    b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 503 Busy\r\nx-id: a\r\nx-not-run: 1\r\ncontent-length: 1\r\n"
    b"\r\nx",
]


@pytest.fixture(params=SURPLUS_REFUSALS)
def surplus(request):
    return request.param


def _receive_refusal(sender):
    """Has a request answered by a refusal, on a connection that is kept."""
    sender.send(b"a")
    sender.connect()
    sender.receive(SURPLUS_REFUSALS[1])
    assert sender.statuses == [503]


@pytest.mark.parametrize("reads", [1, 2, 5])
def test_a_surplus_refusal_before_the_answer_is_skipped(sender, surplus, reads):
    _receive_refusal(sender)
    sender.send(b"b")
    size = -(-len(surplus) // reads)
    for start in range(0, len(surplus), size):
        sender.receive(surplus[start : start + size])
    assert sender.statuses == [503]
    sender.receive(OWN_ANSWER)
    assert sender.statuses == [503, 200]
    assert sender.connection_count == 0


def test_a_surplus_refusal_read_with_the_answer_is_dropped(sender, surplus):
    _receive_refusal(sender)
    sender.send(b"b")
    sender.receive(surplus + OWN_ANSWER + surplus)
    assert sender.statuses == [503, 200]
    assert sender.outcomes[1].unwrap().body == b"ok"
    assert sender.connection_count == 0


@pytest.mark.parametrize("part", [1, 10, 1000])
def test_a_connection_with_surplus_bytes_is_not_used_again(
    sender, surplus, part
):
    _receive_refusal(sender)
    sender.receive(surplus[:part])
    assert sender.connection_count == 0


@pytest.mark.parametrize("part", [1, 10, 1000])
def test_a_surplus_refusal_that_waits_unread_is_skipped(sender, surplus, part):
    _receive_refusal(sender)
    sender.accepted.sendall(surplus[:part])
    time.sleep(0.02)
    sender.send(b"b")
    sender.receive(surplus[part:] + OWN_ANSWER)
    assert sender.statuses == [503, 200]


def test_a_request_whose_connection_ends_after_a_surplus_refusal_may_have_run(
    sender, surplus
):
    _receive_refusal(sender)
    sender.send(b"b")
    sender.receive(surplus)
    sender.end()
    assert sender.outcomes[1:] == [
        result.Failure(exchanges.Failure(exchanges.Cause.TRUNCATED, sent=True))
    ]


def test_an_answer_to_no_request_ends_a_fresh_connection(sender, surplus):
    # No earlier request was sent on it, so the answer to this one is spoilt.
    sender.send(b"b")
    sender.connect()
    sender.receive(surplus)
    assert sender.outcomes == [
        result.Failure(exchanges.Failure(exchanges.Cause.MALFORMED, sent=True))
    ]
    assert sender.connection_count == 0


def test_answers_to_no_request_without_end_are_given_up(sender, surplus):
    _receive_refusal(sender)
    sender.send(b"b")
    for _ in range(10):
        if len(sender.outcomes) == 1:
            sender.receive(surplus)
    assert sender.statuses == [503, exchanges.Cause.MALFORMED]


def test_an_exchange_tells_whether_its_connection_is_new(
    poller_and_pool, target
):
    # Only there an answer can't be a copy of an earlier one.
    poller, pool = poller_and_pool
    sender = Exchanges(poller, pool, target)
    first = pool.send(lambda: b"GET / HTTP/1.1\r\n\r\n", 1.0, print)
    sender.connect()
    with sender.accepted:
        sender.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        second = pool.send(lambda: b"GET / HTTP/1.1\r\n\r\n", 1.0, print)
        assert sender.connection_count == 1
    assert first.is_first
    assert not second.is_first


def test_an_exclusive_exchange_has_a_connection_of_its_own(sender, surplus):
    _receive_refusal(sender)
    # A copy of the refusal would pass as the answer to a request with its id.
    sender.send(b"a", exclusive=True)
    sender.receive(surplus)
    assert sender.statuses == [503]
    sender.accepted.close()
    sender.connect()
    sender.receive(b"HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 0\r\n\r\n")
    assert sender.statuses == [503, 200]
    assert sender.connection_count == 0


@pytest.mark.parametrize("interim", [b"100 Continue", b"103 Early Hints"])
def test_an_interim_answer_is_not_the_answer(sender, interim):
    sender.send(b"a")
    sender.connect()
    sender.receive(b"HTTP/1.1 %b\r\nx-id: a\r\nx-not-run: 1\r\n\r\n" % interim)
    assert sender.outcomes == []
    sender.receive(b"HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 0\r\n\r\n")
    assert sender.statuses == [200]


def test_a_switch_of_protocol_is_malformed(sender):
    sender.send(b"a")
    sender.connect()
    sender.receive(
        b"HTTP/1.1 101 Switching\r\nx-id: a\r\nconnection: upgrade\r\n"
        b"upgrade: x\r\n\r\n"
    )
    assert sender.statuses == [exchanges.Cause.MALFORMED]


@pytest.mark.parametrize(
    ("begin", "endless"),
    [
        (b"", b"\r\n"),
        (b"HTTP/1.1 200 ", b"O"),
        (b"HTTP/1.1 200 OK\r\nx-id: ", b"a"),
        (b"HTTP/1.1 200 OK\r\n", b"x-a: b\r\n"),
        (b"HTTP/1.1 200 OK\r\nx-id: a\r\n\r\n", b"a"),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n", b"a"),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            b"1\r\na\r\n",
        ),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", b"a"),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            b"x-a: b\r\n",
        ),
    ],
)
def test_bytes_without_end_are_given_up(sender, begin, endless):
    sender.send(b"a")
    sender.connect()
    sender.receive(begin)
    block = endless * (4096 // len(endless))
    for _ in range(2 * MAX_ANSWER_BYTES // len(block)):
        if not sender.outcomes:
            sender.receive(block)
    assert sender.statuses == [exchanges.Cause.TOO_LARGE]


def test_answers_up_to_the_limit_are_accepted_one_after_another(sender):
    body = b"a" * (MAX_ANSWER_BYTES - 1000)
    for count in (1, 2, 3):
        sender.send(b"a")
        if sender.accepted is None:
            sender.connect()
        sender.receive(
            b"HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: %d\r\n\r\n"
            % len(body)
        )
        for start in range(0, len(body), 4096):
            sender.receive(body[start : start + 4096])
        assert sender.statuses == [200] * count


@pytest.mark.parametrize(
    "timeout", [b"9" * 5000, b"99999999999", b"-1", b"\xd9\xa3", b"1e9", b""]
)
def test_an_answer_with_an_odd_keep_alive_time_is_handled(
    poller_and_pool, target, timeout
):
    poller, pool = poller_and_pool
    outcomes = []
    pool.send(lambda: b"GET / HTTP/1.1\r\n\r\n", 1.0, outcomes.append)
    _connect(poller)
    accepted, _ = target.accept()
    with accepted:
        accepted.recv(100)
        accepted.sendall(
            b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=%b\r\n"
            b"content-length: 0\r\n\r\n" % timeout
        )
        time.sleep(0.05)
        poller.fire(sockets.READABLE)
    assert isinstance(outcomes[0], result.Success)


def test_a_request_that_was_not_sent_in_full_is_not_kept(
    poller_and_pool, target
):
    # It lasted until a cyclic garbage collection.
    poller, pool = poller_and_pool
    request = bytes(50_000_000)
    exchange = pool.send(lambda: request, 1.0, lambda outcome: None)
    before = sys.getrefcount(request)
    gc.disable()
    try:
        _connect(poller)
        assert sys.getrefcount(request) > before
        pool.cancel(exchange)
        assert sys.getrefcount(request) == before
    finally:
        gc.enable()


def test_a_connection_is_closed_after_an_exclusive_exchange(sender):
    sender.send(b"a", exclusive=True)
    sender.connect()
    sender.receive(b"HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 0\r\n\r\n")
    assert sender.statuses == [200]
    assert sender.connection_count == 0
