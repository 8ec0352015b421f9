"""Keeps the newest route table in force at this daemon."""

import math
import random
from collections.abc import Callable, Iterable

from tamarackgap import logs
from tamarackgap.network import scheduler
from tamarackgap.peers import calls
from tamarackgap.placement import records
from tamarackgap.processes import tablesync
from tamarackgap.traffic import (
    adapter,
    routetable,
    storewatch,
    tablefreshness,
)

# A route that is not in the table counts as absent only if the table was the
# newest so lately: the operators' changes are in force within this time.
_MAX_PROOF_AGE_S = 2.0
# After such a time without proof, all daemons are told of a new one at once.
_LONG_WITHOUT_PROOF_S = 4.0

# Called with a table that comes into force, and its source: "store", or the
# address of the daemon that has sent it.
OnChange = Callable[[routetable.RouteTable, str], None]


def _do_nothing() -> None:
    """Is called where nobody is to be told."""


class RouteTableKeeper:
    """Reads route tables from the store, or gets them from other daemons.

    Attributes:
        on_store_news: Called when all daemons should hear from this one at
            once, since it has a new table or the store answers again.
    """

    def __init__(
        self,
        store: adapter.Store,
        decode: Callable[[bytes], routetable.RouteTable | None],
        timers: scheduler.Scheduler,
        rng: random.Random,
        send: tablesync.Send,
        on_change: OnChange,
    ) -> None:
        """Creates a keeper without a table.

        Args:
            store: The platform's store.
            decode: Decodes a table that another daemon has passed on; returns
                None if it is malformed.
            timers: The loop's scheduler.
            rng: Chooses whom to ask for a newer table.
            send: Sends messages to other daemons.
            on_change: Called with each table that comes into force.
        """
        self._store = store
        self._decode = decode
        self._timers = timers
        self._on_change = on_change
        self.on_store_news: Callable[[], None] = _do_nothing
        self._table: routetable.RouteTable | None = None
        self._index: routetable.RouteIndex | None = None
        self._since = timers.now
        # Version of the last table read from the store itself.
        self._stored_version = 0
        self._has_news = False
        # Calls to the store that were sent before may be lost, as this or
        # another daemon has found. Milliseconds on the store's clock.
        self._calls_lost_before_ms = 0
        # Whether this daemon waits for changes of the store's table.
        self._is_watcher = True
        self._freshness = tablefreshness.TableFreshness(
            lambda: store.to_store_clock(timers.now)
        )
        self._sync = tablesync.RouteTableSync(
            send, timers, rng, lambda: self._table
        )

    @property
    def table(self) -> routetable.RouteTable | None:
        """The table in force, None before the first one."""
        return self._table

    @property
    def index(self) -> routetable.RouteIndex | None:
        """Finds routes of the table in force; None before the first one."""
        return self._index

    @property
    def version(self) -> int:
        """Version of the table in force, 0 before the first one."""
        return self._table.version if self._table is not None else 0

    @property
    def in_force_since(self) -> float:
        """When the table came into force, monotonic seconds."""
        return self._since

    @property
    def as_of_ms(self) -> int:
        """Last time at which the table in force was the newest.

        Milliseconds on the store's clock; 0 if that is not known.
        """
        as_of = self._freshness.as_of
        return round(as_of * 1000) if math.isfinite(as_of) else 0

    @property
    def calls_lost_before_ms(self) -> int:
        """Calls to the store that were sent before this time may be lost.

        Milliseconds on the store's clock; 0 if none was found to be.
        """
        return self._calls_lost_before_ms

    @property
    def proof_age(self) -> float:
        """Time since then, seconds; infinite if it is not known."""
        return self._freshness.age

    @property
    def knows_newer(self) -> bool:
        """Whether another daemon has a newer table than this one."""
        return self._sync.knows_newer

    def start(self) -> None:
        """Starts to read tables from the store."""
        self._store.on_poll_lost = self._handle_lost_poll
        self._store.watch_route_table(self._handle_read, self._handle_check)

    def can_deny_route(self) -> bool:
        """Returns whether a route that is not in the table is not in any.

        If that is not known, asks the store.
        """
        is_proven = self._freshness.age <= _MAX_PROOF_AGE_S
        if not is_proven:
            self._store.check_route_table()
        return (
            is_proven
            and not self._sync.knows_newer
            and self._table is not None
            and self._table.is_complete
        )

    def set_read_plans(
        self,
        own_address: str,
        data_centre: str,
        members: Iterable[records.LeaseRecord],
        is_owner: bool,
        is_reachable: Callable[[str], bool],
    ) -> None:
        """Sets how this daemon follows the store among all daemons.

        Args:
            own_address: This daemon's address for other daemons.
            data_centre: This daemon's data centre.
            members: Open records of all daemons.
            is_owner: Whether it owns slots, or its target's service has keys.
            is_reachable: Tells whether an incarnation has been heard from
                lately.
        """
        members = list(members)
        turn = storewatch.find_turn(
            own_address, data_centre, members, is_reachable
        )
        if (turn is not None) is not self._is_watcher:
            self._is_watcher = turn is not None
            logs.event("route_table_watch", waits=self._is_watcher)
        self._store.set_row_plan(
            storewatch.row_plan(len(members), is_owner, turn)
        )
        self._store.set_route_table_plan(storewatch.route_table_plan(turn))

    # Other daemons.

    def hear_version(self, version: int, as_of_ms: int, address: str) -> None:
        """Handles the version that another daemon has, and its proof.

        Args:
            version: The version.
            as_of_ms: The other daemon's `as_of_ms`.
            address: Its address.
        """
        as_of = as_of_ms / 1000
        if self._freshness.hear_answer(as_of):
            self._store.handle_news(as_of)
        match self._freshness.assess(version, as_of, address):
            case tablefreshness.Claim.NEWER:
                self._sync.record_version(version, address)
            case tablefreshness.Claim.DOUBTFUL:
                self._store.check_route_table()
            case tablefreshness.Claim.NOT_NEWER:
                pass

    def hear_lost_calls(self, before_ms: int) -> None:
        """Handles that another daemon has found calls to be lost.

        Args:
            before_ms: The other daemon's `calls_lost_before_ms`.
        """
        before = before_ms / 1000
        if (
            before_ms > self._calls_lost_before_ms
            and not self._freshness.is_in_future(before)
        ):
            self._calls_lost_before_ms = before_ms
            self._store.check_calls_sent_before(before)

    def send_table(self, address: str, version: int) -> None:
        """Answers a daemon that has requested a version of the table."""
        self._sync.answer(address, version)

    def handle_holders(self, holders: tuple[str, ...], address: str) -> None:
        """Handles the answer of a daemon that has named others to ask."""
        self._sync.handle_holders(holders, address)

    def handle_update(
        self, update: calls.RouteTableUpdate, address: str
    ) -> None:
        """Applies a table that another daemon has sent on request."""
        if not self._sync.was_asked(address):
            logs.unreadable_event("route_table_not_requested", address=address)
            return
        source = tablesync.decode_update(update)
        table = self._decode(source) if source else None
        if table is not None:
            self._apply(table, address)

    # The store.

    def _handle_lost_poll(self, lost_at: float) -> None:
        """Tells all daemons of a lost poll, unless only this one had trouble.

        Args:
            lost_at: When it should have ended, seconds on the store's clock.
        """
        if self._freshness.newest_answer > lost_at:
            return
        now = self._store.to_store_clock(self._timers.now)
        self._calls_lost_before_ms = round(now * 1000)
        logs.event("store_calls_lost", before_ms=self._calls_lost_before_ms)
        self.on_store_news()

    def _handle_read(self, table: routetable.RouteTable) -> None:
        self._stored_version = table.version
        # The others are told of it with its proof, which follows at once.
        # Those with a later proof of the version before would doubt it.
        self._has_news |= self._apply(table, "store")

    def _handle_check(self, as_of: float) -> None:
        """Records that the store's table is still the newest.

        Args:
            as_of: Time of that on the store's clock, seconds.
        """
        has_news, self._has_news = self._has_news, False
        if self._stored_version == self.version:
            age = self._freshness.age
            self._freshness.record_read(as_of)
            has_news |= self._is_watcher and age > _LONG_WITHOUT_PROOF_S
        if has_news:
            self.on_store_news()

    def _apply(self, table: routetable.RouteTable, source: str) -> bool:
        """Puts a table into force if it is newer; returns whether it is.

        Args:
            table: The table.
            source: "store", or the address of the daemon that has sent it.
        """
        if self._table is not None and table.version <= self._table.version:
            return False
        self._table = table
        self._since = self._timers.now
        self._index = routetable.RouteIndex(table)
        self._freshness.set_version(table.version)
        self._on_change(table, source)
        self._sync.handle_change()
        return True
