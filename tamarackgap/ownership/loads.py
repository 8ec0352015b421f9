"""Exchanges loads between members, and limits how many slots move."""

import random

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


class MemberLoads:
    """The latest load that each member has reported."""

    def __init__(self) -> None:
        # Requests per second, or None, the time of the report, and the
        # target's speed.
        self._reports: dict[str, tuple[float | None, float, float]] = {}

    def record(
        self,
        incarnation: str,
        rate: float | None,
        now: float,
        speed: float = 0.0,
    ) -> None:
        """Records a member's load, unless a later one is known.

        Args:
            incarnation: The member.
            rate: Requests per second that it serves, or None if it can't
                tell because its slots have just changed.
            now: Monotonic time at which it was reported, seconds.
            speed: Work a second that its target can do; 0 if not known.
        """
        known = self._reports.get(incarnation)
        if known is None or known[1] <= now:
            self._reports[incarnation] = (rate, now, speed)

    def recent(self, now: float) -> dict[str, float]:
        """Returns the loads that are not too old, and drops the others.

        Returns:
            Requests per second by incarnation.
        """
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report[1] <= _MAX_AGE_S
        }
        return {
            name: rate
            for name, (rate, _, _) in self._reports.items()
            if rate is not None
        }

    def ages(self, now: float) -> dict[str, float]:
        """Returns the time since each report, seconds."""
        return {name: now - at for name, (_, at, _) in self._reports.items()}

    def speeds(self) -> dict[str, float]:
        """Returns the speeds of the targets, as far as they are known."""
        return {
            name: speed
            for name, (_, _, speed) in self._reports.items()
            if speed > 0
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
        self.member_loads = MemberLoads()
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
        self.member_loads.record(own, total, now, self.own_speed)
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
