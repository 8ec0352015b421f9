import json
import random
import types as module_types
import urllib.parse

import pytest
from returns import result

from tamarackgap.network import exchanges, httppool
from tamarackgap.platform import tablewatch
from tamarackgap.traffic import storewatch

DEEP = "[" * 100_000 + "]" * 100_000
LOST_HISTORY = 410


def row(key, version=1, value="e30=", **fields):
    return json.dumps({"key": key, "ver": version, "value": value, **fields})


UNREADABLE = [
    DEEP,
    row("odd")[:-1] + f', "x": {DEEP}}}',
    row("odd", value=None),
    row("odd", version=-1),
    row("odd", version=2**64),
    row("odd", version=10**30),
    row("odd", version=1e300),
    row(7),
    '{"key": "\\ud800", "ver": 1}',
    "null",
    "7",
]


NO_TEXT = ["/w==", "e30", "\u0661", "!!!!"]


class Watch:
    """Holds a watch whose calls the test answers."""

    def __init__(self, rng=None, on_regained=lambda *times: None):
        self.now = 100.0
        self.due = []
        self.calls = []
        self.cancelled = []
        self.rows = {}
        self.timers = self
        self.watch = tablewatch.TableWatch(
            self,
            "t",
            storewatch.ReadPlan(0.0, 8.0),
            self._apply,
            lambda problem: None,
            on_regained,
            rng,
        )
        self.watch.read()

    def after(self, seconds, call):
        self.due.append((seconds, call))
        return module_types.SimpleNamespace(cancel=lambda: None)

    era = 0

    def is_late(self, answer):
        return False

    def to_local_clock(self, store_ms):
        return store_ms / 1000

    def to_store_clock(self, time):
        return time

    def cancel(self, exchange):
        self.cancelled.append(exchange)

    def call(self, method, path, body, timeout, done):
        query = urllib.parse.parse_qs(path.partition("?")[2], True)
        self.calls.append((path, query, done))
        return len(self.calls)

    def _apply(self, rows, revision, as_of, era):
        for each in rows:
            self.rows[each.key] = each.value

    def fail(self, cause):
        failure = exchanges.Failure(cause, True)
        self.calls[-1][2](result.Failure(failure))

    def answer(self, *rows, status=200, version=9, call=-1, **fields):
        head = json.dumps({"ver": version, "now_ms": 5, **fields})[1:-1]
        body = f'{{"rows": [{", ".join(rows)}], {head}}}'.encode()
        answer = httppool.Answer(status, [], body)
        self.calls[call][2](result.Success(answer))

    def fire(self):
        self.due.pop(0)[1]()

    @property
    def query(self):
        return {name: value[0] for name, value in self.calls[-1][1].items()}


@pytest.fixture
def watch():
    return Watch()


@pytest.mark.parametrize("odd", UNREADABLE)
def test_an_unreadable_row_leaves_the_others_of_a_page(watch, odd):
    watch.answer(row("a"), odd, row("b"))
    assert watch.rows == {"a": "{}", "b": "{}"}
    watch.fire()
    assert watch.query["after"] == "9"


@pytest.mark.parametrize("odd", UNREADABLE)
def test_an_unreadable_row_leaves_the_changes_followed(watch, odd):
    watch.answer()
    watch.fire()
    watch.answer(odd, row("c"), version=12)
    assert watch.rows == {"c": "{}"}
    watch.fire()
    assert watch.query["after"] == "12"


@pytest.mark.parametrize("value", NO_TEXT)
def test_a_value_that_is_no_text_is_read_as_empty(watch, value):
    watch.answer(row("a"), row("odd", value=value), row("b"))
    assert watch.rows == {"a": "{}", "odd": "", "b": "{}"}


@pytest.mark.parametrize(
    "fields",
    [
        {"version": -1},
        {"version": 2**64},
        {"version": 10**30},
        {"version": "9"},
        {"now_ms": -1},
        {"now_ms": 10**400},
        {"has_more": 3},
    ],
)
def test_an_answer_with_an_odd_number_is_asked_for_again(watch, fields):
    watch.answer()
    watch.fire()
    watch.answer(row("c"), **fields)
    assert watch.rows == {}
    watch.fire()
    assert watch.query["after"] == "9"


def test_rows_behind_a_page_whose_last_rows_are_unreadable_are_read(watch):
    watch.answer(row("a"), row("b", version=-1), has_more=True)
    assert watch.query["from"] == "b\0"
    watch.answer(row("c"))
    assert watch.rows == {"a": "{}", "c": "{}"}


def test_a_first_page_of_unreadable_rows_is_not_taken_for_the_table(watch):
    watch.answer(row("a", version=-1), row("b", version=-1), has_more=True)
    assert watch.query["from"] == "b\0"
    assert watch.rows == {}


def test_a_page_without_readable_keys_is_asked_for_again_after_a_pause(watch):
    watch.answer("7", has_more=True)
    assert len(watch.calls) == 1
    assert watch.due[0][0] > 0
    assert watch.rows == {}


def test_a_row_that_has_become_unreadable_is_not_taken_for_removed(watch):
    watch.answer(row("a"), row("b"))
    watch.fire()
    watch.answer(status=LOST_HISTORY)
    watch.fire()
    watch.answer(row("a", version=-1))
    assert watch.rows == {"a": "{}", "b": None}


def test_a_table_is_followed_after_answers_that_are_none(watch):
    for body in (b"\xff", DEEP.encode(), b"", b"[]", b'{"rows": 7}'):
        watch.calls[-1][2](result.Success(httppool.Answer(200, [], body)))
        watch.fire()
    failure = exchanges.Failure(exchanges.Cause.CLOSED, True)
    watch.calls[-1][2](result.Failure(failure))
    watch.fire()
    watch.answer(row("a"))
    assert watch.rows == {"a": "{}"}


def test_a_row_that_changes_while_pages_are_read_is_not_missed(watch):
    watch.answer(row("a", value="e30="), version=9, has_more=True)
    # "a" is written again before the second page is read.
    watch.answer(row("b"), version=11)
    watch.fire()
    assert watch.query["after"] == "9"


def test_a_failed_poll_is_followed_by_one_that_does_not_wait(watch):
    watch.answer()
    watch.fire()
    assert watch.query["wait_ms"] == "8000"
    watch.fail(exchanges.Cause.TIMEOUT)
    assert watch.due[0][0] == 0.0
    watch.fire()
    assert watch.query["wait_ms"] == "0"
    watch.answer()
    watch.fire()
    assert watch.query["wait_ms"] == "8000"


def test_pauses_after_refusals_differ_and_are_bounded():
    pauses = []
    for seed in range(20):
        watch = Watch(random.Random(seed))
        for _ in range(5):
            watch.fail(exchanges.Cause.REFUSED)
            pauses.append(watch.due[0][0])
            watch.fire()
    assert len(set(pauses)) == len(pauses)
    assert max(pauses) <= 1.0
    assert min(pauses) >= 0.2


def test_a_failing_watch_whose_history_is_lost_reads_the_table(watch):
    watch.answer()
    watch.fire()
    watch.fail(exchanges.Cause.CLOSED)
    watch.fire()
    watch.answer(status=LOST_HISTORY)
    watch.fire()
    assert watch.query["from"] == ""
    watch.answer(row("a"))
    assert watch.rows == {"a": "{}"}


def test_a_failing_watch_calls_again_once_when_others_have_an_answer(watch):
    watch.answer()
    watch.fire()
    watch.fail(exchanges.Cause.TIMEOUT)
    watch.fire()
    calls = len(watch.calls)
    watch.watch.handle_news(watch.now - 1.0)
    assert not watch.due
    watch.watch.handle_news(watch.now + 0.1)
    assert watch.cancelled == [calls]
    watch.fire()
    assert len(watch.calls) == calls + 1
    watch.watch.handle_news(watch.now + 0.2)
    assert len(watch.calls) == calls + 1
    # The answer to a call that was replaced counts for nothing.
    watch.answer(row("a"), call=calls - 1)
    assert watch.rows == {}


def test_a_watch_that_does_not_fail_ignores_answers_to_others(watch):
    watch.answer()
    watch.fire()
    watch.watch.handle_news(watch.now + 1.0)
    assert len(watch.calls) == 2
    assert not watch.due


def test_a_check_replaces_a_long_poll(watch):
    watch.answer()
    watch.fire()
    watch.watch.check()
    assert len(watch.calls) == 2
    watch.now += 1.0
    watch.watch.check()
    assert watch.query["wait_ms"] == "0"
    assert watch.cancelled == [2]


def test_a_poll_that_outlasts_a_shorter_period_is_replaced(watch):
    watch.answer()
    watch.fire()
    watch.now += 1.0
    watch.watch.plan = storewatch.ReadPlan(0.0, 2.0)
    assert watch.query["wait_ms"] == "0"


def test_polls_end_at_the_turn_of_the_plan(watch):
    watch.watch.plan = storewatch.ReadPlan(0.0, 8.0, turn=0.25)
    watch.answer()
    watch.fire()
    # 100 s is half a period after a multiple of eight; the turn is at 106.
    assert watch.query["wait_ms"] == "6000"


def test_a_regained_watch_tells_since_when_calls_may_be_lost():
    regained = []
    watch = Watch(on_regained=lambda *times: regained.append(times))
    watch.answer()
    watch.fire()
    watch.now += 3.0
    watch.fail(exchanges.Cause.CLOSED)
    watch.fire()
    watch.now += 2.0
    watch.answer()
    assert regained == [(100.0, None)]


def test_an_answer_by_an_earlier_state_is_no_answer(watch):
    watch.answer(version=9)
    watch.fire()
    watch.answer(row("a"), version=8)
    assert watch.rows == {}
    watch.fire()
    assert watch.query["after"] == "9"


def test_a_regained_watch_tells_when_a_lost_poll_should_have_ended():
    regained = []
    watch = Watch(on_regained=lambda *times: regained.append(times))
    watch.answer()
    watch.fire()
    watch.now += 9.0
    watch.fail(exchanges.Cause.TIMEOUT)
    watch.fire()
    watch.answer()
    assert regained == [(100.0, 108.0)]


def test_a_call_is_checked_if_it_was_sent_within_the_time(watch):
    watch.answer()
    watch.fire()
    watch.now += 1.0
    watch.watch.check_if_sent(100.1, 200.0)
    watch.watch.check_if_sent(0.0, 100.0)
    assert watch.query["wait_ms"] == "8000"
    watch.watch.check_if_sent(0.0, 100.1)
    assert watch.query["wait_ms"] == "0"
