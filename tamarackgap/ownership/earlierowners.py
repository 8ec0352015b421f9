"""Tells when nobody serves any more what it owned in an earlier era.

After the table has come back from an older copy, a daemon can't tell from it
who owned what. It asks all others what they know, and waits for the leases of
owners that have ended.
"""

from tamarackgap.ownership import effects
from tamarackgap.peers import messages
from tamarackgap.placement import records

_ASK_INTERVAL_S = 0.25


class EarlierOwners:
    """What is known of the earlier owners of this daemon's service.

    All daemons of which this one knows are accounted for once each of them has
    a record in the table's era, or another process at its address has, and all
    that have one have told what they know. An owner that nobody knows of would
    need witnesses that nobody knows of either.
    """

    def __init__(
        self,
        settings: effects.Settings,
        view: records.TableView,
        outbox: effects.Outbox,
        now: float,
    ) -> None:
        """Creates an instance that has asked nobody.

        Args:
            settings: The daemon's settings.
            view: This daemon's copy of the table.
            outbox: Collects messages and log lines.
            now: Monotonic time, seconds.
        """
        self._settings = settings
        self._view = view
        self._outbox = outbox
        self._begun_at = now
        self.begin_era(now)

    def begin_era(self, now: float) -> None:
        """Records that the table's era has risen."""
        self._begun_at = now
        self._answered_by: set[str] = set()
        self._is_over = False
        self._is_logged = False
        # Since when all known daemons are accounted for, seconds.
        self._accounted_at: float | None = None
        self._asked_at = float("-inf")

    def age(self, now: float) -> float:
        """Returns the time since this daemon learnt of the era, seconds."""
        return now - self._begun_at

    def have_all_ended(self, now: float) -> bool:
        """Returns whether all have ended, whoever they were.

        An owner stops on its own at the anchor time after its last read in an
        earlier era, which came before this daemon learnt of the new one.
        """
        lengths = [record.lease_ms / 1000 for record in self._view.leases()]
        limit = effects.challenge_timeout(
            self._settings, max(lengths, default=self._settings.lease)
        )
        return bool(self._settings.anchor) and self.age(now) > limit

    def have_ended(self, now: float, lease_length: float) -> bool:
        """Returns whether the earlier owners of the service here have ended.

        Args:
            now: Monotonic time, seconds.
            lease_length: Length of a lease of the service now, seconds.
        """
        if not self._view.is_restored or self._is_over:
            return True
        if self.have_all_ended(now):
            return True
        if not self._settings.anchor or not self._are_accounted_for():
            self._accounted_at = None
            return False
        if self._accounted_at is None:
            self._accounted_at = now
        timeouts = [
            effects.lease_timeout(self._settings, record)
            for record in self._view.leases()
            if record.service == self._settings.service
        ]
        own = lease_length * (1 + self._settings.drift) + self._settings.linger
        return now - self._accounted_at >= max(timeouts, default=own)

    def log_end(self, now: float) -> None:
        """Logs once an era that the earlier owners have ended."""
        if self._view.is_restored and not self._is_logged:
            self._is_logged = True
            self._outbox.log(
                "earlier_owners_ended",
                era=self._view.era,
                ms=round(self.age(now) * 1000),
                answers=len(self._answered_by),
            )

    def ask(self, now: float) -> None:
        """Asks all daemons in the table's era that have not answered."""
        if now - self._asked_at < _ASK_INTERVAL_S:
            return
        self._asked_at = now
        query = messages.EarlierOwnersQuery(
            self._settings.service, self._view.era
        )
        for name in self._missing_answers():
            self._outbox.send(name, query)

    def answer(
        self,
        query: messages.EarlierOwnersQuery,
        has_unknown_owner: bool,
        now: float,
    ) -> messages.EarlierOwnersAnswer | None:
        """Returns what is known here of a service's earlier owners.

        Args:
            query: What another daemon asks.
            has_unknown_owner: Whether this daemon is a witness of an owner
                whose record it does not know.
            now: Monotonic time, seconds.

        Returns:
            The answer; None if this daemon can't tell yet.
        """
        if query.era != self._view.era or has_unknown_owner:
            return None
        return messages.EarlierOwnersAnswer(
            query.era,
            tuple(self._view.earlier_rows(query.service)),
            self.have_all_ended(now),
        )

    def handle_answer(
        self, sender: str, message: messages.EarlierOwnersAnswer
    ) -> None:
        """Records that a daemon has told what it knows; its rows are merged."""
        if message.era == self._view.era:
            self._answered_by.add(sender)
            self._is_over = self._is_over or message.have_all_ended

    def _are_accounted_for(self) -> bool:
        view = self._view
        current = {
            record.peer_address
            for record in view.current_leases()
            if record.is_open
        }
        return not self._missing_answers() and all(
            view.is_current(record.key) or record.peer_address in current
            for record in view.leases()
            if record.is_open
        )

    def _missing_answers(self) -> list[str]:
        return [
            record.incarnation
            for record in self._view.current_leases()
            if record.is_open
            and record.peer_address != self._settings.peer_address
            and record.incarnation not in self._answered_by
        ]
