"""The data from which the planner decides on changes of the table."""

from collections.abc import Callable

import msgspec

from tamarackgap import types
from tamarackgap.ownership import effects, lease, takeover
from tamarackgap.placement import placement, records

# A witness is replaced if it has not answered for this many lease lengths.
_SILENT_AFTER_LEASES = 2.0


class InputsSignature(msgspec.Struct, frozen=True):
    """The part of the planner's inputs that rarely changes.

    Attributes:
        view: Version of this daemon's copy of the table.
        accepting: Whether the daemon takes more slots.
        lease_valid: Whether the daemon's lease is valid.
        table_ok: Whether the last attempt to read the table succeeded.
        takeovers_ended: Number of other owners' epochs that this daemon knows
            to have ended.
        unrecorded: Number of owned slots not yet recorded in the table.
        unresponsive: Witnesses that do not answer or refuse to renew.
        has_low_load: Whether the target has little load.
        ended: Earlier incarnations of this process that have ended.
        lease_length: Length of the lease in the next epoch, seconds.
        load_measured_at: When the load of a target was measured that has more
            than little of it, seconds; else 0.
        earlier_ended: Earlier processes at this address whose lease, and whose
            requests at the target, have ended.
    """

    view: int
    accepting: bool
    lease_valid: bool
    table_ok: bool
    takeovers_ended: int
    unrecorded: int
    unresponsive: frozenset[str]
    has_low_load: bool
    ended: frozenset[str]
    lease_length: float
    load_measured_at: float
    earlier_ended: frozenset[str]


class DoubtfulMove(msgspec.Struct, frozen=True):
    """Slots that this daemon has moved by a write that may have been lost.

    Attributes:
        destination: Incarnation that the slots have moved to, if any.
        epoch: Its epoch then. It can give slots away only in a later one.
        fences: Fence of each slot here, by slot.
    """

    destination: types.Incarnation
    epoch: types.Epoch
    fences: dict[types.Slot, int]


class PlannerInputs(msgspec.Struct, frozen=True):
    """Everything that the planner's decision depends on.

    Attributes:
        view: This daemon's copy of the table.
        settings: The daemon's settings.
        incarnation: The daemon's current incarnation.
        accepting: Whether the daemon takes more slots.
        checks_grants: Whether the target itself stops at a lease's end.
        draining: Whether the daemon moves all its slots away to leave.
        table_ok: Whether the last attempt to read the table succeeded.
        lease_valid: Whether the daemon's lease is valid now.
        grants: Grants of the current epoch.
        takeovers: Attempts to end other owners' epochs.
        unrecorded: Fences of owned slots not yet recorded in the table.
        is_pinned: Tells whether a slot must not be moved now.
        rates: Requests per second of each slot served here.
        loads: Requests per second of each member that has reported recently.
        max_moves: Largest number of slots that may be moved away now.
        age: Time since the incarnation began, seconds.
        now: Monotonic time, seconds.
        keyed: Whether the service's keys have owners.
        has_low_load: Whether the target has so little load that its
            slots need not move.
        is_reachable: Returns whether an incarnation has sent a message
            recently.
        unreachable_for: Time for which each incarnation has been unreachable,
            seconds.
        challenged_for: Time for which this daemon has seen each challenge,
            seconds.
        ended: Earlier incarnations of this process that have ended.
        lease_length: Time for which a grant is valid in the next epoch,
            seconds.
        request_amount: Amount as which a typical request is counted in the
            rates.
        speeds: Work a second that the target of each member can do, in the
            unit of the rates, as far as known.
        load_measured_at: When this daemon's load was measured, seconds.
        load_ages: Time since each of these loads was reported, seconds.
        is_target_empty: Whether the target is known to hold no slot, also of
            earlier incarnations.
        earlier_owners_ended: Whether nobody serves what it owned of the service
            here in an earlier era, unless that is recorded in the table's era.
        all_earlier_owners_ended: The same for all services.
        carried: Record to write in the table's era for this daemon, if it has
            none there and has owned slots in an earlier one.
        doubtful_moves: Moves of an earlier era whose outcome is not known.
        former_owners: Incarnation that each unrecorded slot was taken from.
        knows_leavings: Whether the table's era has all leavings of the targets
            beside this daemon that were acknowledged so far.
    """

    view: records.TableView
    settings: effects.Settings
    incarnation: str
    accepting: bool
    checks_grants: bool
    draining: bool
    table_ok: bool
    lease_valid: bool
    grants: lease.EpochGrants
    takeovers: list[takeover.Takeover]
    unrecorded: dict[int, int]
    is_pinned: Callable[[int], bool]
    rates: dict[int, float]
    loads: dict[str, float]
    max_moves: int
    age: float
    now: float
    keyed: bool = True
    has_low_load: bool = False
    is_reachable: Callable[[str], bool] = lambda name: True
    unreachable_for: dict[str, float] = {}
    challenged_for: dict[str, float] = {}
    ended: frozenset[str] = frozenset()
    lease_length: float = 0.6
    is_target_empty: bool = False
    request_amount: float = 1.0
    speeds: dict[str, float] = {}
    load_ages: dict[str, float] = {}
    load_measured_at: float = 0.0
    earlier_owners_ended: bool = True
    all_earlier_owners_ended: bool = True
    carried: records.LeaseRecord | None = None
    doubtful_moves: tuple[DoubtfulMove, ...] = ()
    former_owners: dict[int, str] = {}
    knows_leavings: bool = False

    def signature(self) -> InputsSignature:
        """Returns the inputs whose change makes the planner run again."""
        takeovers_ended = sum(attempt.has_ended for attempt in self.takeovers)
        return InputsSignature(
            self.view.version,
            self.accepting,
            self.lease_valid,
            self.table_ok,
            takeovers_ended,
            len(self.unrecorded),
            frozenset(unresponsive_witnesses(self)),
            self.has_low_load,
            self.ended,
            self.lease_length,
            0.0 if self.has_low_load else self.load_measured_at,
            frozenset(
                record.incarnation
                for record in earlier_records(self)
                if has_ended(self, record)
            ),
        )

    @property
    def own_record(self) -> records.LeaseRecord | None:
        """The current incarnation's lease record, or None."""
        return self.view.lease(self.incarnation)


def earlier_records(inputs: PlannerInputs) -> list[records.LeaseRecord]:
    """Returns the open records of earlier incarnations at the own address."""
    return [
        record
        for record in inputs.view.current_leases()
        if record.is_open
        and record.peer_address == inputs.settings.peer_address
        and record.incarnation != inputs.incarnation
    ]


def has_ended(inputs: PlannerInputs, record: records.LeaseRecord) -> bool:
    """Returns whether an earlier incarnation at the own address has ended.

    Only one process can be bound to an address, so the earlier one is gone.
    Its target serves its slots until the lease ends, unless it is known to hold
    nothing any more, or never had a lease.
    """
    return (
        not (record.witnesses or record.runs)
        or record.incarnation in inputs.ended
        or inputs.is_target_empty
        or inputs.age >= effects.lease_timeout(inputs.settings, record)
    )


def is_responsible(inputs: PlannerInputs, item: str) -> bool:
    """Returns whether this daemon has to do a task that only one should do.

    Each daemon chooses by rendezvous hashing among those it can reach.
    """
    reachable = [
        record.incarnation
        for record in inputs.view.open_records()
        if inputs.is_reachable(record.incarnation)
    ]
    return placement.choose_by_rendezvous(item, reachable) == inputs.incarnation


def unresponsive_witnesses(inputs: PlannerInputs) -> set[str]:
    """Returns the witnesses that do not answer or refuse to renew."""
    grants = inputs.grants
    return grants.refusing_witnesses() | grants.silent_witnesses(
        types.Seconds(inputs.now),
        types.Seconds(inputs.settings.lease * _SILENT_AFTER_LEASES),
    )
