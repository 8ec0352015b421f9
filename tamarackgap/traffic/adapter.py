"""Defines what an embedder of the router has to provide.

That is a store for rows, and functions that encode and decode requests,
answers, orders and announcements.
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
from tamarackgap.traffic import (
    heartbeatorders,
    localtarget,
    orders,
    routetable,
    runner,
    storewatch,
)


class DecodedRequest(msgspec.Struct, frozen=True):
    """Holds a decoded request of a caller.

    Attributes:
        host: The host that the request names, without port.
        call: The request as it is handed to targets.
        timeout: Seconds that the caller waits; None if it does not say.
    """

    host: str
    call: calls.Call
    timeout: float | None


class Response(msgspec.Struct, frozen=True):
    """Holds an HTTP response.

    Attributes:
        status: The HTTP status.
        headers: The header fields.
        body: The whole body.
    """

    status: int
    headers: httpserver.Headers
    body: bytes


class Store(Protocol):
    """Stores rows durably and provides the operators' route table."""

    def watch(
        self,
        rows: Callable[[list[records.Row], int, float, int], None],
        failed: Callable[[str], None],
    ) -> None:
        """Starts to read all rows and then each change, without end.

        Args:
            rows: Called after each read with the rows read, the revision up to
                which all changes are known, the monotonic time in seconds at
                which that was so, and the store's era.
            failed: Called with the cause when a read has failed.
        """

    def watch_route_table(
        self,
        changed: Callable[[routetable.RouteTable], None],
        checked: Callable[[float], None],
    ) -> None:
        """Starts to read the route table and each new version, without end.

        Args:
            changed: Called with each version.
            checked: Called after each read with the time, in seconds on the
                store's clock, at which the last version was the newest.
        """

    def check_route_table(self) -> None:
        """Reads new versions of the route table now, without waiting."""

    def handle_news(self, answered_at: float) -> None:
        """Calls again at once where calls fail, since the store is back.

        Args:
            answered_at: When it answered another daemon, seconds on its clock.
        """

    def check_calls_sent_before(self, time: float) -> None:
        """Replaces calls under way that may be lost.

        Args:
            time: Those sent before may be, seconds on the store's clock.
        """

    def to_store_clock(self, time: float) -> float:
        """Returns a time of this process on the store's clock, seconds.

        It is minus infinity before the store's first answer.
        """

    def skip_pause(self) -> None:
        """Ends the pause after a read, if any, so that the next starts now."""

    def set_row_plan(self, plan: storewatch.ReadPlan) -> None:
        """Sets how rows are followed from the next read on."""

    def set_route_table_plan(self, plan: storewatch.ReadPlan) -> None:
        """Sets how the route table is followed from the next read on."""

    def commit(
        self,
        transaction: records.Transaction,
        done: Callable[[effects.CommitState, list[records.Row]], None],
        name: str = "",
    ) -> None:
        """Commits a transaction.

        Args:
            transaction: The transaction.
            done: Called with the outcome and with rows: those written if it was
                committed, the current ones if there was a conflict, none if
                the outcome is unknown.
            name: Who commits; a transaction that waits may be replaced by a
                later one of the same name.
        """

    def call_counts(self) -> dict[str, int]:
        """Returns the number of calls to the store, by kind and result."""


class Adapter(msgspec.Struct, frozen=True):
    """Holds what the embedder provides to the router.

    Attributes:
        store: The store for rows.
        decode_call: Decodes a caller's request. Takes the request and the
            service of this VM; returns what is wrong with it if it is
            malformed.
        encode_response: Returns the response to the caller for a completion.
        codec: Encodes calls for targets and decodes their answers.
        encode_order: Returns the bytes of an order to the target.
        is_order_answer: Returns whether an answer of the target may be the one
            to an order, and not a copy of one to an earlier order.
        decode_order_answer: Returns the outcome of an order from the target's
            answer.
        encode_announcement_answer: Returns the answer to an announcement. It
            tells the target what it is to hold, None for nothing to be said,
            and where it is to announce itself later, "" for no change.
        max_hold_ranges: Largest number of ranges in such an answer.
        decode_announcement: Decodes a target's announcement; returns None for
            any other request.
        decode_table: Decodes a route table that another daemon has passed on;
            returns None if it is malformed.
    """

    store: Store
    decode_call: Callable[
        [httpserver.IncomingRequest, types.ServiceName],
        result.Result[DecodedRequest, str],
    ]
    encode_response: Callable[[calls.Completion], Response]
    codec: runner.Codec
    encode_order: Callable[[orders.Grant | orders.Release], bytes]
    is_order_answer: Callable[
        [orders.Grant | orders.Release, httppool.Answer], bool
    ]
    decode_order_answer: Callable[[httppool.Answer], orders.OrderResult]
    encode_announcement_answer: Callable[
        [heartbeatorders.HoldList | None, str], Response
    ]
    max_hold_ranges: int
    decode_announcement: Callable[
        [httpserver.IncomingRequest], localtarget.Announcement | None
    ]
    decode_table: Callable[[bytes], routetable.RouteTable | None]
