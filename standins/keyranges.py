"""Ranges of keys that servers hold."""

from collections.abc import Iterable
from typing import TypeVar

import msgspec


class KeyRange(msgspec.Struct):
    """A range of keys.

    Attributes:
        first: First key.
        last: Last key.
    """

    first: int
    last: int

    def overlaps(self, first: int, last: int) -> bool:
        """Returns whether the range has any key from `first` to `last`."""
        return self.first <= last and self.last >= first


class Hold(KeyRange):
    """A granted range of keys.

    Attributes:
        fence: Fence of the grant.
        until: Monotonic time at which the grant expires, seconds.
    """

    fence: int
    until: float


_Range = TypeVar("_Range", bound=KeyRange)


def without(ranges: Iterable[_Range], first: int, last: int) -> list[_Range]:
    """Returns what is left of ranges without the keys `first` to `last`."""
    remaining = []
    for each in ranges:
        if not each.overlaps(first, last):
            remaining.append(each)
            continue
        if each.first < first:
            remaining.append(msgspec.structs.replace(each, last=first - 1))
        if each.last > last:
            remaining.append(msgspec.structs.replace(each, first=last + 1))
    return remaining
