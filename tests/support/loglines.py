"""Collects the events that are logged during a test."""

import contextlib
from unittest import mock

import eliot

from tamarackgap import logs

UNREADABLE_PER_S = 20


@contextlib.contextmanager
def collect(name):
    """Yields the list of the events of a name that are logged meanwhile."""
    written = []
    events = []
    eliot.add_destinations(written.append)
    # The first destination also gets what was logged before.
    written.clear()
    # What earlier tests have logged in this second must not count.
    limiter = logs.RateLimiter(UNREADABLE_PER_S)
    try:
        with mock.patch.object(logs, "_unreadable_limiter", limiter):
            yield events
    finally:
        eliot.remove_destination(written.append)
        events += [
            event for event in written if event.get("message_type") == name
        ]
