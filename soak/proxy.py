"""A TCP proxy on the loopback interface that disrupts its connections."""

import contextlib
import enum
import socket
import struct
import threading
import time

_READ_BYTES = 65_536


class Mode(enum.Enum):
    """What a proxy does with connections and bytes."""

    PASS = "pass"
    DELAY = "delay"
    # New connections are reset, and open ones on their next bytes.
    RESET = "reset"
    # New connections are refused, and open ones reset on their next bytes.
    REFUSE = "refuse"
    # Requests are passed on; answers are discarded.
    ANSWERS_LOST = "answers-lost"
    # Bytes in both directions are discarded; no connection is closed.
    SILENT = "silent"


# Position of `tcpi_last_data_recv` in Linux's `struct tcp_info`.
_LAST_DATA_RECV_OFFSET = 52
_TCP_INFO_BYTES = 104
_RESETTING = frozenset({Mode.RESET, Mode.REFUSE})


class Proxy:
    """Accepts connections at one address and forwards them to another.

    Attributes:
        delay_s: Delay of each read in DELAY mode, seconds.
    """

    def __init__(self, address: str, target: str) -> None:
        """Listens at `address` for connections to `target`, both `ip:port`."""
        self._address = _host_and_port(address)
        self._target = _host_and_port(target)
        self._mode = Mode.PASS
        self._lock = threading.Lock()
        self._listener: socket.socket | None = None
        # When the bytes forwarded last on each connection arrived. The target
        # may read them after the connection has ended.
        self._arrivals: dict[tuple[str, int], float] = {}
        self.delay_s = 0.0
        self._listen()

    @property
    def mode(self) -> Mode:
        """What happens to connections and bytes; may be set at any time."""
        return self._mode

    @mode.setter
    def mode(self, mode: Mode) -> None:
        with self._lock:
            self._mode = mode
            if mode is Mode.REFUSE:
                self._stop_listening()
            elif self._listener is None:
                self._listen()

    def arrival_time(self, address: tuple[str, int]) -> float:
        """Returns when the bytes that were forwarded last would have arrived.

        A busy machine may run the threads of this process late. The time is
        therefore the one at which the kernel received the bytes, plus the
        proxy's delay.

        Args:
            address: The proxy's end of its connection to the target.
        """
        return self._arrivals.get(address, time.monotonic())

    def close(self) -> None:
        """Stops listening; open connections stay."""
        with self._lock:
            self._stop_listening()

    def _listen(self) -> None:
        self._listener = socket.create_server(self._address, backlog=256)
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def _stop_listening(self) -> None:
        if self._listener is not None:
            with contextlib.suppress(OSError):
                # Ends the call of `accept` that waits on the other thread.
                self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
            self._listener = None

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect, args=(client,), daemon=True
            ).start()

    def _connect(self, client: socket.socket) -> None:
        if self.mode in _RESETTING:
            _reset(client)
            return
        try:
            target = socket.create_connection(self._target, timeout=1)
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
            address = sink.getsockname()
            while data := source.recv(_READ_BYTES):
                arrived_at = time.monotonic() - _time_since_receipt(source)
                mode = self.mode
                if mode in _RESETTING:
                    break
                if mode in discarding:
                    # Later bytes would not follow on from the discarded ones,
                    # so the connection is reset when the mode ends.
                    while self.mode in discarding:
                        time.sleep(0.02)
                    break
                if mode is Mode.DELAY:
                    arrived_at += self.delay_s
                    time.sleep(max(0.0, arrived_at - time.monotonic()))
                self._arrivals[address] = arrived_at
                sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            _reset(sock)


def _time_since_receipt(sock: socket.socket) -> float:
    """Returns the time since the kernel received data, seconds."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    (milliseconds,) = struct.unpack_from("=I", info, _LAST_DATA_RECV_OFFSET)
    return milliseconds / 1000


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _reset(sock: socket.socket) -> None:
    """Closes a socket with a reset, so that the peer notices at once."""
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
