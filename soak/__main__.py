"""Command line of the soak: `python -m soak --seeds 50`."""

import pathlib
import random
import sys
import tempfile

import click

from soak import run


@click.command()
@click.option("--seeds", default=1, help="Number of runs.")
@click.option("--first", type=int, help="First seed; random by default.")
@click.option(
    "--seconds",
    default=20.0,
    help="Seconds for which each run injects faults.",
)
def main(seeds: int, first: int | None, seconds: float) -> None:
    """Runs consecutive seeds, and keeps the logs of those that fail."""
    first_seed = first if first is not None else random.randrange(10**6)
    failed_runs = 0
    for seed in range(first_seed, first_seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = run.run_seed(folder, seed, seconds)
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
            (folder / "story.txt").write_text("\n".join(result.fault_log))
            click.echo(f"  logs: {folder}")
            for violation in result.violations:
                click.echo(f"  {violation}")
    sys.exit(1 if failed_runs else 0)


if __name__ == "__main__":
    main()
