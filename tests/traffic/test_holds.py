import msgspec
import pytest

from tamarackgap import decoding
from tamarackgap.placement import slots
from tamarackgap.traffic import holds

RANGE = slots.SlotRange(0, 9, 3)
FENCE = 3 * holds.FENCE_STEP


def granted_ledger(until=101.0):
    ledger = holds.HoldLedger()
    ledger.record_sent(RANGE, until)
    ledger.record_acknowledged(RANGE, ledger.order_fence(RANGE), until)
    return ledger


def test_a_slot_is_held_until_the_end_of_its_acknowledged_grant():
    ledger = holds.HoldLedger()
    ledger.record_sent(RANGE, 101.0)
    assert not ledger.is_held(4, 3, 100.0)
    ledger.record_acknowledged(RANGE, FENCE, 101.0)
    assert ledger.is_held(4, 3, 100.0)
    assert not ledger.is_held(4, 3, 101.0)
    assert not ledger.is_held(4, 4, 100.0)
    assert not ledger.is_held(10, 3, 100.0)


def test_an_unanswered_grant_is_late_until_a_higher_fence_is_answered():
    ledger = granted_ledger()
    ledger.record_sent(RANGE, 102.0)
    assert ledger.late_until() == 102.0
    ledger.record_unanswered(RANGE)
    assert ledger.late_until() == 102.0
    assert not ledger.is_confirmed(4, 3)
    ledger.record_acknowledged(RANGE, FENCE, 102.5)
    assert ledger.late_until() == 102.0
    ledger.record_acknowledged(RANGE, ledger.order_fence(RANGE), 103.0)
    assert ledger.late_until() < 100.0
    assert ledger.is_confirmed(4, 3)


def test_the_fence_of_each_slot_never_falls_when_ranges_change():
    ledger = granted_ledger()
    ledger.record_unanswered(slots.SlotRange(0, 4, 3))
    joined = ledger.order_fence(RANGE)
    assert joined == FENCE + 1
    assert ledger.order_fence(slots.SlotRange(5, 9, 3)) == joined


def test_a_new_fence_keeps_the_end_of_earlier_grants():
    ledger = granted_ledger(until=101.0)
    assert ledger.order_fence(slots.SlotRange(0, 9, 5)) == 5 * holds.FENCE_STEP
    assert not ledger.is_confirmed(4, 5)
    assert ledger.ends_at() == 101.0


def test_fences_of_acknowledged_slots_rise_with_a_new_connection():
    ledger = granted_ledger()
    other = slots.SlotRange(20, 29, 3)
    ledger.record_sent(other, 101.0)
    ledger.raise_fences()
    assert ledger.order_fence(RANGE) == FENCE + 1
    assert ledger.order_fence(other) == FENCE
    assert not ledger.is_confirmed(4, 3)


def test_the_last_fence_of_an_owner_confirms_nothing(monkeypatch):
    monkeypatch.setattr(holds, "_LAST_ATTEMPT", 2)
    ledger = granted_ledger()
    ledger.record_sent(RANGE, 102.0)
    for _ in range(3):
        ledger.record_unanswered(RANGE)
    assert ledger.order_fence(RANGE) == FENCE + 2
    ledger.record_acknowledged(RANGE, FENCE + 2, 103.0)
    assert not ledger.is_confirmed(4, 3)
    assert ledger.late_until() == 102.0


def test_released_slots_are_held_no_more():
    ledger = granted_ledger(until=101.0)
    ledger.record_released(range(0, 5), ledger.sent_count)
    assert not ledger.is_held(4, 3, 100.0)
    assert ledger.is_held(5, 3, 100.0)
    assert ledger.granted_ranges(range(20), 100.0) == [slots.SlotRange(5, 9, 3)]
    assert ledger.granted_ranges(range(20), 101.0) == []


def test_a_release_does_not_end_holds_by_grants_sent_after_it_began():
    ledger = granted_ledger(until=101.0)
    sent_count = ledger.sent_count
    ledger.record_sent(slots.SlotRange(0, 4, 1), 102.0)
    ledger.record_released(range(10), sent_count)
    assert ledger.ends_at() == 102.0


def test_an_answer_that_may_be_a_copy_proves_nothing():
    ledger = granted_ledger(until=101.0)
    assert ledger.unproven_until(range(10)) < 100.0
    ledger.record_sent(RANGE, 102.0)
    ledger.record_acknowledged(RANGE, FENCE, 102.0, is_certain=False)
    assert ledger.is_held(4, 3, 101.5)
    assert ledger.unproven_until(range(10)) == 102.0
    # A renewal has the same fence, so the earlier one is not refused.
    ledger.record_sent(RANGE, 103.0)
    ledger.record_acknowledged(RANGE, FENCE, 103.0)
    assert ledger.unproven_until(range(10)) == 102.0


def test_a_proof_ends_the_doubt_about_earlier_grants():
    ledger = granted_ledger(until=101.0)
    ledger.record_acknowledged(RANGE, FENCE, 101.0, is_certain=False)
    fence = ledger.record_proof_sent(RANGE, 101.0)
    assert fence == FENCE + 1
    ledger.record_proven(RANGE, fence, 101.0, ledger.sent_count)
    assert ledger.unproven_until(range(10)) < 100.0
    assert ledger.late_until() < 100.0


@pytest.mark.parametrize("is_answered", [True, False])
@pytest.mark.parametrize("is_before", [True, False])
def test_the_end_of_an_earlier_grant_does_not_bring_doubt_back(
    is_answered, is_before
):
    # A release waited for the end of the hold if a renewal was on its way when
    # it began.
    ledger = granted_ledger(until=101.0)
    ledger.record_acknowledged(RANGE, FENCE, 101.0, is_certain=False)
    ledger.record_sent(RANGE, 102.0)
    fence = ledger.record_proof_sent(RANGE, 102.0)
    sent_count = ledger.sent_count

    def end_renewal():
        if is_answered:
            ledger.record_acknowledged(RANGE, FENCE, 102.0, is_certain=False)
        else:
            ledger.record_unanswered(RANGE)

    if is_before:
        end_renewal()
    ledger.record_proven(RANGE, fence, 102.0, sent_count)
    if not is_before:
        end_renewal()
    assert ledger.unproven_until(range(10)) < 100.0
    assert ledger.late_until() < 100.0


def test_a_proof_ends_no_doubt_about_grants_sent_after_it():
    ledger = granted_ledger(until=101.0)
    fence = ledger.record_proof_sent(RANGE, 101.0)
    sent_count = ledger.sent_count
    ledger.record_sent(RANGE, 105.0)
    ledger.record_proven(RANGE, fence, 101.0, sent_count)
    assert ledger.late_until() == 105.0


def test_a_copied_answer_does_not_end_the_doubt_about_unanswered_grants():
    ledger = granted_ledger(until=101.0)
    ledger.record_sent(RANGE, 104.0)
    ledger.record_unanswered(RANGE)
    fence = ledger.record_sent(RANGE, 103.0)
    ledger.record_acknowledged(RANGE, fence, 103.0, is_certain=False)
    assert ledger.unproven_until(range(10)) == 104.0


def test_fences_of_orders_are_integers_of_json():
    highest = slots.SlotRange(0, 0, 2**33 - 1)
    row = msgspec.json.encode(highest)
    assert msgspec.json.decode(row, type=slots.SlotRange) == highest
    too_high = msgspec.json.encode(slots.SlotRange(0, 0, 2**33))
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(too_high, type=slots.SlotRange)
    fence = holds.HoldLedger().order_fence(highest) + holds.FENCE_STEP - 1
    assert fence <= decoding.MAX_INTEGER
