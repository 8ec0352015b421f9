"""Serves HTTP/1.1: reads whole requests and sends whole responses."""

import socket
from collections.abc import Callable

import httptools
import msgspec

from tamarackgap import logs
from tamarackgap.network import scheduler, sockets

_BACKLOG = 1024
# Most connections accepted in one loop iteration.
_ACCEPT_BATCH = 64
_TIMEOUT_CHECK_INTERVAL_S = 0.5
# Most body bytes of pipelined requests that wait on a connection.
_MAX_PIPELINED_BYTES = 1_048_576
_REASON_PHRASES = {
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
    """Limits on what a caller may send.

    Attributes:
        max_header_bytes: Largest size of all headers of a request.
        max_body_bytes: Largest request body.
        request_timeout_s: Longest time to receive a whole request.
        idle_timeout_s: Longest time that a connection stays open without a
            request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    request_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class IncomingRequest:
    """A request that has been received completely and can be answered.

    Attributes:
        received_at: Monotonic time of the request's first byte, seconds.
        method: HTTP method.
        target: Path and query.
        headers: Header names in lower case, and values, in the order received.
        body: The body.
        on_disconnect: Called if the caller closes its connection before the
            response is sent, or None.
    """

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
        self.on_disconnect: Callable[[], None] | None = None

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends the response. May be called only once."""
        self.on_disconnect = None
        self._connection.respond(status, headers, body)


RequestHandler = Callable[[IncomingRequest], None]


class HttpServer:
    """Accepts callers' connections at one address.

    Attributes:
        limits: Limits on callers' requests; may be replaced at any time.
        draining: Whether each response closes its connection, so that callers
            open others elsewhere.
    """

    def __init__(
        self,
        poller: sockets.Poller,
        timers: scheduler.Scheduler,
        address: str,
        serve: RequestHandler,
    ) -> None:
        """Binds to `address` and starts to accept connections.

        Args:
            poller: The loop's poller.
            timers: The loop's scheduler.
            address: `ip:port`.
            serve: Called with each request that has been received.

        Raises:
            OSError: If the address can't be bound.
        """
        self.poller = poller
        self.timers = timers
        self.serve = serve
        self.limits = Limits()
        self.draining = False
        self._connections: set[_Connection] = set()
        self._socket = sockets.listen(address, _BACKLOG)
        poller.watch(self._socket.fileno(), sockets.READABLE, self._accept)
        timers.every(_TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def busy_connections(self) -> int:
        """Number of connections with an unanswered or incomplete request."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def is_open(self) -> bool:
        """Whether the server accepts connections."""
        return self._socket.fileno() >= 0

    def close(self) -> None:
        """Stops listening, and closes the connections that have no request."""
        self.poller.unwatch(self._socket.fileno())
        self._socket.close()
        for connection in list(self._connections):
            if not connection.is_busy:
                connection.close()

    def discard(self, connection: "_Connection") -> None:
        """Removes a closed connection."""
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

    def _check_timeouts(self) -> None:
        now = self.timers.now
        for connection in list(self._connections):
            connection.check_timeout(now)


class _Connection:
    """A caller's connection, whose requests are served one after another."""

    def __init__(self, server: HttpServer, sock: socket.socket) -> None:
        self._server = server
        self._sock = sock
        self._descriptor = sock.fileno()
        self._writer = sockets.Writer(server.poller, sock, True)
        self._parser = httptools.HttpRequestParser(self)
        self._queued: list[IncomingRequest] = []
        self._current: IncomingRequest | None = None
        # Status of the error response that is sent after the queued requests
        # and ends the connection; 0 if there is none.
        self._error_status = 0
        self._closing = False
        self._closed = False
        self._keep_alive = True
        # Time of the last response or of the first byte of the last request.
        self._active_at = server.timers.now
        self._receiving = False
        # Size of the headers of the request being received, then of its body.
        self._received_bytes = 0
        self._url = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        server.poller.watch(self._descriptor, sockets.READABLE, self._on_ready)

    @property
    def is_busy(self) -> bool:
        """Whether a request is unanswered or partly received."""
        return self._current is not None or self._receiving

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        self._receiving = True
        self._active_at = self._server.timers.now
        self._received_bytes = 0
        self._url = b""
        self._headers = []
        self._body = []

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._received_bytes += len(name) + len(value) + 4
        if self._received_bytes > self._server.limits.max_header_bytes:
            self._error_status = self._error_status or 431
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._received_bytes = 0

    def on_body(self, body: bytes) -> None:
        self._received_bytes += len(body)
        if self._received_bytes > self._server.limits.max_body_bytes:
            self._error_status = self._error_status or 413
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._receiving = False
        if self._error_status:
            return
        self._keep_alive = self._parser.should_keep_alive()
        incoming = IncomingRequest(
            self,
            self._active_at,
            self._parser.get_method().decode("ascii"),
            self._url.decode("latin-1"),
            self._headers,
            b"".join(self._body),
        )
        self._body = []
        self._queued.append(incoming)

    # Events of the socket.

    def _on_ready(self, flags: int) -> None:
        if flags & sockets.WRITABLE:
            if not self._writer.handle_writable():
                self._handle_disconnect()
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
            self._handle_disconnect()
            return
        if self._closing:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._error_status = 400
        except httptools.HttpParserError as error:
            logs.event("caller_sent_no_request", error=str(error))
            self._error_status = self._error_status or 400
        queued_bytes = sum(len(incoming.body) for incoming in self._queued)
        if queued_bytes > _MAX_PIPELINED_BYTES and self._current is not None:
            self._error_status = self._error_status or 413
        self._serve_next()

    def _serve_next(self) -> None:
        if self._current is not None or self._closing:
            return
        if self._queued:
            self._current = self._queued.pop(0)
            self._server.serve(self._current)
        elif self._error_status:
            self._respond_error(self._error_status)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends the response to the current request."""
        self._current = None
        if self._closed:
            return
        keep_alive = (
            self._keep_alive
            and not self._server.draining
            and not (self._error_status and not self._queued)
        )
        reason = _REASON_PHRASES.get(status, "Unknown")
        lines = [f"HTTP/1.1 {status} {reason}\r\n".encode("ascii")]
        lines += [b"%b: %b\r\n" % header for header in headers]
        lines.append(b"content-length: %d\r\n" % len(body))
        if not keep_alive:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        lines.append(body)
        self._active_at = self._server.timers.now
        if not self._writer.write(b"".join(lines)):
            self._handle_disconnect()
            return
        if keep_alive:
            self._serve_next()
        else:
            self._close_when_sent()

    def _respond_error(self, status: int) -> None:
        self._keep_alive = False
        self.respond(status, [], b"")

    def _close_when_sent(self) -> None:
        """Closes the connection after all bytes have been sent."""
        self._closing = True
        if not self._writer.unsent:
            self.close()

    def check_timeout(self, now: float) -> None:
        """Closes the connection if it is idle or sends a request too slowly."""
        limits = self._server.limits
        if self._current is not None or self._closing:
            return
        if self._receiving:
            if now - self._active_at > limits.request_timeout_s:
                self._respond_error(408)
        elif now - self._active_at > limits.idle_timeout_s:
            self.close()

    def _handle_disconnect(self) -> None:
        current = self._current
        queued = self._queued
        self._queued = []
        self.close()
        for incoming in [current, *queued]:
            if incoming is not None and incoming.on_disconnect is not None:
                callback = incoming.on_disconnect
                incoming.on_disconnect = None
                callback()

    def close(self) -> None:
        """Closes the connection immediately."""
        if self._closed:
            return
        self._closed = True
        self._server.poller.unwatch(self._descriptor)
        self._server.discard(self)
        self._sock.close()
