"""Scenarios of load and faults: the policy beside its baselines.

Requests meet servers with a number of slots; a policy places their keys.
The decision functions are those that ship; servers and clock are made up.
"""

import heapq
import random

import matplotlib
import msgspec
from matplotlib import pyplot

from bench import policies, report, traffic

matplotlib.use("Agg")

_SECONDS = 90
_EVENT_AT = 30
_RATE = 900.0
_KEYS = 4000
_SLOTS_A_SERVER = 8
_DEADLINE_S = 2.0
# A loss costs what bench/recovery.py measured; a move some round trips.
_LOSS_S = 0.56
_MOVE_S = 0.03
_RESENDS = 4


class Scenario(msgspec.Struct, frozen=True):
    """What happens, at `_EVENT_AT` seconds."""

    name: str
    event: str


SCENARIOS = (
    Scenario("steady", ""),
    Scenario("flash hot key", "flash"),
    Scenario("weekend shift", "shift"),
    Scenario("server loss", "loss"),
    Scenario("data centre loss", "centre"),
    Scenario("rolling restart", "rolling"),
    Scenario("weight edit", "weight"),
    Scenario("misleading load", "lie"),
    Scenario("poison request", "poison"),
    Scenario("loss and flash", "loss+flash"),
)


class RunStats(msgspec.Struct):
    """What is counted in one run."""

    latencies: list[float] = []
    per_second: list[dict[str, int]] = []
    refused: int = 0
    doubled: int = 0
    moved_keys: int = 0
    moved_at_event: int = 0
    lost_slots: int = 0
    unserved_s: float = 0.0
    crashed: int = 0


class Simulation:
    """One policy in one scenario."""

    def __init__(
        self, make: type[policies.Policy], scenario: Scenario, seed: int
    ) -> None:
        """Creates twelve servers in three data centres."""
        self.rng = random.Random(seed)
        self.policy = make(seed)
        self.scenario = scenario
        self.servers = [
            policies.Server(f"s{index}", "abc"[index % 3])
            for index in range(12)
        ]
        self.keys = traffic.ZipfKeys(self.rng, _KEYS, 0.9)
        self.tally = RunStats(latencies=[], per_second=[])
        self._free = {s.name: [0.0] * _SLOTS_A_SERVER for s in self.servers}
        self._placed: dict[str, str] = {}
        self._blocked: dict[str, float] = {}
        self._down_until: dict[str, float] = {}
        self._lost_at: dict[str, float] = {}
        self._tried: dict[int, int] = {}
        self._convicted = False
        self._moved_before = 0

    def run(self) -> RunStats:
        """Runs all seconds."""
        number = 0
        for now in range(_SECONDS):
            self._event(now)
            self._restore(now)
            self.policy.step(self.servers, float(now))
            if now == _EVENT_AT + 4:
                moved = getattr(self.policy, "moved_slots", 0)
                self.tally.moved_at_event = moved - self._moved_before
            self.tally.per_second.append({})
            requests = traffic.requests_of_second(
                self.rng, self.keys, now, _RATE, number
            )
            number += len(requests)
            for request in requests:
                self._serve(request)
            if "poison" in self.scenario.event and now >= _EVENT_AT:
                self._poison(now)
        return self.tally

    def _event(self, now: int) -> None:
        event = self.scenario.event
        if now == _EVENT_AT:
            self._moved_before = getattr(self.policy, "moved_slots", 0)
            if "flash" in event:
                self.keys.set_hot_key("k7", 0.12)
            if event == "shift":
                self.keys.change_hottest(48)
            if "loss" in event:
                self._lose("s4", now, 40)
            if event == "centre":
                for server in self.servers:
                    if server.data_centre == "b":
                        self._lose(server.name, now, 40)
            if event == "weight":
                for server in self.servers:
                    if server.data_centre == "c":
                        server.weight = 50
        if event == "rolling" and now >= _EVENT_AT and now % 4 == 0:
            index = (now - _EVENT_AT) // 4
            if index < len(self.servers):
                self._lose(f"s{index}", now, 3)

    def _lose(self, name: str, now: float, seconds: float) -> None:
        server = next(s for s in self.servers if s.name == name)
        server.up = False
        if now == _EVENT_AT:
            owners = getattr(self.policy, "owner", {}).values()
            self.tally.lost_slots += sum(owner == name for owner in owners)
        self._down_until[name] = now + seconds
        self._lost_at[name] = now

    def _restore(self, now: int) -> None:
        for server in self.servers:
            if not server.up and now >= self._down_until[server.name]:
                server.up = True
                self._free[server.name] = [float(now)] * _SLOTS_A_SERVER

    def _anybody(self) -> bool:
        return any(server.up and server.weight for server in self.servers)

    def _serve(self, request: traffic.Request) -> None:
        if not self._anybody():
            self.tally.refused += 1
            return
        name = self.policy.place(request.key, self.servers)
        wait = self._changed(request, name)
        free = self._free[name]
        begins = max(request.sent_at + wait, free[0])
        ends = begins + request.service_s
        if ends - request.sent_at > _DEADLINE_S:
            self.tally.refused += 1
            return
        heapq.heapreplace(free, ends)
        self.policy.record_request(request.key, name, request.sent_at)
        self.tally.latencies.append(ends - request.sent_at)
        second = self.tally.per_second[-1]
        second[name] = second.get(name, 0) + 1

    def _changed(self, request: traffic.Request, name: str) -> float:
        """Returns how long a key whose owner has changed is not served."""
        before = self._placed.get(request.key)
        self._placed[request.key] = name
        if before is not None and before != name:
            lost = request.sent_at - self._lost_at.get(before, -99.0) < 1.0
            gap = _LOSS_S if lost else _MOVE_S
            self.tally.moved_keys += 1
            self.tally.unserved_s += gap
            self._blocked[request.key] = request.sent_at + gap
            if lost and not request.idempotent and self.policy.resends_unsafely:
                # It was in progress when its server was lost, in the share
                # of time that servers are busy: the resend runs it again.
                self.tally.doubled += self.rng.random() < 0.1
        return max(0.0, self._blocked.get(request.key, 0.0) - request.sent_at)

    def _poison(self, now: int) -> None:
        """A caller sends a request that crashes servers, again and again."""
        for _ in range(_RESENDS):
            if self._convicted or now > _EVENT_AT + 3 or not self._anybody():
                return
            name = self.policy.place("poison", self.servers)
            self._lose(name, now, 5)
            self.tally.crashed += 1
            # Suspected after the first crash, convicted by the second.
            if self.policy.remembers_crashes and self.tally.crashed >= 2:
                self._convicted = True
            self.policy.step(self.servers, float(now))


def _imbalance(
    tally: RunStats, servers: list[policies.Server], begin: int
) -> float:
    """Returns the greatest load per weight over the mean, late in the run."""
    totals = {server.name: 0 for server in servers}
    for second in tally.per_second[begin:]:
        for name, count in second.items():
            totals[name] += count
    shares = [totals[s.name] / s.weight for s in servers if s.weight]
    return max(shares) / (sum(totals.values()) / sum(s.weight for s in servers))


def _row(
    make: type[policies.Policy], scenario: Scenario, seed: int
) -> report.Row:
    running = Simulation(make, scenario, seed)
    tally = running.run()
    return {
        "scenario": scenario.name,
        "policy": make.name,
        "imbalance": round(
            _imbalance(tally, running.servers, _SECONDS - 20), 3
        ),
        "keys_moved": tally.moved_keys,
        "slots_moved": getattr(running.policy, "moved_slots", ""),
        "in_4_s": tally.moved_at_event or "",
        "lost_slots": tally.lost_slots or "",
        "unserved_key_s": round(tally.unserved_s, 1),
        "p99_ms": round(report.percentile(tally.latencies, 0.99) * 1000, 1),
        "refused": tally.refused,
        "doubled": tally.doubled,
        "crashed": tally.crashed,
    }


def run(quick: bool) -> None:
    """Runs all policies in all scenarios."""
    chosen = SCENARIOS[:2] if quick else SCENARIOS
    rows = [
        _row(make, scenario, 7) for scenario in chosen for make in policies.ALL
    ]
    report.show("policy", rows)
    if not quick:
        _plot(rows)


def _plot(rows: list[report.Row]) -> None:
    figure, axes = pyplot.subplots(3, 1, figsize=(11, 11), sharex=True)
    names = [scenario.name for scenario in SCENARIOS]
    width = 0.8 / len(policies.ALL)
    for axis, column in zip(
        axes, ("imbalance", "keys_moved", "unserved_key_s"), strict=True
    ):
        for index, make in enumerate(policies.ALL):
            values = [row[column] for row in rows if row["policy"] == make.name]
            places = [n + index * width for n in range(len(names))]
            axis.bar(places, values, width, label=make.name)
        axis.set_ylabel(column)
        if column != "imbalance":
            axis.set_yscale("symlog")
    axes[0].legend(fontsize=8)
    axes[-1].set_xticks(range(len(names)), names, rotation=30, ha="right")
    figure.tight_layout()
    figure.savefig(report.RESULTS / "policy.png", dpi=80)
