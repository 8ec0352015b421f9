"""All that a decision about the table rests on."""

from collections.abc import Callable

import msgspec

from tamarackgap import types
from tamarackgap.ownership import effects, lease, takeover
from tamarackgap.placement import records

_SILENT_LEASES = 2.0


class InputsSignature(msgspec.Struct, frozen=True):
    """The part of a situation that changes seldom.

    Attributes:
        view: Version of the rows known here.
        accepting: Whether the daemon takes more slots.
        lease_valid: Whether the lease holds.
        table_ok: Whether the table answered lately.
        done: Number of epochs that were ended here.
        unrecorded: Number of slots that the table does not show yet.
        unresponsive: Witnesses that do not answer or renew no more.
        has_low_load: Whether the target has little to do.
        over: Earlier incarnations of this process that are over.
        waited: Whether what an earlier process at this address handed over
            is over.
    """

    view: int
    accepting: bool
    lease_valid: bool
    table_ok: bool
    done: int
    unrecorded: int
    unresponsive: frozenset[str]
    has_low_load: bool
    over: frozenset[str]
    waited: bool


class PlannerInputs(msgspec.Struct, frozen=True):
    """All that a decision rests on.

    Attributes:
        view: Rows of the table known here.
        settings: What the daemon is told about itself.
        incarnation: This process start's id.
        accepting: Whether the daemon takes more slots.
        checks_grants: Whether the target stops by itself at a lease's end.
        draining: Whether it gives its slots away to leave.
        table_ok: Whether the table answered lately.
        lease_valid: Whether the lease holds now.
        grants: Grants of the current epoch.
        takeovers: Attempts to end other daemons' epochs.
        unrecorded: Fences of the slots that the table does not show yet.
        is_pinned: Tells whether requests of a slot are in progress.
        rates: Requests a second of each slot served here.
        loads: Requests a second of each member of which it is known.
        most_moves: Most slots that may be given away now.
        age: Seconds since the incarnation began.
        now: Monotonic time, seconds.
        keyed: Whether the service's keys have owners at all.
        has_low_load: Whether the target has so little load that its
            slots need not move.
        is_reachable: Tells whether an incarnation has been heard lately.
        silent_for: Seconds since each incarnation that is not heard was
            first missed.
        challenged_for: Seconds since each challenge was first seen here.
        over: Earlier incarnations of this process whose leases have ended.
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
    most_moves: int
    age: float
    now: float
    keyed: bool = True
    has_low_load: bool = False
    is_reachable: Callable[[str], bool] = lambda name: True
    silent_for: dict[str, float] = {}
    challenged_for: dict[str, float] = {}
    over: frozenset[str] = frozenset()

    def signature(self) -> InputsSignature:
        """Returns what has to change before another decision is due."""
        done = sum(attempt.done for attempt in self.takeovers)
        return InputsSignature(
            self.view.version,
            self.accepting,
            self.lease_valid,
            self.table_ok,
            done,
            len(self.unrecorded),
            frozenset(unresponsive(self)),
            self.has_low_load,
            self.over,
            self.age >= vouch_after(self.settings),
        )

    @property
    def mine(self) -> records.LeaseRecord | None:
        """This incarnation's record."""
        return self.view.lease(self.incarnation)


def vouch_after(settings: effects.Settings) -> float:
    """Returns when an earlier process's lease is over, seconds from a start.

    What it handed over last ends with its lease and linger.
    """
    return settings.lease * (1 + settings.drift) + settings.linger


def unresponsive(situation: PlannerInputs) -> set[str]:
    """Returns the witnesses that do not answer or renew no more."""
    grants = situation.grants
    return grants.refusing_witnesses() | grants.silent_witnesses(
        types.Seconds(situation.now),
        types.Seconds(situation.settings.lease * _SILENT_LEASES),
    )
