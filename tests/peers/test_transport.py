import time
import types as module_types

import pytest

from standins import ports
from tamarackgap.network import sockets
from tamarackgap.peers import messages, transport

LARGEST = 10_000
LINK_S = 5


class Timers:
    """Timers of which nothing becomes due."""

    def each_iteration(self, call):
        pass

    def every(self, seconds, call):
        pass


@pytest.fixture
def three():
    base = ports.free_ports(3, 26_500)
    found = []
    for index in range(3):
        got = []
        poller = module_types.SimpleNamespace(
            watch=lambda descriptor, flags, callback: None
        )
        links = transport.PeerTransport(
            poller,
            Timers(),
            "test",
            f"127.0.0.1:{base + index}",
            LARGEST,
            got.append,
        )
        found.append((links, f"127.0.0.1:{base + index}", got))
    yield found
    for links, _, _ in found:
        links.close()


def test_one_message_to_many_is_encoded_once(three, monkeypatch):
    (links, _, _), *others = three
    addresses = [address for _, address, _ in others]
    links.set_peers(set(addresses))
    encoded = []
    encode = messages.encode

    def counted(envelope):
        encoded.append(envelope)
        return encode(envelope)

    monkeypatch.setattr(messages, "encode", counted)
    end = time.monotonic() + LINK_S
    while time.monotonic() < end and not all(got for _, _, got in others):
        # Nothing waits for a link that is not there yet.
        del encoded[:]
        links.send_all("me", addresses, messages.LoadReport(1.0))
        assert len(encoded) == 1
        time.sleep(0.02)
        for other, _, _ in others:
            other._readable(sockets.READABLE)
    for _, _, got in others:
        assert got[0].message == messages.LoadReport(1.0)
        assert got[0].sender == "me"
