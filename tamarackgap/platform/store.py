"""Client of the platform's store: reads, long polls and transactions."""

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
from tamarackgap.traffic import routetable, storewatch

_IDLE_TIMEOUT_S = 20.0
_UNACKED_TIMEOUT_MS = 2500
_CALL_TIMEOUT_S = 2.0
_LONG_POLL_MARGIN_S = 1.0
_MIN_RETRY_PAUSE_S = 0.4
_MAX_RETRY_PAUSE_S = 1.0
_STATUS_OK = 200
_STATUS_CONDITION_FAILED = 412
_STATUS_HISTORY_LOST = 410


class _Row(msgspec.Struct):
    key: str
    # The row's revision.
    ver: int
    value: str = ""
    removed: bool = False


class _RowsAnswer(msgspec.Struct):
    # The revision up to which the rows are complete.
    ver: int = 0
    # Time of the answer on the store's monotonic clock, milliseconds.
    now_ms: int = 0
    rows: list[msgspec.Raw] = []
    has_more: bool = False


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


# Called with rows, the revision up to which they are complete, and the time on
# this process's clock at which the table had that state, seconds.
OnRows = Callable[[list[records.Row], int, float], None]


class Store:
    """Makes all calls of this daemon to the platform's store."""

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
            poller, timers, address, _IDLE_TIMEOUT_S, _UNACKED_TIMEOUT_MS
        )
        self._call_counts: dict[str, int] = {}
        self._own_watch: _TableWatch | None = None
        self._operator_watch: _TableWatch | None = None
        # Least value seen of this process's clock minus the store's, seconds.
        self._clock_offset_s = float("inf")

    def to_local_clock(self, store_ms: int) -> float:
        """Returns a time of the store on this process's clock, seconds.

        Uses the least difference between the clocks seen so far, since the time
        that an answer takes adds to the difference measured with it.

        Args:
            store_ms: Time on the store's clock, milliseconds.
        """
        store_s = store_ms / 1000
        self._clock_offset_s = min(
            self._clock_offset_s, self._timers.now - store_s
        )
        return store_s + self._clock_offset_s

    def call_counts(self) -> dict[str, int]:
        """Returns the number of calls by path and result."""
        return dict(self._call_counts)

    def watch(self, rows: OnRows, failed: Callable[[str], None]) -> None:
        """Reads this system's rows, then each change, until the process ends.

        Args:
            rows: Called after each read.
            failed: Called with the cause when a read has failed.
        """
        self._own_watch = _TableWatch(
            self, names.OWN_TABLE, storewatch.row_plan(1, True), rows, failed
        )
        self._own_watch.read()

    def skip_pause(self) -> None:
        """Reads changes of this system's rows without the pause."""
        if self._own_watch is not None:
            self._own_watch.skip_pause()

    def set_row_plan(self, plan: storewatch.ReadPlan) -> None:
        """Sets how this system's rows are followed from the next read on."""
        if self._own_watch is not None:
            self._own_watch.plan = plan

    def set_route_table_plan(self, plan: storewatch.ReadPlan) -> None:
        """Sets how the configuration is followed from the next read on."""
        if self._operator_watch is not None:
            self._operator_watch.plan = plan

    def watch_route_table(
        self, changed: Callable[[routetable.RouteTable], None]
    ) -> None:
        """Reads the operator's configuration, then each new version.

        Args:
            changed: Called with each version that could be decoded.
        """

        def handle_rows(
            rows: list[records.Row], revision: int, as_of: float
        ) -> None:
            del revision, as_of
            for row in rows:
                if row.key != names.OPERATOR_KEY or row.value is None:
                    continue
                table = operatorconfig.decode(row.value.encode("utf-8"))
                if table is not None:
                    changed(table)

        self._operator_watch = _TableWatch(
            self,
            names.OPERATOR_TABLE,
            storewatch.route_table_plan(is_watcher=True),
            handle_rows,
            lambda problem: None,
        )
        self._operator_watch.read()

    def commit(
        self,
        transaction: records.Transaction,
        done: Callable[[effects.CommitState, list[records.Row]], None],
    ) -> None:
        """Commits a transaction; its outcome may stay unknown.

        Args:
            transaction: The checks and writes.
            done: Called once with the outcome and with rows: those written, or
                after a conflict the checked rows as they are now.
        """
        body = _Transaction(
            [
                _Condition(names.OWN_TABLE, "", check.key, check.revision)
                for check in transaction.checks
            ],
            [
                _RowWrite(
                    names.OWN_TABLE, "", write.key, _encode_value(write.value)
                )
                for write in transaction.writes
                if write.value is not None
            ],
            [
                _RowKey(names.OWN_TABLE, "", write.key)
                for write in transaction.writes
                if write.value is None
            ],
        )
        self.call(
            "POST",
            names.ROWS_TX,
            msgspec.json.encode(body),
            _CALL_TIMEOUT_S,
            functools.partial(_handle_commit_answer, transaction, done),
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        done: httppool.DoneCallback,
    ) -> httppool.Exchange:
        """Makes a call with a JSON body, and counts its result.

        Args:
            method: HTTP method.
            path: Path and query.
            body: The body, encoded.
            timeout: Longest wait for the whole answer, seconds.
            done: Called once with the answer or the failure.

        Returns:
            The exchange under way.
        """
        path_only = path.partition("?")[0]
        data = requests.encode_json(method, path, self._address, body)

        def handle_outcome(
            outcome: result.Result[httppool.Answer, exchanges.Failure],
        ) -> None:
            match outcome:
                case result.Success(httppool.Answer(status=status)):
                    name = f"{path_only} {status}"
                case result.Failure(exchanges.Failure(cause=cause)):
                    name = f"{path_only} {cause.value}"
                case _:
                    raise AssertionError(outcome)
            self._call_counts[name] = self._call_counts.get(name, 0) + 1
            done(outcome)

        return self._pool.send(lambda: data, timeout, handle_outcome)

    @property
    def timers(self) -> scheduler.Scheduler:
        """The loop's scheduler."""
        return self._timers


class _TableWatch:
    """Reads a table whole, then follows its changes."""

    def __init__(
        self,
        store: Store,
        table: str,
        plan: storewatch.ReadPlan,
        on_rows: OnRows,
        on_failure: Callable[[str], None],
    ) -> None:
        self._store = store
        self._table = table
        # How changes are followed from the next read on.
        self.plan = plan
        # Length of the pause before the next poll, seconds.
        self._next_pause_s = 0.0
        self._on_rows = on_rows
        self._on_failure = on_failure
        # All changes up to this revision have been read; None if the whole
        # table must be read.
        self._revision: int | None = None
        self._known_keys: set[str] = set()
        self._rows_so_far: list[records.Row] = []
        self._retry_pause_s = _MIN_RETRY_PAUSE_S
        self._is_failing = False
        # Makes the next call when the pause ends; None outside of pauses.
        self._pause_timer: scheduler.Timer | None = None
        self._skip_next_pause = False

    def skip_pause(self) -> None:
        """Ends the pause after a change; a pause after a failure stays."""
        if self._pause_timer is None:
            self._skip_next_pause = True
        elif not self._is_failing:
            self._pause_timer.cancel()
            self._next_pause_s = 0.0
            self.read()

    def read(self) -> None:
        """Starts to read the whole table, or polls for its next changes."""
        self._pause_timer = None
        if self._revision is None:
            self._read_page("")
            return
        # A poll after a pause is shorter by the length of the pause: owners
        # rely on having read the table at least once in each period.
        wait = 0.0
        if self.plan.waits:
            wait = max(0.0, self.plan.period - self._next_pause_s)
        self._next_pause_s = 0.0
        wait_ms = round(wait * 1000)
        path = (
            f"{names.ROWS_FEED}?table={self._table}"
            f"&after={self._revision}&wait_ms={wait_ms}"
        )
        timeout = max(_CALL_TIMEOUT_S, wait + _LONG_POLL_MARGIN_S)
        self._call(path, timeout, self._handle_feed)

    def _read_page(self, start: str) -> None:
        if not start:
            self._rows_so_far = []
        query = urllib.parse.urlencode(
            {"table": self._table, "part": "", "from": start, "limit": 500}
        )
        self._call(
            f"{names.ROWS_GET}?{query}", _CALL_TIMEOUT_S, self._handle_page
        )

    def _call(
        self,
        path: str,
        timeout: float,
        handle_answer: Callable[[httppool.Answer], bool],
    ) -> None:
        """Makes a call; `handle_answer` returns False for an invalid answer."""

        def handle_outcome(
            outcome: result.Result[httppool.Answer, exchanges.Failure],
        ) -> None:
            match outcome:
                case result.Success(httppool.Answer() as answer):
                    if not handle_answer(answer):
                        self._handle_failure(f"status {answer.status}")
                case result.Failure(exchanges.Failure(cause=cause)):
                    self._handle_failure(cause.value)

        self._store.call("GET", path, b"", timeout, handle_outcome)

    def _handle_failure(self, problem: str) -> None:
        if not self._is_failing:
            self._is_failing = True
            logs.event("store_lost", table=self._table, problem=problem)
        self._on_failure(problem)
        self._schedule(self._retry_pause_s)
        self._retry_pause_s = min(self._retry_pause_s * 2, _MAX_RETRY_PAUSE_S)

    def _schedule(self, pause: float) -> None:
        self._pause_timer = self._store.timers.after(pause, self.read)

    def _handle_success(self) -> None:
        self._retry_pause_s = _MIN_RETRY_PAUSE_S
        if self._is_failing:
            self._is_failing = False
            logs.event("store_regained", table=self._table)

    def _handle_page(self, answer: httppool.Answer) -> bool:
        page = _decode_answer(answer)
        if page is None:
            return False
        self._rows_so_far += _decode_rows(page)
        if page.has_more and self._rows_so_far:
            # `from` is inclusive: the next page starts just after the last key.
            self._read_page(self._rows_so_far[-1].key + "\0")
            return True
        self._handle_success()
        rows = self._rows_so_far
        self._rows_so_far = []
        present_keys = {row.key for row in rows}
        removed = [
            records.Row(key, None, page.ver)
            for key in self._known_keys - present_keys
        ]
        self._known_keys = present_keys
        self._revision = page.ver
        self._on_rows(
            rows + removed, page.ver, self._store.to_local_clock(page.now_ms)
        )
        self._schedule(0.0)
        return True

    def _handle_feed(self, answer: httppool.Answer) -> bool:
        if answer.status == _STATUS_HISTORY_LOST:
            logs.event("store_history_lost", table=self._table)
            self._revision = None
            self._schedule(0.0)
            return True
        page = _decode_answer(answer)
        if page is None:
            return False
        self._handle_success()
        rows = _decode_rows(page)
        self._known_keys |= {row.key for row in rows if row.value is not None}
        self._revision = max(self._revision or 0, page.ver)
        self._on_rows(rows, page.ver, self._store.to_local_clock(page.now_ms))
        if not self._skip_next_pause and (rows or not self.plan.waits):
            self._next_pause_s = min(self.plan.pause, self.plan.period)
        self._schedule(self._next_pause_s)
        self._skip_next_pause = False
        return True


def _decode_answer(answer: httppool.Answer) -> _RowsAnswer | None:
    if answer.status != _STATUS_OK:
        return None
    try:
        return msgspec.json.decode(answer.body, type=_RowsAnswer)
    except msgspec.MsgspecError as error:
        logs.event("store_answer_malformed", error=str(error))
        return None


def _decode_rows(page: _RowsAnswer) -> list[records.Row]:
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


def _encode_value(value: str) -> str:
    return base64.b64encode(value.encode("utf-8")).decode("ascii")


def _decode_value(value: str) -> str:
    try:
        return base64.b64decode(value, validate=True).decode("utf-8")
    except binascii.Error as error:
        raise ValueError(str(error)) from error


def _handle_commit_answer(
    transaction: records.Transaction,
    done: Callable[[effects.CommitState, list[records.Row]], None],
    outcome: result.Result[httppool.Answer, exchanges.Failure],
) -> None:
    match outcome:
        case result.Success(httppool.Answer(status=status) as answer):
            page = _decode_commit_answer(answer)
            if page is not None and status == _STATUS_OK:
                rows = [
                    records.Row(write.key, write.value, page.ver)
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


def _decode_commit_answer(answer: httppool.Answer) -> _RowsAnswer | None:
    if answer.status not in (_STATUS_OK, _STATUS_CONDITION_FAILED):
        return None
    try:
        return msgspec.json.decode(answer.body, type=_RowsAnswer)
    except msgspec.MsgspecError as error:
        logs.event("store_answer_malformed", error=str(error))
        return None


def _current_rows(
    transaction: records.Transaction, page: _RowsAnswer
) -> list[records.Row]:
    """Returns the checked rows as they are now; absent ones have no value."""
    rows = _decode_rows(page)
    present_keys = {row.key for row in rows}
    return rows + [
        records.Row(check.key, None, page.ver)
        for check in transaction.checks
        if check.key not in present_keys and page.ver
    ]
