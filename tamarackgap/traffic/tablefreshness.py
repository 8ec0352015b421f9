"""Keeps how lately this daemon's route table was known to be the newest.

Versions only rise. So a daemon that knows from the store that a version was the
newest at some time has seen all higher versions that were written before that
time. Times are those of the store's clock, which all daemons can compare.
"""

import enum
import math
from collections.abc import Callable

from tamarackgap import logs

# Largest error of a daemon's estimate of the store's clock: it is exact but for
# the time that the fastest answer took, which ends with its time-out.
_MAX_CLOCK_ERROR_S = 2.0
# Versions that are refuted are remembered for so many daemons.
_MAX_REFUTED = 1000


class Claim(enum.Enum):
    """What another daemon's version of the route table means for this one."""

    # It is not newer than the version here.
    NOT_NEWER = "not-newer"
    # It is newer, and may have been written since this daemon's last proof.
    NEWER = "newer"
    # The store would have shown it to this daemon; only the store can tell.
    DOUBTFUL = "doubtful"


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
        # When versions newer than the one here were the newest, as others know.
        self._newer: dict[int, float] = {}
        # Last version that the store has refuted, by the daemon's address.
        self._refuted: dict[str, int] = {}
        # The same for claims that are being checked, with the time at which
        # the check began.
        self._doubted: dict[str, tuple[int, float]] = {}

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

    @property
    def newest_answer(self) -> float:
        """Last time at which the store is known to have answered any daemon.

        In seconds on the store's clock; minus infinity if that is not known.
        """
        return max(self._newest_answer, self._as_of)

    def set_version(self, version: int) -> None:
        """Records that another version is in force here."""
        self._version = version
        self._as_of = max(self._as_of, self._newer.get(version, -math.inf))
        self._newer = {
            newer: as_of
            for newer, as_of in self._newer.items()
            if newer > version
        }

    def record_read(self, as_of: float) -> None:
        """Records that the store has shown the table in force as the newest.

        Args:
            as_of: Time of that on the store's clock, seconds.
        """
        self._as_of = max(self._as_of, as_of)
        for address, (version, since) in list(self._doubted.items()):
            if since > as_of:
                continue
            del self._doubted[address]
            if version > self._version:
                self._refute(address, version)

    def _refute(self, address: str, version: int) -> None:
        logs.event(
            "route_table_version_refuted", version=version, address=address
        )
        if len(self._refuted) >= _MAX_REFUTED:
            self._refuted.clear()
        self._refuted[address] = version

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
        if version <= self._version or version == self._refuted.get(address):
            return Claim.NOT_NEWER
        if self._as_of <= as_of and not self.is_in_future(as_of):
            self._newer[version] = max(as_of, self._newer.get(version, as_of))
            return Claim.NEWER
        if address not in self._doubted:
            logs.event(
                "route_table_version_doubted",
                version=version,
                current=self._version,
                address=address,
                age_ms=round((self._store_time() - as_of) * 1000),
            )
            self._doubted[address] = (version, self._store_time())
        return Claim.DOUBTFUL

    def is_in_future(self, time: float) -> bool:
        """Returns whether a time on the store's clock can't have come yet."""
        now = self._store_time()
        return not math.isinf(now) and time > now + _MAX_CLOCK_ERROR_S

    def hear_answer(self, as_of: float) -> bool:
        """Records when the store answered another daemon.

        Args:
            as_of: That time on the store's clock, seconds.

        Returns:
            Whether it is the newest answer known of.
        """
        if as_of <= self._newest_answer or self.is_in_future(as_of):
            return False
        self._newest_answer = as_of
        return True
