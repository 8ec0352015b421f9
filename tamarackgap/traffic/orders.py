"""Orders to the local target: which keys it is to hold or release."""

from collections.abc import Callable

import msgspec


class Grant(msgspec.Struct, frozen=True):
    """Orders the target to hold a range of slots for some time.

    Attributes:
        first: First key position of the range.
        last: Last key position of the range, inclusive.
        fence: The fence that is sent to the target.
        hold_s: Hold time from the arrival of the grant, seconds.
        handover: Text that the previous holder returned with its release, or
            "".
        until: Monotonic time by which the target no longer holds the slots,
            seconds.
        is_proof: Whether its answer must be certain to be its own.
    """

    first: int
    last: int
    fence: int
    hold_s: float
    handover: str
    until: float
    is_proof: bool = False


class Release(msgspec.Struct, frozen=True):
    """Orders the target to release a range of slots.

    Attributes:
        first: First key position of the range.
        last: Last key position of the range, inclusive.
        fence: The fence that was sent with the latest grant.
    """

    first: int
    last: int
    fence: int


class OrderResult(msgspec.Struct, frozen=True):
    """Holds the outcome of an order.

    Attributes:
        acknowledged: Whether the target answered that it executed the order.
        superseded: Whether the target has seen a higher fence.
        handover: Text that the next holder gets with its grant, or "".
        is_certain: Whether the answer can't be a copy of one to an earlier
            order.
    """

    acknowledged: bool
    superseded: bool = False
    handover: str = ""
    is_certain: bool = True


# Sends an order to the target. Takes the order, the longest time to wait for an
# answer in seconds, and a callback.
SendOrder = Callable[
    [Grant | Release, float, Callable[[OrderResult], None]],
    None,
]
