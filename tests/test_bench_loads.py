"""What callers get from the shipped queue and choice under load."""

import pytest

from bench import loads

NAMES = {scenario.name: scenario for scenario in loads.SCENARIOS}
DEADLINE_S = max(kind.deadline for kind in loads.KINDS)
# Calls of requests that run already come first: nearly all must be in time.
INNER = 0.95
# Who is refused has half of the time left to come back in.
TOLD_S = 0.5 * DEADLINE_S


def _play(name, shipped=True):
    return loads.Simulation(NAMES[name], shipped, 1).run()


@pytest.mark.parametrize("name", NAMES)
def test_more_callers_are_served_in_their_aim_than_before(name):
    before = _play(name, shipped=False).share_in_objective
    assert _play(name).share_in_objective >= before


@pytest.mark.parametrize("name", ["burst", "overload"])
def test_calls_of_running_requests_come_first(name):
    assert _play(name).share("inner") >= INNER


@pytest.mark.parametrize("name", ["burst", "overload", "one joins"])
def test_most_refusals_are_told_at_once(name):
    assert _play(name).refusal_delay(0.9) <= TOLD_S


def test_a_target_that_joins_gets_calls_within_seconds():
    scenario = NAMES["one joins"]
    started = _play("one joins").last_target_starts
    assert min(started) < scenario.last_joins_at + 1.0


def test_targets_that_lose_a_few_answers_go_on_being_used():
    # One call in 40 is lost whatever is chosen; there is room for all others.
    assert _play("answers lost").share_in_objective >= 0.9


@pytest.mark.parametrize(
    ("name", "served"),
    # In all but the burst there is room for every caller.
    [("many entries", 0.98), ("many entries, full", 0.93)],
)
def test_many_entries_do_not_send_to_the_same_idle_target(name, served):
    assert _play(name).share_in_objective >= served
