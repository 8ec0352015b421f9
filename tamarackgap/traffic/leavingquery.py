"""Finds out which processes of the local target have left, after a start.

Evidence is the table, as far as it can't have lost a leaving, and the answers
of daemons that have not just started themselves. A leaving may have been
acknowledged before the table took it, so others are asked in any case. Where
there is no evidence, an announcement counts if it can't have been sent before
this process started: it comes to an address that only this process has named,
or late enough.
"""

from collections.abc import Callable

from tamarackgap import logs, types
from tamarackgap.network import scheduler
from tamarackgap.peers import calls
from tamarackgap.traffic import leavings, leavingtable

# After this time without answers of enough keepers, the answer of one daemon is
# enough. It counts from the first read of the table, or from the start where
# the table can't be read.
_ANSWER_TIMEOUT_S = 1.0
_UNREAD_TIMEOUT_S = 2.5
# Without evidence for this long after the first read of the table, the target
# is asked to announce itself at another address.
_FRESH_ADDRESS_AFTER_S = 0.2


def _ignore() -> None:
    """Is called where no other address is to be named."""


class LeavingQuery:
    """Asks the table and other daemons which processes have left.

    Attributes:
        is_answered: Whether the local target may be used, as far as that goes.
        on_no_evidence: Called once if there is none after a moment.
    """

    def __init__(
        self,
        address: str,
        process: str,
        send: leavings.Send,
        timers: scheduler.Scheduler,
        get_peers: Callable[[], leavings.Peers],
        read_table: Callable[[], leavingtable.Evidence],
        on_left: Callable[[types.TargetProcess], None],
        on_answered: Callable[[bool], None],
    ) -> None:
        """Begins to ask, since this daemon has just started.

        Args:
            address: This daemon's `ip:port` for other daemons.
            process: Id of this daemon's process.
            send: Sends a message to a daemon.
            timers: The loop's scheduler.
            get_peers: Returns the other daemons.
            read_table: Returns what the table tells.
            on_left: Called with each process that has left.
            on_answered: Called once when the target may be used, with whether
                that holds for announcements received before.
        """
        self._address = address
        self._process = process
        self._send = send
        self._timers = timers
        self._get_peers = get_peers
        self._read_table = read_table
        self._on_left = on_left
        self._on_answered = on_answered
        self._started_at = timers.now
        # When the table was first seen to be read, seconds.
        self._read_at: float | None = None
        # Whether the table did not answer before. Leavings may then have been
        # acknowledged that it does not have.
        self._has_table_failed = False
        self._asked: set[str] = set()
        self._answered_by: set[str] = set()
        # Those of them that can't have missed a leaving.
        self._witnesses: set[str] = set()
        self._lacks_evidence = False
        self.is_answered = False
        self.on_no_evidence: Callable[[], None] = _ignore
        timers.after(0.0, self._ask)

    def handle_answer(
        self, address: str, answer: calls.TargetLeftAnswer
    ) -> None:
        """Applies what a daemon knows."""
        for process in answer.left:
            self._on_left(process)
        self._answered_by.add(address)
        if answer.is_evidence:
            self._witnesses.add(address)
        self._check()

    def handle_table_read(self) -> None:
        """Applies what the table tells, and asks daemons that it names."""
        if not self.is_answered:
            self._ask_new()

    def handle_fresh_announcement(self) -> None:
        """Records that the target runs, and did not leave before the start."""
        if not self.is_answered:
            self._finish("announcement", False)

    def handle_table_failure(self) -> None:
        """Records that the table can't be read."""
        if self._read_at is None:
            self._has_table_failed = True

    def _ask(self) -> None:
        if self.is_answered:
            return
        self._asked.clear()
        self._ask_new()
        self._timers.after(leavings.RETRY_S, self._ask)

    def _ask_new(self) -> None:
        peers = self._get_peers()
        if peers.are_all_known and self._read_at is None:
            self._read_at = self._timers.now
            for process in self._read_table().left:
                self._on_left(process)
        self._check()
        if self.is_answered:
            return
        query = calls.TargetLeftQuery(
            self._process, self._timers.now - self._started_at
        )
        addresses = peers.addresses
        if self._is_table_evidence():
            addresses = leavings.choose_keepers(self._address, addresses)
        for address in set(addresses) - self._asked - self._answered_by:
            self._asked.add(address)
            self._send(address, query)

    def _check(self) -> None:
        if self.is_answered:
            return
        now = self._timers.now
        evidence = self._find_evidence(now)
        if evidence:
            self._finish(evidence, True)
        elif now - self._started_at > leavings.LONGEST_DELAY_S:
            self._finish("time", False)
        elif (
            not self._lacks_evidence
            and self._read_at is not None
            and not self._is_table_evidence()
            and now - self._read_at > _FRESH_ADDRESS_AFTER_S
        ):
            self._lacks_evidence = True
            self.on_no_evidence()

    def _find_evidence(self, now: float) -> str:
        """Returns what shows that all leavings are known, "" for nothing."""
        if self._read_at is None:
            is_late = now - self._started_at > _UNREAD_TIMEOUT_S
        else:
            is_late = now - self._read_at > _ANSWER_TIMEOUT_S
            keepers = leavings.choose_keepers(
                self._address, self._get_peers().addresses
            )
            quorum = min(leavings.QUORUM, len(keepers))
            if self._is_table_evidence() and (
                is_late
                or len(self._answered_by.intersection(keepers)) >= quorum
            ):
                return "table"
            if len(self._witnesses.intersection(keepers)) >= max(1, quorum):
                return "keepers"
        return "witnesses" if is_late and self._witnesses else ""

    def _is_table_evidence(self) -> bool:
        return (
            self._read_at is not None
            and not self._has_table_failed
            and self._read_table().is_complete
        )

    def _finish(self, evidence: str, holds_before: bool) -> None:
        self.is_answered = True
        logs.event(
            "leavings_asked",
            evidence=evidence,
            witnesses=len(self._witnesses),
            ms=round((self._timers.now - self._started_at) * 1000),
        )
        self._on_answered(holds_before)
