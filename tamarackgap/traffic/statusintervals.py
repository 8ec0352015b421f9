"""Decides how often daemons send each other the status of their targets."""

# The time between two status messages to the same daemon grows with the number
# of daemons. Daemons learn the load of targets from completions as well, and
# prefer targets in their own data centre; so daemons of other data centres are
# sent fewer messages.
MIN_INTERVAL_S = 0.25
_INTERVAL_PER_DAEMON_S = 0.01
_MAX_NEAR_INTERVAL_S = 1.0
_MAX_FAR_INTERVAL_S = 2.0


def near_interval(daemons: int) -> float:
    """Returns the time between two status messages to a near daemon, seconds.

    Args:
        daemons: Number of daemons in all data centres.
    """
    return min(
        max(MIN_INTERVAL_S, daemons * _INTERVAL_PER_DAEMON_S),
        _MAX_NEAR_INTERVAL_S,
    )


def rounds_per_far_status(daemons: int) -> int:
    """Returns in how many near intervals each far daemon gets one status.

    Args:
        daemons: Number of daemons in all data centres.
    """
    far_interval = min(daemons * _INTERVAL_PER_DAEMON_S, _MAX_FAR_INTERVAL_S)
    return max(1, round(far_interval / near_interval(daemons)))
