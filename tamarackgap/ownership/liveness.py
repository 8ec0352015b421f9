"""Owners that are not heard, and the challenges that were put to them."""

from collections.abc import Callable

from tamarackgap.placement import records

# An owner that answered a challenge, or was ended, is not asked again for so
# long, seconds.
_PAUSE_S = 10.0


class LivenessTracker:
    """Since when owners are missed, and challenges have been standing."""

    def __init__(self) -> None:
        """Creates a memory in which everybody is heard."""
        self._missed_since: dict[str, float] = {}
        self._challenges: dict[str, tuple[int, float]] = {}

    def missed_for(
        self,
        view: records.TableView,
        own: str,
        is_reachable: Callable[[str], bool],
        now: float,
    ) -> dict[str, float]:
        """Returns for how long each silent owner has been missed, seconds.

        Args:
            view: Rows of the table known here.
            own: The incarnation that asks.
            is_reachable: Tells whether an incarnation has been heard lately.
            now: Monotonic time, seconds.
        """
        self._missed_since = {
            record.incarnation: self._missed_since.get(record.incarnation, now)
            for record in view.leases()
            if record.is_open
            and record.incarnation != own
            and not is_reachable(record.incarnation)
        }
        return {name: now - since for name, since in self._missed_since.items()}

    def challenged_for(
        self, view: records.TableView, now: float
    ) -> dict[str, float]:
        """Returns for how long each challenge has been seen here, seconds."""
        found: dict[str, tuple[int, float]] = {}
        for name in view.challenges():
            revision = view.revision(records.challenge_key(name))
            known = self._challenges.get(name)
            if known is None or known[0] != revision:
                known = (revision, now)
            found[name] = known
        for name in self._challenges.keys() - found.keys():
            # It lives, or is over: it is not asked again for a while.
            self._missed_since[name] = now + _PAUSE_S
        self._challenges = found
        return {name: now - since for name, (_, since) in found.items()}
