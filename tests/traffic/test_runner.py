import types as module_types

import pytest
from returns import result

from tamarackgap import types
from tamarackgap.network import httplink
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
            incarnation="i", settings=module_types.SimpleNamespace(half_life=2)
        )
        self.runner = runner.Runner(
            "s",
            core,
            module_types.SimpleNamespace(doubt=self._doubt),
            module_types.SimpleNamespace(send=self._send),
            runner.Codec(
                lambda *unused: b"", lambda *unused: True, self._judge
            ),
            module_types.SimpleNamespace(now=self.now),
            lambda: None,
            crashes.Crashes(),
        )
        self.runner.attach("target", CAPACITY)

    def _doubt(self):
        self.doubts += 1

    def _send(self, data, timeout, done, belongs):
        done(result.Success(httplink.Answer(503, [], b"")))

    def _judge(self, leg, answer):
        return calls.Completion(leg, types.Verdict.NOT_RUN, self.reason)

    def call(self):
        call = calls.Call("r", "s", "GET", "/", b"", b"", None)
        told = []
        self.runner.take(
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
