"""Reads a table of the platform's store, and follows its changes."""

import urllib.parse
from collections.abc import Callable
from typing import Protocol

from returns import result

from tamarackgap import logs
from tamarackgap.network import exchanges, httppool, scheduler
from tamarackgap.placement import records
from tamarackgap.platform import names, rowcodec
from tamarackgap.traffic import storewatch

_CALL_TIMEOUT_S = 2.0
_LONG_POLL_MARGIN_S = 1.0
_MIN_RETRY_PAUSE_S = 0.4
_MAX_RETRY_PAUSE_S = 1.0
_STATUS_HISTORY_LOST = 410

# Called with rows, the revision up to which they are complete, and the time on
# this process's clock at which the table had that state, seconds.
OnRows = Callable[[list[records.Row], int, float], None]


class Caller(Protocol):
    """Makes calls to the store."""

    @property
    def timers(self) -> scheduler.Scheduler:
        """The loop's scheduler."""

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        done: httppool.DoneCallback,
    ) -> httppool.Exchange:
        """Makes a call, and counts its result."""

    def to_local_clock(self, store_ms: int) -> float:
        """Returns a time of the store on this process's clock, seconds."""


class TableWatch:
    """Reads a table whole, then follows its changes."""

    def __init__(
        self,
        store: Caller,
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
        self._keys_so_far: list[str] = []
        # The first page's answer: rows of it may have changed when the last
        # page is read, so only changes up to then are known to be complete.
        self._first_page: rowcodec.RowsAnswer | None = None
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
            self._keys_so_far = []
            self._first_page = None
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
        page = rowcodec.decode_answer(answer)
        if page is None:
            return False
        first_page = self._first_page or page
        self._first_page = first_page
        decoded = rowcodec.decode_rows(page)
        self._rows_so_far += decoded.readable
        self._keys_so_far += decoded.keys
        if page.has_more:
            if not decoded.keys:
                # Where the next page starts is not known.
                return False
            # `from` is inclusive: the next page starts just after the last key.
            self._read_page(decoded.keys[-1] + "\0")
            return True
        self._handle_success()
        rows = self._rows_so_far
        present_keys = set(self._keys_so_far)
        self._rows_so_far = []
        self._keys_so_far = []
        removed = [
            records.Row(key, None, first_page.ver)
            for key in self._known_keys - present_keys
        ]
        self._known_keys = present_keys
        self._revision = first_page.ver
        self._on_rows(
            rows + removed,
            first_page.ver,
            self._store.to_local_clock(first_page.now_ms),
        )
        self._schedule(0.0)
        return True

    def _handle_feed(self, answer: httppool.Answer) -> bool:
        if answer.status == _STATUS_HISTORY_LOST:
            logs.event("store_history_lost", table=self._table)
            self._revision = None
            self._schedule(0.0)
            return True
        page = rowcodec.decode_answer(answer)
        if page is None:
            return False
        self._handle_success()
        decoded = rowcodec.decode_rows(page)
        rows = decoded.readable
        self._known_keys |= set(decoded.keys)
        self._revision = max(self._revision or 0, page.ver)
        self._on_rows(rows, page.ver, self._store.to_local_clock(page.now_ms))
        if not self._skip_next_pause and (rows or not self.plan.waits):
            self._next_pause_s = min(self.plan.pause, self.plan.period)
        self._schedule(self._next_pause_s)
        self._skip_next_pause = False
        return True
