"""Reads and transactions of the platform's table service."""

from collections.abc import Callable

import msgspec
from returns import result

from tamarackgap.network import exchanges, httpclient
from tamarackgap.ownership import effects
from tamarackgap.placement import records

_LARGEST_BYTES = 256 * 1024 * 1024
_CONFLICT = 409
_OK = 200


class Changes(msgspec.Struct, frozen=True):
    """The table's answer to a read.

    Attributes:
        revision: The table's revision.
        rows: Rows changed after the revision that was asked for.
    """

    revision: int
    rows: list[records.Row]


class CommitOutcome(msgspec.Struct, frozen=True):
    """The table's answer to a transaction.

    Attributes:
        committed: Whether all its checks held.
        rows: The rows that it names, as they are afterwards.
    """

    committed: bool
    rows: list[records.Row]


ReadCallback = Callable[[result.Result[Changes, str]], None]
CommitCallback = Callable[[effects.CommitState, list[records.Row]], None]


class TableClient:
    """The table service, met through its HTTP interface."""

    def __init__(
        self, http: httpclient.HttpClient, address: str, timeout: float
    ) -> None:
        """Creates a client.

        Args:
            http: Carries the requests.
            address: The service's `ip:port`.
            timeout: Longest wait for an answer, seconds.
        """
        self._http = http
        self._address = address
        self._timeout = timeout
        self.reads = 0
        self.writes = 0

    def read(self, since: int, done: ReadCallback) -> None:
        """Asks for all rows changed after a revision."""
        self.reads += 1

        def answered(
            outcome: result.Result[httpclient.Answer, exchanges.Failure],
        ) -> None:
            done(outcome.alt(_cause).bind(_changes))

        self._http.send(
            self._request("GET", f"/rows?since={since}", b""), answered
        )

    def commit(
        self, transaction: records.Transaction, done: CommitCallback
    ) -> None:
        """Puts a transaction; the outcome may stay unknown."""
        self.writes += 1

        def answered(
            outcome: result.Result[httpclient.Answer, exchanges.Failure],
        ) -> None:
            found = outcome.alt(_cause).bind(_outcome)
            match found:
                case result.Success(
                    CommitOutcome(committed=committed, rows=rows)
                ):
                    done(_state(committed), rows)
                case _:
                    done(effects.CommitState.UNKNOWN, [])

        body = msgspec.json.encode(transaction)
        self._http.send(self._request("POST", "/transactions", body), answered)

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
            _LARGEST_BYTES,
        )


def _state(committed: bool) -> effects.CommitState:
    if committed:
        return effects.CommitState.COMMITTED
    return effects.CommitState.CONFLICT


def _cause(failure: exchanges.Failure) -> str:
    return failure.cause.value


def _changes(answer: httpclient.Answer) -> result.Result[Changes, str]:
    if answer.status != _OK:
        return result.Failure(f"status {answer.status}")
    return _decode(answer.body, Changes)


def _outcome(answer: httpclient.Answer) -> result.Result[CommitOutcome, str]:
    if answer.status not in (_OK, _CONFLICT):
        return result.Failure(f"status {answer.status}")
    return _decode(answer.body, CommitOutcome)


def _decode(body: bytes, kind: type) -> result.Result:
    try:
        return result.Success(msgspec.json.decode(body, type=kind))
    except msgspec.MsgspecError as error:
        return result.Failure(f"malformed answer: {error}")
