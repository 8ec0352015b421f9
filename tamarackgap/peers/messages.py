"""Defines the messages between daemons, and encodes them.

Each message is sent in an envelope that names the sender. Replies are not
matched by order: each carries the ids of the message that it replies to.
"""

import functools
import zlib

import msgspec

from tamarackgap import decoding, types
from tamarackgap.peers import calls
from tamarackgap.placement import records, slots
from tamarackgap.settings import config


class Renew(msgspec.Struct, tag="renew", array_like=True, frozen=True):
    """Asks a witness to renew the owner's grant.

    Attributes:
        witness: Incarnation that is asked.
        epoch: Epoch of the owner.
        sent: Time of sending, seconds on the owner's clock.
        revision: Newest revision of the table that the owner knows of.
        probe: Whether the owner only asks for a reply and not for a grant,
            because most of its witnesses have not replied recently.
    """

    witness: str
    epoch: int
    sent: decoding.Finite
    revision: int
    probe: bool = False


class RenewReply(msgspec.Struct, tag="granted", array_like=True, frozen=True):
    """Replies to `Renew`, with a grant or without.

    Attributes:
        owner: Incarnation that asked; a later process at the same address
            must not use the grant.
        epoch: Epoch of the owner.
        sent: Time at which the renewal was sent, seconds on the owner's
            clock.
        granted: Whether the witness renewed the grant.
        state: State of the witness after the renewal.
        revision: Newest revision of the table that the witness knows of.
    """

    owner: str
    epoch: int
    sent: decoding.Finite
    granted: bool
    state: types.WitnessState
    revision: int


class SuspectOwner(msgspec.Struct, tag="suspect", array_like=True, frozen=True):
    """Tells a successor that an owner has stopped renewing its grants.

    Attributes:
        owner: Incarnation that is suspected.
        epoch: Epoch of that owner.
    """

    owner: str
    epoch: int


class Seal(msgspec.Struct, tag="seal", array_like=True, frozen=True):
    """Asks a witness, for a successor, to stop renewing an epoch.

    Attributes:
        witness: Incarnation that is asked.
        owner: Owner of the epoch.
        epoch: The epoch.
    """

    witness: str
    owner: str
    epoch: int


class SealReply(msgspec.Struct, tag="sealed", array_like=True, frozen=True):
    """Replies to `Seal`.

    Attributes:
        owner: Owner of the epoch.
        epoch: The epoch.
        state: State of the witness; OPEN and RETIRED mean that it refused.
        age: Time since its last grant, seconds; negative if it never granted
            one, or if the owner has given the epoch up.
    """

    owner: str
    epoch: int
    state: types.WitnessState
    age: decoding.Finite


class Retire(msgspec.Struct, tag="retire", array_like=True, frozen=True):
    """Asks a witness to let the owner's epoch end only through the table.

    Attributes:
        witness: Incarnation that is asked.
        epoch: Epoch of the owner.
    """

    witness: str
    epoch: int


class RetireReply(msgspec.Struct, tag="retired", array_like=True, frozen=True):
    """Replies to `Retire`.

    Attributes:
        owner: Incarnation that asked.
        epoch: Epoch of the owner.
        state: State of the witness.
    """

    owner: str
    epoch: int
    state: types.WitnessState


class Release(msgspec.Struct, tag="release", array_like=True, frozen=True):
    """Tells a witness that the owner no longer serves under its epoch.

    Attributes:
        witness: Incarnation of the witness.
        epoch: Epoch that the owner has given up.
    """

    witness: str
    epoch: int


class RowUpdates(msgspec.Struct, tag="rows", array_like=True, frozen=True):
    """Passes on rows that were just written to the table.

    Attributes:
        rows: The rows.
        pass_on_after: Time after which the receiver passes the rows on within
            its data centre, unless another daemon has by then, seconds; None
            if it does not.
    """

    rows: tuple[records.Row, ...]
    pass_on_after: decoding.Finite | None = None


class Claim(msgspec.Struct, tag="claim", array_like=True, frozen=True):
    """Announces a takeover that is not yet recorded in the table.

    The sender already serves the slots.

    Attributes:
        service: Service of the slots.
        owner: Former owner, whose lease has ended.
        runs: Ranges of slots, with their new fences.
    """

    service: str
    owner: str
    runs: tuple[slots.SlotRange, ...]


class EarlierOwnersQuery(
    msgspec.Struct, tag="earlier-asked", array_like=True, frozen=True
):
    """Asks who owned slots before the table came back from an older copy.

    Attributes:
        service: Service of the slots.
        era: The table's era.
    """

    service: str
    era: decoding.Count


class EarlierOwnersAnswer(
    msgspec.Struct, tag="earlier-known", array_like=True, frozen=True
):
    """Answers `EarlierOwnersQuery`.

    Attributes:
        era: The table's era.
        rows: Rows of earlier eras that have not been written in this one.
        have_all_ended: Whether all owners of earlier eras have ended.
    """

    era: decoding.Count
    rows: tuple[records.Row, ...]
    have_all_ended: bool


class Forward(msgspec.Struct, tag="forward", array_like=True, frozen=True):
    """Asks the owner of a key to have its target execute a request.

    A leg is one attempt to have a request executed by one daemon's target.

    Attributes:
        owner: Incarnation that is asked.
        leg: Fresh id of the leg, which the reply repeats.
        request_id: Id that the caller gave the request.
        service: Service of the request.
        key: Key of the request.
        slot: Slot of the key.
        method: HTTP method.
        path: Path below the service, as the caller sent it.
        body: Whole body.
        remaining: Time until the caller's deadline, seconds.
        idempotent: Whether the request may be executed twice.
        attempt: 1 if the caller has not sent this id before; a higher number
            if it may have.
        first_sent_ms: Wall-clock time at which the caller first sent this
            id, milliseconds since 1970.
        urgent: Whether the request is served before those that can wait,
            such as reports.
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
    remaining: decoding.Finite
    idempotent: bool
    attempt: int
    first_sent_ms: int
    urgent: bool


class ForwardReply(msgspec.Struct, tag="outcome", array_like=True, frozen=True):
    """Replies to `Forward`.

    Attributes:
        leg: Id of the leg.
        verdict: Whether the request was executed.
        reason: Reason of the refusal, or None if the target answered.
        status: HTTP status of the target's answer.
        content_type: Media type of the answer.
        body: Whole body of the answer.
        owner: A newer owner of the slot, if the sender knows one.
        fence: Fence of the slot under that owner.
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
    """Cancels a leg, since its caller has disconnected."""

    leg: str


class CrashReport(msgspec.Struct, tag="crashed", array_like=True, frozen=True):
    """Reports the requests that a target was executing when it crashed.

    Attributes:
        fingerprints: Hash of what each request asks for.
        exclusive: Whether the target was executing a single request, which
            is then the cause of the crash.
    """

    fingerprints: tuple[str, ...]
    exclusive: bool


class LoadReport(msgspec.Struct, tag="load", array_like=True, frozen=True):
    """Reports a daemon's load to other members of its service.

    Attributes:
        rate: Requests a second, or None right after its slots have changed.
        speed: Work a second that its target can do, in the same unit; 0 if
            that is not known.
    """

    rate: decoding.Finite | None
    speed: decoding.Finite = 0.0


Message = (
    Renew
    | RenewReply
    | SuspectOwner
    | Seal
    | SealReply
    | Retire
    | RetireReply
    | Release
    | RowUpdates
    | Claim
    | EarlierOwnersQuery
    | EarlierOwnersAnswer
    | Forward
    | ForwardReply
    | Cancel
    | CrashReport
    | LoadReport
    | calls.Dispatch
    | calls.Upload
    | calls.BodyPart
    | calls.BodyCredit
    | calls.Completion
    | calls.Withdraw
    | calls.TargetCrash
    | calls.FingerprintCleared
    | calls.TargetLeft
    | calls.TargetLeftQuery
    | calls.TargetLeftAnswer
    | calls.TargetStatus
    | calls.StatusDigest
    | calls.RouteTableRequest
    | calls.RouteTableUpdate
    | calls.RouteTableHolders
)


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A message with its sender.

    Attributes:
        deployment: Name of the sender's deployment; daemons of another
            deployment drop the message.
        sender: Incarnation that sends the message.
        address: `ip:port` to which replies are sent.
        message: The message.
    """

    deployment: str
    sender: str
    address: str
    message: Message


# Their fields repeat; bodies of calls can't be made smaller.
_COMPRESSED = (RowUpdates, EarlierOwnersAnswer, calls.StatusDigest)
_MIN_COMPRESSED_BYTES = 256
_COMPRESSION_LEVEL = 1
# First byte of what zlib writes; MessagePack begins an envelope with another.
_ZLIB_MARK = b"\x78"
_MAX_DECOMPRESSED_BYTES = 8_388_608

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)
_is_address = functools.lru_cache(maxsize=10_000)(config.is_address)


def encode(envelope: Envelope) -> bytes:
    """Returns an envelope as MessagePack, compressed if that saves much."""
    frame = _ENCODER.encode(envelope)
    if (
        isinstance(envelope.message, _COMPRESSED)
        and len(frame) >= _MIN_COMPRESSED_BYTES
    ):
        return zlib.compress(frame, _COMPRESSION_LEVEL)
    return frame


def kind(message: Message) -> str:
    """Returns the name of a message's kind."""
    return str(message.__struct_config__.tag)


def decode(frame: bytes) -> Envelope:
    """Returns the envelope that a frame contains.

    Raises:
        msgspec.MsgspecError: If the frame is malformed.
    """
    if frame[:1] == _ZLIB_MARK:
        frame = _decompress(frame)
    try:
        return _DECODER.decode(frame)
    except (RecursionError, UnicodeError) as error:
        raise msgspec.DecodeError(str(error)) from error


def _decompress(frame: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(frame, _MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
    if not decompressor.eof:
        raise msgspec.DecodeError("frame is cut off or too large")
    return plain


def check_addresses(envelope: Envelope) -> None:
    """Checks the addresses to which messages would be sent.

    Raises:
        msgspec.ValidationError: If an address can't be connected to.
    """
    addresses = [envelope.address]
    if isinstance(envelope.message, calls.StatusDigest):
        addresses += [heard.address for heard in envelope.message.statuses]
    elif isinstance(envelope.message, calls.RouteTableHolders):
        addresses += envelope.message.addresses
    for address in addresses:
        if not _is_address(address):
            raise msgspec.ValidationError(f"no address: {address}")
