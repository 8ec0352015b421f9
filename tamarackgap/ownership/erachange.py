"""Decides how slots get owners again after the table went back to a copy.

Each owner records what it serves in the table's new era, and goes on serving.
What nobody has recorded is given out anew once all owners of the earlier era
have recorded their slots or have ended: docs/design/store-era.md.
"""

import msgspec

from tamarackgap import types
from tamarackgap.ownership import changes, plannerinputs, takeover
from tamarackgap.placement import placement, records, slots

_CARRYING = types.EraPhase.CARRYING


def needs_carry(inputs: plannerinputs.PlannerInputs) -> bool:
    """Returns whether this daemon's record has to be written in the new era."""
    return inputs.carried is not None


def is_settled(view: records.TableView) -> bool:
    """Returns whether all services' slots are recorded in the table's era."""
    services = [view.current_service_record(name) for name in view.services()]
    return bool(services) and all(
        record is not None and record.phase is types.EraPhase.SETTLED
        for record in services
    )


def carry(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | None:
    """Returns the change that records in the new era what this daemon owns.

    The first owner of a service writes the service's record, too. Without it,
    nobody could tell that there are slots.
    """
    record = inputs.carried
    if not inputs.table_ok or (record.runs and not inputs.lease_valid):
        return None
    view = inputs.view
    builder = changes.Builder(view, change_id)
    builder.put_record(
        msgspec.structs.replace(record, knows_leavings=inputs.knows_leavings)
    )
    if record.runs:
        service_record = view.service_record(record.service)
        if service_record is None:
            return None
        if view.current_service_record(record.service) is not None:
            builder.check(records.service_key(record.service))
        else:
            builder.put_service_record(
                record.service,
                service_record.slots,
                service_record.slots,
                _CARRYING,
            )
    return builder.build(
        changes.ChangeKind.CARRY,
        "era",
        era=view.era,
        slots=len(slots.expand(record.runs)),
    )


def claim(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | None:
    """Returns the change that records slots of owners that have ended.

    Their witnesses have sealed the last epoch, so this holds whatever the
    table has forgotten. Where they had retired it, another epoch may have
    begun: those slots wait until all owners have ended.
    """
    own_record = inputs.own_record
    if own_record is None or not inputs.lease_valid or not _is_carrying(inputs):
        return None
    view = inputs.view
    claims = []
    for attempt in inputs.takeovers:
        record = view.lease(attempt.record.incarnation)
        if (
            not attempt.has_ended
            or attempt.mode() is not takeover.Mode.SEALED
            or record is None
            or not record.is_open
            or view.is_current(record.key)
        ):
            continue
        fences = {
            slot: assignment.fence + 1
            for slot, assignment in slots.expand(record.runs).items()
            if assignment.successor == inputs.incarnation
        }
        claims.append(changes.SlotClaim(record, fences))
    if not claims:
        return None
    return changes.claim(
        view,
        own_record,
        claims[: changes.MAX_RECORDS - 2],
        change_id,
        records.service_key(own_record.service),
    )


def reclaim(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | None:
    """Returns the change that records slots that no other record can have.

    These are the slots of lost moves, and those taken over from an owner whose
    record another successor has closed without knowing of them.
    """
    own_record = inputs.own_record
    if own_record is None or not inputs.lease_valid or not _is_carrying(inputs):
        return None
    view = inputs.view
    taken = _lost_moves(inputs) | _left_out_slots(inputs)
    assignments = slots.expand(own_record.runs)
    taken = {
        slot: assignment
        for slot, assignment in taken.items()
        if slot not in assignments
    }
    if not taken:
        return None
    with_successors = placement.choose_successors(
        own_record, taken, view.open_records(own_record.service)
    )
    builder = changes.Builder(view, change_id)
    builder.check(records.service_key(own_record.service))
    builder.put_record(
        msgspec.structs.replace(
            own_record, runs=slots.compress({**assignments, **with_successors})
        )
    )
    return builder.build(
        changes.ChangeKind.CARRY, "not-recorded", slots=len(taken)
    )


def _lost_moves(
    inputs: plannerinputs.PlannerInputs,
) -> dict[types.Slot, slots.SlotAssignment]:
    """Returns the slots whose moves were lost.

    The destination has recorded its slots without them, in the epoch that it
    had before the move: so it has never owned them.
    """
    view = inputs.view
    lost: dict[types.Slot, slots.SlotAssignment] = {}
    for move in inputs.doubtful_moves:
        record = view.lease(move.destination)
        if (
            record is None
            or not view.is_current(record.key)
            or record.is_bare
            or record.epoch != move.epoch
        ):
            continue
        theirs = slots.expand(record.runs)
        lost.update(
            {
                # The destination's fence would have been the next one.
                slot: slots.SlotAssignment(fence + 2)
                for slot, fence in move.fences.items()
                if slot not in theirs
            }
        )
    return lost


def _left_out_slots(
    inputs: plannerinputs.PlannerInputs,
) -> dict[types.Slot, slots.SlotAssignment]:
    """Returns slots taken over that the closed record does not have."""
    view = inputs.view
    return {
        types.Slot(slot): slots.SlotAssignment(inputs.unrecorded[slot])
        for slot, owner in inputs.former_owners.items()
        if view.is_current(records.lease_key(owner))
        and not view.has_slot(owner, slot)
    }


def settle(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | None:
    """Returns the next change that ends the transition of a service, or None.

    Nobody may record slots any more once the phase is closed. Only then it can
    be told which slots belong to nobody.
    """
    view = inputs.view
    for service in sorted(view.services()):
        service_record = view.current_service_record(service)
        if service_record is None:
            continue
        if service_record.phase is types.EraPhase.SETTLED:
            continue
        if not plannerinputs.is_responsible(inputs, service) and not (
            service == inputs.settings.service and _is_first_member(inputs)
        ):
            continue
        change = _settle(inputs, service, service_record, change_id)
        if change is not None:
            return change
    return None


def _settle(
    inputs: plannerinputs.PlannerInputs,
    service: str,
    service_record: records.ServiceRecord,
    change_id: str,
) -> changes.Change | None:
    view = inputs.view
    recorded: set[types.Slot] = set()
    for record in view.current_leases():
        if record.service == service:
            recorded |= slots.expand(record.runs).keys()
    left = set(range(service_record.slots)) - recorded
    builder = changes.Builder(view, change_id)
    phase = types.EraPhase.SETTLED
    if service_record.phase is _CARRYING and left:
        is_own = service == inputs.settings.service
        if not (
            inputs.earlier_owners_ended
            if is_own
            else inputs.all_earlier_owners_ended
        ):
            return None
        phase = types.EraPhase.CLOSED
    elif left:
        if not _is_all_read(view, service):
            return None
        _put_left_slots(inputs, builder, service, left)
    builder.put_service_record(
        service, service_record.slots, service_record.slots, phase
    )
    return builder.build(
        changes.ChangeKind.SETTLE_ERA, phase.value, slots=len(left)
    )


def _is_first_member(inputs: plannerinputs.PlannerInputs) -> bool:
    """Returns whether this is the first reachable owner of its service."""
    return inputs.incarnation == min(
        (
            record.incarnation
            for record in inputs.view.current_members(inputs.settings.service)
            if record.can_own
            and (
                record.incarnation == inputs.incarnation
                or inputs.is_reachable(record.incarnation)
            )
        ),
        default=None,
    )


def _is_all_read(view: records.TableView, service: str) -> bool:
    """Returns whether the rows known here are those of one moment.

    Of a move whose rows are not all known, a slot would look like nobody's.
    """
    return view.revision(records.service_key(service)) <= view.cursor and all(
        view.revision(record.key) <= view.cursor
        for record in view.current_leases()
    )


def _put_left_slots(
    inputs: plannerinputs.PlannerInputs,
    builder: changes.Builder,
    service: str,
    left: set[int],
) -> None:
    """Writes a closed record from which members claim slots of nobody."""
    view = inputs.view
    fence = view.first_fence(service)
    settings = inputs.settings
    record = records.LeaseRecord(
        service=types.ServiceName(service),
        daemon=types.DaemonName(""),
        incarnation=types.Incarnation(f"nobody-{view.era}-{service}"),
        data_centre=types.DataCentre(settings.data_centre),
        peer_address=settings.peer_address,
        http_address=settings.http_address,
        state=types.RecordState.CLOSED,
        runs=slots.compress(
            {types.Slot(slot): slots.SlotAssignment(fence) for slot in left}
        ),
    )
    builder.put_record(record)


def _is_carrying(inputs: plannerinputs.PlannerInputs) -> bool:
    service_record = inputs.view.current_service_record(inputs.settings.service)
    return service_record is not None and service_record.phase is _CARRYING
