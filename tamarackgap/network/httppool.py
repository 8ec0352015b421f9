"""Sends HTTP requests over a pool of connections to one address.

Each connection carries one request at a time.
"""

import socket
from collections.abc import Callable

import msgspec
from returns import result

from tamarackgap import logs
from tamarackgap.network import (
    answerparser,
    bytebudget,
    exchanges,
    scheduler,
    sockets,
)

# Answers to no request that are skipped on a connection before it is given up.
_MAX_SKIPPED_ANSWERS = 3


class Answer(msgspec.Struct, frozen=True):
    """A complete answer.

    Attributes:
        status: HTTP status.
        headers: Header names in lower case, and values, in the order received.
        body: The body.
    """

    status: int
    headers: answerparser.Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of a header, or None.

        Args:
            name: The header's name in lower case.
        """
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None


DoneCallback = Callable[[result.Result[Answer, exchanges.Failure]], None]
# Returns whether an answer is the one to the request that was sent.
AnswerCheck = Callable[[Answer], bool]
# Returns a request's bytes just before they are written, or no bytes if the
# request must not be sent any more.
RequestBuilder = Callable[[], bytes]


class Exchange(exchanges.Exchange):
    """A request that is sent over a connection of the pool.

    Attributes:
        build: Returns the request's bytes.
        is_answer: Returns whether an answer is the one to this request.
        connection: The connection that carries the request, or None.
        is_first: Whether that connection has carried no request before, so
            that no copy of another answer can be taken for its own.
    """

    __slots__ = ("is_answer", "build", "connection", "is_first")

    def __init__(
        self,
        build: RequestBuilder,
        done: DoneCallback,
        is_answer: AnswerCheck,
    ) -> None:
        """Creates an exchange that calls `done` once, with its outcome."""
        super().__init__(done)
        self.build = build
        self.is_answer = is_answer
        self.connection: _Connection | None = None
        self.is_first = False


def _do_nothing() -> None:
    """Is called where nobody is to be told."""


class ConnectionPool:
    """Holds the connections to one address.

    Attributes:
        on_connected: Called when a new connection is established that may
            carry several requests, before the first is written to it.
    """

    def __init__(
        self,
        poller: sockets.Poller,
        timers: scheduler.Scheduler,
        address: str,
        idle_timeout_s: float,
        unacked_timeout_ms: int,
        max_answer_bytes: int,
        budget: bytebudget.ByteBudget,
    ) -> None:
        """Creates a pool without connections.

        Args:
            poller: The loop's poller.
            timers: The loop's scheduler.
            address: `ip:port`.
            idle_timeout_s: Longest idle time of a connection that is reused.
            unacked_timeout_ms: Time after which a connection is closed if
                sent bytes are not acknowledged (TCP_USER_TIMEOUT).
            max_answer_bytes: Largest size of an answer with its head.
            budget: Limits the memory of all messages under way.
        """
        self.poller = poller
        self.timers = timers
        self.address = address
        self.idle_timeout_s = idle_timeout_s
        self.max_answer_bytes = max_answer_bytes
        self.budget = budget
        self._unacked_timeout_ms = unacked_timeout_ms
        self._idle: list[_Connection] = []
        self._open: set[_Connection] = set()
        self.on_connected: Callable[[], None] = _do_nothing

    @property
    def has_established_connection(self) -> bool:
        """Whether the other side has accepted a connection still open."""
        return any(connection.established for connection in self._open)

    def send(
        self,
        build: RequestBuilder,
        timeout: float,
        done: DoneCallback,
        is_answer: AnswerCheck = lambda answer: True,
        exclusive: bool = False,
    ) -> Exchange:
        """Sends a request.

        Args:
            build: Returns the request's bytes; called once there is a
                connection.
            timeout: Longest time until the answer is complete, seconds.
            done: Called once with the answer or the failure, possibly before
                this method returns.
            is_answer: Returns whether an answer is the one to this request;
                a few others are skipped on a connection that was used before.
            exclusive: Whether the request gets a connection of its own, which
                carries nothing else before or after it. No copy of another
                answer can then be taken for its own.

        Returns:
            The exchange, to be passed to `cancel`.
        """
        exchange = Exchange(build, done, is_answer)
        idle = None if exclusive else self._take_idle()
        connection = idle or self._connect()
        if connection is None:
            exchange.finish(
                result.Failure(
                    exchanges.Failure(exchanges.Cause.UNREACHABLE, False)
                )
            )
            return exchange
        exchange.timer = self.timers.after(
            timeout, lambda: self._abort(exchange, exchanges.Cause.TIMEOUT)
        )
        connection.send(exchange, exclusive)
        return exchange

    def cancel(self, exchange: Exchange) -> None:
        """Cancels an exchange, which closes its connection."""
        self._abort(exchange, exchanges.Cause.CANCELLED)

    def close(self) -> None:
        """Closes all connections."""
        for connection in list(self._open):
            connection.fail(exchanges.Cause.CLOSED)

    def add_idle(self, connection: "_Connection") -> None:
        """Makes a connection available for other requests."""
        self._idle.append(connection)

    def discard(self, connection: "_Connection") -> None:
        """Removes a closed connection."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def _take_idle(self) -> "_Connection | None":
        # The connection used last is the least likely to have been closed.
        now = self.timers.now
        while self._idle:
            connection = self._idle.pop()
            if now < connection.reusable_until:
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

    def _abort(self, exchange: Exchange, cause: exchanges.Cause) -> None:
        if exchange.finished:
            return
        if exchange.connection is not None:
            exchange.connection.fail(cause)


class _Connection:
    """A connection of the pool, which carries at most one exchange."""

    def __init__(self, pool: ConnectionPool, sock: socket.socket) -> None:
        self._pool = pool
        self._sock = sock
        self._descriptor = sock.fileno()
        self._exchange: Exchange | None = None
        self._closed = False
        self._must_close = False
        self._received = False
        # Whether an earlier request was answered on this connection.
        self._is_reused = False
        self._skipped_answers = 0
        self._parser = answerparser.AnswerParser(
            pool.max_answer_bytes, self._accept_answer, pool.budget
        )
        # An exchange and its accepted answer, until the bytes received with
        # the answer have been parsed.
        self._accepted: tuple[Exchange, Answer] | None = None
        self.reusable_until = 0.0
        pool.poller.watch(
            self._descriptor,
            sockets.READABLE | sockets.WRITABLE,
            self._on_ready,
        )
        self._writer = sockets.Writer(pool.poller, sock, False)

    @property
    def established(self) -> bool:
        """Whether the other side has accepted the connection."""
        return self._writer.connected

    def send(self, exchange: Exchange, exclusive: bool) -> None:
        """Sends a request on this idle connection, once it is established.

        Args:
            exchange: The request.
            exclusive: Whether the connection is closed after its answer.
        """
        self._must_close = exclusive
        self._exchange = exchange
        exchange.connection = self
        exchange.is_first = not self._is_reused
        self._received = False
        if self._writer.connected:
            self._write()

    def _write(self) -> None:
        data = self._exchange.build()
        if not data:
            self.fail(exchanges.Cause.CANCELLED, sent=False)
        elif not self._writer.write(data):
            self.fail(exchanges.Cause.CLOSED)

    # Events of the socket.

    def _on_ready(self, flags: int) -> None:
        if flags & sockets.WRITABLE:
            was_connected = self._writer.connected
            if not self._writer.handle_writable():
                self.fail(self._failure_cause())
                return
            if not was_connected:
                if not self._must_close:
                    self._pool.on_connected()
                if self._exchange is not None:
                    self._write()
        if self._closed:
            return
        if flags & (sockets.READABLE | sockets.ERROR_OR_HANGUP):
            self._read()

    def _failure_cause(self) -> exchanges.Cause:
        if self._writer.connection_refused:
            return exchanges.Cause.REFUSED
        if not self._writer.connected:
            return exchanges.Cause.UNREACHABLE
        if self._received:
            return exchanges.Cause.TRUNCATED
        return exchanges.Cause.CLOSED

    def _read(self) -> None:
        try:
            data = self._sock.recv(sockets.READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.fail(self._failure_cause())
            return
        if self._exchange is None:
            # The other side closed the connection, or sent unrequested bytes.
            if data:
                logs.event("surplus_bytes", address=self._pool.address)
            self.close()
        elif data:
            self._feed(data)
        else:
            self._handle_eof()

    def _feed(self, data: bytes) -> None:
        self._received = True
        is_valid = self._parser.feed(data)
        if self._exchange is None:
            self._must_close |= not is_valid
            self._complete()
        elif not is_valid:
            self.fail(exchanges.Cause.MALFORMED)
        elif self._parser.is_too_large:
            self.fail(exchanges.Cause.TOO_LARGE)

    def _handle_eof(self) -> None:
        self._must_close = True
        if self._received:
            self._parser.end()
        if self._exchange is not None:
            self.fail(self._failure_cause())
        self._complete()

    def _accept_answer(
        self, status: int, headers: answerparser.Headers, body: bytes
    ) -> None:
        """Accepts a complete answer if it is the one to the current request."""
        exchange = self._exchange
        if exchange is None:
            self._must_close = True
            return
        answer = Answer(status, headers, body)
        if not exchange.is_answer(answer):
            self._skip_answer()
            return
        self._is_reused = True
        if self._writer.unsent or not self._parser.keeps_connection:
            self._must_close = True
        self._exchange = None
        self.reusable_until = self._pool.timers.now + self._idle_timeout_s(
            answer
        )
        self._accepted = (exchange, answer)

    def _skip_answer(self) -> None:
        """Waits for a further answer, or fails the exchange.

        An answer that is not to the current request may be a copy of one to an
        earlier request on this connection.
        """
        logs.event("late_answer_skipped", address=self._pool.address)
        self._must_close = True
        self._skipped_answers += 1
        if not self._is_reused or self._skipped_answers > _MAX_SKIPPED_ANSWERS:
            self.fail(exchanges.Cause.MALFORMED)

    def _idle_timeout_s(self, answer: Answer) -> float:
        keep_alive_s = answerparser.keep_alive_timeout(answer.headers)
        # Leaves a margin of one second: the other side may close slightly
        # before its timeout.
        return min(self._pool.idle_timeout_s, max(0.0, keep_alive_s - 1.0))

    def _complete(self) -> None:
        """Keeps or closes the connection, and reports an accepted answer."""
        if self._must_close or self._parser.is_receiving:
            self.close()
        elif not self._closed:
            self._pool.add_idle(self)
        accepted = self._accepted
        self._accepted = None
        if accepted is not None:
            exchange, answer = accepted
            exchange.finish(result.Success(answer))

    def fail(self, cause: exchanges.Cause, sent: bool | None = None) -> None:
        """Closes the connection, and fails its exchange.

        Args:
            cause: The cause of the failure.
            sent: Whether any byte of the request may have been sent; None
                derives it from whether the connection was established.
        """
        exchange = self._exchange
        self._exchange = None
        if sent is None:
            sent = self._writer.connected
        self.close()
        if exchange is not None:
            exchange.finish(result.Failure(exchanges.Failure(cause, sent)))

    def close(self) -> None:
        """Closes the connection immediately."""
        if self._closed:
            return
        self._closed = True
        self._parser.close()
        self._writer.drop_unsent()
        self._pool.poller.unwatch(self._descriptor)
        self._pool.discard(self)
        self._sock.close()
