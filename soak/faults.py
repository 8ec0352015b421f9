"""Faults that a soak injects: each begins, lasts, and is taken back."""

import random
import signal
import time
from collections.abc import Callable

import msgspec

from soak import proxy
from standins import site as site_lib

# The product allows for this much delay on the way to its own target; a longer
# one makes grants late, which the promises leave out.
_TARGET_DELAY_S = 0.03
_STORE_DELAY_S = 0.3


class Scene(msgspec.Struct):
    """What faults act on.

    Attributes:
        site: The store and the places.
        stores: Each place's way to the store.
        targets: Each place's way to its target.
        start_server: Starts the next life of a place's server.
        rng: Picks places and times.
        versions: Last version of the configuration that was written.
    """

    site: site_lib.Site
    stores: dict[str, proxy.Proxy]
    targets: dict[str, proxy.Proxy]
    start_server: Callable[[site_lib.Place], None]
    rng: random.Random
    versions: int = 1


def kill(scene: Scene, place: site_lib.Place) -> None:
    """Kills a daemon beside its living server, and starts it again."""
    place.kill()
    time.sleep(scene.rng.uniform(0.0, 2.0))
    place.start()


def kill_all(scene: Scene, place: site_lib.Place) -> None:
    """Kills all daemons at once."""
    del place
    for each in scene.site.places:
        each.kill()
    time.sleep(scene.rng.uniform(0.0, 1.0))
    for each in scene.site.places:
        each.start()


def pause(scene: Scene, place: site_lib.Place) -> None:
    """Stops a daemon, past its lease at times, and lets it go on."""
    place.process.send_signal(signal.SIGSTOP)
    time.sleep(scene.rng.uniform(0.1, 3.0))
    place.process.send_signal(signal.SIGCONT)


def restart(scene: Scene, place: site_lib.Place) -> None:
    """Asks a daemon to end, and starts it again."""
    del scene
    place.process.send_signal(signal.SIGTERM)
    place.process.wait(timeout=20)
    place.start()


def crash_server(scene: Scene, place: site_lib.Place) -> None:
    """Ends a server without a word; its next life comes later."""
    place.server.stop()
    time.sleep(scene.rng.uniform(0.1, 2.0))
    scene.start_server(place)


def replace_server(scene: Scene, place: site_lib.Place) -> None:
    """Lets a server leave, and starts another at its address."""
    place.server.state = "draining"
    place.server.say()
    time.sleep(2.5)
    crash_server(scene, place)


def store_down(scene: Scene, place: site_lib.Place) -> None:
    """Lets the store refuse, or answer nobody."""
    del place
    store = scene.site.store
    if scene.rng.random() < 0.5:
        store.failing = 503
    else:
        store.silent = True
    time.sleep(scene.rng.uniform(0.5, 5.0))
    store.failing = None
    store.silent = False


def store_forgets(scene: Scene, place: site_lib.Place) -> None:
    """Lets the store drop its history."""
    del place
    scene.site.store.forget_history()


def _harm(
    scene: Scene,
    link: proxy.Proxy,
    delay_s: float,
    least_s: float,
    most_s: float,
) -> None:
    """Harms a link for a while, in one of the ways there are.

    Args:
        scene: The run.
        link: The link.
        delay_s: Longest delay, seconds; it stays.
        least_s: Least time for which it is harmed, seconds.
        most_s: Longest such time, seconds.
    """
    link.delay_s = scene.rng.uniform(0.0, delay_s)
    link.mode = scene.rng.choice(
        [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]
    )
    time.sleep(scene.rng.uniform(least_s, most_s))
    link.mode = proxy.Mode.PASS


def harm_store_link(scene: Scene, place: site_lib.Place) -> None:
    """Harms one place's way to the store."""
    _harm(scene, scene.stores[place.name], _STORE_DELAY_S, 0.3, 4.0)


def harm_target_link(scene: Scene, place: site_lib.Place) -> None:
    """Harms a daemon's way to its own target."""
    _harm(scene, scene.targets[place.name], _TARGET_DELAY_S, 0.1, 1.5)


def change(scene: Scene, place: site_lib.Place) -> None:
    """Writes the next version of the configuration."""
    del place
    scene.versions += scene.rng.randint(1, 3)
    extra = site_lib.route("x", "x.example", f"/{scene.versions}/", "seats")
    scene.site.store.put(
        "op",
        "config",
        site_lib.configuration(scene.versions, *site_lib.USUAL, extra),
    )


# Injects itself at a place, and ends once it has been taken back.
Fault = Callable[[Scene, site_lib.Place], None]

ALL: tuple[Fault, ...] = (
    kill,
    kill_all,
    pause,
    restart,
    crash_server,
    replace_server,
    store_down,
    store_forgets,
    harm_store_link,
    harm_target_link,
    change,
)
