"""Decides which daemons pass messages on between data centres.

Messages of all daemons to all grow with the square of their number, and traffic
between data centres is costly. So in a large deployment a few daemons of each
data centre, its relays, do this for all:

- Status: a daemon sends it only within its data centre. Each relay collects
  what it has heard there into a digest, and sends that to one relay of each
  other data centre, which passes it on within its own.
- Rows that were just written: the writer sends them to all relays of the other
  data centres. The first in rank passes them on at once, the others only if it
  has not done so for a while.
"""

from collections.abc import Callable, Iterable, Sequence

from tamarackgap.placement import placement, records

# Up to this number of daemons each one sends its status and rows to all. The
# rows of a move take 0.1 s of a link of 6 Mbit/s then.
_MAX_DAEMONS_WITHOUT_RELAYS = 30
# Each relay sends digests of its own, so that one may fail unnoticed.
_RELAYS_PER_DATA_CENTRE = 2
# The second relay passes a message on if the first has not done so by then.
_RELAY_DELAY_S = 0.1
# Time between two digests of a relay in a deployment of many daemons, seconds.
DIGEST_INTERVAL_S = 2.0
# The same up to a number of daemons. Calls leave their data centre by what the
# digests say, so it is kept short where it costs little.
_SHORT_DIGEST_INTERVAL_S = 1.0
_MAX_DAEMONS_WITH_SHORT_INTERVAL = 100
# A state may miss a digest by this much, which is little beside the long
# interval.
_STATUS_DELAY_S = 0.2


def are_used(daemons: int) -> bool:
    """Returns whether a deployment of this many daemons uses relays."""
    return daemons > _MAX_DAEMONS_WITHOUT_RELAYS


def digest_interval(daemons: int) -> float:
    """Returns the time between two digests of a relay, seconds."""
    if daemons > _MAX_DAEMONS_WITH_SHORT_INTERVAL:
        return DIGEST_INTERVAL_S
    return _SHORT_DIGEST_INTERVAL_S


def reported_interval(daemons: int) -> float:
    """Returns the longest usual time between two digests with a state, seconds.

    A daemon counts as silent after a few of them.

    Args:
        daemons: Number of daemons in all data centres.
    """
    if daemons > _MAX_DAEMONS_WITH_SHORT_INTERVAL:
        return DIGEST_INTERVAL_S
    return _SHORT_DIGEST_INTERVAL_S + _STATUS_DELAY_S


def relays_of(
    data_centre: str,
    members: Iterable[records.LeaseRecord],
    is_reachable: Callable[[records.LeaseRecord], bool],
) -> list[str]:
    """Returns the addresses of a data centre's relays, in order.

    If no daemon there has been heard from lately, as at a start or after a
    partition, these are the ones that would be relays if all had been.

    Args:
        data_centre: The data centre.
        members: Open records of all daemons.
        is_reachable: Tells whether a daemon has been heard from lately.
    """
    there = [
        member
        for member in members
        if member.data_centre == data_centre and not member.leaving
    ]
    reachable = [member for member in there if is_reachable(member)]
    # An address may still have the record of an earlier process.
    addresses = {member.peer_address for member in reachable or there}
    return sorted(
        addresses,
        key=lambda address: placement.rendezvous_hash(
            f"status/{data_centre}", address
        ),
    )[:_RELAYS_PER_DATA_CENTRE]


def pass_on_delays(
    own_data_centre: str,
    members: Sequence[records.LeaseRecord],
    is_reachable: Callable[[str], bool],
) -> dict[str, float]:
    """Returns the relays of other data centres, for a message to all daemons.

    Args:
        own_data_centre: The sender's data centre.
        members: Open records of all daemons.
        is_reachable: Tells whether an incarnation has been heard from lately.

    Returns:
        By address, the time after which a relay passes the message on if the
        one before it in rank has not, seconds.
    """
    return {
        address: rank * _RELAY_DELAY_S
        for data_centre in {member.data_centre for member in members}
        if data_centre != own_data_centre
        for rank, address in enumerate(
            relays_of(
                data_centre,
                members,
                lambda member: is_reachable(member.incarnation),
            )
        )
    }


def digest_receivers(
    own_address: str,
    own_data_centre: str,
    members: Sequence[records.LeaseRecord],
    is_reachable: Callable[[str], bool],
) -> list[str]:
    """Returns the relays to which this daemon sends its digests.

    Relays of the same rank talk to each other, so that each data centre gets
    as many digests as another one has relays.

    Args:
        own_address: This daemon's address.
        own_data_centre: Its data centre.
        members: Open records of all daemons.
        is_reachable: Tells whether an incarnation has been heard from lately.

    Returns:
        Their addresses; none unless this daemon is a relay.
    """

    def can_relay(member: records.LeaseRecord) -> bool:
        return member.peer_address == own_address or is_reachable(
            member.incarnation
        )

    own_relays = relays_of(own_data_centre, members, can_relay)
    if own_address not in own_relays:
        return []
    rank = own_relays.index(own_address)
    destinations = []
    for data_centre in sorted({member.data_centre for member in members}):
        if data_centre == own_data_centre:
            continue
        theirs = relays_of(data_centre, members, can_relay)
        if theirs:
            destinations.append(theirs[rank % len(theirs)])
    return destinations
