"""Holds the requests that this daemon has received and not answered yet."""

from collections.abc import Callable

import msgspec

from tamarackgap import logs, types
from tamarackgap.network import scheduler
from tamarackgap.peers import calls
from tamarackgap.scheduling import balancer, zonepolicy
from tamarackgap.traffic import routetable

_DEFAULT_RETRY_S = 0.1

DoneCallback = Callable[[calls.Completion], None]


class PendingRequest(msgspec.Struct, eq=False):
    """Holds a caller's request that has not been answered yet.

    Attributes:
        call: The request as it is handed to targets.
        route: The route that it matched.
        service: The service that is to run it.
        received_at: Monotonic time at which it was received, seconds.
        deadline: Monotonic time by which it must be answered, seconds.
        on_done: Called once with the completion; None after that.
        leg: Id of the current leg; 0 if there is none.
        leg_sent_at: Monotonic time at which the last leg was sent, seconds.
        candidate: The target that the last leg was sent to.
        tried: Incarnations that a leg was sent to.
        runs: Number of legs that may have reached a target.
        may_have_run: Whether any leg may have been executed.
        timer: Fires at the deadline.
        last_completion: The completion of the last leg that did not end the
            request.
        earlier_legs: Legs at daemons that fell silent; an answer to one of
            them is still passed on.
    """

    call: calls.Call
    route: routetable.Route
    service: types.ServiceName
    received_at: float
    deadline: float
    on_done: DoneCallback | None
    leg: int = 0
    leg_sent_at: float = 0.0
    candidate: balancer.Candidate | None = None
    tried: frozenset[str] = frozenset()
    runs: int = 0
    may_have_run: bool = False
    timer: scheduler.Timer | None = None
    last_completion: calls.Completion | None = None
    earlier_legs: tuple[int, ...] = ()


def dispatch(
    pending: PendingRequest,
    owner: str,
    leg: int,
    way_back: float,
    now: float,
) -> calls.Dispatch:
    """Returns the message that has a request executed.

    Args:
        pending: The request.
        owner: The incarnation that is asked.
        leg: Id of the leg.
        way_back: Time that the answer is likely to need to this daemon; the
            owner gets as much less, seconds.
        now: Monotonic time, seconds.
    """
    route = pending.route
    return calls.Dispatch(
        owner=types.Incarnation(owner),
        leg=leg,
        service=pending.service,
        call=pending.call,
        remaining=pending.deadline - way_back - now,
        rank=route.rank,
        idempotent=route.idempotent,
        latency_objective=route.latency_objective,
        objective_remaining=pending.received_at
        + route.latency_objective
        - way_back
        - now,
        sent=now,
    )


def final_completion(
    pending: PendingRequest,
    reason: types.Reason | None,
    may_have_run: bool,
    retry_after: float = 0.0,
) -> calls.Completion:
    """Returns the completion of a request that ends without an answer.

    Args:
        pending: The request.
        reason: Why it ends.
        may_have_run: Whether its last leg may have been executed.
        retry_after: Seconds after which the caller may try again; 0 for
            the default.
    """
    if pending.last_completion is not None and (
        pending.last_completion.verdict is types.Verdict.ANSWERED
    ):
        # A 5xx answer from a target says more than a reason of the router.
        return pending.last_completion
    may_have_run = may_have_run or pending.may_have_run
    verdict = (
        types.Verdict.MAY_HAVE_RUN if may_have_run else types.Verdict.NOT_RUN
    )
    return calls.Completion(
        pending.leg,
        verdict,
        reason,
        retry_after=0.0 if may_have_run else retry_after or _DEFAULT_RETRY_S,
    )


def needs(
    pending: PendingRequest, answer_bytes: float, now: float
) -> zonepolicy.CallNeeds:
    """Returns what the caller of a request waits for.

    Args:
        pending: The request.
        answer_bytes: Expected size of its answer, bytes.
        now: Monotonic time, seconds.
    """
    objective = pending.route.latency_objective
    return zonepolicy.CallNeeds(
        objective,
        pending.received_at + objective - now,
        pending.deadline - now,
        len(pending.call.body),
        answer_bytes,
    )


def log_leaving(pending: PendingRequest, choice: zonepolicy.Choice) -> None:
    """Logs why a request is sent to another data centre."""
    decision = choice.decision
    logs.request_event(
        "call_sent_to_other_zone",
        False,
        request=pending.call.request_id,
        service=pending.service,
        to=choice.candidate.data_centre,
        here_ms=round(choice.end_here * 1000, 1),
        there_ms=round(choice.end_there * 1000, 1),
        gain=round(decision.gain, 3) if decision else None,
        cost=round(decision.cost, 3) if decision else None,
        share=round(decision.share, 3) if decision else None,
        age_ms=round(choice.age * 1000),
    )


def log(
    pending: PendingRequest,
    completion: calls.Completion,
    now: float,
    revision: int,
) -> None:
    """Logs the completion of a request.

    Args:
        pending: The request.
        completion: Its completion.
        now: Monotonic time, seconds.
        revision: Revision of the table that this daemon has read.
    """
    candidate = pending.candidate
    reason = completion.reason
    logs.request_event(
        "request",
        completion.verdict is not types.Verdict.ANSWERED,
        request=pending.call.request_id,
        route=pending.route.name,
        rank=pending.route.rank,
        service=pending.service,
        position=pending.call.position,
        owner=candidate.incarnation if candidate else "",
        revision=revision,
        load=candidate.reported_load + candidate.sent_since_report
        if candidate
        else 0,
        load_age_ms=(
            round((now - candidate.last_heard) * 1000) if candidate else 0
        ),
        runs=pending.runs,
        verdict=completion.verdict.value,
        reason=reason.value if reason else "",
        status=completion.status,
        ms=round((now - pending.received_at) * 1000, 1),
    )
