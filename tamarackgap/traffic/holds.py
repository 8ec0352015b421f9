"""Records what the local target may hold by the grants that it was sent.

A target holds a slot until the hold time of its latest grant ends, or until it
has released the slot. It may also carry out a grant late that it has not
answered, unless it has seen a higher fence for the slot by then.
"""

from collections.abc import Iterable

import msgspec

from tamarackgap import types
from tamarackgap.placement import slots

# The fence in an order is the slot's fence times this, plus a number that rises
# with each grant without an answer, and with each connection that may lead to
# another process of the target. So a target refuses a late grant that arrives
# after a later one, also after the slot has moved.
FENCE_STEP = 2**20
_LAST_ATTEMPT = FENCE_STEP - 1
_NEVER = float("-inf")


class _SlotHold(msgspec.Struct):
    """What the target may hold of one slot.

    Attributes:
        fence: The slot's fence.
        attempt: Lower part of the fence in orders.
        acknowledged: Highest attempt that the target has acknowledged under
            this fence, -1 if none.
        unanswered: Attempt of the latest grant under this fence if the target
            has not acknowledged it, else -1.
        held_until: End of the latest acknowledged grant under this fence,
            monotonic seconds.
        ends_at: Latest end of all grants that were sent, monotonic seconds.
        late_until: Latest end of the grants that were sent and that the target
            may still carry out, monotonic seconds.
        proven: Attempt of the latest proof under this fence that the target has
            acknowledged, -1 if none. It refuses lower ones.
        unproven_until: Latest end of the grants that the target may still carry
            out if answers to them were copies of earlier ones, monotonic
            seconds.
        sent: Number of the latest grant that was sent.
    """

    fence: int = 0
    attempt: int = 0
    acknowledged: int = -1
    unanswered: int = -1
    held_until: float = _NEVER
    ends_at: float = _NEVER
    late_until: float = _NEVER
    proven: int = -1
    unproven_until: float = _NEVER
    sent: int = 0

    def end(self) -> None:
        """Records that the target does not hold the slot, and will not."""
        self.held_until = self.ends_at = _NEVER
        self.late_until = self.unproven_until = _NEVER


class HoldLedger:
    """Tells when the target no longer holds slots, and the fences of orders.

    All conclusions that the target holds nothing come from here, so that none
    of them forgets a grant that is still in force or on its way.
    """

    def __init__(self) -> None:
        """Creates the ledger of a target that has been granted nothing."""
        self._holds: dict[int, _SlotHold] = {}
        self._sent_count = 0

    @property
    def sent_count(self) -> int:
        """Number of grants that have been sent."""
        return self._sent_count

    @property
    def granted_slots(self) -> frozenset[int]:
        """All slots that the target has ever been granted."""
        return frozenset(self._holds)

    def granted_ranges(
        self, wanted: Iterable[int], now: float
    ) -> list[slots.SlotRange]:
        """Returns the ranges of slots that the target may still hold.

        Args:
            wanted: The slots to choose from.
            now: Monotonic time, seconds.
        """
        return list(
            slots.compress(
                {
                    types.Slot(slot): slots.SlotAssignment(hold.fence)
                    for slot in wanted
                    if (hold := self._holds.get(slot)) is not None
                    and hold.ends_at > now
                }
            )
        )

    def order_fence(self, slot_range: slots.SlotRange) -> int:
        """Returns the fence for orders of a range, the same for all its slots.

        Raises the attempts of all its slots to the highest among them, so the
        fence never falls for a slot, also if the range is split later.
        """
        holds = [
            self._hold(slot, slot_range.fence) for slot in _slots(slot_range)
        ]
        attempt = max(hold.attempt for hold in holds)
        for hold in holds:
            hold.attempt = attempt
        return _order_fence(slot_range.fence, attempt)

    def record_sent(
        self,
        slot_range: slots.SlotRange,
        until: float,
        unwritten_fence: int | None = None,
    ) -> int:
        """Records a grant that is about to be sent.

        Its fence is above those of all earlier grants of its slots that have
        not been acknowledged, so the target refuses those once it has executed
        this one.

        Args:
            slot_range: The range.
            until: Monotonic time by which its hold has ended, seconds.
            unwritten_fence: The fence with which the same grant was recorded
                before, if it has not been written since.

        Returns:
            The fence of the grant.
        """
        self._sent_count += 1
        for slot in _slots(slot_range):
            hold = self._hold(slot, slot_range.fence)
            hold.sent = self._sent_count
            hold.ends_at = max(hold.ends_at, until)
            hold.late_until = max(hold.late_until, until)
            if (
                hold.unanswered == hold.attempt
                and _order_fence(hold.fence, hold.attempt) != unwritten_fence
            ):
                hold.attempt = min(hold.attempt + 1, _LAST_ATTEMPT)
        order_fence = self.order_fence(slot_range)
        for hold in self._under_fence(slot_range):
            hold.unanswered = hold.attempt
        return order_fence

    def record_acknowledged(
        self,
        slot_range: slots.SlotRange,
        order_fence: int,
        until: float,
        is_certain: bool = True,
    ) -> None:
        """Records that the target has acknowledged a grant.

        Args:
            slot_range: The range.
            order_fence: The fence that was sent.
            until: Monotonic time by which its hold has ended, seconds.
            is_certain: Whether the answer can't be a copy of one to an earlier
                grant.
        """
        attempt = order_fence % FENCE_STEP
        for hold in self._under_fence(slot_range):
            hold.held_until = max(hold.held_until, until)
            hold.acknowledged = max(hold.acknowledged, attempt)
            if attempt < hold.unanswered:
                # A later grant may still be executed.
                continue
            hold.unanswered = -1
            if not is_certain and attempt >= hold.proven:
                hold.unproven_until = max(
                    hold.unproven_until, hold.late_until, until
                )
            if attempt == hold.attempt < _LAST_ATTEMPT:
                # Grants without an answer had lower fences.
                hold.late_until = _NEVER

    def record_proof_sent(
        self, slot_range: slots.SlotRange, until: float
    ) -> int:
        """Records a grant whose answer is to prove that earlier ones are void.

        A target that has executed it refuses them, as its fence is higher.

        Args:
            slot_range: The range.
            until: Monotonic time by which its hold has ended, seconds.

        Returns:
            The fence of the grant.
        """
        self.record_unanswered(slot_range)
        return self.record_sent(slot_range, until)

    def record_proven(
        self,
        slot_range: slots.SlotRange,
        order_fence: int,
        until: float,
        sent_count: int,
    ) -> None:
        """Records that the target has acknowledged a proof.

        Answers to earlier grants that come after it change nothing.

        Args:
            slot_range: The range.
            order_fence: The fence that was sent.
            until: Monotonic time by which its hold has ended, seconds.
            sent_count: Number of grants that had been sent with it.
        """
        self.record_acknowledged(slot_range, order_fence, until)
        attempt = order_fence % FENCE_STEP
        for hold in self._under_fence(slot_range):
            hold.proven = max(hold.proven, attempt)
            if hold.sent <= sent_count and attempt < _LAST_ATTEMPT:
                hold.late_until = hold.unproven_until = _NEVER

    def record_unanswered(self, slot_range: slots.SlotRange) -> None:
        """Records that a grant had no answer, and raises the fence.

        The next grant has a higher fence in any case; a release is to have one
        as well.
        """
        for hold in self._under_fence(slot_range):
            hold.attempt = min(hold.attempt + 1, _LAST_ATTEMPT)

    def raise_fences(self) -> None:
        """Raises the fences of all slots that have been acknowledged.

        Called when the next order may reach another process of the target,
        which must not take slots under the fence of its predecessor.
        """
        for hold in self._holds.values():
            if hold.acknowledged >= 0:
                hold.attempt = min(hold.attempt + 1, _LAST_ATTEMPT)

    def is_held(self, slot: int, fence: int, now: float) -> bool:
        """Returns whether the target has acknowledged to hold a slot now."""
        hold = self._holds.get(slot)
        return (
            hold is not None and hold.fence == fence and hold.held_until > now
        )

    def is_confirmed(self, slot: int, fence: int) -> bool:
        """Returns whether the grant with the highest fence was acknowledged.

        The target then refuses all grants that it has not answered.
        """
        hold = self._holds.get(slot)
        return (
            hold is not None
            and hold.fence == fence
            and hold.acknowledged == hold.attempt
            and hold.unanswered < 0
            and hold.attempt < _LAST_ATTEMPT
        )

    def ends_at(self, wanted: Iterable[int] | None = None) -> float:
        """Returns when all holds have ended, monotonic seconds.

        Args:
            wanted: The slots; None for all.
        """
        return max(
            (hold.ends_at for hold in self._select(wanted)), default=_NEVER
        )

    def late_until(self, wanted: Iterable[int] | None = None) -> float:
        """Returns when grants that may be carried out late have ended.

        Args:
            wanted: The slots; None for all.

        Returns:
            Monotonic seconds; minus infinity if there is no such grant.
        """
        return max(
            (hold.late_until for hold in self._select(wanted)), default=_NEVER
        )

    def unproven_until(self, wanted: Iterable[int]) -> float:
        """Returns when grants have ended whose answers may have been copies.

        Args:
            wanted: The slots.

        Returns:
            Monotonic seconds; minus infinity if there is no such grant.
        """
        return max(
            (hold.unproven_until for hold in self._select(wanted)),
            default=_NEVER,
        )

    def record_released(self, released: Iterable[int], sent_count: int) -> None:
        """Records that the target no longer holds slots.

        Args:
            released: The slots.
            sent_count: Number of grants that had been sent when the release
                began; the target may hold slots by later ones.
        """
        for hold in self._select(released):
            if hold.sent <= sent_count:
                hold.end()

    def clear(self) -> None:
        """Forgets all holds, since the target's process has ended."""
        for hold in self._holds.values():
            hold.end()

    def _select(self, wanted: Iterable[int] | None) -> list[_SlotHold]:
        if wanted is None:
            return list(self._holds.values())
        return [self._holds[slot] for slot in wanted if slot in self._holds]

    def _under_fence(self, slot_range: slots.SlotRange) -> list[_SlotHold]:
        """Returns the holds of a range's slots that still have its fence."""
        return [
            hold
            for hold in self._select(_slots(slot_range))
            if hold.fence == slot_range.fence
        ]

    def _hold(self, slot: int, fence: int) -> _SlotHold:
        """Returns the hold of a slot; a new fence starts with attempt 0.

        Grants under an earlier fence may still be in force.
        """
        hold = self._holds.setdefault(slot, _SlotHold(fence))
        if hold.fence != fence:
            hold.fence = fence
            hold.attempt = 0
            hold.acknowledged = -1
            hold.unanswered = -1
            hold.proven = -1
            hold.held_until = _NEVER
        return hold


def _order_fence(fence: int, attempt: int) -> int:
    return fence * FENCE_STEP + attempt


def _slots(slot_range: slots.SlotRange) -> range:
    return range(slot_range.first, slot_range.last + 1)
