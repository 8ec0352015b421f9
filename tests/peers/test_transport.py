import random
import time
import types as module_types

import pytest
import zmq

from standins import ports
from tamarackgap.network import sockets
from tamarackgap.peers import calls, messages, transport
from tamarackgap.placement import records

MAX_MESSAGE_BYTES = 10_000
CONNECT_TIMEOUT_S = 5
# Of the rules: machines are in touch again this long after a cut.
MAX_LOST_MS = 3000


class Timers:
    """Timers that fire when the test says so."""

    now = 1.0

    def __init__(self):
        self.due = []

    def after(self, seconds, call):
        self.due.append(call)

    def fire(self):
        due, self.due = self.due, []
        for call in due:
            call()

    def each_iteration(self, call):
        pass

    def every(self, seconds, call):
        pass


@pytest.fixture
def three_peers():
    """Yields the transport, address and received envelopes of three peers."""
    base = ports.find_free_ports(3, 26_500)
    peers = []
    for index in range(3):
        received = []
        poller = module_types.SimpleNamespace(
            watch=lambda descriptor, flags, callback: None
        )
        peer_transport = transport.PeerTransport(
            poller,
            Timers(),
            "test",
            f"127.0.0.1:{base + index}",
            MAX_MESSAGE_BYTES,
            received.append,
        )
        peers.append((peer_transport, f"127.0.0.1:{base + index}", received))
    yield peers
    for peer_transport, _, _ in peers:
        peer_transport.close()


def test_message_to_several_peers_is_encoded_once(three_peers, monkeypatch):
    (own, _, _), *others = three_peers
    addresses = [address for _, address, _ in others]
    own.set_peers(set(addresses))
    encoded = []
    encode = messages.encode

    def count_and_encode(envelope):
        encoded.append(envelope)
        return encode(envelope)

    monkeypatch.setattr(messages, "encode", count_and_encode)
    end = time.monotonic() + CONNECT_TIMEOUT_S
    while time.monotonic() < end and not all(
        received for _, _, received in others
    ):
        # A message to a peer that is not connected yet is dropped.
        del encoded[:]
        own.send_all("me", addresses, messages.LoadReport(1.0))
        assert len(encoded) == 1
        time.sleep(0.02)
        for receiver, _, _ in others:
            receiver._on_readable(sockets.READABLE)
    for _, _, received in others:
        assert received[0].message == messages.LoadReport(1.0)
        assert received[0].sender == "me"


def test_odd_frames_leave_the_others_received(three_peers):
    (_, address, received), (sender, own, _), _ = three_peers
    status = messages.Cancel("leg")
    odd = [
        messages.Envelope("test", "s", "127.0.0.1:70000", status),
        messages.Envelope("test", "s", "127.0.0.1", status),
        messages.Envelope("other", "s", own, status),
    ]
    frames = [messages.encode(envelope) for envelope in odd]
    good = messages.encode(messages.Envelope("test", "s", own, status))
    # A surplus field that is deeply nested.
    frames.append(b"\x95" + good[1:] + b"\x91" * 9000 + b"\x00")
    with zmq.Context() as context, context.socket(zmq.PUSH) as push:
        push.connect(f"tcp://{address}")
        for frame in (*frames, good):
            push.send(frame)
        peer_transport = three_peers[0][0]
        end = time.monotonic() + CONNECT_TIMEOUT_S
        while not received and time.monotonic() < end:
            peer_transport._receive_frames()
    assert [envelope.address for envelope in received] == [own]
    assert peer_transport.malformed_frames == len(frames)


def test_a_message_waits_for_the_connection_to_a_daemon_that_starts():
    # The answer to a call of a daemon that had just started was dropped while
    # the connection to it was made anew.
    base = ports.find_free_ports(2, 26_600)
    poller = module_types.SimpleNamespace(
        watch=lambda descriptor, flags, callback: None
    )
    timers = Timers()
    own, other = f"127.0.0.1:{base}", f"127.0.0.1:{base + 1}"
    sender = transport.PeerTransport(
        poller, timers, "test", own, MAX_MESSAGE_BYTES, None
    )
    completion = calls.Completion(7, calls.types.Verdict.ANSWERED, status=200)
    sender.send_within("sender", other, completion, 2.0)
    timers.fire()
    received = []
    receiver = transport.PeerTransport(
        poller, Timers(), "test", other, MAX_MESSAGE_BYTES, received.append
    )
    deadline = time.monotonic() + CONNECT_TIMEOUT_S
    while not received and time.monotonic() < deadline:
        timers.fire()
        receiver._receive_frames()
        time.sleep(0.01)
    timers.now += 3.0
    timers.fire()
    assert timers.due == []
    assert [envelope.message.leg for envelope in received] == [7]
    sender.send_within("sender", "127.0.0.1:1", completion, 2.0)
    timers.now += 3.0
    timers.fire()
    assert timers.due == []
    sender.close()
    receiver.close()


def test_connections_that_are_lost_without_a_sign_are_given_up(three_peers):
    # Loopback connections can't be lost; the stepped clock plays the rest
    # (tests/processes/test_routetables.py).
    (own, _, _), (_, address, _), _ = three_peers
    own.set_peers({address})
    (outbox,) = own._outboxes.values()
    assert 0 < outbox.getsockopt(zmq.TCP_MAXRT) <= MAX_LOST_MS
    assert 0 < outbox.getsockopt(zmq.CONNECT_TIMEOUT) <= MAX_LOST_MS
    assert 0 < outbox.getsockopt(zmq.HANDSHAKE_IVL) <= MAX_LOST_MS
    assert own._inbox.getsockopt(zmq.TCP_KEEPALIVE) == 1


def test_rows_wait_for_a_narrow_link_and_answers_do_not(monkeypatch):
    base = ports.find_free_ports(1, 26_700)
    poller = module_types.SimpleNamespace(
        watch=lambda descriptor, flags, callback: None
    )
    timers = Timers()
    # 10 Mbit/s.
    own = transport.PeerTransport(
        poller,
        timers,
        "test",
        f"127.0.0.1:{base}",
        MAX_MESSAGE_BYTES,
        None,
        1_250_000.0,
    )
    sent = []
    outbox = module_types.SimpleNamespace(
        send=lambda frame, flags: sent.append(messages.decode(frame).message),
        close=lambda linger=0: None,
    )
    monkeypatch.setattr(own, "_outbox", lambda address: outbox)
    own.near = {"near"}
    report = messages.RowUpdates(
        (records.Row("k", random.Random(1).randbytes(6000).hex(), 1),)
    )
    own.send_all("me", ["near"] * 20, report, can_wait=True)
    waiting = 20 - len(sent)
    assert waiting > 15
    own.send("me", "far", calls.Withdraw(1))
    assert sent[-1] == calls.Withdraw(1)
    for _ in range(400):
        timers.now += 0.001
        timers.fire()
    assert len(sent) == 21
    sizes = own.sent_bytes_by_kind
    assert sizes["rows", True] > 20 * 6000
    assert 0 < sizes["withdraw", False] < 200
    own.close()
