"""Measures the cost of a request at its entry and at the slot's owner.

The costs are compared with those of a minimal `circuits.web` server.
"""

import contextlib
import http.client
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator

from bench import process, recovery, report
from demo import cluster, deployments
from standins import platformcluster

_BASE_PORT = 27000
_BARE_ADDRESS = "127.0.0.1:27100"
_PLAN = deployments.Deployment(
    name="datapath",
    data_centres=("a", "b", "c"),
    slots=32,
    connections=130,
    services=(
        deployments.Service("seats", 3, False),
        deployments.Service("other", 1, False),
    ),
    operations=(),
)
# Requests per core and second that a daemon is to reach.
_REQUIRED_REQUESTS_PER_CORE_S = 3667
# Headers of a request as a daemon sends it to a target.
_HEADERS = {
    "X-Run-Id": "r",
    "X-Request-Id": "bench",
    "X-Attempt": "1",
    "X-Key": "6b",
    "X-Slot": "0",
    "X-Fence": "0",
    "X-Owner": "bench",
    "X-Deadline": "1e18",
}
_ROUTER_HEADERS = {
    "Host": "seats.example",
    "X-Tamarackgap-Attempt-Id": "bench",
    "X-Tamarackgap-Timeout-Ms": "5000",
}
_READY_TIMEOUT_S = 20.0


def _send_requests(
    address: str,
    path: str,
    headers: dict[str, str],
    seconds: float,
    latencies_s: list[float],
) -> None:
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        started_at = time.monotonic()
        connection.request("GET", path, headers=headers)
        connection.getresponse().read()
        latencies_s.append(time.monotonic() - started_at)


def _measure(
    name: str,
    address: str,
    path: str,
    pids: list[int],
    callers: int,
    seconds: float,
    headers: dict[str, str] = _HEADERS,
) -> report.Row:
    cpu_before_s = sum(map(process.cpu_seconds, pids))
    latencies_s: list[float] = []
    threads = [
        threading.Thread(
            target=_send_requests,
            args=(address, path, headers, seconds, latencies_s),
        )
        for _ in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    cpu_s = sum(map(process.cpu_seconds, pids)) - cpu_before_s
    return {
        "path": name,
        "callers": callers,
        "requests_per_s": round(len(latencies_s) / seconds),
        "p50_ms": round(report.percentile(latencies_s, 0.5) * 1000, 2),
        "p99_ms": round(report.percentile(latencies_s, 0.99) * 1000, 2),
        "core_us_a_request": round(cpu_s / len(latencies_s) * 1e6),
        "requests_a_core_s": round(len(latencies_s) / max(cpu_s, 1e-9)),
    }


def _renewal_lateness_s(vm: cluster.VM) -> float:
    text = cluster.call(vm.http_address, "GET", "/metrics")[1].decode()
    line = next(
        line
        for line in text.splitlines()
        if line.startswith("tamarackgap_renewal_lateness_seconds{")
    )
    return float(line.rpartition(" ")[2])


@contextlib.contextmanager
def _bare_handler() -> Iterator[int]:
    """Runs the minimal server until the block ends; yields its process id."""
    bare = subprocess.Popen(
        [sys.executable, "-m", "bench.bare", _BARE_ADDRESS],
        stdout=subprocess.DEVNULL,
    )
    try:
        yield bare.pid
    finally:
        bare.kill()
        bare.wait()


def run_router(quick: bool) -> None:
    """Measures requests through the router, with entry and owner.

    Args:
        quick: Whether to send requests for a shorter time.
    """
    seconds = 2.0 if quick else 8.0
    with _bare_handler() as bare_pid, tempfile.TemporaryDirectory() as folder:
        running = platformcluster.PlatformCluster(
            pathlib.Path(folder),
            [("entry", "money", True), ("owner", "seats", False)],
        )
        try:
            running.start()
            rows = _router_paths(running, bare_pid, seconds)
        finally:
            running.stop()
    report.show("routerpath", rows)


def _router_paths(
    running: platformcluster.PlatformCluster, bare_pid: int, seconds: float
) -> list[report.Row]:
    entry, owner = running.vms
    owner.server.work_s = 0.0
    path = "/browse/x"
    if not platformcluster.wait_until(
        _READY_TIMEOUT_S,
        lambda: (
            entry.is_ready()
            and owner.is_ready()
            and platformcluster.send_caller_request(
                entry, "seats.example", path
            )[0]
            == 200
        ),
    ):
        raise RuntimeError("the router did not get ready")
    owner_pid = owner.process.pid
    both_pids = [entry.process.pid, owner_pid]
    rows = []
    for callers in (1, 8):
        rows += [
            _measure(
                "bare handler", _BARE_ADDRESS, "/", [bare_pid], callers, seconds
            ),
            _measure(
                "router, owner asked",
                owner.caller_address,
                path,
                [owner_pid],
                callers,
                seconds,
                _ROUTER_HEADERS,
            ),
            _measure(
                "router, entry then owner",
                entry.caller_address,
                path,
                both_pids,
                callers,
                seconds,
                _ROUTER_HEADERS,
            ),
        ]
    for row in rows:
        bare_us = rows[0]["core_us_a_request"]
        row["times_bare"] = round(row["core_us_a_request"] / bare_us, 2)
    return rows


def run(quick: bool) -> None:
    """Measures each path through the daemons, with 1 and with 8 callers.

    Args:
        quick: Whether to send requests for a shorter time.
    """
    seconds = 2.0 if quick else 8.0
    with (
        _bare_handler() as bare_pid,
        cluster.run_deployment(_PLAN, _BASE_PORT, work_ms=0.0) as running,
    ):
        rows = _paths(running, bare_pid, seconds)
    report.show("datapath", rows)


def _paths(
    running: cluster.Cluster, bare_pid: int, seconds: float
) -> list[report.Row]:
    entry = running.vm("other-0")
    owner = running.vm("seats-0")
    key = recovery.find_owned_key(running, entry, owner)
    path = f"/v1/seats/x?key={key}"
    owner_pid = owner.daemon_process.pid
    both_pids = [entry.daemon_process.pid, owner_pid]
    target_pid = owner.target_process.pid
    rows = []
    for callers in (1, 8):
        rows += [
            _measure(
                "bare handler", _BARE_ADDRESS, "/", [bare_pid], callers, seconds
            ),
            _measure(
                "target, direct",
                owner.target_address,
                "/x",
                [target_pid],
                callers,
                seconds,
            ),
            _measure(
                "owner asked",
                owner.http_address,
                path,
                [owner_pid],
                callers,
                seconds,
            ),
            _measure(
                "entry, then owner",
                entry.http_address,
                path,
                both_pids,
                callers,
                seconds,
            ),
        ]
    for row in rows:
        row["worst_renewal_late_ms"] = ""
        bare_us = rows[0]["core_us_a_request"]
        row["times_bare"] = round(row["core_us_a_request"] / bare_us, 2)
        row["short_of_3667_by"] = round(
            _REQUIRED_REQUESTS_PER_CORE_S / row["requests_a_core_s"], 1
        )
    rows[-1]["worst_renewal_late_ms"] = round(
        _renewal_lateness_s(owner) * 1000, 1
    )
    for row in rows:
        row["takeovers"] = ""
    rows[-1]["takeovers"] = len(running.log_lines("taken_over"))
    return rows
