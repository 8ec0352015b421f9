"""Two daemons, one of which sends large bodies to the other."""

import functools
import types as module_types

import msgspec

from tamarackgap import types
from tamarackgap.network import bytebudget
from tamarackgap.peers import calls
from tamarackgap.traffic import incomingbodies, outgoingbodies

SENDER = "sender"
DISPATCH = calls.Dispatch(
    types.Incarnation("receiver"),
    0,
    types.ServiceName("s"),
    calls.Call("r", "s", "POST", "/", b"", b"", None),
    2.0,
    0,
    False,
    1.0,
    0.5,
)


class Timers:
    """Timers on a clock that the test moves."""

    def __init__(self):
        self.now = 100.0
        self._due = []

    def after(self, seconds, call):
        timer = module_types.SimpleNamespace(call=call)
        timer.cancel = functools.partial(setattr, timer, "call", None)
        self._due.append((self.now + seconds, timer))
        return timer

    def advance(self, seconds):
        self.now += seconds
        for due_at, timer in self._due:
            if due_at <= self.now and timer.call is not None:
                timer.call()
                timer.cancel()


class Link:
    """A connection between two daemons, whose messages the test delivers.

    Attributes:
        queue: Messages on their way to the receiver.
        is_up: Whether the sender has a connection.
        most_on_way: Most bytes of bodies that were on their way at once.
        submitted: Calls that the receiver has whole.
        replies: Completions that the receiver has sent.
        failed: Legs that the sender has given up.
    """

    def __init__(self, memory=10**9, refusal=None):
        self.queue = []
        self.is_up = True
        self.most_on_way = 0
        self.submitted = []
        self.replies = []
        self.failed = []
        self.timers = Timers()
        self.sender_budget = bytebudget.ByteBudget()
        self.budget = bytebudget.ByteBudget(memory)
        self.outgoing = outgoingbodies.OutgoingBodies(
            module_types.SimpleNamespace(send=self._send),
            self.sender_budget,
            self.failed.append,
        )
        self.restart_receiver(refusal)

    def restart_receiver(self, refusal=None):
        """Starts another process of the receiver at its address."""
        local_runner = module_types.SimpleNamespace(
            refusal=lambda dispatch: refusal,
            not_run=lambda leg, reason: calls.Completion(
                leg, types.Verdict.NOT_RUN, reason
            ),
        )
        self.incoming = incomingbodies.IncomingBodies(
            self.timers, self.budget, local_runner
        )

    def send(self, leg, body):
        """Sends a call; returns whether it may arrive."""
        call = msgspec.structs.replace(DISPATCH.call, body=body)
        dispatch = msgspec.structs.replace(DISPATCH, leg=leg, call=call)
        return self.outgoing.send(SENDER, "h:1", dispatch)

    def _send(self, sender, address, message):
        if self.is_up:
            self.queue.append(message)
            on_way = sum(
                len(each.data)
                for each in self.queue
                if isinstance(each, calls.BodyPart)
            )
            self.most_on_way = max(self.most_on_way, on_way)
        return self.is_up

    def deliver(self, count=10**9):
        """Delivers the next messages, and the replies to them at once."""
        for _ in range(count):
            if not self.queue:
                return
            match self.queue.pop(0):
                case calls.Upload() as upload:
                    self.incoming.begin(
                        SENDER, upload, self.submitted.append, self._reply
                    )
                case calls.BodyPart() as part:
                    self.incoming.add(SENDER, part, self._reply)
                case calls.Dispatch() as dispatch:
                    self.submitted.append(dispatch)

    def _reply(self, message):
        if isinstance(message, calls.BodyCredit):
            self.outgoing.handle_credit(message)
        else:
            self.replies.append(message)
