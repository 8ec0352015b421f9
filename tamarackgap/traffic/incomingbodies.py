"""Puts the bodies together that other daemons send in parts.

A body has its room in the budget of messages before its first part is asked
for, so that no more is on its way than this daemon can hold.
"""

from collections.abc import Callable

import msgspec

from tamarackgap import logs, types
from tamarackgap.network import bytebudget, scheduler
from tamarackgap.peers import calls
from tamarackgap.traffic import runner

# Takes the call with its whole body.
Submit = Callable[[calls.Dispatch], None]
# Sends a message to the daemon that sends the body.
Reply = Callable[[calls.BodyCredit | calls.Completion], None]


class _IncomingBody(msgspec.Struct, eq=False):
    """Holds a body of which not all parts have arrived.

    Attributes:
        dispatch: The call without its body.
        size: Size of the whole body, bytes.
        received_at: Monotonic time at which the call arrived, seconds.
        submit: Called when the body is complete.
        reply: Sends a message to its sender.
        charge: The memory of the whole body.
        timer: Drops the body at the caller's deadline.
        body: What has arrived.
    """

    dispatch: calls.Dispatch
    size: int
    received_at: float
    submit: Submit
    reply: Reply
    charge: bytebudget.Charge
    timer: scheduler.Timer
    body: bytearray


class IncomingBodies:
    """Holds the bodies that are arriving from other daemons."""

    def __init__(
        self,
        timers: scheduler.Scheduler,
        budget: bytebudget.ByteBudget,
        local_runner: runner.Runner,
    ) -> None:
        """Creates an instance that holds nothing.

        Args:
            timers: The loop's scheduler.
            budget: Limits the memory of all messages under way.
            local_runner: Tells whether a call would be run now.
        """
        self._timers = timers
        self._budget = budget
        self._runner = local_runner
        # By the incarnation that sends the body, and the leg.
        self._bodies: dict[tuple[str, int], _IncomingBody] = {}

    @property
    def count(self) -> int:
        """Number of bodies that are arriving."""
        return len(self._bodies)

    def begin(
        self, sender: str, upload: calls.Upload, submit: Submit, reply: Reply
    ) -> None:
        """Asks for the first parts of a body, or refuses its call at once.

        Args:
            sender: The incarnation that sends it.
            upload: The call and the size of its body.
            submit: Called with the whole call.
            reply: Sends a message to the sender.
        """
        dispatch = upload.dispatch
        key = (sender, dispatch.leg)
        charge = bytebudget.Charge(self._budget)
        refusal = self._runner.refusal(dispatch)
        if refusal is None and not charge.hold(upload.size):
            refusal = types.Reason.QUEUE_FULL
        if refusal is not None:
            charge.release()
            logs.request_event(
                "body_refused",
                True,
                request=dispatch.call.request_id,
                leg=dispatch.leg,
                bytes=upload.size,
                reason=refusal.value,
            )
            reply(self._runner.not_run(dispatch.leg, refusal))
            return
        self._drop(key)
        self._bodies[key] = _IncomingBody(
            dispatch,
            upload.size,
            self._timers.now,
            submit,
            reply,
            charge,
            self._timers.after(
                max(0.0, dispatch.remaining), lambda: self._drop(key)
            ),
            bytearray(),
        )
        reply(calls.BodyCredit(dispatch.leg, 0))

    def add(self, sender: str, part: calls.BodyPart, reply: Reply) -> None:
        """Adds a part, and submits the call if it was the last one.

        Args:
            sender: The incarnation that sends it.
            part: The part.
            reply: Sends a message to the sender.
        """
        key = (sender, part.leg)
        incoming = self._bodies.get(key)
        if (
            incoming is None
            or part.offset != len(incoming.body)
            or part.offset + len(part.data) > incoming.size
        ):
            # Parts before it were lost, with a connection or with the process
            # that was here before, so the whole body is nowhere.
            self._drop(key)
            reply(self._runner.not_run(part.leg, types.Reason.PEER_UNREACHABLE))
            return
        incoming.body += part.data
        if len(incoming.body) < incoming.size:
            reply(calls.BodyCredit(part.leg, len(incoming.body)))
            return
        # The call counts its body itself from here on.
        self._drop(key)
        incoming.submit(_whole_call(incoming, self._timers.now))

    def withdraw(self, sender: str, leg: int) -> None:
        """Drops a body whose caller no longer waits."""
        self._drop((sender, leg))

    def _drop(self, key: tuple[str, int]) -> None:
        incoming = self._bodies.pop(key, None)
        if incoming is not None:
            incoming.timer.cancel()
            incoming.charge.release()


def _whole_call(incoming: _IncomingBody, now: float) -> calls.Dispatch:
    dispatch = incoming.dispatch
    took = now - incoming.received_at
    return msgspec.structs.replace(
        dispatch,
        call=msgspec.structs.replace(dispatch.call, body=bytes(incoming.body)),
        remaining=dispatch.remaining - took,
        objective_remaining=dispatch.objective_remaining - took,
    )
