import pytest

from tamarackgap.traffic import slotrelease

MOVING = frozenset({3, 4})


class Grants:
    """Records the releases that it is asked for."""

    def __init__(self):
        self.by_heartbeat = False
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


def test_release_begins_with_heartbeat_of_target(subject):
    grants, done, releaser = subject
    grants.by_heartbeat = True
    releaser.begin(MOVING)
    assert releaser.is_waiting
    assert not grants.releases
    releaser.handle_heartbeat()
    assert not releaser.is_waiting
    ((moving, answer),) = grants.releases
    assert moving == MOVING
    answer({"range": "token"})
    assert done == [{"range": "token"}]
    releaser.handle_heartbeat()
    assert len(grants.releases) == 1


def test_release_that_ends_before_heartbeat_never_begins(subject):
    grants, _, releaser = subject
    grants.by_heartbeat = True
    releaser.begin(MOVING)
    releaser.end()
    releaser.handle_heartbeat()
    assert not grants.releases
