"""Checks the health of the target by the results of its requests."""

_FAILURE_THRESHOLD = 5
_FIRST_UNHEALTHY_S = 2.0
_MAX_UNHEALTHY_S = 60.0
# A shorter run without an answer is not counted: its deadline may have left
# the target too little time.
MIN_COUNTED_RUN_S = 0.3


class PassiveHealthCheck:
    """Counts consecutive requests without an answer.

    After too many, the target counts as unhealthy for a period, which doubles
    each time until the target answers. What the target reports of its own
    health is not used, as it may be wrong either way.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._next_period = _FIRST_UNHEALTHY_S
        self._unhealthy_until = 0.0

    @property
    def failures(self) -> int:
        """Number of consecutive requests without an answer."""
        return self._failures

    def is_healthy(self, now: float) -> bool:
        """Returns whether this daemon should own slots for the target."""
        return now >= self._unhealthy_until

    def record_answer(self) -> None:
        """Records an answer."""
        self._failures = 0
        self._next_period = _FIRST_UNHEALTHY_S

    def record_failure(self, elapsed: float, now: float) -> bool:
        """Records a request without an answer.

        Args:
            elapsed: Time since it was sent to the target, seconds.
            now: Monotonic time, seconds.

        Returns:
            Whether this made the target unhealthy.
        """
        if elapsed < MIN_COUNTED_RUN_S:
            return False
        self._failures += 1
        if self._failures < _FAILURE_THRESHOLD or not self.is_healthy(now):
            return False
        self._unhealthy_until = now + self._next_period
        self._next_period = min(self._next_period * 2, _MAX_UNHEALTHY_S)
        self._failures = 0
        return True
