"""Tells how late messages of other daemons are.

Each message names its time of sending on its sender's clock. The difference to
the time of its receipt is the difference of the two clocks plus the time that
it took; the least difference is that of a message that came without delay.
"""

from collections.abc import Callable

# Largest relative difference between the speeds of two clocks.
_MAX_DRIFT = 0.001
_MAX_SENDERS = 4000


class LatenessMeter:
    """Holds the least difference to the clock of each sender."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Creates a meter that has seen no message.

        Args:
            clock: Returns the current monotonic time, seconds.
        """
        self._clock = clock
        # Least difference, and when it was measured, by sender.
        self._least: dict[str, tuple[float, float]] = {}

    def measure(self, sender: str, sent: float) -> float:
        """Returns how much later a message is than the fastest one, seconds.

        Args:
            sender: Incarnation that sent it.
            sent: Time of sending, seconds on the sender's clock.
        """
        now = self._clock()
        difference = now - sent
        least, measured_at = self._least.get(sender, (difference, now))
        # The clocks may have moved apart since then.
        least += (now - measured_at) * _MAX_DRIFT
        if difference <= least:
            self._least.pop(sender, None)
            self._least[sender] = (difference, now)
            if len(self._least) > _MAX_SENDERS:
                del self._least[next(iter(self._least))]
            return 0.0
        return difference - least
