"""Simulates targets that hold slots, and connections to them without sockets.

A target process enforces its holds by itself and refuses a grant with a fence
below the highest that it has seen; a process that has just started has seen
none. An order that was written arrives unless the process that its connection
was opened to has ended. It may be carried out later than it arrives, and may
have no answer.
"""

import dataclasses
import errno
import itertools
import random
from collections.abc import Callable

import msgspec

from tamarackgap.network import sockets
from tamarackgap.traffic import heartbeatorders, orders

# A target's clock may be slower than the true time by this share.
_CLOCK_SLOWNESS = 0.02
_ORDER_TYPES = {
    order_type.__name__: order_type
    for order_type in (orders.Grant, orders.Release)
}


def encode_order(order):
    """Returns the bytes of an order to a simulated target."""
    return msgspec.json.encode((type(order).__name__, order))


def decode_order_answer(answer):
    """Returns the outcome of an order from a simulated target's answer."""
    return msgspec.json.decode(answer.body, type=orders.OrderResult)


def is_order_answer(order, answer):
    """Returns whether a simulated target's answer may be to an order."""
    is_release = isinstance(order, orders.Release)
    return not is_release or answer.header(b"handover") is not None


def _decode_order(data):
    name, fields = msgspec.json.decode(data)
    return msgspec.convert(fields, _ORDER_TYPES[name])


def _encode_answer(outcome):
    body = msgspec.json.encode(outcome)
    handover = f"handover: {outcome.handover}\r\n" if outcome.handover else ""
    head = f"HTTP/1.1 200 OK\r\n{handover}content-length: {len(body)}\r\n\r\n"
    return head.encode() + body


@dataclasses.dataclass
class Hold:
    """A slot that a target process holds, or still works on.

    Attributes:
        fence: Fence of the grant.
        until: When the hold ends, seconds of the simulation.
    """

    fence: int
    until: float


class Ledger:
    """Records which processes take slots, and checks each of them.

    Attributes:
        violations: Time in seconds, kind and details of each broken rule.
    """

    def __init__(self):
        self.violations = []
        # Highest fence with which each process has taken a slot, by slot.
        self._fences = {}
        # Slots that are known to be held twice, so as to report them once.
        self._doubled = {}

    def record_take(self, now, slot, process, fence):
        """Checks that no other process has had a slot with such a fence."""
        by_process = self._fences.setdefault(slot, {})
        for other, other_fence in by_process.items():
            if other != process.name and other_fence >= fence:
                self.violations.append(
                    (
                        round(now, 3),
                        "fence",
                        f"slot {slot} went to {process.name} with fence"
                        f" {fence}; {other} had it with {other_fence}",
                    )
                )
        by_process[process.name] = max(fence, by_process.get(process.name, 0))

    def check_holders(self, now, processes):
        """Checks that no two processes hold the same slot."""
        holders = {}
        for process in processes:
            for slot in process.held_slots(now):
                holders.setdefault(slot, []).append(process.name)
        for slot, names in holders.items():
            if len(names) > 1 and self._doubled.get(slot) != names:
                self._doubled[slot] = names
                self.violations.append(
                    (
                        round(now, 3),
                        "holders",
                        f"slot {slot} is held by {' and '.join(names)}",
                    )
                )


class Process:
    """One process of a target.

    Attributes:
        name: Its host's name and how many processes came before it there.
        instance: The id under which it announces itself.
        born_ms: Start time that it announces, milliseconds.
        alive: Whether it has not ended.
        leaving: Whether it announces that it leaves.
        sequence: Number of its latest announcement.
    """

    def __init__(self, name, instance, born_ms, ledger, slot_width):
        self.name = name
        self.instance = instance
        self.born_ms = born_ms
        self.alive = True
        self.leaving = False
        self.sequence = 0
        self._ledger = ledger
        self._slot_width = slot_width
        self._highest_fences = {}
        self._holds: dict[int, Hold] = {}
        # When the calls that run in released slots end, seconds.
        self._work_ends = {}
        self._released = []

    def held_slots(self, now):
        """Returns all slots that it holds or still works on."""
        if not self.alive:
            return set()
        held = {slot for slot, hold in self._holds.items() if hold.until > now}
        return held | {
            slot for slot, end in self._work_ends.items() if end > now
        }

    def fence(self, slot):
        """Returns the highest fence that it has seen of a slot, or 0."""
        return self._highest_fences.get(slot, 0)

    def grant(self, order, arrived_at, now):
        """Carries a grant out; returns its outcome."""
        slots = self._slots(order)
        if any(self.fence(slot) > order.fence for slot in slots):
            return orders.OrderResult(False, superseded=True)
        until = arrived_at + order.hold_s * (1 + _CLOCK_SLOWNESS)
        for slot in slots:
            self._highest_fences[slot] = order.fence
            if until <= now:
                continue
            self._ledger.record_take(now, slot, self, order.fence)
            known = self._holds.get(slot, Hold(0, now))
            self._holds[slot] = Hold(order.fence, max(until, known.until))
        return orders.OrderResult(True)

    def release(self, order, now, work_s):
        """Carries a release out; its calls end `work_s` seconds later."""
        for slot in self._slots(order):
            hold = self._holds.pop(slot, None)
            if hold is not None and hold.until > now:
                self._work_ends[slot] = now + work_s

    def report(self, now):
        """Returns what it reports of its slots in a heartbeat."""
        released, self._released = self._released, []
        return heartbeatorders.HoldReport(
            tuple(
                heartbeatorders.HeldRange(
                    *self._positions(slot), self.fence(slot)
                )
                for slot in sorted(self.held_slots(now))
            ),
            tuple(released),
        )

    def apply_hold_list(self, hold_list, sent_at, now, work_s):
        """Takes the slots that the answer to a heartbeat lists, and no others.

        Args:
            hold_list: The answer.
            sent_at: Time at which the heartbeat was sent, seconds.
            now: Time of the answer's arrival, seconds.
            work_s: Time until the calls in released slots end, seconds.
        """
        kept = set()
        for grant in hold_list.grants:
            kept.update(self._slots(grant))
        for slot in set(self._holds) - kept:
            first, last = self._positions(slot)
            self.release(orders.Release(first, last, 0), now, work_s)
            self._released.append(
                heartbeatorders.ReleasedRange(first, last, "")
            )
        for grant in hold_list.grants:
            order = msgspec.structs.replace(grant, hold_s=hold_list.hold_s)
            self.grant(order, sent_at, now)

    def _slots(self, order):
        width = self._slot_width
        return range(order.first // width, (order.last + 1) // width)

    def _positions(self, slot):
        width = self._slot_width
        return slot * width, (slot + 1) * width - 1


@dataclasses.dataclass
class Faults:
    """What may happen to the orders and announcements of one target.

    Attributes:
        refuses: Whether the target refuses connections though it lives.
        max_connect_s: Longest time until a connection is open, seconds.
        max_transit_s: Longest time until an order arrives, seconds.
        late_share: Share of grants that are carried out late, without answer.
        max_lateness_s: Longest time by which those are late, seconds.
        silent_share: Share of orders that are carried out without answer.
        max_work_s: Longest time until released slots' calls end, seconds.
        announcement_loss: Share of announcements that are lost.
        max_announcement_delay_s: Longest time until one arrives, seconds.
        copies_answers: Whether each answer to an order comes once more, at the
            time at which the next answer on its connection is expected.
    """

    refuses: bool = False
    max_connect_s: float = 0.002
    max_transit_s: float = 0.004
    late_share: float = 0.0
    max_lateness_s: float = 2.0
    silent_share: float = 0.0
    max_work_s: float = 0.02
    announcement_loss: float = 0.0
    max_announcement_delay_s: float = 0.004
    copies_answers: bool = False


class Host:
    """The address of a target, where one process runs at a time.

    Attributes:
        name: The daemon beside it.
        process: The latest process.
        faults: What happens to its orders and announcements.
        announce_at: Time of the next announcement, seconds.
    """

    def __init__(self, name, schedule, rng, ledger, slot_width):
        self.name = name
        self.faults = Faults()
        self.process: Process | None = None
        self.announce_at = 0.0
        self.ledger = ledger
        self.rng: random.Random = rng
        self.schedule: Callable[[float, Callable[[], None]], None] = schedule
        self._slot_width = slot_width
        self._starts = itertools.count()
        self._connections: list[Connection] = []

    @property
    def is_alive(self):
        """Whether a process runs."""
        return self.process is not None and self.process.alive

    def start(self, now, clock_step_s=0.0, same_instance=True):
        """Starts a process.

        Args:
            now: Time of the simulation, seconds.
            clock_step_s: By how much its time of day differs, seconds.
            same_instance: Whether it has the id of the one before.
        """
        number = next(self._starts)
        instance = f"{self.name}-{0 if same_instance else number}"
        self.process = Process(
            f"{self.name}#{number}",
            instance,
            round((1_000_000 + now + clock_step_s) * 1000),
            self.ledger,
            self._slot_width,
        )
        self.announce_at = now

    def end(self):
        """Ends the process at once, which resets its connections."""
        self.process.alive = False
        self.close_connections()

    def close_connections(self):
        """Closes all connections, as a process does with idle ones."""
        for connection in self._connections:
            connection.is_reset = True
        self._connections = []

    def connect(self, connection):
        """Opens a connection to the process; refuses it if there is none."""
        if self.faults.refuses or not self.is_alive:
            connection.error = errno.ECONNREFUSED
        else:
            connection.process = self.process
            self._connections.append(connection)
        connection.is_open = True


class Connection:
    """One end of a connection to a target; stands for a socket.

    Attributes:
        process: The process that it was opened to.
        is_open: Whether the attempt to open it has ended.
        error: Why it could not be opened; 0 if it could.
        is_reset: Whether the process has ended.
    """

    def __init__(self, host, descriptor, clock):
        self._host = host
        self._descriptor = descriptor
        self._clock = clock
        self._received = b""
        # What arrives in answer to the next order, before its own answer.
        self._copy = b""
        self._closed = False
        self.process = None
        self.is_open = False
        self.error = 0
        self.is_reset = False
        host.schedule(
            host.rng.uniform(0, host.faults.max_connect_s), self._open
        )

    def _open(self):
        if not self._closed:
            self._host.connect(self)

    # What the connection pool calls.

    def fileno(self):
        return self._descriptor

    def getsockopt(self, level, option):
        del level, option
        return self.error

    def send(self, data):
        if self.is_reset:
            raise BrokenPipeError
        host, process = self._host, self.process
        order = _decode_order(data)
        rng, faults = host.rng, host.faults
        is_late = (
            isinstance(order, orders.Grant) and rng.random() < faults.late_share
        )
        lateness = rng.uniform(0, faults.max_lateness_s) if is_late else 0.0
        is_silent = is_late or rng.random() < faults.silent_share
        work_s = rng.uniform(0, faults.max_work_s)

        def arrive():
            arrived_at = self._clock()
            host.schedule(lateness, lambda: execute(arrived_at))

        def execute(arrived_at):
            now = self._clock()
            if not process.alive:
                return
            if isinstance(order, orders.Grant):
                answer(process.grant(order, arrived_at, now), 0.0)
            else:
                process.release(order, now, work_s)
                answer(orders.OrderResult(True, handover="work-ended"), work_s)

        def answer(outcome, delay):
            if not is_silent:
                delay += rng.uniform(0, faults.max_transit_s)
                host.schedule(delay, lambda: self._receive(outcome))

        host.schedule(rng.uniform(0, faults.max_transit_s), arrive)
        self._received += self._copy
        self._copy = b""
        return len(data)

    def recv(self, size):
        del size
        if self._received:
            data, self._received = self._received, b""
            return data
        if self.is_reset:
            raise ConnectionResetError
        raise BlockingIOError

    def close(self):
        self._closed = True

    def _receive(self, outcome):
        if not self.is_reset:
            self._received += _encode_answer(outcome)
            if self._host.faults.copies_answers:
                self._copy = _encode_answer(outcome)

    def ready_flags(self):
        """Returns the flags that epoll would report."""
        if not self.is_open:
            return 0
        flags = sockets.WRITABLE
        if self._received or self.is_reset:
            flags |= sockets.READABLE
        if self.is_reset or self.error:
            flags |= sockets.ERROR_OR_HANGUP
        return flags


class Poller:
    """Calls back for connections that are ready; stands for the loop's."""

    def __init__(self, connections):
        self._connections = connections
        self._watched = {}

    def watch(self, descriptor, flags, callback):
        self._watched[descriptor] = (flags, callback)

    def modify(self, descriptor, flags):
        self._watched[descriptor] = (flags, self._watched[descriptor][1])

    def unwatch(self, descriptor):
        self._watched.pop(descriptor, None)

    def poll(self):
        """Calls back once for each connection that is ready."""
        for descriptor in list(self._watched):
            if descriptor not in self._watched:
                continue
            flags, callback = self._watched[descriptor]
            ready = self._connections[descriptor].ready_flags()
            ready &= flags | sockets.ERROR_OR_HANGUP
            if ready:
                callback(ready)
