"""Reads the table's changes, at a rate limited for all daemons together."""

import random
from collections.abc import Callable

from returns import result

from tamarackgap import logs
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.table import tableclient

# Limits on the polls, and on the reads after changes, of all daemons together.
# The table handles about 2,000 reads a second in total.
_MAX_POLLS_PER_S = 300.0
_MAX_REFRESHES_PER_S = 600.0
_MIN_READ_INTERVAL_S = 0.05
# When reads have failed for this long, the table counts as unreachable, and a
# daemon that can't serve releases its lease without waiting for the table.
_UNREACHABLE_AFTER_S = 1.0


class TableReader:
    """Keeps a daemon's view of the table up to date."""

    def __init__(
        self,
        table: tableclient.TableClient,
        core: ownership.Ownership,
        timers: scheduler.Scheduler,
        rng: random.Random,
        poll_interval: float,
        on_read: Callable[[], None],
    ) -> None:
        """Creates a reader that has not read yet.

        Args:
            table: The table service.
            core: Applies the rows that were read.
            timers: The loop's scheduler.
            rng: Source of the random delays of `read_soon`.
            poll_interval: Shortest time between two polls, seconds.
            on_read: Called after each successful read.
        """
        self._table = table
        self._core = core
        self._timers = timers
        self._rng = rng
        self._poll_interval = poll_interval
        self._on_read = on_read
        self._is_reading = False
        self._read_scheduled = False
        self._last_read_at = float("-inf")
        self._failing_since: float | None = None

    def is_unreachable(self, now: float) -> bool:
        """Returns whether reads have been failing for too long.

        Args:
            now: The current monotonic time, seconds.
        """
        since = self._failing_since
        return since is not None and now - since > _UNREACHABLE_AFTER_S

    def record_answer(self) -> None:
        """Records that the table has answered."""
        self._failing_since = None

    def poll(self) -> None:
        """Reads now, and repeatedly after an interval.

        The interval grows with the number of daemons in the table.
        """
        self._read()
        rate_limit_interval = (
            len(self._core.view.open_records()) / _MAX_POLLS_PER_S
        )
        self._timers.after(
            max(self._poll_interval, rate_limit_interval), self.poll
        )

    def read_soon(self) -> None:
        """Reads once, after a random delay.

        All daemons learn of a change at about the same time, so the longest
        delay grows with their number.
        """
        if self._read_scheduled:
            return
        self._read_scheduled = True
        max_delay = len(self._core.view.open_records()) / _MAX_REFRESHES_PER_S
        self._timers.after(
            self._rng.uniform(0, max_delay), self._run_scheduled_read
        )

    def _run_scheduled_read(self) -> None:
        self._read_scheduled = False
        self._read()

    def _read(self) -> None:
        now = self._timers.now
        if self._is_reading or now - self._last_read_at < _MIN_READ_INTERVAL_S:
            return
        self._is_reading = True
        self._last_read_at = now
        self._table.read(self._core.view.cursor, self._handle_outcome)

    def _handle_outcome(
        self, outcome: result.Result[tableclient.Changes, str]
    ) -> None:
        self._is_reading = False
        match outcome:
            case result.Success(tableclient.Changes() as changes):
                self.record_answer()
                now = self._timers.now
                self._core.apply_table_read(changes.rows, changes.revision, now)
                self._on_read()
            case result.Failure(problem):
                if self._failing_since is None:
                    self._failing_since = self._timers.now
                self._core.record_table_failure()
                logs.event("table_read_failed", problem=problem)
