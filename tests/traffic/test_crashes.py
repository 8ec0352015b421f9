import pytest

from tamarackgap.peers import calls
from tamarackgap.traffic import crashes


def _call(request="r1", target="/browse/x", body=b"", position=None):
    return calls.Call(request, "web", "GET", target, b"", body, position)


def test_the_same_request_under_another_id_is_the_same_content():
    first = crashes.fingerprint("seats", _call("r1"))
    assert crashes.fingerprint("seats", _call("r2")) == first
    assert crashes.fingerprint("money", _call("r1")) != first
    assert crashes.fingerprint("seats", _call(target="/browse/y")) != first
    assert crashes.fingerprint("seats", _call(body=b"x")) != first
    assert crashes.fingerprint("seats", _call(position=1)) != first


def test_a_content_is_barred_after_crashes_of_two_targets():
    found = crashes.CrashHistory()
    assert not found.record("a", 10.0, 10.1)
    assert found.barred_for("a", 10.2) == 0
    assert found.record("a", 10.15, 10.3)
    assert found.barred_for("a", 10.3) == pytest.approx(crashes.BAR_TIME_S)
    assert found.barred_for("b", 10.3) == 0


def test_news_of_two_crashes_count_in_either_order():
    found = crashes.CrashHistory()
    assert not found.record("a", 10.5, 10.6)
    assert found.record("a", 10.0, 10.1)
    assert found.barred_for("a", 10.6) == pytest.approx(crashes.BAR_TIME_S)


def test_targets_that_crash_at_once_bar_nothing():
    found = crashes.CrashHistory()
    assert not found.record("a", 9.0, 10.0)
    assert not found.record("a", 9.5, 10.001)
    assert found.barred_for("a", 10.1) == 0


def test_an_answer_clears_a_content():
    found = crashes.CrashHistory()
    found.record("a", 10.0, 10.1)
    assert found.clear("a")
    assert not found.clear("a")
    assert not found.record("a", 11.0, 11.1)


def test_it_gets_one_more_chance_in_a_while():
    found = crashes.CrashHistory()
    found.record("a", 10.0, 10.1)
    found.record("a", 11.0, 11.1)
    later = 11.1 + crashes.BAR_TIME_S + 1
    assert found.barred_for("a", later) == 0
    assert found.record("a", later, later + 0.1)
    assert found.barred_for("a", later + 0.2) > 0


def test_a_crash_long_ago_does_not_count():
    found = crashes.CrashHistory()
    found.record("a", 10.0, 10.1)
    assert not found.record("a", 500.0, 500.1)


def test_the_memory_is_bounded():
    found = crashes.CrashHistory()
    for number in range(3000):
        found.record(str(number), 1.0, 1.1)
    assert len(found) == 1000
