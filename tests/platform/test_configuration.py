"""The spread of the operators' configuration among real processes."""

import time

import pytest

from standins import platformcluster

READY_S = 20
# Of the rules: a daemon is in touch this long after a disruption, and a change
# is in force this long after its acknowledgement.
CONTACT_S = 3.0
CONFIG_S = 2.0


@pytest.fixture
def cluster(tmp_path):
    with platformcluster.run_cluster(
        tmp_path,
        [
            ("north", "seats", False),
            ("south", "money", True),
            ("east", "money", True),
        ],
        READY_S,
    ) as started:
        yield started


def _write(cluster, version, prefix):
    route = platformcluster.route("new", "new.example", prefix, "seats")
    cluster.store.put(
        "op",
        "config",
        platformcluster.configuration(
            version, route, *platformcluster.DEFAULT_RESOURCES
        ),
    )


def _status(vm, path):
    return platformcluster.send_caller_request(vm, "new.example", path)[0]


def test_change_after_the_store_lost_all_polls_is_in_force_in_time(cluster):
    _write(cluster, 2, "/first/")
    # All daemons send their polls again now, and these get lost.
    cluster.store.loses_calls = True
    time.sleep(1.5)
    cluster.store.loses_calls = False
    returned_at = time.monotonic()
    _write(cluster, 3, "/second/")
    due_at = returned_at + max(CONFIG_S, CONTACT_S)
    time.sleep(due_at - time.monotonic())
    assert [_status(vm, "/second/x") for vm in cluster.vms] == [200] * 3


def test_route_is_denied_only_by_a_daemon_that_knows_the_newest_table(cluster):
    north = cluster.vms[0]
    assert platformcluster.wait_until(
        CONTACT_S, lambda: _status(north, "/first/x") == 404
    )
    cluster.store.loses_calls = True
    # Nobody can know any more whether there is a newer table.
    assert platformcluster.wait_until(
        2 * CONTACT_S, lambda: _status(north, "/first/x") == 503
    )
    cluster.store.loses_calls = False
    assert platformcluster.wait_until(
        CONTACT_S, lambda: _status(north, "/first/x") == 404
    )


@pytest.mark.parametrize("age_s", [1.0, 4.0, 10.0])
def test_operator_is_followed_after_the_store_went_back(cluster, age_s):
    cluster.store.era = 1
    time.sleep(CONTACT_S)
    copy = cluster.store.copy()
    _write(cluster, 2, "/first/")
    time.sleep(max(age_s, CONFIG_S))
    north = cluster.vms[0]
    assert _status(north, "/first/x") == 200
    cluster.store.failure_status = 503
    time.sleep(0.3)
    cluster.store.restore(copy)
    cluster.store.failure_status = None
    # The newest one that was seen stays in force until it is written again.
    assert _status(north, "/first/x") == 200
    _write(cluster, 2, "/first/")
    _write(cluster, 3, "/second/")
    time.sleep(max(CONFIG_S, CONTACT_S))
    assert [_status(vm, "/second/x") for vm in cluster.vms] == [200] * 3
    assert [_status(vm, "/third/x") for vm in cluster.vms] == [404] * 3
