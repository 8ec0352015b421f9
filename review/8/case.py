"""After its daemon starts anew, a server that has left is used again."""

import os
import pathlib
import threading
import time

from review.shared2 import deployment, proxy
from standins import platformcluster

_FOLDER = pathlib.Path(__file__).parent
_HOST = "seats.example"
_WORK_S = 0.078
# One server of five leaves.
_OTHER_ZONES = ("alajuela", "cartago", "alajuela", "cartago")
_TIMEOUT_MS = 1000
# The last heartbeat arrives this late.
_LATE_S = 4.0
# How long the server serves on after its leaving was acknowledged.
_STAY_S = 12.0
# From its end to its next start.
_RESTART_S = 0.5
_DRAIN_S = 2.0
# A machine is in touch again this long after the start of its daemon.
_CONTACT_S = 3.0
_CLIENTS = 12
_PAUSE_S = 0.05
_READY_S = 20.0


def main() -> int:
    """Runs the case; returns the exit status."""
    has_trouble = os.environ.get("TROUBLE") != "0"
    record = deployment.Record(_FOLDER / "record.txt")
    record.add(f"TROUBLE={int(has_trouble)}")
    system = deployment.Deployment(record)
    try:
        return _run(system, has_trouble)
    finally:
        system.stop()


def _run(system: deployment.Deployment, has_trouble: bool) -> int:
    record = system.record
    front = system.add("front", "catalogo", "heredia")
    leaver = system.add("desk-1", "reservas", "cartago")
    for number, zone in enumerate(_OTHER_ZONES, 2):
        system.add(f"desk-{number}", "reservas", zone)
    late = proxy.LateProxy(f"127.0.0.1:{system.take_ports(1)}", leaver.control)
    leaver.heartbeats = late.address
    system.configure(
        1,
        platformcluster.route(
            "reserve",
            _HOST,
            "/seat-reserve/",
            "reservas",
            idempotent=False,
            timeout_ms=_TIMEOUT_MS,
            target_latency_ms=250,
        ),
        platformcluster.route("browse", _HOST, "/browse/", "catalogo"),
        platformcluster.service("catalogo"),
        platformcluster.service("reservas"),
    )
    for machine in system.machines.values():
        machine.start_server(False, _WORK_S)
        machine.start()
    if not platformcluster.wait_until(_READY_S, lambda: _serves(system)):
        record.add("the deployment does not serve")
        return 2
    stop = threading.Event()
    answers: dict[str, tuple[int, str]] = {}
    sent: dict[str, float] = {}
    clients = [
        threading.Thread(
            target=_send_requests,
            args=(system, front, stop, answers, sent),
            daemon=True,
        )
        for _ in range(_CLIENTS)
    ]
    for client in clients:
        client.start()
    server = leaver.server
    time.sleep(3.0)
    if not server.arrivals:
        record.add("the server that is to leave gets no requests")
        return 2
    if has_trouble:
        late.delay_s = _LATE_S
    # One more heartbeat, and the server gives up waiting for its answer.
    server.is_silent.set()
    is_answered = server.send_heartbeat()
    late.delay_s = 0.0
    record.add(f"last heartbeat of {server.instance} answered: {is_answered}")
    status = server.deregister(leaver.control)
    record.add(f"{server.instance} leaves: {status}")
    if server.acknowledged_at is None:
        return 2
    leaver.process.kill()
    leaver.process.wait()
    time.sleep(_RESTART_S)
    leaver.start()
    restarted_at = time.monotonic()
    record.add("the daemon beside it was killed, and has been started again")
    time.sleep(_STAY_S)
    server.stop()
    record.add(f"{server.instance} has ended")
    time.sleep(2.0)
    stop.set()
    for client in clients:
        client.join()
    limit = max(server.acknowledged_at + _DRAIN_S, restarted_at + _CONTACT_S)
    # Also sent by their clients later than that, so that both machines that
    # passed them on were in touch.
    broken = [
        arrival
        for arrival in server.arrivals
        if arrival[0] > limit and sent.get(arrival[1], 0.0) > limit
    ]
    for at, request_id, _ in broken:
        record.add(
            f"{request_id} reached {server.instance}"
            f" {at - server.acknowledged_at:.3f} s after the acknowledgement,"
            f" answer {answers.get(request_id)}"
        )
    lost = sum(
        answers.get(request_id, (0, ""))[0] in (0, 502, 504)
        for _, request_id, _ in broken
    )
    record.add(
        f"DRAIN: {len(broken)} requests reached a server that had left more"
        f" than {_DRAIN_S} s before, from machines in touch; {lost} of them"
        " were lost"
    )
    return 1 if broken else 0


def _serves(system: deployment.Deployment) -> bool:
    if not all(machine.is_ready() for machine in system.machines.values()):
        return False
    return all(
        system.call(machine, _HOST, path)[0] == 200
        for machine in system.machines.values()
        for path in ("/seat-reserve/x", "/browse/x")
    )


def _send_requests(
    system: deployment.Deployment,
    front: deployment.Machine,
    stop: threading.Event,
    answers: dict[str, tuple[int, str]],
    sent: dict[str, float],
) -> None:
    while not stop.is_set():
        sent_at = time.monotonic()
        status, request_id, body = system.call(
            front, _HOST, "/seat-reserve/seat", timeout_ms=_TIMEOUT_MS
        )
        sent[request_id] = sent_at
        answers[request_id] = (status, deployment.instance_of(body))
        system.record.add(
            f"{request_id} answered {status} {answers[request_id][1]}"
        )
        time.sleep(_PAUSE_S)


if __name__ == "__main__":
    deployment.run(main)
