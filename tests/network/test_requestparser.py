import gc
import tracemalloc

import pytest

from tamarackgap.network import requestparser

LIMITS = requestparser.Limits(max_header_bytes=4096, max_body_bytes=1_000_000)


class Caller:
    """Sends bytes to a parser, and keeps the requests that it has parsed."""

    def __init__(self):
        self.requests = []
        self.parser = requestparser.RequestParser(
            lambda: LIMITS, lambda: None, self.requests.append
        )

    def send_endlessly(self, begin, endless):
        """Sends bytes without end; returns the status of the error."""
        self.parser.feed(begin)
        block = endless * (65_536 // len(endless))
        for _ in range(40):
            self.parser.feed(block)
        return self.parser.error_status


HEAD = b"POST /a HTTP/1.1\r\nhost: h\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("begin", "endless", "status"),
    [
        (b"GET /", b"a", 431),
        (b"GET / HTTP/1.1\r\nx-a", b"a", 431),
        (b"GET / HTTP/1.1\r\nx-a: ", b"a", 431),
        (b"GET / HTTP/1.1\r\n", b"x-a: b\r\n", 431),
        (HEAD + b"content-length: 99999999\r\n\r\n", b"a", 413),
        (CHUNKED, b"2\r\nab\r\n", 0),
        (CHUNKED, b"400\r\n" + b"a" * 1024 + b"\r\n", 413),
        (CHUNKED + b"1;", b"a", 431),
        (CHUNKED + b"0\r\n", b"x-a: b\r\n", 431),
        (CHUNKED + b"0\r\nx-a", b"a", 431),
        (CHUNKED + b"0\r\nx-a: ", b"a", 431),
    ],
)
def test_bytes_without_end_take_bounded_memory(begin, endless, status):
    # A path or a field without end was kept without limit, and small chunks
    # took many times their size.
    caller = Caller()
    tracemalloc.start()
    try:
        assert caller.send_endlessly(begin, endless) == status
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < 2 * LIMITS.max_body_bytes
    assert caller.requests == []


@pytest.mark.parametrize(
    "begin", [HEAD + b"x-a: ", CHUNKED + b"0\r\nx-a: ", CHUNKED + b"0\r\nx-a"]
)
def test_memory_includes_a_field_that_is_not_complete(begin):
    # No budget saw what the HTTP parser keeps of a field.
    caller = Caller()
    caller.parser.feed(begin)
    caller.parser.feed(b"a" * 3000)
    assert 3000 <= caller.parser.memory < 4000
    caller.parser.feed(b"\r\n\r\n")
    assert caller.parser.memory <= 2 * caller.parser.is_receiving * 4000


def test_a_trailer_may_be_as_large_as_the_headers():
    caller = Caller()
    field = b"x-a: %b\r\n" % (b"v" * 3900)
    caller.parser.feed(HEAD + field + b"transfer-encoding: chunked\r\n\r\n")
    for byte in b"2;ext\r\nab\r\n0\r\n" + field + b"\r\n":
        caller.parser.feed(bytes([byte]))
    (request,) = caller.requests
    assert request.body == b"ab"


@pytest.mark.parametrize("end", ["close", "refuse"])
def test_a_parser_that_has_ended_keeps_nothing(end):
    # What it had received lasted until a cyclic garbage collection.
    caller = Caller()
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        caller.parser.feed(HEAD + b"content-length: 999999\r\n\r\n")
        caller.parser.feed(b"a" * 900_000)
        caller.parser.close() if end == "close" else caller.parser.refuse(503)
        caller.parser = None
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert held < 10_000


def test_memory_is_at_least_what_small_fields_take():
    caller = Caller()
    caller.parser.feed(HEAD + b"a:\r\n" * 500)
    assert caller.parser.memory > 500 * 100


def test_trailers_are_not_taken_for_headers():
    caller = Caller()
    caller.parser.feed(CHUNKED + b"2\r\nab\r\n0\r\nx-late: 1\r\n\r\n")
    (request,) = caller.requests
    assert request.body == b"ab"
    assert b"x-late" not in dict(request.headers)


def test_a_head_after_a_large_read_is_not_taken_for_an_endless_one():
    # Proper requests were refused if bytes before them counted for their heads.
    caller = Caller()
    body = b"a" * 65_000
    first = HEAD + b"content-length: %d\r\n\r\n" % len(body) + body
    second = b"GET /" + b"p" * 8000 + b" HTTP/1.1\r\n"
    caller.parser.feed(first[:100])
    caller.parser.feed(first[100:] + second)
    for _ in range(60):
        caller.parser.feed(b"x-a: %b\r\n" % (b"v" * 50))
    caller.parser.feed(b"\r\n")
    assert caller.parser.error_status == 0
    assert len(caller.requests) == 2


def test_nothing_is_parsed_after_an_error():
    caller = Caller()
    caller.parser.feed(b"GET / HTTP/1.1\r\nhost h\r\n\r\n")
    assert caller.parser.error_status == 400
    caller.parser.feed(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
    assert caller.requests == []
    assert caller.parser.memory == 0
