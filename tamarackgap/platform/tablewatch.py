"""Reads a table of the platform's store, and follows its changes."""

import random
import urllib.parse
from collections.abc import Callable
from typing import Protocol

from returns import result

from tamarackgap import logs
from tamarackgap.network import exchanges, httppool, scheduler
from tamarackgap.placement import records
from tamarackgap.platform import circuitbreaker, names, rowcodec
from tamarackgap.traffic import storewatch

_CALL_TIMEOUT_S = 2.0
_LONG_POLL_MARGIN_S = 1.0
# The least part of a time-out that is drawn. Daemons whose calls were lost at
# the same moment would otherwise all call again at the same moments.
_MIN_DRAWN_PART = 0.5
# Shortest time between a call and a check that replaces it.
_MIN_CHECK_INTERVAL_S = 0.5
_STATUS_HISTORY_LOST = 410

# Called with rows, the revision up to which they are complete, the time on this
# process's clock at which the table had that state, seconds, and the store's
# era.
OnRows = Callable[[list[records.Row], int, float, int], None]
# Called with the time of the last answer before a failure, and with the time at
# which a poll should have ended that got no answer, None if none was lost so.
# Both are in seconds on this process's clock.
OnRegained = Callable[[float, float | None], None]


class Caller(Protocol):
    """Makes calls to the store."""

    @property
    def timers(self) -> scheduler.Scheduler:
        """The loop's scheduler."""

    @property
    def era(self) -> int:
        """The store's era, 0 if it has named none."""

    def is_late(self, answer: httppool.Answer) -> bool:
        """Returns whether an answer is of an era that has ended."""

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        done: httppool.DoneCallback,
    ) -> httppool.Exchange:
        """Makes a call, and counts its result."""

    def cancel(self, exchange: httppool.Exchange) -> None:
        """Ends a call without an answer."""

    def to_local_clock(self, store_ms: int) -> float:
        """Returns a time of the store on this process's clock, seconds."""

    def to_store_clock(self, time: float) -> float:
        """Returns a time of this process on the store's clock, seconds."""


class TableWatch:
    """Reads a table whole, then follows its changes.

    A long poll that the store has lost looks like one that waits, until it
    should have ended. So each poll ends at the plan's turn, which differs
    between daemons; the first one that notices a loss tells the others. After a
    failure polls do not wait: their answer shows at once that the store is
    back, and counts as a read.
    """

    def __init__(
        self,
        store: Caller,
        table: str,
        plan: storewatch.ReadPlan,
        on_rows: OnRows,
        on_failure: Callable[[str], None],
        on_regained: OnRegained = lambda since, lost_at: None,
        rng: random.Random | None = None,
        breaker: circuitbreaker.CircuitBreaker | None = None,
        follows_era: bool = False,
    ) -> None:
        """Creates a watch that has read nothing.

        Args:
            store: Makes the calls.
            table: The table's name.
            plan: How changes are followed.
            on_rows: Called after each read.
            on_failure: Called with the cause when a read has failed.
            on_regained: Called when the store answers again after a failure.
            rng: Spreads the calls of daemons that fail together.
            breaker: Holds calls back while reads fail; shared by all watches
                of the store. None if this is the only one.
            follows_era: Whether answers of eras that have ended count as
                failures.
        """
        self._store = store
        self._table = table
        self._plan = plan
        # Length of the pause before the next poll, seconds.
        self._next_pause_s = 0.0
        self._on_rows = on_rows
        self._follows_era = follows_era
        self._on_failure = on_failure
        self._on_regained = on_regained
        self._rng = rng or random.Random()
        self._breaker = breaker or circuitbreaker.CircuitBreaker(
            store.timers, self._rng
        )
        # All changes up to this revision have been read; None if the whole
        # table must be read.
        self._revision: int | None = None
        self._known_keys: set[str] = set()
        self._rows_so_far: list[records.Row] = []
        self._keys_so_far: list[str] = []
        # The first page's answer: rows of it may have changed when the last
        # page is read, so only changes up to then are known to be complete.
        self._first_page: rowcodec.RowsAnswer | None = None
        # The store's era when the first page was answered.
        self._pages_era = 0
        self._is_failing = False
        # Whether the next call waits until the breaker lets it go.
        self._is_held = False
        # The call under way, and the number of calls made. A call that was
        # replaced has a lower number than the last one.
        self._exchange: httppool.Exchange | None = None
        self._calls = 0
        self._sent_at = float("-inf")
        # When the store has answered last; at first, when the watch began.
        self._answered_at = store.timers.now
        # When the poll under way ends without changes, seconds.
        self._poll_ends_at = float("-inf")
        # The same for the first poll of a failure, if it got no answer.
        self._lost_at: float | None = None
        # Makes the next call when the pause ends; None outside of pauses.
        self._pause_timer: scheduler.Timer | None = None
        self._skip_next_pause = False

    @property
    def plan(self) -> storewatch.ReadPlan:
        """How changes are followed."""
        return self._plan

    @plan.setter
    def plan(self, plan: storewatch.ReadPlan) -> None:
        self._plan = plan
        now = self._store.timers.now
        if self._poll_ends_at - now > plan.period:
            # Fewer daemons are left to notice that polls were lost.
            self.check()

    def read_again(self) -> None:
        """Reads the whole table: the store may have gone back to a copy."""
        self._revision = None
        is_following = not self._is_failing and not self._is_held
        if is_following and self._calls:
            self._call_now()

    def skip_pause(self) -> None:
        """Ends the pause after a change; a pause after a failure stays."""
        if self._pause_timer is None:
            self._skip_next_pause = True
        elif not self._is_failing:
            self._next_pause_s = 0.0
            self._call_now()

    def check(self) -> None:
        """Asks for changes without waiting for one, in place of a long poll."""
        now = self._store.timers.now
        if now - self._sent_at >= _MIN_CHECK_INTERVAL_S:
            self._replace_poll()

    def handle_news(self, answered_at: float) -> None:
        """Calls again at once if others have had an answer since the last call.

        Args:
            answered_at: When the store answered another daemon, seconds.
        """
        if (
            self._is_failing
            and answered_at > self._sent_at
            and self._breaker.use_news(answered_at)
        ):
            self._drop_call()
            self.read()

    def check_if_sent(self, since: float, before: float) -> None:
        """Replaces the call under way if it was sent within a time.

        Args:
            since: Begin of that time, seconds.
            before: End of that time, seconds.
        """
        if self._exchange is not None and since <= self._sent_at < before:
            self._replace_poll()

    def _replace_poll(self) -> None:
        is_following = not self._is_failing and not self._is_held
        if is_following and self._revision is not None:
            self._poll(0.0)

    def read(self) -> None:
        """Reads the whole table, or polls for changes, once it may call."""
        self._pause_timer = None
        self._is_held = self._breaker.is_open
        self._breaker.wait_to_read(self._table, self._read_now)

    def _read_now(self) -> None:
        was_held = self._is_held
        self._is_held = False
        if self._revision is None:
            self._read_page("")
            return
        wait = 0.0
        if self._plan.waits and not self._is_failing and not was_held:
            # Counted from the last read: owners rely on having read the table
            # at least once in each period.
            now = self._store.timers.now
            wait = max(0.0, self._end_of_wait(now - self._next_pause_s) - now)
        self._next_pause_s = 0.0
        self._poll(wait)

    def _end_of_wait(self, since: float) -> float:
        """Returns when a poll ends that follows a read, seconds.

        Args:
            since: Time of that read, seconds.
        """
        return since + storewatch.wait_length(
            self._plan, self._store.to_store_clock(since)
        )

    def _poll(self, wait: float) -> None:
        wait_ms = round(wait * 1000)
        path = (
            f"{names.ROWS_FEED}?table={self._table}"
            f"&after={self._revision}&wait_ms={wait_ms}"
        )
        timeout = max(_CALL_TIMEOUT_S, wait + _LONG_POLL_MARGIN_S)
        if self._is_failing or self._breaker.is_open:
            timeout = self._rng.uniform(
                _MIN_DRAWN_PART * _CALL_TIMEOUT_S, _CALL_TIMEOUT_S
            )
        self._poll_ends_at = self._store.timers.now + wait
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
        self._drop_call()
        self._calls += 1
        call = self._calls
        self._sent_at = self._store.timers.now

        def handle_outcome(
            outcome: result.Result[httppool.Answer, exchanges.Failure],
        ) -> None:
            if call != self._calls:
                return
            self._exchange = None
            match outcome:
                case result.Success(httppool.Answer() as answer):
                    if not handle_answer(answer):
                        self._handle_failure(f"status {answer.status}")
                case result.Failure(exchanges.Failure(cause=cause)):
                    self._handle_failure(
                        cause.value, cause is exchanges.Cause.TIMEOUT
                    )

        exchange = self._store.call("GET", path, b"", timeout, handle_outcome)
        if call == self._calls and self._pause_timer is None:
            self._exchange = exchange

    def _drop_call(self) -> None:
        """Forgets the call under way, and a pause."""
        self._calls += 1
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            self._store.cancel(exchange)

    def _call_now(self) -> None:
        self._drop_call()
        self.read()

    def _handle_failure(self, problem: str, has_waited: bool = False) -> None:
        """Calls again once the breaker lets it: at once after a time-out."""
        under_way_s = self._store.timers.now - self._sent_at
        if not self._is_failing:
            self._is_failing = True
            self._lost_at = self._poll_ends_at if has_waited else None
            logs.event(
                "store_lost",
                table=self._table,
                problem=problem,
                ms=round(under_way_s * 1000),
            )
        self._poll_ends_at = float("-inf")
        self._on_failure(problem)
        self._breaker.record_failure(self._table, has_waited)
        self.read()

    def _schedule(self, pause: float) -> None:
        self._pause_timer = self._store.timers.after(pause, self.read)

    def _handle_success(self) -> None:
        self._poll_ends_at = float("-inf")
        since = self._answered_at
        self._answered_at = self._store.timers.now
        if self._is_failing:
            self._is_failing = False
            logs.event(
                "store_regained",
                table=self._table,
                ms=round((self._answered_at - since) * 1000),
            )
            self._on_regained(since, self._lost_at)
        self._breaker.record_answer()

    def _is_late(self, answer: httppool.Answer) -> bool:
        """Returns whether an answer is of an era that has ended."""
        return self._follows_era and self._store.is_late(answer)

    def _handle_page(self, answer: httppool.Answer) -> bool:
        page = rowcodec.decode_answer(answer)
        if page is None or self._is_late(answer):
            return False
        if self._first_page is None:
            self._pages_era = self._store.era
        elif self._pages_era != self._store.era:
            # The pages before are of a state that the store has forgotten.
            self._schedule(0.0)
            return True
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
            rowcodec.decode_row(key, None, first_page.ver)
            for key in self._known_keys - present_keys
        ]
        self._known_keys = present_keys
        self._revision = first_page.ver
        self._on_rows(
            rows + removed,
            first_page.ver,
            self._store.to_local_clock(first_page.now_ms),
            self._store.era,
        )
        self._schedule(0.0)
        return True

    def _handle_feed(self, answer: httppool.Answer) -> bool:
        if self._revision is None:
            # The store went back while this failing watch had a call under way.
            self._schedule(0.0)
            return True
        if answer.status == _STATUS_HISTORY_LOST:
            logs.event("store_history_lost", table=self._table)
            self._revision = None
            self._schedule(0.0)
            return True
        page = rowcodec.decode_answer(answer)
        # An answer by a state from before the last read proves nothing.
        if page is None or page.ver < self._revision or self._is_late(answer):
            return False
        self._handle_success()
        decoded = rowcodec.decode_rows(page)
        rows = decoded.readable
        self._known_keys |= set(decoded.keys)
        self._revision = page.ver
        self._on_rows(
            rows,
            page.ver,
            self._store.to_local_clock(page.now_ms),
            self._store.era,
        )
        if not self._skip_next_pause and (rows or not self._plan.waits):
            self._next_pause_s = min(self._plan.pause, self._plan.period)
        self._schedule(self._next_pause_s)
        self._skip_next_pause = False
        return True
