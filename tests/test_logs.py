import subprocess
import sys

import eliot
import pytest

from tamarackgap import logs
from tests.support import loglines

# Long enough for 20,000 lines; a process that waits for its reader never ends.
TIMEOUT_S = 30.0


def format_request_event(**fields):
    message = {
        "timestamp": 0.0,
        "task_uuid": "u",
        "task_level": [1],
        "message_type": "request",
        **fields,
    }
    return logs.format_line(message)


def test_line_consists_of_key_value_pairs():
    assert (
        format_request_event(slot=3, lease_left=0.5, alone=True)
        == "time=1970-01-01T00:00:00.000Z event=request slot=3"
        " lease_left=0.5 alone=true"
    )


@pytest.mark.parametrize(
    ("value", "shown"),
    [
        ("a b", '"a b"'),
        ("a=b", '"a=b"'),
        ("", '""'),
        ("two\nlines", '"two\\nlines"'),
        ('say "x"', '"say \\"x\\""'),
        ("plain-1:2/3", "plain-1:2/3"),
    ],
)
def test_value_is_quoted_if_necessary(value, shown):
    line = format_request_event(key=value)
    assert line.endswith(f" key={shown}")
    assert "\n" not in line


_LOGGING_PROGRAM = """
import time
from tamarackgap import logs

logs.start("stdout", "d1")
begun = time.monotonic()
for number in range(20000):
    logs.event("counted", number=number, filler="x" * 60)
print(time.monotonic() - begun, file=__import__("sys").stderr)
__import__("sys").stdin.readline()
logs.event("last")
"""


def test_stalled_reader_does_not_block_the_program():
    process = subprocess.Popen(
        [sys.executable, "-c", _LOGGING_PROGRAM],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    # Its standard output is read only after all events were logged.
    assert float(process.stderr.readline()) < TIMEOUT_S
    first = process.stdout.read(1 << 15)
    process.stdin.write("\n")
    process.stdin.close()
    lines = (first + process.stdout.read()).splitlines()
    assert process.wait(timeout=TIMEOUT_S) == 0
    assert all(" event=" in f" {line}" for line in lines)
    counted = [line for line in lines if "event=counted" in line]
    lost = [line for line in lines if "event=log_lines_lost" in line]
    assert lost
    lost_count = int(lost[-1].rpartition("count=")[2])
    assert len(counted) + lost_count == 20_000
    assert "event=last" in lines[-1]


def test_failed_requests_have_a_separate_limit():
    written = []
    eliot.add_destinations(written.append)
    try:
        for number in range(1000):
            logs.request_event("request", False, number=number)
        for number in range(20):
            logs.request_event("request", True, broken=number)
    finally:
        eliot.remove_destination(written.append)
    # The first destination also gets what earlier tests have logged.
    well = [line for line in written if "number" in line]
    failed = [line for line in written if "broken" in line]
    assert len(failed) == 20
    assert len(well) < 1000 - len(failed)


def test_a_long_value_is_cut():
    line = format_request_event(key="x" * 10**6)
    assert line.endswith("xxx...")
    assert len(line) < 1100


def test_lines_about_unreadable_bytes_are_limited_and_not_repeated():
    with loglines.collect("odd") as events:
        for number in range(5000):
            logs.unreadable_event("odd", number=number)
            logs.unreadable_event("odd", number=number)
    assert 0 < len(events) < 500
    numbers = [event["number"] for event in events]
    assert sorted(set(numbers)) == numbers
