"""Takes slots over as a successor: seals an epoch, waits, then serves."""

from collections.abc import Callable

from tamarackgap import types
from tamarackgap.ownership import effects, takeover
from tamarackgap.peers import messages
from tamarackgap.placement import records, slotowners, slots

_SEAL_INTERVAL_S = 0.05
_CLAIM_INTERVAL_S = 1.0
# An attempt without a majority of seals is dropped if no witness has
# suspected the owner for this long.
_SUSPICION_TIMEOUT_S = 2.0

# Seals an epoch at this daemon's own witness, given the current time.
SealHere = Callable[[messages.Seal, float], messages.SealReply]


class Succession:
    """Attempts to end other owners' epochs, and the slots gained by them."""

    def __init__(
        self,
        drift: float,
        view: records.TableView,
        slot_owners: slotowners.SlotOwners,
        outbox: effects.Outbox,
        seal_here: SealHere,
    ) -> None:
        """Creates a successor without any attempts.

        Args:
            drift: Largest relative error between the clocks of two VMs.
            view: This daemon's copy of the table.
            slot_owners: The slot owners that this daemon knows of.
            outbox: Collects messages and log lines.
            seal_here: Seals an epoch at this daemon's own witness.
        """
        self._drift = drift
        self._view = view
        self._slot_owners = slot_owners
        self._outbox = outbox
        self._seal_here = seal_here
        self._attempts: dict[tuple[str, int], takeover.Takeover] = {}
        self._unrecorded: dict[int, effects.OwnedSlot] = {}
        # Incarnation that each of these slots was taken from.
        self._former_owners: dict[int, str] = {}
        self._claim_at = 0.0

    @property
    def attempts(self) -> list[takeover.Takeover]:
        """Attempts to end other daemons' epochs."""
        return list(self._attempts.values())

    @property
    def unrecorded(self) -> dict[int, effects.OwnedSlot]:
        """Slots owned through seals but not yet recorded in the table."""
        return dict(self._unrecorded)

    def find_slot(self, slot: int) -> effects.OwnedSlot | None:
        """Returns a slot that is owned through seals, or None."""
        return self._unrecorded.get(slot)

    def former_owners(self) -> dict[int, str]:
        """Returns the incarnation that each unrecorded slot was taken from."""
        return dict(self._former_owners)

    def has_slots_of_earlier_era(self) -> bool:
        """Returns whether owned slots have no record in the table's era."""
        return any(map(self.is_of_earlier_era, self._former_owners))

    def is_of_earlier_era(self, slot: int) -> bool:
        """Returns whether a slot owned here has no record in the table's era.

        Others may be given it there. So it is not served until that era has
        it as this daemon's.
        """
        return self._view.is_restored and not self._view.has_slot(
            self._former_owners[slot], slot
        )

    def mark_recorded(self, slot: int) -> None:
        """Drops a slot that the table now records as this daemon's."""
        self._unrecorded.pop(slot, None)
        self._former_owners.pop(slot, None)

    def suspect(self, owner: str, epoch: int, now: float) -> None:
        """Starts or continues an attempt to end an epoch.

        Args:
            owner: The incarnation that a witness suspects.
            epoch: The epoch that it no longer renews.
            now: Monotonic time, seconds.
        """
        record = self._view.lease(owner)
        if record is None or not record.is_open:
            return
        if record.epoch != epoch:
            self._outbox.put(effects.ReadTable(urgent=True))
            return
        attempt = self._attempts.get((owner, epoch))
        if attempt is None:
            attempt = takeover.Takeover(record, self._drift, types.Seconds(now))
            self._attempts[owner, epoch] = attempt
            self._outbox.log("takeover_begun", owner=owner, epoch=epoch)
        attempt.suspected_at = types.Seconds(now)

    def handle_seal_reply(
        self, sender: str, message: messages.SealReply, now: float
    ) -> None:
        """Records a witness's answer to a request for a seal."""
        attempt = self._attempts.get((message.owner, message.epoch))
        if attempt is not None:
            attempt.record_answer(sender, message, types.Seconds(now))

    def advance(self, now: float) -> bool:
        """Advances all attempts.

        Returns:
            Whether an epoch is now known to have ended.
        """
        any_ended = False
        for (owner, epoch), attempt in list(self._attempts.items()):
            record = self._view.lease(owner)
            if record is not None and record.is_bare and not attempt.has_ended:
                # Another successor has recorded its own slots in a new era.
                record = attempt.record
            if record is None or not record.is_open or record.epoch != epoch:
                del self._attempts[owner, epoch]
            elif attempt.mode() is takeover.Mode.SUPERSEDED:
                del self._attempts[owner, epoch]
                self._outbox.put(effects.ReadTable(urgent=True))
            elif not attempt.has_ended:
                any_ended |= self._advance_attempt(attempt, record, now)
        return any_ended

    def repeat_claims(self, now: float) -> None:
        """Announces again the slots that are not yet recorded in the table."""
        if self._unrecorded and now >= self._claim_at:
            self._announce_claims(now)

    def handle_claim(self, sender: str, message: messages.Claim) -> None:
        """Records the new owner of slots that another successor took over."""
        changed = sum(
            self._slot_owners.update(
                message.service,
                slot,
                slotowners.SlotOwner(sender, slot_range.fence),
            )
            for slot_range in message.runs
            for slot in range(slot_range.first, slot_range.last + 1)
        )
        if changed:
            self._outbox.log(
                "routes_claimed", owner=message.owner, by=sender, slots=changed
            )

    def _advance_attempt(
        self,
        attempt: takeover.Takeover,
        record: records.LeaseRecord,
        now: float,
    ) -> bool:
        """Advances one attempt; returns whether the epoch has ended."""
        mode = attempt.mode()
        if mode is takeover.Mode.PENDING:
            if now - attempt.suspected_at > _SUSPICION_TIMEOUT_S:
                del self._attempts[record.incarnation, record.epoch]
            elif now - attempt.asked_at >= _SEAL_INTERVAL_S:
                attempt.asked_at = now
                self._request_seals(attempt, record, now)
            return False
        if now < attempt.lease_end():
            return False
        attempt.has_ended = True
        # Slots of a retired epoch are served only once the table records
        # their new owner.
        if mode is takeover.Mode.SEALED:
            self._take_slots(record, now)
        return True

    def _request_seals(
        self,
        attempt: takeover.Takeover,
        record: records.LeaseRecord,
        now: float,
    ) -> None:
        for name in attempt.remaining_witnesses():
            message = messages.Seal(name, record.incarnation, record.epoch)
            if name == self._outbox.incarnation:
                answer = self._seal_here(message, now)
                attempt.record_answer(name, answer, types.Seconds(now))
            else:
                self._outbox.send(name, message)

    def _take_slots(self, record: records.LeaseRecord, now: float) -> None:
        """Takes the slots of an ended epoch whose successor is this daemon."""
        before = len(self._unrecorded)
        own = self._outbox.incarnation
        for slot, assignment in slots.expand(record.runs).items():
            if assignment.successor == own:
                fence = assignment.fence + 1
                self._unrecorded[slot] = effects.OwnedSlot(fence, now)
                self._former_owners[slot] = record.incarnation
                new_owner = slotowners.SlotOwner(own, fence)
                self._slot_owners.update(record.service, slot, new_owner)
        self._outbox.log(
            "taken_over",
            owner=record.incarnation,
            daemon=record.daemon,
            epoch=record.epoch,
            slots=len(self._unrecorded) - before,
        )
        self._announce_claims(now)

    def _announce_claims(self, now: float) -> None:
        self._claim_at = now + _CLAIM_INTERVAL_S
        for attempt in self._attempts.values():
            if not attempt.has_ended:
                continue
            record = attempt.record
            claimed = {
                types.Slot(slot): slots.SlotAssignment(
                    self._unrecorded[slot].fence
                )
                for slot in slots.expand(record.runs)
                if slot in self._unrecorded
            }
            message = messages.Claim(
                record.service, record.incarnation, slots.compress(claimed)
            )
            self._outbox.broadcast(message)
