"""Reads processor time and memory of other processes from /proc."""

import os
import pathlib
import re

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024
