from tamarackgap import types, verdicts
from tamarackgap.requests import dedup

STATE = dedup.RequestState
ANSWER = verdicts.answered(200, "", b"seat 4")


def make_cache(limit=100):
    return dedup.DedupCache(window_ms=1000, limit=limit, skew_ms=50)


def lookup(
    cache,
    request_id="r",
    attempt=2,
    first_sent=5000,
    owned_since=4000,
    now=5100,
):
    return cache.lookup(request_id, attempt, first_sent, owned_since, now)


def test_first_attempt_is_fresh_whatever_its_time():
    assert lookup(make_cache(), attempt=1, first_sent=0) is STATE.FRESH


def test_repeat_within_the_window_finds_the_result():
    cache = make_cache()
    cache.record_start("r", 5000)
    assert lookup(cache, attempt=1) is STATE.IN_PROGRESS
    cache.record_result("r", ANSWER)
    assert lookup(cache) is STATE.FINISHED
    assert cache.result_of("r") == ANSWER


def test_repeat_first_sent_under_this_owner_is_fresh():
    assert (
        lookup(make_cache(), first_sent=5000, owned_since=4000) is STATE.FRESH
    )


def test_repeat_first_sent_under_an_earlier_owner_is_unknown():
    assert (
        lookup(make_cache(), first_sent=3999, owned_since=4000) is STATE.UNKNOWN
    )
    # Within the clock skew it may have been sent to an earlier owner.
    assert (
        lookup(make_cache(), first_sent=4040, owned_since=4000) is STATE.UNKNOWN
    )


def test_repeat_first_sent_before_the_window_is_unknown():
    assert lookup(make_cache(), first_sent=4100, owned_since=0) is STATE.UNKNOWN


def test_request_dropped_from_a_full_cache_is_unknown():
    cache = make_cache(limit=2)
    for number, started_at_ms in enumerate((5000, 5010, 5020)):
        cache.record_start(f"r{number}", started_at_ms)
    assert len(cache) == 2
    assert lookup(cache, "r0", first_sent=4990) is STATE.UNKNOWN


def test_request_that_did_not_run_may_be_sent_again():
    cache = make_cache()
    cache.record_start("r", 5000)
    cache.record_result("r", verdicts.not_run(types.Reason.TARGET_REFUSED))
    assert lookup(cache) is STATE.FRESH


def test_request_that_may_have_run_is_not_run_again():
    cache = make_cache()
    cache.record_start("r", 5000)
    cache.record_result("r", verdicts.may_have_run(types.Reason.NO_ANSWER))
    assert lookup(cache) is STATE.FINISHED
