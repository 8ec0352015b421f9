"""Makes the leaving of a target binding before it is acknowledged.

The process of a target leaves for good. Its daemon forgets that when it starts
anew, and a late announcement would put the target into use again. So before a
daemon acknowledges a leaving, it writes it into the table, and some other
daemons, the keepers, confirm that they know of it: the table may not answer,
and it may come back from an older copy. `leavingquery` asks both.
"""

import collections
from collections.abc import Callable

import msgspec

from tamarackgap import logs, types
from tamarackgap.network import scheduler
from tamarackgap.peers import calls
from tamarackgap.placement import placement
from tamarackgap.traffic import leavingtable

# Daemons that are told of a leaving, and how many of them have to confirm it.
KEEPERS = 4
QUORUM = 3
RETRY_S = 0.05
# Then the table or one confirmation is enough: targets take an acknowledgement
# for lost after a second.
_CONFIRM_TIMEOUT_S = 0.7
_MAX_DAEMONS = 4096
# Longest time for which an announcement may be under way.
LONGEST_DELAY_S = 10.0

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


class _Remembered(msgspec.Struct):
    """What is remembered of one daemon.

    Attributes:
        left: The last processes of its target that have left.
        first_process: The daemon's process that was heard first; "" before.
    """

    left: tuple[types.TargetProcess, ...] = ()
    first_process: str = ""


class LeavingMemory:
    """What this daemon knows of the targets of other daemons that have left."""

    def __init__(self, timers: scheduler.Scheduler) -> None:
        """Creates a memory of nothing.

        Args:
            timers: The loop's scheduler.
        """
        self._timers = timers
        self._started_at = timers.now
        self._daemons: collections.OrderedDict[str, _Remembered] = (
            collections.OrderedDict()
        )

    def record(self, address: str, *left: types.TargetProcess) -> None:
        """Records that processes of a daemon's target have left.

        Args:
            address: The daemon's `ip:port`.
            *left: The processes.
        """
        remembered = self._get(address)
        for process in left:
            remembered.left = leavingtable.add_process(remembered.left, process)

    def hear(self, address: str, status: calls.TargetStatus) -> None:
        """Records what a daemon says of itself and of its target's leavings.

        Args:
            address: The daemon's `ip:port`.
            status: Its status, as it has sent it to this daemon itself.
        """
        remembered = self._get(address)
        remembered.first_process = remembered.first_process or status.process
        self.record(address, *status.left)

    def answer(
        self, address: str, query: calls.TargetLeftQuery
    ) -> calls.TargetLeftAnswer:
        """Returns what is known of a daemon's target.

        The answer is evidence if this daemon has heard an earlier process of
        that daemon, which has told it of all leavings, or if it has started so
        long before the one that asks that earlier announcements have arrived.
        One that has started at about the same time knows nothing of before.

        Args:
            address: The daemon's `ip:port`.
            query: What it asks.
        """
        remembered = self._get(address)
        head_start = self._timers.now - self._started_at - query.age
        return calls.TargetLeftAnswer(
            remembered.left,
            remembered.first_process not in ("", query.process)
            or head_start > LONGEST_DELAY_S,
        )

    def _get(self, address: str) -> _Remembered:
        remembered = self._daemons.setdefault(address, _Remembered())
        self._daemons.move_to_end(address)
        if len(self._daemons) > _MAX_DAEMONS:
            self._daemons.popitem(last=False)
        return remembered


class LeavingRecorder:
    """Records that the local target leaves, before that is acknowledged."""

    def __init__(
        self,
        address: str,
        send: Send,
        timers: scheduler.Scheduler,
        get_peers: Callable[[], Peers],
        table: leavingtable.LeavingTable,
    ) -> None:
        """Creates an instance that has told nothing.

        Args:
            address: This daemon's `ip:port` for other daemons.
            send: Sends a message to a daemon.
            timers: The loop's scheduler.
            get_peers: Returns the other daemons.
            table: Writes leavings into the table.
        """
        self._address = address
        self._send = send
        self._timers = timers
        self._get_peers = get_peers
        self._table = table
        table.on_recorded = self._handle_recorded
        self._confirmed_by: dict[types.TargetProcess, set[str]] = {}
        self._waiting: dict[
            types.TargetProcess, list[Callable[[bool], None]]
        ] = {}

    def confirm(
        self, process: types.TargetProcess, done: Callable[[bool], None]
    ) -> None:
        """Records that the local target has left, in the table and at keepers.

        Args:
            process: The process of the target.
            done: Called once with whether the leaving outlasts this process.
        """
        if self._is_confirmed(process):
            done(True)
            return
        is_new = process not in self._waiting
        self._waiting.setdefault(process, []).append(done)
        if is_new:
            self._confirmed_by.setdefault(process, set())
            self._table.record(process)
            self._tell(process, self._timers.now + _CONFIRM_TIMEOUT_S)

    def handle_answer(
        self, address: str, answer: calls.TargetLeftAnswer
    ) -> None:
        """Records what a daemon knows."""
        for process in answer.left:
            if process in self._confirmed_by:
                self._confirmed_by[process].add(address)
                self._finish_if_confirmed(process)

    def _handle_recorded(self) -> None:
        for process in list(self._waiting):
            self._finish_if_confirmed(process)

    def _is_confirmed(self, process: types.TargetProcess) -> bool:
        if not self._table.is_recorded(process):
            return False
        confirmed_by = self._confirmed_by.get(process)
        if confirmed_by is None:
            return False
        return len(confirmed_by) >= min(
            QUORUM, len(self._get_peers().addresses)
        )

    def _tell(self, process: types.TargetProcess, give_up_at: float) -> None:
        if process not in self._waiting:
            return
        if self._finish_if_confirmed(process):
            return
        confirmed_by = self._confirmed_by[process]
        if self._timers.now >= give_up_at:
            is_recorded = self._table.is_recorded(process)
            logs.event(
                "leaving_unconfirmed",
                instance=process.instance,
                confirmed=len(confirmed_by),
                recorded=is_recorded,
            )
            self._finish(process, is_recorded or bool(confirmed_by))
            return
        keepers = choose_keepers(self._address, self._get_peers().addresses)
        for keeper in keepers:
            if keeper not in confirmed_by:
                self._send(keeper, calls.TargetLeft(process))
        self._timers.after(RETRY_S, lambda: self._tell(process, give_up_at))

    def _finish_if_confirmed(self, process: types.TargetProcess) -> bool:
        is_confirmed = self._is_confirmed(process)
        if is_confirmed:
            self._finish(process, True)
        return is_confirmed

    def _finish(self, process: types.TargetProcess, is_known: bool) -> None:
        for done in self._waiting.pop(process, ()):
            done(is_known)
