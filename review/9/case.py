"""After SIGTERM, answers to callers that pipeline and read slowly are cut."""

import math
import os
import pathlib
import random
import socket
import threading
import time

import msgspec

from review.shared2 import deployment
from standins import httpd, platformcluster

_FOLDER = pathlib.Path(__file__).parent
_HOST = "yards.example"
_SERVICE = "stok-servis"
_ZONES = ("trabzon", "rize", "giresun")
# Figures of the site.
_SETTINGS = {
    "limits.memory_mb|json": "200",
    "limits.link_mbps|json": "10.0",
    "bounds.retry_budget_extra": "194",
    "bounds.cold_overage": "1.5",
    "bounds.cold_slack": "8",
}
_WORK_S = 0.09
_SLOTS = 6
_TIMEOUT_MS = 1200
_OBJECTIVE_MS = 300
_MEAN_BYTES = 5000
_SPREAD = 0.6
_MAX_BYTES = 30_000
# Requests of a connection arise at random times, this far apart in the mean, so
# 20 a second for a machine; at most so many are under way.
_INTERVAL_S = 0.3
_DEPTH = 3
_CLIENTS_PER_MACHINE = 6
_READ_BYTES_PER_S = 40_000
_READ_BYTES = 2048
# Small windows, as the links of the deployments have.
_RECEIVE_BUFFER_BYTES = 4096
_CALM_S = 5.0
_GRACE_S = 6.0
_RESTART_S = 0.5
_READY_S = 20.0
_READINESS_INTERVAL_S = 1.0
_MISSES = 2


class _StockServer(deployment.Server):
    """A server whose answers have the sizes of the site."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self._rng = random.Random(1)

    def _run(self, request: httpd.Request) -> httpd.Response:
        response = super()._run(request)
        if response.status != 200:
            return response
        location = math.log(_MEAN_BYTES) - _SPREAD**2 / 2
        size = min(_MAX_BYTES, self._rng.lognormvariate(location, _SPREAD))
        # Spaces after a JSON value belong to no value.
        return msgspec.structs.replace(
            response, body=response.body.ljust(round(size))
        )


class _Sent(msgspec.Struct):
    """A request that a client has sent.

    Attributes:
        request_id: Its id.
        sent_at: When it was sent, monotonic seconds.
        ended_at: When its answer was complete or its connection ended.
        status: Status of its complete answer; 0 if there was none.
        received: Bytes of an incomplete answer that were received.
    """

    request_id: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    received: int = 0


class _Client:
    """A client that pipelines requests and reads their answers slowly.

    Attributes:
        ended: The requests that have ended.
    """

    def __init__(
        self,
        system: deployment.Deployment,
        machine: deployment.Machine,
        stop: threading.Event,
        seed: int,
    ) -> None:
        self.ended: list[_Sent] = []
        self._system = system
        self._machine = machine
        self._stop = stop
        self._rng = random.Random(seed)
        # When the next request arises, monotonic seconds.
        self._due_at = 0.0
        self._pending: list[_Sent] = []
        self._thread = threading.Thread(target=self._work, daemon=True)
        self._thread.start()

    def join(self) -> None:
        """Waits until all answers have been read."""
        self._thread.join(10.0)

    def _work(self) -> None:
        while not self._stop.is_set():
            try:
                self._use_connection()
            except (OSError, EOFError) as error:
                for number, request in enumerate(self._pending):
                    request.ended_at = time.monotonic()
                    if number:
                        request.received = 0
                    self._system.record.add(
                        f"{request.request_id} has no complete answer after"
                        f" {request.ended_at - request.sent_at:.3f} s,"
                        f" {request.received} bytes were received: {error!r}"
                    )
                self.ended += self._pending
                self._pending = []
                time.sleep(0.05)

    def _use_connection(self) -> None:
        """Sends requests until the connection is to be closed.

        Raises:
            OSError: If the connection breaks.
            EOFError: If it ends early.
        """
        host, _, port = self._machine.callers.rpartition(":")
        with socket.socket() as link:
            link.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
            link.settimeout(2 * _TIMEOUT_MS / 1000)
            link.connect((host, int(port)))
            unread = b""
            is_last = False
            while not is_last:
                if not self._pending:
                    if self._stop.is_set():
                        return
                    self._send(link)
                head, unread = self._read_until_head(link, unread)
                is_last = "connection: close" in head.lower()
                length = int(
                    head.lower().split("content-length:")[1].split()[0]
                )
                while len(unread) < length:
                    self._pending[0].received = len(unread)
                    # What is behind this answer has not been read yet.
                    unread += self._read(link, is_last)
                unread = unread[length:]
                self._end_first(int(head.split()[1]))
        # What was sent behind a closing answer counts as not read.
        for request in self._pending:
            self._system.record.add(f"{request.request_id} was not read")
        self._pending = []

    def _send(self, link: socket.socket) -> None:
        request = _Sent(self._system.new_id(), time.monotonic())
        self._due_at = request.sent_at + self._rng.expovariate(1 / _INTERVAL_S)
        self._pending.append(request)
        link.sendall(
            f"GET /sorgu/lot HTTP/1.1\r\nHost: {_HOST}\r\n"
            f"X-Tamarackgap-Attempt-Id: {request.request_id}\r\n"
            f"X-Tamarackgap-Timeout-Ms: {_TIMEOUT_MS}\r\n"
            f"X-Tamarackgap-Shard-Key: {self._rng.randrange(65_536)}\r\n"
            "\r\n".encode()
        )
        self._system.record.add(
            f"{request.request_id} sent to {self._machine.name}"
        )

    def _read(self, link: socket.socket, is_last: bool) -> bytes:
        """Sends the request that is due, if any, and reads some bytes.

        Args:
            link: The connection.
            is_last: Whether a head has been read that closes the connection;
                nothing more is sent then.
        """
        if (
            not is_last
            and len(self._pending) < _DEPTH
            and time.monotonic() >= self._due_at
            and not self._stop.is_set()
        ):
            self._send(link)
        time.sleep(_READ_BYTES / _READ_BYTES_PER_S)
        data = link.recv(_READ_BYTES)
        if not data:
            raise EOFError("the connection has ended")
        return data

    def _read_until_head(
        self, link: socket.socket, unread: bytes
    ) -> tuple[str, bytes]:
        """Returns the head of the next answer, and what was read behind it."""
        while b"\r\n\r\n" not in unread:
            self._pending[0].received = len(unread)
            unread += self._read(link, _has_close(unread))
        head, _, unread = unread.partition(b"\r\n\r\n")
        return head.decode("latin-1"), unread

    def _end_first(self, status: int) -> None:
        request = self._pending.pop(0)
        request.ended_at = time.monotonic()
        request.status = status
        self.ended.append(request)
        self._system.record.add(f"{request.request_id} answered {status}")


def _has_close(text: bytes) -> bool:
    """Returns whether a head, complete or not, says that it is the last one."""
    return b"connection: close" in text.lower()


def main() -> int:
    """Runs the case; returns the exit status."""
    has_trouble = os.environ.get("TROUBLE") != "0"
    record = deployment.Record(_FOLDER / "record.txt")
    record.add(f"TROUBLE={int(has_trouble)}")
    system = deployment.Deployment(record, _SETTINGS)
    try:
        return _run(system, has_trouble)
    finally:
        system.stop()


def _run(system: deployment.Deployment, has_trouble: bool) -> int:
    record = system.record
    system.configure(
        1,
        platformcluster.route(
            "stock",
            _HOST,
            "/sorgu/",
            _SERVICE,
            timeout_ms=_TIMEOUT_MS,
            target_latency_ms=_OBJECTIVE_MS,
        ),
        platformcluster.service(_SERVICE, keyed=True),
    )
    for number, zone in enumerate(_ZONES):
        machine = system.add(f"yard-{number}", _SERVICE, zone)
        server = machine.start_server(True, _WORK_S, _StockServer)
        server.slots = _SLOTS
        machine.start()
    if not platformcluster.wait_until(_READY_S, lambda: _serves(system)):
        record.add("the deployment does not serve")
        return 2
    time.sleep(_CALM_S)
    stops = {name: threading.Event() for name in system.machines}
    clients = {
        name: [
            _Client(system, machine, stops[name], seed)
            for seed in range(_CLIENTS_PER_MACHINE)
        ]
        for name, machine in system.machines.items()
    }
    time.sleep(_CALM_S)
    signalled_at = {}
    for name, machine in system.machines.items():
        signalled_at[name] = time.monotonic()
        if has_trouble:
            _restart(system, machine, stops[name])
        time.sleep(_CALM_S)
    for stop in stops.values():
        stop.set()
    for client in sum(clients.values(), []):
        client.join()
    return _judge(system, clients, signalled_at)


def _restart(
    system: deployment.Deployment,
    machine: deployment.Machine,
    stop: threading.Event,
) -> None:
    """Stops a daemon as planned work does, and starts it again.

    Args:
        system: The deployment.
        machine: The daemon's machine.
        stop: Ends the machine's clients.
    """
    machine.process.terminate()
    system.record.add(f"SIGTERM to the daemon of {machine.name}")
    # Its clients get no further work after two misses.
    _await_misses(machine)
    stop.set()
    system.record.add(f"{machine.name} is out after two misses")
    status = machine.process.wait(_GRACE_S + 2)
    system.record.add(f"the daemon has ended with {status}")
    time.sleep(_RESTART_S)
    machine.start()
    platformcluster.wait_until(_READY_S, machine.is_ready)


def _judge(
    system: deployment.Deployment,
    clients: dict[str, list[_Client]],
    signalled_at: dict[str, float],
) -> int:
    """Counts answers that were cut off; returns the exit status.

    Args:
        system: The deployment.
        clients: The clients by machine.
        signalled_at: When each machine was stopped, monotonic seconds.
    """
    complete = {
        request_id
        for machine in system.machines.values()
        for request_id, _ in machine.server.executed_requests
    }
    broken = seen = 0
    for name, begins_at in signalled_at.items():
        for each in sum((client.ended for client in clients[name]), []):
            # Up to the last sixth of the time until SIGKILL.
            if not begins_at < each.ended_at < begins_at + _GRACE_S * 5 / 6:
                continue
            seen += 1
            if (
                each.status
                or each.request_id not in complete
                or each.ended_at >= each.sent_at + _TIMEOUT_MS / 1000
            ):
                continue
            broken += 1
            system.record.add(
                f"{each.request_id}: sent {each.sent_at - begins_at:+.3f} s"
                f" from the signal to {name}, run to its end by a server,"
                " connection broken after"
                f" {each.ended_at - each.sent_at:.3f} s"
                f" and {each.received} bytes"
            )
    system.record.add(
        f"LOST: {broken} of {seen} requests that ended then have no complete"
        " answer though a server ran them to their end"
    )
    if not seen:
        return 2
    return 1 if broken else 0


def _await_misses(machine: deployment.Machine) -> None:
    misses = 0
    while misses < _MISSES:
        misses = 0 if machine.is_ready() else misses + 1
        time.sleep(_READINESS_INTERVAL_S)


def _serves(system: deployment.Deployment) -> bool:
    machines = system.machines.values()
    return all(machine.is_ready() for machine in machines) and all(
        system.call(machine, _HOST, "/sorgu/lot", "GET", key=key)[0] == 200
        for machine in machines
        for key in range(0, 65_536, 8192)
    )


if __name__ == "__main__":
    deployment.run(main)
