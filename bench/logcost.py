"""Measures the processor time of a log line, written or left out."""

import os
import time
from collections.abc import Callable

import eliot

from bench import report
from tamarackgap import logs

_LINE_COUNT = 20_000
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
    """Prints the processor time of a line in microseconds.

    A daemon with 300 requests per second logs at most two lines per request,
    of which it writes 240 per second and leaves out the rest.

    Args:
        quick: Whether to log a tenth of the lines.
    """
    count = _LINE_COUNT // 10 if quick else _LINE_COUNT
    devnull = os.open(os.devnull, os.O_WRONLY)
    stream = logs._NonBlockingWriter(devnull)
    eliot.add_destinations(stream.write)
    written_us = _mean_us(count, lambda: logs.event("request", **_FIELDS))
    eliot.remove_destination(stream.write)
    limiter = logs.RateLimiter(0)
    left_out_us = _mean_us(count, lambda: limiter.admit(0.0))
    os.close(devnull)
    report.show(
        "logcost",
        [
            {
                "written_us": round(written_us, 2),
                "left_out_us": round(left_out_us, 2),
                "ratio": round(written_us / left_out_us, 1),
            }
        ],
    )


def _mean_us(count: int, call: Callable[[], object]) -> float:
    """Returns the mean processor time of a call, in microseconds."""
    started_at = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - started_at) / count * 1e6
