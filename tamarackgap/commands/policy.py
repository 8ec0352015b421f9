"""The operators' table: parsing, checking and editing its rows."""

import uuid

import msgspec
from returns import result

from tamarackgap.placement import records

ANY_DATA_CENTRE = "*"


class Column(msgspec.Struct, frozen=True):
    """Bounds of one column of the operators' table."""

    minimum: int
    maximum: int
    unit: str
    help: str


COLUMNS: dict[str, Column] = {
    "weight": Column(0, 1000, "shares", "share of the slots; 0 empties"),
    "in_progress": Column(
        0, 100_000, "requests", "most at one target; 0: as it announces"
    ),
    "queue": Column(0, 1_000_000, "requests", "most waiting at one owner"),
    "tolerance": Column(
        1, 100, "percent", "load above its share that makes a daemon give"
    ),
    "moves": Column(
        0, 100_000, "slots", "most given away in a minute to even out"
    ),
}


class Edit(msgspec.Struct, frozen=True):
    """An accepted-to-be edit of one row.

    Attributes:
        key: The row's key.
        before: The row as the operator saw it, or None if there is none.
        after: The row as it shall be.
        transaction: The write.
    """

    key: str
    before: records.Policy | None
    after: records.Policy
    transaction: records.Transaction


def parse_columns(texts: list[str]) -> result.Result[dict[str, int], str]:
    """Returns the columns in `COLUMN=NUMBER` texts, or what is wrong."""
    values: dict[str, int] = {}
    for text in texts:
        name, _, number = text.partition("=")
        bound = COLUMNS.get(name)
        if bound is None:
            names = ", ".join(COLUMNS)
            return result.Failure(f"{text}: expected one of {names}")
        expected = (
            f"{name}: expected {bound.minimum} to {bound.maximum} {bound.unit}"
        )
        try:
            value = int(number)
        except ValueError:
            return result.Failure(f"{expected}, not {number!r}")
        if not bound.minimum <= value <= bound.maximum:
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
    """Returns the write of an edit, with its entry in the history.

    Args:
        row: The row as it is now, or None.
        key: The row's key.
        values: New values of some columns.
        who: The operator.
        now_ms: Wall-clock time, milliseconds.
    """
    change = uuid.uuid4().hex
    before = None
    if row is not None and row.value is not None:
        before = msgspec.json.decode(row.value, type=records.Policy)
    after = msgspec.structs.replace(
        before or records.Policy(), **values, change=change
    )
    history = records.HistoryEntry(who, now_ms, key, before, after)
    history_key = f"{records.HISTORY_PREFIX}{now_ms:015d}-{change}"
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
