"""Compares the ownership protocol with two simpler designs, in simulations.

In the first baseline, each daemon renews its lease directly in the table. In
the second, one grantor per data centre holds a lease in the table and grants
leases to the other daemons there. The baselines model only what their costs
depend on.
"""

import msgspec

from bench import report
from tests.support import simulation

_LEASE_S = 0.6
_RENEWAL_INTERVAL_S = _LEASE_S / 4
_STEADY_PERIOD_S = 20.0
_LOSS_PERIOD_S = 6.0
_CLOCK_STEP_S = 0.005
_BALANCE_TIMEOUT_S = 20.0
_DAEMON_COUNT = 12
_DATA_CENTRES = ("a", "b", "c")


class Member(msgspec.Struct):
    """A daemon of a baseline.

    Attributes:
        data_centre: Data centre that it is in.
        up: Whether it is running.
        lease_until: Simulated time when its lease expires, seconds.
        renew_at: Simulated time of its next renewal, seconds.
    """

    data_centre: str
    up: bool = True
    lease_until: float = _LEASE_S
    renew_at: float = 0.0


class Outcome(msgspec.Struct, frozen=True):
    """Costs of a design, and its behaviour when a daemon is lost.

    Attributes:
        writes_per_s: Table writes per second while nothing changes.
        unserved_s: Longest time for which a slot of the lost daemon is not
            served, seconds; None if it is not served again in the simulation.
        bystander_share: Share of the other daemons that lose their leases.
    """

    writes_per_s: float
    unserved_s: float | None
    bystander_share: float


class Baseline:
    """Simulates a baseline design."""

    def __init__(self, grantors: bool) -> None:
        """Creates twelve members in three data centres.

        Args:
            grantors: Whether members get leases from the grantor of their data
                centre, not from the table.
        """
        self._grantors = grantors
        self.members = [
            Member(
                _DATA_CENTRES[index % 3],
                renew_at=index * _RENEWAL_INTERVAL_S / _DAEMON_COUNT,
            )
            for index in range(_DAEMON_COUNT)
        ]
        self.table_up = True
        self.writes = 0
        self.now = 0.0

    def _grantor(self, data_centre: str) -> Member | None:
        """Returns the grantor of a data centre, or None if there is none.

        It is the first member that is up. A lost grantor is replaced when its
        lease has expired, and only while the table is up.
        """
        for member in self.members:
            if member.data_centre == data_centre:
                if member.up:
                    return member
                if member.lease_until > self.now or not self.table_up:
                    return None
        return None

    def run(self, seconds: float) -> None:
        """Advances the clock; members renew their leases when it is time."""
        end = self.now + seconds
        while self.now < end:
            self.now += _CLOCK_STEP_S
            for member in self.members:
                if member.up and self.now >= member.renew_at:
                    member.renew_at = self.now + _RENEWAL_INTERVAL_S
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
        """Returns the share of running members without a valid lease."""
        up_members = [member for member in self.members if member.up]
        without_lease = [
            member for member in up_members if member.lease_until <= self.now
        ]
        return len(without_lease) / len(up_members)


def _measure_baseline(grantors: bool, table_up: bool) -> Outcome:
    design = Baseline(grantors)
    design.run(1.0)
    writes = design.writes
    design.run(_STEADY_PERIOD_S)
    writes_per_s = (design.writes - writes) / _STEADY_PERIOD_S
    victim = design.members[0]
    design.table_up = table_up
    victim.up = False
    lost_at = design.now
    design.run(_LOSS_PERIOD_S)
    # Another daemon takes the slots by a write to the table, so they are
    # not served again while the table is down.
    unserved_s = victim.lease_until - lost_at if table_up else None
    return Outcome(writes_per_s, unserved_s, design.share_without_lease())


def _measure_tamarackgap(table_up: bool) -> Outcome:
    simulated = simulation.Simulation(seed=3, lease=_LEASE_S)
    simulated.deploy(_DAEMON_COUNT)
    if simulated.run(_BALANCE_TIMEOUT_S, simulated.is_balanced) is None:
        raise RuntimeError("the simulated daemons did not get balanced slots")
    simulated.run(2.0)
    writes = simulated.table.writes
    simulated.run(_STEADY_PERIOD_S)
    writes_per_s = (simulated.table.writes - writes) / _STEADY_PERIOD_S
    simulated.table_up = table_up
    simulated.run(0.5)
    simulated.longest_gap.clear()
    simulated.log.clear()
    simulated.kill("seats-1")
    simulated.run(_LOSS_PERIOD_S)
    unserved_s = (
        max(simulated.longest_gap.values())
        if simulated.all_slots_served()
        else None
    )
    bystander_share = len(simulated.events("lease_lost")) / (_DAEMON_COUNT - 1)
    return Outcome(writes_per_s, unserved_s, bystander_share)


def run(quick: bool) -> None:
    """Simulates the loss of a daemon under each design.

    Each loss is simulated with the table up and with the table down.
    """
    del quick
    rows = []
    for table_up in (True, False):
        for name, outcome, growth in (
            (
                "witnessed leases",
                _measure_tamarackgap(table_up),
                1800 / _DAEMON_COUNT,
            ),
            (
                "leases in the table",
                _measure_baseline(False, table_up),
                1800 / _DAEMON_COUNT,
            ),
            # Writes grow with the number of data centres, which is four
            # for 1800 daemons.
            (
                "a grantor per centre",
                _measure_baseline(True, table_up),
                4 / len(_DATA_CENTRES),
            ),
        ):
            unserved_s = outcome.unserved_s
            rows.append(
                {
                    "design": name,
                    "table": "up" if table_up else "down",
                    "writes_per_s": round(outcome.writes_per_s, 1),
                    "at_1800_daemons": round(outcome.writes_per_s * growth),
                    "unserved_s": (
                        "all of it"
                        if unserved_s is None
                        else round(unserved_s, 2)
                    ),
                    "bystanders_without_lease": round(
                        outcome.bystander_share, 2
                    ),
                }
            )
    report.show("baselines", rows)
