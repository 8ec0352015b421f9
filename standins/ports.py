"""Ports that are free on this machine."""

import socket


def free_ports(count: int, first: int = 24000, last: int = 32000) -> int:
    """Returns the first of `count` neighbouring ports that are free.

    Raises:
        RuntimeError: If there are none.
    """
    base = first
    while base + count < last:
        taken = [p for p in range(base, base + count) if not _is_free(p)]
        if not taken:
            return base
        base = taken[-1] + 1
    raise RuntimeError("no free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
