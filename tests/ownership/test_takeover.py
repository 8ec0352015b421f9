import pytest

from tamarackgap import types
from tamarackgap.ownership import takeover
from tamarackgap.peers import messages
from tamarackgap.placement import records

STATE = types.WitnessState


def make_attempt(linger_ms=0):
    record = records.LeaseRecord(
        "seats",
        "d",
        "o",
        "a",
        "127.0.0.1:1",
        "127.0.0.1:2",
        epoch=3,
        witnesses=("x", "y", "z"),
        lease_ms=1000,
        linger_ms=linger_ms,
    )
    return takeover.Takeover(record, 0.1, types.Seconds(0.0))


def record_answer(attempt, witness, state, age, now=10.0):
    attempt.record_answer(witness, messages.SealReply("o", 3, state, age), now)


def test_one_seal_is_not_enough():
    attempt = make_attempt()
    record_answer(attempt, "x", STATE.SEALED, 0.9)
    assert attempt.mode() is takeover.Mode.PENDING
    assert attempt.remaining_witnesses() == ["y", "z"]


def test_the_wait_is_the_lease_with_drift_less_the_age():
    attempt = make_attempt(linger_ms=250)
    record_answer(attempt, "x", STATE.SEALED, 0.9)
    record_answer(attempt, "y", STATE.SEALED, 0.8)
    assert attempt.mode() is takeover.Mode.SEALED
    assert attempt.lease_end() == pytest.approx(10.0 + 1.1 - 0.8 + 0.25)


def test_the_majority_that_expires_first_counts():
    attempt = make_attempt()
    record_answer(attempt, "x", STATE.SEALED, 0.9)
    record_answer(attempt, "y", STATE.SEALED, 0.8)
    record_answer(attempt, "z", STATE.SEALED, 0.85)
    assert attempt.lease_end() == pytest.approx(10.0 + 1.1 - 0.85)


def test_a_retired_epoch_ends_only_by_the_table():
    attempt = make_attempt()
    record_answer(attempt, "x", STATE.SEALED, 0.9)
    record_answer(attempt, "y", STATE.CLOSED, 0.9)
    assert attempt.mode() is takeover.Mode.TABLE


@pytest.mark.parametrize("state", [STATE.OPEN, STATE.RETIRED])
def test_a_refusal_does_not_count(state):
    attempt = make_attempt()
    for name in "xyz":
        record_answer(attempt, name, state, 0.1)
    assert attempt.mode() is takeover.Mode.PENDING


def test_a_released_epoch_needs_no_wait():
    attempt = make_attempt()
    for name in "xy":
        record_answer(attempt, name, STATE.SEALED, -1.0)
    assert attempt.lease_end() == 10.0


def test_answers_of_other_daemons_do_not_count():
    attempt = make_attempt()
    for name in ("u", "v", "w"):
        record_answer(attempt, name, STATE.SEALED, 0.9)
    assert attempt.mode() is takeover.Mode.PENDING


def test_a_later_epoch_ends_the_attempt():
    attempt = make_attempt()
    record_answer(attempt, "x", STATE.SUPERSEDED, 0.0)
    assert attempt.mode() is takeover.Mode.SUPERSEDED
