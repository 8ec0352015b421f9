import pytest

from tamarackgap.traffic import handoff
from tests.traffic import test_keyholds

MOVING = frozenset({3, 4})


class Calls:
    """Says how many long calls run."""

    def __init__(self):
        self.running = 0
        self.held_back = frozenset()

    def hold_back(self, moving):
        self.held_back = moving

    def long_calls(self, moving):
        return self.running


class Holds:
    """Notes what it is told to release."""

    def __init__(self):
        self.unconfirmed = set()
        self.asked = []
        self.ended = 0

    def confirmed(self, slot):
        return slot not in self.unconfirmed

    def release(self, moving, done):
        self.asked.append((moving, done))

    def released(self):
        self.ended += 1


class Subject:
    def __init__(self):
        self.timers = test_keyholds.Timers()
        self.calls = Calls()
        self.holds = Holds()
        self.done = []
        self.hand_offs = handoff.HandOffs(
            self.calls, self.holds, self.timers, self.done.append
        )

    def run(self, seconds):
        for _ in range(round(seconds / 0.01)):
            self.timers.step(0.01)


@pytest.fixture
def subject():
    return Subject()


def test_without_long_calls_slots_are_released_at_once(subject):
    subject.hand_offs.begin(MOVING, False)
    ((moving, done),) = subject.holds.asked
    assert moving == MOVING
    done({"run": "told"})
    assert subject.done == [{"run": "told"}]


def test_long_calls_end_first_and_no_new_ones_start(subject):
    subject.calls.running = 2
    subject.hand_offs.begin(MOVING, False)
    assert subject.calls.held_back == MOVING
    subject.run(0.1)
    assert not subject.holds.asked
    subject.calls.running = 0
    subject.run(0.05)
    assert subject.holds.asked


def test_long_calls_are_waited_for_a_short_time_only(subject):
    subject.calls.running = 2
    subject.hand_offs.begin(MOVING, False)
    subject.run(0.35)
    assert subject.holds.asked


def test_one_who_leaves_does_not_wait(subject):
    subject.calls.running = 2
    subject.hand_offs.begin(MOVING, True)
    assert subject.holds.asked


def test_slots_with_an_unanswered_grant_are_not_released(subject):
    subject.holds.unconfirmed = {4}
    subject.hand_offs.begin(MOVING, True)
    subject.run(1.0)
    assert not subject.holds.asked
    subject.holds.unconfirmed = set()
    subject.run(0.05)
    assert subject.holds.asked


def test_a_hand_off_that_ended_is_not_carried_on(subject):
    subject.calls.running = 1
    subject.hand_offs.begin(MOVING, False)
    subject.hand_offs.end()
    assert subject.calls.held_back == frozenset()
    assert subject.holds.ended == 1
    subject.run(1.0)
    assert not subject.holds.asked


def test_a_late_answer_to_an_earlier_one_is_dropped(subject):
    subject.hand_offs.begin(MOVING, False)
    ((_, late),) = subject.holds.asked
    subject.hand_offs.end()
    subject.hand_offs.begin(MOVING, False)
    late({})
    assert not subject.done
