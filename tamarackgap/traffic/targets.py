"""What a daemon knows of all targets, from what their daemons tell."""

from collections.abc import Iterator

from tamarackgap import logs, types
from tamarackgap.network import scheduler
from tamarackgap.ownership import ownership
from tamarackgap.peers import calls
from tamarackgap.traffic import balancer

# A daemon that has told nothing for so long is forgotten, seconds.
_FORGOTTEN_S = 10 * balancer.SILENCE_TIMEOUT_S


class TargetDirectory:
    """The targets that calls may be sent to, each by its daemon."""

    def __init__(
        self, core: ownership.Ownership, timers: scheduler.Scheduler
    ) -> None:
        """Creates an empty list.

        Args:
            core: Knows the addresses of daemons that have told nothing yet.
            timers: The loop's scheduler.
        """
        self._core = core
        self._timers = timers
        self._candidates: dict[str, balancer.Candidate] = {}
        self._addresses: dict[str, str] = {}
        # The incarnations at each address.
        self._at: dict[str, set[str]] = {}

    def update_status(
        self, sender: str, address: str, status: calls.TargetStatus
    ) -> list[str]:
        """Takes in what a daemon tells of itself.

        Returns:
            Incarnations that are gone: another process is at their address.
        """
        earlier = [name for name in self._at.get(address, ()) if name != sender]
        candidate = self._candidates.get(sender)
        for name in earlier:
            same = self._candidates.get(name)
            if candidate is None and same and same.process == status.process:
                candidate = self._rename(same, sender)
        if candidate is None:
            candidate = balancer.Candidate(sender)
            logs.event("daemon_heard", incarnation=sender, address=address)
        self._candidates[sender] = candidate
        gone = [name for name in earlier if name in self._candidates]
        self._place(sender, address)
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
        candidate.interval = status.interval
        candidate.capacity = status.capacity
        candidate.relative_latency = status.relative_latency
        self._loaded(candidate, status.running + status.waiting)
        candidate.last_heard = self._timers.now
        return gone

    def record_load(self, sender: str, completion: calls.Completion) -> None:
        """Takes in the load that a completion tells."""
        candidate = self._candidates.get(sender)
        if candidate is not None:
            self._loaded(candidate, completion.running + completion.waiting)
            candidate.last_heard = max(candidate.last_heard, self._timers.now)

    def remove(self, incarnation: str) -> None:
        """Forgets a daemon that is gone."""
        self._candidates.pop(incarnation, None)
        self._displace(incarnation)
        logs.event("daemon_dropped", incarnation=incarnation)

    def is_heard(self, incarnation: str) -> bool:
        """Returns whether a daemon has told of itself lately."""
        candidate = self._candidates.get(incarnation)
        return candidate is not None and not self.is_silent(candidate)

    def is_silent(self, candidate: balancer.Candidate) -> bool:
        """Returns whether a target's daemon has told nothing lately."""
        return candidate.is_silent(self._timers.now)

    def expired(self) -> list[str]:
        """Returns the daemons that were not heard for long."""
        since = self._timers.now - _FORGOTTEN_S
        return [
            name
            for name, candidate in self._candidates.items()
            if candidate.last_heard < since
        ]

    def of_service(self, service: str) -> Iterator[balancer.Candidate]:
        """Yields a service's targets."""
        return (
            candidate
            for candidate in self._candidates.values()
            if candidate.service == service
        )

    def for_owner(self, incarnation: types.Incarnation) -> balancer.Candidate:
        """Returns a key's owner, whether it has told of itself or not."""
        candidate = self._candidates.get(incarnation)
        if candidate is None:
            return balancer.Candidate(incarnation, last_heard=self._timers.now)
        return candidate

    def addresses(self) -> set[str]:
        """Returns the `ip:port` of all daemons that have told of themselves.

        One that has left its lease still takes calls until it ends.
        """
        return set(self._at)

    def has_room(self, service: str) -> bool:
        """Returns whether one more call would wait for no other."""
        now = self._timers.now
        return any(
            candidate.reported_load + candidate.sent_since_report
            < candidate.capacity
            for candidate in self.of_service(service)
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
        """Follows a process that goes on as another incarnation.

        It still answers the calls that it had, after its lease was lost or
        while it leaves.
        """
        logs.event(
            "daemon_renamed",
            incarnation=incarnation,
            earlier=candidate.incarnation,
        )
        del self._candidates[candidate.incarnation]
        self._displace(candidate.incarnation)
        candidate.incarnation = incarnation
        return candidate

    def _place(self, incarnation: str, address: str) -> None:
        known = self._addresses.get(incarnation)
        if known != address:
            self._displace(incarnation)
            self._addresses[incarnation] = address
            self._at.setdefault(address, set()).add(incarnation)

    def _displace(self, incarnation: str) -> None:
        address = self._addresses.pop(incarnation, None)
        if address is None:
            return
        names = self._at[address]
        names.discard(incarnation)
        if not names:
            del self._at[address]

    def _loaded(self, candidate: balancer.Candidate, busy: int) -> None:
        candidate.reported_load = busy
        candidate.sent_since_report = 0
