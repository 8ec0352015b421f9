"""Simulates daemons together with the targets that they grant slots.

Each daemon has a real target handler, with the orders and grants that it uses;
only the sockets and the targets are simulated. After each step every slot is
checked for two targets that hold it. A grant that a target carries out is
checked for a fence that is not above those of other processes.
"""

import itertools
from unittest import mock

from tamarackgap.network import bytebudget, httpserver, scheduler, sockets
from tamarackgap.ownership import effects
from tamarackgap.peers import messages
from tamarackgap.placement import slots as slots_lib
from tamarackgap.processes import targethandler
from tamarackgap.settings import config, options
from tamarackgap.traffic import (
    adapter,
    crashes,
    localtarget,
    routetable,
    runner,
)
from tests.support import simulation, targets

SERVICE = "seats"
SLOT_COUNT = 64
LEASE_S = 1.0
ANNOUNCE_INTERVAL_S = 0.5
LONGEST_HOLD_S = 10.0
_CAPACITY = 4


class Incoming:
    """An announcement on its way to a daemon, and the way back."""

    def __init__(self, announcement, respond):
        self.announcement = announcement
        self._respond = respond

    def respond(self, status, headers, body):
        del status, headers
        self._respond(body)


class Sidecar:
    """The parts of a daemon that deal with its target.

    Attributes:
        timers: The daemon's scheduler.
        poller: Watches the connections to the target.
        handler: Handles the target.
    """

    def __init__(self, cluster, daemon):
        self.timers = scheduler.Scheduler(lambda: daemon.clock(cluster.now))
        self.poller = targets.Poller(cluster.connections)
        self.handler = targethandler.TargetHandler(
            _settings(daemon.name),
            _adapter(),
            daemon.core,
            self.poller,
            self.timers,
            crashes.CrashHistory(),
            lambda: cluster.perform_effects(daemon),
            bytebudget.ByteBudget(),
        )
        table = routetable.RouteTable(
            1,
            (),
            {SERVICE: routetable.Service(SERVICE, True, 16, cluster.channel)},
            httpserver.Limits(),
        )
        self.handler.configure_grants(table, table.services[SERVICE])


class TargetSimulation(simulation.Simulation):
    """The simulation of the daemons, each with a target.

    Attributes:
        channel: How targets are granted slots.
        hosts: The addresses of the targets, by the daemon's name.
        sidecars: What deals with the target, by the daemon's process.
        connections: All connections to targets, by descriptor.
        ledger: Checks what targets hold, and has the violations.
        is_lost: Tells whether a message between daemons is lost.
    """

    def __init__(
        self, seed=1, channel=routetable.GrantChannel.CALL, **settings
    ):
        super().__init__(
            seed,
            **{
                "ordered_keys": True,
                "lease": LEASE_S,
                "slot_count": SLOT_COUNT,
                **settings,
            },
        )
        self.channel = channel
        self.hosts = {}
        self.sidecars = {}
        self.connections = {}
        self.ledger = targets.Ledger()
        self.is_lost = lambda message: False
        self._descriptors = itertools.count()

    def __enter__(self):
        self._patch = mock.patch.object(sockets, "connect", self._connect)
        self._patch.start()
        return self

    def __exit__(self, *exception):
        self._patch.stop()

    def add_daemon(self, name, data_centre, service=SERVICE, port=None):
        """Starts a daemon beside its target, which is started if need be."""
        daemon = super().add_daemon(name, data_centre, service, port)
        if name not in self.hosts:
            self.hosts[name] = targets.Host(
                name,
                self.schedule,
                self.rng,
                self.ledger,
                slots_lib.POSITION_COUNT // SLOT_COUNT,
            )
            self.hosts[name].start(self.now)
        self.sidecars[daemon] = sidecar = Sidecar(self, daemon)
        daemon.is_pinned = sidecar.handler.is_pinned
        return daemon

    def restart_target(self, name, down_s=0.0, **process):
        """Ends a target's process; the next one starts after a time."""
        host = self.hosts[name]
        host.end()
        self.schedule(down_s, lambda: host.start(self.now, **process))

    def holders(self, slot):
        """Returns the names of the target processes that hold a slot."""
        return [
            host.process.name
            for host in self.hosts.values()
            if host.process is not None
            and slot in host.process.held_slots(self.now)
        ]

    def owner(self, slot):
        """Returns the name of the daemon that owns a slot, or None."""
        return next(iter(self.serving_daemons(slot)), None)

    def is_settled(self):
        """Returns whether each slot is held, and the slots are balanced."""
        return self.is_balanced() and all(
            self.holders(slot) for slot in range(SLOT_COUNT)
        )

    def step(self):
        """Advances the clock by one step, and checks what targets hold."""
        for host in self.hosts.values():
            if host.is_alive and self.now >= host.announce_at:
                self._announce(host)
        super().step()
        self.ledger.check_holders(
            self.now,
            [host.process for host in self.hosts.values() if host.process],
        )

    def perform_effects(self, daemon):
        """Performs what a daemon's ownership logic has decided."""
        for effect in daemon.core.take_effects():
            self._execute(daemon, effect)
        self.sidecars[daemon].handler.renew_grants()

    def _step_daemon(self, daemon):
        sidecar = self.sidecars[daemon]
        handler = sidecar.handler
        sidecar.timers.run_due()
        sidecar.poller.poll()
        handler.check_silence()
        draining = daemon.core.draining
        daemon.core.set_target_state(handler.is_serving and not draining, True)
        super()._step_daemon(daemon)
        self.perform_effects(daemon)
        handler.release_if_leaving(draining)

    def _execute(self, daemon, effect):
        if isinstance(effect, effects.ReleaseSlots):
            handler = self.sidecars[daemon].handler
            if effect.slots:
                handler.begin_release(effect.slots)
            else:
                handler.end_release()
        else:
            super()._execute(daemon, effect)

    def _send(self, daemon, address, frame):
        if not self.is_lost(messages.decode(frame).message):
            super()._send(daemon, address, frame)

    def _connect(self, address, unacked_timeout_ms):
        del unacked_timeout_ms
        descriptor = next(self._descriptors)
        connection = targets.Connection(
            self.hosts[address], descriptor, lambda: self.now
        )
        self.connections[descriptor] = connection
        return connection

    def _announce(self, host):
        host.announce_at += ANNOUNCE_INTERVAL_S
        process, faults = host.process, host.faults
        process.sequence += 1
        if self.rng.random() < faults.announcement_loss:
            return
        sent_at = self.now
        announcement = localtarget.Announcement(
            process.instance,
            SERVICE,
            _CAPACITY,
            process.leaving,
            born_ms=process.born_ms,
            sequence=process.sequence,
            report=process.report(sent_at),
        )

        def handle_answer(hold_list):
            if hold_list is None or not process.alive:
                return
            if self.rng.random() >= faults.announcement_loss:
                process.apply_hold_list(
                    hold_list,
                    sent_at,
                    self.now,
                    self.rng.uniform(0, faults.max_work_s),
                )

        def deliver():
            daemon = self.daemons[host.name]
            if not daemon.alive:
                return
            if daemon.paused:
                self.schedule(simulation.STEP_S, deliver)
                return
            self.sidecars[daemon].handler.handle_announcement(
                Incoming(announcement, handle_answer)
            )

        delay = self.rng.uniform(0, faults.max_announcement_delay_s)
        self.schedule(delay, deliver)


def _settings(name):
    defaults = {option.field: option.default for option in options.OPTIONS}
    return config.Config(
        **{
            **defaults,
            "daemon_service": SERVICE,
            "router_target_address": name,
            "router_announce_interval": round(ANNOUNCE_INTERVAL_S * 1000),
            "router_longest_hold": round(LONGEST_HOLD_S * 1000),
            "ownership_lease": round(LEASE_S * 1000),
        }
    )


def _adapter():
    def cannot(*arguments):
        raise AssertionError(arguments)

    return adapter.Adapter(
        store=None,
        decode_call=cannot,
        encode_response=cannot,
        codec=runner.Codec(cannot, cannot, cannot),
        encode_order=targets.encode_order,
        is_order_answer=targets.is_order_answer,
        decode_order_answer=targets.decode_order_answer,
        encode_announcement_answer=lambda hold_list, address: adapter.Response(
            200, [], hold_list
        ),
        max_hold_ranges=100,
        decode_announcement=lambda incoming: incoming.announcement,
        decode_table=cannot,
    )
