"""Keeps the leavings of the local target in the table."""

import itertools
from collections.abc import Callable

import msgspec

from tamarackgap import logs, types
from tamarackgap.network import scheduler
from tamarackgap.ownership import effects
from tamarackgap.placement import records

_MAX_LEAVINGS_PER_DAEMON = 4
_RETRY_S = 0.2

DoneCallback = Callable[[effects.CommitState, list[records.Row]], None]
Commit = Callable[[records.Transaction, DoneCallback], None]


def add_process(
    left: tuple[types.TargetProcess, ...], process: types.TargetProcess
) -> tuple[types.TargetProcess, ...]:
    """Returns the last processes that have left, with one more."""
    if process in left:
        return left
    return (*left, process)[-_MAX_LEAVINGS_PER_DAEMON:]


def _ignore() -> None:
    """Is called where nobody waits."""


class LeavingTable:
    """Writes the leavings of the local target into the table.

    A row holds the last ones. After the table has come back from an older copy
    it is written again.

    Attributes:
        on_recorded: Called after each write that was committed.
    """

    def __init__(
        self,
        address: str,
        view: records.TableView,
        commit: Commit,
        merge: Callable[[list[records.Row]], None],
        timers: scheduler.Scheduler,
    ) -> None:
        """Creates an instance with nothing to write.

        Args:
            address: This daemon's `ip:port` for other daemons.
            view: This daemon's copy of the table.
            commit: Commits a transaction.
            merge: Applies rows to the copy of the table.
            timers: The loop's scheduler.
        """
        self.on_recorded: Callable[[], None] = _ignore
        self._key = records.left_key(address)
        self._view = view
        self._commit = commit
        self._merge = merge
        self._timers = timers
        self._left: tuple[types.TargetProcess, ...] = ()
        self._is_writing = False
        self._numbers = itertools.count(1)

    @property
    def is_complete(self) -> bool:
        """Whether the table has all leavings that this process has recorded."""
        return all(self.is_recorded(process) for process in self._left)

    def is_recorded(self, process: types.TargetProcess) -> bool:
        """Returns whether the table, in its era, has a process as left."""
        record = self._view.left_record(self._key)
        return (
            record is not None
            and self._view.is_current(self._key)
            and process in record.left
        )

    def record(self, process: types.TargetProcess) -> None:
        """Writes a process that has left, as soon as the table takes it."""
        self._left = add_process(self._left, process)
        self.write_if_due()

    def write_if_due(self) -> None:
        """Writes what the table lacks; called after each read of it."""
        if self._is_writing or self.is_complete or not self._view.is_read:
            return
        known = self._view.left_record(self._key)
        left = known.left if known is not None else ()
        for process in self._left:
            left = add_process(left, process)
        value = records.encode(records.LeftRecord(left))
        self._is_writing = True
        self._commit(
            records.Transaction(
                f"left-{next(self._numbers)}",
                (self._view.check(self._key),),
                (records.Write(self._key, value),),
                self._view.era,
            ),
            self._handle_result,
        )

    def _handle_result(
        self, state: effects.CommitState, rows: list[records.Row]
    ) -> None:
        self._is_writing = False
        self._merge(rows)
        logs.event("leaving_written", outcome=state.value, left=len(self._left))
        match state:
            case effects.CommitState.COMMITTED:
                self.on_recorded()
                self.write_if_due()
            case effects.CommitState.CONFLICT:
                # Another process of this daemon has written the row.
                self.on_recorded()
                self._timers.after(0.0, self.write_if_due)
            case effects.CommitState.UNKNOWN:
                self._timers.after(_RETRY_S, self.write_if_due)


class Evidence(msgspec.Struct, frozen=True):
    """What the table tells of the leavings of a daemon's target.

    Attributes:
        left: The last processes that have left.
        is_complete: Whether no acknowledged leaving can be missing.
    """

    left: tuple[types.TargetProcess, ...]
    is_complete: bool


def read_evidence(view: records.TableView, address: str) -> Evidence:
    """Returns what the table tells a daemon that has just started.

    A table that has come back from an older copy may have lost a leaving,
    unless an earlier process of the daemon has written since that it has not.

    Args:
        view: This daemon's copy of the table.
        address: The daemon's `ip:port` for other daemons.
    """
    record = view.left_record(records.left_key(address))
    return Evidence(
        record.left if record is not None else (),
        view.is_read
        and (
            not view.is_restored
            or any(
                lease.peer_address == address and lease.knows_leavings
                for lease in view.current_leases()
            )
        ),
    )
