"""The ownership protocol of one daemon, without any I/O.

Clock, randomness and transport are arguments: the caller passes the time
in, and carries out the effects that are handed back.
"""

import random
from collections.abc import Callable

from tamarackgap import types
from tamarackgap.ownership import (
    changes,
    effects,
    endedincarnations,
    epochchange,
    lease,
    liveness,
    loads,
    planner,
    plannerinputs,
    renewal,
    succession,
    takeover,
    witnesshandler,
)
from tamarackgap.peers import messages
from tamarackgap.placement import records, slotowners, slots

_SUSPECT_SHARE = 0.8
_COMMIT_AGAIN_S = 0.2
# A write that has had no answer for so long is put again, seconds.
_ANSWER_LIMIT_S = 2.0
# A lease that ended is given up after this share of its length: renewals go
# out each quarter, and witnesses that still grant have answered by then.
_LAPSED_SHARE = 0.4
# After losing a lease, changes follow each other without pauses for so long:
# a few writes and a witness's answer, seconds.
_REJOIN_S = 3.0
# After these the slots of a closed record wait for their claim.
_CLAIMED_NEXT = frozenset(
    {changes.ChangeKind.CLOSE_GONE, changes.ChangeKind.CLOSE_UNANSWERED}
)


class Ownership:
    """All that one incarnation owns, witnesses and takes over."""

    def __init__(
        self,
        settings: effects.Settings,
        rng: random.Random,
        is_pinned: Callable[[int], bool],
        now: float,
    ) -> None:
        """Creates a daemon that has not joined yet.

        Args:
            settings: What the daemon is told about itself.
            rng: Source of ids and jitter.
            is_pinned: Tells whether requests of a slot are in progress.
            now: Monotonic time, seconds.
        """
        self._settings = settings
        self._rng = rng
        self._is_pinned = is_pinned
        self._view = records.TableView()
        self._slot_owners = slotowners.SlotOwners()
        self._outbox = effects.Outbox(self._view, types.NO_INCARNATION)
        self._accepting = False
        self._checks_grants = False
        self._draining = False
        self._table_ok = False
        # Whether the service's keys have owners at all.
        self.keyed = True
        # Whether the target has so little to do that its slots may stay.
        self.has_low_load = False
        # Tells whether an incarnation has been heard lately: a new witness
        # must answer, or the write that names it waits in vain.
        self.is_reachable: Callable[[str], bool] = lambda name: True
        # Rises whenever other slots are owned than before.
        self.slots_version = 0
        self._renewal = renewal.LeaseRenewer(
            settings.lease, self._view, self._outbox, now
        )
        # Up to when what the table says is known here, seconds.
        self._table_as_of = now
        self._own_witness: witnesshandler.WitnessHandler | None = None
        self._epoch_change = epochchange.EpochChange(
            self._renewal, self._outbox, settings.ordered_keys
        )
        self._ended = endedincarnations.EndedIncarnations()
        self._liveness = liveness.LivenessTracker()
        self._rejoin_until = now
        self._begin(now)

    def _begin(self, now: float) -> None:
        # What an ended incarnation has promised as a witness still holds:
        # the process remembers it.
        if self._own_witness is not None:
            self._ended.keep(self._incarnation, self._own_witness)
        self._incarnation = types.Incarnation(
            f"{self._rng.getrandbits(64):016x}"
        )
        self._outbox.incarnation = self._incarnation
        self.slots_version += 1
        self._started = now
        self._lapsed_at = now
        self._joined = False
        self._own_witness = witnesshandler.WitnessHandler(
            self._settings.lease * _SUSPECT_SHARE, self._view, self._outbox
        )
        self._succession = succession.Succession(
            self._settings.drift,
            self._view,
            self._slot_owners,
            self._outbox,
            self._own_witness.seal,
        )
        late = self._renewal.lateness
        self._renewal = renewal.LeaseRenewer(
            self._settings.lease, self._view, self._outbox, now
        )
        self._renewal.lateness = late
        self._owned: dict[int, effects.OwnedSlot] = {}
        self._pending: changes.Change | None = None
        self._commit_at = 0.0
        self._epoch_change.end_hand_off()
        self._epoch_change = epochchange.EpochChange(
            self._renewal, self._outbox, self._settings.ordered_keys
        )
        self._changed_at = now
        self._sharing = loads.LoadExchange(
            self._settings, self._view, self._outbox, self._rng, now
        )
        self._plan_at = now
        # What the last decision rested on, where there was nothing to do.
        self._idle: plannerinputs.InputsSignature | None = None
        self._idle_until = now

    @property
    def incarnation(self) -> types.Incarnation:
        """This process start's id; a new one after losing a lease."""
        return self._incarnation

    def is_own(self, incarnation: str) -> bool:
        """Returns whether an id is, or was lately, this process's."""
        return (
            incarnation == self._incarnation
            or self._ended.witness(incarnation) is not None
        )

    @property
    def settings(self) -> effects.Settings:
        """What the daemon is told about itself."""
        return self._settings

    @property
    def view(self) -> records.TableView:
        """The rows of the table known here."""
        return self._view

    @property
    def slot_owners(self) -> slotowners.SlotOwners:
        """Slot owners known here."""
        return self._slot_owners

    @property
    def epoch(self) -> int:
        """The lease's epoch."""
        return self._renewal.own_lease.current.epoch

    @property
    def renewal_lateness(self) -> float:
        """Largest delay of a renewal so far, seconds."""
        return self._renewal.lateness

    @property
    def accepting(self) -> bool:
        """Whether the daemon takes more slots."""
        return self._accepting and not self._draining

    @property
    def draining(self) -> bool:
        """Whether the daemon is giving its slots away to leave."""
        return self._draining

    @property
    def owned(self) -> dict[int, effects.OwnedSlot]:
        """All slots held, recorded in the table or not."""
        return {**self._owned, **self._succession.held}

    @property
    def unrecorded(self) -> dict[int, effects.OwnedSlot]:
        """Slots held under seals that the table does not show yet."""
        return self._succession.held

    @property
    def takeovers(self) -> list[takeover.Takeover]:
        """Attempts to end other daemons' epochs."""
        return self._succession.attempts

    @property
    def pending(self) -> changes.Change | None:
        """The transaction whose outcome is awaited, if any."""
        return self._pending

    @property
    def is_releasing_slots(self) -> bool:
        """Whether the target is releasing slots that are to move."""
        return self._epoch_change.is_releasing_slots

    @property
    def table_as_of(self) -> float:
        """Up to when what the table says is known here, seconds."""
        return self._table_as_of

    def lease_until(self) -> float:
        """Returns the end of the lease on this daemon's clock, seconds."""
        until = self._renewal.own_lease.valid_until()
        if self._settings.anchor:
            until = min(until, self._table_as_of + self._settings.anchor)
        return until

    def grants(self) -> lease.EpochGrants:
        """Returns the grants of the current epoch."""
        return self._renewal.own_lease.current

    def find(self, slot: int) -> effects.OwnedSlot | None:
        """Returns a slot's holding here, or None."""
        return self._succession.find(slot) or self._owned.get(slot)

    def refusal(self, slot: int, now: float) -> types.Reason | None:
        """Returns why a slot can't be served now, or None if it can."""
        if self.find(slot) is None:
            return types.Reason.WRONG_OWNER
        if now >= self.lease_until():
            return types.Reason.LEASE_EXPIRED
        if slot in self._epoch_change.moving:
            return types.Reason.SLOT_MOVING
        return None

    def take_effects(self) -> list[effects.Effect]:
        """Returns the effects since the last call."""
        return self._outbox.take()

    @property
    def linger(self) -> float:
        """How long a run may go on after the lease's end, seconds.

        It is what the table tells successors, whatever the target is now.
        """
        record = self._view.lease(self._incarnation)
        return record.linger_ms / 1000 if record is not None else 0.0

    def set_target_state(
        self, accepting: bool, checks_grants: bool = False
    ) -> None:
        """Says what the target beside this daemon can do.

        Args:
            accepting: Whether it takes work.
            checks_grants: Whether it stops by itself at the lease's end.
                Counts when an incarnation joins.
        """
        self._accepting = accepting
        self._checks_grants = checks_grants

    def report_load(self, rates: dict[int, float], now: float) -> None:
        """Says what load the slots bring, and tells other members of it.

        Args:
            rates: Requests a second of each slot.
            now: Monotonic time, seconds.
        """
        self._sharing.share(rates, now, self._changed_at)

    def drain(self) -> None:
        """Begins to give all slots away."""
        self._draining = True

    def release_lease(self, now: float) -> None:
        """Gives the lease up at once, for use while the table is down.

        The successors need not wait then. Nothing may be in progress.
        """
        for name in self._renewal.own_lease.current.witnesses:
            self._outbox.send(name, messages.Release(name, self.epoch))
        self._outbox.log("released", slots=len(self.owned))
        self._ended.ends(self._incarnation, now + self.linger)
        self._begin(now)

    def merge(self, rows: list[records.Row], now: float) -> None:
        """Takes rows of the table in, from whatever source."""
        changed = self._view.merge(rows)
        for key in changed:
            if not key.startswith(records.LEASE_PREFIX):
                continue
            record = self._view.lease(key[len(records.LEASE_PREFIX) :])
            if record is None or not record.is_open:
                # Slots may have become free for a claim.
                self._plan_at = now
            if record is None:
                continue
            self._slot_owners.update_from_record(record)
            if self._is_stranded(record):
                # Who may take its slots is known once this has been read.
                self._outbox.put(effects.ReadTable(urgent=True))
        if records.lease_key(self._incarnation) in changed:
            self._adopt(now)

    def _is_stranded(self, record: records.LeaseRecord) -> bool:
        ours = record.service == self._settings.service
        unread = self._view.cursor < self._view.revision(record.key)
        return ours and bool(record.runs) and not record.is_open and unread

    def apply_table_read(
        self,
        rows: list[records.Row],
        revision: int,
        now: float,
        as_of: float | None = None,
    ) -> None:
        """Takes in a read of the table that went up to `revision`.

        Args:
            rows: The rows.
            revision: The table's revision.
            now: Monotonic time, seconds.
            as_of: When the table was in that state at the earliest; `now`
                if None.
        """
        self._table_ok = True
        self.merge(rows, now)
        # The record of a challenged owner may be closed at any time, unseen,
        # until its answer is in the table.
        if self._incarnation not in self._view.challenges():
            self._table_as_of = max(
                self._table_as_of, now if as_of is None else as_of
            )
        self._view.advance(types.Revision(revision))

    def record_table_failure(self) -> None:
        """Notes that the table did not answer; no move begins now."""
        self._table_ok = False

    def handle_commit_result(
        self,
        change_id: str,
        state: effects.CommitState,
        rows: list[records.Row],
        now: float,
    ) -> None:
        """Takes in what is known of a transaction.

        Only the pending one is decided by it: a late answer to an earlier
        one, or to one of an ended incarnation, says nothing of this one.

        An unknown outcome stays pending and the same transaction is put
        again, until its checks fail or it lands: only then is it certain
        that no delayed copy can still land.
        """
        change = self._pending
        if change is None or change.transaction.change != change_id:
            return
        if state is effects.CommitState.UNKNOWN:
            self._commit_at = now + _COMMIT_AGAIN_S * (1 + self._rng.random())
            return
        self._pending = None
        incarnation = self._incarnation
        self.merge(rows, now)
        self._outbox.log(
            "commit",
            kind=change.kind.value,
            reason=change.reason,
            outcome=state.value,
            epoch=self.epoch,
        )
        if incarnation != self._incarnation:
            return
        if state is effects.CommitState.COMMITTED:
            if now < self._rejoin_until or change.kind in _CLAIMED_NEXT:
                self._plan_at = now
            self._outbox.broadcast(messages.Rows(tuple(rows)))
        if change.kind is changes.ChangeKind.RECONFIGURE:
            self._epoch_change.give_up()
        self._epoch_change.end_hand_off()

    def receive(self, envelope: messages.Envelope, now: float) -> None:
        """Takes a message of another daemon in."""
        message = envelope.message
        sender = envelope.sender
        answer = None
        asked = getattr(message, "witness", types.NO_INCARNATION)
        witness = self._witness(asked)
        match message:
            case messages.Renew() if witness is not None:
                self._heard_revision(message.revision)
                answer = witness.renew(sender, message, now)
            case messages.RenewReply(owner=name) if name == self._incarnation:
                self._granted(sender, message, now)
            case messages.SuspectOwner():
                self._suspect(message.owner, message.epoch, now)
            case messages.Seal() if witness is not None:
                answer = witness.seal(message, now)
            case messages.SealReply():
                self._succession.sealed(sender, message, now)
            case messages.Retire() if witness is not None:
                answer = witness.retire(sender, message)
            case messages.RetireReply(owner=name) if name == self._incarnation:
                self._renewal.retired(sender, message, now)
            case messages.Release() if witness is not None:
                witness.release(sender, message)
            case messages.Rows():
                self.merge(list(message.rows), now)
            case messages.Claim():
                self._succession.claimed(sender, message)
            case messages.LoadReport(rate=rate):
                self._sharing.known.note(sender, rate, now)
        if answer is not None:
            # The owner knows its witness by the name that it asked.
            self._outbox.put(effects.Send(asked, envelope.address, answer))
        self._progress(now)

    def _witness(self, name: str) -> witnesshandler.WitnessHandler | None:
        """Returns what this process has promised under a name, or None."""
        if name == self._incarnation:
            return self._own_witness
        return self._ended.witness(name)

    def tick(self, now: float) -> None:
        """Does all that is due; to be called every few milliseconds."""
        self._renewal.renew(now)
        for record in self._silent_owners(now):
            self._suspect(record.incarnation, record.epoch, now)
        self._check_lapse(now)
        self._progress(now)
        self._repeat(now)
        self._plan(now)

    def _silent_owners(self, now: float) -> list[records.LeaseRecord]:
        """Returns silent owners, whichever incarnation witnesses them."""
        found = self._ended.silent_owners(self._outbox, now)
        return found + self._own_witness.silent_owners(now)

    # The owner's side.

    def _granted(
        self, sender: str, message: messages.RenewReply, now: float
    ) -> None:
        self._heard_revision(message.revision)
        self._renewal.granted(sender, message, now)
        if self._renewal.is_ended():
            self._depose("sealed-by-majority", now)

    def _check_lapse(self, now: float) -> None:
        """Starts afresh where the lease can't be had back.

        With most witnesses gone nobody could end this epoch either. A new
        incarnation at this address vouches that the old one is over. While
        the table is down the old epoch is kept: it may still come back.
        """
        if now < self._renewal.own_lease.valid_until() or not self._table_ok:
            self._lapsed_at = now
        elif self.epoch and (
            now - self._lapsed_at > self._settings.lease * _LAPSED_SHARE
        ):
            self._depose("lapsed", now)

    def _depose(self, reason: str, now: float) -> None:
        self._outbox.log("lease_lost", reason=reason, slots=len(self.owned))
        until = max(now, self._renewal.own_lease.valid_until())
        self._ended.ends(self._incarnation, until + self.linger)
        self._rejoin_until = now + _REJOIN_S
        self._begin(now)

    def _adopt(self, now: float) -> None:
        """Makes this daemon's state follow its own record in the table."""
        record = self._view.lease(self._incarnation)
        if record is None or not record.is_open:
            left = self._draining and not self.owned
            self._depose("left" if left else "record-closed", now)
            return
        self._joined = True
        prepared = self._renewal.own_lease.next
        if prepared is not None and record.epoch == prepared.epoch:
            self._renewal.own_lease.promote()
        held = {
            slot: self._kept(slot, holding, now)
            for slot, holding in slots.expand(record.runs).items()
        }
        gained = held.keys() - self.owned.keys()
        lost = self._owned.keys() - held.keys()
        self._owned = held
        for slot in held:
            self._succession.recorded(slot)
        if held and self._view.service_record(self._settings.service) is None:
            # Keys are told from slots by the founding row.
            self._outbox.put(effects.ReadTable(urgent=True))
        if gained or lost:
            self._changed_at = now
            self.slots_version += 1
            self._outbox.log(
                "slots_changed",
                gained=len(gained),
                lost=len(lost),
                owned=len(held),
                epoch=record.epoch,
            )

    def _kept(
        self, slot: int, holding: slots.SlotAssignment, now: float
    ) -> effects.OwnedSlot:
        present = self.find(slot)
        if present is not None and present.fence == holding.fence:
            return present
        return effects.OwnedSlot(holding.fence, now, holding.handover)

    # The successor's side.

    def _suspect(self, owner: str, epoch: int, now: float) -> None:
        if self._joined:
            self._succession.suspect(owner, epoch, now)

    def _progress(self, now: float) -> None:
        before = len(self._succession.held)
        if self._succession.progress(now):
            self._plan_at = now
        if len(self._succession.held) > before:
            self._changed_at = now
            self.slots_version += 1

    # Changes of the table.

    def _repeat(self, now: float) -> None:
        if self._pending is not None and now >= self._commit_at:
            self._put(self._pending, now)
        self._succession.repeat_claims(now)

    def _put(self, change: changes.Change, now: float) -> None:
        self._pending = change
        # `handle_commit_result` sets it again. If that call is lost, the
        # transaction is sent again at this time.
        self._commit_at = now + _ANSWER_LIMIT_S
        self._outbox.put(effects.Commit(change))

    def _plan(self, now: float) -> None:
        if self._pending is not None:
            return
        if self._epoch_change.is_under_way:
            self._proceed(now)
            return
        if now < self._plan_at:
            return
        self._plan_at = now + planner.PLAN_EVERY_S
        waited = self._started + plannerinputs.vouch_after(self._settings)
        if now < waited:
            self._plan_at = min(self._plan_at, waited)
        situation = self._situation(now)
        signature = situation.signature()
        if signature == self._idle and now < self._idle_until:
            return
        decided = planner.decide(situation, self._change_id())
        self._idle = signature if decided is None else None
        self._idle_until = now + planner.IDLE_S
        if isinstance(decided, changes.Change):
            self._put(decided, now)
        elif decided is not None:
            self._epoch_change.begin(decided, now)

    def _situation(self, now: float) -> plannerinputs.PlannerInputs:
        return plannerinputs.PlannerInputs(
            view=self._view,
            settings=self._settings,
            incarnation=self._incarnation,
            accepting=self.accepting,
            checks_grants=self._checks_grants,
            draining=self._draining,
            table_ok=self._table_ok,
            lease_valid=now < self.lease_until(),
            grants=self._renewal.own_lease.current,
            takeovers=self.takeovers,
            unrecorded={
                slot: held.fence for slot, held in self._succession.held.items()
            },
            is_pinned=self._is_pinned,
            rates=self._sharing.rates,
            loads=self._sharing.known.fresh(now),
            most_moves=int(self._sharing.budget.tokens(now)),
            age=now - self._started,
            now=now,
            keyed=self.keyed,
            has_low_load=self.has_low_load,
            is_reachable=self.is_reachable,
            silent_for=self._liveness.missed_for(
                self._view, self._incarnation, self.is_reachable, now
            ),
            challenged_for=self._liveness.challenged_for(self._view, now),
            over=self._ended.over(self._view, now),
        )

    def _change_id(self) -> str:
        return f"{self._incarnation}-{self._rng.getrandbits(48):012x}"

    def _proceed(self, now: float) -> None:
        found = self._epoch_change.proceed(
            self._situation, self._change_id, now
        )
        if found is not None:
            self._sharing.budget.spend(len(found.moves))
            self._put(found.change, now)

    def slots_released(self, handovers: dict[slots.SlotRange, str]) -> None:
        """Notes that the target has released the slots that are to move.

        Args:
            handovers: What it said to tell each run's next target.
        """
        self._epoch_change.slots_released(handovers)

    # Helpers.

    def _heard_revision(self, revision: int) -> None:
        if revision > self._view.cursor:
            self._outbox.put(effects.ReadTable())
