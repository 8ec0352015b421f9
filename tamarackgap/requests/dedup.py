"""Keeps the results of non-idempotent requests, so that none runs twice."""

import collections
import enum

import msgspec

from tamarackgap import verdicts


class RequestState(enum.Enum):
    """State of a request, by its id."""

    # It was certainly not executed, here or anywhere else.
    FRESH = "fresh"
    IN_PROGRESS = "in-progress"
    FINISHED = "finished"
    # It may have been executed under an earlier owner, or its entry here was
    # dropped.
    UNKNOWN = "unknown"


class _Entry(msgspec.Struct):
    """Holds one request.

    Attributes:
        started_ms: Wall-clock time at which it was started, milliseconds since
            1970.
        outcome: Its result, or None while it is in progress.
    """

    started_ms: int
    outcome: verdicts.Result | None = None


class DedupCache:
    """Holds the requests that this owner has started, for a window of time."""

    def __init__(self, window_ms: int, limit: int, skew_ms: int) -> None:
        """Creates an empty cache.

        Args:
            window_ms: Time for which a request is kept, milliseconds.
            limit: Most requests kept.
            skew_ms: Largest difference between wall clocks, milliseconds.
        """
        self._window_ms = window_ms
        self._limit = limit
        self._skew_ms = skew_ms
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )
        # Requests that were started up to this time may have been dropped.
        self._dropped_until_ms = 0

    def __len__(self) -> int:
        return len(self._entries)

    def lookup(
        self,
        request_id: str,
        attempt: int,
        first_sent_ms: int,
        owned_since_ms: int,
        now_ms: int,
    ) -> RequestState:
        """Returns the state of a request.

        A request without an entry is fresh if the caller has not sent it
        before, or first sent it at a time for which this cache has every
        request. All times are wall-clock milliseconds since 1970.

        Args:
            request_id: Id of the request.
            attempt: 1 if the caller has not sent the id before.
            first_sent_ms: Time at which the caller first sent the id.
            owned_since_ms: Time since which this owner has owned the slot.
            now_ms: Current time.
        """
        entry = self._entries.get(request_id)
        if entry is not None:
            finished = entry.outcome is not None
            return (
                RequestState.FINISHED if finished else RequestState.IN_PROGRESS
            )
        if attempt == 1:
            return RequestState.FRESH
        complete_since = max(
            owned_since_ms, self._dropped_until_ms, now_ms - self._window_ms
        )
        if first_sent_ms < complete_since + self._skew_ms:
            return RequestState.UNKNOWN
        return RequestState.FRESH

    def result_of(self, request_id: str) -> verdicts.Result | None:
        """Returns the result of a finished request, or None."""
        entry = self._entries.get(request_id)
        return entry.outcome if entry is not None else None

    def record_start(self, request_id: str, now_ms: int) -> None:
        """Records that a request is about to be sent to the target."""
        self._drop_old(now_ms)
        self._entries[request_id] = _Entry(now_ms)

    def record_result(self, request_id: str, outcome: verdicts.Result) -> None:
        """Records the result of a request.

        The entry is dropped if the request was not executed, so that it may
        be sent again.
        """
        if request_id not in self._entries:
            return
        refusal = outcome.swap().value_or(None)
        if refusal is not None and not refusal.may_have_run:
            del self._entries[request_id]
        else:
            self._entries[request_id].outcome = outcome

    def _drop_old(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._window_ms
        while self._entries:
            request_id, entry = next(iter(self._entries.items()))
            full = len(self._entries) >= self._limit
            if entry.started_ms >= oldest_ms and not full:
                return
            self._dropped_until_ms = max(
                self._dropped_until_ms, entry.started_ms
            )
            del self._entries[request_id]
