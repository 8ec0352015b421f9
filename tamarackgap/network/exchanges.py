"""A request on its way over a kept connection, and why it may fail."""

import enum
from collections.abc import Callable

import msgspec
from returns import result

from tamarackgap.network import scheduler


class Cause(enum.Enum):
    """Why a request has no answer."""

    # Nobody listens at the address.
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    CLOSED = "closed"
    TIMEOUT = "timeout"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    CANCELLED = "cancelled"


class Failure(msgspec.Struct, frozen=True):
    """A request without an answer.

    Attributes:
        cause: Why.
        sent: Whether any byte of the request may have reached the other side.
    """

    cause: Cause
    sent: bool


class Exchange:
    """A request on its way; its client says what more it needs of it."""

    __slots__ = ("_done", "timer")

    def __init__(self, done: Callable[[result.Result], None]) -> None:
        """Creates an exchange that calls `done` once."""
        self.timer: scheduler.Timer | None = None
        self._done: Callable[[result.Result], None] | None = done

    @property
    def finished(self) -> bool:
        """Whether `done` has been called."""
        return self._done is None

    def finish(self, outcome: result.Result) -> None:
        """Hands the outcome over, the first time."""
        done = self._done
        self._done = None
        if self.timer is not None:
            self.timer.cancel()
        if done is not None:
            done(outcome)
