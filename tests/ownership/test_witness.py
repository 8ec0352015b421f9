import math

from tamarackgap import types
from tamarackgap.ownership import witness

STATE = types.WitnessState


def make_witness():
    return witness.Witness(lambda owner: 0.48)


def test_a_renewed_epoch_is_not_sealed():
    own_witness = make_witness()
    own_witness.renew("o", 1, 10.0)
    state, age = own_witness.seal("o", 1, 10.3)
    assert state is STATE.OPEN
    assert age == 10.3 - 10.0


def test_a_sealed_epoch_is_never_renewed_again():
    own_witness = make_witness()
    own_witness.renew("o", 1, 10.0)
    assert own_witness.seal("o", 1, 10.5)[0] is STATE.SEALED
    assert own_witness.renew("o", 1, 10.6) is STATE.SEALED
    assert own_witness.epoch_state("o", 1).granted_at == 10.0
    assert own_witness.retire("o", 1) is STATE.SEALED


def test_a_retired_epoch_is_renewed_but_never_sealed():
    own_witness = make_witness()
    own_witness.renew("o", 1, 10.0)
    assert own_witness.retire("o", 1) is STATE.RETIRED
    assert own_witness.renew("o", 1, 10.1) is STATE.RETIRED
    assert own_witness.seal("o", 1, 11.0)[0] is STATE.CLOSED
    assert own_witness.renew("o", 1, 11.1) is STATE.CLOSED


def test_an_epoch_that_was_never_granted_has_infinite_age():
    assert make_witness().seal("o", 4, 1.0) == (STATE.SEALED, math.inf)


def test_a_released_epoch_is_sealed_at_once():
    own_witness = make_witness()
    own_witness.renew("o", 1, 10.0)
    own_witness.release("o", 1)
    assert own_witness.seal("o", 1, 10.01) == (STATE.SEALED, math.inf)


def test_the_two_latest_epochs_are_kept():
    own_witness = make_witness()
    own_witness.renew("o", 1, 10.0)
    own_witness.renew("o", 2, 10.1)
    assert own_witness.renew("o", 1, 10.2) is STATE.OPEN
    own_witness.renew("o", 3, 10.3)
    assert own_witness.renew("o", 1, 10.4) is STATE.SUPERSEDED


def test_only_epochs_with_old_grants_are_suspected():
    own_witness = make_witness()
    own_witness.renew("fresh", 1, 10.0)
    own_witness.renew("old", 1, 9.0)
    own_witness.seal("asked-only", 1, 9.0)
    assert [s.owner for s in own_witness.suspicions(10.1)] == ["old"]


def test_a_forgotten_epoch_is_never_renewed():
    own_witness = make_witness()
    own_witness.renew("o", 1, 1.0)
    (suspicion,) = own_witness.suspicions(10.0)
    own_witness.forget_suspicion(suspicion)
    assert own_witness.suspicions(11.0) == []
    assert own_witness.renew("o", 1, 12.0) is STATE.CLOSED


def test_a_probe_renews_nothing():
    own_witness = make_witness()
    own_witness.renew("o", 1, 10.0)
    assert own_witness.renew("o", 1, 10.4, probe=True) is STATE.OPEN
    assert own_witness.epoch_state("o", 1).granted_at == 10.0
    assert own_witness.seal("o", 1, 10.5)[0] is STATE.SEALED
