"""Takes slots back from the local target before they move."""

import functools

from tamarackgap.placement import slots
from tamarackgap.traffic import slotgrants


class SlotReleaser:
    """Controls the release of moving slots, one release at a time.

    Handovers of a release that has been ended or replaced are dropped. A
    target that is told of it only with the answer to its next heartbeat runs
    calls for the slots until then.
    """

    def __init__(
        self, grants: slotgrants.SlotGrants, done: slotgrants.OnReleased
    ) -> None:
        """Creates an instance without a release.

        Args:
            grants: The grants of the target.
            done: Called with the handovers once the target has released all
                slots of the current release.
        """
        self._grants = grants
        self._done = done
        # Rises when a release begins or ends, to tell releases apart.
        self._release_number = 0
        # Slots whose release begins with the target's next heartbeat.
        self._waiting: frozenset[int] = frozenset()

    @property
    def is_waiting(self) -> bool:
        """Whether a release is to begin with the target's next heartbeat."""
        return bool(self._waiting)

    def begin(self, moving: frozenset[int]) -> None:
        """Begins a release, or prepares it for the next heartbeat.

        Calls for the slots are refused as soon as it has begun.

        Args:
            moving: The slots that are going to move.
        """
        self._release_number += 1
        if self._grants.by_heartbeat:
            self._waiting = moving
        else:
            self._release(moving)

    def handle_heartbeat(self) -> None:
        """Begins the release that waits for a heartbeat, if any."""
        if self._waiting:
            moving, self._waiting = self._waiting, frozenset()
            self._release(moving)

    def _release(self, moving: frozenset[int]) -> None:
        self._grants.release(
            moving,
            functools.partial(self._handle_released, self._release_number),
        )

    def end(self) -> None:
        """Ends the release, whether its slots have moved or stay."""
        self._release_number += 1
        self._waiting = frozenset()
        self._grants.end_release()

    def _handle_released(
        self, release_number: int, handovers: dict[slots.SlotRange, str]
    ) -> None:
        # An earlier release may be answered after the lease was lost.
        if release_number == self._release_number:
            self._done(handovers)
