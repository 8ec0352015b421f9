"""Requests that crash the targets that run them, known by their content.

Such a request comes again under other ids, at any daemon. It is told from
requests that only happened to be at a target when it crashed by this: they
are answered the next time.
"""

import collections

import msgspec

from tamarackgap import types
from tamarackgap.peers import calls
from tamarackgap.requests import quarantine

# One crash may have any cause; a content that was there when two targets
# crashed, one after the other, is not sent again.
_STRIKES = 2
# How long it is refused then; it gets one more chance after that, seconds.
BAR_TIME_S = 30.0
# How long a crash is remembered, seconds.
_KEPT_S = 120.0
_MOST_CONTENTS = 1000
# Daemons hear of a crash up to this much later than one another, seconds.
_SLACK_S = 0.02


class _Entry(msgspec.Struct):
    strikes: int
    # Begin of the first and end of the last run that crashed, seconds.
    first: float
    last: float


def fingerprint(service: types.ServiceName, call: calls.Call) -> str:
    """Returns a hash of what a call asks for, whatever its id."""
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
    """Contents that were at targets when these crashed."""

    def __init__(self) -> None:
        """Creates an empty memory."""
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def record(self, content: str, begun: float, ended: float) -> bool:
        """Takes in that a target crashed while it ran a content.

        Targets that crash at the same moment crash for another reason: a
        run counts only if it does not overlap those that are known. News of
        crashes come in any order.

        Args:
            content: The content's fingerprint.
            begun: When the run began, seconds.
            ended: When the target crashed, seconds.

        Returns:
            Whether the content is barred from now on.
        """
        entry = self._entries.get(content)
        if entry is None or ended - entry.last > _KEPT_S:
            entry = _Entry(1, begun, ended)
            self._entries[content] = entry
        elif begun >= entry.last - _SLACK_S or ended <= entry.first + _SLACK_S:
            entry.strikes += 1
            entry.first = min(entry.first, begun)
            entry.last = max(entry.last, ended)
        self._entries.move_to_end(content)
        while len(self._entries) > _MOST_CONTENTS:
            self._entries.popitem(last=False)
        return entry.strikes >= _STRIKES

    def clear(self, content: str) -> bool:
        """Forgets a content that was answered.

        Returns:
            Whether it was known.
        """
        return self._entries.pop(content, None) is not None

    def barred_for(self, content: str, now: float) -> float:
        """Returns for how long a content must not be sent, seconds."""
        entry = self._entries.get(content)
        if entry is None or entry.strikes < _STRIKES:
            return 0.0
        return max(0.0, entry.last + BAR_TIME_S - now)
