"""Real processes under load and faults, judged by the targets' logs."""

import random
import signal
import threading
import time

import pytest

from demo import checker, cluster, load
from tamarackgap.commands import control
from tamarackgap.ownership import reports
from tests.support import clusters

SECONDS = 14.0
RATE = 60.0
PAUSE_S = 1.8
OUTAGE_S = 3.0


class Story:
    """A seeded row of faults, one after the other."""

    def __init__(self, running, seed):
        self.running = running
        self.rng = random.Random(seed)
        self.left = {}
        self.drained = {}
        self.edits = {}
        self.stopping = threading.Event()

    def run(self):
        faults = [
            self.kill,
            self.pause_daemon,
            self.pause_target,
            self.outage,
            self.lost_answers,
            self.drain,
            self.edit,
        ]
        self.rng.shuffle(faults)
        for fault in faults:
            if not self.stopping.is_set():
                fault()
                time.sleep(self.rng.uniform(0.2, 0.8))

    def pick(self):
        return self.rng.choice(self.running.vms)

    def kill(self):
        place = self.pick()
        place.daemon_process.send_signal(signal.SIGKILL)
        place.daemon_process.wait()
        time.sleep(1.0)
        self.running.start_daemon(place)

    def pause_daemon(self):
        self._pause(self.pick().daemon_process)

    def pause_target(self):
        self._pause(self.pick().target_process)

    def _pause(self, process):
        process.send_signal(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        process.send_signal(signal.SIGCONT)

    def outage(self):
        self.running.set_faults(down=True)
        place = self.pick()
        place.daemon_process.send_signal(signal.SIGKILL)
        place.daemon_process.wait()
        time.sleep(OUTAGE_S)
        self.running.set_faults(down=False)
        self.running.start_daemon(place)

    def lost_answers(self):
        self.running.set_faults(lose_answers=0.7)
        time.sleep(1.0)
        self.running.set_faults(lose_answers=0.0)

    def drain(self):
        place = self.pick()
        place.daemon_process.send_signal(signal.SIGTERM)
        self.drained[place.name] = place.daemon_process.wait(timeout=60)
        self.running.start_daemon(place)

    def edit(self):
        weight = self.rng.randrange(50, 150)
        key = "policy/seats/north"
        table = self.running.table_address
        control.set_policy(table, key, {"weight": weight}, "test", None)
        self.edits[key] = weight


def weights(running):
    """Returns the weight in force for seats in the north, by daemon."""
    found = {}
    for place in running.vms:
        rows = cluster.call(place.http_address, "GET", "/owners?service=seats")[
            1
        ]
        for row in reports.decode_owners(rows):
            if row.data_centre == "north":
                found[place.name] = {"policy/seats/north": row.weight}
    return found


@pytest.mark.parametrize("seed", [1, 2])
def test_every_promise_holds_under_faults(tmp_path, seed):
    running = clusters.small_cluster(tmp_path)
    story = Story(running, seed)
    callers = load.LoadGenerator(running, SECONDS, RATE, seed)
    try:
        faults = threading.Thread(target=story.run)
        faults.start()
        callers.run()
        faults.join()
        assert (
            running.wait_until_ready(clusters.READY_TIMEOUT_S, balanced=False)
            is not None
        )
        evidence = checker.History(
            callers.results,
            running.runs(),
            story.left,
            story.drained,
            story.edits,
            weights(running),
        )
    finally:
        story.stopping.set()
        running.stop()
    found = {
        name: what
        for name, what in checker.find_violations(evidence).items()
        if what
    }
    assert found == {}
    answered = [r for r in callers.results if r.verdict == "answered"]
    assert len(answered) > 0.8 * len(callers.results)
    assert story.drained
    assert story.edits
