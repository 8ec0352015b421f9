"""Decides which change of the table a daemon makes next, if any."""

import msgspec

from tamarackgap import types
from tamarackgap.ownership import (
    changes,
    creation,
    effects,
    erachange,
    leftslots,
    plannerinputs,
)
from tamarackgap.placement import placement, records, slots

PLAN_INTERVAL_S = 0.2
# While the signature of the inputs stays the same, the planner still runs
# this often, because loads and ages are not part of it.
IDLE_PLAN_INTERVAL_S = 1.0
# An owner that has been unreachable for this long, and whose epoch its
# witnesses have not ended by then, is challenged.
_CHALLENGE_AFTER_S = 3.0
# After this share of the settle time a daemon chooses witnesses even if few
# daemons have any yet.
_FIRST_EPOCH_SETTLE_SHARE = 0.5


class EpochIntent(msgspec.Struct, frozen=True):
    """The next epoch that an owner intends to begin.

    Attributes:
        witnesses: The new epoch's witnesses.
        lease_length: Time for which a grant is valid in the new epoch,
            seconds.
        reason: The cause, for the log.
    """

    witnesses: tuple[str, ...]
    lease_length: float
    reason: str


class SlotRelease(msgspec.Struct, frozen=True):
    """Moves for which the target releases the slots first.

    Attributes:
        moves: The moves.
        handovers: The target's text for the next target of each range; None
            until it has released all slots.
    """

    moves: tuple[placement.Move, ...]
    handovers: dict[slots.SlotRange, str] | None = None

    def handover(self, slot: int) -> str:
        """Returns the text for a slot's next target, or ""."""
        for slot_range, text in (self.handovers or {}).items():
            if slot_range.first <= slot <= slot_range.last:
                return text
        return ""


class EpochWrite(msgspec.Struct, frozen=True):
    """The write that begins a new epoch.

    Attributes:
        change: The write.
        moves: The moves that it contains.
    """

    change: changes.Change
    moves: tuple[placement.Move, ...]


def decide(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | EpochIntent | None:
    """Returns the change or the new epoch that is due, or None.

    Args:
        inputs: The data to decide from.
        change_id: A fresh id for the write.
    """
    if not inputs.view.is_read:
        return None
    if erachange.needs_carry(inputs):
        return erachange.carry(inputs, change_id)
    for step in (
        _join,
        _update_flags,
        _answer_challenge,
        erachange.claim,
        erachange.reclaim,
        _claim,
        _close_earlier,
        erachange.settle,
        creation.create_service,
        creation.continue_creation,
        _leave,
        _close_unanswered,
        _challenge,
        _intend_epoch,
    ):
        decision = step(inputs, change_id)
        if decision is not None:
            return decision
    return None


def _join(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | None:
    if inputs.own_record is not None or inputs.draining:
        return None
    settings = inputs.settings
    linger = 0.0 if inputs.checks_grants else settings.linger
    record = records.LeaseRecord(
        service=settings.service,
        daemon=settings.daemon,
        incarnation=inputs.incarnation,
        data_centre=settings.data_centre,
        peer_address=settings.peer_address,
        http_address=settings.http_address,
        lease_ms=round(inputs.lease_length * 1000),
        linger_ms=round(linger * 1000),
        accepting=inputs.accepting,
        first_era=inputs.view.era,
        knows_leavings=inputs.knows_leavings,
    )
    builder = changes.Builder(inputs.view, change_id)
    builder.put_record(record)
    for earlier in _ended_earlier_records(inputs)[: changes.MAX_RECORDS - 1]:
        builder.close_record(earlier, slots.expand(earlier.runs))
    return builder.build(changes.ChangeKind.JOIN, "started")


def _may_take_lease(
    inputs: plannerinputs.PlannerInputs, own_record: records.LeaseRecord
) -> bool:
    """Returns whether a daemon without a lease should begin its first epoch.

    A daemon that can get no slots takes none: it needs no witnesses and writes
    nothing but its joining and leaving. Before the service is created, a daemon
    waits for candidates, so that it need not replace its witnesses soon.
    """
    if not (inputs.keyed and inputs.accepting):
        return False
    started = sum(
        bool(record.witnesses) for record in inputs.view.open_records()
    )
    return (
        inputs.view.service_record(own_record.service) is not None
        or started >= inputs.settings.witnesses
        or inputs.age >= inputs.settings.settle * _FIRST_EPOCH_SETTLE_SHARE
    )


def _with_flags(
    inputs: plannerinputs.PlannerInputs, record: records.LeaseRecord
) -> records.LeaseRecord:
    return msgspec.structs.replace(
        record, accepting=inputs.accepting, leaving=inputs.draining
    )


def _update_flags(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | None:
    own_record = inputs.own_record
    if own_record is None:
        return None
    if not own_record.witnesses and not _is_witness(inputs):
        # Nobody depends on the flags yet. The first epoch's write sets them.
        return None
    updated = _with_flags(inputs, own_record)
    if updated == own_record:
        return None
    builder = changes.Builder(inputs.view, change_id)
    builder.put_record(updated)
    reason = "accepting" if inputs.accepting else "not-accepting"
    return builder.build(changes.ChangeKind.UPDATE_FLAGS, reason)


def _claim(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | None:
    """Returns the change that claims slots of ended epochs, or None.

    It also closes the records of these epochs.
    """
    own_record = inputs.own_record
    if own_record is None or not inputs.lease_valid:
        return None
    claims = [
        changes.SlotClaim(record, fences)
        for record in inputs.view.current_leases()
        if (fences := _claimable_fences(inputs, record)) is not None
    ]
    if not claims:
        return None
    # One record is this daemon's; the next change takes the remaining claims.
    claims = claims[: changes.MAX_RECORDS - 1]
    return changes.claim(inputs.view, own_record, claims, change_id)


def _claimable_fences(
    inputs: plannerinputs.PlannerInputs, record: records.LeaseRecord
) -> dict[int, int] | None:
    """Returns the new fences of the slots to claim from a record.

    Returns:
        Fences by slot, or None if the record is to be left alone. An open
        record whose epoch has ended is claimed even without slots for this
        daemon, so that it gets closed.
    """
    epoch_ended = any(
        attempt.has_ended
        and attempt.record.incarnation == record.incarnation
        and attempt.record.epoch == record.epoch
        for attempt in inputs.takeovers
    )
    if record.is_open and not epoch_ended:
        return None
    assignments = slots.expand(record.runs)
    fences = {
        slot: assignment.fence + 1
        for slot, assignment in assignments.items()
        if assignment.successor == inputs.incarnation
    }
    if not record.is_open:
        if (
            record.service == inputs.settings.service
            and not leftslots.is_unread(inputs.view, record)
        ):
            fences.update(
                leftslots.fences(inputs.view, inputs.incarnation, record)
            )
        return fences or None
    return fences


def _close_earlier(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | None:
    """Returns the change that closes earlier incarnations' records, or None.

    These are the records with this daemon's own address.

    Where this process itself was the earlier incarnation, it knows exactly
    when that one has ended.
    """
    earlier = _ended_earlier_records(inputs)
    if not earlier:
        return None
    builder = changes.Builder(inputs.view, change_id)
    for record in earlier[: changes.MAX_RECORDS]:
        builder.close_record(record, slots.expand(record.runs))
    return builder.build(
        changes.ChangeKind.CLOSE_GONE, "earlier-incarnation-gone"
    )


def _ended_earlier_records(
    inputs: plannerinputs.PlannerInputs,
) -> list[records.LeaseRecord]:
    return [
        record
        for record in plannerinputs.earlier_records(inputs)
        if plannerinputs.has_ended(inputs, record)
    ]


def _answer_challenge(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | None:
    """Returns the change that answers a challenge to this daemon, or None.

    Deleting the challenge shows that the incarnation is running.
    """
    if inputs.incarnation not in inputs.view.challenges():
        return None
    builder = changes.Builder(inputs.view, change_id)
    builder.end_challenge(inputs.incarnation)
    return builder.build(changes.ChangeKind.ANSWER_CHALLENGE, "challenged")


def _challenge(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | None:
    """Returns the change that challenges an unreachable owner, or None.

    If most of its witnesses were running, they would have let a successor
    end its epoch by now.
    """
    if not inputs.settings.anchor or not inputs.table_ok:
        return None
    view = inputs.view
    for record in view.current_leases():
        unreachable_s = inputs.unreachable_for.get(record.incarnation, 0.0)
        if (
            record.is_open
            and unreachable_s > _CHALLENGE_AFTER_S
            and record.incarnation not in view.challenges()
            and plannerinputs.is_responsible(inputs, record.incarnation)
        ):
            builder = changes.Builder(view, change_id)
            builder.challenge(record, inputs.incarnation)
            return builder.build(changes.ChangeKind.CHALLENGE, "not-heard")
    return None


def _close_unanswered(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | None:
    """Returns the change that ends a challenge not answered in time, or None.

    It also closes the record. A challenge whose record is closed or deleted
    already is ended as well.
    """
    view = inputs.view
    for name, challenge in view.challenges().items():
        if not plannerinputs.is_responsible(inputs, name):
            continue
        record = view.lease(name)
        builder = changes.Builder(view, change_id)
        builder.end_challenge(name)
        if record is None or not record.is_open:
            return builder.build(
                changes.ChangeKind.CLOSE_UNANSWERED, "is-over-already"
            )
        waited = inputs.challenged_for.get(name, 0.0)
        limit = effects.challenge_timeout(
            inputs.settings, record.lease_ms / 1000
        )
        if record.epoch == challenge.epoch and waited > limit:
            builder.close_record(record, slots.expand(record.runs))
            return builder.build(
                changes.ChangeKind.CLOSE_UNANSWERED, "not-answered"
            )
    return None


def _leave(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | None:
    """Returns the change that deletes a drained daemon's record, or None.

    It is due once no record names the daemon as a witness.
    """
    own_record = inputs.own_record
    if (
        own_record is None
        or not inputs.draining
        or own_record.runs
        or inputs.unrecorded
        or _is_witness(inputs)
    ):
        return None
    builder = changes.Builder(inputs.view, change_id)
    builder.close_record(own_record, {})
    return builder.build(changes.ChangeKind.LEAVE, "drained")


def _is_witness(inputs: plannerinputs.PlannerInputs) -> bool:
    return any(
        inputs.incarnation in record.witnesses
        for record in inputs.view.open_records()
    )


def _intend_epoch(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> EpochIntent | None:
    """Returns the next epoch, if witnesses, successors or slots change."""
    del change_id
    own_record = inputs.own_record
    if own_record is None or not inputs.table_ok:
        return None
    if not own_record.witnesses and not _may_take_lease(inputs, own_record):
        return None
    witnesses = _choose_witnesses(inputs, own_record)
    reason = None
    if witnesses != own_record.witnesses:
        reason = "witnesses"
    elif own_record.lease_ms < round(inputs.lease_length * 1000):
        reason = "lease-length"
    elif _has_stale_successors(inputs, own_record):
        reason = "successors"
    elif _plan_own_moves(inputs):
        reason = "moves"
    if reason is None:
        return None
    # Holds of the target may last as long as the longest lease so far, so a
    # shorter one has to wait for the next incarnation.
    lease_length = max(inputs.lease_length, own_record.lease_ms / 1000)
    return EpochIntent(witnesses, lease_length, reason)


def _choose_witnesses(
    inputs: plannerinputs.PlannerInputs, own_record: records.LeaseRecord
) -> tuple[str, ...]:
    unresponsive = plannerinputs.unresponsive_witnesses(inputs)
    chosen = placement.choose_witnesses(
        own_record,
        inputs.view.open_records(),
        inputs.settings.witnesses,
        lambda name: name in unresponsive or not inputs.is_reachable(name),
    )
    # If no candidate is left, a majority of the current witnesses may still
    # keep the lease valid.
    return chosen or own_record.witnesses


def _has_stale_successors(
    inputs: plannerinputs.PlannerInputs, own_record: records.LeaseRecord
) -> bool:
    assignments = slots.expand(own_record.runs)
    members = inputs.view.open_records(own_record.service)
    wanted = placement.choose_successors(own_record, assignments, members)
    return any(
        assignment.successor != assignments[slot].successor
        and assignment.successor
        for slot, assignment in wanted.items()
    )


def placement_members(
    view: records.TableView,
    service: str,
    loads: dict[str, float],
    speeds: dict[str, float] | None = None,
    load_ages: dict[str, float] | None = None,
) -> list[placement.Member]:
    """Returns a service's daemons with their weights, slots and loads.

    Args:
        view: This daemon's copy of the table.
        service: The service.
        loads: Requests per second by incarnation, as far as reported.
        speeds: Work per second that their targets can do, as far as reported.
        load_ages: Time since these reports, seconds.
    """
    return [
        placement.Member(
            incarnation=record.incarnation,
            name=record.daemon,
            data_centre=record.data_centre,
            weight=(
                view.policy(service, record.data_centre).weight
                if record.can_own
                else 0
            ),
            owned=tuple(sorted(slots.expand(record.runs))),
            rate=loads.get(record.incarnation),
            speed=(speeds or {}).get(record.incarnation, 0.0),
            load_age=(load_ages or {}).get(record.incarnation, 0.0),
        )
        for record in view.current_members(service)
    ]


def _plan_own_moves(
    inputs: plannerinputs.PlannerInputs,
) -> tuple[placement.Move, ...]:
    """Returns the moves that this daemon should make now."""
    view = inputs.view
    service = inputs.settings.service
    service_record = view.current_service_record(service)
    if not inputs.keyed or service_record is None or inputs.unrecorded:
        return ()
    if (
        service_record.phase is not types.EraPhase.SETTLED
        and not inputs.draining
    ):
        # Members that have not recorded their slots yet are not known.
        return ()
    if service_record.unallocated:
        # Members without slots get theirs without moves.
        return ()
    has_unclaimed = any(
        record.runs and not record.is_open and record.service == service
        for record in view.current_leases()
    )
    if has_unclaimed:
        # Claims come first, because they may balance the slots by themselves.
        return ()
    own_record = inputs.own_record
    policy = view.policy(service, own_record.data_centre)
    members = placement_members(
        view, service, inputs.loads, inputs.speeds, inputs.load_ages
    )
    has_member_without_slots = any(
        member.weight and not member.owned for member in members
    )
    if (
        inputs.has_low_load
        and inputs.accepting
        and not has_member_without_slots
    ):
        return ()
    planned = placement.plan_moves(
        service_record.slots,
        members,
        inputs.rates,
        max(policy.tolerance, inputs.settings.min_tolerance) / 100,
        inputs.settings.load_half_life,
        placement.plan_block_moves
        if inputs.settings.ordered_keys
        else placement.plan_slot_moves,
        inputs.request_amount,
    )
    own_moves = [
        move
        for move in planned
        if move.source == inputs.incarnation and not inputs.is_pinned(move.slot)
    ]
    limit = inputs.settings.batch
    if inputs.accepting:
        limit = min(limit, inputs.max_moves)
    return _within_one_change(own_moves[:limit])


def _within_one_change(
    moves: list[placement.Move],
) -> tuple[placement.Move, ...]:
    """Returns the moves to as many destinations as one change can hold."""
    destinations = list(dict.fromkeys(move.destination for move in moves))
    # One record is this daemon's.
    within = frozenset(destinations[: changes.MAX_RECORDS - 1])
    return tuple(move for move in moves if move.destination in within)


def plan_epoch_write(
    intent: EpochIntent,
    inputs: plannerinputs.PlannerInputs,
    change_id: str,
    release: SlotRelease | None = None,
) -> EpochWrite | None:
    """Returns the write that begins the next epoch.

    The moves are chosen now and not with the intent, so that no slot is
    moved that has been pinned in between.

    Args:
        intent: The epoch that is wanted.
        inputs: The data to decide from.
        change_id: A fresh id for the write.
        release: Moves chosen before, whose slots the target has released.

    Returns:
        The write, or None if there is nothing left to change.
    """
    own_record = inputs.own_record
    if own_record is None:
        return None
    if release is None:
        release = SlotRelease(_plan_own_moves(inputs))
    # A destination may have ended while the target released the slots.
    moves = tuple(
        move
        for move in release.moves
        if (record := inputs.view.lease(move.destination)) is not None
        and record.is_open
        and inputs.view.is_current(record.key)
    )
    if intent.reason == "moves" and not moves:
        return None
    new_record = msgspec.structs.replace(
        _with_flags(inputs, own_record),
        epoch=own_record.epoch + 1,
        witnesses=intent.witnesses,
        lease_ms=round(intent.lease_length * 1000),
    )
    reason = intent.reason
    if moves and reason != "moves":
        reason += "+moves"
    return EpochWrite(
        changes.reconfigure(
            inputs.view, new_record, moves, change_id, reason, release.handover
        ),
        moves,
    )
