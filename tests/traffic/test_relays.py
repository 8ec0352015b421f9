"""Which daemons pass statuses on, and what all of them cost together."""

import collections

import pytest

from tamarackgap.placement import records
from tamarackgap.traffic import relays, statusintervals

DATA_CENTRES = ["a", "b", "c", "d", "e"]


def _members(count):
    return [
        records.LeaseRecord(
            service="s",
            daemon=f"d{index}",
            incarnation=f"i{index}",
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            peer_address=f"10.0.0.1:{index}",
            http_address=f"10.0.0.2:{index}",
            lease_ms=1000,
            linger_ms=0,
            accepting=True,
        )
        for index in range(count)
    ]


def _digest_receivers(members, index, unreachable=()):
    member = members[index]
    return relays.digest_receivers(
        member.peer_address,
        member.data_centre,
        members,
        lambda name: name not in unreachable and name != member.incarnation,
    )


def _relays_by_data_centre(members, unreachable=()):
    found = collections.defaultdict(list)
    for index, member in enumerate(members):
        if member.incarnation in unreachable:
            continue
        if _digest_receivers(members, index, unreachable):
            found[member.data_centre].append(member.incarnation)
    return found


def test_small_deployments_use_no_relays():
    assert not relays.are_used(24)
    assert relays.are_used(75)
    assert relays.are_used(195)


@pytest.mark.parametrize("count", [195, 300])
def test_each_data_centre_has_two_relays_that_reach_all_others(count):
    members = _members(count)
    by_name = _relays_by_data_centre(members)
    assert {name: len(found) for name, found in by_name.items()} == (
        dict.fromkeys(DATA_CENTRES, 2)
    )
    reached = collections.defaultdict(set)
    by_address = {member.peer_address: member for member in members}
    for index, member in enumerate(members):
        for address in _digest_receivers(members, index):
            reached[member.data_centre].add(by_address[address].data_centre)
            assert (
                by_address[address].incarnation
                in by_name[by_address[address].data_centre]
            )
    for name in DATA_CENTRES:
        assert reached[name] == set(DATA_CENTRES) - {name}


def test_a_silent_relay_is_replaced():
    members = _members(195)
    first = _relays_by_data_centre(members)["a"][0]
    by_name = _relays_by_data_centre(members, unreachable={first})
    assert len(by_name["a"]) == 2
    assert first not in by_name["a"]


@pytest.mark.parametrize(("count", "most_messages"), [(195, 50), (300, 80)])
def test_messages_a_daemon_receives(count, most_messages):
    # Without relays each daemon gets a status of each other one in two
    # seconds, and of the near ones each second: 117 and 180 a second.
    near = count / len(DATA_CENTRES)
    digests = 2 * (len(DATA_CENTRES) - 1) / relays.DIGEST_INTERVAL_S
    received = near / statusintervals.near_interval(count) + digests
    assert received <= most_messages
