"""Parses callers' requests."""

import time
import urllib.parse

import msgspec
from circuits.web import wrappers
from returns import result

from tamarackgap import decoding, types
from tamarackgap.requests import forwarder
from tamarackgap.settings import config

PATH_PREFIX = "/v1/"
_MAX_ID_CHARACTERS = 128
_MAX_TIMEOUT_MS = 600_000


class Problem(msgspec.Struct, frozen=True):
    """Body of the response to a refused request.

    Attributes:
        verdict: Whether the request may have been executed.
        reason: Reason of the refusal.
        request: Id of the request.
        detail: What is wrong with the request, for a person.
    """

    verdict: str
    reason: str
    request: str
    detail: str = ""


def parse_request(
    request: wrappers.Request, body: bytes, settings: config.Config
) -> result.Result[forwarder.CallerRequest, Problem]:
    """Returns the caller's request, or what is wrong with it.

    Args:
        request: The HTTP request.
        body: Its whole body.
        settings: Limits and the default deadline.
    """
    now_ms = int(time.time() * 1000)
    headers = request.headers
    request_id = headers.get("X-Request-Id") or forwarder.new_request_id(now_ms)

    def refuse(
        detail: str, reason: types.Reason = types.Reason.BAD_REQUEST
    ) -> result.Result[forwarder.CallerRequest, Problem]:
        verdict = types.Verdict.NOT_RUN.value
        return result.Failure(
            Problem(verdict, reason.value, request_id, detail)
        )

    if len(request_id) > _MAX_ID_CHARACTERS or not request_id.isprintable():
        request_id = "?"
        return refuse("X-Request-Id: expected at most 128 printable characters")
    service, _, path = request.path[len(PATH_PREFIX) :].partition("/")
    query = parse_query(request.qs or "")
    if query is None:
        return refuse("key: expected UTF-8")
    key = query.pop("key", "")
    size = len(key.encode("utf-8"))
    if not 0 < size <= settings.requests_key:
        return refuse(f"key: expected 1 to {settings.requests_key} bytes")
    timeout_ms = _parse_integer(
        headers.get("X-Deadline-Ms"), settings.requests_deadline
    )
    if timeout_ms is None or timeout_ms > _MAX_TIMEOUT_MS:
        return refuse("X-Deadline-Ms: expected a whole number up to 600000")
    if timeout_ms <= 0:
        return refuse("X-Deadline-Ms: passed", types.Reason.DEADLINE_PASSED)
    # Without X-Attempt, an id that the caller chose may have been sent before.
    attempt = _parse_integer(
        headers.get("X-Attempt"), 2 if headers.get("X-Request-Id") else 1
    )
    first_sent_ms = _parse_integer(
        headers.get("X-First-Sent-Ms"),
        _first_sent_ms(request_id, now_ms, attempt),
    )
    if attempt is None or attempt < 1 or first_sent_ms is None:
        return refuse("X-Attempt, X-First-Sent-Ms: expected whole numbers")
    default = "true" if request.method in ("GET", "HEAD") else "false"
    idempotent = headers.get("X-Idempotent", default).lower()
    if idempotent not in ("true", "false"):
        return refuse("X-Idempotent: expected true or false")
    rest_of_query = urllib.parse.urlencode(query)
    return result.Success(
        forwarder.CallerRequest(
            request_id=request_id,
            service=service,
            key=key,
            method=request.method,
            path="/" + path + ("?" + rest_of_query if rest_of_query else ""),
            body=body,
            timeout=timeout_ms / 1000,
            idempotent=idempotent == "true",
            attempt=attempt,
            first_sent_ms=first_sent_ms,
            urgent=headers.get("X-Urgency", "").lower() != "report",
        )
    )


def parse_query(text: str) -> dict[str, str] | None:
    """Returns the parameters of a query, or None if it is not UTF-8.

    The last value counts if a parameter is repeated.
    """
    try:
        pairs = urllib.parse.parse_qsl(
            text, keep_blank_values=True, errors="strict"
        )
    except ValueError:
        return None
    return dict(pairs)


def _parse_integer(text: str | None, default: int | None) -> int | None:
    if text is None:
        return default
    try:
        number = int(text)
    except ValueError:
        return None
    return number if abs(number) <= decoding.MAX_INTEGER else None


def _first_sent_ms(request_id: str, now_ms: int, attempt: int | None) -> int:
    """Returns the time in an id that was made by `new_request_id`.

    For any other id, returns the current time in the first attempt, and 0 in
    later ones, since the first may be long ago.
    """
    prefix = request_id.partition("-")[0]
    if prefix.isdecimal() and len(prefix) < 16:
        return int(prefix)
    return now_ms if attempt == 1 else 0
