import pytest

from tamarackgap.placement import loadstats


def test_meter_measures_a_constant_rate():
    meter = loadstats.SlotMeter(0.0)
    for step in range(6000):
        now = step / 100
        meter.count(3, now)
        if step % 4 == 0:
            meter.count(5, now)
    rates = meter.rates({3: 0.0, 5: 0.0, 9: 0.0}, 60.0)
    assert rates[9] == 0.0
    assert rates[3] == pytest.approx(100, rel=0.02)
    assert rates[5] == pytest.approx(25, rel=0.02)


def test_rate_of_a_recent_slot_is_not_underestimated():
    meter = loadstats.SlotMeter(0.0)
    for step in range(300):
        meter.count(1, 50 + step / 100)
    assert meter.rates({1: 50.0}, 53.0)[1] == pytest.approx(100, rel=0.1)


def test_rate_decays_without_requests():
    meter = loadstats.SlotMeter(0.0)
    for step in range(1000):
        meter.count(1, step / 100)
    assert meter.rates({1: 0.0}, 40.0)[1] < 20
    assert meter.rates({1: 0.0}, 500.0)[1] == 0.0


def test_sketch_finds_a_hot_key_among_many():
    sketch = loadstats.HotKeySketch(0.0)
    for number in range(4000):
        sketch.count(f"cold-{number}", 1.0)
        if number % 4 == 0:
            sketch.count("hot", 1.0)
    (first, *_) = sketch.hottest(5)
    assert first.key == "hot"
    assert 0.1 < first.share <= 0.2


def test_sketch_drops_keys_of_the_last_period():
    sketch = loadstats.HotKeySketch(0.0)
    sketch.count("old", 1.0)
    sketch.count("new", 62.0)
    assert [hot_key.key for hot_key in sketch.hottest(5)] == ["new"]


def test_one_quick_call_does_not_make_a_target_fast():
    meter = loadstats.PaceMeter(0.0)
    meter.record(0.001, 0.2, True, 0.1)
    assert meter.pace > 0.8
    assert not meter.is_known


def test_pace_is_learnt_within_seconds():
    # Fifteen calls a second at a target of 0.6 of the usual speed.
    meter = loadstats.PaceMeter(0.0)
    for number in range(45):
        meter.record(0.2 / 0.6, 0.2, True, number / 15)
    assert meter.is_known
    assert meter.pace == pytest.approx(1 / 0.6, rel=0.1)


def test_calls_that_fail_quickly_do_not_make_a_target_fast():
    meter = loadstats.PaceMeter(0.0)
    for number in range(45):
        meter.record(0.001, 0.2, False, number / 15)
    assert meter.pace == 1.0
    for number in range(45):
        meter.record(1.0, 0.2, False, 3 + number / 15)
    assert meter.pace > 3


def test_rates_count_from_the_first_request():
    # The slot has been owned for 12 s, and got 20 requests a second in two.
    meter = loadstats.SlotMeter(0.0, 2.0)
    for number in range(40):
        meter.count(1, 10 + number / 20)
    rates = meter.rates({1: 0.0}, 12.0)
    assert rates[1] == pytest.approx(20.0, rel=0.05)
    # They are as certain as the requests that were counted.
    requests = rates[1] * loadstats.time_constant_s(2.0)
    assert requests / meter.amount_per_request(rates) < 40
    for number in range(400):
        meter.count(1, 12 + number / 20)
    rates = meter.rates({1: 0.0}, 32.0)
    assert meter.amount_per_request(rates) == pytest.approx(1.0, rel=0.05)


def test_typical_amount_is_that_of_the_requests_that_make_up_the_load():
    meter = loadstats.SlotMeter(0.0)
    assert meter.typical_amount == 1.0
    for index in range(10):
        meter.count(0, index / 100, amount=1.0)
    assert meter.typical_amount == pytest.approx(1.0)
    meter.count(0, 0.1, amount=30.0)
    # The one long request is three quarters of the load.
    assert 20.0 < meter.typical_amount < 25.0
