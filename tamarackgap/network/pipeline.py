"""Keeps the order of one connection's requests, and of their responses."""

import collections
from collections.abc import Callable

import msgspec

from tamarackgap.network import requestparser

# Requests of one connection that are served at the same time.
_MAX_PARALLEL_REQUESTS = 16
# Only requests with these methods are served while others of their connection
# are: what one of the others changes may be what the next one depends on.
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class Response(msgspec.Struct, frozen=True):
    """A response that has been given.

    Attributes:
        status: The HTTP status.
        headers: Header names and values.
        body: The body.
    """

    status: int
    headers: requestparser.Headers
    body: bytes


class IncomingRequest:
    """A request that has been received completely and awaits its response.

    Attributes:
        received_at: Monotonic time of the request's first byte, seconds.
        method: HTTP method.
        target: Path and query.
        headers: Header names in lower case, and values, in the order received.
        body: The body.
        memory: Memory that it takes, bytes.
        is_local: Whether its caller is on this VM.
        is_served: Whether it has been passed to the server's handler.
        response: The response to it, while it waits for those to earlier
            requests of the connection.
        on_disconnect: Called if the caller closes its connection before the
            response is given, or None.
    """

    __slots__ = (
        "_on_response",
        "body",
        "headers",
        "is_local",
        "is_served",
        "memory",
        "method",
        "on_disconnect",
        "received_at",
        "response",
        "target",
    )

    def __init__(
        self,
        on_response: Callable[["IncomingRequest"], None],
        received_at: float,
        request: requestparser.ParsedRequest,
        is_local: bool = False,
    ) -> None:
        """Creates a request without a response.

        Args:
            on_response: Called with the request when the response is given.
            received_at: Monotonic time of its first byte, seconds.
            request: The request as it was read.
            is_local: Whether its caller is on this VM.
        """
        self._on_response = on_response
        self.received_at = received_at
        self.method = request.method
        self.target = request.target
        self.headers = request.headers
        self.body = request.body
        self.memory = request.memory
        self.is_local = is_local
        self.is_served = False
        self.response: Response | None = None
        self.on_disconnect: Callable[[], None] | None = None

    def respond(
        self, status: int, headers: requestparser.Headers, body: bytes
    ) -> None:
        """Sends the response in its turn. May be called only once."""
        self.on_disconnect = None
        self.response = Response(status, headers, body)
        self._on_response(self)


class Pipeline:
    """Requests of a connection that have not been answered.

    They are answered in the order received. Those with safe methods are served
    at the same time, so that none waits for the answer to another.
    """

    def __init__(self) -> None:
        self._requests: collections.deque[IncomingRequest] = collections.deque()
        self._waiting_bytes = 0
        # Memory of requests that are served, and of responses that wait.
        self._serving_bytes = 0

    def __len__(self) -> int:
        """Returns the number of requests."""
        return len(self._requests)

    @property
    def waiting_bytes(self) -> int:
        """Memory of the requests that have not been served yet."""
        return self._waiting_bytes

    @property
    def memory(self) -> int:
        """Memory of all requests, and of responses that wait, bytes."""
        return self._waiting_bytes + self._serving_bytes

    def add(self, request: IncomingRequest) -> None:
        """Adds a request behind all others."""
        self._requests.append(request)
        self._waiting_bytes += request.memory

    def drop_last(self) -> None:
        """Removes the last request, unless it is served already."""
        if self._requests and not self._requests[-1].is_served:
            self._waiting_bytes -= self._requests.pop().memory

    def next_to_serve(self) -> IncomingRequest | None:
        """Returns the next request if it may be served now, or None.

        It counts as served from then on.
        """
        for served, request in enumerate(self._requests):
            is_safe = request.method in _SAFE_METHODS
            if not request.is_served:
                if served and not is_safe:
                    return None
                request.is_served = True
                self._waiting_bytes -= request.memory
                self._serving_bytes += request.memory
                return request
            if not is_safe or served + 1 >= _MAX_PARALLEL_REQUESTS:
                return None
        return None

    def hold_response(self, request: IncomingRequest) -> None:
        """Counts the memory of a response that has just been given."""
        self._serving_bytes += len(request.response.body)

    def take_response(self) -> Response | None:
        """Removes the first request if it has a response, and returns that."""
        if not self._requests or self._requests[0].response is None:
            return None
        request = self._requests.popleft()
        self._serving_bytes -= request.memory + len(request.response.body)
        return request.response

    def clear(self) -> list[IncomingRequest]:
        """Removes all requests, and returns them."""
        requests = list(self._requests)
        self._requests.clear()
        self._waiting_bytes = self._serving_bytes = 0
        return requests
