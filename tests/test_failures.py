"""Targets that crash, hang, fall silent or refuse, as real processes."""

import json
import signal
import socket
import time

import pytest

from demo import cluster
from tests.support import callers, clusters

POISON = b"crash-the-target"
# The first crash, and the one trial on its own.
MOST_CRASHES = 2


@pytest.fixture
def running(tmp_path):
    found = clusters.small_cluster(tmp_path)
    yield found
    found.stop()


def crashes(running):
    return sum(place.target_process.poll() == 1 for place in running.vms)


@pytest.mark.parametrize("idempotent", ["true", "false"])
def test_a_request_that_crashes_targets_is_stopped(running, idempotent):
    entries = [p for p in running.vms if p.service == "payments"]
    replies = []
    for number in range(9):
        replies.append(
            callers.send_request(
                entries[number % 3],
                "POST",
                "/v1/seats/browse?key=k",
                POISON,
                X_Request_Id=f"poison-{number}",
                X_Attempt="1",
                X_Idempotent=idempotent,
                X_Deadline_Ms="9000",
            )
        )
    reasons = [json.loads(reply[2])["reason"] for reply in replies]
    assert crashes(running) <= MOST_CRASHES
    assert replies[0][1] == "may-have-run"
    assert replies[-1][:2] == (422, "not-run")
    assert reasons[-1] == "crashes-targets"
    fair = callers.send_request(
        entries[0], "GET", "/v1/seats/browse?key=k", X_Deadline_Ms="9000"
    )
    assert fair[0] == 200


def test_a_request_that_stood_beside_a_crash_is_served(running):
    place = callers.owner_of(running, "payments", "k")
    entry = next(p for p in running.vms if p.service == "seats")
    slow = "/v1/payments/roster?key=k"
    host, _, port = entry.http_address.rpartition(":")
    links = []
    for number in range(2):
        link = socket.create_connection((host, int(port)), timeout=30)
        link.sendall(
            f"GET {slow}&n={number} HTTP/1.1\r\nHost: h\r\n"
            "X-Deadline-Ms: 20000\r\n\r\n".encode()
        )
        links.append(link)
    place.target_process.kill()
    place.target_process.wait()
    for link in links:
        assert b" 200 " in link.recv(4096).split(b"\r\n")[0]
        link.close()


def test_a_target_that_hangs_loses_its_slots(running):
    place = callers.owner_of(running, "seats", "k")
    entry = next(p for p in running.vms if p.service == "payments")
    place.target_process.send_signal(signal.SIGSTOP)
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
        now = callers.owner_of(running, "seats", "k", entry=-1)
        assert now is not place
    finally:
        place.target_process.send_signal(signal.SIGCONT)


def test_a_target_that_lies_about_its_health_is_not_trusted(running):
    place = callers.owner_of(running, "seats", "k")
    lies = {"health": "dead", "load": 9999}
    cluster.call(place.target_address, "POST", "/faults", lies)
    entry = running.vms[-1]
    reply = callers.send_request(entry, "GET", "/v1/seats/browse?key=k")
    assert json.loads(reply[2])["target"] == place.name


def test_a_silent_target_that_serves_keeps_its_slots(running):
    place = callers.owner_of(running, "seats", "k")
    entry = running.vms[-1]
    cluster.call(place.target_address, "POST", "/faults", {"silent": True})
    for _ in range(25):
        reply = callers.send_request(entry, "GET", "/v1/seats/browse?key=k")
        assert json.loads(reply[2])["target"] == place.name
        place.target_process.poll()
        time.sleep(0.12)


def test_a_target_that_sheds_all_work_is_truthfully_refused(running):
    for place in running.vms:
        if place.service == "payments":
            cluster.call(
                place.target_address, "POST", "/faults", {"shed": True}
            )
    reply = callers.send_request(
        running.vms[0],
        "POST",
        "/v1/payments/pay?key=k",
        # The retry budget ends it, long before the deadline.
        X_Deadline_Ms="30000",
        X_Request_Id="shed-1",
        X_Attempt="1",
    )
    assert reply[:2] == (503, "not-run")
    assert json.loads(reply[2])["reason"] == "target-refused"
    assert [run for run in running.runs() if run.request == "shed-1"] == []


def test_a_caller_that_goes_away_cancels_its_request(running):
    entry = next(p for p in running.vms if p.service == "seats")
    owner = callers.owner_of(running, "payments", "gone")
    cluster.call(owner.target_address, "POST", "/faults", {"extra_s": 2.0})
    host, _, port = entry.http_address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=30) as link:
        link.sendall(
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
    assert [run for run in running.runs() if run.request == "gone-1"] == []
