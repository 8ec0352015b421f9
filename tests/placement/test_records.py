import itertools
import json

import msgspec
import pytest

from tamarackgap import types
from tamarackgap.placement import records, slots
from tamarackgap.traffic import holds


def lease_row(incarnation, revision, **values):
    record = records.LeaseRecord(
        "s", "d", incarnation, "a", "127.0.0.1:1", "127.0.0.1:2", **values
    )
    return records.Row(record.key, records.encode(record), revision)


def test_older_revision_does_not_replace_a_row():
    view = records.TableView()
    view.merge([lease_row("i", 5, epoch=2)])
    assert view.merge([lease_row("i", 4, epoch=1)]) == []
    assert view.lease("i").epoch == 2


def test_older_revision_does_not_restore_a_deleted_row():
    view = records.TableView()
    view.merge([records.Row("lease/i", None, 7)])
    view.merge([lease_row("i", 6)])
    assert view.lease("i") is None
    assert view.check("lease/i") == records.Check("lease/i", 0)


def test_policy_falls_back_to_the_service_then_to_the_default():
    view = records.TableView()
    row = records.encode(records.Policy(weight=7))
    view.merge([records.Row("policy/s/*", row, 1)])
    assert view.policy("s", "a").weight == 7
    assert view.policy("t", "a").weight == 100


def test_malformed_row_is_rejected():
    with pytest.raises(msgspec.ValidationError):
        records.TableView().merge([records.Row("lease/i", '{"service": 4}', 1)])


def test_only_reads_of_the_table_mark_a_view_as_read():
    view = records.TableView()
    view.merge([lease_row("i", 5)])
    assert not view.is_read
    view.advance(5)
    assert view.is_read
    assert view.cursor == 5


def test_members_are_the_open_records():
    view = records.TableView()
    view.merge([lease_row("b", 1), lease_row("a", 2)])
    assert [record.incarnation for record in view.open_records("s")] == [
        "a",
        "b",
    ]
    view.open_records().clear()
    closed = lease_row("a", 3, state=types.RecordState.CLOSED)
    view.merge([closed])
    assert [record.incarnation for record in view.open_records()] == ["b"]
    view.merge([records.Row("lease/b", None, 4)])
    assert view.open_records("s") == []


DEEP = "[" * 100_000 + "]" * 100_000
LEASE = {
    "service": "s",
    "daemon": "d",
    "incarnation": "i",
    "data_centre": "a",
    "peer_address": "127.0.0.1:1",
    "http_address": "127.0.0.1:2",
    "epoch": 3,
    "runs": [[0, 7, 2], [9, 9, 1, "j", "5c0e"]],
}


def merge(key, text):
    view = records.TableView()
    view.merge([records.Row(key, text, 1)])
    return view


def test_a_lease_record_is_read_as_it_was_written():
    assert merge("lease/i", json.dumps(LEASE)).lease("i").runs[0].last == 7


@pytest.mark.parametrize(
    "fields",
    [
        *(
            {name: address}
            for name in ("peer_address", "http_address")
            for address in ("127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1", "")
        ),
        *(
            {name: value}
            for name in ("epoch", "lease_ms", "linger_ms")
            for value in (-1, 2**63, 2**64, 10**30, 1e300, None)
        ),
        {"runs": [[0, 10**9, 1]]},
        {"runs": [[-5, 1, 1]]},
        {"runs": [[0, 1, 2**63]]},
        {"runs": [[0, 1, -1]]},
        {"runs": [[4, 3, 1]]},
        {"runs": [[0, 65_535, 1]] * 100},
        {"incarnation": "another"},
        {"state": "unknown"},
    ],
)
def test_a_lease_record_with_a_value_out_of_range_is_rejected(fields):
    with pytest.raises(msgspec.MsgspecError):
        merge("lease/i", json.dumps({**LEASE, **fields}))


@pytest.mark.parametrize(
    "text",
    [
        DEEP,
        json.dumps(LEASE)[:-1] + f', "x": {DEEP}}}',
        '{"service": "\ud800"}',
        json.dumps(LEASE).replace("3", "NaN"),
        json.dumps(LEASE).replace("3", "9" * 5000),
        "",
    ],
)
def test_a_row_that_cannot_be_read_raises_one_kind_of_error(text):
    with pytest.raises(msgspec.MsgspecError):
        merge("lease/i", text)


@pytest.mark.parametrize(
    "fields",
    [
        {"slots": 0},
        {"slots": -4},
        {"slots": 12},
        {"slots": 2**17},
        {"slots": 10**30},
        {"slots": 8, "allocated": 9},
        {"slots": 8, "allocated": -1},
    ],
)
def test_a_service_record_with_an_unusable_number_of_slots_is_rejected(fields):
    with pytest.raises(msgspec.MsgspecError):
        merge("founded/s", json.dumps(fields))


@pytest.mark.parametrize("name", ["weight", "queue", "tolerance", "moves"])
@pytest.mark.parametrize("value", [-1, 10**30, 1e300])
def test_a_policy_with_a_value_out_of_range_is_rejected(name, value):
    with pytest.raises(msgspec.MsgspecError):
        merge("policy/s/*", json.dumps({name: value}))


def test_a_row_of_a_later_era_replaces_one_of_a_higher_revision():
    view = records.TableView()
    policy = '{"weight": %d}'
    view.merge([records.Row("policy/s/*", policy % 1, 90, 1)])
    view.begin_era(2)
    assert view.policy("s", "a").weight == 1
    assert view.check("policy/s/*") == records.Check("policy/s/*", 0)
    view.merge([records.Row("policy/s/*", policy % 2, 4, 2)])
    view.merge([records.Row("policy/s/*", policy % 3, 95, 1)])
    assert view.policy("s", "a").weight == 2
    assert view.check("policy/s/*") == records.Check("policy/s/*", 4)


def test_fences_stay_above_those_of_rows_that_were_dropped():
    view = records.TableView()
    row = lease_row("i", 5, runs=(slots.SlotRange(0, 3, 9),))
    view.merge([msgspec.structs.replace(row, era=1)])
    view.begin_era(2)
    fence = view.first_fence("s")
    assert fence > 9
    view.forget_earlier_rows()
    assert not view.has_earlier_rows
    assert view.first_fence("s") == fence


def test_first_fences_of_an_era_lie_above_all_of_earlier_ones():
    # A daemon that knew no row gave out the fences that others had.
    view = records.TableView()
    assert view.first_fence("s") == 1
    fences = []
    for era in (1, 2, 7, 9, records._MAX_ERA_OF_FENCES):
        view.begin_era(era)
        fences.append(view.first_fence("s"))
    assert all(
        later - fence >= records._FENCES_PER_ERA
        for fence, later in itertools.pairwise(fences)
    )
    # Orders carry a multiple of it.
    last = fences[-1] + records._FENCES_PER_ERA
    assert (last + 1) * holds.FENCE_STEP < 2**63


def test_fences_stay_above_known_ones_in_eras_beyond_the_largest():
    view = records.TableView()
    view.begin_era(10**14)
    row = lease_row("i", 5, runs=(slots.SlotRange(0, 3, 9),))
    view.merge([msgspec.structs.replace(row, era=10**14)])
    assert 9 <= view.first_fence("s") < 2**43


def test_records_of_an_earlier_era_end_where_another_process_has_joined():
    view = records.TableView()
    view.merge([msgspec.structs.replace(lease_row("i", 5), era=1)])
    view.begin_era(2)
    assert [each.incarnation for each in view.open_records()] == ["i"]
    view.merge([msgspec.structs.replace(lease_row("j", 3), era=2)])
    assert [each.incarnation for each in view.open_records()] == ["j"]
    assert [row.key for row in view.earlier_rows("s")] == ["lease/i"]


@pytest.mark.parametrize("first_era", [7, 8])
def test_a_record_carried_from_an_earlier_era_shows_a_restored_table(first_era):
    view = records.TableView()
    view.begin_era(8)
    row = lease_row("i", 5, first_era=first_era)
    view.merge([msgspec.structs.replace(row, era=8)])
    assert view.is_restored is (first_era < 8)
