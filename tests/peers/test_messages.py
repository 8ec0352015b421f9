import zlib

import msgspec
import pytest

from tamarackgap import types
from tamarackgap.peers import calls, messages
from tamarackgap.placement import records, slots

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


NAN = float("nan")
INFINITE = float("inf")
STATUS = calls.TargetStatus("s", True, 4, 0, 0, 0.5, 7, "a", "p", 0.1)


def encode(message, address="127.0.0.1:1"):
    return messages.encode(messages.Envelope("d", "s", address, message))


@pytest.mark.parametrize(
    "address",
    ["a", "", "127.0.0.1", "127.0.0.1:70000", "127.0.0.1:-1", "::", "*:5"],
)
def test_a_frame_with_an_address_that_cannot_be_connected_to_is_rejected(
    address,
):
    heard = calls.HeardStatus("i", address, 0.1, STATUS)
    for frame in (
        encode(STATUS, address),
        encode(calls.StatusDigest((heard,), True)),
    ):
        envelope = messages.decode(frame)
        with pytest.raises(msgspec.ValidationError):
            messages.check_addresses(envelope)


def test_a_frame_with_a_deeply_nested_surplus_is_rejected():
    frame = encode(STATUS)
    assert frame[:1] == b"\x94"
    deep = b"\x91" * 100_000 + b"\x00"
    with pytest.raises(msgspec.MsgspecError):
        messages.decode(b"\x95" + frame[1:] + deep)


def test_a_frame_with_a_text_that_is_not_utf8_is_rejected():
    frame = encode(messages.Renew("witness", 3, 1.5, 7))
    with pytest.raises(msgspec.MsgspecError):
        messages.decode(frame.replace(b"witness", b"witnes\xff"))


@pytest.mark.parametrize("number", [NAN, INFINITE, -INFINITE])
def test_a_frame_with_a_number_that_is_not_finite_is_rejected(number):
    replaced = msgspec.structs.replace
    for message in (
        messages.Renew("w", 3, number, 7),
        messages.RowUpdates((), number),
        messages.LoadReport(number),
        replaced(STATUS, relative_latency=number),
        replaced(STATUS, interval=number),
        replaced(STATUS, load=number),
        calls.StatusDigest(
            (calls.HeardStatus("i", "127.0.0.1:1", number, STATUS),), True
        ),
        calls.TargetCrash({"f": (0.5, number)}),
    ):
        with pytest.raises(msgspec.MsgspecError):
            messages.decode(encode(message))


def _rows(count):
    return messages.RowUpdates(
        tuple(
            records.Row(f"lease/vm-{index}", '{"service": "seats"}' * 9, index)
            for index in range(count)
        )
    )


def test_rows_are_compressed_and_bodies_are_not():
    envelope = messages.Envelope("d", "i", "127.0.0.1:1", _rows(8))
    frame = messages.encode(envelope)
    assert len(frame) < len(msgspec.msgpack.encode(envelope)) / 2
    assert messages.decode(frame) == envelope
    answer = calls.Completion(1, types.Verdict.ANSWERED, body=b"a" * 5000)
    envelope = messages.Envelope("d", "i", "127.0.0.1:1", answer)
    assert messages.encode(envelope) == msgspec.msgpack.encode(envelope)


def test_compressed_frames_that_are_cut_off_or_too_large_are_malformed():
    frame = messages.encode(
        messages.Envelope("d", "i", "127.0.0.1:1", _rows(8))
    )
    bomb = zlib.compress(b"\x94" + b"\x00" * 100_000_000)
    for odd in (frame[:-3], frame[:1], b"\x78\x01" + frame[20:], bomb):
        with pytest.raises(msgspec.MsgspecError):
            messages.decode(odd)
