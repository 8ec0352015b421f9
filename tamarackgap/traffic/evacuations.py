"""Keeps which data centres' targets the operators want to get no calls."""

from collections.abc import Callable

import msgspec

from tamarackgap import logs, types


class Evacuations(msgspec.Struct, frozen=True):
    """All evacuated data centres, as they were at one revision of the store.

    Revisions order all changes, so of two such states the one with the higher
    revision is the newer one, also where it has fewer data centres.

    Attributes:
        data_centres: The evacuated data centres.
        revision: The revision; 0 if nothing is known.
    """

    data_centres: frozenset[types.DataCentre] = frozenset()
    revision: int = 0


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
        if state.revision <= self._newest.revision:
            return
        before, self._newest = self._newest, state
        if state.data_centres == before.data_centres:
            return
        logs.event(
            "evacuations_changed",
            data_centres=",".join(sorted(state.data_centres)),
            revision=state.revision,
            source=source,
        )
        self.on_change(source == "store")


def _ignore(is_read: bool) -> None:
    del is_read
