import collections

from tamarackgap.network import httpserver
from tamarackgap.traffic import routetable


def route(host, prefix, *weights):
    shares = tuple(
        routetable.Share(f"s{index}", weight)
        for index, weight in enumerate(weights or (1,))
    )
    return routetable.Route(prefix, host, prefix, shares, True, 1.0, 0.3, 2, 1)


def index(*routes):
    return routetable.RouteIndex(
        routetable.RouteTable(1, routes, {}, httpserver.Limits())
    )


def test_the_longest_prefix_wins():
    found = index(route("h", "/"), route("h", "/a/"), route("h", "/a/b/"))
    assert found.find("h", "/a/b/c?x=/a/").prefix == "/a/b/"
    assert found.find("h", "/a/bc").prefix == "/a/"
    assert found.find("H", "/x").prefix == "/"
    assert found.find("h", "/a/b/").prefix == "/a/b/"


def test_other_hosts_and_paths_have_no_route():
    found = index(route("h", "/a/"))
    assert found.find("g", "/a/x") is None
    assert found.find("h", "/a") is None
    assert found.find("h", "?/a/") is None


def test_shares_are_kept_at_every_length():
    spread = routetable.WeightedRoundRobin()
    split = route("h", "/", 70, 20, 10)
    counts = collections.Counter()
    for sent in range(1, 201):
        counts[spread.pick(split)] += 1
        for name, weight in (("s0", 0.7), ("s1", 0.2), ("s2", 0.1)):
            assert abs(counts[name] - weight * sent) <= 1
