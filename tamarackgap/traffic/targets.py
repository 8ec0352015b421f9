"""Keeps the state of all targets as their daemons report it."""

from collections.abc import Iterator

from tamarackgap import logs, types
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.peers import calls
from tamarackgap.scheduling import balancer

# A daemon that has not reported for this long is forgotten.
_EXPIRY_S = 10 * balancer.SILENCE_TIMEOUT_S


class TargetDirectory:
    """Holds the targets that calls may be sent to, by their daemons."""

    def __init__(
        self, core: ownership.Ownership, timers: scheduler.Scheduler
    ) -> None:
        """Creates an empty directory.

        Args:
            core: Provides the addresses of daemons that have not reported yet.
            timers: The loop's scheduler.
        """
        self._core = core
        self._timers = timers
        # By the incarnations of their daemons.
        self._candidates: dict[str, balancer.Candidate] = {}
        self._addresses: dict[str, str] = {}
        self._incarnations_by_address: dict[str, set[str]] = {}

    def update_status(
        self,
        sender: str,
        address: str,
        status: calls.TargetStatus,
        age: float | None = None,
    ) -> list[str]:
        """Records the status that a daemon reports.

        Args:
            sender: The daemon's incarnation.
            address: The daemon's `ip:port`.
            status: The state of its target.
            age: Time since a relay heard the status, seconds; None if the
                daemon itself has sent it to this one.

        Returns:
            Incarnations that have ended, since another process has reported
            from their address.
        """
        others = [
            name
            for name in self._incarnations_by_address.get(address, ())
            if name != sender
        ]
        candidate = self._candidates.get(sender)
        heard_at = self._timers.now - (age or 0.0)
        if age is not None and self._is_outdated(candidate, others, heard_at):
            return []
        for name in others:
            other = self._candidates.get(name)
            if candidate is None and other and other.process == status.process:
                candidate = self._rename(other, sender)
        if candidate is None:
            candidate = balancer.Candidate(sender)
            logs.event("daemon_heard", incarnation=sender, address=address)
        self._candidates[sender] = candidate
        ended = [name for name in others if name in self._candidates]
        self._set_address(sender, address)
        if candidate.accepting != status.accepting:
            logs.event(
                "target_state_heard",
                incarnation=sender,
                service=status.service,
                accepting=status.accepting,
            )
        candidate.service = status.service
        candidate.accepting = status.accepting
        candidate.data_centre = status.data_centre
        candidate.process = status.process
        candidate.status_interval = status.interval
        candidate.capacity = status.capacity
        candidate.relative_latency = status.relative_latency
        candidate.way = status.way
        candidate.status = status
        candidate.status_at = heard_at
        if heard_at >= candidate.last_heard:
            # No completion has reported the load since.
            self._set_load(candidate, status.running + status.waiting)
            candidate.slowdown = status.slowdown or 1.0
            candidate.last_heard = heard_at
        return ended

    def _is_outdated(
        self,
        candidate: balancer.Candidate | None,
        others: list[str],
        heard_at: float,
    ) -> bool:
        """Returns whether a later status of the daemon is known.

        Args:
            candidate: The target of the incarnation that reported, if known.
            others: Other incarnations at the same address.
            heard_at: When the status was heard, seconds.
        """
        known = [self._candidates.get(name) for name in others]
        return any(
            other is not None and other.status_at >= heard_at
            for other in (candidate, *known)
        )

    def digest(self, data_centre: str) -> tuple[calls.HeardStatus, ...]:
        """Returns the last states of a data centre's targets.

        Daemons that have not reported for too long are left out.
        """
        now = self._timers.now
        return tuple(
            calls.HeardStatus(
                candidate.incarnation,
                self._addresses[candidate.incarnation],
                now - candidate.status_at,
                candidate.status,
            )
            for candidate in self._candidates.values()
            if candidate.data_centre == data_centre
            and candidate.status is not None
            and not candidate.is_silent(now)
        )

    def record_load(self, sender: str, completion: calls.Completion) -> None:
        """Records the load that a daemon reports with a completion."""
        candidate = self._candidates.get(sender)
        if candidate is not None:
            self._set_load(candidate, completion.running + completion.waiting)
            if completion.slowdown > 0:
                candidate.slowdown = completion.slowdown
            candidate.last_heard = max(candidate.last_heard, self._timers.now)

    def remove(self, incarnation: str) -> None:
        """Removes a daemon that is gone."""
        self._candidates.pop(incarnation, None)
        self._remove_address(incarnation)
        logs.event("daemon_dropped", incarnation=incarnation)

    def is_reachable(self, incarnation: str) -> bool:
        """Returns whether a daemon has reported recently."""
        candidate = self._candidates.get(incarnation)
        return candidate is not None and not self.is_silent(candidate)

    def is_silent(self, candidate: balancer.Candidate) -> bool:
        """Returns whether a target's daemon has not reported for too long.

        A candidate may have been made for an owner that had not reported yet;
        what its daemon has reported since counts.
        """
        known = self._candidates.get(candidate.incarnation, candidate)
        return known.is_silent(self._timers.now)

    def expired_daemons(self) -> list[str]:
        """Returns the daemons whose last report is too old to keep them."""
        since = self._timers.now - _EXPIRY_S
        return [
            name
            for name, candidate in self._candidates.items()
            if candidate.last_heard < since
        ]

    def candidates_of_service(
        self, service: str
    ) -> Iterator[balancer.Candidate]:
        """Yields the targets of a service."""
        return (
            candidate
            for candidate in self._candidates.values()
            if candidate.service == service
        )

    def candidate_of_owner(
        self, incarnation: types.Incarnation
    ) -> balancer.Candidate:
        """Returns the target of a key's owner, even if it never reported."""
        candidate = self._candidates.get(incarnation)
        if candidate is None:
            return balancer.Candidate(incarnation, last_heard=self._timers.now)
        return candidate

    def addresses(self) -> set[str]:
        """Returns the `ip:port` of all daemons that have reported.

        A daemon that has given up its lease is included, since it still
        accepts calls until it ends.
        """
        return set(self._incarnations_by_address)

    def has_room(self, service: str) -> bool:
        """Returns whether a target of a service can run one more call now."""
        now = self._timers.now
        return any(
            candidate.reported_load + candidate.sent_since_report
            < candidate.capacity
            for candidate in self.candidates_of_service(service)
            if candidate.is_usable(now)
        )

    def address(self, incarnation: str) -> str:
        """Returns a daemon's `ip:port`, or "" if it is not known."""
        address = self._addresses.get(incarnation)
        if address is None:
            record = self._core.view.lease(incarnation)
            address = record.peer_address if record is not None else ""
        return address

    def _rename(
        self, candidate: balancer.Candidate, incarnation: str
    ) -> balancer.Candidate:
        """Moves a candidate to the new incarnation of its daemon's process.

        After a process has lost its lease, or while it leaves, it continues
        under another incarnation and still answers the calls that it had.
        """
        logs.event(
            "daemon_renamed",
            incarnation=incarnation,
            earlier=candidate.incarnation,
        )
        del self._candidates[candidate.incarnation]
        self._remove_address(candidate.incarnation)
        candidate.incarnation = incarnation
        return candidate

    def _set_address(self, incarnation: str, address: str) -> None:
        previous = self._addresses.get(incarnation)
        if previous != address:
            self._remove_address(incarnation)
            self._addresses[incarnation] = address
            self._incarnations_by_address.setdefault(address, set()).add(
                incarnation
            )

    def _remove_address(self, incarnation: str) -> None:
        address = self._addresses.pop(incarnation, None)
        if address is None:
            return
        names = self._incarnations_by_address[address]
        names.discard(incarnation)
        if not names:
            del self._incarnations_by_address[address]

    def _set_load(self, candidate: balancer.Candidate, load: int) -> None:
        candidate.reported_load = load
        candidate.sent_since_report = 0
