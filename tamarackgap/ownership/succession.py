"""A daemon's part as a successor: seal, wait, serve, and tell of it."""

from collections.abc import Callable

from tamarackgap import types
from tamarackgap.ownership import effects, takeover
from tamarackgap.peers import messages
from tamarackgap.placement import records, slotowners, slots

_ASK_AGAIN_S = 0.05
_RECLAIM_S = 1.0
_SUSPICION_KEPT_S = 2.0

# Seals at this very daemon, where it is a witness itself.
SealHere = Callable[[messages.Seal, float], messages.SealReply]


class Succession:
    """Attempts to end other epochs, and the slots won by them."""

    def __init__(
        self,
        drift: float,
        view: records.TableView,
        known: slotowners.SlotOwners,
        outbox: effects.Outbox,
        seal_here: SealHere,
    ) -> None:
        """Creates a successor that has begun nothing.

        Args:
            drift: Largest relative error between two VMs' clocks.
            view: The rows of the table known here.
            known: Slot owners known here.
            outbox: Takes messages and log lines.
            seal_here: Seals at this daemon.
        """
        self._drift = drift
        self._view = view
        self._slot_owners = known
        self._outbox = outbox
        self._seal_here = seal_here
        self._attempts: dict[tuple[str, int], takeover.Takeover] = {}
        self._held: dict[int, effects.OwnedSlot] = {}
        self._reclaim_at = 0.0

    @property
    def attempts(self) -> list[takeover.Takeover]:
        """Attempts to end other daemons' epochs."""
        return list(self._attempts.values())

    @property
    def held(self) -> dict[int, effects.OwnedSlot]:
        """Slots held under seals that the table does not show yet."""
        return dict(self._held)

    def find(self, slot: int) -> effects.OwnedSlot | None:
        """Returns a slot's holding under seals, or None."""
        return self._held.get(slot)

    def recorded(self, slot: int) -> None:
        """Notes that the table shows a slot as this daemon's."""
        self._held.pop(slot, None)

    def suspect(self, owner: str, epoch: int, now: float) -> None:
        """Begins or goes on with an attempt to end an epoch."""
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

    def sealed(
        self, sender: str, message: messages.SealReply, now: float
    ) -> None:
        """Takes a witness's answer in."""
        attempt = self._attempts.get((message.owner, message.epoch))
        if attempt is not None:
            attempt.record_answer(sender, message, types.Seconds(now))

    def progress(self, now: float) -> bool:
        """Goes on with all attempts; returns whether one has succeeded."""
        succeeded = False
        for (owner, epoch), attempt in list(self._attempts.items()):
            record = self._view.lease(owner)
            if record is None or not record.is_open or record.epoch != epoch:
                del self._attempts[owner, epoch]
            elif attempt.mode() is takeover.Mode.SUPERSEDED:
                del self._attempts[owner, epoch]
                self._outbox.put(effects.ReadTable(urgent=True))
            elif not attempt.done:
                succeeded |= self._advance(attempt, record, now)
        return succeeded

    def repeat_claims(self, now: float) -> None:
        """Tells again of slots that the table does not show yet."""
        if self._held and now >= self._reclaim_at:
            self._announce(now)

    def claimed(self, sender: str, message: messages.Claim) -> None:
        """Learns of slots that another successor has taken over."""
        news = sum(
            self._slot_owners.update(
                message.service, slot, slotowners.SlotOwner(sender, run.fence)
            )
            for run in message.runs
            for slot in range(run.first, run.last + 1)
        )
        if news:
            self._outbox.log(
                "routes_claimed", owner=message.owner, by=sender, slots=news
            )

    def _advance(
        self,
        attempt: takeover.Takeover,
        record: records.LeaseRecord,
        now: float,
    ) -> bool:
        mode = attempt.mode()
        if mode is takeover.Mode.PENDING:
            if now - attempt.suspected_at > _SUSPICION_KEPT_S:
                del self._attempts[record.incarnation, record.epoch]
            elif now - attempt.asked_at >= _ASK_AGAIN_S:
                attempt.asked_at = now
                self._ask_seals(attempt, record, now)
            return False
        if now < attempt.over_at():
            return False
        attempt.done = True
        # The slots of a retired epoch are served once the table shows them.
        if mode is takeover.Mode.SEALED:
            self._serve(record, now)
        return True

    def _ask_seals(
        self,
        attempt: takeover.Takeover,
        record: records.LeaseRecord,
        now: float,
    ) -> None:
        for name in attempt.unanswered():
            message = messages.Seal(name, record.incarnation, record.epoch)
            if name == self._outbox.incarnation:
                answer = self._seal_here(message, now)
                attempt.record_answer(name, answer, types.Seconds(now))
            else:
                self._outbox.send(name, message)

    def _serve(self, record: records.LeaseRecord, now: float) -> None:
        before = len(self._held)
        own = self._outbox.incarnation
        for slot, holding in slots.expand(record.runs).items():
            if holding.successor == own:
                fence = holding.fence + 1
                self._held[slot] = effects.OwnedSlot(fence, now)
                route = slotowners.SlotOwner(own, fence)
                self._slot_owners.update(record.service, slot, route)
        self._outbox.log(
            "taken_over",
            owner=record.incarnation,
            daemon=record.daemon,
            epoch=record.epoch,
            slots=len(self._held) - before,
        )
        self._announce(now)

    def _announce(self, now: float) -> None:
        self._reclaim_at = now + _RECLAIM_S
        for attempt in self._attempts.values():
            if not attempt.done:
                continue
            record = attempt.record
            held = {
                types.Slot(slot): slots.SlotAssignment(self._held[slot].fence)
                for slot in slots.expand(record.runs)
                if slot in self._held
            }
            message = messages.Claim(
                record.service, record.incarnation, slots.compress(held)
            )
            self._outbox.broadcast(message)
