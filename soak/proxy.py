"""A loopback proxy that delays, resets, cuts one way or silences."""

import contextlib
import enum
import socket
import struct
import threading
import time

_READ_BYTES = 65_536
_ACCEPT_STEP_S = 0.2


class Mode(enum.Enum):
    """What happens to bytes on their way."""

    PASS = "pass"
    DELAY = "delay"
    # New connections and all bytes meet a reset.
    RESET = "reset"
    # Requests arrive, answers are lost.
    ANSWERS_LOST = "answers-lost"
    # Nothing arrives either way; no connection ends.
    SILENT = "silent"


class Proxy:
    """All connections from one address to another."""

    def __init__(self, address: str, target: str) -> None:
        """Listens at `address` for connections to `target`, both `ip:port`."""
        host, _, port = address.rpartition(":")
        self._target = target
        self._listener = socket.create_server((host, int(port)), backlog=256)
        self._listener.settimeout(_ACCEPT_STEP_S)
        self._closed = threading.Event()
        self.mode = Mode.PASS
        # Of DELAY, seconds.
        self.delay_s = 0.0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accepts no more connections."""
        self._closed.set()
        self._listener.close()

    def _accept(self) -> None:
        while not self._closed.is_set():
            try:
                caller, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            threading.Thread(
                target=self._connect, args=(caller,), daemon=True
            ).start()

    def _connect(self, caller: socket.socket) -> None:
        if self.mode is Mode.RESET:
            _reset(caller)
            return
        host, _, port = self._target.rpartition(":")
        try:
            target = socket.create_connection((host, int(port)), timeout=1)
        except OSError:
            _reset(caller)
            return
        for sock in (caller, target):
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        lost = {Mode.SILENT}
        for ends in (
            (caller, target, lost),
            (target, caller, lost | {Mode.ANSWERS_LOST}),
        ):
            threading.Thread(target=self._pump, args=ends, daemon=True).start()

    def _pump(
        self, source: socket.socket, sink: socket.socket, lost: set[Mode]
    ) -> None:
        try:
            while data := source.recv(_READ_BYTES):
                mode = self.mode
                if mode is Mode.RESET:
                    break
                if mode in lost:
                    # What a broken connection has lost stays lost.
                    while self.mode in lost:
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
    """Closes a socket with a reset, so that both sides notice."""
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
