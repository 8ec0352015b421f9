"""Takes slots back from a target before they move, with little waiting.

Answers services whose calls differ much in length: a target has released slots
only when all running calls for them have ended, and refuses new ones meanwhile.
So long calls are held back first; short ones are served until the long ones
that run have ended, and then wait for each other only.
"""

import functools

from tamarackgap import logs
from tamarackgap.network import scheduler
from tamarackgap.placement import slots
from tamarackgap.traffic import keyholds, runner

# Longest time for which long calls are held back; it is half of the time that
# a usual long call may wait at its entry, seconds.
_LONGEST_S = 0.3
_LOOK_S = 0.02


class HandOffs:
    """The hand-off under way at a target, if there is one."""

    def __init__(
        self,
        calls: runner.Runner,
        holds: keyholds.KeyHolds,
        timers: scheduler.Scheduler,
        done: keyholds.Released,
    ) -> None:
        """Creates a target without a hand-off.

        Args:
            calls: Calls for the target.
            holds: What it holds.
            timers: The loop's scheduler.
            done: Called with the handovers once the target has released all
                slots of the present hand-off.
        """
        self._calls = calls
        self._holds = holds
        self._timers = timers
        self._done = done
        # Hand-offs begun and ended, to tell which one an answer is of.
        self._count = 0

    def begin(self, moving: frozenset[int], at_once: bool) -> None:
        """Begins to take slots back.

        Args:
            moving: The slots.
            at_once: Whether long calls are not waited for.
        """
        self._count += 1
        until = self._timers.now + (0.0 if at_once else _LONGEST_S)
        self._calls.hold_back(moving)
        self._wait(self._count, moving, until)

    def end(self) -> None:
        """Ends the hand-off: its slots have moved, or stay."""
        self._count += 1
        self._calls.hold_back(frozenset())
        self._holds.released()

    def _wait(self, number: int, moving: frozenset[int], until: float) -> None:
        if number != self._count:
            return
        running = self._calls.long_calls(moving)
        # A grant without an answer may be carried out after the move.
        certain = all(self._holds.confirmed(slot) for slot in moving)
        if not certain or (running and self._timers.now < until):
            again = functools.partial(self._wait, number, moving, until)
            self._timers.after(_LOOK_S, again)
            return
        logs.event("releasing", slots=len(moving), long_calls=running)
        self._holds.release(moving, functools.partial(self._released, number))

    def _released(self, number: int, handovers: dict[slots.Run, str]) -> None:
        # An earlier one may end when the lease was lost meanwhile.
        if number == self._count:
            self._done(handovers)
