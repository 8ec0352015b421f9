import socket

import circuits
import pytest

from tamarackgap.network import scheduler, sockets


class Loop(circuits.Component):
    """A loop that counts its `generate_events` events."""

    def __init__(self, timers_run_in_poller):
        super().__init__()
        self.poller = sockets.Poller().register(self)
        self.timers = scheduler.Scheduler().register(self)
        self.events = 0
        if timers_run_in_poller:
            self.poller.run_due = self.timers.run_due

    @circuits.handler("generate_events", channel="*", priority=20)
    def _on_generate_events(self, event):
        self.events += 1

    @circuits.handler("all_received")
    def _on_all_received(self):
        self.stop()


@pytest.mark.parametrize("timers_run_in_poller", [True, False])
def test_sockets_and_timers_run_without_loop_events(timers_run_in_poller):
    loop = Loop(timers_run_in_poller)
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    received = []

    def send():
        writer.send(b"x")

    def handle_readable(flags):
        received.append(reader.recv(10))
        if len(received) == 5:
            loop.fire(circuits.Event.create("all_received"))
        else:
            # Each byte follows the reading of the one before, so that none
            # are read together if the process stalls.
            loop.timers.after(0.01, send)

    loop.poller.watch(reader.fileno(), sockets.READABLE, handle_readable)
    loop.timers.after(0, send)
    # Ends the loop if the socket does not.
    loop.timers.after(5, loop.stop)
    with reader, writer:
        loop.run()
    assert received == [b"x"] * 5
    # If the poller runs the timers, one `generate_events` event covers all
    # reads; the others occur while the loop stops.
    assert (loop.events <= 5) is timers_run_in_poller
