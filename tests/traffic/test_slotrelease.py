import pytest

from tamarackgap.traffic import slotrelease

MOVING = frozenset({3, 4})


class Grants:
    """Records the releases that it is asked for."""

    def __init__(self):
        self.releases = []
        self.ended = 0

    def release(self, moving, done):
        self.releases.append((moving, done))

    def end_release(self):
        self.ended += 1


@pytest.fixture
def subject():
    grants = Grants()
    done = []
    return grants, done, slotrelease.SlotReleaser(grants, done.append)


def test_handovers_are_passed_on(subject):
    grants, done, releaser = subject
    releaser.begin(MOVING)
    ((moving, answer),) = grants.releases
    assert moving == MOVING
    answer({"range": "token"})
    assert done == [{"range": "token"}]
    releaser.end()
    assert grants.ended == 1


def test_late_answer_to_earlier_release_is_dropped(subject):
    grants, done, releaser = subject
    releaser.begin(MOVING)
    ((_, late),) = grants.releases
    releaser.end()
    releaser.begin(MOVING)
    late({})
    assert not done
