"""`make demo`: both deployments, mixed load, a kill and a leaving target."""

import json
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

import click

from demo import checker, cluster, deployments, load, report

_BASE_PORTS = {"association": 21000, "rentals": 22000}
_READY_S = 30.0


class FaultSchedule:
    """What is done to one deployment while it is under load."""

    def __init__(self, running: cluster.Cluster, seconds: float) -> None:
        """Plans a kill and a leaving target within `seconds` of load."""
        self.cluster = running
        self.seconds = seconds
        last = running.deployment.services[-1].name
        first = running.deployment.services[0].name
        self.killed = running.vm(f"{last}-0")
        self.leaving = running.vm(f"{first}-1")
        self.left: dict[str, float] = {}

    def run(self) -> None:
        """Carries the plan out, from its own thread."""
        begun = time.monotonic()
        self._wait_until(begun + self.seconds * 0.3)
        self.killed.daemon_process.send_signal(signal.SIGKILL)
        self._note(f"killed daemon {self.killed.name} (-9)")
        self._wait_until(begun + self.seconds * 0.55)
        cluster.call(self.leaving.target_address, "POST", "/leave")
        self.left[self.leaving.name] = time.monotonic()
        self.leaving.daemon_process.send_signal(signal.SIGTERM)
        self._note(f"target {self.leaving.name} leaves, its daemon drains")
        self._wait_until(begun + self.seconds * 0.7)
        self.killed.daemon_process.wait()
        self.cluster.start_daemon(self.killed)
        self._note(f"daemon {self.killed.name} started again")

    def drained(self) -> int | None:
        """Returns the exit code of the daemon that drained, or None."""
        try:
            return self.leaving.daemon_process.wait(timeout=12)
        except subprocess.TimeoutExpired:
            return None

    def _note(self, text: str) -> None:
        click.echo(f"  {self.cluster.deployment.name}: {text}")

    def _wait_until(self, moment: float) -> None:
        time.sleep(max(0.0, moment - time.monotonic()))


def _start(folder: pathlib.Path) -> list[cluster.Cluster]:
    plans = (deployments.ASSOCIATION, deployments.RENTALS)
    clusters = [
        cluster.Cluster(plan, folder / plan.name, _BASE_PORTS[plan.name])
        for plan in plans
    ]
    for running in clusters:
        click.echo(
            f"starting {running.deployment.name}:"
            f" {len(running.vms)} targets, a daemon beside each"
        )
        running.start()
    for running in clusters:
        taken = running.wait_until_ready(_READY_S)
        if taken is None:
            raise SystemExit(f"{running.deployment.name} did not get ready")
        click.echo(f"{running.deployment.name} is ready after {taken:.1f} s")
    return clusters


def _drive(
    clusters: list[cluster.Cluster], seconds: float, rate: float, seed: int
) -> list[report.Summary]:
    stories = [FaultSchedule(running, seconds) for running in clusters]
    loads = [
        load.LoadGenerator(running, seconds, rate, seed + index)
        for index, running in enumerate(clusters)
    ]
    threads = [
        threading.Thread(target=action.run, daemon=True)
        for action in (*stories, *loads)
    ]
    for thread in threads:
        thread.start()
    begun = time.monotonic()
    while any(thread.is_alive() for thread in threads):
        time.sleep(2)
        done = sum(len(part.results) for part in loads)
        click.echo(f"  {time.monotonic() - begun:4.0f} s: {done} requests")
    return [
        report.summarise(running, _evidence(running, part, story))
        for running, part, story in zip(clusters, loads, stories, strict=True)
    ]


def _evidence(
    running: cluster.Cluster, part: load.LoadGenerator, story: FaultSchedule
) -> checker.History:
    drained = {story.leaving.name: story.drained()}
    return checker.History(part.results, running.runs(), story.left, drained)


@click.command()
@click.option("--seconds", default=20.0, help="Length of the load.")
@click.option("--rate", default=120.0, help="Requests a second and user.")
@click.option("--seed", default=1, help="Seed of the load.")
@click.option(
    "--folder",
    type=click.Path(path_type=pathlib.Path),
    default=None,
    help="Where logs go; kept. Default: a temporary folder.",
)
def main(
    seconds: float, rate: float, seed: int, folder: pathlib.Path | None
) -> None:
    """Runs both users' deployments and judges the outcome."""
    work = folder or pathlib.Path(tempfile.mkdtemp(prefix="tamarackgap-"))
    clusters: list[cluster.Cluster] = []
    try:
        clusters = _start(work)
        summaries = _drive(clusters, seconds, rate, seed)
    finally:
        for running in clusters:
            running.stop()
    for summary in summaries:
        click.echo(report.render(summary))
    (work / "summary.json").write_text(
        json.dumps([report.as_dict(summary) for summary in summaries]),
        encoding="utf-8",
    )
    broken = [text for summary in summaries for text in summary.broken]
    for text in broken:
        click.echo(f"BROKEN: {text}", err=True)
    if folder is None and not broken:
        shutil.rmtree(work, ignore_errors=True)
    click.echo("every promise held" if not broken else f"logs: {work}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
