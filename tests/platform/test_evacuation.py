"""Evacuations by the operators, with real processes; each VM is a zone."""

import pytest

from standins import platformcluster

READY_S = 20
# From the write of the row on; keys move with their handover before that.
EVACUATION_S = 5.0


@pytest.fixture(scope="module", params=["call", "heartbeat"])
def cluster(request, tmp_path_factory):
    with platformcluster.run_cluster(
        tmp_path_factory.mktemp("cluster"),
        [
            ("north", "seats", False),
            ("south", "seats", False),
            ("east", "money", True),
            ("west", "money", True),
            ("centre", "money", True),
        ],
        READY_S,
        request.param,
    ) as started:
        yield started


def call_all(cluster, caller, count=24):
    """Returns the statuses of calls for keys of all ranges and for none."""
    return [
        platformcluster.send_caller_request(
            caller, "money.example", "/pay", key=number * 65_535 // count
        )[0]
        for number in range(count)
    ] + [
        platformcluster.send_caller_request(
            caller, "seats.example", "/browse/x"
        )[0]
        for _ in range(count)
    ]


def owns_nothing(vm):
    """Returns whether all keys have moved, and not only been released.

    They are granted again where the write that moves them meets a conflict.
    """
    lines = vm.log_lines("slots_changed")
    return not lines or " owned=0 " in lines[-1]


@pytest.mark.parametrize("index", [1, 2])
def test_servers_of_an_evacuated_zone_get_nothing_until_taken_back(
    cluster, index
):
    vm = cluster.vms[index]
    key = f"evacuate/{vm.name}"
    cluster.store.put("op", key, b"{}")
    assert platformcluster.wait_until(
        EVACUATION_S,
        lambda: (
            vm.log_lines("target_evacuated")
            and not any(vm.server.holds(key) for key in range(0, 65_536, 500))
            and owns_nothing(vm)
        ),
    )
    # Without a loss of keys: each was released before it moved.
    assert not vm.log_lines("keys_abandoned")
    ran_before = len(vm.server.executed_requests)
    for caller in cluster.vms:
        # Those of the evacuated zone are served as well.
        assert set(call_all(cluster, caller)) == {200}
    assert len(vm.server.executed_requests) == ran_before
    cluster.store.remove("op", key)

    def is_used_again():
        # Callers prefer targets in their own data centre.
        call_all(cluster, vm)
        return len(vm.server.executed_requests) > ran_before

    assert platformcluster.wait_until(READY_S, is_used_again)


def test_a_daemon_that_starts_in_an_evacuated_zone_uses_no_server(cluster):
    vm = cluster.vms[3]
    cluster.store.put("op", "evacuate/west", b"\xff odd")
    assert platformcluster.wait_until(
        EVACUATION_S, lambda: vm.log_lines("target_evacuated")
    )
    vm.kill()
    vm.start()
    assert platformcluster.wait_until(READY_S, cluster.serves_all_routes)
    ran_before = len(vm.server.executed_requests)
    for caller in cluster.vms:
        assert set(call_all(cluster, caller)) == {200}
    assert len(vm.server.executed_requests) == ran_before
    cluster.store.remove("op", "evacuate/west")
    assert platformcluster.wait_until(
        READY_S,
        lambda: any(vm.server.holds(key) for key in range(0, 65_536, 500)),
    )


def test_a_zone_that_is_not_there_is_logged_and_changes_nothing(cluster):
    cluster.store.put("op", "evacuate/atlantis", b"{}")
    cluster.store.put("op", "evacuate/", b"{}")
    assert platformcluster.wait_until(
        EVACUATION_S,
        lambda: all(
            vm.log_lines("evacuations_changed")[-1].count("atlantis")
            for vm in cluster.vms
        ),
    )
    unknown = [
        line
        for vm in cluster.vms
        for line in vm.log_lines("evacuation_of_unknown_data_centre")
    ]
    assert unknown
    assert all("data_centre=atlantis" in line for line in unknown)
    assert len(unknown) <= len(cluster.vms)
    for caller in cluster.vms:
        assert set(call_all(cluster, caller)) == {200}
    cluster.store.remove("op", "evacuate/atlantis")
