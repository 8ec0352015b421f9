import json

from tamarackgap.placement import records, rowmerge
from tests.support import loglines

DEEP = "[" * 100_000 + "]" * 100_000


def lease_row(incarnation, revision, **fields):
    record = records.LeaseRecord(
        "s", "d", incarnation, "a", "127.0.0.1:1", "127.0.0.1:2"
    )
    value = {**json.loads(records.encode(record)), **fields}
    return records.Row(record.key, json.dumps(value), revision)


def test_an_unreadable_row_leaves_the_others_of_a_read():
    view = records.TableView()
    rows = [
        lease_row("a", 1),
        records.Row("lease/deep", DEEP, 2),
        lease_row("odd", 3, epoch=10**30),
        lease_row("b", 4),
    ]
    assert rowmerge.merge_readable(view, rows) == ["lease/a", "lease/b"]
    assert [record.incarnation for record in view.open_records()] == ["a", "b"]


def test_an_unreadable_revision_leaves_the_last_readable_one_in_force():
    view = records.TableView()
    rowmerge.merge_readable(view, [lease_row("a", 1, epoch=5)])
    rowmerge.merge_readable(view, [lease_row("a", 2, epoch=-1)])
    assert view.lease("a").epoch == 5
    # What relies on the row as it was must not be committed.
    assert view.check("lease/a") == records.Check("lease/a", 1)


def test_an_unreadable_row_that_is_read_again_is_logged_once():
    view = records.TableView()
    with loglines.collect("row_malformed") as events:
        for _ in range(3):
            rowmerge.merge_readable(view, [lease_row("again", 3, epoch=-1)])
    assert [event["key"] for event in events] == ["lease/again"]


def test_an_unreadable_lease_record_counts_as_deleted_after_a_conflict():
    view = records.TableView()
    rowmerge.merge_readable(view, [lease_row("a", 1, epoch=5)])
    odd = lease_row("a", 2, epoch=-1)
    assert rowmerge.merge_readable(view, [odd], has_conflict=True) == [odd.key]
    assert view.lease("a") is None
    assert rowmerge.merge_readable(view, [odd], has_conflict=True) == []


def test_an_unreadable_service_record_stays_in_force_after_a_conflict():
    view = records.TableView()
    good = records.Row("founded/s", '{"slots": 8}', 1)
    odd = records.Row("founded/s", "", 2)
    rowmerge.merge_readable(view, [good])
    assert rowmerge.merge_readable(view, [odd], has_conflict=True) == []
    assert view.service_record("s").slots == 8
