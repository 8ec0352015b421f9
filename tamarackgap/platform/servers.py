"""Decodes announcements of the local server, and encodes orders to it."""

import msgspec

from tamarackgap import logs
from tamarackgap.network import httppool, httpserver
from tamarackgap.platform import names, requests
from tamarackgap.traffic import localtarget, slotgrants

_STATUS_OK = 200
_STATUS_SUPERSEDED = 409
_LEAVING_BY_STATE = {"ready": False, "draining": True}


class _Heartbeat(msgspec.Struct):
    service: str
    slots: int
    state: str
    seq: int
    cold_remaining_ms: float = 0.0
    # Start of the server process, Unix time in milliseconds.
    born: int = 0


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
    if not instance or not slash:
        return None
    if "/" + action == names.DEREGISTER:
        return localtarget.Announcement(instance, final=True)
    if "/" + action != names.HEARTBEAT:
        return None
    try:
        heartbeat = msgspec.json.decode(incoming.body, type=_Heartbeat)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        logs.event("announcement_malformed", error=str(error))
        return None
    if heartbeat.state not in _LEAVING_BY_STATE:
        logs.event(
            "announcement_malformed", error=f"unknown state {heartbeat.state}"
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
    )


def encode_order(order: slotgrants.Grant | slotgrants.Release) -> bytes:
    """Returns the bytes of a request that carries an order to the server."""
    match order:
        case slotgrants.Grant():
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
        case slotgrants.Release():
            path = names.RELEASE
            body = msgspec.json.encode(
                _ReleaseBody(order.first, order.last, order.fence)
            )
    return requests.encode_json("POST", path, "target", body)


def decode_order_answer(answer: httppool.Answer) -> slotgrants.OrderResult:
    """Returns the result of an order from the server's answer."""
    handover = answer.header(names.HANDOVER) or b""
    return slotgrants.OrderResult(
        answer.status == _STATUS_OK,
        answer.status == _STATUS_SUPERSEDED,
        handover.decode("latin-1"),
    )
