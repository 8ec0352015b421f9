"""Parses the requests that a caller sends on a connection."""

from collections.abc import Callable

import httptools
import msgspec

from tamarackgap import logs
from tamarackgap.network import answerparser, partialinput

# Largest size of a request's first line. Its headers have a limit of their own.
_MAX_REQUEST_LINE_BYTES = 65_536
# Memory of a request beside its parts.
_REQUEST_OVERHEAD_BYTES = 500
_STATUS_BAD_REQUEST = 400
_STATUS_BODY_TOO_LARGE = 413
_STATUS_HEAD_TOO_LARGE = 431

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


class ParsedRequest(msgspec.Struct, frozen=True):
    """A request that has been received completely.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Header names in lower case, and values, in the order received.
        body: The body.
        keeps_connection: Whether the caller may send another request after it.
        memory: Memory that it takes, bytes.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    keeps_connection: bool
    memory: int


class RequestParser:
    """Parses the requests of one connection, one after another.

    Attributes:
        error_status: Status with which the connection is to end; 0 if all that
            was received is in order. Nothing is parsed after an error.
    """

    def __init__(
        self,
        limits: Callable[[], Limits],
        on_begin: Callable[[], None],
        on_request: Callable[[ParsedRequest], None],
    ) -> None:
        """Creates a parser that has received nothing.

        Args:
            limits: Returns the limits in force.
            on_begin: Called with the first byte of each request.
            on_request: Called with each complete request.
        """
        self._limits = limits
        self._on_begin = on_begin
        self._on_request = on_request
        # None once the connection is closed: it refers back to this object, so
        # that what it holds would last until a cyclic garbage collection.
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self.error_status = 0
        self._is_receiving = False
        self._is_head_complete = False
        # Whether the bytes being parsed hold the begin of the request.
        self._has_begun = False
        # Size of the head so far, without the bytes that were read together
        # with its begin.
        self._head_size = 0
        # Size of the fields of the head, or of the trailer once that is
        # complete.
        self._header_size = 0
        self._input = partialinput.PartialInput()
        self._memory = 0
        self._target = b""
        self._headers: Headers = []
        # Small chunks take little more memory here than on the wire.
        self._body = bytearray()

    @property
    def is_receiving(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._is_receiving

    @property
    def memory(self) -> int:
        """Memory that the request being received takes, bytes."""
        return self._memory + self._input.held

    def feed(self, data: bytes) -> None:
        """Parses received bytes."""
        if self.error_status:
            return
        self._has_begun = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(_STATUS_BAD_REQUEST)
        except httptools.HttpParserError as error:
            logs.event("caller_sent_no_request", error=str(error))
            self.refuse(_STATUS_BAD_REQUEST)
        self._input.record_read(len(data))
        if self.error_status or not self._is_receiving:
            self._input.clear()
        else:
            self._check_head_size(len(data))

    def refuse(self, status: int) -> None:
        """Drops the request being received, and ends parsing.

        Args:
            status: Status of the response, unless there was an error before.
        """
        self.error_status = self.error_status or status
        self._parser = None
        self._drop()

    def close(self) -> None:
        """Drops what has been received, when the connection is closed."""
        self._parser = None
        self._drop()

    def _check_head_size(self, received: int) -> None:
        """Refuses a head, or another part of a request, without end.

        The HTTP parser passes a field on only when it is complete, and keeps
        what it has of it.
        """
        if not (self._is_head_complete or self._has_begun):
            self._head_size += received
        limit = self._limits().max_header_bytes + _MAX_REQUEST_LINE_BYTES
        if max(self._head_size, self._input.since_complete) > limit:
            self.refuse(_STATUS_HEAD_TOO_LARGE)

    def _drop(self) -> None:
        self._memory = 0
        self._target = b""
        self._headers = []
        self._body = bytearray()
        self._input.clear()

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._is_receiving = True
        self._is_head_complete = False
        self._has_begun = True
        self._head_size = 0
        self._header_size = 0
        self._drop()
        self._memory = _REQUEST_OVERHEAD_BYTES
        self._on_begin()

    def on_url(self, url: bytes) -> None:
        """Adds a part of the path and query."""
        self._input.record_complete(len(url))
        if self.error_status:
            return
        if len(self._target) + len(url) > _MAX_REQUEST_LINE_BYTES:
            self.refuse(_STATUS_HEAD_TOO_LARGE)
            return
        self._target += url
        self._memory += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field; those of a trailer are ignored."""
        self._input.record_complete(len(name) + len(value))
        if self.error_status:
            return
        # The separator and the line end have 2 bytes each.
        size = len(name) + len(value) + 4
        self._header_size += size
        if self._header_size > self._limits().max_header_bytes:
            self.refuse(_STATUS_HEAD_TOO_LARGE)
            return
        if self._is_head_complete:
            return
        self._memory += size + answerparser.FIELD_OVERHEAD_BYTES
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Ends the head."""
        self._input.record_complete()
        self._is_head_complete = True
        self._header_size = 0

    def on_chunk_header(self) -> None:
        """Passes over the size of a chunk."""
        self._input.record_complete()

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        self._input.record_complete(len(body))
        if self.error_status:
            return
        if len(self._body) + len(body) > self._limits().max_body_bytes:
            self.refuse(_STATUS_BODY_TOO_LARGE)
            return
        self._body += body
        self._memory += len(body)

    def on_message_complete(self) -> None:
        """Passes on the request, unless there was an error."""
        self._input.record_complete()
        self._is_receiving = False
        if self.error_status:
            return
        request = ParsedRequest(
            self._parser.get_method().decode("ascii"),
            self._target.decode("latin-1"),
            self._headers,
            bytes(self._body),
            self._parser.should_keep_alive(),
            self._memory,
        )
        self._drop()
        self._on_request(request)
