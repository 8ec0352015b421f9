"""Serves HTTP to callers, operators and the target, with circuits.web."""

from collections.abc import Callable

import circuits
import msgspec
from circuits.net import events as net_events
from circuits.web import events as web_events
from circuits.web import wrappers
from returns import result

from tamarackgap import decoding, logs, types, verdicts
from tamarackgap.network import scheduler
from tamarackgap.requests import forwarder, parsing, targetclient
from tamarackgap.settings import config

_MAX_HEAD_BYTES = 65_536
_TLS_HANDSHAKE_PREFIX = b"\x16\x03"
_MAX_TRACE_CHARACTERS = 2000
_STATUS_BY_REASON = {
    types.Reason.BAD_REQUEST: 400,
    types.Reason.UNKNOWN_SERVICE: 404,
    types.Reason.BODY_TOO_LARGE: 413,
    types.Reason.DEADLINE_PASSED: 408,
    types.Reason.REPEAT_UNKNOWN: 409,
    types.Reason.IN_PROGRESS: 409,
    types.Reason.CRASHES_TARGETS: 422,
}
# Statuses of other reasons.
_NOT_RUN_STATUS = 503
_MAY_HAVE_RUN_STATUS = 504


# Returns a page as JSON for the parameters of a query. Raises KeyError or
# ValueError for a bad query.
Page = Callable[[dict[str, str]], bytes]


class _PartialRequest(msgspec.Struct):
    """A request that has not been received completely.

    Attributes:
        timer: Drops the connection if the rest takes too long.
        size: Size received so far, bytes.
    """

    timer: scheduler.Timer
    size: int = 0


class Web(circuits.Component):
    """Handles HTTP requests on the channel of a circuits.web server.

    Attributes:
        draining: Whether requests of callers are refused.
    """

    channel = "web"

    def __init__(
        self,
        settings: config.Config,
        timers: scheduler.Scheduler,
        request_forwarder: forwarder.Forwarder,
        on_announcement: Callable[[targetclient.Announcement], str | None],
        pages: dict[str, Page],
        render_metrics: Callable[[str], tuple[bytes, dict[str, str]]],
    ) -> None:
        """Creates the handlers.

        Args:
            settings: Limits of requests.
            timers: Timers for incomplete requests.
            request_forwarder: Forwarder of callers' requests.
            on_announcement: Called with each announcement of a target;
                returns what is wrong with it, or None.
            pages: Pages for operators, by path.
            render_metrics: Returns the metrics and the HTTP headers for an
                Accept header.
        """
        super().__init__()
        self._settings = settings
        self._timers = timers
        self._forwarder = request_forwarder
        self._on_announcement = on_announcement
        self._pages = pages
        self._render_metrics = render_metrics
        self._pending_requests: dict[
            object, tuple[forwarder.PendingRequest, ...]
        ] = {}
        self._partial_requests: dict[object, _PartialRequest] = {}
        self.draining = False

    @circuits.handler("read", priority=10)
    def _on_read(
        self, event: circuits.Event, sock: object, data: bytes
    ) -> None:
        """Drops a connection whose request is too large, or is TLS."""
        partial = self._partial_requests.get(sock)
        if partial is None:
            partial = _PartialRequest(self._start_timeout(sock))
            self._partial_requests[sock] = partial
        partial.size += len(data)
        if data.startswith(_TLS_HANDSHAKE_PREFIX):
            event.stop()
            self._drop(sock, _MALFORMED, "tls-handshake")
        elif partial.size > self._settings.requests_body + _MAX_HEAD_BYTES:
            event.stop()
            self._drop(sock, _TOO_LARGE, "body-too-large")

    def _start_timeout(self, sock: object) -> scheduler.Timer:
        timeout = self._settings.requests_patience / 1000
        return self._timers.after(
            timeout, lambda: self._drop(sock, _MALFORMED, "incomplete")
        )

    def _drop(self, sock: object, response: bytes, cause: str) -> None:
        """Sends a refusal and closes the connection."""
        self._remove_partial(sock)
        logs.event("connection_dropped", why=cause)
        self.fire(net_events.write(sock, response))
        self.fire(net_events.close(sock))

    def _remove_partial(self, sock: object) -> None:
        partial = self._partial_requests.pop(sock, None)
        if partial is not None:
            partial.timer.cancel()

    @circuits.handler("exception", channel="*")
    def _on_exception(
        self,
        kind: type,
        error: BaseException,
        trace: list[str],
        handler: object = None,
        fevent: circuits.Event | None = None,
    ) -> None:
        """Logs an exception in any handler; the daemon continues.

        An exception while reading counts as a malformed request.
        """
        del handler
        logs.event(
            "internal_error",
            during=fevent.name if fevent is not None else "",
            error=f"{kind.__name__}: {error}",
            trace="".join(trace)[-_MAX_TRACE_CHARACTERS:],
        )
        if fevent is not None and fevent.name == "read":
            self._drop(fevent.args[0], _MALFORMED, "malformed")

    @circuits.handler("disconnect")
    def _on_disconnect(self, sock: object) -> None:
        self._remove_partial(sock)
        for pending in self._pending_requests.pop(sock, ()):
            self._forwarder.cancel(pending)

    @circuits.handler("request", priority=10)
    def _on_request(
        self,
        event: circuits.Event,
        request: wrappers.Request,
        response: wrappers.Response,
        *peer_certificate: object,
    ) -> bool:
        """Dispatches a request by its path.

        Returns:
            True, so that circuits leaves the response to this component.
        """
        del peer_certificate
        event.stop()
        self._remove_partial(request.sock)
        body = request.body.read()
        path = request.path
        if path.startswith(parsing.PATH_PREFIX):
            self._serve_caller(request, response, body)
        elif path == "/announce" and request.method == "POST":
            self._handle_announcement(response, body)
        elif path == "/metrics":
            text, headers = self._render_metrics(
                request.headers.get("Accept", "")
            )
            content_type = headers.get("Content-Type", "text/plain")
            self._respond(response, 200, content_type, text)
        elif path in self._pages:
            self._serve_page(request, response)
        else:
            self._refuse(
                response,
                404,
                parsing.Problem("not-run", "unknown-path", "", path),
            )
        return True

    def _serve_page(
        self, request: wrappers.Request, response: wrappers.Response
    ) -> None:
        query = parsing.parse_query(request.qs or "") or {}
        try:
            text = self._pages[request.path](query)
        except (KeyError, ValueError) as error:
            detail = f"query: {error}"
            self._refuse(
                response,
                400,
                parsing.Problem("not-run", "bad-request", "", detail),
            )
            return
        self._respond(response, 200, "application/json", text)

    def _handle_announcement(
        self, response: wrappers.Response, body: bytes
    ) -> None:
        try:
            announcement = decoding.decode(body, targetclient.Announcement)
        except msgspec.MsgspecError as error:
            problem = str(error)
        else:
            problem = self._on_announcement(announcement)
        if problem is not None:
            logs.unreadable_event("announcement_refused", problem=problem)
            self._refuse(
                response,
                400,
                parsing.Problem("not-run", "bad-request", "", problem),
            )
            return
        self._respond(response, 200, "application/json", b"{}")

    def _serve_caller(
        self,
        request: wrappers.Request,
        response: wrappers.Response,
        body: bytes,
    ) -> None:
        if len(body) > self._settings.requests_body:
            self._refuse_reason(response, types.Reason.BODY_TOO_LARGE)
            return
        if self.draining:
            self._refuse_reason(response, types.Reason.DRAINING)
            return
        match parsing.parse_request(request, body, self._settings):
            case result.Failure(parsing.Problem() as problem):
                reason = types.Reason(problem.reason)
                logs.event(
                    "request_refused",
                    reason=problem.reason,
                    request=problem.request,
                    detail=problem.detail,
                )
                self._refuse(response, _STATUS_BY_REASON[reason], problem)
            case result.Success(forwarder.CallerRequest() as caller_request):
                if not self._forwarder.has_service(caller_request.service):
                    self._refuse_reason(
                        response,
                        types.Reason.UNKNOWN_SERVICE,
                        caller_request.request_id,
                    )
                    return
                self._submit(request.sock, response, caller_request)

    def _submit(
        self,
        sock: object,
        response: wrappers.Response,
        caller_request: forwarder.CallerRequest,
    ) -> None:
        def on_done(outcome: verdicts.Result) -> None:
            self._pending_requests.pop(sock, None)
            self._respond_result(response, caller_request, outcome)

        pending = self._forwarder.submit(caller_request, on_done)
        if pending.on_done is not None:
            self._pending_requests[sock] = (
                *self._pending_requests.get(sock, ()),
                pending,
            )

    def _respond_result(
        self,
        response: wrappers.Response,
        caller_request: forwarder.CallerRequest,
        outcome: verdicts.Result,
    ) -> None:
        response.headers["X-Request-Id"] = caller_request.request_id
        match outcome:
            case result.Success(verdicts.Answer() as answer):
                response.headers["X-Verdict"] = types.Verdict.ANSWERED.value
                self._respond(
                    response, answer.status, answer.content_type, answer.body
                )
            case result.Failure(verdicts.Refusal() as refusal):
                status = (
                    _MAY_HAVE_RUN_STATUS
                    if refusal.may_have_run
                    else _NOT_RUN_STATUS
                )
                status = _STATUS_BY_REASON.get(refusal.reason, status)
                problem = parsing.Problem(
                    refusal.verdict.value,
                    refusal.reason.value,
                    caller_request.request_id,
                )
                self._refuse(response, status, problem)

    def _refuse_reason(
        self,
        response: wrappers.Response,
        reason: types.Reason,
        request: str = "",
    ) -> None:
        problem = parsing.Problem(
            types.Verdict.NOT_RUN.value, reason.value, request
        )
        logs.event("request_refused", reason=reason.value, request=request)
        self._refuse(
            response, _STATUS_BY_REASON.get(reason, _NOT_RUN_STATUS), problem
        )

    def _refuse_detail(
        self,
        response: wrappers.Response,
        status: int,
        reason: str,
        detail: str,
    ) -> None:
        verdict = types.Verdict.NOT_RUN.value
        problem = parsing.Problem(verdict, reason, "", detail)
        self._refuse(response, status, problem)

    def _refuse(
        self, response: wrappers.Response, status: int, problem: parsing.Problem
    ) -> None:
        response.headers["X-Verdict"] = problem.verdict
        self._respond(
            response, status, "application/json", msgspec.json.encode(problem)
        )

    def _respond(
        self,
        response: wrappers.Response,
        status: int,
        content_type: str,
        body: bytes,
    ) -> None:
        response.status = status
        response.headers["Content-Type"] = (
            content_type or "application/octet-stream"
        )
        response.body = body
        self.fire(web_events.response(response))


def _closing_response(status: str, reason: types.Reason) -> bytes:
    """Returns a complete refusal that ends its connection."""
    problem = parsing.Problem(types.Verdict.NOT_RUN.value, reason.value, "")
    body = msgspec.json.encode(problem)
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
        f"X-Verdict: not-run\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("ascii") + body


_TOO_LARGE = _closing_response(
    "413 Content Too Large", types.Reason.BODY_TOO_LARGE
)
_MALFORMED = _closing_response("400 Bad Request", types.Reason.BAD_REQUEST)
