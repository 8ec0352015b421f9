"""Short runs of the soak; `python -m soak` plays more and longer ones."""

import pytest

from soak import run

SECONDS = 8.0
# Seeds with the time for which faults are injected, seconds. A seed that has
# failed stays in the list, with its cause.
SEEDS = [
    (1, SECONDS),
    # A restarted server accepted grants that were meant for its predecessor,
    # although the predecessor's keys had gone to their successors at once.
    (204, 20.0),
]


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_invariants_hold_under_injected_faults(tmp_path, seed, seconds):
    result = run.run_seed(tmp_path, seed, seconds)
    fault_log = "\n".join(result.fault_log)
    assert result.violations == [], fault_log
    # All requests are served again within the limit after the last fault.
    assert result.recovery_s is not None, fault_log
    assert result.served_share > 0
