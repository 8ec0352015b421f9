import itertools

import pytest

from tamarackgap.placement import records
from tamarackgap.traffic import storewatch

# Reads of a changing table by all daemons together.
MAX_READS_PER_S = 20


def make_members(count, data_centres=5):
    return [
        records.LeaseRecord(
            service="s",
            daemon=f"d{index}",
            incarnation=f"i{index}",
            data_centre=f"z{index % data_centres}",
            peer_address=f"10.0.0.{index}:1",
            http_address=f"10.0.0.{index}:2",
        )
        for index in range(count)
    ]


def watchers(members, is_reachable=lambda incarnation: True):
    return [
        member
        for member in members
        if storewatch.find_turn(
            member.peer_address, member.data_centre, members, is_reachable
        )
    ]


def test_all_of_few_daemons_wait_for_changes():
    assert len(watchers(make_members(30))) == 30


def test_three_of_each_data_centre_wait_for_changes():
    chosen = [member.data_centre for member in watchers(make_members(195))]
    assert {zone: chosen.count(zone) for zone in set(chosen)} == {
        f"z{index}": 3 for index in range(5)
    }


def test_unreachable_watchers_are_replaced():
    members = make_members(195)
    lost = {member.incarnation for member in watchers(members)}
    others = [
        member
        for member in watchers(members, lambda name: name not in lost)
        if member.incarnation not in lost
    ]
    assert len(others) == 15


def test_daemon_without_a_record_waits_if_it_ranks_first():
    members = make_members(195)
    first = watchers(members)[0]
    members.remove(first)
    assert storewatch.find_turn(
        first.peer_address, first.data_centre, members, lambda name: True
    )


@pytest.mark.parametrize("daemons", range(1, 81))
def test_reads_of_changing_rows_are_bounded(daemons):
    plan = storewatch.row_plan(daemons, is_owner=True)
    assert daemons / plan.pause <= MAX_READS_PER_S


@pytest.mark.parametrize(("daemons", "owners"), [(195, 80), (300, 123)])
def test_daemons_without_keys_read_less_often(daemons, owners):
    owner = storewatch.row_plan(daemons, is_owner=True)
    other = storewatch.row_plan(daemons, is_owner=False)
    reads_per_s = owners / owner.pause + (daemons - owners) / other.pause
    # A quarter of the calls that 195 daemons made before, half of them reads.
    assert reads_per_s <= 9783 / 58 / 4 / 2 * daemons / 195


@pytest.mark.parametrize("daemons", [1, 12, 80, 195, 1800])
def test_owners_read_within_their_anchor_time_after_an_outage(daemons):
    plan = storewatch.row_plan(daemons, is_owner=True)
    longest_outage, anchor = 9.0, 18.0
    assert max(plan.pause, plan.period) + longest_outage < anchor


def test_daemons_that_do_not_wait_read_now_and_then():
    plan = storewatch.route_table_plan(None)
    assert not plan.waits
    assert plan.pause == plan.period


def turns(members, is_reachable=lambda incarnation: True):
    found = [
        storewatch.find_turn(
            member.peer_address, member.data_centre, members, is_reachable
        )
        for member in members
    ]
    return [turn for turn in found if turn is not None]


@pytest.mark.parametrize("count", [1, 2, 7, 12, 30, 80, 195])
def test_polls_of_all_watchers_end_a_second_apart_at_most(count):
    members = make_members(count, data_centres=3)
    plans = [storewatch.route_table_plan(turn) for turn in turns(members)]
    (period,) = {plan.period for plan in plans}
    ends = sorted(plan.turn * period for plan in plans)
    gaps = [after - before for before, after in itertools.pairwise(ends)]
    gaps.append(ends[0] + period - ends[-1])
    assert max(gaps) <= 1.0 + 1e-9
    assert period <= 8.0


def test_fewer_reachable_daemons_poll_more_often():
    members = make_members(12)
    reachable = {"i0", "i1", "i2"}
    plans = [
        storewatch.route_table_plan(
            storewatch.find_turn(
                member.peer_address,
                member.data_centre,
                members,
                reachable.__contains__,
            )
        )
        for member in members[:3]
    ]
    assert {plan.period for plan in plans} == {3.0}
    assert len({plan.turn for plan in plans}) == 3


@pytest.mark.parametrize("read_at", [0.0, 1.9, 2.0, 2.1, 9.99, 1234.5])
def test_a_wait_ends_at_the_turn_and_within_the_period(read_at):
    plan = storewatch.ReadPlan(0.02, 8.0, turn=0.25)
    wait = storewatch.wait_length(plan, read_at)
    assert (read_at + wait) % 8.0 == pytest.approx(2.0)
    assert 0.25 <= wait <= 8.25


def test_polls_for_rows_end_half_a_period_from_those_for_routes():
    turn = storewatch.Turn(2, 12)
    rows = storewatch.row_plan(12, True, turn)
    routes = storewatch.route_table_plan(turn)
    assert rows.period == routes.period == 8.0
    assert (rows.turn - routes.turn) % 1.0 == pytest.approx(0.5)
