"""The table comes back from an older copy: docs/design/store-era.md."""

import pytest

from tests.support import simulation

AWAY_S = 0.3
# All owners of the earlier era have ended after the anchor time; the service
# is founded again then.
ANCHOR_S = 18.0
SERVED_AGAIN_S = ANCHOR_S + 6.0
TAKEOVER_S = 6.0


def _rest(cluster):
    pass


def _take_over(cluster):
    cluster.kill("seats-1")


def _join(cluster):
    cluster.kill("seats-1")
    cluster.run(0.3)
    cluster.restart("seats-1")


def _move(cluster):
    cluster.daemons["seats-1"].core.drain()


def _grow(cluster):
    cluster.add_daemon("late", "a")


STEPS = [_rest, _take_over, _join, _move, _grow]


def _play(step, age_s, goes_back):
    cluster = simulation.Simulation(
        1, ordered_keys=True, linger=0.0, anchor=ANCHOR_S
    )
    cluster.deploy(5)
    assert cluster.run(20, cluster.is_balanced) is not None
    copy = cluster.table.copy()
    step(cluster)
    cluster.run(age_s)
    cluster.table_up = False
    cluster.run(AWAY_S)
    if goes_back:
        cluster.table.restore(copy)
    cluster.table_up = True
    cluster.run(SERVED_AGAIN_S)
    assert cluster.violations == []
    assert cluster.all_slots_served()
    # What the copy still lists shows to those who know nothing else.
    for name in ("seats-2", "seats-3"):
        cluster.kill(name)
        cluster.run(1.0)
        cluster.restart(name)
        cluster.run(TAKEOVER_S)
    assert cluster.violations == []
    assert cluster.all_slots_served()


@pytest.mark.parametrize("step", STEPS)
def test_slots_have_one_owner_after_the_table_was_away(step):
    _play(step, 2.0, False)


@pytest.mark.parametrize("age_s", [1.0, 4.0, 10.0])
@pytest.mark.parametrize("step", STEPS)
def test_slots_have_one_owner_after_the_table_went_back(step, age_s):
    _play(step, age_s, True)
