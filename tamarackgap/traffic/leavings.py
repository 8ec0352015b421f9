"""Keeps the leaving of targets in mind after their daemons have ended.

The process of a target leaves for good. Its daemon forgets that when it starts
anew, and a late announcement would put the target into use again. So a daemon
has some other daemons, the keepers, confirm that they know of a leaving before
it acknowledges it, and one that starts asks its keepers before it uses a
target.
"""

import collections
from collections.abc import Callable

import msgspec

from tamarackgap import logs
from tamarackgap.network import scheduler
from tamarackgap.peers import calls
from tamarackgap.placement import placement

# Daemons that are told of a leaving, and how many of them have to confirm it
# and to answer a daemon that starts. Any two quorums share two daemons, so one
# of these may start anew meanwhile.
KEEPERS = 4
QUORUM = 3
_RETRY_S = 0.05
# Then one confirmation is enough: targets take an acknowledgement for lost
# after a second.
_CONFIRM_TIMEOUT_S = 0.7
# Without answers of enough keepers a daemon uses its target this long after it
# has read the table, or after its start where the table can't be read.
_ANSWER_TIMEOUT_S = 1.0
_UNREAD_TIMEOUT_S = 2.5
_MAX_LEAVINGS_PER_DAEMON = 4
_MAX_DAEMONS = 4096

Message = calls.TargetLeft | calls.TargetLeftQuery | calls.TargetLeftAnswer
Send = Callable[[str, Message], None]


class Peers(msgspec.Struct, frozen=True):
    """The other daemons, as far as they are known.

    Attributes:
        addresses: Their `ip:port`.
        are_all_known: Whether the table has been read.
    """

    addresses: frozenset[str]
    are_all_known: bool


def choose_keepers(address: str, peers: frozenset[str]) -> list[str]:
    """Returns the daemons that keep the leavings of one daemon's targets.

    Args:
        address: The daemon's `ip:port`.
        peers: Those of the other daemons.
    """
    ranked = sorted(
        peers,
        key=lambda peer: placement.rendezvous_hash(address, peer),
        reverse=True,
    )
    return ranked[:KEEPERS]


class LeavingMemory:
    """What this daemon knows of the targets of other daemons that have left."""

    def __init__(self) -> None:
        """Creates a memory of nothing."""
        self._leavings: collections.OrderedDict[
            str, tuple[calls.TargetProcess, ...]
        ] = collections.OrderedDict()

    def record(self, address: str, process: calls.TargetProcess) -> None:
        """Records that a daemon's target has left.

        Args:
            address: The daemon's `ip:port`.
            process: The process of the target.
        """
        known = self._leavings.pop(address, ())
        if process not in known:
            known = (*known, process)[-_MAX_LEAVINGS_PER_DAEMON:]
        self._leavings[address] = known
        if len(self._leavings) > _MAX_DAEMONS:
            self._leavings.popitem(last=False)

    def find(self, address: str) -> tuple[calls.TargetProcess, ...]:
        """Returns the last processes of a daemon's target that have left."""
        return self._leavings.get(address, ())


class LeavingRecorder:
    """Has other daemons confirm the leaving of the local target."""

    def __init__(
        self,
        address: str,
        send: Send,
        timers: scheduler.Scheduler,
        get_peers: Callable[[], Peers],
    ) -> None:
        """Creates an instance that has told nothing.

        Args:
            address: This daemon's `ip:port` for other daemons.
            send: Sends a message to a daemon.
            timers: The loop's scheduler.
            get_peers: Returns the other daemons.
        """
        self._address = address
        self._send = send
        self._timers = timers
        self._get_peers = get_peers
        self._confirmed_by: dict[calls.TargetProcess, set[str]] = {}
        self._waiting: dict[
            calls.TargetProcess, list[Callable[[bool], None]]
        ] = {}

    def confirm(
        self, process: calls.TargetProcess, done: Callable[[bool], None]
    ) -> None:
        """Tells the keepers that the local target has left.

        Args:
            process: The process of the target.
            done: Called once with whether the leaving is known to others, or
                there are none.
        """
        if self._is_confirmed(process):
            done(True)
            return
        is_new = process not in self._waiting
        self._waiting.setdefault(process, []).append(done)
        if is_new:
            self._confirmed_by.setdefault(process, set())
            self._tell(process, self._timers.now + _CONFIRM_TIMEOUT_S)

    def handle_answer(
        self, address: str, answer: calls.TargetLeftAnswer
    ) -> None:
        """Records what a daemon knows."""
        for process in answer.left:
            if process in self._confirmed_by:
                self._confirmed_by[process].add(address)
                if self._is_confirmed(process):
                    self._finish(process, True)

    def _is_confirmed(self, process: calls.TargetProcess) -> bool:
        confirmed_by = self._confirmed_by.get(process)
        if confirmed_by is None:
            return False
        peers = self._get_peers()
        return len(confirmed_by) >= min(QUORUM, len(peers.addresses)) and (
            bool(confirmed_by) or peers.are_all_known
        )

    def _tell(self, process: calls.TargetProcess, give_up_at: float) -> None:
        if process not in self._waiting:
            return
        if self._is_confirmed(process):
            self._finish(process, True)
            return
        confirmed_by = self._confirmed_by[process]
        if self._timers.now >= give_up_at:
            logs.event(
                "leaving_unconfirmed",
                instance=process.instance,
                confirmed=len(confirmed_by),
            )
            self._finish(process, bool(confirmed_by))
            return
        keepers = choose_keepers(self._address, self._get_peers().addresses)
        for keeper in keepers:
            if keeper not in confirmed_by:
                self._send(keeper, calls.TargetLeft(process))
        self._timers.after(_RETRY_S, lambda: self._tell(process, give_up_at))

    def _finish(self, process: calls.TargetProcess, is_known: bool) -> None:
        for done in self._waiting.pop(process, ()):
            done(is_known)


class LeavingQuery:
    """Asks other daemons which processes of the local target have left.

    Attributes:
        is_answered: Whether the local target may be used, as far as that goes.
    """

    def __init__(
        self,
        address: str,
        send: Send,
        timers: scheduler.Scheduler,
        get_peers: Callable[[], Peers],
        on_left: Callable[[calls.TargetProcess], None],
        on_answered: Callable[[], None],
    ) -> None:
        """Begins to ask, since this daemon has just started.

        Args:
            address: This daemon's `ip:port` for other daemons.
            send: Sends a message to a daemon.
            timers: The loop's scheduler.
            get_peers: Returns the other daemons.
            on_left: Called with each process that has left.
            on_answered: Called once when enough daemons have answered, or none
                can be expected to.
        """
        self._address = address
        self._send = send
        self._timers = timers
        self._get_peers = get_peers
        self._on_left = on_left
        self._on_answered = on_answered
        self._started_at = timers.now
        # When the table was first seen to be read, seconds.
        self._read_at: float | None = None
        self._asked_at: dict[str, float] = {}
        self._answered_by: set[str] = set()
        self.is_answered = False
        timers.after(0.0, self._ask)

    def handle_answer(
        self, address: str, answer: calls.TargetLeftAnswer
    ) -> None:
        """Applies what a daemon knows."""
        self._answered_by.add(address)
        for process in answer.left:
            self._on_left(process)
        self._check()

    def handle_new_peers(self) -> None:
        """Asks daemons that have just become known."""
        if not self.is_answered:
            self._ask_new()

    def _ask(self) -> None:
        if self.is_answered:
            return
        self._asked_at.clear()
        self._ask_new()
        self._timers.after(_RETRY_S, self._ask)

    def _ask_new(self) -> None:
        peers = self._get_peers()
        if peers.are_all_known and self._read_at is None:
            self._read_at = self._timers.now
        asked = (
            choose_keepers(self._address, peers.addresses)
            if peers.are_all_known
            else peers.addresses
        )
        for address in asked:
            if address not in self._asked_at and (
                address not in self._answered_by
            ):
                self._asked_at[address] = self._timers.now
                self._send(address, calls.TargetLeftQuery())
        self._check()

    def _check(self) -> None:
        if self.is_answered:
            return
        now = self._timers.now
        peers = self._get_peers()
        if self._read_at is None:
            is_over = now - self._started_at > _UNREAD_TIMEOUT_S
        else:
            keepers = choose_keepers(self._address, peers.addresses)
            answers = len(self._answered_by.intersection(keepers))
            is_over = (
                answers >= min(QUORUM, len(keepers))
                or now - self._read_at > _ANSWER_TIMEOUT_S
            )
        if is_over:
            self.is_answered = True
            logs.event(
                "leavings_asked",
                answers=len(self._answered_by),
                ms=round((now - self._started_at) * 1000),
            )
            self._on_answered()
