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
LEFT_PREFIX = "left/"


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
        first_era: The table's era when the incarnation joined.
        knows_leavings: Whether the table's era has all leavings of the targets
            beside the daemon that were acknowledged before.
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
    first_era: decoding.Count = 0
    knows_leavings: bool = False

    @property
    def key(self) -> str:
        """Key of the row in the table."""
        return lease_key(self.incarnation)

    @property
    def is_open(self) -> bool:
        """Whether the epoch may still be in use."""
        return self.state is types.RecordState.OPEN

    @property
    def is_bare(self) -> bool:
        """Whether it only shows that a record of an earlier era has ended."""
        return not self.is_open and not self.runs

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
        phase: Which owners of an earlier era may still record their slots.
    """

    slots: decoding.Count
    change: str = ""
    allocated: decoding.Count | None = None
    phase: types.EraPhase = types.EraPhase.SETTLED

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


class LeftRecord(msgspec.Struct, frozen=True):
    """Records which processes of the target beside a daemon have left.

    Attributes:
        left: The last ones.
    """

    left: tuple[types.TargetProcess, ...]


class Row(msgspec.Struct, frozen=True):
    """A row as the table returns it.

    Attributes:
        key: Key of the row.
        value: JSON text of the row, or None if it was deleted.
        revision: Revision of the table at the row's last change.
        era: Era in which the row was written. It rises when the table comes
            back from an older copy; revisions are then given out again.
    """

    key: str
    value: str | None
    revision: decoding.Count
    era: decoding.Count = 0


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
        era: Era of the rows that it checks and writes.
    """

    change: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]
    era: int = 0


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


def left_key(address: str) -> str:
    """Returns the key of the leavings at the daemon with an `ip:port`."""
    return LEFT_PREFIX + address


def encode(row: msgspec.Struct) -> str:
    """Returns the JSON text of a row."""
    return msgspec.json.encode(row).decode("utf-8")


def decode_lease(value: str) -> LeaseRecord:
    """Returns a lease record from the JSON text that this process wrote."""
    return msgspec.json.decode(value, type=LeaseRecord)


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
    (LEFT_PREFIX, LeftRecord),
)


# Rows that have a meaning in their era only.
_ERA_PREFIXES = (LEASE_PREFIX, SERVICE_PREFIX, CHALLENGE_PREFIX)
# The table may have forgotten so many changes of a slot's owner at most each
# time that it went back. Each takes a transaction of some milliseconds.
_FORGOTTEN_FENCES = 65_536
# Fences that are given out first in an era lie above all of earlier eras, also
# where nobody is left who knows those. Targets are sent multiples of fences as
# integers of 64 bits, which leaves room for so many eras.
_FENCES_PER_ERA = 2**20
_MAX_ERA_OF_FENCES = 2**22
# Era, revision and value of a row that is not known.
_NO_ROW = (0, 0, None)


class TableView:
    """Keeps the newest state of each row that is known here.

    Rows come from reads of the table and from peers, in any order. A row is
    only ever replaced by one of a later era, or of the same era and a higher
    revision; a deletion is kept like any other state.

    After the era has risen, rows of earlier eras tell who may still own slots
    and answer messages. No change relies on them: `check` takes them for
    absent.
    """

    def __init__(self) -> None:
        # Era, revision and value of each row.
        self._rows: dict[str, tuple[int, int, msgspec.Struct | None]] = {}
        self._era = 0
        # Fences above those in rows of earlier eras that were dropped.
        self._fence_floors: dict[str, int] = {}
        # All rows up to this revision were read from the table itself.
        self._cursor = types.Revision(0)
        self._leases: dict[str, LeaseRecord] = {}
        # Open records by service, None for all; cleared on any change of a
        # lease record.
        self._members: dict[str | None, list[LeaseRecord]] = {}
        self._is_read = False
        self._is_restored = False
        self._version = 0

    @property
    def version(self) -> int:
        """Number of changes to rows so far."""
        return self._version

    @property
    def era(self) -> int:
        """The table's era, as far as it is known here."""
        return self._era

    @property
    def is_read(self) -> bool:
        """Whether the table has been read at least once."""
        return self._is_read

    @property
    def is_restored(self) -> bool:
        """Whether the table is known to have come back from an older copy."""
        return self._is_restored

    @property
    def cursor(self) -> types.Revision:
        """Revision up to which the table has been read in its era."""
        return self._cursor

    @property
    def has_earlier_rows(self) -> bool:
        """Whether leases or services of an earlier era are known."""
        return bool(self._era) and any(
            era < self._era and key.startswith(_ERA_PREFIXES)
            for key, (era, _, _) in self._rows.items()
        )

    def begin_era(self, era: int) -> None:
        """Records that the table has come back from an older copy."""
        self._era = era
        self._is_restored = self._is_restored or bool(self._rows)
        self._cursor = types.Revision(0)
        self._members.clear()
        self._version += 1

    def forget_earlier_rows(self) -> None:
        """Drops leases, challenges and services of earlier eras.

        Policies stay in force.
        """
        for service in {record.service for record in self._leases.values()}:
            self._fence_floors[service] = self.first_fence(service)
        for key, (era, _, _) in list(self._rows.items()):
            if era < self._era and key.startswith(_ERA_PREFIXES):
                del self._rows[key]
                self._index_lease(key, None)
        self._version += 1

    def first_fence(self, service: str) -> int:
        """Returns a fence above all that a service's slots have had."""
        fence = self._fence_floors.get(service, 1)
        if self._era <= _MAX_ERA_OF_FENCES:
            fence = max(fence, self._era * _FENCES_PER_ERA + 1)
        for record in self._leases.values():
            if record.service != service or not record.runs:
                continue
            known = max(slot_range.fence for slot_range in record.runs)
            eras = self._era - self._rows[record.key][0]
            fence = max(fence, known + _FORGOTTEN_FENCES * eras)
        return fence

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
            self._is_restored = self._is_restored or row.era < self._era
            known_era, known_revision, _ = self._rows.get(row.key, _NO_ROW)
            if (row.era, row.revision) <= (known_era, known_revision):
                continue
            value = None
            if row.value is not None:
                value = _decode(row.key, row.value)
            if isinstance(value, LeaseRecord) and value.first_era < row.era:
                self._is_restored = True
            self._rows[row.key] = (row.era, row.revision, value)
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
        return self._rows.get(key, _NO_ROW)[1]

    def is_current(self, key: str) -> bool:
        """Returns whether a row, or its deletion, is of the table's era."""
        return key in self._rows and self._rows[key][0] == self._era

    def has_slot(self, incarnation: str, slot: int) -> bool:
        """Returns whether a record of the table's era has a slot."""
        record = self._leases.get(incarnation)
        return (
            record is not None
            and self.is_current(record.key)
            and any(each.first <= slot <= each.last for each in record.runs)
        )

    def check(self, key: str) -> Check:
        """Returns the condition that a row is still as known here."""
        era, revision, value = self._rows.get(key, _NO_ROW)
        is_present = value is not None and era == self._era
        return Check(key, revision if is_present else 0)

    def lease(self, incarnation: str) -> LeaseRecord | None:
        """Returns the lease record of an incarnation, or None."""
        return self._leases.get(incarnation)

    def leases(self) -> Iterator[LeaseRecord]:
        """Returns an iterator over all lease records, closed ones too."""
        return iter(list(self._leases.values()))

    def current_leases(self) -> Iterator[LeaseRecord]:
        """Returns an iterator over the lease records of the table's era."""
        return (
            record for record in self.leases() if self.is_current(record.key)
        )

    def earlier_rows(self, service: str) -> Iterator[Row]:
        """Yields a service's rows of earlier eras.

        These are its record, and the open lease records, as far as they were
        not written in the table's era.
        """
        keys = [service_key(service)]
        keys += [
            record.key
            for record in self._leases.values()
            if record.is_open and record.service == service
        ]
        for key in keys:
            era, revision, value = self._rows.get(key, _NO_ROW)
            if value is not None and era < self._era:
                yield Row(key, encode(value), revision, era)

    def service_record(self, service: str) -> ServiceRecord | None:
        """Returns the record of a service, of whatever era, or None."""
        return self._rows.get(service_key(service), _NO_ROW)[2]

    def current_service_record(self, service: str) -> ServiceRecord | None:
        """Returns the record of a service in the table's era, or None."""
        if not self.is_current(service_key(service)):
            return None
        return self.service_record(service)

    def left_record(self, key: str) -> LeftRecord | None:
        """Returns a row of leavings, of whatever era, or None."""
        return self._rows.get(key, _NO_ROW)[2]

    def challenges(self) -> dict[str, Challenge]:
        """Returns the challenges of the table's era, by incarnation."""
        prefix_length = len(CHALLENGE_PREFIX)
        return {
            key[prefix_length:]: value
            for key, (era, _, value) in self._rows.items()
            if key.startswith(CHALLENGE_PREFIX)
            and value is not None
            and era == self._era
        }

    def services(self) -> set[str]:
        """Returns the names of all services that have a record."""
        prefix_length = len(SERVICE_PREFIX)
        return {
            key[prefix_length:]
            for key, (_, _, value) in self._rows.items()
            if key.startswith(SERVICE_PREFIX) and value is not None
        }

    def policy(self, service: str, data_centre: str) -> Policy:
        """Returns the policy of a service in a data centre.

        Without a policy for the data centre it is the service's policy for
        `*`, and without that the default one.
        """
        for name in (data_centre, "*"):
            row = self._rows.get(policy_key(service, name), _NO_ROW)[2]
            if row is not None:
                return row
        return Policy()

    def open_records(self, service: str | None = None) -> list[LeaseRecord]:
        """Returns the open lease records, sorted by incarnation.

        Those of earlier eras are left out if another process at their address
        has an open record in the table's era: they have ended.

        Args:
            service: Service of the records; None for all services.
        """
        open_records = self._members.get(service)
        if open_records is None:
            current = {
                record.peer_address
                for record in self.current_leases()
                if record.is_open
            }
            open_records = self._members[service] = sorted(
                (
                    record
                    for record in self._leases.values()
                    if record.is_open
                    and service in (None, record.service)
                    and (
                        self.is_current(record.key)
                        or record.peer_address not in current
                    )
                ),
                key=lambda record: record.incarnation,
            )
        return list(open_records)

    def current_members(self, service: str) -> list[LeaseRecord]:
        """Returns a service's open records of the table's era, sorted."""
        return [
            record
            for record in self.open_records(service)
            if self.is_current(record.key)
        ]

    def _index_lease(self, key: str, value: msgspec.Struct | None) -> None:
        if not key.startswith(LEASE_PREFIX):
            return
        self._members.clear()
        incarnation = key[len(LEASE_PREFIX) :]
        if value is None:
            self._leases.pop(incarnation, None)
        else:
            self._leases[incarnation] = value
