"""A loopback proxy that delivers what it is sent some seconds late."""

import contextlib
import socket
import threading
import time

_READ_BYTES = 65_536


class LateLink:
    """Accepts connections, and passes their bytes on after a delay.

    A sender that closes its connection meanwhile does not take back what it has
    sent, as with bytes that are on their way through a network.

    Attributes:
        address: Where it listens, `ip:port`.
    """

    def __init__(self, target, delay_s):
        """Listens at a free port.

        Args:
            target: Address that the bytes are for, `ip:port`.
            delay_s: How much later they arrive, seconds.
        """
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._delay_s = delay_s
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stops listening."""
        self._listener.close()

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._deliver, args=(client,), daemon=True
            ).start()

    def _deliver(self, client):
        sent = bytearray()
        due_at = time.monotonic() + self._delay_s
        client.settimeout(self._delay_s)
        with contextlib.suppress(OSError), client:
            while data := client.recv(_READ_BYTES):
                sent += data
        time.sleep(max(0.0, due_at - time.monotonic()))
        with (
            contextlib.suppress(OSError),
            socket.create_connection(self._target, timeout=2) as link,
        ):
            link.sendall(sent)
            link.recv(_READ_BYTES)
