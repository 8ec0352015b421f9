"""Routes the requests that this daemon receives and follows them to an answer.

A request is sent in legs: each is one attempt to have it executed by one
daemon's target. The dispatcher chooses the target, repeats a leg that was
refused or lost where that is allowed, and answers the caller.
"""

import functools
import itertools
import random
from collections.abc import Callable

from tamarackgap import logs, types
from tamarackgap.network import bytebudget, scheduler
from tamarackgap.ownership import ownership
from tamarackgap.peers import calls, transport
from tamarackgap.placement import slots
from tamarackgap.requests import retries
from tamarackgap.scheduling import balancer, zonepolicy
from tamarackgap.traffic import (
    crashes,
    outgoingbodies,
    pendingrequests,
    reruns,
    routetable,
    runner,
    targets,
)

# Pause before a request whose slot moves is tried again. After a planned move
# the new owner is known within this time.
_MOVE_RETRY_PAUSE_S = 0.02
# Share of the latency objective that a request may wait for a moving slot.
_MAX_MOVE_WAIT_SHARE = 0.6
# Retry advice if a key has no owner: the last owner's lease has to end first.
_NO_OWNER_RETRY_S = 0.3
_SERVER_ERROR_STATUS = 500
_FIRST_LEG_BITS = 48

# Refusals after which the owner of a key is looked up again.
_OWNER_CHANGED = frozenset(
    {
        types.Reason.WRONG_OWNER,
        types.Reason.SLOT_MOVING,
        types.Reason.LEASE_EXPIRED,
        types.Reason.NO_OWNER,
    }
)


class Dispatcher:
    """Tracks the requests that this daemon has received from callers.

    Attributes:
        zones: Chooses the targets of calls that any target can run.
        bodies: Sends legs to other daemons, large bodies in parts.
    """

    def __init__(
        self,
        core: ownership.Ownership,
        local_runner: runner.Runner,
        peer_transport: transport.PeerTransport,
        timers: scheduler.Scheduler,
        budgets: retries.ServiceRetryBudgets,
        rng: random.Random,
        crash_history: crashes.CrashHistory,
        data_centre: str,
        far_price: float = zonepolicy.DEFAULT_PRICE,
        budget: bytebudget.ByteBudget | None = None,
    ) -> None:
        """Creates a dispatcher without requests.

        Args:
            core: Looks up the owners of keys and the addresses of daemons.
            local_runner: Runs calls at this daemon's own target.
            peer_transport: Sends messages to the other daemons.
            timers: The loop's scheduler.
            budgets: Limits how many legs are sent again.
            rng: Breaks ties between targets, and draws the id of the first
                leg.
            crash_history: Fingerprints of requests that targets ran when they
                crashed.
            data_centre: The data centre of this daemon.
            far_price: Price of a megabyte between data centres, as a share of
                the value of an answer in time.
            budget: Counts the memory of all messages under way.
        """
        self.zones = zonepolicy.ZonePolicy(data_centre, far_price, rng)
        self._core = core
        self._runner = local_runner
        self._peer_transport = peer_transport
        self.bodies = outgoingbodies.OutgoingBodies(
            peer_transport,
            budget or bytebudget.ByteBudget(),
            self._handle_unsent_leg,
        )
        self._timers = timers
        self._budgets = budgets
        self._rng = rng
        self._crash_history = crash_history
        self._round_robin = routetable.WeightedRoundRobin()
        self._keyed: frozenset[str] = frozenset()
        self._targets = targets.TargetDirectory(core, timers)
        self._rerun_rules = reruns.RerunRules(self._targets, budgets, timers)
        self._open: set[pendingrequests.PendingRequest] = set()
        # By the ids of their current and earlier legs.
        self._by_leg: dict[int, pendingrequests.PendingRequest] = {}
        # Completions of legs of the process before may still arrive.
        self._leg_ids = itertools.count(rng.getrandbits(_FIRST_LEG_BITS) + 1)
        # Called with each request that has ended, for metrics.
        self.on_finished: Callable[
            [pendingrequests.PendingRequest, calls.Completion], None
        ] = _ignore

    @property
    def in_flight(self) -> int:
        """Number of requests that have not been answered yet."""
        return len(self._open)

    def configure(self, table: routetable.RouteTable) -> None:
        """Applies a new version of the route table."""
        self._keyed = frozenset(
            name for name, service in table.services.items() if service.keyed
        )

    def is_reachable(self, incarnation: str) -> bool:
        """Returns whether a daemon has reported its status recently."""
        return self._targets.is_reachable(incarnation)

    def addresses(self) -> set[str]:
        """Returns the `ip:port` of all daemons that calls may be sent to."""
        return self._targets.addresses()

    def update_status(
        self,
        sender: str,
        address: str,
        status: calls.TargetStatus,
        age: float | None = None,
    ) -> None:
        """Records the status that a daemon reports of itself.

        Args:
            sender: The daemon's incarnation.
            address: The daemon's `ip:port`.
            status: The state of its target.
            age: Time since a relay heard the status, seconds; None if the
                daemon itself has sent it to this one.
        """
        for gone in self._targets.update_status(sender, address, status, age):
            self._drop_daemon(gone)

    def is_keyed(self, service: str) -> bool:
        """Returns whether each key of a service has one owner."""
        return service in self._keyed

    def targets_of(self, service: str) -> list[balancer.Candidate]:
        """Returns the known targets of a service."""
        return list(self._targets.candidates_of_service(service))

    def digest(self, data_centre: str) -> tuple[calls.HeardStatus, ...]:
        """Returns the last states of a data centre's targets."""
        return self._targets.digest(data_centre)

    def submit(
        self,
        call: calls.Call,
        route: routetable.Route,
        received_at: float,
        timeout: float,
        done: pendingrequests.DoneCallback,
    ) -> pendingrequests.PendingRequest:
        """Accepts a request and sends its first leg.

        Args:
            call: The request as it is handed to targets.
            route: The route that it matched.
            received_at: Monotonic time of its first byte, seconds.
            timeout: Seconds that the caller waits.
            done: Called once with the completion, possibly before this method
                returns.

        Returns:
            The pending request, for `cancel`.
        """
        pending = pendingrequests.PendingRequest(
            call,
            route,
            self._round_robin.pick(route),
            received_at,
            received_at + min(timeout, route.timeout),
            done,
        )
        self._open.add(pending)
        self._budgets.for_service(pending.service).deposit()
        left = pending.deadline - self._timers.now
        pending.timer = self._timers.after(
            max(0.0, left), functools.partial(self._handle_deadline, pending)
        )
        self._send_leg(pending)
        return pending

    def cancel(self, pending: pendingrequests.PendingRequest) -> None:
        """Cancels a request whose caller has gone away."""
        if pending.on_done is None:
            return
        # The caller gets no response; the completion is logged and counted.
        pending.on_done = _discard
        self._withdraw_leg(pending)
        self._finish(
            pending,
            pendingrequests.final_completion(
                pending, types.Reason.NO_ANSWER, self._may_run(pending)
            ),
        )

    def give_up(self) -> None:
        """Answers all requests, since the process ends.

        Those that no target may have run can be sent again by their callers.
        """
        for pending in list(self._open):
            self._withdraw_leg(pending)
            self._finish(
                pending,
                pendingrequests.final_completion(
                    pending, types.Reason.DRAINING, self._may_run(pending)
                ),
            )

    def handle_completion(
        self, sender: str, completion: calls.Completion
    ) -> None:
        """Processes the completion of a leg; one of an ended leg is dropped."""
        self._targets.record_load(sender, completion)
        pending = self._by_leg.pop(completion.leg, None)
        if pending is None:
            logs.event("late_completion_dropped", leg=completion.leg)
            return
        self.bodies.drop(completion.leg)
        if completion.leg != pending.leg:
            self._handle_earlier_leg(pending, completion)
            return
        pending.leg = 0
        if completion.took and pending.candidate is not None:
            self.zones.travel.record(
                pending.candidate.data_centre,
                self._timers.now - pending.leg_sent_at - completion.took,
            )
        if completion.verdict is types.Verdict.ANSWERED:
            self._handle_answer(pending, completion)
        else:
            self._handle_failure(pending, completion)

    def rerun_silent_legs(self) -> None:
        """Sends requests at daemons that have been silent too long elsewhere.

        Silence alone ends no leg: the daemon may be slow, and its target at
        work. Requests that must not run twice, or that nobody else can run,
        wait for their deadline, or until the daemon is forgotten.
        """
        for name in self._targets.expired_daemons():
            self._drop_daemon(name)
        for leg, pending in list(self._by_leg.items()):
            if (
                leg == pending.leg
                and pending.route.idempotent
                and self._targets.is_silent(pending.candidate)
                and self._has_other_target(pending)
                and self._rerun_rules.may_rerun(pending)
            ):
                self._rerun_silent_leg(pending)

    def _has_other_target(
        self, pending: pendingrequests.PendingRequest
    ) -> bool:
        """Returns whether a target may run a request that has not had it."""
        if pending.service in self._keyed:
            owner, refusal = self._find_owner(pending)
            return refusal is None and owner != pending.candidate.incarnation
        now = self._timers.now
        return any(
            candidate.is_usable(now)
            and candidate.incarnation not in pending.tried
            for candidate in self._targets.candidates_of_service(
                pending.service
            )
        )

    def _rerun_silent_leg(
        self, pending: pendingrequests.PendingRequest
    ) -> None:
        self._record_outcome(pending, True)
        pending.may_have_run |= self._may_run(pending)
        pending.last_completion = calls.Completion(
            pending.leg, types.Verdict.MAY_HAVE_RUN, types.Reason.OWNER_LOST
        )
        pending.earlier_legs += (pending.leg,)
        self.bodies.drop(pending.leg)
        pending.leg = 0
        self._send_leg(pending)

    def _handle_earlier_leg(
        self,
        pending: pendingrequests.PendingRequest,
        completion: calls.Completion,
    ) -> None:
        """Passes on the answer to a leg that was not waited for."""
        if (
            completion.verdict is types.Verdict.ANSWERED
            and completion.status < _SERVER_ERROR_STATUS
        ):
            self._withdraw_leg(pending)
            self._finish(pending, completion)

    def _send_leg(self, pending: pendingrequests.PendingRequest) -> None:
        """Chooses a target and sends the next leg, or ends the request."""
        if pending.on_done is None:
            return
        now = self._timers.now
        if self._crash_history:
            fingerprint = crashes.fingerprint(pending.service, pending.call)
            barred_for = self._crash_history.barred_for(fingerprint, now)
            if barred_for:
                reason = types.Reason.CRASHES_TARGETS
                self._finish(
                    pending,
                    pendingrequests.final_completion(
                        pending, reason, False, barred_for
                    ),
                )
                return
        if pending.service in self._keyed:
            owner, refusal = self._find_owner(pending)
            if refusal is not None:
                self._await_owner(pending, refusal)
                return
            candidate = self._targets.candidate_of_owner(owner)
        else:
            candidate = self._choose_target(pending, now)
            if candidate is None:
                reason = types.Reason.TARGET_ABSENT
                if (
                    pending.last_completion is not None
                    and pending.last_completion.reason
                ):
                    reason = pending.last_completion.reason
                self._finish(
                    pending,
                    pendingrequests.final_completion(pending, reason, False),
                )
                return
        self._dispatch(pending, candidate, now)

    def _choose_target(
        self, pending: pendingrequests.PendingRequest, now: float
    ) -> balancer.Candidate | None:
        choice = self.zones.choose(
            self._targets.candidates_of_service(pending.service),
            pending.tried,
            pendingrequests.needs(
                pending, self.zones.sizes.usual(pending.service), now
            ),
            self._core.incarnation,
            now,
        )
        if choice is None:
            return None
        if choice.leaves:
            pendingrequests.log_leaving(pending, choice)
        return choice.candidate

    def _find_owner(
        self, pending: pendingrequests.PendingRequest
    ) -> tuple[str, types.Reason | None]:
        """Returns the owner of a request's key, or why there is none."""
        position = pending.call.position
        if position is None:
            return types.NO_INCARNATION, types.Reason.BAD_REQUEST
        service_record = self._core.view.service_record(pending.service)
        if service_record is None:
            return types.NO_INCARNATION, types.Reason.NO_OWNER
        slot = slots.slot_of_position(position, service_record.slots)
        slot_owner = self._core.slot_owners.find(pending.service, slot)
        if (
            slot_owner is None
            or self._core.view.lease(slot_owner.owner) is None
        ):
            return types.NO_INCARNATION, types.Reason.NO_OWNER
        return slot_owner.owner, None

    def _dispatch(
        self,
        pending: pendingrequests.PendingRequest,
        candidate: balancer.Candidate,
        now: float,
    ) -> None:
        leg = next(self._leg_ids)
        own_incarnation = self._core.incarnation
        way_back = 0.0
        if candidate.incarnation != own_incarnation:
            way_back = self._runner.way.margin(pending.deadline - now, now)
        dispatch = pendingrequests.dispatch(
            pending, candidate.incarnation, leg, way_back, now
        )
        pending.leg = leg
        pending.leg_sent_at = now
        pending.candidate = candidate
        pending.tried |= {candidate.incarnation}
        pending.runs += 1
        candidate.sent_since_report += 1
        self._by_leg[leg] = pending
        if candidate.incarnation == own_incarnation:
            self._runner.submit(
                dispatch,
                own_incarnation,
                functools.partial(self.handle_completion, own_incarnation),
            )
            return
        address = self._targets.address(candidate.incarnation)
        if not address or not self.bodies.send(
            own_incarnation, address, dispatch
        ):
            self._handle_unsent_leg(leg)

    def _handle_unsent_leg(self, leg: int) -> None:
        """Goes on after a leg that did not reach its daemon as a whole."""
        pending = self._by_leg.pop(leg, None)
        if pending is None or pending.leg != leg:
            return
        pending.leg = 0
        self._record_outcome(pending, True)
        self._handle_failure(
            pending,
            calls.Completion(
                leg, types.Verdict.NOT_RUN, types.Reason.PEER_UNREACHABLE
            ),
        )

    def _may_run(self, pending: pendingrequests.PendingRequest) -> bool:
        """Returns whether the current leg may be executed, or has been."""
        return bool(pending.leg) and not self.bodies.is_incomplete(pending.leg)

    def _handle_answer(
        self,
        pending: pendingrequests.PendingRequest,
        completion: calls.Completion,
    ) -> None:
        failed = completion.status >= _SERVER_ERROR_STATUS
        self._record_outcome(pending, failed)
        self.zones.sizes.record(pending.service, len(completion.body))
        if (
            failed
            and pending.route.idempotent
            and self._rerun_rules.may_rerun(pending)
        ):
            pending.may_have_run = True
            pending.last_completion = completion
            self._send_leg(pending)
            return
        self._finish(pending, completion)

    def _record_outcome(
        self, pending: pendingrequests.PendingRequest, failed: bool
    ) -> None:
        """Counts the last leg as a failure or a success of its target."""
        candidate = pending.candidate
        if candidate is None:
            return
        if failed:
            candidate.record_failure(self._timers.now)
        else:
            candidate.record_success(self._timers.now)

    def _handle_failure(
        self,
        pending: pendingrequests.PendingRequest,
        completion: calls.Completion,
    ) -> None:
        """Sends the next leg after one without answer, or ends the request."""
        reason = completion.reason
        may_have_run = completion.verdict is types.Verdict.MAY_HAVE_RUN
        pending.may_have_run |= may_have_run
        pending.last_completion = completion
        if may_have_run or reason is types.Reason.TARGET_REFUSED:
            self._record_outcome(pending, True)
        if may_have_run:
            if pending.route.idempotent and self._rerun_rules.may_rerun(
                pending
            ):
                self._send_leg(pending)
            else:
                self._finish(
                    pending,
                    pendingrequests.final_completion(pending, reason, True),
                )
            return
        if pending.service in self._keyed:
            if reason in _OWNER_CHANGED:
                self._await_owner(pending, reason)
                return
            if self._rerun_rules.may_retry_owner(pending, reason):
                # The daemons learn of a move within a few round trips.
                self._timers.after(
                    _MOVE_RETRY_PAUSE_S,
                    functools.partial(self._send_leg, pending),
                )
                return
        elif self._rerun_rules.may_try_other_target(pending, reason):
            self._send_leg(pending)
            return
        self._finish(
            pending,
            pendingrequests.final_completion(
                pending, reason, False, completion.retry_after
            ),
        )

    def _await_owner(
        self, pending: pendingrequests.PendingRequest, reason: types.Reason
    ) -> None:
        """Sends a request again after a pause if its slot is moving.

        Otherwise, or once it has waited too long, ends the request.
        """
        now = self._timers.now
        wait_until = (
            pending.received_at
            + pending.route.latency_objective * _MAX_MOVE_WAIT_SHARE
        )
        is_moving = reason in (
            types.Reason.SLOT_MOVING,
            types.Reason.WRONG_OWNER,
        )
        if is_moving and now + _MOVE_RETRY_PAUSE_S < min(
            wait_until, pending.deadline
        ):
            pending.runs = 0
            self._timers.after(
                _MOVE_RETRY_PAUSE_S, functools.partial(self._send_leg, pending)
            )
            return
        self._finish(
            pending,
            pendingrequests.final_completion(
                pending, reason, False, _NO_OWNER_RETRY_S
            ),
        )

    def _fail_leg(
        self, leg: int, pending: pendingrequests.PendingRequest
    ) -> None:
        verdict = (
            types.Verdict.MAY_HAVE_RUN
            if self._may_run(pending)
            else types.Verdict.NOT_RUN
        )
        self._by_leg.pop(leg, None)
        self.bodies.drop(leg)
        pending.leg = 0
        self._handle_failure(
            pending, calls.Completion(leg, verdict, types.Reason.OWNER_LOST)
        )

    def _drop_daemon(self, incarnation: str) -> None:
        """Forgets a daemon that is gone and fails its open legs."""
        self._targets.remove(incarnation)
        for leg, pending in list(self._by_leg.items()):
            candidate = pending.candidate
            if leg != pending.leg or candidate is None:
                continue
            if candidate.incarnation == incarnation:
                self._fail_leg(leg, pending)

    def _withdraw_leg(self, pending: pendingrequests.PendingRequest) -> None:
        if not pending.leg or pending.candidate is None:
            return
        owner = pending.candidate.incarnation
        own_incarnation = self._core.incarnation
        if owner == own_incarnation:
            self._runner.withdraw(own_incarnation, pending.leg)
            return
        address = self._targets.address(owner)
        if address:
            self._peer_transport.send(
                own_incarnation, address, calls.Withdraw(pending.leg)
            )

    def _handle_deadline(self, pending: pendingrequests.PendingRequest) -> None:
        if pending.on_done is None:
            return
        self._withdraw_leg(pending)
        self._finish(
            pending,
            pendingrequests.final_completion(
                pending, types.Reason.NO_ANSWER, self._may_run(pending)
            ),
        )

    def _finish(
        self,
        pending: pendingrequests.PendingRequest,
        completion: calls.Completion,
    ) -> None:
        done = pending.on_done
        if done is None:
            return
        pending.on_done = None
        pending.timer.cancel()
        for leg in (pending.leg, *pending.earlier_legs):
            self._by_leg.pop(leg, None)
            self.bodies.drop(leg)
        self._open.discard(pending)
        pendingrequests.log(
            pending, completion, self._timers.now, self._core.view.cursor
        )
        self.on_finished(pending, completion)
        done(completion)


def _ignore(
    pending: pendingrequests.PendingRequest, completion: calls.Completion
) -> None:
    del pending, completion


def _discard(completion: calls.Completion) -> None:
    del completion
