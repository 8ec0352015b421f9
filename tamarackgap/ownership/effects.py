"""Settings of the ownership protocol, and the effects that it asks for."""

import enum
from collections.abc import Iterable

import msgspec

from tamarackgap.ownership import changes
from tamarackgap.peers import messages
from tamarackgap.placement import loadstats, records


class Settings(msgspec.Struct, frozen=True):
    """The settings of one daemon.

    Attributes:
        service: The service of the local target.
        daemon: The daemon's name, kept over restarts.
        data_centre: The data centre of the daemon's VM.
        peer_address: `ip:port` for messages between daemons.
        http_address: `ip:port` for callers and operators.
        slot_count: Number of slots if this daemon creates the service.
        lease: Time for which a grant is valid unless a longer time is needed,
            seconds. Renewals are sent at a quarter of it.
        linger: Longest time that a request may still execute after the
            lease's end, at a target that does not check grants, seconds.
        drift: Largest relative error between the clocks of two VMs.
        witnesses: Number of witnesses wanted; odd.
        settle: Time after the start before the daemon may create the
            service, seconds.
        batch: Largest number of slots moved in one transaction.
        ordered_keys: Whether keys are mapped to slots by their order. Slots
            are then allocated in ranges, and the target is asked to release
            them before they move.
        load_half_life: Half-life of the measured loads of slots, seconds.
        load_warmup: Time after a change of slots for which their load is
            not yet measured well enough, seconds.
        min_tolerance: Lower bound on the policy's tolerance, percent. The
            tolerance is the load above its share at which a daemon moves
            slots away.
        anchor: Longest time for which an owner serves without a table read,
            seconds; 0 for no limit. Without a limit, an operator has to
            report a daemon as lost if its witnesses are lost with it.
    """

    service: str
    daemon: str
    data_centre: str
    peer_address: str
    http_address: str
    slot_count: int = 256
    lease: float = 0.6
    linger: float = 0.0
    drift: float = 0.01
    witnesses: int = 3
    settle: float = 1.0
    batch: int = 64
    ordered_keys: bool = False
    load_half_life: float = loadstats.DEFAULT_HALF_LIFE_S
    load_warmup: float = 5.0
    min_tolerance: int = 0
    anchor: float = 0.0


def challenge_timeout(settings: Settings, lease_length: float) -> float:
    """Returns the time limit for answering a challenge, seconds.

    By then the challenged owner has not read the table for the anchor time
    on its own clock, and the last request that it sent to its target has
    ended.

    Args:
        settings: The settings.
        lease_length: Length of the challenged owner's lease, seconds.
    """
    longest = settings.anchor + lease_length + settings.linger
    return longest * (1 + 2 * settings.drift)


def lease_timeout(settings: Settings, record: records.LeaseRecord) -> float:
    """Returns the time after which the lease of a gone process has ended.

    By then the last request that it sent to its target has ended, too.

    Args:
        settings: The settings.
        record: Record of the process that is gone.
    """
    length = record.lease_ms / 1000
    return length * (1 + settings.drift) + settings.linger


class OwnedSlot(msgspec.Struct, frozen=True):
    """A slot that this daemon owns.

    Attributes:
        fence: The fence under which the daemon serves the slot.
        since: When it took the slot over, seconds.
        handover: The text that the target returned when it last released
            the slot, or "".
    """

    fence: int
    since: float
    handover: str = ""


class Send(msgspec.Struct, frozen=True):
    """Effect: send a message to a daemon.

    Attributes:
        sender: The incarnation that sends it. The process may already have
            a new one when the effect is carried out.
        address: The receiver's `ip:port`.
        message: The message.
    """

    sender: str
    address: str
    message: messages.Message


class ShareRows(msgspec.Struct, frozen=True):
    """Effect: send rows that were just written to all other daemons.

    Attributes:
        sender: The incarnation that sends them.
        rows: The rows.
        addresses: `ip:port` of all other daemons.
        involved: Those of the daemons that the rows are about, and of their
            witnesses.
    """

    sender: str
    rows: tuple[records.Row, ...]
    addresses: frozenset[str]
    involved: frozenset[str]


class Commit(msgspec.Struct, frozen=True):
    """Effect: commit a transaction, then report its result.

    The result goes to `Ownership.handle_commit_result`.
    """

    change: changes.Change


class LogLine(msgspec.Struct, frozen=True):
    """Effect: write a log line.

    Attributes:
        event: Name of the event.
        fields: Its fields.
    """

    event: str
    fields: dict[str, object]


class ReadTable(msgspec.Struct, frozen=True):
    """Effect: read the table soon, because it has rows not yet read here.

    Attributes:
        urgent: Whether slots can't be served before it is read.
    """

    urgent: bool = False


class ReleaseSlots(msgspec.Struct, frozen=True):
    """Effect: let the target release slots, then call `record_release`.

    Attributes:
        slots: The slots; if empty, the move has ended or was given up.
    """

    slots: frozenset[int]


Effect = Send | ShareRows | Commit | LogLine | ReadTable | ReleaseSlots


class CommitState(enum.Enum):
    """The outcome of a transaction, as far as it is known."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class Outbox:
    """Collects effects in the order in which they were decided."""

    def __init__(self, view: records.TableView, incarnation: str) -> None:
        """Creates an empty outbox.

        Args:
            view: Gives the address of each incarnation.
            incarnation: The sender of the messages.
        """
        self._view = view
        self._effects: list[Effect] = []
        self.incarnation = incarnation

    def take(self) -> list[Effect]:
        """Returns the effects since the last call, and clears them."""
        taken = self._effects
        self._effects = []
        return taken

    def put(self, effect: Effect) -> None:
        """Adds an effect."""
        self._effects.append(effect)

    def send_to(self, address: str, message: messages.Message) -> None:
        """Sends a message to an address."""
        self.put(Send(self.incarnation, address, message))

    def send(self, incarnation: str, message: messages.Message) -> None:
        """Sends a message to an incarnation, if its address is known."""
        record = self._view.lease(incarnation)
        if record is not None:
            self.send_to(record.peer_address, message)

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message to every other daemon."""
        for record in self._view.open_records():
            if record.incarnation != self.incarnation:
                self.send_to(record.peer_address, message)

    def share_rows(self, rows: Iterable[records.Row]) -> None:
        """Sends rows that were just written to every other daemon."""
        rows = tuple(rows)
        written = [
            record
            for row in rows
            if row.key.startswith(records.LEASE_PREFIX)
            and (record := self._view.lease(_incarnation_of(row))) is not None
        ]
        involved = {record.incarnation for record in written}.union(
            *(record.witnesses for record in written)
        )
        others = [
            record
            for record in self._view.open_records()
            if record.incarnation != self.incarnation
        ]
        self.put(
            ShareRows(
                self.incarnation,
                rows,
                frozenset(record.peer_address for record in others),
                frozenset(
                    record.peer_address
                    for record in others
                    if record.incarnation in involved
                ),
            )
        )

    def log(self, event: str, **fields: object) -> None:
        """Writes a log line."""
        self.put(LogLine(event, fields))


def _incarnation_of(row: records.Row) -> str:
    """Returns whose lease record a row is."""
    return row.key[len(records.LEASE_PREFIX) :]
