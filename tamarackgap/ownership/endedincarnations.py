"""What ended incarnations of this process leave behind.

The process remembers what they promised as witnesses, and knows when what
they handed over is over.
"""

from tamarackgap.ownership import effects, witnesshandler
from tamarackgap.placement import records

_KEPT = 8


class EndedIncarnations:
    """The ended incarnations of this process."""

    def __init__(self) -> None:
        """Creates a memory of none."""
        self._witnesses: dict[str, witnesshandler.WitnessHandler] = {}
        self._over_at: dict[str, float] = {}

    def keep(self, name: str, witness: witnesshandler.WitnessHandler) -> None:
        """Keeps an ended incarnation's promises."""
        self._witnesses[name] = witness
        for oldest in list(self._witnesses)[:-_KEPT]:
            del self._witnesses[oldest]

    def witness(self, name: str) -> witnesshandler.WitnessHandler | None:
        """Returns what was promised under a name, or None."""
        return self._witnesses.get(name)

    def silent_owners(
        self, outbox: effects.Outbox, now: float
    ) -> list[records.LeaseRecord]:
        """Returns owners that renew no more with any of them."""
        found = []
        sender = outbox.incarnation
        for name, witness in list(self._witnesses.items()):
            outbox.incarnation = name
            found += witness.silent_owners(now)
        outbox.incarnation = sender
        return found

    def ends(self, name: str, at: float) -> None:
        """Notes when what an incarnation handed over is over, seconds."""
        self._over_at[name] = at

    def over(self, view: records.TableView, now: float) -> frozenset[str]:
        """Returns those that are over for certain and not yet closed."""
        for name in list(self._over_at):
            record = view.lease(name)
            if record is not None and not record.is_open:
                del self._over_at[name]
        return frozenset(
            name for name, at in self._over_at.items() if now >= at
        )
