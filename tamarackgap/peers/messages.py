"""Messages between daemons, and their wire form.

Each message travels one way, in an envelope that names the sender. Nothing
is matched by order: an answer carries the ids of what it answers.
"""

import msgspec

from tamarackgap import types
from tamarackgap.peers import calls
from tamarackgap.placement import records, slots


class Renew(msgspec.Struct, tag="renew", array_like=True, frozen=True):
    """An owner asks a witness to renew its grant.

    Attributes:
        witness: The incarnation that is asked.
        epoch: The owner's epoch.
        sent: Time of sending on the owner's clock, seconds.
        revision: Newest revision of the table that the owner knows of.
        probe: Whether the owner asks for an answer only, not for a grant:
            it has not heard from most witnesses lately.
    """

    witness: str
    epoch: int
    sent: float
    revision: int
    probe: bool = False


class RenewReply(msgspec.Struct, tag="granted", array_like=True, frozen=True):
    """A witness's answer to `Renew`; it is a grant only where `granted`.

    Attributes:
        owner: The incarnation that asked: a later process at its address
            must not take the grant for its own.
        epoch: The owner's epoch.
        sent: Time of the renewal's sending on the owner's clock, seconds.
        granted: Whether the witness granted.
        state: The witness's state afterwards.
        revision: Newest revision of the table that the witness knows of.
    """

    owner: str
    epoch: int
    sent: float
    granted: bool
    state: types.WitnessState
    revision: int


class SuspectOwner(msgspec.Struct, tag="suspect", array_like=True, frozen=True):
    """A witness tells a successor that an owner no longer renews."""

    owner: str
    epoch: int


class Seal(msgspec.Struct, tag="seal", array_like=True, frozen=True):
    """A successor asks a witness never to renew an epoch again."""

    witness: str
    owner: str
    epoch: int


class SealReply(msgspec.Struct, tag="sealed", array_like=True, frozen=True):
    """A witness's answer to `Seal`.

    Attributes:
        owner: The epoch's owner.
        epoch: The epoch.
        state: The witness's state; OPEN and RETIRED are refusals.
        age: Seconds since its last grant; negative where it never granted.
    """

    owner: str
    epoch: int
    state: types.WitnessState
    age: float


class Retire(msgspec.Struct, tag="retire", array_like=True, frozen=True):
    """An owner asks that its epoch end only by a write to the table."""

    witness: str
    epoch: int


class RetireReply(msgspec.Struct, tag="retired", array_like=True, frozen=True):
    """A witness's answer to `Retire`; `owner` is the one that asked."""

    owner: str
    epoch: int
    state: types.WitnessState


class Release(msgspec.Struct, tag="release", array_like=True, frozen=True):
    """An owner gives up its epoch: it serves nothing under it any more."""

    witness: str
    epoch: int


class Rows(msgspec.Struct, tag="rows", array_like=True, frozen=True):
    """Rows that were just written to the table."""

    rows: tuple[records.Row, ...]


class Claim(msgspec.Struct, tag="claim", array_like=True, frozen=True):
    """A successor serves slots that the table does not yet show as its own.

    Attributes:
        service: The service.
        owner: The incarnation whose lease is over.
        runs: The slots, with their new fences.
    """

    service: str
    owner: str
    runs: tuple[slots.SlotRange, ...]


class Forward(msgspec.Struct, tag="forward", array_like=True, frozen=True):
    """A request on its way to the key's owner.

    Attributes:
        owner: The incarnation that is asked.
        leg: Fresh id of this leg; the answer carries it.
        request_id: The caller's request id.
        service: The service.
        key: The key.
        slot: The key's slot.
        method: HTTP method.
        path: Path below the service, as the caller gave it.
        body: The request's body.
        remaining: Seconds until the caller's deadline.
        idempotent: Whether running it twice does no harm.
        attempt: 1 where the caller never sent this id before.
        first_sent_ms: Wall-clock time of the first sending, milliseconds.
        urgent: False where the request can wait, as reports can.
    """

    owner: types.Incarnation
    leg: str
    request_id: types.RequestId
    service: types.ServiceName
    key: types.Key
    slot: types.Slot
    method: str
    path: str
    body: bytes
    remaining: float
    idempotent: bool
    attempt: int
    first_sent_ms: int
    urgent: bool


class ForwardReply(msgspec.Struct, tag="outcome", array_like=True, frozen=True):
    """The owner's answer to `Forward`.

    Attributes:
        leg: The leg's id.
        verdict: Whether the operation ran.
        reason: Why it was refused; None where it was answered.
        status: The target's HTTP status, where it was answered.
        content_type: The answer's media type.
        body: The target's whole answer.
        owner: A newer owner of the slot, where the asked one knows it.
        fence: The fence of that newer owner.
    """

    leg: str
    verdict: types.Verdict
    reason: types.Reason | None = None
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    owner: str = types.NO_INCARNATION
    fence: int = 0


class Cancel(msgspec.Struct, tag="cancel", array_like=True, frozen=True):
    """The caller went away; the leg's answer is no longer wanted."""

    leg: str


class CrashReport(msgspec.Struct, tag="crashed", array_like=True, frozen=True):
    """A target crashed while it ran these contents.

    Attributes:
        fingerprints: Fingerprints of the requests that it ran.
        exclusive: Whether it ran only the one: then that one is the cause.
    """

    fingerprints: tuple[str, ...]
    exclusive: bool


class LoadReport(msgspec.Struct, tag="load", array_like=True, frozen=True):
    """What a daemon serves at present.

    Attributes:
        rate: Requests a second; None while its slots have just changed.
    """

    rate: float | None


Message = (
    Renew
    | RenewReply
    | SuspectOwner
    | Seal
    | SealReply
    | Retire
    | RetireReply
    | Release
    | Rows
    | Claim
    | Forward
    | ForwardReply
    | Cancel
    | CrashReport
    | LoadReport
    | calls.Dispatch
    | calls.Completion
    | calls.Withdraw
    | calls.TargetCrash
    | calls.ContentCleared
    | calls.TargetStatus
    | calls.RouteTableRequest
    | calls.RouteTableUpdate
)


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A message with its sender.

    Attributes:
        deployment: Name of the deployment; others' messages are dropped.
        sender: The sending incarnation.
        address: The sender's `ip:port`, to answer to.
        message: The message.
    """

    deployment: str
    sender: str
    address: str
    message: Message


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Returns an envelope's wire form."""
    return _ENCODER.encode(envelope)


def decode(frame: bytes) -> Envelope:
    """Returns the envelope in a frame.

    Raises:
        msgspec.MsgspecError: If the frame is malformed.
    """
    return _DECODER.decode(frame)
