"""Builds the table transactions of the ownership protocol, without I/O."""

import enum
from collections.abc import Callable, Iterable

import msgspec

from tamarackgap import types
from tamarackgap.placement import placement, records, slots

# Largest number of records in a change: each is a check and a write, and the
# platform's store takes 100 entries in a transaction.
MAX_RECORDS = 48


class ChangeKind(enum.Enum):
    """What a transaction is for."""

    # Creates this daemon's record.
    JOIN = "join"
    # Records in a new era of the table what this daemon owns.
    CARRY = "carry"
    # Records in a new era which slots belong to nobody.
    SETTLE_ERA = "settle"
    # Updates the flags of this daemon's record.
    UPDATE_FLAGS = "flag"
    # Closes the records of incarnations that are known to be gone.
    CLOSE_GONE = "vouch"
    # Allocates the slots of a new service.
    CREATE_SERVICE = "found"
    # Takes slots from records whose epochs have ended.
    CLAIM = "claim"
    # Begins a new epoch, and may move slots.
    RECONFIGURE = "reconfigure"
    # Deletes this daemon's record.
    LEAVE = "leave"
    # Asks an unreachable owner to show that it is running.
    CHALLENGE = "challenge"
    # Deletes the challenge to this daemon's incarnation.
    ANSWER_CHALLENGE = "answer"
    # Ends a challenge, and closes the record if it was not answered in time.
    CLOSE_UNANSWERED = "condemn"


class Change(msgspec.Struct, frozen=True):
    """A transaction and its purpose.

    Attributes:
        kind: What it is for.
        transaction: Its checks and writes.
        reason: The cause, for the log.
        inputs: The figures on which it was decided, for the log.
    """

    kind: ChangeKind
    transaction: records.Transaction
    reason: str
    inputs: dict[str, int] = {}


class SlotClaim(msgspec.Struct, frozen=True):
    """Slots to take from another incarnation's record.

    Attributes:
        record: That record.
        fences: The new fence of each slot.
    """

    record: records.LeaseRecord
    fences: dict[int, int]


class Builder:
    """Collects the checks and writes of one transaction."""

    def __init__(self, view: records.TableView, change_id: str) -> None:
        """Creates an empty transaction.

        Args:
            view: The copy of the table whose revisions are checked.
            change_id: A fresh id, written into each row.
        """
        self._view = view
        self._change_id = change_id
        self._checks: dict[str, records.Check] = {}
        self._writes: dict[str, records.Write] = {}

    def check(self, key: str) -> None:
        """Adds the condition that a row has not changed."""
        self._checks[key] = self._view.check(key)

    def put_record(self, record: records.LeaseRecord) -> None:
        """Writes a lease record, on condition that it has not changed."""
        self.check(record.key)
        marked = msgspec.structs.replace(record, change=self._change_id)
        self._writes[record.key] = records.Write(
            record.key, records.encode(marked)
        )

    def close_record(
        self,
        record: records.LeaseRecord,
        left: dict[types.Slot, slots.SlotAssignment],
    ) -> None:
        """Closes a lease record, or deletes it if no slots are left in it.

        A record of an earlier era is kept without slots, so that its owner's
        own late write can't be committed. What is known of its other slots may
        have changed since.

        Args:
            record: The record.
            left: The slots that stay in it until they are claimed.
        """
        if not self._view.is_current(record.key):
            self.put_record(
                msgspec.structs.replace(
                    record, state=types.RecordState.CLOSED, runs=()
                )
            )
            return
        if left:
            closed = msgspec.structs.replace(
                record,
                state=types.RecordState.CLOSED,
                runs=slots.compress(left),
            )
            self.put_record(closed)
            return
        self.check(record.key)
        self._writes[record.key] = records.Write(record.key, None)

    def put_service_record(
        self,
        service: str,
        slot_count: int,
        allocated: int,
        phase: types.EraPhase = types.EraPhase.SETTLED,
    ) -> None:
        """Writes a service record, on condition that it has not changed."""
        key = records.service_key(service)
        self.check(key)
        row = records.ServiceRecord(
            slot_count,
            self._change_id,
            allocated if allocated < slot_count else None,
            phase,
        )
        self._writes[key] = records.Write(key, records.encode(row))

    def challenge(self, record: records.LeaseRecord, by: str) -> None:
        """Challenges a record's incarnation to show that it is running.

        Args:
            record: The record.
            by: The incarnation that asks.
        """
        self.check(record.key)
        key = records.challenge_key(record.incarnation)
        self.check(key)
        row = records.Challenge(
            record.epoch, types.Incarnation(by), self._change_id
        )
        self._writes[key] = records.Write(key, records.encode(row))

    def end_challenge(self, incarnation: str) -> None:
        """Deletes the challenge to an incarnation."""
        key = records.challenge_key(incarnation)
        self.check(key)
        self._writes[key] = records.Write(key, None)

    def build(self, kind: ChangeKind, reason: str, **inputs: int) -> Change:
        """Returns the finished change.

        Args:
            kind: What it is for.
            reason: The cause, for the log.
            **inputs: The figures on which it was decided, for the log.
        """
        transaction = records.Transaction(
            self._change_id,
            tuple(self._checks.values()),
            tuple(self._writes.values()),
            self._view.era,
        )
        return Change(kind, transaction, reason, inputs)


def with_assignments(
    record: records.LeaseRecord,
    assignments: dict[types.Slot, slots.SlotAssignment],
    members: Iterable[records.LeaseRecord],
) -> records.LeaseRecord:
    """Returns a record with these slots, each with a successor.

    Args:
        record: The record to change.
        assignments: The slots that it owns.
        members: Open records among which successors are chosen.
    """
    with_successors = placement.choose_successors(record, assignments, members)
    return msgspec.structs.replace(record, runs=slots.compress(with_successors))


def create_service(
    view: records.TableView,
    own_record: records.LeaseRecord,
    slot_count: int,
    change_id: str,
    in_ranges: bool = False,
    fence: int = 1,
) -> Change:
    """Returns the change that gives the slots of a new service to owners.

    Args:
        view: This daemon's copy of the table.
        own_record: The record of the daemon that creates the service.
        slot_count: Number of slots.
        change_id: The id of the write.
        in_ranges: Whether each member gets an equal slot range, as far as one
            transaction can hold their records (`continue_creation` gives the
            other members theirs); otherwise this daemon gets all slots, and
            moves them to others later.
        fence: Fence of all slots.
    """
    builder = Builder(view, change_id)
    members = view.open_records(own_record.service)
    allocated = slot_count
    if in_ranges:
        allocated = _allocate_ranges(
            builder, view, own_record, 0, slot_count, fence
        )
    else:
        assignments = {
            types.Slot(slot): slots.SlotAssignment(fence)
            for slot in range(slot_count)
        }
        builder.put_record(with_assignments(own_record, assignments, members))
    builder.put_service_record(own_record.service, slot_count, allocated)
    return builder.build(
        ChangeKind.CREATE_SERVICE,
        "no-slots-given-out-yet",
        slots=slot_count,
        members=len(members),
    )


def continue_creation(
    view: records.TableView,
    own_record: records.LeaseRecord,
    service_record: records.ServiceRecord,
    change_id: str,
    fence: int = 1,
) -> Change:
    """Returns the change that gives further slots of a new service to owners.

    The service's record tells which slots nobody has had yet. The change
    depends on that record, so no slot can be given away twice.

    Args:
        view: This daemon's copy of the table.
        own_record: This daemon's record.
        service_record: The service's record.
        change_id: The id of the write.
        fence: Fence of these slots.
    """
    builder = Builder(view, change_id)
    slot_count = service_record.slots
    allocated = _allocate_ranges(
        builder,
        view,
        own_record,
        slot_count - service_record.unallocated,
        slot_count,
        fence,
    )
    builder.put_service_record(own_record.service, slot_count, allocated)
    return builder.build(
        ChangeKind.CREATE_SERVICE, "slots-not-given-out-yet", slots=slot_count
    )


def _allocate_ranges(
    builder: Builder,
    view: records.TableView,
    own_record: records.LeaseRecord,
    start: int,
    end: int,
    fence: int,
) -> int:
    """Gives slots in ranges of equal length to members without slots.

    Args:
        builder: Gets the writes.
        view: This daemon's copy of the table.
        own_record: The record of this daemon, which gets the slots if no
            member can own any.
        start: The first slot.
        end: The slot after the last one.
        fence: Fence of these slots.

    Returns:
        The first slot that is left for another change, or `end`.
    """
    members = view.current_members(own_record.service)
    able = [record for record in members if record.can_own] or [own_record]
    owners = [record for record in able if not record.runs] or able
    range_end = start
    # One record is the service's.
    for index, owner in enumerate(owners[: MAX_RECORDS - 1]):
        range_start = range_end
        range_end = start + (end - start) * (index + 1) // len(owners)
        with_successors = placement.choose_successors(
            owner,
            {
                types.Slot(slot): slots.SlotAssignment(fence)
                for slot in range(range_start, range_end)
            },
            members,
        )
        # Successors of the slots owned before must not change within an epoch.
        ranges = slots.compress({**slots.expand(owner.runs), **with_successors})
        builder.put_record(msgspec.structs.replace(owner, runs=ranges))
    return range_end


def claim(
    view: records.TableView,
    own_record: records.LeaseRecord,
    claims: Iterable[SlotClaim],
    change_id: str,
    checked: str | None = None,
) -> Change:
    """Returns the change that takes slots from ended epochs' records.

    It also closes these records, or deletes those without slots left.

    Args:
        view: This daemon's copy of the table.
        own_record: The record of the daemon that takes the slots.
        claims: The slots to take.
        change_id: The id of the write.
        checked: Key of another row that must not have changed, or None.
    """
    builder = Builder(view, change_id)
    if checked is not None:
        builder.check(checked)
    assignments = slots.expand(own_record.runs)
    sources = []
    for slot_claim in claims:
        remaining = slots.expand(slot_claim.record.runs)
        for slot, fence in slot_claim.fences.items():
            remaining.pop(types.Slot(slot), None)
            assignments[types.Slot(slot)] = slots.SlotAssignment(fence)
        builder.close_record(slot_claim.record, remaining)
        sources.append(slot_claim.record.incarnation)
    owned_before = slots.expand(own_record.runs)
    with_successors = placement.choose_successors(
        own_record,
        {
            slot: assignment
            for slot, assignment in assignments.items()
            if slot not in owned_before
        },
        view.open_records(own_record.service),
    )
    # Successors of the slots owned before must not change within an epoch.
    ranges = slots.compress({**owned_before, **with_successors})
    builder.put_record(msgspec.structs.replace(own_record, runs=ranges))
    return builder.build(ChangeKind.CLAIM, "lease-over:" + ",".join(sources))


def reconfigure(
    view: records.TableView,
    new_record: records.LeaseRecord,
    moves: Iterable[placement.Move],
    change_id: str,
    reason: str,
    handover: Callable[[int], str] = lambda slot: "",
) -> Change:
    """Returns the change that begins a new epoch, and moves slots with it.

    Args:
        view: This daemon's copy of the table.
        new_record: The owner's record with its new epoch and witnesses.
        moves: Slots to move to other owners.
        change_id: The id of the write.
        reason: The cause, for the log.
        handover: Returns the text for the next target of a slot.
    """
    builder = Builder(view, change_id)
    assignments = slots.expand(new_record.runs)
    gained: dict[str, dict[types.Slot, slots.SlotAssignment]] = {}
    moves = list(moves)
    # All moved slots get the same fence, so that neighbouring ones stay in
    # one slot range.
    fence = 1 + max(
        (assignments[types.Slot(move.slot)].fence for move in moves), default=0
    )
    for move in moves:
        del assignments[types.Slot(move.slot)]
        moved = gained.setdefault(move.destination, {})
        moved[types.Slot(move.slot)] = slots.SlotAssignment(
            fence, handover=handover(move.slot)
        )
    members = view.open_records(new_record.service)
    builder.put_record(with_assignments(new_record, assignments, members))
    for destination, moved in gained.items():
        record = view.lease(destination)
        if record is None:
            continue
        with_successors = placement.choose_successors(record, moved, members)
        ranges = slots.compress(
            {**slots.expand(record.runs), **with_successors}
        )
        builder.put_record(msgspec.structs.replace(record, runs=ranges))
    return builder.build(ChangeKind.RECONFIGURE, reason)
