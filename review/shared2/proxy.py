"""A loopback proxy that can deliver what it is sent late."""

import contextlib
import socket
import threading
import time


class LateProxy:
    """Passes each connection on to one address.

    Attributes:
        delay_s: How late the bytes of new connections are delivered, seconds.
        address: Where it listens, `ip:port`.
    """

    def __init__(self, address: str, target: str) -> None:
        """Starts to listen.

        Args:
            address: Where to listen, `ip:port`.
            target: Where connections are passed on to.
        """
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.delay_s = 0.0
        self.address = address
        host, _, port = address.rpartition(":")
        self._socket = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(
                target=self._pass_on, args=(client, self.delay_s), daemon=True
            ).start()

    def _pass_on(self, client: socket.socket, delay_s: float) -> None:
        first = b""
        if delay_s:
            # The client may give up meanwhile: what it has sent still arrives.
            client.settimeout(delay_s)
            end = time.monotonic() + delay_s
            with contextlib.suppress(OSError):
                while time.monotonic() < end:
                    data = client.recv(65_536)
                    if not data:
                        break
                    first += data
            time.sleep(max(0.0, end - time.monotonic()))
            client.settimeout(None)
        try:
            server = socket.create_connection(self._target)
        except OSError:
            client.close()
            return
        if first:
            server.sendall(first)
        threading.Thread(
            target=_copy, args=(server, client), daemon=True
        ).start()
        _copy(client, server)

    def stop(self) -> None:
        """Stops listening."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()


def _copy(source: socket.socket, destination: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while data := source.recv(65_536):
            destination.sendall(data)
    with contextlib.suppress(OSError):
        destination.shutdown(socket.SHUT_WR)
