"""Servers that are granted keys, and a check of who takes them."""

import threading
import time

from review.common import deployment
from standins import httpd, keyranges


class Holdings:
    """Records each range of keys that a server takes, and its fence."""

    def __init__(self, record):
        """Creates the state of servers that hold nothing."""
        self.broken = 0
        self.lock = threading.RLock()
        self._record = record
        # Instance, first key, last key and fence of all ranges ever taken.
        self._taken = []

    def take(self, instance, hold):
        """Records that a server takes a range, and checks its fence."""
        with self.lock:
            self._record.write(
                "taken",
                instance=instance,
                first=hold.first,
                last=hold.last,
                fence=hold.fence,
                hold_s=round(hold.until - time.monotonic(), 3),
            )
            above = [
                each
                for each in self._taken
                if each[0] != instance
                and each[1] <= hold.last
                and each[2] >= hold.first
                and each[3] >= hold.fence
            ]
            if above:
                self.broken += 1
                other, first, last, fence = max(above, key=lambda e: e[3])
                self._record.write(
                    "OWNER",
                    key=max(first, hold.first),
                    went_to=instance,
                    fence=hold.fence,
                    had_by=other,
                    with_fence=fence,
                    last=min(last, hold.last),
                )
            self._taken.append((instance, hold.first, hold.last, hold.fence))


class KeyedServer(deployment.Server):
    """A server that runs requests only for keys that it holds.

    Attributes:
        copies_next: Whether the next grant on a connection that has carried
            one before meets both faults: a copy of the answer to the earlier
            grant arrives in its place, and the grant itself gets no answer and
            is carried out late.
        on_copied: Called when that has happened.
        late_s: How late it is carried out, seconds.
        queue_s: Time that each request waits in its queue, seconds.
        leaves_next: Whether the next grant that comes after a release has begun
            and a request for the keys has come too late gets no answer and is
            carried out late.
    """

    def __init__(self, record, machine, number, work_s, holdings):
        """Creates a server that has not started; see `deployment.Server`."""
        self.copies_next = False
        self.on_copied = lambda: None
        self.late_s = 0.0
        self.queue_s = 0.0
        self.leaves_next = False
        self._holdings = holdings
        self._holds = []
        # First key, last key and fence of all grants carried out.
        self._seen = []
        self._granted_on = set()
        self._releases = 0
        self._has_misdirected = False
        self._running_keys = []
        super().__init__(record, machine, number, work_s)

    def leave_next(self, late_s):
        """Leaves one of the next grants unanswered, and carries it out late."""
        self.late_s = late_s
        self._has_misdirected = False
        self.leaves_next = True

    def answer(self, request):
        """Returns the answer to a request or an order."""
        match request.path:
            case "/-/grant":
                return self._grant(request)
            case "/-/release":
                return self._release(request.json())
        time.sleep(self.queue_s)
        key = int(request.headers["x-tamarackgap-shard-key"])
        with self._holdings.lock:
            now = time.monotonic()
            is_held = any(
                hold.first <= key <= hold.last and hold.until > now
                for hold in self._holds
            )
            if not is_held:
                request_id = request.headers["x-tamarackgap-attempt-id"]
                self._has_misdirected = True
                self._record.write(
                    "misdirected", request=request_id, instance=self.instance
                )
                return httpd.Response(
                    421,
                    b"",
                    {
                        "X-Tamarackgap-Attempt-Id": request_id,
                        "X-Tamarackgap-Not-Executed": "1",
                    },
                )
            self._running_keys.append(key)
        try:
            return super().answer(request)
        finally:
            self._running_keys.remove(key)

    def _grant(self, request):
        body = request.json()
        # The hold counts from the arrival.
        hold = keyranges.Hold(
            body["from"],
            body["target"],
            body["fence"],
            time.monotonic() + body["hold_ms"] / 1000,
        )
        if self.copies_next and request.client in self._granted_on:
            self.copies_next = False
            self._record.write(
                "copy_of_an_earlier_answer", instance=self.instance
            )
            deployment.in_background(self._carry_out_late, hold)
            self.on_copied()
            # The bytes of the answer to the earlier grant.
            return httpd.Response(200)
        if self.leaves_next and self._has_misdirected:
            self.leaves_next = False
            self._record.write(
                "grant_left_unanswered",
                instance=self.instance,
                first=hold.first,
                last=hold.last,
                fence=hold.fence,
            )
            self._carry_out_late(hold)
            return httpd.Response(None)
        self._granted_on.add(request.client)
        return httpd.Response(200 if self._carry_out(hold) else 409)

    def _carry_out_late(self, hold):
        time.sleep(self.late_s)
        self._record.write("grant_carried_out_late", instance=self.instance)
        self._carry_out(hold)

    def _carry_out(self, hold):
        """Takes a range; returns False if a higher fence has been seen."""
        with self._holdings.lock:
            if any(
                first <= hold.last and last >= hold.first and fence > hold.fence
                for first, last, fence in self._seen
            ):
                return False
            self._seen.append((hold.first, hold.last, hold.fence))
            self._holds = keyranges.without(self._holds, hold.first, hold.last)
            if hold.until > time.monotonic():
                self._holds.append(hold)
                self._holdings.take(self.instance, hold)
            return True

    def _release(self, body):
        first, last = body["from"], body["target"]
        with self._holdings.lock:
            self._holds = keyranges.without(self._holds, first, last)
            self._releases += 1
            self._has_misdirected = False
            handover = f"{self.instance}-{self._releases}"
        self._record.write(
            "released", instance=self.instance, first=first, last=last
        )
        while any(first <= key <= last for key in list(self._running_keys)):
            time.sleep(0.002)
        return httpd.Response(200, b"", {"X-Tamarackgap-Handover": handover})
