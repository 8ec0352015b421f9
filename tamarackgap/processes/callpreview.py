"""Tells where a request would be sent now, and why, without sending it."""

import msgspec

from tamarackgap.ownership import ownership, reports
from tamarackgap.placement import slots
from tamarackgap.scheduling import zonepolicy
from tamarackgap.traffic import dispatcher, routetable


class Target(msgspec.Struct, frozen=True):
    """What is known of a target that could run the request.

    Attributes:
        incarnation: The incarnation of its daemon.
        data_centre: Its data centre.
        usable: Whether it takes new calls and has been heard from lately.
        load: Calls there, running, waiting and sent since.
        capacity: Number of calls that it runs at once.
        load_age_ms: Age of that load; None if it was never reported.
        answer_ms: Expected time until its answer arrives.
        value: What that is worth to the caller; 1 for an answer in time.
    """

    incarnation: str
    data_centre: str
    usable: bool
    load: int
    capacity: int
    load_age_ms: int | None
    answer_ms: float
    value: float


class Preview(msgspec.Struct, frozen=True):
    """Where a request would be sent.

    Attributes:
        route: The route that it matches.
        service: The service that would run it.
        other_services: Services that get other requests of the route.
        objective_ms: Latency objective of the route.
        owner: The owner of its key; None if the service has no keys.
        near: The best target of this data centre; its owner's, if it has one.
        far: The best target elsewhere; None if the service has keys.
        gain: What the caller gains if the request leaves, as a share of the
            value of an answer in time.
        cost: What its bytes cost, as a share of the same.
        leaving_share: Share of such requests that leave the data centre.
        targets: All known targets that could run it, the best first.
    """

    route: str
    service: str
    other_services: tuple[str, ...]
    objective_ms: int
    owner: reports.Explanation | None
    near: str
    far: str
    gain: float
    cost: float
    leaving_share: float
    targets: tuple[Target, ...]


def preview(
    core: ownership.Ownership,
    request_dispatcher: dispatcher.Dispatcher,
    route: routetable.Route,
    key: str | None,
    body_bytes: int,
    now: float,
) -> Preview:
    """Returns where a request would be sent if it arrived now.

    Args:
        core: The daemon's ownership protocol.
        request_dispatcher: Knows the targets and what was measured.
        route: The route that the request matches.
        key: Position of its key as text; None if it has none.
        body_bytes: Size of its body, bytes.
        now: Monotonic time, seconds.

    Raises:
        KeyError: If the service's slots are not known.
        ValueError: If the service has keys and the key is not one.
    """
    service = max(route.shares, key=lambda share: share.weight).service
    zones = request_dispatcher.zones
    needs = zonepolicy.CallNeeds(
        route.latency_objective,
        route.latency_objective,
        route.timeout,
        body_bytes,
        zones.sizes.usual(service),
    )
    owner = None
    candidates = request_dispatcher.targets_of(service)
    if request_dispatcher.is_keyed(service):
        owner = _find_owner(core, service, key, now)
        candidates = [
            candidate
            for candidate in candidates
            if candidate.incarnation == owner.owner
        ]
    options = zones.options(candidates, needs, core.incarnation, now)
    near = _best(options, True)
    far = _best(options, False)
    decision = zonepolicy.Decision(0.0, 0.0, 0.0)
    if near is not None and far is not None:
        age = max(option.candidate.load(now).age for option in (near, far))
        decision = zonepolicy.decide(
            near.end, far.end, needs, zones.price_per_megabyte, age
        )
    elif far is not None:
        decision = zonepolicy.Decision(far.value, 0.0, 1.0)
    return Preview(
        route.name,
        service,
        tuple(
            share.service for share in route.shares if share.service != service
        ),
        round(route.latency_objective * 1000),
        owner,
        near.candidate.incarnation if near else "",
        far.candidate.incarnation if far else "",
        round(decision.gain, 3),
        round(decision.cost, 3),
        round(decision.share, 3),
        tuple(_describe(option, now) for option in options),
    )


def _find_owner(
    core: ownership.Ownership, service: str, key: str | None, now: float
) -> reports.Explanation:
    position = int(key or "")
    if not 0 <= position < slots.POSITION_COUNT:
        raise ValueError(
            f"key {position} is negative or not below {slots.POSITION_COUNT}"
        )
    slot = slots.slot_of_position(position, reports.slot_count(core, service))
    return reports.explanation(core, service, str(position), slot, now)


def _best(
    options: list[zonepolicy.Option], is_near: bool
) -> zonepolicy.Option | None:
    return next(
        (
            option
            for option in options
            if option.usable and option.is_near is is_near
        ),
        None,
    )


def _describe(option: zonepolicy.Option, now: float) -> Target:
    candidate = option.candidate
    is_known = candidate.last_heard > float("-inf")
    return Target(
        candidate.incarnation,
        candidate.data_centre,
        option.usable,
        candidate.reported_load + candidate.sent_since_report,
        candidate.capacity,
        round((now - candidate.last_heard) * 1000) if is_known else None,
        round(option.end * 1000, 1),
        round(option.value, 3),
    )
