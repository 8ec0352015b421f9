"""Decides which change of the table a daemon makes next, if any."""

import msgspec

from tamarackgap.ownership import changes, effects, plannerinputs
from tamarackgap.placement import placement, records, slots

PLAN_EVERY_S = 0.2
# With nothing new, loads and ages are looked at this often.
IDLE_S = 1.0
# An owner that is not heard for so long, and whose epoch its witnesses have
# not ended by then, is challenged, seconds.
_CHALLENGE_AFTER_S = 3.0
# After so many settling times a service is founded without those missing.
_FOUND_ANYHOW = 2.0


class EpochIntent(msgspec.Struct, frozen=True):
    """A new epoch that is wanted.

    Attributes:
        witnesses: The new epoch's witnesses.
        reason: The cause, for the log.
    """

    witnesses: tuple[str, ...]
    reason: str


class SlotRelease(msgspec.Struct, frozen=True):
    """Moves whose slots the target is releasing, or has released.

    Attributes:
        moves: The moves.
        handovers: What it said to tell each run's next target; None until
            it has released all of them.
    """

    moves: tuple[placement.Move, ...]
    handovers: dict[slots.SlotRange, str] | None = None

    def handover(self, slot: int) -> str:
        """Returns what to tell a slot's next target, or ""."""
        for run, text in (self.handovers or {}).items():
            if run.first <= slot <= run.last:
                return text
        return ""


class EpochWrite(msgspec.Struct, frozen=True):
    """A new epoch that is ready to be written, and the moves in it."""

    change: changes.Change
    moves: tuple[placement.Move, ...]


def decide(
    situation: plannerinputs.PlannerInputs, change: str
) -> changes.Change | EpochIntent | None:
    """Returns the change that is due, an intent, or None.

    Args:
        situation: What is known.
        change: A fresh id for the write.
    """
    if not situation.view.is_read:
        return None
    for step in (
        _join,
        _flag,
        _answer,
        _claim,
        _vouch,
        _found,
        _leave,
        _condemn,
        _challenge,
        _intent,
    ):
        decided = step(situation, change)
        if decided is not None:
            return decided
    return None


def _join(
    situation: plannerinputs.PlannerInputs, change: str
) -> changes.Change | None:
    if situation.mine is not None or situation.draining:
        return None
    settings = situation.settings
    linger = 0.0 if situation.checks_grants else settings.linger
    record = records.LeaseRecord(
        service=settings.service,
        daemon=settings.daemon,
        incarnation=situation.incarnation,
        data_centre=settings.data_centre,
        peer_address=settings.peer_address,
        http_address=settings.http_address,
        lease_ms=round(settings.lease * 1000),
        linger_ms=round(linger * 1000),
        accepting=situation.accepting,
    )
    builder = changes.Builder(situation.view, change)
    builder.put(record)
    return builder.build(changes.ChangeKind.JOIN, "started")


def _flag(
    situation: plannerinputs.PlannerInputs, change: str
) -> changes.Change | None:
    mine = situation.mine
    if mine is None:
        return None
    flagged = msgspec.structs.replace(
        mine, accepting=situation.accepting, leaving=situation.draining
    )
    if flagged == mine:
        return None
    builder = changes.Builder(situation.view, change)
    builder.put(flagged)
    reason = "accepting" if situation.accepting else "not-accepting"
    return builder.build(changes.ChangeKind.UPDATE_FLAGS, reason)


def _claim(
    situation: plannerinputs.PlannerInputs, change: str
) -> changes.Change | None:
    mine = situation.mine
    if mine is None or not situation.lease_valid:
        return None
    gains = [
        changes.SlotClaim(record, fences)
        for record in situation.view.leases()
        if (fences := _claimable(situation, record)) is not None
    ]
    if not gains:
        return None
    return changes.claim(situation.view, mine, gains, change)


def _claimable(
    situation: plannerinputs.PlannerInputs, record: records.LeaseRecord
) -> dict[int, int] | None:
    """Returns new fences of what may be taken; None leaves it alone."""
    over = any(
        attempt.done
        and attempt.record.incarnation == record.incarnation
        and attempt.record.epoch == record.epoch
        for attempt in situation.takeovers
    )
    if record.is_open and not over:
        return None
    holdings = slots.expand(record.runs)
    fences = {
        slot: held.fence + 1
        for slot, held in holdings.items()
        if held.successor == situation.incarnation
    }
    if not record.is_open:
        if record.service == situation.settings.service:
            fences.update(_stranded(situation, record))
        return fences or None
    return fences


def _stranded(
    situation: plannerinputs.PlannerInputs,
    record: records.LeaseRecord,
) -> dict[int, int]:
    """Returns slots of a closed record whose successor is over as well.

    The successor may have served under the next fence, unseen by the table,
    so one fence is left out. The daemon that owned them takes them again, if
    it has been started anew: its target has served their keys.
    """
    view = situation.view
    if view.cursor < view.revision(record.key):
        # The successor's record may not have been read yet.
        return {}
    members = [m for m in view.members(record.service) if m.can_own]
    again = [m.incarnation for m in members if m.daemon == record.daemon]
    heirs = again or [member.incarnation for member in members]
    fences = {}
    for run in record.runs:
        successor = view.lease(run.successor)
        if successor is not None and successor.is_open:
            continue
        if (
            placement.choose_by_rendezvous(run.first, heirs)
            == situation.incarnation
        ):
            for slot in range(run.first, run.last + 1):
                fences[slot] = run.fence + 2
    return fences


def _vouch(
    situation: plannerinputs.PlannerInputs, change: str
) -> changes.Change | None:
    """Closes records of earlier incarnations at this daemon's own address.

    Only one process can be bound to an address, so the earlier one is gone;
    what it handed over last is over after a lease and its linger. Where this
    process itself was the earlier one, it knows when that is.
    """
    settings = situation.settings
    waited = situation.age >= plannerinputs.vouch_after(settings)
    earlier = [
        record
        for record in situation.view.leases()
        if record.is_open
        and record.peer_address == settings.peer_address
        and record.incarnation != situation.incarnation
        and (waited or record.incarnation in situation.over)
    ]
    if not earlier:
        return None
    builder = changes.Builder(situation.view, change)
    for record in earlier:
        builder.close(record, slots.expand(record.runs))
    return builder.build(
        changes.ChangeKind.CLOSE_GONE, "earlier-incarnation-gone"
    )


def _answer(
    situation: plannerinputs.PlannerInputs, change: str
) -> changes.Change | None:
    """Shows that this incarnation lives, where another asked for it."""
    if situation.incarnation not in situation.view.challenges():
        return None
    builder = changes.Builder(situation.view, change)
    builder.end_challenge(situation.incarnation)
    return builder.build(changes.ChangeKind.ANSWER_CHALLENGE, "challenged")


def _challenge(
    situation: plannerinputs.PlannerInputs, change: str
) -> changes.Change | None:
    """Asks an owner to show that it lives, if nobody here hears it.

    By now its witnesses would have ended its epoch, if most of them lived.
    """
    if not situation.settings.anchor or not situation.table_ok:
        return None
    view = situation.view
    for record in view.leases():
        silent = situation.silent_for.get(record.incarnation, 0.0)
        if (
            record.is_open
            and silent > _CHALLENGE_AFTER_S
            and record.incarnation not in view.challenges()
            and _is_nearest(situation, record.incarnation)
        ):
            builder = changes.Builder(view, change)
            builder.challenge(record, situation.incarnation)
            return builder.build(changes.ChangeKind.CHALLENGE, "not-heard")
    return None


def _condemn(
    situation: plannerinputs.PlannerInputs, change: str
) -> changes.Change | None:
    """Closes a record whose challenge has stood unanswered for long enough."""
    view = situation.view
    limit = effects.challenge_timeout(situation.settings)
    for name, challenge in view.challenges().items():
        if not _is_nearest(situation, name):
            continue
        record = view.lease(name)
        builder = changes.Builder(view, change)
        builder.end_challenge(name)
        if record is None or not record.is_open:
            return builder.build(
                changes.ChangeKind.CLOSE_UNANSWERED, "is-over-already"
            )
        waited = situation.challenged_for.get(name, 0.0)
        if record.epoch == challenge.epoch and waited > limit:
            builder.close(record, slots.expand(record.runs))
            return builder.build(
                changes.ChangeKind.CLOSE_UNANSWERED, "not-answered"
            )
    return None


def _is_nearest(situation: plannerinputs.PlannerInputs, item: str) -> bool:
    """Returns whether a task that one daemon should do falls to this one."""
    heard = [
        record.incarnation
        for record in situation.view.members()
        if situation.is_reachable(record.incarnation)
    ]
    return placement.choose_by_rendezvous(item, heard) == situation.incarnation


def _found(
    situation: plannerinputs.PlannerInputs, change: str
) -> changes.Change | None:
    mine = situation.mine
    settings = situation.settings
    if (
        mine is None
        or not situation.keyed
        or situation.age < settings.settle
        or not situation.lease_valid
        or not situation.accepting
        or situation.view.service_record(settings.service) is not None
    ):
        return None
    if settings.ordered_keys and not _founds(situation, mine):
        return None
    return changes.create_service(
        situation.view, mine, settings.slot_count, change, settings.ordered_keys
    )


def _founds(
    situation: plannerinputs.PlannerInputs, mine: records.LeaseRecord
) -> bool:
    """Returns whether it is this member's turn to found the service.

    The others wait, so that not all of them write at the same time.
    """
    members = situation.view.members(mine.service)
    if any(not record.can_own for record in members):
        return situation.age > _FOUND_ANYHOW * situation.settings.settle
    first = min(record.incarnation for record in members)
    return (
        first == mine.incarnation
        or situation.age > _FOUND_ANYHOW * situation.settings.settle
    )


def _leave(
    situation: plannerinputs.PlannerInputs, change: str
) -> changes.Change | None:
    mine = situation.mine
    if (
        mine is None
        or not situation.draining
        or mine.runs
        or situation.unrecorded
        or _is_witness(situation)
    ):
        return None
    builder = changes.Builder(situation.view, change)
    builder.close(mine, {})
    return builder.build(changes.ChangeKind.LEAVE, "drained")


def _is_witness(situation: plannerinputs.PlannerInputs) -> bool:
    return any(
        situation.incarnation in record.witnesses
        for record in situation.view.members()
    )


def _intent(
    situation: plannerinputs.PlannerInputs, change: str
) -> EpochIntent | None:
    del change
    mine = situation.mine
    if mine is None or not situation.table_ok:
        return None
    witnesses = _witnesses(situation, mine)
    reason = None
    if witnesses != mine.witnesses:
        reason = "witnesses"
    elif _successors_stale(situation, mine):
        reason = "successors"
    elif _moves(situation):
        reason = "moves"
    return EpochIntent(witnesses, reason) if reason else None


def _witnesses(
    situation: plannerinputs.PlannerInputs, mine: records.LeaseRecord
) -> tuple[str, ...]:
    unresponsive = plannerinputs.unresponsive(situation)
    chosen = placement.choose_witnesses(
        mine,
        situation.view.members(),
        situation.settings.witnesses,
        lambda name: name in unresponsive or not situation.is_reachable(name),
    )
    # A lease with a majority of what is left is better than none.
    return chosen or mine.witnesses


def _successors_stale(
    situation: plannerinputs.PlannerInputs, mine: records.LeaseRecord
) -> bool:
    holdings = slots.expand(mine.runs)
    members = situation.view.members(mine.service)
    wanted = placement.choose_successors(mine, holdings, members)
    return any(
        held.successor != holdings[slot].successor and held.successor
        for slot, held in wanted.items()
    )


def placement_members(
    view: records.TableView, service: str, loads: dict[str, float]
) -> list[placement.Member]:
    """Returns a service's daemons with their weights, slots and loads."""
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
        )
        for record in view.members(service)
    ]


def _moves(
    situation: plannerinputs.PlannerInputs,
) -> tuple[placement.Move, ...]:
    """Returns the moves that this daemon should make now."""
    view = situation.view
    service = situation.settings.service
    service_record = view.service_record(service)
    if not situation.keyed or service_record is None or situation.unrecorded:
        return ()
    unclaimed = any(
        record.runs and not record.is_open and record.service == service
        for record in view.leases()
    )
    if unclaimed:
        # Claims come first: they may bring the quotas about by themselves.
        return ()
    mine = situation.mine
    policy = view.policy(service, mine.data_centre)
    present = placement_members(view, service, situation.loads)
    empty = any(member.weight and not member.owned for member in present)
    if situation.has_low_load and situation.accepting and not empty:
        return ()
    planned = placement.plan_moves(
        service_record.slots,
        present,
        situation.rates,
        max(policy.tolerance, situation.settings.min_tolerance) / 100,
        situation.settings.load_half_life,
        placement.plan_block_moves
        if situation.settings.ordered_keys
        else placement.plan_slot_moves,
    )
    own = [
        move
        for move in planned
        if move.source == situation.incarnation
        and not situation.is_pinned(move.slot)
    ]
    most = situation.settings.batch
    if situation.accepting:
        most = min(most, situation.most_moves)
    return tuple(own[:most])


def plan_epoch_write(
    intent: EpochIntent,
    situation: plannerinputs.PlannerInputs,
    change: str,
    hand_off: SlotRelease | None = None,
) -> EpochWrite | None:
    """Returns the write that begins the next epoch, or None.

    The moves are chosen now rather than with the intent, so that none of
    their slots has a request in progress.

    Args:
        intent: The epoch wanted.
        situation: What is known.
        change: A fresh id for the write.
        hand_off: Moves that were chosen before, with what the target said
            when it released their slots.
    """
    mine = situation.mine
    if mine is None:
        return None
    if hand_off is None:
        hand_off = SlotRelease(_moves(situation))
    moves = hand_off.moves
    if intent.reason == "moves" and not moves:
        return None
    target = msgspec.structs.replace(
        mine, epoch=mine.epoch + 1, witnesses=intent.witnesses
    )
    reason = intent.reason
    if moves and reason != "moves":
        reason += "+moves"
    return EpochWrite(
        changes.reconfigure(
            situation.view, target, moves, change, reason, hand_off.handover
        ),
        moves,
    )
