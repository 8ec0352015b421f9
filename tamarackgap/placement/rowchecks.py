"""Checks rows of the table for values that can't be used."""

from collections.abc import Iterable

import msgspec

from tamarackgap.placement import slots
from tamarackgap.settings import config


def check_key(key: str, expected: str) -> None:
    """Raises msgspec.ValidationError if a row has another key than its own."""
    if key != expected:
        raise msgspec.ValidationError(f"the row belongs under {expected}")


def check_addresses(*addresses: str) -> None:
    """Raises msgspec.ValidationError if a text is not `ip:port`."""
    for address in addresses:
        if not config.is_address(address):
            raise msgspec.ValidationError(f"no address: {address}")


def check_ranges(ranges: Iterable[slots.SlotRange]) -> None:
    """Raises msgspec.ValidationError if ranges are not sorted and disjoint."""
    end = -1
    for slot_range in ranges:
        if not end < slot_range.first <= slot_range.last:
            raise msgspec.ValidationError("ranges are not sorted")
        end = slot_range.last


def check_slot_count(count: int, allocated: int | None) -> None:
    """Raises msgspec.ValidationError if a service can't have so many slots.

    Args:
        count: Number of slots.
        allocated: How many of them have been given to owners; None for all.
    """
    is_power = count > 0 and not count & (count - 1)
    if not is_power or count > slots.POSITION_COUNT:
        raise msgspec.ValidationError(f"no number of slots: {count}")
    if allocated is not None and allocated > count:
        raise msgspec.ValidationError(f"{allocated} of {count} slots")
