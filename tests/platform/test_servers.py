import json

import pytest

from tamarackgap.network import httpserver
from tamarackgap.platform import servers
from tamarackgap.traffic import heartbeatorders, orders

HEARTBEAT = {
    "service": "s",
    "slots": 4,
    "state": "ready",
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
    answer = servers.encode_hold_list(
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
    assert servers.encode_hold_list(None).body == b""


def test_largest_answer_is_accepted_by_servers():
    grants = [
        make_grant(60_000 + index, 65_535, 10**8 + index, "f" * 16)
        for index in range(servers.MAX_HOLD_RANGES)
    ]
    answer = servers.encode_hold_list(
        heartbeatorders.HoldList(tuple(grants), 9.999)
    )
    assert len(answer.body) <= 4096
    assert len(json.loads(answer.body)["holds"]) == servers.MAX_HOLD_RANGES
