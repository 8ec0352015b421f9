"""Keeps a target told of the keys that it holds, and for how long.

The target enforces what it was told by itself, so what it holds must end no
later than this daemon's lease.
"""

import collections
from collections.abc import Callable

import msgspec

from tamarackgap import logs
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.placement import slots

# The target's clock may run so much slower than this one.
_DRIFT = 0.02
# Time from a grant's writing to its arrival that is allowed for, seconds: a
# process whose share of a core is used up stands still for the rest of a tenth
# of a second.
_TRANSIT_S = 0.12
# A hold is renewed when the lease has grown by this part of its length.
_STEP_SHARE = 0.2
_LEAST_HOLD_S = 0.1
# The target is told a slot's fence times this, plus the number of grants that
# had no answer: it then refuses those that arrive late, also after a move.
FENCE_STEP = 1024
# A target accepts few connections, and each order takes one.
_ORDERS_AT_ONCE = 2
# An order without an answer may still be carried out; it is sent again.
_ORDER_TIMEOUT_S = 0.3
# A release answers when running work has ended.
_RELEASE_TIMEOUT_S = 1.5


class Grant(msgspec.Struct, frozen=True):
    """Gives a run of slots to the target.

    Attributes:
        first: First position of its keys.
        last: Last position, included.
        fence: The fence that the target is told.
        hold_s: For how long from its arrival, seconds.
        handover: What the last holder said when it released them, or "".
        until: When the target must hold them no more, seconds on this clock.
    """

    first: int
    last: int
    fence: int
    hold_s: float
    handover: str
    until: float


class Release(msgspec.Struct, frozen=True):
    """Takes a run of slots back from the target."""

    first: int
    last: int
    fence: int


class OrderResult(msgspec.Struct, frozen=True):
    """What became of an order.

    Attributes:
        acknowledged: Whether the target said that it carried it out.
        superseded: Whether it has seen a higher fence.
        handover: What the next holder may be told, or "".
    """

    acknowledged: bool
    superseded: bool = False
    handover: str = ""


# Sends an order to the target, with the longest wait for its answer.
SendOrder = Callable[
    [Grant | Release, float, Callable[[OrderResult], None]],
    None,
]
# Called with the handover of each run that the target has released.
OnReleased = Callable[[dict[slots.SlotRange, str]], None]


class _Hold(msgspec.Struct):
    run: slots.SlotRange
    asked_until: float = float("-inf")
    # When the last of all grants ends, whatever became of them.
    ends: float = float("-inf")
    held_until: float = float("-inf")
    asking: bool = False
    superseded: bool = False
    # Grants under this fence that had no answer, and whether one that was
    # sent after them had one.
    unanswered: int = 0
    confirmed: bool = False

    @property
    def fence(self) -> int:
        """What the target is told as the fence."""
        return self.run.fence * FENCE_STEP + self.unanswered


class SlotGrants:
    """What the target holds, as far as it has said so."""

    def __init__(
        self,
        core: ownership.Ownership,
        order: SendOrder,
        timers: scheduler.Scheduler,
        lease_s: float,
        longest_hold_s: float,
    ) -> None:
        """Creates a keeper of nothing.

        Args:
            core: Holds the lease and the slots.
            order: Sends orders to the target.
            timers: The loop's scheduler.
            lease_s: Length of a lease, seconds.
            longest_hold_s: Longest time for which the target takes keys,
                seconds.
        """
        self._core = core
        self._longest_hold_s = longest_hold_s
        self._order = order
        self._timers = timers
        self._step = lease_s * _STEP_SHARE
        self._holds: dict[slots.SlotRange, _Hold] = {}
        self._by_slot: dict[int, _Hold] = {}
        # Each slot's fence, and the grants under it without an answer.
        self._attempts: dict[int, tuple[int, int]] = {}
        self._version = -1
        self._releasing: frozenset[int] = frozenset()
        self._paused = False
        self._stopped = False
        # Orders that wait until the ones before them are answered.
        self._queue: collections.deque[Callable[[], None]] = collections.deque()
        self._ordered = 0
        self._unreleased = 0

    @property
    def range_count(self) -> int:
        """Number of runs of slots."""
        return len(self._holds)

    def is_held(self, slot: int, now: float) -> bool:
        """Returns whether the target holds a slot under its fence."""
        hold = self._by_slot.get(slot)
        return (
            hold is not None
            and hold.held_until > now
            and slot not in self._releasing
        )

    def is_confirmed(self, slot: int) -> bool:
        """Returns whether the target has answered all that it was granted.

        A grant without an answer may be carried out much later. If the slot
        had moved by then, the target would take it under a fence that has
        been passed elsewhere, unless it has seen a higher one itself.
        """
        hold = self._by_slot.get(slot)
        return hold is not None and hold.confirmed and not hold.asking

    def clear(self) -> None:
        """Notes that the target holds nothing: it has started anew."""
        self._holds.clear()
        self._by_slot.clear()
        self._version = -1

    def pause(self) -> float:
        """Renews nothing; returns after how long all holds have ended."""
        self._paused = True
        ends = [hold.ends for hold in self._holds.values()]
        return max(0.0, max(ends, default=0.0) - self._timers.now)

    def resume(self) -> None:
        """Renews again."""
        self._paused = False

    def stop(self) -> float:
        """Grants nothing more, since another target is at the address.

        Returns:
            Seconds until all grants that had no answer have ended: the new
            target may have carried them out.
        """
        self._stopped = True
        doubtful = [
            hold.ends
            for hold in self._holds.values()
            if hold.asking or not hold.confirmed
        ]
        for hold in self._holds.values():
            hold.held_until = float("-inf")
        return max(0.0, max(doubtful, default=0.0) - self._timers.now)

    def release_all(self, done: Callable[[], None]) -> None:
        """Takes all slots back from the target, and grants none any more.

        Args:
            done: Called when the target holds none of them any more.
        """
        self._stopped = True
        owned = frozenset(self._core.owned)
        self.release(owned, lambda handovers: done())

    def reset(self) -> None:
        """Grants again: the lease under which keys were given up is over."""
        self._stopped = False
        self._releasing = frozenset()
        self.clear()

    def renew_soon(self) -> None:
        """Renews soon: the target refused work that it should hold."""
        for hold in self._holds.values():
            hold.asked_until = float("-inf")

    def renew(self) -> None:
        """Sends the grants that are due."""
        if self._paused or self._stopped or not self._slot_count():
            return
        if self._version != self._core.slots_version:
            self._follow()
        now = self._timers.now
        until = min(self._core.lease_until(), now + self._longest_hold_s)
        if self._hold_until(until) < _LEAST_HOLD_S:
            return
        for hold in self._holds.values():
            due = until - hold.asked_until >= self._step
            if due and not hold.asking and not hold.superseded:
                self._grant(hold, until)

    def _hold_until(self, until: float) -> float:
        """Returns for how long a grant that is sent now may hold, seconds."""
        return (until - self._timers.now) / (1 + _DRIFT) - _TRANSIT_S

    def with_remaining_hold(
        self, order: Grant | Release
    ) -> Grant | Release | None:
        """Returns an order as it may be written now.

        Time goes by until a connection has been made; a hold that begins
        later is shorter, or there is none any more.
        """
        if isinstance(order, Release):
            return order
        hold_s = min(order.hold_s, self._hold_until(order.until))
        if hold_s < _LEAST_HOLD_S:
            return None
        return msgspec.structs.replace(order, hold_s=hold_s)

    @property
    def has_pending_releases(self) -> bool:
        """Whether the target has not yet answered all releases."""
        return self._unreleased > 0

    def release(self, moving: frozenset[int], done: OnReleased) -> None:
        """Takes slots back from the target, before they move.

        Args:
            moving: The slots.
            done: Called with the handovers, when the target holds none of
                them any more.
        """
        self._releasing = moving
        held = {
            slot: slots.SlotAssignment(hold.fence)
            for slot, hold in self._by_slot.items()
            if slot in moving
        }
        left = list(slots.compress(held))
        if not left:
            done({})
            return
        # What is not answered ends by itself with the last hold.
        ends = max(self._by_slot[slot].ends for slot in held)
        handovers: dict[slots.SlotRange, str] = {}
        self._unreleased += len(left)
        for run in left:
            order = Release(
                *slots.position_range(run, self._slot_count()), run.fence
            )
            own = slots.SlotRange(run.first, run.last, run.fence // FENCE_STEP)
            # A release waits for running work: it must not hold up grants.
            self._order(
                order,
                _RELEASE_TIMEOUT_S,
                lambda ordered, run=own: answered(run, ordered),
            )

        def answered(run: slots.SlotRange, ordered: OrderResult) -> None:
            if not ordered.acknowledged:
                logs.event("release_unanswered", first=run.first, last=run.last)
                wait = max(0.0, ends - self._timers.now)
                self._timers.after(wait, lambda: finished(run, ""))
            else:
                finished(run, ordered.handover)

        def finished(run: slots.SlotRange, handover: str) -> None:
            handovers[run] = handover
            self._unreleased -= 1
            if len(handovers) == len(left):
                done(handovers)

    def end_release(self) -> None:
        """Notes that a move is over; what has not moved is granted again."""
        for slot in self._releasing:
            self._by_slot.pop(slot, None)
        self._releasing = frozenset()
        self._version = -1

    def _slot_count(self) -> int:
        """Returns the service's number of slots; 0 while it is not known.

        Slots may be owned by then: rows that other daemons pass on come in
        any order.
        """
        service_record = self._core.view.service_record(
            self._core.settings.service
        )
        return service_record.slots if service_record is not None else 0

    def _follow(self) -> None:
        """Follows the slots owned; what was held stays held."""
        self._version = self._core.slots_version
        holdings = {
            slot: slots.SlotAssignment(held.fence, handover=held.handover)
            for slot, held in self._core.owned.items()
        }
        before = self._by_slot
        for hold in self._holds.values():
            if hold.asking:
                # Its answer says nothing of the runs that follow.
                self._count_unanswered(hold)
        self._holds = {}
        self._by_slot = {}
        for run in slots.compress(holdings):
            known = [before.get(s) for s in range(run.first, run.last + 1)]
            hold = _Hold(run, unanswered=self._unanswered(run))
            if all(k is not None and k.run.fence == run.fence for k in known):
                hold.held_until = min(k.held_until for k in known)
                hold.asked_until = min(k.asked_until for k in known)
                hold.ends = max(k.ends for k in known)
                hold.superseded = any(k.superseded for k in known)
                hold.confirmed = all(
                    k.confirmed and k.unanswered == hold.unanswered
                    for k in known
                )
            self._holds[run] = hold
            for slot in range(run.first, run.last + 1):
                self._by_slot[slot] = hold

    def _unanswered(self, run: slots.SlotRange) -> int:
        counts = (
            self._attempts.get(slot, (0, 0))
            for slot in range(run.first, run.last + 1)
        )
        same = (count for fence, count in counts if fence == run.fence)
        return max(same, default=0)

    def _count_unanswered(self, hold: _Hold) -> None:
        hold.confirmed = False
        hold.unanswered = min(hold.unanswered + 1, FENCE_STEP - 1)
        run = hold.run
        for slot in range(run.first, run.last + 1):
            self._attempts[slot] = (run.fence, hold.unanswered)

    def _grant(self, hold: _Hold, until: float) -> None:
        hold.asking = True
        self._queue.append(lambda: self._send_grant(hold, until))
        self._next()

    def _next(self) -> None:
        while self._queue and self._ordered < _ORDERS_AT_ONCE:
            self._ordered += 1
            self._queue.popleft()()

    def _send_grant(self, hold: _Hold, until: float) -> None:
        # It has waited: the lease is nearer to its end now.
        hold_s = self._hold_until(until)
        run = hold.run
        moving = any(
            slot in self._releasing for slot in range(run.first, run.last + 1)
        )
        idle = self._paused or self._stopped or moving
        if idle or self._holds.get(run) is not hold or hold_s < _LEAST_HOLD_S:
            hold.asking = False
            self._ordered -= 1
            self._next()
            return
        hold.asked_until = until
        hold.ends = max(hold.ends, until)
        first, last = slots.position_range(run, self._slot_count())
        grant = Grant(first, last, hold.fence, hold_s, run.handover, until)

        def answered(ordered: OrderResult) -> None:
            hold.asking = False
            self._ordered -= 1
            self._next()
            if ordered.acknowledged:
                # It may count from its arrival, but not beyond the lease.
                hold.held_until = until
                hold.confirmed = True
                return
            if self._holds.get(run) is hold:
                self._count_unanswered(hold)
            hold.asked_until = float("-inf")
            hold.superseded = ordered.superseded
            logs.event(
                "grant_failed",
                first=run.first,
                last=run.last,
                fence=grant.fence,
                superseded=ordered.superseded,
            )

        self._order(grant, _ORDER_TIMEOUT_S, answered)
