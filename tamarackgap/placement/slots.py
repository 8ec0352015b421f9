"""Maps keys to slots, by hash or by order, and stores slots as ranges."""

from collections.abc import Iterable
from typing import Annotated

import msgspec
import xxhash

from tamarackgap import types

# Keys of an ordered service are positions below this number, and adjacent
# positions share a slot.
POSITION_COUNT = 65_536

_SlotNumber = Annotated[int, msgspec.Meta(ge=0, lt=POSITION_COUNT)]
# Orders to targets multiply fences by up to 2**20, and must not exceed the
# integers of JSON.
_Fence = Annotated[int, msgspec.Meta(ge=0, le=2**33 - 1)]


class SlotRange(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A range of slots with the same fence, successor and handover.

    Attributes:
        first: First slot of the range.
        last: Last slot of the range, inclusive.
        fence: Fence of each slot.
        successor: Incarnation that takes the slots over if their owner is
            lost; may be empty.
        handover: Text that a target returned when it released the slots, for
            the target that holds them next; may be empty.
    """

    first: _SlotNumber
    last: _SlotNumber
    fence: _Fence
    successor: str = types.NO_INCARNATION
    handover: str = ""


class SlotAssignment(msgspec.Struct, array_like=True, frozen=True):
    """Fence, successor and handover of a single slot, as in `SlotRange`."""

    fence: int
    successor: str = types.NO_INCARNATION
    handover: str = ""


def slot_of_key(key: types.Key, slot_count: int) -> types.Slot:
    """Returns the slot of a key of a service that hashes its keys.

    Args:
        key: The key, at least one character.
        slot_count: Number of slots of the service; a power of two.
    """
    digest = xxhash.xxh3_64_intdigest(key.encode("utf-8"))
    return types.Slot(digest & (slot_count - 1))


def slot_of_position(position: int, slot_count: int) -> types.Slot:
    """Returns the slot of a key of an ordered service.

    Args:
        position: Position of the key, in [0, POSITION_COUNT).
        slot_count: Number of slots of the service; a power of two.
    """
    return types.Slot(position * slot_count // POSITION_COUNT)


def position_range(slot_range: SlotRange, slot_count: int) -> tuple[int, int]:
    """Returns the first and the last position of a range of slots.

    Args:
        slot_range: Slots of an ordered service.
        slot_count: Number of slots of the service; a power of two.
    """
    width = POSITION_COUNT // slot_count
    return slot_range.first * width, (slot_range.last + 1) * width - 1


def expand(ranges: Iterable[SlotRange]) -> dict[types.Slot, SlotAssignment]:
    """Returns the assignment of each slot in some ranges."""
    return {
        types.Slot(slot): SlotAssignment(
            slot_range.fence, slot_range.successor, slot_range.handover
        )
        for slot_range in ranges
        for slot in range(slot_range.first, slot_range.last + 1)
    }


def compress(
    assignments: dict[types.Slot, SlotAssignment],
) -> tuple[SlotRange, ...]:
    """Returns the fewest sorted ranges that describe some assignments."""
    ranges: list[SlotRange] = []
    for slot in sorted(assignments):
        assignment = assignments[slot]
        previous = ranges[-1] if ranges else None
        if (
            previous is not None
            and previous.last == slot - 1
            and previous.fence == assignment.fence
            and previous.successor == assignment.successor
            and previous.handover == assignment.handover
        ):
            ranges[-1] = msgspec.structs.replace(previous, last=slot)
        else:
            ranges.append(
                SlotRange(
                    slot,
                    slot,
                    assignment.fence,
                    assignment.successor,
                    assignment.handover,
                )
            )
    return tuple(ranges)
