"""Decides when a transaction with an unknown outcome is sent again."""

import random

_MIN_PAUSE_S = 0.2
# The store may refuse all calls for long, and each refusal costs.
_MAX_PAUSE_S = 1.6
_PAUSE_GROWTH = 2.0
# A transaction without any result is sent again after this time.
_TIMEOUT_S = 2.0


class CommitRetry:
    """Times the tries of a transaction; pauses between them grow."""

    def __init__(self, rng: random.Random) -> None:
        """Creates an instance for a transaction that was never tried.

        Args:
            rng: Spreads the transactions of daemons that fail together.
        """
        self._rng = rng
        self._pause_s = _MIN_PAUSE_S
        self._is_pausing = False
        self._due_at = 0.0

    def is_due(self, now: float) -> bool:
        """Returns whether the transaction is to be sent again."""
        return now >= self._due_at

    def record_try(self, now: float) -> None:
        """Records that the transaction was sent.

        Args:
            now: Monotonic time, seconds.
        """
        # Its result changes this. If that is lost, it is sent again then.
        self._is_pausing = False
        self._due_at = now + _TIMEOUT_S

    def record_unknown(self, now: float, can_read: bool) -> None:
        """Records that a try has ended without an outcome.

        Args:
            now: Monotonic time, seconds.
            can_read: Whether the table answers reads. The outcome was then lost
                on the way and is asked for again soon: slots wait for it.
        """
        self._is_pausing = True
        self._due_at = now + self._pause_s * (1 + self._rng.random())
        if not can_read:
            self._pause_s = min(self._pause_s * _PAUSE_GROWTH, _MAX_PAUSE_S)

    def end_pause(self, now: float) -> None:
        """Ends a pause, because the table answers again.

        Args:
            now: Monotonic time, seconds.
        """
        self._pause_s = _MIN_PAUSE_S
        if self._is_pausing:
            self._due_at = min(self._due_at, now)

    def record_outcome(self) -> None:
        """Records an outcome: the next pause is the shortest again."""
        self._pause_s = _MIN_PAUSE_S
        self._is_pausing = False
