"""Plays seeds of the soak: `python -m soak --seeds 50`."""

import pathlib
import random
import sys
import tempfile

import click

from soak import run


@click.command()
@click.option("--seeds", default=1, help="How many runs.")
@click.option("--first", type=int, help="First seed; drawn if left out.")
@click.option("--seconds", default=20.0, help="Of faults, a run.")
def main(seeds: int, first: int | None, seconds: float) -> None:
    """Plays seeds one after the other; logs of failed ones are kept."""
    begin = first if first is not None else random.randrange(10**6)
    failed = 0
    for seed in range(begin, begin + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = run.run_seed(folder, seed, seconds)
        recovered = result.recovery_s
        click.echo(
            f"seed {seed}: {'kept' if result.passed else 'FAILED'},"
            f" {result.requests_sent} asked,"
            f" {result.served_share:.3f} served, all served"
            f" {'never' if recovered is None else f'{recovered:.1f} s'}"
            " after the last fault"
        )
        if not result.passed:
            failed += 1
            (folder / "story.txt").write_text("\n".join(result.fault_log))
            click.echo(f"  logs: {folder}")
            for violation in result.violations:
                click.echo(f"  {violation}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
