"""A TCP proxy on the loopback interface that disrupts its connections."""

import contextlib
import enum
import socket
import struct
import threading
import time

_READ_BYTES = 65_536
_ACCEPT_TIMEOUT_S = 0.2


class Mode(enum.Enum):
    """What a proxy does with connections and bytes."""

    PASS = "pass"
    DELAY = "delay"
    # New connections are reset, and open ones on their next bytes.
    RESET = "reset"
    # Requests are passed on; answers are discarded.
    ANSWERS_LOST = "answers-lost"
    # Bytes in both directions are discarded; no connection is closed.
    SILENT = "silent"


class Proxy:
    """Accepts connections at one address and forwards them to another.

    Attributes:
        mode: What happens to connections and bytes; may be set at any time.
        delay_s: Delay of each read in DELAY mode, seconds.
    """

    def __init__(self, address: str, target: str) -> None:
        """Listens at `address` for connections to `target`, both `ip:port`."""
        host, _, port = address.rpartition(":")
        self._target = target
        self._listener = socket.create_server((host, int(port)), backlog=256)
        self._listener.settimeout(_ACCEPT_TIMEOUT_S)
        self._closed = threading.Event()
        self.mode = Mode.PASS
        self.delay_s = 0.0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops listening; open connections stay."""
        self._closed.set()
        self._listener.close()

    def _accept(self) -> None:
        while not self._closed.is_set():
            try:
                client, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            threading.Thread(
                target=self._connect, args=(client,), daemon=True
            ).start()

    def _connect(self, client: socket.socket) -> None:
        if self.mode is Mode.RESET:
            _reset(client)
            return
        host, _, port = self._target.rpartition(":")
        try:
            target = socket.create_connection((host, int(port)), timeout=1)
        except OSError:
            _reset(client)
            return
        for sock in (client, target):
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        discarding = {Mode.SILENT}
        for direction in (
            (client, target, discarding),
            (target, client, discarding | {Mode.ANSWERS_LOST}),
        ):
            threading.Thread(
                target=self._forward, args=direction, daemon=True
            ).start()

    def _forward(
        self, source: socket.socket, sink: socket.socket, discarding: set[Mode]
    ) -> None:
        """Forwards one direction of a connection until it ends.

        Args:
            source: The socket to read from.
            sink: The socket to write to.
            discarding: Modes in which bytes of this direction are discarded.
        """
        try:
            while data := source.recv(_READ_BYTES):
                mode = self.mode
                if mode is Mode.RESET:
                    break
                if mode in discarding:
                    # Later bytes would not follow on from the discarded ones,
                    # so the connection is reset when the mode ends.
                    while self.mode in discarding:
                        time.sleep(0.02)
                    break
                if mode is Mode.DELAY:
                    time.sleep(self.delay_s)
                sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            _reset(sock)


def _reset(sock: socket.socket) -> None:
    """Closes a socket with a reset, so that the peer notices at once."""
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
