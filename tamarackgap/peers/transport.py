"""Messages between daemons, over pyzmq on the circuits loop.

Every daemon pulls on one socket and pushes on one socket for each peer. A
push to a peer that is not connected fails at once, so nothing waits in a
queue to be delivered to a later process at the same address.
"""

from collections.abc import Callable, Iterable

import msgspec
import zmq

from tamarackgap import logs
from tamarackgap.network import scheduler, sockets
from tamarackgap.peers import messages

_HIGH_WATER_MESSAGES = 1000
_RECONNECT_MS = 50
_RECONNECT_MAX_MS = 500
# A turn of the loop must stay short even if peers send without pause.
_DRAIN_MESSAGES = 200
_MISSED_EDGE_S = 0.05
# A plain number: flags of an enumeration are slow to combine.
_READABLE = int(zmq.POLLIN)

Receive = Callable[[messages.Envelope], None]


class PeerTransport:
    """All links to other daemons."""

    def __init__(
        self,
        poller: sockets.Poller,
        timers: scheduler.Scheduler,
        deployment: str,
        address: str,
        max_message_bytes: int,
        receive: Receive,
    ) -> None:
        """Binds to `address`.

        Args:
            poller: The loop's poller.
            timers: The loop's scheduler.
            deployment: Messages of other deployments are dropped.
            address: This daemon's `ip:port`.
            max_message_bytes: Largest message, bytes.
            receive: Called with each message.

        Raises:
            OSError: If the address can't be bound.
        """
        self._deployment = deployment
        self._address = address
        self._receive = receive
        self._context = zmq.Context()
        self._context.setsockopt(zmq.MAX_SOCKETS, 8192)
        self._inbox = self._context.socket(zmq.PULL)
        self._inbox.setsockopt(zmq.LINGER, 0)
        self._inbox.setsockopt(zmq.RCVHWM, _HIGH_WATER_MESSAGES)
        self._inbox.setsockopt(zmq.MAXMSGSIZE, max_message_bytes)
        try:
            self._inbox.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            raise OSError(f"{address}: {error}") from error
        self._outboxes: dict[str, zmq.Socket] = {}
        self.sent_messages = 0
        self.sent_bytes = 0
        self.dropped_messages = 0
        self.malformed_frames = 0
        poller.watch(
            self._inbox.getsockopt(zmq.FD), sockets.READABLE, self._readable
        )
        self._more = False
        timers.each_iteration(self._drain_rest)
        # The descriptor is edge-triggered: a missed edge is made up here.
        timers.every(_MISSED_EDGE_S, self._drain)

    def set_peers(self, addresses: set[str]) -> None:
        """Connects to these peers ahead, and closes links to all others."""
        for address in addresses - {self._address}:
            self._outbox(address)
        for address in self._outboxes.keys() - addresses:
            self._outboxes.pop(address).close()

    def send(
        self, sender: str, address: str, message: messages.Message
    ) -> bool:
        """Sends a message, without waiting.

        Args:
            sender: The incarnation that sends.
            address: The receiver's `ip:port`.
            message: The message.

        Returns:
            Whether it was handed to a connection; it may be lost all the
            same. If not, it will never arrive.
        """
        return self._send(address, self._frame(sender, message))

    def send_all(
        self, sender: str, addresses: Iterable[str], message: messages.Message
    ) -> None:
        """Sends a message to many, without waiting.

        Args:
            sender: The incarnation that sends.
            addresses: The receivers' `ip:port`.
            message: The message; it is encoded once.
        """
        frame = self._frame(sender, message)
        for address in addresses:
            self._send(address, frame)

    def _frame(self, sender: str, message: messages.Message) -> bytes:
        return messages.encode(
            messages.Envelope(self._deployment, sender, self._address, message)
        )

    def _send(self, address: str, frame: bytes) -> bool:
        try:
            self._outbox(address).send(frame, zmq.NOBLOCK)
        except zmq.Again:
            self.dropped_messages += 1
            return False
        self.sent_messages += 1
        self.sent_bytes += len(frame)
        return True

    def close(self) -> None:
        """Closes all links."""
        for outbox in self._outboxes.values():
            outbox.close()
        self._inbox.close()
        self._context.term()

    def _outbox(self, address: str) -> zmq.Socket:
        outbox = self._outboxes.get(address)
        if outbox is None:
            outbox = self._context.socket(zmq.PUSH)
            outbox.setsockopt(zmq.LINGER, 0)
            outbox.setsockopt(zmq.IMMEDIATE, 1)
            outbox.setsockopt(zmq.SNDHWM, _HIGH_WATER_MESSAGES)
            outbox.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
            outbox.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
            outbox.connect(f"tcp://{address}")
            self._outboxes[address] = outbox
        return outbox

    def _readable(self, flags: int) -> None:
        del flags
        self._drain()

    def _drain_rest(self) -> None:
        if self._more:
            self._drain()

    def _drain(self) -> None:
        for _ in range(_DRAIN_MESSAGES):
            # Asking first is cheaper than an exception.
            self._more = bool(self._inbox.getsockopt(zmq.EVENTS) & _READABLE)
            if not self._more:
                return
            self._take(self._inbox.recv(zmq.NOBLOCK))

    def _take(self, frame: bytes) -> None:
        try:
            envelope = messages.decode(frame)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self.malformed_frames += 1
            logs.event(
                "peer_frame_malformed", bytes=len(frame), error=str(error)
            )
            return
        if envelope.deployment != self._deployment:
            self.malformed_frames += 1
            logs.event(
                "peer_of_other_deployment",
                deployment=envelope.deployment,
                address=envelope.address,
            )
            return
        self._receive(envelope)
