"""Grants slots to the local target and takes them back.

A target accepts calls only for keys that it has been granted, and enforces the
end of each grant by itself. The hold time of a grant must therefore end before
this daemon's lease does.
"""

import collections
import functools
from collections.abc import Callable

import msgspec

from tamarackgap import logs
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.placement import slots
from tamarackgap.traffic import grantproofs, holds, orders

# The target's clock may run slower than this daemon's by this share.
_CLOCK_DRIFT = 0.02
# Time that is allowed for a grant to reach the target once it is written: a
# process that has used up its CPU quota stands still for up to 0.1 s.
_TRANSIT_S = 0.12
# A grant is renewed when it can be prolonged by this share of the lease.
_RENEWAL_SHARE = 0.2
_MIN_HOLD_S = 0.1
FENCE_STEP = holds.FENCE_STEP
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
        order: The grant that is queued or waits for its answer, or None.
        order_fence: The fence with which it was written.
        is_pending: Whether a grant is queued or waits for its answer.
        superseded: Whether the target has seen a higher fence.
        logged_fence: Fence of the latest acknowledgement that was logged.
    """

    slot_range: slots.SlotRange
    requested_until: float = float("-inf")
    order: orders.Grant | None = None
    order_fence: int = 0
    is_pending: bool = False
    superseded: bool = False
    logged_fence: int = 0


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
        self._ledger = holds.HoldLedger()
        self._version = -1
        self._releasing: frozenset[int] = frozenset()
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
        # Rises when all slots are released, or may be granted again.
        self._release_all_number = 0
        # Rises when a release begins or ends.
        self._release_number = 0
        self._proofs = grantproofs.GrantProofs(
            self._ledger, timers, send_order, self._hold_time, _MIN_HOLD_S
        )

    @property
    def range_count(self) -> int:
        """Number of slot ranges that are granted."""
        return len(self._by_range)

    @property
    def remaining_hold(self) -> float:
        """Longest time for which the target may still hold a slot, seconds."""
        return max(0.0, self._ledger.ends_at() - self._timers.now)

    def is_held(self, slot: int, now: float) -> bool:
        """Returns whether the target holds a slot under its current fence."""
        state = self._by_slot.get(slot)
        return (
            state is not None
            and not self._stopped
            and slot not in self._releasing
            and self._ledger.is_held(slot, state.slot_range.fence, now)
        )

    def is_confirmed(self, slot: int) -> bool:
        """Returns whether the latest grant of a slot has been acknowledged.

        A grant without an answer may be executed much later. If the slot has
        moved by then, the target would accept it under an outdated fence,
        unless it has seen a higher fence itself. A grant sent after an
        unanswered one has a higher fence.
        """
        state = self._by_slot.get(slot)
        return (
            state is not None
            and not state.is_pending
            and self._ledger.is_confirmed(slot, state.slot_range.fence)
        )

    def handle_new_connection(self) -> None:
        """Records that orders are sent over a connection just established.

        A connection ends with the process that it leads to, so only orders
        over a connection that is open reach the process that has acknowledged
        earlier ones. A new process must not take slots under the fence that
        the earlier one had.
        """
        self._ledger.raise_fences()

    def clear(self) -> None:
        """Forgets all grants, since the target holds nothing any more.

        The next renewal grants each range again.
        """
        self._ledger.clear()
        self._proofs.cancel()
        self._by_range.clear()
        self._by_slot.clear()
        self._version = -1

    def pause(self) -> float:
        """Stops renewals.

        Returns:
            Seconds until all grants have expired.
        """
        self._paused = True
        return self.remaining_hold

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
        self._proofs.is_barred = True
        self._proofs.cancel()
        return max(0.0, self._ledger.late_until() - self._timers.now)

    def release_all(self, done: Callable[[], None]) -> None:
        """Takes all slots back from the target and stops granting.

        Args:
            done: Called when the target no longer holds any of them, unless
                all slots have been taken back again or granted since.
        """
        self._stopped = True
        self._release_all_number += 1
        number = self._release_all_number

        def handle_released(handovers: dict[slots.SlotRange, str]) -> None:
            del handovers
            if number == self._release_all_number:
                done()

        self.release(self._ledger.granted_slots, handle_released)

    def reset(self) -> None:
        """Starts granting again after the lease of the released slots ended."""
        self._stopped = False
        self._proofs.is_barred = False
        self._release_all_number += 1
        self._release_number += 1
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
        """Returns an order as it is to be written now, and records a grant.

        A connection may take time to open. Meanwhile the lease comes closer to
        its end, and the slots may be released.

        Returns:
            The order, or None if it must not be sent any more.
        """
        if isinstance(order, orders.Release):
            return order
        if order.is_proof:
            return self._proofs.as_written_now(order)
        state = next(
            (
                state
                for state in self._by_range.values()
                if state.order is order
            ),
            None,
        )
        hold_s = min(order.hold_s, self._hold_time(order.until))
        if (
            state is None
            or not self._may_grant(state.slot_range)
            or hold_s < _MIN_HOLD_S
        ):
            return None
        # A release may have begun, and been given up, since it was queued.
        state.order_fence = self._ledger.record_sent(
            state.slot_range, order.until, unwritten_fence=state.order_fence
        )
        return msgspec.structs.replace(
            order, fence=state.order_fence, hold_s=hold_s
        )

    def _may_grant(self, slot_range: slots.SlotRange) -> bool:
        """Returns whether grants of a range may be sent now."""
        is_releasing = any(
            slot in self._releasing
            for slot in range(slot_range.first, slot_range.last + 1)
        )
        return not (self._paused or self._stopped or is_releasing)

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
        self._release_number += 1
        number = self._release_number
        # The other slots of these ranges are still granted.
        self._version = -1
        ranges = self._ledger.granted_ranges(moving, self._timers.now)
        if not ranges:
            done({})
            return
        handovers: dict[slots.SlotRange, str] = {}
        self._pending_releases += len(ranges)

        def send_release(slot_range: slots.SlotRange) -> None:
            sent_count = self._ledger.sent_count
            if number != self._release_number:
                # The slots may be granted again by now.
                handle_result(slot_range, sent_count, orders.OrderResult(False))
                return
            order = orders.Release(
                *slots.position_range(slot_range, self._slot_count()),
                self._ledger.order_fence(slot_range),
            )
            # The target answers only when its running calls have ended, so
            # releases don't wait in one queue with the grants.
            self._send_order(
                order,
                _RELEASE_TIMEOUT_S,
                lambda result: handle_result(slot_range, sent_count, result),
            )

        def handle_result(
            slot_range: slots.SlotRange,
            sent_count: int,
            result: orders.OrderResult,
        ) -> None:
            released = range(slot_range.first, slot_range.last + 1)
            if result.acknowledged:
                # A grant without an answer may be executed after the release.
                ends_at = self._ledger.late_until(released)
                if not self._proofs.is_barred:
                    ends_at = max(
                        ends_at, self._ledger.unproven_until(released)
                    )
            else:
                ends_at = self._ledger.ends_at(released)
                logs.event(
                    "release_unanswered",
                    first=slot_range.first,
                    last=slot_range.last,
                )
            wait = ends_at - self._timers.now
            if wait > 0:
                self._timers.after(
                    wait,
                    lambda: finish(slot_range, sent_count, result.handover),
                )
            else:
                finish(slot_range, sent_count, result.handover)

        def finish(
            slot_range: slots.SlotRange, sent_count: int, handover: str
        ) -> None:
            logs.event(
                "slots_released",
                first=slot_range.first,
                last=slot_range.last,
                fence=slot_range.fence,
                instance=self.target_instance,
            )
            self._ledger.record_released(
                range(slot_range.first, slot_range.last + 1), sent_count
            )
            handovers[slot_range] = handover
            self._pending_releases -= 1
            if len(handovers) == len(ranges):
                done(handovers)

        may_prove = not (self._paused or self.by_heartbeat)
        lease_until = self._core.lease_until() if may_prove else float("-inf")
        for slot_range in ranges:
            self._proofs.prove(
                slot_range,
                self._slot_count(),
                lease_until,
                lambda: number == self._release_number,
                functools.partial(send_release, slot_range),
            )

    def end_release(self) -> None:
        """Ends a release; slots that have not moved are granted again."""
        for slot in self._releasing:
            self._by_slot.pop(slot, None)
        self._releasing = frozenset()
        self._release_number += 1
        self._proofs.cancel()
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
        Slots that are being released are in no range; the ledger still tells
        what the target may hold of them.
        """
        self._version = self._core.slots_version
        assignments = {
            slot: slots.SlotAssignment(owned.fence, handover=owned.handover)
            for slot, owned in self._core.owned.items()
            if slot not in self._releasing
        }
        previous_by_slot = self._by_slot
        self._by_range = {}
        self._by_slot = {}
        for slot_range in slots.compress(assignments):
            state = _RangeState(slot_range)
            previous_states = [
                previous_by_slot.get(slot)
                for slot in range(slot_range.first, slot_range.last + 1)
            ]
            if all(
                previous is not None
                and previous.slot_range.fence == slot_range.fence
                for previous in previous_states
            ):
                state.requested_until = min(
                    previous.requested_until for previous in previous_states
                )
                state.superseded = any(
                    previous.superseded for previous in previous_states
                )
            self._by_range[slot_range] = state
            for slot in range(slot_range.first, slot_range.last + 1):
                self._by_slot[slot] = state

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
        if (
            not self._may_grant(slot_range)
            or self._by_range.get(slot_range) is not state
            or hold_s < _MIN_HOLD_S
        ):
            state.is_pending = False
            self._pending_grants -= 1
            self._send_queued()
            return
        state.requested_until = until
        first, last = slots.position_range(slot_range, self._slot_count())
        state.order_fence = self._ledger.record_sent(slot_range, until)
        state.order = orders.Grant(
            first,
            last,
            state.order_fence,
            hold_s,
            slot_range.handover,
            until,
        )

        def handle_result(result: orders.OrderResult) -> None:
            state.is_pending = False
            state.order = None
            self._pending_grants -= 1
            self._send_queued()
            if result.acknowledged:
                # The hold time counts from the arrival of the grant and ends
                # before `until`.
                self._ledger.record_acknowledged(
                    slot_range, state.order_fence, until, result.is_certain
                )
                self._log_acknowledged(state, hold_s)
                return
            state.requested_until = float("-inf")
            state.superseded = result.superseded
            if self._by_range.get(slot_range) is state:
                self._ledger.record_unanswered(slot_range)
            logs.event(
                "grant_failed",
                first=slot_range.first,
                last=slot_range.last,
                fence=state.order_fence,
                superseded=result.superseded,
                instance=self.target_instance,
            )

        self._send_order(state.order, _GRANT_TIMEOUT_S, handle_result)

    def _log_acknowledged(self, state: _RangeState, hold_s: float) -> None:
        """Logs the first acknowledgement of a range under a fence."""
        if state.logged_fence == state.order_fence:
            return
        state.logged_fence = state.order_fence
        logs.event(
            "grant_acknowledged",
            first=state.slot_range.first,
            last=state.slot_range.last,
            fence=state.order_fence,
            instance=self.target_instance,
            hold_ms=round(hold_s * 1000),
        )
