"""Renews an owner's lease with its witnesses."""

from tamarackgap import types
from tamarackgap.ownership import effects, lease
from tamarackgap.peers import messages
from tamarackgap.placement import records

_RENEWALS_PER_LEASE = 4
# If no majority has answered for this many renewal intervals, the owner only
# sends probes.
_MAX_SILENT_INTERVALS = 1.9
# Probes follow each other faster than renewals, so that a short partition ends
# before the grants do.
_PROBE_INTERVAL_SHARE = 0.5
_STOPPED_STATES = (types.WitnessState.SEALED, types.WitnessState.CLOSED)


class LeaseRenewer:
    """Keeps the lease of one incarnation renewed."""

    def __init__(
        self,
        length: float,
        view: records.TableView,
        outbox: effects.Outbox,
        now: float,
    ) -> None:
        """Creates a lease without witnesses, which is not valid.

        Args:
            length: Base of the time between renewals, and the time for which
                a grant of the epoch without witnesses would be valid, seconds.
            view: This daemon's copy of the table.
            outbox: Collects the messages to send.
            now: Monotonic time, seconds.
        """
        self._interval = length / _RENEWALS_PER_LEASE
        self._view = view
        self._outbox = outbox
        self._renew_at = now
        self._lease = lease.Lease(_new_grants(0, (), length, now))
        # Largest delay of a renewal so far, seconds.
        self.lateness = 0.0

    @property
    def own_lease(self) -> lease.Lease:
        """The lease that is kept renewed."""
        return self._lease

    def prepare(
        self, witnesses: tuple[str, ...], length: float, now: float
    ) -> None:
        """Retires the current epoch and asks for grants of the next one.

        Args:
            witnesses: Incarnations of the next epoch's witnesses.
            length: Time for which a grant of the next epoch is valid, seconds;
                the record of that epoch has to say the same.
            now: Monotonic time, seconds.
        """
        current = self._lease.current
        grants = _new_grants(current.epoch + 1, witnesses, length, now)
        self._lease.prepare(grants)
        for name in current.witnesses:
            self._outbox.send(name, messages.Retire(name, current.epoch))
        self._send_renewals(grants, now)

    def renew(self, now: float) -> None:
        """Sends renewals of all epochs, if they are due."""
        if now < self._renew_at:
            return
        if self._lease.current.epoch:
            self.lateness = max(self.lateness, now - self._renew_at)
        is_reachable = self._is_majority_reachable(self._lease.current, now)
        self._renew_at = now + (
            self._interval
            if is_reachable
            else self._interval * _PROBE_INTERVAL_SHARE
        )
        for grants in self._lease.epochs():
            self._send_renewals(grants, now)

    def handle_renew_reply(
        self, sender: str, message: messages.RenewReply, now: float
    ) -> None:
        """Records a witness's answer to a renewal or probe."""
        for grants in self._lease.epochs():
            if grants.epoch != message.epoch:
                continue
            was_unreachable = not self._is_majority_reachable(grants, now)
            sent = types.Seconds(message.sent) if message.granted else None
            grants.record_answer(
                sender, message.state, types.Seconds(now), sent
            )
            if was_unreachable and self._is_majority_reachable(grants, now):
                # A majority answers the probes again, so renew at once.
                self._renew_at = now

    def handle_retire_reply(
        self, sender: str, message: messages.RetireReply, now: float
    ) -> None:
        """Records a witness's answer to a retirement."""
        for grants in self._lease.epochs():
            if grants.epoch == message.epoch:
                grants.record_answer(sender, message.state, types.Seconds(now))

    def is_ended(self) -> bool:
        """Returns whether a majority has stopped renewing the current epoch."""
        return self._lease.current.has_majority(*_STOPPED_STATES)

    def _send_renewals(self, grants: lease.EpochGrants, now: float) -> None:
        # If the answers don't reach the owner, grants are of no use to it and
        # only make its successor wait longer. It then sends probes, which
        # grant nothing.
        probe = not self._is_majority_reachable(grants, now)
        revision = self._view.cursor
        for name in grants.witnesses:
            renewal = messages.Renew(name, grants.epoch, now, revision, probe)
            self._outbox.send(name, renewal)

    def _is_majority_reachable(
        self, grants: lease.EpochGrants, now: float
    ) -> bool:
        within = self._interval * _MAX_SILENT_INTERVALS
        return grants.has_recent_majority(
            types.Seconds(now), types.Seconds(within)
        )


def _new_grants(
    epoch: int, witnesses: tuple[str, ...], length: float, now: float
) -> lease.EpochGrants:
    return lease.EpochGrants(
        types.Epoch(epoch),
        witnesses,
        types.Seconds(length),
        types.Seconds(now),
    )
