import pytest

from tamarackgap.traffic import slotrelease

MOVING = frozenset({3, 4})


class Holds:
    """Notes what it is told to release."""

    def __init__(self):
        self.asked = []
        self.ended = 0

    def release(self, moving, done):
        self.asked.append((moving, done))

    def end_release(self):
        self.ended += 1


@pytest.fixture
def subject():
    holds = Holds()
    done = []
    return holds, done, slotrelease.SlotReleaser(holds, done.append)


def test_what_the_target_said_is_handed_on(subject):
    holds, done, hand_offs = subject
    hand_offs.begin(MOVING)
    ((moving, answer),) = holds.asked
    assert moving == MOVING
    answer({"run": "told"})
    assert done == [{"run": "told"}]
    hand_offs.end()
    assert holds.ended == 1


def test_a_late_answer_to_an_earlier_one_is_dropped(subject):
    holds, done, hand_offs = subject
    hand_offs.begin(MOVING)
    ((_, late),) = holds.asked
    hand_offs.end()
    hand_offs.begin(MOVING)
    late({})
    assert not done
