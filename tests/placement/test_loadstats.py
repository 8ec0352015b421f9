import pytest

from tamarackgap.placement import loadstats


def test_a_steady_rate_is_found():
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


def test_a_slot_that_came_lately_is_not_too_low():
    meter = loadstats.SlotMeter(0.0)
    for step in range(300):
        meter.count(1, 50 + step / 100)
    assert meter.rates({1: 50.0}, 53.0)[1] == pytest.approx(100, rel=0.1)


def test_old_load_is_forgotten():
    meter = loadstats.SlotMeter(0.0)
    for step in range(1000):
        meter.count(1, step / 100)
    assert meter.rates({1: 0.0}, 40.0)[1] < 20
    assert meter.rates({1: 0.0}, 500.0)[1] == 0.0


def test_a_hot_key_is_found_among_many():
    keys = loadstats.HotKeySketch(0.0)
    for number in range(4000):
        keys.count(f"k{number}", 1.0)
        if number % 4 == 0:
            keys.count("famous", 1.0)
    (first, *_) = keys.hottest(5)
    assert first.key == "famous"
    assert 0.1 < first.share <= 0.2


def test_last_minutes_keys_are_forgotten():
    keys = loadstats.HotKeySketch(0.0)
    keys.count("old", 1.0)
    keys.count("new", 62.0)
    assert [hot.key for hot in keys.hottest(5)] == ["new"]
