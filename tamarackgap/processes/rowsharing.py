"""Sends rows that were just written to the other daemons."""

import collections

from tamarackgap.network import scheduler
from tamarackgap.ownership import effects, ownership
from tamarackgap.peers import messages, transport
from tamarackgap.traffic import dispatcher, relays

# Number of the last updates that a relay remembers.
_UPDATES_KEPT = 200


class RowSharer:
    """Sends rows to all daemons, in a large deployment with relays."""

    def __init__(
        self,
        core: ownership.Ownership,
        peer_transport: transport.PeerTransport,
        request_dispatcher: dispatcher.Dispatcher,
        timers: scheduler.Scheduler,
    ) -> None:
        """Creates an instance that has passed nothing on.

        Args:
            core: Holds the table's records of all daemons.
            peer_transport: Sends messages to them.
            request_dispatcher: Tells which daemons have been heard from lately.
            timers: The loop's scheduler.
        """
        self._core = core
        self._transport = peer_transport
        self._dispatcher = request_dispatcher
        self._timers = timers
        # Key, era and revision of the first row of each update that has reached
        # this data centre.
        self._heard: collections.deque[tuple[str, int, int]] = (
            collections.deque(maxlen=_UPDATES_KEPT)
        )

    def share(self, effect: effects.ShareRows) -> None:
        """Sends rows that were just written to all other daemons.

        In a large deployment, relays pass them on in other data centres, except
        to the daemons that the rows are about.
        """
        members = self._core.view.open_records()
        own = self._core.settings
        direct = effect.addresses
        delays = {}
        if relays.are_used(len(members)):
            delays = relays.pass_on_delays(
                own.data_centre, members, self._dispatcher.is_reachable
            )
            direct &= effect.involved | self._near_addresses()
        direct -= delays.keys() | {own.peer_address}
        update = messages.RowUpdates(effect.rows)
        # Those that the rows are about wait for them.
        self._transport.send_all(
            effect.sender, direct & effect.involved, update
        )
        for address, delay in delays.items():
            self._transport.send_all(
                effect.sender,
                [address],
                messages.RowUpdates(effect.rows, delay),
                can_wait=True,
            )
        self._transport.send_all(
            effect.sender, direct - effect.involved, update, can_wait=True
        )

    def pass_on(self, update: messages.RowUpdates) -> None:
        """Passes rows on within the data centre, if this relay is to do so.

        The relays of lower rank do nothing if they have heard by then that
        another one has done so.
        """
        if not update.rows:
            return
        row = update.rows[0]
        first = (row.key, row.era, row.revision)
        if update.pass_on_after is None:
            self._heard.append(first)
            return

        def send_unless_heard() -> None:
            if first not in self._heard:
                self._transport.send_all(
                    self._core.incarnation,
                    self._near_addresses() - {self._core.settings.peer_address},
                    messages.RowUpdates(update.rows),
                    can_wait=True,
                )

        if update.pass_on_after:
            self._timers.after(update.pass_on_after, send_unless_heard)
        else:
            send_unless_heard()

    def _near_addresses(self) -> set[str]:
        return {
            record.peer_address
            for record in self._core.view.open_records()
            if record.data_centre == self._core.settings.data_centre
        }
