"""Sends requests to daemons, as callers and operators do."""

import http.client
import json
import time

TIMEOUT_S = 30.0


def send_request(vm, method, path, body=b"", **headers):
    """Returns status, verdict and body of the response to a request.

    Args:
        vm: The VM whose daemon gets the request.
        method: HTTP method.
        path: Path and query.
        body: Body of the request.
        **headers: Header fields, with `_` for `-` in their names.
    """
    host, _, port = vm.http_address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    fields = {name.replace("_", "-"): text for name, text in headers.items()}
    connection.request(method, path, body, fields)
    response = connection.getresponse()
    data = response.read()
    connection.close()
    return response.status, response.headers["X-Verdict"], data


def wait_until(condition):
    """Waits until a condition holds, and fails after `TIMEOUT_S`."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, (
            "the condition did not become true in time"
        )
        time.sleep(0.05)


def owner_of(cluster, service, key, entry=0):
    """Returns the VM whose daemon owns a key.

    Args:
        cluster: The cluster.
        service: The key's service.
        key: The key.
        entry: Index of the VM whose daemon is asked.
    """
    path = f"/explain?service={service}&key={key}"
    explanation = json.loads(send_request(cluster.vms[entry], "GET", path)[2])
    return cluster.vm(explanation["daemon"])
