"""Owners go on serving when the table comes back from an older copy."""

import random

import pytest

from tamarackgap.ownership import changes
from tests.support import simulation

ANCHOR_S = 18.0
# A key is served again within this time after the loss of its owner.
SERVED_S = 1.0
# The bound on keys of an owner that nobody can ask: the anchor time, the
# longest hold, and what recording takes.
SETTLED_S = ANCHOR_S + 6.0
AWAY_S = 1.0


def _start(seed=1, count=5):
    cluster = simulation.Simulation(
        seed, ordered_keys=True, linger=0.0, anchor=ANCHOR_S
    )
    cluster.deploy(count)
    assert cluster.run(20, cluster.is_balanced) is not None
    return cluster


def _go_back(cluster, copy, away_s=AWAY_S):
    cluster.table_up = False
    cluster.run(away_s)
    cluster.table.restore(copy)
    cluster.table_up = True


def _gaps(cluster, seconds):
    """Returns the longest time without an owner of each slot from now on."""
    cluster.longest_gap.clear()
    cluster.run(seconds)
    return {slot: gap for (_, slot), gap in cluster.longest_gap.items()}


@pytest.mark.parametrize("seed", range(4))
def test_all_slots_are_served_on_after_a_drill(seed):
    cluster = _start(seed)
    copy = cluster.table.copy()
    # Moves of which the copy does not know.
    cluster.add_daemon("late", "a")
    cluster.run(4.0)
    _go_back(cluster, copy)
    gaps = _gaps(cluster, 30.0)
    assert cluster.violations == []
    assert max(gaps.values(), default=0.0) <= SERVED_S


def test_a_drill_in_which_nothing_was_lost_moves_nothing():
    cluster = _start()
    before = {name: set(d.core.owned) for name, d in cluster.daemons.items()}
    _go_back(cluster, cluster.table.copy())
    cluster.run(3.0)
    after = {name: set(d.core.owned) for name, d in cluster.daemons.items()}
    assert after == before
    assert cluster.violations == []
    assert cluster.events("lease_lost") == []


@pytest.mark.parametrize("killed_s", [0.2, 0.9])
def test_slots_of_an_owner_that_dies_in_a_drill_are_taken_over(killed_s):
    cluster = _start()
    copy = cluster.table.copy()
    cluster.run(3.0)
    cluster.table_up = False
    cluster.run(AWAY_S - killed_s)
    cluster.kill("seats-1")
    cluster.longest_gap.clear()
    cluster.run(killed_s)
    cluster.table.restore(copy)
    cluster.table_up = True
    cluster.run(10.0)
    assert cluster.violations == []
    assert cluster.all_slots_served()
    assert max(cluster.longest_gap.values(), default=0.0) <= SERVED_S


def test_slots_of_other_owners_do_not_wait_for_one_that_is_cut_off():
    cluster = _start()
    copy = cluster.table.copy()
    cluster.run(3.0)
    cluster.cut("seats-1")
    theirs = set(cluster.daemons["seats-1"].core.owned)
    _go_back(cluster, copy)
    gaps = _gaps(cluster, SETTLED_S)
    assert cluster.violations == []
    assert cluster.all_slots_served()
    others = [gap for slot, gap in gaps.items() if slot not in theirs]
    assert max(others, default=0.0) <= SERVED_S


def test_slots_of_an_unknown_owner_are_given_out_once_it_has_stopped():
    cluster = _start(count=4)
    copy = cluster.table.copy()
    cluster.add_daemon("late", "a")
    late = cluster.daemons["late"].core
    assert cluster.run(20, lambda: late.owned and cluster.is_balanced())
    theirs = set(late.owned)
    # Nobody who knows of it is left, and it can be asked by nobody.
    cluster.cut("late")
    for index in range(4):
        cluster.restart(f"seats-{index}")
    _go_back(cluster, copy)
    cluster.run(SETTLED_S + 6.0)
    assert cluster.violations == []
    assert cluster.all_slots_served()
    assert theirs


def test_a_second_drill_in_the_wait_begins_it_anew():
    cluster = _start()
    copy = cluster.table.copy()
    cluster.cut("seats-1")
    cluster.run(2.0)
    _go_back(cluster, copy)
    cluster.run(10.0)
    _go_back(cluster, copy)
    cluster.run(SETTLED_S)
    assert cluster.violations == []
    assert cluster.all_slots_served()


def _is_moving(core):
    pending = core.pending
    return pending and pending.kind is changes.ChangeKind.RECONFIGURE


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("is_committed", [True, False])
@pytest.mark.parametrize("known_s", [0.02, 1.0])
def test_a_move_under_way_at_the_drill_gives_its_slots_one_owner(
    is_committed, known_s, seed
):
    cluster = _start(seed)
    copy = cluster.table.copy()
    mover = cluster.daemons["seats-1"]
    mover.core.drain()
    assert cluster.run(5.0, lambda: _is_moving(mover.core)) is not None
    # The answer to the write is lost, or the write itself.
    cluster.answer_loss_rate = 1.0
    mover.writes_lost = not is_committed
    cluster.run(known_s)
    _go_back(cluster, copy)
    cluster.answer_loss_rate = 0.0
    mover.writes_lost = False
    cluster.run(10.0)
    assert cluster.violations == []
    assert cluster.all_slots_served()


@pytest.mark.parametrize("seed", range(6))
def test_writes_of_an_earlier_era_that_land_late_change_nothing(seed):
    cluster = _start(seed)
    copy = cluster.table.copy()
    cluster.late_writes = (0.5, 4.0)
    cluster.daemons["seats-1"].core.drain()
    cluster.kill("seats-2")
    cluster.run(1.5)
    _go_back(cluster, copy)
    cluster.run(6.0)
    cluster.late_writes = (0.0, 0.0)
    cluster.run(SETTLED_S)
    assert cluster.violations == []
    assert cluster.all_slots_served()


class _Story:
    """Random faults before, in and after a few drills."""

    def __init__(self, seed):
        self._rng = random.Random(seed)
        rng = self._rng
        self.cluster = _start(seed, rng.choice([3, 4, 5, 7]))
        if rng.random() < 0.3:
            self.cluster.answer_loss_rate = rng.choice([0.1, 0.3])
        if rng.random() < 0.3:
            self.cluster.late_writes = (rng.choice([0.1, 0.4]), 3.0)

    def play(self):
        rng, cluster = self._rng, self.cluster
        copy = cluster.table.copy()
        for _ in range(rng.choice([1, 1, 2, 3])):
            self._inject(0.6)
            cluster.run(rng.choice([0.1, 1.0, 4.0]))
            cluster.table_up = False
            cluster.run(rng.choice([0.1, 1.0, 4.0]))
            self._inject(0.3)
            is_old = rng.random() < 0.85
            cluster.table.restore(copy if is_old else cluster.table.copy())
            cluster.table_up = True
            cluster.run(rng.choice([0.0, 0.1, 1.0, 10.0]))
        self._inject(0.4)
        cluster.run(SETTLED_S + 6.0)
        self._mend()

    def _inject(self, chance):
        while self._rng.random() < chance:
            self._inject_one()
            self.cluster.run(self._rng.choice([0.0, 0.05, 0.3, 1.0, 3.0]))

    def _inject_one(self):
        rng, cluster = self._rng, self.cluster
        name = rng.choice(list(cluster.daemons))
        daemon = cluster.daemons[name]
        match rng.randrange(9):
            case 0:
                cluster.kill(name)
            case 1:
                cluster.restart(name)
            case 2:
                daemon.core.drain()
            case 3:
                cluster.add_daemon(
                    f"late-{len(cluster.daemons)}", rng.choice("abc")
                )
            case 4:
                cluster.cut(name)
                cluster.schedule(
                    rng.uniform(0.5, 25), lambda: cluster.reconnect(name)
                )
            case 5:
                self._switch(daemon, "paused", 6)
            case 6:
                self._switch(daemon, "table_isolated", 25)
            case 7:
                self._switch(daemon, "writes_lost", 5)
            case 8:
                for each in list(cluster.daemons):
                    cluster.restart(each)

    def _switch(self, daemon, flag, longest_s):
        setattr(daemon, flag, True)
        self.cluster.schedule(
            self._rng.uniform(0.2, longest_s),
            lambda: setattr(daemon, flag, False),
        )

    def _mend(self):
        self.cluster.answer_loss_rate = 0.0
        self.cluster.late_writes = (0.0, 0.0)
        for name, daemon in list(self.cluster.daemons.items()):
            daemon.paused = daemon.table_isolated = daemon.writes_lost = False
            self.cluster.reconnect(name)
            if not daemon.alive or daemon.core.draining:
                self.cluster.restart(name)


@pytest.mark.parametrize("seed", range(12))
def test_slots_have_one_owner_whatever_happens_around_drills(seed):
    story = _Story(seed)
    story.play()
    assert story.cluster.run(45, story.cluster.all_slots_served) is not None
    assert story.cluster.violations == []


class _FoundingStory(_Story):
    """The same, while a further service is founded."""

    def _inject_one(self):
        if self._rng.random() < 0.75:
            super()._inject_one()
            return
        count = len(self.cluster.daemons)
        self.cluster.add_daemon(f"new-{count}", self._rng.choice("abc"), "new")


@pytest.mark.parametrize("seed", range(6))
def test_a_service_has_one_founder_whatever_happens_around_drills(seed):
    story = _FoundingStory(seed)
    story.cluster.deploy(3, service="new")
    story.play()
    cluster = story.cluster
    assert cluster.run(45, cluster.all_slots_served) is not None
    assert cluster.run(45, lambda: cluster.all_slots_served("new")) is not None
    assert cluster.violations == []
