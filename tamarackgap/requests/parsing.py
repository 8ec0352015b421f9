"""Callers' requests: what they must look like, and what is wrong."""

import time
import urllib.parse

import msgspec
from circuits.web import wrappers
from returns import result

from tamarackgap import types
from tamarackgap.requests import forwarder
from tamarackgap.settings import config

PATH_PREFIX = "/v1/"
_LONGEST_ID = 128
_LONGEST_DEADLINE_MS = 600_000


class Problem(msgspec.Struct, frozen=True):
    """What a refused caller is told.

    Attributes:
        verdict: Whether the operation may have run.
        reason: Why it was refused.
        request: The request's id.
        detail: What was wrong with it, for a person.
    """

    verdict: str
    reason: str
    request: str
    detail: str = ""


def parse_request(
    request: wrappers.Request, body: bytes, settings: config.Config
) -> result.Result[forwarder.CallerRequest, Problem]:
    """Returns the caller's request, or what is wrong with it."""
    now_ms = int(time.time() * 1000)
    headers = request.headers
    request_id = headers.get("X-Request-Id") or forwarder.new_request_id(now_ms)

    def bad(
        detail: str, reason: types.Reason = types.Reason.BAD_REQUEST
    ) -> result.Result[forwarder.CallerRequest, Problem]:
        verdict = types.Verdict.NOT_RUN.value
        return result.Failure(
            Problem(verdict, reason.value, request_id, detail)
        )

    if len(request_id) > _LONGEST_ID or not request_id.isprintable():
        request_id = "?"
        return bad("X-Request-Id: expected at most 128 printable characters")
    service, _, rest = request.path[len(PATH_PREFIX) :].partition("/")
    query = parse_query(request.qs or "")
    if query is None:
        return bad("key: expected UTF-8")
    key = query.pop("key", "")
    size = len(key.encode("utf-8"))
    if not 0 < size <= settings.requests_key:
        return bad(f"key: expected 1 to {settings.requests_key} bytes")
    timeout_ms = _integer(
        headers.get("X-Deadline-Ms"), settings.requests_deadline
    )
    if timeout_ms is None or timeout_ms > _LONGEST_DEADLINE_MS:
        return bad("X-Deadline-Ms: expected a whole number up to 600000")
    if timeout_ms <= 0:
        return bad("X-Deadline-Ms: passed", types.Reason.DEADLINE_PASSED)
    # An id that a caller chose may have been sent before.
    attempt = _integer(
        headers.get("X-Attempt"), 2 if headers.get("X-Request-Id") else 1
    )
    first_sent_ms = _integer(
        headers.get("X-First-Sent-Ms"), _sent_ms(request_id, now_ms, attempt)
    )
    if attempt is None or attempt < 1 or first_sent_ms is None:
        return bad("X-Attempt, X-First-Sent-Ms: expected whole numbers")
    safe = "true" if request.method in ("GET", "HEAD") else "false"
    idempotent = headers.get("X-Idempotent", safe).lower()
    if idempotent not in ("true", "false"):
        return bad("X-Idempotent: expected true or false")
    left = urllib.parse.urlencode(query)
    return result.Success(
        forwarder.CallerRequest(
            request_id=request_id,
            service=service,
            key=key,
            method=request.method,
            path="/" + rest + ("?" + left if left else ""),
            body=body,
            timeout=timeout_ms / 1000,
            idempotent=idempotent == "true",
            attempt=attempt,
            first_sent_ms=first_sent_ms,
            urgent=headers.get("X-Urgency", "").lower() != "report",
        )
    )


def parse_query(text: str) -> dict[str, str] | None:
    """Returns a query's parts, or None if it is not UTF-8."""
    try:
        pairs = urllib.parse.parse_qsl(
            text, keep_blank_values=True, errors="strict"
        )
    except ValueError:
        return None
    return dict(pairs)


def _integer(text: str | None, default: int | None) -> int | None:
    if text is None:
        return default
    try:
        return int(text)
    except ValueError:
        return None


def _sent_ms(request_id: str, now_ms: int, attempt: int | None) -> int:
    """Returns the time that an id carries; unknown counts as long ago."""
    head = request_id.partition("-")[0]
    if head.isdecimal() and len(head) < 16:
        return int(head)
    return now_ms if attempt == 1 else 0
