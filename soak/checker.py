"""Checks invariants on the requests and executions of a soak run."""

import collections
import json
import threading

import msgspec

from standins import appserver

# Statuses by which the router says that the request was not executed.
_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
_MAX_REPORTED_VIOLATIONS = 20


class Exchange(msgspec.Struct, frozen=True):
    """A caller's request and the response that the caller got.

    Attributes:
        request: Id of the request.
        idempotent: Whether the request may be executed more than once.
        path: Path of the request.
        status: Status of the response, 0 if there was none.
        has_signature: Whether the response carries a server's signature.
        answered_id: Request id in the response's headers.
        body: Body of the response.
    """

    request: str
    idempotent: bool
    path: str
    status: int
    has_signature: bool
    answered_id: str
    body: bytes


class InvariantChecker:
    """Records exchanges and executions, and collects violated invariants.

    The invariants are: a request that is not idempotent is executed at most
    once, and never after a refusal; no two servers hold a key at the same
    time; a caller gets the complete answer to its own request.

    Attributes:
        requests_sent: Number of exchanges recorded.
        statuses: Number of exchanges for each status.
        violations: One text for each violation.
    """

    def __init__(self) -> None:
        self.requests_sent = 0
        self.statuses: collections.Counter[int] = collections.Counter()
        self.violations: list[str] = []
        self._executions: collections.Counter[str] = collections.Counter()
        self._refused: set[str] = set()
        self._non_idempotent: set[str] = set()
        self._servers: list[appserver.AppServer] = []
        self._lock = threading.Lock()

    def add_server(self, server: appserver.AppServer) -> None:
        """Starts to check each request that a server begins to execute."""
        with self._lock:
            self._servers.append(server)
        server.on_run_started = self._record_execution

    def record_exchange(self, exchange: Exchange) -> None:
        """Records an exchange, and checks the response if it is a success."""
        with self._lock:
            self.requests_sent += 1
            self.statuses[exchange.status] += 1
            if not exchange.idempotent:
                self._non_idempotent.add(exchange.request)
                if exchange.status in _NOT_EXECUTED_STATUSES:
                    self._refused.add(exchange.request)
        if 200 <= exchange.status < 300:
            self._check_response(exchange)

    def finish(self) -> list[str]:
        """Checks executions, and returns the first violations of the run.

        Call it once, after the last execution: until then a refused request
        may still be executed.
        """
        with self._lock:
            for request in self._non_idempotent:
                if self._executions[request] > 1:
                    self._add_violation(f"EXECUTED TWICE {request}")
                if self._executions[request] and request in self._refused:
                    self._add_violation(f"REFUSED {request}: it was executed")
        return self.violations[:_MAX_REPORTED_VIOLATIONS]

    def _record_execution(
        self, server: appserver.AppServer, request: str, shard_key: int | None
    ) -> None:
        with self._lock:
            self._executions[request] += 1
            others = [
                other
                for other in self._servers
                if other is not server
                and other.service == server.service
                and not other.is_stopped
            ]
        if shard_key is None:
            return
        other_holders = [o.instance for o in others if o.holds(shard_key)]
        # This server's hold is checked last: if it has just expired, another
        # server may have been granted the key legitimately.
        if other_holders and server.holds(shard_key):
            self._add_violation(
                f"OWNER {shard_key}: {server.instance} executes {request},"
                f" {', '.join(other_holders)} holds it too"
            )

    def _check_response(self, exchange: Exchange) -> None:
        try:
            answer = json.loads(exchange.body)
        except ValueError:
            answer = {}
        if not exchange.has_signature or answer.get("path") != exchange.path:
            self._add_violation(
                f"MIXED {exchange.request}: the response is unsigned,"
                " incomplete, or for another path"
            )
        elif exchange.answered_id != exchange.request:
            self._add_violation(
                f"MIXED {exchange.request}:"
                f" the response is for {exchange.answered_id}"
            )

    def _add_violation(self, text: str) -> None:
        self.violations.append(text)
