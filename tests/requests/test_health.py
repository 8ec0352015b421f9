from tamarackgap.requests import health


def fail(subject, times, given=1.0, now=0.0):
    return [subject.record_failure(given, now) for _ in range(times)]


def test_a_target_that_answers_nothing_rests():
    subject = health.PassiveHealthCheck()
    assert fail(subject, 5) == [False] * 4 + [True]
    assert not subject.is_healthy(1.0)
    assert subject.is_healthy(3.0)


def test_one_answer_makes_up_for_failures():
    subject = health.PassiveHealthCheck()
    fail(subject, 4)
    subject.record_answer()
    assert not any(fail(subject, 4))
    assert subject.is_healthy(0.0)


def test_runs_with_hardly_any_time_do_not_count():
    subject = health.PassiveHealthCheck()
    assert not any(fail(subject, 50, given=0.01))


def test_rests_grow_longer_until_it_answers():
    subject = health.PassiveHealthCheck()
    fail(subject, 5)
    fail(subject, 5, now=10.0)
    assert not subject.is_healthy(13.0)
    assert subject.is_healthy(14.1)
