"""Lists all settings with their types, limits, defaults and help texts."""

import enum

import msgspec


class Kind(enum.Enum):
    """The type of a setting, described by its enum value in error messages."""

    NAME = "name of letters, digits, '.', '_' and '-'"
    ADDRESS = "ip:port"
    INTEGER = "whole number"
    NUMBER = "number"
    PATH = "file path"
    CHOICE = "one of"


class Option(msgspec.Struct, frozen=True):
    """Describes one setting.

    Attributes:
        section: Section of the settings file.
        name: Name within the section.
        kind: Type of the value.
        help: Meaning of the setting, for the documentation.
        default: Value if the file has none, or None if the file must give one.
            It is also used for a number that is left empty.
        minimum: Smallest valid value of an integer or number.
        maximum: Largest valid value of an integer or number.
        unit: Unit of an integer or number.
        choices: Valid values of a choice.
        rendered: Whether a platform fills the value in. The default is then
            used in place of a value that can't be, and fractions of integers
            are rounded down: a field in an unforeseen form must not keep
            daemons from starting.
    """

    section: str
    name: str
    kind: Kind
    help: str
    default: str | int | float | None = None
    minimum: int = 0
    maximum: int = 0
    unit: str = ""
    choices: tuple[str, ...] = ()
    rendered: bool = False

    @property
    def field(self) -> str:
        """Name of the field of `config.Config` that holds the value."""
        return f"{self.section}_{self.name}"

    @property
    def expected(self) -> str:
        """Description of the valid values, for error messages."""
        if self.kind is Kind.CHOICE:
            return f"{self.kind.value} {', '.join(self.choices)}"
        if self.kind not in (Kind.INTEGER, Kind.NUMBER):
            return self.kind.value
        return (
            f"{self.kind.value} of {self.minimum} to {self.maximum} {self.unit}"
        )


def _integer_option(
    section: str,
    name: str,
    default: int,
    minimum: int,
    maximum: int,
    unit: str,
    help_text: str,
    rendered: bool = False,
) -> Option:
    return Option(
        section,
        name,
        Kind.INTEGER,
        help_text,
        default,
        minimum,
        maximum,
        unit.strip(),
        rendered=rendered,
    )


OPTIONS: tuple[Option, ...] = (
    Option(
        "daemon",
        "deployment",
        Kind.NAME,
        "messages from daemons of other deployments are ignored",
    ),
    Option("daemon", "name", Kind.NAME, "stays the same across restarts"),
    Option("daemon", "service", Kind.NAME, "service of the local target"),
    Option("daemon", "data_centre", Kind.NAME, "data centre of the VM"),
    Option("daemon", "http_address", Kind.ADDRESS, "for callers and operators"),
    Option("daemon", "peer_address", Kind.ADDRESS, "for other daemons"),
    Option(
        "daemon",
        "log",
        Kind.PATH,
        "file for log lines; '-' is standard error, 'stdout' standard output",
        "-",
    ),
    _integer_option(
        "daemon",
        "memory",
        0,
        0,
        1_048_576,
        "MB",
        "memory that the platform allows the process; a third of it is for"
        " messages under way. 0: not known; 96 MB are for them",
        rendered=True,
    ),
    _integer_option(
        "daemon",
        "link",
        0,
        0,
        1_000_000,
        "Mbit/s",
        "rate of the VM's link, on which rows and states wait for answers and"
        " leases. 0: not known; nothing waits",
        rendered=True,
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
        "where the readiness of the daemon is queried",
        "",
    ),
    Option(
        "router",
        "metrics_address",
        Kind.ADDRESS,
        "where metrics and status pages are served",
        "",
    ),
    Option(
        "router",
        "target_address",
        Kind.ADDRESS,
        "where the target accepts requests and orders",
        "",
    ),
    _integer_option(
        "router",
        "announce_interval",
        1000,
        10,
        60_000,
        "ms",
        "time between two announcements of a target",
        rendered=True,
    ),
    Option(
        "router",
        "grants",
        Kind.CHOICE,
        "how targets are granted keys: by calls to them, or with the answers"
        " to their heartbeats; the entry of a service may say otherwise",
        "call",
        choices=("call", "heartbeat"),
        rendered=True,
    ),
    _integer_option(
        "router",
        "longest_hold",
        10_000,
        100,
        600_000,
        "ms",
        "longest hold time of a grant that a target accepts",
        rendered=True,
    ),
    _integer_option(
        "router",
        "grace",
        6000,
        100,
        600_000,
        "ms",
        "time from SIGTERM to SIGKILL",
    ),
    _integer_option(
        "router",
        "grace_s",
        0,
        0,
        600,
        "s",
        "the same in seconds; 0: `router.grace` is used",
        rendered=True,
    ),
    _integer_option(
        "router",
        "reruns",
        20,
        0,
        1000,
        "percent",
        "requests sent again to targets of a service, as a share of its"
        " requests, for all daemons together",
    ),
    _integer_option(
        "router",
        "extra_reruns",
        0,
        0,
        1_000_000,
        "requests",
        "number of such repeats that are allowed in addition",
        rendered=True,
    ),
    Option(
        "router",
        "cold_overage",
        Kind.NUMBER,
        "by what factor calls to a cold target may exceed the rate that its"
        " service names",
        1.0,
        1,
        1000,
        "times",
        rendered=True,
    ),
    Option(
        "router",
        "cold_slack",
        Kind.NUMBER,
        "calls that a cold target may get in a second beyond that",
        0.0,
        0,
        1_000_000,
        "calls",
        rendered=True,
    ),
    _integer_option(
        "router",
        "far_price",
        100,
        0,
        1_000_000,
        "percent",
        "price of 1 MB between data centres, as a share of the value of an"
        " answer in time. With 100, a call of 100 kB leaves its data centre if"
        " its chance of an answer in time is 10 in 100 higher elsewhere; bytes"
        " count at most as half of an answer",
    ),
    _integer_option(
        "router",
        "spare_ports",
        0,
        0,
        1000,
        "ports",
        "ports right above that of daemon.peer_address that nothing else uses."
        " One of them is named to the target where a daemon has to know that"
        " an announcement is new; 0 if there are none",
    ),
    Option("table", "address", Kind.ADDRESS, "the platform's table service"),
    _integer_option(
        "table",
        "poll",
        500,
        50,
        60_000,
        "ms",
        "shortest time between two polls",
    ),
    _integer_option(
        "table", "timeout", 2000, 50, 60_000, "ms", "longest wait for an answer"
    ),
    _integer_option(
        "ownership",
        "slots",
        256,
        1,
        65_536,
        "slots",
        "a power of two; used only when the service is created. On the"
        " users' platform a service gets at least 12 slots a daemon",
    ),
    _integer_option(
        "ownership",
        "lease",
        600,
        100,
        60_000,
        "ms",
        "time for which a grant is valid",
    ),
    _integer_option(
        "ownership",
        "linger",
        150,
        0,
        60_000,
        "ms",
        "longest time that a request may still execute after the lease's end,"
        " at a target that does not check grants",
    ),
    _integer_option(
        "ownership",
        "drift",
        10_000,
        0,
        200_000,
        "millionths",
        "largest relative error between the clocks of two VMs",
    ),
    _integer_option(
        "ownership", "witnesses", 3, 1, 9, "daemons", "number of witnesses; odd"
    ),
    _integer_option(
        "ownership",
        "settle",
        1500,
        0,
        60_000,
        "ms",
        "time after the start before a daemon may create the service",
    ),
    _integer_option(
        "ownership",
        "batch",
        64,
        1,
        4096,
        "slots",
        "largest number of slots moved in one transaction",
    ),
    _integer_option(
        "ownership",
        "anchor",
        0,
        0,
        3_600_000,
        "ms",
        "an owner that has not read the table for this time stops serving, so"
        " its slots can be taken over even if its witnesses are lost with it;"
        " 0: no limit",
    ),
    _integer_option(
        "target",
        "silence",
        2000,
        100,
        60_000,
        "ms",
        "age of the last announcement at which a target counts as absent",
    ),
    _integer_option(
        "requests",
        "deadline",
        5000,
        1,
        600_000,
        "ms",
        "timeout of requests whose callers give none",
    ),
    _integer_option(
        "requests",
        "body",
        1_048_576,
        0,
        67_108_864,
        "bytes",
        "largest request body",
    ),
    _integer_option(
        "requests",
        "answer",
        4_194_304,
        1024,
        67_108_864,
        "bytes",
        "largest answer of a target",
    ),
    _integer_option(
        "requests",
        "patience",
        10_000,
        100,
        600_000,
        "ms",
        "longest time to receive a whole request",
    ),
    _integer_option("requests", "key", 512, 1, 8192, "bytes", "longest key"),
    _integer_option(
        "requests",
        "window",
        120_000,
        1000,
        3_600_000,
        "ms",
        "time for which ids of non-idempotent requests are remembered",
    ),
    _integer_option(
        "requests",
        "remembered",
        100_000,
        100,
        10_000_000,
        "ids",
        "largest number of remembered ids; older ids count as unknown",
    ),
    _integer_option(
        "requests",
        "skew",
        500,
        0,
        60_000,
        "ms",
        "largest difference between the wall clocks of callers and daemons",
    ),
    _integer_option(
        "requests",
        "retries",
        20,
        0,
        1000,
        "percent",
        "legs beyond the first of each request, as a share of the requests",
    ),
)
