"""Kept HTTP connections to one address, each with one request at a time."""

import socket
from collections.abc import Callable

import httptools
import msgspec
from returns import result

from tamarackgap import logs
from tamarackgap.network import exchanges, scheduler, sockets

Headers = list[tuple[bytes, bytes]]


class Answer(msgspec.Struct, frozen=True):
    """A whole answer.

    Attributes:
        status: HTTP status.
        headers: Header names in lower case, and values, as they came.
        body: The body.
    """

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns a header's value, or None."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


DoneCallback = Callable[[result.Result[Answer, exchanges.Failure]], None]
# Tells whether an answer belongs to the request that was sent.
AnswerCheck = Callable[[Answer], bool]
# Returns a request's bytes when they are about to be written; none where it
# must not be sent any more.
RequestBuilder = Callable[[], bytes]


class Exchange(exchanges.Exchange):
    """A request, its bytes and the test of its answer."""

    __slots__ = ("is_answer", "build", "connection")

    def __init__(
        self, build: RequestBuilder, done: DoneCallback, is_answer: AnswerCheck
    ) -> None:
        """Creates an exchange that calls `done` once."""
        super().__init__(done)
        self.build = build
        self.is_answer = is_answer
        self.connection: _Connection | None = None


class ConnectionPool:
    """All connections to one address."""

    def __init__(
        self,
        poller: sockets.Poller,
        timers: scheduler.Scheduler,
        address: str,
        idle_timeout_s: float,
        unacked_timeout_ms: int,
    ) -> None:
        """Creates a link without connections.

        Args:
            poller: The loop's poller.
            timers: The loop's scheduler.
            address: `ip:port`.
            idle_timeout_s: Longest idle time of a connection that is reused.
            unacked_timeout_ms: TCP_USER_TIMEOUT of each connection.
        """
        self.poller = poller
        self.timers = timers
        self.address = address
        self.idle_timeout_s = idle_timeout_s
        self._unacked_timeout_ms = unacked_timeout_ms
        self._idle: list[_Connection] = []
        self._open: set[_Connection] = set()

    def send(
        self,
        build: RequestBuilder,
        timeout: float,
        done: DoneCallback,
        is_answer: AnswerCheck = lambda answer: True,
    ) -> Exchange:
        """Sends a whole request.

        Args:
            build: Returns its bytes, once there is a connection.
            timeout: Longest wait for the whole answer, seconds.
            done: Called once with the answer or the failure; perhaps before
                this returns.
            is_answer: Answers for which it is false are skipped.

        Returns:
            The exchange, for `cancel`.
        """
        exchange = Exchange(build, done, is_answer)
        connection = self._take() or self._connect()
        if connection is None:
            exchange.finish(
                result.Failure(
                    exchanges.Failure(exchanges.Cause.UNREACHABLE, False)
                )
            )
            return exchange
        exchange.timer = self.timers.after(
            timeout, lambda: self._give_up(exchange, exchanges.Cause.TIMEOUT)
        )
        connection.begin(exchange)
        return exchange

    def cancel(self, exchange: Exchange) -> None:
        """Gives an exchange up by closing its connection."""
        self._give_up(exchange, exchanges.Cause.CANCELLED)

    def close(self) -> None:
        """Closes all connections."""
        for connection in list(self._open):
            connection.lose(exchanges.Cause.CLOSED)

    def released(self, connection: "_Connection") -> None:
        """Takes a connection back that may be used again."""
        self._idle.append(connection)

    def discard(self, connection: "_Connection") -> None:
        """Forgets a closed connection."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def _take(self) -> "_Connection | None":
        # The one used last is the one least likely to be closed by now.
        now = self.timers.now
        while self._idle:
            connection = self._idle.pop()
            if now < connection.usable_until:
                return connection
            connection.close()
        return None

    def _connect(self) -> "_Connection | None":
        sock = sockets.connect(self.address, self._unacked_timeout_ms)
        if sock is None:
            return None
        connection = _Connection(self, sock)
        self._open.add(connection)
        return connection

    def _give_up(self, exchange: Exchange, cause: exchanges.Cause) -> None:
        if exchange.finished:
            return
        if exchange.connection is not None:
            exchange.connection.lose(cause)


class _Connection:
    """One connection, with at most one exchange."""

    def __init__(self, link: ConnectionPool, sock: socket.socket) -> None:
        self._link = link
        self._sock = sock
        self._descriptor = sock.fileno()
        self._exchange: Exchange | None = None
        self._closed = False
        self._odd = False
        self._received = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._framed = False
        # The answer that was waited for, until its bytes are all parsed.
        self._answered: tuple[Exchange, Answer] | None = None
        self.usable_until = 0.0
        link.poller.watch(
            self._descriptor,
            sockets.READABLE | sockets.WRITABLE,
            self._ready,
        )
        self._writer = sockets.Writer(link.poller, sock, False)

    def begin(self, exchange: Exchange) -> None:
        """Sends a request on this idle connection, once it is made."""
        self._exchange = exchange
        exchange.connection = self
        self._received = False
        if self._writer.connected:
            self._write()

    def _write(self) -> None:
        data = self._exchange.build()
        if not data:
            self.lose(exchanges.Cause.CANCELLED, sent=False)
        elif not self._writer.write(data):
            self.lose(exchanges.Cause.CLOSED)

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        if self._exchange is None:
            self._odd = True
        self._headers = []
        self._body = []
        self._framed = False

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name in (b"content-length", b"transfer-encoding"):
            self._framed = True
        self._headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._finish()

    # The socket.

    def _ready(self, flags: int) -> None:
        if flags & sockets.WRITABLE:
            was_connected = self._writer.connected
            if not self._writer.handle_writable():
                self.lose(self._cause())
                return
            if not was_connected and self._exchange is not None:
                self._write()
        if self._closed:
            return
        if flags & (sockets.READABLE | sockets.ERROR_OR_HANGUP):
            self._read()

    def _cause(self) -> exchanges.Cause:
        if self._writer.connection_refused:
            return exchanges.Cause.REFUSED
        if not self._writer.connected:
            return exchanges.Cause.UNREACHABLE
        return (
            exchanges.Cause.TRUNCATED
            if self._received
            else exchanges.Cause.CLOSED
        )

    def _read(self) -> None:
        try:
            data = self._sock.recv(sockets.READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.lose(self._cause())
            return
        if self._exchange is None:
            # It closed, or bytes came that nobody asked for.
            if data:
                logs.event("surplus_bytes", address=self._link.address)
            self.close()
        elif data:
            self._feed(data)
        else:
            self._ended()

    def _feed(self, data: bytes) -> None:
        self._received = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._odd = True
            if self._exchange is not None:
                self.lose(exchanges.Cause.MALFORMED)
                return
        self._settle()

    def _ended(self) -> None:
        if self._received and not self._framed and self._headers:
            # Its length is where the connection ends.
            self._odd = True
            self._finish()
            if self._exchange is None:
                self._settle()
                return
        self.lose(
            exchanges.Cause.TRUNCATED
            if self._received
            else exchanges.Cause.CLOSED
        )

    def _finish(self) -> None:
        """Takes a whole answer, if it is the one waited for."""
        exchange = self._exchange
        if exchange is None:
            self._odd = True
            return
        answer = Answer(
            self._parser.get_status_code(), self._headers, b"".join(self._body)
        )
        if not exchange.is_answer(answer):
            logs.event("late_answer_skipped", address=self._link.address)
            self._odd = True
            return
        if self._writer.unsent or not self._parser.should_keep_alive():
            self._odd = True
        self._exchange = None
        self.usable_until = self._link.timers.now + self._idle_limit(answer)
        self._answered = (exchange, answer)

    def _idle_limit(self, answer: Answer) -> float:
        told = answer.header(b"keep-alive")
        if told is not None:
            for part in told.split(b","):
                name, _, value = part.strip().partition(b"=")
                if name.lower() == b"timeout" and value.isdigit():
                    # The other side may close a moment before its time.
                    return min(
                        self._link.idle_timeout_s, max(0.0, int(value) - 1.0)
                    )
        return self._link.idle_timeout_s

    def _settle(self) -> None:
        """Keeps the connection for another request, or closes it."""
        if self._exchange is not None:
            return
        if self._odd:
            self.close()
        elif not self._closed:
            self._link.released(self)
        answered = self._answered
        self._answered = None
        if answered is not None:
            exchange, answer = answered
            exchange.finish(result.Success(answer))

    def lose(self, cause: exchanges.Cause, sent: bool | None = None) -> None:
        """Closes the connection, and fails its exchange.

        Args:
            cause: Why.
            sent: Whether any byte of the request may have been sent; None for
                whether the connection was made.
        """
        exchange = self._exchange
        self._exchange = None
        if sent is None:
            sent = self._writer.connected
        self.close()
        if exchange is not None:
            exchange.finish(result.Failure(exchanges.Failure(cause, sent)))

    def close(self) -> None:
        """Closes the connection at once."""
        if self._closed:
            return
        self._closed = True
        self._link.poller.unwatch(self._descriptor)
        self._link.discard(self)
        self._sock.close()
