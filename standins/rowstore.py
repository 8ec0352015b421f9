"""The users' platform's store, in memory: rows, conditions and long polls."""

import base64
import json
import threading
import time
import urllib.parse

from standins import httpd

_PAGE = 500
_SILENT_STEP_S = 0.02


class RowStore:
    """Rows in tables, each change with the next version."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._changes: list[dict[str, object]] = []
        self._version = 0
        self._kept_from = 0
        self._changed = threading.Condition()
        self._begun = time.monotonic()
        # Answers every call with this status while it is set.
        self.failure_status: int | None = None
        # Answers nothing while it is set.
        self.is_unresponsive = False
        self.call_counts: dict[str, int] = {}
        # Transactions that were carried out.
        self.committed_transactions = 0

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row as the operator does."""
        with self._changed:
            self._version += 1
            text = base64.b64encode(value).decode("ascii")
            self._write(table, "", key, text)
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Drops all changes that are past."""
        with self._changed:
            self._kept_from = self._version
            self._changes.clear()

    def value(self, table: str, key: str) -> bytes | None:
        """Returns a row's value, or None."""
        with self._changed:
            found = self._rows.get((table, "", key))
        return None if found is None else base64.b64decode(found[0])

    def keys(self, table: str) -> list[str]:
        """Returns the keys of a table, sorted."""
        with self._changed:
            return sorted(key for name, _, key in self._rows if name == table)

    def handle_request(self, query: httpd.Request) -> httpd.Response:
        """Answers a call."""
        path, _, arguments = query.path.partition("?")
        self.call_counts[path] = self.call_counts.get(path, 0) + 1
        while self.is_unresponsive:
            time.sleep(_SILENT_STEP_S)
        if self.failure_status is not None:
            return httpd.Response(self.failure_status)
        fields = dict(urllib.parse.parse_qsl(arguments, keep_blank_values=True))
        match (query.method, path):
            case ("POST", "/-/rows-tx"):
                return self._transact(query.json())
            case ("GET", "/-/rows-get"):
                return self._get(fields)
            case ("GET", "/-/rows-feed"):
                return self._feed(fields)
        return httpd.Response(404)

    def _stamps(self) -> dict[str, int]:
        passed = time.monotonic() - self._begun
        return {"ver": self._version, "now_ms": int(passed * 1000)}

    def _row(self, place: tuple[str, str, str]) -> dict[str, object]:
        value, version = self._rows[place]
        table, part, key = place
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

    def _transact(self, body: dict) -> httpd.Response:
        with self._changed:
            current = []
            holds = True
            for entry in body.get("expected_revision", []):
                place = (entry["table"], entry["part"], entry["key"])
                found = self._rows.get(place)
                holds &= (found[1] if found else 0) == entry["ver"]
                if found:
                    current.append(self._row(place))
            if not holds:
                return _reply(412, rows=current, **self._stamps())
            self._version += 1
            self.committed_transactions += 1
            for entry in body.get("put", []):
                self._write(
                    entry["table"], entry["part"], entry["key"], entry["value"]
                )
            for entry in body.get("remove", []):
                place = (entry["table"], entry["part"], entry["key"])
                if self._rows.pop(place, None) is not None:
                    self._changes.append(
                        {
                            **entry,
                            "removed": True,
                            "ver": self._version,
                        }
                    )
            self._changed.notify_all()
            return _reply(200, **self._stamps())

    def _get(self, fields: dict[str, str]) -> httpd.Response:
        limit = min(int(fields.get("limit", _PAGE)), _PAGE)
        with self._changed:
            places = sorted(
                place
                for place in self._rows
                if place[:2] == (fields["table"], fields["part"])
                and place[2] >= fields.get("from", "")
            )
            rows = [self._row(place) for place in places[:limit]]
            more = len(places) > limit
            return _reply(200, rows=rows, has_more=more, **self._stamps())

    def _feed(self, fields: dict[str, str]) -> httpd.Response:
        after = int(fields["after"])
        until = time.monotonic() + int(fields["wait_ms"]) / 1000
        with self._changed:
            while True:
                if after < self._kept_from:
                    return _reply(410)
                rows = [
                    change
                    for change in self._changes
                    if change["ver"] > after
                    and change["table"] == fields["table"]
                ]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return _reply(200, rows=rows, **self._stamps())
                self._changed.wait(left)


def _reply(status: int, **body: object) -> httpd.Response:
    return httpd.Response(status, json.dumps(body).encode("utf-8"))
