"""Carries out an owner's change to its next epoch.

The steps are: collect retirements and new grants, let the target release the
slots that move, and write the epoch to the table.
"""

from collections.abc import Callable

import msgspec

from tamarackgap.ownership import effects, planner, plannerinputs, renewal
from tamarackgap.placement import placement, slots, workload

# Longest time for witnesses to retire the current epoch and grant the next.
_PREPARE_TIMEOUT_S = 2.0
# Longest time for the target to release the slots that are to move.
_RELEASE_TIMEOUT_S = 4.0


class EpochChange:
    """The change to the next epoch, from the intent to the write."""

    def __init__(
        self,
        renewer: renewal.LeaseRenewer,
        outbox: effects.Outbox,
        ordered_keys: bool,
    ) -> None:
        """Creates the state of an owner without a change under way.

        Args:
            renewer: Renews the incarnation's lease.
            outbox: Collects effects and log lines.
            ordered_keys: Whether the target has to release slots before
                they move.
        """
        self._renewer = renewer
        self._outbox = outbox
        self._ordered_keys = ordered_keys
        self._intent: planner.EpochIntent | None = None
        # When the change is cancelled if its current step is not done, seconds.
        self._cancel_at = 0.0
        self._release: planner.SlotRelease | None = None
        # Slots that are about to move, and are not served any more.
        self.moving_slots: frozenset[int] = frozenset()

    @property
    def is_under_way(self) -> bool:
        """Whether a change to the next epoch is under way."""
        return self._intent is not None

    @property
    def is_releasing_slots(self) -> bool:
        """Whether the target is releasing slots that are to move."""
        return self._release is not None

    def begin(self, intent: planner.EpochIntent, now: float) -> None:
        """Asks witnesses to retire the current epoch and grant the next.

        Args:
            intent: The epoch that is wanted.
            now: Monotonic time, seconds.
        """
        self._intent = intent
        self._cancel_at = now + _PREPARE_TIMEOUT_S
        self._renewer.prepare(intent.witnesses, intent.lease_length, now)

    def advance(
        self,
        get_inputs: Callable[[float], plannerinputs.PlannerInputs],
        new_change_id: Callable[[], str],
        now: float,
        defers_release: bool,
    ) -> planner.EpochWrite | None:
        """Continues the change, or cancels it if a step takes too long.

        Args:
            get_inputs: Returns the planner's inputs at a time.
            new_change_id: Returns a fresh id for the write.
            now: Monotonic time, seconds.
            defers_release: Whether the target is told later of a release that
                is asked for now, and the slots are served until then.

        Returns:
            The write that begins the epoch, or None until the witnesses and
            the target are ready.
        """
        awaits_release = self._release is not None and (
            self._release.handovers is None
        )
        own_lease = self._renewer.own_lease
        if awaits_release or not own_lease.is_prepared(now):
            if now >= self._cancel_at or own_lease.has_next_expired(now):
                self.finish()
            return None
        write = planner.plan_epoch_write(
            self._intent, get_inputs(now), new_change_id(), self._release
        )
        if write is None:
            self.finish()
            return None
        moving = frozenset(move.slot for move in write.moves)
        if self._ordered_keys and moving and self._release is None:
            self._release = planner.SlotRelease(write.moves)
            self._cancel_at = now + _RELEASE_TIMEOUT_S
            self._outbox.put(effects.ReleaseSlots(moving))
            if not defers_release:
                self.moving_slots = moving
            return None
        self.moving_slots = moving
        self._log_moves(write.moves)
        self._outbox.log(
            "epoch_write",
            epoch=own_lease.next.epoch,
            lease_left_ms=_left_ms(own_lease.valid_until(), now),
            next_left_ms=_left_ms(own_lease.next.valid_until(), now),
        )
        own_lease.begin_write()
        return write

    def record_release(self, handovers: dict[slots.SlotRange, str]) -> None:
        """Records that the target has released the slots that are to move.

        Args:
            handovers: The target's text for the next target of each range.
        """
        if self._release is not None:
            self._release = msgspec.structs.replace(
                self._release, handovers=handovers
            )

    def finish(self) -> None:
        """Ends the change, whether it has been written or not.

        The owner stays in its current epoch, or is already in the epoch that
        the table records.
        """
        self._renewer.own_lease.abandon()
        self._intent = None
        self.end_release()

    def end_release(self) -> None:
        """Ends the release of slots: they have moved, or they stay."""
        self.moving_slots = frozenset()
        if self._release is not None:
            self._release = None
            self._outbox.put(effects.ReleaseSlots(self.moving_slots))

    def _log_moves(self, moves: tuple[placement.Move, ...]) -> None:
        """Logs one line per slot range with one destination and reason."""
        groups: dict[
            tuple[str, str, workload.MoveBasis | None],
            dict[int, slots.SlotAssignment],
        ] = {}
        for move in moves:
            group = groups.setdefault(
                (move.destination, move.reason, move.basis), {}
            )
            group[move.slot] = slots.SlotAssignment(0)
        for (destination, reason, basis), moved in groups.items():
            fields: dict[str, float] = {}
            if basis is not None:
                fields["source_load"] = round(basis.source_load, 2)
                fields["source_load_after"] = round(basis.source_load_after, 2)
                fields["destination_load"] = round(basis.destination_load, 2)
                fields["load_age_ms"] = round(basis.load_age * 1000)
            for slot_range in slots.compress(moved):
                self._outbox.log(
                    "move",
                    first=slot_range.first,
                    last=slot_range.last,
                    to=destination,
                    reason=reason,
                    **fields,
                )


def _left_ms(until: float, now: float) -> int:
    """Returns the time that is left, 0 if none, milliseconds."""
    return round(max(0.0, until - now) * 1000)
