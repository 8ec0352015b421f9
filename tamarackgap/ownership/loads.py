"""Exchanges loads between members, and limits how many slots move."""

import random
from collections.abc import Callable

import msgspec

from tamarackgap.ownership import effects
from tamarackgap.peers import messages
from tamarackgap.placement import records

# Each load is reported to a sample of the members, so that the number of
# messages grows with the number of members and not with its square.
_FANOUT = 8
# A load below this is reported even in the warm-up, because its measuring
# error is small too.
_IDLE_RATE_PER_S = 5.0
# A report that is older than this is ignored.
_MAX_AGE_S = 6.0
_SECONDS_PER_MINUTE = 60.0


class _Report(msgspec.Struct, frozen=True):
    """A member's load, as it was reported.

    Attributes:
        rate: Requests per second, or None.
        at: Monotonic time of the report, seconds.
        speed: Work per second that its target can do; 0 if not known.
        revision: Revision of its lease record known here at that time.
    """

    rate: float | None
    at: float
    speed: float
    revision: int


def _no_revision(incarnation: str) -> int:
    del incarnation
    return 0


class MemberLoads:
    """The latest load that each member has reported."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def record(
        self,
        incarnation: str,
        rate: float | None,
        now: float,
        speed: float = 0.0,
        revision: int = 0,
    ) -> None:
        """Records a member's load, unless a later one is known.

        Args:
            incarnation: The member.
            rate: Requests per second that it serves, or None if it can't
                tell because its slots have just changed.
            now: Monotonic time at which it was reported, seconds.
            speed: Work a second that its target can do; 0 if not known.
            revision: Revision of its lease record that is known here.
        """
        known = self._reports.get(incarnation)
        if known is None or known.at <= now:
            self._reports[incarnation] = _Report(rate, now, speed, revision)

    def recent(
        self, now: float, revision_of: Callable[[str], int] = _no_revision
    ) -> dict[str, float]:
        """Returns the loads that are not too old, and drops the others.

        A load is left out if its member's slots have changed since.

        Args:
            now: Monotonic time, seconds.
            revision_of: Returns the revision of an incarnation's lease record
                that is known here.

        Returns:
            Requests per second by incarnation.
        """
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report.at <= _MAX_AGE_S
        }
        return {
            name: report.rate
            for name, report in self._reports.items()
            if report.rate is not None and report.revision == revision_of(name)
        }

    def ages(self, now: float) -> dict[str, float]:
        """Returns the time since each report, seconds."""
        return {name: now - report.at for name, report in self._reports.items()}

    def speeds(self) -> dict[str, float]:
        """Returns the speeds of the targets, as far as they are known."""
        return {
            name: report.speed
            for name, report in self._reports.items()
            if report.speed > 0
        }


class MoveBudget:
    """A token bucket that limits the slots moved away per minute."""

    def __init__(self, slots_per_minute: int, now: float) -> None:
        """Creates a full bucket."""
        self._slots_per_minute = slots_per_minute
        self._tokens = float(slots_per_minute)
        self._refilled_at = now

    def resize(self, slots_per_minute: int, now: float) -> None:
        """Sets how many slots may move per minute."""
        self._refill(now)
        self._slots_per_minute = slots_per_minute
        self._tokens = min(self._tokens, float(slots_per_minute))

    def tokens(self, now: float) -> float:
        """Returns how many slots may move now."""
        self._refill(now)
        return self._tokens

    def spend(self, count: int) -> None:
        """Takes moved slots out of the bucket, which does not go below zero.

        A draining daemon may move more slots than there are tokens.
        """
        self._tokens = max(0.0, self._tokens - count)

    def _refill(self, now: float) -> None:
        gained = (
            (now - self._refilled_at)
            * self._slots_per_minute
            / _SECONDS_PER_MINUTE
        )
        self._tokens = min(float(self._slots_per_minute), self._tokens + gained)
        self._refilled_at = now


class LoadExchange:
    """Reports this daemon's load to other members, and records theirs."""

    def __init__(
        self,
        settings: effects.Settings,
        view: records.TableView,
        outbox: effects.Outbox,
        rng: random.Random,
        now: float,
    ) -> None:
        """Creates an exchange that knows of no loads.

        Args:
            settings: The daemon's settings.
            view: This daemon's copy of the table.
            outbox: Collects the messages to send.
            rng: Chooses the members that get a report.
            now: Monotonic time, seconds.
        """
        self._settings = settings
        self._view = view
        self._outbox = outbox
        self._rng = rng
        self._member_loads = MemberLoads()
        self.move_budget = MoveBudget(records.Policy().moves, now)
        # Requests per second of each slot served here.
        self.slot_loads: dict[int, float] = {}
        # The sum of these, or None right after the slots have changed.
        self.own_load: float | None = None
        self.reported_at = now
        # Amount as which a typical request is counted in them.
        self.request_amount = 1.0
        # Work per second that the target can do; 0 if that is not known.
        self.own_speed = 0.0

    def report(
        self, rates: dict[int, float], now: float, changed_at: float
    ) -> None:
        """Records this daemon's load, and reports it to a sample of members.

        Args:
            rates: Requests per second of each slot.
            now: Monotonic time, seconds.
            changed_at: When slots were last gained or lost, seconds.
        """
        self.slot_loads = rates
        total: float | None = sum(rates.values())
        in_warmup = now - changed_at < self._settings.load_warmup
        if in_warmup and total >= _IDLE_RATE_PER_S:
            # New slots have not been measured for long enough to base
            # further moves on their load.
            total = None
        self.own_load = total
        self.reported_at = now
        own = self._outbox.incarnation
        self.record(own, total, now, self.own_speed)
        service = self._settings.service
        policy = self._view.policy(service, self._settings.data_centre)
        self.move_budget.resize(policy.moves, now)
        others = [
            record
            for record in self._view.open_records(service)
            if record.incarnation != own
        ]
        for record in self._rng.sample(others, min(_FANOUT, len(others))):
            self._outbox.send_to(
                record.peer_address,
                messages.LoadReport(total, self.own_speed),
            )

    def record(
        self,
        incarnation: str,
        rate: float | None,
        reported_at: float,
        speed: float,
    ) -> None:
        """Records the load that a member reports.

        Args:
            incarnation: The member.
            rate: Requests per second, or None if it can't tell.
            reported_at: Monotonic time of the report, seconds.
            speed: Work per second that its target can do; 0 if not known.
        """
        self._member_loads.record(
            incarnation,
            rate,
            reported_at,
            speed,
            self._revision_of(incarnation),
        )

    def recent(self, now: float) -> dict[str, float]:
        """Returns the loads of members whose slots are still the same.

        Returns:
            Requests per second by incarnation.
        """
        return self._member_loads.recent(now, self._revision_of)

    def speeds(self) -> dict[str, float]:
        """Returns the speeds of the members' targets, as far as known."""
        return self._member_loads.speeds()

    def ages(self, now: float) -> dict[str, float]:
        """Returns the time since each member's report, seconds."""
        return self._member_loads.ages(now)

    def _revision_of(self, incarnation: str) -> int:
        return self._view.revision(records.LEASE_PREFIX + incarnation)
