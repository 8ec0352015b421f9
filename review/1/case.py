"""OWNER: a grant that is carried out late counts as confirmed."""

import functools
import os
import pathlib
import signal
import threading
import time

from review.common import deployment, keyed

_FOLDER = pathlib.Path(__file__).parent
# Whether the disruption is made.
_HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# "A grant that received no response may be applied seconds later"
_LATE_S = 2.0
_WORK_S = 0.25
# Time that a request waits in a server's queue.
_QUEUE_S = 0.2
_OBJECTIVE_MS = 2500
_TIMEOUT_MS = 2500
_CALM_S = 5.0
_PAUSE_S = 0.01
_BETWEEN_S = 3.5
# A script may run for 120 s; a turn takes about 9 s.
_LONGEST_S = 100.0
_TURNS = (1, 0, 1, 0, 1, 0, 1, 0, 1, 0)
_KEY_COUNT = 65_536


def _send_until(stopped, site):
    key = 0
    while not stopped.is_set():
        key = (key + 6007) % _KEY_COUNT
        machine = site.machines[key % len(site.machines)]
        deployment.in_background(
            functools.partial(
                site.send, machine, "POST", "/pay/fee", _TIMEOUT_MS, key=key
            )
        )
        time.sleep(_PAUSE_S)


def main():
    """Runs the case; returns the exit status."""
    site = deployment.Deployment(
        _FOLDER, [("m1", "pay"), ("m2", "pay"), ("m3", "desk")]
    )
    stopped = threading.Event()
    holdings = keyed.Holdings(site.record)
    try:
        site.put_configuration(
            1,
            deployment.route(
                "pay", "/pay/", "pay", False, _TIMEOUT_MS, _OBJECTIVE_MS
            ),
            deployment.service("pay", sharded=True),
            deployment.service("desk"),
        )

        def create(record, machine, number, work_s):
            if machine.service != "pay":
                return deployment.Server(record, machine, number, work_s)
            return keyed.KeyedServer(record, machine, number, work_s, holdings)

        if not site.start(lambda path: _WORK_S, "/pay/ready", create, key=9):
            print("the deployment does not serve")
            return 2
        deployment.in_background(_send_until, stopped, site)
        time.sleep(_CALM_S)
        for machine in site.machines[:2]:
            machine.server.queue_s = _QUEUE_S
        # Machines are stopped and started in turn.
        for index in _TURNS:
            machine = site.machines[index]
            if _HAS_TROUBLE:
                machine.server.leave_next(_LATE_S)
            site.record.write("sigterm", machine=machine.name)
            machine.process.send_signal(signal.SIGTERM)
            time.sleep(_LATE_S + 1.0)
            machine.await_end(deployment.GRACE_S - _LATE_S - 1.0)
            machine.server.leaves_next = False
            machine.start_daemon()
            time.sleep(_BETWEEN_S)
            elapsed_s = time.monotonic() - site.record.started_at
            if holdings.broken or elapsed_s > _LONGEST_S:
                break
        stopped.set()
        time.sleep(1.0)
        print(f"keys taken with a fence that was passed: {holdings.broken}")
        return 1 if holdings.broken else 0
    finally:
        stopped.set()
        site.stop()


if __name__ == "__main__":
    deployment.run(main)
