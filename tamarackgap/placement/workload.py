"""Weighs slots by their work, and members by what their targets can do.

Answers uneven targets, and demand that was counted for only seconds.
"""

import math
from collections.abc import Sequence

import msgspec

from tamarackgap.placement import loadstats

# A target counts as at most this many times faster or slower than the mean, so
# that a disturbance of some seconds does not take all slots from it.
_MAX_SPEED_RATIO = 4.0
# Speed of the target of a member without slots, relative to the mean, until it
# is known: the target may have just started, and be slow.
_NEW_TARGET_SPEED = 0.5
# A slot's rate counts as much as this many requests at the mean rate of its
# owner's slots that are added to it: with few requests, the slot that seems the
# busiest is mostly one that got more by chance.
_PRIOR_REQUESTS = 2.0
# Mean wait at an idle target, as a fraction of a call's duration.
_MAX_IDLE_WAIT = 0.3


class MoveBasis(msgspec.Struct, frozen=True):
    """Loads on which a move rests, as multiples of the members' shares.

    Attributes:
        source_load: Load of the source before the plan.
        source_load_after: Load of the source once the plan is executed.
        destination_load: Load of the destination before the plan.
        load_age: Time since the destination's load was measured, seconds.
    """

    source_load: float
    source_load_after: float
    destination_load: float
    load_age: float


def shares(
    weights: Sequence[int],
    speeds: Sequence[float],
    slot_counts: Sequence[int],
) -> list[float]:
    """Returns the share of the load that is due to each member.

    Shares follow the weights and what the targets can do, so that all are
    equally busy. A target of unknown speed counts as one of mean speed, or of
    less if its member has no slots yet.

    Args:
        weights: Weight of each member.
        speeds: Work a second that each member's target can do; 0 for unknown.
        slot_counts: Number of slots of each member.

    Returns:
        Fractions in the order of the members; all 0 if no member has a weight.
    """
    known = [speed for speed in speeds if speed > 0]
    mean = sum(known) / len(known) if known else 1.0
    new_target_ratio = _NEW_TARGET_SPEED if known else 1.0
    parts = []
    for weight, speed, slot_count in zip(
        weights, speeds, slot_counts, strict=True
    ):
        ratio = 1.0 if slot_count else new_target_ratio
        if speed > 0:
            ratio = max(speed / mean, 1 / _MAX_SPEED_RATIO)
        parts.append(weight * min(ratio, _MAX_SPEED_RATIO))
    total = sum(parts)
    return [part / total if total else 0.0 for part in parts]


def smoothed(
    rates: dict[int, float], request_amount: float, half_life: float
) -> dict[int, float]:
    """Returns the rates of one owner's slots, closer to their mean.

    Their sum stays the same.

    Args:
        rates: Rates by slot.
        request_amount: Amount as which a typical request is counted in them.
        half_life: Half-life of the rates, seconds.
    """
    if not rates:
        return rates
    mean = sum(rates.values()) / len(rates)
    requests = mean / request_amount * loadstats.time_constant_s(half_life)
    weight = requests / (requests + _PRIOR_REQUESTS)
    return {slot: mean + (rate - mean) * weight for slot, rate in rates.items()}


def is_idle(rate: float, speed: float, capacity: int) -> bool:
    """Returns whether calls hardly wait at a target for all that is offered.

    Moving its slots would then cost their callers more than it gains, also
    where others have less to do: calls for a slot are refused from the order to
    release it until the last one that runs has ended.

    Args:
        rate: Work a second that is offered.
        speed: Work a second that the target can do; 0 if that is not known.
        capacity: Calls that it runs at once.
    """
    if speed <= 0 or capacity < 1:
        return False
    utilisation = rate / speed
    if utilisation >= 1:
        return False
    # Sakasegawa's approximation of the wait in a queue with several servers.
    wait = utilisation ** math.sqrt(2 * (capacity + 1)) / (
        capacity * (1 - utilisation)
    )
    return wait < _MAX_IDLE_WAIT
