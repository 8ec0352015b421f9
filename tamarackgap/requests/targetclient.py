"""Sends requests and grants to the local target."""

from collections.abc import Callable

import msgspec
from returns import result

from tamarackgap import decoding, logs, types, verdicts
from tamarackgap.network import exchanges, httpclient, scheduler
from tamarackgap.peers import messages
from tamarackgap.placement import slots
from tamarackgap.settings import config

_GRANT_TIMEOUT_S = 0.5
_CANCEL_TIMEOUT_S = 0.5
_MAX_CONTROL_ANSWER_BYTES = 65_536
# A request that takes effect at its deadline is answered a little later.
_DEADLINE_GRACE_S = 0.02
_MAX_HEAD_BYTES = 16_384
NOT_RUN_HEADER = "x-not-run"


class Announcement(msgspec.Struct, frozen=True):
    """What a target announces about itself, about once a second.

    Attributes:
        name: Name of the target.
        service: Service that it runs.
        address: Its address, `ip:port`.
        slots: Most requests that it executes at once.
        connections: Most connections that it accepts.
        checks_grants: Whether it refuses requests without a valid grant.
        leaving: Whether it wants no new requests.
    """

    name: str
    service: str
    address: str
    slots: decoding.Count
    connections: decoding.Count
    checks_grants: bool = False
    leaving: bool = False


class Grant(msgspec.Struct, frozen=True):
    """Tells the target which slots it may serve, and until when.

    Attributes:
        owner: Incarnation that holds the lease.
        until: End of the lease on the VM's monotonic clock, seconds.
        runs: Ranges of slots, with their fences.
    """

    owner: str
    until: float
    runs: tuple[slots.SlotRange, ...]


class TargetRequest(msgspec.Struct, frozen=True):
    """A request to be sent to the target.

    Attributes:
        forward: The request.
        fence: Fence of its slot.
        deadline: Time by which it must have taken effect, on the VM's
            monotonic clock, seconds.
    """

    forward: messages.Forward
    fence: int
    deadline: float


DoneCallback = Callable[[verdicts.Result], None]


def announcement_error(announcement: Announcement, service: str) -> str | None:
    """Returns what is wrong with an announcement, or None."""
    if announcement.service != service:
        return f"service {announcement.service}: expected {service}"
    if not config.is_address(announcement.address):
        return f"address {announcement.address}: expected ip:port"
    if announcement.slots < 1 or announcement.connections < 1:
        return "slots and connections: expected at least 1"
    return None


class TargetClient:
    """Sends requests to the target, and keeps its last announcement."""

    def __init__(
        self,
        http: httpclient.HttpClient,
        clock: scheduler.Clock,
        max_announcement_age: float,
        max_answer_bytes: int,
    ) -> None:
        """Creates a client of a target that has not announced itself.

        Args:
            http: HTTP client for all requests.
            clock: The VM's monotonic clock, seconds. The target reads the
                same clock.
            max_announcement_age: Age of an announcement at which the
                target counts as absent, seconds.
            max_answer_bytes: Largest answer body, bytes.
        """
        self._http = http
        self._clock = clock
        self._max_announcement_age = max_announcement_age
        self._max_answer_bytes = max_answer_bytes
        self._announcement: Announcement | None = None
        self._last_heard = float("-inf")
        self._grant_pending = False

    @property
    def announcement(self) -> Announcement | None:
        """The last announcement, or None if it is too old."""
        if self._clock() - self._last_heard > self._max_announcement_age:
            return None
        return self._announcement

    @property
    def concurrency(self) -> int:
        """Most requests that the target executes at once; 0 if absent."""
        announcement = self.announcement
        if announcement is None:
            return 0
        return min(announcement.slots, announcement.connections)

    @property
    def accepts_requests(self) -> bool:
        """Whether the target is present and not leaving."""
        announcement = self.announcement
        return announcement is not None and not announcement.leaving

    @property
    def checks_grants(self) -> bool:
        """Whether the target refuses requests without a valid grant."""
        announcement = self.announcement
        return announcement is not None and announcement.checks_grants

    def record_announcement(self, announcement: Announcement) -> None:
        """Records an announcement, and logs it if it is a new one."""
        previous = self._announcement
        if previous != announcement:
            logs.event(
                "target_announced",
                target=announcement.name,
                address=announcement.address,
                slots=announcement.slots,
                leaving=announcement.leaving,
                checks_grants=announcement.checks_grants,
            )
        self._announcement = announcement
        self._last_heard = self._clock()

    def record_answer(self) -> None:
        """Records an answer.

        A target that answers is present, even if it sends no announcements.
        """
        if self._announcement is not None:
            self._last_heard = self._clock()

    def mark_unreachable(self) -> None:
        """Counts the target as absent until its next announcement or answer."""
        if self._last_heard != float("-inf"):
            logs.event("target_unreachable")
        self._last_heard = float("-inf")

    def send_grant(self, grant: Grant) -> bool:
        """Sends a grant to the target.

        Returns:
            False if nothing was sent, because the target is absent or does
            not check grants, or because the last grant is not yet answered.
        """
        announcement = self.announcement
        if (
            announcement is None
            or not announcement.checks_grants
            or self._grant_pending
        ):
            return False
        self._grant_pending = True

        def on_done(outcome: object) -> None:
            del outcome
            self._grant_pending = False

        self._http.send(
            httpclient.Request(
                announcement.address,
                "PUT",
                "/grant",
                {"Content-Type": "application/json"},
                msgspec.json.encode(grant),
                _GRANT_TIMEOUT_S,
                _MAX_CONTROL_ANSWER_BYTES,
            ),
            on_done,
        )
        return True

    def run(
        self, request: TargetRequest, on_done: DoneCallback
    ) -> Callable[[], None]:
        """Has the target execute a request.

        Args:
            request: The request, with its fence and deadline.
            on_done: Called once with the result.

        Returns:
            A function that cancels the request, also at the target.
        """
        announcement = self.announcement
        if announcement is None:
            on_done(verdicts.not_run(types.Reason.TARGET_ABSENT))
            return _do_nothing
        remaining = request.deadline - self._clock()
        exchange = self._http.send(
            self._make_request(announcement, request, remaining),
            lambda outcome: on_done(self._to_result(outcome)),
        )

        def cancel() -> None:
            if not exchange.finished:
                self._http.cancel(exchange)
                self._cancel(announcement.address, request.forward.leg)

        return cancel

    def _make_request(
        self,
        announcement: Announcement,
        request: TargetRequest,
        remaining: float,
    ) -> httpclient.Request:
        forward = request.forward
        headers = {
            "X-Request-Id": forward.request_id,
            "X-Run-Id": forward.leg,
            "X-Key": forward.key.encode("utf-8").hex(),
            "X-Slot": str(forward.slot),
            "X-Fence": str(request.fence),
            "X-Deadline": f"{request.deadline:.6f}",
            "X-Owner": forward.owner,
        }
        return httpclient.Request(
            announcement.address,
            forward.method,
            forward.path or "/",
            headers,
            forward.body,
            remaining + _DEADLINE_GRACE_S,
            self._max_answer_bytes + _MAX_HEAD_BYTES,
        )

    def _to_result(
        self, outcome: result.Result[httpclient.Answer, exchanges.Failure]
    ) -> verdicts.Result:
        match outcome:
            case result.Success(httpclient.Answer() as answer):
                if NOT_RUN_HEADER in answer.headers:
                    return verdicts.not_run(types.Reason.TARGET_REFUSED)
                return verdicts.answered(
                    answer.status,
                    answer.headers.get("content-type", ""),
                    answer.body,
                )
            case result.Failure(exchanges.Failure() as failure):
                return self._failure_to_result(failure)
        raise AssertionError(outcome)

    def _failure_to_result(self, failure: exchanges.Failure) -> verdicts.Result:
        if failure.cause is exchanges.Cause.UNREACHABLE:
            self.mark_unreachable()
        if not failure.sent:
            return verdicts.not_run(types.Reason.TARGET_ABSENT)
        return verdicts.may_have_run(_REASON_BY_CAUSE[failure.cause])

    def _cancel(self, address: str, leg: str) -> None:
        self._http.send(
            httpclient.Request(
                address,
                "POST",
                f"/cancel/{leg}",
                {},
                b"",
                _CANCEL_TIMEOUT_S,
                _MAX_CONTROL_ANSWER_BYTES,
            ),
            _ignore,
        )


_REASON_BY_CAUSE = {
    exchanges.Cause.UNREACHABLE: types.Reason.TARGET_ABSENT,
    exchanges.Cause.CLOSED: types.Reason.TARGET_FAILED,
    exchanges.Cause.TIMEOUT: types.Reason.NO_ANSWER,
    exchanges.Cause.TRUNCATED: types.Reason.ANSWER_TRUNCATED,
    exchanges.Cause.MALFORMED: types.Reason.TARGET_FAILED,
    exchanges.Cause.TOO_LARGE: types.Reason.ANSWER_TOO_LARGE,
    exchanges.Cause.CANCELLED: types.Reason.NO_ANSWER,
}


def _do_nothing() -> None:
    pass


def _ignore(outcome: object) -> None:
    del outcome
