import socket

import circuits
import pytest

from tamarackgap.network import scheduler, sockets


class Loop(circuits.Component):
    """A loop that counts its turns that cost an event."""

    def __init__(self, direct):
        super().__init__()
        self.poller = sockets.Poller().register(self)
        self.timers = scheduler.Scheduler().register(self)
        self.events = 0
        if direct:
            self.poller.run_due = self.timers.run_due

    @circuits.handler("generate_events", channel="*", priority=20)
    def _on_turn(self, event):
        self.events += 1

    @circuits.handler("told")
    def _on_told(self):
        self.stop()


@pytest.mark.parametrize("direct", [True, False])
def test_sockets_and_timers_are_served_until_an_event_waits(direct):
    loop = Loop(direct)
    near, far = socket.socketpair()
    near.setblocking(False)
    seen = []

    def readable(flags):
        seen.append(near.recv(10))
        if len(seen) == 5:
            loop.fire(circuits.Event.create("told"))

    loop.poller.watch(near.fileno(), sockets.READABLE, readable)
    for index in range(5):
        loop.timers.after(0.01 * index, lambda: far.send(b"x"))
    # Ends the loop where nothing else does.
    loop.timers.after(5, loop.stop)
    with near, far:
        loop.run()
    assert seen == [b"x"] * 5
    # One turn that waits, and those of the end.
    assert (loop.events <= 5) is direct
