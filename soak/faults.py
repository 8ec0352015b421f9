"""Faults that the soak injects; each function also undoes its fault."""

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


class FaultContext(msgspec.Struct):
    """Gives faults access to the cluster and its proxies.

    Attributes:
        cluster: The cluster under test.
        store_proxies: Proxy between each daemon and the store, by VM name.
        target_proxies: Proxy between each daemon and its local target, by VM
            name.
        start_server: Starts the next incarnation of a VM's server.
        rng: Random source for durations and choices.
        config_version: Version of the configuration written last.
    """

    cluster: platformcluster.PlatformCluster
    store_proxies: dict[str, proxy.Proxy]
    target_proxies: dict[str, proxy.Proxy]
    start_server: Callable[[platformcluster.VM], None]
    rng: random.Random
    config_version: int = 1


def kill(context: FaultContext, vm: platformcluster.VM) -> None:
    """Kills a daemon while its server runs on, and starts it again."""
    vm.kill()
    time.sleep(context.rng.uniform(0.0, 2.0))
    vm.start()


def kill_all(context: FaultContext, vm: platformcluster.VM) -> None:
    """Kills all daemons at once, and starts them again."""
    del vm
    for each in context.cluster.vms:
        each.kill()
    time.sleep(context.rng.uniform(0.0, 1.0))
    for each in context.cluster.vms:
        each.start()


def pause(context: FaultContext, vm: platformcluster.VM) -> None:
    """Pauses a daemon, sometimes until its lease has expired."""
    vm.process.send_signal(signal.SIGSTOP)
    time.sleep(context.rng.uniform(0.1, 3.0))
    vm.process.send_signal(signal.SIGCONT)


def restart(context: FaultContext, vm: platformcluster.VM) -> None:
    """Terminates a daemon with SIGTERM, and starts it again."""
    del context
    vm.process.send_signal(signal.SIGTERM)
    vm.process.wait(timeout=20)
    vm.start()


def crash_server(context: FaultContext, vm: platformcluster.VM) -> None:
    """Ends a server without notice, and starts its next incarnation."""
    vm.server.stop()
    time.sleep(context.rng.uniform(0.1, 2.0))
    context.start_server(vm)


def replace_server(context: FaultContext, vm: platformcluster.VM) -> None:
    """Drains a server, and starts its next incarnation."""
    vm.server.state = "draining"
    vm.server.send_heartbeat()
    time.sleep(2.5)
    crash_server(context, vm)


def store_down(context: FaultContext, vm: platformcluster.VM) -> None:
    """Makes the store refuse all calls, or answer none."""
    del vm
    store = context.cluster.store
    if context.rng.random() < 0.5:
        store.failure_status = 503
    else:
        store.is_unresponsive = True
    time.sleep(context.rng.uniform(0.5, 5.0))
    store.failure_status = None
    store.is_unresponsive = False


def drop_store_history(context: FaultContext, vm: platformcluster.VM) -> None:
    """Makes the store drop its history of changes."""
    del vm
    context.cluster.store.forget_history()


def _disrupt(
    context: FaultContext,
    link: proxy.Proxy,
    max_delay_s: float,
    min_duration_s: float,
    max_duration_s: float,
) -> None:
    """Puts a proxy into a random mode other than PASS for a while.

    The delay stays set afterwards; it has no effect in PASS mode.

    Args:
        context: The cluster and its random source.
        link: The proxy.
        max_delay_s: Longest delay in DELAY mode, seconds.
        min_duration_s: Shortest duration of the disruption, seconds.
        max_duration_s: Longest duration of the disruption, seconds.
    """
    link.delay_s = context.rng.uniform(0.0, max_delay_s)
    link.mode = context.rng.choice(
        [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]
    )
    time.sleep(context.rng.uniform(min_duration_s, max_duration_s))
    link.mode = proxy.Mode.PASS


def disrupt_store_link(context: FaultContext, vm: platformcluster.VM) -> None:
    """Disrupts the connections between a daemon and the store."""
    _disrupt(
        context, context.store_proxies[vm.name], _MAX_STORE_DELAY_S, 0.3, 4.0
    )


def disrupt_target_link(context: FaultContext, vm: platformcluster.VM) -> None:
    """Disrupts the connections between a daemon and its local target."""
    _disrupt(
        context, context.target_proxies[vm.name], _MAX_TARGET_DELAY_S, 0.1, 1.5
    )


def change_configuration(context: FaultContext, vm: platformcluster.VM) -> None:
    """Writes a later version of the configuration, with another route."""
    del vm
    context.config_version += context.rng.randint(1, 3)
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


# Injects a fault at a VM, and returns once the fault has been undone.
Fault = Callable[[FaultContext, platformcluster.VM], None]

ALL: tuple[Fault, ...] = (
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
