"""Tests of the modes of the soak's proxy in which connections fail."""

import http.client
import socket
import threading
import time

import pytest

from soak import proxy
from standins import httpd, platformcluster, ports


@pytest.fixture
def link():
    base = ports.find_free_ports(2)
    target = f"127.0.0.1:{base}"
    server = httpd.serve(target, lambda request: httpd.Response(200))
    threading.Thread(
        target=server.serve_forever, args=(0.01,), daemon=True
    ).start()
    subject = proxy.Proxy(f"127.0.0.1:{base + 1}", target)
    yield subject, ("127.0.0.1", base + 1)
    subject.close()
    server.stop()


def _status(address):
    host, port = address
    return platformcluster.send_request(f"{host}:{port}", "GET", "/")[0]


def test_connections_are_refused_only_in_that_mode(link):
    subject, address = link
    for _ in range(5):
        subject.mode = proxy.Mode.REFUSE
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        subject.mode = proxy.Mode.PASS
        assert _status(address) == 200


def test_open_connections_are_cut_while_new_ones_are_refused(link):
    subject, (host, port) = link
    connection = http.client.HTTPConnection(host, port, timeout=2)
    connection.request("GET", "/")
    assert connection.getresponse().read() == b""
    subject.mode = proxy.Mode.REFUSE
    connection.request("GET", "/")
    with pytest.raises(ConnectionError):
        connection.getresponse()


def test_a_closed_proxy_refuses_connections(link):
    subject, address = link
    subject.close()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)


def test_the_time_of_arrival_does_not_depend_on_when_bytes_are_read():
    base = ports.find_free_ports(2)
    with socket.create_server(("127.0.0.1", base)) as target:
        subject = proxy.Proxy(f"127.0.0.1:{base + 1}", f"127.0.0.1:{base}")
        with socket.create_connection(("127.0.0.1", base + 1)) as client:
            server_end, address = target.accept()
            client.sendall(b"first")
            sent_at = time.monotonic()
            assert server_end.recv(100) == b"first"
            client.close()
            time.sleep(0.3)
            assert abs(subject.arrival_time(address) - sent_at) < 0.1
            server_end.close()
        subject.close()


def test_bytes_that_were_read_late_have_arrived_when_the_kernel_got_them():
    listener = socket.create_server(("127.0.0.1", ports.find_free_ports(1)))
    with listener, socket.create_connection(listener.getsockname()) as client:
        server_end, _ = listener.accept()
        with server_end:
            client.sendall(b"late")
            time.sleep(0.3)
            assert server_end.recv(100) == b"late"
            assert 0.25 < proxy._time_since_receipt(server_end) < 0.6
