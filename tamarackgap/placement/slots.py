"""Keys hash to slots, or lie in them by order; slots are kept as runs."""

from collections.abc import Iterable

import msgspec
import xxhash

from tamarackgap import types

# Keys of an ordered service have positions below this, and neighbouring keys
# share a slot.
POSITION_COUNT = 65_536


class SlotRange(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Neighbouring slots with the same fence and successor.

    Attributes:
        first: The run's first slot.
        last: The run's last slot, included.
        fence: The fence of each slot of the run.
        successor: The incarnation that takes the slots over; may be empty.
        handover: What the target that released the slots last said to tell
            the next one, or "".
    """

    first: int
    last: int
    fence: int
    successor: str = types.NO_INCARNATION
    handover: str = ""


class SlotAssignment(msgspec.Struct, array_like=True, frozen=True):
    """One slot's fence, successor and handover."""

    fence: int
    successor: str = types.NO_INCARNATION
    handover: str = ""


def slot_of_key(key: types.Key, slot_count: int) -> types.Slot:
    """Returns the slot of a key.

    Args:
        key: The key, at least one character.
        slot_count: Number of slots of the service; a power of two.
    """
    digest = xxhash.xxh3_64_intdigest(key.encode("utf-8"))
    return types.Slot(digest & (slot_count - 1))


def slot_of_position(position: int, slot_count: int) -> types.Slot:
    """Returns the slot of a key of an ordered service.

    Args:
        position: The key's position, in [0, POSITION_COUNT).
        slot_count: Number of slots of the service; a power of two.
    """
    return types.Slot(position * slot_count // POSITION_COUNT)


def position_range(run: SlotRange, slot_count: int) -> tuple[int, int]:
    """Returns the first and the last position of the keys of a run."""
    width = POSITION_COUNT // slot_count
    return run.first * width, (run.last + 1) * width - 1


def expand(runs: Iterable[SlotRange]) -> dict[types.Slot, SlotAssignment]:
    """Returns each slot's holding, from runs."""
    return {
        types.Slot(slot): SlotAssignment(run.fence, run.successor, run.handover)
        for run in runs
        for slot in range(run.first, run.last + 1)
    }


def compress(
    holdings: dict[types.Slot, SlotAssignment],
) -> tuple[SlotRange, ...]:
    """Returns the shortest sorted runs that hold the same as `holdings`."""
    runs: list[SlotRange] = []
    for slot in sorted(holdings):
        held = holdings[slot]
        last = runs[-1] if runs else None
        if (
            last is not None
            and last.last == slot - 1
            and last.fence == held.fence
            and last.successor == held.successor
            and last.handover == held.handover
        ):
            runs[-1] = msgspec.structs.replace(last, last=slot)
        else:
            runs.append(
                SlotRange(slot, slot, held.fence, held.successor, held.handover)
            )
    return tuple(runs)
