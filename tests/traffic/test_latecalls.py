import pytest

from tamarackgap.peers import calls
from tamarackgap.scheduling import ways
from tamarackgap.traffic import latecalls

CALL = calls.Call("r1", "s", "GET", "/", b"", b"", None)


def dispatch(leg=1, remaining=2.0):
    return calls.Dispatch("o", leg, "s", CALL, remaining, 1, True, 0.5, 0.4)


class Held:
    """Late calls whose timers the test fires."""

    def __init__(self):
        self.now = 0.0
        self.due = []
        self.submitted = []
        self.way = ways.Way()
        self.calls = latecalls.LateCalls(self, self.way)

    def after(self, seconds, call):
        self.due.append((seconds, call))

    def receive(self, call, late_s):
        self.calls.receive(call, "a", late_s, self.submitted.append)

    def fire(self):
        for _, call in self.due:
            call()


@pytest.fixture
def held():
    return Held()


def test_a_call_in_time_is_submitted_at_once_and_unchanged(held):
    held.receive(dispatch(), 0.05)
    assert held.submitted == [dispatch()]


def test_a_late_call_has_less_time(held):
    # It looked as if it had just been sent, and ran after its caller had left.
    held.receive(dispatch(remaining=2.0), 1.5)
    held.fire()
    (submitted,) = held.submitted
    assert submitted.remaining == pytest.approx(0.48)
    assert submitted.objective_remaining == pytest.approx(-1.12)


def test_a_late_call_is_dropped_by_the_withdrawal_behind_it(held):
    held.receive(dispatch(leg=1), 1.0)
    held.receive(dispatch(leg=2), 1.0)
    held.calls.withdraw("a", 1)
    held.calls.withdraw("b", 2)
    held.fire()
    assert [call.leg for call in held.submitted] == [2]


def test_the_lateness_of_calls_is_followed(held):
    held.receive(dispatch(leg=1), 0.05)
    assert 0 < held.way.late_s(0.0) < 0.05
    for leg in range(2, 40):
        held.receive(dispatch(leg=leg), 1.0)
    assert held.way.late_s(0.0) == pytest.approx(1.0, rel=0.1)
