"""Short runs of the soak; `python -m soak` plays more and longer ones."""

import msgspec
import pytest

from soak import run

SECONDS = 8.0
REGRESSION_SECONDS = 20.0
# Seeds with the time for which faults are injected, seconds. A seed that has
# failed stays in the list, with its cause.
SEEDS = [
    (1, SECONDS),
    # A restarted server accepted grants that were meant for its predecessor,
    # although the predecessor's keys had gone to their successors at once.
    (204, REGRESSION_SECONDS),
]
# The same with the faults around the holds of targets, and with the way in
# which targets take their keys.
OWNERSHIP_SEEDS = [
    # A target that had been restarted was granted keys with its predecessor's
    # fence, and kept them when its daemon gave the lease up.
    (1003, REGRESSION_SECONDS, "call"),
    # Slots moved to a daemon whose record had been deleted during the release.
    (1109, REGRESSION_SECONDS, "heartbeat"),
]
# The same with targets that refuse connections, and no other faults.
REFUSAL_SEEDS = [
    # A refused connection was taken for the end of the target's process.
    (1500, SECONDS, "call"),
]


def _check(result):
    fault_log = "\n".join(result.fault_log)
    assert result.violations == [], fault_log
    # All requests are served again within the limit after the last fault.
    assert result.recovery_s is not None, fault_log
    assert result.served_share > 0


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_invariants_hold_under_injected_faults(tmp_path, seed, seconds):
    _check(run.run_seed(tmp_path, seed, seconds))


@pytest.mark.parametrize(("seed", "seconds", "grants"), OWNERSHIP_SEEDS)
def test_no_key_is_held_twice_under_overlapping_faults(
    tmp_path, seed, seconds, grants
):
    plan = msgspec.structs.replace(run.OWNERSHIP, grants=grants)
    _check(run.run_seed(tmp_path, seed, seconds, plan))


@pytest.mark.parametrize(("seed", "seconds", "grants"), REFUSAL_SEEDS)
def test_no_key_is_held_twice_when_a_running_target_refuses_connections(
    tmp_path, seed, seconds, grants
):
    plan = msgspec.structs.replace(run.OWNERSHIP, grants=grants)
    plan = plan.with_faults("refuse_target")
    _check(run.run_seed(tmp_path, seed, seconds, plan))
