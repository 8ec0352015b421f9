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

# Deepest nesting of an entry in a list; no entry of a known form reaches it.
_MAX_ENTRY_DEPTH = 64
# The depth of an entry in a list that is a field of the whole text.
_LIST_DEPTH = 2
_STRING_OR_BRACKET = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL
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

    Entries of the list that are too deeply nested become null.

    Args:
        data: The text.
        value_type: Type of the object.

    Raises:
        msgspec.MsgspecError: If the text is not JSON, can't be read, or is of
            another type.
    """
    try:
        return msgspec.json.decode(data, type=value_type)
    except RecursionError:
        return decode(_without_deep_entries(data), value_type)
    except UnicodeError as error:
        raise msgspec.DecodeError(str(error)) from error


def _without_deep_entries(data: bytes) -> bytes:
    """Replaces the too deeply nested entries of lists by null."""
    parts = []
    copied_to = 0
    depth = 0
    deepest = 0
    entry_start = 0
    for match in _STRING_OR_BRACKET.finditer(data):
        symbol = match[0]
        if symbol in (b"[", b"{"):
            if depth == _LIST_DEPTH:
                entry_start = match.start()
                deepest = 0
            depth += 1
            deepest = max(deepest, depth - _LIST_DEPTH)
        elif symbol in (b"]", b"}"):
            depth -= 1
            if depth == _LIST_DEPTH and deepest > _MAX_ENTRY_DEPTH:
                parts += (data[copied_to:entry_start], b"null")
                copied_to = match.end()
    return b"".join((*parts, data[copied_to:]))
