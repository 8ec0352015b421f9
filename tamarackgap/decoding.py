"""Decodes JSON that other programs have written."""

import re
from typing import Annotated, TypeVar

import msgspec

# The largest integer that all programs read alike from JSON (RFC 7493). It also
# fits into the integers of MessagePack.
MAX_INTEGER = 2**53 - 1

# A whole number, or a time or weight, that is not negative.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
# A number that is neither infinite nor NaN.
Finite = Annotated[float, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]

_STRING_OR_SEPARATOR = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL
)

_Value = TypeVar("_Value")


def decode(data: bytes | str | msgspec.Raw, value_type: type[_Value]) -> _Value:
    """Returns the value of a JSON text.

    Args:
        data: The text.
        value_type: Type of the value.

    Raises:
        msgspec.MsgspecError: If the text is not JSON, can't be read, or is of
            another type.
    """
    try:
        return msgspec.json.decode(data, type=value_type)
    except (RecursionError, UnicodeError) as error:
        raise msgspec.DecodeError(str(error)) from error


def decode_with_list(data: bytes, value_type: type[_Value]) -> _Value:
    """Returns the value of a JSON object that has a list of `msgspec.Raw`.

    Entries of the list that can't be read become null.

    Args:
        data: The text.
        value_type: Type of the object.

    Raises:
        msgspec.MsgspecError: If the rest of the text is not JSON, can't be
            read, or is of another type.
    """
    try:
        return decode(data, value_type)
    except msgspec.MsgspecError:
        return decode(_without_unreadable_entries(data), value_type)


def _without_unreadable_entries(data: bytes) -> bytes:
    """Replaces the unreadable entries of an object's lists by null."""
    parts = []
    copied_to = 0
    # Number of brackets that are open: within an object's list, 2.
    depth = 0
    is_list = False
    entry_start = 0
    for match in _STRING_OR_SEPARATOR.finditer(data):
        symbol = match[0]
        if symbol in (b"[", b"{"):
            depth += 1
            if depth == 2:
                is_list = symbol == b"["
                entry_start = match.end()
        elif symbol in (b",", b"]", b"}"):
            if depth == 2 and is_list:
                entry = data[entry_start : match.start()]
                if entry.strip() and not _is_readable(entry):
                    parts += (data[copied_to:entry_start], b"null")
                    copied_to = match.start()
                entry_start = match.end()
            if symbol != b",":
                depth -= 1
    return b"".join((*parts, data[copied_to:]))


def _is_readable(entry: bytes) -> bool:
    try:
        decode(entry, msgspec.Raw)
    except msgspec.MsgspecError:
        return False
    return True
