"""Tests that routers go on beside entries that other programs have written."""

import json

import pytest

from standins import platformcluster

READY_S = 20
# A lease, the wait until it has expired, and the successor's first grant.
TAKEOVER_S = 6
FOLLOW_S = 3
DEEP = "[" * 100_000 + "]" * 100_000
LEASE = {
    "service": "money",
    "daemon": "odd",
    "incarnation": "odd",
    "data_centre": "north",
    "peer_address": "127.0.0.1:1",
    "http_address": "127.0.0.1:2",
    "epoch": 1,
    "witnesses": ["odd"],
    "accepting": True,
}
HEARTBEAT = {
    "service": "money",
    "address": "127.0.0.1:3",
    "zone": "north",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "seq": 1,
    # Later than that of the real server.
    "born": 2**52,
}
ODD_ADDRESSES = ("127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1", ":::", "")
ODD_LEASES = (
    *({"peer_address": address} for address in ODD_ADDRESSES),
    {"epoch": 10**40},
    {"lease_ms": -1},
    {"lease_ms": 10**30},
    {"runs": [[0, 10**9, 1]]},
    {"runs": [[0, 1, 10**30]]},
    {"incarnation": "another"},
)
ODD_HEARTBEATS = (
    *({"address": address} for address in ODD_ADDRESSES),
    {"slots": 10**30},
    {"slots": 10**9},
    {"born": 10**30},
    {"seq": 10**30},
    {"cold_remaining_ms": -1},
    {"holds": [[0, 10**30, 1]]},
)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with platformcluster.run_cluster(
        tmp_path_factory.mktemp("cluster"),
        [
            ("north", "seats", False),
            ("east", "money", True),
            ("west", "money", True),
        ],
        READY_S,
    ) as started:
        yield started


def _with_deep_field(fields):
    return (json.dumps(fields)[:-1] + f', "x": {DEEP}}}').encode()


def _odd_rows():
    yield "lease/deep", _with_deep_field({**LEASE, "incarnation": "deep"})
    yield "lease/bytes", b"\xff\xfe"
    yield "lease/surrogate", b'"\\ud800"'
    for number, fields in enumerate(ODD_LEASES):
        name = f"odd{number}"
        row = {**LEASE, "incarnation": name, **fields}
        yield f"lease/{name}", json.dumps(row).encode()
    yield "founded/odd", b'{"slots": 0}'
    yield "policy/money/*", _with_deep_field({"weight": 10**30})
    yield "", b"{}"


def _odd_heartbeats():
    yield DEEP.encode()
    yield _with_deep_field(HEARTBEAT)
    yield b"\xff"
    for fields in ODD_HEARTBEATS:
        yield json.dumps({**HEARTBEAT, **fields}).encode()


def _configuration(version, *resources):
    return platformcluster.configuration(
        version, *platformcluster.DEFAULT_RESOURCES, *resources
    )


def assert_daemons_go_on(cluster):
    """Asserts that no daemon has ended or failed to handle anything."""
    for vm in cluster.vms:
        assert vm.process.poll() is None
        assert "Traceback" not in vm.log.read_text()


def _statuses(cluster, path):
    """Returns the status of a request at each daemon."""
    return [
        platformcluster.send_caller_request(vm, "seats.example", path)[0]
        for vm in cluster.vms
    ]


def _is_route_in_force(cluster, path):
    return all(
        platformcluster.send_caller_request(vm, "seats.example", path)[0] == 200
        for vm in cluster.vms
    )


def test_odd_heartbeats_leave_the_server_in_use(cluster):
    for vm in cluster.vms[1:]:
        for number, body in enumerate(_odd_heartbeats()):
            status = platformcluster.send_request(
                vm.announce_address,
                "POST",
                f"/-/instances/i-odd{number}/heartbeat",
                body=body,
            )[0]
            assert status == 400
    assert cluster.serves_all_routes()
    assert_daemons_go_on(cluster)


def test_odd_rows_leave_the_table_followed(cluster):
    # Until then, the slots may have no successors.
    assert platformcluster.wait_until(READY_S, cluster.is_store_idle)
    for key, value in _odd_rows():
        cluster.store.put("tamarackgap", key, value)
    # The rows are read once more as a whole.
    cluster.store.forget_history()
    vm, survivor = cluster.vms[1:]
    keys = [key for key in range(0, 65_536, 1000) if vm.server.holds(key)]
    assert keys
    assert_daemons_go_on(cluster)
    vm.kill()
    assert platformcluster.wait_until(
        TAKEOVER_S, lambda: all(survivor.server.holds(key) for key in keys)
    )
    vm.start()
    assert platformcluster.wait_until(READY_S, cluster.serves_all_routes)
    assert_daemons_go_on(cluster)


def test_an_odd_resource_leaves_the_configuration_followed(cluster):
    routes = [
        platformcluster.route(f"r{number}", "seats.example", path, "seats")
        for number, path in enumerate(("/new/", "/later/"))
    ]
    first = json.loads(_configuration(8, routes[0]))
    deep = json.dumps(first)[:-2] + f', {{"type": {DEEP}}}]}}'
    cluster.store.put("op", "config", deep.encode())
    assert platformcluster.wait_until(
        FOLLOW_S, lambda: _is_route_in_force(cluster, "/new/x")
    )
    odd_priority = platformcluster.route(
        "odd", "seats.example", "/odd/", "seats", priority=10**30
    )
    cluster.store.put("op", "config", _configuration(9, *routes, odd_priority))
    assert platformcluster.wait_until(
        FOLLOW_S, lambda: _is_route_in_force(cluster, "/later/x")
    )
    # The operators' table has this route, so there is no saying that it is in
    # none; and nothing else is said to be absent by a part of a table.
    assert _statuses(cluster, "/odd/x") == [503] * len(cluster.vms)
    assert _statuses(cluster, "/none/x") == [503] * len(cluster.vms)
    cluster.store.put("op", "config", _configuration(10, *routes))
    assert platformcluster.wait_until(
        FOLLOW_S,
        lambda: _statuses(cluster, "/odd/x") == [404] * len(cluster.vms),
    )
    assert _statuses(cluster, "/none/x") == [404] * len(cluster.vms)
    assert_daemons_go_on(cluster)


def test_keys_of_an_owner_whose_record_was_overwritten_are_taken_over(cluster):
    vm, survivor = cluster.vms[1:]
    assert platformcluster.wait_until(READY_S, cluster.is_store_idle)
    owner, other = (vm, survivor) if vm.server.holds(0) else (survivor, vm)
    for key in cluster.store.keys("tamarackgap"):
        if f'"{owner.name}"'.encode() in cluster.store.value(
            "tamarackgap", key
        ):
            cluster.store.put("tamarackgap", key, b"{}")
    owner.kill()

    def is_served():
        return all(
            platformcluster.send_caller_request(
                other, "money.example", "/pay", key=key
            )[0]
            == 200
            for key in range(0, 65_536, 8000)
        )

    assert platformcluster.wait_until(TAKEOVER_S, is_served)
    assert other.process.poll() is None
    assert "Traceback" not in other.log.read_text()


def test_a_daemon_that_starts_beside_an_overwritten_record_serves_all(cluster):
    # The test before this one has overwritten the record of a killed daemon.
    killed = [vm for vm in cluster.vms if vm.process.poll() is not None]
    assert len(killed) == 1
    killed[0].start()
    assert platformcluster.wait_until(READY_S, cluster.serves_all_routes)
    assert_daemons_go_on(cluster)
