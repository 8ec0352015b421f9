"""Stand-in for a server of the users' platform, with keys granted to it."""

import array
import http.client
import json
import threading
import time
from collections.abc import Callable

from standins import httpd, keyranges

_HEARTBEAT_INTERVAL_S = 0.2
# Largest answer to a heartbeat that a server accepts.
_MAX_ANSWER_BYTES = 4096
# Interval while keys are being released.
_RELEASING_INTERVAL_S = 0.05
_STOP_POLL_S = 0.01
_WORK_POLL_S = 0.002
# An answer repeats no more than this of the request's body.
_MAX_ECHO_BYTES = 100_000
_ENDLESS_CHUNK = bytes(16_384)
_KEY_COUNT = 65_536
_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Tamarackgap-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)

# Shared by all servers, so that observers see the holds of all of them at one
# moment.
_state_lock = threading.RLock()


class AppServer:
    """One incarnation of a server, which announces itself to one daemon.

    Attributes:
        instance: Id of this incarnation.
        service: Service of the server.
        address: Address at which it listens, `ip:port`.
        work_s: Duration of a request, seconds.
        slots: Number of concurrent requests that it announces.
        state: State that it announces, `ready` or `draining`.
        executed_requests: Id and shard key of each executed request.
        grant_count: Number of grants received, including refused ones.
        fault: Fault to inject: `full` refuses requests; `misdirect-once`
            refuses the next one as if its key had just moved; `cut` closes the
            connection, `cut-head` closes it within the head of the answer,
            `error` answers 500, `unsigned` answers without a signature,
            `endless` sends an answer without an end and `refusal-again` sends a
            refusal without an id first, each after the execution. Empty for no
            fault.
        on_run_started: Called with this server, the request's id and its shard
            key before each execution.
        on_hold_taken: Called with this server and each hold that it takes;
            no server's holds change meanwhile.
        arrival_time: Returns when the latest bytes from an address arrived,
            monotonic seconds; only called while a request from it is read.
        grant_delay_s: If it is not 0, grants get no answer and are carried out
            this many seconds after their arrival.
        crash_path: A request for a path with this prefix ends the server;
            empty for none.
        ignores_answers: Whether it acts as if answers to its heartbeats were
            lost.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        address: str,
        daemon: str,
        keyed: bool = False,
        work_s: float = 0.005,
        grants: str = "call",
    ) -> None:
        """Creates a server that has not started.

        Args:
            instance: Id of this incarnation.
            service: Service of the server.
            address: Address to listen at, `ip:port`.
            daemon: Address of the daemon to which it announces itself.
            keyed: Whether it executes requests only for keys that it holds.
            work_s: Duration of a request, seconds.
            grants: How it takes its keys: by `call`, or with the answers to
                its `heartbeat`.
        """
        self.instance = instance
        self.service = service
        self.address = address
        self.work_s = work_s
        self.slots = 8
        self.state = "ready"
        self.executed_requests: list[tuple[str, int | None]] = []
        self.grant_count = 0
        self.fault = ""
        self.on_run_started: Callable[[AppServer, str, int | None], None] = (
            _ignore_run
        )
        self.on_hold_taken: Callable[[AppServer, keyranges.Hold], None] = (
            _ignore_hold
        )
        self.arrival_time: Callable[[tuple[str, int]], float] = lambda _: (
            time.monotonic()
        )
        self.grant_delay_s = 0.0
        self.crash_path = ""
        self.ignores_answers = False
        self._grants = grants
        # Ranges that are released as soon as no request works on them.
        self._ending: list[keyranges.Hold] = []
        # First and last key, and handover, of released ranges not reported yet.
        self._freed: list[tuple[int, int, str]] = []
        # Shard keys of the requests being executed.
        self._running_keys: list[int | None] = []
        self._daemon = daemon
        # Where an answer has asked for later heartbeats, until one fails there.
        self._heartbeat_address = daemon
        self._keyed = keyed
        self._started_at_ms = int(time.time() * 1000)
        self._sequence = 0
        self._holds: list[keyranges.Hold] = []
        # Highest fence seen by key, also after the hold has ended.
        self._seen_fences = array.array("q", bytes(8 * _KEY_COUNT))
        self._release_count = 0
        self._lock = _state_lock
        self._stopping = threading.Event()
        self._closed = threading.Event()
        self._server = httpd.serve(address, self._handle_request)

    def start(self) -> None:
        """Starts the threads that serve requests and send heartbeats."""
        threading.Thread(
            target=self._server.serve_forever, args=(_STOP_POLL_S,), daemon=True
        ).start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    @property
    def live_holds(self) -> list[keyranges.Hold]:
        """The holds that have not expired; none once the server stops."""
        with self._lock:
            now = time.monotonic()
            if self._stopping.is_set():
                return []
            return [hold for hold in self._holds if hold.until > now]

    @property
    def is_stopped(self) -> bool:
        """Whether the server has stopped and released its address."""
        return self._closed.is_set()

    def stop(self) -> None:
        """Stops the server at once, without an announcement."""
        with self._lock:
            self._stopping.set()
        self._server.stop()
        self._closed.set()

    def send_heartbeat(self) -> bool:
        """Sends one heartbeat; returns whether the daemon acknowledged it."""
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
            "born": self._started_at_ms,
        }
        freed = []
        if self._grants == "heartbeat":
            body["holds"] = self._reported_holds()
            freed = body["freed"] = list(self._freed)
        sent_at = time.monotonic()
        path = f"/-/instances/{self.instance}/heartbeat"
        address = self._heartbeat_address
        connection = http.client.HTTPConnection(address, timeout=1)
        try:
            connection.request("POST", path, json.dumps(body))
            response = connection.getresponse()
            answer = response.read()
        except (OSError, http.client.HTTPException):
            self._heartbeat_address = self._daemon
            return False
        finally:
            connection.close()
        if response.status != 200 or self.ignores_answers:
            return response.status == 200
        assert len(answer) <= _MAX_ANSWER_BYTES
        self._freed = [part for part in self._freed if part not in freed]
        fields = json.loads(answer) if answer else {}
        self._heartbeat_address = fields.get("heartbeat_addr", address)
        if self._grants == "heartbeat":
            self._apply_hold_list(fields, sent_at)
        return True

    def _reported_holds(self) -> list[tuple[int, int, int]]:
        """Returns the ranges that are held or still worked on."""
        with self._lock:
            self._end_releases()
            now = time.monotonic()
            return [
                (hold.first, hold.last, hold.fence)
                for hold in [*self._holds, *self._ending]
                if hold.until > now
                or self._is_working_on(hold.first, hold.last)
            ]

    def _is_working_on(self, first: int, last: int) -> bool:
        return any(
            key is not None and first <= key <= last
            for key in self._running_keys
        )

    def _apply_hold_list(self, answer: dict, sent_at: float) -> None:
        """Takes the ranges listed, and releases all others."""
        if "holds" not in answer:
            return
        until = sent_at + answer["hold_ms"] / 1000
        listed = []
        with self._lock:
            self.grant_count += 1
            for first, last, fence, _ in answer["holds"]:
                if self._accept_fence(first, last, fence):
                    listed.append(keyranges.Hold(first, last, fence, until))
            for hold in listed:
                self._holds = keyranges.without(
                    self._holds, hold.first, hold.last
                )
            self._ending += self._holds
            self._holds = listed
            for hold in listed:
                self._report_hold(hold)

    def _accept_fence(self, first: int, last: int, fence: int) -> bool:
        """Records a fence; returns whether no key has been seen with a higher.

        Args:
            first: First key.
            last: Last key.
            fence: Fence of a grant of these keys.
        """
        if max(self._seen_fences[first : last + 1]) > fence:
            return False
        count = last + 1 - first
        self._seen_fences[first : last + 1] = array.array("q", [fence]) * count
        return True

    def _report_hold(self, hold: keyranges.Hold) -> None:
        if hold.until > time.monotonic() and not self._stopping.is_set():
            self.on_hold_taken(self, hold)

    def _end_releases(self) -> None:
        """Releases the ranges that were left out and are not worked on."""
        for hold in list(self._ending):
            if self._is_working_on(hold.first, hold.last):
                continue
            self._ending.remove(hold)
            self._release_count += 1
            handover = f"{self.instance}-{self._release_count}"
            self._freed.append((hold.first, hold.last, handover))

    def holds(self, shard_key: int) -> bool:
        """Returns whether the server currently holds a shard key."""
        return any(
            hold.first <= shard_key <= hold.last for hold in self.live_holds
        )

    def _send_heartbeats(self) -> None:
        while not self._stopping.is_set():
            self.send_heartbeat()
            self._stopping.wait(
                _RELEASING_INTERVAL_S
                if self._ending or self._freed
                else _HEARTBEAT_INTERVAL_S
            )

    def _handle_request(self, request: httpd.Request) -> httpd.Response:
        if self._stopping.is_set():
            return httpd.Response(None)
        if request.path == "/-/grant":
            return self._grant(request)
        if request.path == "/-/release":
            return self._release(request.json())
        return self._run(request)

    def _grant(self, request: httpd.Request) -> httpd.Response:
        body = request.json()
        until = self.arrival_time(request.client) + body["hold_ms"] / 1000
        delay_s = self.grant_delay_s
        if delay_s:
            self._stopping.wait(delay_s)
        with self._lock:
            self.grant_count += 1
            first, last, fence = body["from"], body["target"], body["fence"]
            if not self._accept_fence(first, last, fence):
                return httpd.Response(None if delay_s else 409)
            self._holds = keyranges.without(self._holds, first, last)
            self._holds.append(keyranges.Hold(first, last, fence, until))
            self._report_hold(self._holds[-1])
        return httpd.Response(None if delay_s else 200)

    def _release(self, body: dict) -> httpd.Response:
        with self._lock:
            self._holds = keyranges.without(
                self._holds, body["from"], body["target"]
            )
            self._release_count += 1
            handover = f"{self.instance}-{self._release_count}"
        while self._is_working_on(body["from"], body["target"]):
            time.sleep(_WORK_POLL_S)
        return httpd.Response(200, headers={"X-Tamarackgap-Handover": handover})

    def _run(self, request: httpd.Request) -> httpd.Response:
        request_id = request.headers.get("x-tamarackgap-attempt-id", "")
        id_header = {"X-Tamarackgap-Attempt-Id": request_id}
        target_instance = request.headers.get("x-tamarackgap-target-instance")
        key_text = request.headers.get("x-tamarackgap-shard-key")
        shard_key = int(key_text) if key_text else None
        refusal_headers = {**id_header, "X-Tamarackgap-Not-Executed": "1"}
        is_misdirected = self.fault == "misdirect-once"
        if is_misdirected:
            self.fault = ""
        with self._lock:
            if (
                is_misdirected
                or target_instance != self.instance
                or (self._keyed and not self.holds(shard_key))
            ):
                return httpd.Response(421, headers=refusal_headers)
            if self.fault == "full":
                return httpd.Response(503, headers=refusal_headers)
            self._running_keys.append(shard_key)
            self.on_run_started(self, request_id, shard_key)
        time.sleep(self.work_s)
        with self._lock:
            self._running_keys.remove(shard_key)
            self.executed_requests.append((request_id, shard_key))
        if self.crash_path and request.path.startswith(self.crash_path):
            threading.Thread(target=self.stop, daemon=True).start()
            self._stopping.wait(1)
            return httpd.Response(None)
        match self.fault:
            case "cut":
                return httpd.Response(None)
            case "error":
                status = 500
            case "unsigned":
                return httpd.Response(200, b"spoilt", id_header)
            case _:
                status = 200
        answer = {
            "instance": self.instance,
            "path": request.path,
            "origin": request.headers.get("x-tamarackgap-caller-service"),
            "left_ms": request.headers.get("x-tamarackgap-timeout-ms"),
            "body": request.body[:_MAX_ECHO_BYTES].decode("latin-1"),
        }
        return httpd.Response(
            status,
            json.dumps(answer).encode("utf-8"),
            {**id_header, "X-Tamarackgap-Response-Signature": "signed"},
            ends_in_head=self.fault == "cut-head",
            surplus=_REFUSAL if self.fault == "refusal-again" else b"",
            endless=_ENDLESS_CHUNK if self.fault == "endless" else b"",
        )


def _ignore_run(
    server: AppServer, request_id: str, shard_key: int | None
) -> None:
    del server, request_id, shard_key


def _ignore_hold(server: AppServer, hold: keyranges.Hold) -> None:
    del server, hold
