"""The two users' deployments, as the brief gives their sizes."""

import msgspec


class Service(msgspec.Struct, frozen=True):
    """One service.

    Attributes:
        name: Its name.
        target_count: Number of targets.
        checks_grants: Whether its targets check who gives them an order.
    """

    name: str
    target_count: int
    checks_grants: bool


class Operation(msgspec.Struct, frozen=True):
    """A kind of request.

    Attributes:
        service: The service that it goes to.
        method: HTTP method; GET is idempotent.
        path: Path below the service.
        share: Its share of the load.
        urgent: False where it can wait.
    """

    service: str
    method: str
    path: str
    share: int
    urgent: bool = True


class Deployment(msgspec.Struct, frozen=True):
    """One user's deployment."""

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
