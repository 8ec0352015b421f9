"""BUDGET: a request that crashes servers is sent to them again and again."""

import pathlib
import threading
import time

from review.common import deployment

_FOLDER = pathlib.Path(__file__).parent
# "the server is back after some seconds"
_RESTART_S = 3.0
_POISON = "/browse/poison"
_POISON_EVERY_S = 5.0
_LENGTH_S = 75.0
_WORK_S = 0.03
# Between other requests for the service, at a quiet hour.
_PAUSE_S = 3.0
_MAX_RETRIES = 3


def main():
    """Runs the case; returns the exit status."""
    site = deployment.Deployment(
        _FOLDER,
        [("m1", "seats"), ("m2", "seats"), ("m3", "seats"), ("m4", "desk")],
    )
    stopped = threading.Event()
    arrivals = []
    crashes = []
    lock = threading.Lock()

    def take(server, request_id, path):
        """Notes the request; a poisonous one crashes the server."""
        if path != _POISON:
            return True
        with lock:
            arrivals.append((time.monotonic(), request_id))
        site.record.write(
            "poison_arrives", request=request_id, instance=server.instance
        )
        if not deployment.has_trouble():
            return True
        with lock:
            crashes.append(time.monotonic())
        deployment.in_background(restart, server)
        return False

    def restart(server):
        machine = next(m for m in site.machines if m.server is server)
        time.sleep(_RESTART_S)
        if not stopped.is_set():
            machine.start_server(lambda path: _WORK_S).on_arrival = take

    def send_other():
        while not stopped.is_set():
            deployment.in_background(
                site.send, site.machines[3], "GET", "/browse/hall"
            )
            time.sleep(_PAUSE_S)

    try:
        site.put_configuration(
            1,
            deployment.route("browse", "/browse/", "seats", True, 2500, 400),
            deployment.service("seats"),
            deployment.service("desk"),
        )
        if not site.start(lambda path: _WORK_S, "/browse/ready"):
            print("the deployment does not serve")
            return 2
        for machine in site.machines:
            machine.server.on_arrival = take
        deployment.in_background(send_other)
        time.sleep(2.0)
        end = time.monotonic() + _LENGTH_S
        while time.monotonic() < end:
            deployment.in_background(
                site.send, site.machines[3], "GET", _POISON
            )
            time.sleep(_POISON_EVERY_S)
        stopped.set()
        time.sleep(1.0)
        # Requests of the client, however many servers each has reached.
        late = set()
        if len(crashes) >= 3:
            since = crashes[2] + deployment.CONTACT_S
            late = {request_id for at, request_id in arrivals if at > since}
        site.record.write(
            "result",
            arrivals=len(arrivals),
            crashes=len(crashes),
            later_than_contact_after_third=len(late),
        )
        print(f"crashes {len(crashes)}, sent later than allowed {len(late)}")
        if not arrivals:
            return 2
        return 1 if len(late) > _MAX_RETRIES else 0
    finally:
        stopped.set()
        site.stop()


if __name__ == "__main__":
    deployment.run(main)
