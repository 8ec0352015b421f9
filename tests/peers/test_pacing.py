"""What waits for what on a link of 10 Mbit/s; no network takes part."""

from tamarackgap.peers import pacing

RATE = 10_000_000 / 8
ROWS_BYTES = 8_000
ANSWER_BYTES = 5_000
DAEMONS = 76
# An eighth of the shortest latency objective of the users' sheets, 112 ms.
MAX_ANSWER_DELAY_S = 0.014
STEP_S = 0.001


class Link:
    """Sends what it is given in order, at its rate."""

    def __init__(self):
        self.idle_at = 0.0

    def send(self, size, now):
        self.idle_at = max(now, self.idle_at) + size / RATE
        return self.idle_at


def _play(pacer, seconds, answers_a_second, rows_at):
    """Returns the delays of answers, and when the rows had arrived."""
    link = Link()
    delays, arrivals = [], []
    for step in range(round(seconds / STEP_S)):
        now = step * STEP_S
        if step == round(rows_at / STEP_S):
            for daemon in range(DAEMONS):
                pacer.add(daemon, ROWS_BYTES, now)
        arrivals += [link.send(ROWS_BYTES, now) for _ in pacer.take(now)]
        if step % round(1 / STEP_S / answers_a_second) == 0:
            pacer.record(ANSWER_BYTES, now)
            delays.append(link.send(ANSWER_BYTES, now) - now)
    return delays, arrivals


def test_answers_do_not_wait_behind_rows_to_all_daemons():
    delays, arrivals = _play(pacing.Pacer(RATE), 3.0, 50, 0.5)
    own_time = ANSWER_BYTES / RATE
    # A row message that has been begun is not interrupted.
    allowed = own_time + ROWS_BYTES / RATE + MAX_ANSWER_DELAY_S
    assert max(delays) <= allowed
    assert len(arrivals) == DAEMONS
    # The link has room for both: it is used as soon as answers leave any.
    busy = DAEMONS * ROWS_BYTES / RATE
    assert max(arrivals) - 0.5 <= busy / (1 - 50 * own_time) * 1.1


def test_rows_get_a_share_of_a_link_that_answers_fill():
    pacer = pacing.Pacer(RATE)
    _, arrivals = _play(pacer, 3.0, 250, 0.5)
    sent = len(arrivals) * ROWS_BYTES / RATE
    assert sent >= 0.2 * 2.0
    assert pacer.expired == DAEMONS - len(arrivals)


def test_order_is_kept_and_nothing_waits_on_an_idle_link():
    pacer = pacing.Pacer(RATE)
    for number in range(3):
        pacer.add(number, 100, 1.0)
    assert pacer.take(1.0) == [0, 1, 2]
    assert pacer.delay(1.0) is None
    for number in range(10):
        pacer.add(number, 8_000, 2.0)
    sent = pacer.take(2.0)
    assert sent == list(range(len(sent)))
    assert 0 < len(sent) < 10
    delay = pacer.delay(2.0)
    assert pacer.take(2.0 + delay)[0] == len(sent)


def test_what_has_waited_too_long_is_dropped():
    pacer = pacing.Pacer(1000.0)
    for number in range(100):
        pacer.add(number, 1000, 0.0)
    assert pacer.take(0.0)
    pacer.take(60.0)
    assert pacer.waiting == 0
    assert pacer.expired > 0
