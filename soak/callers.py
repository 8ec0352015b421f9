"""Callers of a soak run: they send requests and record what they get."""

import http.client
import itertools
import random
import threading
import time

from soak import checker

_REQUEST_TIMEOUT_MS = 1200
_SOCKET_TIMEOUT_S = 3.0
# Mean pause of a caller between two requests.
_MEAN_PAUSE_S = 0.02
_KEYED_SHARE = 0.6
_KEY_COUNT = 65_536

_ids = itertools.count(1)


class Caller:
    """Sends requests to one daemon, all on one connection while that is open.

    Attributes:
        connection_count: Number of connections that were opened.
    """

    def __init__(
        self,
        address: str,
        rng: random.Random,
        invariants: checker.InvariantChecker,
        stopped: threading.Event,
    ) -> None:
        """Creates a caller.

        Args:
            address: Where the daemon listens for callers, `ip:port`.
            rng: Random source for requests and pauses.
            invariants: Gets each exchange.
            stopped: Set when the caller is to stop.
        """
        self._address = address
        self._rng = rng
        self._invariants = invariants
        self._stopped = stopped
        self._connection: http.client.HTTPConnection | None = None
        self.connection_count = 0

    def run(self) -> None:
        """Sends requests until the caller is stopped."""
        while not self._stopped.is_set():
            time.sleep(self._rng.uniform(0, 2 * _MEAN_PAUSE_S))
            self.send_request()

    def send_request(self) -> None:
        """Sends a request, and records the exchange.

        A connection is left only when it fails or the daemon closes it.
        """
        request_id = f"s{next(_ids):07d}"
        keyed = self._rng.random() < _KEYED_SHARE
        host = "money.example" if keyed else "seats.example"
        path = f"/pay/{request_id}" if keyed else f"/browse/{request_id}"
        headers = {
            "Host": host,
            "X-Tamarackgap-Attempt-Id": request_id,
            "X-Tamarackgap-Timeout-Ms": str(_REQUEST_TIMEOUT_MS),
        }
        if keyed:
            shard_key = self._rng.randrange(_KEY_COUNT)
            headers["X-Tamarackgap-Shard-Key"] = str(shard_key)
        status, response_headers, body = 0, {}, b""
        try:
            connection = self._open_connection()
            connection.request("POST" if keyed else "GET", path, None, headers)
            response = connection.getresponse()
            body = response.read()
            status, response_headers = response.status, response.headers
        except (OSError, http.client.HTTPException):
            if self._connection is not None:
                self._connection.close()
        self._invariants.record_exchange(
            checker.Exchange(
                request_id,
                not keyed,
                path,
                status,
                bool(response_headers.get("X-Tamarackgap-Response-Signature")),
                response_headers.get("X-Tamarackgap-Attempt-Id", ""),
                body,
            )
        )

    def _open_connection(self) -> http.client.HTTPConnection:
        """Returns the open connection, or a new one if there is none."""
        if self._connection is None or self._connection.sock is None:
            self._connection = http.client.HTTPConnection(
                self._address, timeout=_SOCKET_TIMEOUT_S
            )
            self._connection.connect()
            self.connection_count += 1
        return self._connection
