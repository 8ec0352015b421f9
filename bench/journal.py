"""Generates the design note's table of days from the journal's entries.

`python -m bench.journal` rewrites the table; a test checks that it is current.
"""

import json
import pathlib

import msgspec

ROOT = pathlib.Path(__file__).parent.parent
JOURNAL = ROOT / "journal"
NOTE = ROOT / "docs" / "design" / "platform.md"
_BEGIN = "<!-- days: written by python -m bench.journal -->\n"
_END = "<!-- end of days -->\n"


class Day(msgspec.Struct):
    """The result of one day of a run.

    Attributes:
        name: Name of the day.
        G: Worth, as a share of the greatest possible worth.
        score: Position of the worth between the day's two marks; None if the
            day has no marks.
        served: Share of requests that were served.
        rules: How often each rule was broken, by rule.
        short: Requirements of the gate that were not met.
        prices: Name, amount and cost of each price.
        parts: Name, weight and value of each part of the worth.
    """

    name: str
    G: float | None = None
    score: float | None = None
    served: float | None = None
    rules: dict[str, float] = {}
    short: list[str] = []
    prices: list[tuple[str, float | None, float | None]] = []
    parts: list[tuple[str, float, float]] = []

    @property
    def largest_losses(self) -> str:
        """The part that lost the most worth, and the price that cost most."""
        if not self.parts or not self.prices:
            return ""
        part = max(self.parts, key=lambda part: part[1] * (1 - part[2]))
        price = max(self.prices, key=lambda price: price[2] or 0.0)
        return f"{part[0]} {part[2]:.2f}; {price[0]} {price[2] or 0.0:.3f}"


class Entry(msgspec.Struct):
    """One run as recorded in the journal.

    Attributes:
        id: Id of the run.
        at: Two texts; the first is the time when the run began.
        cmd: Command that was run.
        argv: Arguments of the command; the first is the site file.
        ok: Whether the run completed.
        score: Score of the site; None unless all its days were run.
        days: Results of the days.
    """

    id: str
    at: tuple[str, str]
    cmd: str
    argv: list[str]
    ok: bool
    score: float | None = None
    days: list[Day] = []

    @property
    def site(self) -> str:
        """Name of the site, which is that of the site file."""
        return pathlib.PurePath(self.argv[0]).stem if self.argv else ""


def load_entries(folder: pathlib.Path = JOURNAL) -> list[Entry]:
    """Returns the entries of the journal, the oldest first.

    Args:
        folder: Folder with one JSON file per entry.

    Raises:
        msgspec.ValidationError: If an entry lacks a field or a field has a
            wrong type.
    """
    parsed = [
        msgspec.convert(json.loads(path.read_text()), Entry)
        for path in folder.glob("*.json")
    ]
    return sorted(parsed, key=lambda entry: (entry.at, entry.id))


def render_table(entries: list[Entry]) -> str:
    """Returns the table of days, in Markdown.

    It lists the latest complete score of each site with its days, and all
    completed hunts with the days on which a rule was broken.
    """
    lines = [
        "| site | run | day | score | worth | served | broken | what binds |",
        "|---|---|---|---|---|---|---|---|",
    ]
    scores = {
        entry.site: entry
        for entry in entries
        if entry.cmd == "score" and entry.ok and entry.score is not None
    }
    for site, entry in sorted(scores.items()):
        at = entry.at[0][:16]
        lines.append(
            f"| {site} | score, {at} | all | {entry.score:.2f} | | | | |"
        )
        lines += [_row(site, day) for day in entry.days]
    for entry in entries:
        if entry.cmd == "hunt" and entry.ok:
            broken_days = [day for day in entry.days if day.rules]
            at = entry.at[0][:16]
            lines.append(
                f"| {entry.site} | hunt, {at} | {len(entry.days)} days "
                f"| | | | {len(broken_days)} days | |"
            )
            lines += [_row(entry.site, day) for day in broken_days]
    return "\n".join(lines) + "\n"


def _row(site: str, day: Day) -> str:
    rules = ", ".join(f"{rule} {n:g}" for rule, n in day.rules.items())
    score = "" if day.score is None else f"{day.score:.2f}"
    worth = "" if day.G is None else f"{day.G:.3f}"
    served = "" if day.served is None else f"{day.served:.3f}"
    return (
        f"| {site} |  | {day.name} | {score} | {worth} | {served} "
        f"| {rules} | {day.largest_losses} |"
    )


def insert_table(text: str, rows: str) -> str:
    """Returns the text of a note with its table replaced.

    Args:
        text: Text of the note.
        rows: Markdown of the new table.

    Raises:
        ValueError: If the note lacks the comments that enclose the table.
    """
    head, begin, rest = text.partition(_BEGIN)
    old, end, tail = rest.partition(_END)
    del old
    if not begin or not end:
        raise ValueError(
            "the note lacks the comments that enclose the table of days"
        )
    return head + _BEGIN + rows + _END + tail


def main() -> None:
    """Rewrites the table in the design note."""
    NOTE.write_text(
        insert_table(NOTE.read_text(), render_table(load_entries()))
    )


if __name__ == "__main__":
    main()
