"""A service has no second founder after the table went back to a copy."""

import pytest

from tests.support import simulation

ANCHOR_S = 18.0
AWAY_S = 1.0
# The settle time of daemons that start, the longest lease, which their
# predecessors' targets may still hold, and what founding takes.
FOUNDED_S = 1.0 + 0.7 + 1.5
WATCHED_S = 10.0


def _start(seed):
    """Starts daemons of a service, and those of a service that is added."""
    cluster = simulation.Simulation(
        seed, ordered_keys=True, linger=0.0, anchor=ANCHOR_S
    )
    cluster.table.era = 7
    cluster.deploy(6, service="other")
    assert cluster.run(20, lambda: cluster.all_slots_served("other"))
    return cluster


def _add_service(cluster):
    cluster.deploy(5)
    assert cluster.run(20, cluster.is_balanced) is not None


def _go_back(cluster, copy, killed):
    """Kills daemons in a drill, and starts them before the table is back."""
    cluster.table_up = False
    for name in killed:
        cluster.kill(name)
    cluster.run(AWAY_S / 2)
    for name in killed:
        cluster.restart(name)
    cluster.run(AWAY_S / 2)
    cluster.table.restore(copy)
    cluster.table_up = True
    cluster.longest_gap.clear()


def _longest_gap(cluster, service="seats"):
    return max(
        (
            gap
            for (name, _), gap in cluster.longest_gap.items()
            if name == service
        ),
        default=0.0,
    )


MONEY = [f"seats-{index}" for index in range(5)]
OTHERS = [f"other-{index}" for index in range(6)]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    "killed", [MONEY, MONEY[1:], MONEY[:2], MONEY + OTHERS[:3], MONEY + OTHERS]
)
def test_a_service_founded_after_the_copy_gets_fences_above_all(seed, killed):
    # Its daemons founded it anew under the fence that its owners had.
    cluster = _start(seed)
    copy = cluster.table.copy()
    _add_service(cluster)
    cluster.run(2.0)
    _go_back(cluster, copy, killed)
    cluster.run(WATCHED_S)
    assert cluster.violations == []
    assert cluster.all_slots_served()
    assert cluster.all_slots_served("other")
    assert _longest_gap(cluster) <= FOUNDED_S


@pytest.mark.parametrize("seed", range(3))
def test_slots_are_served_soon_if_all_daemons_start_anew_in_a_drill(seed):
    # Nobody was left who knew the owners, and all slots waited for 21 s.
    cluster = _start(seed)
    _add_service(cluster)
    copy = cluster.table.copy()
    cluster.run(3.0)
    _go_back(cluster, copy, MONEY + OTHERS)
    cluster.run(WATCHED_S)
    assert cluster.violations == []
    assert cluster.all_slots_served()
    assert _longest_gap(cluster) <= FOUNDED_S


@pytest.mark.parametrize("seed", range(2))
def test_a_copy_without_any_rows_founds_no_second_owner(seed):
    cluster = simulation.Simulation(
        seed, ordered_keys=True, linger=0.0, anchor=ANCHOR_S
    )
    cluster.table.era = 7
    copy = cluster.table.copy()
    cluster.deploy(6, service="other")
    _add_service(cluster)
    _go_back(cluster, copy, MONEY)
    cluster.run(WATCHED_S)
    assert cluster.violations == []
    assert cluster.all_slots_served()


@pytest.mark.parametrize("seed", range(2))
def test_an_owner_that_can_not_record_keeps_its_slots_until_it_stops(seed):
    # Its witnesses live on, and it can't read the table.
    cluster = _start(seed)
    copy = cluster.table.copy()
    _add_service(cluster)
    cluster.daemons[MONEY[0]].table_isolated = True
    cluster.run(0.3)
    _go_back(cluster, copy, MONEY[1:])
    cluster.run(8.0)
    assert cluster.violations == []
    cluster.daemons[MONEY[0]].table_isolated = False
    cluster.run(WATCHED_S)
    assert cluster.violations == []
    assert cluster.all_slots_served()


@pytest.mark.parametrize("seed", range(2))
def test_a_successor_serves_nothing_that_it_has_not_recorded(seed):
    # It has taken slots over while the table was away, and can't reach it.
    cluster = _start(seed)
    _add_service(cluster)
    copy = cluster.table.copy()
    cluster.table_up = False
    cluster.kill(MONEY[0])
    cluster.run(2.0)
    takers = [
        name for name in MONEY[1:] if cluster.daemons[name].core.unrecorded
    ]
    assert takers
    cluster.restart(MONEY[0])
    for name in takers:
        cluster.daemons[name].writes_lost = True
    cluster.table.restore(copy)
    cluster.table_up = True
    cluster.run(10.0)
    assert cluster.violations == []
    for name in takers:
        cluster.daemons[name].writes_lost = False
    cluster.run(WATCHED_S)
    assert cluster.violations == []
    assert cluster.all_slots_served()


def test_a_service_added_long_after_a_drill_is_founded_at_once():
    cluster = _start(1)
    _go_back(cluster, cluster.table.copy(), OTHERS[:3])
    cluster.run(ANCHOR_S + 4.0)
    cluster.deploy(5)
    assert cluster.run(3.0, cluster.all_slots_served) is not None
    assert cluster.violations == []
