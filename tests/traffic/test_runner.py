import types as module_types

import pytest
from returns import result

from tamarackgap import types
from tamarackgap.network import httplink
from tamarackgap.peers import calls
from tamarackgap.traffic import crashes, runner

CAPACITY = 12
SLOTS = 256
KEYS = 65_536 // SLOTS


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


class Keyed:
    """A runner whose target runs calls until it is told to end them."""

    def __init__(self):
        self.running = []
        core = module_types.SimpleNamespace(
            incarnation="i",
            settings=module_types.SimpleNamespace(half_life=2),
            view=module_types.SimpleNamespace(
                founded=lambda service: module_types.SimpleNamespace(
                    slots=SLOTS
                )
            ),
            refusal=lambda slot, now: None,
        )
        self.runner = runner.Runner(
            "s",
            core,
            module_types.SimpleNamespace(held=lambda slot, now: True),
            module_types.SimpleNamespace(send=self._send),
            runner.Codec(
                lambda *unused: b"", lambda *unused: True, lambda *unused: None
            ),
            module_types.SimpleNamespace(now=1.0),
            lambda: None,
            crashes.Crashes(),
        )
        self.runner.keyed = True
        self.runner.attach("target", CAPACITY)

    def _send(self, data, timeout, done, belongs):
        self.running.append(done)
        return object()

    def call(self, leg, slot, aim):
        call = calls.Call("r", "s", "GET", "/", b"", b"", slot * KEYS)
        told = []
        self.runner.take(
            calls.Dispatch("i", leg, "s", call, 2.0, 1, True, aim, aim),
            "i",
            told.append,
        )
        return told


def test_before_slots_move_only_long_calls_for_them_are_held_back():
    # By the first guess a call takes 0.3 of its aim.
    long, short = 0.6, 0.15
    beside = Keyed()
    beside.call(1, 5, long)
    beside.call(2, 5, short)
    beside.call(3, 9, long)
    assert beside.runner.long_calls(frozenset({5})) == 1
    beside.runner.hold_back(frozenset({5}))
    (refused,) = beside.call(4, 5, long)
    assert refused.verdict is types.Verdict.NOT_RUN
    assert refused.reason is types.Reason.SLOT_MOVING
    assert beside.call(5, 5, short) == []
    assert beside.call(6, 9, long) == []
    assert len(beside.running) == 5
    beside.runner.hold_back(frozenset())
    assert beside.call(7, 5, long) == []
