"""The daemon with this project's own HTTP interface.

Its components run on one event loop and one thread.
"""

import functools
import gc
import random
import signal
import time

import circuits
from circuits.web import servers

from tamarackgap import logs, metrics
from tamarackgap.network import (
    bytebudget,
    httpclient,
    scheduler,
    sockets,
)
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

_TICK_INTERVAL_S = 0.04
_GAUGES_INTERVAL_S = 0.5
_LIMITS_INTERVAL_S = 0.1
_LOAD_REPORT_INTERVAL_S = 1.0
_ENVELOPE_OVERHEAD_BYTES = 65_536
_RETRY_BURST = 100.0
# After this time a daemon joins even if its target has announced nothing.
_FIRST_ANNOUNCEMENT_WAIT_S = 1.0
_DRAIN_TIMEOUT_S = 10.0
_QUARANTINE_TIME_S = 600.0
_MAX_QUARANTINED = 10_000


class Daemon(circuits.Component):
    """Holds the components of a daemon and passes events between them.

    It serves callers by HTTP, and runs requests at the local target.
    """

    channel = "daemon"

    def __init__(self, settings: config.Config) -> None:
        """Binds all addresses and starts the periodic work.

        Args:
            settings: The daemon's settings.

        Raises:
            OSError: If an address can't be bound.
        """
        super().__init__()
        self._settings = settings
        self._rng = random.Random()
        self._poller = sockets.Poller().register(self)
        self._timers = scheduler.Scheduler().register(self)
        clock = time.monotonic
        self._http_client = httpclient.HttpClient(
            self._poller,
            self._timers,
            bytebudget.ByteBudget(settings.message_memory),
        )
        self._http_client.register(self)
        self._metrics = metrics.Metrics(
            settings.daemon_name, settings.daemon_service
        )
        self._target_client = targetclient.TargetClient(
            self._http_client,
            clock,
            settings.target_silence / 1000,
            settings.requests_answer,
        )
        self._core = ownership.Ownership(
            ownershipsettings.from_config(settings),
            self._rng,
            self._is_slot_busy,
            clock(),
        )
        self._transport = transport.PeerTransport(
            self._poller,
            self._timers,
            settings.daemon_deployment,
            settings.daemon_peer_address,
            settings.requests_body
            + settings.requests_answer
            + _ENVELOPE_OVERHEAD_BYTES,
            self._receive,
        )
        self._table_client = tableclient.TableClient(
            self._http_client,
            settings.table_address,
            settings.table_timeout / 1000,
        )
        self._table_reader = tablereader.TableReader(
            self._table_client,
            self._core,
            self._timers,
            self._rng,
            settings.table_poll / 1000,
            self._handle_table_read,
        )
        self._granter = granting.Granter(
            self._core,
            self._target_client,
            settings.ownership_lease / 1000,
            clock,
        )
        self._quarantine = quarantine.Quarantine(
            _QUARANTINE_TIME_S, _MAX_QUARANTINED
        )
        self._executor = executor.Executor(
            self._core,
            self._target_client,
            dedup.DedupCache(
                settings.requests_window,
                settings.requests_remembered,
                settings.requests_skew,
            ),
            self._quarantine,
            self._broadcast_crash,
            clock,
            _wall_ms,
            self._metrics,
        )
        self._forwarder = forwarder.Forwarder(
            self._core,
            self._executor,
            self._transport,
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
            self._forwarder,
            self._handle_announcement,
            pages.build(
                self._core,
                self._target_client,
                self._executor,
                self._forwarder,
                clock,
            ),
            self._metrics.render,
        ).register(self)
        self._started_at = clock()
        self._drain_deadline: float | None = None
        self._stopped = False
        self._last_iteration_at = clock()
        self._longest_iteration_s = 0.0
        self._start_periodic_work()

    def _is_slot_busy(self, slot: int) -> bool:
        return self._executor.is_slot_busy(slot)

    def _start_periodic_work(self) -> None:
        settings = self._settings
        logs.event(
            "started",
            incarnation=self._core.incarnation,
            service=settings.daemon_service,
            data_centre=settings.daemon_data_centre,
            http=settings.daemon_http_address,
            peers=settings.daemon_peer_address,
        )
        self._timers.each_iteration(self._measure_iteration)
        self._timers.every(_TICK_INTERVAL_S, self._tick)
        self._timers.every(_LIMITS_INTERVAL_S, self._apply_limits)
        self._timers.every(_GAUGES_INTERVAL_S, self._set_gauges)
        self._timers.every(_LOAD_REPORT_INTERVAL_S, self._report_load)
        self._table_reader.poll()

    # Periodic work.

    def _measure_iteration(self) -> None:
        now = time.monotonic()
        self._longest_iteration_s = max(
            self._longest_iteration_s, now - self._last_iteration_at
        )
        self._last_iteration_at = now

    def _tick(self) -> None:
        now = time.monotonic()
        draining = self._drain_deadline is not None
        if (
            self._target_client.announcement is not None
            or now - self._started_at > _FIRST_ANNOUNCEMENT_WAIT_S
        ):
            self._core.set_target_state(
                self._target_client.accepts_requests
                and self._executor.is_target_healthy()
                and not draining,
                self._target_client.checks_grants,
            )
            self._core.tick(now)
        self._perform_effects()
        self._release_without_table(now)
        if draining:
            self._stop_when_idle(now)

    def _apply_limits(self) -> None:
        policy = self._core.view.policy(
            self._settings.daemon_service, self._settings.daemon_data_centre
        )
        self._executor.apply_limits(policy)

    def _report_load(self) -> None:
        self._core.report_load(self._executor.slot_loads(), time.monotonic())
        self._perform_effects()

    def _perform_effects(self) -> None:
        for effect in self._core.take_effects():
            match effect:
                case effects.Send(
                    sender=sender, address=address, message=message
                ):
                    self._transport.send(sender, address, message)
                case effects.ShareRows(
                    sender=sender, rows=rows, addresses=addresses
                ):
                    self._transport.send_all(
                        sender, addresses, messages.RowUpdates(rows)
                    )
                case effects.Commit(change=change):
                    self._table_client.commit(
                        change.transaction,
                        functools.partial(
                            self._handle_commit_result,
                            change.transaction.change,
                        ),
                    )
                case effects.LogLine(event=event, fields=fields):
                    self._log_event(event, fields)
                case effects.ReadTable():
                    self._table_reader.read_soon()
        self._granter.renew()

    def _log_event(self, event: str, fields: dict[str, object]) -> None:
        logs.event(event, incarnation=self._core.incarnation, **fields)
        if event == "routes_claimed":
            self._forwarder.fail_owner(str(fields["owner"]))

    # Other daemons.

    def _receive(self, envelope: messages.Envelope) -> None:
        match envelope.message:
            case messages.Forward() as forward:
                self._executor.submit(
                    forward,
                    functools.partial(self._send_reply, envelope.address),
                )
            case messages.ForwardReply() as reply:
                self._forwarder.handle_reply(reply)
            case messages.Cancel(leg=leg):
                self._executor.cancel(leg)
            case messages.CrashReport() as report:
                self._apply_crash_report(report)
            case _:
                self._core.receive(envelope, time.monotonic())
                self._perform_effects()

    def _broadcast_crash(self, report: messages.CrashReport) -> None:
        for record in self._core.view.open_records(
            self._settings.daemon_service
        ):
            if record.incarnation != self._core.incarnation:
                self._transport.send(
                    self._core.incarnation, record.peer_address, report
                )

    def _apply_crash_report(self, report: messages.CrashReport) -> None:
        state = quarantine.QuarantineState.SUSPECTED
        if report.exclusive:
            state = quarantine.QuarantineState.BLOCKED
        for fingerprint in report.fingerprints:
            self._quarantine.add(fingerprint, state, time.monotonic())

    def _send_reply(self, address: str, reply: messages.ForwardReply) -> None:
        self._transport.send(self._core.incarnation, address, reply)

    # The table.

    def _handle_table_read(self) -> None:
        addresses = {record.peer_address for record in self._core.view.leases()}
        self._transport.set_peers(addresses)
        self._perform_effects()

    def _handle_commit_result(
        self,
        change: str,
        state: effects.CommitState,
        rows: list,
    ) -> None:
        now = time.monotonic()
        if state is not effects.CommitState.UNKNOWN:
            self._table_reader.record_answer()
        self._core.handle_commit_result(change, state, rows, now)
        self._perform_effects()

    # The target.

    def _handle_announcement(
        self, announcement: targetclient.Announcement
    ) -> str | None:
        error = targetclient.announcement_error(
            announcement, self._settings.daemon_service
        )
        if error is None:
            self._target_client.record_announcement(announcement)
            self._apply_limits()
        return error

    # Shutdown.

    def _release_without_table(self, now: float) -> None:
        """Releases the lease if this daemon can't serve and the table is down.

        While the table answers, slots move to their successors through it
        instead.
        """
        if (
            self._core.accepting
            or not self._core.owned
            or not self._table_reader.is_unreachable(now)
            or self._executor.in_progress
        ):
            return
        self._core.release_lease(now)
        self._perform_effects()

    @circuits.handler("signal", channel="*")
    def _on_signal(
        self, event: circuits.Event, number: int, stack: object
    ) -> None:
        del stack
        if number in (signal.SIGTERM, signal.SIGINT):
            event.stop()
            if self._drain_deadline is None:
                logs.event("draining", signal=number)
                self._drain_deadline = time.monotonic() + _DRAIN_TIMEOUT_S
                self._web.draining = True
                self._core.drain()

    def _stop_when_idle(self, now: float) -> None:
        """Ends the process once it is idle or the drain timeout is over."""
        if self._stopped:
            return
        has_left = self._core.view.lease(self._core.incarnation) is None
        idle = not self._forwarder.in_flight and not self._executor.in_progress
        if (
            has_left and idle and not self._core.owned
        ) or now > self._drain_deadline:
            # Requests that still run may take effect until the lease has ended.
            if self._core.owned and not self._executor.in_progress:
                self._core.release_lease(now)
                self._perform_effects()
            logs.event("stopped", in_progress=self._executor.in_progress)
            self._stopped = True
            self._timers.after(_TICK_INTERVAL_S, self.stop)

    def _set_gauges(self) -> None:
        now = time.monotonic()
        lease_left_s = self._core.lease_until() - now
        values = {
            "owned_slots": len(self._core.owned),
            "lease_left_seconds": max(0.0, lease_left_s),
            "epoch": self._core.epoch,
            "in_progress": self._executor.in_progress,
            "queued": self._executor.queued,
            "table_revision": self._core.view.cursor,
            "table_reads": self._table_client.reads,
            "table_writes": self._table_client.writes,
            "peer_messages_sent": self._transport.sent_messages,
            "peer_bytes_sent": self._transport.sent_bytes,
            "peer_messages_dropped": self._transport.dropped_messages,
            "peer_frames_malformed": self._transport.malformed_frames,
            "renewal_lateness_seconds": self._core.renewal_lateness,
            "loop_pause_seconds": self._longest_iteration_s,
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
    # These objects live as long as the process: garbage collections can
    # skip them.
    gc.collect()
    gc.freeze()
    daemon.run()
    # Frozen objects would still exist when the interpreter ends, and libraries
    # would report them as leaked.
    gc.unfreeze()
