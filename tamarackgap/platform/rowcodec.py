"""Encodes and decodes rows of the platform's store."""

import base64
import binascii

import msgspec

from tamarackgap import logs
from tamarackgap.network import httppool
from tamarackgap.placement import records

_STATUS_OK = 200


class _Row(msgspec.Struct):
    key: str
    # The row's revision.
    ver: int
    value: str = ""
    removed: bool = False


class RowsAnswer(msgspec.Struct):
    """A page of rows.

    Attributes:
        ver: The revision up to which the rows are complete.
        now_ms: Time of the answer on the store's monotonic clock, milliseconds.
        rows: The rows, encoded.
        has_more: Whether there are more rows.
    """

    ver: int = 0
    now_ms: int = 0
    rows: list[msgspec.Raw] = []
    has_more: bool = False


def decode_answer(answer: httppool.Answer) -> RowsAnswer | None:
    """Returns the page of an answer, or None if it is not one."""
    if answer.status != _STATUS_OK:
        return None
    try:
        return msgspec.json.decode(answer.body, type=RowsAnswer)
    except msgspec.MsgspecError as error:
        logs.event("store_answer_malformed", error=str(error))
        return None


def decode_rows(page: RowsAnswer) -> list[records.Row]:
    """Returns the rows that can be decoded, and logs the others."""
    rows = []
    for raw in page.rows:
        try:
            row = msgspec.json.decode(raw, type=_Row)
            value = None if row.removed else _decode_value(row.value)
        except (msgspec.MsgspecError, ValueError) as error:
            logs.event("row_malformed", error=str(error))
            continue
        rows.append(records.Row(row.key, value, row.ver))
    return rows


def encode_value(value: str) -> str:
    """Returns a row's value as the store takes it."""
    return base64.b64encode(value.encode("utf-8")).decode("ascii")


def _decode_value(value: str) -> str:
    try:
        return base64.b64decode(value, validate=True).decode("utf-8")
    except binascii.Error as error:
        raise ValueError(str(error)) from error
