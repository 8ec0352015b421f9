from tamarackgap import types, verdicts
from tamarackgap.requests import dedup

KNOWN = dedup.RequestState
DONE = verdicts.answered(200, "", b"seat 4")


def make(limit=100):
    return dedup.DedupCache(window_ms=1000, limit=limit, skew_ms=50)


def look(subject, request="r", attempt=2, sent=5000, since=4000, now=5100):
    return subject.lookup(request, attempt, sent, since, now)


def test_a_first_sending_is_fresh_whatever_its_stamp():
    assert look(make(), attempt=1, sent=0) is KNOWN.FRESH


def test_a_repeat_within_the_window_is_known():
    subject = make()
    subject.record_start("r", 5000)
    assert look(subject, attempt=1) is KNOWN.IN_PROGRESS
    subject.record_result("r", DONE)
    assert look(subject) is KNOWN.FINISHED
    assert subject.result_of("r") == DONE


def test_a_repeat_first_sent_under_this_owner_is_fresh():
    assert look(make(), sent=5000, since=4000) is KNOWN.FRESH


def test_a_repeat_from_before_this_owner_is_unknown():
    assert look(make(), sent=3999, since=4000) is KNOWN.UNKNOWN
    # Within the clocks' difference it can't be told.
    assert look(make(), sent=4040, since=4000) is KNOWN.UNKNOWN


def test_a_repeat_from_before_the_window_is_unknown():
    assert look(make(), sent=4100, since=0) is KNOWN.UNKNOWN


def test_what_was_forgotten_for_room_is_unknown():
    subject = make(limit=2)
    for number, begun in enumerate((5000, 5010, 5020)):
        subject.record_start(f"r{number}", begun)
    assert len(subject) == 2
    assert look(subject, "r0", sent=4990) is KNOWN.UNKNOWN


def test_what_did_not_run_may_be_sent_again():
    subject = make()
    subject.record_start("r", 5000)
    subject.record_result("r", verdicts.not_run(types.Reason.TARGET_REFUSED))
    assert look(subject) is KNOWN.FRESH


def test_what_may_have_run_is_never_run_again():
    subject = make()
    subject.record_start("r", 5000)
    subject.record_result("r", verdicts.may_have_run(types.Reason.NO_ANSWER))
    assert look(subject) is KNOWN.FINISHED
