"""What a caller asks for, and what becomes of it on the way."""

import msgspec

from tamarackgap import types


class Call(msgspec.Struct, array_like=True, frozen=True):
    """A caller's request, as it is handed to a target.

    Attributes:
        request_id: Its id.
        caller_service: Service of the VM where it began.
        method: HTTP method.
        request_target: Path and query.
        head: Header lines to pass on, each with its line end.
        body: The body.
        position: Position of its key, below `slots.POSITION_COUNT`, or None.
    """

    request_id: types.RequestId
    caller_service: types.ServiceName
    method: str
    request_target: str
    head: bytes
    body: bytes
    position: int | None


class Dispatch(msgspec.Struct, tag="dispatch", array_like=True, frozen=True):
    """A call on its way to a daemon whose target is to run it.

    Attributes:
        owner: The incarnation that is asked.
        leg: Id of this leg; the completion carries it.
        service: The service that is to run it.
        call: The call.
        remaining: Seconds until the caller's deadline.
        rank: 0 is served first.
        idempotent: Whether running it twice does no harm.
        latency_objective: Time within which the route's answers are of full
            use, seconds.
        objective_remaining: What is left of it, seconds; negative where it has
            passed.
    """

    owner: types.Incarnation
    leg: int
    service: types.ServiceName
    call: Call
    remaining: float
    rank: int
    idempotent: bool
    latency_objective: float
    objective_remaining: float


class Completion(
    msgspec.Struct, tag="completion", array_like=True, frozen=True
):
    """What became of a `Dispatch`.

    Attributes:
        leg: The leg's id.
        verdict: Whether the target ran it.
        reason: Why there is no answer; None where there is one.
        status: The target's HTTP status, where it answered.
        head: The answer's header lines to pass on.
        body: The target's whole body.
        retry_after: When there will be room, seconds from now.
        running: Calls at the target.
        waiting: Calls in the daemon's queue.
    """

    leg: int
    verdict: types.Verdict
    reason: types.Reason | None = None
    status: int = 0
    head: bytes = b""
    body: bytes = b""
    retry_after: float = 0.0
    running: int = 0
    waiting: int = 0


class Withdraw(msgspec.Struct, tag="withdraw", array_like=True, frozen=True):
    """The caller no longer waits for a leg."""

    leg: int


class TargetCrash(
    msgspec.Struct, tag="target-crash", array_like=True, frozen=True
):
    """A target crashed while it ran these contents.

    Attributes:
        fingerprints: Their fingerprints, each with its run's begin and end in
            seconds before the message was sent. Runs end one by one.
    """

    fingerprints: dict[str, tuple[float, float]]


class ContentCleared(
    msgspec.Struct, tag="content-cleared", array_like=True, frozen=True
):
    """A content that was at a crash has been answered since."""

    fingerprint: str


class RouteTableRequest(
    msgspec.Struct, tag="table-wanted", array_like=True, frozen=True
):
    """A daemon asks another for its newer route table."""


class RouteTableUpdate(
    msgspec.Struct, tag="table-news", array_like=True, frozen=True
):
    """A route table, passed on as the operators wrote it."""

    source: bytes


class TargetStatus(msgspec.Struct, tag="status", array_like=True, frozen=True):
    """What a daemon tells the others of itself and its target.

    Attributes:
        service: The target's service.
        accepting: Whether the target takes new calls.
        capacity: Calls that the target runs at once.
        running: Calls at the target.
        waiting: Calls in the daemon's queue.
        relative_latency: Usual time of a call at the target, as a part of its
            route's latency objective; 0 where it has served none.
        version: Version of the route table in force there.
        data_centre: Where the daemon stands.
        process: Id of the process, the same for all its incarnations.
        interval: How often it tells this, seconds.
    """

    service: types.ServiceName
    accepting: bool
    capacity: int
    running: int
    waiting: int
    relative_latency: float
    version: int
    data_centre: types.DataCentre
    process: str
    interval: float
