"""Holds calls that were late on the way, until what follows them is read.

A call that waited in a lost or slow connection has less time left than it says,
and its withdrawal may have waited right behind it.
"""

from collections.abc import Callable

import msgspec

from tamarackgap.network import scheduler
from tamarackgap.peers import calls
from tamarackgap.scheduling import ways

# A call that is later than this is held.
_LATE_S = 0.2
# Messages that waited together are read within this time.
_HOLD_S = 0.02

# Submits a call to the runner.
Submit = Callable[[calls.Dispatch], None]


class LateCalls:
    """Shortens the time of late calls, and holds them for a moment."""

    def __init__(self, timers: scheduler.Scheduler, way: ways.Way) -> None:
        """Creates an instance that holds no call.

        Args:
            timers: The loop's scheduler.
            way: Is told how late each call is.
        """
        self._timers = timers
        self._way = way
        # By the incarnation that sent the call, and its leg.
        self._held: set[tuple[str, int]] = set()

    def receive(
        self,
        dispatch: calls.Dispatch,
        sender: str,
        late_s: float,
        submit: Submit,
    ) -> None:
        """Submits a call, at once if it is not late.

        Args:
            dispatch: The call.
            sender: The incarnation that sent it.
            late_s: How late it is, seconds.
            submit: Called with the call, unless it is withdrawn before.
        """
        self._way.record(late_s, self._timers.now)
        if late_s <= _LATE_S:
            submit(dispatch)
            return
        key = (sender, dispatch.leg)
        self._held.add(key)
        shortened = msgspec.structs.replace(
            dispatch,
            remaining=dispatch.remaining - late_s - _HOLD_S,
            objective_remaining=dispatch.objective_remaining - late_s - _HOLD_S,
        )

        def submit_held() -> None:
            if key in self._held:
                self._held.discard(key)
                submit(shortened)

        self._timers.after(_HOLD_S, submit_held)

    def withdraw(self, sender: str, leg: int) -> None:
        """Drops a held call whose caller no longer waits."""
        self._held.discard((sender, leg))
