"""Placement policies: that of tamarackgap, and the baselines it is compared to.

Each policy runs on a simulated clock with steps of one second. It knows which
servers are up, their weights, and the load that it has measured itself.
"""

import bisect
import random

import msgspec
import xxhash

from tamarackgap import types
from tamarackgap.ownership import loads
from tamarackgap.placement import loadstats, placement, slots

SLOTS = 256
_MAX_OVER_MEAN = 1.25
_RING_POINTS_PER_SERVER = 64


class Server(msgspec.Struct):
    """A server on which the policies place keys.

    Attributes:
        name: Name of the server.
        data_centre: Data centre that it is in.
        weight: Weight that the operators gave it, 100 by default.
        up: Whether it is running.
    """

    name: str
    data_centre: str
    weight: int = 100
    up: bool = True


def _hash(*parts: object) -> int:
    return xxhash.xxh3_64_intdigest("/".join(map(str, parts)).encode())


def _candidates(servers: list[Server]) -> list[Server]:
    """Returns the servers that may own keys."""
    return [server for server in servers if server.up and server.weight]


class Policy:
    """Base class of the policies: maps keys to names of servers.

    Attributes:
        name: Name in the table of results.
        remembers_crashes: Whether a request that crashed two servers is
            refused from then on.
        resends_unsafely: Whether a request that may have run is sent again
            even if it is not idempotent.
    """

    name = "?"
    remembers_crashes = False
    resends_unsafely = True

    def __init__(self, seed: int) -> None:
        """Creates a policy that has placed no keys yet."""
        self.rng = random.Random(seed)

    def place(self, key: str, servers: list[Server]) -> str:
        """Returns the name of the server that gets a key's request."""
        raise NotImplementedError

    def step(self, servers: list[Server], now: float) -> None:
        """Updates the policy at the start of each second."""

    def record_request(self, key: str, server: str, now: float) -> None:
        """Records that a server has got a request."""


class Modulo(Policy):
    """Hash of the key modulo the number of servers."""

    name = "modulo"

    def place(self, key: str, servers: list[Server]) -> str:
        """Returns the name of the server that gets a key's request."""
        candidates = _candidates(servers)
        return candidates[_hash(key) % len(candidates)].name


class Rendezvous(Policy):
    """Rendezvous hashing (highest random weight) with weighted servers."""

    name = "rendezvous"

    def place(self, key: str, servers: list[Server]) -> str:
        """Returns the name of the server that gets a key's request."""
        return max(
            _candidates(servers),
            key=lambda server: (
                ((_hash(key, server.name) + 1) / 2**64) ** (100 / server.weight)
            ),
        ).name


class BoundedRing(Policy):
    """Consistent hashing with bounded loads."""

    name = "bounded-ring"

    def __init__(self, seed: int) -> None:
        """Creates a ring without servers."""
        super().__init__(seed)
        self._ring: list[tuple[int, str]] = []
        self._members: tuple[str, ...] = ()
        self._load: dict[str, int] = {}
        self._placed: dict[str, str] = {}

    def step(self, servers: list[Server], now: float) -> None:
        """Resets the loads, which are counted per second."""
        self._load = {}
        self._placed = {}

    def place(self, key: str, servers: list[Server]) -> str:
        """Returns the next server on the ring with a load below the bound."""
        candidates = _candidates(servers)
        names = tuple(server.name for server in candidates)
        if names != self._members:
            self._members = names
            self._ring = sorted(
                (_hash(name, point), name)
                for name in names
                for point in range(_RING_POINTS_PER_SERVER)
            )
        total = sum(self._load.values()) + 1
        max_load = _MAX_OVER_MEAN * total / len(candidates) + 1
        start = bisect.bisect(self._ring, (_hash(key), ""))
        for offset in range(len(self._ring)):
            name = self._ring[(start + offset) % len(self._ring)][1]
            if self._load.get(name, 0) < max_load:
                self._load[name] = self._load.get(name, 0) + 1
                return name
        return candidates[0].name


class RandomRetry(Policy):
    """A random server for each request, with unlimited resends."""

    name = "random-retry"

    def place(self, key: str, servers: list[Server]) -> str:
        """Returns the name of a random server."""
        return self.rng.choice(_candidates(servers)).name


class Tamarackgap(Policy):
    """The placement of tamarackgap, built from its own functions.

    Keys map to slots. Each owner plans the moves of its own slots by the loads
    that all owners report; slots of a lost server go to its successors.
    """

    name = "tamarackgap"
    remembers_crashes = True
    resends_unsafely = False

    def __init__(self, seed: int) -> None:
        """Creates a service whose slots have no owners yet."""
        super().__init__(seed)
        self.owner: dict[int, str] = {}
        self._owned_since: dict[int, float] = {}
        self._slots_changed_at: dict[str, float] = {}
        self._meters: dict[str, loadstats.SlotMeter] = {}
        self._load_reports: dict[str, loads.MemberLoads] = {}
        self.moved_slots = 0

    def slot(self, key: str) -> int:
        """Returns the slot of a key."""
        return slots.slot_of_key(types.Key(key), SLOTS)

    def place(self, key: str, servers: list[Server]) -> str:
        """Returns the owner of the key's slot."""
        return self.owner[self.slot(key)]

    def record_request(self, key: str, server: str, now: float) -> None:
        """Counts a request in the load of its slot, at the slot's owner."""
        self._meters[server].count(self.slot(key), now)

    def step(self, servers: list[Server], now: float) -> None:
        """Takes lost slots over, reports loads, and moves slots."""
        up_servers = [server for server in servers if server.up]
        for server in up_servers:
            self._meters.setdefault(server.name, loadstats.SlotMeter(now))
            self._load_reports.setdefault(server.name, loads.MemberLoads())
        if not self.owner:
            for slot in range(SLOTS):
                self._assign(
                    slot, up_servers[slot % len(up_servers)].name, now - 60
                )
            self._slots_changed_at.clear()
        self._take_over(up_servers, now)
        rates = {s.name: self._slot_rates(s.name, now) for s in up_servers}
        self._report_loads(rates, now)
        for server in up_servers:
            self._move_slots(server, up_servers, rates[server.name], now)

    def _assign(self, slot: int, name: str, now: float) -> None:
        for affected in (self.owner.get(slot), name):
            if affected is not None:
                self._slots_changed_at[affected] = now
        self.owner[slot] = name
        self._owned_since[slot] = now

    def _take_over(self, up_servers: list[Server], now: float) -> None:
        names = [server.name for server in up_servers if server.weight]
        counts = dict.fromkeys(names, 0)
        up_names = {server.name for server in up_servers}
        lost_slots = [s for s, o in self.owner.items() if o not in up_names]
        for slot in lost_slots:
            successor = min(
                names, key=lambda name: (counts[name], _hash(slot, name))
            )
            counts[successor] += 1
            self._assign(slot, successor, now)
            self.moved_slots += 1

    def _slot_rates(self, name: str, now: float) -> dict[int, float]:
        owned_since = {
            s: self._owned_since[s] for s, o in self.owner.items() if o == name
        }
        return self._meters[name].rates(owned_since, now)

    def _report_loads(
        self, rates: dict[str, dict[int, float]], now: float
    ) -> None:
        for name, slot_rates in rates.items():
            # As in the daemon: slots that have just changed their owner are not
            # measured yet, and a low total is reported in any case.
            measured = now - self._slots_changed_at.get(name, -60.0) >= 5.0
            total = sum(slot_rates.values())
            reported = total if measured or total < 5.0 else None
            for reports in self._load_reports.values():
                reports.record(name, reported, now)

    def _move_slots(
        self,
        server: Server,
        up_servers: list[Server],
        rates: dict[int, float],
        now: float,
    ) -> None:
        known_rates = self._load_reports[server.name].recent(now)
        members = [
            placement.Member(
                other.name,
                other.name,
                other.data_centre,
                other.weight,
                tuple(s for s, o in self.owner.items() if o == other.name),
                known_rates.get(other.name),
            )
            for other in up_servers
        ]
        for move in placement.plan_moves(SLOTS, members, rates)[:64]:
            if move.source == server.name:
                self._assign(move.slot, move.destination, now)
                self.moved_slots += 1


ALL = (Tamarackgap, Modulo, Rendezvous, BoundedRing, RandomRetry)
