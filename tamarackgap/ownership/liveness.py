"""Tracks unreachable owners and the challenges that are open against them."""

from collections.abc import Callable

from tamarackgap.placement import records

# After a challenge was answered, or its owner's record was closed, the owner
# does not count as unreachable for this long.
_CHALLENGE_PAUSE_S = 10.0


class LivenessTracker:
    """Records since when owners are unreachable and challenges are open."""

    def __init__(self) -> None:
        """Creates a tracker that knows of no unreachable owner."""
        self._unreachable_since: dict[str, float] = {}
        # Revision of each challenge's row, and when it was first seen.
        self._challenges: dict[str, tuple[int, float]] = {}

    def unreachable_durations(
        self,
        view: records.TableView,
        own_incarnation: str,
        is_reachable: Callable[[str], bool],
        now: float,
    ) -> dict[str, float]:
        """Returns how long owners have been unreachable, seconds.

        Args:
            view: This daemon's copy of the table.
            own_incarnation: This daemon's incarnation, which is left out.
            is_reachable: Tells whether an incarnation has been heard from
                lately.
            now: Monotonic time, seconds.

        Returns:
            Seconds by incarnation; negative in the pause after a challenge.
        """
        self._unreachable_since = {
            record.incarnation: self._unreachable_since.get(
                record.incarnation, now
            )
            for record in view.leases()
            if record.is_open
            and record.incarnation != own_incarnation
            and not is_reachable(record.incarnation)
        }
        return {
            name: now - since for name, since in self._unreachable_since.items()
        }

    def challenge_durations(
        self, view: records.TableView, now: float
    ) -> dict[str, float]:
        """Returns how long this daemon has seen each challenge, seconds.

        A challenge that was written anew counts from its new revision.

        Args:
            view: This daemon's copy of the table.
            now: Monotonic time, seconds.
        """
        current: dict[str, tuple[int, float]] = {}
        for name in view.challenges():
            revision = view.revision(records.challenge_key(name))
            first_seen = self._challenges.get(name)
            if first_seen is None or first_seen[0] != revision:
                first_seen = (revision, now)
            current[name] = first_seen
        for name in self._challenges.keys() - current.keys():
            # The owner has answered, or its record was closed: it must not
            # be challenged again at once.
            self._unreachable_since[name] = now + _CHALLENGE_PAUSE_S
        self._challenges = current
        return {name: now - since for name, (_, since) in current.items()}
