"""Gets newer route tables from other daemons, and gives them this daemon's.

A large table takes a slow link long to carry. So a daemon has one request under
way at a time, and daemons that hear of a new table together ask different ones
of those that have it.
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
_MAX_TABLE_BYTES = 67_108_864
_COMPRESSION_LEVEL = 1

# Sends a message to the daemon at an address.
Send = Callable[
    [str, calls.RouteTableRequest | calls.RouteTableUpdate],
    None,
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
        self._newer[address] = version
        if self._timer is not None:
            if current < self._requested or not self._requested:
                return
            # The table that was requested has arrived meanwhile.
            self._timer.cancel()
        self._requested = 0
        self._asked.clear()
        self._retry_s = _MIN_RETRY_S
        self._timer = self._timers.after(
            self._rng.uniform(0.0, _GATHER_S), self._request
        )

    def was_asked(self, address: str) -> bool:
        """Returns whether a daemon has been asked for the table."""
        return address in self._asked

    def answer(self, address: str) -> None:
        """Sends this daemon's table to one that has requested it."""
        table = self._route_table()
        if table is None:
            return
        if table.version != self._compressed_version:
            self._compressed = zlib.compress(table.source, _COMPRESSION_LEVEL)
            self._compressed_version = table.version
        self._send(address, calls.RouteTableUpdate(self._compressed))

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
        address = self._rng.choice(holders)
        logs.event(
            "route_table_requested",
            version=newest,
            current=current,
            address=address,
        )
        # Others are asked first the next time.
        if len(self._newer) > 1:
            del self._newer[address]
        self._requested = newest
        self._asked.add(address)
        self._send(address, calls.RouteTableRequest())
        self._timer = self._timers.after(self._retry_s, self._request)
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
