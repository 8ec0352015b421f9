"""Collects the events that are logged during a test."""

import contextlib

import eliot


@contextlib.contextmanager
def collect(name):
    """Yields the list of the events of a name that are logged meanwhile."""
    written = []
    events = []
    eliot.add_destinations(written.append)
    # The first destination also gets what was logged before.
    written.clear()
    try:
        yield events
    finally:
        eliot.remove_destination(written.append)
        events += [
            event for event in written if event.get("message_type") == name
        ]
