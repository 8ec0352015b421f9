"""In-memory stand-in for the store of the users' platform.

It offers reads, conditional transactions, and long polls for changes.
"""

import base64
import json
import threading
import time
import urllib.parse

import msgspec

from standins import httpd

_MAX_ROWS_PER_READ = 500
_MAX_TRANSACTION_ENTRIES = 100
_ENTRY_LISTS = ("expected_revision", "put", "remove")
_UNRESPONSIVE_POLL_S = 0.02
# Longer than any caller waits for an answer.
_LOST_CALL_S = 30.0


class Copy(msgspec.Struct, frozen=True):
    """The rows of a store at one moment, and what it has to tell of changes.

    Attributes:
        rows: Value and version of each row by table, part and key.
        changes: The changes, as long polls tell them.
        version: The newest version.
    """

    rows: dict[tuple[str, str, str], tuple[str, int]]
    changes: list[dict[str, object]]
    version: int


class RowStore:
    """Rows in tables, where each change gets the next version.

    Attributes:
        failure_status: Status for every call while it is not None.
        is_unresponsive: Whether calls get no answer until this is False.
        loses_calls: Whether calls that come now get no answer at all, on
            connections that stay open. Those that came before still do.
        era: Number of the copy that it runs from, in the header `Store-Era` of
            all answers; None if answers have no such header.
        call_counts: Number of calls by path.
        committed_transactions: Number of committed transactions, without the
            rows that `put` writes.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._changes: list[dict[str, object]] = []
        self._version = 0
        self._history_start = 0
        self._changed = threading.Condition()
        self._started_at = time.monotonic()
        self.failure_status: int | None = None
        self.is_unresponsive = False
        self.loses_calls = False
        self.era: int | None = None
        self.call_counts: dict[str, int] = {}
        self.committed_transactions = 0

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row unconditionally, as the operators' tools do."""
        with self._changed:
            self._version += 1
            encoded = base64.b64encode(value).decode("ascii")
            self._write(table, "", key, encoded)
            self._changed.notify_all()

    def remove(self, table: str, key: str) -> None:
        """Removes a row, as the operators' tools do."""
        self._commit({"remove": [{"table": table, "part": "", "key": key}]})

    def forget_history(self) -> None:
        """Drops the history, so that polls after older versions get 410."""
        with self._changed:
            self._history_start = self._version
            self._changes.clear()

    def copy(self) -> Copy:
        """Returns a copy of the present state."""
        with self._changed:
            return Copy(dict(self._rows), list(self._changes), self._version)

    def restore(self, copy: Copy) -> None:
        """Goes back to a copy: all that was written since is lost.

        Polls that wait from a version that the copy does not have get 410. The
        era rises.
        """
        with self._changed:
            self._rows = dict(copy.rows)
            self._changes = list(copy.changes)
            self._version = copy.version
            self.era = (self.era or 0) + 1
            self._changed.notify_all()

    def value(self, table: str, key: str) -> bytes | None:
        """Returns the value of a row, or None if there is no such row."""
        with self._changed:
            row = self._rows.get((table, "", key))
        return None if row is None else base64.b64decode(row[0])

    def keys(self, table: str) -> list[str]:
        """Returns the keys of a table, sorted."""
        with self._changed:
            return sorted(key for name, _, key in self._rows if name == table)

    def handle_request(self, request: httpd.Request) -> httpd.Response:
        """Handles a call of the store's HTTP API."""
        response = self._answer(request)
        if self.era is None or response.status is None:
            return response
        headers = {**response.headers, "Store_Era": str(self.era)}
        return msgspec.structs.replace(response, headers=headers)

    def _answer(self, request: httpd.Request) -> httpd.Response:
        path, _, query = request.path.partition("?")
        self.call_counts[path] = self.call_counts.get(path, 0) + 1
        if self.loses_calls:
            time.sleep(_LOST_CALL_S)
            return httpd.Response(None)
        while self.is_unresponsive:
            time.sleep(_UNRESPONSIVE_POLL_S)
        if self.failure_status is not None:
            return httpd.Response(self.failure_status)
        parameters = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        match (request.method, path):
            case ("POST", "/-/rows-tx"):
                return self._commit(request.json())
            case ("GET", "/-/rows-get"):
                return self._get(parameters)
            case ("GET", "/-/rows-feed"):
                return self._poll_changes(parameters)
        return httpd.Response(404)

    def _version_and_time(self) -> dict[str, int]:
        elapsed_s = time.monotonic() - self._started_at
        return {"ver": self._version, "now_ms": int(elapsed_s * 1000)}

    def _row(self, row_id: tuple[str, str, str]) -> dict[str, object]:
        value, version = self._rows[row_id]
        table, part, key = row_id
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "ver": version,
        }

    def _write(self, table: str, part: str, key: str, value: str) -> None:
        self._rows[table, part, key] = (value, self._version)
        self._changes.append(self._row((table, part, key)))

    def _commit(self, body: dict) -> httpd.Response:
        entries = sum(len(body.get(name, [])) for name in _ENTRY_LISTS)
        if entries > _MAX_TRANSACTION_ENTRIES:
            return httpd.Response(400)
        with self._changed:
            current_rows = []
            checks_hold = True
            for entry in body.get("expected_revision", []):
                row_id = (entry["table"], entry["part"], entry["key"])
                row = self._rows.get(row_id)
                checks_hold &= (row[1] if row else 0) == entry["ver"]
                if row:
                    current_rows.append(self._row(row_id))
            if not checks_hold:
                return _json_response(
                    412, rows=current_rows, **self._version_and_time()
                )
            self._version += 1
            self.committed_transactions += 1
            for entry in body.get("put", []):
                self._write(
                    entry["table"], entry["part"], entry["key"], entry["value"]
                )
            for entry in body.get("remove", []):
                row_id = (entry["table"], entry["part"], entry["key"])
                if self._rows.pop(row_id, None) is not None:
                    self._changes.append(
                        {
                            **entry,
                            "removed": True,
                            "ver": self._version,
                        }
                    )
            self._changed.notify_all()
            return _json_response(200, **self._version_and_time())

    def _get(self, parameters: dict[str, str]) -> httpd.Response:
        limit = min(
            int(parameters.get("limit", _MAX_ROWS_PER_READ)), _MAX_ROWS_PER_READ
        )
        with self._changed:
            row_ids = sorted(
                row_id
                for row_id in self._rows
                if row_id[:2] == (parameters["table"], parameters["part"])
                and row_id[2] >= parameters.get("from", "")
            )
            rows = [self._row(row_id) for row_id in row_ids[:limit]]
            has_more = len(row_ids) > limit
            return _json_response(
                200, rows=rows, has_more=has_more, **self._version_and_time()
            )

    def _poll_changes(self, parameters: dict[str, str]) -> httpd.Response:
        after = int(parameters["after"])
        deadline = time.monotonic() + int(parameters["wait_ms"]) / 1000
        with self._changed:
            while True:
                if not self._history_start <= after <= self._version:
                    return _json_response(410)
                rows = [
                    change
                    for change in self._changes
                    if change["ver"] > after
                    and change["table"] == parameters["table"]
                ]
                remaining_s = deadline - time.monotonic()
                if rows or remaining_s <= 0:
                    return _json_response(
                        200, rows=rows, **self._version_and_time()
                    )
                self._changed.wait(remaining_s)


def _json_response(status: int, **body: object) -> httpd.Response:
    return httpd.Response(status, json.dumps(body).encode("utf-8"))
