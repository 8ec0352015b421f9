"""An owner's way to its next epoch: prepare it, hand slots off, write it."""

from collections.abc import Callable

import msgspec

from tamarackgap.ownership import effects, planner, plannerinputs, renewal
from tamarackgap.placement import placement, slots

# Longest time for witnesses to retire one epoch and to grant the next, seconds.
_PREPARE_LIMIT_S = 2.0
# Longest time for a target to release slots that are to move, seconds.
_HAND_OFF_LIMIT_S = 4.0


class EpochChange:
    """The next epoch of one incarnation, while it is not written yet."""

    def __init__(
        self, lease: renewal.LeaseRenewer, outbox: effects.Outbox, ordered: bool
    ) -> None:
        """Creates an owner that wants no other epoch.

        Args:
            lease: The incarnation's lease.
            outbox: Takes effects and log lines.
            ordered: Whether targets release slots before they move.
        """
        self._renewal = lease
        self._outbox = outbox
        self._ordered = ordered
        self._intent: planner.EpochIntent | None = None
        self._until = 0.0
        self._hand_off: planner.SlotRelease | None = None
        # Slots that are about to move: they are served no more.
        self.moving: frozenset[int] = frozenset()

    @property
    def is_under_way(self) -> bool:
        """Whether another epoch is wanted."""
        return self._intent is not None

    @property
    def is_releasing_slots(self) -> bool:
        """Whether the target is releasing slots that are to move."""
        return self._hand_off is not None

    def begin(self, intent: planner.EpochIntent, now: float) -> None:
        """Collects retirements and new grants before the epoch changes."""
        self._intent = intent
        self._until = now + _PREPARE_LIMIT_S
        self._renewal.prepare(intent.witnesses, now)

    def proceed(
        self,
        situation: Callable[[float], plannerinputs.PlannerInputs],
        change: Callable[[], str],
        now: float,
    ) -> planner.EpochWrite | None:
        """Goes on; returns the write that begins the epoch once it is due.

        Args:
            situation: Returns what is known.
            change: Returns a fresh id for the write.
            now: Monotonic time, seconds.
        """
        waits = self._hand_off is not None and self._hand_off.handovers is None
        if waits or not self._renewal.own_lease.is_prepared(now):
            if now >= self._until:
                self.give_up()
            return None
        found = planner.plan_epoch_write(
            self._intent, situation(now), change(), self._hand_off
        )
        if found is None:
            self.give_up()
            return None
        self.moving = frozenset(move.slot for move in found.moves)
        if self._ordered and self.moving and self._hand_off is None:
            self._hand_off = planner.SlotRelease(found.moves)
            self._until = now + _HAND_OFF_LIMIT_S
            self._outbox.put(effects.ReleaseSlots(self.moving))
            return None
        self._log_moves(found.moves)
        self._renewal.own_lease.begin_write()
        return found

    def slots_released(self, handovers: dict[slots.SlotRange, str]) -> None:
        """Notes that the target has released the slots that are to move.

        Args:
            handovers: What it said to tell each run's next target.
        """
        if self._hand_off is not None:
            self._hand_off = msgspec.structs.replace(
                self._hand_off, handovers=handovers
            )

    def give_up(self) -> None:
        """Stays in the present epoch, or follows what the table shows."""
        self._renewal.own_lease.abandon()
        self._intent = None
        self.end_hand_off()

    def end_hand_off(self) -> None:
        """Notes that slots which were to move have moved, or stay."""
        self.moving = frozenset()
        if self._hand_off is not None:
            self._hand_off = None
            self._outbox.put(effects.ReleaseSlots(self.moving))

    def _log_moves(self, moves: tuple[placement.Move, ...]) -> None:
        """Logs one line for each run of slots that goes the same way."""
        ways: dict[tuple[str, str], dict[int, slots.SlotAssignment]] = {}
        for move in moves:
            way = ways.setdefault((move.destination, move.reason), {})
            way[move.slot] = slots.SlotAssignment(0)
        for (destination, reason), moved in ways.items():
            for run in slots.compress(moved):
                self._outbox.log(
                    "move",
                    first=run.first,
                    last=run.last,
                    to=destination,
                    reason=reason,
                )
