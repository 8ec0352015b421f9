"""Checks from the servers' side who holds which keys."""

import collections
import itertools
import threading
import time

from review.shared2 import deployment
from standins import appserver, keyranges

_KEYS = range(0, 65_536, 128)
_INTERVAL_S = 0.02
_LONGEST_S = 0.5
# After a longer pause of this process orders may have been taken late, which
# the rule excuses; the half second begins anew.
_LONGEST_PAUSE_S = 0.1


class OwnerCheck:
    """Checks the three parts of the rule OWNER, as they are written.

    Attributes:
        broken: Number of breaches by part: `begun`, `fence`, `held`.
    """

    def __init__(
        self,
        record: deployment.Record,
        servers: "list[deployment.Server]",
    ) -> None:
        """Creates a check; `start` begins it.

        Args:
            record: Gets a line for the first breaches of each part.
            servers: All servers that take keys; may grow.
        """
        self.broken: collections.Counter[str] = collections.Counter()
        self._record = record
        self._servers = servers
        self._stop = threading.Event()
        # Instance and latest hold of each range and fence ever taken.
        self._taken: list[tuple[str, keyranges.Hold]] = []
        # Since when two servers hold a key, and which of two servers that share
        # keys have begun requests for such keys since they do.
        self._shared: dict[tuple[str, str, int], float] = {}
        self._begun: dict[tuple[str, str], dict[str, int]] = {}
        self._reported: set[tuple[str, str, str]] = set()

    def watch(self, server: deployment.Server) -> None:
        """Watches a server that has not started."""
        record_arrival = server.on_run_started

        def handle_run(
            running: appserver.AppServer, request_id: str, key: int | None
        ) -> None:
            record_arrival(running, request_id, key)
            self._check_run(running.instance, key)

        server.on_run_started = handle_run
        server.on_hold_taken = self._check_fence
        self._servers.append(server)

    def start(self) -> None:
        """Starts to look at the holds of all servers."""
        threading.Thread(target=self._look, daemon=True).start()

    def stop(self) -> None:
        """Ends the check."""
        self._stop.set()

    def _report(self, part: str, one: str, other: str, text: str) -> None:
        self.broken[part] += 1
        if (part, one, other) not in self._reported:
            self._reported.add((part, one, other))
            self._record.add(f"OWNER ({part}) {one} and {other}: {text}")

    # Called while no server's holds change.

    def _check_fence(
        self, server: appserver.AppServer, hold: keyranges.Hold
    ) -> None:
        now = time.monotonic()
        for instance, earlier in self._taken:
            if (
                instance != server.instance
                and earlier.overlaps(hold.first, hold.last)
                and earlier.fence >= hold.fence
                and not self._is_renewal(server.instance, hold, earlier, now)
            ):
                self._report(
                    "fence",
                    server.instance,
                    instance,
                    f"keys {hold.first} to {hold.last} taken with"
                    f" {hold.fence}; {earlier.first} to {earlier.last} were"
                    f" taken with {earlier.fence}",
                )
        self._taken = [
            (instance, earlier)
            for instance, earlier in self._taken
            if instance != server.instance
            or (earlier.first, earlier.last, earlier.fence)
            != (hold.first, hold.last, hold.fence)
        ]
        self._taken.append((server.instance, hold))

    def _is_renewal(
        self,
        instance: str,
        hold: keyranges.Hold,
        other: keyranges.Hold,
        now: float,
    ) -> bool:
        """Returns whether a server holds what it shares with another already.

        Args:
            instance: The server.
            hold: What it is granted.
            other: What the other server had.
            now: Monotonic time, seconds.
        """
        shared = [
            keyranges.KeyRange(
                max(hold.first, other.first), min(hold.last, other.last)
            )
        ]
        for holder, earlier in self._taken:
            if holder == instance and earlier.until > now:
                shared = keyranges.without(shared, earlier.first, earlier.last)
        return not shared

    def _check_run(self, instance: str, key: int | None) -> None:
        if key is None:
            return
        by_name = {server.instance: server for server in self._servers}
        for other, server in by_name.items():
            if other == instance or not server.holds(key):
                continue
            pair = tuple(sorted((instance, other)))
            begun = self._begun.setdefault(pair, {})
            begun[instance] = key
            earlier = begun.get(other)
            if earlier is not None and all(
                by_name[name].holds(earlier) for name in pair
            ):
                self._report(
                    "begun",
                    *pair,
                    f"both hold keys {earlier} and {key}, and begin requests"
                    " for them",
                )

    def _look(self) -> None:
        looked_at = time.monotonic()
        while not self._stop.wait(_INTERVAL_S):
            now = time.monotonic()
            if now - looked_at > _LONGEST_PAUSE_S:
                self._shared.clear()
            looked_at = now
            holds = [
                (server.instance, hold)
                for server in list(self._servers)
                for hold in server.live_holds
            ]
            shared = set()
            for (one, hold), (other, hold_of_other) in itertools.combinations(
                holds, 2
            ):
                first = max(hold.first, hold_of_other.first)
                last = min(hold.last, hold_of_other.last)
                if one == other or first > last:
                    continue
                for key in _KEYS[(first + 127) // 128 : last // 128 + 1]:
                    shared.add((*sorted((one, other)), key))
            for pair in self._shared.keys() - shared:
                self._shared.pop(pair)
            # Requests begun in another time do not count together.
            sharing = {pair[:2] for pair in shared}
            for pair in list(self._begun):
                if pair not in sharing:
                    self._begun.pop(pair, None)
            for pair in shared:
                since = self._shared.setdefault(pair, now)
                if now - since > _LONGEST_S:
                    self._report(
                        "held", *pair[:2], f"both hold key {pair[2]} for 0.5 s"
                    )
