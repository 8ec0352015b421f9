"""The store comes back from an older copy; two servers get the same keys."""

import os
import pathlib
import random
import signal
import threading
import time

from review.shared2 import deployment, overlaps
from standins import platformcluster

_FOLDER = pathlib.Path(__file__).parent
_HOST = "yards.example"
_ZONES = ("norte", "sur", "salcedo")
_KEYED = 2
_WORK_S = 0.01
_TIMEOUT_MS = 2141
_OBJECTIVE_MS = 937
_CLIENTS = 8
_PAUSE_S = 0.005
_READY_S = 25.0
# The others give keys to a daemon that was restarted within this time.
_REJOIN_S = 25.0
_COPY_INTERVAL_S = 3.0
# How long the store is away before it comes back.
_AWAY_S = 1.0
_ALL_KEYS = range(0, 65_536, 8_192)


def main() -> int:
    """Runs the case; returns the exit status."""
    has_trouble = os.environ.get("TROUBLE") != "0"
    record = deployment.Record(_FOLDER / "record.txt")
    record.add(f"TROUBLE={int(has_trouble)}")
    system = deployment.Deployment(record)
    system.store.era = 1
    try:
        return _run(system, has_trouble)
    finally:
        system.stop()


def _run(system: deployment.Deployment, has_trouble: bool) -> int:
    record = system.record
    system.configure(
        1,
        platformcluster.route(
            "release-order",
            _HOST,
            "/",
            "patio-despacho",
            idempotent=False,
            timeout_ms=_TIMEOUT_MS,
            target_latency_ms=_OBJECTIVE_MS,
        ),
        platformcluster.service("patio-despacho", keyed=True),
        platformcluster.service("archivo-inspeccion"),
    )
    check = overlaps.OwnerCheck(record, [])
    for index, zone in enumerate(_ZONES[:_KEYED]):
        machine = system.add(f"patio-{index}", "patio-despacho", zone)
        check.watch(machine.start_server(True, _WORK_S))
        machine.start()
    machines = list(system.machines.values())
    for index, zone in enumerate(_ZONES):
        machine = system.add(f"archivo-{index}", "archivo-inspeccion", zone)
        machine.start_server(False, _WORK_S)
        machine.start()
    if not platformcluster.wait_until(_READY_S, lambda: _serves(system)):
        record.add("the deployment does not serve")
        return 2
    check.start()
    stop = threading.Event()
    clients = [
        threading.Thread(
            target=_send_requests, args=(system, number, stop), daemon=True
        )
        for number in range(_CLIENTS)
    ]
    for client in clients:
        client.start()
    time.sleep(3.0)
    # Machines are stopped and started in turn: the first one.
    _restart(system, machines[0])
    copied_at = float("-inf")
    giver = None
    give_up_at = time.monotonic() + _REJOIN_S
    # The last copy from before the move.
    while giver is None:
        if time.monotonic() > give_up_at:
            record.add("no keys have moved to the machine that was restarted")
            return 2
        if time.monotonic() - copied_at > _COPY_INTERVAL_S:
            copy = system.store.copy()
            copied_at = time.monotonic()
            held = _held_keys(machines)
        time.sleep(0.05)
        giver = _find_giver(machines, held)
    record.add(f"{giver.name} has given keys away since the copy")
    time.sleep(1.0)
    if has_trouble:
        system.store.failure_status = 503
        time.sleep(_AWAY_S)
        system.store.restore(copy)
        system.store.failure_status = None
        age_s = time.monotonic() - copied_at
        record.add(f"the store is back from a copy {age_s:.1f} s old")
    else:
        time.sleep(_AWAY_S)
    time.sleep(4.0)
    # The next one.
    _restart(system, giver)
    time.sleep(8.0)
    stop.set()
    for client in clients:
        client.join()
    check.stop()
    record.add(f"OWNER: {dict(check.broken)}")
    return 1 if check.broken else 0


def _held_keys(machines: list[deployment.Machine]) -> dict[str, set[int]]:
    """Returns which of evenly spread keys each server holds."""
    return {
        machine.name: {
            key
            for hold in machine.server.live_holds
            for key in range(-(-hold.first // 256) * 256, hold.last + 1, 256)
        }
        for machine in machines
    }


def _find_giver(
    machines: list[deployment.Machine], held: dict[str, set[int]]
) -> deployment.Machine | None:
    """Returns a machine that has given keys away, once the first one has some.

    Args:
        machines: All machines; the first one was restarted.
        held: The keys that each of them held before.
    """
    now = _held_keys(machines)
    if not now[machines[0].name]:
        return None
    given = {
        machine.name: len(held[machine.name] - now[machine.name])
        for machine in machines[1:]
    }
    most = max(machines[1:], key=lambda machine: given[machine.name])
    return most if given[most.name] else None


def _restart(
    system: deployment.Deployment, machine: deployment.Machine
) -> None:
    """Stops a daemon as planned work does, and starts it again."""
    system.record.add(f"SIGTERM to {machine.name}")
    machine.process.send_signal(signal.SIGTERM)
    machine.process.wait()
    time.sleep(0.5)
    machine.start()
    system.record.add(f"{machine.name} started again")
    platformcluster.wait_until(3.0, machine.is_ready)


def _serves(system: deployment.Deployment) -> bool:
    machines = system.machines.values()
    return all(machine.is_ready() for machine in machines) and all(
        system.call(machine, _HOST, "/x", key=key)[0] == 200
        for machine in machines
        for key in _ALL_KEYS
    )


def _send_requests(
    system: deployment.Deployment, number: int, stop: threading.Event
) -> None:
    rng = random.Random(number)
    while not stop.is_set():
        machine = rng.choice(list(system.machines.values()))
        key = rng.randrange(65_536)
        status, request_id, body = system.call(
            machine, _HOST, "/release", key=key, timeout_ms=_TIMEOUT_MS
        )
        system.record.add(
            f"{request_id} key {key} sent to {machine.name}, answered {status}"
            f" {deployment.instance_of(body)}"
        )
        time.sleep(_PAUSE_S)


if __name__ == "__main__":
    deployment.run(main)
