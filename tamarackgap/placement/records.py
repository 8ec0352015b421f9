"""Defines the rows of the table, and keeps this process's view of them."""

from collections.abc import Iterable, Iterator
from typing import Annotated

import msgspec

from tamarackgap import decoding, types
from tamarackgap.placement import rowchecks, slots

# A time of at most an hour.
_Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]

# Stored keys begin with these prefixes, so their texts must not change.
LEASE_PREFIX = "lease/"
SERVICE_PREFIX = "founded/"
POLICY_PREFIX = "policy/"
CHALLENGE_PREFIX = "challenge/"


class LeaseRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describes one incarnation of a daemon, its lease and its slots.

    Attributes:
        service: Service of the daemon's target.
        daemon: The daemon's name, which is kept across restarts.
        incarnation: Id of this start of the daemon's process.
        data_centre: Data centre of the VM.
        peer_address: `ip:port` for messages between daemons.
        http_address: `ip:port` for callers and operators.
        epoch: Epoch of the lease; it rises when witnesses or successors
            change, or slots are moved away.
        witnesses: Incarnations that grant the lease; it is valid while the
            grants of a majority are.
        runs: Ranges of slots that the incarnation owns.
        lease_ms: Duration of a grant, milliseconds.
        linger_ms: Longest time for which a request may still be executed
            after the lease's end at a target that does not check grants,
            milliseconds.
        accepting: Whether the daemon takes more slots.
        leaving: Whether the daemon is about to end; it is then not chosen
            as a witness.
        state: Whether the epoch may be in use.
        change: Id of the write that made this row.
    """

    service: types.ServiceName
    daemon: types.DaemonName
    incarnation: types.Incarnation
    data_centre: types.DataCentre
    peer_address: str
    http_address: str
    epoch: decoding.Count = types.Epoch(0)
    witnesses: tuple[str, ...] = ()
    runs: tuple[slots.SlotRange, ...] = ()
    lease_ms: _Milliseconds = 600
    linger_ms: _Milliseconds = 0
    accepting: bool = False
    leaving: bool = False
    state: types.RecordState = types.RecordState.OPEN
    change: str = ""

    @property
    def key(self) -> str:
        """Key of the row in the table."""
        return lease_key(self.incarnation)

    @property
    def is_open(self) -> bool:
        """Whether the epoch may still be in use."""
        return self.state is types.RecordState.OPEN

    @property
    def can_own(self) -> bool:
        """Whether the daemon may be given slots.

        Without witnesses it could get no lease.
        """
        return self.accepting and bool(self.witnesses)

    def successors(self) -> list[str]:
        """Returns the successors of all slots, sorted."""
        return sorted(
            {
                slot_range.successor
                for slot_range in self.runs
                if slot_range.successor
            }
        )


class Challenge(msgspec.Struct, frozen=True):
    """Asks an incarnation that no daemon can reach to prove that it runs.

    An owner stops on its own once it has not read the table for the anchor
    time. The epoch of one that leaves a challenge unanswered for longer has
    therefore ended.

    Attributes:
        epoch: Epoch that is ended if there is no answer.
        by: Incarnation that asks.
        change: Id of the write that made this row.
    """

    epoch: decoding.Count
    by: types.Incarnation
    change: str = ""


class ServiceRecord(msgspec.Struct, frozen=True):
    """Records that a service's slots have been given to owners once.

    Attributes:
        slots: Number of slots of the service; a power of two.
        change: Id of the write that made this row.
        allocated: The slots below this number have been given to owners; None
            for all slots.
    """

    slots: decoding.Count
    change: str = ""
    allocated: decoding.Count | None = None

    @property
    def unallocated(self) -> int:
        """Number of slots that no owner has had yet."""
        return 0 if self.allocated is None else self.slots - self.allocated


class Policy(msgspec.Struct, frozen=True):
    """Operators' settings for a service in one data centre.

    Attributes:
        weight: Weight of each daemon's share of the slots, relative to the
            weights in other data centres.
        in_progress: Largest number of requests in progress at one target; 0
            for the number that the target announces.
        queue: Largest number of requests that wait at one owner.
        tolerance: Load above its share, percent of the share, at which a
            daemon gives slots away; a higher value causes fewer moves.
        moves: Largest number of slots that a daemon gives away in a minute
            to balance load; moves of a draining daemon are not limited.
        change: Id of the write that made this row.
    """

    weight: decoding.Count = 100
    in_progress: decoding.Count = 0
    queue: decoding.Count = 256
    tolerance: decoding.Count = 8
    moves: decoding.Count = 600
    change: str = ""


class Row(msgspec.Struct, frozen=True):
    """A row as the table returns it.

    Attributes:
        key: Key of the row.
        value: JSON text of the row, or None if it was deleted.
        revision: Revision of the table at the row's last change.
    """

    key: str
    value: str | None
    revision: decoding.Count


class Check(msgspec.Struct, frozen=True):
    """A condition of a transaction: a row still has a certain revision.

    Attributes:
        key: Key of the row.
        revision: Revision that the row must have; 0 if it must not exist.
    """

    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """A row to write.

    Attributes:
        key: Key of the row.
        value: JSON text of the row, or None to delete it.
    """

    key: str
    value: str | None


class Transaction(msgspec.Struct, frozen=True):
    """Writes that are committed together if all checks hold.

    Attributes:
        change: Fresh id, which is also written into the rows.
        checks: Conditions of the commit.
        writes: Rows to write.
    """

    change: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


def lease_key(incarnation: str) -> str:
    """Returns the key of an incarnation's lease record."""
    return LEASE_PREFIX + incarnation


def service_key(service: str) -> str:
    """Returns the key of a service's record."""
    return SERVICE_PREFIX + service


def policy_key(service: str, data_centre: str) -> str:
    """Returns the key of a policy.

    Args:
        service: Service of the policy.
        data_centre: Data centre of the policy; `*` for all others.
    """
    return f"{POLICY_PREFIX}{service}/{data_centre}"


def challenge_key(incarnation: str) -> str:
    """Returns the key of the challenge to an incarnation."""
    return CHALLENGE_PREFIX + incarnation


def encode(row: msgspec.Struct) -> str:
    """Returns the JSON text of a row."""
    return msgspec.json.encode(row).decode("utf-8")


def _decode(key: str, value: str) -> msgspec.Struct | None:
    for prefix, row_type in _ROW_TYPES:
        if key.startswith(prefix):
            row = decoding.decode(value, row_type)
            match row:
                case LeaseRecord():
                    rowchecks.check_key(key, row.key)
                    rowchecks.check_addresses(
                        row.peer_address, row.http_address
                    )
                    rowchecks.check_ranges(row.runs)
                case ServiceRecord():
                    rowchecks.check_slot_count(row.slots, row.allocated)
            return row
    return None


_ROW_TYPES: tuple[tuple[str, type[msgspec.Struct]], ...] = (
    (LEASE_PREFIX, LeaseRecord),
    (SERVICE_PREFIX, ServiceRecord),
    (POLICY_PREFIX, Policy),
    (CHALLENGE_PREFIX, Challenge),
)


class TableView:
    """Keeps the newest revision of each row that is known here.

    Rows come from reads of the table and from peers, in any order. A row is
    only ever replaced by one of a higher revision, and a deletion is kept
    like any other revision.
    """

    def __init__(self) -> None:
        self._rows: dict[str, tuple[int, msgspec.Struct | None]] = {}
        # All rows up to this revision were read from the table itself.
        self._cursor = types.Revision(0)
        self._leases: dict[str, LeaseRecord] = {}
        # Open records by service, None for all; cleared on any change of a
        # lease record.
        self._members: dict[str | None, list[LeaseRecord]] = {}
        self._is_read = False
        self._version = 0

    @property
    def version(self) -> int:
        """Number of changes to rows so far."""
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
        """Adds or replaces the rows that are newer than those known here.

        Returns:
            Keys of the rows that were added or replaced.

        Raises:
            msgspec.DecodeError: If a row is not JSON that can be read.
            msgspec.ValidationError: If a row lacks a field, or has one of the
                wrong type or out of range.
        """
        changed = []
        for row in rows:
            if row.revision <= self.revision(row.key):
                continue
            value = None
            if row.value is not None:
                value = _decode(row.key, row.value)
            self._rows[row.key] = (row.revision, value)
            self._index_lease(row.key, value)
            changed.append(row.key)
        self._version += len(changed)
        return changed

    def advance(self, revision: types.Revision) -> None:
        """Records that the table has been read up to `revision`."""
        self._cursor = max(self._cursor, revision)
        self._is_read = True

    def revision(self, key: str) -> int:
        """Returns a row's newest known revision, or 0 if it is not known."""
        return self._rows.get(key, (0, None))[0]

    def check(self, key: str) -> Check:
        """Returns the condition that a row is still as known here."""
        revision, value = self._rows.get(key, (0, None))
        return Check(key, revision if value is not None else 0)

    def lease(self, incarnation: str) -> LeaseRecord | None:
        """Returns the lease record of an incarnation, or None."""
        return self._leases.get(incarnation)

    def leases(self) -> Iterator[LeaseRecord]:
        """Returns an iterator over all lease records, closed ones too."""
        return iter(list(self._leases.values()))

    def service_record(self, service: str) -> ServiceRecord | None:
        """Returns the record of a service, or None."""
        return self._rows.get(service_key(service), (0, None))[1]

    def challenges(self) -> dict[str, Challenge]:
        """Returns all challenges, by challenged incarnation."""
        prefix_length = len(CHALLENGE_PREFIX)
        return {
            key[prefix_length:]: value
            for key, (_, value) in self._rows.items()
            if key.startswith(CHALLENGE_PREFIX) and value is not None
        }

    def services(self) -> set[str]:
        """Returns the names of all services that have a record."""
        prefix_length = len(SERVICE_PREFIX)
        return {
            key[prefix_length:]
            for key, (_, value) in self._rows.items()
            if key.startswith(SERVICE_PREFIX) and value is not None
        }

    def policy(self, service: str, data_centre: str) -> Policy:
        """Returns the policy of a service in a data centre.

        Without a policy for the data centre it is the service's policy for
        `*`, and without that the default one.
        """
        for name in (data_centre, "*"):
            row = self._rows.get(policy_key(service, name), (0, None))[1]
            if row is not None:
                return row
        return Policy()

    def open_records(self, service: str | None = None) -> list[LeaseRecord]:
        """Returns the open lease records, sorted by incarnation.

        Args:
            service: Service of the records; None for all services.
        """
        open_records = self._members.get(service)
        if open_records is None:
            open_records = self._members[service] = sorted(
                (
                    record
                    for record in self._leases.values()
                    if record.is_open and service in (None, record.service)
                ),
                key=lambda record: record.incarnation,
            )
        return list(open_records)

    def _index_lease(self, key: str, value: msgspec.Struct | None) -> None:
        if not key.startswith(LEASE_PREFIX):
            return
        self._members.clear()
        incarnation = key[len(LEASE_PREFIX) :]
        if value is None:
            self._leases.pop(incarnation, None)
        else:
            self._leases[incarnation] = value
