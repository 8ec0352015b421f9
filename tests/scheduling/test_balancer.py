import random

from tamarackgap.scheduling import balancer


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
    chosen = balancer.choose(
        candidates, frozenset(tried), now, random.Random(1)
    )
    return chosen.incarnation if chosen else None


def test_less_loaded_target_is_chosen():
    assert (
        choose(candidate("a", reported_load=5), candidate("b", reported_load=1))
        == "b"
    )


def test_faster_target_of_equal_load_is_chosen():
    assert choose(candidate("a", relative_latency=0.6), candidate("b")) == "b"


def test_slow_target_is_chosen_over_long_queue_at_fast_one():
    slow = candidate("slow", relative_latency=0.45)
    assert choose(slow, candidate("fast", reported_load=12)) == "slow"


def test_calls_sent_since_report_count_as_load():
    assert (
        choose(
            candidate("a", sent_since_report=6), candidate("b", reported_load=3)
        )
        == "b"
    )


def test_target_that_has_answered_no_call_is_chosen():
    assert (
        choose(
            candidate("new", relative_latency=0.0),
            candidate("a", reported_load=2),
        )
        == "new"
    )


def test_silent_leaving_and_tried_targets_are_left_out():
    silent = candidate("a", last_heard=-2.0)
    leaving = candidate("b", accepting=False)
    assert choose(silent, leaving, candidate("c"), tried=["c"]) is None


def test_failures_count_and_decay():
    failing = candidate("a", reported_load=0)
    failing.record_failure(0.0)
    failing.record_failure(0.0)
    assert choose(failing, candidate("b", reported_load=3)) == "b"
    failing.last_heard = 30.0
    later = candidate("b", reported_load=3, last_heard=30.0)
    assert choose(failing, later, now=30.0) == "a"


def test_few_failures_among_many_calls_count_little():
    lossy = candidate("a", reported_load=1)
    for _ in range(19):
        lossy.record_success(0.0)
    lossy.record_failure(0.0)
    assert choose(lossy, candidate("b", reported_load=6)) == "a"


def test_failing_target_of_many_gets_few_calls():
    many = [candidate(f"t{index}") for index in range(10)]
    for _ in range(4):
        many[0].record_failure(0.0)
    rng = random.Random(1)
    chosen = [balancer.choose(many, frozenset(), 0.0, rng) for _ in range(2000)]
    # A tenth of an even share.
    assert chosen.count(many[0]) < 0.1 * 2000 / len(many)


def test_idle_target_of_many_does_not_get_all_calls():
    many = [candidate(f"t{index}", reported_load=3) for index in range(10)]
    many[0].reported_load = 0
    rng = random.Random(1)
    chosen = [balancer.choose(many, frozenset(), 0.0, rng) for _ in range(2000)]
    # Each call compares only two targets, so it is compared for 1 in 5 calls.
    assert chosen.count(many[0]) < 0.3 * 2000
    assert all(chosen.count(each) for each in many)
