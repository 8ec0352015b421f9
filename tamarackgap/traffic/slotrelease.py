"""Takes slots back from a target before they move."""

import functools

from tamarackgap.placement import slots
from tamarackgap.traffic import slotgrants


class SlotReleaser:
    """The hand-off under way at a target, if there is one."""

    def __init__(
        self, holds: slotgrants.SlotGrants, done: slotgrants.OnReleased
    ) -> None:
        """Creates a target without a hand-off.

        Args:
            holds: What the target holds.
            done: Called with the handovers once the target has released all
                slots of the present hand-off.
        """
        self._holds = holds
        self._done = done
        # Hand-offs begun and ended, to tell which one an answer is of.
        self._count = 0

    def begin(self, moving: frozenset[int]) -> None:
        """Takes slots back; new calls for them are refused from now on."""
        self._count += 1
        self._holds.release(
            moving, functools.partial(self._released, self._count)
        )

    def end(self) -> None:
        """Ends the hand-off: its slots have moved, or stay."""
        self._count += 1
        self._holds.end_release()

    def _released(
        self, number: int, handovers: dict[slots.SlotRange, str]
    ) -> None:
        # An earlier one may end when the lease was lost meanwhile.
        if number == self._count:
            self._done(handovers)
