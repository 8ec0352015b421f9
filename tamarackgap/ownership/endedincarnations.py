"""Keeps the witness state and lease ends of this process's ended incarnations.

A process gets a new incarnation id when it loses its lease. It stays
bound by the grants and seals that it gave as a witness under earlier ids, and
it knows when the requests that earlier ids sent to the target have ended.
"""

from tamarackgap.ownership import effects, witnesshandler
from tamarackgap.placement import records

_MAX_WITNESSES = 8


class EndedIncarnations:
    """Holds the witness state and lease end of each ended incarnation."""

    def __init__(self) -> None:
        """Creates the state of a process whose first incarnation is running."""
        self._witnesses: dict[str, witnesshandler.WitnessHandler] = {}
        self._ends: dict[str, float] = {}

    def add(self, name: str, witness: witnesshandler.WitnessHandler) -> None:
        """Keeps the witness of an ended incarnation; drops the oldest ones.

        Args:
            name: The ended incarnation.
            witness: The grants and seals that it has given.
        """
        self._witnesses[name] = witness
        for oldest in list(self._witnesses)[:-_MAX_WITNESSES]:
            del self._witnesses[oldest]

    def find_witness(self, name: str) -> witnesshandler.WitnessHandler | None:
        """Returns the witness of an ended incarnation, or None."""
        return self._witnesses.get(name)

    def has_unknown_owner(self, now: float) -> bool:
        """Returns whether an owner that renews here has no known record."""
        return any(
            witness.has_unknown_owner(now)
            for witness in self._witnesses.values()
        )

    def report_silent_owners(
        self, outbox: effects.Outbox, now: float
    ) -> list[records.LeaseRecord]:
        """Notifies the successors of owners that have stopped renewing.

        The messages are sent in the name of the ended incarnation, because
        the owner's record lists that one as a witness.

        Args:
            outbox: Collects the messages.
            now: Monotonic time, seconds.

        Returns:
            The records whose epochs this daemon should try to end itself.
        """
        owners = []
        sender = outbox.incarnation
        for name, witness in list(self._witnesses.items()):
            outbox.incarnation = name
            owners += witness.report_silent_owners(now)
        outbox.incarnation = sender
        return owners

    def set_end(self, name: str, at: float) -> None:
        """Records when an incarnation's last requests have ended.

        Args:
            name: The incarnation.
            at: Monotonic time by which its lease has ended and no request
                that it sent to the target is executed any more, seconds.
        """
        self._ends[name] = at

    def ended(self, view: records.TableView, now: float) -> frozenset[str]:
        """Returns the incarnations that have ended, and drops closed ones.

        Args:
            view: This daemon's copy of the table.
            now: Monotonic time, seconds.
        """
        for name in list(self._ends):
            record = view.lease(name)
            if record is not None and not record.is_open:
                del self._ends[name]
        return frozenset(name for name, at in self._ends.items() if now >= at)
