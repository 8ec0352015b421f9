"""Defines callers' requests to services, and the messages about them.

A leg is one attempt to have a request executed by one daemon's target. A
request has several legs if the first ones fail.
"""

import msgspec

from tamarackgap import decoding, types


class Call(msgspec.Struct, array_like=True, frozen=True):
    """A caller's request, in the form in which it is handed to a target.

    Attributes:
        request_id: Id of the request, the same for all its legs.
        caller_service: Service of the VM that sent the request.
        method: HTTP method.
        request_target: Path and query.
        head: Header lines to pass on, each with its line end.
        body: Whole body.
        position: Position of its key, below `slots.POSITION_COUNT`, or None
            if it has no key.
        is_nested: Whether a target sent it for a request that it runs.
    """

    request_id: types.RequestId
    caller_service: types.ServiceName
    method: str
    request_target: str
    head: bytes
    body: bytes
    position: int | None
    is_nested: bool = False


class Dispatch(msgspec.Struct, tag="dispatch", array_like=True, frozen=True):
    """Asks a daemon to have its target execute a call.

    Attributes:
        owner: Incarnation that is asked.
        leg: Id of the leg, which the completion repeats.
        service: Service of the call.
        call: The call.
        remaining: Time until the caller's deadline, seconds.
        rank: Priority of the call; 0 is served first.
        idempotent: Whether the call may be executed twice.
        latency_objective: Time within which an answer has its full value,
            as set for the route, seconds.
        objective_remaining: What is left of the latency objective, seconds;
            negative once it has passed.
        sent: Time of sending, seconds on the sender's clock.
    """

    owner: types.Incarnation
    leg: int
    service: types.ServiceName
    call: Call
    remaining: decoding.Finite
    rank: int
    idempotent: bool
    latency_objective: decoding.Finite
    objective_remaining: decoding.Finite
    sent: decoding.Finite = 0.0


class Upload(msgspec.Struct, tag="upload", array_like=True, frozen=True):
    """Announces a call whose body follows in parts.

    Attributes:
        dispatch: The call without its body.
        size: Size of the body, bytes.
    """

    dispatch: Dispatch
    size: decoding.Count


class BodyPart(msgspec.Struct, tag="body-part", array_like=True, frozen=True):
    """Sends the next part of the body of an `Upload`.

    Attributes:
        leg: Id of the leg.
        offset: Position of its first byte in the body.
        data: The bytes.
    """

    leg: int
    offset: decoding.Count
    data: bytes


class BodyCredit(
    msgspec.Struct, tag="body-credit", array_like=True, frozen=True
):
    """Asks for further parts of the body of an `Upload`.

    Attributes:
        leg: Id of the leg.
        received: Number of bytes that have arrived.
    """

    leg: int
    received: decoding.Count


class Completion(
    msgspec.Struct, tag="completion", array_like=True, frozen=True
):
    """Reports the result of a `Dispatch`.

    Attributes:
        leg: Id of the leg.
        verdict: Whether the target executed the call.
        reason: Reason why there is no answer, or None if there is one.
        status: HTTP status of the target's answer.
        head: Header lines of the answer to pass on.
        body: Whole body of the answer.
        retry_after: Time until there is likely to be room, seconds.
        running: Number of calls at the target.
        waiting: Number of calls in the daemon's queue.
        slowdown: How long work takes at the target at this moment, as a
            multiple of the usual time; 0 if that is not known.
        took: Time from the receipt of the `Dispatch` to this message,
            seconds; 0 if it was not measured.
    """

    leg: int
    verdict: types.Verdict
    reason: types.Reason | None = None
    status: int = 0
    head: bytes = b""
    body: bytes = b""
    retry_after: decoding.Finite = 0.0
    running: int = 0
    waiting: int = 0
    slowdown: decoding.Finite = 0.0
    took: decoding.Finite = 0.0


class Withdraw(msgspec.Struct, tag="withdraw", array_like=True, frozen=True):
    """Cancels a leg, since its caller no longer waits for the answer."""

    leg: int


class TargetCrash(
    msgspec.Struct, tag="target-crash", array_like=True, frozen=True
):
    """Reports a crash of a target and the requests that it was executing.

    Attributes:
        fingerprints: Start and end of each request's execution, seconds
            before the message was sent, by the request's fingerprint: a hash
            of what it asks for. The ends differ, since executions end one
            by one.
    """

    fingerprints: dict[str, tuple[decoding.Finite, decoding.Finite]]


class FingerprintCleared(
    msgspec.Struct, tag="content-cleared", array_like=True, frozen=True
):
    """Reports that a request involved in an earlier crash was answered."""

    fingerprint: str


class RouteTableRequest(
    msgspec.Struct, tag="table-wanted", array_like=True, frozen=True
):
    """Asks a daemon with a newer route table for that table.

    Attributes:
        version: The version that is needed.
    """

    version: int = 0


class RouteTableUpdate(
    msgspec.Struct, tag="table-news", array_like=True, frozen=True
):
    """Passes a route table on.

    Attributes:
        source: The table as the operators wrote it, compressed by zlib.
    """

    source: bytes


class RouteTableHolders(
    msgspec.Struct, tag="table-holders", array_like=True, frozen=True
):
    """Names daemons that have got a route table, to one that asks for it.

    Attributes:
        addresses: Their `ip:port`.
    """

    addresses: tuple[str, ...]


class TargetLeft(
    msgspec.Struct, tag="target-left", array_like=True, frozen=True
):
    """Tells a daemon that the target of the sender has left.

    Attributes:
        process: The process of the target.
    """

    process: types.TargetProcess


class TargetLeftQuery(
    msgspec.Struct, tag="target-left-asked", array_like=True, frozen=True
):
    """Asks which processes of the sender's target have left.

    Attributes:
        process: Id of the sender's process.
        age: Time since it began to ask, seconds.
    """

    process: str = ""
    age: decoding.Finite = 0.0


class TargetLeftAnswer(
    msgspec.Struct, tag="target-left-known", array_like=True, frozen=True
):
    """Answers `TargetLeft` and `TargetLeftQuery`.

    Attributes:
        left: The last processes of the receiver's target that have left.
        is_evidence: Whether the sender can't have missed an earlier leaving.
    """

    left: tuple[types.TargetProcess, ...]
    is_evidence: bool = False


class TargetStatus(msgspec.Struct, tag="status", array_like=True, frozen=True):
    """Reports the state of a daemon and its target to other daemons.

    Attributes:
        service: Service of the target.
        accepting: Whether the target takes new calls.
        capacity: Number of calls that the target executes at once.
        running: Number of calls at the target.
        waiting: Number of calls in the daemon's queue.
        relative_latency: Usual time of a call at the target, as a fraction
            of the latency objective of its route; 0 before the first call.
        route_table_version: Version of the route table in use.
        data_centre: Data centre of the daemon.
        process: Id of the daemon's process; it is kept when the daemon
            starts a new incarnation.
        interval: Time between two reports, seconds.
        load: Requests a second for the keys that the daemon owns; None if it
            can't tell.
        route_table_as_of: Last time at which that route table was the newest,
            milliseconds on the store's clock; 0 if that is not known.
        calls_lost_before: Calls to the store that any daemon sent before this
            time may be lost, milliseconds on the store's clock; 0 if none was
            found to be.
        slowdown: How long work takes at the target at this moment, as a
            multiple of the usual time.
        speed: Work a second that the target can do, in the unit of the load;
            0 if that is not known.
        way: How late calls of other daemons arrive there, seconds.
        evacuated: Data centres whose targets are to get no calls.
        evacuated_as_of: Revision of the store at which they were; 0 if nothing
            is known.
        evacuated_era: Era of the store that gave this revision.
        left: The last processes of the target that have left.
    """

    service: types.ServiceName
    accepting: bool
    capacity: int
    running: int
    waiting: int
    relative_latency: decoding.Finite
    route_table_version: int
    data_centre: types.DataCentre
    process: str
    interval: decoding.Finite
    load: decoding.Finite | None = None
    route_table_as_of: decoding.Count = 0
    calls_lost_before: decoding.Count = 0
    slowdown: decoding.Finite = 1.0
    speed: decoding.Finite = 0.0
    way: decoding.Finite = 0.0
    evacuated: tuple[types.DataCentre, ...] = ()
    evacuated_as_of: decoding.Count = 0
    evacuated_era: decoding.Count = 0
    left: tuple[types.TargetProcess, ...] = ()


class HeardStatus(msgspec.Struct, array_like=True, frozen=True):
    """A daemon's status that another daemon has heard.

    Attributes:
        incarnation: Incarnation that reported it.
        address: `ip:port` of that daemon.
        age: Time since it was heard, seconds.
        status: The status.
    """

    incarnation: str
    address: str
    age: decoding.Finite
    status: TargetStatus


class StatusDigest(msgspec.Struct, tag="digest", array_like=True, frozen=True):
    """Reports the states that the daemons of a data centre have reported.

    Attributes:
        statuses: The states.
        passes_on: Whether the receiver passes the digest on to the daemons of
            its own data centre.
    """

    statuses: tuple[HeardStatus, ...]
    passes_on: bool
