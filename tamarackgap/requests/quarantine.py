"""Requests that were at a target when it crashed, known by their content."""

import collections
import enum
from collections.abc import Iterable

import msgspec
import xxhash

from tamarackgap.peers import messages


class QuarantineState(enum.Enum):
    """How a request's content is to be treated."""

    CLEAR = "clear"
    # It was there when a target crashed: it runs again only on its own.
    SUSPECTED = "suspected"
    # It crashed a target on its own: it does not run again.
    BLOCKED = "convicted"


class _Entry(msgspec.Struct):
    standing: QuarantineState
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


def fingerprint_of(forward: messages.Forward) -> str:
    """Returns a hash of what a request asks for, whatever its id."""
    return digest(
        (forward.service, forward.method, forward.path, forward.key),
        forward.body,
    )


class Quarantine:
    """Contents that are not clear, for a time, and at most so many."""

    def __init__(self, duration: float, limit: int) -> None:
        """Creates an empty set.

        Args:
            duration: How long a standing lasts, seconds.
            limit: Most contents kept; the oldest go first.
        """
        self._kept = duration
        self._limit = limit
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def state(self, content: str, now: float) -> QuarantineState:
        """Returns how a content is to be treated."""
        entry = self._entries.get(content)
        if entry is None or entry.until <= now:
            return QuarantineState.CLEAR
        return entry.standing

    def add(self, content: str, standing: QuarantineState, now: float) -> None:
        """Takes a standing in; a conviction is never eased."""
        known = self.state(content, now)
        if known is QuarantineState.BLOCKED:
            standing = known
        self._entries[content] = _Entry(standing, now + self._kept)
        self._entries.move_to_end(content)
        while len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def remove(self, content: str) -> None:
        """Forgets a content: it ran on its own and did no harm."""
        self._entries.pop(content, None)
