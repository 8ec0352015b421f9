"""A daemon's duty as a witness: grant, seal, and tell of silent owners."""

import math

from tamarackgap import types
from tamarackgap.ownership import effects, witness
from tamarackgap.peers import messages
from tamarackgap.placement import records

_NOTIFY_AGAIN_S = 0.1
_GRANTING = (types.WitnessState.OPEN, types.WitnessState.RETIRED)


class WitnessHandler:
    """Answers owners and successors for one incarnation."""

    def __init__(
        self,
        suspect_after: float,
        view: records.TableView,
        outbox: effects.Outbox,
    ) -> None:
        """Creates a witness that has promised nothing.

        Args:
            suspect_after: Age of the last grant from which an owner is
                suspected, seconds.
            view: The rows of the table known here.
            outbox: Takes messages and log lines.
        """
        self._witness = witness.Witness(types.Seconds(suspect_after))
        self._view = view
        self._outbox = outbox
        self._notified: dict[str, float] = {}

    def renew(
        self, owner: str, message: messages.Renew, now: float
    ) -> messages.RenewReply:
        """Returns the answer to a renewal."""
        state = self._witness.renew(
            owner, message.epoch, types.Seconds(now), message.probe
        )
        return messages.RenewReply(
            owner,
            message.epoch,
            message.sent,
            state in _GRANTING and not message.probe,
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
        """Notes that an owner has given its epoch up."""
        self._witness.release(owner, message.epoch)
        self._notified.pop(owner, None)

    def seal(self, message: messages.Seal, now: float) -> messages.SealReply:
        """Returns the answer to a request to seal."""
        state, age = self._witness.seal(
            message.owner, message.epoch, types.Seconds(now)
        )
        known = age if age != math.inf else -1.0
        self._outbox.log(
            "seal_asked",
            owner=message.owner,
            epoch=message.epoch,
            state=state.value,
            age=round(known, 4),
        )
        return messages.SealReply(message.owner, message.epoch, state, known)

    def silent_owners(self, now: float) -> list[records.LeaseRecord]:
        """Tells successors of owners that no longer renew.

        Returns:
            The records that this daemon should try to end itself: it is a
            successor, or nobody else may come to close them.
        """
        own_task = []
        for suspicion in self._witness.suspicions(types.Seconds(now)):
            record = self._view.lease(suspicion.owner)
            if record is None or not record.is_open:
                if self._view.revision(records.lease_key(suspicion.owner)):
                    self._witness.forget_suspicion(suspicion)
                continue
            last = self._notified.get(suspicion.owner, -math.inf)
            if suspicion.epoch != record.epoch or now - last < _NOTIFY_AGAIN_S:
                continue
            self._notified[suspicion.owner] = now
            if self._notify(record, suspicion):
                own_task.append(record)
        return own_task

    def _notify(
        self, record: records.LeaseRecord, suspicion: witness.Suspicion
    ) -> bool:
        message = messages.SuspectOwner(suspicion.owner, suspicion.epoch)
        successors = record.successors()
        for name in successors:
            if name != self._outbox.incarnation:
                self._outbox.send(name, message)
        lost = [name for name in successors if not self._is_open(name)]
        own = self._outbox.incarnation in successors
        return own or bool(lost) or not successors

    def _is_open(self, incarnation: str) -> bool:
        record = self._view.lease(incarnation)
        return record is not None and record.is_open
