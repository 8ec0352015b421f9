import os
import subprocess
import sys

from standins import ports

# Test runs at the same time on one machine each use a range of their own. It is
# below the ports that the kernel gives to outgoing connections.
FIRST = 18_000 + os.getpid() % 200 * 20
LAST = FIRST + 20
HOLD = f"""
from standins import ports
print(ports.find_free_ports(4, {FIRST}, {LAST}), flush=True)
input()
"""


def test_ports_of_another_process_are_not_taken():
    # Nothing listens there yet: two test runs took the same ports.
    with subprocess.Popen(
        [sys.executable, "-c", HOLD],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as other:
        base = int(other.stdout.readline())
        own = ports.find_free_ports(4, FIRST, LAST)
        other.communicate("\n")
    assert own >= base + 4
    assert ports.find_free_ports(4, base, LAST) == base


def test_a_process_finds_its_own_ports_again():
    base = ports.find_free_ports(3, FIRST, LAST)
    assert ports.find_free_ports(3, FIRST, LAST) == base
