"""Faults that the soak injects; each function also undoes its fault."""

import enum
import random
import signal
import time
from collections.abc import Callable

import msgspec

from soak import proxy
from standins import platformcluster

# The router tolerates this delay between a daemon and its local target. A
# longer delay makes grants late, and the guarantees do not cover late grants.
_MAX_TARGET_DELAY_S = 0.03
_MAX_STORE_DELAY_S = 0.3
# An announcement that is delayed so long arrives after its process has ended.
_MAX_ANNOUNCEMENT_DELAY_S = 3.0
_MAX_GRANT_DELAY_S = 3.0
_DISRUPTIONS = (
    proxy.Mode.DELAY,
    proxy.Mode.RESET,
    proxy.Mode.ANSWERS_LOST,
    proxy.Mode.SILENT,
)


class FaultContext(msgspec.Struct):
    """Gives faults access to the cluster and its proxies.

    Attributes:
        cluster: The cluster under test.
        store_proxies: Proxy between each daemon and the store, by VM name.
        target_proxies: Proxy between each daemon and its local target, by VM
            name.
        announcement_proxies: Proxy between each target and its local daemon,
            by VM name.
        start_server: Starts the next incarnation of a VM's server, under the
            same id if the second argument is true.
        config_version: Version of the configuration written last.
    """

    cluster: platformcluster.PlatformCluster
    store_proxies: dict[str, proxy.Proxy]
    target_proxies: dict[str, proxy.Proxy]
    announcement_proxies: dict[str, proxy.Proxy]
    start_server: Callable[[platformcluster.VM, bool], None]
    config_version: int = 1


def kill(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Kills a daemon while its server runs on, and starts it again."""
    vm.kill()
    time.sleep(rng.uniform(0.0, 2.0))
    vm.start()


def kill_all(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Kills all daemons at once, and starts them again."""
    del vm
    for each in context.cluster.vms:
        each.kill()
    time.sleep(rng.uniform(0.0, 1.0))
    for each in context.cluster.vms:
        each.start()


def pause(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Pauses a daemon, sometimes until its lease has expired."""
    del context
    vm.process.send_signal(signal.SIGSTOP)
    time.sleep(rng.uniform(0.1, 3.0))
    vm.process.send_signal(signal.SIGCONT)


def restart(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Terminates a daemon with SIGTERM, and starts it again."""
    del context, rng
    vm.process.send_signal(signal.SIGTERM)
    vm.process.wait(timeout=20)
    vm.start()


def crash_server(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Ends a server without notice, and starts its next incarnation."""
    vm.server.stop()
    time.sleep(rng.uniform(0.1, 2.0))
    context.start_server(vm, False)


def replace_server(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Drains a server, and starts its next incarnation."""
    vm.server.state = "draining"
    vm.server.send_heartbeat()
    time.sleep(2.5)
    crash_server(context, vm, rng)


def store_down(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Makes the store refuse all calls, or answer none."""
    del vm
    store = context.cluster.store
    if rng.random() < 0.5:
        store.failure_status = 503
    else:
        store.is_unresponsive = True
    time.sleep(rng.uniform(0.5, 5.0))
    store.failure_status = None
    store.is_unresponsive = False


def drop_store_history(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Makes the store drop its history of changes."""
    del vm, rng
    context.cluster.store.forget_history()


def _disrupt(
    rng: random.Random,
    link: proxy.Proxy,
    max_delay_s: float,
    min_duration_s: float,
    max_duration_s: float,
) -> None:
    """Puts a proxy into a random mode of disruption for a while.

    The delay stays set afterwards; it has no effect in PASS mode.

    Args:
        rng: Random source for the mode, the delay and the duration.
        link: The proxy.
        max_delay_s: Longest delay in DELAY mode, seconds.
        min_duration_s: Shortest duration of the disruption, seconds.
        max_duration_s: Longest duration of the disruption, seconds.
    """
    link.delay_s = rng.uniform(0.0, max_delay_s)
    link.mode = rng.choice(_DISRUPTIONS)
    time.sleep(rng.uniform(min_duration_s, max_duration_s))
    link.mode = proxy.Mode.PASS


def disrupt_store_link(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Disrupts the connections between a daemon and the store."""
    _disrupt(rng, context.store_proxies[vm.name], _MAX_STORE_DELAY_S, 0.3, 4.0)


def disrupt_target_link(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Disrupts the connections between a daemon and its local target."""
    _disrupt(
        rng, context.target_proxies[vm.name], _MAX_TARGET_DELAY_S, 0.1, 1.5
    )


def change_configuration(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Writes a later version of the configuration, with another route."""
    del vm
    context.config_version += rng.randint(1, 3)
    added_route = platformcluster.route(
        "x", "x.example", f"/{context.config_version}/", "seats"
    )
    context.cluster.store.put(
        "op",
        "config",
        platformcluster.configuration(
            context.config_version,
            *platformcluster.DEFAULT_RESOURCES,
            added_route,
        ),
    )


def restart_target(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Ends a target and starts it again at once, some times in a row."""
    for _ in range(rng.randint(1, 3)):
        _restart_target(context, vm, rng)
        time.sleep(rng.uniform(0.0, 0.6))


def restart_target_unannounced(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Restarts a target while its announcements do not reach its daemon."""
    link = context.announcement_proxies[vm.name]
    link.mode = rng.choice([proxy.Mode.SILENT, proxy.Mode.REFUSE])
    time.sleep(rng.uniform(0.0, 0.5))
    restart_target(context, vm, rng)
    time.sleep(rng.uniform(0.0, 2.0))
    link.mode = proxy.Mode.PASS


def _restart_target(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    link = context.target_proxies[vm.name]
    vm.server.stop()
    if rng.random() < 0.5:
        # Without this the proxy resets connections to a target that has ended.
        link.mode = proxy.Mode.REFUSE
    time.sleep(rng.choice([0.0, rng.uniform(0.0, 0.4)]))
    context.start_server(vm, rng.random() < 0.5)
    link.mode = proxy.Mode.PASS


def refuse_target(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Refuses or resets connections to a target that runs."""
    link = context.target_proxies[vm.name]
    for _ in range(rng.randint(1, 3)):
        link.mode = rng.choice([proxy.Mode.REFUSE, proxy.Mode.RESET])
        time.sleep(rng.uniform(0.02, 0.8))
        link.mode = proxy.Mode.PASS
        time.sleep(rng.uniform(0.0, 0.5))


def delay_grants(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Makes a target carry out grants late, and leave them unanswered."""
    server = vm.server
    server.grant_delay_s = rng.uniform(0.05, _MAX_GRANT_DELAY_S)
    time.sleep(rng.uniform(0.1, 1.5))
    server.grant_delay_s = 0.0


def disrupt_announcements(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Disrupts the announcements of a target."""
    _disrupt(
        rng,
        context.announcement_proxies[vm.name],
        _MAX_ANNOUNCEMENT_DELAY_S,
        0.3,
        4.0,
    )


def disrupt_daemon(
    context: FaultContext, vm: platformcluster.VM, rng: random.Random
) -> None:
    """Kills, pauses or terminates a daemon, some times in a row."""
    for _ in range(rng.randint(1, 4)):
        rng.choice([kill, pause, restart])(context, vm, rng)
        time.sleep(rng.uniform(0.0, 1.0))


class Part(enum.Enum):
    """A part of a VM on which a fault acts."""

    DAEMON = "daemon"
    TARGET = "target"
    TARGET_LINK = "target-link"
    ANNOUNCEMENT_LINK = "announcement-link"
    STORE_LINK = "store-link"
    STORE = "store"


_ALL_PARTS = frozenset(Part)
# Parts that exist once, or on which a fault acts at all VMs.
_SHARED_PARTS = frozenset({Part.STORE})


class Fault(msgspec.Struct, frozen=True):
    """A fault that can be injected.

    Attributes:
        inject: Injects the fault at a VM, and returns once it has been undone.
        parts: Parts on which the fault acts. Two faults must not act on the
            same part of a VM at a time.
        everywhere: Whether the fault acts on these parts of all VMs.
    """

    inject: Callable[[FaultContext, platformcluster.VM, random.Random], None]
    parts: frozenset[Part]
    everywhere: bool = False

    @property
    def name(self) -> str:
        """The fault's name, for the log."""
        return self.inject.__name__

    def parts_at(
        self, cluster: platformcluster.PlatformCluster, vm: platformcluster.VM
    ) -> set[tuple[str, Part]]:
        """Returns the names of VMs, and their parts, on which it acts."""
        vms = cluster.vms if self.everywhere else [vm]
        return {
            ("" if part in _SHARED_PARTS else each.name, part)
            for each in vms
            for part in self.parts
        }


# Faults of all kinds, one at a time at each VM.
GENERAL: tuple[Fault, ...] = tuple(
    Fault(inject, _ALL_PARTS - {Part.STORE}, everywhere=inject is kill_all)
    for inject in (
        kill,
        kill_all,
        pause,
        restart,
        crash_server,
        replace_server,
        store_down,
        drop_store_history,
        disrupt_store_link,
        disrupt_target_link,
        change_configuration,
    )
)

# Faults around the holds of targets, several at a time at each VM.
OWNERSHIP: tuple[Fault, ...] = (
    Fault(disrupt_daemon, frozenset({Part.DAEMON})),
    Fault(pause, frozenset({Part.DAEMON})),
    Fault(kill_all, frozenset({Part.DAEMON}), everywhere=True),
    Fault(restart_target, frozenset({Part.TARGET, Part.TARGET_LINK})),
    Fault(
        restart_target_unannounced,
        frozenset({Part.TARGET, Part.TARGET_LINK, Part.ANNOUNCEMENT_LINK}),
    ),
    Fault(replace_server, frozenset({Part.TARGET})),
    Fault(refuse_target, frozenset({Part.TARGET_LINK})),
    Fault(disrupt_target_link, frozenset({Part.TARGET_LINK})),
    Fault(delay_grants, frozenset()),
    Fault(disrupt_announcements, frozenset({Part.ANNOUNCEMENT_LINK})),
    Fault(disrupt_store_link, frozenset({Part.STORE_LINK})),
    Fault(store_down, frozenset({Part.STORE})),
)
