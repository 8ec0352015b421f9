"""Pure functions that build the transactions of the ownership protocol."""

import enum
from collections.abc import Callable, Iterable

import msgspec

from tamarackgap import types
from tamarackgap.placement import placement, records, slots


class ChangeKind(enum.Enum):
    """What a transaction is for."""

    JOIN = "join"
    UPDATE_FLAGS = "flag"
    CLOSE_GONE = "vouch"
    CREATE_SERVICE = "found"
    CLAIM = "claim"
    RECONFIGURE = "reconfigure"
    LEAVE = "leave"
    CHALLENGE = "challenge"
    ANSWER_CHALLENGE = "answer"
    CLOSE_UNANSWERED = "condemn"


class Change(msgspec.Struct, frozen=True):
    """A transaction and what it is for.

    Attributes:
        kind: Its purpose.
        transaction: Checks and writes.
        reason: The cause, for the log.
    """

    kind: ChangeKind
    transaction: records.Transaction
    reason: str


class SlotClaim(msgspec.Struct, frozen=True):
    """Slots to take from another incarnation's record.

    Attributes:
        record: That record.
        fences: Each slot's new fence.
    """

    record: records.LeaseRecord
    fences: dict[int, int]


class Builder:
    """Collects the checks and writes of one transaction."""

    def __init__(self, view: records.TableView, change: str) -> None:
        """Creates an empty transaction on the rows of `view`."""
        self._view = view
        self._change = change
        self._checks: dict[str, records.Check] = {}
        self._writes: dict[str, records.Write] = {}

    def check(self, key: str) -> None:
        """Adds the condition that a row has not changed."""
        self._checks[key] = self._view.check(key)

    def put(self, record: records.LeaseRecord) -> None:
        """Writes a lease record, if it has not changed meanwhile."""
        self.check(record.key)
        marked = msgspec.structs.replace(record, change=self._change)
        self._writes[record.key] = records.Write(
            record.key, records.encode(marked)
        )

    def close(
        self,
        record: records.LeaseRecord,
        left: dict[types.Slot, slots.SlotAssignment],
    ) -> None:
        """Closes a record; one that holds no slots any more is deleted."""
        if left:
            closed = msgspec.structs.replace(
                record,
                state=types.RecordState.CLOSED,
                runs=slots.compress(left),
            )
            self.put(closed)
            return
        self.check(record.key)
        self._writes[record.key] = records.Write(record.key, None)

    def put_service_record(self, service: str, slot_count: int) -> None:
        """Writes a service's founding row, if there is none yet."""
        key = records.service_key(service)
        self.check(key)
        row = records.ServiceRecord(slot_count, self._change)
        self._writes[key] = records.Write(key, records.encode(row))

    def challenge(self, record: records.LeaseRecord, by: str) -> None:
        """Asks a record's incarnation to show that it lives."""
        self.check(record.key)
        key = records.challenge_key(record.incarnation)
        self.check(key)
        row = records.Challenge(
            record.epoch, types.Incarnation(by), self._change
        )
        self._writes[key] = records.Write(key, records.encode(row))

    def end_challenge(self, incarnation: str) -> None:
        """Takes the challenge to an incarnation back."""
        key = records.challenge_key(incarnation)
        self.check(key)
        self._writes[key] = records.Write(key, None)

    def build(self, kind: ChangeKind, reason: str) -> Change:
        """Returns the finished change."""
        transaction = records.Transaction(
            self._change,
            tuple(self._checks.values()),
            tuple(self._writes.values()),
        )
        return Change(kind, transaction, reason)


def with_assignments(
    record: records.LeaseRecord,
    holdings: dict[types.Slot, slots.SlotAssignment],
    members: Iterable[records.LeaseRecord],
) -> records.LeaseRecord:
    """Returns a record with these holdings, each with a successor."""
    placed = placement.choose_successors(record, holdings, members)
    return msgspec.structs.replace(record, runs=slots.compress(placed))


def create_service(
    view: records.TableView,
    mine: records.LeaseRecord,
    slot_count: int,
    change: str,
    share: bool = False,
) -> Change:
    """Gives all slots of a new service out.

    Args:
        view: The rows known here.
        mine: The record of the daemon that founds the service.
        slot_count: Number of slots.
        change: The write's id.
        share: Whether each member gets an equal run; otherwise one daemon
            gets all, and spreads them.
    """
    builder = Builder(view, change)
    builder.put_service_record(mine.service, slot_count)
    if share:
        _share(builder, view, mine, slot_count)
        return builder.build(
            ChangeKind.CREATE_SERVICE, "no-slots-given-out-yet"
        )
    holdings = {
        types.Slot(slot): slots.SlotAssignment(1) for slot in range(slot_count)
    }
    members = view.members(mine.service)
    builder.put(with_assignments(mine, holdings, members))
    return builder.build(ChangeKind.CREATE_SERVICE, "no-slots-given-out-yet")


def _share(
    builder: Builder,
    view: records.TableView,
    mine: records.LeaseRecord,
    slot_count: int,
) -> None:
    members = view.members(mine.service)
    owners = [record for record in members if record.can_own] or [mine]
    for index, owner in enumerate(owners):
        first = slot_count * index // len(owners)
        end = slot_count * (index + 1) // len(owners)
        holdings = {
            types.Slot(slot): slots.SlotAssignment(1)
            for slot in range(first, end)
        }
        builder.put(with_assignments(owner, holdings, members))


def claim(
    view: records.TableView,
    mine: records.LeaseRecord,
    gains: Iterable[SlotClaim],
    change: str,
) -> Change:
    """Takes slots from records whose epochs are over, and closes those."""
    builder = Builder(view, change)
    holdings = slots.expand(mine.runs)
    sources = []
    for gain in gains:
        left = slots.expand(gain.record.runs)
        for slot, fence in gain.fences.items():
            left.pop(types.Slot(slot), None)
            holdings[types.Slot(slot)] = slots.SlotAssignment(fence)
        builder.close(gain.record, left)
        sources.append(gain.record.incarnation)
    kept = slots.expand(mine.runs)
    placed = placement.choose_successors(
        mine,
        {slot: held for slot, held in holdings.items() if slot not in kept},
        view.members(mine.service),
    )
    # Successors of slots held before must not change within an epoch.
    runs = slots.compress({**kept, **placed})
    builder.put(msgspec.structs.replace(mine, runs=runs))
    return builder.build(ChangeKind.CLAIM, "lease-over:" + ",".join(sources))


def reconfigure(
    view: records.TableView,
    target: records.LeaseRecord,
    moves: Iterable[placement.Move],
    change: str,
    reason: str,
    handover: Callable[[int], str] = lambda slot: "",
) -> Change:
    """Begins a new epoch, and hands slots over in the same transaction.

    Args:
        view: The rows known here.
        target: The owner's own record with its new epoch and witnesses.
        moves: Slots to hand over.
        change: The write's id.
        reason: The cause, for the log.
        handover: What to tell the next target of a slot.
    """
    builder = Builder(view, change)
    holdings = slots.expand(target.runs)
    gained: dict[str, dict[types.Slot, slots.SlotAssignment]] = {}
    moves = list(moves)
    # One fence for all that moves keeps neighbouring slots in one run.
    fence = 1 + max(
        (holdings[types.Slot(move.slot)].fence for move in moves), default=0
    )
    for move in moves:
        del holdings[types.Slot(move.slot)]
        taken = gained.setdefault(move.destination, {})
        taken[types.Slot(move.slot)] = slots.SlotAssignment(
            fence, handover=handover(move.slot)
        )
    members = view.members(target.service)
    builder.put(with_assignments(target, holdings, members))
    for destination, taken in gained.items():
        record = view.lease(destination)
        if record is None:
            continue
        placed = placement.choose_successors(record, taken, members)
        runs = slots.compress({**slots.expand(record.runs), **placed})
        builder.put(msgspec.structs.replace(record, runs=runs))
    return builder.build(ChangeKind.RECONFIGURE, reason)
