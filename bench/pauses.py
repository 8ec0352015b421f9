"""Counts takeovers of daemons that are paused, by length of the pause."""

import random
import signal
import time

from bench import report
from demo import cluster, deployments

_BASE_PORT = 28500
_READY_TIMEOUT_S = 60.0
_SETTLE_S = 2.0
_PAUSES_MS = (100, 200, 300, 400, 500, 800)
_LEASE_MS = 600


def _pause(running: cluster.Cluster, vm: cluster.VM, ms: int) -> bool:
    """Pauses a daemon; returns whether its slots were taken over."""
    before = len(running.log_lines("taken_over"))
    vm.daemon_process.send_signal(signal.SIGSTOP)
    time.sleep(ms / 1000)
    vm.daemon_process.send_signal(signal.SIGCONT)
    time.sleep(_SETTLE_S)
    return len(running.log_lines("taken_over")) > before


def run(quick: bool) -> None:
    """Pauses random daemons of a deployment, one at a time.

    Args:
        quick: Whether to repeat each pause twice instead of six times.
    """
    repetitions = 2 if quick else 6
    rng = random.Random(5)
    rows = []
    with cluster.run_deployment(deployments.ASSOCIATION, _BASE_PORT) as running:
        for ms in _PAUSES_MS:
            takeovers = 0
            for _ in range(repetitions):
                takeovers += _pause(running, rng.choice(running.vms), ms)
                running.wait_until_ready(_READY_TIMEOUT_S, balanced=False)
            rows.append(
                {
                    "pause_ms": ms,
                    "over_lease": round(ms / _LEASE_MS, 2),
                    "pauses": repetitions,
                    "taken_over": takeovers,
                }
            )
    report.show("pauses", rows)
