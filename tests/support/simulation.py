"""Simulates the ownership logic of several daemons on one stepped clock.

Messages and answers of the table pass through a queue with seeded delays.
Faults are switched on and off for each daemon. After each step every slot is
checked for a second owner, and for a fence that did not rise when the owner
changed.
"""

import heapq
import itertools
import random

from standins import table as table_lib
from tamarackgap.ownership import effects, ownership
from tamarackgap.peers import messages

STEP_S = 0.005
# The users' store takes no larger transactions.
MAX_TRANSACTION_ENTRIES = 100


class SimulatedDaemon:
    """One daemon of the simulation, with its own clock.

    Attributes:
        name: Its name.
        offset: What its clock shows at time 0 of the simulation, seconds.
        rate: Seconds of its clock per second of the simulation.
        start: Time of its start in the simulation, seconds.
        alive: Whether its process runs; False once it is killed or replaced.
        paused: Whether it takes no steps, as a stopped process does.
        outbound_cut: Whether all messages that it sends are lost.
        inbound_cut: Whether all messages to it are lost.
        writes_lost: Whether its writes to the table are lost.
        table_isolated: Whether its reads and writes of the table fail, and
            rows that other daemons send to it are lost.
        busy_slots: Slots with requests in progress, which cannot be moved.
        is_pinned: Tells of any other slot that it cannot be moved.
        inbox: Encoded messages to be processed in its next step.
        reading: Whether a read of the table is under way.
        next_read_at: Time of its next read, seconds of the simulation.
        next_load_report_at: Time of its next report of its load to its
            ownership logic, seconds of the simulation.
        core: Its ownership logic.
    """

    def __init__(self, name, settings, rng, start, rate):
        self.name = name
        self.offset = rng.uniform(0, 1000)
        self.rate = rate
        self.start = start
        self.alive = True
        self.paused = False
        self.outbound_cut = False
        self.inbound_cut = False
        self.writes_lost = False
        self.table_isolated = False
        self.busy_slots = set()
        self.is_pinned = lambda slot: False
        self.inbox = []
        self.reading = False
        self.next_read_at = 0.0
        self.next_load_report_at = 0.0
        self.core = ownership.Ownership(
            settings,
            random.Random(rng.getrandbits(64)),
            lambda slot: slot in self.busy_slots or self.is_pinned(slot),
            self.clock(start),
        )
        self.core.set_target_state(True)

    def clock(self, now):
        """Returns what its clock shows at a time of the simulation."""
        return self.offset + now * self.rate


class Simulation:
    """The daemons, the table and the messages between them.

    Attributes:
        now: Time since the start, seconds.
        table_up: Whether the table answers.
        answer_loss_rate: Share of writes whose answer is lost.
        table_delay: Time from a daemon to the table or back, seconds.
        late_writes: Share of writes that the table carries out late, and the
            longest delay, seconds. Their outcome is not told.
        message_loss_rate: Share of messages between daemons that are lost.
        targets_release: Whether targets release slots that are to be moved.
        max_message_delay: Longest delay of a message, seconds.
        daemons: The latest process of each daemon, by the daemon's name.
        settings: Settings of all daemons that differ from the usual ones.
        log: Event and fields of each log line, with the daemon as `at`.
        current_gap: Time for which each slot has had no owner, seconds, by
            service and slot.
        longest_gap: The longest such time.
        violations: Slots with two owners, a lower fence, or a new owner under
            the same fence; each with the time when it was found, seconds.
        fences: Latest fence and owner, by service and slot.
    """

    def __init__(self, seed=1, **settings):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.table = table_lib.Table()
        self.table_up = True
        self.largest_transaction = 0
        self.answer_loss_rate = 0.0
        self.table_delay = 0.002
        self.late_writes = (0.0, 0.0)
        self.message_loss_rate = 0.0
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
        """Starts a daemon, and returns it."""
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
        """Starts daemons spread evenly over the data centres."""
        for index in range(count):
            self.add_daemon(
                f"{service}-{index}",
                data_centres[index % len(data_centres)],
                service,
            )

    def cut(self, name, outbound=True, inbound=True):
        """Cuts a daemon off from messages in one or both directions."""
        daemon = self.daemons[name]
        daemon.outbound_cut = outbound
        daemon.inbound_cut = inbound

    def reconnect(self, name):
        """Undoes `cut`."""
        self.cut(name, outbound=False, inbound=False)

    def kill(self, name):
        """Ends a daemon's process at once."""
        self.daemons[name].alive = False

    def restart(self, name):
        """Replaces a daemon by a new process at the same address."""
        old = self.daemons[name]
        old.alive = False
        port = int(old.core.settings.peer_address.split(":")[1])
        data_centre = old.core.settings.data_centre
        return self.add_daemon(
            name, data_centre, old.core.settings.service, port
        )

    def run(self, seconds, until=None):
        """Runs the simulation for a time, or until a condition holds.

        Args:
            seconds: Longest time to run.
            until: Condition that ends the run, if any.

        Returns:
            Seconds until the condition held, or None.
        """
        started_at = self.now
        while self.now - started_at < seconds:
            self.step()
            if until is not None and until():
                return self.now - started_at
        return None

    def step(self):
        """Advances the clock by one step, and checks every slot."""
        self.now += STEP_S
        while self._queue and self._queue[0][0] <= self.now:
            _, _, action = heapq.heappop(self._queue)
            action()
        for daemon in list(self.daemons.values()):
            if daemon.alive and not daemon.paused:
                self._step_daemon(daemon)
        self._check_slots()

    def serving_daemons(self, slot, service="seats"):
        """Returns the names of all daemons that would serve a slot now."""
        return [
            daemon.name
            for daemon in self.daemons.values()
            if daemon.alive
            and daemon.core.settings.service == service
            and daemon.core.refusal(slot, daemon.clock(self.now)) is None
        ]

    def slot_count(self, service="seats"):
        """Returns the number of slots that a service was created with."""
        return next(
            (
                daemon.core.view.service_record(service).slots
                for daemon in self.daemons.values()
                if daemon.core.view.service_record(service) is not None
            ),
            32,
        )

    def all_slots_served(self, service="seats", slot_count=None):
        """Returns whether each slot of a service has a serving daemon."""
        slot_count = slot_count or self.slot_count(service)
        return all(
            self.serving_daemons(slot, service) for slot in range(slot_count)
        )

    def slot_counts(self, service="seats"):
        """Returns how many slots each daemon of a service owns, by name."""
        return {
            daemon.name: len(daemon.core.owned)
            for daemon in self.daemons.values()
            if daemon.alive and daemon.core.settings.service == service
        }

    def is_balanced(self):
        """Returns whether all slots are served and spread almost evenly."""
        counts = self.slot_counts().values()
        return self.all_slots_served() and max(counts) - min(counts) <= 3

    def events(self, name):
        """Returns the fields of all log lines of one event."""
        return [fields for event, fields in self.log if event == name]

    def schedule(self, delay, action):
        """Calls a function after a delay in seconds."""
        heapq.heappush(
            self._queue, (self.now + delay, next(self._order), action)
        )

    def _step_daemon(self, daemon):
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
            self._execute(daemon, effect)

    def _execute(self, daemon, effect):
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
            case effects.ShareRows(
                sender=sender, rows=rows, addresses=addresses
            ):
                for address in sorted(addresses):
                    message = messages.RowUpdates(rows)
                    send = effects.Send(sender, address, message)
                    self._execute(daemon, send)
            case effects.Commit(change=change):
                self._commit(daemon, change.transaction)
            case effects.LogLine(event=event, fields=fields):
                self.log.append((event, {"at": daemon.name, **fields}))
            case effects.ReadTable():
                daemon.next_read_at = self.now
            case effects.ReleaseSlots(slots=slots):
                if slots and self.targets_release:
                    daemon.core.record_release({})

    def _send(self, daemon, address, frame):
        if daemon.outbound_cut or self.rng.random() < self.message_loss_rate:
            return

        def deliver():
            for other in self.daemons.values():
                addressed = other.core.settings.peer_address == address
                if not addressed or not other.alive or other.inbound_cut:
                    continue
                message = messages.decode(frame).message
                if not (
                    other.table_isolated
                    and isinstance(message, messages.RowUpdates)
                ):
                    other.inbox.append(frame)

        self.schedule(self.rng.uniform(0.0005, self.max_message_delay), deliver)

    def _commit(self, daemon, transaction):
        core = daemon.core

        def deliver_answer(state, rows):
            clock = daemon.clock(self.now)
            core.handle_commit_result(transaction.change, state, rows, clock)

        def apply():
            entries = len(transaction.checks) + len(transaction.writes)
            self.largest_transaction = max(self.largest_transaction, entries)
            if (
                not self.table_up
                or daemon.writes_lost
                or daemon.table_isolated
                or entries > MAX_TRANSACTION_ENTRIES
            ):
                unknown = effects.CommitState.UNKNOWN
                self.schedule(0.05, lambda: deliver_answer(unknown, []))
                return
            committed, rows = self.table.commit(transaction)
            if transaction.era != self.table.era:
                # What an earlier era's write did is not told.
                unknown = effects.CommitState.UNKNOWN
                self.schedule(0.05, lambda: deliver_answer(unknown, []))
                return
            state = (
                effects.CommitState.COMMITTED
                if committed
                else effects.CommitState.CONFLICT
            )
            if self.rng.random() < self.answer_loss_rate:
                state, rows = effects.CommitState.UNKNOWN, []
            self.schedule(self.table_delay, lambda: deliver_answer(state, rows))

        share, longest = self.late_writes
        if share and self.rng.random() < share:
            unknown = effects.CommitState.UNKNOWN
            self.schedule(0.05, lambda: deliver_answer(unknown, []))
            self.schedule(
                self.rng.uniform(0.0, longest),
                lambda: self.table.commit(transaction),
            )
            return
        self.schedule(self.table_delay, apply)

    def _read(self, daemon):
        daemon.reading = True
        core = daemon.core

        def finish():
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
            is_known = core.view.era == self.table.era
            known = core.view.cursor if is_known else 0
            revision, rows = self.table.rows_since(known)
            core.apply_table_read(
                rows,
                revision,
                daemon.clock(self.now),
                era=self.table.era,
            )

        self.schedule(2 * self.table_delay, finish)

    def _check_slots(self):
        owners = {}
        for daemon in self.daemons.values():
            if not daemon.alive:
                continue
            clock = daemon.clock(self.now)
            for slot, owned in daemon.core.owned.items():
                if daemon.core.refusal(slot, clock) is None:
                    slot_key = (daemon.core.settings.service, slot)
                    owners.setdefault(slot_key, []).append((daemon.name, owned))
        for slot_key, slot_owners in owners.items():
            if len(slot_owners) > 1:
                self.violations.append(
                    (round(self.now, 3), slot_key, slot_owners)
                )
            name, owned = slot_owners[0]
            previous = self.fences.get(slot_key)
            if previous is not None and owned.fence < previous[0]:
                self.violations.append(
                    (round(self.now, 3), "lower fence", slot_key)
                )
            if (
                previous is not None
                and owned.fence == previous[0]
                and name != previous[1]
            ):
                self.violations.append(
                    (round(self.now, 3), "same fence", slot_key)
                )
            self.fences[slot_key] = (owned.fence, name)
        self._measure_gaps(owners)

    def _measure_gaps(self, owners):
        for slot_key in self.fences:
            if slot_key in owners:
                self.current_gap[slot_key] = 0.0
            else:
                self.current_gap[slot_key] = (
                    self.current_gap.get(slot_key, 0.0) + STEP_S
                )
                longest = self.longest_gap.get(slot_key, 0.0)
                self.longest_gap[slot_key] = max(
                    longest, self.current_gap[slot_key]
                )
