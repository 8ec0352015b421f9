import random

import pytest

from tamarackgap.ownership import effects, ownership
from tamarackgap.placement import slots
from tamarackgap.traffic import slotgrants


class Timers:
    """A clock that is stepped by hand."""

    def __init__(self):
        self.now = 100.0
        self._due = []

    def after(self, seconds, call):
        self._due.append((self.now + seconds, call))

    def step(self, seconds):
        self.now += seconds
        due = [item for item in self._due if item[0] <= self.now]
        self._due = [item for item in self._due if item[0] > self.now]
        for _, call in due:
            call()


class ServiceRecord:
    slots = 256


class TableView:
    def service_record(self, service):
        return ServiceRecord


class Core:
    """An owner whose slots and lease are set by hand."""

    def __init__(self, timers):
        self.timers = timers
        self.owned = {}
        self.slots_version = 0
        self.lease = 1.0
        self.view = TableView()
        self.settings = effects.Settings("s", "d", "z", "p", "h")

    def own(self, first, last, fence, handover=""):
        for slot in range(first, last + 1):
            self.owned[slot] = effects.OwnedSlot(fence, 0.0, handover)
        self.slots_version += 1

    def lose(self, first, last):
        for slot in range(first, last + 1):
            del self.owned[slot]
        self.slots_version += 1

    def lease_until(self):
        return self.timers.now + self.lease


class Target:
    """Takes orders, and answers them when told to."""

    def __init__(self):
        self.orders = []

    def __call__(self, order, timeout, done):
        self.orders.append((order, done))

    def answer(self, acknowledged=True, **fields):
        orders = self.orders
        self.orders = []
        for _, done in orders:
            done(slotgrants.OrderResult(acknowledged, **fields))
        return [order for order, _ in orders]


@pytest.fixture
def subject():
    timers = Timers()
    core = Core(timers)
    target = Target()
    holds = slotgrants.SlotGrants(core, target, timers, 1.0, 10.0)
    return timers, core, target, holds


def test_a_slot_is_held_once_the_target_says_so(subject):
    timers, core, target, holds = subject
    core.own(0, 127, 3)
    holds.renew()
    assert not holds.is_held(5, timers.now)
    (grant,) = target.answer()
    assert (grant.first, grant.last) == (0, 128 * 256 - 1)
    assert grant.fence == 3 * slotgrants.FENCE_STEP
    assert holds.is_held(5, timers.now)
    assert not holds.is_held(200, timers.now)


def test_a_hold_ends_before_the_lease_on_a_slow_clock(subject):
    timers, core, target, holds = subject
    core.own(0, 1, 1)
    holds.renew()
    (grant,) = target.answer()
    assert grant.hold_s * 1.02 < core.lease


def test_a_hold_is_no_longer_than_the_target_takes(subject):
    timers, core, target, _ = subject
    holds = slotgrants.SlotGrants(core, target, timers, 1.0, 0.4)
    core.own(0, 1, 1)
    holds.renew()
    (grant,) = target.answer()
    assert grant.hold_s <= 0.4
    timers.step(0.5)
    assert not holds.is_held(0, timers.now)


def test_few_orders_are_under_way_at_once(subject):
    timers, core, target, holds = subject
    for first in range(0, 60, 2):
        core.own(first, first, first + 1)
    holds.renew()
    assert len(target.orders) == 2
    while target.orders:
        target.answer()
    assert all(holds.is_held(slot, timers.now) for slot in range(0, 60, 2))


def test_slots_that_stay_are_held_while_others_move(subject):
    timers, core, target, holds = subject
    core.own(0, 9, 1)
    holds.renew()
    target.answer()
    released = []
    holds.release(frozenset({8, 9}), released.append)
    assert holds.is_held(0, timers.now)
    assert not holds.is_held(9, timers.now)
    target.answer(handover="token")
    assert released == [{slots.SlotRange(8, 9, 1): "token"}]


def test_a_release_without_answer_waits_for_the_end_of_the_hold(subject):
    timers, core, target, holds = subject
    core.own(0, 9, 1)
    holds.renew()
    target.answer()
    released = []
    holds.release(frozenset(range(10)), released.append)
    target.answer(acknowledged=False)
    assert not released
    timers.step(1.01)
    assert released


def test_a_grant_without_answer_may_hold_until_its_end(subject):
    timers, core, target, holds = subject
    core.own(0, 9, 1)
    holds.renew()
    target.answer(acknowledged=False)
    assert holds.pause() == pytest.approx(1.0)
    released = []
    holds.release(frozenset(range(10)), released.append)
    target.answer(acknowledged=False)
    assert not released
    timers.step(1.01)
    assert released


def test_nothing_is_granted_between_giving_up_and_the_lease_s_end(subject):
    # A planned move that ended just then granted the keys once more, and the
    # successor's target held them too: OWNER in a hunt.
    timers, core, target, holds = subject
    core.own(0, 9, 1)
    holds.renew()
    target.answer()
    moved = []
    holds.release(frozenset({0, 1}), moved.append)
    done = []
    holds.release_all(lambda: done.append(True))
    target.answer()
    core.lose(0, 1)
    holds.end_release()
    timers.step(0.3)
    holds.renew()
    assert not target.orders
    assert done
    core.owned.clear()
    core.slots_version += 1
    holds.reset()
    core.own(4, 5, 9)
    holds.renew()
    fences = [order.fence for order, _ in target.orders]
    assert fences == [9 * slotgrants.FENCE_STEP]


def test_slots_that_were_given_up_are_granted_under_the_next_lease(subject):
    timers, core, target, holds = subject
    core.own(0, 9, 1)
    holds.renew()
    target.answer()
    holds.release_all(lambda: None)
    target.answer()
    core.owned.clear()
    core.slots_version += 1
    holds.reset()
    core.own(4, 5, 9)
    holds.renew()
    (grant,) = target.answer()
    assert grant.fence == 9 * slotgrants.FENCE_STEP
    assert holds.is_held(4, timers.now)


def test_a_slot_is_confirmed_by_an_answer_only(subject):
    # A grant without an answer was carried out after the slot had moved, and
    # the target took it under a fence that was passed: OWNER in a hunt.
    timers, core, target, holds = subject
    core.own(0, 9, 1)
    assert not holds.is_confirmed(3)
    holds.renew()
    target.answer(acknowledged=False)
    assert not holds.is_confirmed(3)
    holds.renew()
    target.answer()
    assert holds.is_confirmed(3)
    core.own(3, 3, 2)
    holds.renew()
    assert not holds.is_confirmed(3)
    assert holds.is_confirmed(4)


def test_a_grant_after_one_without_answer_has_a_higher_fence(subject):
    # The late one was carried out after the slot had moved, although a later
    # one had been answered: OWNER in hunts, while orders were carried out late.
    timers, core, target, holds = subject
    core.own(0, 9, 5)
    holds.renew()
    target.answer()
    timers.step(0.5)
    holds.renew()
    (late,) = target.answer(acknowledged=False)
    assert not holds.is_confirmed(3)
    holds.renew()
    (again,) = target.answer()
    assert again.fence > late.fence
    assert again.fence < 6 * slotgrants.FENCE_STEP
    assert holds.is_confirmed(3)
    holds.release(frozenset({8, 9}), lambda handovers: None)
    (release,) = target.answer()
    assert release.fence == again.fence


def test_a_slot_is_not_confirmed_while_a_grant_is_under_way(subject):
    timers, core, target, holds = subject
    core.own(0, 9, 1)
    holds.renew()
    target.answer()
    assert holds.is_confirmed(3)
    timers.step(0.5)
    holds.renew()
    assert not holds.is_confirmed(3)
    target.answer()
    assert holds.is_confirmed(3)


def test_what_was_unanswered_is_remembered_when_runs_change(subject):
    timers, core, target, holds = subject
    core.own(0, 9, 1)
    holds.renew()
    target.answer(acknowledged=False)
    core.lose(8, 9)
    holds.renew()
    (grant,) = target.answer()
    assert grant.fence == slotgrants.FENCE_STEP + 1


def test_a_grant_under_way_counts_as_unanswered_when_runs_change(subject):
    # It was carried out late under the fence of the next one: OWNER in a run.
    timers, core, target, holds = subject
    core.own(0, 9, 1)
    holds.renew()
    target.answer()
    timers.step(0.5)
    holds.renew()
    ((late, tell_late),) = target.orders
    target.orders = []
    core.lose(8, 9)
    holds.renew()
    assert not holds.is_confirmed(3)
    timers.step(0.5)
    holds.renew()
    (grant,) = target.answer()
    assert grant.fence > late.fence
    assert holds.is_confirmed(3)
    tell_late(slotgrants.OrderResult(False))
    assert holds.is_confirmed(3)


def test_fences_do_not_fall_after_a_move_that_failed(subject):
    timers, core, target, holds = subject
    core.own(0, 9, 1)
    holds.renew()
    target.answer(acknowledged=False)
    holds.renew()
    (last,) = target.answer()
    holds.release(frozenset({8, 9}), lambda handovers: None)
    target.answer()
    holds.end_release()
    holds.renew()
    fences = [grant.fence for grant in target.answer()]
    assert min(fences) >= last.fence


def test_a_superseded_run_is_not_asked_for_again(subject):
    timers, core, target, holds = subject
    core.own(0, 9, 1)
    holds.renew()
    target.answer(acknowledged=False, superseded=True)
    timers.step(0.5)
    holds.renew()
    assert not target.orders


def test_the_ownership_protocol_offers_what_is_used_here():
    core = ownership.Ownership(
        effects.Settings("s", "d", "z", "p", "h"),
        random.Random(1),
        lambda slot: False,
        0.0,
    )
    for name in ("owned", "slots_version", "view", "settings", "lease_until"):
        assert hasattr(core, name)


def test_slots_owned_before_the_founding_row_is_known_wait_for_it(subject):
    # Rows that daemons pass on come in any order.
    timers, core, target, holds = subject
    core.view.service_record = lambda service: None
    core.own(0, 127, 3)
    holds.renew()
    assert target.orders == []
    assert not holds.is_held(5, timers.now)
    core.view.service_record = lambda service: ServiceRecord
    holds.renew()
    target.answer()
    assert holds.is_held(5, timers.now)


def test_a_grant_that_waited_for_its_connection_holds_no_longer(subject):
    # A slow process wrote a grant, made under its lease, after the lease had
    # ended: its target took keys that another had under a higher fence.
    timers, core, target, holds = subject
    core.own(0, 1, 1)
    holds.renew()
    ((grant, _),) = target.orders
    ends = timers.now + core.lease
    timers.now += 0.3
    written = holds.with_remaining_hold(grant)
    assert timers.now + written.hold_s * 1.02 < ends
    assert written.hold_s < grant.hold_s
    timers.now = ends - 0.2
    assert holds.with_remaining_hold(grant) is None


def test_a_process_that_stands_still_for_a_tenth_holds_nothing_too_long(
    subject,
):
    timers, core, target, holds = subject
    core.own(0, 1, 1)
    holds.renew()
    ((grant, _),) = target.orders
    arrives = timers.now + 0.1
    assert arrives + grant.hold_s * 1.02 <= timers.now + core.lease


def test_grants_without_answer_are_waited_for_when_the_target_is_another(
    subject,
):
    # The new target carried out a grant that was written for the earlier one,
    # while successors were told at once that it held nothing (soak, seed 204).
    timers, core, target, holds = subject
    core.own(0, 9, 1)
    holds.renew()
    target.answer()
    timers.step(0.3)
    holds.renew()
    ((grant, done),) = target.orders
    doubtful = holds.stop()
    assert doubtful >= grant.hold_s
    done(slotgrants.OrderResult(False))
    assert holds.stop() == pytest.approx(doubtful)
    assert not holds.is_held(0, timers.now)
    target.orders.clear()
    timers.step(0.3)
    holds.renew()
    assert not target.orders
    holds.reset()
    holds.renew()
    assert target.orders


def test_nothing_is_waited_for_where_all_grants_were_answered(subject):
    _, core, target, holds = subject
    core.own(0, 9, 1)
    holds.renew()
    target.answer()
    assert holds.stop() == 0.0
