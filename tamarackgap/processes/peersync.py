"""Exchanges target status, crash reports and route tables between routers."""

from collections.abc import Callable

import msgspec

from tamarackgap import logs, types
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.peers import calls, messages, transport
from tamarackgap.processes import routetables
from tamarackgap.traffic import (
    crashes,
    dispatcher,
    evacuations,
    leavings,
    relays,
    runner,
    statusintervals,
)


class PeerSync:
    """Sends the other daemons the state of the target and route table here.

    It also applies what they send about theirs, and passes on what it has heard
    if this daemon is a relay of its data centre.
    """

    def __init__(
        self,
        core: ownership.Ownership,
        peer_transport: transport.PeerTransport,
        call_runner: runner.Runner,
        request_dispatcher: dispatcher.Dispatcher,
        crash_history: crashes.CrashHistory,
        timers: scheduler.Scheduler,
        route_tables: routetables.RouteTableKeeper,
        evacuation_keeper: evacuations.EvacuationKeeper | None = None,
        leaving_memory: leavings.LeavingMemory | None = None,
        get_left: Callable[[], tuple[types.TargetProcess, ...]] = tuple,
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
            route_tables: Holds the route table in force here.
            evacuation_keeper: Holds which data centres are evacuated.
            leaving_memory: Holds which targets of other daemons have left.
            get_left: Returns the processes of the local target that have left.
        """
        self._core = core
        self._transport = peer_transport
        self._runner = call_runner
        self._dispatcher = request_dispatcher
        self._crash_history = crash_history
        self._timers = timers
        self._route_tables = route_tables
        self._evacuations = evacuation_keeper or evacuations.EvacuationKeeper()
        self._leavings = leaving_memory or leavings.LeavingMemory(timers)
        self._get_left = get_left
        # The incarnation at the start identifies the process, since each id is
        # used only once.
        self._process = core.incarnation
        self._status_interval = statusintervals.MIN_INTERVAL_S
        self._rounds_per_far_status = 1
        self._round = 0
        # Daemons that were sent a status, and the version of the table's rows
        # in which new daemons were last looked for.
        self._informed: set[types.Incarnation] = set()
        self._informed_version = -1
        # Whether this daemon sends digests to other data centres.
        self._is_relay = False
        timers.after(self._status_interval, self._broadcast_periodically)
        timers.after(relays.DIGEST_INTERVAL_S, self._relay_periodically)

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
                self._leavings.hear(envelope.address, status)
                self._record_load(envelope.sender, status, 0.0)
                self._hear_operators(status, envelope.address)
            case calls.StatusDigest() as digest:
                self._apply_digest(digest)
            case calls.TargetCrash() as crash:
                self._record_crash(crash)
            case calls.FingerprintCleared(fingerprint=fingerprint):
                self._crash_history.clear(fingerprint)
            case calls.RouteTableRequest(version=version):
                self._route_tables.send_table(envelope.address, version)
            case calls.RouteTableHolders(addresses=addresses):
                self._route_tables.handle_holders(addresses, envelope.address)
            case _:
                return False
        return True

    def broadcast_status(self) -> None:
        """Sends the local target's status to all daemons."""
        self._send_status(is_to_all=True)

    def _send_status(self, is_to_all: bool) -> None:
        """Sends the status to near daemons, and to all or some of the others.

        Unless it is for all, far daemons take turns, so that the messages are
        spread over time; where there are relays, far daemons get it from them.
        """
        own = self._core.settings.peer_address
        self._dispatcher.update_status(
            self._core.incarnation, own, self._status(self._status_interval)
        )
        members = self._core.view.open_records()
        self._informed = {record.incarnation for record in members}
        far = {
            record.peer_address
            for record in members
            if record.data_centre != self._core.settings.data_centre
        }
        near = self._peer_addresses() - far
        far_interval = self._far_interval(len(members))
        if not is_to_all and relays.are_used(len(members)):
            far = set()
        elif not is_to_all:
            self._round = (self._round + 1) % self._rounds_per_far_status
            turns = self._rounds_per_far_status
            far = set(sorted(far)[self._round :: turns])
        for addresses, interval in (
            (near, self._status_interval),
            (far, far_interval),
        ):
            self._transport.send_all(
                self._core.incarnation,
                addresses - {own},
                self._status(interval),
                can_wait=not is_to_all,
            )

    @staticmethod
    def _far_interval(daemons: int) -> float:
        """Returns the time until far daemons hear of a target again."""
        interval = statusintervals.near_interval(
            daemons
        ) * statusintervals.rounds_per_far_status(daemons)
        if relays.are_used(daemons):
            interval = max(interval, relays.reported_interval(daemons))
        return interval

    def _apply_digest(self, digest: calls.StatusDigest) -> None:
        own = self._core.settings.peer_address
        for heard in digest.statuses:
            if heard.address == own:
                continue
            self._dispatcher.update_status(
                heard.incarnation, heard.address, heard.status, heard.age
            )
            self._record_load(heard.incarnation, heard.status, heard.age)
            self._hear_operators(heard.status, heard.address)
        if not digest.passes_on:
            return
        near = {
            record.peer_address
            for record in self._core.view.open_records()
            if record.data_centre == self._core.settings.data_centre
        }
        self._transport.send_all(
            self._core.incarnation,
            near - {own},
            calls.StatusDigest(digest.statuses, passes_on=False),
            can_wait=True,
        )

    def _hear_operators(self, status: calls.TargetStatus, address: str) -> None:
        """Handles what another daemon knows of the operators' table."""
        self._evacuations.hear(
            evacuations.Evacuations(
                frozenset(status.evacuated),
                status.evacuated_as_of,
                status.evacuated_era,
            ),
            address,
        )
        self._route_tables.hear_version(
            status.route_table_version, status.route_table_as_of, address
        )
        self._route_tables.hear_lost_calls(status.calls_lost_before)

    def _record_load(
        self, incarnation: str, status: calls.TargetStatus, age: float
    ) -> None:
        """Records the load of a member of the service here.

        Members send their load to some members as well; where there are many,
        most would know it only seconds later.
        """
        if status.service == self._core.settings.service:
            self._core.record_member_load(
                incarnation,
                status.load,
                self._timers.now - age,
                status.speed,
            )

    def _relay_periodically(self) -> None:
        """Sends a digest of this data centre's targets, if this is a relay."""
        members = self._core.view.open_records()
        interval = relays.digest_interval(len(members))
        self._timers.after(interval, self._relay_periodically)
        if not relays.are_used(len(members)):
            return
        settings = self._core.settings
        receivers = relays.digest_receivers(
            settings.peer_address,
            settings.data_centre,
            members,
            self._dispatcher.is_reachable,
        )
        if bool(receivers) is not self._is_relay:
            self._is_relay = bool(receivers)
            logs.event("status_relay", sends=self._is_relay)
        if not receivers:
            return
        digest = calls.StatusDigest(
            tuple(
                msgspec.structs.replace(
                    heard,
                    status=msgspec.structs.replace(
                        heard.status,
                        interval=relays.reported_interval(len(members)),
                    ),
                )
                for heard in self._dispatcher.digest(settings.data_centre)
            ),
            passes_on=True,
        )
        self._transport.send_all(
            self._core.incarnation, receivers, digest, can_wait=True
        )

    def update_new_daemons(self) -> None:
        """Sends the local target's status to daemons that have just joined.

        They already have callers, but the status of no target except their
        own.
        """
        if self._core.view.version == self._informed_version:
            return
        self._informed_version = self._core.view.version
        members = self._core.view.open_records()
        daemons = len(members)
        status = self._status(self._far_interval(daemons))
        own = self._core.settings.peer_address
        for record in members:
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
        # The broadcast counts all daemons as informed, and far ones may not be
        # sent it.
        self.update_new_daemons()
        daemons = len(self._informed)
        self._status_interval = statusintervals.near_interval(daemons)
        self._rounds_per_far_status = statusintervals.rounds_per_far_status(
            daemons
        )
        self._send_status(is_to_all=False)
        self._timers.after(self._status_interval, self._broadcast_periodically)

    def _status(self, interval: float) -> calls.TargetStatus:
        """Returns the local target's status.

        Args:
            interval: Time until the receiver is sent the next one, seconds.
        """
        queue = self._runner.queue
        evacuated = self._evacuations.newest
        return calls.TargetStatus(
            types.ServiceName(self._core.settings.service),
            self._runner.accepting,
            queue.offered_capacity(self._timers.now),
            queue.running,
            queue.waiting,
            queue.relative_latency,
            self._route_tables.version,
            types.DataCentre(self._core.settings.data_centre),
            self._process,
            interval,
            self._core.own_load,
            self._route_tables.as_of_ms,
            self._route_tables.calls_lost_before_ms,
            round(queue.slowdown(self._timers.now), 2),
            self._core.own_speed,
            round(self._runner.way.late_s(self._timers.now), 3),
            tuple(sorted(evacuated.data_centres)),
            evacuated.revision,
            evacuated.era,
            self._get_left(),
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

    def _broadcast(self, message: messages.Message) -> None:
        own = self._core.settings.peer_address
        self._transport.send_all(
            self._core.incarnation, self._peer_addresses() - {own}, message
        )

    def _peer_addresses(self) -> set[str]:
        """Returns the addresses of all daemons, perhaps this one's, too."""
        addresses = {
            record.peer_address for record in self._core.view.open_records()
        }
        # Daemons without an open lease record may still have callers.
        return addresses | self._dispatcher.addresses()

    def _send(self, address: str, message: messages.Message) -> None:
        self._transport.send(self._core.incarnation, address, message)
