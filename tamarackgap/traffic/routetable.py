"""Holds the operators' route table and finds the route of a request."""

import enum

import msgspec

from tamarackgap import types
from tamarackgap.network import httpserver


class WeightedService(msgspec.Struct, frozen=True):
    """Holds the weight of a service among the services of a route."""

    service: types.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Defines how requests for one host below one path are handled.

    Attributes:
        name: The route's name.
        host: The host that requests name.
        prefix: The beginning of their paths; it ends with a slash.
        shares: The services that run the requests, with their weights.
        idempotent: Whether a request may run more than once.
        timeout: Longest time to an answer, seconds.
        latency_objective: Time within which an answer is of full use, seconds.
        max_attempts: Largest number of targets that one request may reach.
        rank: Priority of the requests; 0 goes first.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[WeightedService, ...]
    idempotent: bool
    timeout: float
    latency_objective: float
    max_attempts: int
    rank: int


class GrantChannel(enum.Enum):
    """How targets are granted keys."""

    # By calls to the target.
    CALL = "call"
    # With the answers to the target's heartbeats.
    HEARTBEAT = "heartbeat"


class Service(msgspec.Struct, frozen=True):
    """Holds the operators' settings of a service.

    Attributes:
        name: The service's name.
        keyed: Whether each key has one owner among the service's targets.
        max_connections: Largest number of connections that a target accepts.
        grant_channel: How its targets are granted keys; None if not given.
        cold_rate: Calls per second that a cold target bears; 0 for no limit.
    """

    name: types.ServiceName
    keyed: bool
    max_connections: int
    grant_channel: GrantChannel | None = None
    cold_rate: float = 0.0


class RouteTable(msgspec.Struct, frozen=True):
    """Holds one version of the operators' configuration.

    Attributes:
        version: Number that rises with each change.
        routes: All routes.
        services: All services, by name.
        limits: Limits for the requests of callers.
        source: The bytes that the table was read from, which are passed on to
            other daemons.
        is_complete: Whether all that the operators wrote could be read.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[types.ServiceName, Service]
    limits: httpserver.Limits
    source: bytes = b""
    is_complete: bool = True


class RouteIndex:
    """Finds routes by host and longest path prefix."""

    def __init__(self, table: RouteTable) -> None:
        """Builds the index of a table."""
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            by_prefix = self._hosts.setdefault(route.host.lower(), {})
            by_prefix[route.prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """Returns the route of a request, or None if there is none.

        Args:
            host: The request's host, without port; case is ignored.
            target: The request's path, with or without query.
        """
        by_prefix = self._hosts.get(host.lower())
        if by_prefix is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class WeightedRoundRobin:
    """Distributes the requests of a route among its services by weight.

    The shares are kept after any number of requests, not only in the long run.
    """

    def __init__(self) -> None:
        # Credit of each service, by route. Each request adds the weights and
        # takes their sum from the chosen service.
        self._credits: dict[str, dict[str, float]] = {}

    def pick(self, route: Route) -> types.ServiceName:
        """Returns the service that runs the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credits = self._credits.get(route.name)
        services = {share.service for share in route.shares}
        if credits is None or credits.keys() != services:
            credits = dict.fromkeys(services, 0.0)
            self._credits[route.name] = credits
        total = 0.0
        for share in route.shares:
            credits[share.service] += share.weight
            total += share.weight
        chosen = max(route.shares, key=lambda share: credits[share.service])
        credits[chosen.service] -= total
        return chosen.service
