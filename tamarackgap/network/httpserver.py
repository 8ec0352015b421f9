"""Serves HTTP/1.1: reads whole requests and sends whole responses."""

import contextlib
import socket
from collections.abc import Callable

from tamarackgap import logs
from tamarackgap.network import (
    bytebudget,
    pipeline,
    requestparser,
    scheduler,
    sockets,
)

_BACKLOG = 1024
# Largest number of connections accepted in one loop iteration.
_ACCEPT_BATCH = 64
_TIMEOUT_CHECK_INTERVAL_S = 0.5
# A connection is not read while pipelined requests that take more memory than
# this wait on it.
_MAX_PIPELINED_BYTES = 1_048_576
# A caller that was sent an error while it still sent a request is read for this
# long after it has the response, since it may send without an end. Closing at
# once could take the response from it.
_LINGER_S = 1.0
_STATUS_TIMED_OUT = 408
_STATUS_NO_ROOM = 503
_RETRY_LATER = [(b"retry-after", b"0.2")]
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

Headers = requestparser.Headers
IncomingRequest = pipeline.IncomingRequest
Limits = requestparser.Limits


RequestHandler = Callable[[IncomingRequest], None]


class HttpServer:
    """Accepts callers' connections at one address.

    Attributes:
        limits: Limits on callers' requests; may be replaced at any time.
        draining: Whether each response closes its connection, so that callers
            connect to other daemons.
    """

    def __init__(
        self,
        poller: sockets.Poller,
        timers: scheduler.Scheduler,
        address: str,
        serve: RequestHandler,
        budget: bytebudget.ByteBudget,
    ) -> None:
        """Binds to `address` and starts to accept connections.

        Args:
            poller: The loop's poller.
            timers: The loop's scheduler.
            address: `ip:port`.
            serve: Called with each request that has been received.
            budget: Limits the memory of all messages under way.

        Raises:
            OSError: If the address can't be bound.
        """
        self.poller = poller
        self.timers = timers
        self.serve = serve
        self.budget = budget
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
        """Number of connections whose callers still await something."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def is_open(self) -> bool:
        """Whether the server accepts connections."""
        return self._socket.fileno() >= 0

    def close(self) -> None:
        """Stops listening, and ends the connections that have no request."""
        self.poller.unwatch(self._socket.fileno())
        self._socket.close()
        for connection in list(self._connections):
            if not connection.is_busy:
                connection.end()

    def discard(self, connection: "_Connection") -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)

    def _accept(self, flags: int) -> None:
        del flags
        for _ in range(_ACCEPT_BATCH):
            try:
                sock, (caller, _) = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                logs.event("accept_failed", error=str(error))
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            is_local = caller == sock.getsockname()[0]
            self._connections.add(_Connection(self, sock, is_local))

    def _check_timeouts(self) -> None:
        now = self.timers.now
        for connection in list(self._connections):
            connection.check_timeout(now)


class _Connection:
    """A caller's connection."""

    def __init__(
        self, server: HttpServer, sock: socket.socket, is_local: bool
    ) -> None:
        self._server = server
        self._sock = sock
        self._is_local = is_local
        self._descriptor = sock.fileno()
        self._writer = sockets.Writer(server.poller, sock, True)
        self._parser = requestparser.RequestParser(
            lambda: server.limits, self._record_begin, self._queue_request
        )
        self._pipeline = pipeline.Pipeline()
        self._charge = bytebudget.Charge(server.budget)
        self._is_paused = False
        self._is_serving = False
        # Whether the last response has been given: what comes is not read.
        self._closing = False
        # Whether the sending side has been shut down.
        self._ended = False
        # Bytes not yet delivered when that was last checked.
        self._undelivered = 0
        self._closed = False
        # Whether the request received last leaves the connection open.
        self._keep_alive = True
        # Monotonic time of the last response, of progress in sending it or of
        # the first byte of the last request, whichever is latest, seconds.
        self._active_at = server.timers.now
        server.poller.watch(self._descriptor, sockets.READABLE, self._on_ready)

    @property
    def is_busy(self) -> bool:
        """Whether the caller still awaits a response, or a part of one.

        After the end of the connection it does so until the caller's system has
        the whole response.
        """
        if self._ended:
            return not self._is_delivered()
        return (
            bool(self._pipeline)
            or self._parser.is_receiving
            or self._writer.unsent > 0
        )

    # Events of the parser.

    def _record_begin(self) -> None:
        self._active_at = self._server.timers.now

    def _queue_request(self, request: requestparser.ParsedRequest) -> None:
        self._keep_alive = request.keeps_connection
        self._pipeline.add(
            IncomingRequest(
                self._send_responses, self._active_at, request, self._is_local
            )
        )

    # Events of the socket.

    def _on_ready(self, flags: int) -> None:
        if flags & sockets.WRITABLE:
            self._active_at = self._server.timers.now
            if not self._writer.handle_writable():
                self._handle_disconnect()
                return
            self._update_charge()
            if self._closing and not self._writer.unsent:
                self.end()
                return
        if flags & sockets.PEER_CLOSED:
            self._handle_disconnect()
        elif flags & (sockets.READABLE | sockets.ERROR_OR_HANGUP):
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
        self._parser.feed(data)
        if not self._update_charge():
            self._refuse_for_memory()
        self._serve_next()

    def _update_charge(self) -> bool:
        """Counts the memory of this connection; returns whether it has room."""
        return self._charge.hold(
            self._parser.memory + self._pipeline.memory + self._writer.unsent
        )

    def _refuse_for_memory(self) -> None:
        """Refuses the request that was received last, which has not run."""
        logs.event("caller_refused_for_memory", held=self._charge.held)
        if not self._parser.is_receiving:
            self._pipeline.drop_last()
        self._parser.refuse(_STATUS_NO_ROOM)
        self._update_charge()

    def _serve_next(self) -> None:
        if self._is_serving:
            return  # A response was given at once; the loop below goes on.
        self._is_serving = True
        try:
            while not (self._closing or self._closed):
                request = self._pipeline.next_to_serve()
                if request is None:
                    break
                self._server.serve(request)
        finally:
            self._is_serving = False
        error_status = self._parser.error_status
        if error_status and not self._pipeline and not self._closing:
            self._respond_error(error_status)
        self._pause_or_resume()

    def _pause_or_resume(self) -> None:
        """Stops reading while many requests wait, or starts it again."""
        is_paused = self._pipeline.waiting_bytes > _MAX_PIPELINED_BYTES
        if is_paused != self._is_paused and not self._closed:
            self._is_paused = is_paused
            self._writer.set_reading(not is_paused)

    def _send_responses(self, answered: IncomingRequest) -> None:
        """Sends the responses whose turn has come.

        Args:
            answered: The request whose response has just been given.
        """
        if self._closed:
            return
        self._pipeline.hold_response(answered)
        while (response := self._pipeline.take_response()) is not None:
            self._send(response)
            if self._closed or self._closing:
                return
        self._update_charge()
        self._serve_next()

    def _send(self, response: pipeline.Response) -> None:
        """Sends a response, and closes the connection if it is the last."""
        # Requests that have been received before are answered as well.
        keep_alive = bool(self._pipeline) or (
            self._keep_alive
            and not self._server.draining
            and not self._parser.error_status
        )
        reason = _REASON_PHRASES.get(response.status, "Unknown")
        lines = [f"HTTP/1.1 {response.status} {reason}\r\n".encode("ascii")]
        lines += [b"%b: %b\r\n" % header for header in response.headers]
        lines.append(b"content-length: %d\r\n" % len(response.body))
        if not keep_alive:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        lines.append(response.body)
        self._active_at = self._server.timers.now
        if not self._writer.write(b"".join(lines)):
            self._handle_disconnect()
        elif not keep_alive:
            self._update_charge()
            self._close_when_sent()

    def _respond_error(self, status: int) -> None:
        self._keep_alive = False
        is_refusal = status == _STATUS_NO_ROOM
        self._send(
            pipeline.Response(status, _RETRY_LATER if is_refusal else [], b"")
        )

    def _close_when_sent(self) -> None:
        """Closes the connection after all bytes have been sent."""
        self._closing = True
        if not self._writer.unsent:
            self.end()

    def end(self) -> None:
        """Closes the sending side; the caller closes the connection.

        What the caller sends meanwhile is dropped, and counts as not read.
        """
        if self._ended or self._closed:
            return
        self._closing = True
        self._ended = True
        self._active_at = self._server.timers.now
        self._parser.close()
        self._charge.release()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        if self._is_paused:
            # Bytes left unread would bring the reset at the close.
            self._is_paused = False
            self._writer.set_reading(True)

    def _is_delivered(self) -> bool:
        """Returns whether the caller's system has all that was sent to it.

        Where that can't be told, it is taken to have it after some time.
        """
        left = sockets.undelivered(self._sock)
        if left is None:
            return self._server.timers.now - self._active_at > _LINGER_S
        if left != self._undelivered:
            self._undelivered = left
            self._active_at = self._server.timers.now
        return not left

    def check_timeout(self, now: float) -> None:
        """Closes the connection if its caller is idle or too slow."""
        if self._pipeline:
            return
        limits = self._server.limits
        quiet_s = now - self._active_at
        if self._ended:
            self._close_after_linger(limits)
        elif self._parser.is_receiving and not self._closing:
            if quiet_s > limits.request_timeout_s:
                self._parser.refuse(_STATUS_TIMED_OUT)
                self._respond_error(_STATUS_TIMED_OUT)
        elif quiet_s > limits.idle_timeout_s:
            if self._writer.unsent:
                self.close()
            else:
                self.end()

    def _close_after_linger(self, limits: Limits) -> None:
        """Closes an ended connection that its caller has left open.

        A caller that was sent an error may go on sending without an end.
        """
        is_delivered = self._is_delivered()
        quiet_s = self._server.timers.now - self._active_at
        is_error = bool(self._parser.error_status)
        is_short = is_error and is_delivered
        if quiet_s > (_LINGER_S if is_short else limits.idle_timeout_s):
            self.close()

    def _handle_disconnect(self) -> None:
        waiting = self._pipeline.clear()
        self.close()
        for incoming in waiting:
            if incoming.on_disconnect is not None:
                callback = incoming.on_disconnect
                incoming.on_disconnect = None
                callback()

    def close(self) -> None:
        """Closes the connection immediately."""
        if self._closed:
            return
        self._closed = True
        self._pipeline.clear()
        self._parser.close()
        self._writer.drop_unsent()
        self._charge.release()
        self._server.poller.unwatch(self._descriptor)
        self._server.discard(self)
        self._sock.close()
