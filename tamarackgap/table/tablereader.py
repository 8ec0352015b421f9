"""Reads the table's changes, at a rate that all daemons together keep."""

import random
from collections.abc import Callable

from returns import result

from tamarackgap import logs
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.table import tableclient

# The table takes about 2,000 reads a second from all daemons together.
_POLLS_PER_S = 300.0
_REFRESHES_PER_S = 600.0
_LEAST_PAUSE_S = 0.05
# With reads failing for this long, nothing is awaited of the table.
_SILENCE_S = 1.0


class TableReader:
    """Keeps one daemon's view up to date."""

    def __init__(
        self,
        table: tableclient.TableClient,
        core: ownership.Ownership,
        timers: scheduler.Scheduler,
        rng: random.Random,
        poll_interval: float,
        on_read: Callable[[], None],
    ) -> None:
        """Creates a reader that has read nothing.

        Args:
            table: The table service.
            core: Takes the rows in.
            timers: The loop's scheduler.
            rng: Spreads reads after a change.
            poll_interval: Least time between two polls, seconds.
            on_read: Called after each read that was answered.
        """
        self._table = table
        self._core = core
        self._timers = timers
        self._rng = rng
        self._poll_interval = poll_interval
        self._on_read = on_read
        self._is_reading = False
        self._is_planned = False
        self._asked_at = float("-inf")
        self._failing_since: float | None = None

    def is_unreachable(self, now: float) -> bool:
        """Returns whether the table has failed to answer for a while."""
        since = self._failing_since
        return since is not None and now - since > _SILENCE_S

    def record_answer(self) -> None:
        """Notes an answer of the table."""
        self._failing_since = None

    def poll(self) -> None:
        """Reads now, and again after a pause that grows with the daemons."""
        self._read()
        fair = len(self._core.view.members()) / _POLLS_PER_S
        self._timers.after(max(self._poll_interval, fair), self.poll)

    def read_soon(self) -> None:
        """Reads once, within a time that grows with the daemons.

        All of them hear of a change at about the same time.
        """
        if self._is_planned:
            return
        self._is_planned = True
        spread = len(self._core.view.members()) / _REFRESHES_PER_S
        self._timers.after(self._rng.uniform(0, spread), self._read_planned)

    def _read_planned(self) -> None:
        self._is_planned = False
        self._read()

    def _read(self) -> None:
        now = self._timers.now
        if self._is_reading or now - self._asked_at < _LEAST_PAUSE_S:
            return
        self._is_reading = True
        self._asked_at = now
        self._table.read(self._core.view.cursor, self._answered)

    def _answered(
        self, outcome: result.Result[tableclient.Changes, str]
    ) -> None:
        self._is_reading = False
        match outcome:
            case result.Success(tableclient.Changes() as found):
                self.record_answer()
                now = self._timers.now
                self._core.apply_table_read(found.rows, found.revision, now)
                self._on_read()
            case result.Failure(problem):
                if self._failing_since is None:
                    self._failing_since = self._timers.now
                self._core.record_table_failure()
                logs.event("table_read_failed", problem=problem)
