"""Faults that a soak injects: each begins, lasts, and is taken back."""

import random
import signal
import time
from collections.abc import Callable

import msgspec

from soak import proxy
from standins import platformcluster

# The product allows for this much delay on the way to its own target; a longer
# one makes grants late, which the promises leave out.
_TARGET_DELAY_S = 0.03
_STORE_DELAY_S = 0.3


class FaultContext(msgspec.Struct):
    """What faults act on.

    Attributes:
        cluster: The store and the vms.
        store_proxies: Each vm's way to the store.
        target_proxies: Each vm's way to its target.
        start_server: Starts the next life of a vm's server.
        rng: Picks vms and times.
        config_version: Last version of the configuration that was written.
    """

    cluster: platformcluster.PlatformCluster
    store_proxies: dict[str, proxy.Proxy]
    target_proxies: dict[str, proxy.Proxy]
    start_server: Callable[[platformcluster.VM], None]
    rng: random.Random
    config_version: int = 1


def kill(context: FaultContext, vm: platformcluster.VM) -> None:
    """Kills a daemon beside its living server, and starts it again."""
    vm.kill()
    time.sleep(context.rng.uniform(0.0, 2.0))
    vm.start()


def kill_all(context: FaultContext, vm: platformcluster.VM) -> None:
    """Kills all daemons at once."""
    del vm
    for each in context.cluster.vms:
        each.kill()
    time.sleep(context.rng.uniform(0.0, 1.0))
    for each in context.cluster.vms:
        each.start()


def pause(context: FaultContext, vm: platformcluster.VM) -> None:
    """Stops a daemon, past its lease at times, and lets it go on."""
    vm.process.send_signal(signal.SIGSTOP)
    time.sleep(context.rng.uniform(0.1, 3.0))
    vm.process.send_signal(signal.SIGCONT)


def restart(context: FaultContext, vm: platformcluster.VM) -> None:
    """Asks a daemon to end, and starts it again."""
    del context
    vm.process.send_signal(signal.SIGTERM)
    vm.process.wait(timeout=20)
    vm.start()


def crash_server(context: FaultContext, vm: platformcluster.VM) -> None:
    """Ends a server without a word; its next life comes later."""
    vm.server.stop()
    time.sleep(context.rng.uniform(0.1, 2.0))
    context.start_server(vm)


def replace_server(context: FaultContext, vm: platformcluster.VM) -> None:
    """Lets a server leave, and starts another at its address."""
    vm.server.state = "draining"
    vm.server.send_heartbeat()
    time.sleep(2.5)
    crash_server(context, vm)


def store_down(context: FaultContext, vm: platformcluster.VM) -> None:
    """Lets the store refuse, or answer nobody."""
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
    """Lets the store drop its history."""
    del vm
    context.cluster.store.forget_history()


def _harm(
    context: FaultContext,
    link: proxy.Proxy,
    delay_s: float,
    least_s: float,
    most_s: float,
) -> None:
    """Harms a link for a while, in one of the ways there are.

    Args:
        context: The run.
        link: The link.
        delay_s: Longest delay, seconds; it stays.
        least_s: Least time for which it is harmed, seconds.
        most_s: Longest such time, seconds.
    """
    link.delay_s = context.rng.uniform(0.0, delay_s)
    link.mode = context.rng.choice(
        [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]
    )
    time.sleep(context.rng.uniform(least_s, most_s))
    link.mode = proxy.Mode.PASS


def disrupt_store_link(context: FaultContext, vm: platformcluster.VM) -> None:
    """Harms one vm's way to the store."""
    _harm(context, context.store_proxies[vm.name], _STORE_DELAY_S, 0.3, 4.0)


def disrupt_target_link(context: FaultContext, vm: platformcluster.VM) -> None:
    """Harms a daemon's way to its own target."""
    _harm(context, context.target_proxies[vm.name], _TARGET_DELAY_S, 0.1, 1.5)


def change_configuration(context: FaultContext, vm: platformcluster.VM) -> None:
    """Writes the next version of the configuration."""
    del vm
    context.config_version += context.rng.randint(1, 3)
    extra = platformcluster.route(
        "x", "x.example", f"/{context.config_version}/", "seats"
    )
    context.cluster.store.put(
        "op",
        "config",
        platformcluster.configuration(
            context.config_version, *platformcluster.DEFAULT_RESOURCES, extra
        ),
    )


# Injects itself at a vm, and ends once it has been taken back.
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
