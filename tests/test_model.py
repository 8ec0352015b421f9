"""The model at CI's size, its mutants, and its tie to the daemon's code."""

import hypothesis
import pytest
from hypothesis import stateful, strategies

from model import anchor, check
from model import spec as spec_lib
from tamarackgap import types
from tamarackgap.ownership import lease, takeover, witness
from tamarackgap.peers import messages
from tamarackgap.placement import records

Rule = spec_lib.Rule
MOST_STATES = 400_000


def test_with_all_rules_no_slot_has_two_owners():
    found = check.check(spec_lib.Spec(), MOST_STATES)
    assert found.holds is True
    assert found.states > 100_000


# Length of the shortest violation without each rule.
STEPS = {
    Rule.RETIRE_FIRST: 10,
    Rule.WAIT: 3,
    Rule.MAJORITY: 6,
    Rule.SEALS_KEPT: 8,
    Rule.FROM_SENDING: 7,
    Rule.DRIFT_MARGIN: 4,
    Rule.BOTH_EPOCHS: 8,
    Rule.NEVER_ABANDON: 8,
    Rule.RETIRED_BY_TABLE: 12,
    Rule.HEIR_FIRST: 7,
    Rule.SKIP_FENCE: 8,
}


@pytest.mark.parametrize("rule", Rule)
def test_no_rule_can_be_left_out(rule):
    mutant = spec_lib.Spec(without=frozenset({rule}))
    found = check.check(mutant, MOST_STATES)
    assert found.holds is False
    assert len(found.trace) == STEPS[rule]
    fences = rule is Rule.SKIP_FENCE
    assert found.property == (check.FENCES if fences else check.ONE_OWNER)


def test_the_table_alone_never_brings_two_owners_about():
    found = check.check(anchor.Spec(), MOST_STATES)
    assert found.holds is True
    assert found.states > 5_000


# Length of the shortest violation without each rule.
ANCHOR_STEPS = {
    anchor.Rule.ANCHOR: 5,
    anchor.Rule.FROM_SENDING: 8,
    anchor.Rule.HELD: 8,
    anchor.Rule.WAIT: 2,
    anchor.Rule.DRIFT_MARGIN: 4,
    anchor.Rule.SAME_CHALLENGE: 14,
}


@pytest.mark.parametrize("rule", anchor.Rule)
def test_no_rule_of_the_anchor_can_be_left_out(rule):
    mutant = anchor.Spec(without=frozenset({rule}))
    found = check.check(mutant, MOST_STATES)
    assert found.holds is False
    assert len(found.trace) == ANCHOR_STEPS[rule]


STATES = {
    types.WitnessState.OPEN: "o",
    types.WitnessState.SEALED: "s",
    types.WitnessState.RETIRED: "r",
    types.WitnessState.CLOSED: "c",
}


class WitnessRefinesModel(stateful.RuleBasedStateMachine):
    """Drives the daemon's witness, lease and takeover with the model."""

    def __init__(self):
        super().__init__()
        self.spec = spec_lib.Spec()
        self.now = 100.0
        self.real = [witness.Witness(0.0) for _ in range(3)]
        self.model = [spec_lib.Wit() for _ in range(3)]
        self.grants = lease.EpochGrants(1, ("0", "1", "2"), 2.0, self.now)
        record = records.LeaseRecord(
            "s",
            "d",
            "o",
            "a",
            "127.0.0.1:1",
            "127.0.0.1:2",
            epoch=1,
            witnesses=("0", "1", "2"),
            lease_ms=2000,
        )
        # A drift of one tick in a lease of two.
        self.takeover = takeover.Takeover(record, 0.5, self.now)

    @stateful.rule(index=strategies.integers(0, 2))
    def renew(self, index):
        state = self.real[index].renew("o", 1, self.now)
        granted = STATES[state] in "or"
        sent = self.now if granted else None
        self.grants.record_answer(str(index), state, self.now, sent)
        steps = dict(self.spec._renew(self.model[index]))
        assert ("grant" in steps) == granted
        if granted:
            self.model[index] = steps["grant"]

    @stateful.rule(index=strategies.integers(0, 2))
    def retire(self, index):
        self.real[index].retire("o", 1)
        wit = self.model[index]
        if wit.state == "o":
            self.model[index] = wit._replace(state="r")

    @stateful.rule(index=strategies.integers(0, 2))
    def seal(self, index):
        wit = self.model[index]
        if wit.state not in "or":
            return
        state, age = self.real[index].seal("o", 1, self.now)
        known = age if age != float("inf") else -1.0
        answer = messages.SealReply("o", 1, state, known)
        self.takeover.record_answer(str(index), answer, self.now)
        self.model[index] = self.spec._seal(wit)

    @stateful.rule()
    def tick(self):
        self.now += 1.0
        self.model = [spec_lib._older(wit) for wit in self.model]

    @stateful.invariant()
    def agrees(self):
        for real, wit in zip(self.real, self.model, strict=True):
            entry = real.entry("o", 1)
            assert STATES[entry.state] == wit.state
        valid = self.grants.valid_until() > self.now
        assert valid == (sum(wit.expiry > 0 for wit in self.model) >= 2)
        sealed = sum(wit.told == "s" for wit in self.model) >= 2
        assert (self.takeover.mode() is takeover.Mode.SEALED) == sealed
        if sealed:
            # The daemon waits by its own clock: the model may be ahead of
            # it by the drift, never behind.
            over = self.now >= self.takeover.over_at()
            told = [wit for wit in self.model if wit.told == "s"]
            waited = sum(wit.since >= spec_lib.OLD for wit in told) >= 2
            assert over == waited
            assert not (over and valid)


TestWitnessRefinesModel = WitnessRefinesModel.TestCase
TestWitnessRefinesModel.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=30,
)
