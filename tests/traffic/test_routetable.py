import collections

from tamarackgap.network import httpserver
from tamarackgap.traffic import routetable


def route(host, prefix, *weights):
    shares = tuple(
        routetable.WeightedService(f"s{index}", weight)
        for index, weight in enumerate(weights or (1,))
    )
    return routetable.Route(prefix, host, prefix, shares, True, 1.0, 0.3, 2, 1)


def index(*routes):
    return routetable.RouteIndex(
        routetable.RouteTable(1, routes, {}, httpserver.Limits())
    )


def test_the_longest_prefix_wins():
    routes = index(route("h", "/"), route("h", "/a/"), route("h", "/a/b/"))
    assert routes.find("h", "/a/b/c?x=/a/").prefix == "/a/b/"
    assert routes.find("h", "/a/bc").prefix == "/a/"
    assert routes.find("H", "/x").prefix == "/"
    assert routes.find("h", "/a/b/").prefix == "/a/b/"


def test_other_hosts_and_paths_have_no_route():
    routes = index(route("h", "/a/"))
    assert routes.find("g", "/a/x") is None
    assert routes.find("h", "/a") is None
    assert routes.find("h", "?/a/") is None


def test_services_get_their_shares_after_any_number_of_requests():
    round_robin = routetable.WeightedRoundRobin()
    weighted = route("h", "/", 70, 20, 10)
    counts = collections.Counter()
    for sent in range(1, 201):
        counts[round_robin.pick(weighted)] += 1
        for name, weight in (("s0", 0.7), ("s1", 0.2), ("s2", 0.1)):
            assert abs(counts[name] - weight * sent) <= 1
