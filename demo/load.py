"""Generates a seeded, mixed load and resends requests without an answer."""

import http.client
import json
import queue
import random
import threading
import time
import urllib.parse

import msgspec

from demo import cluster, deployments

_WORKER_COUNT = 24
_DEADLINE_S = 3.0
_REPORT_DEADLINE_S = 8.0
_KEY_COUNT = 2000
_ZIPF_EXPONENT = 1.1
_MAX_RESENDS = 2


class Result(msgspec.Struct, frozen=True):
    """What one request ended in, after all its attempts.

    Attributes:
        request_id: Id of the request, the same in each attempt.
        key: Its key.
        operation: Method and path.
        idempotent: Whether it may run twice without harm.
        verdict: Verdict of the last attempt; "no-connection" if no daemon
            responded to it.
        reason: Reason of the last refusal, or an empty text.
        answer_error: What is wrong with the answer, or an empty text.
        attempts: How often the request was sent.
        started_at: Monotonic time of the first attempt, seconds.
        latency_s: Time from the first attempt to the end of the last.
        verdicts: Verdicts of all attempts, in order.
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


class Response(msgspec.Struct, frozen=True):
    """The response to one attempt."""

    verdict: str
    reason: str
    body: bytes


class LoadGenerator:
    """Sends requests at open-loop arrival times, over persistent connections.

    Arrivals do not wait for responses. Worker threads send the requests.
    """

    def __init__(
        self,
        running: cluster.Cluster,
        seconds: float,
        rate: float,
        seed: int,
    ) -> None:
        """Prepares a load; nothing is sent yet.

        Args:
            running: The deployment that gets the load.
            seconds: How long requests arrive.
            rate: Mean number of requests per second.
            seed: Seed of arrival times, operations, keys and entries.
        """
        self.cluster = running
        self.results: list[Result] = []
        self._duration_s = seconds
        self._requests_per_s = rate
        self._rng = random.Random(seed)
        self._jobs: queue.Queue = queue.Queue()
        self._lock = threading.Lock()
        weights = [
            1 / (rank + 1) ** _ZIPF_EXPONENT for rank in range(_KEY_COUNT)
        ]
        self._keys = [f"seat-{index}" for index in range(_KEY_COUNT)]
        self._weights = weights

    def run(self) -> None:
        """Generates the load and returns when all requests have ended."""
        workers = [
            threading.Thread(target=self._work, args=(index,), daemon=True)
            for index in range(_WORKER_COUNT)
        ]
        for worker in workers:
            worker.start()
        started_at = time.monotonic()
        arrives_at = started_at
        number = 0
        while arrives_at - started_at < self._duration_s:
            arrives_at += self._rng.expovariate(self._requests_per_s)
            time.sleep(max(0.0, arrives_at - time.monotonic()))
            self._jobs.put((number, *self._choose()))
            number += 1
        for _ in workers:
            self._jobs.put(None)
        for worker in workers:
            worker.join()

    def _choose(self) -> tuple[deployments.Operation, str, int]:
        """Returns a random operation, key and index of the entry's VM."""
        operations = self.cluster.deployment.operations
        shares = [operation.share for operation in operations]
        operation = self._rng.choices(operations, shares)[0]
        key = self._rng.choices(self._keys, self._weights)[0]
        return operation, key, self._rng.randrange(len(self.cluster.vms))

    def _work(self, index: int) -> None:
        connections: dict[str, http.client.HTTPConnection] = {}
        while (job := self._jobs.get()) is not None:
            number, operation, key, entry = job
            result = self._request(connections, number, operation, key, entry)
            with self._lock:
                self.results.append(result)

    def _request(
        self,
        connections: dict[str, http.client.HTTPConnection],
        number: int,
        operation: deployments.Operation,
        key: str,
        entry: int,
    ) -> Result:
        sent_ms = int(time.time() * 1000)
        # `demo.report` reads the time of the first attempt from the id.
        request_id = f"{sent_ms}-{self.cluster.deployment.name}-{number}"
        started_at = time.monotonic()
        verdicts: list[str] = []
        response = Response("no-connection", "", b"")
        for resends in range(1 + _MAX_RESENDS):
            vm = self.cluster.vms[(entry + resends) % len(self.cluster.vms)]
            response = self._send(
                connections,
                vm.http_address,
                operation,
                key,
                request_id,
                resends + 1,
            )
            verdicts.append(response.verdict)
            if response.verdict == "answered":
                break
            time.sleep(0.05)
        answer_error = ""
        if response.verdict == "answered":
            answer_error = _check_answer(
                response.body, request_id, key, operation
            )
        return Result(
            request_id=request_id,
            key=key,
            operation=f"{operation.method} {operation.path}",
            idempotent=operation.method == "GET",
            verdict=response.verdict,
            reason=response.reason,
            answer_error=answer_error,
            attempts=len(verdicts),
            started_at=started_at,
            latency_s=time.monotonic() - started_at,
            verdicts=tuple(verdicts),
        )

    def _send(
        self,
        connections: dict[str, http.client.HTTPConnection],
        address: str,
        operation: deployments.Operation,
        key: str,
        request_id: str,
        attempt: int,
    ) -> Response:
        deadline_s = _DEADLINE_S if operation.urgent else _REPORT_DEADLINE_S
        headers = {
            "X-Request-Id": request_id,
            "X-Attempt": str(attempt),
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
        }
        if not operation.urgent:
            headers["X-Urgency"] = "report"
        path = (
            f"/v1/{operation.service}/{operation.path}?"
            + urllib.parse.urlencode({"key": key})
        )
        body = b"" if operation.method == "GET" else request_id.encode()
        connection = connections.get(address)
        if connection is None:
            host, _, port = address.rpartition(":")
            connection = http.client.HTTPConnection(
                host, int(port), timeout=deadline_s + 1
            )
            connections[address] = connection
        try:
            connection.request(operation.method, path, body, headers)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            connections.pop(address, None)
            return Response("no-connection", "", b"")
        verdict = response.headers.get("X-Verdict", "?")
        reason = ""
        if verdict != "answered":
            reason = json.loads(data).get("reason", "?")
        return Response(verdict, reason, data)


def _check_answer(
    body: bytes, request_id: str, key: str, operation: deployments.Operation
) -> str:
    """Returns what is wrong with an answer, or an empty text."""
    try:
        answer = json.loads(body)
    except ValueError:
        return "the answer is not complete JSON"
    if answer["request"] != request_id or answer["key"] != key:
        return "the answer belongs to another request"
    if operation.method != "GET" and answer["echo"] != request_id:
        return "the answer echoes the body of another request"
    if operation.path not in answer["operation"]:
        return "the answer belongs to another operation"
    return ""
