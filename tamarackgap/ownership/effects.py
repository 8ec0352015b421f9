"""What the ownership protocol is told, and what it asks to be done."""

import enum

import msgspec

from tamarackgap.ownership import changes
from tamarackgap.peers import messages
from tamarackgap.placement import loadstats, records


class Settings(msgspec.Struct, frozen=True):
    """What a daemon is told about itself.

    Attributes:
        service: The service of its target.
        daemon: Its name, kept over restarts.
        data_centre: Where its VM stands.
        peer_address: `ip:port` for messages between daemons.
        http_address: `ip:port` for callers and operators.
        slot_count: Slots of the service, if it has to be founded here.
        lease: Length of a grant, seconds.
        linger: Longest run past the lease's end at a target that does not
            check grants, seconds.
        drift: Largest relative error between two VMs' clocks.
        witnesses: How many witnesses are wanted; odd.
        settle: Time before a service is founded, seconds.
        batch: Most slots handed over in one transaction.
        ordered_keys: Whether keys lie in slots by their order; then slots are
            given out in runs, and the target is asked to release them
            before they move.
        load_half_life: Half-life of the loads of slots, seconds.
        load_warmup: Time after a change of slots in which loads are measured
            anew, seconds.
        min_tolerance: Least load above its share, percent, at which a daemon
            gives slots away, whatever the operators' row says.
        anchor: An owner that has not read the table for so long serves
            nothing, seconds; 0 for no such bound. Without it a person has
            to say that owner and witnesses are lost together.
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
    load_half_life: float = loadstats.HALF_LIFE_S
    load_warmup: float = 5.0
    min_tolerance: int = 0
    anchor: float = 0.0


def challenge_timeout(settings: Settings) -> float:
    """Returns how long a challenge must stand unanswered, seconds.

    By then its owner has not read the table for the anchor time on its own
    clock, and what it handed over last has ended.
    """
    longest = settings.anchor + settings.lease + settings.linger
    return longest * (1 + 2 * settings.drift)


class OwnedSlot(msgspec.Struct, frozen=True):
    """A slot that this daemon owns.

    Attributes:
        fence: The fence under which it serves the slot.
        since: When it took the slot over, seconds.
        handover: What the target that released it last said, or "".
    """

    fence: int
    since: float
    handover: str = ""


class Send(msgspec.Struct, frozen=True):
    """Effect: send a message to a daemon.

    Attributes:
        sender: The incarnation that decided on it; by the time it is sent,
            the process may already be another one.
        address: The receiver's `ip:port`.
        message: The message.
    """

    sender: str
    address: str
    message: messages.Message


class Commit(msgspec.Struct, frozen=True):
    """Effect: commit a transaction, then call `handle_commit_result`."""

    change: changes.Change


class LogLine(msgspec.Struct, frozen=True):
    """Effect: write a line to the log."""

    event: str
    fields: dict[str, object]


class ReadTable(msgspec.Struct, frozen=True):
    """Effect: read the table soon; it has rows that are not known here.

    Attributes:
        urgent: Whether slots wait for what is read.
    """

    urgent: bool = False


class ReleaseSlots(msgspec.Struct, frozen=True):
    """Effect: take slots back from the target, then call `slots_released`.

    With no slots, a move is over or was given up.
    """

    slots: frozenset[int]


Effect = Send | Commit | LogLine | ReadTable | ReleaseSlots


class CommitState(enum.Enum):
    """What is known of a transaction's outcome."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class Outbox:
    """Effects in the order in which they were decided on."""

    def __init__(self, view: records.TableView, incarnation: str) -> None:
        """Creates an empty outbox.

        Args:
            view: Knows the address of each incarnation.
            incarnation: The sender.
        """
        self._view = view
        self._effects: list[Effect] = []
        self.incarnation = incarnation

    def take(self) -> list[Effect]:
        """Returns the effects since the last call."""
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
        for record in self._view.members():
            if record.incarnation != self.incarnation:
                self.send_to(record.peer_address, message)

    def log(self, event: str, **fields: object) -> None:
        """Writes a line to the log."""
        self.put(LogLine(event, fields))
