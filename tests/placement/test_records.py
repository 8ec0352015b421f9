import msgspec
import pytest

from tamarackgap import types
from tamarackgap.placement import records


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
