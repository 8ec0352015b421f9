"""The target beside this daemon: announcements, grants and hand-over."""

from collections.abc import Callable

import msgspec
from returns import result

from tamarackgap import logs, types, verdicts
from tamarackgap.network import exchanges, httpclient, scheduler
from tamarackgap.peers import messages
from tamarackgap.placement import slots
from tamarackgap.settings import config

_GRANT_TIMEOUT_S = 0.5
_CANCEL_TIMEOUT_S = 0.5
_SMALL_ANSWER_BYTES = 65_536
# A target answers a run that met its deadline a little after it.
_GRACE_S = 0.02
_HEADER_BYTES = 16_384
NOT_RUN_HEADER = "x-not-run"


class Announcement(msgspec.Struct, frozen=True):
    """What a target says of itself, about once a second.

    Attributes:
        name: The target's name.
        service: Its service.
        address: Its `ip:port`.
        slots: Requests it can run at once.
        connections: Connections it accepts.
        checks_grants: Whether it refuses work without a valid grant.
        leaving: Whether it wants no new work.
    """

    name: str
    service: str
    address: str
    slots: int
    connections: int
    checks_grants: bool = False
    leaving: bool = False


class Grant(msgspec.Struct, frozen=True):
    """Tells the target which slots it may serve, and until when.

    Attributes:
        owner: The incarnation that holds the lease.
        until: End of the lease on the VM's monotonic clock, seconds.
        runs: The slots with their fences.
    """

    owner: str
    until: float
    runs: tuple[slots.SlotRange, ...]


class TargetRequest(msgspec.Struct, frozen=True):
    """A request to hand to the target.

    Attributes:
        forward: The request.
        fence: Fence of its slot.
        deadline: When it must have taken effect, on the VM's monotonic
            clock, seconds.
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
    """The link to the target."""

    def __init__(
        self,
        http: httpclient.HttpClient,
        clock: scheduler.Clock,
        max_announcement_age: float,
        max_answer_bytes: int,
    ) -> None:
        """Creates a link to a target that has not announced itself.

        Args:
            http: Carries the requests.
            clock: The VM's monotonic clock; the target reads the same one.
            max_announcement_age: Age of an announcement at which the
                target counts as absent, seconds.
            max_answer_bytes: Largest answer body, bytes.
        """
        self._http = http
        self._clock = clock
        self._silence = max_announcement_age
        self._largest_answer = max_answer_bytes
        self._announcement: Announcement | None = None
        self._heard = float("-inf")
        self._granting = False

    @property
    def announcement(self) -> Announcement | None:
        """The last announcement, or None once it is old."""
        if self._clock() - self._heard > self._silence:
            return None
        return self._announcement

    @property
    def concurrency(self) -> int:
        """Most requests that the target can take at once; 0 if absent."""
        known = self.announcement
        if known is None:
            return 0
        return min(known.slots, known.connections)

    @property
    def takes_work(self) -> bool:
        """Whether the target is there and not leaving."""
        known = self.announcement
        return known is not None and not known.leaving

    @property
    def checks_grants(self) -> bool:
        """Whether the target refuses work without a valid grant."""
        known = self.announcement
        return known is not None and known.checks_grants

    def record_announcement(self, announcement: Announcement) -> None:
        """Takes an announcement in."""
        before = self._announcement
        if before != announcement:
            logs.event(
                "target_announced",
                target=announcement.name,
                address=announcement.address,
                slots=announcement.slots,
                leaving=announcement.leaving,
                checks_grants=announcement.checks_grants,
            )
        self._announcement = announcement
        self._heard = self._clock()

    def record_answer(self) -> None:
        """Notes an answer: a target that serves is there, if it is silent."""
        if self._announcement is not None:
            self._heard = self._clock()

    def mark_unreachable(self) -> None:
        """Notes that the target can't be reached."""
        if self._heard != float("-inf"):
            logs.event("target_unreachable")
        self._heard = float("-inf")

    def send_grant(self, grant: Grant) -> bool:
        """Renews the target's grant; False if the last is on its way."""
        known = self.announcement
        if known is None or not known.checks_grants or self._granting:
            return False
        self._granting = True

        def done(outcome: object) -> None:
            del outcome
            self._granting = False

        self._http.send(
            httpclient.Request(
                known.address,
                "PUT",
                "/grant",
                {"Content-Type": "application/json"},
                msgspec.json.encode(grant),
                _GRANT_TIMEOUT_S,
                _SMALL_ANSWER_BYTES,
            ),
            done,
        )
        return True

    def run(
        self, order: TargetRequest, done: DoneCallback
    ) -> Callable[[], None]:
        """Hands a request to the target.

        Args:
            order: The request, with its fence and deadline.
            done: Called once with the result.

        Returns:
            A function that cancels the request, at the target as well.
        """
        known = self.announcement
        if known is None:
            done(verdicts.not_run(types.Reason.TARGET_ABSENT))
            return _nothing
        left = order.deadline - self._clock()
        exchange = self._http.send(
            self._request(known, order, left),
            lambda outcome: done(self._judge(outcome)),
        )

        def cancel() -> None:
            if not exchange.finished:
                self._http.cancel(exchange)
                self._cancel(known.address, order.forward.leg)

        return cancel

    def _request(
        self, known: Announcement, order: TargetRequest, left: float
    ) -> httpclient.Request:
        forward = order.forward
        headers = {
            "X-Request-Id": forward.request_id,
            "X-Run-Id": forward.leg,
            "X-Key": forward.key.encode("utf-8").hex(),
            "X-Slot": str(forward.slot),
            "X-Fence": str(order.fence),
            "X-Deadline": f"{order.deadline:.6f}",
            "X-Owner": forward.owner,
        }
        return httpclient.Request(
            known.address,
            forward.method,
            forward.path or "/",
            headers,
            forward.body,
            left + _GRACE_S,
            self._largest_answer + _HEADER_BYTES,
        )

    def _judge(
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
                return self._judge_failure(failure)
        raise AssertionError(outcome)

    def _judge_failure(self, failure: exchanges.Failure) -> verdicts.Result:
        if failure.cause is exchanges.Cause.UNREACHABLE:
            self.mark_unreachable()
        if not failure.sent:
            return verdicts.not_run(types.Reason.TARGET_ABSENT)
        return verdicts.may_have_run(_REASONS[failure.cause])

    def _cancel(self, address: str, run: str) -> None:
        self._http.send(
            httpclient.Request(
                address,
                "POST",
                f"/cancel/{run}",
                {},
                b"",
                _CANCEL_TIMEOUT_S,
                _SMALL_ANSWER_BYTES,
            ),
            _ignore,
        )


_REASONS = {
    exchanges.Cause.UNREACHABLE: types.Reason.TARGET_ABSENT,
    exchanges.Cause.CLOSED: types.Reason.TARGET_FAILED,
    exchanges.Cause.TIMEOUT: types.Reason.NO_ANSWER,
    exchanges.Cause.TRUNCATED: types.Reason.ANSWER_TRUNCATED,
    exchanges.Cause.MALFORMED: types.Reason.TARGET_FAILED,
    exchanges.Cause.TOO_LARGE: types.Reason.ANSWER_TOO_LARGE,
    exchanges.Cause.CANCELLED: types.Reason.NO_ANSWER,
}


def _nothing() -> None:
    pass


def _ignore(outcome: object) -> None:
    del outcome
