"""Runs both deployments under load, with a crash and a drain (`make demo`)."""

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
_READY_TIMEOUT_S = 30.0


class FaultSchedule:
    """Kills one daemon and drains another while a deployment is under load."""

    def __init__(self, running: cluster.Cluster, seconds: float) -> None:
        """Chooses the daemon to kill and the VM to drain.

        Args:
            running: The deployment under load.
            seconds: Duration of the load. Each fault is injected after a fixed
                share of it.
        """
        self.cluster = running
        self.seconds = seconds
        last = running.deployment.services[-1].name
        first = running.deployment.services[0].name
        self.killed = running.vm(f"{last}-0")
        self.leaving = running.vm(f"{first}-1")
        self.left: dict[str, float] = {}

    def run(self) -> None:
        """Carries out the schedule; returns after its last step."""
        started_at = time.monotonic()
        self._wait_until(started_at + self.seconds * 0.3)
        self.killed.daemon_process.send_signal(signal.SIGKILL)
        self._print(f"killed daemon {self.killed.name} with SIGKILL")
        self._wait_until(started_at + self.seconds * 0.55)
        cluster.call(self.leaving.target_address, "POST", "/leave")
        self.left[self.leaving.name] = time.monotonic()
        self.leaving.daemon_process.send_signal(signal.SIGTERM)
        self._print(f"target {self.leaving.name} leaves, its daemon drains")
        self._wait_until(started_at + self.seconds * 0.7)
        self.killed.daemon_process.wait()
        self.cluster.start_daemon(self.killed)
        self._print(f"daemon {self.killed.name} was started again")

    def drained(self) -> int | None:
        """Returns the drained daemon's exit code, or None if it still runs."""
        try:
            return self.leaving.daemon_process.wait(timeout=12)
        except subprocess.TimeoutExpired:
            return None

    def _print(self, text: str) -> None:
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
            f" {len(running.vms)} targets, each with a daemon"
        )
        running.start()
    for running in clusters:
        seconds = running.wait_until_ready(_READY_TIMEOUT_S)
        if seconds is None:
            raise SystemExit(f"{running.deployment.name} did not get ready")
        click.echo(f"{running.deployment.name} is ready after {seconds:.1f} s")
    return clusters


def _run_load(
    clusters: list[cluster.Cluster], seconds: float, rate: float, seed: int
) -> list[report.Summary]:
    schedules = [FaultSchedule(running, seconds) for running in clusters]
    generators = [
        load.LoadGenerator(running, seconds, rate, seed + index)
        for index, running in enumerate(clusters)
    ]
    threads = [
        threading.Thread(target=action.run, daemon=True)
        for action in (*schedules, *generators)
    ]
    for thread in threads:
        thread.start()
    started_at = time.monotonic()
    while any(thread.is_alive() for thread in threads):
        time.sleep(2)
        ended = sum(len(generator.results) for generator in generators)
        click.echo(
            f"  {time.monotonic() - started_at:4.0f} s: {ended} requests"
        )
    return [
        report.summarise(running, _history(running, generator, schedule))
        for running, generator, schedule in zip(
            clusters, generators, schedules, strict=True
        )
    ]


def _history(
    running: cluster.Cluster,
    generator: load.LoadGenerator,
    schedule: FaultSchedule,
) -> checker.History:
    exit_codes = {schedule.leaving.name: schedule.drained()}
    return checker.History(
        generator.results, running.run_records(), schedule.left, exit_codes
    )


@click.command()
@click.option(
    "--seconds", default=20.0, help="Duration of the load in seconds."
)
@click.option(
    "--rate", default=120.0, help="Requests per second and deployment."
)
@click.option("--seed", default=1, help="Seed of the load.")
@click.option(
    "--folder",
    type=click.Path(path_type=pathlib.Path),
    default=None,
    help="Folder for logs, which is kept. Default: a temporary folder.",
)
def main(
    seconds: float, rate: float, seed: int, folder: pathlib.Path | None
) -> None:
    """Runs both deployments and checks the guarantees."""
    work_folder = folder or pathlib.Path(
        tempfile.mkdtemp(prefix="tamarackgap-")
    )
    clusters: list[cluster.Cluster] = []
    try:
        clusters = _start(work_folder)
        summaries = _run_load(clusters, seconds, rate, seed)
    finally:
        for running in clusters:
            running.stop()
    for summary in summaries:
        click.echo(report.render(summary))
    (work_folder / "summary.json").write_text(
        json.dumps([report.as_dict(summary) for summary in summaries]),
        encoding="utf-8",
    )
    broken = [text for summary in summaries for text in summary.broken]
    for text in broken:
        click.echo(f"BROKEN: {text}", err=True)
    if folder is None and not broken:
        shutil.rmtree(work_folder, ignore_errors=True)
    click.echo("all guarantees held" if not broken else f"logs: {work_folder}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
