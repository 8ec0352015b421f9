"""Quarantines requests that a target was executing when it crashed.

A caller may send such a request again under another id, so it is identified
by a fingerprint of its content.
"""

import collections
import enum
from collections.abc import Iterable

import msgspec
import xxhash

from tamarackgap.peers import messages


class QuarantineState(enum.Enum):
    """State of a fingerprint, which says how its requests are executed."""

    CLEAR = "clear"
    # A target crashed while it executed such a request, perhaps among others.
    # The next one is executed exclusively.
    SUSPECTED = "suspected"
    # A target crashed while it executed only such a request. The next one is
    # refused.
    BLOCKED = "convicted"


class _Entry(msgspec.Struct):
    """Holds one fingerprint.

    Attributes:
        state: Its state.
        expires_at: Time at which it becomes clear again, monotonic seconds.
    """

    state: QuarantineState
    expires_at: float


def digest(parts: Iterable[str], body: bytes) -> str:
    """Returns a hash of strings and a body.

    The length of each string is hashed too, so that the same characters split
    at another place give another hash.
    """
    hasher = xxhash.xxh3_128()
    for part in parts:
        data = part.encode("utf-8", "surrogateescape")
        hasher.update(len(data).to_bytes(4, "big"))
        hasher.update(data)
    hasher.update(body)
    return hasher.hexdigest()


def fingerprint_of(forward: messages.Forward) -> str:
    """Returns a hash of what a request asks for, without its id."""
    return digest(
        (forward.service, forward.method, forward.path, forward.key),
        forward.body,
    )


class Quarantine:
    """Holds the fingerprints that are suspected or blocked."""

    def __init__(self, duration: float, limit: int) -> None:
        """Creates an empty quarantine.

        Args:
            duration: Time for which a fingerprint is kept, seconds.
            limit: Most fingerprints kept; the oldest are dropped first.
        """
        self._duration = duration
        self._limit = limit
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def state(self, fingerprint: str, now: float) -> QuarantineState:
        """Returns the state of a fingerprint.

        Args:
            fingerprint: The fingerprint.
            now: Monotonic time, seconds.
        """
        entry = self._entries.get(fingerprint)
        if entry is None or entry.expires_at <= now:
            return QuarantineState.CLEAR
        return entry.state

    def add(self, fingerprint: str, state: QuarantineState, now: float) -> None:
        """Adds a fingerprint, or renews it.

        A blocked fingerprint stays blocked.

        Args:
            fingerprint: The fingerprint.
            state: Its new state.
            now: Monotonic time, seconds.
        """
        current = self.state(fingerprint, now)
        if current is QuarantineState.BLOCKED:
            state = current
        self._entries[fingerprint] = _Entry(state, now + self._duration)
        self._entries.move_to_end(fingerprint)
        while len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def remove(self, fingerprint: str) -> None:
        """Removes a fingerprint whose request ran alone without a crash."""
        self._entries.pop(fingerprint, None)
