"""Adds rows that others have written to a view of the table."""

from collections.abc import Iterable

import msgspec

from tamarackgap import logs
from tamarackgap.placement import records


def merge_readable(
    view: records.TableView,
    rows: Iterable[records.Row],
    has_conflict: bool = False,
) -> list[str]:
    """Adds or replaces the rows that are newer than those known.

    Of a row that can't be read, the last readable revision stays in force. It
    keeps its number, so no write that relies on it can be committed. Once that
    has been tried, an unreadable lease record counts as deleted: its owner
    starts a new incarnation, and its successors write their own records.

    Args:
        view: The view.
        rows: The rows.
        has_conflict: Whether a write failed since these rows have changed.

    Returns:
        Keys of the rows that were added or replaced.
    """
    changed = []
    for row in rows:
        try:
            changed += view.merge((row,))
        except msgspec.MsgspecError as error:
            logs.unreadable_event(
                "row_malformed",
                key=row.key,
                revision=row.revision,
                error=str(error),
            )
            if has_conflict and row.key.startswith(records.LEASE_PREFIX):
                deleted = msgspec.structs.replace(row, value=None)
                changed += view.merge((deleted,))
    return changed
