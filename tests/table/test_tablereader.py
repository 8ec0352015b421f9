import random

from returns import result

from tamarackgap.ownership import effects, ownership
from tamarackgap.table import tableclient, tablereader


class Timers:
    """Timers on a simulated clock."""

    def __init__(self):
        self.now = 0.0
        self.due = []

    def after(self, seconds, call):
        self.due.append((self.now + seconds, call))

    def run(self, until):
        while (
            self.due and min(self.due, key=lambda entry: entry[0])[0] <= until
        ):
            first = min(self.due, key=lambda entry: entry[0])
            self.due.remove(first)
            self.now = max(self.now, first[0])
            first[1]()
        self.now = until


class Table:
    """A table that answers each read at once."""

    def __init__(self):
        self.up = True
        self.reads = 0

    def read(self, since, done):
        self.reads += 1
        answer = result.Success(tableclient.Changes(since, []))
        done(answer if self.up else result.Failure("closed"))


def make(poll_interval=6.0):
    settings = effects.Settings("s", "d", "a", "127.0.0.1:1", "127.0.0.1:2")
    timers = Timers()
    table = Table()
    core = ownership.Ownership(
        settings, random.Random(1), lambda slot: False, 0.0
    )
    reader = tablereader.TableReader(
        table, core, timers, random.Random(1), poll_interval, lambda: None
    )
    return timers, table, reader


def test_reader_polls_at_interval():
    timers, table, reader = make()
    reader.poll()
    timers.run(20.0)
    assert table.reads == 4


def test_several_changes_cause_one_read():
    timers, table, reader = make()
    reader.poll()
    timers.run(1.0)
    for _ in range(10):
        reader.read_soon()
    timers.run(2.0)
    assert table.reads == 2


def test_rarely_polled_table_is_not_unreachable():
    # Guards against counting the time since the last answer: 1,800 daemons poll
    # every six seconds, so a table that answers would count as unreachable.
    timers, table, reader = make()
    reader.poll()
    timers.run(5.0)
    assert not reader.is_unreachable(5.0)
    table.up = False
    timers.run(6.5)
    assert not reader.is_unreachable(6.5)
    timers.run(13.0)
    assert reader.is_unreachable(13.0)
    table.up = True
    timers.run(19.0)
    assert not reader.is_unreachable(19.0)
