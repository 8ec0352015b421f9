import json

from standins import platformcluster
from tamarackgap.platform import operatorconfig


def test_a_configuration_is_decoded():
    split = platformcluster.route("r", "H.example", "/a/", "", priority=0)
    del split["spec"]["service"]
    split["spec"]["traffic_split"] = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
    ]
    table = operatorconfig.decode(
        platformcluster.configuration(
            18, split, platformcluster.service("a", keyed=True)
        )
    )
    (route,) = table.routes
    assert table.version == 18
    assert [(share.service, share.weight) for share in route.shares] == [
        ("a", 90),
        ("b", 10),
    ]
    assert (route.timeout, route.latency_objective, route.rank) == (2.0, 0.4, 0)
    assert table.services["a"].keyed
    assert table.limits.request_timeout_s == 0.5


def test_versions_are_hexadecimal():
    assert (
        operatorconfig.decode(b'{"version":"0000000c","resources":[]}').version
        == 12
    )


def test_an_unreadable_resource_is_left_out():
    good = platformcluster.route("good", "h", "/", "a")
    bad = {"type": "routes", "metadata": {"name": "bad"}, "spec": {"host": 3}}
    odd = platformcluster.route("odd", "h", "/odd/", "a")
    odd["spec"]["kind"] = "sometimes"
    table = operatorconfig.decode(
        platformcluster.configuration(1, bad, good, odd)
    )
    assert [route.name for route in table.routes] == ["good"]


def test_an_unreadable_configuration_is_ignored():
    assert operatorconfig.decode(b"\xff") is None
    assert operatorconfig.decode(b"[]") is None
    assert (
        operatorconfig.decode(json.dumps({"version": "xyz"}).encode()) is None
    )
