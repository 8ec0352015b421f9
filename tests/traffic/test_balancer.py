import random

from tamarackgap.traffic import balancer


def candidate(name, **fields):
    values = {
        "service": "s",
        "accepting": True,
        "capacity": 4,
        "relative_latency": 0.3,
        "last_heard": 0.0,
        **fields,
    }
    return balancer.Candidate(name, **values)


def choose(*candidates, tried=(), now=0.0):
    found = balancer.choose(candidates, frozenset(tried), now, random.Random(1))
    return found.incarnation if found else None


def test_the_less_loaded_is_chosen():
    assert (
        choose(candidate("a", reported_load=5), candidate("b", reported_load=1))
        == "b"
    )


def test_a_fast_target_is_chosen_before_a_slow_one_of_equal_load():
    assert choose(candidate("a", relative_latency=0.6), candidate("b")) == "b"


def test_a_queue_at_the_fast_one_is_weighed_against_slowness():
    slow = candidate("slow", relative_latency=0.45)
    assert choose(slow, candidate("fast", reported_load=12)) == "slow"


def test_what_was_sent_since_counts():
    assert (
        choose(
            candidate("a", sent_since_report=6), candidate("b", reported_load=3)
        )
        == "b"
    )


def test_one_that_has_served_none_gets_its_turn():
    assert (
        choose(
            candidate("new", relative_latency=0.0),
            candidate("a", reported_load=2),
        )
        == "new"
    )


def test_silent_leaving_and_tried_ones_are_left_out():
    silent = candidate("a", last_heard=-2.0)
    leaving = candidate("b", accepting=False)
    assert choose(silent, leaving, candidate("c"), tried=["c"]) is None


def test_failures_are_shunned_and_forgotten():
    failing = candidate("a", reported_load=0)
    failing.record_failure(0.0)
    failing.record_failure(0.0)
    assert choose(failing, candidate("b", reported_load=3)) == "b"
    failing.last_heard = 30.0
    later = candidate("b", reported_load=3, last_heard=30.0)
    assert choose(failing, later, now=30.0) == "a"


def test_a_few_failures_among_many_calls_weigh_little():
    lossy = candidate("a", reported_load=1)
    for _ in range(19):
        lossy.record_success(0.0)
    lossy.record_failure(0.0)
    assert choose(lossy, candidate("b", reported_load=6)) == "a"


def test_one_in_the_same_data_centre_is_taken_among_equals():
    here = candidate("a", data_centre="north", reported_load=1)
    there = candidate("b", data_centre="south")
    found = balancer.choose(
        [there, here], frozenset(), 0.0, random.Random(1), "north"
    )
    assert found is here


def test_one_of_many_that_fails_is_hardly_used():
    many = [candidate(f"t{index}") for index in range(10)]
    for _ in range(4):
        many[0].record_failure(0.0)
    rng = random.Random(1)
    chosen = [balancer.choose(many, frozenset(), 0.0, rng) for _ in range(2000)]
    # Less than a tenth of what the others get.
    assert chosen.count(many[0]) < 0.1 * 2000 / len(many)


def test_the_idle_one_of_many_does_not_get_all_calls():
    many = [candidate(f"t{index}", reported_load=3) for index in range(10)]
    many[0].reported_load = 0
    rng = random.Random(1)
    chosen = [balancer.choose(many, frozenset(), 0.0, rng) for _ in range(2000)]
    # It is drawn as one of two.
    assert chosen.count(many[0]) < 0.3 * 2000
    assert all(chosen.count(each) for each in many)
