"""Tests routers as real processes whose servers take keys with heartbeats."""

import concurrent.futures
import signal
import time

import pytest

from standins import platformcluster

READY_S = 20
# A lease that outlasts two heartbeats, the wait for its end, and a heartbeat.
TAKEOVER_S = 6
KEYS = range(0, 65_536, 5000)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with platformcluster.run_cluster(
        tmp_path_factory.mktemp("cluster"),
        [
            ("north", "seats", False),
            ("east", "money", True),
            ("west", "money", True),
            ("centre", "money", True),
        ],
        READY_S,
        grants="heartbeat",
    ) as started:
        yield started


def keyed_vms(cluster):
    return [vm for vm in cluster.vms if vm.keyed]


def holders(cluster, key):
    return [
        vm.name
        for vm in keyed_vms(cluster)
        if not vm.server.is_stopped and vm.server.holds(key)
    ]


def pay(cluster, key, vm=0):
    return platformcluster.send_caller_request(
        cluster.vms[vm], "money.example", "/pay", key=key
    )


def serves_all_keys(cluster):
    return all(pay(cluster, key)[0] == 200 for key in KEYS)


def test_each_key_is_held_by_one_server_and_served(cluster):
    assert platformcluster.wait_until(READY_S, cluster.is_store_idle)
    for key in KEYS:
        (holder,) = holders(cluster, key)
        request = pay(cluster, key)[3]
        ran = [
            vm.name
            for vm in keyed_vms(cluster)
            if (request, key) in vm.server.executed_requests
        ]
        assert ran == [holder]


def test_holds_last_while_heartbeats_are_answered(cluster):
    end = time.monotonic() + 3
    while time.monotonic() < end:
        assert all(len(holders(cluster, key)) == 1 for key in KEYS)
        time.sleep(0.05)


def test_lost_answers_let_holds_end_and_nothing_runs_twice(cluster):
    assert platformcluster.wait_until(READY_S, lambda: serves_all_keys(cluster))
    server = cluster.vms[1].server
    server.ignores_answers = True
    assert platformcluster.wait_until(
        TAKEOVER_S,
        lambda: not any(server.holds(key) for key in range(0, 65_536, 512)),
    )
    requests = [pay(cluster, key)[3] for key in KEYS]
    server.ignores_answers = False
    runs = [
        request
        for vm in keyed_vms(cluster)
        for request, _ in vm.server.executed_requests
    ]
    assert all(runs.count(request) <= 1 for request in requests)
    assert platformcluster.wait_until(
        TAKEOVER_S, lambda: serves_all_keys(cluster)
    )


def test_released_keys_move_only_after_their_work_has_ended(cluster):
    assert platformcluster.wait_until(READY_S, lambda: serves_all_keys(cluster))
    leaving = cluster.vms[2]
    keys = [key for key in KEYS if holders(cluster, key) == [leaving.name]]
    assert keys
    leaving.server.work_s = 1.0
    runs = []
    overlaps = []

    def check(server, request, key):
        runs.append((server.instance, key))
        if key in leaving.server._running_keys and server is not leaving.server:
            overlaps.append(key)

    for vm in keyed_vms(cluster):
        vm.server.on_run_started = check
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        started = [pool.submit(pay, cluster, key) for key in keys]
        time.sleep(0.2)
        leaving.server.state = "draining"
        end = time.monotonic() + 3
        while time.monotonic() < end:
            pay(cluster, keys[0])
        assert [call.result()[0] for call in started] == [200] * len(keys)
    assert not overlaps
    assert platformcluster.wait_until(
        TAKEOVER_S,
        lambda: all(
            holders(cluster, key) not in ([], [leaving.name]) for key in keys
        ),
    )
    leaving.server.stop()
    leaving.start_server()
    assert platformcluster.wait_until(
        READY_S, lambda: any(leaving.server.holds(key) for key in KEYS)
    )


def test_restarted_server_takes_keys_with_its_own_heartbeats(cluster):
    vm = cluster.vms[1]
    assert platformcluster.wait_until(READY_S, lambda: serves_all_keys(cluster))
    vm.server.stop()
    vm.start_server()
    assert platformcluster.wait_until(READY_S, lambda: serves_all_keys(cluster))
    for key in KEYS:
        assert len(holders(cluster, key)) <= 1


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM])
def test_keys_are_served_after_daemon_beside_living_server_restarts(
    cluster, signal_number
):
    vm = cluster.vms[3]
    assert platformcluster.wait_until(READY_S, lambda: serves_all_keys(cluster))
    vm.process.send_signal(signal_number)
    vm.process.wait()
    vm.start()
    end = time.monotonic() + TAKEOVER_S
    while time.monotonic() < end and not serves_all_keys(cluster):
        assert all(len(holders(cluster, key)) <= 1 for key in KEYS)
    assert serves_all_keys(cluster)
