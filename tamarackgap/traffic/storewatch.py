"""Decides which daemons follow the table closely, and which seldom read it.

Each call of the store is costly, and a change of the table ends the long polls
of all who wait for it. Rows that were just written reach all daemons as
messages anyway (processes/rowsharing.py), and the version of the route table
travels with each status. So in a large deployment some daemons of each data
centre wait for changes of the route table, and the others get them from these;
they read the table now and then, in case messages were lost.
"""

from collections.abc import Callable, Iterable

import msgspec

from tamarackgap.placement import placement, records

# Up to this number of daemons all of them wait for changes.
_MAX_DAEMONS_WITHOUT_DELEGATES = 30
# Daemons of a data centre that wait for changes of the route table. Some may
# be cut off from the store while others are not.
_WATCHERS_PER_DATA_CENTRE = 3
# Longest time between two reads. An owner serves only if it has read the table
# within its anchor time, also if the store is away for a while.
_WATCHER_PERIOD_S = 8.0
_OWNER_PERIOD_S = 8.0
_OTHER_PERIOD_S = 20.0
# Pause of a watcher between two changes of the route table.
_ROUTE_TABLE_PAUSE_S = 0.02
# Only rows whose messages were lost have to be read from the table, after this
# pause. It grows with the number of daemons to bound the reads of all of them.
_MIN_PAUSE_S = 1.0
_PAUSE_PER_DAEMON_S = 0.05


class ReadPlan(msgspec.Struct, frozen=True):
    """How a daemon follows a table.

    Attributes:
        pause: Time from a change that was read to the next read, seconds.
        period: Longest time between two reads, seconds.
        waits: Whether reads wait for changes. Otherwise the daemon reads once
            in each period.
    """

    pause: float
    period: float
    waits: bool = True


def watches_route_table(
    own_address: str,
    data_centre: str,
    members: Iterable[records.LeaseRecord],
    is_reachable: Callable[[str], bool],
) -> bool:
    """Returns whether a daemon waits for changes of the route table.

    Args:
        own_address: The daemon's address for other daemons.
        data_centre: The daemon's data centre.
        members: Open records of all daemons.
        is_reachable: Tells whether an incarnation has been heard from lately.
    """
    members = list(members)
    if len(members) <= _MAX_DAEMONS_WITHOUT_DELEGATES:
        return True
    own_hash = placement.rendezvous_hash(data_centre, own_address)
    before = sum(
        placement.rendezvous_hash(data_centre, member.peer_address) > own_hash
        for member in members
        if member.data_centre == data_centre
        and member.peer_address != own_address
        and not member.leaving
        and is_reachable(member.incarnation)
    )
    return before < _WATCHERS_PER_DATA_CENTRE


def row_plan(daemons: int, is_owner: bool) -> ReadPlan:
    """Returns how a daemon follows this system's own rows.

    Args:
        daemons: Number of daemons.
        is_owner: Whether the daemon owns slots, or its target's service has
            keys.
    """
    if daemons > _MAX_DAEMONS_WITHOUT_DELEGATES and not is_owner:
        return ReadPlan(_OTHER_PERIOD_S, _OTHER_PERIOD_S)
    pause = max(_MIN_PAUSE_S, daemons * _PAUSE_PER_DAEMON_S)
    return ReadPlan(min(pause, _OWNER_PERIOD_S), _OWNER_PERIOD_S)


def route_table_plan(is_watcher: bool) -> ReadPlan:
    """Returns how a daemon follows the operators' route table.

    Args:
        is_watcher: Whether the daemon waits for changes.
    """
    if is_watcher:
        return ReadPlan(_ROUTE_TABLE_PAUSE_S, _WATCHER_PERIOD_S)
    return ReadPlan(_OTHER_PERIOD_S, _OTHER_PERIOD_S, waits=False)
