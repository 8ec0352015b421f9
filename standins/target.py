"""A target: runs requests for keys, and keeps a log of what it truly ran."""

import http.client
import json
import os
import random
import signal
import threading
import time

import click
import msgspec

from standins import httpd
from tamarackgap.placement import slots
from tamarackgap.requests import targetclient


class Faults(msgspec.Struct):
    """How the target behaves at present.

    Attributes:
        health: What it says of its health, true or not.
        load: What it says of its load; None is the truth.
        shed: Whether it refuses all work.
        silent: Whether it stops announcing itself.
        truncate: Whether its answers break off half-way.
        oversize: Bytes added to each answer.
        extra_s: Seconds added to each operation.
    """

    health: str = "ok"
    load: int | None = None
    shed: bool = False
    silent: bool = False
    truncate: bool = False
    oversize: int = 0
    extra_s: float = 0.0


class RunRecord(msgspec.Struct, frozen=True):
    """One operation that took effect.

    Attributes:
        request: The caller's request id.
        run: Id of the leg.
        key: The key.
        slot: Its slot, as the daemon says.
        fence: Fence of the slot.
        owner: The incarnation that handed it over.
        operation: Method and path.
        begun: Monotonic time when the run began, seconds.
        at: Monotonic time when it took effect, seconds.
        target: This target's name.
    """

    request: str
    run: str
    key: str
    slot: int
    fence: int
    owner: str
    operation: str
    begun: float
    at: float
    target: str


class Target:
    """State of the stand-in."""

    def __init__(
        self,
        announcement: targetclient.Announcement,
        log: str,
        work_ms: float,
        cold_s: float,
    ) -> None:
        """Creates a target.

        Args:
            announcement: What it says of itself.
            log: File for its runs, one JSON object a line.
            work_ms: Mean time of an operation, milliseconds.
            cold_s: Time during which it works ten times as slowly.
        """
        self.announcement = announcement
        self.faults = Faults()
        self._log = open(log, "a", encoding="utf-8")  # noqa: SIM115
        self._work_ms = work_ms
        self._warm_at = time.monotonic() + cold_s
        self._lock = threading.Lock()
        self._running = 0
        self._fences: dict[int, int] = {}
        self._granted: dict[int, slots.SlotAssignment] = {}
        self._granted_until = 0.0
        self._granted_owner = ""
        self._cancelled: set[str] = set()
        self._counts: dict[str, int] = {}
        self._rng = random.Random(announcement.name)

    def handle_request(self, query: httpd.Request) -> httpd.Response:
        """Answers one request."""
        path = query.path
        if path == "/grant":
            return self._grant(query)
        if path.startswith("/cancel/"):
            self._cancelled.add(path.removeprefix("/cancel/"))
            return httpd.Response(200)
        if path == "/health":
            return httpd.json_response({"health": self.faults.health})
        if path == "/load":
            load = self.faults.load
            return httpd.json_response(
                {"in_progress": self._running if load is None else load}
            )
        if path == "/faults":
            known = msgspec.to_builtins(self.faults)
            self.faults = msgspec.convert({**known, **query.json()}, Faults)
            return httpd.json_response(self.faults)
        if path == "/leave":
            self.announcement = msgspec.structs.replace(
                self.announcement, leaving=True
            )
            return httpd.Response(200)
        return self._run(query)

    def _grant(self, query: httpd.Request) -> httpd.Response:
        grant = msgspec.json.decode(query.body, type=targetclient.Grant)
        with self._lock:
            self._granted = slots.expand(grant.runs)
            self._granted_until = grant.until
            self._granted_owner = grant.owner
        return httpd.Response(200)

    def _run(self, query: httpd.Request) -> httpd.Response:
        with self._lock:
            full = self._running >= self.announcement.slots
            if full or self.faults.shed:
                return _not_run("full" if full else "shedding")
            self._running += 1
        try:
            return self._work(query)
        finally:
            with self._lock:
                self._running -= 1

    def _work(self, query: httpd.Request) -> httpd.Response:
        headers = query.headers
        slot = int(headers["x-slot"])
        fence = int(headers["x-fence"])
        run = headers["x-run-id"]
        deadline = float(headers["x-deadline"])
        begun = time.monotonic()
        if b"crash-the-target" in query.body:
            os._exit(1)
        wrong = self._wrong(slot, fence, headers["x-owner"])
        if wrong:
            return _not_run(wrong)
        time.sleep(self._duration(query.path))
        with self._lock:
            now = time.monotonic()
            wrong = self._wrong(slot, fence, headers["x-owner"])
            if run in self._cancelled:
                wrong = "cancelled"
            if now >= deadline:
                wrong = "deadline"
            if wrong:
                return _not_run(wrong)
            return self._take_effect(query, slot, fence, begun, now)

    def _duration(self, path: str) -> float:
        mean_s = self._work_ms / 1000
        if "report" in path or "roster" in path:
            mean_s *= 10
        if time.monotonic() < self._warm_at:
            mean_s *= 10
        return self._rng.uniform(0.5, 1.5) * mean_s + self.faults.extra_s

    def _wrong(self, slot: int, fence: int, owner: str) -> str:
        """Returns why an order must not take effect, or an empty text."""
        if not self.announcement.checks_grants:
            return ""
        if time.monotonic() >= self._granted_until:
            return "grant-expired"
        held = self._granted.get(slot)
        if held is None or owner != self._granted_owner:
            return "not-granted"
        if fence != held.fence or fence < self._fences.get(slot, 0):
            return "stale-fence"
        return ""

    def _take_effect(
        self,
        query: httpd.Request,
        slot: int,
        fence: int,
        begun: float,
        now: float,
    ) -> httpd.Response:
        headers = query.headers
        key = bytes.fromhex(headers["x-key"]).decode("utf-8")
        self._fences[slot] = max(fence, self._fences.get(slot, 0))
        self._counts[key] = self._counts.get(key, 0) + 1
        done = RunRecord(
            request=headers["x-request-id"],
            run=headers["x-run-id"],
            key=key,
            slot=slot,
            fence=fence,
            owner=headers["x-owner"],
            operation=f"{query.method} {query.path}",
            begun=begun,
            at=now,
            target=self.announcement.name,
        )
        self._log.write(msgspec.json.encode(done).decode() + "\n")
        self._log.flush()
        body = msgspec.json.encode(
            {
                "request": done.request,
                "key": key,
                "operation": done.operation,
                "echo": query.body.decode("utf-8", "replace"),
                "count": self._counts[key],
                "target": done.target,
                "padding": "x" * self.faults.oversize,
            }
        )
        if self.faults.truncate:
            return httpd.Response(200, body[: len(body) // 2], length=len(body))
        return httpd.Response(200, body)

    def send_announcements(self, daemon: str, stop: threading.Event) -> None:
        """Announces itself to the daemon beside it, twice a second."""
        host, _, port = daemon.rpartition(":")
        while not stop.wait(0.5):
            if self.faults.silent:
                continue
            try:
                link = http.client.HTTPConnection(host, int(port), timeout=1)
                body = msgspec.json.encode(self.announcement)
                link.request("POST", "/announce", body)
                link.getresponse().read()
                link.close()
            except (OSError, http.client.HTTPException):
                continue


def _not_run(why: str) -> httpd.Response:
    body = json.dumps({"not_run": why}).encode()
    return httpd.Response(503, body, {"X-Not-Run": why})


@click.command()
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--listen", required=True, help="ip:port to bind to.")
@click.option("--daemon", required=True, help="ip:port of the daemon's HTTP.")
@click.option("--slots", default=12, help="Requests at once.")
@click.option("--connections", default=130, help="Connections accepted.")
@click.option("--checks-grants/--no-checks-grants", default=False)
@click.option("--work-ms", default=3.0, help="Mean time of an operation.")
@click.option("--cold-s", default=0.0, help="Time of a slow start.")
@click.option("--log", required=True, help="File for the runs.")
def main(
    name: str,
    service: str,
    listen: str,
    daemon: str,
    slots: int,
    connections: int,
    checks_grants: bool,
    work_ms: float,
    cold_s: float,
    log: str,
) -> None:
    """Runs a target's stand-in until it is stopped."""
    announcement = targetclient.Announcement(
        name, service, listen, slots, connections, checks_grants
    )
    state = Target(announcement, log, work_ms, cold_s)
    server = httpd.serve(listen, state.handle_request)
    stop = threading.Event()
    threading.Thread(
        target=state.send_announcements, args=(daemon, stop), daemon=True
    ).start()
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    server.serve_forever()


if __name__ == "__main__":
    main()
