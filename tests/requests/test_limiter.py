from tamarackgap.requests import limiter


class LimiterHarness:
    def __init__(self, limit=2, queue=2):
        self.limiter = limiter.Limiter()
        self.limiter.set_limits(limit, queue, -100.0)
        self.started = []
        self.shed = []

    def submit(
        self, name, urgent=True, deadline=100.0, now=0.0, exclusive=False
    ):
        request = limiter.QueuedRequest(
            deadline,
            lambda: self.started.append(name),
            lambda: self.shed.append(name),
            urgent,
            exclusive,
        )
        return self.limiter.submit(request, now)


def test_requests_over_the_limit_are_queued_or_refused():
    harness = LimiterHarness()
    assert all(harness.submit(name) for name in "abcd")
    assert harness.started == ["a", "b"]
    assert not harness.submit("e")
    harness.limiter.release(0.0)
    assert harness.started == ["a", "b", "c"]
    assert harness.limiter.in_progress == 2


def test_urgent_requests_start_before_reports():
    harness = LimiterHarness(limit=1)
    harness.submit("a")
    harness.submit("report", urgent=False)
    harness.submit("b")
    harness.limiter.release(0.0)
    assert harness.started == ["a", "b"]


def test_urgent_request_displaces_a_queued_report():
    harness = LimiterHarness(limit=1)
    harness.submit("a")
    harness.submit("r1", urgent=False)
    harness.submit("r2", urgent=False)
    assert harness.submit("b")
    assert harness.shed == ["r2"]
    assert not harness.submit("r3", urgent=False)


def test_queued_requests_past_their_deadline_are_shed():
    harness = LimiterHarness(limit=1)
    harness.submit("a")
    harness.submit("late", deadline=1.0)
    harness.limiter.release(2.0)
    assert harness.shed == ["late"]
    assert harness.limiter.in_progress == 0


def test_higher_limit_starts_queued_requests():
    harness = LimiterHarness(limit=1)
    for name in "abc":
        harness.submit(name)
    harness.limiter.set_limits(3, 2, 0.0)
    harness.limiter.start_queued(0.0)
    assert harness.started == ["a", "b", "c"]


def test_shed_all_sheds_all_queued_requests():
    harness = LimiterHarness(limit=1)
    for name in "abc":
        harness.submit(name)
    harness.limiter.shed_all()
    assert harness.shed == ["b", "c"]


def test_exclusive_request_runs_alone():
    harness = LimiterHarness(limit=4, queue=9)
    harness.submit("a")
    harness.submit("suspect", exclusive=True)
    harness.submit("b")
    assert harness.started == ["a"]
    harness.limiter.release(0.0)
    assert harness.started == ["a", "suspect"]
    harness.limiter.release(0.0)
    assert harness.started == ["a", "suspect", "b"]


def test_limit_falls_on_overload_and_recovers_slowly():
    harness = LimiterHarness(limit=10)
    for _ in range(3):
        harness.limiter.record_overload()
    reduced = harness.limiter.limit(0.0)
    assert reduced == 3
    for _ in range(200):
        harness.limiter.record_answer()
    assert harness.limiter.limit(0.0) == 10


def test_limit_of_a_new_target_rises_to_the_full_limit():
    new_limiter = limiter.Limiter()
    new_limiter.set_limits(12, 9, 100.0)
    assert new_limiter.limit(100.0) == 3
    assert 3 < new_limiter.limit(102.5) < 12
    assert new_limiter.limit(105.0) == 12


def test_limit_without_a_target_is_zero():
    new_limiter = limiter.Limiter()
    assert new_limiter.limit(0.0) == 0
