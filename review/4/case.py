"""LOST: a daemon breaks off what a leaving server runs, for its silence."""

import os
import pathlib
import signal
import time

from review.common import deployment

_FOLDER = pathlib.Path(__file__).parent
# Whether the disruption is made.
_HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_TIMEOUT_MS = 2500
# Duration of a request: within the client's time and the route's.
_WORK_S = {"/browse/": 0.03, "/report/": 2.42}
# Of the servers of a service the site takes a quarter away (`scale_in`).
_SERVERS = 4
_REQUESTS = 24
# Times after the last heartbeat. The server deregisters when the next heartbeat
# would be due.
_TERM_S = 0.3
_SEND_S = 0.8
# The server goes on serving after its acknowledgement for longer than its
# requests take.
_SERVES_ON_S = 4.0
# An answer that comes this close to the end of its time is not counted.
_MARGIN_S = 0.05


def _work_s(path):
    return next(s for prefix, s in _WORK_S.items() if path.startswith(prefix))


def main():
    """Runs the case; returns the exit status."""
    reports = [(f"m{number}", "reports") for number in range(1, _SERVERS + 1)]
    site = deployment.Deployment(_FOLDER, [*reports, ("m5", "desk")])
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
        entry = site.machines[-1]
        servers = [machine.server for machine in site.machines[:_SERVERS]]
        server = servers[0]
        server.begun.clear()
        # Calm, so that nothing before counts as a disruption.
        time.sleep(deployment.CONTACT_S + 2)
        if _HAS_TROUBLE:
            server.stop_heartbeats()
        server.send_heartbeat()
        heard_at = time.monotonic()
        _sleep_until(heard_at + _TERM_S)
        site.record.write("sigterm", machine=entry.name)
        entry.process.send_signal(signal.SIGTERM)
        _sleep_until(heard_at + _SEND_S)
        results = []

        def send():
            sent_at = time.monotonic()
            status, request_id = site.send(
                entry, "POST", "/report/day", _TIMEOUT_MS, b"rows"
            )
            # Whether a server is at work on it when the client has its answer,
            # or its connection has ended.
            is_at_work = any(request_id in each.running for each in servers)
            now = time.monotonic()
            results.append(
                (
                    request_id,
                    status,
                    is_at_work,
                    now - sent_at,
                    sent_at - heard_at - _TERM_S,
                    now - heard_at - _TERM_S,
                )
            )

        threads = [deployment.in_background(send) for _ in range(_REQUESTS)]
        _sleep_until(heard_at + deployment.HEARTBEAT_S)
        if _HAS_TROUBLE and not server.deregister():
            print("the deregistration was not acknowledged")
            return 2
        time.sleep(_SERVES_ON_S)
        for thread in threads:
            thread.join()
        if _HAS_TROUBLE and not server.begun:
            print("no request reached the server")
            return 2
        return _check(site, results)
    finally:
        site.stop()


def _sleep_until(at):
    time.sleep(max(0.0, at - time.monotonic()))


def _check(site, results):
    """Returns the exit status: whether a running request was broken off."""
    broken = 0
    for request_id, status, is_at_work, after_s, sent_s, ended_s in results:
        # Not counted: the deadline or the route's timeout was reached; the
        # server was still at work in the last sixth of `grace_s` on a request
        # sent no later than 3 s after the SIGTERM. The server breaks off none.
        is_excused = (
            after_s >= _TIMEOUT_MS / 1000 - _MARGIN_S
            or ended_s >= deployment.GRACE_S * 5 / 6
            or sent_s > deployment.GRACE_S
        )
        if is_at_work and status != 200 and not is_excused:
            broken += 1
            site.record.write(
                "LOST",
                request=request_id,
                status=status,
                after_s=round(after_s, 3),
                after_sigterm_s=round(ended_s, 3),
            )
    print(f"requests broken off while their server was at work: {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    deployment.run(main)
