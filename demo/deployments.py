"""The two users' deployments, with the sizes from their requirements."""

import msgspec


class Service(msgspec.Struct, frozen=True):
    """A service and the targets that run it.

    Attributes:
        name: Name of the service.
        target_count: Number of targets.
        checks_grants: Whether its targets check that the daemon that hands
            over a request holds a valid grant.
    """

    name: str
    target_count: int
    checks_grants: bool


class Operation(msgspec.Struct, frozen=True):
    """A kind of request that callers send.

    Attributes:
        service: Service that gets the request.
        method: HTTP method; requests with GET are idempotent.
        path: Path below the path of the service.
        share: Weight of this kind of request in the load.
        urgent: False for reports, which may wait.
    """

    service: str
    method: str
    path: str
    share: int
    urgent: bool = True


class Deployment(msgspec.Struct, frozen=True):
    """Sizes and services of one user's deployment.

    Attributes:
        name: Name of the deployment.
        data_centres: Data centres over which each service is spread.
        slots: Number of operations that a target runs at once.
        connections: Number of connections that a target accepts.
        services: Services of the deployment.
        operations: Kinds of requests that make up the load.
    """

    name: str
    data_centres: tuple[str, ...]
    slots: int
    connections: int
    services: tuple[Service, ...]
    operations: tuple[Operation, ...]


ASSOCIATION = Deployment(
    name="association",
    data_centres=("meseta-1", "meseta-2", "meseta-3"),
    slots=12,
    connections=130,
    services=(
        Service("catalogue", 4, False),
        Service("reservations", 3, True),
        Service("payments", 5, True),
    ),
    operations=(
        Operation("catalogue", "GET", "browse", 55),
        Operation("reservations", "POST", "reserve", 20),
        Operation("payments", "POST", "pay", 15),
        Operation("payments", "GET", "waitlist", 8),
        Operation("payments", "GET", "roster", 2, False),
    ),
)

RENTALS = Deployment(
    name="rentals",
    data_centres=("central-1", "central-2", "central-3"),
    slots=6,
    connections=60,
    services=(
        Service("racks", 4, False),
        Service("deposits", 3, True),
        Service("bookings", 3, False),
    ),
    operations=(
        Operation("racks", "GET", "stock", 60),
        Operation("deposits", "POST", "charge", 15),
        Operation("bookings", "POST", "book", 15),
        Operation("bookings", "POST", "fit", 8),
        Operation("bookings", "GET", "return-report", 2, False),
    ),
)
