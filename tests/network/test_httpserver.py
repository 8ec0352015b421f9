import select
import socket
import time

import pytest

from tamarackgap.network import bytebudget, httpserver
from tests.network import test_httppool


class Timers(test_httppool.Timers):
    """Timers whose clock the test sets."""

    def __init__(self):
        self.now = 1.0

    def every(self, seconds, call):
        self.check_timeouts = call


class Poller(test_httppool.Poller):
    """A poller that calls back for the sockets that are ready."""

    def __init__(self):
        super().__init__()
        self._epoll = select.epoll()

    def watch(self, descriptor, flags, callback):
        super().watch(descriptor, flags, callback)
        self._epoll.register(descriptor, flags)

    def modify(self, descriptor, flags):
        self._epoll.modify(descriptor, flags)

    def unwatch(self, descriptor):
        super().unwatch(descriptor)
        self._epoll.unregister(descriptor)

    def run(self):
        """Handles all that is ready, for a moment."""
        while ready := self._epoll.poll(0.005):
            for descriptor, flags in ready:
                if descriptor in self.callbacks:
                    self.callbacks[descriptor](flags)


class Server:
    """A server whose requests the test answers."""

    def __init__(self):
        self.timers = Timers()
        self.poller = Poller()
        self.budget = bytebudget.ByteBudget(1_000_000)
        self.requests = []
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()
        self.server = httpserver.HttpServer(
            self.poller,
            self.timers,
            "{}:{}".format(*self.address),
            self.requests.append,
            self.budget,
        )
        self.callers = []

    def connect(self, receive_buffer=0):
        caller = socket.socket()
        if receive_buffer:
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        caller.connect(self.address)
        caller.setblocking(False)
        self.callers.append(caller)
        return caller

    def send(self, caller, data):
        """Sends as much as the server reads; returns what is left, bytes."""
        while data:
            try:
                count = caller.send(data)
            except BlockingIOError:
                break
            data = data[count:]
            self.poller.run()
        return len(data)

    def pass_time(self, seconds):
        self.timers.now += seconds
        self.timers.check_timeouts()

    def close(self):
        for caller in self.callers:
            caller.close()
        self.poller.run()
        if self.server.is_open:
            self.server.close()


@pytest.fixture
def server():
    server = Server()
    yield server
    server.close()


def received(caller):
    time.sleep(0.02)
    data = b""
    try:
        while part := caller.recv(65_536):
            data += part
    except BlockingIOError:
        pass
    return data


def post(body, extra=b""):
    head = b"POST /a HTTP/1.1\r\nhost: h\r\n%bcontent-length: %d\r\n\r\n"
    return head % (extra, len(body)) + body


GET = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"


def test_many_pipelined_requests_are_all_answered(server):
    # They were refused with 413 while an earlier one was being answered.
    server.budget = bytebudget.ByteBudget()
    server.server.budget = server.budget
    caller = server.connect()
    requests = post(b"a" * 400_000) * 60
    unsent = server.send(caller, requests)
    assert unsent
    answered = 0
    while server.requests:
        assert server.budget.used < 2_500_000
        server.requests.pop(0).respond(200, [], b"")
        server.poller.run()
        answered += received(caller).count(b"HTTP/1.1 200")
        if unsent:
            unsent = server.send(caller, requests[-unsent:])
    assert answered == 60


def test_many_requests_that_are_answered_at_once_need_no_deep_stack(server):
    server.server.budget = bytebudget.ByteBudget()
    server.server.serve = lambda request: request.respond(404, [], b"")
    caller = server.connect()
    assert server.send(caller, GET * 2000) == 0
    assert received(caller).count(b"HTTP/1.1 404") == 2000


def test_requests_received_before_a_draining_server_closes_are_answered(server):
    # The response to the first one closed the connection.
    caller = server.connect()
    server.send(caller, GET + GET)
    server.server.draining = True
    server.requests.pop(0).respond(200, [], b"")
    server.requests.pop(0).respond(200, [], b"")
    responses = received(caller)
    assert responses.count(b"HTTP/1.1 200") == 2
    assert responses.count(b"connection: close") == 1
    assert caller.recv(100) == b""


def test_pipelined_requests_are_served_together_and_answered_in_order(server):
    # Each waited for the answers to all before it.
    caller = server.connect()
    server.send(caller, GET + GET.replace(b"/a", b"/b"))
    first, second = server.requests
    assert (first.target, second.target) == ("/a", "/b")
    second.respond(200, [], b"second")
    assert received(caller) == b""
    first.respond(200, [], b"first")
    responses = received(caller)
    assert responses.index(b"first") < responses.index(b"second")


def test_a_request_that_may_change_something_is_served_alone(server):
    caller = server.connect()
    server.send(caller, GET + post(b"x") + GET)
    assert [request.method for request in server.requests] == ["GET"]
    server.requests[0].respond(200, [], b"")
    assert [request.method for request in server.requests] == ["GET", "POST"]
    server.requests[1].respond(200, [], b"")
    assert [r.method for r in server.requests] == ["GET", "POST", "GET"]


def test_a_caller_can_not_have_all_of_its_requests_served_at_once(server):
    server.server.budget = bytebudget.ByteBudget()
    caller = server.connect()
    server.send(caller, GET * 100)
    assert 1 < len(server.requests) <= 16
    while server.requests:
        server.requests.pop(0).respond(200, [], b"")
    assert received(caller).count(b"HTTP/1.1 200") == 100


def test_responses_that_wait_for_an_earlier_one_share_the_memory(server):
    caller = server.connect()
    server.send(caller, GET + GET)
    server.requests[1].respond(200, [], b"a" * 300_000)
    server.poller.run()
    assert server.budget.used > 300_000
    server.requests[0].respond(200, [], b"")
    while received(caller):
        server.poller.run()
    assert server.budget.used < 10_000


def test_all_pipelined_requests_hear_that_their_caller_has_left(server):
    caller = server.connect()
    server.send(caller, GET + GET)
    left = []
    for request in server.requests:
        request.on_disconnect = lambda target=request.target: left.append(
            target
        )
    caller.close()
    server.poller.run()
    assert len(left) == 2
    server.requests[0].respond(200, [], b"")
    assert server.budget.used == 0


def test_a_request_before_one_that_closes_the_connection_is_answered(server):
    caller = server.connect()
    last = GET.replace(b"host", b"connection: close\r\nhost")
    server.send(caller, GET + last)
    for _ in range(2):
        server.requests.pop(0).respond(200, [], b"")
    assert received(caller).count(b"HTTP/1.1 200") == 2


def test_requests_share_the_memory_of_the_process(server):
    # Requests under way, each within its limit, took all memory at once.
    callers = [server.connect() for _ in range(5)]
    for caller in callers:
        server.send(caller, post(b"a" * 300_000))
    assert server.budget.used <= 1_000_000
    assert len(server.requests) == 2
    refused = received(callers[-1])
    assert refused.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in refused
    for request in server.requests:
        request.respond(200, [], b"")
    assert received(callers[0]).startswith(b"HTTP/1.1 200")
    for caller in callers:
        caller.close()
    server.poller.run()
    assert server.budget.used == 0


def test_a_refused_caller_that_still_sends_gets_the_response(server):
    # Closing at once reset the connection, and the response was lost.
    caller = server.connect()
    server.send(caller, b"GET / HTTP/1.1\r\nhost h\r\n\r\n")
    server.send(caller, b"a" * 100_000)
    assert received(caller).startswith(b"HTTP/1.1 400")
    server.pass_time(1.1)
    assert server.server.connection_count == 0


def test_a_caller_that_does_not_read_its_response_is_closed(server):
    # Its response was kept until the process ended.
    for last in (True, False):
        caller = server.connect(receive_buffer=4096)
        extra = b"connection: close\r\n" if last else b""
        server.send(caller, post(b"", extra))
        server.requests.pop(0).respond(200, [], b"a" * 8_000_000)
        server.poller.run()
        assert server.budget.used > 1_000_000
        server.pass_time(server.server.limits.idle_timeout_s + 0.1)
        assert server.server.connection_count == 0
        assert server.budget.used == 0


def test_a_caller_that_reads_its_response_slowly_gets_all_of_it(server):
    caller = server.connect(receive_buffer=4096)
    server.send(caller, GET)
    body = b"a" * 8_000_000
    server.requests.pop(0).respond(200, [], body)
    data = b""
    while len(data) < len(body):
        server.pass_time(server.server.limits.idle_timeout_s / 2)
        part = received(caller)
        server.poller.run()
        data += part
    assert data.endswith(body)


# The caller's system may acknowledge so late what it has received.
DELAYED_ACK_S = 0.2


def is_idle_soon(server):
    give_up_at = time.monotonic() + DELAYED_ACK_S
    while server.server.busy_connections:
        if time.monotonic() > give_up_at:
            return False
        time.sleep(0.005)
    return True


def test_a_server_is_busy_until_its_response_is_sent(server):
    # A process that was told to stop ended before slow callers had read theirs.
    caller = server.connect(receive_buffer=4096)
    server.send(caller, GET)
    server.server.draining = True
    server.requests.pop(0).respond(200, [], b"a" * 8_000_000)
    server.server.close()
    assert server.server.busy_connections == 1
    size = 0
    while part := received(caller):
        size += len(part)
        server.poller.run()
    assert size > 8_000_000
    assert is_idle_soon(server)


def test_a_caller_on_this_vm_is_told_from_others(server):
    own = server.connect()
    other = socket.socket()
    other.bind(("127.0.0.2", 0))
    other.connect(server.address)
    other.setblocking(False)
    server.callers.append(other)
    for caller in (own, other):
        server.send(caller, b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        server.poller.run()
    assert [request.is_local for request in server.requests] == [True, False]


RESPONSE = b"a" * 60_000


def _give_last_response(server, caller):
    server.send(caller, GET)
    server.server.draining = True
    server.requests.pop(0).respond(200, [], RESPONSE)


def _respond_before_close(server, caller):
    server.send(caller, GET)
    server.requests.pop(0).respond(200, [], RESPONSE)
    server.server.close()


def _respond_before_idle_timeout(server, caller):
    server.send(caller, GET)
    server.requests.pop(0).respond(200, [], RESPONSE)
    server.pass_time(server.server.limits.idle_timeout_s + 0.1)


def _respond_before_asked_close(server, caller):
    server.send(caller, GET.replace(b"host", b"connection: close\r\nhost"))
    server.requests.pop(0).respond(200, [], RESPONSE)


ENDS = [
    _give_last_response,
    _respond_before_close,
    _respond_before_idle_timeout,
    _respond_before_asked_close,
]


@pytest.mark.parametrize("end", ENDS)
def test_a_caller_that_sends_on_loses_nothing_of_the_last_response(server, end):
    # The next request reached a closed socket: the reset that answered it
    # dropped what the system had not delivered yet.
    caller = server.connect(receive_buffer=4096)
    end(server, caller)
    data = caller.recv(100)
    for _ in range(3):
        server.send(caller, GET)
        server.poller.run()
    while part := received(caller):
        data += part
    assert data.endswith(RESPONSE)
    assert server.requests == []
    caller.close()
    server.poller.run()
    assert server.server.connection_count == 0


@pytest.mark.parametrize("end", ENDS)
def test_a_server_is_busy_until_the_last_response_is_delivered(server, end):
    caller = server.connect(receive_buffer=4096)
    end(server, caller)
    if end is not _respond_before_close:
        server.server.close()
    assert server.server.busy_connections == 1
    while received(caller):
        server.poller.run()
    assert is_idle_soon(server)


@pytest.mark.parametrize("end", ENDS)
def test_an_ended_connection_takes_no_memory_and_is_closed(server, end):
    caller = server.connect(receive_buffer=4096)
    end(server, caller)
    assert server.budget.used == 0
    server.send(caller, b"a" * 100_000)
    assert server.budget.used == 0
    server.pass_time(server.server.limits.idle_timeout_s + 0.1)
    server.pass_time(server.server.limits.idle_timeout_s + 0.1)
    assert server.server.connection_count == 0


def test_a_response_is_delivered_to_a_caller_that_reads_it_very_slowly(server):
    caller = server.connect(receive_buffer=4096)
    _give_last_response(server, caller)
    data = b""
    while not data.endswith(RESPONSE):
        server.pass_time(server.server.limits.idle_timeout_s * 0.2)
        server.send(caller, b"x")
        try:
            data += caller.recv(3000)
        except BlockingIOError:
            time.sleep(0.01)
