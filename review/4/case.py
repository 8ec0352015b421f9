"""LOST: a late heartbeat makes a daemon break off what its server runs."""

import pathlib
import signal
import time

from review.common import deployment, latelink

_FOLDER = pathlib.Path(__file__).parent
# "A heartbeat may arrive seconds late."
_LATE_S = 5.0
_LATE_HEARTBEATS = 2
_TIMEOUT_MS = 2500
# Duration of a request: within the client's time and the route's.
_WORK_S = {"/browse/": 0.03, "/report/": 2.2}
# The requests end before the last sixth of `grace_s`, and are sent no later
# than 3 s after the SIGTERM.
_FIRST_AFTER_TERM_S = 0.1
_REQUESTS = 4
_BETWEEN_S = 0.3


def _work_s(path):
    return next(s for prefix, s in _WORK_S.items() if path.startswith(prefix))


def main():
    """Runs the case; returns the exit status."""
    site = deployment.Deployment(_FOLDER, [("m1", "reports"), ("m2", "desk")])
    try:
        site.put_configuration(
            1,
            deployment.route("browse", "/browse/", "reports", True, 2500, 400),
            deployment.route("file", "/report/", "reports", False, 2500, 2500),
            deployment.service("reports"),
            deployment.service("desk"),
        )
        if not site.start(_work_s, "/browse/ready"):
            print("the deployment does not serve")
            return 2
        beside_server, entry = site.machines
        server = beside_server.server
        # Calm, so that nothing before counts as a disruption.
        time.sleep(deployment.CONTACT_S + 1)
        if deployment.has_trouble():
            link = latelink.LateLink(beside_server.control_address, _LATE_S)
            server.heartbeat_addresses = [link.address] * _LATE_HEARTBEATS
            site.record.write(
                "heartbeats_late", count=_LATE_HEARTBEATS, by_s=_LATE_S
            )
        time.sleep(1.5)
        site.record.write("sigterm", machine=entry.name)
        entry.process.send_signal(signal.SIGTERM)
        time.sleep(_FIRST_AFTER_TERM_S)
        results = []

        def send():
            sent_at = time.monotonic()
            status, request_id = site.send(
                entry, "POST", "/report/day", _TIMEOUT_MS, b"rows"
            )
            results.append((status, request_id, time.monotonic() - sent_at))

        threads = []
        for _ in range(_REQUESTS):
            threads.append(deployment.in_background(send))
            time.sleep(_BETWEEN_S)
        for thread in threads:
            thread.join()
        time.sleep(1.0)
        return _check(site, server, results)
    finally:
        site.stop()


def _check(site, server, results):
    """Returns the exit status: whether a running request was broken off."""
    if len(results) != _REQUESTS:
        return 2
    broken = 0
    for status, request_id, after_s in results:
        begun = request_id in server.begun
        # Counted where the server had begun, did not break off itself, and
        # there was time left for it and its answer.
        if begun and status != 200 and after_s < _TIMEOUT_MS / 1000 - 0.1:
            broken += 1
            site.record.write(
                "LOST",
                request=request_id,
                status=status,
                after_s=round(after_s, 3),
            )
    if not any(request_id in server.begun for _, request_id, _ in results):
        print("no request reached the server")
        return 2
    print(f"requests broken off while their server was at work: {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    deployment.run(main)
