"""Requests and answers: clients' on the one side, servers' on the other."""

from returns import result

from tamarackgap import types
from tamarackgap.network import httppool, httpserver
from tamarackgap.peers import calls
from tamarackgap.placement import slots
from tamarackgap.platform import names
from tamarackgap.traffic import adapter

# What concerns one connection only, what this system sets itself, and what
# is written anew.
_NOT_PASSED_ON = frozenset(
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
_NOT_RUN_STATUS = frozenset({408, 429, 503})
_MISDIRECTED = 421
_UNAVAILABLE = 503
_FAILED = 502
_TIMED_OUT = 504
_BAD = 400


def decode_call(
    incoming: httpserver.IncomingRequest, origin: types.ServiceName
) -> result.Result[adapter.DecodedRequest, str]:
    """Returns a client's request, or what is wrong with it."""
    host = b""
    request = b""
    timeout: float | None = None
    position: int | None = None
    named = {
        token.strip().lower()
        for name, value in incoming.headers
        if name == b"connection"
        for token in value.split(b",")
    }
    lines = []
    for name, value in incoming.headers:
        if name == b"host":
            host = value
        elif name == names.ATTEMPT_ID:
            request = value
        elif name == names.TIMEOUT_MS:
            if not value.isdigit():
                return result.Failure(f"timeout {value!r}: no whole number")
            timeout = int(value) / 1000
        elif name == names.SHARD_KEY:
            if not value.isdigit() or int(value) >= slots.POSITION_COUNT:
                return result.Failure(f"key {value!r}: not in range")
            position = int(value)
        if name not in _NOT_PASSED_ON and name not in named:
            lines.append(b"%b: %b\r\n" % (name, value))
    if not request:
        return result.Failure("no request id")
    call = calls.Call(
        types.RequestId(request.decode("latin-1")),
        origin,
        incoming.method,
        incoming.target,
        b"".join(lines),
        incoming.body,
        position,
    )
    name = host.decode("latin-1").partition(":")[0]
    return result.Success(adapter.DecodedRequest(name, call, timeout))


def encode_call(dispatch: calls.Dispatch, left_ms: int, instance: str) -> bytes:
    """Returns a call's bytes for the server beside this daemon."""
    call = dispatch.call
    head = (
        f"{call.method} {call.request_target} HTTP/1.1\r\n".encode("latin-1"),
        call.head,
        b"%b: %d\r\n" % (names.TIMEOUT_MS, left_ms),
        b"%b: %b\r\n" % (names.TARGET_INSTANCE, instance.encode("latin-1")),
        b"%b: %b\r\n"
        % (names.CALLER_SERVICE, call.caller_service.encode("latin-1")),
        b"content-length: %d\r\n\r\n" % len(call.body),
        call.body,
    )
    return b"".join(head)


def encode_json(method: str, path: str, host: str, body: bytes) -> bytes:
    """Returns the bytes of a request with a JSON body."""
    head = (
        f"{method} {path} HTTP/1.1\r\nhost: {host}\r\n"
        f"content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode("ascii") + body


def is_answer_to(request: str, answer: httppool.Answer) -> bool:
    """Returns whether an answer is the one to a request.

    Servers echo the id, but for some refusals.
    """
    echoed = answer.header(names.ATTEMPT_ID)
    if echoed is None:
        return True
    return echoed == request.encode("latin-1")


def decode_answer(leg: int, answer: httppool.Answer) -> calls.Completion:
    """Returns what a server's answer means."""
    if answer.status == _MISDIRECTED:
        return calls.Completion(
            leg, types.Verdict.NOT_RUN, types.Reason.TARGET_MISDIRECTED
        )
    if answer.header(names.NOT_EXECUTED) is not None:
        reason = types.Reason.TARGET_REFUSED
        if _is_full(answer):
            reason = types.Reason.TARGET_FULL
        return calls.Completion(leg, types.Verdict.NOT_RUN, reason)
    signed = answer.header(names.RESPONSE_SIGNATURE) is not None
    encoded = answer.header(b"content-encoding") is not None
    spoilt = encoded or (answer.status < 300 and not signed)
    # Only the header says that a request has not run; these statuses would
    # say the same to the client.
    if spoilt or answer.status in _NOT_RUN_STATUS:
        return calls.Completion(
            leg, types.Verdict.MAY_HAVE_RUN, types.Reason.TARGET_FAILED
        )
    head = b"".join(
        b"%b: %b\r\n" % header
        for header in answer.headers
        if header[0] not in _NOT_PASSED_ON
    )
    return calls.Completion(
        leg,
        types.Verdict.ANSWERED,
        status=answer.status,
        head=head,
        body=answer.body,
    )


def _is_full(answer: httppool.Answer) -> bool:
    """Returns whether a server that refused a request had no slot for it.

    One that does not tell its load is taken to be full.
    """
    load = answer.header(names.SERVER_LOAD)
    fields = (load or b"").split(b",")
    if len(fields) != 3 or not all(field.strip().isdigit() for field in fields):
        return True
    running, waiting, capacity = (int(field) for field in fields)
    return running >= capacity or waiting > 0


def encode_answer(completion: calls.Completion) -> adapter.Response:
    """Returns how a completion is told to the client."""
    if completion.verdict is types.Verdict.ANSWERED:
        headers = [
            tuple(line.split(b": ", 1))
            for line in completion.head.split(b"\r\n")
            if line
        ]
        return adapter.Response(completion.status, headers, completion.body)
    reason = completion.reason
    if reason is types.Reason.BAD_REQUEST:
        return adapter.Response(_BAD, [], b"")
    if completion.verdict is types.Verdict.MAY_HAVE_RUN:
        timed_out = reason is types.Reason.NO_ANSWER
        return adapter.Response(_TIMED_OUT if timed_out else _FAILED, [], b"")
    wait = f"{completion.retry_after:.3f}".encode("ascii")
    return adapter.Response(_UNAVAILABLE, [(names.RETRY_AFTER, wait)], b"")
