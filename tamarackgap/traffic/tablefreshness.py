"""Keeps how lately this daemon's route table was known to be the newest.

Versions only rise. So a daemon that knows from the store that a version was the
newest at some time has seen all higher versions that were written before that
time. Times are those of the store's clock, which all daemons can compare.
"""

import enum
import math
from collections.abc import Callable


class Claim(enum.Enum):
    """What another daemon's version of the route table means for this one."""

    # It is not newer than the version here.
    NOT_NEWER = "not-newer"
    # It is newer, and may have been written since this daemon's last proof.
    NEWER = "newer"


class TableFreshness:
    """Holds the last time at which the table in force was the newest."""

    def __init__(self, store_time: Callable[[], float]) -> None:
        """Creates an instance without any proof.

        Args:
            store_time: Returns the time on the store's clock, seconds; minus
                infinity while that is not known.
        """
        self._store_time = store_time
        self._version = 0
        self._as_of = -math.inf
        # Newest time at which any daemon is known to have had an answer.
        self._newest_answer = -math.inf

    @property
    def as_of(self) -> float:
        """Last time at which the table in force was the newest.

        In seconds on the store's clock; minus infinity if that is not known.
        """
        return self._as_of

    @property
    def age(self) -> float:
        """Time since then, seconds; infinite if it is not known."""
        now = self._store_time()
        if math.isinf(self._as_of) or math.isinf(now):
            return math.inf
        return max(0.0, now - self._as_of)

    def set_version(self, version: int) -> None:
        """Records that another version is in force here."""
        self._version = version

    def record_read(self, as_of: float) -> None:
        """Records that the store has shown the table in force as the newest.

        Args:
            as_of: Time of that on the store's clock, seconds.
        """
        self._as_of = max(self._as_of, as_of)

    def assess(self, version: int, as_of: float, address: str) -> Claim:
        """Returns what a version means that another daemon has in force.

        If it is the version here, its proof holds here as well.

        Args:
            version: The version.
            as_of: Last time at which it was the newest, as that daemon knows,
                seconds on the store's clock.
            address: That daemon's address.
        """
        if version == self._version:
            self._as_of = max(self._as_of, min(as_of, self._store_time()))
        if version <= self._version:
            return Claim.NOT_NEWER
        return Claim.NEWER

    def hear_answer(self, as_of: float) -> bool:
        """Records when the store answered another daemon.

        Args:
            as_of: That time on the store's clock, seconds.

        Returns:
            Whether it is the newest answer known of.
        """
        if as_of <= self._newest_answer:
            return False
        self._newest_answer = as_of
        return True
