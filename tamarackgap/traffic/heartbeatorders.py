"""Gives orders to the local target with the answers to its heartbeats.

A heartbeat reports the ranges that the target holds or still works on, and
those that it has released. The answer lists all ranges that it is to hold from
then on, so whatever is left out is an order to release.
"""

import functools
from collections.abc import Callable

import msgspec

from tamarackgap import logs
from tamarackgap.network import scheduler
from tamarackgap.traffic import orders

# A target that does not report a range in this many heartbeats after it was
# told to hold it has refused it, or has lost the answers.
_MAX_MISSES = 2
# An answer that arrives later than this is not taken by the target.
_ANSWER_TIMEOUT_S = 1.0
# Hold time in an answer without ranges, seconds; any would do.
_EMPTY_HOLD_S = 1.0


class HeldRange(msgspec.Struct, frozen=True):
    """A range of keys that the target holds or still works on.

    Attributes:
        first: First key position of the range.
        last: Last key position of the range, inclusive.
        fence: Fence of its grant.
    """

    first: int
    last: int
    fence: int


class ReleasedRange(msgspec.Struct, frozen=True):
    """A range of keys that the target has released.

    Attributes:
        first: First key position of the range.
        last: Last key position of the range, inclusive.
        handover: Text for the next holder.
    """

    first: int
    last: int
    handover: str


class HoldReport(msgspec.Struct, frozen=True):
    """What a target says about its keys in a heartbeat.

    Attributes:
        held: Ranges that it holds or still works on.
        released: Ranges that it has released since its last acknowledged
            heartbeat.
    """

    held: tuple[HeldRange, ...] = ()
    released: tuple[ReleasedRange, ...] = ()


class HoldList(msgspec.Struct, frozen=True):
    """Everything that a target is to hold.

    Attributes:
        grants: One grant for each range.
        hold_s: Hold time of all ranges from the sending of the heartbeat that
            is answered, seconds.
    """

    grants: tuple[orders.Grant, ...]
    hold_s: float


class _PendingRelease(msgspec.Struct, eq=False):
    """A release that the target has not confirmed yet.

    Attributes:
        order: The release.
        done: Called with the outcome.
        told: Whether an answer has left the range out since the release began.
        taken_until: Monotonic time up to which an answer may arrive that was
            written before the release began and has not been seen to be taken,
            seconds.
        handover: Text of the largest part that has been reported as released.
        handover_size: Size of that part, key positions.
    """

    order: orders.Release
    done: Callable[[orders.OrderResult], None]
    told: bool = False
    taken_until: float = float("-inf")
    handover: str = ""
    handover_size: int = 0


class HeartbeatOrders:
    """Collects orders, and gives them with the next answer to a heartbeat.

    A grant counts as acknowledged when the answer is written: the target can't
    hold the range longer than the answer says, and a release is confirmed by
    the target's own report.
    """

    def __init__(
        self,
        timers: scheduler.Scheduler,
        heartbeat_interval: float,
        max_ranges: int,
    ) -> None:
        """Creates an instance without orders.

        Args:
            timers: The loop's scheduler.
            heartbeat_interval: Time between two heartbeats, seconds.
            max_ranges: Largest number of ranges in one answer.
        """
        self._timers = timers
        self._heartbeat_interval = heartbeat_interval
        self._max_ranges = max_ranges
        self._releases: list[_PendingRelease] = []
        # Grants of the answer that is being prepared; None between answers.
        self._collected: list[orders.Grant] | None = None
        # Ranges of the last answer, and the number of reports in a row that
        # lacked each of them.
        self._misses: dict[HeldRange, int] = {}
        self._told: frozenset[HeldRange] = frozenset()
        # Whether the target holds nothing: its latest report said so, and it
        # has been told to hold nothing since.
        self.is_target_empty = False

    def send(
        self,
        order: orders.Grant | orders.Release,
        timeout: float,
        done: Callable[[orders.OrderResult], None],
    ) -> None:
        """Gives an order; a `SendOrder` function.

        Args:
            order: The order. Grants are given only during `answer`, since an
                answer always lists all of them.
            timeout: Longest time for the target to carry a release out once it
                has been told, seconds.
            done: Called with the outcome.
        """
        match order:
            case orders.Grant():
                done(orders.OrderResult(self._collect(order)))
            case orders.Release():
                pending = _PendingRelease(order, done)
                self._releases.append(pending)
                self._timers.after(
                    timeout + self._heartbeat_interval,
                    functools.partial(self._expire, pending),
                )

    def answer(
        self,
        report: HoldReport,
        grant_all: Callable[[], bool],
        owns_slots: bool = True,
    ) -> HoldList | None:
        """Returns the answer to a heartbeat.

        Args:
            report: What the target reports.
            grant_all: Sends a grant of each range that the target is to hold;
                returns False if no lease covers any grant.
            owns_slots: Whether this daemon owns any slot. Otherwise the target
                is told to release whatever an earlier process has granted.

        Returns:
            What the target is to hold, or None if nothing may be said of it
            now.
        """
        self._complete_releases(report)
        self._count_misses(report)
        self._collected = []
        may_grant = grant_all()
        collected, self._collected = self._collected, None
        if not may_grant and owns_slots:
            return None
        # Any earlier answer was taken before this report, or was lost.
        self.is_target_empty = not (collected or report.held or self._told)
        for pending in self._releases:
            pending.told = True
        self._record_told(collected)
        held = set(report.held)
        return HoldList(
            tuple(
                # The target needs the handover of its predecessor only once.
                msgspec.structs.replace(grant, handover="")
                if _range_of(grant) in held
                else grant
                for grant in collected
            ),
            min((grant.hold_s for grant in collected), default=_EMPTY_HOLD_S),
        )

    def close(self) -> None:
        """Fails all releases, since the target's process has ended."""
        releases, self._releases = self._releases, []
        self._misses = {}
        self._told = frozenset()
        self.is_target_empty = False
        for pending in releases:
            pending.done(orders.OrderResult(False))

    def _collect(self, grant: orders.Grant) -> bool:
        """Adds a grant to the answer; returns whether it is in it."""
        if self._collected is None or len(self._collected) >= self._max_ranges:
            return False
        if self._misses.get(_range_of(grant), 0) >= _MAX_MISSES:
            logs.event(
                "hold_not_taken",
                first=grant.first,
                last=grant.last,
                fence=grant.fence,
            )
            return False
        self._collected.append(grant)
        return True

    def _complete_releases(self, report: HoldReport) -> None:
        remaining = []
        completed = []
        for pending in self._releases:
            _record_handover(pending, report.released)
            # A report that was on its way before the target was told may come
            # from a time at which it had not taken the range yet.
            if not pending.told and self._is_in_doubt(pending.order, report):
                pending.taken_until = self._timers.now + _ANSWER_TIMEOUT_S
            is_released = (
                pending.told
                and self._timers.now >= pending.taken_until
                and not any(
                    _overlap(pending.order, held) for held in report.held
                )
            )
            (completed if is_released else remaining).append(pending)
        self._releases = remaining
        for pending in completed:
            pending.done(orders.OrderResult(True, handover=pending.handover))

    def _is_in_doubt(self, release: orders.Release, report: HoldReport) -> bool:
        """Returns whether an answer with a released range may be on its way."""
        return any(
            _overlap(release, told)
            and not any(
                _overlap(told, held)
                for held in report.held
                if held.fence == told.fence
            )
            for told in self._told
        )

    def _count_misses(self, report: HoldReport) -> None:
        self._misses = {
            told: self._misses.get(told, 0) + 1
            for told in self._told
            if not _is_covered(told, report.held)
        }

    def _record_told(self, collected: list[orders.Grant]) -> None:
        told = frozenset(_range_of(grant) for grant in collected)
        if told != self._told:
            logs.event(
                "holds_told",
                ranges=len(told),
                added=len(told - self._told),
                dropped=len(self._told - told),
            )
        self._told = told

    def _expire(self, pending: _PendingRelease) -> None:
        if pending in self._releases:
            self._releases.remove(pending)
            pending.done(orders.OrderResult(False))


def _range_of(grant: orders.Grant) -> HeldRange:
    return HeldRange(grant.first, grant.last, grant.fence)


def _overlap(
    one: orders.Release | HeldRange, other: HeldRange | ReleasedRange
) -> int:
    """Returns the number of key positions in both ranges."""
    first = max(one.first, other.first)
    return max(0, min(one.last, other.last) - first + 1)


def _is_covered(told: HeldRange, held: tuple[HeldRange, ...]) -> bool:
    """Returns whether a target holds a range, perhaps in several parts."""
    covered = sum(
        _overlap(told, part) for part in held if part.fence == told.fence
    )
    return covered > told.last - told.first


def _record_handover(
    pending: _PendingRelease, released: tuple[ReleasedRange, ...]
) -> None:
    for part in released:
        size = _overlap(pending.order, part)
        if size > pending.handover_size:
            pending.handover = part.handover
            pending.handover_size = size
