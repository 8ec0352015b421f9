"""Compares placement policies in scenarios of load and faults.

Simulated servers, each of which runs a limited number of requests at once, get
the requests that a policy places on them. The placement of tamarackgap is
computed by its own functions.
"""

import heapq
import random

import matplotlib
import msgspec
from matplotlib import pyplot

from bench import policies, report, traffic

matplotlib.use("Agg")

_DURATION_S = 90
_EVENT_AT_S = 30
_REQUESTS_PER_S = 900.0
_KEY_COUNT = 4000
_SERVER_CAPACITY = 8
_DEADLINE_S = 2.0
# How long a key is not served: after the loss of its server, as measured by
# bench/recovery.py, and during a planned move, which takes a few round trips.
_TAKEOVER_GAP_S = 0.56
_MOVE_GAP_S = 0.03
_MAX_SENDS = 4


class Scenario(msgspec.Struct, frozen=True):
    """A scenario, named by what happens at `_EVENT_AT_S`.

    Attributes:
        name: Name in the table of results.
        event: Kinds of events, joined by "+"; empty for none.
    """

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
    """Counts and times of one simulation.

    Attributes:
        latencies: Latencies of served requests, seconds.
        per_second: Requests that each server got, for each second.
        refused: Requests that were refused.
        doubled: Non-idempotent requests that ran twice.
        moved_keys: How often the server of a key changed between requests.
        moved_at_event: Slots moved in the first seconds after the event.
        lost_slots: Slots of the servers that were lost at the event.
        unserved_s: Time for which keys were not served, summed, seconds.
        crashed: Servers that the poison request crashed.
    """

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
    """Simulates one policy in one scenario."""

    def __init__(
        self, policy_class: type[policies.Policy], scenario: Scenario, seed: int
    ) -> None:
        """Creates twelve servers in three data centres.

        Args:
            policy_class: Class of the policy.
            scenario: Scenario to simulate.
            seed: Seed of the requests and of the policy.
        """
        self.rng = random.Random(seed)
        self.policy = policy_class(seed)
        self.scenario = scenario
        self.servers = [
            policies.Server(f"s{index}", "abc"[index % 3])
            for index in range(12)
        ]
        self.keys = traffic.ZipfKeys(self.rng, _KEY_COUNT, 0.9)
        self.tally = RunStats(latencies=[], per_second=[])
        self._free_at = {s.name: [0.0] * _SERVER_CAPACITY for s in self.servers}
        self._last_server: dict[str, str] = {}
        self._unserved_until: dict[str, float] = {}
        self._restart_at: dict[str, float] = {}
        self._lost_at: dict[str, float] = {}
        self._tried: dict[int, int] = {}
        self._poison_refused = False
        self._moved_before = 0

    def run(self) -> RunStats:
        """Simulates all seconds and returns the counts."""
        number = 0
        for now in range(_DURATION_S):
            self._inject_event(now)
            self._restart_servers(now)
            self.policy.step(self.servers, float(now))
            if now == _EVENT_AT_S + 4:
                moved = getattr(self.policy, "moved_slots", 0)
                self.tally.moved_at_event = moved - self._moved_before
            self.tally.per_second.append({})
            requests = traffic.requests_of_second(
                self.rng, self.keys, now, _REQUESTS_PER_S, number
            )
            number += len(requests)
            for request in requests:
                self._serve(request)
            if "poison" in self.scenario.event and now >= _EVENT_AT_S:
                self._send_poison(now)
        return self.tally

    def _inject_event(self, now: int) -> None:
        event = self.scenario.event
        if now == _EVENT_AT_S:
            self._moved_before = getattr(self.policy, "moved_slots", 0)
            if "flash" in event:
                self.keys.set_hot_key("k7", 0.12)
            if event == "shift":
                self.keys.change_hottest(48)
            if "loss" in event:
                self._stop_server("s4", now, 40)
            if event == "centre":
                for server in self.servers:
                    if server.data_centre == "b":
                        self._stop_server(server.name, now, 40)
            if event == "weight":
                for server in self.servers:
                    if server.data_centre == "c":
                        server.weight = 50
        if event == "rolling" and now >= _EVENT_AT_S and now % 4 == 0:
            index = (now - _EVENT_AT_S) // 4
            if index < len(self.servers):
                self._stop_server(f"s{index}", now, 3)

    def _stop_server(self, name: str, now: float, seconds: float) -> None:
        server = next(s for s in self.servers if s.name == name)
        server.up = False
        if now == _EVENT_AT_S:
            owners = getattr(self.policy, "owner", {}).values()
            self.tally.lost_slots += sum(owner == name for owner in owners)
        self._restart_at[name] = now + seconds
        self._lost_at[name] = now

    def _restart_servers(self, now: int) -> None:
        for server in self.servers:
            if not server.up and now >= self._restart_at[server.name]:
                server.up = True
                self._free_at[server.name] = [float(now)] * _SERVER_CAPACITY

    def _any_server_available(self) -> bool:
        return any(server.up and server.weight for server in self.servers)

    def _serve(self, request: traffic.Request) -> None:
        if not self._any_server_available():
            self.tally.refused += 1
            return
        name = self.policy.place(request.key, self.servers)
        wait_s = self._wait_for_owner(request, name)
        free_at = self._free_at[name]
        starts_at = max(request.sent_at + wait_s, free_at[0])
        ends_at = starts_at + request.service_s
        if ends_at - request.sent_at > _DEADLINE_S:
            self.tally.refused += 1
            return
        heapq.heapreplace(free_at, ends_at)
        self.policy.record_request(request.key, name, request.sent_at)
        self.tally.latencies.append(ends_at - request.sent_at)
        second = self.tally.per_second[-1]
        second[name] = second.get(name, 0) + 1

    def _wait_for_owner(self, request: traffic.Request, name: str) -> float:
        """Returns how long a request waits for a new owner of its key."""
        before = self._last_server.get(request.key)
        self._last_server[request.key] = name
        if before is not None and before != name:
            lost = request.sent_at - self._lost_at.get(before, -99.0) < 1.0
            gap = _TAKEOVER_GAP_S if lost else _MOVE_GAP_S
            self.tally.moved_keys += 1
            self.tally.unserved_s += gap
            self._unserved_until[request.key] = request.sent_at + gap
            if lost and not request.idempotent and self.policy.resends_unsafely:
                # A request that was in progress when its server was lost runs
                # again when it is resent. One in ten is in progress, as
                # servers are busy for that share of the time.
                self.tally.doubled += self.rng.random() < 0.1
        return max(
            0.0, self._unserved_until.get(request.key, 0.0) - request.sent_at
        )

    def _send_poison(self, now: int) -> None:
        """Sends a request that crashes its server, and resends it each time."""
        for _ in range(_MAX_SENDS):
            if (
                self._poison_refused
                or now > _EVENT_AT_S + 3
                or not self._any_server_available()
            ):
                return
            name = self.policy.place("poison", self.servers)
            self._stop_server(name, now, 5)
            self.tally.crashed += 1
            # The first crash makes the request suspect, the second confirms
            # that it crashes servers: it is refused from then on.
            if self.policy.remembers_crashes and self.tally.crashed >= 2:
                self._poison_refused = True
            self.policy.step(self.servers, float(now))


def _imbalance(
    tally: RunStats, servers: list[policies.Server], first_second: int
) -> float:
    """Returns the greatest load per weight, divided by the mean.

    Only the requests from `first_second` on count.
    """
    totals = {server.name: 0 for server in servers}
    for second in tally.per_second[first_second:]:
        for name, count in second.items():
            totals[name] += count
    shares = [totals[s.name] / s.weight for s in servers if s.weight]
    return max(shares) / (sum(totals.values()) / sum(s.weight for s in servers))


def _row(
    policy_class: type[policies.Policy], scenario: Scenario, seed: int
) -> report.Row:
    simulation = Simulation(policy_class, scenario, seed)
    tally = simulation.run()
    return {
        "scenario": scenario.name,
        "policy": policy_class.name,
        "imbalance": round(
            _imbalance(tally, simulation.servers, _DURATION_S - 20), 3
        ),
        "keys_moved": tally.moved_keys,
        "slots_moved": getattr(simulation.policy, "moved_slots", ""),
        "in_4_s": tally.moved_at_event or "",
        "lost_slots": tally.lost_slots or "",
        "unserved_key_s": round(tally.unserved_s, 1),
        "p99_ms": round(report.percentile(tally.latencies, 0.99) * 1000, 1),
        "refused": tally.refused,
        "doubled": tally.doubled,
        "crashed": tally.crashed,
    }


def run(quick: bool) -> None:
    """Simulates all policies in all scenarios.

    Args:
        quick: Whether to run the first two scenarios only, without the plot.
    """
    scenarios = SCENARIOS[:2] if quick else SCENARIOS
    rows = [
        _row(policy_class, scenario, 7)
        for scenario in scenarios
        for policy_class in policies.ALL
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
        for index, policy_class in enumerate(policies.ALL):
            values = [
                row[column]
                for row in rows
                if row["policy"] == policy_class.name
            ]
            positions = [n + index * width for n in range(len(names))]
            axis.bar(positions, values, width, label=policy_class.name)
        axis.set_ylabel(column)
        if column != "imbalance":
            axis.set_yscale("symlog")
    axes[0].legend(fontsize=8)
    axes[-1].set_xticks(range(len(names)), names, rotation=30, ha="right")
    figure.tight_layout()
    figure.savefig(report.RESULTS / "policy.png", dpi=80)
