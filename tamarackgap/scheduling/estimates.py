"""Estimates when a call would be done at a target, from what is known of it.

Used wherever a daemon decides about a target that is not its own: whether a
call can be answered in time there, and which target answers it first.
"""

import msgspec

# Relative latency that is assumed until a target has answered a call.
INITIAL_RELATIVE_LATENCY = 0.3


class TargetLoad(msgspec.Struct, frozen=True):
    """What is known of a target's load.

    Attributes:
        capacity: Number of calls that it runs at once.
        running: Number of calls that it runs.
        waiting: Number of calls in its daemon's queue, and of those sent there
            since the load was reported.
        relative_latency: Usual duration of a call divided by its latency
            objective; 0 if it has answered none.
        slowdown: How long work takes there at this moment, as a multiple of
            the usual time.
        age: Time since the load was reported, seconds.
    """

    capacity: int
    running: int
    waiting: int
    relative_latency: float = 0.0
    slowdown: float = 1.0
    age: float = 0.0


class Estimate(msgspec.Struct, frozen=True):
    """When a call that arrives now would be done.

    Attributes:
        wait: Time until it starts, seconds.
        duration: Time from its start to its answer, seconds.
        age: Age of the oldest figure behind it, seconds.
    """

    wait: float
    duration: float
    age: float

    @property
    def total(self) -> float:
        """Time until the answer, seconds."""
        return self.wait + self.duration


def estimate(load: TargetLoad, latency_objective: float) -> Estimate:
    """Returns when a call would be done at a target.

    All calls there are taken to last as long as this one.

    Args:
        load: The target's load.
        latency_objective: The call's latency objective, seconds.
    """
    duration = (
        (load.relative_latency or INITIAL_RELATIVE_LATENCY)
        * latency_objective
        * load.slowdown
    )
    capacity = max(1, load.capacity)
    # With n calls running, one ends after about an n-th of a call's duration.
    ahead = max(0, load.running + load.waiting + 1 - load.capacity)
    return Estimate(ahead * duration / capacity, duration, load.age)
