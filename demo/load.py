"""Callers: a seeded, mixed load, with resends of what was not answered."""

import http.client
import json
import queue
import random
import threading
import time
import urllib.parse

import msgspec

from demo import cluster, deployments

_WORKERS = 24
_DEADLINE_S = 3.0
_SLOW_DEADLINE_S = 8.0
_KEYS = 2000
_ZIPF = 1.1
_RESENDS = 2


class Result(msgspec.Struct, frozen=True):
    """What a caller got for one request, after its resends.

    Attributes:
        request_id: The request's id.
        key: The key.
        operation: Method and path.
        idempotent: Whether running it twice does no harm.
        verdict: The last verdict; "no-connection" where there was none.
        reason: Reason of a refusal.
        answer_error: What was wrong with the answer, if anything.
        attempts: How often it was sent.
        started_at: Monotonic time of the first sending, seconds.
        latency_s: Time until the last answer.
        verdicts: All verdicts in order.
    """

    request_id: str
    key: str
    operation: str
    idempotent: bool
    verdict: str
    reason: str
    answer_error: str
    attempts: int
    started_at: float
    latency_s: float
    verdicts: tuple[str, ...]


class Reply(msgspec.Struct, frozen=True):
    """One sending's outcome."""

    verdict: str
    reason: str
    body: bytes


class LoadGenerator:
    """Open-loop arrivals, worked off by threads with kept connections."""

    def __init__(
        self,
        running: cluster.Cluster,
        seconds: float,
        rate: float,
        seed: int,
    ) -> None:
        """Plans a load of `rate` requests a second for `seconds`."""
        self.cluster = running
        self.results: list[Result] = []
        self._seconds = seconds
        self._rate = rate
        self._rng = random.Random(seed)
        self._jobs: queue.Queue = queue.Queue()
        self._lock = threading.Lock()
        weights = [1 / (rank + 1) ** _ZIPF for rank in range(_KEYS)]
        self._keys = [f"seat-{index}" for index in range(_KEYS)]
        self._weights = weights

    def run(self) -> None:
        """Drives the load, and returns when all requests are done."""
        workers = [
            threading.Thread(target=self._work, args=(index,), daemon=True)
            for index in range(_WORKERS)
        ]
        for worker in workers:
            worker.start()
        begun = time.monotonic()
        due = begun
        number = 0
        while due - begun < self._seconds:
            due += self._rng.expovariate(self._rate)
            time.sleep(max(0.0, due - time.monotonic()))
            self._jobs.put((number, *self._choose()))
            number += 1
        for _ in workers:
            self._jobs.put(None)
        for worker in workers:
            worker.join()

    def _choose(self) -> tuple[deployments.Operation, str, int]:
        operations = self.cluster.deployment.operations
        shares = [operation.share for operation in operations]
        operation = self._rng.choices(operations, shares)[0]
        key = self._rng.choices(self._keys, self._weights)[0]
        return operation, key, self._rng.randrange(len(self.cluster.vms))

    def _work(self, index: int) -> None:
        links: dict[str, http.client.HTTPConnection] = {}
        while (job := self._jobs.get()) is not None:
            number, operation, key, entry = job
            done = self._request(links, number, operation, key, entry)
            with self._lock:
                self.results.append(done)

    def _request(
        self,
        links: dict[str, http.client.HTTPConnection],
        number: int,
        operation: deployments.Operation,
        key: str,
        entry: int,
    ) -> Result:
        sent_ms = int(time.time() * 1000)
        request = f"{sent_ms}-{self.cluster.deployment.name}-{number}"
        begun = time.monotonic()
        verdicts: list[str] = []
        reply = Reply("no-connection", "", b"")
        for send in range(1 + _RESENDS):
            place = self.cluster.vms[(entry + send) % len(self.cluster.vms)]
            reply = self._send(
                links, place.http_address, operation, key, request, send + 1
            )
            verdicts.append(reply.verdict)
            if reply.verdict == "answered":
                break
            time.sleep(0.05)
        wrong = ""
        if reply.verdict == "answered":
            wrong = _check(reply.body, request, key, operation)
        return Result(
            request_id=request,
            key=key,
            operation=f"{operation.method} {operation.path}",
            idempotent=operation.method == "GET",
            verdict=reply.verdict,
            reason=reply.reason,
            answer_error=wrong,
            attempts=len(verdicts),
            started_at=begun,
            latency_s=time.monotonic() - begun,
            verdicts=tuple(verdicts),
        )

    def _send(
        self,
        links: dict[str, http.client.HTTPConnection],
        address: str,
        operation: deployments.Operation,
        key: str,
        request: str,
        attempt: int,
    ) -> Reply:
        deadline = _DEADLINE_S if operation.urgent else _SLOW_DEADLINE_S
        headers = {
            "X-Request-Id": request,
            "X-Attempt": str(attempt),
            "X-Deadline-Ms": str(int(deadline * 1000)),
        }
        if not operation.urgent:
            headers["X-Urgency"] = "report"
        path = (
            f"/v1/{operation.service}/{operation.path}?"
            + urllib.parse.urlencode({"key": key})
        )
        body = b"" if operation.method == "GET" else request.encode()
        link = links.get(address)
        if link is None:
            host, _, port = address.rpartition(":")
            link = http.client.HTTPConnection(
                host, int(port), timeout=deadline + 1
            )
            links[address] = link
        try:
            link.request(operation.method, path, body, headers)
            answer = link.getresponse()
            data = answer.read()
        except (OSError, http.client.HTTPException):
            link.close()
            links.pop(address, None)
            return Reply("no-connection", "", b"")
        verdict = answer.headers.get("X-Verdict", "?")
        reason = ""
        if verdict != "answered":
            reason = json.loads(data).get("reason", "?")
        return Reply(verdict, reason, data)


def _check(
    body: bytes, request: str, key: str, operation: deployments.Operation
) -> str:
    """Returns what is wrong with an answer, or an empty text."""
    try:
        found = json.loads(body)
    except ValueError:
        return "not whole"
    if found["request"] != request or found["key"] != key:
        return "somebody else's answer"
    if operation.method != "GET" and found["echo"] != request:
        return "somebody else's body"
    if operation.path not in found["operation"]:
        return "another operation"
    return ""
