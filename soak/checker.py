"""What callers and servers must never see, checked while the soak runs."""

import collections
import json
import threading

import msgspec

from standins import appserver

_NOT_RUN = frozenset({408, 421, 429, 503})
_MOST_TOLD = 20


class Exchange(msgspec.Struct, frozen=True):
    """A request of a caller, and its answer; status 0 for none."""

    request: str
    idempotent: bool
    path: str
    status: int
    has_signature: bool
    answered_id: str
    body: bytes


class InvariantChecker:
    """Collects what was sent and run, and what of it breaks a promise."""

    def __init__(self) -> None:
        self.requests_sent = 0
        self.statuses: collections.Counter[int] = collections.Counter()
        self.violations: list[str] = []
        self._runs: collections.Counter[str] = collections.Counter()
        self._refused: set[str] = set()
        self._single: set[str] = set()
        self._servers: list[appserver.AppServer] = []
        self._lock = threading.Lock()

    def add_server(self, server: appserver.AppServer) -> None:
        """Looks at each request that a server begins to run."""
        with self._lock:
            self._servers.append(server)
        server.on_run_started = self._begins

    def record_exchange(self, exchange: Exchange) -> None:
        """Looks at an answer."""
        with self._lock:
            self.requests_sent += 1
            self.statuses[exchange.status] += 1
            if not exchange.idempotent:
                self._single.add(exchange.request)
                if exchange.status in _NOT_RUN:
                    self._refused.add(exchange.request)
        if 200 <= exchange.status < 300:
            self._check_answer(exchange)

    def finish(self) -> list[str]:
        """Returns all violations, with those that show at the end only."""
        with self._lock:
            for request in self._single:
                if self._runs[request] > 1:
                    self._violated(f"TWICE {request}")
                if self._runs[request] and request in self._refused:
                    self._violated(f"REFUSED {request}: it has run")
        return self.violations[:_MOST_TOLD]

    def _begins(
        self, server: appserver.AppServer, request: str, position: int | None
    ) -> None:
        with self._lock:
            self._runs[request] += 1
            others = [
                other
                for other in self._servers
                if other is not server
                and other.service == server.service
                and not other.is_stopped
            ]
        if position is None:
            return
        # A hold that ends in this moment was not there when the run began.
        also = [o.instance for o in others if o.holds(position)]
        if also and server.holds(position):
            self._violated(
                f"OWNER {position}: {server.instance} runs {request},"
                f" {', '.join(also)} holds it too"
            )

    def _check_answer(self, exchange: Exchange) -> None:
        try:
            told = json.loads(exchange.body)
        except ValueError:
            told = {}
        if not exchange.has_signature or told.get("path") != exchange.path:
            self._violated(
                f"MIXED {exchange.request}: not its own whole answer"
            )
        elif exchange.answered_id != exchange.request:
            self._violated(
                f"MIXED {exchange.request}: answer of {exchange.answered_id}"
            )

    def _violated(self, text: str) -> None:
        self.violations.append(text)
