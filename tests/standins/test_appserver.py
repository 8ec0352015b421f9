"""Tests of how the stand-in for a server takes and loses its keys."""

import http.client
import json

import pytest

from standins import appserver, platformcluster, ports


@pytest.fixture
def server():
    base = ports.find_free_ports(2)
    started = appserver.AppServer(
        "i-1", "money", f"127.0.0.1:{base}", f"127.0.0.1:{base + 1}", keyed=True
    )
    started.start()
    yield started
    started.stop()


def order(server, kind, first, last, fence, timeout=5):
    body = {"from": first, "target": last, "fence": fence, "hold_ms": 1000}
    return platformcluster.send_request(
        server.address,
        "POST",
        f"/-/{kind}",
        body=json.dumps(body),
        timeout=timeout,
    )[0]


def test_a_lower_fence_is_refused_after_the_hold_has_ended(server):
    assert order(server, "grant", 0, 99, 5) == 200
    assert order(server, "release", 0, 99, 5) == 200
    assert order(server, "grant", 90, 110, 4) == 409
    assert order(server, "grant", 100, 110, 4) == 200
    assert order(server, "grant", 90, 110, 5) == 200


def test_a_late_grant_gets_no_answer_and_counts_from_its_arrival(server):
    taken = []
    server.on_hold_taken = lambda _, hold: taken.append(hold)
    server.grant_delay_s = 0.4
    with pytest.raises(TimeoutError):
        order(server, "grant", 0, 99, 5, timeout=0.1)
    assert not server.holds(0)
    assert platformcluster.wait_until(0.9, lambda: server.holds(0))
    assert platformcluster.wait_until(0.7, lambda: not server.holds(0))
    assert [hold.fence for hold in taken] == [5]


def test_a_late_grant_is_refused_after_one_with_a_higher_fence(server):
    server.grant_delay_s = 0.3
    with pytest.raises(TimeoutError):
        order(server, "grant", 0, 99, 5, timeout=0.1)
    server.grant_delay_s = 0.0
    assert order(server, "grant", 0, 99, 6) == 200
    assert not platformcluster.wait_until(
        0.5, lambda: server.live_holds[0].fence != 6
    )


def test_open_connections_end_with_the_server(server):
    host, port = server.address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=2)
    connection.request("GET", "/")
    connection.getresponse().read()
    server.stop()
    with pytest.raises(ConnectionError):
        connection.request("GET", "/")
        connection.getresponse()
    assert server.live_holds == []
