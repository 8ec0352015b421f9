"""The server beside this daemon: what it announces, and orders to it."""

import msgspec

from tamarackgap import logs
from tamarackgap.network import httppool, httpserver
from tamarackgap.platform import names, requests
from tamarackgap.traffic import localtarget, slotgrants

_OK = 200
_SUPERSEDED = 409
_STATES = {"ready": False, "draining": True}


class _Heartbeat(msgspec.Struct):
    service: str
    slots: int
    state: str
    seq: int
    cold_remaining_ms: float = 0.0
    # Unix milliseconds of this life's start.
    born: int = 0


class _GrantBody(msgspec.Struct, rename={"first": "from", "last": "target"}):
    # "target" is the last key of the range, not a server.
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
    """Returns what a server says of itself, or None for anything else."""
    path = incoming.target.partition("?")[0]
    if incoming.method != "POST" or not path.startswith(names.INSTANCES):
        return None
    rest = path[len(names.INSTANCES) :]
    instance, slash, verb = rest.rpartition("/")
    if not instance or not slash:
        return None
    if "/" + verb == names.DEREGISTER:
        return localtarget.Announcement(instance, final=True)
    if "/" + verb != names.HEARTBEAT:
        return None
    try:
        said = msgspec.json.decode(incoming.body, type=_Heartbeat)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        logs.event("announcement_malformed", error=str(error))
        return None
    if said.state not in _STATES:
        logs.event("announcement_malformed", error=f"state {said.state}")
        return None
    return localtarget.Announcement(
        instance,
        said.service,
        said.slots,
        _STATES[said.state],
        said.cold_remaining_ms / 1000,
        said.born,
        said.seq,
    )


def encode_order(order: slotgrants.Grant | slotgrants.Release) -> bytes:
    """Returns the bytes of an order to the server beside this daemon."""
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
    """Returns what a server's answer to an order means."""
    handover = answer.header(names.HANDOVER) or b""
    return slotgrants.OrderResult(
        answer.status == _OK,
        answer.status == _SUPERSEDED,
        handover.decode("latin-1"),
    )
