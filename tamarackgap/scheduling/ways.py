"""Follows how long calls of other daemons are on their way to this one.

A VM's link may be full while its target has room: the bodies of other calls are
on it, or rows of a move. Calls to that target then arrive late, however short
its queue is, and so do answers to this daemon's own calls.
"""

# Half-life of what a call's lateness says about the next ones.
_HALF_LIFE_S = 1.0
# Weight of one call's lateness; a link carries calls of all sizes.
_WEIGHT = 0.2
# An answer's way gets no more than this share of the time that is left.
_MAX_SHARE = 0.25


class Way:
    """Averages how late calls arrive at this daemon."""

    def __init__(self) -> None:
        self._late_s = 0.0
        self._recorded_at = 0.0

    def record(self, late_s: float, now: float) -> None:
        """Records the arrival of a call.

        Args:
            late_s: How much later it is than the fastest one, seconds.
            now: Monotonic time, seconds.
        """
        late_before = self.late_s(now)
        self._late_s = late_before + (late_s - late_before) * _WEIGHT
        self._recorded_at = now

    def late_s(self, now: float) -> float:
        """Returns how late a call that arrives now is likely to be, seconds.

        Args:
            now: Monotonic time, seconds.
        """
        return self._late_s * 0.5 ** ((now - self._recorded_at) / _HALF_LIFE_S)

    def margin(self, left: float, now: float) -> float:
        """Returns the time to keep for an answer's way to this daemon, seconds.

        Args:
            left: Time until the answer must be here, seconds.
            now: Monotonic time, seconds.
        """
        return min(self.late_s(now), max(0.0, left) * _MAX_SHARE)
