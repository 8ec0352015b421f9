"""Checks invariants on the requests, executions and holds of a soak run."""

import collections
import datetime
import json
import threading
import time

import msgspec

from standins import appserver, keyranges

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


class _LastTaken(keyranges.KeyRange):
    """The highest fence with which keys have been taken, and by whom."""

    fence: int
    server: appserver.AppServer


class InvariantChecker:
    """Records what callers and servers see, and collects violated invariants.

    The invariants are: a request that is not idempotent is executed at most
    once, and never after a refusal; no two servers hold a key at the same
    time; a server takes a key with a higher fence than all other servers that
    had it, those that have ended included; a caller gets the complete answer
    to its own request.

    Attributes:
        requests_sent: Number of exchanges recorded.
        statuses: Number of exchanges for each status.
        violations: One text for each violation.
        hold_log: One line for each start of a server and each hold taken.
    """

    def __init__(self) -> None:
        self.requests_sent = 0
        self.statuses: collections.Counter[int] = collections.Counter()
        self.violations: list[str] = []
        self.hold_log: list[str] = []
        # By service, without overlaps.
        self._last_taken: dict[str, list[_LastTaken]] = {}
        # Owner violations that have been added, without their time.
        self._reported: set[str] = set()
        self._executions: collections.Counter[str] = collections.Counter()
        self._refused: set[str] = set()
        self._non_idempotent: set[str] = set()
        self._servers: list[appserver.AppServer] = []
        self._lock = threading.Lock()

    def add_server(self, server: appserver.AppServer) -> None:
        """Starts to check the executions and holds of a server.

        Call it before the server is started.
        """
        with self._lock:
            self._servers.append(server)
        self._log_hold(f"{server.instance} starts")
        server.on_run_started = self._record_execution
        server.on_hold_taken = self._check_hold

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
        others = self._others(server)
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

    def _others(self, server: appserver.AppServer) -> list[appserver.AppServer]:
        """Returns the other servers of a server's service that run."""
        with self._lock:
            return [
                other
                for other in self._servers
                if other is not server
                and other.service == server.service
                and not other.is_stopped
            ]

    def _check_hold(
        self, server: appserver.AppServer, hold: keyranges.Hold
    ) -> None:
        """Checks a hold that a server takes; no holds change meanwhile."""
        self._log_hold(
            f"{server.instance} takes {hold.first}-{hold.last}"
            f" fence {hold.fence} for {hold.until - time.monotonic():.3f} s"
        )
        for other in self._others(server):
            for held in other.live_holds:
                if held.overlaps(hold.first, hold.last):
                    self._report_owner(
                        f"OWNER {max(held.first, hold.first)}:"
                        f" {server.instance} takes it with fence {hold.fence},"
                        f" {other.instance} holds it with fence {held.fence}"
                    )
        self._check_fence(server, hold)

    def _check_fence(
        self, server: appserver.AppServer, hold: keyranges.Hold
    ) -> None:
        """Checks that no other server has had the keys with such a fence."""
        remaining = []
        taken = [_LastTaken(hold.first, hold.last, hold.fence, server)]
        for last in self._last_taken.get(server.service, []):
            if not last.overlaps(hold.first, hold.last):
                remaining.append(last)
                continue
            if last.server is not server and last.fence >= hold.fence:
                self._report_owner(
                    f"OWNER {max(last.first, hold.first)}:"
                    f" {server.instance} takes it with fence {hold.fence},"
                    f" {last.server.instance} had it with fence {last.fence}"
                )
            if last.fence > hold.fence:
                remaining.append(last)
                taken = keyranges.without(taken, last.first, last.last)
            else:
                remaining += keyranges.without([last], hold.first, hold.last)
        self._last_taken[server.service] = remaining + taken

    def _report_owner(self, text: str) -> None:
        if text not in self._reported:
            self._reported.add(text)
            self._add_violation(f"{text}, at {current_time()}")

    def _log_hold(self, text: str) -> None:
        self.hold_log.append(f"{current_time()} {text}")

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


def current_time() -> str:
    """Returns the time of day in the form of the daemons' logs."""
    now = datetime.datetime.now(datetime.UTC)
    return now.strftime("%H:%M:%S.%f")[:-3]
