"""Tests daemons as real processes: requests, bad input, and shutdown."""

import json
import signal
import socket
import time

import pytest
import zmq
from click import testing

from demo import cluster
from tamarackgap.commands import cmdline
from tamarackgap.peers import messages
from tests.support import callers, clusters

BODY_LIMIT = 20_000
DEEP = "[" * 9000 + "]" * 9000


@pytest.fixture(scope="module")
def live_cluster(tmp_path_factory):
    started = clusters.small_cluster(
        tmp_path_factory.mktemp("cluster"),
        body=BODY_LIMIT,
        answer=30_000,
        patience=500,
    )
    yield started
    started.stop()


def is_serving(live_cluster):
    status, verdict, data = callers.send_request(
        live_cluster.vms[0], "GET", "/v1/seats/browse?key=still-works"
    )
    return status == 200 and json.loads(data)["key"] == "still-works"


def test_any_daemon_answers_for_any_key(live_cluster):
    for index, vm in enumerate(live_cluster.vms):
        for service in ("seats", "payments"):
            key = f"hall {index} ghế"
            path = f"/v1/{service}/x?key=" + "hall%20{}%20gh%E1%BA%BF"
            status, verdict, data = callers.send_request(
                vm, "GET", path.format(index)
            )
            assert (status, verdict) == (200, "answered")
            answer = json.loads(data)
            assert answer["key"] == key
            assert answer["target"].startswith(service)


def test_all_daemons_send_a_key_to_the_same_target(live_cluster):
    targets = {
        json.loads(callers.send_request(vm, "GET", "/v1/seats/x?key=one")[2])[
            "target"
        ]
        for vm in live_cluster.vms
    }
    assert len(targets) == 1


def test_a_resent_payment_runs_once_and_gets_the_same_answer(live_cluster):
    request = f"{int(time.time() * 1000)}-fee"
    path = "/v1/payments/pay?key=family-1"
    first, second = (
        callers.send_request(
            live_cluster.vms[vm_index],
            "POST",
            path,
            b"fee",
            X_Request_Id=request,
            X_Attempt=attempt,
        )
        for vm_index, attempt in ((0, "1"), (4, "2"))
    )
    assert first[:2] == (200, "answered")
    assert second == first
    runs = [run for run in live_cluster.run_records() if run.request == request]
    assert len(runs) == 1


BAD_REQUESTS = [
    ("/v1/nothing/x?key=a", {}, 404, "unknown-service"),
    ("/v1/seats/x", {}, 400, "bad-request"),
    ("/v1/seats/x?key=" + "k" * 513, {}, 400, "bad-request"),
    ("/v1/seats/x?key=%ff%fe", {}, 400, "bad-request"),
    ("/v1/seats/x?key=a", {"X_Deadline_Ms": "0"}, 408, "deadline-passed"),
    ("/v1/seats/x?key=a", {"X_Deadline_Ms": "-5"}, 408, "deadline-passed"),
    ("/v1/seats/x?key=a", {"X_Deadline_Ms": "soon"}, 400, "bad-request"),
    ("/v1/seats/x?key=a", {"X_Attempt": "0"}, 400, "bad-request"),
    ("/v1/seats/x?key=a", {"X_Idempotent": "maybe"}, 400, "bad-request"),
    ("/v1/seats/x?key=a", {"X_Request_Id": "i" * 129}, 400, "bad-request"),
]


@pytest.mark.parametrize(("path", "headers", "status", "reason"), BAD_REQUESTS)
def test_bad_input_is_refused_with_a_reason(
    live_cluster, path, headers, status, reason
):
    response = callers.send_request(live_cluster.vms[1], "GET", path, **headers)
    assert response[:2] == (status, "not-run")
    assert json.loads(response[2])["reason"] == reason
    assert is_serving(live_cluster)


@pytest.mark.parametrize("size", [BODY_LIMIT + 1, 10 * BODY_LIMIT])
def test_a_body_over_the_limit_is_refused(live_cluster, size):
    response = callers.send_request(
        live_cluster.vms[1], "POST", "/v1/seats/x?key=a", b"x" * size
    )
    assert response[:2] == (413, "not-run")
    assert is_serving(live_cluster)


MALFORMED_HTTP = [
    b"NONSENSE\r\n\r\n",
    b"GET /v1/seats/x?key=a HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"GET /v1/seats/x?key=a HTTP/1.1\r\nHost: h\r\n",
    b"POST /announce HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n{a}}",
]


@pytest.mark.parametrize("text", MALFORMED_HTTP)
def test_malformed_http_does_not_disturb_the_daemon(live_cluster, text):
    host, _, port = live_cluster.vms[1].http_address.rpartition(":")
    with socket.create_connection(
        (host, int(port)), timeout=callers.TIMEOUT_S
    ) as sock:
        sock.sendall(text)
        answer = sock.recv(200)
    assert answer == b"" or answer.split()[1].startswith(b"4")
    assert is_serving(live_cluster)


@pytest.mark.parametrize("frame", [b"", b"\xc1 nonsense", b"\x94" * 50])
def test_malformed_peer_frames_are_logged_and_dropped(live_cluster, frame):
    vm = live_cluster.vms[1]
    log = live_cluster.folder / f"{vm.name}.log"
    before = log.read_text().count("event=peer_frame_malformed")
    with zmq.Context() as context, context.socket(zmq.PUSH) as push:
        push.linger = 2000
        push.connect(f"tcp://{vm.peer_address}")
        push.send(frame)
        callers.wait_until(
            lambda: log.read_text().count("event=peer_frame_malformed") > before
        )
    assert is_serving(live_cluster)


def test_messages_of_another_deployment_are_logged_and_dropped(live_cluster):
    vm = live_cluster.vms[1]
    log = live_cluster.folder / f"{vm.name}.log"
    frame = messages.encode(
        messages.Envelope(
            "elsewhere", "x", "127.0.0.1:1", messages.Cancel("leg")
        )
    )
    with zmq.Context() as context, context.socket(zmq.PUSH) as push:
        push.connect(f"tcp://{vm.peer_address}")
        push.send(frame)
        callers.wait_until(
            lambda: (
                "event=peer_of_other_deployment deployment=elsewhere"
                in log.read_text()
            )
        )
    assert is_serving(live_cluster)


@pytest.mark.parametrize(
    ("fault", "reason"),
    [
        ({"truncate": True}, "answer-truncated"),
        ({"oversize": 60_000}, "answer-too-large"),
    ],
)
def test_a_request_with_an_incomplete_answer_may_have_run(
    live_cluster, fault, reason
):
    vm = callers.owner_of(live_cluster, "payments", "k1")
    cluster.call(vm.target_address, "POST", "/faults", fault)
    try:
        response = callers.send_request(
            live_cluster.vms[0], "POST", "/v1/payments/pay?key=k1"
        )
    finally:
        no_faults = {"truncate": False, "oversize": 0}
        cluster.call(vm.target_address, "POST", "/faults", no_faults)
    assert response[:2] == (504, "may-have-run")
    assert json.loads(response[2])["reason"] == reason
    assert (
        callers.send_request(
            live_cluster.vms[0], "GET", "/v1/payments/x?key=k1"
        )[0]
        == 200
    )


def test_an_announcement_of_another_service_is_refused(live_cluster):
    body = json.dumps(
        {
            "name": "t",
            "service": "other",
            "address": "127.0.0.1:5",
            "slots": 1,
            "connections": 1,
        }
    )
    response = callers.send_request(
        live_cluster.vms[0], "POST", "/announce", body.encode()
    )
    assert response[0] == 400
    assert b"service other: expected seats" in response[2]


@pytest.mark.parametrize(
    "fields",
    [
        {"x": DEEP},
        {"slots": 10**30},
        {"slots": -1},
        {"address": "127.0.0.1:70000"},
        {"address": "127.0.0.1:" + "9" * 5000},
    ],
)
def test_an_odd_announcement_is_refused_and_the_target_stays_in_use(
    live_cluster, fields
):
    announcement = {
        "name": "t",
        "service": "seats",
        "address": "127.0.0.1:5",
        "slots": 1,
        "connections": 1,
        **fields,
    }
    body = json.dumps(announcement).replace(f'"{DEEP}"', DEEP)
    response = callers.send_request(
        live_cluster.vms[0], "POST", "/announce", body.encode()
    )
    assert response[0] == 400
    assert is_serving(live_cluster)


def test_metrics_are_served(live_cluster):
    status, _, text = callers.send_request(
        live_cluster.vms[0], "GET", "/metrics"
    )
    assert status == 200
    assert b"tamarackgap_owned_slots" in text


def test_the_log_line_of_a_request_has_its_fields(live_cluster):
    callers.send_request(
        live_cluster.vms[0], "GET", "/v1/seats/x?key=logged-key"
    )
    log = live_cluster.folder / f"{live_cluster.vms[0].name}.log"
    lines = log.read_text().splitlines()
    line = next(
        line
        for line in lines
        if "event=request " in line and "logged-key" in line
    )
    for name in ("event", "request", "slot", "owner", "fence", "verdict"):
        assert f"{name}=" in line


def test_operator_commands_work_on_running_daemons(live_cluster):
    daemon = ("--daemon", live_cluster.vms[0].http_address)
    table = ("--table", live_cluster.table_address)

    def run(*words):
        invocation = testing.CliRunner().invoke(cmdline.cli, list(words))
        assert invocation.exit_code == 0, invocation.output
        return invocation.stdout

    assert "seats-0" in run("owners", *daemon)
    assert "accepting: True" in run("status", *daemon)
    explained = run("explain", "k1", "--service", "payments", *daemon)
    assert "owned by payments-" in explained
    edited = run("table", "set", "payments", "*", "queue=99", *table)
    assert "in force at 6 of 6 daemons" in edited


def test_keys_of_a_killed_daemon_are_served_and_it_rejoins(live_cluster):
    vm = callers.owner_of(live_cluster, "seats", "k2")
    vm.daemon_process.send_signal(signal.SIGKILL)
    vm.daemon_process.wait()
    others = [other for other in live_cluster.vms if other is not vm]
    response = callers.send_request(
        others[0], "GET", "/v1/seats/x?key=k2", X_Deadline_Ms="20000"
    )
    assert response[0] == 200
    live_cluster.start_daemon(vm)
    assert live_cluster.wait_until_ready(clusters.READY_TIMEOUT_S) is not None


def test_a_draining_daemon_drops_no_request_and_exits_with_0(live_cluster):
    vm = callers.owner_of(live_cluster, "payments", "k3")
    others = [other for other in live_cluster.vms if other is not vm]
    vm.daemon_process.send_signal(signal.SIGTERM)
    for number in range(20):
        path = f"/v1/payments/pay?key=k{number}"
        assert callers.send_request(others[number % 5], "POST", path)[0] == 200
    assert vm.daemon_process.wait(timeout=callers.TIMEOUT_S) == 0
    out = (live_cluster.folder / f"daemon-{vm.name}.out").read_text()
    assert "leaked" not in out
    live_cluster.start_daemon(vm)
    assert live_cluster.wait_until_ready(clusters.READY_TIMEOUT_S) is not None


def test_an_address_in_use_is_reported_without_traceback(live_cluster):
    vm = live_cluster.vms[0]
    process = live_cluster.launch_daemon(vm)
    assert process.wait(timeout=callers.TIMEOUT_S) == 1
    out = (live_cluster.folder / f"again-{vm.name}.out").read_text()
    assert "cannot start" in out
    assert "Traceback" not in out
