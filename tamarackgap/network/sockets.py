"""Watches sockets on the circuits loop, with callbacks instead of events."""

import collections
import errno
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Callable

import circuits
from circuits.core import pollers

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
ERROR_OR_HANGUP = select.EPOLLERR | select.EPOLLHUP
# The other side will send nothing more.
PEER_CLOSED = select.EPOLLRDHUP
READ_BYTES = 65_536
CONNECTING = (errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EALREADY)

# Called with the epoll flags that are reported for a socket.
Callback = Callable[[int], None]


class Poller(pollers.EPoll):
    """The loop's poller, which also calls callbacks directly.

    A circuits event costs more processor time than the work that most readable
    sockets cause. Sockets of the data path therefore have callbacks, and the
    poller waits repeatedly within one `generate_events` event until another
    event is queued.

    Attributes:
        run_due: Runs the due timers, and returns the seconds until the next
            one; negative if there is none. If None, the loop runs the timers.
    """

    def __init__(self) -> None:
        super().__init__()
        self._callbacks: dict[int, Callback] = {}
        self.run_due: Callable[[], float] | None = None

    def watch(self, descriptor: int, flags: int, callback: Callback) -> None:
        """Calls `callback` whenever one of `flags` is set on a descriptor."""
        self._poller.register(descriptor, flags)
        self._callbacks[descriptor] = callback

    def modify(self, descriptor: int, flags: int) -> None:
        """Replaces the flags that a descriptor is watched for."""
        self._poller.modify(descriptor, flags)

    def unwatch(self, descriptor: int) -> None:
        """Stops watching a descriptor; must be called before it is closed."""
        if self._callbacks.pop(descriptor, None) is not None:
            self._poller.unregister(descriptor)

    def _generate_events(self, event: circuits.Event) -> None:
        timeout = event.time_left
        while True:
            for descriptor, flags in self._poller.poll(timeout):
                self._process(descriptor, flags)
            if self.run_due is None or len(self.root):
                return
            timeout = self.run_due()
            if len(self.root):
                return

    def _process(self, descriptor: int, flags: int) -> None:
        callback = self._callbacks.get(descriptor)
        if callback is None:
            super()._process(descriptor, flags)
        else:
            callback(flags)


def parse_address(text: str) -> tuple[str, int]:
    """Returns the host and the port of `ip:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def listen(address: str, backlog: int) -> socket.socket:
    """Returns a non-blocking socket that listens.

    Args:
        address: `ip:port`.
        backlog: Largest number of connections that wait to be accepted.

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
    """Returns a socket that is connecting, or None if that failed at once.

    Args:
        address: `ip:port`.
        unacked_timeout_ms: Time after which the connection is closed if sent
            bytes are not acknowledged (TCP_USER_TIMEOUT).
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


def undelivered(sock: socket.socket) -> int | None:
    """Returns how much the other side has not acknowledged yet, bytes.

    It includes the end of the stream, once that has been sent. None if the
    system does not tell.
    """
    try:
        answer = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return None
    return struct.unpack("i", answer)[0]


class Writer:
    """Sends bytes on a non-blocking socket, and buffers what can't be sent yet.

    Attributes:
        connection_refused: Whether the other side refused the connection,
            because no process listens there.
    """

    def __init__(
        self, poller: Poller, sock: socket.socket, connected: bool
    ) -> None:
        """Creates a writer for a watched socket.

        Args:
            poller: The poller that watches the socket.
            sock: The socket.
            connected: Whether the socket is already connected.
        """
        self._poller = poller
        self._sock = sock
        self._descriptor = sock.fileno()
        # Views of what has not been sent: copies would take memory.
        self._unsent: collections.deque[memoryview] = collections.deque()
        self._unsent_bytes = 0
        self._connected = connected
        self._read_flags = READABLE
        self.connection_refused = False

    @property
    def connected(self) -> bool:
        """Whether the connection is established."""
        return self._connected

    @property
    def unsent(self) -> int:
        """Number of bytes that have not been passed to the socket yet."""
        return self._unsent_bytes

    def set_reading(self, reads: bool) -> None:
        """Sets whether the socket is watched for bytes to be read.

        While it is not, it is watched for its end only.
        """
        self._read_flags = READABLE if reads else PEER_CLOSED
        self._update_flags()

    def write(self, data: bytes) -> bool:
        """Sends bytes now, or as soon as the socket is writable.

        Returns:
            False if the connection is broken.
        """
        if not data:
            return True
        self._unsent.append(memoryview(data))
        self._unsent_bytes += len(data)
        if len(self._unsent) > 1 or not self._connected:
            return True
        if not self._send():
            return False
        if self._unsent:
            self._update_flags()
        return True

    def handle_writable(self) -> bool:
        """Sends the buffered bytes after the socket has become writable.

        Returns:
            False if the connection is broken or could not be made.
        """
        if not self._connected:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self.connection_refused = code == errno.ECONNREFUSED
                return False
            self._connected = True
        if not self._send():
            return False
        if not self._unsent:
            self._update_flags()
        return True

    def drop_unsent(self) -> None:
        """Drops the buffered bytes, when the connection is closed."""
        self._unsent.clear()
        self._unsent_bytes = 0

    def _update_flags(self) -> None:
        flags = self._read_flags
        if self._unsent or not self._connected:
            flags |= WRITABLE
        self._poller.modify(self._descriptor, flags)

    def _send(self) -> bool:
        """Sends what the socket takes; returns False if it is broken."""
        while self._unsent:
            data = self._unsent[0]
            try:
                count = self._sock.send(data)
            except BlockingIOError:
                return True
            except OSError:
                return False
            self._unsent_bytes -= count
            if count < len(data):
                self._unsent[0] = data[count:]
                return True
            self._unsent.popleft()
        return True
