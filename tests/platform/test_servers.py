import json

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from tamarackgap.network import httppool, httpserver
from tamarackgap.platform import servers
from tamarackgap.traffic import heartbeatorders, orders
from tests.support import loglines

HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "seq": 7,
    "born": 99,
}


class Incoming:
    method = "POST"
    target = "/-/instances/i-1/heartbeat"

    def __init__(self, body):
        self.body = json.dumps(body).encode()


def decode(**fields):
    incoming: httpserver.IncomingRequest = Incoming({**HEARTBEAT, **fields})
    return servers.decode_announcement(incoming)


def make_grant(first, last, fence, handover=""):
    return orders.Grant(first, last, fence, 1.0, handover, 0.0)


def test_heartbeat_reports_held_and_released_ranges():
    announcement = decode(holds=[[0, 4095, 7]], freed=[[4096, 8191, "5c0e"]])
    assert announcement.report == heartbeatorders.HoldReport(
        (heartbeatorders.HeldRange(0, 4095, 7),),
        (heartbeatorders.ReleasedRange(4096, 8191, "5c0e"),),
    )


def test_heartbeat_without_keys_reports_nothing():
    assert decode().report == heartbeatorders.HoldReport()


@pytest.mark.parametrize(
    "fields",
    [
        {"holds": [[0, 1]]},
        {"holds": [[0, 1, "7"]]},
        {"holds": {"0": 1}},
        {"freed": [[0, 1, 2]]},
        {"freed": 7},
    ],
)
def test_heartbeat_with_malformed_ranges_is_refused(fields):
    assert decode(**fields) is None


def test_answer_lists_ranges_and_hold_time():
    answer = servers.encode_heartbeat_answer(
        heartbeatorders.HoldList(
            (make_grant(0, 4095, 7), make_grant(9000, 9999, 12, "7a21")), 2.5
        )
    )
    assert json.loads(answer.body) == {
        "holds": [[0, 4095, 7, ""], [9000, 9999, 12, "7a21"]],
        "hold_ms": 2500,
    }
    assert answer.headers == [(b"content-type", b"application/json")]


def test_answer_without_hold_list_renews_nothing():
    assert servers.encode_heartbeat_answer(None).body == b""


def test_answer_names_an_address_for_later_heartbeats():
    answer = servers.encode_heartbeat_answer(None, "10.0.0.1:7625")
    assert json.loads(answer.body) == {"heartbeat_addr": "10.0.0.1:7625"}


def test_largest_answer_is_accepted_by_servers():
    grants = [
        make_grant(60_000 + index, 65_535, 10**8 + index, "f" * 16)
        for index in range(servers.MAX_HOLD_RANGES)
    ]
    answer = servers.encode_heartbeat_answer(
        heartbeatorders.HoldList(tuple(grants), 9.999)
    )
    assert len(answer.body) <= 4096
    assert len(json.loads(answer.body)["holds"]) == servers.MAX_HOLD_RANGES


def announce(body, target=Incoming.target):
    incoming = Incoming(None)
    incoming.body = body
    incoming.target = target
    return servers.decode_announcement(incoming)


@pytest.mark.parametrize("depth", [1100, 100_000])
@pytest.mark.parametrize("brackets", [("[", "]"), ('{"a":', "}")])
def test_a_deeply_nested_heartbeat_is_refused(depth, brackets):
    opening, closing = brackets
    deep = opening * depth + "1" + closing * depth
    text = json.dumps(HEARTBEAT)[:-1] + f', "x": {deep}}}'
    assert announce(text.encode()) is None
    assert announce(deep.encode()) is None


@pytest.mark.parametrize(
    "fields",
    [
        *(
            {"address": address}
            for address in [
                "10.0.0.9:70000",
                "10.0.0.9:0",
                "10.0.0.9:-1",
                "10.0.0.9:\u0663",
                "10.0.0.9:" + "9" * 5000,
                "10.0.0.9",
                "server:80",
                ":::",
                "",
            ]
        ),
        *(
            {name: value}
            for name in ("slots", "seq", "born")
            for value in [-1, 2**63, 2**64, 10**30, 1e30, None, "1", True]
        ),
        {"born": 10**15},
        {"slots": 0},
        {"slots": 10**9},
        {"cold_remaining_ms": -1},
        {"cold_remaining_ms": 10**30},
        {"holds": [[0, 65_536, 1]]},
        {"holds": [[9, 8, 1]]},
        {"holds": [[0, 1, 10**30]]},
        {"freed": [[-1, 1, "5c0e"]]},
    ],
)
def test_a_heartbeat_with_a_value_out_of_range_is_refused(fields):
    assert decode(**fields) is None


@pytest.mark.parametrize("name", set(HEARTBEAT) - {"born"})
def test_a_heartbeat_without_a_field_is_refused(name):
    fields = {key: value for key, value in HEARTBEAT.items() if key != name}
    assert announce(json.dumps(fields).encode()) is None


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b'{"service":"\xff"}',
        json.dumps(HEARTBEAT).replace('"ready"', '"\\ud800"').encode(),
        json.dumps(HEARTBEAT).replace("99", "NaN").encode(),
        json.dumps(HEARTBEAT).replace("99", "1e400").encode(),
        json.dumps(HEARTBEAT).replace("99", "9" * 5000).encode(),
    ],
)
def test_an_unreadable_heartbeat_is_refused(body):
    assert announce(body) is None


@pytest.mark.parametrize("instance", ["", "a b", "\xe9", "i" * 201, "a\tb"])
def test_a_heartbeat_of_an_unusable_instance_is_refused(instance):
    target = f"/-/instances/{instance}/heartbeat"
    assert announce(json.dumps(HEARTBEAT).encode(), target) is None


json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda values: (
        strategies.lists(values)
        | strategies.dictionaries(strategies.text(), values)
    ),
)


@hypothesis.given(strategies.sampled_from(sorted(HEARTBEAT)), json_values)
def test_each_accepted_heartbeat_fits_into_a_status_message(name, value):
    announcement = decode(**{name: value})
    if announcement is not None:
        numbers = [
            announcement.capacity,
            announcement.born_ms,
            announcement.sequence,
        ]
        assert msgspec.msgpack.encode(numbers)
        assert 0 <= announcement.cold_s < float("inf")


def test_an_unreadable_heartbeat_that_is_repeated_is_logged_once():
    with loglines.collect("announcement_malformed") as events:
        for _ in range(3):
            announce(b"[1", "/-/instances/i-repeated/heartbeat")
    assert len(events) == 1


def test_a_handover_that_fits_into_no_row_is_dropped():
    announcement = decode(freed=[[0, 1, "x" * 70_000]])
    assert [part.handover for part in announcement.report.released] == [""]
    headers = [(b"x-tamarackgap-handover", b"x" * 70_000)]
    answer = httppool.Answer(200, headers, b"")
    assert servers.decode_order_answer(answer) == orders.OrderResult(True)


def test_only_an_answer_with_a_handover_is_one_to_a_release():
    release = orders.Release(0, 255, 7)
    plain = httppool.Answer(200, [], b"")
    with_handover = httppool.Answer(
        200, [(b"x-tamarackgap-handover", b"5c0e")], b""
    )
    assert not servers.is_order_answer(release, plain)
    assert servers.is_order_answer(release, with_handover)
    assert servers.is_order_answer(make_grant(0, 255, 7), plain)
