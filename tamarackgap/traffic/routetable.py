"""The operators' routes, services and limits, and how a request finds one."""

import msgspec

from tamarackgap import types
from tamarackgap.network import httpserver


class Share(msgspec.Struct, frozen=True):
    """A service's part of a route's requests."""

    service: types.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """How requests of one host below one path are handled.

    Attributes:
        name: The route's name.
        host: Host of the requests.
        prefix: Their paths begin with it; it ends with a slash.
        shares: Services, with the parts of the requests that they get.
        idempotent: Whether a request may run more than once.
        timeout: Longest time to an answer, seconds.
        latency_objective: Time within which an answer is of full use, seconds.
        max_attempts: Most targets that one request may be handed to.
        rank: 0 is served first.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    idempotent: bool
    timeout: float
    latency_objective: float
    max_attempts: int
    rank: int


class Service(msgspec.Struct, frozen=True):
    """What the operators say of a service.

    Attributes:
        name: Its name.
        keyed: Whether each key has one owner among its targets.
        max_connections: Most connections that a target accepts.
    """

    name: types.ServiceName
    keyed: bool
    max_connections: int


class RouteTable(msgspec.Struct, frozen=True):
    """One version of everything that the operators have set.

    Attributes:
        version: Rises with each change.
        routes: All routes.
        services: All services, by name.
        limits: Bounds on what callers may send.
        source: The bytes it was read from, to pass on to other daemons.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[types.ServiceName, Service]
    limits: httpserver.Limits
    source: bytes = b""


class RouteIndex:
    """Finds routes by host and longest path prefix."""

    def __init__(self, table: RouteTable) -> None:
        """Builds the index of a table."""
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            by_prefix = self._hosts.setdefault(route.host.lower(), {})
            by_prefix[route.prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """Returns the route of a request, or None.

        Args:
            host: The request's host, without port.
            target: Its path, with or without query.
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
    """Spreads a route's requests over its shares, evenly at every length."""

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def pick(self, route: Route) -> types.ServiceName:
        """Returns the service that gets the route's next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credits = self._credits.get(route.name)
        wanted = {share.service for share in route.shares}
        if credits is None or credits.keys() != wanted:
            credits = dict.fromkeys(wanted, 0.0)
            self._credits[route.name] = credits
        total = 0.0
        for share in route.shares:
            credits[share.service] += share.weight
            total += share.weight
        chosen = max(route.shares, key=lambda share: credits[share.service])
        credits[chosen.service] -= total
        return chosen.service
