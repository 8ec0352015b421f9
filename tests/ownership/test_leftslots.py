"""Who reads the table before slots of closed records are claimed."""

import pytest

from tamarackgap import types
from tamarackgap.ownership import leftslots
from tamarackgap.placement import records, slots

MEMBERS = [f"i{index}" for index in range(8)]


def lease_row(name, revision, runs=(), closed=False):
    state = types.RecordState.CLOSED if closed else types.RecordState.OPEN
    record = records.LeaseRecord(
        "s",
        name,
        name,
        "a",
        "10.0.0.1:1",
        "10.0.0.1:2",
        witnesses=("w",),
        runs=tuple(runs),
        accepting=True,
        state=state,
    )
    return records.Row(record.key, records.encode(record), revision)


@pytest.fixture
def view():
    view = records.TableView()
    view.merge([lease_row(name, 1) for name in MEMBERS])
    view.advance(types.Revision(1))
    return view


def readers(view, service="s"):
    return [
        name for name in MEMBERS if leftslots.needs_read(view, name, service)
    ]


def test_nobody_reads_for_slots_whose_successor_claims_them(view):
    view.merge([lease_row("gone", 5, [slots.SlotRange(0, 9, 3, "i2")], True)])
    assert readers(view) == []


def test_only_who_would_claim_left_slots_reads(view):
    runs = [slots.SlotRange(0, 9, 3, "gone-too")]
    view.merge([lease_row("gone", 5, runs, True)])
    (reader,) = readers(view)
    assert readers(view, "another") == []
    fences = leftslots.fences(view, reader, view.lease("gone"))
    assert fences == dict.fromkeys(range(10), 5)


def test_a_successor_that_ends_later_leaves_slots_to_another_reader(view):
    view.merge([lease_row("gone", 5, [slots.SlotRange(0, 9, 3, "i2")], True)])
    view.merge([lease_row("i2", 6, closed=True)])
    (reader,) = readers(view)
    assert reader != "i2"


def test_a_record_that_was_read_from_the_table_needs_no_further_read(view):
    runs = [slots.SlotRange(0, 9, 3, "gone-too")]
    view.merge([lease_row("gone", 5, runs, True)])
    view.advance(types.Revision(5))
    assert readers(view) == []


def test_forty_ends_at_once_make_each_daemon_read_for_its_own_claims(view):
    # Each end made all daemons of the service read the table.
    for index in range(40):
        runs = [slots.SlotRange(index, index, 3, MEMBERS[index % 8])]
        view.merge([lease_row(f"gone{index}", 5 + index, runs, True)])
    assert readers(view) == []
