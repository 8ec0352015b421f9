"""Calls functions at their time, on the circuits loop."""

import heapq
import itertools
import time
from collections.abc import Callable

import circuits

Clock = Callable[[], float]


class Timer:
    """A call that is due at some time, unless it is cancelled."""

    def __init__(self, call: Callable[[], None]) -> None:
        """Creates a timer for `call`."""
        self._call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Makes sure that the call is not made."""
        self._call = None

    def fire(self) -> None:
        """Makes the call, once."""
        call = self._call
        self._call = None
        if call is not None:
            call()


class Scheduler(circuits.Component):
    """Timers, and functions to call once in each turn of the loop."""

    channel = "scheduler"

    def __init__(self, clock: Clock = time.monotonic) -> None:
        """Creates a scheduler without timers."""
        super().__init__()
        self._clock = clock
        self._timers: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()
        self._each_iteration: list[Callable[[], None]] = []

    @property
    def now(self) -> float:
        """Monotonic time, seconds."""
        return self._clock()

    def after(self, seconds: float, call: Callable[[], None]) -> Timer:
        """Calls once, when `seconds` have gone by."""
        timer = Timer(call)
        due = self._clock() + seconds
        heapq.heappush(self._timers, (due, next(self._order), timer))
        return timer

    def every(self, seconds: float, call: Callable[[], None]) -> None:
        """Calls again and again, `seconds` after the last call's end."""

        def again() -> None:
            call()
            self.after(seconds, again)

        self.after(seconds, again)

    def each_iteration(self, call: Callable[[], None]) -> None:
        """Calls in each turn of the loop, before it waits for events."""
        self._each_iteration.append(call)

    def run_due(self) -> float:
        """Makes all calls that are due.

        Returns:
            Seconds until the next one is due, or -1 where there is none.
        """
        for call in self._each_iteration:
            call()
        while self._timers:
            left = self._timers[0][0] - self._clock()
            if left > 0:
                return left
            heapq.heappop(self._timers)[2].fire()
        return -1.0

    @circuits.handler("generate_events", channel="*", priority=10)
    def _on_turn(self, event: circuits.Event) -> None:
        left = self.run_due()
        if len(self.root):
            # A call has fired events: the loop must not wait now.
            left = 0.0
        event.reduce_time_left(left)
