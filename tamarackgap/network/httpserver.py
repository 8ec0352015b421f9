"""The HTTP server for callers: whole requests in, whole answers out."""

import socket
from collections.abc import Callable

import httptools
import msgspec

from tamarackgap import logs
from tamarackgap.network import scheduler, sockets

_BACKLOG = 1024
# Connections accepted in one turn of the loop.
_ACCEPT_BATCH = 64
_SWEEP_S = 0.5
# Bytes of requests that wait behind one in progress on their connection.
_PIPELINED_BYTES = 1_048_576
_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

Headers = list[tuple[bytes, bytes]]


class Limits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send.

    Attributes:
        max_header_bytes: Largest head of a request, bytes.
        max_body_bytes: Largest body, bytes.
        request_timeout_s: Longest time for a whole request to come in, seconds.
        idle_timeout_s: Longest time without a request on a connection, seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    request_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class IncomingRequest:
    """A request that has been read whole, and the way to answer it."""

    __slots__ = (
        "_connection",
        "received_at",
        "body",
        "on_disconnect",
        "headers",
        "method",
        "target",
    )

    def __init__(
        self,
        connection: "_Connection",
        received_at: float,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Creates a request that was read from `connection`."""
        self._connection = connection
        self.received_at = received_at
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        # Called if the caller closes its connection before the answer.
        self.on_disconnect: Callable[[], None] | None = None

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends the answer; once only."""
        self.on_disconnect = None
        self._connection.respond(status, headers, body)


RequestHandler = Callable[[IncomingRequest], None]


class HttpServer:
    """Accepts callers' connections at one address."""

    def __init__(
        self,
        poller: sockets.Poller,
        timers: scheduler.Scheduler,
        address: str,
        serve: RequestHandler,
    ) -> None:
        """Binds to `address`.

        Args:
            poller: The loop's poller.
            timers: The loop's scheduler.
            address: `ip:port`.
            serve: Called with each whole request.

        Raises:
            OSError: If the address can't be bound.
        """
        self.poller = poller
        self.timers = timers
        self.serve = serve
        self.limits = Limits()
        # Whether each answer asks the caller to use another connection.
        self.draining = False
        self._connections: set[_Connection] = set()
        self._socket = sockets.listen(address, _BACKLOG)
        poller.watch(self._socket.fileno(), sockets.READABLE, self._accept)
        timers.every(_SWEEP_S, self._sweep)

    @property
    def connections(self) -> int:
        """Number of connections."""
        return len(self._connections)

    @property
    def in_progress(self) -> int:
        """Number of connections with a request that is not answered."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def is_open(self) -> bool:
        """Whether it accepts connections."""
        return self._socket.fileno() >= 0

    def close(self) -> None:
        """Stops listening, and closes connections without a request."""
        self.poller.unwatch(self._socket.fileno())
        self._socket.close()
        for connection in list(self._connections):
            if not connection.is_busy:
                connection.close()

    def discard(self, connection: "_Connection") -> None:
        """Forgets a closed connection."""
        self._connections.discard(connection)

    def _accept(self, flags: int) -> None:
        del flags
        for _ in range(_ACCEPT_BATCH):
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                logs.event("accept_failed", error=str(error))
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.add(_Connection(self, sock))

    def _sweep(self) -> None:
        now = self.timers.now
        for connection in list(self._connections):
            connection.expire(now)


class _Connection:
    """One caller's connection; its requests are served one by one."""

    def __init__(self, door: HttpServer, sock: socket.socket) -> None:
        self._door = door
        self._sock = sock
        self._descriptor = sock.fileno()
        self._writer = sockets.Writer(door.poller, sock, True)
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: list[IncomingRequest] = []
        self._current: IncomingRequest | None = None
        self._broken = 0
        self._closing = False
        self._closed = False
        self._keep = True
        self._at = door.timers.now
        self._receiving = False
        self._size = 0
        self._url = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        door.poller.watch(self._descriptor, sockets.READABLE, self._ready)

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or half read."""
        return self._current is not None or self._receiving

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        self._receiving = True
        self._at = self._door.timers.now
        self._size = 0
        self._url = b""
        self._headers = []
        self._body = []

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._size += len(name) + len(value) + 4
        if self._size > self._door.limits.max_header_bytes:
            self._broken = self._broken or 431
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._size = 0

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > self._door.limits.max_body_bytes:
            self._broken = self._broken or 413
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._receiving = False
        if self._broken:
            return
        self._keep = self._parser.should_keep_alive()
        incoming = IncomingRequest(
            self,
            self._at,
            self._parser.get_method().decode("ascii"),
            self._url.decode("latin-1"),
            self._headers,
            b"".join(self._body),
        )
        self._body = []
        self._waiting.append(incoming)

    # The socket.

    def _ready(self, flags: int) -> None:
        if flags & sockets.WRITABLE:
            if not self._writer.handle_writable():
                self._lost()
                return
            if self._closing and not self._writer.unsent:
                self.close()
                return
        if flags & (sockets.READABLE | sockets.ERROR_OR_HANGUP):
            self._read()

    def _read(self) -> None:
        try:
            data = self._sock.recv(sockets.READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._lost()
            return
        if self._closing:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._broken = 400
        except httptools.HttpParserError as error:
            logs.event("caller_sent_no_request", error=str(error))
            self._broken = self._broken or 400
        held = sum(len(incoming.body) for incoming in self._waiting)
        if held > _PIPELINED_BYTES and self._current is not None:
            self._broken = self._broken or 413
        self._next()

    def _next(self) -> None:
        if self._current is not None or self._closing:
            return
        if self._waiting:
            self._current = self._waiting.pop(0)
            self._door.serve(self._current)
        elif self._broken:
            self._refuse(self._broken)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends an answer to the request in progress."""
        self._current = None
        if self._closed:
            return
        keep = (
            self._keep
            and not self._door.draining
            and not (self._broken and not self._waiting)
        )
        reason = _REASONS.get(status, "Unknown")
        lines = [f"HTTP/1.1 {status} {reason}\r\n".encode("ascii")]
        lines += [b"%b: %b\r\n" % header for header in headers]
        lines.append(b"content-length: %d\r\n" % len(body))
        if not keep:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        lines.append(body)
        self._at = self._door.timers.now
        if not self._writer.write(b"".join(lines)):
            self._lost()
            return
        if keep:
            self._next()
        else:
            self._finish()

    def _refuse(self, status: int) -> None:
        self._keep = False
        self.respond(status, [], b"")

    def _finish(self) -> None:
        """Closes the connection once all has been sent."""
        self._closing = True
        if not self._writer.unsent:
            self.close()

    def expire(self, now: float) -> None:
        """Closes a connection that is idle or sends too slowly."""
        limits = self._door.limits
        if self._current is not None or self._closing:
            return
        if self._receiving:
            if now - self._at > limits.request_timeout_s:
                self._refuse(408)
        elif now - self._at > limits.idle_timeout_s:
            self.close()

    def _lost(self) -> None:
        current = self._current
        waiting = self._waiting
        self._waiting = []
        self.close()
        for incoming in [current, *waiting]:
            if incoming is not None and incoming.on_disconnect is not None:
                on_disconnect = incoming.on_disconnect
                incoming.on_disconnect = None
                on_disconnect()

    def close(self) -> None:
        """Closes the connection at once."""
        if self._closed:
            return
        self._closed = True
        self._door.poller.unwatch(self._descriptor)
        self._door.discard(self)
        self._sock.close()
