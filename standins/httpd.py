"""A small HTTP server for the stand-ins, on threads."""

import http.server
import json
import socketserver
import sys
from collections.abc import Callable

import msgspec


class Request(msgspec.Struct, frozen=True):
    """A request to a stand-in."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Returns the body, decoded."""
        return json.loads(self.body or b"{}")


class Response(msgspec.Struct, frozen=True):
    """A stand-in's answer; without a status the connection is dropped."""

    status: int | None
    body: bytes = b""
    headers: dict[str, str] = {}
    # Sent as the length where it differs from the body's, for faults.
    length: int | None = None


def json_response(value: object, status: int = 200, **headers: str) -> Response:
    """Returns an answer with a JSON body."""
    return Response(status, msgspec.json.encode(value), headers)


RequestHandler = Callable[[Request], Response]


class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Reports errors, but for callers that went away."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


def serve(address: str, answer: RequestHandler) -> http.server.HTTPServer:
    """Returns a server bound to `ip:port`; call its `serve_forever`."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def _handle(self) -> None:
            size = int(self.headers.get("Content-Length") or 0)
            headers = {k.lower(): v for k, v in self.headers.items()}
            query = Request(
                self.command, self.path, headers, self.rfile.read(size)
            )
            reply = answer(query)
            if reply.status is None:
                self.close_connection = True
                return
            self.send_response(reply.status)
            for name, value in reply.headers.items():
                self.send_header(name.replace("_", "-"), value)
            length = len(reply.body) if reply.length is None else reply.length
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(length))
            self.end_headers()
            self.wfile.write(reply.body)
            self.wfile.flush()
            if length != len(reply.body):
                self.close_connection = True

        do_GET = do_POST = do_PUT = do_DELETE = _handle  # noqa: N815

        def log_message(self, *args: object) -> None:
            """Keeps standard error quiet."""

    host, _, port = address.rpartition(":")
    return _Server((host, int(port)), Handler)
