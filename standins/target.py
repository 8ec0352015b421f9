"""Stand-in for a target, which logs each operation that took effect."""

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
    """Faults that are currently injected.

    Attributes:
        health: Health that the target reports, whether true or not.
        load: Load that it reports; None reports the actual load.
        shed: Whether it refuses all requests.
        silent: Whether it sends no announcements.
        truncate: Whether its answers are cut off in the middle.
        oversize: Number of bytes added to each answer.
        extra_s: Time added to each operation, seconds.
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
        request: Id of the caller's request.
        run: Id of the leg.
        key: Key of the request.
        slot: Slot of the key, as sent by the daemon.
        fence: Fence of the slot.
        owner: Incarnation of the daemon that sent the request.
        operation: Method and path.
        begun: Monotonic time when the execution began, seconds.
        at: Monotonic time when it took effect, seconds.
        target: Name of the target.
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
    """Executes requests; can refuse those that its grants do not cover.

    Attributes:
        announcement: Announcement that the target sends to its daemon.
        faults: Faults that are currently injected.
    """

    def __init__(
        self,
        announcement: targetclient.Announcement,
        log: str,
        work_ms: float,
        cold_s: float,
    ) -> None:
        """Creates a target and opens its log.

        Args:
            announcement: Announcement that the target sends to its daemon.
            log: File for the run records, one JSON object a line.
            work_ms: Mean duration of an operation, milliseconds.
            cold_s: Time after the start during which operations take ten
                times as long, seconds.
        """
        self.announcement = announcement
        self.faults = Faults()
        self._run_log = open(log, "a", encoding="utf-8")  # noqa: SIM115
        self._work_ms = work_ms
        self._slow_until = time.monotonic() + cold_s
        self._lock = threading.Lock()
        self._running = 0
        self._highest_fences: dict[int, int] = {}
        self._granted_slots: dict[int, slots.SlotAssignment] = {}
        self._grant_expires_at = 0.0
        self._grant_owner = ""
        self._cancelled: set[str] = set()
        self._effect_counts: dict[str, int] = {}
        self._rng = random.Random(announcement.name)

    def handle_request(self, request: httpd.Request) -> httpd.Response:
        """Handles a request from the daemon, or to the stand-in's own paths."""
        path = request.path
        if path == "/grant":
            return self._grant(request)
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
            current = msgspec.to_builtins(self.faults)
            self.faults = msgspec.convert({**current, **request.json()}, Faults)
            return httpd.json_response(self.faults)
        if path == "/leave":
            self.announcement = msgspec.structs.replace(
                self.announcement, leaving=True
            )
            return httpd.Response(200)
        return self._admit(request)

    def _grant(self, request: httpd.Request) -> httpd.Response:
        grant = msgspec.json.decode(request.body, type=targetclient.Grant)
        with self._lock:
            self._granted_slots = slots.expand(grant.runs)
            self._grant_expires_at = grant.until
            self._grant_owner = grant.owner
        return httpd.Response(200)

    def _admit(self, request: httpd.Request) -> httpd.Response:
        with self._lock:
            full = self._running >= self.announcement.slots
            if full or self.faults.shed:
                return _refuse("full" if full else "shedding")
            self._running += 1
        try:
            return self._execute(request)
        finally:
            with self._lock:
                self._running -= 1

    def _execute(self, request: httpd.Request) -> httpd.Response:
        headers = request.headers
        slot = int(headers["x-slot"])
        fence = int(headers["x-fence"])
        leg_id = headers["x-run-id"]
        deadline = float(headers["x-deadline"])
        started_at = time.monotonic()
        if b"crash-the-target" in request.body:
            os._exit(1)
        reason = self._refusal_reason(slot, fence, headers["x-owner"])
        if reason:
            return _refuse(reason)
        time.sleep(self._work_time_s(request.path))
        with self._lock:
            now = time.monotonic()
            reason = self._refusal_reason(slot, fence, headers["x-owner"])
            if leg_id in self._cancelled:
                reason = "cancelled"
            if now >= deadline:
                reason = "deadline"
            if reason:
                return _refuse(reason)
            return self._take_effect(request, slot, fence, started_at, now)

    def _work_time_s(self, path: str) -> float:
        """Draws a duration; reports and rosters take ten times as long."""
        mean_s = self._work_ms / 1000
        if "report" in path or "roster" in path:
            mean_s *= 10
        if time.monotonic() < self._slow_until:
            mean_s *= 10
        return self._rng.uniform(0.5, 1.5) * mean_s + self.faults.extra_s

    def _refusal_reason(self, slot: int, fence: int, owner: str) -> str:
        """Returns why a request must not take effect, or an empty text."""
        if not self.announcement.checks_grants:
            return ""
        if time.monotonic() >= self._grant_expires_at:
            return "grant-expired"
        assignment = self._granted_slots.get(slot)
        if assignment is None or owner != self._grant_owner:
            return "not-granted"
        if fence != assignment.fence or fence < self._highest_fences.get(
            slot, 0
        ):
            return "stale-fence"
        return ""

    def _take_effect(
        self,
        request: httpd.Request,
        slot: int,
        fence: int,
        started_at: float,
        now: float,
    ) -> httpd.Response:
        headers = request.headers
        key = bytes.fromhex(headers["x-key"]).decode("utf-8")
        self._highest_fences[slot] = max(
            fence, self._highest_fences.get(slot, 0)
        )
        self._effect_counts[key] = self._effect_counts.get(key, 0) + 1
        record = RunRecord(
            request=headers["x-request-id"],
            run=headers["x-run-id"],
            key=key,
            slot=slot,
            fence=fence,
            owner=headers["x-owner"],
            operation=f"{request.method} {request.path}",
            begun=started_at,
            at=now,
            target=self.announcement.name,
        )
        self._run_log.write(msgspec.json.encode(record).decode() + "\n")
        self._run_log.flush()
        body = msgspec.json.encode(
            {
                "request": record.request,
                "key": key,
                "operation": record.operation,
                "echo": request.body.decode("utf-8", "replace"),
                "count": self._effect_counts[key],
                "target": record.target,
                "padding": "x" * self.faults.oversize,
            }
        )
        if self.faults.truncate:
            return httpd.Response(200, body[: len(body) // 2], length=len(body))
        return httpd.Response(200, body)

    def send_announcements(self, daemon: str, stop: threading.Event) -> None:
        """Announces the target to the local daemon until `stop` is set."""
        host, _, port = daemon.rpartition(":")
        while not stop.wait(0.5):
            if self.faults.silent:
                continue
            try:
                connection = http.client.HTTPConnection(
                    host, int(port), timeout=1
                )
                body = msgspec.json.encode(self.announcement)
                connection.request("POST", "/announce", body)
                connection.getresponse().read()
                connection.close()
            except (OSError, http.client.HTTPException):
                continue


def _refuse(reason: str) -> httpd.Response:
    body = json.dumps({"not_run": reason}).encode()
    return httpd.Response(503, body, {"X-Not-Run": reason})


@click.command()
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--listen", required=True, help="Address to listen at, ip:port.")
@click.option(
    "--daemon", required=True, help="HTTP address of the local daemon, ip:port."
)
@click.option("--slots", default=12, help="Number of concurrent requests.")
@click.option(
    "--connections", default=130, help="Number of connections accepted."
)
@click.option("--checks-grants/--no-checks-grants", default=False)
@click.option(
    "--work-ms",
    default=3.0,
    help="Mean duration of an operation, milliseconds.",
)
@click.option(
    "--cold-s",
    default=0.0,
    help="Time of slow operation after the start, seconds.",
)
@click.option("--log", required=True, help="File for the run records.")
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
    """Runs the stand-in until it is stopped."""
    announcement = targetclient.Announcement(
        name, service, listen, slots, connections, checks_grants
    )
    target = Target(announcement, log, work_ms, cold_s)
    server = httpd.serve(listen, target.handle_request)
    stop = threading.Event()
    threading.Thread(
        target=target.send_announcements, args=(daemon, stop), daemon=True
    ).start()
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    server.serve_forever()


if __name__ == "__main__":
    main()
