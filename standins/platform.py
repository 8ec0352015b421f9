"""Stand-in for the table service and object store, with injectable faults."""

import random
import threading
import time
import urllib.parse

import click
import msgspec

from standins import httpd
from standins import table as table_lib
from tamarackgap.placement import records


class Faults(msgspec.Struct):
    """Faults that are currently injected.

    Attributes:
        down: Whether every request fails.
        delay: Delay of each answer, seconds.
        lose_answers: Share of transactions whose answer is lost after they
            took effect.
        reads: Limit of reads per second.
        writes: Limit of transactions per second.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: float = 0.0
    reads: int = 2000
    writes: int = 400


class RateLimiter:
    """Limits the number of requests per second."""

    def __init__(self) -> None:
        self._second = 0
        self._count = 0
        self._lock = threading.Lock()

    def admit(self, limit: int) -> bool:
        """Counts a request; returns whether it is within the limit."""
        with self._lock:
            second = int(time.monotonic())
            if second != self._second:
                self._second = second
                self._count = 0
            self._count += 1
            return self._count <= limit


class Platform:
    """A table and an object store that share their faults.

    Attributes:
        table: The table.
        faults: Faults that are currently injected.
    """

    def __init__(self, seed: int = 1) -> None:
        """Creates empty stores; `seed` determines which answers are lost."""
        self.table = table_lib.Table()
        self.faults = Faults()
        self._objects: dict[str, bytes] = {}
        self._rng = random.Random(seed)
        self._read_limiter = RateLimiter()
        self._write_limiter = RateLimiter()

    def handle_request(self, request: httpd.Request) -> httpd.Response:
        """Handles a request to the stores, or to the stand-in's own paths."""
        parts = urllib.parse.urlsplit(request.path)
        if parts.path == "/faults":
            return self._set_faults(request)
        if parts.path == "/counts":
            counts = {"reads": self.table.reads, "writes": self.table.writes}
            return httpd.json_response(counts)
        if self.faults.delay:
            time.sleep(self.faults.delay)
        if self.faults.down:
            return httpd.Response(None)
        if parts.path == "/rows":
            return self._read(parts.query)
        if parts.path == "/transactions":
            return self._commit(request.body)
        if parts.path.startswith("/objects"):
            return self._handle_object(request, parts)
        return httpd.Response(404)

    def _set_faults(self, request: httpd.Request) -> httpd.Response:
        current = msgspec.to_builtins(self.faults)
        self.faults = msgspec.convert({**current, **request.json()}, Faults)
        return httpd.json_response(self.faults)

    def _read(self, query: str) -> httpd.Response:
        if not self._read_limiter.admit(self.faults.reads):
            return httpd.Response(429)
        since = int(urllib.parse.parse_qs(query).get("since", ["0"])[0])
        revision, rows = self.table.rows_since(since)
        return httpd.json_response({"revision": revision, "rows": rows})

    def _commit(self, body: bytes) -> httpd.Response:
        if not self._write_limiter.admit(self.faults.writes):
            return httpd.Response(429)
        transaction = msgspec.json.decode(body, type=records.Transaction)
        committed, rows = self.table.commit(transaction)
        if self._rng.random() < self.faults.lose_answers:
            return httpd.Response(None)
        status = 200 if committed else 409
        return httpd.json_response(
            {"committed": committed, "rows": rows}, status
        )

    def _handle_object(
        self, request: httpd.Request, parts: urllib.parse.SplitResult
    ) -> httpd.Response:
        name = parts.path.removeprefix("/objects").lstrip("/")
        if request.method == "PUT":
            self._objects[name] = request.body
            return httpd.Response(200)
        if not name:
            prefix = urllib.parse.parse_qs(parts.query).get("prefix", [""])[0]
            names = sorted(n for n in self._objects if n.startswith(prefix))
            return httpd.json_response(names)
        if name in self._objects:
            return httpd.Response(200, self._objects[name])
        return httpd.Response(404)


@click.command()
@click.option("--listen", required=True, help="Address to listen at, ip:port.")
@click.option("--seed", default=1, help="Seed for the choice of lost answers.")
def main(listen: str, seed: int) -> None:
    """Runs the stand-in until it is stopped."""
    httpd.serve(listen, Platform(seed).handle_request).serve_forever()


if __name__ == "__main__":
    main()
