"""The platform's transactional table, in memory."""

import threading

from tamarackgap.placement import records


class Table:
    """Rows with revisions, changed by compare-and-set only."""

    def __init__(self) -> None:
        self._rows: dict[str, records.Row] = {}
        self._revision = 0
        self._lock = threading.Lock()
        self.writes = 0
        self.reads = 0

    @property
    def revision(self) -> int:
        """Revision of the last transaction that was committed."""
        return self._revision

    def commit(
        self, transaction: records.Transaction
    ) -> tuple[bool, list[records.Row]]:
        """Carries a transaction out, if all its checks hold.

        Returns:
            Whether it was committed, and all rows that it names as they
            are afterwards.
        """
        with self._lock:
            holds = all(self._holds(check) for check in transaction.checks)
            if holds:
                self._apply(transaction)
            names = {check.key for check in transaction.checks}
            names |= {write.key for write in transaction.writes}
            rows = [
                self._rows[name] for name in sorted(names & set(self._rows))
            ]
            return holds, rows

    def rows_since(self, revision: int) -> tuple[int, list[records.Row]]:
        """Returns the revision now, and all rows changed after `revision`."""
        with self._lock:
            self.reads += 1
            rows = [
                row for row in self._rows.values() if row.revision > revision
            ]
            return self._revision, sorted(rows, key=lambda row: row.revision)

    def _holds(self, check: records.Check) -> bool:
        row = self._rows.get(check.key)
        present = row.revision if row and row.value is not None else 0
        return present == check.revision

    def _apply(self, transaction: records.Transaction) -> None:
        self._revision += 1
        self.writes += 1
        for write in transaction.writes:
            self._rows[write.key] = records.Row(
                write.key, write.value, self._revision
            )
