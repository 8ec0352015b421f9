import pytest

from tamarackgap.peers import lateness


class Meter:
    def __init__(self):
        self.now = 500.0
        self.meter = lateness.LatenessMeter(lambda: self.now)

    def receive(self, sent, sender="a"):
        return self.meter.measure(sender, sent)


@pytest.fixture
def meter():
    return Meter()


def test_the_first_message_of_a_sender_is_not_late(meter):
    assert meter.receive(20.0) == 0.0
    assert meter.receive(90_000.0, "b") == 0.0


def test_lateness_is_measured_against_the_fastest_message(meter):
    meter.receive(20.0)
    meter.now = 502.0
    assert meter.receive(20.5) == pytest.approx(1.5, abs=0.01)
    # A faster one makes all later ones look later.
    meter.now = 503.0
    assert meter.receive(23.1) == 0.0
    meter.now = 504.0
    assert meter.receive(24.0) == pytest.approx(0.1, abs=0.01)


def test_clocks_that_drift_apart_make_no_message_late(meter):
    for hour in range(24):
        meter.now = 500.0 + hour * 3600.0
        assert meter.receive(20.0 + hour * 3600.0 * (1 - 2e-4)) == 0.0


def test_senders_are_measured_apart_and_bounded_in_number(meter):
    for number in range(10_000):
        assert meter.receive(float(number), f"s{number}") == 0.0
    assert len(meter.meter._least) <= 4000
