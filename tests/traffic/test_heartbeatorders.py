import random

import pytest

from tamarackgap.placement import slots
from tamarackgap.traffic import heartbeatorders, orders, slotgrants
from tests.traffic import test_slotgrants

FENCE = slotgrants.FENCE_STEP


class Target:
    """A server that takes its keys with the answers to its heartbeats."""

    def __init__(self, timers, grants, channel):
        self.timers = timers
        self.grants = grants
        self.channel = channel
        self.held = {}
        self.expires_at = 0.0
        self.released = []

    def report(self):
        held = [
            heartbeatorders.HeldRange(*key_range) for key_range in self.held
        ]
        if self.timers.now >= self.expires_at:
            held = []
        return heartbeatorders.HoldReport(tuple(held), tuple(self.released))

    def heartbeat(self, is_lost=False):
        """Sends a heartbeat, and takes the answer unless it is lost."""
        answer = self.channel.answer(self.report(), self.grants.grant_all)
        if answer is None or is_lost:
            return answer
        listed = {
            (grant.first, grant.last, grant.fence): grant.handover
            for grant in answer.grants
        }
        self.released = [
            heartbeatorders.ReleasedRange(first, last, f"h{first}")
            for first, last, fence in self.held
            if (first, last, fence) not in listed
        ]
        self.held = listed
        self.expires_at = self.timers.now + answer.hold_s
        return answer


@pytest.fixture
def subject():
    timers = test_slotgrants.Timers()
    core = test_slotgrants.Core(timers)
    core.lease = 3.0
    channel = heartbeatorders.HeartbeatOrders(timers, 0.9, 100)
    grants = slotgrants.SlotGrants(core, channel.send, timers, 1.0, 10.0)
    grants.by_heartbeat = True
    return timers, core, grants, Target(timers, grants, channel)


def test_answer_lists_all_ranges(subject):
    timers, core, grants, target = subject
    core.own(0, 9, 3, "token")
    core.own(20, 29, 4)
    grants.renew()
    assert not grants.is_held(0, timers.now)
    answer = target.heartbeat()
    assert [
        (grant.first, grant.last, grant.fence, grant.handover)
        for grant in answer.grants
    ] == [
        (0, 10 * 256 - 1, 3 * FENCE, "token"),
        (20 * 256, 30 * 256 - 1, 4 * FENCE, ""),
    ]
    assert answer.hold_s * 1.02 < core.lease
    assert grants.is_held(0, timers.now)
    assert grants.is_confirmed(0)


def test_handover_is_not_repeated_once_the_range_is_held(subject):
    timers, core, grants, target = subject
    core.own(0, 9, 3, "token")
    target.heartbeat()
    timers.advance(0.9)
    (grant,) = target.heartbeat().grants
    assert grant.handover == ""


def test_handover_is_repeated_after_a_lost_answer(subject):
    timers, core, grants, target = subject
    core.own(0, 9, 3, "token")
    target.heartbeat(is_lost=True)
    timers.advance(0.9)
    (grant,) = target.heartbeat().grants
    assert grant.handover == "token"


def test_hold_counts_from_lease_and_lapses_without_heartbeats(subject):
    timers, core, grants, target = subject
    core.own(0, 9, 3)
    target.heartbeat()
    timers.advance(2.9)
    assert grants.is_held(0, timers.now)
    timers.advance(0.2)
    assert not grants.is_held(0, timers.now)


def test_nothing_is_said_of_holds_without_lease(subject):
    _, core, _, target = subject
    core.own(0, 9, 3)
    core.lease = -1.0
    assert target.heartbeat() is None


def test_empty_list_is_told_when_nothing_is_owned(subject):
    _, _, _, target = subject
    assert target.heartbeat().grants == ()


def test_release_ends_when_target_no_longer_reports_the_range(subject):
    timers, core, grants, target = subject
    core.own(0, 9, 1)
    target.heartbeat()
    timers.advance(0.9)
    released = []
    grants.release(frozenset({8, 9}), released.append)
    (grant,) = target.heartbeat().grants
    assert (grant.first, grant.last) == (0, 8 * 256 - 1)
    assert not released
    assert grants.is_held(0, timers.now)
    assert not grants.is_held(9, timers.now)
    timers.advance(0.1)
    target.heartbeat()
    assert released == [{slots.SlotRange(8, 9, 1): "h0"}]


def test_release_waits_for_running_work(subject):
    timers, core, grants, target = subject
    core.own(0, 9, 1)
    target.heartbeat()
    released = []
    grants.release(frozenset(range(10)), released.append)
    working = heartbeatorders.HoldReport(
        (heartbeatorders.HeldRange(2304, 2559, FENCE),)
    )
    for _ in range(5):
        timers.advance(0.1)
        target.channel.answer(working, grants.grant_all)
        assert not released
    target.channel.answer(heartbeatorders.HoldReport(), grants.grant_all)
    assert released


def test_report_from_before_the_release_does_not_end_it(subject):
    timers, core, grants, target = subject
    core.own(0, 9, 1)
    target.heartbeat()
    released = []
    grants.release(frozenset(range(10)), released.append)
    # This report was sent before the target had taken the range.
    target.channel.answer(heartbeatorders.HoldReport(), grants.grant_all)
    assert not released


def test_release_does_not_end_while_the_answer_with_a_grant_may_arrive(subject):
    timers, core, grants, target = subject
    core.own(0, 9, 1)
    target.heartbeat(is_lost=True)
    released = []
    grants.release(frozenset(range(10)), released.append)
    # Both reports were sent before the answer that grants the range arrived.
    for _ in range(2):
        timers.advance(0.3)
        target.channel.answer(heartbeatorders.HoldReport(), grants.grant_all)
        assert not released
    timers.advance(0.8)
    target.channel.answer(heartbeatorders.HoldReport(), grants.grant_all)
    assert released


def test_release_without_heartbeats_waits_for_end_of_hold(subject):
    timers, core, grants, target = subject
    core.own(0, 9, 1)
    target.heartbeat()
    released = []
    grants.release(frozenset(range(10)), released.append)
    timers.advance(2.5)
    assert not released
    timers.advance(0.6)
    assert released == [{slots.SlotRange(0, 9, 1): ""}]


def test_handover_reported_twice_or_unasked_does_no_harm(subject):
    timers, core, grants, target = subject
    core.own(0, 9, 1)
    target.heartbeat()
    released = []
    grants.release(frozenset({8, 9}), released.append)
    freed = (heartbeatorders.ReleasedRange(2048, 2559, "token"),)
    target.channel.answer(
        heartbeatorders.HoldReport(target.report().held, freed),
        grants.grant_all,
    )
    for _ in range(3):
        target.channel.answer(
            heartbeatorders.HoldReport((), freed), grants.grant_all
        )
    assert released == [{slots.SlotRange(8, 9, 1): "token"}]


def test_unknown_hold_of_the_target_is_left_out(subject):
    _, core, _, target = subject
    core.own(0, 9, 2)
    target.held = {(5120, 7679, FENCE): ""}
    target.expires_at = 1000.0
    answer = target.heartbeat()
    assert [(grant.first, grant.last) for grant in answer.grants] == [(0, 2559)]


def test_holds_of_an_earlier_daemon_are_released_at_once(subject):
    _, core, grants, target = subject
    core.lease = -1.0
    target.held = {(0, 2559, FENCE): ""}
    target.expires_at = 1000.0

    def heartbeat():
        return target.channel.answer(
            target.report(), grants.grant_all, owns_slots=False
        )

    assert heartbeat().grants == ()
    assert not target.channel.is_target_empty
    target.held = {}
    heartbeat()
    assert target.channel.is_target_empty


def test_target_that_was_told_to_hold_a_range_is_not_empty(subject):
    timers, core, grants, target = subject
    core.own(0, 9, 1)
    target.heartbeat(is_lost=True)
    core.lose(0, 9)
    # The answer may be on its way while this report is read.
    target.channel.answer(heartbeatorders.HoldReport(), grants.grant_all)
    assert not target.channel.is_target_empty
    target.channel.answer(heartbeatorders.HoldReport(), grants.grant_all)
    assert target.channel.is_target_empty
    core.own(0, 9, 2)
    target.heartbeat()
    assert not target.channel.is_target_empty


def test_target_of_another_process_is_not_known_to_be_empty(subject):
    _, _, _, target = subject
    target.heartbeat()
    assert target.channel.is_target_empty
    target.channel.close()
    assert not target.channel.is_target_empty


def test_release_all_leaves_everything_out(subject):
    timers, core, grants, target = subject
    core.own(0, 9, 1)
    target.heartbeat()
    ended = []
    grants.release_all(lambda: ended.append(True))
    assert target.heartbeat().grants == ()
    assert not ended
    target.heartbeat()
    assert ended


def test_end_of_target_fails_releases(subject):
    timers, core, grants, target = subject
    core.own(0, 9, 1)
    target.heartbeat()
    results = []
    target.channel.send(orders.Release(0, 255, FENCE), 1.5, results.append)
    target.channel.close()
    assert results == [orders.OrderResult(False)]
    timers.advance(5)
    assert len(results) == 1


def test_range_that_is_not_taken_gets_a_higher_fence(subject):
    timers, core, grants, target = subject
    core.own(0, 9, 1)
    fences = []
    for _ in range(5):
        answer = target.heartbeat(is_lost=True)
        fences.append([grant.fence for grant in answer.grants])
        timers.advance(0.9)
    assert fences == [[FENCE], [FENCE], [], [FENCE + 1], [FENCE + 1]]


def test_answer_is_bounded(subject):
    timers, core, grants, target = subject
    target.channel = heartbeatorders.HeartbeatOrders(timers, 0.9, 100)
    grants = slotgrants.SlotGrants(core, target.channel.send, timers, 1.0, 10.0)
    grants.by_heartbeat = True
    target.grants = grants
    for slot in range(0, 256):
        core.own(slot, slot, slot + 1)
    answer = target.heartbeat()
    assert len(answer.grants) == 100
    assert sum(grants.is_held(slot, timers.now) for slot in range(256)) == 100


@pytest.mark.parametrize("seed", range(20))
def test_slot_is_released_only_when_no_answer_can_give_it_back(seed):
    """Answers are lost and late while slots come and go."""
    rng = random.Random(seed)
    timers = test_slotgrants.Timers()
    core = test_slotgrants.Core(timers)
    core.lease = 3.0
    channel = heartbeatorders.HeartbeatOrders(timers, 0.9, 100)
    grants = slotgrants.SlotGrants(core, channel.send, timers, 1.0, 10.0)
    grants.by_heartbeat = True
    target = Target(timers, grants, channel)
    core.own(0, 31, 1)
    for step in range(60):
        target.heartbeat(is_lost=rng.random() < 0.3)
        timers.advance(rng.choice([0.1, 0.9]))
        if rng.random() < 0.3 and not grants.has_pending_releases:
            first = rng.randrange(0, 30)
            moving = frozenset({first, first + 1}) & core.owned.keys()

            def check(handovers, moving=moving):
                for slot in moving:
                    position = slot * 256
                    assert timers.now >= target.expires_at or not any(
                        low <= position <= high for low, high, _ in target.held
                    )

            grants.release(moving, check)
        elif not grants.has_pending_releases:
            grants.end_release()
        if step % 7 == 0:
            core.own(0, 31, 1 + step // 7)
