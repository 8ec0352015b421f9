"""Collects the seals with which a successor ends an owner's epoch."""

import enum

from tamarackgap import types
from tamarackgap.ownership import lease
from tamarackgap.peers import messages
from tamarackgap.placement import records

# States of a witness that will not renew the epoch any more.
_STOPPED_STATES = frozenset(
    {types.WitnessState.SEALED, types.WitnessState.CLOSED}
)


class Mode(enum.Enum):
    """How the owner's epoch ends."""

    # Fewer than a majority of witnesses have stopped renewing.
    PENDING = "pending"
    # A majority has sealed it: the successor serves at once, and records the
    # slots in the table later.
    SEALED = "sealed"
    # A majority has stopped renewing, but some had retired the epoch before:
    # only a write to the table ends it.
    TABLE = "table"
    # The owner has begun a later epoch.
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
            record: The owner's record in the successor's copy of the table.
            drift: Largest relative error between the clocks of two VMs.
            now: Monotonic time, seconds.
        """
        self._record = record
        # Seconds on this successor's clock after which a grant has expired.
        self._length = record.lease_ms / 1000 * (1 + drift)
        self._linger = record.linger_ms / 1000
        # When the last grant of each stopped witness expires, seconds.
        self._expiries: dict[str, float] = {}
        self._sealed: set[str] = set()
        self._superseded = False
        self.begun_at = now
        self.asked_at = float("-inf")
        self.suspected_at = now
        # Whether the epoch is known to have ended, so that its slots may be
        # claimed.
        self.has_ended = False

    @property
    def record(self) -> records.LeaseRecord:
        """The lease record whose epoch is to end."""
        return self._record

    def record_answer(
        self, witness: str, answer: messages.SealReply, now: types.Seconds
    ) -> None:
        """Records a witness's answer; answers of others are ignored.

        The age in the answer is taken for the grant's age at receipt. The
        grant is in fact older, by the time that the answer took, so the wait
        can only become longer than needed.

        Args:
            witness: The incarnation that answered.
            answer: Its answer.
            now: Time of receipt, seconds.
        """
        if witness not in self._record.witnesses:
            return
        if answer.state is types.WitnessState.SUPERSEDED:
            self._superseded = True
        if answer.state not in _STOPPED_STATES:
            return
        wait = self._length if answer.age >= 0 else 0.0
        expiry = now + max(0.0, wait - max(0.0, answer.age))
        known = self._expiries.get(witness, expiry)
        self._expiries[witness] = min(known, expiry)
        if answer.state is types.WitnessState.SEALED:
            self._sealed.add(witness)

    def mode(self) -> Mode:
        """Returns how the epoch ends, as far as the answers show."""
        quorum = lease.majority(len(self._record.witnesses))
        if self._superseded:
            return Mode.SUPERSEDED
        if len(self._sealed) >= quorum:
            return Mode.SEALED
        if len(self._expiries) >= quorum:
            return Mode.TABLE
        return Mode.PENDING

    def lease_end(self) -> float:
        """Returns when the lease has ended, seconds on the successor's clock.

        Any majority of stopped witnesses shares a member with each majority
        by which the owner may hold a lease, so the majority whose grants
        expire first decides. The last request that the target executes may
        run on for the record's linger.
        """
        quorum = lease.majority(len(self._record.witnesses))
        expiries = self._expiries
        if self.mode() is Mode.SEALED:
            expiries = {
                witness: self._expiries[witness] for witness in self._sealed
            }
        ranked = sorted(expiries.values())
        return ranked[quorum - 1] + self._linger

    def remaining_witnesses(self) -> list[str]:
        """Returns the witnesses that are not known to have stopped renewing."""
        return [
            witness
            for witness in self._record.witnesses
            if witness not in self._expiries
        ]
