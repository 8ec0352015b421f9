"""Runs all parts of the bench, or the given ones (`make bench`)."""

import click

from bench import (
    baselines,
    datapath,
    loads,
    logcost,
    moves,
    pauses,
    policy,
    recovery,
    slopes,
    state,
)

_PARTS = {
    "recovery": recovery.run,
    "routerpath": datapath.run_router,
    "baselines": baselines.run,
    "datapath": datapath.run,
    "loads": loads.run,
    "logcost": logcost.run,
    "moves": moves.run,
    "pauses": pauses.run,
    "policy": policy.run,
    "slopes": slopes.run,
    "state": state.run,
}


@click.command()
@click.argument("parts", nargs=-1, type=click.Choice(sorted(_PARTS)))
@click.option("--quick", is_flag=True, help="Fewer repetitions, for a trial.")
def main(parts: tuple[str, ...], quick: bool) -> None:
    """Runs the given PARTS of the bench, or all of them."""
    for name in parts or _PARTS:
        _PARTS[name](quick)


if __name__ == "__main__":
    main()
