import pytest

from tamarackgap import types
from tamarackgap.ownership import takeover
from tamarackgap.peers import messages
from tamarackgap.placement import records

STATE = types.WitnessState


def make(linger_ms=0):
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


def answer(subject, witness, state, age, now=10.0):
    subject.record_answer(witness, messages.SealReply("o", 3, state, age), now)


def test_one_seal_is_not_enough():
    subject = make()
    answer(subject, "x", STATE.SEALED, 0.9)
    assert subject.mode() is takeover.Mode.PENDING
    assert subject.unanswered() == ["y", "z"]


def test_the_wait_is_the_lease_with_drift_less_the_age():
    subject = make(linger_ms=250)
    answer(subject, "x", STATE.SEALED, 0.9)
    answer(subject, "y", STATE.SEALED, 0.8)
    assert subject.mode() is takeover.Mode.SEALED
    assert subject.over_at() == pytest.approx(10.0 + 1.1 - 0.8 + 0.25)


def test_the_majority_that_is_over_first_counts():
    subject = make()
    answer(subject, "x", STATE.SEALED, 0.9)
    answer(subject, "y", STATE.SEALED, 0.8)
    answer(subject, "z", STATE.SEALED, 0.85)
    assert subject.over_at() == pytest.approx(10.0 + 1.1 - 0.85)


def test_a_retired_epoch_ends_only_by_the_table():
    subject = make()
    answer(subject, "x", STATE.SEALED, 0.9)
    answer(subject, "y", STATE.CLOSED, 0.9)
    assert subject.mode() is takeover.Mode.TABLE


@pytest.mark.parametrize("state", [STATE.OPEN, STATE.RETIRED])
def test_a_refusal_does_not_count(state):
    subject = make()
    for name in "xyz":
        answer(subject, name, state, 0.1)
    assert subject.mode() is takeover.Mode.PENDING


def test_a_released_epoch_needs_no_wait():
    subject = make()
    for name in "xy":
        answer(subject, name, STATE.SEALED, -1.0)
    assert subject.over_at() == 10.0


def test_strangers_do_not_count():
    subject = make()
    for name in ("u", "v", "w"):
        answer(subject, name, STATE.SEALED, 0.9)
    assert subject.mode() is takeover.Mode.PENDING


def test_a_later_epoch_ends_the_attempt():
    subject = make()
    answer(subject, "x", STATE.SUPERSEDED, 0.0)
    assert subject.mode() is takeover.Mode.SUPERSEDED
