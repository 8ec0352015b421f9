"""Keys hash to slots; slots are stored as runs."""

from collections.abc import Iterable

import msgspec
import xxhash

from tamarackgap import types


class Run(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Neighbouring slots with the same fence and successor.

    Attributes:
        first: The run's first slot.
        last: The run's last slot, included.
        fence: The fence of each slot of the run.
        successor: The incarnation that takes the slots over; may be empty.
    """

    first: int
    last: int
    fence: int
    successor: str = types.NOBODY


class Holding(msgspec.Struct, array_like=True, frozen=True):
    """One slot's fence and successor."""

    fence: int
    successor: str = types.NOBODY


def slot_of(key: types.Key, slot_count: int) -> types.Slot:
    """Returns the slot of a key.

    Args:
        key: The key, at least one character.
        slot_count: Number of slots of the service; a power of two.
    """
    digest = xxhash.xxh3_64_intdigest(key.encode("utf-8"))
    return types.Slot(digest & (slot_count - 1))


def expand(runs: Iterable[Run]) -> dict[types.Slot, Holding]:
    """Returns each slot's holding, from runs."""
    return {
        types.Slot(slot): Holding(run.fence, run.successor)
        for run in runs
        for slot in range(run.first, run.last + 1)
    }


def compress(holdings: dict[types.Slot, Holding]) -> tuple[Run, ...]:
    """Returns the shortest sorted runs that hold the same as `holdings`."""
    runs: list[Run] = []
    for slot in sorted(holdings):
        held = holdings[slot]
        last = runs[-1] if runs else None
        if (
            last is not None
            and last.last == slot - 1
            and last.fence == held.fence
            and last.successor == held.successor
        ):
            runs[-1] = Run(last.first, slot, last.fence, last.successor)
        else:
            runs.append(Run(slot, slot, held.fence, held.successor))
    return tuple(runs)
