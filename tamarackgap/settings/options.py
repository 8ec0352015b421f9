"""All settings, in one table."""

import enum

import msgspec


class Kind(enum.Enum):
    """How a setting's text is read."""

    NAME = "name of letters, digits, '.', '_' and '-'"
    ADDRESS = "ip:port"
    INTEGER = "whole number"
    PATH = "file path"


class Option(msgspec.Struct, frozen=True):
    """One setting.

    Attributes:
        section: Its section in the file.
        name: Its name there.
        kind: How its text is read.
        help: What it does, for the documentation.
        default: Its value where the file has none; None must be given.
        minimum: Least value of a number.
        maximum: Greatest value of a number.
        unit: Unit of a number.
    """

    section: str
    name: str
    kind: Kind
    help: str
    default: str | int | None = None
    minimum: int = 0
    maximum: int = 0
    unit: str = ""

    @property
    def field(self) -> str:
        """Name of the field of `config.Config` that holds the value."""
        return f"{self.section}_{self.name}"

    @property
    def expected(self) -> str:
        """What a valid value is, in words."""
        if self.kind is not Kind.INTEGER:
            return self.kind.value
        return (
            f"{self.kind.value} of {self.minimum} to {self.maximum} {self.unit}"
        )


def _number(
    section: str,
    name: str,
    default: int,
    minimum: int,
    maximum: int,
    unit: str,
    text: str,
) -> Option:
    return Option(
        section,
        name,
        Kind.INTEGER,
        text,
        default,
        minimum,
        maximum,
        unit.strip(),
    )


OPTIONS: tuple[Option, ...] = (
    Option(
        "daemon",
        "deployment",
        Kind.NAME,
        "daemons of other deployments are not listened to",
    ),
    Option("daemon", "name", Kind.NAME, "kept over restarts"),
    Option("daemon", "service", Kind.NAME, "service of the target beside it"),
    Option("daemon", "data_centre", Kind.NAME, "where the VM stands"),
    Option("daemon", "http_address", Kind.ADDRESS, "for callers and operators"),
    Option("daemon", "peer_address", Kind.ADDRESS, "for other daemons"),
    Option(
        "daemon",
        "log",
        Kind.PATH,
        "where log lines go; '-' is standard error, 'stdout' standard output",
        "-",
    ),
    Option(
        "router",
        "announce_address",
        Kind.ADDRESS,
        "where the target announces itself",
        "",
    ),
    Option(
        "router",
        "ready_address",
        Kind.ADDRESS,
        "where it is asked whether the daemon is ready",
        "",
    ),
    Option(
        "router",
        "metrics_address",
        Kind.ADDRESS,
        "where metrics and state are read",
        "",
    ),
    Option(
        "router",
        "target_address",
        Kind.ADDRESS,
        "where the target takes requests and orders",
        "",
    ),
    _number(
        "router",
        "announce_interval",
        1000,
        10,
        60_000,
        "ms",
        "time between two announcements of a target",
    ),
    _number(
        "router",
        "longest_hold",
        10_000,
        100,
        600_000,
        "ms",
        "longest time for which a target takes keys",
    ),
    _number(
        "router",
        "grace",
        6000,
        100,
        600_000,
        "ms",
        "time from SIGTERM to SIGKILL",
    ),
    _number(
        "router",
        "reruns",
        20,
        0,
        1000,
        "percent",
        "arrivals at a service beyond the first of each request, as a share"
        " of its requests, for all daemons together",
    ),
    _number(
        "router",
        "extra_reruns",
        0,
        0,
        1_000_000,
        "requests",
        "such arrivals that are allowed besides",
    ),
    Option("table", "address", Kind.ADDRESS, "the platform's table service"),
    _number("table", "poll", 500, 50, 60_000, "ms", "time between two reads"),
    _number("table", "timeout", 2000, 50, 60_000, "ms", "longest wait for it"),
    _number(
        "ownership",
        "slots",
        256,
        1,
        65_536,
        "slots",
        "a power of two; counts only when the service is founded",
    ),
    _number("ownership", "lease", 600, 100, 60_000, "ms", "length of a grant"),
    _number(
        "ownership",
        "linger",
        150,
        0,
        60_000,
        "ms",
        "longest run past the lease's end at a target that does not check"
        " grants",
    ),
    _number(
        "ownership",
        "drift",
        10_000,
        0,
        200_000,
        "millionths",
        "largest relative error between two VMs' clocks",
    ),
    _number("ownership", "witnesses", 3, 1, 9, "daemons", "an odd number"),
    _number(
        "ownership",
        "settle",
        1500,
        0,
        60_000,
        "ms",
        "time before a new service's slots are given out",
    ),
    _number(
        "ownership",
        "batch",
        64,
        1,
        4096,
        "slots",
        "most slots handed over in one transaction",
    ),
    _number(
        "ownership",
        "anchor",
        0,
        0,
        3_600_000,
        "ms",
        "an owner that has not read the table for so long stops; owner and"
        " witnesses lost together are succeeded after it; 0: never",
    ),
    _number(
        "target",
        "silence",
        2000,
        100,
        60_000,
        "ms",
        "age of the last announcement at which a target counts as absent",
    ),
    _number(
        "requests",
        "deadline",
        5000,
        1,
        600_000,
        "ms",
        "for callers that give none",
    ),
    _number(
        "requests",
        "body",
        1_048_576,
        0,
        67_108_864,
        "bytes",
        "largest request body",
    ),
    _number(
        "requests",
        "answer",
        4_194_304,
        1024,
        67_108_864,
        "bytes",
        "largest answer of a target",
    ),
    _number(
        "requests",
        "patience",
        10_000,
        100,
        600_000,
        "ms",
        "longest time for a whole request to come in",
    ),
    _number("requests", "key", 512, 1, 8192, "bytes", "longest key"),
    _number(
        "requests",
        "window",
        120_000,
        1000,
        3_600_000,
        "ms",
        "how long ids of non-idempotent requests are remembered",
    ),
    _number(
        "requests",
        "remembered",
        100_000,
        100,
        10_000_000,
        "ids",
        "most ids remembered; older ones count as unknown",
    ),
    _number(
        "requests",
        "skew",
        500,
        0,
        60_000,
        "ms",
        "largest difference between callers' and daemons' wall clocks",
    ),
    _number(
        "requests",
        "retries",
        20,
        0,
        1000,
        "percent",
        "legs sent again, as a share of requests",
    ),
)
