"""Keeps which data centres' targets the operators want to get no calls."""

from collections.abc import Callable

import msgspec

from tamarackgap import logs, types


class Evacuations(msgspec.Struct, frozen=True):
    """All evacuated data centres, as they were at one revision of the store.

    Revisions order all changes within an era of the store. So of two such
    states the one with the higher era is the newer one, and within an era the
    one with the higher revision, also where it has fewer data centres.

    Attributes:
        data_centres: The evacuated data centres.
        revision: The revision; 0 if nothing is known.
        era: The store's era, which rises when its revisions go back.
    """

    data_centres: frozenset[types.DataCentre] = frozenset()
    revision: int = 0
    era: int = 0

    def is_newer_than(self, other: "Evacuations") -> bool:
        """Returns whether this state is later than another one."""
        return (self.era, self.revision) > (other.era, other.revision)


class EvacuationKeeper:
    """Keeps the newest state that was read here or heard of others.

    Attributes:
        on_change: Called when other data centres are evacuated than before,
            with whether this daemon has read it from the store itself.
    """

    def __init__(self) -> None:
        """Creates a keeper that knows of no evacuation."""
        self.on_change: Callable[[bool], None] = _ignore
        self._newest = Evacuations()

    @property
    def newest(self) -> Evacuations:
        """The newest state that is known."""
        return self._newest

    def handle_read(self, state: Evacuations) -> None:
        """Applies a state that was read from the store."""
        self._apply(state, "store")

    def hear(self, state: Evacuations, address: str) -> None:
        """Applies a state that another daemon knows.

        Args:
            state: The state.
            address: Address of that daemon.
        """
        self._apply(state, address)

    def _apply(self, state: Evacuations, source: str) -> None:
        if not state.is_newer_than(self._newest):
            return
        before, self._newest = self._newest, state
        if state.data_centres == before.data_centres:
            return
        logs.event(
            "evacuations_changed",
            data_centres=",".join(sorted(state.data_centres)),
            revision=state.revision,
            era=state.era,
            source=source,
        )
        self.on_change(source == "store")


def _ignore(is_read: bool) -> None:
    del is_read
