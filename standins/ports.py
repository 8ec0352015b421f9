"""Finds free ports on the loopback interface.

A port that was found belongs to this process until it ends, also while nothing
listens there, as between two starts of a daemon. Other test runs, soaks and
demos on the machine do not take it meanwhile.
"""

import socket

# By port. A name in the abstract namespace can be bound once, and is given up
# when the process ends, however it ends.
_reservations: dict[int, socket.socket] = {}


def find_free_ports(count: int, first: int = 24000, last: int = 32000) -> int:
    """Reserves a range of free ports, and returns the first one.

    Args:
        count: Number of consecutive ports that must be free.
        first: Lowest port to consider.
        last: Upper limit of the search; the range ends below it.

    Raises:
        RuntimeError: If there is no such range.
    """
    base = first
    while base + count < last:
        taken = [p for p in range(base, base + count) if not _take(p)]
        if not taken:
            return base
        base = taken[-1] + 1
    raise RuntimeError("no range of free ports")


def _take(port: int) -> bool:
    """Reserves a port, and returns whether it is free for this process."""
    if port not in _reservations:
        reservation = socket.socket(socket.AF_UNIX)
        try:
            reservation.bind(f"\0tamarackgap-port-{port}")
        except OSError:
            reservation.close()
            return False
        _reservations[port] = reservation
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
