"""A small deployment of real processes, for tests."""

import socket

from demo import cluster, deployments

SMALL = deployments.Deployment(
    name="small",
    data_centres=("north", "south", "east"),
    slots=4,
    connections=40,
    services=(
        deployments.Service("seats", 3, False),
        deployments.Service("payments", 3, True),
    ),
    operations=(
        deployments.Operation("seats", "GET", "browse", 60),
        deployments.Operation("payments", "POST", "pay", 40),
    ),
)
READY_S = 60.0
FAST = {"ownership": {"slots": 32, "settle": 500}, "table": {"poll": 200}}


def free_ports(count, first=24000, last=32000):
    """Returns the first of `count` neighbouring ports that are free."""
    base = first
    while base + count < last:
        taken = [p for p in range(base, base + count) if not _is_free(p)]
        if not taken:
            return base
        base = taken[-1] + 1
    raise RuntimeError("no free ports")


def _is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def small_cluster(folder, **requests):
    """Returns a started cluster whose slots are all owned."""
    overrides = dict(FAST)
    if requests:
        overrides["requests"] = requests
    running = cluster.Cluster(
        SMALL, folder, free_ports(32), work_ms=2.0, overrides=overrides
    )
    running.start()
    if running.ready(READY_S) is None:
        running.stop()
        raise RuntimeError("the cluster did not get ready")
    return running
