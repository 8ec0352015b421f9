"""Measures what callers get around restarts and drills of the store.

Eleven routers run as real processes, with the deploy file's settings: six
beside servers of a service without keys, five beside those of one with keys.
Callers of both send requests all the time. `python -m bench.restarts --help`
lists the disruptions.
"""

import itertools
import pathlib
import threading
import time

import click

from review.shared3 import cluster
from standins import rowstore

_HOST_OF_KEYS = "money.example"
_HOST = "seats.example"
_KEYLESS_VMS = 6
_KEYED_VMS = 5
_KEYS = range(0, 65_536, 4096)
_CALLERS = 4
_CALL_INTERVAL_S = 0.02
_TIMEOUT_MS = 500
_SETTLE_S = 3.0


class Callers:
    """Sends requests and keeps when each was sent and whether it got 200."""

    def __init__(self, vms: cluster.Cluster) -> None:
        """Creates callers that have sent nothing."""
        self._vms = vms
        self._stopping = threading.Event()
        self._numbers = itertools.count()
        self._results: dict[bool, list[tuple[float, bool]]] = {
            True: [],
            False: [],
        }
        self._threads = [
            threading.Thread(target=self._call, args=(number % 2 == 0,))
            for number in range(2 * _CALLERS)
        ]

    def start(self) -> None:
        """Starts to send requests."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends all callers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def report(self, keyed: bool, since: float, seconds: float) -> str:
        """Returns the share of 200 in a time, and the longest without one.

        Args:
            keyed: Whether of the requests with a key.
            since: Monotonic time, seconds.
            seconds: How long, seconds.
        """
        results = [
            (sent_at, is_ok)
            for sent_at, is_ok in sorted(self._results[keyed])
            if since <= sent_at < since + seconds
        ]
        served = [sent_at for sent_at, is_ok in results if is_ok]
        edges = [since, *served, since + seconds]
        gap = max(later - at for at, later in itertools.pairwise(edges))
        share = len(served) / max(1, len(results))
        return f"{share:.2f} of {len(results)} served, {gap:.2f} s without"

    def _call(self, keyed: bool) -> None:
        while not self._stopping.wait(_CALL_INTERVAL_S):
            number = next(self._numbers)
            vm = self._vms.vms[number % len(self._vms.vms)]
            sent_at = time.monotonic()
            _, status = self._vms.call(
                vm,
                _HOST_OF_KEYS if keyed else _HOST,
                f"/{number}",
                _KEYS[number % len(_KEYS)] if keyed else None,
                "POST",
                _TIMEOUT_MS,
            )
            self._results[keyed].append((sent_at, status == 200))


def _start(vms: cluster.Cluster) -> rowstore.Copy:
    """Starts all; returns a copy of the store from before the first start."""
    for _ in range(_KEYLESS_VMS):
        vms.add("seats")
    for _ in range(_KEYED_VMS):
        vms.add("money", keyed=True)
    vms.store.era = 7
    vms.configure(
        1,
        cluster.route("browse", _HOST, "/", "seats", idempotent=False),
        cluster.route("pay", _HOST_OF_KEYS, "/", "money", idempotent=False),
        cluster.service("seats"),
        cluster.service("money", keyed=True),
    )
    copy = vms.store.copy()
    started_at = time.monotonic()
    vms.start()
    if not cluster.wait_until(
        30.0,
        lambda: all(
            vms.call(vms.vms[0], _HOST_OF_KEYS, "/", key, "POST")[1] == 200
            for key in _KEYS
        ),
    ):
        raise cluster.CouldNotRunError("the keys are not served")
    print(f"first start: {time.monotonic() - started_at:.1f} s", flush=True)
    return copy


@click.command()
@click.option("--killed", default="none", help="none, one, keyed, four or all")
@click.option("--drill", is_flag=True, help="The store goes back to a copy.")
@click.option("--store-away", is_flag=True, help="It comes back as it was.")
@click.option("--copy-age", default=4.0, help="Age of the copy, seconds.")
@click.option("--before-keys", is_flag=True, help="The copy has no rows.")
@click.option("--away", default=0.6, help="Time without a store, seconds.")
@click.option("--back-after", default=0.3, help="Time until starts, seconds.")
@click.option("--watched", default=10.0, help="Time measured, seconds.")
def main(
    killed: str,
    drill: bool,
    store_away: bool,
    copy_age: float,
    before_keys: bool,
    away: float,
    back_after: float,
    watched: float,
) -> None:
    """Plays one disruption, and prints what callers got after it."""
    record = cluster.Record(pathlib.Path("out/restarts/record.txt"))
    vms = cluster.Cluster(record)
    callers = Callers(vms)
    try:
        copy = _start(vms)
        time.sleep(_SETTLE_S)
        if not before_keys:
            copy = vms.store.copy()
        callers.start()
        time.sleep(copy_age)
        keyed = vms.vms[_KEYLESS_VMS:]
        chosen = {
            "none": [],
            "one": keyed[:1],
            "keyed": keyed,
            "four": keyed[:-1],
            "all": vms.vms,
        }[killed]
        if drill or store_away:
            vms.store.failure_status = 503
        away_at = time.monotonic()
        for vm in chosen:
            vm.kill_router()
        time.sleep(back_after)
        for vm in chosen:
            vm.start_router()
        since = time.monotonic()
        if drill or store_away:
            time.sleep(max(0.0, away_at + away - time.monotonic()))
            if drill:
                vms.store.restore(copy)
            vms.store.failure_status = None
            since = time.monotonic()
        time.sleep(watched + _TIMEOUT_MS / 1000)
        for name, is_keyed in (("keyless", False), ("keyed", True)):
            print(f"{name}: {callers.report(is_keyed, since, watched)}")
        for vm in vms.vms:
            for line in vm.log_lines("leavings_asked")[-1:]:
                print(vm.name, line.partition("leavings_asked")[2])
    finally:
        callers.stop()
        vms.stop()


if __name__ == "__main__":
    main()
