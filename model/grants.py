"""How the owner of a slot grants it to its target, and gives it up.

Parties: the owner D, whose target's process is A; the process B, which is
started at A's address once A has ended; and the process C, the target of the
slot's next owner, which is granted the slot as soon as D's lease has ended or
been given up.

D sends grants over a connection to whatever process is at the address. A
connection ends with the process that it was opened to, or before. Unless that
process has ended, a grant arrives up to `TRANSIT` ticks after it was written;
its hold time counts from then on. It may be carried out any time later, and its
answer may be lost. A process refuses a grant with a fence below the highest
that it has taken.

Time is counted in ticks. Lost announcements, orders and answers are steps that
are not taken, or that are taken without D's notice.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator
from typing import NamedTuple

# Ticks for which a renewed lease is valid.
LEASE = 3
# Most ticks between the writing of a grant and its arrival.
TRANSIT = 1
# Value of a lease that is not being prepared.
NONE = -1
_ADDRESS = "AB"


class Rule(enum.Enum):
    """A rule of the protocol; a mutant is the model without it."""

    HOLD_IN_LEASE = "a hold ends before the lease, however long its grant takes"
    NEW_CONNECTION = "the first grant over a connection has a higher fence"
    UNANSWERED = "a grant after one without answer has a higher fence"
    RESTART_WAIT = "after a restart, wait for holds the new process may have"
    REFUSAL_WAIT = "after a refused connection, wait for all holds"
    RELEASE_CONFIRMED = "a release counts if the latest grant was answered"
    NO_EARLIER_END = "no epoch begins whose lease ends before a hold"


class Grant(NamedTuple):
    """A grant that has been written and not been carried out.

    Attributes:
        process: The process that its connection was opened to.
        fence: Its fence.
        hold: Ticks for which it lets the process hold the slot.
        transit: Ticks since it was written, or `NONE` once it has arrived.
        awaited: Whether D still takes its answer.
    """

    process: str
    fence: int
    hold: int
    transit: int
    awaited: bool


class State(NamedTuple):
    """State of the owner, the processes and the grants on their way.

    Attributes:
        lease: Ticks left of the lease that the next owner waits for.
        next_lease: Ticks left of the lease of the epoch in preparation, or
            `NONE`.
        given_up: Whether D has given its lease up.
        running: The process at the address, or `-`.
        started: Whether B has been started.
        holds: Ticks for which A and B hold the slot.
        fences: Highest fence with which A and B have taken it; `NONE` if they
            have not.
        connection: The process that D's connection was opened to, or `-`.
        first: Whether that is the connection that D had to A all along.
        unused: Whether no grant has been sent over it.
        fence: Fence of D's latest grant.
        answered: Whether that grant was answered.
        promised: Ticks until all holds that D has granted have ended.
        promised_anew: The same for grants that were not sent over the first
            connection.
        grants: Grants on their way.
        grants_left: How many more grants D may send.
        taken: Whether C holds the slot.
        outdated: A process that had the slot, and one that took it later
            under a fence that is not higher; "" if there are none.
    """

    lease: int = LEASE
    next_lease: int = NONE
    given_up: bool = False
    running: str = "A"
    started: bool = False
    holds: tuple[int, int] = (0, 0)
    fences: tuple[int, int] = (NONE, NONE)
    connection: str = "A"
    first: bool = True
    unused: bool = False
    fence: int = 0
    answered: bool = True
    promised: int = 0
    promised_anew: int = 0
    grants: tuple[Grant, ...] = ()
    grants_left: int = 3
    taken: bool = False
    outdated: str = ""


@dataclasses.dataclass(frozen=True)
class Spec:
    """The protocol with all its rules, or a mutant without some of them.

    Attributes:
        without: Rules that are left out.
        max_grants: How many grants D may send.
    """

    without: frozenset[Rule] = frozenset()
    max_grants: int = 3

    state_type = State

    def initial(self) -> State:
        """Returns the state in which D has a lease and has granted nothing."""
        return State(grants_left=self.max_grants)

    def holds(self, rule: Rule) -> bool:
        """Returns whether a rule is part of this protocol or mutant."""
        return rule not in self.without

    def serving_parties(self, state: State) -> list[str]:
        """Returns all processes that hold the slot now."""
        holders = [
            process
            for process, hold in zip(_ADDRESS, state.holds, strict=True)
            if hold > 0
        ]
        return [*holders, "C"] if state.taken else holders

    def second_fence_parties(self, state: State) -> str:
        """Returns the processes of which one took an outdated fence."""
        return state.outdated

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yields the label and next state of each step that may be taken."""
        if all(grant.transit < TRANSIT for grant in state.grants):
            yield "tick", _tick(state)
        yield from _process_steps(state)
        yield from _grant_steps(state)
        if not state.given_up and not state.taken and state.lease > 0:
            yield from self._lease_steps(state)
            yield from self._connection_steps(state)
            yield from self._give_up_steps(state)
        if not state.taken and (state.given_up or state.lease == 0):
            yield "C takes the slot", state._replace(taken=True)

    def _lease_steps(self, state: State) -> Iterator[tuple[str, State]]:
        yield "D renews its lease", state._replace(lease=LEASE)
        # An epoch in preparation may have been granted any time since.
        yield "D renews the next lease", state._replace(next_lease=LEASE)
        if state.next_lease > 0 and (
            state.next_lease >= state.promised
            or not self.holds(Rule.NO_EARLIER_END)
        ):
            yield (
                "the next epoch begins",
                state._replace(lease=state.next_lease, next_lease=NONE),
            )

    def _connection_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.connection == "-":
            if state.running != "-":
                yield (
                    "D connects",
                    state._replace(
                        connection=state.running, first=False, unused=True
                    ),
                )
            return
        yield "the connection is closed", state._replace(connection="-")
        until = state.lease
        margin = TRANSIT if self.holds(Rule.HOLD_IN_LEASE) else 0
        if until <= margin or not state.grants_left:
            return
        raises_fence = (state.unused and self.holds(Rule.NEW_CONNECTION)) or (
            not state.answered and self.holds(Rule.UNANSWERED)
        )
        fence = state.fence + raises_fence
        earlier = (grant._replace(awaited=False) for grant in state.grants)
        grant = Grant(state.connection, fence, until - margin, 0, True)
        promised_anew = state.promised_anew
        if not state.first:
            promised_anew = max(promised_anew, until)
        yield (
            "D grants",
            state._replace(
                fence=fence,
                unused=False,
                answered=False,
                promised=max(state.promised, until),
                promised_anew=promised_anew,
                grants=tuple(sorted((*earlier, grant))),
                grants_left=state.grants_left - 1,
            ),
        )

    def _give_up_steps(self, state: State) -> Iterator[tuple[str, State]]:
        given_up = state._replace(given_up=True)
        if state.running == "B" and (
            not state.promised_anew or not self.holds(Rule.RESTART_WAIT)
        ):
            yield "D hears of B", given_up
        if state.connection == "-" and (
            not state.promised or not self.holds(Rule.REFUSAL_WAIT)
        ):
            yield "D is refused a connection", given_up
        if state.connection != "-" and (
            state.answered or not self.holds(Rule.RELEASE_CONFIRMED)
        ):
            yield (
                "the release is acknowledged",
                given_up._replace(
                    holds=_with_item(state.holds, state.connection, 0)
                ),
            )


def _process_steps(state: State) -> Iterator[tuple[str, State]]:
    """Yields the end of the process at the address, and the start of B."""
    process = state.running
    if process != "-":
        connection = state.connection
        yield (
            f"{process} ends",
            state._replace(
                running="-",
                holds=_with_item(state.holds, process, 0),
                connection="-" if connection == process else connection,
                grants=tuple(
                    grant for grant in state.grants if grant.process != process
                ),
            ),
        )
    elif not state.started:
        yield "B starts", state._replace(running="B", started=True)


def _grant_steps(state: State) -> Iterator[tuple[str, State]]:
    """Yields what may happen to each grant on its way."""
    for index, grant in enumerate(state.grants):
        others = (*state.grants[:index], *state.grants[index + 1 :])
        if grant.transit != NONE:
            arrived = grant._replace(transit=NONE)
            grants = tuple(sorted((*others, arrived)))
            yield "a grant arrives", state._replace(grants=grants)
            continue
        known = state.fences[_ADDRESS.index(grant.process)]
        if grant.fence < known:
            yield "a grant is refused", state._replace(grants=others)
            continue
        taken = _take(state._replace(grants=others), grant)
        yield "a grant is carried out", taken
        if grant.awaited:
            yield "a grant is answered", taken._replace(answered=True)


def _take(state: State, grant: Grant) -> State:
    """Returns the state after a process has carried a grant out."""
    process = grant.process
    index = _ADDRESS.index(process)
    outdated = state.outdated
    if state.taken:
        outdated = f"C{process}"
    elif grant.fence <= state.fences[1 - index]:
        outdated = f"{_ADDRESS[1 - index]}{process}"
    return state._replace(
        holds=_with_item(
            state.holds, process, max(grant.hold, state.holds[index])
        ),
        fences=_with_item(state.fences, process, grant.fence),
        outdated=outdated,
    )


def _tick(state: State) -> State:
    grants = (
        grant._replace(hold=grant.hold - 1)
        if grant.transit == NONE
        else grant._replace(transit=grant.transit + 1)
        for grant in state.grants
    )
    return state._replace(
        lease=max(0, state.lease - 1),
        next_lease=max(NONE, state.next_lease - 1),
        holds=tuple(max(0, hold - 1) for hold in state.holds),
        promised=max(0, state.promised - 1),
        promised_anew=max(0, state.promised_anew - 1),
        # A hold that has ended before its grant is carried out is not taken.
        grants=tuple(sorted(grant for grant in grants if grant.hold > 0)),
    )


def _with_item(
    items: tuple[int, int], process: str, item: int
) -> tuple[int, int]:
    """Returns the items of A and B with another one for a process."""
    return (item, items[1]) if process == "A" else (items[0], item)
