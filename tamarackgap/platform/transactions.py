"""Encodes transactions for the platform's store, and decodes its answers."""

from collections.abc import Callable

import msgspec
from returns import result

from tamarackgap import logs
from tamarackgap.network import exchanges, httppool
from tamarackgap.ownership import effects
from tamarackgap.placement import records
from tamarackgap.platform import names, rowcodec

_STATUS_OK = 200
_STATUS_CONDITION_FAILED = 412


class _Condition(msgspec.Struct):
    table: str
    part: str
    key: str
    # The revision that the row must have; 0 if it must not exist.
    ver: int


class _RowWrite(msgspec.Struct):
    table: str
    part: str
    key: str
    # In base64.
    value: str


class _RowKey(msgspec.Struct):
    table: str
    part: str
    key: str


class _Transaction(msgspec.Struct):
    # A list of conditions, despite its name.
    expected_revision: list[_Condition]
    put: list[_RowWrite]
    remove: list[_RowKey]


def encode(transaction: records.Transaction) -> bytes:
    """Returns the body of the call that commits a transaction."""

    def encode_key(key: str) -> str:
        return rowcodec.encode_key(key, transaction.era)

    body = _Transaction(
        [
            _Condition(
                names.OWN_TABLE, "", encode_key(check.key), check.revision
            )
            for check in transaction.checks
        ],
        [
            _RowWrite(
                names.OWN_TABLE,
                "",
                encode_key(write.key),
                rowcodec.encode_value(write.value),
            )
            for write in transaction.writes
            if write.value is not None
        ],
        [
            _RowKey(names.OWN_TABLE, "", encode_key(write.key))
            for write in transaction.writes
            if write.value is None
        ],
    )
    return msgspec.json.encode(body)


def handle_answer(
    transaction: records.Transaction,
    done: Callable[[effects.CommitState, list[records.Row]], None],
    outcome: result.Result[httppool.Answer, exchanges.Failure],
) -> None:
    """Reports the outcome of a transaction; without a usable answer: unknown.

    Args:
        transaction: The transaction.
        done: Called once with the outcome and with rows: those written, or
            after a conflict the checked rows as they are now.
        outcome: The store's answer, or why there is none.
    """
    match outcome:
        case result.Success(httppool.Answer(status=status) as answer):
            page = rowcodec.decode_answer(
                answer, _STATUS_OK, _STATUS_CONDITION_FAILED
            )
            if page is not None and status == _STATUS_OK:
                rows = [
                    records.Row(
                        write.key, write.value, page.ver, transaction.era
                    )
                    for write in transaction.writes
                ]
                done(effects.CommitState.COMMITTED, rows)
                return
            if page is not None and status == _STATUS_CONDITION_FAILED:
                done(
                    effects.CommitState.CONFLICT,
                    _current_rows(transaction, page),
                )
                return
            logs.event("commit_unknown", status=status)
        case result.Failure(exchanges.Failure(cause=cause)):
            logs.event("commit_unknown", cause=cause.value)
    done(effects.CommitState.UNKNOWN, [])


def _current_rows(
    transaction: records.Transaction, page: rowcodec.RowsAnswer
) -> list[records.Row]:
    """Returns the checked rows as they are now; absent ones have no value."""
    rows = rowcodec.decode_rows(page)
    era = transaction.era
    present_keys = set(rows.keys)
    return rows.readable + [
        records.Row(check.key, None, page.ver, era)
        for check in transaction.checks
        if rowcodec.encode_key(check.key, era) not in present_keys and page.ver
    ]
