"""Tests of how the stand-in for a server takes and loses its keys."""

import http.client
import json
import threading
import time

import pytest

from standins import appserver, httpd, platformcluster, ports

HOLD_S = 10.0


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
    body = {
        "from": first,
        "target": last,
        "fence": fence,
        "hold_ms": round(HOLD_S * 1000),
    }
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
    sent_at = time.monotonic()
    with pytest.raises((TimeoutError, ConnectionError)):
        order(server, "grant", 0, 99, 5, timeout=0.1)
    arrived_by = time.monotonic()
    assert platformcluster.wait_until(5, lambda: taken)
    assert time.monotonic() >= sent_at + server.grant_delay_s
    (hold,) = taken
    assert hold.fence == 5
    assert sent_at + HOLD_S <= hold.until <= arrived_by + HOLD_S


def test_a_late_grant_is_refused_after_one_with_a_higher_fence(server):
    server.grant_delay_s = 0.3
    with pytest.raises((TimeoutError, ConnectionError)):
        order(server, "grant", 0, 99, 5, timeout=0.1)
    server.grant_delay_s = 0.0
    assert order(server, "grant", 0, 99, 6) == 200
    assert platformcluster.wait_until(5, lambda: server.grant_count == 2)
    assert [hold.fence for hold in server.live_holds] == [6]


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


def test_a_port_is_free_while_a_process_still_has_a_copy_of_its_socket():
    address = f"127.0.0.1:{ports.find_free_ports(1)}"
    first = httpd.serve(address, lambda request: httpd.Response(200))
    threading.Thread(
        target=first.serve_forever, args=(0.01,), daemon=True
    ).start()
    with first.socket.dup():
        first.stop()
        httpd.serve(address, lambda request: httpd.Response(200)).server_close()
