import random

import pytest

from tamarackgap.ownership import commitretry


@pytest.fixture
def retry():
    return commitretry.CommitRetry(random.Random(1))


def pause(retry, now, can_read=False):
    """Returns after which time a failed try is repeated, seconds."""
    retry.record_try(now)
    retry.record_unknown(now, can_read)
    steps = (step / 100 for step in range(1000))
    return next(step for step in steps if retry.is_due(now + step))


def test_pauses_grow_and_are_bounded_until_an_outcome(retry):
    pauses = [pause(retry, 10.0 * index) for index in range(8)]
    assert 0.2 <= pauses[0] <= 0.41
    assert all(1.6 <= length <= 3.21 for length in pauses[4:])
    retry.record_outcome()
    assert pause(retry, 100.0) <= 0.41


def test_lost_outcomes_are_asked_for_soon_while_the_table_answers(retry):
    # Slots of a draining daemon were not moved in 15 s where seven in ten
    # outcomes were lost.
    assert all(pause(retry, 10.0 * n, can_read=True) <= 0.41 for n in range(8))


def test_a_try_without_any_result_is_repeated(retry):
    retry.record_try(5.0)
    assert not retry.is_due(6.9)
    assert retry.is_due(7.0)


def test_a_pause_ends_when_the_table_answers_again(retry):
    for index in range(6):
        pause(retry, 10.0 * index)
    assert not retry.is_due(51.0)
    retry.end_pause(51.0)
    assert retry.is_due(51.0)
    # A try that is under way is not repeated for that.
    retry.record_try(51.0)
    retry.end_pause(51.5)
    assert not retry.is_due(51.5)
