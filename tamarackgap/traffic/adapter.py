"""What the router needs of the world around it, as functions.

Whoever embeds the router says here how requests, answers, orders and
announcements are spelled, and where rows are kept.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec
from returns import result

from tamarackgap import types
from tamarackgap.network import httppool, httpserver
from tamarackgap.ownership import effects
from tamarackgap.peers import calls
from tamarackgap.placement import records
from tamarackgap.traffic import localtarget, routetable, runner, slotgrants


class DecodedRequest(msgspec.Struct, frozen=True):
    """A caller's request, decoded.

    Attributes:
        host: The host that it names, without port.
        call: What is to be run.
        timeout: How long the caller waits, seconds; None if it did not say.
    """

    host: str
    call: calls.Call
    timeout: float | None


class Response(msgspec.Struct, frozen=True):
    """An answer, as it is spelled to a caller or a target."""

    status: int
    headers: httpserver.Headers
    body: bytes


class Store(Protocol):
    """Where rows last, and where the operators' table is found."""

    def watch(
        self,
        rows: Callable[[list[records.Row], int, float], None],
        failed: Callable[[str], None],
    ) -> None:
        """Reads all rows, then each change, for good.

        Args:
            rows: Called after each read, with the rows, the revision up to
                which they go, and since when that is known.
            failed: Called with the cause when a read has failed.
        """

    def watch_route_table(
        self, changed: Callable[[routetable.RouteTable], None]
    ) -> None:
        """Reads the operators' table, and each new version, for good."""

    def skip_pause(self) -> None:
        """Reads the next changes now, if a pause after the last is on."""

    def set_pause(self, pause: float) -> None:
        """Sets how long changes of the rows are gathered, seconds."""

    def commit(
        self,
        transaction: records.Transaction,
        done: Callable[[effects.CommitState, list[records.Row]], None],
    ) -> None:
        """Puts a transaction; its outcome may stay unknown."""

    def call_counts(self) -> dict[str, int]:
        """Returns how many calls were made, by kind and result."""


class Adapter(msgspec.Struct, frozen=True):
    """All that the router needs of the world around it.

    Attributes:
        store: Where rows last.
        decode_call: Returns a request decoded, from the request and the
            service of this VM, or what is wrong with it.
        encode_answer: Returns how a completion is told to the caller.
        codec: How calls are spelled towards targets.
        encode_order: Returns the bytes of an order to the target.
        decode_order_answer: Returns what the answer to an order means.
        decode_announcement: Returns what a target says of itself; None for
            what is no announcement.
        decode_table: Returns the table that another daemon has passed on.
    """

    store: Store
    decode_call: Callable[
        [httpserver.IncomingRequest, types.ServiceName],
        result.Result[DecodedRequest, str],
    ]
    encode_answer: Callable[[calls.Completion], Response]
    codec: runner.Codec
    encode_order: Callable[[slotgrants.Grant | slotgrants.Release], bytes]
    decode_order_answer: Callable[[httppool.Answer], slotgrants.OrderResult]
    decode_announcement: Callable[
        [httpserver.IncomingRequest], localtarget.Announcement | None
    ]
    decode_table: Callable[[bytes], routetable.RouteTable | None]
