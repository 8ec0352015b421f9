"""Requests that were at a target when it crashed, known by their content."""

import collections
import enum
from collections.abc import Iterable

import msgspec
import xxhash

from tamarackgap.peers import messages


class Standing(enum.Enum):
    """How a request's content is to be treated."""

    CLEAR = "clear"
    # It was there when a target crashed: it runs again only on its own.
    SUSPECTED = "suspected"
    # It crashed a target on its own: it does not run again.
    CONVICTED = "convicted"


class _Entry(msgspec.Struct):
    standing: Standing
    until: float


def digest(parts: Iterable[str], body: bytes) -> str:
    """Returns a hash of parts and a body that tells where each part ends."""
    found = xxhash.xxh3_128()
    for part in parts:
        data = part.encode("utf-8", "surrogateescape")
        found.update(len(data).to_bytes(4, "big"))
        found.update(data)
    found.update(body)
    return found.hexdigest()


def fingerprint(forward: messages.Forward) -> str:
    """Returns a hash of what a request asks for, whatever its id."""
    return digest(
        (forward.service, forward.method, forward.path, forward.key),
        forward.body,
    )


class Suspects:
    """Contents that are not clear, for a time, and at most so many."""

    def __init__(self, kept: float, limit: int) -> None:
        """Creates an empty set.

        Args:
            kept: How long a standing lasts, seconds.
            limit: Most contents kept; the oldest go first.
        """
        self._kept = kept
        self._limit = limit
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def standing(self, content: str, now: float) -> Standing:
        """Returns how a content is to be treated."""
        entry = self._entries.get(content)
        if entry is None or entry.until <= now:
            return Standing.CLEAR
        return entry.standing

    def note(self, content: str, standing: Standing, now: float) -> None:
        """Takes a standing in; a conviction is never eased."""
        known = self.standing(content, now)
        if known is Standing.CONVICTED:
            standing = known
        self._entries[content] = _Entry(standing, now + self._kept)
        self._entries.move_to_end(content)
        while len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def clear(self, content: str) -> None:
        """Forgets a content: it ran on its own and did no harm."""
        self._entries.pop(content, None)
