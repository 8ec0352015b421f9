"""Decides when a service's slots are first given to owners, and by whom."""

from tamarackgap.ownership import changes, plannerinputs
from tamarackgap.placement import records

# An ordered service is created with at least this many slots for each member,
# as far as the largest number allows.
_MIN_SLOTS_PER_MEMBER = 12
_MAX_SLOTS = 4096
# After this many settle times a daemon creates the service even if members
# can't own slots yet, or another member was to create it.
_MAX_SETTLE_TIMES = 2.0


def create_service(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | None:
    """Returns the change that creates a service without a record, or None."""
    own_record = inputs.own_record
    settings = inputs.settings
    if (
        own_record is None
        or not inputs.keyed
        or inputs.age < _settle_time(inputs)
        or not inputs.lease_valid
        or not inputs.accepting
        or inputs.view.current_service_record(settings.service) is not None
        or not inputs.earlier_owners_ended
    ):
        return None
    if settings.ordered_keys and not _is_creator(inputs, own_record):
        return None
    return changes.create_service(
        inputs.view,
        own_record,
        _slot_count(inputs, own_record),
        change_id,
        settings.ordered_keys,
        inputs.view.first_fence(settings.service),
    )


def _settle_time(inputs: plannerinputs.PlannerInputs) -> float:
    """Returns the age from which on a daemon may create the service, seconds.

    A table that names an era may have come back from a copy that is older than
    all of its rows. Then earlier owners may have ended just before this daemon
    started, and their targets hold their slots for as long as their leases.
    """
    settings = inputs.settings
    if not inputs.view.era:
        return settings.settle
    lease = inputs.lease_length or settings.lease
    return max(settings.settle, lease * (1 + settings.drift) + settings.linger)


def continue_creation(
    inputs: plannerinputs.PlannerInputs, change_id: str
) -> changes.Change | None:
    """Returns the change that gives further slots to owners, or None.

    A large service is created in several changes. The member with the lowest
    incarnation id makes them, also if another one created the service.
    """
    own_record = inputs.own_record
    service_record = inputs.view.current_service_record(inputs.settings.service)
    if (
        own_record is None
        or service_record is None
        or not service_record.unallocated
        or not inputs.keyed
        or not inputs.lease_valid
    ):
        return None
    able = [
        record.incarnation
        for record in inputs.view.current_members(own_record.service)
        if record.can_own
        and (
            record.incarnation == inputs.incarnation
            or inputs.is_reachable(record.incarnation)
        )
    ]
    if not able or min(able) != inputs.incarnation:
        return None
    return changes.continue_creation(
        inputs.view,
        own_record,
        service_record,
        change_id,
        inputs.view.first_fence(own_record.service),
    )


def _slot_count(
    inputs: plannerinputs.PlannerInputs, own_record: records.LeaseRecord
) -> int:
    """Returns the number of slots that a service is created with.

    A few busy keys can be spread over owners only as finely as slots are.
    """
    count = inputs.settings.slot_count
    if inputs.settings.ordered_keys:
        members = len(inputs.view.current_members(own_record.service))
        while count < min(members * _MIN_SLOTS_PER_MEMBER, _MAX_SLOTS):
            count *= 2
    return count


def _is_creator(
    inputs: plannerinputs.PlannerInputs, own_record: records.LeaseRecord
) -> bool:
    """Returns whether this member should create the service now.

    All members wait for those that can't own slots yet. Then the one with
    the lowest incarnation id goes first, so that not all write at once.
    """
    members = inputs.view.current_members(own_record.service)
    if any(not record.can_own for record in members):
        return inputs.age > _MAX_SETTLE_TIMES * inputs.settings.settle
    first = min(record.incarnation for record in members)
    return (
        first == own_record.incarnation
        or inputs.age > _MAX_SETTLE_TIMES * inputs.settings.settle
    )
