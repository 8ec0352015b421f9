"""The design note's table of days, made from the journal's entries.

`python -m bench.journal` writes it anew; a test compares the two.
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
    """One day as it was judged.

    Attributes:
        name: Its name.
        G: Worth, as a share of what could be earned.
        score: Where it lies between the day's marks; None without marks.
        served: Share of the requests that were served.
        rules: How often each rule was broken.
        short: What was short of the gate.
        prices: Name, amount and cost of each price.
        parts: Name, weight and value of each part.
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
        """The part that loses most, and the highest price."""
        if not self.parts or not self.prices:
            return ""
        part = max(self.parts, key=lambda found: found[1] * (1 - found[2]))
        price = max(self.prices, key=lambda found: found[2] or 0.0)
        return f"{part[0]} {part[2]:.2f}; {price[0]} {price[2] or 0.0:.3f}"


class Entry(msgspec.Struct):
    """One run in the journal.

    Attributes:
        id: Its id.
        at: When it began.
        cmd: What was run.
        argv: Its arguments; the site file is the first.
        ok: Whether it went through.
        score: The site's score, where all its days were played.
        days: The days.
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
        """Name of the site."""
        return pathlib.PurePath(self.argv[0]).stem if self.argv else ""


def load_entries(folder: pathlib.Path = JOURNAL) -> list[Entry]:
    """Returns the journal's entries, the oldest first.

    Raises:
        msgspec.ValidationError: If one has another shape.
    """
    found = [
        msgspec.convert(json.loads(path.read_text()), Entry)
        for path in folder.glob("*.json")
    ]
    return sorted(found, key=lambda entry: (entry.at, entry.id))


def render_table(found: list[Entry]) -> str:
    """Returns the table of the last whole score of each site, and all hunts."""
    lines = [
        "| site | run | day | score | worth | served | broken | what binds |",
        "|---|---|---|---|---|---|---|---|",
    ]
    scores = {
        entry.site: entry
        for entry in found
        if entry.cmd == "score" and entry.ok and entry.score is not None
    }
    for site, entry in sorted(scores.items()):
        begun = entry.at[0][:16]
        lines.append(
            f"| {site} | score, {begun} | all | {entry.score:.2f} | | | | |"
        )
        lines += [_row(site, day) for day in entry.days]
    for entry in found:
        if entry.cmd == "hunt" and entry.ok:
            broken = [day for day in entry.days if day.rules]
            begun = entry.at[0][:16]
            lines.append(
                f"| {entry.site} | hunt, {begun} | {len(entry.days)} days "
                f"| | | | {len(broken)} days | |"
            )
            lines += [_row(entry.site, day) for day in broken]
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
    """Returns a note with its table replaced.

    Raises:
        ValueError: If the note has no place for it.
    """
    head, found, rest = text.partition(_BEGIN)
    old, end, tail = rest.partition(_END)
    del old
    if not found or not end:
        raise ValueError("the note has no place for the table of days")
    return head + _BEGIN + rows + _END + tail


def main() -> None:
    """Writes the table into the design note."""
    NOTE.write_text(
        insert_table(NOTE.read_text(), render_table(load_entries()))
    )


if __name__ == "__main__":
    main()
