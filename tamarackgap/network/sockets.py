"""Sockets on the circuits loop whose callbacks cost no event each."""

import errno
import select
import socket
from collections.abc import Callable

import circuits
from circuits.core import pollers

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
ERROR_OR_HANGUP = select.EPOLLERR | select.EPOLLHUP
READ_BYTES = 65_536
CONNECTING = (errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EALREADY)

# Called with the epoll flags that are set.
Callback = Callable[[int], None]


class Poller(pollers.EPoll):
    """The loop's poller, which also calls functions directly.

    A circuits event costs more processor time than the work behind most
    readable sockets, so the sockets of the data path have callbacks, and the
    loop's turns need no event while none is waiting.
    """

    def __init__(self) -> None:
        super().__init__()
        self._callbacks: dict[int, Callback] = {}
        # Does what is due, and returns the seconds until more is; negative
        # where nothing is planned.
        self.run_due: Callable[[], float] | None = None

    def watch(self, descriptor: int, flags: int, callback: Callback) -> None:
        """Calls `callback` whenever one of `flags` is set."""
        self._poller.register(descriptor, flags)
        self._callbacks[descriptor] = callback

    def modify(self, descriptor: int, flags: int) -> None:
        """Waits for other flags from now on."""
        self._poller.modify(descriptor, flags)

    def unwatch(self, descriptor: int) -> None:
        """Stops watching a descriptor, before it is closed."""
        if self._callbacks.pop(descriptor, None) is not None:
            self._poller.unregister(descriptor)

    def _generate_events(self, event: circuits.Event) -> None:
        left = event.time_left
        while True:
            for descriptor, flags in self._poller.poll(left):
                self._process(descriptor, flags)
            if self.run_due is None or len(self.root):
                return
            left = self.run_due()
            if len(self.root):
                return

    def _process(self, descriptor: int, flags: int) -> None:
        callback = self._callbacks.get(descriptor)
        if callback is None:
            super()._process(descriptor, flags)
        else:
            callback(flags)


def parse_address(text: str) -> tuple[str, int]:
    """Returns host and port of `ip:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def listen(address: str, backlog: int) -> socket.socket:
    """Returns a listening socket.

    Raises:
        OSError: If the address can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    try:
        sock.bind(parse_address(address))
    except OSError as error:
        sock.close()
        raise OSError(f"{address}: {error}") from error
    sock.listen(backlog)
    return sock


def connect(address: str, unacked_timeout_ms: int) -> socket.socket | None:
    """Returns a socket that is connecting, or None where it failed at once.

    Args:
        address: `ip:port`.
        unacked_timeout_ms: TCP_USER_TIMEOUT of the connection.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_timeout_ms
    )
    code = sock.connect_ex(parse_address(address))
    if code and code not in CONNECTING:
        sock.close()
        return None
    return sock


class Writer:
    """The outgoing side of a non-blocking socket."""

    def __init__(
        self, poller: Poller, sock: socket.socket, connected: bool
    ) -> None:
        """Creates a writer for a watched socket.

        Args:
            poller: Watches the socket.
            sock: The socket.
            connected: Whether it is connected already.
        """
        self._poller = poller
        self._sock = sock
        self._descriptor = sock.fileno()
        self._unsent = b""
        self._connected = connected
        # Whether nobody listens at the other side.
        self.connection_refused = False

    @property
    def connected(self) -> bool:
        """Whether the connection has been made."""
        return self._connected

    @property
    def unsent(self) -> int:
        """Bytes that the network has not taken yet."""
        return len(self._unsent)

    def write(self, data: bytes) -> bool:
        """Sends bytes now or when there is room.

        Returns:
            False where the connection is broken.
        """
        if self._unsent or not self._connected:
            self._unsent += data
            return True
        return self._send(data)

    def handle_writable(self) -> bool:
        """Goes on after the socket became writable.

        Returns:
            False where the connection is broken or was never made.
        """
        if not self._connected:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self.connection_refused = code == errno.ECONNREFUSED
                return False
            self._connected = True
        data = self._unsent
        self._unsent = b""
        if not self._send(data):
            return False
        if not self._unsent:
            self._poller.modify(self._descriptor, READABLE)
        return True

    def _send(self, data: bytes) -> bool:
        if not data:
            return True
        try:
            count = self._sock.send(data)
        except BlockingIOError:
            count = 0
        except OSError:
            return False
        if count < len(data):
            self._unsent = data[count:]
            self._poller.modify(self._descriptor, READABLE | WRITABLE)
        return True
