"""The ownership protocol of one daemon, without any I/O.

The caller passes in the time and the source of randomness, and carries out
the effects that the protocol returns.
"""

import math
import random
from collections.abc import Callable

from tamarackgap import types
from tamarackgap.ownership import (
    changes,
    commitretry,
    earlierowners,
    effects,
    endedincarnations,
    epochchange,
    erachange,
    eratransition,
    lease,
    leftslots,
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
from tamarackgap.placement import records, rowmerge, slotowners, slots

# An expired lease is given up after this many lease lengths. Renewals are
# sent every quarter of a length, so witnesses that still grant have answered
# by then.
_LAPSE_LEASES = 0.4
# For this long after a lost lease, the planner runs right after each
# committed change. Rejoining takes a few writes and the witnesses' answers.
_REJOIN_S = 3.0
# After these changes the planner runs at once: slots of closed records are not
# served until they are claimed, and a creation may have left some out.
_KINDS_WITH_SLOTS_LEFT = frozenset(
    {
        changes.ChangeKind.CLOSE_GONE,
        changes.ChangeKind.CLOSE_UNANSWERED,
        changes.ChangeKind.CREATE_SERVICE,
        changes.ChangeKind.SETTLE_ERA,
    }
)


# These may begin an epoch that has been prepared.
_KINDS_OF_EPOCHS = frozenset(
    {changes.ChangeKind.RECONFIGURE, changes.ChangeKind.CARRY}
)


class Ownership:
    """The state of one daemon: what it owns, witnesses and takes over.

    A daemon starts a new incarnation each time it loses its lease.
    """

    def __init__(
        self,
        settings: effects.Settings,
        rng: random.Random,
        is_pinned: Callable[[int], bool],
        now: float,
    ) -> None:
        """Creates the state of a daemon without a record in the table.

        Args:
            settings: The daemon's settings.
            rng: Source of ids and jitter.
            is_pinned: Tells whether a slot must not be moved now, because
                requests are in progress or the target has not confirmed
                its grant.
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
        # Whether the service's keys have owners.
        self.keyed = True
        # Time for which a grant is valid in the next epoch, seconds.
        self.lease_length = settings.lease
        # Whether the target is known to hold no slot of any incarnation.
        self.is_target_empty = False
        # Whether slots that are to move are served until the target has begun
        # to release them; whoever sets this refuses their calls from then on.
        self.defers_release = False
        # Whether the target has so little load that its slots need not move.
        self.has_low_load = False
        # Returns whether an incarnation has sent a message recently. A witness
        # that can't be reached would never grant the epoch that names it.
        self.is_reachable: Callable[[str], bool] = lambda name: True
        # Returns whether the table's era has all leavings of local targets.
        self.knows_leavings: Callable[[], bool] = lambda: False
        # Increases with each change of the owned slots.
        self.slots_version = 0
        self._renewer = renewal.LeaseRenewer(
            settings.lease, self._view, self._outbox, now
        )
        self._table_as_of = now
        self._own_witness: witnesshandler.WitnessHandler | None = None
        self._epoch_change = epochchange.EpochChange(
            self._renewer, self._outbox, settings.ordered_keys
        )
        self._ended = endedincarnations.EndedIncarnations()
        self._earlier_owners = earlierowners.EarlierOwners(
            settings, self._view, self._outbox, now
        )
        self._era_begun_at = now
        self._liveness = liveness.LivenessTracker()
        self._rejoin_until = now
        self._have_earlier_owners_ended = False
        self._start_incarnation(now)

    def _start_incarnation(self, now: float) -> None:
        # The grants and seals that the ended incarnation has given as a witness
        # stay binding.
        if self._own_witness is not None:
            self._ended.add(self._incarnation, self._own_witness)
        self._incarnation = types.Incarnation(
            f"{self._rng.getrandbits(64):016x}"
        )
        self._outbox.incarnation = self._incarnation
        self.slots_version += 1
        self._started_at = now
        self._lapsed_since = now
        self._joined = False
        self._own_witness = witnesshandler.WitnessHandler(
            self._settings.lease,
            self._view,
            self._outbox,
        )
        self._succession = succession.Succession(
            self._settings.drift,
            self._view,
            self._slot_owners,
            self._outbox,
            self._own_witness.seal,
        )
        lateness = self._renewer.lateness
        self._renewer = renewal.LeaseRenewer(
            self._settings.lease, self._view, self._outbox, now
        )
        self._renewer.lateness = lateness
        self._owned: dict[int, effects.OwnedSlot] = {}
        self._transition = eratransition.EraTransition(
            self._settings.anchor, self._era_begun_at
        )
        # When slots not recorded in the table's era are no longer served.
        self._uncarried_until = math.inf
        self._pending: changes.Change | None = None
        self._commit_retry = commitretry.CommitRetry(self._rng)
        self._epoch_change.end_release()
        self._epoch_change = epochchange.EpochChange(
            self._renewer, self._outbox, self._settings.ordered_keys
        )
        self._slots_changed_at = now
        self._load_exchange = loads.LoadExchange(
            self._settings, self._view, self._outbox, self._rng, now
        )
        self._plan_at = now
        # Signature of the planner's inputs at its last run, if it decided on
        # nothing.
        self._idle_signature: plannerinputs.InputsSignature | None = None
        self._idle_until = now

    @property
    def incarnation(self) -> types.Incarnation:
        """The current incarnation; each lost lease starts a new one."""
        return self._incarnation

    def is_own(self, incarnation: str) -> bool:
        """Returns whether an id is this process's current or a recent one."""
        return (
            incarnation == self._incarnation
            or self._ended.find_witness(incarnation) is not None
        )

    @property
    def settings(self) -> effects.Settings:
        """The daemon's settings."""
        return self._settings

    @property
    def view(self) -> records.TableView:
        """This daemon's copy of the table."""
        return self._view

    @property
    def slot_owners(self) -> slotowners.SlotOwners:
        """The slot owners that this daemon knows of."""
        return self._slot_owners

    @property
    def epoch(self) -> int:
        """The lease's current epoch; 0 before the first one."""
        return self._renewer.own_lease.current.epoch

    @property
    def renewal_lateness(self) -> float:
        """Largest delay of a renewal so far, seconds."""
        return self._renewer.lateness

    @property
    def accepting(self) -> bool:
        """Whether the daemon takes more slots."""
        return self._accepting and not self._draining

    @property
    def draining(self) -> bool:
        """Whether the daemon moves all its slots away to leave."""
        return self._draining

    @property
    def owned(self) -> dict[int, effects.OwnedSlot]:
        """All slots that may be served, recorded in the table or not."""
        unrecorded = self._succession.unrecorded
        return {
            **self._owned,
            **{
                slot: owned
                for slot, owned in unrecorded.items()
                if not self._succession.is_of_earlier_era(slot)
            },
        }

    @property
    def unrecorded(self) -> dict[int, effects.OwnedSlot]:
        """Slots owned through seals but not yet recorded in the table."""
        return self._succession.unrecorded

    @property
    def takeovers(self) -> list[takeover.Takeover]:
        """Attempts to end other daemons' epochs."""
        return self._succession.attempts

    @property
    def pending(self) -> changes.Change | None:
        """The change whose outcome is not known yet, or None."""
        return self._pending

    @property
    def is_releasing_slots(self) -> bool:
        """Whether the target is releasing slots that are to move."""
        return self._epoch_change.is_releasing_slots

    @property
    def table_as_of(self) -> float:
        """Time up to which the copy of the table is current, seconds."""
        return self._table_as_of

    @property
    def own_load(self) -> float | None:
        """Requests per second here; None right after the slots have changed."""
        if self._slots_changed_at > self._load_exchange.reported_at:
            return None
        return self._load_exchange.own_load

    @property
    def own_speed(self) -> float:
        """Work a second that the target can do; 0 if that is not known."""
        return self._load_exchange.own_speed

    def lease_until(self) -> float:
        """Returns the end of the lease on this daemon's clock, seconds.

        If the anchor time is set, the lease also ends when the table has not
        been read for that long, in the era in which the slots are recorded.
        """
        until = self._renewer.own_lease.valid_until()
        if self._settings.anchor:
            until = min(until, self._table_as_of + self._settings.anchor)
        return min(until, self._uncarried_until)

    def grants(self) -> lease.EpochGrants:
        """Returns the grants of the current epoch."""
        return self._renewer.own_lease.current

    def find_slot(self, slot: int) -> effects.OwnedSlot | None:
        """Returns a slot if this daemon may serve it, or None."""
        taken = self._succession.find_slot(slot)
        if taken is not None and not self._succession.is_of_earlier_era(slot):
            return taken
        return self._owned.get(slot)

    def refusal(self, slot: int, now: float) -> types.Reason | None:
        """Returns why a slot can't be served now, or None if it can."""
        if self.find_slot(slot) is None:
            return types.Reason.WRONG_OWNER
        if now >= self.lease_until():
            return types.Reason.LEASE_EXPIRED
        if slot in self._epoch_change.moving_slots:
            return types.Reason.SLOT_MOVING
        return None

    def take_effects(self) -> list[effects.Effect]:
        """Returns the effects since the last call, and clears them."""
        return self._outbox.take()

    @property
    def linger(self) -> float:
        """How long a request may execute after the lease's end, seconds.

        The value in this daemon's record counts, because successors wait for
        it, even if the target has changed since.
        """
        record = self._view.lease(self._incarnation)
        return record.linger_ms / 1000 if record is not None else 0.0

    def set_target_state(
        self, accepting: bool, checks_grants: bool = False
    ) -> None:
        """Sets what the local target can do.

        Args:
            accepting: Whether it accepts requests.
            checks_grants: Whether it stops by itself at the lease's end.
                Takes effect when the next incarnation joins.
        """
        self._accepting = accepting
        self._checks_grants = checks_grants

    def report_load(
        self,
        rates: dict[int, float],
        now: float,
        request_amount: float = 1.0,
        speed: float = 0.0,
    ) -> None:
        """Records this daemon's load, and reports it to members.

        Args:
            rates: Requests per second of each slot.
            now: Monotonic time, seconds.
            request_amount: Amount as which a typical request is counted.
            speed: Work a second that the target can do, in the unit of the
                rates; 0 if that is not known.
        """
        self._load_exchange.request_amount = request_amount
        self._load_exchange.own_speed = speed
        self._load_exchange.report(rates, now, self._slots_changed_at)

    def record_member_load(
        self,
        incarnation: str,
        load: float | None,
        reported_at: float,
        speed: float = 0.0,
    ) -> None:
        """Records the load that a member of this daemon's service reports.

        Args:
            incarnation: The member.
            load: Requests per second, or None if it can't tell.
            reported_at: Monotonic time of the report, seconds.
            speed: Work a second that its target can do; 0 if not known.
        """
        self._load_exchange.record(incarnation, load, reported_at, speed)

    def drain(self) -> None:
        """Starts moving all slots away, in order to leave."""
        self._draining = True

    def release_lease(self, now: float) -> None:
        """Gives up the lease at once, and starts a new incarnation.

        Used while the table does not answer: successors then take over without
        the table, and without waiting for the lease to expire. No request
        may be in progress.
        """
        for name in self._renewer.own_lease.current.witnesses:
            self._outbox.send(name, messages.Release(name, self.epoch))
        self._outbox.log("released", slots=len(self.owned))
        self._ended.set_end(self._incarnation, now + self.linger)
        self._start_incarnation(now)

    def merge(
        self,
        rows: list[records.Row],
        now: float,
        has_conflict: bool = False,
    ) -> None:
        """Applies rows that were read from the table or sent by a daemon.

        Args:
            rows: The rows; those that can't be read are logged.
            now: Monotonic time, seconds.
            has_conflict: Whether a write failed since these rows have changed.
        """
        if self._merge(rows, now, has_conflict):
            self._read_before_claim()

    def _merge(
        self, rows: list[records.Row], now: float, has_conflict: bool
    ) -> bool:
        """Applies rows; returns whether a lease record has changed."""
        newest = max((row.era for row in rows), default=0)
        if newest > self._view.era:
            self._begin_era(newest, now)
        if self._transition.is_undecided:
            own_key = records.lease_key(self._incarnation)
            rows = [
                row
                for row in rows
                if row.key != own_key or row.era == self._view.era
            ]
        changed = rowmerge.merge_readable(self._view, rows, has_conflict)
        has_lease = False
        for key in changed:
            if not key.startswith(records.LEASE_PREFIX):
                continue
            has_lease = True
            record = self._view.lease(key[len(records.LEASE_PREFIX) :])
            if record is None or not record.is_open:
                # Slots may have become free to claim.
                self._plan_at = now
            if record is None:
                continue
            self._slot_owners.update_from_record(record)
        if records.lease_key(self._incarnation) in changed:
            self._apply_own_record(now)
        return has_lease

    def _read_before_claim(self) -> None:
        if leftslots.needs_read(
            self._view, self._incarnation, self._settings.service
        ):
            self._outbox.put(effects.ReadTable(urgent=True))

    def apply_table_read(
        self,
        rows: list[records.Row],
        revision: int,
        now: float,
        as_of: float | None = None,
        era: int = 0,
    ) -> None:
        """Applies a read of the table up to `revision`.

        The first read in an era has to be of the whole table.

        Args:
            rows: The rows that have changed.
            revision: The table's revision.
            now: Monotonic time, seconds.
            as_of: Earliest time at which the table was in that state,
                seconds; `now` if None.
            era: The table's era.
        """
        if era < self._view.era:
            # Late, or the table has gone back since.
            return
        if era > self._view.era:
            self._begin_era(era, now)
        if not self._table_ok:
            self._commit_retry.end_pause(now)
        self._table_ok = True
        if self._view.is_read:
            # Writes of earlier eras that land late hold for a state that the
            # table has forgotten.
            rows = [row for row in rows if row.era == era]
        self._merge(rows, now, False)
        if self._view.has_earlier_rows and (
            self._earlier_owners.have_all_ended(now)
            or (not self._view.is_read and erachange.is_settled(self._view))
        ):
            self._view.forget_earlier_rows()
        # While this owner is challenged, its record may be closed right
        # after a read. So reads don't prolong the lease until the answer to
        # the challenge is in the table. The same holds for an owner that has
        # not recorded its slots in the table's era yet.
        if (
            self._incarnation not in self._view.challenges()
            and self._record_to_carry() is None
        ):
            self._table_as_of = max(
                self._table_as_of, now if as_of is None else as_of
            )
        self._view.advance(types.Revision(revision))
        self._read_before_claim()
        if any(
            record.runs
            and not record.is_open
            and record.service == self._settings.service
            for record in self._view.leases()
        ):
            # The read may show that slots are free to claim.
            self._idle_signature = None
            self._plan_at = now

    def record_table_failure(self) -> None:
        """Records that a table read failed, so that no epoch change begins."""
        self._table_ok = False

    def handle_commit_result(
        self,
        change_id: str,
        state: effects.CommitState,
        rows: list[records.Row],
        now: float,
    ) -> None:
        """Handles the outcome of a transaction.

        Results of other transactions than the pending one are ignored, such
        as a late result for an ended incarnation.

        A transaction with an unknown outcome stays pending and is sent again
        until it is committed or its checks fail. Only then is it certain
        that no delayed copy of it can be committed later.

        Args:
            change_id: The id of the transaction.
            state: Its outcome.
            rows: Its rows as they are in the table now, as far as known.
            now: Monotonic time, seconds.
        """
        change = self._pending
        if change is None or change.transaction.change != change_id:
            return
        if state is effects.CommitState.UNKNOWN:
            self._commit_retry.record_unknown(now, self._table_ok)
            return
        self._commit_retry.record_outcome()
        self._pending = None
        incarnation = self._incarnation
        self.merge(rows, now, state is effects.CommitState.CONFLICT)
        self._outbox.log(
            "commit",
            kind=change.kind.value,
            reason=change.reason,
            outcome=state.value,
            epoch=self.epoch,
            **change.inputs,
        )
        if incarnation != self._incarnation:
            return
        if state is effects.CommitState.COMMITTED:
            if (
                now < self._rejoin_until
                or change.kind in _KINDS_WITH_SLOTS_LEFT
            ):
                self._plan_at = now
            self._outbox.share_rows(rows)
        if change.kind is changes.ChangeKind.CARRY:
            self._plan_at = now
        if change.kind in _KINDS_OF_EPOCHS and self._record_to_carry() is None:
            self._epoch_change.finish()
        self._epoch_change.end_release()

    def receive(self, envelope: messages.Envelope, now: float) -> None:
        """Handles a message from another daemon."""
        message = envelope.message
        sender = envelope.sender
        answer = None
        witness_id = getattr(message, "witness", types.NO_INCARNATION)
        witness = self._find_witness(witness_id)
        match message:
            case messages.Renew() if witness is not None:
                self._check_revision(message.revision)
                answer = witness.renew(sender, message, now)
            case messages.RenewReply(owner=name) if name == self._incarnation:
                self._handle_renew_reply(sender, message, now)
            case messages.SuspectOwner():
                self._suspect(message.owner, message.epoch, now)
            case messages.Seal() if witness is not None:
                answer = witness.seal(message, now)
            case messages.SealReply():
                self._succession.handle_seal_reply(sender, message, now)
            case messages.Retire() if witness is not None:
                answer = witness.retire(sender, message)
            case messages.RetireReply(owner=name) if name == self._incarnation:
                self._renewer.handle_retire_reply(sender, message, now)
            case messages.Release() if witness is not None:
                witness.release(sender, message)
            case messages.RowUpdates():
                self.merge(list(message.rows), now)
            case messages.EarlierOwnersQuery():
                answer = self._earlier_owners.answer(
                    message, self._has_unknown_owner(now), now
                )
            case messages.EarlierOwnersAnswer():
                self._merge(list(message.rows), now, False)
                self._earlier_owners.handle_answer(sender, message)
            case messages.Claim():
                self._succession.handle_claim(sender, message)
            case messages.LoadReport(rate=rate, speed=speed):
                self._load_exchange.record(sender, rate, now, speed)
        if answer is not None:
            # The sender of the answer is the incarnation that was asked,
            # even if it has ended: the owner knows its witness by that id.
            name = witness_id or self._incarnation
            self._outbox.put(effects.Send(name, envelope.address, answer))
        self._advance_takeovers(now)

    def _has_unknown_owner(self, now: float) -> bool:
        return self._own_witness.has_unknown_owner(
            now
        ) or self._ended.has_unknown_owner(now)

    def _find_witness(self, name: str) -> witnesshandler.WitnessHandler | None:
        """Returns the witness of this process under an id, or None."""
        if name == self._incarnation:
            return self._own_witness
        return self._ended.find_witness(name)

    def tick(self, now: float) -> None:
        """Performs all due work; called several times per renewal interval."""
        self._renewer.renew(now)
        for record in self._report_silent_owners(now):
            self._suspect(record.incarnation, record.epoch, now)
        self._check_lapse(now)
        self._check_era(now)
        self._ask_about_earlier_owners(now)
        self._advance_takeovers(now)
        self._repeat_unconfirmed(now)
        self._plan(now)

    def _report_silent_owners(self, now: float) -> list[records.LeaseRecord]:
        """Notifies successors of silent owners, for all of this process's ids.

        Returns:
            The records whose epochs this daemon should try to end itself.
        """
        owners = self._ended.report_silent_owners(self._outbox, now)
        return owners + self._own_witness.report_silent_owners(now)

    # The owner's side.

    def _handle_renew_reply(
        self, sender: str, message: messages.RenewReply, now: float
    ) -> None:
        self._check_revision(message.revision)
        self._renewer.handle_renew_reply(sender, message, now)
        if self._renewer.is_ended():
            self._lose_lease("sealed-by-majority", now)

    def _check_lapse(self, now: float) -> None:
        """Starts a new incarnation if the lease has been expired for too long.

        If most witnesses are gone, no successor can end the epoch either. A
        new incarnation at the same address can close the old record instead.
        While the table does not answer, the epoch is kept, because witnesses
        may still renew it.
        """
        if now < self._renewer.own_lease.valid_until() or not self._table_ok:
            self._lapsed_since = now
        elif self.epoch and (
            now - self._lapsed_since > self._settings.lease * _LAPSE_LEASES
        ):
            self._lose_lease("lapsed", now)

    def _lose_lease(self, reason: str, now: float) -> None:
        self._outbox.log("lease_lost", reason=reason, slots=len(self.owned))
        until = max(now, self._renewer.own_lease.valid_until())
        self._ended.set_end(self._incarnation, until + self.linger)
        self._rejoin_until = now + _REJOIN_S
        self._start_incarnation(now)

    def _apply_own_record(self, now: float) -> None:
        """Updates epoch and owned slots from this daemon's record."""
        record = self._view.lease(self._incarnation)
        if record is None or not record.is_open:
            left = self._draining and not self.owned
            self._lose_lease("left" if left else "record-closed", now)
            return
        self._joined = True
        if self._view.is_current(record.key):
            self._transition.record_carried(record)
        prepared = self._renewer.own_lease.next
        if prepared is not None and record.epoch == prepared.epoch:
            self._renewer.own_lease.promote()
        owned = {
            slot: self._to_owned_slot(slot, assignment, now)
            for slot, assignment in slots.expand(record.runs).items()
        }
        gained = owned.keys() - self.owned.keys()
        lost = self._owned.keys() - owned.keys()
        self._owned = owned
        for slot in owned:
            self._succession.mark_recorded(slot)
        if owned and self._view.service_record(self._settings.service) is None:
            # Without the service record, keys can't be mapped to slots.
            self._outbox.put(effects.ReadTable(urgent=True))
        if gained or lost:
            self._slots_changed_at = now
            self.slots_version += 1
            self._outbox.log(
                "slots_changed",
                gained=len(gained),
                lost=len(lost),
                owned=len(owned),
                epoch=record.epoch,
            )
        self._update_uncarried()

    def _to_owned_slot(
        self, slot: int, assignment: slots.SlotAssignment, now: float
    ) -> effects.OwnedSlot:
        known = self.find_slot(slot)
        if known is not None and known.fence == assignment.fence:
            return known
        return effects.OwnedSlot(assignment.fence, now, assignment.handover)

    # The successor's side.

    def _suspect(self, owner: str, epoch: int, now: float) -> None:
        if self._joined:
            self._succession.suspect(owner, epoch, now)

    def _advance_takeovers(self, now: float) -> None:
        before = len(self._succession.unrecorded)
        if self._succession.advance(now):
            self._plan_at = now
        if len(self._succession.unrecorded) > before:
            self._slots_changed_at = now
            self.slots_version += 1
            self._update_uncarried()

    # Eras of the table.

    def _begin_era(self, era: int, now: float) -> None:
        """Goes on in a new era: the table has come back from an older copy."""
        self._era_begun_at = now
        self._earlier_owners.begin_era(now)
        if not self._view.is_read:
            # This daemon has done nothing in an earlier era.
            self._view.begin_era(era)
            self._transition.begin(
                self._view, self._incarnation, None, self._table_as_of, now
            )
            return
        self._outbox.log(
            "era_begun",
            era=era,
            known=self._view.era,
            slots=len(self.owned),
            pending=self._pending.kind.value if self._pending else "",
        )
        self._transition.begin(
            self._view,
            self._incarnation,
            self._pending,
            self._table_as_of,
            now,
        )
        self._pending = None
        self._commit_retry.record_outcome()
        self._view.begin_era(era)
        if self._transition.is_undecided:
            kept = slots.expand(self._record_to_carry().runs)
            self._owned = {
                slot: owned
                for slot, owned in self._owned.items()
                if slot in kept
            }
            self._slots_changed_at = now
            self.slots_version += 1
        else:
            self._epoch_change.finish()
        self._update_uncarried()
        self._plan_at = now
        self._outbox.put(effects.ReadTable(urgent=True))

    def _record_to_carry(self) -> records.LeaseRecord | None:
        """Returns the record to write in the table's era, None if none is due.

        It has the slots that this daemon owns by its records.
        """
        return self._transition.record_to_carry(self._view, self._incarnation)

    def _update_uncarried(self) -> None:
        """Updates until when slots without a record in the era are served."""
        is_uncarried = (
            self._record_to_carry() is not None
            or self._view.has_earlier_rows
            and self._succession.has_slots_of_earlier_era()
        )
        self._uncarried_until = (
            self._transition.serves_until() if is_uncarried else math.inf
        )

    def _check_era(self, now: float) -> None:
        """Ends the incarnation if its slots can't be recorded any more."""
        if math.isinf(self._uncarried_until):
            return
        if now >= self._uncarried_until:
            self._lose_lease("era-not-carried", now)
        elif self.owned and self._is_era_settled():
            self._lose_lease("era-settled", now)

    def _is_era_settled(self) -> bool:
        """Returns whether slots can't be recorded in the table's era."""
        record = self._view.current_service_record(self._settings.service)
        return record is not None and (
            record.phase is not types.EraPhase.CARRYING
        )

    def _ask_about_earlier_owners(self, now: float) -> None:
        """Asks others, while the service here has no settled record."""
        self._have_earlier_owners_ended = False
        if not self.keyed or not self._view.is_read or self._is_settled():
            return
        self._have_earlier_owners_ended = self._earlier_owners.have_ended(
            now, self.lease_length
        )
        if self._have_earlier_owners_ended:
            self._earlier_owners.log_end(now)
        else:
            self._earlier_owners.ask(now)
            # The planner's next run must not wait for a change of its inputs.
            self._idle_signature = None

    def _is_settled(self) -> bool:
        record = self._view.current_service_record(self._settings.service)
        return record is not None and record.phase is types.EraPhase.SETTLED

    # Changes of the table.

    def _repeat_unconfirmed(self, now: float) -> None:
        if self._pending is not None and self._commit_retry.is_due(now):
            self._commit(self._pending, now)
        self._succession.repeat_claims(now)

    def _commit(self, change: changes.Change, now: float) -> None:
        self._pending = change
        self._commit_retry.record_try(now)
        self._outbox.put(effects.Commit(change))

    def _plan(self, now: float) -> None:
        if self._pending is not None:
            return
        must_carry = self._record_to_carry() is not None
        if self._epoch_change.is_under_way and not must_carry:
            self._continue_epoch_change(now)
            return
        if now < self._plan_at:
            return
        self._plan_at = now + planner.PLAN_INTERVAL_S
        inputs = self._planner_inputs(now)
        for record in plannerinputs.earlier_records(inputs):
            close_at = self._started_at + effects.lease_timeout(
                self._settings, record
            )
            if now < close_at:
                # From then on, the earlier process's record may be closed.
                self._plan_at = min(self._plan_at, close_at)
        signature = inputs.signature()
        if signature == self._idle_signature and now < self._idle_until:
            return
        decision = planner.decide(inputs, self._change_id())
        self._idle_signature = signature if decision is None else None
        self._idle_until = now + planner.IDLE_PLAN_INTERVAL_S
        if isinstance(decision, changes.Change):
            self._commit(decision, now)
        elif decision is not None:
            self._epoch_change.begin(decision, now)

    def _planner_inputs(self, now: float) -> plannerinputs.PlannerInputs:
        return plannerinputs.PlannerInputs(
            view=self._view,
            settings=self._settings,
            incarnation=self._incarnation,
            accepting=self.accepting,
            checks_grants=self._checks_grants,
            draining=self._draining,
            table_ok=self._table_ok,
            lease_valid=now < self.lease_until(),
            grants=self._renewer.own_lease.current,
            takeovers=self.takeovers,
            unrecorded={
                slot: owned.fence
                for slot, owned in self._succession.unrecorded.items()
            },
            is_pinned=self._is_pinned,
            rates=self._load_exchange.slot_loads,
            loads=self._load_exchange.recent(now),
            speeds=self._load_exchange.speeds(),
            load_measured_at=self._load_exchange.reported_at,
            load_ages=self._load_exchange.ages(now),
            max_moves=int(self._load_exchange.move_budget.tokens(now)),
            age=now - self._started_at,
            now=now,
            keyed=self.keyed,
            lease_length=self.lease_length,
            is_target_empty=self.is_target_empty,
            request_amount=self._load_exchange.request_amount,
            has_low_load=self.has_low_load,
            is_reachable=self.is_reachable,
            unreachable_for=self._liveness.unreachable_durations(
                self._view, self._incarnation, self.is_reachable, now
            ),
            challenged_for=self._liveness.challenge_durations(self._view, now),
            ended=self._ended.ended(self._view, now),
            earlier_owners_ended=self._have_earlier_owners_ended,
            all_earlier_owners_ended=self._earlier_owners.have_all_ended(now),
            knows_leavings=self.knows_leavings(),
            carried=self._record_to_carry(),
            doubtful_moves=self._transition.doubtful_moves,
            former_owners=self._succession.former_owners(),
        )

    def _change_id(self) -> str:
        return f"{self._incarnation}-{self._rng.getrandbits(48):012x}"

    def _continue_epoch_change(self, now: float) -> None:
        write = self._epoch_change.advance(
            self._planner_inputs, self._change_id, now, self.defers_release
        )
        if write is not None:
            self._load_exchange.move_budget.spend(len(write.moves))
            self._commit(write.change, now)

    def record_release(self, handovers: dict[slots.SlotRange, str]) -> None:
        """Records that the target has released the slots that are to move.

        Args:
            handovers: The target's text for the next target of each range.
        """
        self._epoch_change.record_release(handovers)

    def _check_revision(self, revision: int) -> None:
        if revision > self._view.cursor:
            self._outbox.put(effects.ReadTable())
