import math

from tamarackgap import types
from tamarackgap.ownership import lease

OPEN = types.WitnessState.OPEN
RETIRED = types.WitnessState.RETIRED


def grants(epoch=1, names=("a", "b", "c"), now=0.0):
    return lease.EpochGrants(epoch, names, 0.6, now)


def test_without_witnesses_there_is_no_lease():
    assert grants(names=()).valid_until() == -math.inf


def test_a_lease_needs_a_majority_of_grants():
    subject = grants()
    subject.record_answer("a", OPEN, 10.1, sent=10.0)
    assert subject.valid_until() == -math.inf
    subject.record_answer("b", OPEN, 10.6, sent=10.2)
    assert subject.valid_until() == 10.6


def test_validity_counts_from_the_sending_not_from_the_receipt():
    subject = grants(names=("a",))
    subject.record_answer("a", OPEN, 99.0, sent=10.0)
    assert subject.valid_until() == 10.6


def test_a_late_answer_does_not_shorten_a_lease():
    subject = grants(names=("a",))
    subject.record_answer("a", OPEN, 10.3, sent=10.2)
    subject.record_answer("a", OPEN, 10.4, sent=10.0)
    assert subject.valid_until() == 10.2 + 0.6


def test_strangers_do_not_count():
    subject = grants(names=("a",))
    subject.record_answer("x", OPEN, 10.1, sent=10.0)
    assert subject.valid_until() == -math.inf


def test_silent_and_refusing_witnesses_are_told_apart():
    subject = grants()
    subject.record_answer("a", types.WitnessState.SEALED, 5.0)
    subject.record_answer("b", OPEN, 5.0, sent=4.9)
    assert subject.silent_witnesses(5.5, 1.0) == {"c"}
    assert subject.refusing_witnesses() == {"a"}


def test_the_next_epoch_waits_for_retirement_and_grants():
    subject = lease.Lease(grants())
    following = grants(epoch=2, names=("d",))
    subject.prepare(following)
    assert not subject.is_prepared(10.0)
    following.record_answer("d", OPEN, 10.0, sent=10.0)
    assert not subject.is_prepared(10.1)
    for name in "ab":
        subject.current.record_answer(name, RETIRED, 10.1, sent=10.0)
    assert subject.is_prepared(10.1)


def test_an_undecided_write_needs_both_epochs_grants():
    subject = lease.Lease(grants(names=("a",)))
    subject.current.record_answer("a", RETIRED, 10.0, sent=10.0)
    following = grants(epoch=2, names=("d",))
    following.record_answer("d", OPEN, 9.9, sent=9.9)
    subject.prepare(following)
    assert subject.valid_until() == 10.6
    subject.begin_write()
    assert subject.valid_until() == 9.9 + 0.6
    subject.promote()
    assert subject.current.epoch == 2
    assert subject.next is None


def test_an_abandoned_epoch_leaves_the_current_one():
    subject = lease.Lease(grants(names=("a",)))
    subject.prepare(grants(epoch=2))
    subject.begin_write()
    subject.abandon()
    assert subject.current.epoch == 1
    assert not subject.undecided
