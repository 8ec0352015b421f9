import functools
import types as module_types

import pytest
from returns import result

from tamarackgap import types
from tamarackgap.network import exchanges, httppool
from tamarackgap.peers import calls
from tamarackgap.traffic import crashes, runner

CAPACITY = 12


class Beside:
    """A runner beside a target that answers at once, as it is told."""

    def __init__(self, reason):
        self.reason = reason
        self.doubts = 0
        self.now = 1.0
        core = module_types.SimpleNamespace(
            is_own={"i", "earlier"}.__contains__,
            settings=module_types.SimpleNamespace(load_half_life=2),
        )
        self.runner = runner.Runner(
            "s",
            core,
            module_types.SimpleNamespace(renew_soon=self._doubt),
            module_types.SimpleNamespace(send=self._send),
            runner.Codec(
                lambda *unused: b"", lambda *unused: True, self._judge
            ),
            module_types.SimpleNamespace(now=self.now),
            lambda: None,
            crashes.CrashHistory(),
        )
        self.runner.attach("target", CAPACITY)

    def _doubt(self):
        self.doubts += 1

    def _send(self, data, timeout, done, belongs):
        done(result.Success(httppool.Answer(503, [], b"")))

    def _judge(self, leg, answer):
        return calls.Completion(leg, types.Verdict.NOT_RUN, self.reason)

    def call(self):
        call = calls.Call("r", "s", "GET", "/", b"", b"", None)
        told = []
        self.runner.submit(
            calls.Dispatch("i", 1, "s", call, 1.0, 1, True, 0.5, 0.5),
            "i",
            told.append,
        )
        return told[0]


@pytest.mark.parametrize(
    ("reason", "keeps_capacity", "doubts"),
    [
        (types.Reason.TARGET_REFUSED, True, 0),
        (types.Reason.TARGET_FULL, False, 0),
        (types.Reason.TARGET_MISDIRECTED, True, 1),
    ],
)
def test_only_a_full_target_gets_fewer_calls(reason, keeps_capacity, doubts):
    beside = Beside(reason)
    for _ in range(5):
        assert beside.call().reason is reason
    assert (beside.runner.queue.capacity == CAPACITY) is keeps_capacity
    assert (beside.doubts > 0) is (doubts > 0)


class Breaking:
    """A runner whose target breaks each call's connection when told to."""

    def __init__(self):
        self.sent = []
        self.told = []
        self.timers = module_types.SimpleNamespace(now=1.0)
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
                    leg, types.Verdict.ANSWERED, status=200
                ),
            ),
            self.timers,
            lambda: None,
            crashes.CrashHistory(),
        )
        self.runner.attach("target", CAPACITY)

    def _send(self, build, timeout, done, belongs):
        self.sent.append(done)
        return object()

    def call(self, path, owner="i"):
        call = calls.Call("r", "s", "GET", path, b"", b"", None)
        leg = len(self.told) + 1
        self.told.append(None)
        self.runner.submit(
            calls.Dispatch(owner, leg, "s", call, 9.0, 1, True, 0.5, 0.5),
            "i",
            functools.partial(self.told.__setitem__, leg - 1),
        )

    def end(self, index, broken):
        self.timers.now += 0.01
        if broken:
            failure = exchanges.Failure(exchanges.Cause.CLOSED, True)
            self.sent[index](result.Failure(failure))
        else:
            self.sent[index](result.Success(httppool.Answer(200, [], b"")))


def test_a_call_sent_after_a_crash_is_not_taken_for_its_cause():
    beside = Breaking()
    beside.call("/deadly")
    beside.end(0, broken=True)
    # Nobody has noticed yet that the target is gone.
    beside.call("/harmless")
    beside.end(1, broken=True)
    assert len(beside.runner.pop_crashed_runs()) == 1


def test_an_answer_cut_before_others_were_given_is_no_crash():
    beside = Breaking()
    beside.call("/cut")
    beside.end(0, broken=True)
    beside.timers.now += 0.5
    beside.call("/good")
    beside.end(1, broken=False)
    beside.call("/deadly")
    beside.end(2, broken=True)
    assert len(beside.runner.pop_crashed_runs()) == 1


def test_all_calls_that_a_crash_met_may_be_its_cause():
    beside = Breaking()
    for path in ("/a", "/b", "/c"):
        beside.call(path)
    for index in range(3):
        beside.end(index, broken=True)
    assert len(beside.runner.pop_crashed_runs()) == 3


def test_calls_for_an_earlier_id_of_the_process_are_run():
    # A daemon that left its lease refused what had waited at it since before.
    beside = Breaking()
    for _ in range(CAPACITY + 1):
        beside.call("/waits", owner="earlier")
    beside.end(0, broken=False)
    assert len(beside.sent) == CAPACITY + 1
    assert beside.told[CAPACITY] is None
    beside.call("/x", owner="another")
    assert beside.told[-1].reason is types.Reason.WRONG_OWNER
