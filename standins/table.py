"""In-memory stand-in for the transactional table of leases and policies."""

import threading

from tamarackgap.placement import records


class Table:
    """Rows with revisions, which change in conditional transactions only.

    Attributes:
        writes: Number of committed transactions.
        reads: Number of reads.
        era: Rises when the table goes back to a copy.
    """

    def __init__(self) -> None:
        # By era and key.
        self._rows: dict[tuple[int, str], records.Row] = {}
        self._revision = 0
        self.era = 0
        self._lock = threading.Lock()
        self.writes = 0
        self.reads = 0

    @property
    def revision(self) -> int:
        """Revision of the last committed transaction."""
        return self._revision

    def copy(self) -> tuple[dict[tuple[int, str], records.Row], int]:
        """Returns the rows and the revision of this moment."""
        with self._lock:
            return dict(self._rows), self._revision

    def restore(
        self, copy: tuple[dict[tuple[int, str], records.Row], int]
    ) -> None:
        """Goes back to a copy; later revisions are given out again."""
        with self._lock:
            self._rows, self._revision = dict(copy[0]), copy[1]
            self.era += 1

    def commit(
        self, transaction: records.Transaction
    ) -> tuple[bool, list[records.Row]]:
        """Commits a transaction if all its checks hold.

        Returns:
            Whether the transaction was committed, and the current state of
            all rows that it names.
        """
        with self._lock:
            checks_hold = all(
                self._holds(check, transaction.era)
                for check in transaction.checks
            )
            if checks_hold:
                self._apply(transaction)
            keys = {check.key for check in transaction.checks}
            keys |= {write.key for write in transaction.writes}
            row_ids = {(transaction.era, key) for key in keys}
            rows = [
                self._rows[row_id]
                for row_id in sorted(row_ids & set(self._rows))
            ]
            return checks_hold, rows

    def rows_since(self, revision: int) -> tuple[int, list[records.Row]]:
        """Returns the current revision, and rows changed after `revision`."""
        with self._lock:
            self.reads += 1
            rows = [
                row for row in self._rows.values() if row.revision > revision
            ]
            return self._revision, sorted(rows, key=lambda row: row.revision)

    def _holds(self, check: records.Check, era: int) -> bool:
        row = self._rows.get((era, check.key))
        current = row.revision if row and row.value is not None else 0
        return current == check.revision

    def _apply(self, transaction: records.Transaction) -> None:
        self._revision += 1
        self.writes += 1
        for write in transaction.writes:
            self._rows[transaction.era, write.key] = records.Row(
                write.key, write.value, self._revision, transaction.era
            )
