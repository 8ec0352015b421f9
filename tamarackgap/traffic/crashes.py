"""Detects requests that crash targets and bars them for a while.

Such a request is repeated under other ids and at any daemon, so it is
identified by a fingerprint of its content. A request that only happened to run
when a target crashed is answered the next time, which clears its fingerprint.
"""

import collections

import msgspec

from tamarackgap import types
from tamarackgap.peers import calls
from tamarackgap.requests import quarantine

# One crash may have any cause; a request that was running during two crashes,
# one after the other, is barred.
_BARRING_CRASHES = 2
# Time for which a request is barred. After that it may run once more, and one
# more crash bars it again.
BAR_TIME_S = 30.0
# A crash is forgotten after this time.
_RETENTION_S = 120.0
_MAX_FINGERPRINTS = 1000
# Daemons learn of a crash up to this much later than each other.
_REPORT_SKEW_S = 0.02


class _Entry(msgspec.Struct):
    """Holds the crashes of one fingerprint.

    Attributes:
        crash_count: Number of crashes.
        first_started_at: Start of the first run that crashed, monotonic
            seconds.
        last_crash_at: End of the last run that crashed, monotonic seconds.
    """

    crash_count: int
    first_started_at: float
    last_crash_at: float


def fingerprint(service: types.ServiceName, call: calls.Call) -> str:
    """Returns a hash of what a call asks for, independent of its id."""
    position = str(call.position)
    return quarantine.digest(
        (
            service,
            call.caller_service,
            call.method,
            call.request_target,
            position,
        ),
        call.body,
    )


class CrashHistory:
    """Records which requests targets ran when they crashed."""

    def __init__(self) -> None:
        """Creates an empty history."""
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def record(self, fingerprint: str, started: float, ended: float) -> bool:
        """Records that a target crashed while it ran a request.

        Targets that crash at the same time do so for another reason, so a run
        counts only if it does not overlap the recorded ones. Reports of
        crashes arrive in any order.

        Args:
            fingerprint: The request's fingerprint.
            started: Monotonic time at which the run began, seconds.
            ended: Monotonic time of the crash, seconds.

        Returns:
            Whether the request is barred from now on.
        """
        entry = self._entries.get(fingerprint)
        if entry is None or ended - entry.last_crash_at > _RETENTION_S:
            entry = _Entry(1, started, ended)
            self._entries[fingerprint] = entry
        elif (
            started >= entry.last_crash_at - _REPORT_SKEW_S
            or ended <= entry.first_started_at + _REPORT_SKEW_S
        ):
            entry.crash_count += 1
            entry.first_started_at = min(entry.first_started_at, started)
            entry.last_crash_at = max(entry.last_crash_at, ended)
        self._entries.move_to_end(fingerprint)
        while len(self._entries) > _MAX_FINGERPRINTS:
            self._entries.popitem(last=False)
        return entry.crash_count >= _BARRING_CRASHES

    def clear(self, fingerprint: str) -> bool:
        """Removes the fingerprint of a request that was answered.

        Returns:
            Whether it was recorded.
        """
        return self._entries.pop(fingerprint, None) is not None

    def barred_for(self, fingerprint: str, now: float) -> float:
        """Returns the seconds for which a request must not be sent, or 0."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.crash_count < _BARRING_CRASHES:
            return 0.0
        return max(0.0, entry.last_crash_at + BAR_TIME_S - now)
