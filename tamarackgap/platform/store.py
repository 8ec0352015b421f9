"""The client of the platform's store: rows, conditions and long polls."""

import base64
import binascii
import functools
import urllib.parse
from collections.abc import Callable

import msgspec
from returns import result

from tamarackgap import logs
from tamarackgap.network import exchanges, httppool, scheduler, sockets
from tamarackgap.ownership import effects
from tamarackgap.placement import records
from tamarackgap.platform import names, operatorconfig, requests
from tamarackgap.traffic import routetable

_IDLE_S = 20.0
_SILENCE_MS = 2500
_TIMEOUT_S = 2.0
# Each long poll costs a call, and a poll on a silent connection hears
# nothing until it is over.
_POLL_S = 8.0
_POLL_MARGIN_S = 1.0
# Pause after a change until the next poll, until another one is set, seconds.
_PAUSE_S = 1.0
_OPERATOR_PAUSE_S = 0.02
_RETRY_S = 0.4
_RETRY_MAX_S = 1.0
_OK = 200
_CONDITION_FAILED = 412
_HISTORY_LOST = 410


class _Row(msgspec.Struct):
    key: str
    ver: int
    value: str = ""
    removed: bool = False


class _Rows(msgspec.Struct):
    ver: int = 0
    # Milliseconds on the store's steady clock.
    now_ms: int = 0
    rows: list[msgspec.Raw] = []
    has_more: bool = False


class _Expected(msgspec.Struct):
    table: str
    part: str
    key: str
    # The revision that the row must have; 0 where it must not exist.
    ver: int


class _Put(msgspec.Struct):
    table: str
    part: str
    key: str
    # Base64.
    value: str


class _Key(msgspec.Struct):
    table: str
    part: str
    key: str


class _Transaction(msgspec.Struct):
    # A list of rows, though it is named like one revision.
    expected_revision: list[_Expected]
    put: list[_Put]
    remove: list[_Key]


# Called with rows, the revision up to which they go, and since when that is
# known to have been the state of the table.
Rows = Callable[[list[records.Row], int, float], None]


class Store:
    """All calls of this daemon to the platform's store."""

    def __init__(
        self, poller: sockets.Poller, timers: scheduler.Scheduler, address: str
    ) -> None:
        """Creates a client without connections.

        Args:
            poller: The loop's poller.
            timers: The loop's scheduler.
            address: The store's `ip:port`.
        """
        self._timers = timers
        self._address = address
        self._pool = httppool.ConnectionPool(
            poller, timers, address, _IDLE_S, _SILENCE_MS
        )
        self._counts: dict[str, int] = {}
        self._own_rows: _Watch | None = None
        # Least difference seen between this clock and the store's, seconds.
        self._offset = float("inf")

    def to_local_clock(self, store_ms: int) -> float:
        """Returns a moment on this clock that is not after the store's.

        The fastest answer so far tells how the clocks lie at the most.
        """
        moment = store_ms / 1000
        self._offset = min(self._offset, self._timers.now - moment)
        return moment + self._offset

    def call_counts(self) -> dict[str, int]:
        """Returns how many calls were made, by kind and result."""
        return dict(self._counts)

    def watch(self, rows: Rows, failed: Callable[[str], None]) -> None:
        """Reads the system's own rows, then each change, for good."""
        self._own_rows = _Watch(self, names.OWN_TABLE, _PAUSE_S, rows, failed)
        self._own_rows.begin()

    def skip_pause(self) -> None:
        """Reads the system's own rows now, if they wait for a pause to end."""
        if self._own_rows is not None:
            self._own_rows.skip_pause()

    def set_pause(self, pause: float) -> None:
        """Sets how long changes of the system's own rows are gathered.

        Args:
            pause: From reading some until the next poll, seconds; a poll that
                follows a pause is shorter by it.
        """
        if self._own_rows is not None:
            self._own_rows.pause = min(pause, _POLL_S)

    def watch_route_table(
        self, changed: Callable[[routetable.RouteTable], None]
    ) -> None:
        """Reads the operator's configuration, and each new version."""

        def rows(found: list[records.Row], revision: int, as_of: float) -> None:
            del revision, as_of
            for row in found:
                if row.key != names.OPERATOR_KEY or row.value is None:
                    continue
                table = operatorconfig.decode(row.value.encode("utf-8"))
                if table is not None:
                    changed(table)

        watch = _Watch(
            self,
            names.OPERATOR_TABLE,
            _OPERATOR_PAUSE_S,
            rows,
            lambda problem: None,
        )
        watch.begin()

    def commit(
        self,
        transaction: records.Transaction,
        done: Callable[[effects.CommitState, list[records.Row]], None],
    ) -> None:
        """Puts a transaction; its outcome may stay unknown."""
        body = _Transaction(
            [
                _Expected(names.OWN_TABLE, "", check.key, check.revision)
                for check in transaction.checks
            ],
            [
                _Put(names.OWN_TABLE, "", write.key, _encode(write.value))
                for write in transaction.writes
                if write.value is not None
            ],
            [
                _Key(names.OWN_TABLE, "", write.key)
                for write in transaction.writes
                if write.value is None
            ],
        )
        self.call(
            "POST",
            names.ROWS_TX,
            msgspec.json.encode(body),
            _TIMEOUT_S,
            functools.partial(_committed, transaction, done),
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        done: httppool.DoneCallback,
    ) -> httppool.Exchange:
        """Makes a call."""
        kind = path.partition("?")[0]
        data = requests.encode_json(method, path, self._address, body)

        def counted(
            outcome: result.Result[httppool.Answer, exchanges.Failure],
        ) -> None:
            match outcome:
                case result.Success(httppool.Answer(status=status)):
                    name = f"{kind} {status}"
                case result.Failure(exchanges.Failure(cause=cause)):
                    name = f"{kind} {cause.value}"
                case _:
                    raise AssertionError(outcome)
            self._counts[name] = self._counts.get(name, 0) + 1
            done(outcome)

        return self._pool.send(lambda: data, timeout, counted)

    @property
    def timers(self) -> scheduler.Scheduler:
        """The loop's scheduler."""
        return self._timers


class _Watch:
    """One table, read whole and then followed change by change."""

    def __init__(
        self,
        store: Store,
        table: str,
        pause: float,
        rows: Rows,
        failed: Callable[[str], None],
    ) -> None:
        self._store = store
        self._table = table
        # Changes that come within it are read together, seconds.
        self.pause = pause
        # How much of it went by before the next poll.
        self._gathered = 0.0
        self._rows = rows
        self._failed = failed
        # Up to here all changes have been read; None asks for a whole read.
        self._revision: int | None = None
        self._keys: set[str] = set()
        self._page: list[records.Row] = []
        self._retry = _RETRY_S
        self._is_failing = False
        # The next call, while it waits for a pause to end.
        self._paused: scheduler.Timer | None = None
        self._hurried = False

    def skip_pause(self) -> None:
        """Leaves out the pause after changes; one after a failure goes on."""
        if self._paused is None:
            self._hurried = True
        elif not self._is_failing:
            self._paused.cancel()
            self._gathered = 0.0
            self.begin()

    def begin(self) -> None:
        """Makes the next call."""
        self._paused = None
        if self._revision is None:
            self._get("")
            return
        # Owners rely on having read the table at least this often.
        wait = _POLL_S - self._gathered
        self._gathered = 0.0
        wait_ms = round(wait * 1000)
        path = (
            f"{names.ROWS_FEED}?table={self._table}"
            f"&after={self._revision}&wait_ms={wait_ms}"
        )
        self._call(path, wait + _POLL_MARGIN_S, self._fed)

    def _get(self, start: str) -> None:
        if not start:
            self._page = []
        query = urllib.parse.urlencode(
            {"table": self._table, "part": "", "from": start, "limit": 500}
        )
        self._call(f"{names.ROWS_GET}?{query}", _TIMEOUT_S, self._got)

    def _call(
        self,
        path: str,
        timeout: float,
        take: Callable[[httppool.Answer], bool],
    ) -> None:
        def done(
            outcome: result.Result[httppool.Answer, exchanges.Failure],
        ) -> None:
            match outcome:
                case result.Success(httppool.Answer() as answer):
                    if not take(answer):
                        self._fail(f"status {answer.status}")
                case result.Failure(exchanges.Failure(cause=cause)):
                    self._fail(cause.value)

        self._store.call("GET", path, b"", timeout, done)

    def _fail(self, problem: str) -> None:
        if not self._is_failing:
            self._is_failing = True
            logs.event("store_lost", table=self._table, problem=problem)
        self._failed(problem)
        self._again(self._retry)
        self._retry = min(self._retry * 2, _RETRY_MAX_S)

    def _again(self, pause: float) -> None:
        self._paused = self._store.timers.after(pause, self.begin)

    def _worked(self) -> None:
        self._retry = _RETRY_S
        if self._is_failing:
            self._is_failing = False
            logs.event("store_regained", table=self._table)

    def _got(self, answer: httppool.Answer) -> bool:
        page = _decode_rows(answer)
        if page is None:
            return False
        self._page += _rows(page)
        if page.has_more and self._page:
            # The range begins with the key itself: the next one is wanted.
            self._get(self._page[-1].key + "\0")
            return True
        self._worked()
        found = self._page
        self._page = []
        present = {row.key for row in found}
        gone = [
            records.Row(key, None, page.ver) for key in self._keys - present
        ]
        self._keys = present
        self._revision = page.ver
        self._rows(
            found + gone, page.ver, self._store.to_local_clock(page.now_ms)
        )
        self._again(0.0)
        return True

    def _fed(self, answer: httppool.Answer) -> bool:
        if answer.status == _HISTORY_LOST:
            logs.event("store_history_lost", table=self._table)
            self._revision = None
            self._again(0.0)
            return True
        page = _decode_rows(answer)
        if page is None:
            return False
        self._worked()
        found = _rows(page)
        self._keys |= {row.key for row in found if row.value is not None}
        self._revision = max(self._revision or 0, page.ver)
        self._rows(found, page.ver, self._store.to_local_clock(page.now_ms))
        if found and not self._hurried:
            self._gathered = self.pause
        self._again(self._gathered)
        self._hurried = False
        return True


def _decode_rows(answer: httppool.Answer) -> _Rows | None:
    if answer.status != _OK:
        return None
    try:
        return msgspec.json.decode(answer.body, type=_Rows)
    except msgspec.MsgspecError as error:
        logs.event("store_answer_malformed", error=str(error))
        return None


def _rows(page: _Rows) -> list[records.Row]:
    """Returns the rows that can be read; each other one is left out."""
    found = []
    for raw in page.rows:
        try:
            row = msgspec.json.decode(raw, type=_Row)
            value = None if row.removed else _decode(row.value)
        except (msgspec.MsgspecError, ValueError) as error:
            logs.event("row_malformed", error=str(error))
            continue
        found.append(records.Row(row.key, value, row.ver))
    return found


def _encode(value: str) -> str:
    return base64.b64encode(value.encode("utf-8")).decode("ascii")


def _decode(value: str) -> str:
    try:
        return base64.b64decode(value, validate=True).decode("utf-8")
    except binascii.Error as error:
        raise ValueError(str(error)) from error


def _committed(
    transaction: records.Transaction,
    done: Callable[[effects.CommitState, list[records.Row]], None],
    outcome: result.Result[httppool.Answer, exchanges.Failure],
) -> None:
    match outcome:
        case result.Success(httppool.Answer(status=status) as answer):
            page = _outcome(answer)
            if page is not None and status == _OK:
                rows = [
                    records.Row(write.key, write.value, page.ver)
                    for write in transaction.writes
                ]
                done(effects.CommitState.COMMITTED, rows)
                return
            if page is not None and status == _CONDITION_FAILED:
                done(effects.CommitState.CONFLICT, _current(transaction, page))
                return
            logs.event("commit_unknown", status=status)
        case result.Failure(exchanges.Failure(cause=cause)):
            logs.event("commit_unknown", cause=cause.value)
    done(effects.CommitState.UNKNOWN, [])


def _outcome(answer: httppool.Answer) -> _Rows | None:
    if answer.status not in (_OK, _CONDITION_FAILED):
        return None
    try:
        return msgspec.json.decode(answer.body, type=_Rows)
    except msgspec.MsgspecError as error:
        logs.event("store_answer_malformed", error=str(error))
        return None


def _current(
    transaction: records.Transaction, page: _Rows
) -> list[records.Row]:
    """Returns the checked rows as they are now; absent ones are deleted."""
    found = _rows(page)
    present = {row.key for row in found}
    return found + [
        records.Row(check.key, None, page.ver)
        for check in transaction.checks
        if check.key not in present and page.ver
    ]
