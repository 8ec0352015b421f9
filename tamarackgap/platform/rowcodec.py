"""Encodes and decodes rows of the platform's store."""

import base64
import re

import msgspec

from tamarackgap import decoding, logs
from tamarackgap.network import httppool
from tamarackgap.placement import records

_STATUS_OK = 200
# Of a row that belongs to an era, the store's key begins with the era.
_ERA_KEY = re.compile(r"@([1-9][0-9]{0,14})/(.*)", re.DOTALL)


class _Row(msgspec.Struct):
    key: str
    # The row's revision.
    ver: decoding.Count
    value: str = ""
    removed: bool = False


class _RowKey(msgspec.Struct):
    key: str


class RowsAnswer(msgspec.Struct):
    """A page of rows.

    Attributes:
        ver: The revision up to which the rows are complete.
        now_ms: Time of the answer on the store's monotonic clock, milliseconds.
        rows: The rows, encoded.
        has_more: Whether there are more rows.
    """

    ver: decoding.Count = 0
    now_ms: decoding.Count = 0
    rows: list[msgspec.Raw] = []
    has_more: bool = False


class Rows(msgspec.Struct, frozen=True):
    """The rows of a page.

    Attributes:
        readable: The rows whose key and revision can be decoded. A value that
            can't be is empty.
        keys: The store's keys of all rows whose key can be decoded, in the
            page's order, except those of removed rows.
    """

    readable: list[records.Row]
    keys: list[str]


def decode_answer(answer: httppool.Answer, *statuses: int) -> RowsAnswer | None:
    """Returns the page of an answer, or None if it is not one.

    Args:
        answer: The answer.
        *statuses: Statuses of answers with a page; 200 if there are none.
    """
    if answer.status not in (statuses or (_STATUS_OK,)):
        return None
    try:
        return decoding.decode_with_list(answer.body, RowsAnswer)
    except msgspec.MsgspecError as error:
        logs.unreadable_event("store_answer_malformed", error=str(error))
        return None


def decode_rows(page: RowsAnswer) -> Rows:
    """Returns the rows that can be decoded, and logs the others."""
    rows = Rows([], [])
    for raw in page.rows:
        key = None
        try:
            key = decoding.decode(raw, _RowKey).key
            row = decoding.decode(raw, _Row)
        except msgspec.MsgspecError as error:
            logs.unreadable_event(
                "row_malformed", key=key or "", error=str(error)
            )
        else:
            value = None if row.removed else _decode_value(row)
            rows.readable.append(decode_row(key, value, row.ver))
            if row.removed:
                continue
        if key is not None:
            rows.keys.append(key)
    return rows


def encode_key(key: str, era: int) -> str:
    """Returns the store's key of a row.

    An earlier era's transaction that is carried out late then changes no row of
    a later one.

    Args:
        key: The row's key.
        era: The store's era; 0 if the store names none.
    """
    return f"@{era}/{key}" if era else key


def decode_row(key: str, value: str | None, revision: int) -> records.Row:
    """Returns a row from the store's key, its value and its revision."""
    match = _ERA_KEY.fullmatch(key)
    if match is None:
        return records.Row(key, value, revision)
    return records.Row(match[2], value, revision, int(match[1]))


def encode_value(value: str) -> str:
    """Returns a row's value as the store takes it."""
    return base64.b64encode(value.encode("utf-8")).decode("ascii")


def _decode_value(row: _Row) -> str:
    """Returns a row's value; "" if it is not a text in base64."""
    try:
        return base64.b64decode(row.value, validate=True).decode("utf-8")
    except ValueError as error:
        logs.unreadable_event("row_malformed", key=row.key, error=str(error))
        return ""
