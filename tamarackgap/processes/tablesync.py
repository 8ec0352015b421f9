"""Gets newer route tables from other daemons, and gives them this daemon's.

A large table takes a slow link long to carry. So a daemon has one request under
way at a time, and daemons that hear of a new table together ask different ones
of those that have it. One that is asked by many sends a few copies, and tells
the others who has got one.
"""

import random
import zlib
from collections.abc import Callable

from tamarackgap import logs
from tamarackgap.network import scheduler
from tamarackgap.peers import calls
from tamarackgap.traffic import routetable

# Daemons that read a new table tell all others within this time.
_GATHER_S = 0.1
_MIN_RETRY_S = 1.0
_MAX_RETRY_S = 4.0
# Pause after a request that had no connection to be sent on.
_NO_CONNECTION_PAUSE_S = 0.05
# A daemon that was asked, and has not named its version for so long, may have
# ended.
_HOLDER_SILENCE_S = 1.2
# Largest size of all copies that are sent within the time below.
_MAX_COPIES_BYTES = 262_144
_COPIES_PERIOD_S = 1.0
# Number of daemons that are named to one that gets no copy.
_HOLDERS_NAMED = 3
_MAX_TABLE_BYTES = 67_108_864
_COMPRESSION_LEVEL = 1

# Sends a message to the daemon at an address; returns whether there is a
# connection to it.
Send = Callable[
    [
        str,
        calls.RouteTableRequest
        | calls.RouteTableUpdate
        | calls.RouteTableHolders,
    ],
    bool,
]


class RouteTableSync:
    """Requests newer route tables, and answers such requests."""

    def __init__(
        self,
        send: Send,
        timers: scheduler.Scheduler,
        rng: random.Random,
        route_table: Callable[[], routetable.RouteTable | None],
    ) -> None:
        """Creates an instance that has requested nothing.

        Args:
            send: Sends messages to other daemons.
            timers: The loop's scheduler.
            rng: Chooses whom to ask.
            route_table: Returns the route table in force here.
        """
        self._send = send
        self._timers = timers
        self._rng = rng
        self._route_table = route_table
        # Versions that daemons have, newer than this daemon's, by address.
        self._newer: dict[str, int] = {}
        # Sends the next request; None if no newer version is known.
        self._timer: scheduler.Timer | None = None
        # Version of the table that has been requested.
        self._requested = 0
        # Daemons that were sent a request for it.
        self._asked: set[str] = set()
        self._retry_s = _MIN_RETRY_S
        self._requested_at = 0.0
        # The daemon asked last, and when it has named its version last.
        self._last_asked = ""
        self._last_named_at = 0.0
        # Daemons that this one has sent the table in force to.
        self._recipients: list[str] = []
        # Times at which copies were sent lately.
        self._copy_times: list[float] = []
        # Daemons that wait for a table that this one does not have yet, and
        # the versions that they need.
        self._waiting: dict[str, int] = {}
        # The table in force here, compressed, and its version.
        self._compressed = b""
        self._compressed_version = 0

    @property
    def knows_newer(self) -> bool:
        """Whether another daemon has a newer table than this one."""
        current = self._own_version()
        return any(version > current for version in self._newer.values())

    def record_version(self, version: int, address: str) -> None:
        """Records the version that a daemon has, and requests a newer one.

        This daemon may be unable to read it from the store.
        """
        current = self._own_version()
        if version <= current:
            return
        if address == self._last_asked:
            self._last_named_at = self._timers.now
        is_new_holder = (
            self._newer.get(address) != version and address not in self._asked
        )
        self._newer[address] = version
        if self._timer is not None:
            if not self._requested:
                return
            if current < self._requested:
                if is_new_holder:
                    self._hurry()
                return
            # The table that was requested has arrived meanwhile.
        self._requested = 0
        self._asked.clear()
        self._retry_s = _MIN_RETRY_S
        self._schedule(self._rng.uniform(0.0, _GATHER_S))

    def _hurry(self) -> None:
        """Asks a daemon that has the table now if the one asked has ended."""
        silent_since = max(self._requested_at, self._last_named_at)
        if self._timers.now - silent_since >= _HOLDER_SILENCE_S:
            self._schedule(0.0)

    def handle_holders(self, holders: tuple[str, ...], address: str) -> None:
        """Asks one of the daemons that another one has sent copies to.

        Args:
            holders: Their addresses.
            address: Address of the daemon that has named them.
        """
        if address != self._last_asked or self._timer is None:
            return
        if self._own_version() >= self._requested:
            return
        for holder in holders:
            if holder not in self._asked:
                self._newer.setdefault(holder, self._requested)
        self._schedule(self._rng.uniform(0.0, _GATHER_S))

    def was_asked(self, address: str) -> bool:
        """Returns whether a daemon has been asked for the table."""
        return address in self._asked

    def answer(self, address: str, version: int) -> None:
        """Answers a daemon that has requested the table.

        Args:
            address: Its address.
            version: The version that it needs. If this daemon does not have it
                yet, the answer is sent once it has.
        """
        table = self._route_table()
        if table is None or table.version < version:
            self._waiting[address] = version
            return
        self._waiting.pop(address, None)
        if table.version != self._compressed_version:
            self._compressed = zlib.compress(table.source, _COMPRESSION_LEVEL)
            self._compressed_version = table.version
            self._recipients.clear()
        now = self._timers.now
        self._copy_times = [
            time for time in self._copy_times if now - time < _COPIES_PERIOD_S
        ]
        others = [other for other in self._recipients if other != address]
        size = (len(self._copy_times) + 1) * len(self._compressed)
        if others and size > _MAX_COPIES_BYTES:
            named = self._rng.sample(others, min(len(others), _HOLDERS_NAMED))
            self._send(address, calls.RouteTableHolders(tuple(named)))
            return
        self._copy_times.append(now)
        self._recipients.append(address)
        self._send(address, calls.RouteTableUpdate(self._compressed))

    def handle_change(self) -> None:
        """Answers daemons that wait for the table that has come into force."""
        for address, version in list(self._waiting.items()):
            self.answer(address, version)

    def _schedule(self, pause: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.after(pause, self._request)

    def _own_version(self) -> int:
        table = self._route_table()
        return table.version if table is not None else 0

    def _request(self) -> None:
        """Requests the newest table, and again if it does not arrive."""
        current = self._own_version()
        self._newer = {
            address: version
            for address, version in self._newer.items()
            if version > current
        }
        if not self._newer:
            self._timer = None
            return
        newest = max(self._newer.values())
        holders = [a for a, v in self._newer.items() if v == newest]
        address = self._rng.choice(
            [a for a in holders if a not in self._asked] or holders
        )
        # Others are asked first the next time.
        if len(self._newer) > 1:
            del self._newer[address]
        if not self._send(address, calls.RouteTableRequest(newest)):
            self._schedule(_NO_CONNECTION_PAUSE_S)
            return
        logs.event(
            "route_table_requested",
            version=newest,
            current=current,
            address=address,
        )
        self._requested = newest
        self._requested_at = self._timers.now
        self._last_asked = address
        self._asked.add(address)
        self._schedule(self._retry_s)
        self._retry_s = min(self._retry_s * 2, _MAX_RETRY_S)


def decode_update(update: calls.RouteTableUpdate) -> bytes | None:
    """Returns the table in an update as the operators wrote it.

    Returns:
        The table's bytes, or None if they can't be read or are too many.
    """
    decompressor = zlib.decompressobj()
    try:
        source = decompressor.decompress(update.source, _MAX_TABLE_BYTES)
    except zlib.error as error:
        logs.unreadable_event("route_table_malformed", error=str(error))
        return None
    if not decompressor.eof:
        logs.unreadable_event("route_table_malformed", error="incomplete")
        return None
    return source
