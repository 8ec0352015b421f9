"""Decodes and encodes requests and answers of clients and servers."""

from returns import result

from tamarackgap import types
from tamarackgap.network import httppool, httpserver
from tamarackgap.peers import calls
from tamarackgap.placement import slots
from tamarackgap.platform import names
from tamarackgap.traffic import adapter

# Headers that concern one connection only, and headers that this system sets
# itself or writes anew.
_HEADERS_NOT_PASSED_ON = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authorization",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        names.TIMEOUT_MS,
        names.TARGET_INSTANCE,
        names.CALLER_SERVICE,
    }
)
_STATUSES_READ_AS_NOT_RUN = frozenset({408, 429, 503})
# All numbers of so many digits are exact as floats.
_MAX_DIGITS = 15
_MAX_COUNT = 10**_MAX_DIGITS
# In the load header: calls running, waiting, slots, and how long work takes.
_SLOWDOWN_INDEX = 3
_USUAL_SLOWDOWN = 100
_STATUS_MISDIRECTED = 421
_STATUS_SERVER_ERROR = 500
_STATUS_UNAVAILABLE = 503
_STATUS_BAD_GATEWAY = 502
_STATUS_GATEWAY_TIMEOUT = 504
_STATUS_BAD_REQUEST = 400


def decode_call(
    incoming: httpserver.IncomingRequest, caller_service: types.ServiceName
) -> result.Result[adapter.DecodedRequest, str]:
    """Decodes a client's request.

    Args:
        incoming: The request as it was received.
        caller_service: Service of this machine.

    Returns:
        The decoded request, or what is wrong with it.
    """
    host = b""
    request_id = b""
    timeout: float | None = None
    position: int | None = None
    connection_headers = {
        token.strip().lower()
        for name, value in incoming.headers
        if name == b"connection"
        for token in value.split(b",")
    }
    header_lines = []
    for name, value in incoming.headers:
        if name == b"host":
            host = value
        elif name == names.ATTEMPT_ID:
            request_id = value
        elif name == names.TIMEOUT_MS:
            timeout_ms = _parse_count(value)
            if timeout_ms is None:
                return result.Failure(
                    f"timeout {value!r} is not a whole number"
                )
            timeout = timeout_ms / 1000
        elif name == names.SHARD_KEY:
            position = _parse_count(value)
            if position is None or position >= slots.POSITION_COUNT:
                return result.Failure(
                    f"shard key {value!r} is not an integer from 0 to 65535"
                )
        if (
            name not in _HEADERS_NOT_PASSED_ON
            and name not in connection_headers
        ):
            header_lines.append(b"%b: %b\r\n" % (name, value))
    if not request_id:
        return result.Failure("the attempt id is missing")
    call = calls.Call(
        types.RequestId(request_id.decode("latin-1")),
        caller_service,
        incoming.method,
        incoming.target,
        b"".join(header_lines),
        incoming.body,
        position,
        # Servers call the process beside them; clients are elsewhere.
        incoming.is_local,
    )
    host_name = host.decode("latin-1").partition(":")[0]
    return result.Success(adapter.DecodedRequest(host_name, call, timeout))


def _parse_count(text: bytes) -> int | None:
    """Returns a whole number, or None; `_MAX_COUNT` if it is larger."""
    if not text.isdigit():
        return None
    digits = text.lstrip(b"0") or b"0"
    return int(digits) if len(digits) <= _MAX_DIGITS else _MAX_COUNT


def encode_call(dispatch: calls.Dispatch, left_ms: int, instance: str) -> bytes:
    """Returns the bytes of a call to the local server.

    Args:
        dispatch: The call.
        left_ms: Time until the caller's deadline, milliseconds.
        instance: Id of the only server instance that may run it.
    """
    call = dispatch.call
    parts = (
        f"{call.method} {call.request_target} HTTP/1.1\r\n".encode("latin-1"),
        call.head,
        b"%b: %d\r\n" % (names.TIMEOUT_MS, left_ms),
        b"%b: %b\r\n" % (names.TARGET_INSTANCE, instance.encode("latin-1")),
        b"%b: %b\r\n"
        % (names.CALLER_SERVICE, call.caller_service.encode("latin-1")),
        b"content-length: %d\r\n\r\n" % len(call.body),
        call.body,
    )
    return b"".join(parts)


def encode_json(method: str, path: str, host: str, body: bytes) -> bytes:
    """Returns the bytes of a request with a JSON body."""
    head = (
        f"{method} {path} HTTP/1.1\r\nhost: {host}\r\n"
        f"content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode("ascii") + body


def is_answer_to(request_id: str, answer: httppool.Answer) -> bool:
    """Returns whether an answer belongs to a request.

    Servers echo the request id in all answers, refusals included. One without
    an id may be a copy of the answer to an earlier request.
    """
    echoed = {
        value for name, value in answer.headers if name == names.ATTEMPT_ID
    }
    return echoed == {request_id.encode("latin-1")}


def decode_answer(leg: int, answer: httppool.Answer) -> calls.Completion:
    """Returns the completion of a leg from the server's answer."""
    if answer.status == _STATUS_MISDIRECTED:
        return calls.Completion(
            leg, types.Verdict.NOT_RUN, types.Reason.TARGET_MISDIRECTED
        )
    if answer.header(names.NOT_EXECUTED) is not None:
        reason = types.Reason.TARGET_REFUSED
        if _is_full(answer):
            reason = types.Reason.TARGET_FULL
        return calls.Completion(
            leg, types.Verdict.NOT_RUN, reason, slowdown=_slowdown(answer)
        )
    is_signed = answer.header(names.RESPONSE_SIGNATURE) is not None
    is_encoded = answer.header(b"content-encoding") is not None
    # Without a signature, a caller takes all but a 5xx for this system's own.
    is_invalid = is_encoded or (
        answer.status < _STATUS_SERVER_ERROR and not is_signed
    )
    # Only the header shows that a request has not run. Without it, these
    # statuses are not passed on: clients would conclude that it has not.
    if is_invalid or answer.status in _STATUSES_READ_AS_NOT_RUN:
        return calls.Completion(
            leg, types.Verdict.MAY_HAVE_RUN, types.Reason.TARGET_FAILED
        )
    head = b"".join(
        b"%b: %b\r\n" % header
        for header in answer.headers
        if header[0] not in _HEADERS_NOT_PASSED_ON
    )
    return calls.Completion(
        leg,
        types.Verdict.ANSWERED,
        status=answer.status,
        head=head,
        body=answer.body,
        slowdown=_slowdown(answer),
    )


def _is_full(answer: httppool.Answer) -> bool:
    """Returns whether a server that refused a request had no free slot.

    A server with waiting requests, or without a valid report of its load,
    counts as full.
    """
    known = _load_figures(answer)[:_SLOWDOWN_INDEX]
    if len(known) < _SLOWDOWN_INDEX or None in known:
        return True
    running, waiting, capacity = known
    return running >= capacity or waiting > 0


def _slowdown(answer: httppool.Answer) -> float:
    """Returns how long work takes at a server now, 0 if it doesn't say."""
    figures = _load_figures(answer)
    if len(figures) <= _SLOWDOWN_INDEX:
        return 0.0
    return (figures[_SLOWDOWN_INDEX] or 0) / _USUAL_SLOWDOWN


def _load_figures(answer: httppool.Answer) -> list[int | None]:
    """Returns the figures of a server's load, None for those unreadable."""
    load = answer.header(names.SERVER_LOAD) or b""
    return [_parse_count(figure.strip()) for figure in load.split(b",")]


def encode_response(completion: calls.Completion) -> adapter.Response:
    """Returns the response to the client for a completion."""
    if completion.verdict is types.Verdict.ANSWERED:
        headers = [
            tuple(line.split(b": ", 1))
            for line in completion.head.split(b"\r\n")
            if line
        ]
        return adapter.Response(completion.status, headers, completion.body)
    reason = completion.reason
    if reason is types.Reason.BAD_REQUEST:
        return adapter.Response(_STATUS_BAD_REQUEST, [], b"")
    if completion.verdict is types.Verdict.MAY_HAVE_RUN:
        timed_out = reason is types.Reason.NO_ANSWER
        return adapter.Response(
            _STATUS_GATEWAY_TIMEOUT if timed_out else _STATUS_BAD_GATEWAY,
            [],
            b"",
        )
    retry_after = f"{completion.retry_after:.3f}".encode("ascii")
    return adapter.Response(
        _STATUS_UNAVAILABLE, [(names.RETRY_AFTER, retry_after)], b""
    )
