from tamarackgap.requests import limiter


class Bench:
    def __init__(self, limit=2, queue=2):
        self.subject = limiter.Limiter()
        self.subject.set_limits(limit, queue, -100.0)
        self.started = []
        self.shed = []

    def admit(self, name, urgent=True, deadline=100.0, now=0.0, alone=False):
        waiting = limiter.QueuedRequest(
            deadline,
            lambda: self.started.append(name),
            lambda: self.shed.append(name),
            urgent,
            alone,
        )
        return self.subject.admit(waiting, now)


def test_no_more_than_the_limit_run():
    bench = Bench()
    assert all(bench.admit(name) for name in "abcd")
    assert bench.started == ["a", "b"]
    assert not bench.admit("e")
    bench.subject.release(0.0)
    assert bench.started == ["a", "b", "c"]
    assert bench.subject.in_progress == 2


def test_urgent_requests_go_before_reports():
    bench = Bench(limit=1)
    bench.admit("a")
    bench.admit("report", urgent=False)
    bench.admit("b")
    bench.subject.release(0.0)
    assert bench.started == ["a", "b"]


def test_a_report_makes_room_for_an_urgent_request():
    bench = Bench(limit=1)
    bench.admit("a")
    bench.admit("r1", urgent=False)
    bench.admit("r2", urgent=False)
    assert bench.admit("b")
    assert bench.shed == ["r2"]
    assert not bench.admit("r3", urgent=False)


def test_requests_past_their_deadline_are_shed():
    bench = Bench(limit=1)
    bench.admit("a")
    bench.admit("late", deadline=1.0)
    bench.subject.release(2.0)
    assert bench.shed == ["late"]
    assert bench.subject.in_progress == 0


def test_a_greater_limit_starts_those_that_wait():
    bench = Bench(limit=1)
    for name in "abc":
        bench.admit(name)
    bench.subject.set_limits(3, 2, 0.0)
    bench.subject.start_queued(0.0)
    assert bench.started == ["a", "b", "c"]


def test_flushing_sheds_all_that_wait():
    bench = Bench(limit=1)
    for name in "abc":
        bench.admit(name)
    bench.subject.shed_all()
    assert bench.shed == ["b", "c"]


def test_one_that_must_run_alone_does():
    bench = Bench(limit=4, queue=9)
    bench.admit("a")
    bench.admit("suspect", alone=True)
    bench.admit("b")
    assert bench.started == ["a"]
    bench.subject.release(0.0)
    assert bench.started == ["a", "suspect"]
    bench.subject.release(0.0)
    assert bench.started == ["a", "suspect", "b"]


def test_a_target_that_refuses_gets_less_and_then_slowly_more():
    bench = Bench(limit=10)
    for _ in range(3):
        bench.subject.record_overload()
    low = bench.subject.limit(0.0)
    assert low == 3
    for _ in range(200):
        bench.subject.record_answer()
    assert bench.subject.limit(0.0) == 10


def test_a_target_that_has_just_come_starts_with_less():
    subject = limiter.Limiter()
    subject.set_limits(12, 9, 100.0)
    assert subject.limit(100.0) == 3
    assert 3 < subject.limit(102.5) < 12
    assert subject.limit(105.0) == 12


def test_without_a_target_nothing_runs():
    subject = limiter.Limiter()
    assert subject.limit(0.0) == 0
