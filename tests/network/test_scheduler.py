import pytest

from tamarackgap.network import scheduler


class Clock:
    """A clock that the test moves."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def _wake_ups(timers, clock, seconds):
    """Runs due timers until the time has passed; returns the wake-ups."""
    end = clock.now + seconds
    count = 0
    while True:
        remaining = timers.run_due()
        if clock.now + remaining > end:
            return count
        clock.now += remaining + 1e-9
        count += 1


def test_periodic_calls_share_wake_ups():
    clock = Clock()
    timers = scheduler.Scheduler(clock)
    called = []
    timers.every(0.05, lambda: called.append("tick"))
    clock.now += 0.013
    timers.every(0.05, lambda: called.append("poll"))
    clock.now += 0.021
    timers.every(0.5, lambda: called.append("report"))
    assert _wake_ups(timers, clock, 10) <= 201
    assert called.count("tick") == pytest.approx(200, abs=1)
    assert called.count("poll") == pytest.approx(200, abs=1)
    assert called.count("report") == pytest.approx(20, abs=1)


def test_a_slow_periodic_call_is_followed_by_a_pause():
    clock = Clock()
    timers = scheduler.Scheduler(clock)
    starts = []
    ends = []

    def work():
        starts.append(clock.now)
        clock.now += 0.045
        ends.append(clock.now)

    timers.every(0.05, work)
    _wake_ups(timers, clock, 5)
    pauses = [start - end for start, end in zip(starts[1:], ends, strict=False)]
    assert min(pauses) >= 0.025 - 1e-6
