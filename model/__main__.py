"""Checks all specifications and prints the shortest trace of each mutant."""

import sys

import click

from model import anchor, check, grants, spec

_MAX_STATES = 6_000_000


@click.command()
@click.option(
    "--most", default=_MAX_STATES, help="Most states to search in each check."
)
def main(most: int) -> None:
    """Checks the specifications with all rules, then every mutant."""
    failed = False
    for explicit in (False, True):
        complete = spec.Spec(explicit_answers=explicit)
        checked = check.check(complete, most)
        click.echo(f"all rules, explicit={explicit}: {_text(checked)}")
        failed = failed or checked.holds is not True
    for module in (anchor, grants):
        checked = check.check(module.Spec(), most)
        click.echo(f"all rules of {module.__name__}: {_text(checked)}")
        failed = failed or checked.holds is not True
    for module in (spec, anchor, grants):
        for rule in module.Rule:
            mutant = module.Spec(without=frozenset({rule}))
            checked = check.check(mutant, most)
            click.echo(f"without '{rule.value}': {_text(checked)}")
            for number, label in enumerate(checked.trace, 1):
                click.echo(f"    {number:2} {label}")
            failed = failed or checked.holds is not False
    sys.exit(1 if failed else 0)


def _text(result: check.CheckResult) -> str:
    verdicts = {True: "holds", False: "violated", None: "state limit reached"}
    text = (
        f"{verdicts[result.holds]}, {result.states} states,"
        f" {result.seconds:.1f} s"
    )
    return f"{text}: {result.property}" if result.property else text


if __name__ == "__main__":
    main()
