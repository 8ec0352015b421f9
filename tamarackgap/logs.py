"""Log lines: key=value pairs, one line for each event, through eliot."""

import datetime
import json
import os
import re
import sys
import time

import eliot

# What needs no quotes, and can't be taken for two pairs.
_PLAIN = re.compile(r"[!#-<>-~]+")
_HIDDEN = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type", "action_type"}
)
STANDARD_OUTPUT = "stdout"
# Lines a second about requests that went well; about those that failed.
_SUCCESSES_PER_S = 40
_FAILURES_PER_S = 200


def _text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    text = value if isinstance(value, str) else str(value)
    return text if _PLAIN.fullmatch(text) else json.dumps(text)


def format_line(message: dict[str, object]) -> str:
    """Returns an eliot message as one line of key=value pairs."""
    moment = datetime.datetime.fromtimestamp(message["timestamp"], datetime.UTC)
    stamp = moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")
    event = message.get("message_type") or message.get("action_type") or "?"
    pairs = [f"time={stamp}", f"event={_text(event)}"]
    pairs += [
        f"{key}={_text(value)}"
        for key, value in message.items()
        if key not in _HIDDEN
    ]
    return " ".join(pairs)


class _Stream:
    """A descriptor that is written to without ever waiting for its reader."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lost = 0
        os.set_blocking(descriptor, False)

    def write(self, message: dict[str, object]) -> None:
        """Writes a line, or counts it as lost if there is no room."""
        line = format_line(message)
        if self._lost:
            line = f"event=log_lines_lost count={self._lost}\n{line}"
        try:
            # A line that fits only in part is cut: the reader was stalled.
            os.write(self._descriptor, f"{line}\n".encode())
        except OSError:
            self._lost += 1
        else:
            self._lost = 0


def start(path: str, daemon: str) -> None:
    """Sends all events to a file.

    Args:
        path: The file; `-` is standard error, `stdout` standard output.
        daemon: The daemon's name, for every line.
    """
    if path == STANDARD_OUTPUT:
        write = _Stream(sys.stdout.fileno()).write
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
    """Writes one event.

    Args:
        name: What happened.
        **fields: What it happened to, and why.
    """
    eliot.log_message(message_type=name, **fields)


class RateLimiter:
    """Lets so many lines through a second, and counts the others."""

    def __init__(self, per_s: int) -> None:
        """Creates a bound of `per_s` lines a second."""
        self._per_s = per_s
        self._second = 0
        self._written = 0
        self._left_out = 0

    def admit(self, now: float) -> bool:
        """Returns whether one more line may be written."""
        second = int(now)
        if second != self._second:
            if self._left_out:
                event("request_lines_left_out", count=self._left_out)
            self._second = second
            self._written = 0
            self._left_out = 0
        if self._written >= self._per_s:
            self._left_out += 1
            return False
        self._written += 1
        return True


_successes = RateLimiter(_SUCCESSES_PER_S)
_failures = RateLimiter(_FAILURES_PER_S)


def request_event(name: str, failed: bool, **fields: object) -> None:
    """Writes an event of one request, within a bound a second.

    Args:
        name: What happened.
        failed: Whether it went wrong; such lines have a bound of their own.
        **fields: What it happened to, and why.
    """
    bound = _failures if failed else _successes
    if bound.admit(time.monotonic()):
        event(name, **fields)
