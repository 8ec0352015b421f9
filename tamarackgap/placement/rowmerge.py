"""Adds rows that others have written to a view of the table."""

from collections.abc import Iterable

import msgspec

from tamarackgap import logs
from tamarackgap.placement import records


def merge_readable(
    view: records.TableView, rows: Iterable[records.Row]
) -> list[str]:
    """Adds or replaces the rows that are newer than those known.

    Of a row that can't be read, the last readable revision stays in force. It
    keeps its number, so no write that relies on it can be committed.

    Args:
        view: The view.
        rows: The rows.

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
    return changed
