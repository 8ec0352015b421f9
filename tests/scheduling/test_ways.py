import random

import pytest

from tamarackgap.scheduling import balancer, ways


def test_lateness_is_averaged_and_forgotten():
    way = ways.Way()
    assert way.late_s(10.0) == 0.0
    for step in range(100):
        way.record(0.4, 10.0 + step * 0.05)
    assert 0.3 < way.late_s(15.0) <= 0.4
    assert way.late_s(20.0) < 0.02


def test_a_margin_leaves_most_of_the_time_to_the_target():
    way = ways.Way()
    for _ in range(50):
        way.record(3.0, 1.0)
    assert way.margin(0.4, 1.0) == pytest.approx(0.1)
    assert way.margin(-0.1, 1.0) == 0.0
    assert ways.Way().margin(0.4, 1.0) == 0.0


class _Links:
    """Uploads and short calls go to targets on links of unlike rates.

    All targets have room at all times; only their links fill up.
    """

    TRANSFER_S = (0.2, 0.01, 0.01, 0.01, 0.01, 0.01)
    UPLOADS_PER_S = 40
    SHORT_PER_S = 40
    STATUS_INTERVAL_S = 0.5

    def __init__(self, tells_way):
        self.tells_way = tells_way
        self.rng = random.Random(7)
        self.free_at = [0.0] * len(self.TRANSFER_S)
        self.ways = [ways.Way() for _ in self.TRANSFER_S]
        self.arrivals = []
        self.candidates = [
            balancer.Candidate(
                str(index),
                accepting=True,
                capacity=50,
                relative_latency=0.2,
                last_heard=1e9,
            )
            for index in range(len(self.TRANSFER_S))
        ]
        self.late = {"upload": [], "short": []}

    def run(self, seconds):
        events = [
            (self.rng.uniform(0, seconds), kind, objective)
            for kind, rate, objective in (
                ("upload", self.UPLOADS_PER_S, 1.2),
                ("short", self.SHORT_PER_S, 0.3),
            )
            for _ in range(int(seconds * rate))
        ]
        reported_at = 0.0
        for now, kind, objective in sorted(events):
            self.arrive(now)
            if now - reported_at >= self.STATUS_INTERVAL_S:
                reported_at = now
                self.report(now)
            chosen = balancer.choose(
                self.candidates,
                frozenset(),
                0.0,
                self.rng,
                latency_objective=objective,
            )
            self.send(int(chosen.incarnation), kind, now)

    def send(self, index, kind, now):
        transfer = self.TRANSFER_S[index] if kind == "upload" else 0.0
        arrives_at = max(now, self.free_at[index]) + transfer
        self.free_at[index] = arrives_at
        self.arrivals.append((arrives_at, index, arrives_at - now))
        self.late[kind].append(arrives_at - now)

    def arrive(self, now):
        due = [arrival for arrival in self.arrivals if arrival[0] <= now]
        for arrives_at, index, late_s in sorted(due):
            self.ways[index].record(late_s, arrives_at)
            self.arrivals.remove((arrives_at, index, late_s))

    def report(self, now):
        for candidate, way in zip(self.candidates, self.ways, strict=True):
            candidate.way = way.late_s(now) if self.tells_way else 0.0


def test_short_calls_avoid_the_target_whose_link_is_full_of_uploads():
    before, after = _Links(tells_way=False), _Links(tells_way=True)
    shares = []
    for links in (before, after):
        links.run(20.0)
        late = links.late["short"]
        shares.append(sum(late_s <= 0.15 for late_s in late) / len(late))
    assert shares[0] < 0.9
    assert shares[1] >= 0.95
    uploads = after.late["upload"]
    assert sum(late_s <= 0.6 for late_s in uploads) / len(uploads) >= 0.95
