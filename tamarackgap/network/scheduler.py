"""Calls functions at given times, on the circuits event loop."""

import heapq
import itertools
import math
import time
from collections.abc import Callable

import circuits

Clock = Callable[[], float]


class Timer:
    """A function call that is scheduled once and can be cancelled."""

    def __init__(self, call: Callable[[], None]) -> None:
        """Creates a timer that calls `call`."""
        self._call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Cancels the call, if it has not been made yet."""
        self._call = None

    def fire(self) -> None:
        """Makes the call, unless it was made or cancelled before."""
        call = self._call
        self._call = None
        if call is not None:
            call()


class Scheduler(circuits.Component):
    """Runs timers, and functions that are called in each loop iteration."""

    channel = "scheduler"

    def __init__(self, clock: Clock = time.monotonic) -> None:
        """Creates a scheduler without timers.

        Args:
            clock: Returns the current monotonic time, seconds.
        """
        super().__init__()
        self._clock = clock
        self._origin = clock()
        self._timers: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()
        self._iteration_calls: list[Callable[[], None]] = []

    @property
    def now(self) -> float:
        """The current monotonic time, seconds."""
        return self._clock()

    def after(self, seconds: float, call: Callable[[], None]) -> Timer:
        """Calls `call` once, after a delay in seconds."""
        timer = Timer(call)
        due_at = self._clock() + seconds
        heapq.heappush(self._timers, (due_at, next(self._sequence), timer))
        return timer

    def every(self, seconds: float, call: Callable[[], None]) -> None:
        """Calls `call` repeatedly, at multiples of a time in seconds.

        Functions with the same time, or a multiple of it, share the loop's
        wake-ups. Half of that time passes at least between two calls.
        """

        def call_and_reschedule() -> None:
            call()
            schedule()

        def schedule() -> None:
            elapsed = self._clock() - self._origin
            due = math.floor(elapsed / seconds + 1.5) * seconds
            self.after(due - elapsed, call_and_reschedule)

        schedule()

    def each_iteration(self, call: Callable[[], None]) -> None:
        """Calls `call` in each loop iteration, before the loop waits."""
        self._iteration_calls.append(call)

    def run_due(self) -> float:
        """Calls the functions of `each_iteration` and those of all due timers.

        Returns:
            Seconds until the next timer is due, or -1 if there is none.
        """
        for call in self._iteration_calls:
            call()
        while self._timers:
            remaining = self._timers[0][0] - self._clock()
            if remaining > 0:
                return remaining
            heapq.heappop(self._timers)[2].fire()
        return -1.0

    @circuits.handler("generate_events", channel="*", priority=10)
    def _on_generate_events(self, event: circuits.Event) -> None:
        remaining = self.run_due()
        if len(self.root):
            # A call has fired events, so the loop must not wait.
            remaining = 0.0
        event.reduce_time_left(remaining)
