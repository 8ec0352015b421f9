"""Defines the base class of HTTP exchanges and the causes of their failure."""

import enum
from collections.abc import Callable

import msgspec
from returns import result

from tamarackgap.network import scheduler


class Cause(enum.Enum):
    """The reason why a request has no usable answer."""

    # No process listens at the address. `httpclient` reports UNREACHABLE
    # instead.
    REFUSED = "refused"
    # No connection could be established.
    UNREACHABLE = "unreachable"
    # The connection ended before an answer arrived.
    CLOSED = "closed"
    TIMEOUT = "timeout"
    # The connection ended after a part of the answer.
    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    CANCELLED = "cancelled"


class Failure(msgspec.Struct, frozen=True):
    """Describes a request that has no usable answer.

    Attributes:
        cause: The reason.
        sent: Whether any byte of the request may have been sent.
    """

    cause: Cause
    sent: bool


class Exchange:
    """A request whose outcome is reported once.

    Each HTTP client adds the data that it needs in a subclass.

    Attributes:
        timer: Fails the exchange when its timeout expires, or None.
    """

    __slots__ = ("_done", "timer")

    def __init__(self, done: Callable[[result.Result], None]) -> None:
        """Creates an exchange that calls `done` once, with its outcome."""
        self.timer: scheduler.Timer | None = None
        self._done: Callable[[result.Result], None] | None = done

    @property
    def finished(self) -> bool:
        """Whether `done` has been called."""
        return self._done is None

    def finish(self, outcome: result.Result) -> None:
        """Reports the outcome; later outcomes are ignored."""
        done = self._done
        self._done = None
        if self.timer is not None:
            self.timer.cancel()
        if done is not None:
            done(outcome)
