"""Answers messages to a witness, and reports owners that stop renewing."""

import math

from tamarackgap import types
from tamarackgap.ownership import effects, witness
from tamarackgap.peers import messages
from tamarackgap.placement import records

_NOTIFY_INTERVAL_S = 0.1
# A witness suspects an owner that has not renewed for this many lease lengths.
_SUSPECT_AFTER_LEASES = 0.8
_GRANTING_STATES = (types.WitnessState.OPEN, types.WitnessState.RETIRED)


class WitnessHandler:
    """Answers owners and successors on behalf of one incarnation."""

    def __init__(
        self,
        base_length: float,
        view: records.TableView,
        outbox: effects.Outbox,
    ) -> None:
        """Creates a witness that has granted nothing.

        Args:
            base_length: Length of the lease of an owner whose record has not
                been read yet, seconds.
            view: This daemon's copy of the table.
            outbox: Collects messages and log lines.
        """
        self._witness = witness.Witness(self._suspect_after)
        self._base_length = base_length
        self._view = view
        self._outbox = outbox
        # When successors were last notified of each owner, seconds.
        self._notified_at: dict[str, float] = {}

    def renew(
        self, owner: str, message: messages.Renew, now: float
    ) -> messages.RenewReply:
        """Returns the answer to a renewal or probe."""
        state = self._witness.renew(
            owner, message.epoch, types.Seconds(now), message.probe
        )
        return messages.RenewReply(
            owner,
            message.epoch,
            message.sent,
            state in _GRANTING_STATES and not message.probe,
            state,
            self._view.cursor,
        )

    def retire(
        self, owner: str, message: messages.Retire
    ) -> messages.RetireReply:
        """Returns the answer to a retirement."""
        state = self._witness.retire(owner, message.epoch)
        return messages.RetireReply(owner, message.epoch, state)

    def release(self, owner: str, message: messages.Release) -> None:
        """Records that an owner has given its epoch up."""
        self._witness.release(owner, message.epoch)
        self._notified_at.pop(owner, None)

    def seal(self, message: messages.Seal, now: float) -> messages.SealReply:
        """Returns the answer to a successor that asks for a seal."""
        state, age = self._witness.seal(
            message.owner, message.epoch, types.Seconds(now)
        )
        # A negative age stands for "no grant" in the answer.
        sent_age = age if age != math.inf else -1.0
        self._outbox.log(
            "seal_asked",
            owner=message.owner,
            epoch=message.epoch,
            state=state.value,
            age=round(sent_age, 4),
        )
        return messages.SealReply(message.owner, message.epoch, state, sent_age)

    def has_unknown_owner(self, now: float) -> bool:
        """Returns whether an owner that renews here has no known record."""
        since = now - self._base_length * _SUSPECT_AFTER_LEASES
        return any(
            self._view.lease(owner) is None
            for owner in self._witness.granted_since(since)
        )

    def report_silent_owners(self, now: float) -> list[records.LeaseRecord]:
        """Notifies the successors of owners that have stopped renewing.

        Returns:
            The records whose epochs this daemon should try to end itself:
            it is a successor, or one of the successors is gone, or there is
            none.
        """
        records_to_end = []
        for suspicion in self._witness.suspicions(types.Seconds(now)):
            record = self._view.lease(suspicion.owner)
            if record is None or not record.is_open:
                # The record of an owner that has just joined may not have been
                # read yet.
                if self._view.revision(records.lease_key(suspicion.owner)):
                    self._witness.forget_suspicion(suspicion)
                continue
            last = self._notified_at.get(suspicion.owner, -math.inf)
            if (
                suspicion.epoch != record.epoch
                or now - last < _NOTIFY_INTERVAL_S
            ):
                continue
            self._notified_at[suspicion.owner] = now
            if self._notify_successors(record, suspicion):
                records_to_end.append(record)
        return records_to_end

    def _notify_successors(
        self, record: records.LeaseRecord, suspicion: witness.Suspicion
    ) -> bool:
        """Returns whether this daemon should try to end the epoch itself."""
        message = messages.SuspectOwner(suspicion.owner, suspicion.epoch)
        successors = record.successors()
        for name in successors:
            if name != self._outbox.incarnation:
                self._outbox.send(name, message)
        lost = [name for name in successors if not self._is_open(name)]
        own = self._outbox.incarnation in successors
        return own or bool(lost) or not successors

    def _suspect_after(self, owner: str) -> float:
        """Returns the age of a grant from which on its owner is suspected.

        A successor waits for the lease's end anyway, so an owner that is only
        paused keeps its lease for as long as that costs its callers nothing.
        """
        record = self._view.lease(owner)
        length = self._base_length
        if record is not None:
            length = max(length, record.lease_ms / 1000)
        return length * _SUSPECT_AFTER_LEASES

    def _is_open(self, incarnation: str) -> bool:
        record = self._view.lease(incarnation)
        return record is not None and record.is_open
