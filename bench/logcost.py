"""Processor time of a request's log line: written, and left out."""

import os
import time
from collections.abc import Callable

import eliot

from bench import report
from tamarackgap import logs

_LINES = 20_000
_FIELDS = {
    "request": "a18e0e6e47ac3066",
    "route": "r-u2ngnzj",
    "service": "seats",
    "position": 38_008,
    "owner": "ab133075f3aeae75",
    "load": 8,
    "verdict": "not-run",
    "reason": "queue-full",
    "ms": 177.4,
}


def run(quick: bool) -> None:
    """Prints microseconds a line, and what both cost a busy daemon.

    A daemon with 300 requests a second writes two lines a request at most,
    240 of them a second in all.
    """
    count = _LINES // 10 if quick else _LINES
    sink = os.open(os.devnull, os.O_WRONLY)
    stream = logs._Stream(sink)
    eliot.add_destinations(stream.write)
    written = _each(count, lambda: logs.event("request", **_FIELDS))
    eliot.remove_destination(stream.write)
    bound = logs.RateLimiter(0)
    left_out = _each(count, lambda: bound.admit(0.0))
    os.close(sink)
    report.show(
        "logcost",
        [
            {
                "written_us": round(written, 2),
                "left_out_us": round(left_out, 2),
                "ratio": round(written / left_out, 1),
            }
        ],
    )


def _each(count: int, call: Callable[[], object]) -> float:
    begun = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - begun) / count * 1e6
