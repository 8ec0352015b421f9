"""Sends calls to other daemons, and large bodies in parts.

A body that was one message could be larger than its receiver accepts, and would
keep the link, and memory of both daemons, for its whole length. So a daemon is
first told of the call and of the size of its body. It refuses the call at once,
or asks for the first parts, and for more as they arrive.
"""

from collections.abc import Callable

import msgspec

from tamarackgap import logs, types
from tamarackgap.network import bytebudget
from tamarackgap.peers import calls, transport

# Bodies up to this size are sent with their call.
PART_BYTES = 262_144
# Bytes of a body that are on their way and have not arrived.
_WINDOW_BYTES = 4 * PART_BYTES


class _OutgoingBody(msgspec.Struct, eq=False):
    """Holds a body of which not all parts have been sent.

    Attributes:
        sender: The incarnation that sends it.
        address: `ip:port` of the receiver.
        body: The whole body.
        charge: Counts the parts that are on their way.
        sent: Number of bytes that have been handed to the connection.
    """

    sender: types.Incarnation
    address: str
    body: bytes
    charge: bytebudget.Charge
    sent: int = 0


class OutgoingBodies:
    """Sends the bodies of this daemon's legs."""

    def __init__(
        self,
        peer_transport: transport.PeerTransport,
        budget: bytebudget.ByteBudget,
        on_failed: Callable[[int], None],
    ) -> None:
        """Creates an instance that sends nothing.

        Args:
            peer_transport: Sends messages to the other daemons.
            budget: Counts the memory of all messages under way.
            on_failed: Called with the id of a leg whose body could not be sent
                to its end, so that it has not run.
        """
        self._peer_transport = peer_transport
        self._budget = budget
        self._on_failed = on_failed
        # By leg.
        self._bodies: dict[int, _OutgoingBody] = {}

    def send(
        self, sender: types.Incarnation, address: str, dispatch: calls.Dispatch
    ) -> bool:
        """Sends a call, or the begin of one with a large body.

        Args:
            sender: The incarnation that sends it.
            address: `ip:port` of the receiver.
            dispatch: The call.

        Returns:
            False if it will never arrive.
        """
        body = dispatch.call.body
        if len(body) <= PART_BYTES:
            return self._peer_transport.send(sender, address, dispatch)
        call = msgspec.structs.replace(dispatch.call, body=b"")
        upload = calls.Upload(
            msgspec.structs.replace(dispatch, call=call), len(body)
        )
        if not self._peer_transport.send(sender, address, upload):
            return False
        self._bodies[dispatch.leg] = _OutgoingBody(
            sender, address, body, bytebudget.Charge(self._budget)
        )
        return True

    def handle_credit(self, credit: calls.BodyCredit) -> None:
        """Sends the first parts, or further ones now that some have arrived."""
        outgoing = self._bodies.get(credit.leg)
        if outgoing is None:
            return
        if not self._send_parts(credit.leg, outgoing, credit.received):
            logs.event("body_not_sent", leg=credit.leg, sent=outgoing.sent)
            self.drop(credit.leg)
            self._on_failed(credit.leg)

    def is_incomplete(self, leg: int) -> bool:
        """Returns whether a leg can't have run, for lack of its whole body."""
        return leg in self._bodies

    def drop(self, leg: int) -> None:
        """Sends nothing more of a leg's body."""
        outgoing = self._bodies.pop(leg, None)
        if outgoing is not None:
            outgoing.charge.release()

    def _send_parts(
        self, leg: int, outgoing: _OutgoingBody, received: int
    ) -> bool:
        """Sends as many parts as may be on their way.

        Args:
            leg: The leg.
            outgoing: Its body.
            received: Number of bytes that have arrived.

        Returns:
            False if there is no connection any more.
        """
        size = len(outgoing.body)
        while outgoing.sent < min(size, received + _WINDOW_BYTES):
            end = outgoing.sent + PART_BYTES
            part = calls.BodyPart(
                leg, outgoing.sent, outgoing.body[outgoing.sent : end]
            )
            if not self._peer_transport.send(
                outgoing.sender, outgoing.address, part
            ):
                return False
            outgoing.sent = min(size, end)
        outgoing.charge.hold(max(0, outgoing.sent - received))
        if outgoing.sent == size:
            self.drop(leg)
        return True
