"""Starts a small deployment of real processes for tests."""

from demo import cluster, deployments
from standins import ports

SMALL_DEPLOYMENT = deployments.Deployment(
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
READY_TIMEOUT_S = 60.0
# Milliseconds, except for the number of slots.
FAST_SETTINGS = {
    "ownership": {"slots": 32, "settle": 500},
    "table": {"poll": 200},
}


def small_cluster(folder, **requests):
    """Returns a started cluster whose slots are owned and evenly spread.

    Args:
        folder: Folder for settings, logs and the targets' records of runs.
        **requests: Settings of the section `requests`, for every daemon.

    Raises:
        RuntimeError: If that takes longer than `READY_TIMEOUT_S`.
    """
    overrides = dict(FAST_SETTINGS)
    if requests:
        overrides["requests"] = requests
    running = cluster.Cluster(
        SMALL_DEPLOYMENT,
        folder,
        ports.find_free_ports(32),
        work_ms=2.0,
        overrides=overrides,
    )
    running.start()
    if running.wait_until_ready(READY_TIMEOUT_S) is None:
        running.stop()
        raise RuntimeError("some slots have no owner or are spread unevenly")
    return running
