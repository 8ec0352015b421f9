"""Sends reads and transactions to the platform's table service."""

from collections.abc import Callable

import msgspec
from returns import result

from tamarackgap import decoding, logs
from tamarackgap.network import exchanges, httpclient
from tamarackgap.ownership import effects
from tamarackgap.placement import records

_MAX_ANSWER_BYTES = 256 * 1024 * 1024
_CONFLICT = 409
_OK = 200


class Changes(msgspec.Struct, frozen=True):
    """The table's answer to a read.

    Attributes:
        revision: The table's revision.
        rows: Rows that changed after the requested revision.
    """

    revision: int
    rows: list[records.Row]


class _EncodedChanges(msgspec.Struct):
    revision: decoding.Count
    rows: list[msgspec.Raw]


class _EncodedOutcome(msgspec.Struct):
    committed: bool
    rows: list[msgspec.Raw]


class CommitOutcome(msgspec.Struct, frozen=True):
    """The table's answer to a transaction.

    Attributes:
        committed: Whether all checks of the transaction held, so that it was
            committed.
        rows: The current rows of the keys that the transaction names.
    """

    committed: bool
    rows: list[records.Row]


ReadCallback = Callable[[result.Result[Changes, str]], None]
CommitCallback = Callable[[effects.CommitState, list[records.Row]], None]


class TableClient:
    """A client of the table service's HTTP interface.

    Attributes:
        reads: Number of reads sent.
        writes: Number of transactions sent.
    """

    def __init__(
        self, http: httpclient.HttpClient, address: str, timeout: float
    ) -> None:
        """Creates a client.

        Args:
            http: Sends the requests.
            address: The service's `ip:port`.
            timeout: Longest time until an answer is complete, seconds.
        """
        self._http = http
        self._address = address
        self._timeout = timeout
        self.reads = 0
        self.writes = 0

    def read(self, since: int, done: ReadCallback) -> None:
        """Reads all rows that changed after a revision.

        Args:
            since: The revision.
            done: Called once with the rows or the cause of the failure.
        """
        self.reads += 1

        def handle_outcome(
            outcome: result.Result[httpclient.Answer, exchanges.Failure],
        ) -> None:
            done(outcome.alt(_cause_text).bind(_decode_changes))

        self._http.send(
            self._request("GET", f"/rows?since={since}", b""), handle_outcome
        )

    def commit(
        self, transaction: records.Transaction, done: CommitCallback
    ) -> None:
        """Sends a transaction.

        Args:
            transaction: The transaction.
            done: Called once with the transaction's state, which is UNKNOWN if
                there is no usable answer, and with the rows of the answer.
        """
        self.writes += 1

        def handle_outcome(
            outcome: result.Result[httpclient.Answer, exchanges.Failure],
        ) -> None:
            commit_outcome = outcome.alt(_cause_text).bind(_decode_outcome)
            match commit_outcome:
                case result.Success(
                    CommitOutcome(committed=committed, rows=rows)
                ):
                    done(_commit_state(committed), rows)
                case _:
                    done(effects.CommitState.UNKNOWN, [])

        body = msgspec.json.encode(transaction)
        self._http.send(
            self._request("POST", "/transactions", body), handle_outcome
        )

    def _request(
        self, method: str, path: str, body: bytes
    ) -> httpclient.Request:
        return httpclient.Request(
            self._address,
            method,
            path,
            {"Content-Type": "application/json"},
            body,
            self._timeout,
            _MAX_ANSWER_BYTES,
        )


def _commit_state(committed: bool) -> effects.CommitState:
    if committed:
        return effects.CommitState.COMMITTED
    return effects.CommitState.CONFLICT


def _cause_text(failure: exchanges.Failure) -> str:
    return failure.cause.value


def decode_changes(body: bytes) -> Changes:
    """Returns the changes in an answer; unreadable rows are left out.

    Raises:
        msgspec.MsgspecError: If the body is malformed.
    """
    encoded = decoding.decode_with_list(body, _EncodedChanges)
    return Changes(encoded.revision, _decode_rows(encoded.rows))


def _decode_changes(answer: httpclient.Answer) -> result.Result[Changes, str]:
    if answer.status != _OK:
        return result.Failure(f"status {answer.status}")
    try:
        return result.Success(decode_changes(answer.body))
    except msgspec.MsgspecError as error:
        return result.Failure(f"malformed answer: {error}")


def _decode_outcome(
    answer: httpclient.Answer,
) -> result.Result[CommitOutcome, str]:
    if answer.status not in (_OK, _CONFLICT):
        return result.Failure(f"status {answer.status}")
    try:
        encoded = decoding.decode_with_list(answer.body, _EncodedOutcome)
    except msgspec.MsgspecError as error:
        return result.Failure(f"malformed answer: {error}")
    return result.Success(
        CommitOutcome(encoded.committed, _decode_rows(encoded.rows))
    )


def _decode_rows(encoded_rows: list[msgspec.Raw]) -> list[records.Row]:
    rows = []
    for encoded in encoded_rows:
        try:
            rows.append(decoding.decode(encoded, records.Row))
        except msgspec.MsgspecError as error:
            logs.unreadable_event("row_malformed", key="", error=str(error))
    return rows
