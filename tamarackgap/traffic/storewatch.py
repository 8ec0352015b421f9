"""Decides which daemons follow the table closely, and which seldom read it.

Each call of the store is costly, and a change of the table ends the long polls
of all who wait for it. Rows that were just written reach all daemons as
messages anyway (processes/rowsharing.py), and the version of the route table
travels with each status. So in a large deployment some daemons of each data
centre wait for changes of the route table, and the others get them from these;
they read the table now and then, in case messages were lost.

Calls that the store has lost end only with their time-outs. So the polls of
those who wait end in turn, at evenly spread times on the store's clock: after
the store is back, one of them soon notices that its poll is lost, calls again
and tells the others.
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
# Longest time between the ends of the polls of two daemons in turn, while all
# of them are reachable. Fewer daemons than it takes poll more often.
_MAX_TURN_GAP_S = 1.0
# A poll that began closer to its turn ends at the next one.
_MIN_WAIT_S = 0.25
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
        turn: Part of the period at which reads that wait end on the store's
            clock, from 0 to below 1; None if they wait for a whole period.
    """

    pause: float
    period: float
    waits: bool = True
    turn: float | None = None


class Turn(msgspec.Struct, frozen=True):
    """A daemon's place among the daemons that wait for changes.

    Attributes:
        rank: Number of daemons before it.
        count: Number of all of them, itself included.
    """

    rank: int
    count: int

    @property
    def part(self) -> float:
        """The part of a period at which its polls end, from 0 to below 1."""
        return self.rank / self.count


def wait_length(plan: ReadPlan, read_at: float) -> float:
    """Returns the time from a read to the end of the poll after it, seconds.

    Args:
        plan: How the daemon follows the table.
        read_at: Time of the read, seconds on the store's clock.
    """
    if plan.turn is None:
        return plan.period
    left = plan.period - (read_at - plan.turn * plan.period) % plan.period
    return left if left >= _MIN_WAIT_S else left + plan.period


def find_turn(
    own_address: str,
    data_centre: str,
    members: Iterable[records.LeaseRecord],
    is_reachable: Callable[[str], bool],
) -> Turn | None:
    """Returns a daemon's turn among those that wait for the route table.

    Args:
        own_address: The daemon's address for other daemons.
        data_centre: The daemon's data centre.
        members: Open records of all daemons.
        is_reachable: Tells whether an incarnation has been heard from lately.

    Returns:
        The turn, or None if the daemon does not wait for changes.
    """
    members = list(members)
    others = [
        member
        for member in members
        if member.peer_address != own_address
        and not member.leaving
        and is_reachable(member.incarnation)
    ]
    if len(members) <= _MAX_DAEMONS_WITHOUT_DELEGATES:
        # By hash, so that the daemons of a data centre have turns far apart.
        return Turn(_rank("", own_address, others), len(others) + 1)
    rank = _rank(
        data_centre,
        own_address,
        [other for other in others if other.data_centre == data_centre],
    )
    if rank >= _WATCHERS_PER_DATA_CENTRE:
        return None
    data_centres = sorted(
        {other.data_centre for other in others} | {data_centre}
    )
    # One of each data centre in turn.
    return Turn(
        rank * len(data_centres) + data_centres.index(data_centre),
        _WATCHERS_PER_DATA_CENTRE * len(data_centres),
    )


def _rank(
    seed: str, own_address: str, others: list[records.LeaseRecord]
) -> int:
    """Returns how many of the other daemons come before a daemon by hash."""
    own_hash = placement.rendezvous_hash(seed, own_address)
    return sum(
        placement.rendezvous_hash(seed, other.peer_address) > own_hash
        for other in others
    )


def row_plan(
    daemons: int, is_owner: bool, turn: Turn | None = None
) -> ReadPlan:
    """Returns how a daemon follows this system's own rows.

    Args:
        daemons: Number of daemons.
        is_owner: Whether the daemon owns slots, or its target's service has
            keys.
        turn: The daemon's turn among those that wait for the route table. Its
            polls for rows end half a period apart from those.
    """
    if daemons > _MAX_DAEMONS_WITHOUT_DELEGATES and not is_owner:
        return ReadPlan(_OTHER_PERIOD_S, _OTHER_PERIOD_S)
    pause = max(_MIN_PAUSE_S, daemons * _PAUSE_PER_DAEMON_S)
    plan = ReadPlan(min(pause, _OWNER_PERIOD_S), _OWNER_PERIOD_S)
    if turn is None:
        return plan
    return _with_turn(plan, turn.count, (turn.part + 0.5) % 1.0)


def route_table_plan(turn: Turn | None) -> ReadPlan:
    """Returns how a daemon follows the operators' route table.

    Args:
        turn: The daemon's turn among those that wait for changes; None if it
            does not wait.
    """
    if turn is None:
        return ReadPlan(_OTHER_PERIOD_S, _OTHER_PERIOD_S, waits=False)
    plan = ReadPlan(_ROUTE_TABLE_PAUSE_S, _WATCHER_PERIOD_S)
    return _with_turn(plan, turn.count, turn.part)


def _with_turn(plan: ReadPlan, daemons: int, part: float) -> ReadPlan:
    period = min(plan.period, daemons * _MAX_TURN_GAP_S)
    return msgspec.structs.replace(plan, period=period, turn=part)
