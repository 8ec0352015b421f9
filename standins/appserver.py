"""A server of the users: runs requests, and holds the keys it is granted."""

import http.client
import json
import threading
import time
from collections.abc import Callable

import msgspec

from standins import httpd

_HEARTBEAT_S = 0.2


class _Hold(msgspec.Struct):
    first: int
    last: int
    fence: int
    until: float


class AppServer:
    """One life of a server, beside one daemon."""

    def __init__(
        self,
        instance: str,
        service: str,
        address: str,
        daemon: str,
        keyed: bool = False,
        work_s: float = 0.005,
    ) -> None:
        """Creates a server that has not started.

        Args:
            instance: Its id.
            service: Its service.
            address: Its `ip:port`.
            daemon: Where it announces itself.
            keyed: Whether it runs requests only for keys that it holds.
            work_s: Time of a request, seconds.
        """
        self.instance = instance
        self.service = service
        self.address = address
        self.work_s = work_s
        self.slots = 8
        self.state = "ready"
        # Ids of all requests that were run, with their keys.
        self.executed_requests: list[tuple[str, int | None]] = []
        self.grant_count = 0
        # What to do with a request instead of running it well.
        self.fault = ""
        # Called with this server, id and key of each request that it runs.
        self.on_run_started: Callable[[AppServer, str, int | None], None] = (
            _ignore
        )
        # A request for this path ends its life.
        self.crash_path = ""
        self._daemon = daemon
        self._keyed = keyed
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._holds: list[_Hold] = []
        self._handovers = 0
        self._lock = threading.Lock()
        self._ended = threading.Event()
        self._closed = threading.Event()
        self._server = httpd.serve(address, self._answer)

    def start(self) -> None:
        """Serves and announces itself, on threads."""
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._announce, daemon=True).start()

    @property
    def is_stopped(self) -> bool:
        """Whether this life is over, and its address free."""
        return self._closed.is_set()

    def stop(self) -> None:
        """Ends at once, without a word."""
        self._ended.set()
        self._server.shutdown()
        self._server.server_close()
        self._closed.set()

    def send_heartbeat(self) -> bool:
        """Announces itself once; returns whether it was acknowledged."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": "north",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self._sequence,
            "born": self._born,
        }
        path = f"/-/instances/{self.instance}/heartbeat"
        connection = http.client.HTTPConnection(self._daemon, timeout=1)
        try:
            connection.request("POST", path, json.dumps(body))
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def holds(self, position: int) -> bool:
        """Returns whether it holds a key now."""
        with self._lock:
            now = time.monotonic()
            return any(
                hold.first <= position <= hold.last and hold.until > now
                for hold in self._holds
            )

    def _announce(self) -> None:
        while not self._ended.is_set():
            self.send_heartbeat()
            self._ended.wait(_HEARTBEAT_S)

    def _answer(self, query: httpd.Request) -> httpd.Response:
        if self._ended.is_set():
            return httpd.Response(None)
        if query.path == "/-/grant":
            return self._grant(query.json())
        if query.path == "/-/release":
            return self._release(query.json())
        return self._run(query)

    def _grant(self, body: dict) -> httpd.Response:
        with self._lock:
            self.grant_count += 1
            first, last = body["from"], body["target"]
            for hold in self._holds:
                overlaps = hold.first <= last and hold.last >= first
                if overlaps and hold.fence > body["fence"]:
                    return httpd.Response(409)
            until = time.monotonic() + body["hold_ms"] / 1000
            self._cut(first, last)
            self._holds.append(_Hold(first, last, body["fence"], until))
        return httpd.Response(200)

    def _cut(self, first: int, last: int) -> None:
        kept = []
        for hold in self._holds:
            if hold.first < first:
                kept.append(
                    _Hold(
                        hold.first,
                        min(hold.last, first - 1),
                        hold.fence,
                        hold.until,
                    )
                )
            if hold.last > last:
                kept.append(
                    _Hold(
                        max(hold.first, last + 1),
                        hold.last,
                        hold.fence,
                        hold.until,
                    )
                )
        self._holds = kept

    def _release(self, body: dict) -> httpd.Response:
        with self._lock:
            self._cut(body["from"], body["target"])
            self._handovers += 1
            text = f"{self.instance}-{self._handovers}"
        return httpd.Response(200, headers={"X-Tamarackgap-Handover": text})

    def _run(self, query: httpd.Request) -> httpd.Response:
        request = query.headers.get("x-tamarackgap-attempt-id", "")
        echo = {"X-Tamarackgap-Attempt-Id": request}
        wanted = query.headers.get("x-tamarackgap-target-instance")
        key = query.headers.get("x-tamarackgap-shard-key")
        position = int(key) if key else None
        if wanted != self.instance or (
            self._keyed and not self.holds(position)
        ):
            return httpd.Response(
                421, headers={**echo, "X-Tamarackgap-Not-Executed": "1"}
            )
        if self.fault == "full":
            return httpd.Response(
                503, headers={**echo, "X-Tamarackgap-Not-Executed": "1"}
            )
        self.on_run_started(self, request, position)
        time.sleep(self.work_s)
        with self._lock:
            self.executed_requests.append((request, position))
        if self.crash_path and query.path.startswith(self.crash_path):
            threading.Thread(target=self.stop, daemon=True).start()
            self._ended.wait(1)
            return httpd.Response(None)
        match self.fault:
            case "cut":
                return httpd.Response(None)
            case "error":
                status = 500
            case "unsigned":
                return httpd.Response(200, b"spoilt", echo)
            case _:
                status = 200
        told = {
            "instance": self.instance,
            "path": query.path,
            "origin": query.headers.get("x-tamarackgap-caller-service"),
            "left_ms": query.headers.get("x-tamarackgap-timeout-ms"),
            "body": query.body.decode("latin-1"),
        }
        return httpd.Response(
            status,
            json.dumps(told).encode("utf-8"),
            {**echo, "X-Tamarackgap-Response-Signature": "signed"},
        )


def _ignore(server: AppServer, request: str, position: int | None) -> None:
    del server, request, position
