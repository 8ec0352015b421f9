"""Checks and builds operators' edits of policies."""

import uuid

import msgspec
from returns import result

from tamarackgap.placement import records

ANY_DATA_CENTRE = "*"
# Keys of history entries begin with it, so it must not change.
HISTORY_PREFIX = "history/"


class Column(msgspec.Struct, frozen=True):
    """Describes a column of a policy.

    Attributes:
        minimum: Smallest valid value.
        maximum: Largest valid value.
        unit: Unit of the value.
        help: Meaning of the value.
    """

    minimum: int
    maximum: int
    unit: str
    help: str


COLUMNS: dict[str, Column] = {
    "weight": Column(
        0, 1000, "shares", "weight of the share of the slots; 0 for no slots"
    ),
    "in_progress": Column(
        0, 100_000, "requests", "largest number at one target; 0: as announced"
    ),
    "queue": Column(
        0, 1_000_000, "requests", "largest number that wait at one owner"
    ),
    "tolerance": Column(
        1, 100, "percent", "load above its share at which a daemon moves slots"
    ),
    "moves": Column(
        0, 100_000, "slots", "largest number moved in a minute to balance load"
    ),
}


class HistoryEntry(msgspec.Struct, frozen=True):
    """One accepted edit of a policy.

    Attributes:
        who: The operator.
        when_ms: Wall-clock time, milliseconds since 1970.
        row: Key of the edited row.
        before: The policy before, or None.
        after: The policy after.
    """

    who: str
    when_ms: int
    row: str
    before: records.Policy | None
    after: records.Policy


class Edit(msgspec.Struct, frozen=True):
    """An operator's edit of one policy and the transaction that makes it.

    Attributes:
        key: The row's key.
        before: The policy before the edit, or None if there is none.
        after: The policy after the edit.
        transaction: The transaction that makes the edit.
    """

    key: str
    before: records.Policy | None
    after: records.Policy
    transaction: records.Transaction


def parse_columns(arguments: list[str]) -> result.Result[dict[str, int], str]:
    """Returns the values in `COLUMN=NUMBER` arguments, or an error message."""
    values: dict[str, int] = {}
    for argument in arguments:
        name, _, number = argument.partition("=")
        column = COLUMNS.get(name)
        if column is None:
            names = ", ".join(COLUMNS)
            return result.Failure(f"{argument}: expected one of {names}")
        expected = (
            f"{name}: expected {column.minimum} to {column.maximum}"
            f" {column.unit}"
        )
        try:
            value = int(number)
        except ValueError:
            return result.Failure(f"{expected}, not {number!r}")
        if not column.minimum <= value <= column.maximum:
            return result.Failure(f"{expected}, not {value}")
        values[name] = value
    if not values:
        return result.Failure("nothing to set: expected COLUMN=NUMBER")
    return result.Success(values)


def build_edit(
    row: records.Row | None,
    key: str,
    values: dict[str, int],
    who: str,
    now_ms: int,
) -> Edit:
    """Returns an edit of a row that also adds an entry to the history.

    Args:
        row: The current row, or None.
        key: The row's key.
        values: New values of the columns to change.
        who: Name of the operator, for the history.
        now_ms: Current wall-clock time, milliseconds.
    """
    change = uuid.uuid4().hex
    before = None
    if row is not None and row.value is not None:
        before = msgspec.json.decode(row.value, type=records.Policy)
    after = msgspec.structs.replace(
        before or records.Policy(), **values, change=change
    )
    history = HistoryEntry(who, now_ms, key, before, after)
    history_key = f"{HISTORY_PREFIX}{now_ms:015d}-{change}"
    revision = row.revision if before is not None else 0
    transaction = records.Transaction(
        change,
        (records.Check(key, revision), records.Check(history_key, 0)),
        (
            records.Write(key, records.encode(after)),
            records.Write(history_key, records.encode(history)),
        ),
    )
    return Edit(key, before, after, transaction)
