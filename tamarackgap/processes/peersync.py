"""What a router tells the others of its target, and hears of theirs."""

from collections.abc import Callable

from tamarackgap import logs, types
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.peers import calls, messages, transport
from tamarackgap.traffic import crashes, dispatcher, routetable, runner

# Each daemon tells all others of its target so often. With more daemons it is
# seldom, so that one spends at most a hundred messages a second on it: entries
# learn of load from answers as well (`make bench`, loads: 75 entries serve as
# many in their aim when they are told each second as each half).
_STATUS_S = 0.25
_STATUS_EACH_S = 0.01
_STATUS_MOST_S = 1.0
# Daemons tell each other at once of what they have written; what got lost is
# read from the table after a pause. Each change wakes all who wait for one: the
# pause grows with the daemons, so that their reads together do not. It stays
# short beside the time for which an owner may go without reading, seconds.
_READ_PAUSE_S = 1.0
_READ_PAUSE_EACH_S = 0.05
_READ_PAUSE_MOST_S = 4.0
# Another daemon is asked for its newer table at most this often.
_ASK_TABLE_S = 0.2


def status_interval(daemons: int) -> float:
    """Returns how often a daemon tells all others of its target, seconds."""
    return min(max(_STATUS_S, daemons * _STATUS_EACH_S), _STATUS_MOST_S)


def read_pause(daemons: int) -> float:
    """Returns how long changes of the table are gathered, seconds."""
    return min(
        max(_READ_PAUSE_S, daemons * _READ_PAUSE_EACH_S), _READ_PAUSE_MOST_S
    )


class PeerSync:
    """The other daemons, as far as targets and route tables go."""

    def __init__(
        self,
        core: ownership.Ownership,
        links: transport.PeerTransport,
        run: runner.Runner,
        entry: dispatcher.Dispatcher,
        crashed: crashes.CrashHistory,
        timers: scheduler.Scheduler,
        table: Callable[[], routetable.RouteTable | None],
    ) -> None:
        """Creates one whose peers have been told nothing.

        Args:
            core: Knows the daemons.
            links: Links to them.
            run: Calls for the target here.
            entry: Is told of all targets, the one here included.
            crashed: Contents that were at targets when these crashed.
            timers: The loop's scheduler.
            table: Returns the route table in force here.
        """
        self._core = core
        self._links = links
        self._runner = run
        self._entry = entry
        self._crashes = crashed
        self._timers = timers
        self._table = table
        self._asked_table = float("-inf")
        # The first incarnation names the process: each id is used only once.
        self._process = core.incarnation
        self._interval = _STATUS_S
        # Daemons that were told of the target here, and up to which version
        # of the rows they were looked for.
        self._told: set[types.Incarnation] = set()
        self._told_at = -1
        timers.after(_STATUS_S, self._tell_regularly)

    def receive(self, envelope: messages.Envelope) -> bool:
        """Takes a message in; returns whether it was for this part."""
        match envelope.message:
            case calls.TargetStatus() as status:
                self._entry.update_status(
                    envelope.sender, envelope.address, status
                )
                self._heard_version(status.version, envelope.address)
            case calls.TargetCrash() as news:
                self._note_crash(news)
            case calls.ContentCleared(fingerprint=content):
                self._crashes.clear(content)
            case calls.RouteTableRequest():
                table = self._table()
                if table is not None:
                    news = calls.RouteTableUpdate(table.source)
                    self._send(envelope.address, news)
            case _:
                return False
        return True

    def broadcast_status(self) -> None:
        """Tells all of the target here."""
        status = self._status()
        own = self._core.incarnation
        self._entry.update_status(own, self._core.settings.peer_address, status)
        self._told = {
            record.incarnation for record in self._core.view.members()
        }
        self._tell(status)

    def update_new_daemons(self) -> None:
        """Tells daemons that have just joined what target is here.

        They have callers already, and know of no target but their own.
        """
        if self._core.view.version == self._told_at:
            return
        self._told_at = self._core.view.version
        status = self._status()
        own = self._core.settings.peer_address
        for record in self._core.view.members():
            if record.incarnation in self._told:
                continue
            self._told.add(record.incarnation)
            if record.peer_address != own:
                self._send(record.peer_address, status)

    def broadcast_crash(self) -> None:
        """Tells all what the target here ran when it crashed."""
        ended = self._runner.pop_crashed_runs()
        if not ended:
            return
        now = self._timers.now
        news = calls.TargetCrash(
            {content: (now - begun, now - end) for content, begun, end in ended}
        )
        logs.event("target_crashed", contents=len(news.fingerprints))
        self._note_crash(news)
        self._tell(news)

    def broadcast_cleared(self, content: str) -> None:
        """Tells all that a content was answered after a crash."""
        self._tell(calls.ContentCleared(content))

    def _tell_regularly(self) -> None:
        self._interval = status_interval(len(self._told))
        self.broadcast_status()
        self._timers.after(self._interval, self._tell_regularly)

    def _status(self) -> calls.TargetStatus:
        queue = self._runner.queue
        table = self._table()
        return calls.TargetStatus(
            types.ServiceName(self._core.settings.service),
            self._runner.accepting,
            queue.capacity,
            queue.running,
            queue.waiting,
            queue.relative_latency,
            table.version if table is not None else 0,
            types.DataCentre(self._core.settings.data_centre),
            self._process,
            self._interval,
        )

    def _note_crash(self, news: calls.TargetCrash) -> None:
        now = self._timers.now
        for content, (begun, ended) in news.fingerprints.items():
            if self._crashes.record(content, now - begun, now - ended):
                logs.event(
                    "content_barred", content=content, s=crashes.BAR_TIME_S
                )

    def _heard_version(self, version: int, address: str) -> None:
        """Asks for a newer table, in case the store is out of reach here."""
        table = self._table()
        known = table.version if table is not None else 0
        now = self._timers.now
        if version > known and now - self._asked_table > _ASK_TABLE_S:
            self._asked_table = now
            self._send(address, calls.RouteTableRequest())

    def _tell(self, message: messages.Message) -> None:
        own = self._core.settings.peer_address
        addresses = {
            record.peer_address for record in self._core.view.members()
        }
        # Those that have left their lease still have callers.
        addresses |= self._entry.addresses()
        self._links.send_all(self._core.incarnation, addresses - {own}, message)

    def _send(self, address: str, message: messages.Message) -> None:
        self._links.send(self._core.incarnation, address, message)
