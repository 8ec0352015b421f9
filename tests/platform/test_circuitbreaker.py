"""A daemon that the store turns away makes one call at a time."""

import random
import types as module_types

import pytest

from tamarackgap.platform import circuitbreaker


class Timers:
    def __init__(self):
        self.now = 100.0
        self.due = []

    def after(self, seconds, call):
        timer = module_types.SimpleNamespace(at=self.now + seconds, call=call)
        timer.cancel = lambda: self.due.remove(timer)
        self.due.append(timer)
        return timer

    def fire(self):
        timer = self.due.pop(0)
        self.now = timer.at
        timer.call()


class Callers:
    """Two reads and a transaction; the test answers."""

    def __init__(self, seed=1):
        self.timers = Timers()
        self.breaker = circuitbreaker.CircuitBreaker(
            self.timers, random.Random(seed)
        )
        self.calls = []

    def read(self, name):
        self.breaker.wait_to_read(name, lambda: self.calls.append(name))

    def commit(self, name, caller=""):
        self.breaker.wait_to_commit(lambda: self.calls.append(name), caller)

    def fail(self, name, has_waited=False):
        self.breaker.record_failure(name, has_waited)
        self.read(name)


@pytest.fixture
def callers():
    return Callers()


def test_transactions_of_different_callers_do_not_replace_each_other(callers):
    callers.fail("rows")
    for name, caller in (("a", "x"), ("b", "y"), ("c", "x")):
        callers.commit(name, caller)
    callers.breaker.record_answer()
    assert set(callers.calls) == {"rows", "b", "c"}


def test_all_calls_pass_while_the_store_answers(callers):
    for name in ("rows", "op"):
        callers.read(name)
    callers.commit("c")
    assert callers.calls == ["rows", "op", "c"]


def test_one_read_at_a_time_tries_while_reads_fail(callers):
    callers.fail("rows")
    callers.fail("op")
    callers.commit("c")
    assert callers.calls == []
    for tried in (["rows"], ["rows", "op"], ["rows", "op", "rows"]):
        assert len(callers.timers.due) == 1
        callers.timers.fire()
        assert callers.calls == tried
        assert not callers.timers.due
        callers.fail(tried[-1])


def test_a_call_sent_before_the_one_that_tries_changes_nothing(callers):
    callers.fail("rows")
    callers.timers.fire()
    callers.fail("op")
    assert not callers.timers.due
    callers.fail("rows")
    callers.timers.fire()
    assert callers.calls == ["rows", "op"]


def test_a_caller_that_tries_goes_on_with_its_next_call(callers):
    callers.fail("rows")
    callers.fail("op")
    callers.timers.fire()
    callers.read("rows")
    assert callers.calls == ["rows", "rows"]
    callers.breaker.record_answer()
    assert callers.calls == ["rows", "rows", "op"]


def test_pauses_grow_and_are_drawn():
    pauses = []
    for seed in range(10):
        callers = Callers(seed)
        for _ in range(12):
            callers.fail("rows")
            pauses.append(callers.timers.due[0].at - callers.timers.now)
            callers.timers.fire()
    assert len(set(pauses)) == len(pauses)
    assert max(pauses[::12]) <= 0.4
    assert min(pauses[11::12]) >= 1.0
    assert max(pauses) <= 2.0


def test_an_answer_lets_all_callers_go_the_last_transaction_as_well(callers):
    callers.fail("rows")
    callers.fail("op")
    callers.commit("earlier")
    callers.commit("later")
    callers.timers.fire()
    callers.breaker.record_answer()
    assert callers.calls == ["rows", "op", "later"]
    assert not callers.timers.due
    callers.read("rows")
    assert callers.calls[-1] == "rows"


def test_an_answer_to_another_call_ends_the_pause(callers):
    callers.fail("rows")
    callers.breaker.record_answer()
    assert callers.calls == ["rows"]
    assert not callers.timers.due


def test_a_read_that_took_its_time_out_is_tried_again_at_once(callers):
    callers.fail("rows", has_waited=True)
    assert callers.timers.due[0].at == callers.timers.now


def test_news_lets_one_read_try_once(callers):
    assert not callers.breaker.use_news(200.0)
    callers.fail("rows")
    callers.timers.fire()
    callers.fail("rows")
    assert not callers.breaker.use_news(callers.timers.now - 0.1)
    assert callers.breaker.use_news(callers.timers.now + 0.1)
    assert callers.timers.due[0].at <= callers.timers.now + 0.05
    callers.timers.fire()
    callers.fail("rows")
    # Others still have answers: this daemon alone is turned away.
    assert not callers.breaker.use_news(callers.timers.now + 0.1)
