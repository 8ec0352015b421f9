"""One daemon: the parts, put together on one loop and one thread."""

import functools
import gc
import random
import signal
import time

import circuits
from circuits.web import servers

from tamarackgap import logs, metrics
from tamarackgap.network import httpclient, scheduler, sockets
from tamarackgap.ownership import effects, ownership
from tamarackgap.peers import messages, transport
from tamarackgap.processes import ownershipsettings
from tamarackgap.requests import (
    dedup,
    executor,
    forwarder,
    granting,
    pages,
    quarantine,
    retries,
    targetclient,
    web,
)
from tamarackgap.settings import config
from tamarackgap.table import tableclient, tablereader

_TICK_S = 0.04
_GAUGES_S = 0.5
_RESIZE_S = 0.1
_LOAD_S = 1.0
_ENVELOPE_BYTES = 65_536
_RETRY_BURST = 100.0
_FIRST_ANNOUNCEMENT_S = 1.0
_LEAVE_LIMIT_S = 10.0
_SUSPECTS_KEPT_S = 600.0
_SUSPECTS_LIMIT = 10_000


class Daemon(circuits.Component):
    """A process of the system, beside one target."""

    channel = "daemon"

    def __init__(self, settings: config.Config) -> None:
        """Binds all addresses.

        Raises:
            OSError: If an address can't be bound.
        """
        super().__init__()
        self._settings = settings
        self._rng = random.Random()
        self._poller = sockets.Poller().register(self)
        self._timers = scheduler.Scheduler().register(self)
        clock = time.monotonic
        self._http = httpclient.HttpClient(self._poller, self._timers)
        self._http.register(self)
        self._metrics = metrics.Metrics(
            settings.daemon_name, settings.daemon_service
        )
        self._target = targetclient.TargetClient(
            self._http,
            clock,
            settings.target_silence / 1000,
            settings.requests_answer,
        )
        self._core = ownership.Ownership(
            ownershipsettings.from_config(settings),
            self._rng,
            self._busy,
            clock(),
        )
        self._peers = transport.PeerTransport(
            self._poller,
            self._timers,
            settings.daemon_deployment,
            settings.daemon_peer_address,
            settings.requests_body + settings.requests_answer + _ENVELOPE_BYTES,
            self._receive,
        )
        self._table = tableclient.TableClient(
            self._http, settings.table_address, settings.table_timeout / 1000
        )
        self._reader = tablereader.TableReader(
            self._table,
            self._core,
            self._timers,
            self._rng,
            settings.table_poll / 1000,
            self._was_read,
        )
        self._granter = granting.Granter(
            self._core, self._target, settings.ownership_lease / 1000, clock
        )
        self._suspects = quarantine.Quarantine(
            _SUSPECTS_KEPT_S, _SUSPECTS_LIMIT
        )
        self._owner = executor.Executor(
            self._core,
            self._target,
            dedup.DedupCache(
                settings.requests_window,
                settings.requests_remembered,
                settings.requests_skew,
            ),
            self._suspects,
            self._tell_crashed,
            clock,
            _wall_ms,
            self._metrics,
        )
        self._entry = forwarder.Forwarder(
            self._core,
            self._owner,
            self._peers,
            self._timers,
            retries.RetryBudget(settings.requests_retries / 100, _RETRY_BURST),
            self._rng,
            self._metrics,
        )
        self._server = servers.BaseServer(
            settings.daemon_http_address, display_banner=False
        ).register(self)
        self._web = web.Web(
            settings,
            self._timers,
            self._entry,
            self._announced,
            pages.build(
                self._core, self._target, self._owner, self._entry, clock
            ),
            self._metrics.render,
        ).register(self)
        self._started = clock()
        self._leave_by: float | None = None
        self._stopped = False
        self._last_turn = clock()
        self._longest_turn = 0.0
        self._begin()

    def _busy(self, slot: int) -> bool:
        return self._owner.is_slot_busy(slot)

    def _begin(self) -> None:
        settings = self._settings
        logs.event(
            "started",
            incarnation=self._core.incarnation,
            service=settings.daemon_service,
            data_centre=settings.daemon_data_centre,
            http=settings.daemon_http_address,
            peers=settings.daemon_peer_address,
        )
        self._timers.each_iteration(self._measure_turn)
        self._timers.every(_TICK_S, self._tick)
        self._timers.every(_RESIZE_S, self._resize)
        self._timers.every(_GAUGES_S, self._set_gauges)
        self._timers.every(_LOAD_S, self._tell_load)
        self._reader.poll()

    # The loop's turns.

    def _measure_turn(self) -> None:
        now = time.monotonic()
        self._longest_turn = max(self._longest_turn, now - self._last_turn)
        self._last_turn = now

    def _tick(self) -> None:
        now = time.monotonic()
        leaving = self._leave_by is not None
        if (
            self._target.announcement is not None
            or now - self._started > _FIRST_ANNOUNCEMENT_S
        ):
            self._core.set_target_state(
                self._target.takes_work
                and self._owner.is_target_healthy()
                and not leaving,
                self._target.checks_grants,
            )
            self._core.tick(now)
        self._carry_out()
        self._release_if_useless(now)
        if leaving:
            self._leave(now)

    def _resize(self) -> None:
        policy = self._core.view.policy(
            self._settings.daemon_service, self._settings.daemon_data_centre
        )
        self._owner.apply_limits(policy)

    def _tell_load(self) -> None:
        self._core.report_load(self._owner.slot_loads(), time.monotonic())
        self._carry_out()

    def _carry_out(self) -> None:
        for effect in self._core.take_effects():
            match effect:
                case effects.Send(
                    sender=sender, address=address, message=message
                ):
                    self._peers.send(sender, address, message)
                case effects.Commit(change=change):
                    self._table.commit(
                        change.transaction,
                        functools.partial(
                            self._committed, change.transaction.change
                        ),
                    )
                case effects.LogLine(event=event, fields=fields):
                    self._log_decision(event, fields)
                case effects.ReadTable():
                    self._reader.read_soon()
        self._granter.renew()

    def _log_decision(self, event: str, fields: dict[str, object]) -> None:
        logs.event(event, incarnation=self._core.incarnation, **fields)
        if event == "routes_claimed":
            self._entry.fail_owner(str(fields["owner"]))

    def _receive(self, envelope: messages.Envelope) -> None:
        match envelope.message:
            case messages.Forward() as forward:
                self._owner.submit(
                    forward, functools.partial(self._reply, envelope.address)
                )
            case messages.ForwardReply() as outcome:
                self._entry.handle_reply(outcome)
            case messages.Cancel(leg=leg):
                self._owner.cancel(leg)
            case messages.CrashReport() as crashed:
                self._learn_crashed(crashed)
            case _:
                self._core.receive(envelope, time.monotonic())
                self._carry_out()

    def _tell_crashed(self, crashed: messages.CrashReport) -> None:
        for record in self._core.view.members(self._settings.daemon_service):
            if record.incarnation != self._core.incarnation:
                self._peers.send(
                    self._core.incarnation, record.peer_address, crashed
                )

    def _learn_crashed(self, crashed: messages.CrashReport) -> None:
        standing = quarantine.QuarantineState.SUSPECTED
        if crashed.exclusive:
            standing = quarantine.QuarantineState.BLOCKED
        for content in crashed.fingerprints:
            self._suspects.add(content, standing, time.monotonic())

    def _reply(self, address: str, outcome: messages.ForwardReply) -> None:
        self._peers.send(self._core.incarnation, address, outcome)

    # The table.

    def _was_read(self) -> None:
        addresses = {record.peer_address for record in self._core.view.leases()}
        self._peers.set_peers(addresses)
        self._carry_out()

    def _committed(
        self,
        change: str,
        state: effects.CommitState,
        rows: list,
    ) -> None:
        now = time.monotonic()
        if state is not effects.CommitState.UNKNOWN:
            self._reader.record_answer()
        self._core.handle_commit_result(change, state, rows, now)
        self._carry_out()

    # The target.

    def _announced(self, announcement: targetclient.Announcement) -> str | None:
        wrong = targetclient.announcement_error(
            announcement, self._settings.daemon_service
        )
        if wrong is None:
            self._target.record_announcement(announcement)
            self._resize()
        return wrong

    # Leaving.

    def _release_if_useless(self, now: float) -> None:
        """Lets successors serve at once, where this daemon can't.

        While the table answers, slots are handed over through it instead.
        """
        if (
            self._core.accepting
            or not self._core.owned
            or not self._reader.is_unreachable(now)
            or self._owner.in_progress
        ):
            return
        self._core.release_lease(now)
        self._carry_out()

    @circuits.handler("signal", channel="*")
    def _on_signal(
        self, event: circuits.Event, number: int, stack: object
    ) -> None:
        del stack
        if number in (signal.SIGTERM, signal.SIGINT):
            event.stop()
            if self._leave_by is None:
                logs.event("draining", signal=number)
                self._leave_by = time.monotonic() + _LEAVE_LIMIT_S
                self._web.draining = True
                self._core.drain()

    def _leave(self, now: float) -> None:
        """Ends the process, once nothing depends on it any more."""
        if self._stopped:
            return
        gone = self._core.view.lease(self._core.incarnation) is None
        idle = not self._entry.in_flight and not self._owner.in_progress
        if (gone and idle and not self._core.owned) or now > self._leave_by:
            if self._core.owned:
                self._core.release_lease(now)
                self._carry_out()
            logs.event("stopped", in_progress=self._owner.in_progress)
            self._stopped = True
            self._timers.after(_TICK_S, self.stop)

    def _set_gauges(self) -> None:
        now = time.monotonic()
        left = self._core.lease_until() - now
        values = {
            "owned_slots": len(self._core.owned),
            "lease_left_seconds": max(0.0, left),
            "epoch": self._core.epoch,
            "in_progress": self._owner.in_progress,
            "queued": self._owner.queued,
            "table_revision": self._core.view.cursor,
            "table_reads": self._table.reads,
            "table_writes": self._table.writes,
            "peer_messages_sent": self._peers.sent_messages,
            "peer_bytes_sent": self._peers.sent_bytes,
            "peer_messages_dropped": self._peers.dropped_messages,
            "peer_frames_malformed": self._peers.malformed_frames,
            "renewal_lateness_seconds": self._core.renewal_lateness,
            "loop_pause_seconds": self._longest_turn,
        }
        for name, value in values.items():
            self._metrics.set_gauge(name, value)


def _wall_ms() -> int:
    return int(time.time() * 1000)


def run(settings: config.Config) -> None:
    """Runs a daemon until it has drained after SIGTERM.

    Raises:
        OSError: If an address can't be bound.
    """
    logs.start(settings.daemon_log, settings.daemon_name)
    daemon = Daemon(settings)
    # What exists by now stays: collections need not look at it again.
    gc.collect()
    gc.freeze()
    daemon.run()
    # Libraries report what is still held when the interpreter ends.
    gc.unfreeze()
