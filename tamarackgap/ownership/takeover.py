"""A successor's collection of seals."""

import enum

from tamarackgap import types
from tamarackgap.ownership import lease
from tamarackgap.peers import messages
from tamarackgap.placement import records

_COUNTED = frozenset({types.WitnessState.SEALED, types.WitnessState.CLOSED})


class Mode(enum.Enum):
    """What ends the old epoch."""

    # Not enough witnesses have stopped renewing.
    PENDING = "pending"
    # A majority sealed it: the successor serves, and records it later.
    SEALED = "sealed"
    # Some had retired it: only a write to the table ends it.
    TABLE = "table"
    # The owner has moved on to a later epoch.
    SUPERSEDED = "superseded"


class Takeover:
    """One attempt to end an owner's epoch."""

    def __init__(
        self,
        record: records.LeaseRecord,
        drift: float,
        now: types.Seconds,
    ) -> None:
        """Creates an attempt without any seals.

        Args:
            record: The owner's record, as this successor knows it.
            drift: Largest relative error between two VMs' clocks.
            now: Time of the attempt's beginning.
        """
        self._record = record
        self._length = record.lease_ms / 1000 * (1 + drift)
        self._linger = record.linger_ms / 1000
        self._over_at: dict[str, float] = {}
        self._sealed: set[str] = set()
        self._superseded = False
        self.begun = now
        self.asked_at = float("-inf")
        self.suspected_at = now
        # Whether the epoch is known to be over and its slots were taken.
        self.done = False

    @property
    def record(self) -> records.LeaseRecord:
        """The record whose epoch is to end."""
        return self._record

    def record_answer(
        self, witness: str, answer: messages.SealReply, now: types.Seconds
    ) -> None:
        """Takes a witness's answer in.

        The seal was given before its answer came, so counting the age from
        the receipt only makes the wait longer.
        """
        if witness not in self._record.witnesses:
            return
        if answer.state is types.WitnessState.SUPERSEDED:
            self._superseded = True
        if answer.state not in _COUNTED:
            return
        wait = self._length if answer.age >= 0 else 0.0
        over_at = now + max(0.0, wait - max(0.0, answer.age))
        known = self._over_at.get(witness, over_at)
        self._over_at[witness] = min(known, over_at)
        if answer.state is types.WitnessState.SEALED:
            self._sealed.add(witness)

    def mode(self) -> Mode:
        """Returns what ends the epoch, as the answers so far show."""
        quorum = lease.majority(len(self._record.witnesses))
        if self._superseded:
            return Mode.SUPERSEDED
        if len(self._sealed) >= quorum:
            return Mode.SEALED
        if len(self._over_at) >= quorum:
            return Mode.TABLE
        return Mode.PENDING

    def over_at(self) -> float:
        """Returns when the old lease is over on this successor's clock.

        Any majority of stopped witnesses meets the owner's majority, so the
        one that is over first counts. The last run at the target may go on
        for the record's linger.
        """
        quorum = lease.majority(len(self._record.witnesses))
        chosen = self._over_at
        if self.mode() is Mode.SEALED:
            chosen = {
                witness: self._over_at[witness] for witness in self._sealed
            }
        ranked = sorted(chosen.values())
        return ranked[quorum - 1] + self._linger

    def unanswered(self) -> list[str]:
        """Returns the witnesses that have not stopped renewing."""
        return [
            witness
            for witness in self._record.witnesses
            if witness not in self._over_at
        ]
