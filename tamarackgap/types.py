"""Defines the identifiers, states and verdicts that all modules share."""

import enum
from typing import NewType

import msgspec

ServiceName = NewType("ServiceName", str)
DataCentre = NewType("DataCentre", str)
DaemonName = NewType("DaemonName", str)
# A random id, new at each start of a daemon and after each lost lease.
Incarnation = NewType("Incarnation", str)
RequestId = NewType("RequestId", str)
Key = NewType("Key", str)
Slot = NewType("Slot", int)
# Rises each time that a slot changes its owner.
Fence = NewType("Fence", int)
# Rises each time that an owner changes witnesses or successors, or gives slots
# away.
Epoch = NewType("Epoch", int)
# Rises with each change of the table.
Revision = NewType("Revision", int)
# Seconds on the monotonic clock of one process or VM.
Seconds = NewType("Seconds", float)

# Stands for a missing owner, successor or sender.
NO_INCARNATION = Incarnation("")


class Verdict(enum.Enum):
    """States whether a request was executed."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Reason(enum.Enum):
    """Reason why a request was refused."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_SERVICE = "unknown-service"
    BODY_TOO_LARGE = "body-too-large"
    DEADLINE_PASSED = "deadline-passed"
    NO_OWNER = "no-owner"
    WRONG_OWNER = "wrong-owner"
    SLOT_MOVING = "slot-moving"
    LEASE_EXPIRED = "lease-expired"
    TARGET_ABSENT = "target-absent"
    TARGET_REFUSED = "target-refused"
    # The target has no free capacity.
    TARGET_FULL = "target-full"
    # The target is not the one that was meant, or does not hold the key.
    TARGET_MISDIRECTED = "target-misdirected"
    TARGET_FAILED = "target-failed"
    ANSWER_TRUNCATED = "answer-truncated"
    ANSWER_TOO_LARGE = "answer-too-large"
    QUEUE_FULL = "queue-full"
    PEER_UNREACHABLE = "peer-unreachable"
    OWNER_LOST = "owner-lost"
    NO_ANSWER = "no-answer"
    REPEAT_UNKNOWN = "repeat-unknown"
    IN_PROGRESS = "in-progress"
    DRAINING = "draining"
    CRASHES_TARGETS = "crashes-targets"


class RecordState(enum.Enum):
    """States whether the epoch of a lease record may still be in use."""

    OPEN = "open"
    CLOSED = "closed"


class EraPhase(enum.Enum):
    """States how far a service's slots are recorded in the table's era."""

    # Owners of the era before record the slots that they still serve.
    CARRYING = "carrying"
    # No owner may record any more: what is not recorded belongs to nobody.
    CLOSED = "closed"
    # All slots are recorded.
    SETTLED = "settled"


class WitnessState(enum.Enum):
    """State of an owner's epoch at one of its witnesses."""

    # The witness renews its grant.
    OPEN = "open"
    # The witness no longer renews; it counts towards the majority for a
    # takeover without the table.
    SEALED = "sealed"
    # The witness renews, but the epoch now ends only by a write to the table.
    RETIRED = "retired"
    # The epoch was retired, and the witness no longer renews it; it counts
    # towards the majority for a takeover through the table.
    CLOSED = "closed"
    # The witness has seen a later epoch of this owner.
    SUPERSEDED = "superseded"


class TargetProcess(msgspec.Struct, array_like=True, frozen=True):
    """A process of a target.

    Attributes:
        instance: The target's id.
        born_ms: Start time of the process, milliseconds; 0 if not known.
    """

    instance: str
    born_ms: int = 0
