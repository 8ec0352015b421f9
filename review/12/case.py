"""All routers are killed just after a server's leaving was acknowledged."""

import threading
import time

from review.shared3 import cluster

HOST = "seats.example"
# From the acknowledgement of the leaving, seconds.
KILL_AFTER_S = 0.3
BACK_AFTER_S = 1.0
LATE_HEARTBEAT_S = 3.0
SERVER_ENDS_S = 15.0
WATCHED_S = 17.0
CALLERS = 8
CALL_INTERVAL_S = 0.1
WORK_S = 0.2


def play(vms, record):
    """Returns what was broken."""
    for _ in range(6):
        vms.add("seats")
    vms.configure(
        1,
        cluster.route("book", HOST, "/", "seats", idempotent=False),
        cluster.service("seats"),
    )
    vms.start()
    for vm in vms.vms:
        vm.server.work_s = WORK_S
    time.sleep(4.0)
    stopping = threading.Event()

    statuses = {}

    def book(first):
        number = first
        while not stopping.wait(CALL_INTERVAL_S):
            number += 1
            vm = vms.vms[number % len(vms.vms)]
            request_id, status = vms.call(
                vm, HOST, f"/book/{number}", method="POST"
            )
            statuses[request_id] = status

    callers = [
        threading.Thread(target=book, args=(number * 1000,))
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    time.sleep(2.0)

    vm = vms.vms[0]
    server = vm.server
    # The server leaves without reporting `draining`: it sends no heartbeat
    # after its last call. One that it has sent before is late.
    server.send_heartbeat = lambda: True
    time.sleep(1.0)
    late_path, late_body = server.next_heartbeat()
    late_sent_at = time.monotonic()
    record.add(f"server {server.instance} sends a heartbeat that is late")
    status, _, _ = cluster.exchange(
        vm.control_address,
        "POST",
        f"/-/instances/{server.instance}/deregister",
        body=f'{{"born":{server.born_ms}}}',
        timeout=1,
    )
    left_at = time.monotonic()
    record.add(f"leaving of {server.instance} gets {status}", True)
    if status != 200:
        raise cluster.CouldNotRunError("the leaving is not acknowledged")

    def sleep_until(seconds):
        time.sleep(max(0.0, left_at + seconds - time.monotonic()))

    touched_since = 0.0
    if cluster.HAS_TROUBLE:
        sleep_until(KILL_AFTER_S)
        for each in vms.vms:
            each.kill_router()
        sleep_until(BACK_AFTER_S)
        for each in vms.vms:
            each.start_router()
        touched_since = time.monotonic() + cluster.CONTACT_S
    sleep_until(LATE_HEARTBEAT_S)
    status, _, _ = cluster.exchange(
        vm.control_address, "POST", late_path, body=late_body, timeout=2
    )
    record.add(
        f"late heartbeat gets {status}, sent"
        f" {time.monotonic() - late_sent_at:.1f} s before",
        True,
    )
    sleep_until(SERVER_ENDS_S)
    server.stop()
    record.add(f"server {server.instance} ends", True)
    sleep_until(WATCHED_S)
    stopping.set()
    for caller in callers:
        caller.join()

    since = max(left_at + cluster.DRAIN_S, touched_since)
    late_runs = [
        (at - left_at, request_id)
        for request_id, arrivals in vms.arrivals.items()
        for at, ran_by in arrivals
        if ran_by is server and at > since
    ]
    late = [at for at, _ in late_runs]
    lost = [each for _, each in late_runs if statuses.get(each) != 200]
    record.add(
        f"requests that reached the server later: {len(late)}, of these"
        f" without 200: {len(lost)}",
        True,
    )
    if late:
        return (
            f"DRAIN: {len(late)} requests from {min(late):.1f} s to"
            f" {max(late):.1f} s after the acknowledgement"
        )
    return ""


if __name__ == "__main__":
    cluster.run(__file__, play)
