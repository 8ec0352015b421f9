"""`make model`: the large model, and the shortest trace of each mutant."""

import sys

import click

from model import anchor, check, spec

_MOST_STATES = 6_000_000


@click.command()
@click.option("--most", default=_MOST_STATES, help="Most states to search.")
def main(most: int) -> None:
    """Checks the model with explicit answers, then every mutant."""
    failed = False
    for explicit in (False, True):
        whole = spec.Spec(explicit=explicit)
        found = check.check(whole, most)
        click.echo(f"all rules, explicit={explicit}: {_text(found)}")
        failed = failed or found.holds is not True
    found = check.check(anchor.Spec(), most)
    click.echo(f"all rules of the anchor: {_text(found)}")
    failed = failed or found.holds is not True
    for module in (spec, anchor):
        for rule in module.Rule:
            mutant = module.Spec(without=frozenset({rule}))
            found = check.check(mutant, most)
            click.echo(f"without '{rule.value}': {_text(found)}")
            for number, label in enumerate(found.trace, 1):
                click.echo(f"    {number:2} {label}")
            failed = failed or found.holds is not False
    sys.exit(1 if failed else 0)


def _text(found: check.Outcome) -> str:
    words = {True: "holds", False: "violated", None: "cut short"}
    text = f"{words[found.holds]}, {found.states} states, {found.seconds:.1f} s"
    return f"{text}: {found.property}" if found.property else text


if __name__ == "__main__":
    main()
