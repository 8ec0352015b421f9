"""Several daemons' ownership logic on one stepped clock.

Messages and table answers pass through a queue with seeded delays; faults
are switched per daemon. After each step every slot is judged.
"""

import heapq
import itertools
import random

from standins import table as table_lib
from tamarackgap.ownership import effects, ownership
from tamarackgap.peers import messages

STEP_S = 0.005


class Node:
    """One daemon in the world, with its own clock."""

    def __init__(self, name, settings, rng, start, rate):
        self.name = name
        self.offset = rng.uniform(0, 1000)
        self.rate = rate
        self.start = start
        self.alive = True
        self.paused = False
        # Messages are lost on their way out, on their way in.
        self.mute = False
        self.deaf = False
        # Its writes are lost; it reads nothing new of the table, from anybody.
        self.read_only = False
        self.blind = False
        self.busy = set()
        self.inbox = []
        self.reading = False
        self.read_at = 0.0
        self.told_at = 0.0
        self.core = ownership.Ownership(
            settings,
            random.Random(rng.getrandbits(64)),
            lambda slot: slot in self.busy,
            self.clock(start),
        )
        self.core.set_target_state(True)

    def clock(self, now):
        return self.offset + now * self.rate


class World:
    """The daemons, the table and the messages between them."""

    def __init__(self, seed=1, **settings):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.table = table_lib.Table()
        self.table_up = True
        self.lose_answers = 0.0
        self.table_delay = 0.002
        self.drop = 0.0
        # Whether targets release slots that are to move.
        self.targets_release = True
        self.max_delay = 0.004
        self.nodes = {}
        self.settings = settings
        self.log = []
        self.gap = {}
        self.worst_gap = {}
        self.double = []
        self.fences = {}
        self._queue = []
        self._order = itertools.count()
        self._ports = itertools.count(1)

    def add(self, name, data_centre, service="seats", port=None):
        port = port or next(self._ports)
        settings = effects.Settings(
            service=service,
            daemon=name,
            data_centre=data_centre,
            peer_address=f"127.0.0.1:{port}",
            http_address=f"127.0.0.1:{port + 10000}",
            **{"slot_count": 32, "drift": 0.01, **self.settings},
        )
        rate = 1 + self.rng.uniform(-0.004, 0.004)
        node = Node(name, settings, self.rng, self.now, rate)
        self.nodes[name] = node
        return node

    def deploy(self, count=5, places=("a", "b", "c"), service="seats"):
        for index in range(count):
            self.add(f"{service}-{index}", places[index % len(places)], service)

    def cut(self, name, out=True, into=True):
        node = self.nodes[name]
        node.mute = out
        node.deaf = into

    def join(self, name):
        self.cut(name, out=False, into=False)

    def kill(self, name):
        self.nodes[name].alive = False

    def restart(self, name):
        old = self.nodes[name]
        old.alive = False
        port = int(old.core.settings.peer_address.split(":")[1])
        place = old.core.settings.data_centre
        return self.add(name, place, old.core.settings.service, port)

    def run(self, seconds, until=None):
        """Steps the world; returns the time until `until` held, or None."""
        begun = self.now
        while self.now - begun < seconds:
            self.step()
            if until is not None and until():
                return self.now - begun
        return None

    def step(self):
        self.now += STEP_S
        while self._queue and self._queue[0][0] <= self.now:
            _, _, action = heapq.heappop(self._queue)
            action()
        for node in list(self.nodes.values()):
            if node.alive and not node.paused:
                self._turn(node)
        self._judge()

    def serving(self, slot, service="seats"):
        return [
            node.name
            for node in self.nodes.values()
            if node.alive
            and node.core.settings.service == service
            and node.core.refusal(slot, node.clock(self.now)) is None
        ]

    def all_served(self, service="seats", slot_count=32):
        return all(self.serving(slot, service) for slot in range(slot_count))

    def counts(self, service="seats"):
        return {
            node.name: len(node.core.owned)
            for node in self.nodes.values()
            if node.alive and node.core.settings.service == service
        }

    def settled(self):
        counts = self.counts().values()
        return self.all_served() and max(counts) - min(counts) <= 3

    def events(self, name):
        return [fields for event, fields in self.log if event == name]

    def later(self, delay, action):
        heapq.heappush(
            self._queue, (self.now + delay, next(self._order), action)
        )

    def _turn(self, node):
        clock = node.clock(self.now)
        for frame in node.inbox:
            node.core.receive(messages.decode(frame), clock)
        node.inbox.clear()
        if self.now >= node.told_at:
            node.told_at = self.now + 1.0
            node.core.report_load({}, clock)
        node.core.tick(clock)
        if not node.reading and self.now >= node.read_at:
            self._read(node)
        for effect in node.core.take_effects():
            self._carry_out(node, effect)

    def _carry_out(self, node, effect):
        match effect:
            case effects.Send(sender=sender, address=address, message=message):
                settings = node.core.settings
                self._send(
                    node,
                    address,
                    messages.encode(
                        messages.Envelope(
                            "test",
                            sender,
                            settings.peer_address,
                            message,
                        )
                    ),
                )
            case effects.Commit(change=change):
                self._commit(node, change.transaction)
            case effects.LogLine(event=event, fields=fields):
                self.log.append((event, {"at": node.name, **fields}))
            case effects.ReadTable():
                node.read_at = self.now
            case effects.ReleaseSlots(slots=moving):
                if moving and self.targets_release:
                    node.core.slots_released({})

    def _send(self, node, address, frame):
        if node.mute or self.rng.random() < self.drop:
            return

        def arrive():
            for other in self.nodes.values():
                same = other.core.settings.peer_address == address
                if not same or not other.alive or other.deaf:
                    continue
                message = messages.decode(frame).message
                if not (other.blind and isinstance(message, messages.Rows)):
                    other.inbox.append(frame)

        self.later(self.rng.uniform(0.0005, self.max_delay), arrive)

    def _commit(self, node, transaction):
        core = node.core

        def answer(state, rows):
            clock = node.clock(self.now)
            core.handle_commit_result(transaction.change, state, rows, clock)

        def arrive():
            if not self.table_up or node.read_only or node.blind:
                unknown = effects.CommitState.UNKNOWN
                self.later(0.05, lambda: answer(unknown, []))
                return
            committed, rows = self.table.commit(transaction)
            state = (
                effects.CommitState.COMMITTED
                if committed
                else effects.CommitState.CONFLICT
            )
            if self.rng.random() < self.lose_answers:
                state, rows = effects.CommitState.UNKNOWN, []
            self.later(self.table_delay, lambda: answer(state, rows))

        self.later(self.table_delay, arrive)

    def _read(self, node):
        node.reading = True
        core = node.core

        def arrive():
            node.reading = False
            node.read_at = self.now + 0.25
            if not self.table_up or node.mute or node.deaf or node.blind:
                core.record_table_failure()
                return
            revision, rows = self.table.rows_since(core.view.cursor)
            core.apply_table_read(rows, revision, node.clock(self.now))

        self.later(2 * self.table_delay, arrive)

    def _judge(self):
        owners = {}
        for node in self.nodes.values():
            if not node.alive:
                continue
            clock = node.clock(self.now)
            for slot, held in node.core.owned.items():
                if node.core.refusal(slot, clock) is None:
                    place = (node.core.settings.service, slot)
                    owners.setdefault(place, []).append((node.name, held))
        for place, found in owners.items():
            if len(found) > 1:
                self.double.append((round(self.now, 3), place, found))
            name, held = found[0]
            last = self.fences.get(place)
            if last is not None and held.fence < last[0]:
                self.double.append((round(self.now, 3), "fence", place))
            if last is not None and held.fence == last[0] and name != last[1]:
                self.double.append((round(self.now, 3), "same", place))
            self.fences[place] = (held.fence, name)
        self._measure_gaps(owners)

    def _measure_gaps(self, owners):
        for place in self.fences:
            if place in owners:
                self.gap[place] = 0.0
            else:
                self.gap[place] = self.gap.get(place, 0.0) + STEP_S
                worst = self.worst_gap.get(place, 0.0)
                self.worst_gap[place] = max(worst, self.gap[place])
