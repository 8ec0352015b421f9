import pytest

from tamarackgap.peers import calls
from tamarackgap.traffic import crashes


def _call(request="r1", target="/browse/x", body=b"", position=None):
    return calls.Call(request, "web", "GET", target, b"", body, position)


def test_fingerprint_is_independent_of_request_id():
    first = crashes.fingerprint("seats", _call("r1"))
    assert crashes.fingerprint("seats", _call("r2")) == first
    assert crashes.fingerprint("money", _call("r1")) != first
    assert crashes.fingerprint("seats", _call(target="/browse/y")) != first
    assert crashes.fingerprint("seats", _call(body=b"x")) != first
    assert crashes.fingerprint("seats", _call(position=1)) != first


def test_request_is_barred_after_two_crashes():
    history = crashes.CrashHistory()
    assert not history.record("a", 10.0, 10.1)
    assert history.barred_for("a", 10.2) == 0
    assert history.record("a", 10.15, 10.3)
    assert history.barred_for("a", 10.3) == pytest.approx(crashes.BAR_TIME_S)
    assert history.barred_for("b", 10.3) == 0


def test_crashes_count_in_any_order_of_reports():
    history = crashes.CrashHistory()
    assert not history.record("a", 10.5, 10.6)
    assert history.record("a", 10.0, 10.1)
    assert history.barred_for("a", 10.6) == pytest.approx(crashes.BAR_TIME_S)


def test_simultaneous_crashes_do_not_bar():
    history = crashes.CrashHistory()
    assert not history.record("a", 9.0, 10.0)
    assert not history.record("a", 9.5, 10.001)
    assert history.barred_for("a", 10.1) == 0


def test_answer_clears_fingerprint():
    history = crashes.CrashHistory()
    history.record("a", 10.0, 10.1)
    assert history.clear("a")
    assert not history.clear("a")
    assert not history.record("a", 11.0, 11.1)


def test_bar_ends_and_one_more_crash_restores_it():
    history = crashes.CrashHistory()
    history.record("a", 10.0, 10.1)
    history.record("a", 11.0, 11.1)
    later = 11.1 + crashes.BAR_TIME_S + 1
    assert history.barred_for("a", later) == 0
    assert history.record("a", later, later + 0.1)
    assert history.barred_for("a", later + 0.2) > 0


def test_old_crash_does_not_count():
    history = crashes.CrashHistory()
    history.record("a", 10.0, 10.1)
    assert not history.record("a", 500.0, 500.1)


def test_number_of_fingerprints_is_limited():
    history = crashes.CrashHistory()
    for number in range(3000):
        history.record(str(number), 1.0, 1.1)
    assert len(history) == 1000
