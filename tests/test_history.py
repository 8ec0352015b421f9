"""Checks the history of real processes under load and faults.

The targets' own logs show what took effect.
"""

import random
import signal
import threading
import time

import pytest

from demo import checker, cluster, load
from tamarackgap.commands import control
from tamarackgap.ownership import reports
from tests.support import clusters

LOAD_DURATION_S = 14.0
REQUESTS_PER_S = 60.0
PAUSE_S = 1.8
OUTAGE_S = 3.0


class FaultSequence:
    """Causes each kind of fault once, in a seeded order.

    Attributes:
        running: The cluster.
        left: Time when each target began to leave; empty, because no fault of
            this sequence makes a target leave.
        drained: Exit code of each daemon that was drained, by name.
        edits: Weight that was set, by the key of the row.
        stopping: Set to end the sequence early.
    """

    def __init__(self, running, seed):
        self.running = running
        self.rng = random.Random(seed)
        self.left = {}
        self.drained = {}
        self.edits = {}
        self.stopping = threading.Event()

    def run(self):
        faults = [
            self.kill_daemon,
            self.pause_daemon,
            self.pause_target,
            self.interrupt_table,
            self.lose_answers,
            self.drain_daemon,
            self.edit_policy,
        ]
        self.rng.shuffle(faults)
        for fault in faults:
            if not self.stopping.is_set():
                fault()
                time.sleep(self.rng.uniform(0.2, 0.8))

    def pick_vm(self):
        return self.rng.choice(self.running.vms)

    def kill_daemon(self):
        vm = self.pick_vm()
        vm.daemon_process.send_signal(signal.SIGKILL)
        vm.daemon_process.wait()
        time.sleep(1.0)
        self.running.start_daemon(vm)

    def pause_daemon(self):
        self._pause(self.pick_vm().daemon_process)

    def pause_target(self):
        self._pause(self.pick_vm().target_process)

    def _pause(self, process):
        process.send_signal(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        process.send_signal(signal.SIGCONT)

    def interrupt_table(self):
        # A daemon is lost during the outage, and restarts after it.
        self.running.set_faults(down=True)
        vm = self.pick_vm()
        vm.daemon_process.send_signal(signal.SIGKILL)
        vm.daemon_process.wait()
        time.sleep(OUTAGE_S)
        self.running.set_faults(down=False)
        self.running.start_daemon(vm)

    def lose_answers(self):
        self.running.set_faults(lose_answers=0.7)
        time.sleep(1.0)
        self.running.set_faults(lose_answers=0.0)

    def drain_daemon(self):
        vm = self.pick_vm()
        vm.daemon_process.send_signal(signal.SIGTERM)
        self.drained[vm.name] = vm.daemon_process.wait(timeout=60)
        self.running.start_daemon(vm)

    def edit_policy(self):
        weight = self.rng.randrange(50, 150)
        key = "policy/seats/north"
        table = self.running.table_address
        control.set_policy(table, key, {"weight": weight}, "test", None)
        self.edits[key] = weight


def weights_in_force(running):
    """Returns the weight of seats in the north that each daemon applies."""
    weights = {}
    for vm in running.vms:
        rows = cluster.call(vm.http_address, "GET", "/owners?service=seats")[1]
        for row in reports.decode_owners(rows):
            if row.data_centre == "north":
                weights[vm.name] = {"policy/seats/north": row.weight}
    return weights


@pytest.mark.parametrize("seed", [1, 2])
def test_every_promise_holds_under_faults(tmp_path, seed):
    running = clusters.small_cluster(tmp_path)
    sequence = FaultSequence(running, seed)
    generator = load.LoadGenerator(
        running, LOAD_DURATION_S, REQUESTS_PER_S, seed
    )
    try:
        fault_thread = threading.Thread(target=sequence.run)
        fault_thread.start()
        generator.run()
        fault_thread.join()
        assert (
            running.wait_until_ready(clusters.READY_TIMEOUT_S, balanced=False)
            is not None
        )
        history = checker.History(
            generator.results,
            running.run_records(),
            sequence.left,
            sequence.drained,
            sequence.edits,
            weights_in_force(running),
        )
    finally:
        sequence.stopping.set()
        running.stop()
    violations = {
        name: texts
        for name, texts in checker.find_violations(history).items()
        if texts
    }
    assert violations == {}
    answered = [r for r in generator.results if r.verdict == "answered"]
    assert len(answered) > 0.8 * len(generator.results)
    assert sequence.drained
    assert sequence.edits
