import msgspec
import pytest

from tamarackgap import types
from tamarackgap.peers import messages
from tamarackgap.placement import slots

EXAMPLES = [
    messages.Renew("w", 3, 1.5, 7),
    messages.RenewReply("o", 3, 1.5, True, types.WitnessState.RETIRED, 7),
    messages.SealReply("o", 3, types.WitnessState.SEALED, 0.5),
    messages.Claim("s", "o", (slots.SlotRange(1, 2, 3),)),
    messages.ForwardReply("leg", types.Verdict.NOT_RUN, types.Reason.NO_OWNER),
]


@pytest.mark.parametrize("message", EXAMPLES)
def test_decode_reverses_encode(message):
    envelope = messages.Envelope("dep", "me", "127.0.0.1:1", message)
    assert messages.decode(messages.encode(envelope)) == envelope


def test_field_names_are_not_encoded():
    envelope = messages.Envelope("dep", "me", "127.0.0.1:1", EXAMPLES[0])
    assert b"revision" not in messages.encode(envelope)


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"\xc1",
        b"hello",
        msgspec.msgpack.encode(["d", "s", "a"]),
        msgspec.msgpack.encode(["d", "s", "a", {"type": "nonsense"}]),
        msgspec.msgpack.encode(["d", "s", "a", {"type": "renew", "epoch": 1}]),
        msgspec.msgpack.encode(["d", "s", "a", ["nonsense", 1]]),
        msgspec.msgpack.encode(["d", "s", "a", ["renew", "w", "three"]]),
        messages.encode(messages.Envelope("d", "s", "a", EXAMPLES[0]))[:-2],
    ],
)
def test_malformed_frame_is_rejected(frame):
    with pytest.raises((msgspec.MsgspecError, UnicodeDecodeError)):
        messages.decode(frame)
