"""HTTP towards callers, operators and the target, by circuits.web."""

from collections.abc import Callable

import circuits
import msgspec
from circuits.net import events as net_events
from circuits.web import events as web_events
from circuits.web import wrappers
from returns import result

from tamarackgap import logs, types, verdicts
from tamarackgap.network import scheduler
from tamarackgap.requests import forwarder, parsing, targetclient
from tamarackgap.settings import config

_HEAD_BYTES = 65_536
_TLS_HANDSHAKE = b"\x16\x03"
_TRACE_CHARACTERS = 2000
_STATUS = {
    types.Reason.BAD_REQUEST: 400,
    types.Reason.UNKNOWN_SERVICE: 404,
    types.Reason.BODY_TOO_LARGE: 413,
    types.Reason.DEADLINE_PASSED: 408,
    types.Reason.REPEAT_UNKNOWN: 409,
    types.Reason.IN_PROGRESS: 409,
    types.Reason.CRASHES_TARGETS: 422,
}
_UNAVAILABLE = 503
_NO_ANSWER = 504


# Returns a page's JSON text for a query; raises KeyError for a bad query.
Page = Callable[[dict[str, str]], bytes]


class _Part(msgspec.Struct):
    """A request of which not all has come in."""

    timer: scheduler.Timer
    size: int = 0


class Web(circuits.Component):
    """Answers HTTP requests on the channel of a circuits.web server."""

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
            timers: The loop's scheduler.
            request_forwarder: Serves callers' requests.
            on_announcement: Takes an announcement; returns what is wrong
                with it.
            pages: Operators' pages by path.
            render_metrics: Renders metrics for an Accept header.
        """
        super().__init__()
        self._settings = settings
        self._timers = timers
        self._entry = request_forwarder
        self._announced = on_announcement
        self._pages = pages
        self._metrics_page = render_metrics
        self._flights: dict[object, tuple[forwarder.PendingRequest, ...]] = {}
        self._parts: dict[object, _Part] = {}
        self.draining = False

    @circuits.handler("read", priority=10)
    def _on_read(
        self, event: circuits.Event, sock: object, data: bytes
    ) -> None:
        """Stops a request that grows over the limit while it is read."""
        part = self._parts.get(sock)
        if part is None:
            part = _Part(self._await_rest(sock))
            self._parts[sock] = part
        part.size += len(data)
        if data.startswith(_TLS_HANDSHAKE):
            event.stop()
            self._drop(sock, _MALFORMED, "tls-handshake")
        elif part.size > self._settings.requests_body + _HEAD_BYTES:
            event.stop()
            self._drop(sock, _TOO_LARGE, "body-too-large")

    def _await_rest(self, sock: object) -> scheduler.Timer:
        patience = self._settings.requests_patience / 1000
        return self._timers.after(
            patience, lambda: self._drop(sock, _MALFORMED, "incomplete")
        )

    def _drop(self, sock: object, answer: bytes, why: str) -> None:
        """Refuses what can't become a request, and closes."""
        self._forget_part(sock)
        logs.event("connection_dropped", why=why)
        self.fire(net_events.write(sock, answer))
        self.fire(net_events.close(sock))

    def _forget_part(self, sock: object) -> None:
        part = self._parts.pop(sock, None)
        if part is not None:
            part.timer.cancel()

    @circuits.handler("exception", channel="*")
    def _on_exception(
        self,
        kind: type,
        error: BaseException,
        trace: list[str],
        handler: object = None,
        fevent: circuits.Event | None = None,
    ) -> None:
        """Logs what went wrong in any handler; the daemon goes on."""
        del handler
        logs.event(
            "internal_error",
            during=fevent.name if fevent is not None else "",
            error=f"{kind.__name__}: {error}",
            trace="".join(trace)[-_TRACE_CHARACTERS:],
        )
        if fevent is not None and fevent.name == "read":
            self._drop(fevent.args[0], _MALFORMED, "malformed")

    @circuits.handler("disconnect")
    def _on_disconnect(self, sock: object) -> None:
        self._forget_part(sock)
        for flight in self._flights.pop(sock, ()):
            self._entry.cancel(flight)

    @circuits.handler("request", priority=10)
    def _on_request(
        self,
        event: circuits.Event,
        request: wrappers.Request,
        response: wrappers.Response,
        *peer_certificate: object,
    ) -> bool:
        """Routes a request; True means that the response is fired later."""
        del peer_certificate
        event.stop()
        self._forget_part(request.sock)
        body = request.body.read()
        path = request.path
        if path.startswith(parsing.PATH_PREFIX):
            self._serve(request, response, body)
        elif path == "/announce" and request.method == "POST":
            self._announce(response, body)
        elif path == "/metrics":
            text, headers = self._metrics_page(
                request.headers.get("Accept", "")
            )
            kind = headers.get("Content-Type", "text/plain")
            self._respond(response, 200, kind, text)
        elif path in self._pages:
            self._page(request, response)
        else:
            self._refuse(
                response,
                404,
                parsing.Problem("not-run", "unknown-path", "", path),
            )
        return True

    def _page(
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

    def _announce(self, response: wrappers.Response, body: bytes) -> None:
        try:
            announcement = msgspec.json.decode(
                body, type=targetclient.Announcement
            )
        except msgspec.MsgspecError as error:
            wrong = str(error)
        else:
            wrong = self._announced(announcement)
        if wrong is not None:
            logs.event("announcement_refused", problem=wrong)
            self._refuse(
                response,
                400,
                parsing.Problem("not-run", "bad-request", "", wrong),
            )
            return
        self._respond(response, 200, "application/json", b"{}")

    def _serve(
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
                self._refuse(response, _STATUS[reason], problem)
            case result.Success(forwarder.CallerRequest() as parsed):
                if not self._entry.has_service(parsed.service):
                    self._refuse_reason(
                        response,
                        types.Reason.UNKNOWN_SERVICE,
                        parsed.request_id,
                    )
                    return
                self._begin(request.sock, response, parsed)

    def _begin(
        self,
        sock: object,
        response: wrappers.Response,
        parsed: forwarder.CallerRequest,
    ) -> None:
        def done(outcome: verdicts.Result) -> None:
            self._flights.pop(sock, None)
            self._finish(response, parsed, outcome)

        flight = self._entry.submit(parsed, done)
        if flight.on_done is not None:
            self._flights[sock] = (*self._flights.get(sock, ()), flight)

    def _finish(
        self,
        response: wrappers.Response,
        parsed: forwarder.CallerRequest,
        outcome: verdicts.Result,
    ) -> None:
        response.headers["X-Request-Id"] = parsed.request_id
        match outcome:
            case result.Success(verdicts.Answer() as answer):
                response.headers["X-Verdict"] = types.Verdict.ANSWERED.value
                self._respond(
                    response, answer.status, answer.content_type, answer.body
                )
            case result.Failure(verdicts.Refusal() as refusal):
                status = _NO_ANSWER if refusal.may_have_run else _UNAVAILABLE
                status = _STATUS.get(refusal.reason, status)
                problem = parsing.Problem(
                    refusal.verdict.value,
                    refusal.reason.value,
                    parsed.request_id,
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
        self._refuse(response, _STATUS.get(reason, _UNAVAILABLE), problem)

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


def _closing(status: str, reason: types.Reason) -> bytes:
    """Returns a whole answer that ends its connection."""
    problem = parsing.Problem(types.Verdict.NOT_RUN.value, reason.value, "")
    body = msgspec.json.encode(problem)
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
        f"X-Verdict: not-run\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("ascii") + body


_TOO_LARGE = _closing("413 Content Too Large", types.Reason.BODY_TOO_LARGE)
_MALFORMED = _closing("400 Bad Request", types.Reason.BAD_REQUEST)
