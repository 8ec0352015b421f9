"""Ownership on a stepped clock: ours beside two simpler designs.

The first baseline renews every daemon's lease straight in the table. In the
second, one grantor per data centre holds a lease in the table and leases to
its members. Both are as small as lets their costs be counted.
"""

import msgspec

from bench import report
from tests.support import simulation

_LEASE_S = 0.6
_RENEW_S = _LEASE_S / 4
_STEADY_S = 20.0
_WATCH_S = 6.0
_STEP_S = 0.005
_SETTLE_S = 20.0
_DAEMONS = 12
_PLACES = ("a", "b", "c")


class Member(msgspec.Struct):
    """A daemon of a baseline.

    Attributes:
        data_centre: Its data centre.
        up: Whether it runs.
        lease_until: End of its lease, seconds.
        renew_at: Time of its next renewal.
    """

    data_centre: str
    up: bool = True
    lease_until: float = _LEASE_S
    renew_at: float = 0.0


class Outcome(msgspec.Struct, frozen=True):
    """What a design costs, and what it does in a loss.

    Attributes:
        writes_per_s: Table writes a second while nothing changes.
        unserved_s: Longest time that a lost daemon's slots are not served;
            None if they are not within the time watched.
        bystander_share: Part of the other daemons that lose their leases.
    """

    writes_per_s: float
    unserved_s: float | None
    bystander_share: float


class Baseline:
    """Members that lease from the table, or from a grantor that does."""

    def __init__(self, grantors: bool) -> None:
        """Creates twelve members in three data centres."""
        self._grantors = grantors
        self.members = [
            Member(_PLACES[index % 3], renew_at=index * _RENEW_S / _DAEMONS)
            for index in range(_DAEMONS)
        ]
        self.table_up = True
        self.writes = 0
        self.now = 0.0

    def _grantor(self, place: str) -> Member | None:
        """Returns a data centre's grantor: its first member in the table."""
        for member in self.members:
            if member.data_centre == place:
                if member.up:
                    return member
                if member.lease_until > self.now or not self.table_up:
                    # Nobody else is elected while it is down.
                    return None
        return None

    def run(self, seconds: float) -> None:
        """Steps the clock; each member renews when it is due."""
        end = self.now + seconds
        while self.now < end:
            self.now += _STEP_S
            for member in self.members:
                if member.up and self.now >= member.renew_at:
                    member.renew_at = self.now + _RENEW_S
                    self._renew(member)

    def _renew(self, member: Member) -> None:
        if not self._grantors or self._grantor(member.data_centre) is member:
            if self.table_up:
                self.writes += 1
                member.lease_until = self.now + _LEASE_S
            return
        grantor = self._grantor(member.data_centre)
        if grantor is not None and grantor.lease_until > self.now:
            member.lease_until = min(self.now + _LEASE_S, grantor.lease_until)

    def share_without_lease(self) -> float:
        """Returns the part of the living members without a lease."""
        alive = [member for member in self.members if member.up]
        lost = [member for member in alive if member.lease_until <= self.now]
        return len(lost) / len(alive)


def _baseline(grantors: bool, table_up: bool) -> Outcome:
    design = Baseline(grantors)
    design.run(1.0)
    writes = design.writes
    design.run(_STEADY_S)
    steady = (design.writes - writes) / _STEADY_S
    victim = design.members[0]
    design.table_up = table_up
    victim.up = False
    lost_at = design.now
    design.run(_WATCH_S)
    # Somebody else can only take the slots by a write to the table.
    unserved = victim.lease_until - lost_at if table_up else None
    return Outcome(steady, unserved, design.share_without_lease())


def _ours(table_up: bool) -> Outcome:
    found = simulation.Simulation(seed=3, lease=_LEASE_S)
    found.deploy(_DAEMONS)
    if found.run(_SETTLE_S, found.is_balanced) is None:
        raise RuntimeError("the world did not settle")
    found.run(2.0)
    writes = found.table.writes
    found.run(_STEADY_S)
    steady = (found.table.writes - writes) / _STEADY_S
    found.table_up = table_up
    found.run(0.5)
    found.longest_gap.clear()
    found.log.clear()
    found.kill("seats-1")
    found.run(_WATCH_S)
    unserved = (
        max(found.longest_gap.values()) if found.all_slots_served() else None
    )
    lost = len(found.events("lease_lost")) / (_DAEMONS - 1)
    return Outcome(steady, unserved, lost)


def run(quick: bool) -> None:
    """Loses a daemon under each design, with the table up and down."""
    del quick
    rows = []
    for table_up in (True, False):
        for name, outcome, growth in (
            ("witnessed leases", _ours(table_up), 1800 / _DAEMONS),
            (
                "leases in the table",
                _baseline(False, table_up),
                1800 / _DAEMONS,
            ),
            # Its writes grow with data centres: four at the target's size.
            (
                "a grantor per centre",
                _baseline(True, table_up),
                4 / len(_PLACES),
            ),
        ):
            unserved = outcome.unserved_s
            rows.append(
                {
                    "design": name,
                    "table": "up" if table_up else "down",
                    "writes_per_s": round(outcome.writes_per_s, 1),
                    "at_1800_daemons": round(outcome.writes_per_s * growth),
                    "unserved_s": (
                        "all of it" if unserved is None else round(unserved, 2)
                    ),
                    "bystanders_without_lease": round(
                        outcome.bystander_share, 2
                    ),
                }
            )
    report.show("baselines", rows)
