import math

import hypothesis

from tamarackgap import types
from tamarackgap.ownership import lease

OPEN = types.WitnessState.OPEN
RETIRED = types.WitnessState.RETIRED


def make_grants(epoch=1, names=("a", "b", "c"), now=0.0):
    return lease.EpochGrants(epoch, names, 0.6, now)


def test_without_witnesses_there_is_no_lease():
    assert make_grants(names=()).valid_until() == -math.inf


def test_a_lease_needs_a_majority_of_grants():
    grants = make_grants()
    grants.record_answer("a", OPEN, 10.1, sent=10.0)
    assert grants.valid_until() == -math.inf
    grants.record_answer("b", OPEN, 10.6, sent=10.2)
    assert grants.valid_until() == 10.6


def test_validity_counts_from_the_sending_not_from_the_receipt():
    grants = make_grants(names=("a",))
    grants.record_answer("a", OPEN, 99.0, sent=10.0)
    assert grants.valid_until() == 10.6


def test_a_late_answer_does_not_shorten_a_lease():
    grants = make_grants(names=("a",))
    grants.record_answer("a", OPEN, 10.3, sent=10.2)
    grants.record_answer("a", OPEN, 10.4, sent=10.0)
    assert grants.valid_until() == 10.2 + 0.6


def test_answers_of_other_daemons_do_not_count():
    grants = make_grants(names=("a",))
    grants.record_answer("x", OPEN, 10.1, sent=10.0)
    assert grants.valid_until() == -math.inf


def test_silent_and_refusing_witnesses_are_told_apart():
    grants = make_grants()
    grants.record_answer("a", types.WitnessState.SEALED, 5.0)
    grants.record_answer("b", OPEN, 5.0, sent=4.9)
    assert grants.silent_witnesses(5.5, 1.0) == {"c"}
    assert grants.refusing_witnesses() == {"a"}


def test_the_next_epoch_waits_for_retirement_and_grants():
    owner_lease = lease.Lease(make_grants())
    next_grants = make_grants(epoch=2, names=("d",))
    owner_lease.prepare(next_grants)
    assert not owner_lease.is_prepared(10.0)
    next_grants.record_answer("d", OPEN, 10.0, sent=10.0)
    assert not owner_lease.is_prepared(10.1)
    for name in "ab":
        owner_lease.current.record_answer(name, RETIRED, 10.1, sent=10.0)
    assert owner_lease.is_prepared(10.1)


def test_while_a_write_is_undecided_both_epochs_must_be_granted():
    owner_lease = lease.Lease(make_grants(names=("a",)))
    owner_lease.current.record_answer("a", RETIRED, 10.0, sent=10.0)
    next_grants = make_grants(epoch=2, names=("d",))
    next_grants.record_answer("d", OPEN, 9.9, sent=9.9)
    owner_lease.prepare(next_grants)
    assert owner_lease.valid_until() == 10.6
    owner_lease.begin_write()
    assert owner_lease.valid_until() == 9.9 + 0.6
    owner_lease.promote()
    assert owner_lease.current.epoch == 2
    assert owner_lease.next is None


def test_abandoning_the_next_epoch_keeps_the_current_one():
    owner_lease = lease.Lease(make_grants(names=("a",)))
    owner_lease.prepare(make_grants(epoch=2))
    owner_lease.begin_write()
    owner_lease.abandon()
    assert owner_lease.current.epoch == 1
    assert not owner_lease.is_undecided


@hypothesis.given(hypothesis.strategies.data())
def test_the_end_of_a_lease_never_moves_back(data):
    # A target held slots longer than the successor of its daemon waited.
    integers = hypothesis.strategies.integers
    owner_lease = lease.Lease(make_grants())
    now = 10.0
    promised = -math.inf
    for _ in range(data.draw(integers(1, 60))):
        now += data.draw(integers(0, 30)) / 100
        for grants in owner_lease.epochs():
            for name in grants.witnesses:
                if data.draw(hypothesis.strategies.booleans()):
                    sent = now - data.draw(integers(0, 30)) / 100
                    state = RETIRED if owner_lease.next else OPEN
                    grants.record_answer(name, state, now, sent=sent)
        if owner_lease.next is None:
            witnesses = data.draw(
                hypothesis.strategies.sampled_from(["abc", "abd", "def", "d"])
            )
            epoch = owner_lease.current.epoch + 1
            owner_lease.prepare(make_grants(epoch, tuple(witnesses), now))
        elif owner_lease.is_undecided:
            if data.draw(hypothesis.strategies.booleans()):
                owner_lease.promote()
            else:
                owner_lease.abandon()
        elif owner_lease.is_prepared(now):
            owner_lease.begin_write()
        assert owner_lease.valid_until() >= promised
        promised = owner_lease.valid_until()


def test_the_next_epoch_catches_up_with_the_lease():
    owner_lease = lease.Lease(make_grants(names=("a",)))
    next_grants = make_grants(epoch=2, names=("d",))
    owner_lease.prepare(next_grants)
    owner_lease.current.record_answer("a", RETIRED, 10.0, sent=10.0)
    next_grants.record_answer("d", OPEN, 10.0, sent=9.8)
    assert not owner_lease.is_prepared(10.0)
    # Answers of the next epoch's witness arrive later than the others.
    owner_lease.current.record_answer("a", RETIRED, 10.2, sent=10.2)
    next_grants.record_answer("d", OPEN, 10.2, sent=10.0)
    assert owner_lease.is_prepared(10.2)
    assert owner_lease.valid_until() == 10.6


def test_grants_of_the_next_epoch_that_have_expired_are_told():
    owner_lease = lease.Lease(make_grants(names=("a",)))
    next_grants = make_grants(epoch=2, names=("d",))
    owner_lease.prepare(next_grants)
    assert not owner_lease.has_next_expired(10.0)
    next_grants.record_answer("d", OPEN, 10.0, sent=10.0)
    assert not owner_lease.has_next_expired(10.5)
    assert owner_lease.has_next_expired(10.6)
