"""Command line of the soak: `python -m soak --seeds 50`."""

import pathlib
import random
import shutil
import sys
import tempfile

import click
import msgspec

from soak import run

_PLANS = {"general": run.GENERAL, "ownership": run.OWNERSHIP}


@click.command()
@click.option("--seeds", default=1, help="Number of runs.")
@click.option("--first", type=int, help="First seed; random by default.")
@click.option(
    "--seconds",
    default=20.0,
    help="Seconds for which each run injects faults.",
)
@click.option(
    "--faults",
    "plan_name",
    type=click.Choice(list(_PLANS)),
    default="general",
    help="The faults that are injected.",
)
@click.option(
    "--grants",
    type=click.Choice(["call", "heartbeat"]),
    default="call",
    help="How targets take their keys.",
)
@click.option(
    "--only",
    multiple=True,
    help="Name of a fault; the others are not injected.",
)
@click.option("--vms", type=int, help="Number of VMs instead of the usual.")
@click.option(
    "--folder",
    type=click.Path(path_type=pathlib.Path, file_okay=False, exists=True),
    default=tempfile.gettempdir(),
    help="Folder for the logs of runs that fail.",
)
def main(
    seeds: int,
    first: int | None,
    seconds: float,
    plan_name: str,
    grants: str,
    only: tuple[str, ...],
    vms: int | None,
    folder: pathlib.Path,
) -> None:
    """Runs consecutive seeds, and keeps the logs of those that fail."""
    plan = msgspec.structs.replace(_PLANS[plan_name], grants=grants)
    if only:
        plan = plan.with_faults(*only)
    if vms is not None:
        plan = msgspec.structs.replace(plan, vms=run.name_vms(vms))
    first_seed = first if first is not None else random.randrange(10**6)
    failed_runs = 0
    for seed in range(first_seed, first_seed + seeds):
        logs = pathlib.Path(tempfile.mkdtemp("", f"soak-{seed}-", folder))
        result = run.run_seed(logs, seed, seconds, plan)
        recovery_s = result.recovery_s
        click.echo(
            f"seed {seed}: {'passed' if result.passed else 'FAILED'},"
            f" {result.requests_sent} requests,"
            f" {result.served_share:.3f} of them served, all routes served"
            f" {'never' if recovery_s is None else f'{recovery_s:.1f} s'}"
            " after the last fault"
        )
        if not result.passed:
            failed_runs += 1
            (logs / "story.txt").write_text("\n".join(result.fault_log))
            (logs / "holds.txt").write_text("\n".join(result.hold_log))
            click.echo(f"  logs: {logs}")
            for violation in result.violations:
                click.echo(f"  {violation}")
        else:
            shutil.rmtree(logs)
    sys.exit(1 if failed_runs else 0)


if __name__ == "__main__":
    main()
