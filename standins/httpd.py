"""A small threaded HTTP server for the stand-ins."""

import contextlib
import http.server
import json
import socket
import socketserver
import sys
import time
from collections.abc import Callable

import msgspec

_ENDLESS_PAUSE_S = 0.002


class Request(msgspec.Struct, frozen=True):
    """A request to a stand-in.

    Attributes:
        method: Method of the request.
        path: Path with the query string.
        headers: Headers, with names in lower case.
        body: The body.
        client: Address of the other end of the connection, host and port.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    client: tuple[str, int] = ("", 0)

    def json(self) -> dict:
        """Decodes the body from JSON; an empty body gives an empty dict."""
        return json.loads(self.body or b"{}")


class Response(msgspec.Struct, frozen=True):
    """A response of a stand-in.

    Attributes:
        status: Status, or None to close the connection without a response.
        body: The body.
        headers: Further headers; `_` in a name is sent as `-`.
        length: Content-Length to send if it is to differ from the body's, as
            a fault.
        ends_in_head: Whether the connection is closed before the head is
            complete, as a fault.
        surplus: Bytes sent before the response, as a fault.
        endless: Bytes sent again and again in place of the body, in a chunk
            each, until the client closes the connection, as a fault.
    """

    status: int | None
    body: bytes = b""
    headers: dict[str, str] = {}
    length: int | None = None
    ends_in_head: bool = False
    surplus: bytes = b""
    endless: bytes = b""


def json_response(value: object, status: int = 200, **headers: str) -> Response:
    """Returns a response with a JSON body."""
    return Response(status, msgspec.json.encode(value), headers)


RequestHandler = Callable[[Request], Response]


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """An HTTP server with a thread for each connection."""

    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def __init__(self, *args: object) -> None:
        """Binds the address; takes the same arguments as `HTTPServer`."""
        self._connections: set[socket.socket] = set()
        super().__init__(*args)

    def process_request(
        self, request: socket.socket, client_address: object
    ) -> None:
        """Serves a connection on a thread of its own."""
        self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: socket.socket) -> None:
        """Closes a connection that has been served."""
        self._connections.discard(request)
        super().shutdown_request(request)

    def stop(self) -> None:
        """Stops listening and cuts all connections, as a process's end does."""
        self.shutdown()
        with contextlib.suppress(OSError):
            # A process that is being started has a copy of the socket until
            # its program is loaded; closing it here would not free the port.
            self.socket.shutdown(socket.SHUT_RDWR)
        self.server_close()
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request: object, client_address: object) -> None:
        """Reports errors, except those of connections closed by the client."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


def serve(address: str, handler: RequestHandler) -> Server:
    """Returns a server bound to an address.

    Args:
        address: Address to listen at, `ip:port`.
        handler: Called for each request, on the thread of its connection.

    Returns:
        The server; it accepts connections once `serve_forever` is called.
    """

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def _handle(self) -> None:
            size = int(self.headers.get("Content-Length") or 0)
            headers = {k.lower(): v for k, v in self.headers.items()}
            request = Request(
                self.command,
                self.path,
                headers,
                self.rfile.read(size),
                self.client_address,
            )
            response = handler(request)
            if response.status is None:
                self.close_connection = True
                return
            if response.surplus:
                self.wfile.write(response.surplus)
                self.wfile.flush()
            self.send_response(response.status)
            for name, value in response.headers.items():
                self.send_header(name.replace("_", "-"), value)
            length = (
                len(response.body)
                if response.length is None
                else response.length
            )
            self.send_header("Content-Type", "application/json")
            if response.ends_in_head:
                self.flush_headers()
                self.wfile.flush()
                self.close_connection = True
                return
            if response.endless:
                self._send_endlessly(response.endless)
                return
            self.send_header("Content-Length", str(length))
            self.end_headers()
            self.wfile.write(response.body)
            self.wfile.flush()
            if length != len(response.body):
                self.close_connection = True

        def _send_endlessly(self, data: bytes) -> None:
            self.close_connection = True
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            chunk = b"%x\r\n%b\r\n" % (len(data), data)
            with contextlib.suppress(OSError):
                while True:
                    self.wfile.write(chunk)
                    # Lets other answers grow at the same time.
                    time.sleep(_ENDLESS_PAUSE_S)

        do_GET = do_POST = do_PUT = do_DELETE = _handle  # noqa: N815

        def log_message(self, *args: object) -> None:
            """Writes no log."""

    host, _, port = address.rpartition(":")
    return Server((host, int(port)), Handler)
