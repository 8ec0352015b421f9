"""Writes log events through eliot, each as a line of key=value pairs."""

import collections
import datetime
import json
import os
import re
import sys
import time

import eliot

# Values of printable ASCII without spaces, quotes and `=` need no quotes.
_UNQUOTED = re.compile(r"[!#-<>-~]+")
_ELIOT_KEYS = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type", "action_type"}
)
STANDARD_OUTPUT = "stdout"
_MAX_SUCCESSES_PER_S = 40
_MAX_FAILURES_PER_S = 200
_MAX_UNREADABLE_PER_S = 20
# Longer values are cut, since other programs may have sent them.
_MAX_VALUE_CHARACTERS = 1000
# Number of the last events that `unreadable_event` remembers.
_MAX_EVENTS_KNOWN = 1000


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    text = value if isinstance(value, str) else str(value)
    if len(text) > _MAX_VALUE_CHARACTERS:
        text = text[:_MAX_VALUE_CHARACTERS] + "..."
    return text if _UNQUOTED.fullmatch(text) else json.dumps(text)


def format_line(message: dict[str, object]) -> str:
    """Returns an eliot message as one line of key=value pairs."""
    utc = datetime.datetime.fromtimestamp(message["timestamp"], datetime.UTC)
    time_text = utc.isoformat(timespec="milliseconds").replace("+00:00", "Z")
    name = message.get("message_type") or message.get("action_type") or "?"
    pairs = [f"time={time_text}", f"event={_format_value(name)}"]
    pairs += [
        f"{key}={_format_value(value)}"
        for key, value in message.items()
        if key not in _ELIOT_KEYS
    ]
    return " ".join(pairs)


class _NonBlockingWriter:
    """Writes lines to a descriptor and never waits for its reader."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lost_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, message: dict[str, object]) -> None:
        """Writes a line, or counts it as lost if the pipe is full."""
        line = format_line(message)
        if self._lost_lines:
            line = f"event=log_lines_lost count={self._lost_lines}\n{line}"
        try:
            # If only a part fits, the rest of the line is dropped.
            os.write(self._descriptor, f"{line}\n".encode())
        except OSError:
            self._lost_lines += 1
        else:
            self._lost_lines = 0


def start(path: str, daemon: str) -> None:
    """Directs all events to a file.

    Args:
        path: Path of the file, `-` for standard error or `stdout` for
            standard output.
        daemon: Name of the daemon, which every line contains.

    Raises:
        OSError: If the file can't be opened.
    """
    if path == STANDARD_OUTPUT:
        write = _NonBlockingWriter(sys.stdout.fileno()).write
    else:
        stream = (
            sys.stderr if path == "-" else open(path, "a", encoding="utf-8")  # noqa: SIM115
        )

        def write(message: dict[str, object]) -> None:
            stream.write(format_line(message) + "\n")
            stream.flush()

    eliot.add_global_fields(daemon=daemon)
    eliot.add_destinations(write)


def event(name: str, **fields: object) -> None:
    """Writes an event.

    Args:
        name: Name of the event.
        **fields: Values that describe it.
    """
    eliot.log_message(message_type=name, **fields)


class RateLimiter:
    """Limits the log lines per second, and counts those left out."""

    def __init__(
        self, lines_per_s: int, left_out_event: str = "request_lines_left_out"
    ) -> None:
        """Creates a limiter.

        Args:
            lines_per_s: Largest number of lines in a second.
            left_out_event: Name of the event that counts the lines left out.
        """
        self._lines_per_s = lines_per_s
        self._left_out_event = left_out_event
        self._second = 0
        self._written = 0
        self._left_out = 0

    def admit(self, now: float) -> bool:
        """Counts a line, and returns whether it may be written.

        With the first line of a new second, the number of lines that were
        left out before is written to the log.

        Args:
            now: Monotonic time, seconds.
        """
        second = int(now)
        if second != self._second:
            if self._left_out:
                event(self._left_out_event, count=self._left_out)
            self._second = second
            self._written = 0
            self._left_out = 0
        if self._written >= self._lines_per_s:
            self._left_out += 1
            return False
        self._written += 1
        return True


_success_limiter = RateLimiter(_MAX_SUCCESSES_PER_S)
_failure_limiter = RateLimiter(_MAX_FAILURES_PER_S)
_unreadable_limiter = RateLimiter(
    _MAX_UNREADABLE_PER_S, "unreadable_lines_left_out"
)
_known_events: collections.OrderedDict[tuple[str, ...], None] = (
    collections.OrderedDict()
)


def request_event(name: str, failed: bool, **fields: object) -> None:
    """Writes an event about a single request, unless there are too many.

    Args:
        name: Name of the event.
        failed: Whether the request failed; failures have a separate limit,
            so that many successes do not hide them.
        **fields: Values that describe the event.
    """
    limiter = _failure_limiter if failed else _success_limiter
    if limiter.admit(time.monotonic()):
        event(name, **fields)


def unreadable_event(name: str, **fields: object) -> None:
    """Writes an event about unreadable bytes, unless it has been written.

    Bytes that another program has left may be read again and again.

    Args:
        name: Name of the event.
        **fields: Values that describe it.
    """
    texts = [_format_value(value) for value in fields.values()]
    known = (name, *fields, *texts)
    is_new = known not in _known_events
    _known_events[known] = None
    _known_events.move_to_end(known)
    if len(_known_events) > _MAX_EVENTS_KNOWN:
        _known_events.popitem(last=False)
    if is_new and _unreadable_limiter.admit(time.monotonic()):
        event(name, **fields)
