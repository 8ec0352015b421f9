"""When calls leave their data centre, and how many; no network takes part."""

import math
import random

import pytest

from tamarackgap.scheduling import balancer, estimates, zonepolicy

OBJECTIVE_S = 0.3
PRICE = 10.0
TRAVEL_S = 0.003


def _needs(objective_left=OBJECTIVE_S, deadline_left=1.2, size=10_000):
    return zonepolicy.CallNeeds(
        OBJECTIVE_S, objective_left, deadline_left, 0, size
    )


def _decide(end_here, end_there, age=0.0, **needs):
    return zonepolicy.decide(end_here, end_there, _needs(**needs), PRICE, age)


def test_a_faster_target_elsewhere_is_not_used_while_this_one_is_in_time():
    assert _decide(0.1, 0.05).share == 0.0


def test_calls_leave_where_they_would_be_late_here():
    decision = _decide(0.4, 0.1)
    assert decision.gain > decision.cost
    assert 0.0 < decision.share <= 1.0


def test_calls_that_no_target_here_takes_leave():
    assert _decide(math.inf, 0.1).share == 1.0


def test_calls_stay_where_they_would_be_late_in_both():
    assert _decide(2.5, 2.4).share == 0.0
    # Nor do they leave for an answer that is late in any case.
    assert _decide(0.25, 0.2, objective_left=-0.1).share == 0.0


def test_a_large_body_stays_for_a_small_gain():
    assert _decide(0.2, 0.1, size=1_000).share > 0.0
    assert _decide(0.2, 0.1, size=60_000).share == 0.0


def test_a_large_body_leaves_where_it_has_no_chance_here():
    decision = _decide(5.0, 0.1, size=400_000)
    assert decision.share > 0.0
    assert decision.cost < decision.gain


def test_old_loads_never_send_all_away():
    fresh, old = _decide(math.inf, 0.1), _decide(math.inf, 0.1, age=3.0)
    assert old.share <= fresh.share / 4
    assert _decide(0.4, 0.1, age=2.0).share < _decide(0.4, 0.1).share


def test_travel_is_measured_and_unknown_travel_is_assumed():
    times = zonepolicy.TravelTimes()
    assert times.travel("south") > 0.0
    for _ in range(50):
        times.record("south", 0.0028)
    assert times.travel("south") == pytest.approx(0.0028)
    times.record("south", -0.5)
    assert times.travel("south") >= 0.0


# Loads of two data centres: the targets of the first are too few for its
# callers, the second has room. Calls that are served leave the queue.
CAPACITY_HERE, CAPACITY_THERE = 6, 30
DURATION_S = 0.09
STEP_S = 0.05


def _end(load, capacity, needs):
    running = min(round(load), capacity)
    target = estimates.TargetLoad(
        capacity, running, round(load) - running, DURATION_S / OBJECTIVE_S
    )
    return estimates.estimate(target, needs.latency_objective).total


def _play(age, seconds=20.0):
    """Returns the loads and the shares that leave, by step.

    All daemons decide by the loads of `age` seconds ago.
    """
    arrivals = 1.6 * CAPACITY_HERE / DURATION_S
    needs = _needs()
    history = [(0.0, 0.0, 0.0)]
    for _ in range(round(seconds / STEP_S)):
        seen_here, seen_there, _ = history[
            max(0, len(history) - 1 - round(age / STEP_S))
        ]
        decision = zonepolicy.decide(
            _end(seen_here, CAPACITY_HERE, needs),
            _end(seen_there, CAPACITY_THERE, needs) + TRAVEL_S,
            needs,
            PRICE,
            age,
        )
        here, there, _ = history[-1]
        come = arrivals * STEP_S
        served_here = min(here, CAPACITY_HERE) / DURATION_S * STEP_S
        served_there = min(there, CAPACITY_THERE) / DURATION_S * STEP_S
        history.append(
            (
                max(0.0, here + come * (1 - decision.share) - served_here),
                max(0.0, there + come * decision.share - served_there),
                decision.share,
            )
        )
    return history


# By older loads the queue here swings, and its calls are late at times.
@pytest.mark.parametrize(
    ("age", "limit_s"), [(0.05, OBJECTIVE_S), (0.25, OBJECTIVE_S), (0.75, 1.2)]
)
def test_as_many_leave_as_the_targets_here_lack(age, limit_s):
    history = _play(age)
    settled = history[len(history) // 2 :]
    share = sum(entry[2] for entry in settled) / len(settled)
    # Of 1.6 times the capacity, 0.375 are too many; no more than that leave,
    # and the rest is still answered within its limit.
    assert share == pytest.approx(0.375, abs=0.05)
    needs = _needs()
    for here, there, _ in settled:
        assert _end(there, CAPACITY_THERE, needs) <= OBJECTIVE_S
        del here
    mean = sum(_end(entry[0], CAPACITY_HERE, needs) for entry in settled)
    assert mean / len(settled) <= limit_s


def test_nothing_leaves_while_both_are_idle():
    needs = _needs()
    for load in range(CAPACITY_HERE):
        assert not zonepolicy.decide(
            _end(load, CAPACITY_HERE, needs),
            _end(0, CAPACITY_THERE, needs) + TRAVEL_S,
            needs,
            PRICE,
            0.0,
        ).share


def _target(name, data_centre, load=0, heard=0.0, **fields):
    return balancer.Candidate(
        name,
        accepting=True,
        capacity=4,
        relative_latency=0.3,
        data_centre=data_centre,
        reported_load=load,
        last_heard=heard,
        **fields,
    )


def _choices(targets, now=0.0, tried=(), count=400):
    policy = zonepolicy.ZonePolicy("north", PRICE, random.Random(1))
    return policy, [
        policy.choose(targets, frozenset(tried), _needs(), "own", now)
        for _ in range(count)
    ]


def test_target_in_same_data_centre_is_preferred_to_a_little_better_one():
    here, there = _target("a", "north", load=2), _target("b", "south")
    policy, choices = _choices([there, here])
    assert all(choice.candidate is here for choice in choices)
    assert policy.calls_sent_away == 0


def test_some_calls_leave_a_full_data_centre_and_are_counted():
    here, there = _target("a", "north", load=10), _target("b", "south")
    policy, choices = _choices([here, there])
    away = sum(choice.candidate is there for choice in choices)
    assert 0 < away < len(choices)
    assert policy.calls_sent_away == away
    leaving = next(choice for choice in choices if choice.leaves)
    assert leaving.end_here > leaving.end_there
    assert leaving.decision.gain > leaving.decision.cost


def test_calls_leave_where_no_target_here_can_take_them():
    here, there = _target("a", "north"), _target("b", "south")
    _, choices = _choices([here, there], tried=["a"])
    assert all(choice.candidate is there for choice in choices)
    here.accepting = False
    assert _choices([here, there])[1][0].candidate is there
    assert _choices([here])[1][0] is None


def test_targets_elsewhere_that_are_not_known_get_nothing():
    here = _target("a", "north", load=14, heard=5.0)
    unknown = balancer.Candidate("b", data_centre="south")
    silent = _target("c", "south", heard=1.0)
    _, choices = _choices([here, unknown, silent], now=5.0)
    assert all(choice.candidate is here for choice in choices)


def test_fewer_leave_by_older_loads():
    here = _target("a", "north", load=14, heard=5.0)
    fresh = _target("b", "south", heard=5.0, status_interval=2.0)
    old = _target("b", "south", heard=2.0, status_interval=2.0)
    counts = [
        _choices([here, there], now=5.0, count=2000)[0].calls_sent_away
        for there in (fresh, old)
    ]
    assert counts[1] < counts[0] / 2


def test_a_few_near_targets_of_many_do_not_all_get_the_same_calls():
    # Each of many daemons compared all five targets of its data centre, by the
    # same reports, and all chose the same one.
    near = [_target(f"n{index}", "north", load=3) for index in range(5)]
    near[0].reported_load = 0
    far = [_target(f"f{index}", "south", load=3) for index in range(10)]
    _, choices = _choices(near + far, count=2000)
    chosen = [choice.candidate for choice in choices]
    # Each call compares two of the five, so it is compared for 2 in 5 calls.
    assert chosen.count(near[0]) < 0.5 * len(chosen)
    assert all(chosen.count(each) for each in near)
