import functools
import gc
import sys
import types as module_types

import pytest
from returns import result

from tamarackgap import types
from tamarackgap.network import bytebudget, exchanges, httppool
from tamarackgap.peers import calls
from tamarackgap.traffic import crashes, runner

CAPACITY = 12


class RefusingTargetHarness:
    """A runner whose target refuses each call at once for one reason."""

    def __init__(self, reason):
        self.reason = reason
        self.renewals = 0
        self.now = 1.0
        core = module_types.SimpleNamespace(
            is_own={"i", "earlier"}.__contains__,
            settings=module_types.SimpleNamespace(load_half_life=2),
        )
        self.runner = runner.Runner(
            "s",
            core,
            module_types.SimpleNamespace(renew_soon=self._renew_soon),
            module_types.SimpleNamespace(send=self._send),
            runner.Codec(
                lambda *unused: b"", lambda *unused: True, self._decode_answer
            ),
            module_types.SimpleNamespace(now=self.now),
            lambda: None,
            crashes.CrashHistory(),
            bytebudget.ByteBudget(),
        )
        self.runner.attach("target", CAPACITY)

    def _renew_soon(self):
        self.renewals += 1

    def _send(self, data, timeout, done, is_answer, exclusive):
        done(result.Success(httppool.Answer(503, [], b"")))

    def _decode_answer(self, leg, answer):
        return calls.Completion(leg, types.Verdict.NOT_RUN, self.reason)

    def call(self):
        call = calls.Call("r", "s", "GET", "/", b"", b"", None)
        completions = []
        self.runner.submit(
            calls.Dispatch("i", 1, "s", call, 1.0, 1, True, 0.5, 0.5),
            "i",
            completions.append,
        )
        return completions[0]


@pytest.mark.parametrize(
    ("reason", "keeps_capacity", "renewals"),
    [
        (types.Reason.TARGET_REFUSED, True, 0),
        (types.Reason.TARGET_FULL, False, 0),
        (types.Reason.TARGET_MISDIRECTED, True, 1),
    ],
)
def test_reaction_to_refusal_depends_on_reason(
    reason, keeps_capacity, renewals
):
    subject = RefusingTargetHarness(reason)
    for _ in range(5):
        assert subject.call().reason is reason
    assert (subject.runner.queue.capacity == CAPACITY) is keeps_capacity
    assert (subject.renewals > 0) is (renewals > 0)


_VERDICT_BY_STATUS = {
    200: types.Verdict.ANSWERED,
    408: types.Verdict.MAY_HAVE_RUN,
    500: types.Verdict.ANSWERED,
    503: types.Verdict.NOT_RUN,
}


class ControlledTargetHarness:
    """A runner whose target ends each call when the test says so."""

    def __init__(self, budget=None):
        self.sent = []
        self.exclusive = []
        self.completions = []
        self.scheduled = []
        self.timers = module_types.SimpleNamespace(
            now=1.0, after=lambda s, call: self.scheduled.append((s, call))
        )
        core = module_types.SimpleNamespace(
            is_own={"i", "earlier"}.__contains__,
            settings=module_types.SimpleNamespace(load_half_life=2),
        )
        self.runner = runner.Runner(
            "s",
            core,
            module_types.SimpleNamespace(renew_soon=lambda: None),
            module_types.SimpleNamespace(send=self._send),
            runner.Codec(
                lambda *unused: b"",
                lambda *unused: True,
                lambda leg, answer: calls.Completion(
                    leg, _VERDICT_BY_STATUS[answer.status], status=answer.status
                ),
            ),
            self.timers,
            lambda: None,
            crashes.CrashHistory(),
            budget or bytebudget.ByteBudget(),
        )
        self.runner.attach("target", CAPACITY)

    def _send(self, build, timeout, done, is_answer, exclusive):
        self.sent.append(done)
        self.exclusive.append(exclusive)
        # An exchange refers to the call in the same way.
        return module_types.SimpleNamespace(build=build, done=done)

    def call(self, path, owner="i", request_id="r", body=b"", sender="i"):
        call = calls.Call(request_id, "s", "GET", path, b"", body, None)
        leg = len(self.completions) + 1
        self.completions.append(None)
        self.runner.submit(
            calls.Dispatch(owner, leg, "s", call, 9.0, 1, True, 0.5, 0.5),
            sender,
            functools.partial(self.completions.__setitem__, leg - 1),
        )

    def run_timers(self):
        scheduled, self.scheduled = self.scheduled, []
        for seconds, call in scheduled:
            self.timers.now += seconds
            call()

    def end(self, index, broken, status=200):
        self.timers.now += 0.01
        if broken:
            failure = exchanges.Failure(exchanges.Cause.CLOSED, True)
            self.sent[index](result.Failure(failure))
        else:
            self.sent[index](result.Success(httppool.Answer(status, [], b"")))


def test_call_sent_after_crash_is_not_its_cause():
    subject = ControlledTargetHarness()
    subject.call("/deadly")
    subject.end(0, broken=True)
    # Sent before the router has noticed the crash.
    subject.call("/harmless")
    subject.end(1, broken=True)
    assert len(subject.runner.pop_crashed_runs()) == 1


def test_broken_connection_followed_by_answer_is_no_crash():
    subject = ControlledTargetHarness()
    subject.call("/cut")
    subject.end(0, broken=True)
    subject.timers.now += 0.5
    subject.call("/good")
    subject.end(1, broken=False)
    subject.call("/deadly")
    subject.end(2, broken=True)
    assert len(subject.runner.pop_crashed_runs()) == 1


def test_all_calls_running_at_crash_may_be_its_cause():
    subject = ControlledTargetHarness()
    for path in ("/a", "/b", "/c"):
        subject.call(path)
    for index in range(3):
        subject.end(index, broken=True)
    assert len(subject.runner.pop_crashed_runs()) == 3


def test_calls_for_earlier_incarnation_are_run():
    # A daemon that had left its lease refused the calls that were queued under
    # its earlier incarnation.
    subject = ControlledTargetHarness()
    for _ in range(CAPACITY + 1):
        subject.call("/waits", owner="earlier")
    subject.end(0, broken=False)
    assert len(subject.sent) == CAPACITY + 1
    assert subject.completions[CAPACITY] is None
    subject.call("/x", owner="another")
    assert subject.completions[-1].reason is types.Reason.WRONG_OWNER


def test_queued_calls_are_checked_while_there_are_any():
    subject = ControlledTargetHarness()
    subject.call("/runs")
    assert subject.scheduled == []
    for _ in range(CAPACITY + 1):
        subject.call("/waits")
    assert len(subject.scheduled) == 1
    # The calls may wait for 9 s; none has ended by then.
    for _ in range(1000):
        subject.run_timers()
    assert subject.scheduled == []
    refused = [c for c in subject.completions if c is not None]
    assert {c.verdict for c in refused} == {types.Verdict.NOT_RUN}
    assert len(refused) == 2


def test_utilisation_does_not_depend_on_how_often_it_is_sampled():
    samples = []
    for interval in (0.01, 0.1):
        subject = ControlledTargetHarness()
        subject.call("/runs")
        for _ in range(round(1.0 / interval)):
            subject.timers.now += interval
            subject.runner.sample_utilisation()
        samples.append(subject.runner.utilisation.average)
    assert samples[0] == pytest.approx(samples[1])


@pytest.mark.parametrize("cause", exchanges.Cause)
def test_a_call_without_usable_answer_may_have_run(cause):
    subject = ControlledTargetHarness()
    subject.call("/runs")
    subject.sent[0](result.Failure(exchanges.Failure(cause, True)))
    assert subject.completions[0].verdict is types.Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    ("status", "exclusive"),
    [(200, False), (408, True), (500, True), (503, True)],
)
def test_a_request_that_comes_again_meets_no_copy_of_its_first_answer(
    status, exclusive
):
    subject = ControlledTargetHarness()
    subject.call("/first", request_id="r1")
    subject.end(0, broken=False, status=status)
    subject.call("/other", request_id="r2")
    subject.call("/first", request_id="r1")
    assert subject.exclusive == [False, False, exclusive]


def test_request_ids_are_forgotten_after_their_deadlines():
    subject = ControlledTargetHarness()
    for number in range(100):
        subject.call("/refused", request_id=f"r{number}")
        subject.end(number, broken=False, status=503)
        subject.timers.now += 1.0
    assert subject.runner.returned_request_count <= 12


def test_calls_of_other_daemons_share_the_memory_of_the_process():
    # Calls of many daemons, each within its limit, exceeded the memory.
    budget = bytebudget.ByteBudget(1000)
    subject = ControlledTargetHarness(budget)
    for _ in range(3):
        subject.call("/upload", body=bytes(400), sender="peer")
    assert subject.completions[:2] == [None, None]
    assert subject.completions[2].reason is types.Reason.QUEUE_FULL
    assert subject.completions[2].verdict is types.Verdict.NOT_RUN
    # The call of a local caller counts while its connection holds it.
    subject.call("/upload", body=bytes(400))
    assert subject.completions[3] is None
    for index in range(3):
        subject.end(index, broken=False)
    assert budget.used == 0


def _answer(subject):
    subject.end(CAPACITY, broken=False)


def _break(subject):
    subject.end(CAPACITY, broken=True)


def _withdraw_queued(subject):
    subject.runner.withdraw("i", CAPACITY + 1)


def _refuse_queued(subject):
    subject.runner.detach()


def _fail_at_once(subject):
    """Lets the next exchange fail before its send returns."""
    send = subject._send

    def fail(build, timeout, done, is_answer, exclusive):
        exchange = send(build, timeout, done, is_answer, exclusive)
        done(result.Failure(exchanges.Failure(exchanges.Cause.CLOSED, False)))
        return exchange

    subject.runner._pool.send = fail
    subject.end(0, broken=False)


# Bodies were kept until a cyclic garbage collection, which counts objects: a
# few uploads, one after another, took daemons over their memory.
@pytest.mark.parametrize(
    ("end", "starts"),
    [
        (_answer, True),
        (_break, True),
        (_withdraw_queued, False),
        (_refuse_queued, False),
        (_fail_at_once, False),
    ],
)
def test_nothing_keeps_a_body_once_its_call_has_ended(end, starts):
    subject = ControlledTargetHarness()
    for _ in range(CAPACITY):
        subject.call("/runs")
    body = bytes(1000)
    before = sys.getrefcount(body)
    gc.disable()
    try:
        subject.call("/upload", body=body)
        if starts:
            subject.end(0, broken=False)
        assert sys.getrefcount(body) > before
        end(subject)
        subject.sent.clear()
        assert sys.getrefcount(body) == before
    finally:
        gc.enable()


def test_calls_for_keys_are_run_for_the_time_given_to_a_drain():
    subject = ControlledTargetHarness()
    subject.runner.keyed = True
    refusals = []
    dispatch = calls.Dispatch(
        "i",
        1,
        "s",
        calls.Call("r", "s", "GET", "/", b"", b"", None),
        9.0,
        1,
        True,
        0.5,
        0.5,
    )
    for seconds in (0.0, 2.9, 3.1):
        subject.timers.now = 1.0 + seconds
        subject.runner.drain(3.0)
        subject.runner.submit(
            dispatch, "i", lambda done: refusals.append(done.reason)
        )
    # Without a key, it is refused for that as long as it is not for the drain.
    assert refusals == [
        types.Reason.BAD_REQUEST,
        types.Reason.BAD_REQUEST,
        types.Reason.DRAINING,
    ]
