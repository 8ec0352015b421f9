import random

import pytest

from tamarackgap.placement import loadstats, placement, workload

_HALF_LIFE_S = 2.0
_SLOTS_PER_MEMBER = 16
_CAPACITY = 7


def test_shares_follow_weights_and_speeds():
    assert workload.shares([100, 100, 200], [50.0, 100.0, 50.0], [1] * 3) == [
        pytest.approx(0.2),
        pytest.approx(0.4),
        pytest.approx(0.4),
    ]
    assert workload.shares([1, 1], [0.0, 70.0], [4, 4]) == [0.5, 0.5]
    assert workload.shares([1, 3], [0.0, 0.0], [0, 4]) == [0.25, 0.75]
    assert workload.shares([0, 0], [5.0, 5.0], [4, 4]) == [0.0, 0.0]


def test_a_target_that_has_just_joined_gets_less_than_a_mean_share():
    # It may be cold; what others have above their shares can still follow.
    shares = workload.shares([1] * 5, [0.0] + [70.0] * 4, [0] + [8] * 4)
    assert shares[0] == pytest.approx(shares[1] / 2)


def test_a_disturbed_target_keeps_a_part_of_its_share():
    # One of five targets is twelve times slower for some seconds.
    slow = workload.shares([1] * 5, [100.0 / 12] + [100.0] * 4, [8] * 5)[0]
    assert slow == pytest.approx(0.2 / 4, rel=0.25)


def test_smoothed_rates_keep_their_sum():
    rates = {1: 8.0, 2: 0.0, 3: 1.0}
    few = workload.smoothed(rates, 4.0, _HALF_LIFE_S)
    assert sum(few.values()) == pytest.approx(9.0)
    # About two requests a slot: half of the difference remains.
    assert few[1] < 6.0
    assert few[1] > few[3] > few[2] > 0
    many = workload.smoothed(
        {slot: rate * 100 for slot, rate in rates.items()}, 4.0, _HALF_LIFE_S
    )
    assert many[1] == pytest.approx(800.0, rel=0.05)


def test_target_of_unknown_speed_is_not_taken_for_idle():
    assert not workload.is_idle(1.0, 0.0, 7)
    assert not workload.is_idle(1.0, 50.0, 0)
    assert not workload.is_idle(70.0, 50.0, 7)


def test_targets_with_more_slots_are_idle_up_to_a_higher_utilisation():
    # About where the mean wait is 0.3 of a duration.
    for capacity, bound in ((3, 0.66), (7, 0.80), (12, 0.87)):
        assert workload.is_idle((bound - 0.05) * 100, 100.0, capacity)
        assert not workload.is_idle((bound + 0.05) * 100, 100.0, capacity)


def measured_plan(slot_rates, speeds, seconds, seed):
    """Returns the plan of all members after some seconds of random requests.

    Args:
        slot_rates: Requests a second of each slot; the slots lie evenly.
        speeds: Requests a second that each member's target can do.
        seconds: Time for which requests are counted.
        seed: Seed of the requests.

    Returns:
        The moves and the owner of each slot afterwards.
    """
    rng = random.Random(seed)
    count = len(speeds)
    owner = {
        slot: slot * count // len(slot_rates) for slot in range(len(slot_rates))
    }
    meter = loadstats.SlotMeter(-10.0, _HALF_LIFE_S)
    now = 0.0
    total = sum(slot_rates)
    while (now := now + rng.expovariate(total)) < seconds:
        meter.count(rng.choices(range(len(slot_rates)), slot_rates)[0], now)
    # The slots are owned since before the first request.
    rates = meter.rates(dict.fromkeys(owner, -10.0), seconds)
    members = []
    for index, speed in enumerate(speeds):
        owned = tuple(slot for slot, own in owner.items() if own == index)
        members.append(
            placement.Member(
                str(index),
                f"m{index:02}",
                "a",
                100,
                owned,
                sum(rates[slot] for slot in owned),
                speed,
            )
        )
    moves = []
    for index, member in enumerate(members):
        if workload.is_idle(member.rate, member.speed, _CAPACITY):
            continue
        moves += [
            move
            for move in placement.plan_moves(
                len(slot_rates),
                members,
                {slot: rates[slot] for slot in member.owned},
                0.15,
                _HALF_LIFE_S,
                placement.plan_block_moves,
                meter.amount_per_request(rates),
            )
            if move.source == str(index)
        ]
    for move in moves:
        owner[move.slot] = int(move.destination)
    return moves, owner


def utilisations(slot_rates, speeds, owner):
    totals = [0.0] * len(speeds)
    for slot, rate in enumerate(slot_rates):
        totals[owner[slot]] += rate / speeds[owner[slot]]
    return totals


def test_even_demand_that_is_counted_for_a_second_moves_hardly_a_slot():
    # 20 equal targets, 0.8 busy, get 16 requests a second each. A member may
    # be above three standard deviations by chance.
    slot_count = 20 * _SLOTS_PER_MEMBER
    moved = sum(
        len(measured_plan([1.0] * slot_count, [20.0] * 20, 1.0, seed)[0])
        for seed in range(20)
    )
    assert moved <= 0.01 * 20 * slot_count


@pytest.mark.parametrize("seed", range(5))
def test_skewed_demand_at_the_start_is_relieved_by_one_plan(seed):
    # A range has 2.5 times its share and its owner's target is a slow one.
    speeds = [24.0, 40.0, 64.0] * 4
    slot_rates = [1.0] * 12 * _SLOTS_PER_MEMBER
    slot_rates[:_SLOTS_PER_MEMBER] = [2.5] * _SLOTS_PER_MEMBER
    owner = {slot: slot // _SLOTS_PER_MEMBER for slot in range(len(slot_rates))}
    assert max(utilisations(slot_rates, speeds, owner)) > 1.6
    moves, owner = measured_plan(slot_rates, speeds, 2.0, seed)
    assert max(utilisations(slot_rates, speeds, owner)) < 1.0
    assert len(moves) <= 0.3 * len(slot_rates)


@pytest.mark.parametrize("phase", [0.45, 1.0, 1.55])
def test_a_swing_of_demand_moves_no_slot(phase):
    # All members have the same load at each moment of the swing.
    rate = 0.6 * phase * 40
    members = [
        placement.Member(
            str(i), str(i), "a", 100, tuple(range(8 * i, 8 * i + 8)), rate, 40.0
        )
        for i in range(10)
    ]
    rates = dict.fromkeys(range(8), rate / 8)
    assert not placement.plan_moves(
        80, members, rates, 0.15, _HALF_LIFE_S, placement.plan_block_moves
    )


def test_all_other_slots_leave_the_owner_of_a_hot_key_in_one_plan():
    # One slot gets a quarter of all requests.
    slot_rates = [1.0] * 20 * _SLOTS_PER_MEMBER
    slot_rates[5] = sum(slot_rates) / 3
    moves, owner = measured_plan(slot_rates, [24.0] * 20, 1.0, 1)
    left = [slot for slot, own in owner.items() if own == 0]
    assert left == [5]
    assert {move.source for move in moves} == {"0"}


def test_a_hot_slot_of_a_slow_target_moves_to_a_fast_one():
    # For 5 s one key gets a third of all requests, more than any target can do.
    speeds = [24.0, 40.0, 64.0] * 6
    slot_rates = [1.0] * len(speeds) * _SLOTS_PER_MEMBER
    slot_rates[5] = sum(slot_rates) / 2
    moves, owner = measured_plan(slot_rates, speeds, 1.0, 1)
    assert speeds[owner[5]] == 64.0
    # The fast target's other slots leave it next; the slow one keeps its own.
    assert [move.slot for move in moves if move.source == "0"] == [5]


@pytest.mark.parametrize("speed", [40.0, 64.0])
def test_a_hot_slot_stays_where_hardly_another_target_is_faster(speed):
    speeds = [speed] + [40.0, 64.0] * 9
    slot_rates = [1.0] * len(speeds) * _SLOTS_PER_MEMBER
    slot_rates[5] = sum(slot_rates) / 2
    moves, owner = measured_plan(slot_rates, speeds, 1.0, 1)
    assert owner[5] == 0
    assert len(moves) >= _SLOTS_PER_MEMBER - 1


def test_moves_name_the_loads_they_rest_on():
    members = [
        placement.Member("a", "a", "x", 100, tuple(range(8)), 900.0, 500.0),
        placement.Member(
            "b", "b", "x", 100, tuple(range(8, 16)), 100.0, 500.0, 1.5
        ),
    ]
    moves = placement.plan_moves(16, members, dict.fromkeys(range(8), 112.5))
    basis = moves[0].basis
    assert basis.source_load == pytest.approx(1.72)
    assert basis.source_load_after < 1.2
    assert basis.destination_load == pytest.approx(0.28)
    assert basis.load_age == 1.5
