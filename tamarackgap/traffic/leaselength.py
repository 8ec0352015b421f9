"""Decides how long the leases of a service's owners are.

A target ends a call for a key when the hold that was in force as the call
began has expired; later renewals of the hold don't help that call. A hold is
no longer than the owner's lease, so the lease has to outlast the work. A
longer lease makes the keys of a lost owner wait longer.
"""

from tamarackgap import types
from tamarackgap.traffic import routetable

# A target that takes its grants with the answers to its heartbeats still holds
# its keys when one heartbeat is late by half an interval.
_HEARTBEATS_PER_HOLD = 1.5


def needed_length(
    table: routetable.RouteTable,
    service: types.ServiceName,
    base: float,
    heartbeat_interval: float,
    longest_hold: float,
) -> float:
    """Returns the length of a lease that outlasts the work of a service.

    Args:
        table: The route table.
        service: The service.
        base: Length for work without duration, seconds.
        heartbeat_interval: Time between two grants, seconds; 0 if grants can
            be made at any time.
        longest_hold: Longest hold that a target accepts, seconds.
    """
    objectives = [
        route.latency_objective
        for route in table.routes
        if any(share.service == service for share in route.shares)
    ]
    work = max(objectives, default=0.0)
    length = base + work + _HEARTBEATS_PER_HOLD * heartbeat_interval
    return max(base, min(length, longest_hold))
