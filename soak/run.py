"""One seeded run of the soak: a site, callers, faults, and the verdict."""

import contextlib
import http.client
import itertools
import pathlib
import random
import threading
import time
import traceback

import msgspec

from soak import faults, judge, proxy
from standins import ports
from standins import site as site_lib

_PLACES = (
    ("north", "seats", False),
    ("south", "seats", False),
    ("east", "money", True),
    ("west", "money", True),
    ("centre", "money", True),
)
_READY_S = 40.0
# The users' bound: served again so long after the last fault.
_RECOVER_S = 15.0
_TIMEOUT_MS = 1200
_CALLERS_A_PLACE = 2
_PAUSE_S = 0.02
# An order may be carried out, and a run begin, so long after it was sent.
_SETTLE_S = 2.0


class Verdict(msgspec.Struct, frozen=True):
    """What a run showed.

    Attributes:
        violations: Broken promises.
        asked: Requests that callers sent.
        served: The part of them that was answered well.
        recovered_s: How long after the last fault all was served; None if
            it was not within the bound.
        story: The faults, with their times.
    """

    violations: list[str]
    asked: int
    served: float
    recovered_s: float | None
    story: list[str]

    @property
    def passed(self) -> bool:
        """Whether every promise was kept."""
        return not self.violations and self.recovered_s is not None


class _Soak:
    """A site with its proxies, callers and faults."""

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self.rng = random.Random(seed)
        self.judge = judge.Judge()
        self.site = site_lib.Site(folder, _PLACES)
        self.story: list[str] = []
        self._ids = itertools.count(1)
        self._ended = threading.Event()
        self._begun = time.monotonic()
        self._proxies: list[proxy.Proxy] = []
        stores = {}
        targets = {}
        for place in self.site.places:
            stores[place.name] = self._proxy(place.store)
            place.store = self._last
            targets[place.name] = self._proxy(place.app)
            place.target = self._last
        self.scene = faults.Scene(
            self.site, stores, targets, self.start_server, self.rng
        )

    def _proxy(self, target: str) -> proxy.Proxy:
        port = ports.free_ports(1, self.site.next_port())
        self.site.used(port + 1)
        self._last = f"127.0.0.1:{port}"
        found = proxy.Proxy(self._last, target)
        self._proxies.append(found)
        return found

    def start_server(self, place: site_lib.Place) -> None:
        place.start_server()
        self.judge.watch(place.server)

    def start(self) -> None:
        self.site.start()
        for place in self.site.places:
            self.judge.watch(place.server)
        if not site_lib.wait(_READY_S, self._works):
            raise TimeoutError("the site does not serve everything")

    def stop(self) -> None:
        self._ended.set()
        self.site.stop()
        for each in self._proxies:
            each.close()

    def play(self, seconds: float) -> None:
        """Runs callers and faults, which overlap, for a time."""
        for place in self.site.places:
            for _ in range(_CALLERS_A_PLACE):
                threading.Thread(
                    target=self._call, args=(place,), daemon=True
                ).start()
        end = time.monotonic() + seconds
        going: dict[str, threading.Thread] = {}
        while time.monotonic() < end:
            time.sleep(self.rng.uniform(0.1, 1.5))
            fault = self.rng.choice(faults.ALL)
            place = self.rng.choice(self.site.places)
            names = {place.name}
            if fault is faults.kill_all:
                names = {each.name for each in self.site.places}
            # One thing at a time is done to each place's processes.
            if any(name in going and going[name].is_alive() for name in names):
                continue
            self._note(f"{fault.__name__} {place.name}")
            thread = threading.Thread(
                target=self._inject, args=(fault, place), daemon=True
            )
            thread.start()
            going.update(dict.fromkeys(names, thread))
        for thread in going.values():
            thread.join(30)

    def recover(self) -> float | None:
        """Returns how long it took until all was served, or None."""
        begun = time.monotonic()
        worked = site_lib.wait(_RECOVER_S, self._works)
        return time.monotonic() - begun if worked else None

    def _works(self) -> bool:
        with contextlib.suppress(OSError, http.client.HTTPException):
            return self.site.works()
        return False

    def _inject(self, fault: faults.Fault, place: site_lib.Place) -> None:
        try:
            fault(self.scene, place)
        except Exception:  # noqa: BLE001
            # A fault that can't be injected makes the run worthless.
            self.judge.violations.append(traceback.format_exc())
        self._note(f"{fault.__name__} {place.name} ends")

    def _note(self, text: str) -> None:
        at = time.monotonic() - self._begun
        self.story.append(f"{at:7.3f} {text}")

    def _call(self, place: site_lib.Place) -> None:
        """Asks again and again, on a connection that is kept while it works."""
        rng = random.Random(self.rng.random())
        link = http.client.HTTPConnection(place.callers, timeout=3)
        while not self._ended.is_set():
            time.sleep(rng.uniform(0, 2 * _PAUSE_S))
            request = f"s{next(self._ids):07d}"
            pay = rng.random() < 0.6
            host = "money.example" if pay else "seats.example"
            path = f"/pay/{request}" if pay else f"/browse/{request}"
            headers = {
                "Host": host,
                "X-Tamarackgap-Attempt-Id": request,
                "X-Tamarackgap-Timeout-Ms": str(_TIMEOUT_MS),
            }
            if pay:
                headers["X-Tamarackgap-Shard-Key"] = str(rng.randrange(65_536))
            status, answer, body = 0, {}, b""
            try:
                link.request("POST" if pay else "GET", path, headers=headers)
                found = link.getresponse()
                body = found.read()
                status, answer = found.status, found.headers
            except (OSError, http.client.HTTPException):
                link.close()
                link = http.client.HTTPConnection(place.callers, timeout=3)
            self.judge.ask(
                judge.Asked(
                    request,
                    not pay,
                    path,
                    status,
                    bool(answer.get("X-Tamarackgap-Response-Signature")),
                    answer.get("X-Tamarackgap-Attempt-Id", ""),
                    body,
                )
            )


def run(folder: pathlib.Path, seed: int, seconds: float) -> Verdict:
    """Plays one seed.

    Args:
        folder: Takes settings and logs.
        seed: Of places, faults and times.
        seconds: How long faults are injected.
    """
    soak = _Soak(folder, seed)
    try:
        soak.start()
        soak.play(seconds)
        recovered = soak.recover()
        time.sleep(_SETTLE_S)
        violations = soak.judge.finish()
    finally:
        soak.stop()
    asked = soak.judge.asked
    return Verdict(
        violations,
        asked,
        soak.judge.statuses[200] / max(1, asked),
        recovered,
        soak.story,
    )
