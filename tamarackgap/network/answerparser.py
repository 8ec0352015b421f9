"""Parses the answers that are received on a connection."""

from collections.abc import Callable

import httptools

from tamarackgap import logs
from tamarackgap.network import bytebudget, partialinput

Headers = list[tuple[bytes, bytes]]

# The HTTP parser takes any three digits for a status.
_FIRST_STATUS = 100
_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599
# Largest head, largest trailer, and most bytes that the HTTP parser is fed
# before it passes something on.
_MAX_HEAD_BYTES = 65_536
# Memory of a header field beside its characters: a tuple and two objects.
FIELD_OVERHEAD_BYTES = 160

# Called with the status, headers and body of each complete final answer.
AnswerCallback = Callable[[int, Headers, bytes], None]


def keep_alive_timeout(headers: Headers) -> float:
    """Returns how long the other side keeps an idle connection open, seconds.

    Args:
        headers: The headers of its last answer.

    Returns:
        The time; infinite if it is not given.
    """
    for header_name, header_value in headers:
        if header_name != b"keep-alive":
            continue
        for part in header_value.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                return float(value)
    return float("inf")


class AnswerParser:
    """Parses the answers of one connection, one after another."""

    def __init__(
        self,
        max_bytes: int,
        on_answer: AnswerCallback,
        budget: bytebudget.ByteBudget,
    ) -> None:
        """Creates a parser that has received nothing.

        Args:
            max_bytes: Largest size of an answer with its head.
            on_answer: Called with each complete answer: its status, its headers
                with names in lower case and in the order received, its body.
            budget: Limits the memory of all messages under way.
        """
        self._max_bytes = max_bytes
        self._on_answer = on_answer
        self._charge = bytebudget.Charge(budget)
        self._has_room = True
        self._input = partialinput.PartialInput()
        # None once the connection is closed: it refers back to this object, so
        # that what it holds would last until a cyclic garbage collection.
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self._headers: Headers = []
        # Memory of the headers, bytes.
        self._headers_size = 0
        # Size of the fields of the trailer, bytes.
        self._trailer_size = 0
        # Small chunks take little more memory here than on the wire.
        self._body = bytearray()
        self._has_framing = False
        self._is_head_complete = False
        self._is_receiving = False
        # Whether a status was received that HTTP does not have.
        self._has_bad_status = False
        # Bytes of the answer being received, with those read together with its
        # begin.
        self._received_bytes = 0

    @property
    def is_receiving(self) -> bool:
        """Whether an answer has begun and is not complete."""
        return self._is_receiving

    @property
    def is_too_large(self) -> bool:
        """Whether the answer being received exceeds the limits.

        Its own limits are on the bytes received, the budget's on the memory.
        """
        if (
            not self._has_room
            or self._trailer_size > _MAX_HEAD_BYTES
            or self._input.since_complete > _MAX_HEAD_BYTES
        ):
            return True
        limit = self._max_bytes if self._is_head_complete else _MAX_HEAD_BYTES
        return self._received_bytes > limit

    @property
    def keeps_connection(self) -> bool:
        """Whether the last answer leaves the connection open."""
        return self._parser.should_keep_alive()

    def feed(self, data: bytes) -> bool:
        """Parses received bytes; returns False if they are no answer."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._charge.release()
            return False
        if self._has_bad_status:
            self._drop()
            self._charge.release()
            return False
        self._received_bytes += len(data)
        self._input.record_read(len(data))
        if self._parser is None:
            # Closed by a callback; what was parsed since is of no use.
            self._drop()
        if self._parser is None or not self._is_receiving:
            self._input.clear()
        self._has_room = self._charge.hold(
            self._headers_size + len(self._body) + self._input.held
        )
        return True

    def close(self) -> None:
        """Drops what has been received, when the connection is closed."""
        self._parser = None
        self._drop()
        self._charge.release()

    def end(self) -> None:
        """Completes an answer whose body ends with the connection."""
        if (
            self._is_receiving
            and self._is_head_complete
            and not self._has_framing
        ):
            self.on_message_complete()

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        """Starts an answer."""
        self._is_receiving = True
        self._drop()
        self._has_framing = False
        self._is_head_complete = False
        self._received_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field; those of a trailer are ignored."""
        size = len(name) + len(value)
        self._input.record_complete(size)
        if self._is_head_complete:
            # The separator and the line end have 2 bytes each.
            self._trailer_size += size + 4
            return
        name = name.lower()
        if name in (b"content-length", b"transfer-encoding"):
            self._has_framing = True
        self._headers.append((name, value))
        self._headers_size += size + FIELD_OVERHEAD_BYTES

    def on_headers_complete(self) -> None:
        """Ends the head."""
        self._input.record_complete()
        self._is_head_complete = True
        if self._parser is None:
            return
        status = self._parser.get_status_code()
        if not _FIRST_STATUS <= status <= _LAST_STATUS:
            self._has_bad_status = True
            logs.unreadable_event("answer_status_invalid", status=status)

    def on_chunk_header(self) -> None:
        """Passes over the size of a chunk."""
        self._input.record_complete()

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        self._input.record_complete(len(body))
        self._body += body

    def on_message_complete(self) -> None:
        """Passes on the answer, unless it is an interim one."""
        self._input.record_complete()
        self._is_receiving = False
        headers, body = self._headers, bytes(self._body)
        self._drop()
        if self._parser is None:
            return
        status = self._parser.get_status_code()
        if status >= _FIRST_FINAL_STATUS and not self._has_bad_status:
            self._on_answer(status, headers, body)

    def _drop(self) -> None:
        self._headers = []
        self._headers_size = 0
        self._trailer_size = 0
        self._body = bytearray()
