"""Sends HTTP requests with events of the circuits loop.

Each connection carries one request at a time, so an answer always belongs to
the request that was written last.
"""

import collections
import contextlib
import errno
import socket
from collections.abc import Callable

import circuits
import msgspec
from circuits.core import pollers
from returns import result

from tamarackgap.network import (
    answerparser,
    bytebudget,
    exchanges,
    scheduler,
)

_READ_BYTES = 65_536
_CONNECT_PENDING_ERRNOS = (errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EALREADY)


class Answer(msgspec.Struct, frozen=True):
    """A complete answer.

    Attributes:
        status: HTTP status.
        headers: Values of the headers, by name in lower case.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class Request(msgspec.Struct, frozen=True):
    """A request to send.

    Attributes:
        address: `ip:port`.
        method: HTTP method.
        path: Path and query.
        headers: Headers other than Host and Content-Length.
        body: The body.
        timeout_s: Longest time until the answer is complete.
        max_answer_bytes: Largest size of the answer, including its headers.
    """

    address: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float
    max_answer_bytes: int


DoneCallback = Callable[[result.Result[Answer, exchanges.Failure]], None]


class Exchange(exchanges.Exchange):
    """A request and the connection that carries it, if any."""

    __slots__ = ("connection", "request")

    def __init__(self, request: Request, done: DoneCallback) -> None:
        """Creates an exchange that calls `done` once, with its outcome."""
        super().__init__(done)
        self.request = request
        self.connection: _Connection | None = None


class _Connection:
    """A connection, which carries at most one exchange.

    Attributes:
        address: `ip:port` of the other side.
        sock: The socket.
        exchange: The exchange that it carries, or None.
        connected: Whether it is established.
        unsent: What is left to be sent of the request.
        sent: Whether any byte of the request has been sent.
        received_bytes: Bytes received since the request was assigned.
        parser: Parses the answers; None before the first request.
        answer: The answer to the exchange, once it is complete.
        is_reusable: Whether the connection may carry another request.
    """

    def __init__(self, address: str, sock: socket.socket) -> None:
        self.address = address
        self.sock = sock
        self.exchange: Exchange | None = None
        self.connected = False
        self.unsent = b""
        self.sent = False
        self.received_bytes = 0
        self.parser: answerparser.AnswerParser | None = None
        self.answer: Answer | None = None
        self.is_reusable = False

    def assign(self, exchange: Exchange, budget: bytebudget.ByteBudget) -> None:
        """Prepares to write the request of an exchange."""
        self.exchange = exchange
        exchange.connection = self
        self.unsent = _encode_request(exchange.request)
        self.sent = False
        self.received_bytes = 0
        self.answer = None
        self.is_reusable = False
        self.parser = answerparser.AnswerParser(
            exchange.request.max_answer_bytes, self._accept, budget
        )

    def _accept(
        self, status: int, headers: answerparser.Headers, body: bytes
    ) -> None:
        if self.answer is not None:
            self.is_reusable = False
            return
        fields: dict[str, str] = {}
        for name, value in headers:
            key, text = name.decode("latin-1"), value.decode("latin-1")
            fields[key] = f"{fields[key]}, {text}" if key in fields else text
        self.answer = Answer(status, fields, body)
        self.is_reusable = self.parser.keeps_connection


def _encode_request(request: Request) -> bytes:
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers.items()]
    lines.append(f"Host: {request.address}")
    lines.append(f"Content-Length: {len(request.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + request.body


class HttpClient(circuits.Component):
    """Sends requests, with a pool of connections for each address."""

    channel = "http-client"

    def __init__(
        self,
        poller: pollers.BasePoller,
        timers: scheduler.Scheduler,
        budget: bytebudget.ByteBudget,
    ) -> None:
        """Creates a client without connections.

        Args:
            poller: The loop's poller.
            timers: The loop's scheduler.
            budget: Limits the memory of all answers under way.
        """
        super().__init__()
        self._poller = poller
        self._timers = timers
        self._budget = budget
        self._connections: dict[socket.socket, _Connection] = {}
        self._idle: dict[str, collections.deque[_Connection]] = (
            collections.defaultdict(collections.deque)
        )

    def send(self, request: Request, done: DoneCallback) -> Exchange:
        """Sends a request.

        Args:
            request: The request.
            done: Called once with the answer or the failure, possibly before
                this method returns.

        Returns:
            The exchange, to be passed to `cancel`.
        """
        exchange = Exchange(request, done)
        exchange.timer = self._timers.after(
            request.timeout_s,
            lambda: self._abort(exchange, exchanges.Cause.TIMEOUT),
        )
        connection = self._take_connection(request.address)
        if connection is None:
            exchange.finish(
                result.Failure(
                    exchanges.Failure(exchanges.Cause.UNREACHABLE, False)
                )
            )
            return exchange
        connection.assign(exchange, self._budget)
        if connection.connected:
            self._write(connection)
        return exchange

    def cancel(self, exchange: Exchange) -> None:
        """Cancels an exchange, which closes its connection."""
        self._abort(exchange, exchanges.Cause.CANCELLED)

    def _take_connection(self, address: str) -> _Connection | None:
        idle = self._idle[address]
        if idle:
            return idle.pop()
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex((host, int(port)))
        if code and code not in _CONNECT_PENDING_ERRNOS:
            sock.close()
            return None
        connection = _Connection(address, sock)
        self._connections[sock] = connection
        self._poller.addReader(self, sock)
        self._poller.addWriter(self, sock)
        return connection

    def _abort(self, exchange: Exchange, cause: exchanges.Cause) -> None:
        if exchange.finished:
            return
        connection = exchange.connection
        sent = connection is not None and connection.sent
        if connection is not None:
            self._close(connection)
        exchange.finish(result.Failure(exchanges.Failure(cause, sent)))

    def _close(self, connection: _Connection) -> None:
        if self._connections.pop(connection.sock, None) is None:
            return
        with contextlib.suppress(ValueError):
            self._idle[connection.address].remove(connection)
        connection.unsent = b""
        if connection.parser is not None:
            connection.parser.close()
        self._poller.discard(connection.sock)
        connection.sock.close()

    def _fail(self, connection: _Connection, cause: exchanges.Cause) -> None:
        exchange = connection.exchange
        self._close(connection)
        if exchange is not None and not exchange.finished:
            failure = exchanges.Failure(cause, connection.sent)
            exchange.finish(result.Failure(failure))

    def _write(self, connection: _Connection) -> None:
        try:
            while connection.unsent:
                count = connection.sock.send(connection.unsent)
                connection.sent = True
                connection.unsent = connection.unsent[count:]
        except BlockingIOError:
            if not self._poller.isWriting(connection.sock):
                self._poller.addWriter(self, connection.sock)
            return
        except OSError:
            self._fail(connection, exchanges.Cause.CLOSED)
            return
        if self._poller.isWriting(connection.sock):
            self._poller.removeWriter(connection.sock)

    @circuits.handler("_write")
    def _on_write(self, sock: socket.socket) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        if not connection.connected:
            if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._fail(connection, exchanges.Cause.UNREACHABLE)
                return
            connection.connected = True
        self._write(connection)

    @circuits.handler("_disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        cause = (
            exchanges.Cause.CLOSED
            if connection.connected
            else exchanges.Cause.UNREACHABLE
        )
        self._fail(connection, cause)

    @circuits.handler("_read")
    def _on_read(self, sock: socket.socket) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        try:
            data = sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if connection.exchange is None:
            # The other side closed the connection, or sent unrequested bytes.
            self._close(connection)
        elif data:
            self._feed(connection, data)
        else:
            self._handle_eof(connection)

    def _handle_eof(self, connection: _Connection) -> None:
        if not connection.connected:
            cause = exchanges.Cause.UNREACHABLE
        elif connection.received_bytes:
            cause = exchanges.Cause.TRUNCATED
        else:
            cause = exchanges.Cause.CLOSED
        self._fail(connection, cause)

    def _feed(self, connection: _Connection, data: bytes) -> None:
        connection.received_bytes += len(data)
        request = connection.exchange.request
        if connection.received_bytes > request.max_answer_bytes:
            self._fail(connection, exchanges.Cause.TOO_LARGE)
            return
        is_valid = connection.parser.feed(data)
        if connection.answer is not None:
            self._complete(connection, is_valid)
        elif not is_valid:
            self._fail(connection, exchanges.Cause.MALFORMED)
        elif connection.parser.is_too_large:
            self._fail(connection, exchanges.Cause.TOO_LARGE)

    def _complete(self, connection: _Connection, is_valid: bool) -> None:
        """Reports the answer, and keeps the connection if nothing followed.

        Args:
            connection: The connection.
            is_valid: Whether all bytes received could be parsed.
        """
        exchange = connection.exchange
        connection.exchange = None
        if (
            connection.is_reusable
            and is_valid
            and not connection.unsent
            and not connection.parser.is_receiving
        ):
            self._idle[connection.address].append(connection)
        else:
            self._close(connection)
        exchange.finish(result.Success(connection.answer))
