"""Checks the model and its mutants, and compares it with the daemon's code."""

import hypothesis
import pytest
from hypothesis import stateful, strategies

from model import anchor, check, grants
from model import spec as spec_lib
from tamarackgap import types
from tamarackgap.ownership import lease, takeover, witness
from tamarackgap.peers import messages
from tamarackgap.placement import records

Rule = spec_lib.Rule
# Keeps the checks short enough for CI.
MAX_STATES = 400_000


def test_with_all_rules_no_slot_has_two_owners():
    result = check.check(spec_lib.Spec(), MAX_STATES)
    assert result.holds is True
    assert result.states > 100_000


# Steps of the shortest violation without each rule.
TRACE_LENGTHS = {
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
def test_each_rule_is_necessary(rule):
    mutant = spec_lib.Spec(without=frozenset({rule}))
    result = check.check(mutant, MAX_STATES)
    assert result.holds is False
    assert len(result.trace) == TRACE_LENGTHS[rule]
    fences = rule is Rule.SKIP_FENCE
    assert result.property == (check.FENCES if fences else check.ONE_OWNER)


def test_ending_an_epoch_by_the_table_alone_makes_no_second_owner():
    result = check.check(anchor.Spec(), MAX_STATES)
    assert result.holds is True
    assert result.states > 5_000


# Steps of the shortest violation without each rule.
ANCHOR_TRACE_LENGTHS = {
    anchor.Rule.ANCHOR: 5,
    anchor.Rule.FROM_SENDING: 8,
    anchor.Rule.HELD: 8,
    anchor.Rule.WAIT: 2,
    anchor.Rule.DRIFT_MARGIN: 4,
    anchor.Rule.SAME_CHALLENGE: 14,
}


@pytest.mark.parametrize("rule", anchor.Rule)
def test_each_rule_of_the_anchor_is_necessary(rule):
    mutant = anchor.Spec(without=frozenset({rule}))
    result = check.check(mutant, MAX_STATES)
    assert result.holds is False
    assert len(result.trace) == ANCHOR_TRACE_LENGTHS[rule]


def test_grants_and_restarts_make_no_second_holder():
    result = check.check(grants.Spec(max_grants=2), MAX_STATES)
    assert result.holds is True
    assert result.states > 50_000


# Steps of the shortest violation without each rule.
GRANTS_TRACE_LENGTHS = {
    grants.Rule.HOLD_IN_LEASE: 7,
    grants.Rule.NEW_CONNECTION: 9,
    grants.Rule.UNANSWERED: 8,
    grants.Rule.RESTART_WAIT: 8,
    grants.Rule.REFUSAL_WAIT: 6,
    grants.Rule.RELEASE_CONFIRMED: 5,
    grants.Rule.NO_EARLIER_END: 10,
}


@pytest.mark.parametrize("rule", grants.Rule)
def test_each_rule_of_grants_is_necessary(rule):
    mutant = grants.Spec(without=frozenset({rule}), max_grants=2)
    result = check.check(mutant, MAX_STATES)
    assert result.holds is False
    assert len(result.trace) == GRANTS_TRACE_LENGTHS[rule]
    fences = rule is grants.Rule.NEW_CONNECTION
    assert result.property == (check.FENCES if fences else check.ONE_OWNER)


STATE_CODES = {
    types.WitnessState.OPEN: "o",
    types.WitnessState.SEALED: "s",
    types.WitnessState.RETIRED: "r",
    types.WitnessState.CLOSED: "c",
}


class WitnessRefinesModel(stateful.RuleBasedStateMachine):
    """Takes the same steps in the model and in the daemon's code.

    The daemon's witnesses, grants and takeover must agree with the model after
    each step. One tick of the model is one second.
    """

    def __init__(self):
        super().__init__()
        self.spec = spec_lib.Spec()
        self.now = 100.0
        self.real = [witness.Witness(lambda owner: 0.0) for _ in range(3)]
        self.model = [spec_lib.Witness() for _ in range(3)]
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
        # Drift of 0.5: one tick in a lease of two, as in the model.
        self.takeover = takeover.Takeover(record, 0.5, self.now)

    @stateful.rule(index=strategies.integers(0, 2))
    def renew(self, index):
        state = self.real[index].renew("o", 1, self.now)
        granted = STATE_CODES[state] in "or"
        sent_at = self.now if granted else None
        self.grants.record_answer(str(index), state, self.now, sent_at)
        steps = dict(self.spec._renew(self.model[index]))
        assert ("grant" in steps) == granted
        if granted:
            self.model[index] = steps["grant"]

    @stateful.rule(index=strategies.integers(0, 2))
    def retire(self, index):
        self.real[index].retire("o", 1)
        model = self.model[index]
        if model.state == "o":
            self.model[index] = model._replace(state="r")

    @stateful.rule(index=strategies.integers(0, 2))
    def seal(self, index):
        model = self.model[index]
        if model.state not in "or":
            return
        state, age = self.real[index].seal("o", 1, self.now)
        known_age = age if age != float("inf") else -1.0
        answer = messages.SealReply("o", 1, state, known_age)
        self.takeover.record_answer(str(index), answer, self.now)
        self.model[index] = self.spec._seal(model)

    @stateful.rule()
    def tick(self):
        self.now += 1.0
        self.model = [spec_lib._tick_witness(model) for model in self.model]

    @stateful.invariant()
    def model_agrees_with_daemon(self):
        for real, model in zip(self.real, self.model, strict=True):
            epoch_state = real.epoch_state("o", 1)
            assert STATE_CODES[epoch_state.state] == model.state
        valid = self.grants.valid_until() > self.now
        assert valid == (sum(model.valid_for > 0 for model in self.model) >= 2)
        sealed = sum(model.reply == "s" for model in self.model) >= 2
        assert (self.takeover.mode() is takeover.Mode.SEALED) == sealed
        if sealed:
            # The model also lets the successor's clock gain up to the drift.
            # Here it gains nothing, so the daemon must wait until age `OLD`.
            ended = self.now >= self.takeover.lease_end()
            replied = [model for model in self.model if model.reply == "s"]
            waited = (
                sum(model.estimated_age >= spec_lib.OLD for model in replied)
                >= 2
            )
            assert ended == waited
            assert not (ended and valid)


TestWitnessRefinesModel = WitnessRefinesModel.TestCase
TestWitnessRefinesModel.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=30,
)
