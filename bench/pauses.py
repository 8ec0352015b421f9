"""Takeovers of daemons that were only paused, by the pause's length."""

import random
import signal
import time

from bench import report
from demo import cluster, deployments

_BASE_PORT = 28500
_READY_S = 60.0
_AFTERWARDS_S = 2.0
_PAUSES_MS = (100, 200, 300, 400, 500, 800)
_LEASE_MS = 600


def _pause(running: cluster.Cluster, place: cluster.VM, ms: int) -> bool:
    """Pauses a daemon; returns whether its slots were taken over."""
    before = len(running.log_lines("taken_over"))
    place.daemon_process.send_signal(signal.SIGSTOP)
    time.sleep(ms / 1000)
    place.daemon_process.send_signal(signal.SIGCONT)
    time.sleep(_AFTERWARDS_S)
    return len(running.log_lines("taken_over")) > before


def run(quick: bool) -> None:
    """Pauses daemons of the association, one at a time."""
    times = 2 if quick else 6
    rng = random.Random(5)
    rows = []
    with cluster.run_deployment(deployments.ASSOCIATION, _BASE_PORT) as running:
        for ms in _PAUSES_MS:
            taken = 0
            for _ in range(times):
                taken += _pause(running, rng.choice(running.vms), ms)
                running.wait_until_ready(_READY_S, balanced=False)
            rows.append(
                {
                    "pause_ms": ms,
                    "over_lease": round(ms / _LEASE_MS, 2),
                    "pauses": times,
                    "taken_over": taken,
                }
            )
    report.show("pauses", rows)
