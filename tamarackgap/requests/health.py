"""Whether the target serves, judged by what the daemon itself sees."""

_FAILURES_IN_A_ROW = 5
_FIRST_REST_S = 2.0
_LONGEST_REST_S = 60.0
# A run that was given less time says nothing of the target.
MIN_COUNTED_RUN_S = 0.3


class PassiveHealthCheck:
    """Counts runs without an answer, and rests a target that gives none.

    Health reports may lie both ways, so they do not count here.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._rest = _FIRST_REST_S
        self._rests_until = 0.0

    @property
    def failures(self) -> int:
        """Runs in a row without an answer."""
        return self._failures

    def is_healthy(self, now: float) -> bool:
        """Returns whether the target should own slots."""
        return now >= self._rests_until

    def record_answer(self) -> None:
        """Notes an answer."""
        self._failures = 0
        self._rest = _FIRST_REST_S

    def record_failure(self, given: float, now: float) -> bool:
        """Notes a run without an answer.

        Args:
            given: Time that the run was given, seconds.
            now: Monotonic time.

        Returns:
            Whether the target was found unfit just now.
        """
        if given < MIN_COUNTED_RUN_S:
            return False
        self._failures += 1
        if self._failures < _FAILURES_IN_A_ROW or not self.is_healthy(now):
            return False
        self._rests_until = now + self._rest
        self._rest = min(self._rest * 2, _LONGEST_REST_S)
        self._failures = 0
        return True
