"""Follows the steps of docs/OPERATIONS.md from a request id to the cause."""

import concurrent.futures
import json
import pathlib
import re
import time

import pytest
from click import testing

from standins import platformcluster
from tamarackgap.commands import cmdline

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
READY_S = 20
LOG_WAIT_S = 3.0


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with platformcluster.run_cluster(
        tmp_path_factory.mktemp("cluster"),
        [
            ("north", "seats", False),
            ("south", "money", True),
            ("east", "money", True),
            ("west", "money", True),
        ],
        READY_S,
    ) as started:
        yield started


def _section(title):
    text = PAGE.read_text().split(f"## {title}\n")[1]
    return text.split("\n## ")[0]


def _lines(cluster, event, **fields):
    """Returns the fields of each log line of an event, of all daemons."""
    lines = []
    for vm in cluster.vms:
        for line in vm.log.read_text(errors="replace").splitlines():
            pairs = dict(re.findall(r'(\w+)=("[^"]*"|\S*)', line))
            if pairs.get("event") == event and all(
                pairs.get(name) == value for name, value in fields.items()
            ):
                lines.append(pairs)
    return lines


def _wait_for_lines(cluster, event, **fields):
    """Waits for log lines of an event, and returns their fields."""
    assert platformcluster.wait_until(
        LOG_WAIT_S, lambda: _lines(cluster, event, **fields)
    )
    return _lines(cluster, event, **fields)


def _reasons(title):
    """Returns the reasons and events that a section of the page names."""
    return set(re.findall(r"`(?:reason=)?([a-z][a-z_-]+)`", _section(title)))


def test_refused_as_full(cluster):
    north = cluster.vms[0]
    north.server.work_s = 0.4
    try:
        with concurrent.futures.ThreadPoolExecutor(40) as pool:
            answers = list(
                pool.map(
                    lambda _: platformcluster.send_caller_request(
                        cluster.vms[1],
                        "seats.example",
                        "/browse/x",
                        timeout_ms=600,
                    ),
                    range(40),
                )
            )
    finally:
        north.server.work_s = 0.005
    refused = [answer for answer in answers if answer[0] == 503]
    assert refused
    request = refused[-1][3]
    (line, *_) = _wait_for_lines(cluster, "request", request=request)
    assert line["reason"] in _reasons("Refused as full")
    assert line["verdict"] == "not-run"
    (call, *_) = _wait_for_lines(cluster, "call", request=request)
    assert call["daemon"] == "north"
    assert int(call["running"]) >= 8
    assert int(call["waiting"]) > 0
    # The time left was too short for the wait and the work.
    needed = int(call["wait_ms"]) + int(call["work_ms"])
    assert needed > int(call["left_ms"]) * 0.5


def test_answered_502_after_it_may_have_run(cluster):
    title = "Answered 502 or 504 after it may have run"
    owner = next(vm for vm in cluster.vms if vm.keyed and vm.server.holds(5))
    owner.server.fault = "cut"
    try:
        response = platformcluster.send_caller_request(
            cluster.vms[0], "money.example", "/pay", key=5, method="POST"
        )
    finally:
        owner.server.fault = ""
    assert response[0] == 502
    (line, *_) = _wait_for_lines(cluster, "request", request=response[3])
    assert line["verdict"] == "may-have-run"
    (call, *_) = _wait_for_lines(cluster, "call", request=response[3])
    assert call["daemon"] == owner.name
    assert call["reason"] in _reasons(title)
    # A single answer failed; the target is still running.
    assert not _lines(
        cluster, "target_changed", daemon=owner.name, change="lost"
    )


def _run_command(*words):
    invocation = testing.CliRunner().invoke(cmdline.cli, [*words, "--json"])
    return invocation.exit_code, json.loads(invocation.stdout or "null")


def test_operator_commands_work_on_routers(cluster):
    vm = next(vm for vm in cluster.vms if vm.server.holds(30_000))
    code, status = _run_command("status", "--daemon", vm.metrics_address)
    assert code == 0
    assert (status["daemon"], status["phase"]) == (vm.name, "serving")
    code, explanation = _run_command(
        "explain",
        "30000",
        "--daemon",
        vm.metrics_address,
        "--service",
        "money",
    )
    assert code == 0
    assert (explanation["daemon"], explanation["here"]) == (vm.name, True)
    other = cluster.vms[0].metrics_address
    explanation = _run_command(
        "explain", "30000", "--daemon", other, "--service", "money"
    )[1]
    assert (explanation["daemon"], explanation["here"]) == (vm.name, False)
    code, rows = _run_command("owners", "--daemon", other, "--service", "money")
    assert code == 0
    owned = {row["daemon"]: row["slots"] for row in rows if row["slots"]}
    (creation,) = _lines(cluster, "commit", kind="found", outcome="committed")
    slots = int(creation["slots"])
    # At least 12 slots for each owner known at the creation; a power of two.
    assert slots == max(
        32, 1 << (12 * int(creation["members"]) - 1).bit_length()
    )
    assert sum(owned.values()) == slots
    assert vm.name in owned


def _explain_request(vm, *words):
    return _run_command(
        "explain-request", *words, "--daemon", vm.metrics_address
    )


def test_where_a_request_would_go_is_told_without_sending_it(cluster):
    north, south = cluster.vms[:2]
    calls_before = len(_lines(cluster, "call"))
    code, here = _explain_request(north, "seats.example", "/browse/x")
    assert code == 0
    assert (here["route"], here["service"]) == ("browse", "seats")
    assert (bool(here["near"]), here["far"]) == (True, "")
    (target,) = here["targets"]
    assert target["usable"]
    assert target["data_centre"] == "north"
    # The only target is in another data centre, so all requests leave.
    code, there = _explain_request(south, "seats.example", "/browse/x")
    assert (there["near"], there["far"]) == ("", here["near"])
    assert there["leaving_share"] == 1.0
    vm = next(vm for vm in cluster.vms if vm.server.holds(30_000))
    code, keyed = _explain_request(
        north, "money.example", "/pay", "--key", "30000"
    )
    assert keyed["owner"]["daemon"] == vm.name
    assert [target["incarnation"] for target in keyed["targets"]] == [
        keyed["owner"]["owner"]
    ]
    assert len(_lines(cluster, "call")) == calls_before


@pytest.mark.parametrize(
    "words",
    [
        ("nobody.example", "/"),
        ("money.example", "/pay"),
        ("money.example", "/pay", "--key", "70000"),
    ],
)
def test_a_request_without_route_or_key_is_reported_in_one_line(cluster, words):
    address = cluster.vms[0].metrics_address
    invocation = testing.CliRunner().invoke(
        cmdline.cli, ["explain-request", *words, "--daemon", address]
    )
    assert invocation.exit_code != 0
    assert len(invocation.output.splitlines()) == 1


@pytest.mark.parametrize("key", ["70000", "x"])
def test_an_invalid_key_is_reported_in_one_line(cluster, key):
    words = ["explain", key, "--service", "money", "--daemon"]
    invocation = testing.CliRunner().invoke(
        cmdline.cli, [*words, cluster.vms[0].metrics_address]
    )
    assert invocation.exit_code != 0
    assert len(invocation.output.splitlines()) == 1


def test_a_key_without_an_owner_during_a_takeover(cluster):
    title = "A key without an owner"
    # The slots of an owner that changes its epoch go through the store, without
    # a takeover among daemons.
    assert platformcluster.wait_until(READY_S, cluster.is_store_idle)
    owner = next(
        vm for vm in cluster.vms if vm.keyed and vm.server.holds(30_000)
    )
    owner.kill()
    time.sleep(0.3)
    response = platformcluster.send_caller_request(
        cluster.vms[0],
        "money.example",
        "/pay",
        key=30_000,
        method="POST",
        timeout_ms=300,
    )
    try:
        assert response[0] in (502, 503, 504)
        (line, *_) = _wait_for_lines(cluster, "request", request=response[3])
        assert line["reason"] in _reasons(title)
        lost_owner = line["owner"]
        # The log line of the owner's start names its daemon.
        (start, *_) = _wait_for_lines(
            cluster, "started", incarnation=lost_owner
        )
        assert start["daemon"] == owner.name
        assert {"takeover_begun", "taken_over"} <= _reasons(title)
        _wait_for_lines(cluster, "takeover_begun", owner=lost_owner)
        takeovers = _wait_for_lines(cluster, "taken_over", owner=lost_owner)
        assert {takeover["daemon"] for takeover in takeovers} <= {
            vm.name for vm in cluster.vms if vm.keyed
        }
    finally:
        owner.start()
    assert platformcluster.wait_until(READY_S, cluster.serves_all_routes)
