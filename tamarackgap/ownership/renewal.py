"""An owner's renewals with its witnesses, and what they answer."""

from tamarackgap import types
from tamarackgap.ownership import effects, lease
from tamarackgap.peers import messages
from tamarackgap.placement import records

_RENEWALS_PER_LEASE = 4
# Without answers of a majority for so many renewals, an owner only probes.
_HEARING_INTERVALS = 1.9
_STOPPED = (types.WitnessState.SEALED, types.WitnessState.CLOSED)


class LeaseRenewer:
    """Keeps one incarnation's lease up."""

    def __init__(
        self,
        length: float,
        view: records.TableView,
        outbox: effects.Outbox,
        now: float,
    ) -> None:
        """Creates a lease without witnesses, which is not valid.

        Args:
            length: Length of a grant, seconds.
            view: The rows of the table known here.
            outbox: Takes messages.
            now: Monotonic time, seconds.
        """
        self._length = length
        self._interval = length / _RENEWALS_PER_LEASE
        self._view = view
        self._outbox = outbox
        self._due = now
        self._lease = lease.Lease(self._grants(0, (), now))
        # Largest delay of a renewal so far, seconds.
        self.lateness = 0.0

    @property
    def own_lease(self) -> lease.Lease:
        """The lease."""
        return self._lease

    def prepare(self, witnesses: tuple[str, ...], now: float) -> None:
        """Retires the present epoch and asks for grants of the next one."""
        current = self._lease.current
        grants = self._grants(current.epoch + 1, witnesses, now)
        self._lease.prepare(grants)
        for name in current.witnesses:
            self._outbox.send(name, messages.Retire(name, current.epoch))
        self._ask(grants, now)

    def renew(self, now: float) -> None:
        """Sends renewals, if they are due."""
        if now < self._due:
            return
        if self._lease.current.epoch:
            self.lateness = max(self.lateness, now - self._due)
        self._due = now + self._interval
        for grants in self._lease.epochs():
            self._ask(grants, now)

    def granted(
        self, sender: str, message: messages.RenewReply, now: float
    ) -> None:
        """Takes a witness's answer to a renewal in."""
        for grants in self._lease.epochs():
            if grants.epoch != message.epoch:
                continue
            deaf = not self._hears(grants, now)
            sent = types.Seconds(message.sent) if message.granted else None
            grants.record_answer(
                sender, message.state, types.Seconds(now), sent
            )
            if deaf and self._hears(grants, now):
                # Its probes are answered again: it renews at once.
                self._due = now

    def retired(
        self, sender: str, message: messages.RetireReply, now: float
    ) -> None:
        """Takes a witness's answer to a retirement in."""
        for grants in self._lease.epochs():
            if grants.epoch == message.epoch:
                grants.record_answer(sender, message.state, types.Seconds(now))

    def is_ended(self) -> bool:
        """Returns whether a majority will never renew again."""
        return self._lease.current.has_majority(*_STOPPED)

    def _grants(
        self, epoch: int, witnesses: tuple[str, ...], now: float
    ) -> lease.EpochGrants:
        return lease.EpochGrants(
            types.Epoch(epoch),
            witnesses,
            types.Seconds(self._length),
            types.Seconds(now),
        )

    def _ask(self, grants: lease.EpochGrants, now: float) -> None:
        # Grants that are not heard of would only delay a successor.
        probe = not self._hears(grants, now)
        revision = self._view.cursor
        for name in grants.witnesses:
            renewal = messages.Renew(name, grants.epoch, now, revision, probe)
            self._outbox.send(name, renewal)

    def _hears(self, grants: lease.EpochGrants, now: float) -> bool:
        within = self._interval * _HEARING_INTERVALS
        return grants.has_recent_majority(
            types.Seconds(now), types.Seconds(within)
        )
