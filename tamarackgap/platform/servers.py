"""Decodes announcements of the local server, and encodes orders to it."""

import re
from typing import Annotated

import msgspec

from tamarackgap import decoding, logs
from tamarackgap.network import httppool, httpserver
from tamarackgap.placement import slots
from tamarackgap.platform import names, requests
from tamarackgap.settings import config
from tamarackgap.traffic import (
    adapter,
    heartbeatorders,
    localtarget,
    orders,
)

_STATUS_OK = 200
_STATUS_SUPERSEDED = 409
# Largest body of an answer that a server accepts.
_MAX_ANSWER_BYTES = 4096
# Ranges that fit into such a body without handovers.
MAX_HOLD_RANGES = 120
_LEAVING_BY_STATE = {"ready": False, "draining": True}
# Each running request has a connection, and so a port, of its own.
_MAX_SLOTS = 65_535
# The end of the year 9999.
_LAST_MILLISECOND = 253_402_300_799_999
_INSTANCE_PATTERN = re.compile(r"[!-~]{1,200}")
# Handovers are stored in rows, whose size is limited.
_MAX_HANDOVER_CHARACTERS = 200

_Key = Annotated[int, msgspec.Meta(ge=0, lt=slots.POSITION_COUNT)]


class _Heartbeat(msgspec.Struct):
    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: str
    seq: decoding.Count
    cold_remaining_ms: decoding.Amount
    # Start of the server process, Unix time in milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=_LAST_MILLISECOND)] = 0
    # First and last key, and fence, of each range that the server holds or
    # still works on.
    holds: list[tuple[_Key, _Key, decoding.Count]] = []
    # First and last key, and handover, of each range that it has released.
    freed: list[tuple[_Key, _Key, str]] = []


class _Leaving(msgspec.Struct):
    # As in a heartbeat.
    born: Annotated[int, msgspec.Meta(ge=0, le=_LAST_MILLISECOND)] = 0


class _AnswerBody(msgspec.Struct, omit_defaults=True):
    # First and last key, fence, and handover or "", of each range.
    holds: list[tuple[int, int, int, str]] | None = None
    hold_ms: int | None = None
    heartbeat_addr: str = ""


class _GrantBody(msgspec.Struct, rename={"first": "from", "last": "target"}):
    # "target" is the last position of the range, not a server.
    first: int
    last: int
    fence: int
    hold_ms: int
    handover: str | msgspec.UnsetType = msgspec.UNSET


class _ReleaseBody(msgspec.Struct, rename={"first": "from", "last": "target"}):
    first: int
    last: int
    fence: int


def decode_announcement(
    incoming: httpserver.IncomingRequest,
) -> localtarget.Announcement | None:
    """Returns a server's announcement, or None if there is no valid one."""
    path = incoming.target.partition("?")[0]
    if incoming.method != "POST" or not path.startswith(names.INSTANCES):
        return None
    name_and_action = path[len(names.INSTANCES) :]
    instance, slash, action = name_and_action.rpartition("/")
    if not slash or not _INSTANCE_PATTERN.fullmatch(instance):
        return None
    if "/" + action == names.DEREGISTER:
        return localtarget.Announcement(
            instance, born_ms=_decode_birth(incoming.body), final=True
        )
    if "/" + action != names.HEARTBEAT:
        return None
    try:
        heartbeat = decoding.decode(incoming.body, _Heartbeat)
        _check(heartbeat)
    except msgspec.MsgspecError as error:
        logs.unreadable_event(
            "announcement_malformed", instance=instance, error=str(error)
        )
        return None
    return localtarget.Announcement(
        instance,
        heartbeat.service,
        heartbeat.slots,
        _LEAVING_BY_STATE[heartbeat.state],
        heartbeat.cold_remaining_ms / 1000,
        heartbeat.born,
        heartbeat.seq,
        report=heartbeatorders.HoldReport(
            tuple(heartbeatorders.HeldRange(*row) for row in heartbeat.holds),
            tuple(
                heartbeatorders.ReleasedRange(
                    first, last, _usable_handover(handover)
                )
                for first, last, handover in heartbeat.freed
            ),
        ),
    )


def _decode_birth(body: bytes) -> int:
    """Returns when a server that leaves was started, 0 if it does not say."""
    try:
        return decoding.decode(body, _Leaving).born
    except msgspec.MsgspecError:
        return 0


def _check(heartbeat: _Heartbeat) -> None:
    """Raises msgspec.ValidationError if a heartbeat names no usable server."""
    if heartbeat.state not in _LEAVING_BY_STATE:
        raise msgspec.ValidationError(f"unknown state {heartbeat.state}")
    if not config.is_address(heartbeat.address):
        raise msgspec.ValidationError(f"no address: {heartbeat.address}")
    for first, last, _ in (*heartbeat.holds, *heartbeat.freed):
        if first > last:
            raise msgspec.ValidationError(f"no range: {first} to {last}")


def _usable_handover(handover: str) -> str:
    """Returns a handover, or "" if it is too long to be stored."""
    if len(handover) <= _MAX_HANDOVER_CHARACTERS:
        return handover
    logs.unreadable_event("handover_dropped", characters=len(handover))
    return ""


def encode_heartbeat_answer(
    hold_list: heartbeatorders.HoldList | None, address: str = ""
) -> adapter.Response:
    """Returns the answer to a heartbeat.

    Handovers are left out if the answer would become too large with them: they
    only spare the server some slow seconds.

    Args:
        hold_list: What the server is to hold; None for nothing to be said.
        address: Where it is to send its later heartbeats; "" for no change.
    """
    if hold_list is None and not address:
        return adapter.Response(_STATUS_OK, [], b"")
    body = _encode_answer(hold_list, address, with_handovers=True)
    if len(body) > _MAX_ANSWER_BYTES:
        body = _encode_answer(hold_list, address, with_handovers=False)
    return adapter.Response(
        _STATUS_OK, [(b"content-type", b"application/json")], body
    )


def _encode_answer(
    hold_list: heartbeatorders.HoldList | None,
    address: str,
    with_handovers: bool,
) -> bytes:
    if hold_list is None:
        return msgspec.json.encode(_AnswerBody(heartbeat_addr=address))
    rows = [
        (
            grant.first,
            grant.last,
            grant.fence,
            grant.handover if with_handovers else "",
        )
        for grant in hold_list.grants
    ]
    return msgspec.json.encode(
        _AnswerBody(rows, int(hold_list.hold_s * 1000), address)
    )


def encode_order(order: orders.Grant | orders.Release) -> bytes:
    """Returns the bytes of a request that carries an order to the server."""
    match order:
        case orders.Grant():
            path = names.GRANT
            body = msgspec.json.encode(
                _GrantBody(
                    order.first,
                    order.last,
                    order.fence,
                    int(order.hold_s * 1000),
                    order.handover or msgspec.UNSET,
                )
            )
        case orders.Release():
            path = names.RELEASE
            body = msgspec.json.encode(
                _ReleaseBody(order.first, order.last, order.fence)
            )
    return requests.encode_json("POST", path, "target", body)


def is_order_answer(
    order: orders.Grant | orders.Release, answer: httppool.Answer
) -> bool:
    """Returns whether an answer may be the one to an order.

    Answers to orders have no id, but only those to releases have a handover.
    """
    has_handover = answer.header(names.HANDOVER) is not None
    return has_handover == isinstance(order, orders.Release)


def decode_order_answer(answer: httppool.Answer) -> orders.OrderResult:
    """Returns the result of an order from the server's answer."""
    handover = answer.header(names.HANDOVER) or b""
    return orders.OrderResult(
        answer.status == _STATUS_OK,
        answer.status == _STATUS_SUPERSEDED,
        _usable_handover(handover.decode("latin-1")),
    )
