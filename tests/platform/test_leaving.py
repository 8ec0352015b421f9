"""A server that has left gets nothing, whatever its daemon forgets."""

import http.client
import json
import time

import pytest

from standins import platformcluster

READY_S = 30.0
# A server that has left gets no more requests after this time.
DRAIN_S = 2.0
CALLS = 40


@pytest.fixture
def cluster(tmp_path):
    vms = [(name, "seats", False) for name in ("a", "b", "c", "d", "e")]
    with platformcluster.run_cluster(
        tmp_path, [*vms, ("f", "money", True), ("g", "money", True)], READY_S
    ) as started:
        yield started


def _post(vm, action, **body):
    connection = http.client.HTTPConnection(vm.announce_address, timeout=2)
    path = f"/-/instances/{vm.server.instance}/{action}"
    connection.request("POST", path, json.dumps(body))
    return connection.getresponse().status


def _announce(vm, sequence, state):
    return _post(
        vm,
        "heartbeat",
        service=vm.service,
        address=vm.server_address,
        zone=vm.name,
        version="v1",
        slots=4,
        state=state,
        cold_remaining_ms=0,
        seq=sequence,
        born=vm.server._started_at_ms,
    )


@pytest.mark.parametrize("is_draining", [True, False])
@pytest.mark.parametrize("killed", [1, 7])
def test_a_server_that_has_left_gets_nothing_after_its_daemon_was_killed(
    cluster, is_draining, killed
):
    # The new process took a late heartbeat for the present state; where all
    # daemons were killed, nobody was left who knew of the leaving.
    vm = cluster.vms[0]
    vm.server.send_heartbeat = lambda: True
    time.sleep(0.5)
    if is_draining:
        assert _announce(vm, 1000, "draining") == 200
    else:
        assert _post(vm, "deregister") == 200
    left_at = time.monotonic()
    for each in cluster.vms[:killed]:
        each.kill()
    for each in cluster.vms[:killed]:
        each.start()
    assert platformcluster.wait_until(READY_S, cluster.serves_all_routes)
    time.sleep(max(0.0, left_at + DRAIN_S - time.monotonic()))
    for sequence in (998, 999):
        assert _announce(vm, sequence, "ready") == 200
    before = len(vm.server.executed_requests)
    for number in range(CALLS):
        caller = cluster.vms[number % len(cluster.vms)]
        assert (
            platformcluster.send_caller_request(
                caller, "seats.example", "/browse/x"
            )[0]
            == 200
        )
    assert len(vm.server.executed_requests) == before
