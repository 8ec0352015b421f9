"""Prints tables of results and writes them as CSV."""

import csv
import pathlib

import click

RESULTS = pathlib.Path(__file__).parent / "results"

Row = dict[str, object]


def show(name: str, rows: list[Row]) -> None:
    """Prints rows and writes them to `results/NAME.csv`.

    Args:
        name: Name of the table.
        rows: Rows with the same columns in the same order.
    """
    if not rows:
        click.echo(f"{name}: no rows")
        return
    columns = list(rows[0])
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.csv"
    with path.open("w", encoding="utf-8", newline="") as out:
        writer = csv.DictWriter(out, columns, lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)
    widths = [
        max(len(column), *(len(str(row[column])) for row in rows))
        for column in columns
    ]
    click.echo(f"\n== {name}")
    for cells in (columns, *([row[c] for c in columns] for row in rows)):
        padded = [
            str(cell).rjust(width)
            for cell, width in zip(cells, widths, strict=True)
        ]
        click.echo("  ".join(padded))


def percentile(values: list[float], share: float) -> float:
    """Returns the value that the given share of the values does not exceed."""
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * share))
    return ordered[index]
