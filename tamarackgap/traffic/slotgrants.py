"""Grants slots to the local target and takes them back.

A target accepts calls only for keys that it has been granted, and enforces the
end of each grant by itself. The hold time of a grant must therefore end before
this daemon's lease does.
"""

import collections
from collections.abc import Callable

import msgspec

from tamarackgap import logs
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.placement import slots
from tamarackgap.traffic import orders

# The target's clock may run slower than this daemon's by this share.
_CLOCK_DRIFT = 0.02
# Time that is allowed for a grant to reach the target once it is written: a
# process that has used up its CPU quota stands still for up to 0.1 s.
_TRANSIT_S = 0.12
# A grant is renewed when it can be prolonged by this share of the lease.
_RENEWAL_SHARE = 0.2
_MIN_HOLD_S = 0.1
# The fence in an order is the slot's fence times this, plus the number of
# grants under that fence that had no answer. So the target refuses such a grant
# if it arrives after a later one, also after the slot has moved.
FENCE_STEP = 1024
# A target accepts few connections, and each order takes one.
_MAX_PENDING_GRANTS = 2
# A grant without an answer may still be executed; it is sent again.
_GRANT_TIMEOUT_S = 0.3
# The target answers a release when the calls that it runs have ended.
_RELEASE_TIMEOUT_S = 1.5


# Called with the handover of each range that the target has released.
OnReleased = Callable[[dict[slots.SlotRange, str]], None]


class _RangeState(msgspec.Struct):
    """Holds the state of the grants of one range of slots.

    Attributes:
        slot_range: The range.
        requested_until: End of the latest grant that was sent, monotonic
            seconds; -inf makes the next one due at once.
        ends_at: Latest end of all grants that were sent, answered or not.
        held_until: End of the latest acknowledged grant.
        is_pending: Whether a grant is queued or waits for its answer.
        superseded: Whether the target has seen a higher fence.
        unanswered: Number of grants under this fence that had no answer.
        confirmed: Whether a grant sent after those was acknowledged.
        logged_fence: Fence of the latest acknowledgement that was logged.
    """

    slot_range: slots.SlotRange
    requested_until: float = float("-inf")
    ends_at: float = float("-inf")
    held_until: float = float("-inf")
    is_pending: bool = False
    superseded: bool = False
    unanswered: int = 0
    confirmed: bool = False
    logged_fence: int = 0

    @property
    def fence(self) -> int:
        """The fence that is sent to the target."""
        return self.slot_range.fence * FENCE_STEP + self.unanswered


class SlotGrants:
    """Keeps the local target's grants in line with the slots owned."""

    def __init__(
        self,
        core: ownership.Ownership,
        send_order: orders.SendOrder,
        timers: scheduler.Scheduler,
        lease_s: float,
        longest_hold_s: float,
    ) -> None:
        """Creates an instance that has granted nothing.

        Args:
            core: Provides the lease and the slots owned.
            send_order: Sends orders to the target.
            timers: The loop's scheduler.
            lease_s: Duration of a lease, seconds.
            longest_hold_s: Longest hold time that the target accepts, seconds.
        """
        self._core = core
        self._longest_hold_s = longest_hold_s
        self._send_order = send_order
        self._timers = timers
        self._renewal_step = lease_s * _RENEWAL_SHARE
        self._by_range: dict[slots.SlotRange, _RangeState] = {}
        self._by_slot: dict[int, _RangeState] = {}
        # Fence of each slot, and the number of grants under it without an
        # answer.
        self._unanswered_counts: dict[int, tuple[int, int]] = {}
        self._version = -1
        self._releasing: frozenset[int] = frozenset()
        # Latest end of the grants of the slots being released.
        self._releasing_until = float("-inf")
        self._paused = False
        self._stopped = False
        # Whether grants are given only with the answers to heartbeats.
        self.by_heartbeat = False
        # Id of the target's process as last announced, for the log.
        self.target_instance = ""
        # Grants that wait until earlier ones have been answered.
        self._grant_queue: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._pending_grants = 0
        self._pending_releases = 0

    @property
    def range_count(self) -> int:
        """Number of slot ranges that are granted."""
        return len(self._by_range)

    @property
    def remaining_hold(self) -> float:
        """Longest time for which the target may still hold a slot, seconds."""
        ends = [state.ends_at for state in self._by_slot.values()]
        return max(0.0, max([*ends, self._releasing_until]) - self._timers.now)

    def is_held(self, slot: int, now: float) -> bool:
        """Returns whether the target holds a slot under its current fence."""
        state = self._by_slot.get(slot)
        return (
            state is not None
            and state.held_until > now
            and slot not in self._releasing
        )

    def is_confirmed(self, slot: int) -> bool:
        """Returns whether the latest grant of a slot has been acknowledged.

        A grant without an answer may be executed much later. If the slot has
        moved by then, the target would accept it under an outdated fence,
        unless it has seen a higher fence itself. A grant sent after an
        unanswered one has a higher fence.
        """
        state = self._by_slot.get(slot)
        return state is not None and state.confirmed and not state.is_pending

    def clear(self) -> None:
        """Forgets all grants; the next renewal grants each range again."""
        self._by_range.clear()
        self._by_slot.clear()
        self._version = -1

    def pause(self) -> float:
        """Stops renewals.

        Returns:
            Seconds until all grants have expired.
        """
        self._paused = True
        ends = [state.ends_at for state in self._by_range.values()]
        return max(0.0, max([*ends, self._releasing_until]) - self._timers.now)

    def resume(self) -> None:
        """Starts renewals again."""
        self._paused = False

    def stop(self) -> float:
        """Stops granting, since another process is at the target's address.

        Returns:
            Seconds until all grants without an answer have expired; the new
            process may have executed them.
        """
        self._stopped = True
        unconfirmed = [
            state.ends_at
            for state in self._by_range.values()
            if state.is_pending or not state.confirmed
        ]
        for state in self._by_range.values():
            state.held_until = float("-inf")
        return max(0.0, max(unconfirmed, default=0.0) - self._timers.now)

    def release_all(self, done: Callable[[], None]) -> None:
        """Takes all slots back from the target and stops granting.

        Args:
            done: Called when the target no longer holds any of them.
        """
        self._stopped = True
        owned = frozenset(self._core.owned)
        self.release(owned, lambda handovers: done())

    def reset(self) -> None:
        """Starts granting again after the lease of the released slots ended."""
        self._stopped = False
        self._releasing = frozenset()
        self.clear()

    def renew_soon(self) -> None:
        """Makes all grants due, after the target refused a call for its key."""
        for state in self._by_range.values():
            state.requested_until = float("-inf")

    def renew(self) -> None:
        """Sends the grants that are due for renewal."""
        if self.by_heartbeat or self._stopped:
            return
        until = self._longest_hold_end()
        if until is None:
            return
        for state in self._by_range.values():
            is_due = until - state.requested_until >= self._renewal_step
            if is_due and not state.is_pending and not state.superseded:
                self._queue_grant(state, until)

    def grant_all(self) -> bool:
        """Sends a grant of each range, due or not.

        Returns:
            Whether the lease covers grants now.
        """
        until = self._longest_hold_end()
        if until is None:
            return False
        if not self._stopped:
            for state in self._by_range.values():
                if not state.is_pending and not state.superseded:
                    self._queue_grant(state, until)
        return True

    def _longest_hold_end(self) -> float | None:
        """Returns until when ranges may be granted now, monotonic seconds.

        Brings the ranges up to date. Returns None if nothing may be granted.
        """
        if self._paused or not self._slot_count():
            return None
        if self._version != self._core.slots_version:
            self._update_ranges()
        now = self._timers.now
        until = min(self._core.lease_until(), now + self._longest_hold_s)
        return until if self._hold_time(until) >= _MIN_HOLD_S else None

    def _hold_time(self, until: float) -> float:
        """Returns the hold time in seconds of a grant that is written now.

        Args:
            until: Monotonic time by which the grant must have ended, seconds.
        """
        return (until - self._timers.now) / (1 + _CLOCK_DRIFT) - _TRANSIT_S

    def with_remaining_hold(
        self, order: orders.Grant | orders.Release
    ) -> orders.Grant | orders.Release | None:
        """Returns an order with the hold time that is left when it is written.

        A connection may take time to open, while the lease comes closer to its
        end.

        Returns:
            The order, or None if too little hold time is left.
        """
        if isinstance(order, orders.Release):
            return order
        hold_s = min(order.hold_s, self._hold_time(order.until))
        if hold_s < _MIN_HOLD_S:
            return None
        return msgspec.structs.replace(order, hold_s=hold_s)

    @property
    def has_pending_releases(self) -> bool:
        """Whether slots are being released."""
        return self._pending_releases > 0

    def release(self, moving: frozenset[int], done: OnReleased) -> None:
        """Takes slots back from the target before they move.

        Args:
            moving: The slots.
            done: Called with the handovers when the target no longer holds any
                of the slots.
        """
        self._releasing = moving
        held = {
            slot: slots.SlotAssignment(state.fence)
            for slot, state in self._by_slot.items()
            if slot in moving
        }
        ranges = list(slots.compress(held))
        if not ranges:
            done({})
            return
        # A grant whose release is not acknowledged expires on its own when its
        # hold time ends.
        latest_end = max(self._by_slot[slot].ends_at for slot in held)
        self._releasing_until = max(self._releasing_until, latest_end)
        # The other slots of these ranges are still granted.
        self._version = -1
        handovers: dict[slots.SlotRange, str] = {}
        self._pending_releases += len(ranges)
        for slot_range in ranges:
            order = orders.Release(
                *slots.position_range(slot_range, self._slot_count()),
                slot_range.fence,
            )
            released = slots.SlotRange(
                slot_range.first,
                slot_range.last,
                slot_range.fence // FENCE_STEP,
            )
            # The target answers only when its running calls have ended, so
            # releases don't wait in one queue with the grants.
            self._send_order(
                order,
                _RELEASE_TIMEOUT_S,
                lambda result, slot_range=released: handle_result(
                    slot_range, result
                ),
            )

        def handle_result(
            slot_range: slots.SlotRange, result: orders.OrderResult
        ) -> None:
            if not result.acknowledged:
                logs.event(
                    "release_unanswered",
                    first=slot_range.first,
                    last=slot_range.last,
                )
                wait = max(0.0, latest_end - self._timers.now)
                self._timers.after(wait, lambda: finish(slot_range, ""))
            else:
                finish(slot_range, result.handover)

        def finish(slot_range: slots.SlotRange, handover: str) -> None:
            logs.event(
                "slots_released",
                first=slot_range.first,
                last=slot_range.last,
                fence=slot_range.fence,
                instance=self.target_instance,
                held_ms=round((latest_end - self._timers.now) * 1000),
            )
            handovers[slot_range] = handover
            self._pending_releases -= 1
            if len(handovers) == len(ranges):
                done(handovers)

    def end_release(self) -> None:
        """Ends a release; slots that have not moved are granted again."""
        for slot in self._releasing:
            self._by_slot.pop(slot, None)
        self._releasing = frozenset()
        self._version = -1

    def _slot_count(self) -> int:
        """Returns the service's number of slots; 0 while it is not known.

        Slots may be owned before: rows that other daemons pass on arrive in any
        order.
        """
        service_record = self._core.view.service_record(
            self._core.settings.service
        )
        return service_record.slots if service_record is not None else 0

    def _update_ranges(self) -> None:
        """Rebuilds the ranges after the slots owned have changed.

        A range keeps the state of its slots if their fence has not changed.
        Slots that are being released keep their state, but are in no range.
        """
        self._version = self._core.slots_version
        assignments = {
            slot: slots.SlotAssignment(owned.fence, handover=owned.handover)
            for slot, owned in self._core.owned.items()
            if slot not in self._releasing
        }
        previous_by_slot = self._by_slot
        for state in self._by_range.values():
            if state.is_pending:
                # The pending answer is not counted for the new ranges, so the
                # grant counts as unanswered.
                self._record_unanswered(state)
        self._by_range = {}
        self._by_slot = {
            slot: previous_by_slot[slot]
            for slot in self._releasing
            if slot in previous_by_slot
        }
        for slot_range in slots.compress(assignments):
            previous_states = [
                previous_by_slot.get(slot)
                for slot in range(slot_range.first, slot_range.last + 1)
            ]
            state = _RangeState(
                slot_range, unanswered=self._unanswered_count(slot_range)
            )
            if all(
                previous is not None
                and previous.slot_range.fence == slot_range.fence
                for previous in previous_states
            ):
                state.held_until = min(
                    previous.held_until for previous in previous_states
                )
                state.requested_until = min(
                    previous.requested_until for previous in previous_states
                )
                state.ends_at = max(
                    previous.ends_at for previous in previous_states
                )
                state.superseded = any(
                    previous.superseded for previous in previous_states
                )
                state.confirmed = all(
                    previous.confirmed
                    and previous.unanswered == state.unanswered
                    for previous in previous_states
                )
            self._by_range[slot_range] = state
            # All slots are granted under the range's fence from now on, and
            # must not fall below it when the range is split.
            self._set_unanswered_count(state)
            for slot in range(slot_range.first, slot_range.last + 1):
                self._by_slot[slot] = state

    def _unanswered_count(self, slot_range: slots.SlotRange) -> int:
        counts = (
            self._unanswered_counts.get(slot, (0, 0))
            for slot in range(slot_range.first, slot_range.last + 1)
        )
        counts_of_fence = (
            count for fence, count in counts if fence == slot_range.fence
        )
        return max(counts_of_fence, default=0)

    def _record_unanswered(self, state: _RangeState) -> None:
        state.confirmed = False
        state.unanswered = min(state.unanswered + 1, FENCE_STEP - 1)
        self._set_unanswered_count(state)

    def _set_unanswered_count(self, state: _RangeState) -> None:
        slot_range = state.slot_range
        for slot in range(slot_range.first, slot_range.last + 1):
            self._unanswered_counts[slot] = (slot_range.fence, state.unanswered)

    def _queue_grant(self, state: _RangeState, until: float) -> None:
        state.is_pending = True
        self._grant_queue.append(lambda: self._send_grant(state, until))
        self._send_queued()

    def _send_queued(self) -> None:
        while self._grant_queue and self._pending_grants < _MAX_PENDING_GRANTS:
            self._pending_grants += 1
            self._grant_queue.popleft()()

    def _send_grant(self, state: _RangeState, until: float) -> None:
        # The grant has waited in the queue, so less of the lease is left.
        hold_s = self._hold_time(until)
        slot_range = state.slot_range
        is_releasing = any(
            slot in self._releasing
            for slot in range(slot_range.first, slot_range.last + 1)
        )
        if (
            self._paused
            or self._stopped
            or is_releasing
            or self._by_range.get(slot_range) is not state
            or hold_s < _MIN_HOLD_S
        ):
            state.is_pending = False
            self._pending_grants -= 1
            self._send_queued()
            return
        state.requested_until = until
        state.ends_at = max(state.ends_at, until)
        first, last = slots.position_range(slot_range, self._slot_count())
        grant = orders.Grant(
            first, last, state.fence, hold_s, slot_range.handover, until
        )

        def handle_result(result: orders.OrderResult) -> None:
            state.is_pending = False
            self._pending_grants -= 1
            self._send_queued()
            if result.acknowledged:
                # The hold time counts from the arrival of the grant and ends
                # before `until`.
                state.held_until = until
                state.confirmed = True
                self._log_acknowledged(state, grant)
                return
            if self._by_range.get(slot_range) is state:
                self._record_unanswered(state)
            state.requested_until = float("-inf")
            state.superseded = result.superseded
            logs.event(
                "grant_failed",
                first=slot_range.first,
                last=slot_range.last,
                fence=grant.fence,
                superseded=result.superseded,
                instance=self.target_instance,
            )

        self._send_order(grant, _GRANT_TIMEOUT_S, handle_result)

    def _log_acknowledged(
        self, state: _RangeState, grant: orders.Grant
    ) -> None:
        """Logs the first acknowledgement of a range under a fence."""
        if state.logged_fence == grant.fence:
            return
        state.logged_fence = grant.fence
        logs.event(
            "grant_acknowledged",
            first=state.slot_range.first,
            last=state.slot_range.last,
            fence=grant.fence,
            instance=self.target_instance,
            hold_ms=round(grant.hold_s * 1000),
        )
