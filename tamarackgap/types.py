"""Identifiers, states and verdicts that all other modules share."""

import enum
from typing import NewType

ServiceName = NewType("ServiceName", str)
DataCentre = NewType("DataCentre", str)
DaemonName = NewType("DaemonName", str)
# A fresh random id for each process start; never used twice.
Incarnation = NewType("Incarnation", str)
RequestId = NewType("RequestId", str)
Key = NewType("Key", str)
Slot = NewType("Slot", int)
Fence = NewType("Fence", int)
Epoch = NewType("Epoch", int)
Revision = NewType("Revision", int)
# Seconds on one process's or VM's monotonic clock.
Seconds = NewType("Seconds", float)

NO_INCARNATION = Incarnation("")


class Verdict(enum.Enum):
    """Whether a request's operation ran."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Reason(enum.Enum):
    """Why a request was refused."""

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
    # It has no room, or it is another one than was meant, or it does not
    # hold the key.
    TARGET_FULL = "target-full"
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
    """Whether a lease record's epoch may still be in use."""

    OPEN = "open"
    CLOSED = "closed"


class WitnessState(enum.Enum):
    """What a witness will still do for one owner's epoch."""

    OPEN = "open"
    # Renews no more; counts for a takeover without the table.
    SEALED = "sealed"
    # Renews, but the epoch now ends only by a write to the table.
    RETIRED = "retired"
    # Was retired and renews no more; counts for a takeover by the table.
    CLOSED = "closed"
    # The witness has seen a later epoch of this owner.
    SUPERSEDED = "superseded"
