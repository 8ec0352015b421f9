"""Remembers the ids of non-idempotent requests, so that none runs twice."""

import collections
import enum

import msgspec

from tamarackgap import verdicts


class RequestState(enum.Enum):
    """What is known of a request's id."""

    # It certainly has not run here or anywhere else.
    FRESH = "fresh"
    IN_PROGRESS = "in-progress"
    FINISHED = "finished"
    # It may have run under an earlier owner, or was forgotten here.
    UNKNOWN = "unknown"


class _Entry(msgspec.Struct):
    begun_ms: int
    outcome: verdicts.Result | None = None


class DedupCache:
    """Ids that this owner has begun to run, for a window of time."""

    def __init__(self, window_ms: int, limit: int, skew_ms: int) -> None:
        """Creates an empty memory.

        Args:
            window_ms: How long an id is remembered, milliseconds.
            limit: Most ids remembered.
            skew_ms: Largest difference between wall clocks, milliseconds.
        """
        self._window_ms = window_ms
        self._limit = limit
        self._skew_ms = skew_ms
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )
        # Ids begun before this may have been forgotten.
        self._floor_ms = 0

    def __len__(self) -> int:
        return len(self._entries)

    def lookup(
        self,
        request: str,
        attempt: int,
        first_sent_ms: int,
        owned_since_ms: int,
        now_ms: int,
    ) -> RequestState:
        """Returns what is known of an id.

        Args:
            request: The id.
            attempt: 1 where the caller never sent the id before.
            first_sent_ms: Caller's wall-clock time of the first sending.
            owned_since_ms: Wall-clock time when this owner took the slot.
            now_ms: Wall-clock time.
        """
        entry = self._entries.get(request)
        if entry is not None:
            done = entry.outcome is not None
            return RequestState.FINISHED if done else RequestState.IN_PROGRESS
        if attempt == 1:
            return RequestState.FRESH
        known_since = max(
            owned_since_ms, self._floor_ms, now_ms - self._window_ms
        )
        if first_sent_ms < known_since + self._skew_ms:
            return RequestState.UNKNOWN
        return RequestState.FRESH

    def result_of(self, request: str) -> verdicts.Result | None:
        """Returns the remembered result of a finished id, or None."""
        entry = self._entries.get(request)
        return entry.outcome if entry is not None else None

    def record_start(self, request: str, now_ms: int) -> None:
        """Notes that the request is about to be handed over."""
        self._forget(now_ms)
        self._entries[request] = _Entry(now_ms)

    def record_result(self, request: str, outcome: verdicts.Result) -> None:
        """Notes the result; one that did not run may be sent again."""
        if request not in self._entries:
            return
        refusal = outcome.swap().value_or(None)
        if refusal is not None and not refusal.may_have_run:
            del self._entries[request]
        else:
            self._entries[request].outcome = outcome

    def _forget(self, now_ms: int) -> None:
        oldest = now_ms - self._window_ms
        while self._entries:
            request, entry = next(iter(self._entries.items()))
            full = len(self._entries) >= self._limit
            if entry.begun_ms >= oldest and not full:
                return
            self._floor_ms = max(self._floor_ms, entry.begun_ms)
            del self._entries[request]
