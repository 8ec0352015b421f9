"""A loopback proxy whose open connections can go silent for good."""

import contextlib
import socket
import threading

_READ_BYTES = 65_536


class SilentLink:
    """Forwards connections both ways.

    Attributes:
        address: Where it listens, `ip:port`.
    """

    def __init__(self, target):
        """Listens at a free port, for connections to `target`, `ip:port`."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._lock = threading.Lock()
        # An event for each connection, which is set when it goes silent.
        self._open = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Makes the open connections silent; new ones work.

        Returns:
            How many there were.
        """
        with self._lock:
            for silent in self._open:
                silent.set()
            count = len(self._open)
            self._open.clear()
            return count

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            link = socket.create_connection(self._target, timeout=2)
            silent = threading.Event()
            with self._lock:
                self._open.add(silent)
            for sock in (client, link):
                sock.settimeout(None)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for source, sink in ((client, link), (link, client)):
                threading.Thread(
                    target=self._forward,
                    args=(source, sink, silent),
                    daemon=True,
                ).start()

    def _forward(self, source, sink, silent):
        """Forwards one direction; nothing of a silent connection arrives."""
        with contextlib.suppress(OSError):
            while data := source.recv(_READ_BYTES):
                if not silent.is_set():
                    sink.sendall(data)
        if silent.is_set():
            return
        with self._lock:
            self._open.discard(silent)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()
