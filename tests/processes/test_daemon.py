"""Real processes: the whole path, bad input, and clean ends."""

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


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    found = clusters.small_cluster(
        tmp_path_factory.mktemp("cluster"),
        body=BODY_LIMIT,
        answer=30_000,
        patience=500,
    )
    yield found
    found.stop()


def works(running):
    status, verdict, data = callers.send_request(
        running.places[0], "GET", "/v1/seats/browse?key=still-works"
    )
    return status == 200 and json.loads(data)["key"] == "still-works"


def test_any_daemon_answers_for_any_key(running):
    for index, place in enumerate(running.places):
        for service in ("seats", "payments"):
            key = f"hall {index} ghế"
            path = f"/v1/{service}/x?key=" + "hall%20{}%20gh%E1%BA%BF"
            status, verdict, data = callers.send_request(
                place, "GET", path.format(index)
            )
            assert (status, verdict) == (200, "answered")
            answer = json.loads(data)
            assert answer["key"] == key
            assert answer["target"].startswith(service)


def test_all_daemons_send_a_key_to_the_same_target(running):
    targets = {
        json.loads(
            callers.send_request(place, "GET", "/v1/seats/x?key=one")[2]
        )["target"]
        for place in running.places
    }
    assert len(targets) == 1


def test_a_resent_payment_runs_once_and_gets_the_same_answer(running):
    request = f"{int(time.time() * 1000)}-fee"
    path = "/v1/payments/pay?key=family-1"
    first, second = (
        callers.send_request(
            running.places[entry],
            "POST",
            path,
            b"fee",
            X_Request_Id=request,
            X_Attempt=attempt,
        )
        for entry, attempt in ((0, "1"), (4, "2"))
    )
    assert first[:2] == (200, "answered")
    assert second == first
    ran = [run for run in running.runs() if run.request == request]
    assert len(ran) == 1


BAD = [
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


@pytest.mark.parametrize(("path", "headers", "status", "reason"), BAD)
def test_bad_input_gets_one_clear_refusal(
    running, path, headers, status, reason
):
    found = callers.send_request(running.places[1], "GET", path, **headers)
    assert found[:2] == (status, "not-run")
    assert json.loads(found[2])["reason"] == reason
    assert works(running)


@pytest.mark.parametrize("size", [BODY_LIMIT + 1, 10 * BODY_LIMIT])
def test_a_body_over_the_limit_is_refused(running, size):
    found = callers.send_request(
        running.places[1], "POST", "/v1/seats/x?key=a", b"x" * size
    )
    assert found[:2] == (413, "not-run")
    assert works(running)


RAW = [
    b"NONSENSE\r\n\r\n",
    b"GET /v1/seats/x?key=a HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"GET /v1/seats/x?key=a HTTP/1.1\r\nHost: h\r\n",
    b"POST /announce HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n{a}}",
]


@pytest.mark.parametrize("text", RAW)
def test_what_is_no_http_request_harms_nobody(running, text):
    host, _, port = running.places[1].http.rpartition(":")
    with socket.create_connection(
        (host, int(port)), timeout=callers.TIMEOUT_S
    ) as sock:
        sock.sendall(text)
        answer = sock.recv(200)
    assert answer == b"" or answer.split()[1].startswith(b"4")
    assert works(running)


@pytest.mark.parametrize("frame", [b"", b"\xc1 nonsense", b"\x94" * 50])
def test_malformed_peer_frames_are_logged_and_dropped(running, frame):
    place = running.places[1]
    log = running.folder / f"{place.name}.log"
    before = log.read_text().count("event=peer_frame_malformed")
    with zmq.Context() as context, context.socket(zmq.PUSH) as push:
        push.linger = 2000
        push.connect(f"tcp://{place.peer}")
        push.send(frame)
        callers.wait_until(
            lambda: log.read_text().count("event=peer_frame_malformed") > before
        )
    assert works(running)


def test_messages_of_another_deployment_are_dropped(running):
    place = running.places[1]
    log = running.folder / f"{place.name}.log"
    frame = messages.encode(
        messages.Envelope(
            "elsewhere", "x", "127.0.0.1:1", messages.Cancel("leg")
        )
    )
    with zmq.Context() as context, context.socket(zmq.PUSH) as push:
        push.connect(f"tcp://{place.peer}")
        push.send(frame)
        callers.wait_until(
            lambda: (
                "event=peer_of_other_deployment deployment=elsewhere"
                in log.read_text()
            )
        )
    assert works(running)


@pytest.mark.parametrize(
    ("fault", "reason"),
    [
        ({"truncate": True}, "answer-truncated"),
        ({"oversize": 60_000}, "answer-too-large"),
    ],
)
def test_an_answer_that_is_not_whole_may_have_run(running, fault, reason):
    place = callers.owner_of(running, "payments", "k1")
    cluster.call(place.target, "POST", "/faults", fault)
    try:
        found = callers.send_request(
            running.places[0], "POST", "/v1/payments/pay?key=k1"
        )
    finally:
        good = {"truncate": False, "oversize": 0}
        cluster.call(place.target, "POST", "/faults", good)
    assert found[:2] == (504, "may-have-run")
    assert json.loads(found[2])["reason"] == reason
    assert (
        callers.send_request(running.places[0], "GET", "/v1/payments/x?key=k1")[
            0
        ]
        == 200
    )


def test_a_wrong_announcement_is_refused(running):
    body = json.dumps(
        {
            "name": "t",
            "service": "other",
            "address": "127.0.0.1:5",
            "slots": 1,
            "connections": 1,
        }
    )
    found = callers.send_request(
        running.places[0], "POST", "/announce", body.encode()
    )
    assert found[0] == 400
    assert b"service other: expected seats" in found[2]


def test_metrics_are_served(running):
    status, _, text = callers.send_request(running.places[0], "GET", "/metrics")
    assert status == 200
    assert b"tamarackgap_owned_slots" in text


def test_a_decision_line_has_its_inputs(running):
    callers.send_request(running.places[0], "GET", "/v1/seats/x?key=logged-key")
    log = running.folder / f"{running.places[0].name}.log"
    lines = log.read_text().splitlines()
    line = next(
        line
        for line in lines
        if "event=request " in line and "logged-key" in line
    )
    for name in ("event", "request", "slot", "owner", "fence", "verdict"):
        assert f"{name}=" in line


def test_operators_commands_work_on_running_daemons(running):
    daemon = ("--daemon", running.places[0].http)
    table = ("--table", running.table)

    def run(*words):
        found = testing.CliRunner().invoke(cmdline.cli, list(words))
        assert found.exit_code == 0, found.output
        return found.stdout

    assert "seats-0" in run("owners", *daemon)
    assert "accepting: True" in run("status", *daemon)
    explained = run("explain", "k1", "--service", "payments", *daemon)
    assert "owned by payments-" in explained
    edited = run("table", "set", "payments", "*", "queue=99", *table)
    assert "in force at 6 of 6 daemons" in edited


def test_a_killed_daemons_keys_are_served_and_it_comes_back(running):
    place = callers.owner_of(running, "seats", "k2")
    place.daemon_process.send_signal(signal.SIGKILL)
    place.daemon_process.wait()
    others = [other for other in running.places if other is not place]
    found = callers.send_request(
        others[0], "GET", "/v1/seats/x?key=k2", X_Deadline_Ms="20000"
    )
    assert found[0] == 200
    running.start_daemon(place)
    assert running.ready(clusters.READY_TIMEOUT_S) is not None


def test_a_draining_daemon_cuts_nothing_and_exits_with_0(running):
    place = callers.owner_of(running, "payments", "k3")
    others = [other for other in running.places if other is not place]
    place.daemon_process.send_signal(signal.SIGTERM)
    for number in range(20):
        path = f"/v1/payments/pay?key=k{number}"
        assert callers.send_request(others[number % 5], "POST", path)[0] == 200
    assert place.daemon_process.wait(timeout=callers.TIMEOUT_S) == 0
    out = (running.folder / f"daemon-{place.name}.out").read_text()
    assert "leaked" not in out
    running.start_daemon(place)
    assert running.ready(clusters.READY_TIMEOUT_S) is not None


def test_an_address_in_use_is_said_in_one_line(running):
    place = running.places[0]
    process = running.run_again(place)
    assert process.wait(timeout=callers.TIMEOUT_S) == 1
    out = (running.folder / f"again-{place.name}.out").read_text()
    assert "cannot start" in out
    assert "Traceback" not in out
