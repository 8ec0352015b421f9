"""Sends and receives messages between daemons over ZeroMQ.

Each daemon has one PULL socket and a PUSH socket for each peer, all served by
the circuits loop. A push to a peer that is not connected fails at once, so
that no message is queued and delivered to a later process at the same
address.
"""

import collections
from collections.abc import Callable, Iterable

import msgspec
import zmq

from tamarackgap import logs
from tamarackgap.network import scheduler, sockets
from tamarackgap.peers import messages, pacing

_HIGH_WATER_MARK_MESSAGES = 1000
_RECONNECT_MS = 50
_RECONNECT_MAX_MS = 500
# A connection whose bytes are not acknowledged for so long is made anew. TCP
# alone would go on sending them again after ever longer pauses, for as long
# after a cut as that has lasted, and without end where the connection is lost.
UNACKED_TIMEOUT_MS = 1200
# The same for an attempt to connect, and for what follows until the first
# message can be sent.
CONNECT_TIMEOUT_MS = 1000
_HANDSHAKE_TIMEOUT_MS = 2000
# A receiving socket sends nothing, so only probes show that a connection that
# its peer has given up is lost.
_KEEP_ALIVE_IDLE_S = 10
_KEEP_ALIVE_INTERVAL_S = 5
_KEEP_ALIVE_PROBES = 3
# Keeps an iteration of the loop short when peers send without pause.
_MAX_MESSAGES_PER_ITERATION = 200
_POLL_INTERVAL_S = 0.05
# While a connection is made anew, a message is tried again this often.
_RETRY_PAUSE_S = 0.02
# Messages that have been handed over are sent within this time after `close`.
_CLOSE_LINGER_MS = 200
# An int, because flags of an enumeration are slow to combine.
_READABLE = int(zmq.POLLIN)

OnMessage = Callable[[messages.Envelope], None]


class _Frame(msgspec.Struct, frozen=True):
    """An encoded message that waits for the link."""

    address: str
    content: bytes
    kind: str


class PeerTransport:
    """Holds the connections to all other daemons.

    Attributes:
        sent_messages: Number of messages handed to a connection.
        sent_bytes: Size of these messages, bytes.
        sent_bytes_by_kind: The same by kind of message, and whether it went
            to a daemon of this data centre.
        near: `ip:port` of the daemons of this data centre.
        dropped_messages: Number of messages for peers without a connection
            or with a full queue.
        malformed_frames: Number of received frames that were malformed or
            of another deployment.
    """

    def __init__(
        self,
        poller: sockets.Poller,
        timers: scheduler.Scheduler,
        deployment: str,
        address: str,
        max_message_bytes: int,
        receive: OnMessage,
        link_rate: float = 0.0,
    ) -> None:
        """Binds the receiving socket.

        Args:
            poller: Poller of the loop.
            timers: Scheduler of the loop.
            deployment: Name of the deployment; messages of others are
                dropped.
            address: `ip:port` to bind to, which is also the address that
                peers reply to.
            max_message_bytes: Size of the largest message accepted, bytes.
            receive: Called with each message received.
            link_rate: Rate of the VM's link, bytes a second; 0 if messages
                are not to be paced.

        Raises:
            OSError: If the address can't be bound.
        """
        self._timers = timers
        self._deployment = deployment
        self._address = address
        self._receive = receive
        self._context = zmq.Context()
        self._context.setsockopt(zmq.MAX_SOCKETS, 8192)
        self._inbox = self._context.socket(zmq.PULL)
        self._inbox.setsockopt(zmq.LINGER, 0)
        self._inbox.setsockopt(zmq.RCVHWM, _HIGH_WATER_MARK_MESSAGES)
        self._inbox.setsockopt(zmq.MAXMSGSIZE, max_message_bytes)
        self._inbox.setsockopt(zmq.HANDSHAKE_IVL, _HANDSHAKE_TIMEOUT_MS)
        self._inbox.setsockopt(zmq.TCP_KEEPALIVE, 1)
        self._inbox.setsockopt(zmq.TCP_KEEPALIVE_IDLE, _KEEP_ALIVE_IDLE_S)
        self._inbox.setsockopt(zmq.TCP_KEEPALIVE_INTVL, _KEEP_ALIVE_INTERVAL_S)
        self._inbox.setsockopt(zmq.TCP_KEEPALIVE_CNT, _KEEP_ALIVE_PROBES)
        try:
            self._inbox.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            raise OSError(f"{address}: {error}") from error
        self._outboxes: dict[str, zmq.Socket] = {}
        self.sent_messages = 0
        self.sent_bytes = 0
        self.sent_bytes_by_kind: collections.Counter[tuple[str, bool]] = (
            collections.Counter()
        )
        self.near: set[str] = set()
        self._pacer: pacing.Pacer[_Frame] | None = (
            pacing.Pacer(link_rate) if link_rate else None
        )
        self._is_drain_due = False
        self.dropped_messages = 0
        self.malformed_frames = 0
        poller.watch(
            self._inbox.getsockopt(zmq.FD), sockets.READABLE, self._on_readable
        )
        self._has_more = False
        timers.each_iteration(self._receive_remaining)
        # The descriptor is edge-triggered, so a missed edge would leave
        # messages unread.
        timers.every(_POLL_INTERVAL_S, self._receive_frames)

    @property
    def expired_messages(self) -> int:
        """Number of messages that waited too long for the link."""
        return self._pacer.expired if self._pacer is not None else 0

    def set_peers(self, addresses: set[str]) -> None:
        """Connects to the given peers and closes all other connections.

        Args:
            addresses: `ip:port` of the peers; this daemon's own is ignored.
        """
        for address in addresses - {self._address}:
            self._outbox(address)
        for address in self._outboxes.keys() - addresses:
            self._outboxes.pop(address).close()

    def send(
        self, sender: str, address: str, message: messages.Message
    ) -> bool:
        """Sends a message without waiting.

        Args:
            sender: Incarnation that sends the message.
            address: `ip:port` of the receiver.
            message: The message.

        Returns:
            True if the message was handed to a connection, where it may
            still be lost; False if it will never arrive.
        """
        return self._send(
            _Frame(
                address, self._encode(sender, message), messages.kind(message)
            )
        )

    def send_within(
        self,
        sender: str,
        address: str,
        message: messages.Message,
        timeout_s: float,
    ) -> None:
        """Sends a message as soon as there is a connection.

        Args:
            sender: Incarnation that sends the message.
            address: `ip:port` of the receiver.
            message: The message.
            timeout_s: Longest time to wait for a connection, seconds.
        """
        frame = _Frame(
            address, self._encode(sender, message), messages.kind(message)
        )
        give_up_at = self._timers.now + timeout_s

        def send() -> None:
            if self._context.closed:
                return
            if not self._send(frame) and self._timers.now < give_up_at:
                self._timers.after(_RETRY_PAUSE_S, send)

        send()

    def send_all(
        self,
        sender: str,
        addresses: Iterable[str],
        message: messages.Message,
        can_wait: bool = False,
    ) -> None:
        """Sends a message to several daemons.

        The message is encoded only once.

        Args:
            sender: Incarnation that sends the message.
            addresses: `ip:port` of the receivers.
            message: The message.
            can_wait: Whether messages that can't wait are sent before it, on
                a link of known rate.
        """
        content = self._encode(sender, message)
        kind = messages.kind(message)
        for address in addresses:
            frame = _Frame(address, content, kind)
            if can_wait and self._pacer is not None:
                self._pacer.add(frame, len(content), self._timers.now)
            else:
                self._send(frame)
        self._send_due()

    def _send_due(self) -> None:
        """Sends the messages for which the link has room."""
        if self._pacer is None or self._is_drain_due:
            return
        for frame in self._pacer.take(self._timers.now):
            self._hand_over(frame)
        delay = self._pacer.delay(self._timers.now)
        if delay is not None:
            self._is_drain_due = True
            self._timers.after(delay, self._handle_room)

    def _handle_room(self) -> None:
        self._is_drain_due = False
        if not self._context.closed:
            self._send_due()

    def _encode(self, sender: str, message: messages.Message) -> bytes:
        return messages.encode(
            messages.Envelope(self._deployment, sender, self._address, message)
        )

    def _send(self, frame: _Frame) -> bool:
        """Sends a message that can't wait."""
        is_sent = self._hand_over(frame)
        if is_sent and self._pacer is not None:
            self._pacer.record(len(frame.content), self._timers.now)
        return is_sent

    def _hand_over(self, frame: _Frame) -> bool:
        try:
            self._outbox(frame.address).send(frame.content, zmq.NOBLOCK)
        except zmq.Again:
            self.dropped_messages += 1
            return False
        size = len(frame.content)
        self.sent_messages += 1
        self.sent_bytes += size
        self.sent_bytes_by_kind[frame.kind, frame.address in self.near] += size
        return True

    def close(self) -> None:
        """Closes all sockets, once what was handed over has been sent."""
        for outbox in self._outboxes.values():
            outbox.close(linger=_CLOSE_LINGER_MS)
        self._inbox.close()
        self._context.term()

    def _outbox(self, address: str) -> zmq.Socket:
        outbox = self._outboxes.get(address)
        if outbox is None:
            outbox = self._context.socket(zmq.PUSH)
            outbox.setsockopt(zmq.LINGER, 0)
            outbox.setsockopt(zmq.IMMEDIATE, 1)
            outbox.setsockopt(zmq.SNDHWM, _HIGH_WATER_MARK_MESSAGES)
            outbox.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
            outbox.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
            outbox.setsockopt(zmq.TCP_MAXRT, UNACKED_TIMEOUT_MS)
            outbox.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
            outbox.setsockopt(zmq.HANDSHAKE_IVL, _HANDSHAKE_TIMEOUT_MS)
            outbox.connect(f"tcp://{address}")
            self._outboxes[address] = outbox
        return outbox

    def _on_readable(self, flags: int) -> None:
        del flags
        self._receive_frames()

    def _receive_remaining(self) -> None:
        if self._has_more:
            self._receive_frames()

    def _receive_frames(self) -> None:
        for _ in range(_MAX_MESSAGES_PER_ITERATION):
            # Checking first is cheaper than the exception of an empty queue.
            self._has_more = bool(
                self._inbox.getsockopt(zmq.EVENTS) & _READABLE
            )
            if not self._has_more:
                return
            self._handle_frame(self._inbox.recv(zmq.NOBLOCK))

    def _handle_frame(self, frame: bytes) -> None:
        try:
            envelope = messages.decode(frame)
            messages.check_addresses(envelope)
        except msgspec.MsgspecError as error:
            self.malformed_frames += 1
            logs.unreadable_event(
                "peer_frame_malformed", bytes=len(frame), error=str(error)
            )
            return
        if envelope.deployment != self._deployment:
            self.malformed_frames += 1
            logs.unreadable_event(
                "peer_of_other_deployment",
                deployment=envelope.deployment,
                address=envelope.address,
            )
            return
        self._receive(envelope)
