from tamarackgap.requests import health


def record_failures(check, times, elapsed=1.0, now=0.0):
    return [check.record_failure(elapsed, now) for _ in range(times)]


def test_target_without_answers_becomes_unhealthy_for_a_time():
    check = health.PassiveHealthCheck()
    assert record_failures(check, 5) == [False] * 4 + [True]
    assert not check.is_healthy(1.0)
    assert check.is_healthy(3.0)


def test_one_answer_resets_the_failure_count():
    check = health.PassiveHealthCheck()
    record_failures(check, 4)
    check.record_answer()
    assert not any(record_failures(check, 4))
    assert check.is_healthy(0.0)


def test_failures_of_short_runs_are_not_counted():
    check = health.PassiveHealthCheck()
    assert not any(record_failures(check, 50, elapsed=0.01))


def test_second_unhealthy_period_is_longer():
    check = health.PassiveHealthCheck()
    record_failures(check, 5)
    record_failures(check, 5, now=10.0)
    assert not check.is_healthy(13.0)
    assert check.is_healthy(14.1)
