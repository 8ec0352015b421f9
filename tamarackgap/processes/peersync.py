"""Exchanges target status, crash reports and route tables between routers."""

from collections.abc import Callable

from tamarackgap import logs, types
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.peers import calls, messages, transport
from tamarackgap.traffic import crashes, dispatcher, routetable, runner

# The time between two status messages to all other daemons grows with their
# number, so that among up to 100 daemons each sends at most a hundred of them a
# second. Daemons learn the load of targets from completions as well: with 75
# daemons, an interval of 1 s met the latency objective as often as one of 0.5 s
# (`make bench`, loads).
_MIN_STATUS_INTERVAL_S = 0.25
_STATUS_INTERVAL_PER_DAEMON_S = 0.01
_MAX_STATUS_INTERVAL_S = 1.0
# Daemons send their writes to each other at once. Only writes whose messages
# were lost have to be read from the table, after this pause. Each change of the
# table ends the long polls of all daemons, so the pause grows with their number
# to bound the reads of all of them. It stays short compared to the time for
# which an owner may go without reading the table.
_MIN_READ_PAUSE_S = 1.0
_READ_PAUSE_PER_DAEMON_S = 0.05
_MAX_READ_PAUSE_S = 4.0
# Least time between two requests for a newer route table.
_ROUTE_TABLE_REQUEST_INTERVAL_S = 0.2


def status_interval(daemons: int) -> float:
    """Returns the time between two status messages to all, seconds."""
    return min(
        max(_MIN_STATUS_INTERVAL_S, daemons * _STATUS_INTERVAL_PER_DAEMON_S),
        _MAX_STATUS_INTERVAL_S,
    )


def read_pause(daemons: int) -> float:
    """Returns the pause between reads of a changing table, seconds."""
    return min(
        max(_MIN_READ_PAUSE_S, daemons * _READ_PAUSE_PER_DAEMON_S),
        _MAX_READ_PAUSE_S,
    )


class PeerSync:
    """Sends the other daemons the state of the target and route table here.

    It also applies what they send about theirs.
    """

    def __init__(
        self,
        core: ownership.Ownership,
        peer_transport: transport.PeerTransport,
        call_runner: runner.Runner,
        request_dispatcher: dispatcher.Dispatcher,
        crash_history: crashes.CrashHistory,
        timers: scheduler.Scheduler,
        route_table: Callable[[], routetable.RouteTable | None],
    ) -> None:
        """Creates an instance that has sent nothing, and schedules broadcasts.

        Args:
            core: Holds the table's records of all daemons.
            peer_transport: Sends messages to them.
            call_runner: Runs calls at the local target.
            request_dispatcher: Gets the status of all targets, including the
                local one.
            crash_history: Records which requests ran at targets that crashed.
            timers: The loop's scheduler.
            route_table: Returns the route table in force here.
        """
        self._core = core
        self._transport = peer_transport
        self._runner = call_runner
        self._dispatcher = request_dispatcher
        self._crash_history = crash_history
        self._timers = timers
        self._route_table = route_table
        self._route_table_requested_at = float("-inf")
        # The incarnation at the start identifies the process, since each id is
        # used only once.
        self._process = core.incarnation
        self._status_interval = _MIN_STATUS_INTERVAL_S
        # Daemons that were sent a status, and the version of the table's rows
        # in which new daemons were last looked for.
        self._informed: set[types.Incarnation] = set()
        self._informed_version = -1
        timers.after(_MIN_STATUS_INTERVAL_S, self._broadcast_periodically)

    def receive(self, envelope: messages.Envelope) -> bool:
        """Handles a message about targets or route tables.

        Returns:
            Whether it was one.
        """
        match envelope.message:
            case calls.TargetStatus() as status:
                self._dispatcher.update_status(
                    envelope.sender, envelope.address, status
                )
                self._request_table_if_newer(
                    status.route_table_version, envelope.address
                )
            case calls.TargetCrash() as crash:
                self._record_crash(crash)
            case calls.FingerprintCleared(fingerprint=fingerprint):
                self._crash_history.clear(fingerprint)
            case calls.RouteTableRequest():
                table = self._route_table()
                if table is not None:
                    update = calls.RouteTableUpdate(table.source)
                    self._send(envelope.address, update)
            case _:
                return False
        return True

    def broadcast_status(self) -> None:
        """Sends the local target's status to all daemons."""
        status = self._status()
        own = self._core.incarnation
        self._dispatcher.update_status(
            own, self._core.settings.peer_address, status
        )
        self._informed = {
            record.incarnation for record in self._core.view.open_records()
        }
        self._broadcast(status)

    def update_new_daemons(self) -> None:
        """Sends the local target's status to daemons that have just joined.

        They already have callers, but the status of no target except their
        own.
        """
        if self._core.view.version == self._informed_version:
            return
        self._informed_version = self._core.view.version
        status = self._status()
        own = self._core.settings.peer_address
        for record in self._core.view.open_records():
            if record.incarnation in self._informed:
                continue
            self._informed.add(record.incarnation)
            if record.peer_address != own:
                self._send(record.peer_address, status)

    def broadcast_crash(self) -> None:
        """Sends all daemons what the local target ran when it crashed."""
        crashed_runs = self._runner.pop_crashed_runs()
        if not crashed_runs:
            return
        now = self._timers.now
        crash = calls.TargetCrash(
            {
                fingerprint: (now - started_at, now - ended_at)
                for fingerprint, started_at, ended_at in crashed_runs
            }
        )
        logs.event("target_crashed", contents=len(crash.fingerprints))
        self._record_crash(crash)
        self._broadcast(crash)

    def broadcast_cleared(self, fingerprint: str) -> None:
        """Tells all daemons that a request of an earlier crash was answered."""
        self._broadcast(calls.FingerprintCleared(fingerprint))

    def _broadcast_periodically(self) -> None:
        self._status_interval = status_interval(len(self._informed))
        self.broadcast_status()
        self._timers.after(self._status_interval, self._broadcast_periodically)

    def _status(self) -> calls.TargetStatus:
        queue = self._runner.queue
        table = self._route_table()
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
            self._status_interval,
        )

    def _record_crash(self, crash: calls.TargetCrash) -> None:
        now = self._timers.now
        for fingerprint, (start_age, end_age) in crash.fingerprints.items():
            if self._crash_history.record(
                fingerprint, now - start_age, now - end_age
            ):
                logs.event(
                    "content_barred", content=fingerprint, s=crashes.BAR_TIME_S
                )

    def _request_table_if_newer(self, version: int, address: str) -> None:
        """Requests a peer's route table if it is newer than this daemon's.

        This daemon may be unable to read it from the store.
        """
        table = self._route_table()
        current = table.version if table is not None else 0
        now = self._timers.now
        if (
            version > current
            and now - self._route_table_requested_at
            > _ROUTE_TABLE_REQUEST_INTERVAL_S
        ):
            self._route_table_requested_at = now
            self._send(address, calls.RouteTableRequest())

    def _broadcast(self, message: messages.Message) -> None:
        own = self._core.settings.peer_address
        addresses = {
            record.peer_address for record in self._core.view.open_records()
        }
        # Daemons without an open lease record may still have callers.
        addresses |= self._dispatcher.addresses()
        self._transport.send_all(
            self._core.incarnation, addresses - {own}, message
        )

    def _send(self, address: str, message: messages.Message) -> None:
        self._transport.send(self._core.incarnation, address, message)
