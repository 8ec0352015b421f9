"""Checks how daemons handle targets that crash, hang or refuse requests.

Targets that report false health or stop announcing themselves are included.
"""

import json
import signal
import socket
import time

import pytest

from demo import cluster
from tests.support import callers, clusters

CRASHING_BODY = b"crash-the-target"
# The first crash, and one trial in which the request runs alone.
MAX_CRASHES = 2


@pytest.fixture
def running(tmp_path):
    started = clusters.small_cluster(tmp_path)
    yield started
    started.stop()


def crash_count(running):
    return sum(vm.target_process.poll() == 1 for vm in running.vms)


@pytest.mark.parametrize("idempotent", ["true", "false"])
def test_a_request_that_crashes_targets_is_refused_after_one_trial(
    running, idempotent
):
    entries = [vm for vm in running.vms if vm.service == "payments"]
    replies = []
    for number in range(9):
        replies.append(
            callers.send_request(
                entries[number % 3],
                "POST",
                "/v1/seats/browse?key=k",
                CRASHING_BODY,
                X_Request_Id=f"poison-{number}",
                X_Attempt="1",
                X_Idempotent=idempotent,
                X_Deadline_Ms="9000",
            )
        )
    reasons = [json.loads(reply[2])["reason"] for reply in replies]
    assert crash_count(running) <= MAX_CRASHES
    assert replies[0][1] == "may-have-run"
    assert replies[-1][:2] == (422, "not-run")
    assert reasons[-1] == "crashes-targets"
    other_reply = callers.send_request(
        entries[0], "GET", "/v1/seats/browse?key=k", X_Deadline_Ms="9000"
    )
    assert other_reply[0] == 200


def test_requests_in_progress_when_a_target_crashes_are_served(running):
    owner = callers.owner_of(running, "payments", "k")
    entry = next(vm for vm in running.vms if vm.service == "seats")
    slow_path = "/v1/payments/roster?key=k"
    host, _, port = entry.http_address.rpartition(":")
    connections = []
    for number in range(2):
        connection = socket.create_connection((host, int(port)), timeout=30)
        connection.sendall(
            f"GET {slow_path}&n={number} HTTP/1.1\r\nHost: h\r\n"
            "X-Deadline-Ms: 20000\r\n\r\n".encode()
        )
        connections.append(connection)
    owner.target_process.kill()
    owner.target_process.wait()
    for connection in connections:
        assert b" 200 " in connection.recv(4096).split(b"\r\n")[0]
        connection.close()


def test_a_target_that_hangs_loses_its_slots(running):
    owner = callers.owner_of(running, "seats", "k")
    entry = next(vm for vm in running.vms if vm.service == "payments")
    owner.target_process.send_signal(signal.SIGSTOP)
    try:
        reply = callers.send_request(
            entry, "GET", "/v1/seats/browse?key=k", X_Deadline_Ms="20000"
        )
        assert reply[0] in (200, 504)
        callers.wait_until(
            lambda: (
                callers.send_request(
                    entry,
                    "GET",
                    "/v1/seats/browse?key=k",
                    X_Deadline_Ms="2000",
                )[0]
                == 200
            )
        )
        new_owner = callers.owner_of(running, "seats", "k", entry=-1)
        assert new_owner is not owner
    finally:
        owner.target_process.send_signal(signal.SIGCONT)


def test_a_working_target_that_reports_bad_health_keeps_its_slots(running):
    owner = callers.owner_of(running, "seats", "k")
    false_report = {"health": "dead", "load": 9999}
    cluster.call(owner.target_address, "POST", "/faults", false_report)
    entry = running.vms[-1]
    reply = callers.send_request(entry, "GET", "/v1/seats/browse?key=k")
    assert json.loads(reply[2])["target"] == owner.name


def test_a_target_that_stops_announcing_but_serves_keeps_its_slots(running):
    owner = callers.owner_of(running, "seats", "k")
    entry = running.vms[-1]
    cluster.call(owner.target_address, "POST", "/faults", {"silent": True})
    for _ in range(25):
        reply = callers.send_request(entry, "GET", "/v1/seats/browse?key=k")
        assert json.loads(reply[2])["target"] == owner.name
        owner.target_process.poll()
        time.sleep(0.12)


def test_a_request_that_every_target_sheds_is_reported_as_not_run(running):
    for vm in running.vms:
        if vm.service == "payments":
            cluster.call(vm.target_address, "POST", "/faults", {"shed": True})
    reply = callers.send_request(
        running.vms[0],
        "POST",
        "/v1/payments/pay?key=k",
        # The retry budget ends the request long before this deadline.
        X_Deadline_Ms="30000",
        X_Request_Id="shed-1",
        X_Attempt="1",
    )
    assert reply[:2] == (503, "not-run")
    assert json.loads(reply[2])["reason"] == "target-refused"
    assert [
        run for run in running.run_records() if run.request == "shed-1"
    ] == []


def test_a_request_is_cancelled_when_its_caller_disconnects(running):
    entry = next(vm for vm in running.vms if vm.service == "seats")
    owner = callers.owner_of(running, "payments", "gone")
    cluster.call(owner.target_address, "POST", "/faults", {"extra_s": 2.0})
    host, _, port = entry.http_address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=30) as connection:
        connection.sendall(
            b"POST /v1/payments/roster?key=gone HTTP/1.1\r\nHost: h\r\n"
            b"X-Request-Id: gone-1\r\nX-Attempt: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        callers.wait_until(
            lambda: any(
                "request=gone-1" in line
                for line in running.log_lines("handed_over")
            )
        )
    callers.wait_until(
        lambda: any(
            "request=gone-1" in line for line in running.log_lines("request")
        )
    )
    time.sleep(2.5)
    assert [
        run for run in running.run_records() if run.request == "gone-1"
    ] == []
