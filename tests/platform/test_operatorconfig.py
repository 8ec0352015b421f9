import json

import pytest

from standins import platformcluster
from tamarackgap.network import httpserver
from tamarackgap.platform import operatorconfig
from tamarackgap.traffic import routetable
from tests.support import loglines


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
    untyped = {"metadata": {"name": "untyped"}}
    table = operatorconfig.decode(
        platformcluster.configuration(1, bad, untyped, 7, "x", good)
    )
    assert [route.name for route in table.routes] == ["good"]


@pytest.mark.parametrize("kind", ["upload", "non_idempotent", "sometimes", ""])
def test_requests_of_other_kinds_must_not_be_repeated(kind):
    route = platformcluster.route("r", "h", "/", "a")
    route["spec"]["kind"] = kind
    table = operatorconfig.decode(platformcluster.configuration(1, route))
    assert [route.idempotent for route in table.routes] == [False]


@pytest.mark.parametrize(
    ("text", "channel"),
    [
        ("call", routetable.GrantChannel.CALL),
        ("heartbeat", routetable.GrantChannel.HEARTBEAT),
        ("pigeon", None),
        ("", None),
    ],
)
def test_services_say_how_their_targets_are_granted_keys(text, channel):
    service = platformcluster.service("a", keyed=True)
    service["spec"]["grants"] = text
    table = operatorconfig.decode(platformcluster.configuration(1, service))
    assert table.services["a"].grant_channel is channel


def test_services_say_what_their_cold_targets_bear():
    service = platformcluster.service("a", cold_per_s=6.5, cold_start_s=3.0)
    table = operatorconfig.decode(platformcluster.configuration(1, service))
    assert table.services["a"].cold_rate == 6.5


@pytest.mark.parametrize("value", [-1, "7", None, [], 1e300, True])
def test_an_odd_cold_rate_spoils_nothing_else(value):
    odd = platformcluster.service("odd", keyed=True, cold_per_s=value)
    good = platformcluster.service("good", cold_per_s=7)
    with loglines.collect("cold_rate_unusable") as events:
        for _ in range(3):
            table = operatorconfig.decode(
                platformcluster.configuration(1, odd, good)
            )
    assert table.is_complete
    assert table.services["odd"].keyed
    assert table.services["odd"].cold_rate == 0.0
    assert table.services["good"].cold_rate == 7.0
    assert [event["service"] for event in events] == ["odd"]


def test_an_unreadable_configuration_is_ignored():
    assert operatorconfig.decode(b"\xff") is None
    assert operatorconfig.decode(b"[]") is None
    assert (
        operatorconfig.decode(json.dumps({"version": "xyz"}).encode()) is None
    )


DEEP = "[" * 100_000 + "]" * 100_000


def decode_texts(*resources, version='"00000005"'):
    text = f'{{"version": {version}, "resources": [{", ".join(resources)}]}}'
    return operatorconfig.decode(text.encode())


@pytest.mark.parametrize(
    "odd",
    [
        DEEP,
        f'{{"type": "routes", "spec": {DEEP}}}',
        f'{{"type": {DEEP}, "spec": {{}}}}',
        '{"type": "\\ud800", "spec": {}}',
        '{"type": "routes", "spec": {"host": "\\ud800"}}',
        '{"type": "routes", "spec": NaN}',
        '{"type": "limits", "spec": {"max_header_bytes": 1e400}}',
        "null",
    ],
)
def test_an_unreadable_entry_leaves_the_routes_beside_it(odd):
    good = json.dumps(platformcluster.route("good", "h", "/", "a"))
    table = decode_texts(good, odd, good)
    assert [route.name for route in table.routes] == ["good", "good"]
    assert table.limits == httpserver.Limits()


@pytest.mark.parametrize(
    "name", ["timeout_ms", "target_latency_ms", "max_attempts", "priority"]
)
@pytest.mark.parametrize("value", [-1, 2**64, 10**30, 1e300, "1", None])
def test_a_route_with_a_number_out_of_range_is_left_out(name, value):
    odd = platformcluster.route("odd", "h", "/odd/", "a", **{name: value})
    good = platformcluster.route("good", "h", "/", "a")
    table = operatorconfig.decode(platformcluster.configuration(1, odd, good))
    assert [route.name for route in table.routes] == ["good"]


def test_a_route_without_a_latency_objective_is_left_out():
    odd = platformcluster.route("odd", "h", "/", "a", target_latency_ms=0)
    table = operatorconfig.decode(platformcluster.configuration(1, odd))
    assert table.routes == ()


@pytest.mark.parametrize("weight", [-1, 1e300, 10**30])
def test_a_split_with_a_weight_out_of_range_is_left_out(weight):
    split = [{"service": "a", "weight": weight}, {"service": "b", "weight": 1}]
    odd = platformcluster.route("odd", "h", "/", "", traffic_split=split)
    table = operatorconfig.decode(platformcluster.configuration(1, odd))
    assert table.routes == ()


@pytest.mark.parametrize(
    "version",
    [
        '"-0000001"',
        '"0x00000c"',
        '"0000_00c"',
        '"\u0661\u0661\u0661\u0661\u0661\u0661\u0661\u0661"',
        f'"{"f" * 5000}"',
        '"ffffffffffffffffff"',
        "12",
        DEEP,
    ],
)
def test_a_configuration_without_a_usable_version_is_ignored(version):
    assert decode_texts(version=version) is None


def test_an_unreadable_entry_that_is_read_again_is_logged_once():
    with loglines.collect("resource_malformed") as events:
        for _ in range(3):
            decode_texts('{"type": "routes", "spec": {"host": "again"}}')
    assert len(events) == 1


def test_a_table_says_whether_all_of_it_could_be_read():
    whole = platformcluster.configuration(1, *platformcluster.DEFAULT_RESOURCES)
    assert operatorconfig.decode(whole).is_complete
    odd = platformcluster.route("r", "h", "/a/", "s", max_attempts=-1)
    part = platformcluster.configuration(2, odd, platformcluster.service("s"))
    assert not operatorconfig.decode(part).is_complete
