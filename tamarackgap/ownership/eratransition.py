"""What an owner still serves of an earlier era of the table.

The table may come back from an older copy; its era rises then. An owner goes on
serving what it owns while it records that in the new era. Until then it counts
as one that reads no table: it stops at the anchor time after its last read in
the earlier era.
"""

import math

import msgspec

from tamarackgap import types
from tamarackgap.ownership import changes, plannerinputs
from tamarackgap.placement import records, slots


class EraTransition:
    """The transition of one incarnation to the table's newest era."""

    def __init__(self, anchor: float, now: float) -> None:
        """Creates the state of an incarnation that has seen no era end.

        Args:
            anchor: Longest time for which an owner serves without a table
                read, seconds; 0 for no limit.
            now: Monotonic time, seconds.
        """
        self._anchor = anchor
        self._begun_at = now
        # Last read of the table in an earlier era, seconds.
        self._read_at = math.inf
        # This daemon's record by its last write in an earlier era, if it is not
        # known whether that was committed.
        self._undecided: records.LeaseRecord | None = None
        self._doubtful_moves: tuple[plannerinputs.DoubtfulMove, ...] = ()

    @property
    def doubtful_moves(self) -> tuple[plannerinputs.DoubtfulMove, ...]:
        """Moves of an earlier era whose outcome is not known."""
        return self._doubtful_moves

    @property
    def is_undecided(self) -> bool:
        """Whether an epoch of an earlier era may have been recorded there."""
        return self._undecided is not None

    def age(self, now: float) -> float:
        """Returns the time since the newest era was learnt of, seconds."""
        return now - self._begun_at

    def serves_until(self) -> float:
        """Returns until when slots not recorded yet are served, seconds."""
        return self._read_at + self._anchor if self._anchor else math.inf

    def begin(
        self,
        view: records.TableView,
        incarnation: str,
        pending: changes.Change | None,
        read_at: float,
        now: float,
    ) -> None:
        """Records that the table's era has risen.

        Args:
            view: This daemon's copy of the table, as it was in the era before.
            incarnation: This daemon's incarnation.
            pending: Its write whose outcome is not known, if any.
            read_at: Its last read of the table before, seconds.
            now: Monotonic time, seconds.
        """
        self._begun_at = now
        key = records.lease_key(incarnation)
        if view.is_current(key) or math.isinf(self._read_at):
            self._read_at = read_at
        if (
            pending is not None
            and pending.kind is changes.ChangeKind.RECONFIGURE
        ):
            self._record_undecided(view, key, pending)

    def _record_undecided(
        self, view: records.TableView, key: str, pending: changes.Change
    ) -> None:
        """Takes the slots of a move that may have been committed for lost."""
        own_record = view.lease(key[len(records.LEASE_PREFIX) :])
        written = {
            write.key: records.decode_lease(write.value)
            for write in pending.transaction.writes
            if write.value is not None
        }
        before = slots.expand(own_record.runs)
        moved: set[types.Slot] = set()
        moves = []
        for other, record in written.items():
            if other == key:
                continue
            fences = {
                slot: before[slot].fence
                for slot in slots.expand(record.runs)
                if slot in before
            }
            moved |= fences.keys()
            moves.append(
                plannerinputs.DoubtfulMove(
                    record.incarnation, record.epoch, fences
                )
            )
        # Others may have added slots to the record since the write was made.
        kept = {slot: a for slot, a in before.items() if slot not in moved}
        kept.update(slots.expand(written[key].runs))
        self._undecided = msgspec.structs.replace(
            written[key], runs=slots.compress(kept)
        )
        self._doubtful_moves = tuple(moves)

    def record_to_carry(
        self, view: records.TableView, incarnation: str
    ) -> records.LeaseRecord | None:
        """Returns the record to write in the new era, None if none is due."""
        key = records.lease_key(incarnation)
        record = view.lease(incarnation)
        if record is None or view.is_current(key):
            return None
        return self._undecided or record

    def record_carried(self, record: records.LeaseRecord) -> None:
        """Records what this daemon's record has in the table's newest era."""
        self._undecided = None
        if not self._doubtful_moves:
            return
        owned = slots.expand(record.runs)
        self._doubtful_moves = tuple(
            msgspec.structs.replace(
                move,
                fences={
                    slot: fence
                    for slot, fence in move.fences.items()
                    if slot not in owned
                },
            )
            for move in self._doubtful_moves
        )
