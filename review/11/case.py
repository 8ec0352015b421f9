"""The store comes back from a copy older than a service with keys.

The routers of that service are killed meanwhile; the others run on.
"""

import threading
import time

from review.shared3 import cluster

HOST = "money.example"
OLD_MACHINES = 6
NEW_MACHINES = 5
# The system runs for so long before the new service is added, seconds.
OLD_AGE_S = 5.0
KEYS = range(0, 65_536, 4096)
# The copy is taken so long before the drill, seconds.
COPY_AGE_S = 4.0
AWAY_S = 0.6
BACK_AFTER_S = 0.3
WATCHED_S = 12.0
# Of the site's requests that go to keys and can't be repeated.
OBJECTIVE_MS = 937
TIMEOUT_MS = 2141


def play(vms, record):
    """Returns what was broken."""
    lock = threading.Lock()
    # End of the latest hold by server, first and last key, and token.
    taken = {}
    broken = {}

    def check_hold(server, hold):
        now = time.monotonic()
        new = (server, hold.first, hold.last, hold.fence)
        with lock:
            for (other, first, last, fence), until in taken.items():
                if other is server or first > hold.last or last < hold.first:
                    continue
                if hold.fence <= fence and new not in broken:
                    left = max(0.0, until - now)
                    broken[new] = (
                        f"{server.instance} takes {hold.first} to {hold.last}"
                        f" with {hold.fence}, {other.instance} had"
                        f" {first} to {last} with {fence}, for"
                        f" {left:.2f} s more"
                    )
            taken[new] = hold.until
        record.add(
            f"server {server.instance} takes {hold.first} to {hold.last}"
            f" with {hold.fence}"
        )

    old = [vms.add("seats") for _ in range(OLD_MACHINES)]
    new = [vms.add("money", keyed=True) for _ in range(NEW_MACHINES)]
    vms.store.era = 7
    resources = (
        cluster.route("browse", "seats.example", "/", "seats"),
        cluster.service("seats"),
    )
    vms.configure(1, *resources)
    vms.start(old)
    time.sleep(OLD_AGE_S)
    vms.configure(
        2,
        *resources,
        cluster.route(
            "pay",
            HOST,
            "/",
            "money",
            idempotent=False,
            timeout_ms=TIMEOUT_MS,
            target_latency_ms=OBJECTIVE_MS,
        ),
        cluster.service("money", keyed=True),
    )
    copy = vms.store.copy()
    copied_at = time.monotonic()
    vms.start(new, on_hold_taken=check_hold)
    if not cluster.wait_until(
        COPY_AGE_S,
        lambda: all(
            vms.call(vms.vms[0], HOST, f"/pay/{key}", key, "POST")[1] == 200
            for key in KEYS
        ),
    ):
        raise cluster.CouldNotRunError("the keys are not served")
    time.sleep(max(0.0, copied_at + COPY_AGE_S - time.monotonic()))

    if cluster.HAS_TROUBLE:
        record.add(
            f"the store is away; its copy is"
            f" {time.monotonic() - copied_at:.1f} s old",
            True,
        )
        vms.store.failure_status = 503
        away_at = time.monotonic()
        for vm in new:
            vm.kill_router()
        time.sleep(BACK_AFTER_S)
        for vm in new:
            vm.start_router()
        time.sleep(max(0.0, away_at + AWAY_S - time.monotonic()))
        vms.store.restore(copy)
        vms.store.failure_status = None
        record.add("the store is back from the copy", True)
    ends_at = time.monotonic() + WATCHED_S
    while time.monotonic() < ends_at:
        for key in KEYS:
            vms.call(vms.vms[0], HOST, f"/pay/{key}", key, "POST", 500)
        time.sleep(0.2)
    for text in broken.values():
        record.add(text, True)
    if broken:
        return f"OWNER: {len(broken)} ranges taken under a token seen before"
    return ""


if __name__ == "__main__":
    cluster.run(__file__, play)
