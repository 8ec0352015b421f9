"""Log lines: key=value pairs, one line for each event, through eliot."""

import datetime
import json
import re
import sys
from typing import TextIO

import eliot

# What needs no quotes, and can't be taken for two pairs.
_PLAIN = re.compile(r"[!#-<>-~]+")
_HIDDEN = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type", "action_type"}
)


def _text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    text = value if isinstance(value, str) else str(value)
    return text if _PLAIN.fullmatch(text) else json.dumps(text)


def line_of(message: dict[str, object]) -> str:
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


def start(path: str, daemon: str) -> None:
    """Sends all events to a file.

    Args:
        path: The file; `-` is standard error.
        daemon: The daemon's name, for every line.
    """
    stream: TextIO = (
        sys.stderr if path == "-" else open(path, "a", encoding="utf-8")  # noqa: SIM115
    )

    def write(message: dict[str, object]) -> None:
        stream.write(line_of(message) + "\n")
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
