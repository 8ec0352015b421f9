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


class SimulatedDaemon:
    """One daemon in the world, with its own clock."""

    def __init__(self, name, settings, rng, start, rate):
        self.name = name
        self.offset = rng.uniform(0, 1000)
        self.rate = rate
        self.start = start
        self.alive = True
        self.paused = False
        # Messages are lost on their way out, on their way in.
        self.outbound_cut = False
        self.inbound_cut = False
        # Its writes are lost; it reads nothing new of the table, from anybody.
        self.writes_lost = False
        self.table_isolated = False
        self.busy_slots = set()
        self.inbox = []
        self.reading = False
        self.next_read_at = 0.0
        self.next_load_report_at = 0.0
        self.core = ownership.Ownership(
            settings,
            random.Random(rng.getrandbits(64)),
            lambda slot: slot in self.busy_slots,
            self.clock(start),
        )
        self.core.set_target_state(True)

    def clock(self, now):
        return self.offset + now * self.rate


class Simulation:
    """The daemons, the table and the messages between them."""

    def __init__(self, seed=1, **settings):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.table = table_lib.Table()
        self.table_up = True
        self.answer_loss_rate = 0.0
        self.table_delay = 0.002
        self.message_loss_rate = 0.0
        # Whether targets release slots that are to move.
        self.targets_release = True
        self.max_message_delay = 0.004
        self.daemons = {}
        self.settings = settings
        self.log = []
        self.current_gap = {}
        self.longest_gap = {}
        self.violations = []
        self.fences = {}
        self._queue = []
        self._order = itertools.count()
        self._ports = itertools.count(1)

    def add_daemon(self, name, data_centre, service="seats", port=None):
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
        daemon = SimulatedDaemon(name, settings, self.rng, self.now, rate)
        self.daemons[name] = daemon
        return daemon

    def deploy(self, count=5, data_centres=("a", "b", "c"), service="seats"):
        for index in range(count):
            self.add_daemon(
                f"{service}-{index}",
                data_centres[index % len(data_centres)],
                service,
            )

    def cut(self, name, outbound=True, inbound=True):
        daemon = self.daemons[name]
        daemon.outbound_cut = outbound
        daemon.inbound_cut = inbound

    def reconnect(self, name):
        self.cut(name, outbound=False, inbound=False)

    def kill(self, name):
        self.daemons[name].alive = False

    def restart(self, name):
        old = self.daemons[name]
        old.alive = False
        port = int(old.core.settings.peer_address.split(":")[1])
        place = old.core.settings.data_centre
        return self.add_daemon(name, place, old.core.settings.service, port)

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
        for daemon in list(self.daemons.values()):
            if daemon.alive and not daemon.paused:
                self._turn(daemon)
        self._judge()

    def serving_daemons(self, slot, service="seats"):
        return [
            daemon.name
            for daemon in self.daemons.values()
            if daemon.alive
            and daemon.core.settings.service == service
            and daemon.core.refusal(slot, daemon.clock(self.now)) is None
        ]

    def all_slots_served(self, service="seats", slot_count=32):
        return all(
            self.serving_daemons(slot, service) for slot in range(slot_count)
        )

    def slot_counts(self, service="seats"):
        return {
            daemon.name: len(daemon.core.owned)
            for daemon in self.daemons.values()
            if daemon.alive and daemon.core.settings.service == service
        }

    def is_balanced(self):
        counts = self.slot_counts().values()
        return self.all_slots_served() and max(counts) - min(counts) <= 3

    def events(self, name):
        return [fields for event, fields in self.log if event == name]

    def schedule(self, delay, action):
        heapq.heappush(
            self._queue, (self.now + delay, next(self._order), action)
        )

    def _turn(self, daemon):
        clock = daemon.clock(self.now)
        for frame in daemon.inbox:
            daemon.core.receive(messages.decode(frame), clock)
        daemon.inbox.clear()
        if self.now >= daemon.next_load_report_at:
            daemon.next_load_report_at = self.now + 1.0
            daemon.core.report_load({}, clock)
        daemon.core.tick(clock)
        if not daemon.reading and self.now >= daemon.next_read_at:
            self._read(daemon)
        for effect in daemon.core.take_effects():
            self._carry_out(daemon, effect)

    def _carry_out(self, daemon, effect):
        match effect:
            case effects.Send(sender=sender, address=address, message=message):
                settings = daemon.core.settings
                self._send(
                    daemon,
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
                self._commit(daemon, change.transaction)
            case effects.LogLine(event=event, fields=fields):
                self.log.append((event, {"at": daemon.name, **fields}))
            case effects.ReadTable():
                daemon.next_read_at = self.now
            case effects.ReleaseSlots(slots=moving):
                if moving and self.targets_release:
                    daemon.core.slots_released({})

    def _send(self, daemon, address, frame):
        if daemon.outbound_cut or self.rng.random() < self.message_loss_rate:
            return

        def arrive():
            for other in self.daemons.values():
                same = other.core.settings.peer_address == address
                if not same or not other.alive or other.inbound_cut:
                    continue
                message = messages.decode(frame).message
                if not (
                    other.table_isolated and isinstance(message, messages.Rows)
                ):
                    other.inbox.append(frame)

        self.schedule(self.rng.uniform(0.0005, self.max_message_delay), arrive)

    def _commit(self, daemon, transaction):
        core = daemon.core

        def answer(state, rows):
            clock = daemon.clock(self.now)
            core.handle_commit_result(transaction.change, state, rows, clock)

        def arrive():
            if not self.table_up or daemon.writes_lost or daemon.table_isolated:
                unknown = effects.CommitState.UNKNOWN
                self.schedule(0.05, lambda: answer(unknown, []))
                return
            committed, rows = self.table.commit(transaction)
            state = (
                effects.CommitState.COMMITTED
                if committed
                else effects.CommitState.CONFLICT
            )
            if self.rng.random() < self.answer_loss_rate:
                state, rows = effects.CommitState.UNKNOWN, []
            self.schedule(self.table_delay, lambda: answer(state, rows))

        self.schedule(self.table_delay, arrive)

    def _read(self, daemon):
        daemon.reading = True
        core = daemon.core

        def arrive():
            daemon.reading = False
            daemon.next_read_at = self.now + 0.25
            if (
                not self.table_up
                or daemon.outbound_cut
                or daemon.inbound_cut
                or daemon.table_isolated
            ):
                core.record_table_failure()
                return
            revision, rows = self.table.rows_since(core.view.cursor)
            core.apply_table_read(rows, revision, daemon.clock(self.now))

        self.schedule(2 * self.table_delay, arrive)

    def _judge(self):
        owners = {}
        for daemon in self.daemons.values():
            if not daemon.alive:
                continue
            clock = daemon.clock(self.now)
            for slot, held in daemon.core.owned.items():
                if daemon.core.refusal(slot, clock) is None:
                    place = (daemon.core.settings.service, slot)
                    owners.setdefault(place, []).append((daemon.name, held))
        for place, found in owners.items():
            if len(found) > 1:
                self.violations.append((round(self.now, 3), place, found))
            name, held = found[0]
            last = self.fences.get(place)
            if last is not None and held.fence < last[0]:
                self.violations.append((round(self.now, 3), "fence", place))
            if last is not None and held.fence == last[0] and name != last[1]:
                self.violations.append((round(self.now, 3), "same", place))
            self.fences[place] = (held.fence, name)
        self._measure_gaps(owners)

    def _measure_gaps(self, owners):
        for place in self.fences:
            if place in owners:
                self.current_gap[place] = 0.0
            else:
                self.current_gap[place] = (
                    self.current_gap.get(place, 0.0) + STEP_S
                )
                worst = self.longest_gap.get(place, 0.0)
                self.longest_gap[place] = max(worst, self.current_gap[place])
