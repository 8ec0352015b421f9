"""Parses the answers that are received on a connection."""

from collections.abc import Callable

import httptools

Headers = list[tuple[bytes, bytes]]

_FIRST_FINAL_STATUS = 200
_MAX_HEAD_BYTES = 65_536

# Called with the status, headers and body of each complete final answer.
AnswerCallback = Callable[[int, Headers, bytes], None]


class AnswerParser:
    """Parses the answers of one connection, one after another."""

    def __init__(self, max_bytes: int, on_answer: AnswerCallback) -> None:
        """Creates a parser that has received nothing.

        Args:
            max_bytes: Largest size of an answer with its head.
            on_answer: Called with each complete answer: its status, its headers
                with names in lower case and in the order received, its body.
        """
        self._max_bytes = max_bytes
        self._on_answer = on_answer
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._has_framing = False
        self._is_head_complete = False
        self._is_receiving = False
        # Bytes of the answer being received, with those read together with its
        # begin.
        self._received_bytes = 0

    @property
    def is_receiving(self) -> bool:
        """Whether an answer has begun and is not complete."""
        return self._is_receiving

    @property
    def is_too_large(self) -> bool:
        """Whether the answer being received exceeds the limits."""
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
            return False
        self._received_bytes += len(data)
        return True

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
        self._headers = []
        self._body = []
        self._has_framing = False
        self._is_head_complete = False
        self._received_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field; those of a trailer are ignored."""
        if self._is_head_complete:
            return
        name = name.lower()
        if name in (b"content-length", b"transfer-encoding"):
            self._has_framing = True
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Ends the head."""
        self._is_head_complete = True

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Passes on the answer, unless it is an interim one."""
        self._is_receiving = False
        status = self._parser.get_status_code()
        if status >= _FIRST_FINAL_STATUS:
            self._on_answer(status, self._headers, b"".join(self._body))
