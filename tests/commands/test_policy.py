import msgspec
import pytest

from standins import table as table_lib
from tamarackgap.commands import policy
from tamarackgap.placement import records

KEY = "policy/seats/*"


def test_columns_are_read():
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
def test_a_row_out_of_range_is_refused(text, expected):
    assert policy.parse_columns([text]).failure() == expected


def test_nothing_to_set_is_refused():
    assert "nothing to set" in policy.parse_columns([]).failure()


def row(table):
    found = [row for row in table.rows_since(0)[1] if row.key == KEY]
    return found[0] if found else None


def test_of_two_operators_at_once_one_wins_and_the_other_is_told():
    table = table_lib.Table()
    first = policy.build_edit(row(table), KEY, {"weight": 1}, "ana", 1)
    second = policy.build_edit(row(table), KEY, {"weight": 2}, "hoa", 2)
    assert table.commit(first.transaction)[0]
    assert not table.commit(second.transaction)[0]
    third = policy.build_edit(row(table), KEY, {"queue": 5}, "hoa", 3)
    assert table.commit(third.transaction)[0]
    now = msgspec.json.decode(row(table).value, type=records.Policy)
    assert (now.weight, now.queue) == (1, 5)


def test_an_edit_sent_twice_takes_effect_once():
    table = table_lib.Table()
    edit = policy.build_edit(None, KEY, {"weight": 1}, "ana", 1)
    assert table.commit(edit.transaction)[0]
    assert not table.commit(edit.transaction)[0]
    history = [
        r for r in table.rows_since(0)[1] if r.key.startswith("history/")
    ]
    assert len(history) == 1
