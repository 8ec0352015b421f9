"""Finds free ports on the loopback interface."""

import socket


def find_free_ports(count: int, first: int = 24000, last: int = 32000) -> int:
    """Returns the first port of a range of free ports.

    Args:
        count: Number of consecutive ports that must be free.
        first: Lowest port to consider.
        last: Upper limit of the search; the range ends below it.

    Raises:
        RuntimeError: If there is no such range.
    """
    base = first
    while base + count < last:
        taken = [p for p in range(base, base + count) if not _is_free(p)]
        if not taken:
            return base
        base = taken[-1] + 1
    raise RuntimeError("no range of free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
