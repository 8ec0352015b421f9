"""Makes the local target refuse grants that it may not have carried out yet.

Answers to grants have no id. One that comes on a connection that has carried a
grant before may be a copy of the answer to that one, while the later grant is
still on its way and is carried out after its slots have moved. Only the first
answer on a connection is certain to be its own. So before slots move, a grant
with a higher fence is sent on a connection of its own: a target that has
answered it refuses all earlier ones for good.
"""

from collections.abc import Callable

import msgspec

from tamarackgap.network import scheduler
from tamarackgap.placement import slots
from tamarackgap.traffic import holds, orders

# How often a proof is sent that gets no answer.
_MAX_TRIES = 2
# Longest time until the answer to a proof, seconds.
_TIMEOUT_S = 0.3


class GrantProofs:
    """Sends the grants that prove what the target no longer carries out.

    Attributes:
        is_barred: Whether none may be sent, since the target's process is not
            the one that was granted slots.
    """

    def __init__(
        self,
        ledger: holds.HoldLedger,
        timers: scheduler.Scheduler,
        send_order: orders.SendOrder,
        hold_time: Callable[[float], float],
        min_hold_s: float,
    ) -> None:
        """Creates an instance that has sent nothing.

        Args:
            ledger: Records what the target may hold.
            timers: The loop's scheduler.
            send_order: Sends orders to the target.
            hold_time: Returns the hold time in seconds of a grant that is
                written now and has ended at a monotonic time.
            min_hold_s: Shortest hold time that is granted, seconds.
        """
        self._ledger = ledger
        self._timers = timers
        self._send_order = send_order
        self._hold_time = hold_time
        self._min_hold_s = min_hold_s
        # Those that may still be written.
        self._pending: list[orders.Grant] = []
        self.is_barred = False

    def cancel(self) -> None:
        """Lets no proof be written that is not written yet."""
        self._pending.clear()

    def as_written_now(self, proof: orders.Grant) -> orders.Grant | None:
        """Returns a proof as it is to be written now, or None."""
        hold_s = min(proof.hold_s, self._hold_time(proof.until))
        is_pending = any(each is proof for each in self._pending)
        if not is_pending or hold_s < self._min_hold_s:
            return None
        return msgspec.structs.replace(proof, hold_s=hold_s)

    def prove(
        self,
        slot_range: slots.SlotRange,
        slot_count: int,
        lease_until: float,
        is_wanted: Callable[[], bool],
        done: Callable[[], None],
        tries: int = _MAX_TRIES,
    ) -> None:
        """Makes the target refuse earlier grants of a range, where it is due.

        Args:
            slot_range: The range.
            slot_count: Number of slots of the service.
            lease_until: Monotonic time at which the lease ends, seconds.
            is_wanted: Returns whether the slots are still going to move.
            done: Called when it refuses them, or if that can't be reached; the
                ledger tells which.
            tries: How often a proof may be sent.
        """
        proven = range(slot_range.first, slot_range.last + 1)
        # It prolongs nothing.
        until = min(self._ledger.ends_at(proven), lease_until)
        hold_s = self._hold_time(until)
        is_due = self._ledger.unproven_until(proven) > self._timers.now
        if (
            not is_due
            or not tries
            or not is_wanted()
            or self.is_barred
            or hold_s < self._min_hold_s
        ):
            done()
            return
        fence = self._ledger.record_proof_sent(slot_range, until)
        sent_count = self._ledger.sent_count
        proof = orders.Grant(
            *slots.position_range(slot_range, slot_count),
            fence,
            hold_s,
            "",
            until,
            is_proof=True,
        )
        self._pending.append(proof)

        def handle_result(result: orders.OrderResult) -> None:
            self._pending = [
                each for each in self._pending if each is not proof
            ]
            if not (result.acknowledged and result.is_certain):
                self.prove(
                    slot_range,
                    slot_count,
                    lease_until,
                    is_wanted,
                    done,
                    tries - 1,
                )
                return
            self._ledger.record_proven(slot_range, fence, until, sent_count)
            done()

        self._send_order(proof, _TIMEOUT_S, handle_result)
