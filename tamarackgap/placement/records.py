"""Rows of the platform's table, and this process's view of them."""

from collections.abc import Iterable, Iterator

import msgspec

from tamarackgap import types
from tamarackgap.placement import slots

LEASE_PREFIX = "lease/"
SERVICE_PREFIX = "founded/"
POLICY_PREFIX = "policy/"
HISTORY_PREFIX = "history/"
CHALLENGE_PREFIX = "challenge/"


class LeaseRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the table holds for one incarnation of a daemon.

    Attributes:
        service: The service of the daemon's target.
        daemon: The daemon's name, kept over restarts.
        incarnation: This process start's id.
        data_centre: Where the VM stands.
        peer_address: `ip:port` for messages between daemons.
        http_address: `ip:port` for callers and operators.
        epoch: Rises when witnesses, successors or slots are taken away.
        witnesses: Incarnations whose majority of grants is the lease.
        runs: The slots owned.
        lease_ms: Length of a grant, milliseconds.
        linger_ms: Longest run past the lease's end at a target that does
            not check grants, milliseconds.
        accepting: Whether the daemon takes more slots.
        leaving: Whether the daemon will end; it is no witness to choose.
        state: Whether the epoch may be in use.
        change: Id of the write that made this row.
    """

    service: types.ServiceName
    daemon: types.DaemonName
    incarnation: types.Incarnation
    data_centre: types.DataCentre
    peer_address: str
    http_address: str
    epoch: types.Epoch = types.Epoch(0)
    witnesses: tuple[str, ...] = ()
    runs: tuple[slots.SlotRange, ...] = ()
    lease_ms: int = 600
    linger_ms: int = 0
    accepting: bool = False
    leaving: bool = False
    state: types.RecordState = types.RecordState.OPEN
    change: str = ""

    @property
    def key(self) -> str:
        """The row's key in the table."""
        return lease_key(self.incarnation)

    @property
    def is_open(self) -> bool:
        """Whether the epoch may still be in use."""
        return self.state is types.RecordState.OPEN

    @property
    def can_own(self) -> bool:
        """Whether the daemon may be given slots: a lease is possible."""
        return self.accepting and bool(self.witnesses)

    def successors(self) -> list[str]:
        """Returns the incarnations named to take slots over, sorted."""
        return sorted({run.successor for run in self.runs if run.successor})


class Challenge(msgspec.Struct, frozen=True):
    """Asks an incarnation that nobody hears to show that it lives.

    An owner stops by itself once it has not read the table for the anchor
    time, so one that leaves a challenge unanswered for longer is over.

    Attributes:
        epoch: The epoch that is to end otherwise.
        by: The incarnation that asks.
        change: Id of the write that made this row.
    """

    epoch: types.Epoch
    by: types.Incarnation
    change: str = ""


class ServiceRecord(msgspec.Struct, frozen=True):
    """States that a service's slots have been given out once.

    Attributes:
        slots: Number of slots of the service; a power of two.
        change: Id of the write that made this row.
    """

    slots: int
    change: str = ""


class Policy(msgspec.Struct, frozen=True):
    """One row of the operators' table: a service in one data centre.

    Attributes:
        weight: Share of the slots, against other data centres' weights.
        in_progress: Most requests in progress at one target; 0 leaves it
            to what the target announces.
        queue: Most requests waiting at one owner.
        tolerance: Load above its share, percent, at which a daemon gives
            slots away: higher for less churn.
        moves: Most slots that a daemon gives away in a minute to even out;
            draining is not bounded.
        change: Id of the write that made this row.
    """

    weight: int = 100
    in_progress: int = 0
    queue: int = 256
    tolerance: int = 8
    moves: int = 600
    change: str = ""


class HistoryEntry(msgspec.Struct, frozen=True):
    """One accepted edit of the operators' table.

    Attributes:
        who: The operator.
        when_ms: Wall-clock time, milliseconds since 1970.
        row: The edited row's key.
        before: The row before, or None.
        after: The row after.
    """

    who: str
    when_ms: int
    row: str
    before: Policy | None
    after: Policy


class Row(msgspec.Struct, frozen=True):
    """One row as the table gives it.

    Attributes:
        key: The row's key.
        value: The row's JSON text, or None once deleted.
        revision: The table's revision at the row's last change.
    """

    key: str
    value: str | None
    revision: int


class Check(msgspec.Struct, frozen=True):
    """A condition of a transaction: the row's revision, 0 for absent."""

    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """A row to write, or to delete where `value` is None."""

    key: str
    value: str | None


class Transaction(msgspec.Struct, frozen=True):
    """Writes that happen together, if all checks hold.

    Attributes:
        change: A fresh id, also written into the rows.
        checks: Conditions.
        writes: Rows to write.
    """

    change: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


def lease_key(incarnation: str) -> str:
    """Returns the key of an incarnation's lease record."""
    return LEASE_PREFIX + incarnation


def service_key(service: str) -> str:
    """Returns the key of a service's founding row."""
    return SERVICE_PREFIX + service


def policy_key(service: str, data_centre: str) -> str:
    """Returns the key of an operators' row; `*` stands for any place."""
    return f"{POLICY_PREFIX}{service}/{data_centre}"


def challenge_key(incarnation: str) -> str:
    """Returns the key of the challenge to an incarnation."""
    return CHALLENGE_PREFIX + incarnation


def encode(row: msgspec.Struct) -> str:
    """Returns a row as JSON text."""
    return msgspec.json.encode(row).decode("utf-8")


def _decode(key: str, value: str) -> msgspec.Struct | None:
    for prefix, kind in _KINDS:
        if key.startswith(prefix):
            return msgspec.json.decode(value, type=kind)
    return None


_KINDS: tuple[tuple[str, type[msgspec.Struct]], ...] = (
    (LEASE_PREFIX, LeaseRecord),
    (SERVICE_PREFIX, ServiceRecord),
    (POLICY_PREFIX, Policy),
    (CHALLENGE_PREFIX, Challenge),
)


class TableView:
    """The newest rows known here, merged by revision.

    Rows come from reads of the table and from peers, in any order; a row
    only ever gives way to a later one, deletions included.
    """

    def __init__(self) -> None:
        self._rows: dict[str, tuple[int, msgspec.Struct | None]] = {}
        # Everything up to here has been read from the table itself.
        self._cursor = types.Revision(0)
        self._leases: dict[str, LeaseRecord] = {}
        # Open records by service, until one changes.
        self._members: dict[str | None, list[LeaseRecord]] = {}
        self._is_read = False
        self._version = 0

    @property
    def version(self) -> int:
        """Rises with each row that was news."""
        return self._version

    @property
    def is_read(self) -> bool:
        """Whether the table has been read at least once."""
        return self._is_read

    @property
    def cursor(self) -> types.Revision:
        """Revision up to which the table has been read."""
        return self._cursor

    def merge(self, rows: Iterable[Row]) -> list[str]:
        """Takes rows in; returns the keys of those that were news.

        Raises:
            msgspec.ValidationError: If a row has not the expected shape.
        """
        changed = []
        for row in rows:
            if row.revision <= self.revision(row.key):
                continue
            value = None
            if row.value is not None:
                value = _decode(row.key, row.value)
            self._rows[row.key] = (row.revision, value)
            self._index(row.key, value)
            changed.append(row.key)
        self._version += len(changed)
        return changed

    def advance(self, revision: types.Revision) -> None:
        """Notes that the table has been read up to `revision`."""
        self._cursor = max(self._cursor, revision)
        self._is_read = True

    def revision(self, key: str) -> int:
        """Returns the revision of a row's last known change, or 0."""
        return self._rows.get(key, (0, None))[0]

    def check(self, key: str) -> Check:
        """Returns the condition that the row is still as it is here."""
        revision, value = self._rows.get(key, (0, None))
        return Check(key, revision if value is not None else 0)

    def lease(self, incarnation: str) -> LeaseRecord | None:
        """Returns an incarnation's record, or None."""
        return self._leases.get(incarnation)

    def leases(self) -> Iterator[LeaseRecord]:
        """Iterates over all lease records."""
        return iter(list(self._leases.values()))

    def service_record(self, service: str) -> ServiceRecord | None:
        """Returns the founding row of a service, or None."""
        return self._rows.get(service_key(service), (0, None))[1]

    def challenges(self) -> dict[str, Challenge]:
        """Returns the challenges, by the incarnation that is asked."""
        size = len(CHALLENGE_PREFIX)
        return {
            key[size:]: value
            for key, (_, value) in self._rows.items()
            if key.startswith(CHALLENGE_PREFIX) and value is not None
        }

    def services(self) -> set[str]:
        """Returns the names of all founded services."""
        size = len(SERVICE_PREFIX)
        return {
            key[size:]
            for key, (_, value) in self._rows.items()
            if key.startswith(SERVICE_PREFIX) and value is not None
        }

    def policy(self, service: str, data_centre: str) -> Policy:
        """Returns the operators' row for a place, or the service's default."""
        for place in (data_centre, "*"):
            row = self._rows.get(policy_key(service, place), (0, None))[1]
            if row is not None:
                return row
        return Policy()

    def members(self, service: str | None = None) -> list[LeaseRecord]:
        """Returns the open records, of one service or of all, sorted."""
        found = self._members.get(service)
        if found is None:
            found = self._members[service] = sorted(
                (
                    record
                    for record in self._leases.values()
                    if record.is_open and service in (None, record.service)
                ),
                key=lambda record: record.incarnation,
            )
        return list(found)

    def _index(self, key: str, value: msgspec.Struct | None) -> None:
        if not key.startswith(LEASE_PREFIX):
            return
        self._members.clear()
        incarnation = key[len(LEASE_PREFIX) :]
        if value is None:
            self._leases.pop(incarnation, None)
        else:
            self._leases[incarnation] = value
