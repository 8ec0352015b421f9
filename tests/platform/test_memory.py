"""Fills the memory of routers with what callers and servers may send."""

import concurrent.futures
import json
import pathlib
import socket

import pytest

from standins import platformcluster

READY_S = 20
# Long, as these tests are not about time.
TIMEOUT_MS = 4500
MEMORY_MB = 100
MAX_BODY_BYTES = 8_000_000
UPLOAD_BYTES = 6_000_000
UPLOADS = 20
# Callers that each send a half of a body; together these exceed the memory.
CALLERS = 60
HALF_BODY = bytes(2_000_000)
SLOTS = 40


def _configuration():
    routes = [
        platformcluster.route(
            name,
            "seats.example",
            f"/{name}/",
            "seats",
            idempotent=name == "browse",
            timeout_ms=TIMEOUT_MS,
        )
        for name in ("browse", "book")
    ]
    return platformcluster.configuration(
        1, *routes, platformcluster.service("seats")
    )


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with pytest.MonkeyPatch.context() as patch:
        limits = {
            **platformcluster.LIMITS,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 5000,
        }
        patch.setattr(platformcluster, "LIMITS", limits)
        started = platformcluster.PlatformCluster(
            tmp_path_factory.mktemp("memory"),
            [
                ("north", "seats", False),
                ("south", "seats", False),
                ("east", "desk", False),
            ],
        )
        started.store.put("op", "config", _configuration())
        for vm in started.vms:
            vm.memory_mb = MEMORY_MB
            vm.start_server()
            vm.server.slots = SLOTS
            vm.start()
        try:
            assert platformcluster.wait_until(
                READY_S, lambda: all(_status(vm) == 200 for vm in started.vms)
            )
            yield started
        finally:
            started.stop()


@pytest.fixture
def vm(cluster):
    """A VM whose daemon has just started, and whose peak is its own."""
    vm = cluster.vms[0]
    vm.kill()
    vm.start()
    assert platformcluster.wait_until(READY_S, lambda: _status(vm) == 200)
    yield vm
    for each in cluster.vms:
        each.server.fault = ""


def _status(vm, **options):
    try:
        return platformcluster.send_caller_request(
            vm,
            "seats.example",
            "/browse/x",
            timeout_ms=TIMEOUT_MS,
            **options,
        )[0]
    except OSError:
        return 0


def _peak_mb(vm):
    """Returns the most memory that a daemon has used, megabytes."""
    assert vm.process.poll() is None
    text = pathlib.Path(f"/proc/{vm.process.pid}/status").read_text()
    (line,) = (t for t in text.splitlines() if t.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


def test_uploads_one_after_another_take_no_more_than_a_few(vm):
    # Each body was kept until a cyclic garbage collection.
    statuses = [
        _status(vm, method="POST", body=bytes(UPLOAD_BYTES))
        for _ in range(UPLOADS)
    ]
    assert _peak_mb(vm) < MEMORY_MB
    assert set(statuses) == {200}


def test_a_large_upload_reaches_another_daemon(cluster):
    # Bodies over 5.3 MB got 504, whatever the operators' limit was.
    body = bytes(range(256)) * (MAX_BODY_BYTES // 256)
    status, _, answer, _ = platformcluster.send_caller_request(
        cluster.vms[2],
        "seats.example",
        "/book/x",
        method="POST",
        body=body,
        timeout_ms=TIMEOUT_MS,
    )
    assert status == 200
    echo = json.loads(answer)["body"].encode("latin-1")
    assert echo == body[: len(echo)] != b""


def test_bodies_at_once_share_the_memory(vm):
    head = (
        "POST /browse/x HTTP/1.1\r\nHost: seats.example\r\n"
        f"Content-Length: {2 * len(HALF_BODY)}\r\n\r\n"
    ).encode()

    def begin(connection):
        try:
            connection.sendall(head + HALF_BODY)
            connection.settimeout(1.0)
            return connection.recv(12)
        except TimeoutError:
            return b""
        except OSError:
            return b"reset"

    host, port = vm.caller_address.split(":")
    callers = [
        socket.create_connection((host, int(port))) for _ in range(CALLERS)
    ]
    try:
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            answers = list(pool.map(begin, callers))
        assert _status(vm) == 200
    finally:
        for connection in callers:
            connection.close()
    assert _peak_mb(vm) < MEMORY_MB
    assert b"HTTP/1.1 503" in answers
    assert b"" in answers


def test_answers_without_an_end_share_the_memory(cluster, vm):
    for each in cluster.vms:
        each.server.fault = "endless"
    with concurrent.futures.ThreadPoolExecutor(SLOTS) as pool:
        statuses = list(pool.map(lambda _: _status(vm), range(2 * SLOTS)))
    assert _peak_mb(vm) < MEMORY_MB
    assert set(statuses) <= {502, 503, 504}
    for each in cluster.vms:
        each.server.fault = ""
    assert platformcluster.wait_until(READY_S, lambda: _status(vm) == 200)
