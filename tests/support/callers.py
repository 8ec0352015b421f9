"""What a caller or operator does, in one call."""

import http.client
import json
import time

TIMEOUT_S = 30.0


def send_request(place, method, path, body=b"", **headers):
    """Returns status, verdict and body of one request to a daemon."""
    host, _, port = place.http_address.rpartition(":")
    link = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    named = {name.replace("_", "-"): text for name, text in headers.items()}
    link.request(method, path, body, named)
    answer = link.getresponse()
    data = answer.read()
    link.close()
    return answer.status, answer.headers["X-Verdict"], data


def wait_until(check):
    """Waits until something holds."""
    give_up = time.monotonic() + TIMEOUT_S
    while not check():
        assert time.monotonic() < give_up, "it did not come about"
        time.sleep(0.05)


def owner_of(running, service, key, entry=0):
    """Returns the VM whose daemon owns a key."""
    path = f"/explain?service={service}&key={key}"
    found = json.loads(send_request(running.vms[entry], "GET", path)[2])
    return running.vm(found["daemon"])
