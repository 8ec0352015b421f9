import math

from tamarackgap import types
from tamarackgap.ownership import witness

STATE = types.WitnessState


def make():
    return witness.Witness(types.Seconds(0.48))


def test_a_renewed_epoch_is_not_sealed():
    subject = make()
    subject.renew("o", 1, 10.0)
    state, age = subject.seal("o", 1, 10.3)
    assert state is STATE.OPEN
    assert age == 10.3 - 10.0


def test_a_sealed_epoch_is_never_renewed_again():
    subject = make()
    subject.renew("o", 1, 10.0)
    assert subject.seal("o", 1, 10.5)[0] is STATE.SEALED
    assert subject.renew("o", 1, 10.6) is STATE.SEALED
    assert subject.entry("o", 1).granted_at == 10.0
    assert subject.retire("o", 1) is STATE.SEALED


def test_a_retired_epoch_is_renewed_but_never_sealed():
    subject = make()
    subject.renew("o", 1, 10.0)
    assert subject.retire("o", 1) is STATE.RETIRED
    assert subject.renew("o", 1, 10.1) is STATE.RETIRED
    assert subject.seal("o", 1, 11.0)[0] is STATE.CLOSED
    assert subject.renew("o", 1, 11.1) is STATE.CLOSED


def test_an_epoch_that_was_never_granted_has_infinite_age():
    assert make().seal("o", 4, 1.0) == (STATE.SEALED, math.inf)


def test_a_released_epoch_is_sealed_at_once():
    subject = make()
    subject.renew("o", 1, 10.0)
    subject.release("o", 1)
    assert subject.seal("o", 1, 10.01) == (STATE.SEALED, math.inf)


def test_an_epoch_and_the_next_one_are_kept_side_by_side():
    subject = make()
    subject.renew("o", 1, 10.0)
    subject.renew("o", 2, 10.1)
    assert subject.renew("o", 1, 10.2) is STATE.OPEN
    subject.renew("o", 3, 10.3)
    assert subject.renew("o", 1, 10.4) is STATE.SUPERSEDED


def test_only_epochs_with_old_grants_are_suspected():
    subject = make()
    subject.renew("fresh", 1, 10.0)
    subject.renew("old", 1, 9.0)
    subject.seal("asked-only", 1, 9.0)
    assert [s.owner for s in subject.suspicions(10.1)] == ["old"]


def test_a_forgotten_suspicion_is_still_never_renewed():
    subject = make()
    subject.renew("o", 1, 1.0)
    (found,) = subject.suspicions(10.0)
    subject.forget_suspicion(found)
    assert subject.suspicions(11.0) == []
    assert subject.renew("o", 1, 12.0) is STATE.CLOSED


def test_a_probe_renews_nothing():
    subject = make()
    subject.renew("o", 1, 10.0)
    assert subject.renew("o", 1, 10.4, probe=True) is STATE.OPEN
    assert subject.entry("o", 1).granted_at == 10.0
    assert subject.seal("o", 1, 10.5)[0] is STATE.SEALED
