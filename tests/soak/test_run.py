"""Short runs of the soak; `python -m soak` plays more and longer ones."""

import pytest

from soak import run

SECONDS = 8.0
# Seeds and lengths; a seed that has failed once stays, with its cause.
SEEDS = [
    (1, SECONDS),
    # A server that started anew carried out grants for the earlier one, whose
    # keys were left to their successors at once.
    (204, 20.0),
]


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_every_promise_holds_under_faults_from_outside(tmp_path, seed, seconds):
    result = run.run_seed(tmp_path, seed, seconds)
    fault_log = "\n".join(result.fault_log)
    assert result.violations == [], fault_log
    # Served again within the users' bound after the last fault.
    assert result.recovery_s is not None, fault_log
    assert result.served_share > 0
