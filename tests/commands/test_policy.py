import msgspec
import pytest

from standins import table as table_lib
from tamarackgap.commands import policy
from tamarackgap.placement import records

KEY = "policy/seats/*"


def test_columns_are_parsed():
    assert policy.parse_columns(["weight=0", "queue=9"]).unwrap() == {
        "weight": 0,
        "queue": 9,
    }


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("weight=1001", "weight: expected 0 to 1000 shares, not 1001"),
        ("weight=-1", "weight: expected 0 to 1000 shares, not -1"),
        ("weight=much", "weight: expected 0 to 1000 shares, not 'much'"),
        (
            "wait=1",
            "wait=1: expected one of weight, in_progress, queue,"
            " tolerance, moves",
        ),
    ],
)
def test_invalid_column_is_refused(text, expected):
    assert policy.parse_columns([text]).failure() == expected


def test_edit_without_columns_is_refused():
    assert "nothing to set" in policy.parse_columns([]).failure()


def policy_row(table):
    rows = [row for row in table.rows_since(0)[1] if row.key == KEY]
    return rows[0] if rows else None


def test_one_of_two_concurrent_edits_is_refused():
    table = table_lib.Table()
    first = policy.build_edit(policy_row(table), KEY, {"weight": 1}, "ana", 1)
    second = policy.build_edit(policy_row(table), KEY, {"weight": 2}, "hoa", 2)
    assert table.commit(first.transaction)[0]
    assert not table.commit(second.transaction)[0]
    third = policy.build_edit(policy_row(table), KEY, {"queue": 5}, "hoa", 3)
    assert table.commit(third.transaction)[0]
    current = msgspec.json.decode(policy_row(table).value, type=records.Policy)
    assert (current.weight, current.queue) == (1, 5)


def test_edit_sent_twice_is_applied_once():
    table = table_lib.Table()
    edit = policy.build_edit(None, KEY, {"weight": 1}, "ana", 1)
    assert table.commit(edit.transaction)[0]
    assert not table.commit(edit.transaction)[0]
    history = [
        row for row in table.rows_since(0)[1] if row.key.startswith("history/")
    ]
    assert len(history) == 1
