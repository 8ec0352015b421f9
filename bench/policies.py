"""Ways to place keys: ours, and the baselines beside it.

Each is stepped second by second on a made-up clock. A policy knows which
servers are there, their weights, and the load as its owners measured it.
"""

import bisect
import random

import msgspec
import xxhash

from tamarackgap import types
from tamarackgap.ownership import loads
from tamarackgap.placement import loadstats, placement, slots

SLOTS = 256
_BOUND = 1.25
_RING_POINTS = 64


class Server(msgspec.Struct):
    """A server as the policies see it.

    Attributes:
        name: Its name.
        data_centre: Where it stands.
        weight: Its weight in the operators' table.
        up: Whether it serves.
    """

    name: str
    data_centre: str
    weight: int = 100
    up: bool = True


def _hash(*parts: object) -> int:
    return xxhash.xxh3_64_intdigest("/".join(map(str, parts)).encode())


def _usable(servers: list[Server]) -> list[Server]:
    return [server for server in servers if server.up and server.weight]


class Policy:
    """What all policies share: keys to server names."""

    name = "?"
    remembers_crashes = False
    resends_unsafely = True

    def __init__(self, seed: int) -> None:
        """Creates a policy that has placed nothing."""
        self.rng = random.Random(seed)

    def place(self, key: str, servers: list[Server]) -> str:
        """Returns the server for a key."""
        raise NotImplementedError

    def step(self, servers: list[Server], now: float) -> None:
        """Does what is due in this second."""

    def record_request(self, key: str, server: str, now: float) -> None:
        """Notes a request."""


class Modulo(Policy):
    """Hash modulo the number of servers."""

    name = "modulo"

    def place(self, key: str, servers: list[Server]) -> str:
        """Returns the server for a key."""
        usable = _usable(servers)
        return usable[_hash(key) % len(usable)].name


class Rendezvous(Policy):
    """Highest random weight, with weights."""

    name = "rendezvous"

    def place(self, key: str, servers: list[Server]) -> str:
        """Returns the server for a key."""
        return max(
            _usable(servers),
            key=lambda server: (
                ((_hash(key, server.name) + 1) / 2**64) ** (100 / server.weight)
            ),
        ).name


class BoundedRing(Policy):
    """Consistent hashing with bounded loads."""

    name = "bounded-ring"

    def __init__(self, seed: int) -> None:
        """Creates a ring without keys."""
        super().__init__(seed)
        self._ring: list[tuple[int, str]] = []
        self._members: tuple[str, ...] = ()
        self._load: dict[str, int] = {}
        self._placed: dict[str, str] = {}

    def step(self, servers: list[Server], now: float) -> None:
        """Counts loads anew each second."""
        self._load = {}
        self._placed = {}

    def place(self, key: str, servers: list[Server]) -> str:
        """Returns the first server on the ring with room."""
        usable = _usable(servers)
        names = tuple(server.name for server in usable)
        if names != self._members:
            self._members = names
            self._ring = sorted(
                (_hash(name, point), name)
                for name in names
                for point in range(_RING_POINTS)
            )
        total = sum(self._load.values()) + 1
        most = _BOUND * total / len(usable) + 1
        start = bisect.bisect(self._ring, (_hash(key), ""))
        for offset in range(len(self._ring)):
            name = self._ring[(start + offset) % len(self._ring)][1]
            if self._load.get(name, 0) < most:
                self._load[name] = self._load.get(name, 0) + 1
                return name
        return usable[0].name


class RandomRetry(Policy):
    """A random server for each request, and resends without end."""

    name = "random-retry"

    def place(self, key: str, servers: list[Server]) -> str:
        """Returns any server."""
        return self.rng.choice(_usable(servers)).name


class Tamarackgap(Policy):
    """Slots, owners' own plans, successors: the functions that ship."""

    name = "tamarackgap"
    remembers_crashes = True
    resends_unsafely = False

    def __init__(self, seed: int) -> None:
        """Creates a service whose slots are not given out yet."""
        super().__init__(seed)
        self.owner: dict[int, str] = {}
        self._since: dict[int, float] = {}
        self._changed: dict[str, float] = {}
        self._meters: dict[str, loadstats.SlotMeter] = {}
        self._told: dict[str, loads.Loads] = {}
        self.moved_slots = 0

    def slot(self, key: str) -> int:
        """Returns a key's slot."""
        return slots.slot_of_key(types.Key(key), SLOTS)

    def place(self, key: str, servers: list[Server]) -> str:
        """Returns the slot's owner."""
        return self.owner[self.slot(key)]

    def record_request(self, key: str, server: str, now: float) -> None:
        """Meters a request at its owner."""
        self._meters[server].count(self.slot(key), now)

    def step(self, servers: list[Server], now: float) -> None:
        """Takes lost slots over, tells loads, and lets each owner plan."""
        usable = [server for server in servers if server.up]
        for server in usable:
            self._meters.setdefault(server.name, loadstats.SlotMeter(now))
            self._told.setdefault(server.name, loads.Loads())
        if not self.owner:
            for slot in range(SLOTS):
                self._give(slot, usable[slot % len(usable)].name, now - 60)
            self._changed.clear()
        self._take_over(usable, now)
        rates = {s.name: self._rates(s.name, now) for s in usable}
        self._tell(rates, now)
        for server in usable:
            self._plan(server, usable, rates[server.name], now)

    def _give(self, slot: int, name: str, now: float) -> None:
        for changed in (self.owner.get(slot), name):
            if changed is not None:
                self._changed[changed] = now
        self.owner[slot] = name
        self._since[slot] = now

    def _take_over(self, usable: list[Server], now: float) -> None:
        names = [server.name for server in usable if server.weight]
        counts = dict.fromkeys(names, 0)
        alive = {server.name for server in usable}
        lost = [s for s, o in self.owner.items() if o not in alive]
        for slot in lost:
            heir = min(
                names, key=lambda name: (counts[name], _hash(slot, name))
            )
            counts[heir] += 1
            self._give(slot, heir, now)
            self.moved_slots += 1

    def _rates(self, name: str, now: float) -> dict[int, float]:
        since = {s: self._since[s] for s, o in self.owner.items() if o == name}
        return self._meters[name].rates(since, now)

    def _tell(self, rates: dict[str, dict[int, float]], now: float) -> None:
        for name, own in rates.items():
            settled = now - self._changed.get(name, -60.0) >= 5.0
            total = sum(own.values())
            told = total if settled or total < 5.0 else None
            for known in self._told.values():
                known.record(name, told, now)

    def _plan(
        self,
        server: Server,
        usable: list[Server],
        rates: dict[int, float],
        now: float,
    ) -> None:
        fresh = self._told[server.name].fresh(now)
        members = [
            placement.Member(
                other.name,
                other.name,
                other.data_centre,
                other.weight,
                tuple(s for s, o in self.owner.items() if o == other.name),
                fresh.get(other.name),
            )
            for other in usable
        ]
        for move in placement.plan_moves(SLOTS, members, rates)[:64]:
            if move.source == server.name:
                self._give(move.slot, move.destination, now)
                self.moved_slots += 1


ALL = (Tamarackgap, Modulo, Rendezvous, BoundedRing, RandomRetry)
