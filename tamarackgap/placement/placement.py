"""Decides quotas, moves, witnesses and successors, without side effects.

Every owner computes the same plan from the same view of the table and carries
out only the moves of its own slots. Owners need no further agreement: the
write that moves a slot checks the revisions of both owners' records.
"""

from collections.abc import Callable, Iterable, Sequence

import msgspec
import xxhash

from tamarackgap import types
from tamarackgap.placement import loadstats, records, slots, workload

# If all members together serve less, only numbers of slots are balanced.
_MIN_TOTAL_RATE_PER_S = 20.0
# Fraction of the total cost that load accounts for. The rest is the same for
# each slot, so that idle slots are spread evenly too.
_LOAD_WEIGHT = 0.9
# After a move, the destination may exceed its share by at most this fraction
# of the source's excess before the move.
_MAX_EXCESS_LEFT = 0.9
# Costs below this fraction of the source's share are not worth a move.
_MIN_COST_FRACTION = 0.005
# A block may cost up to this multiple of the wanted cost; otherwise it would
# often be one slot short.
_BLOCK_COST_FACTOR = 1.1
# A member gives slots away only if its rate exceeds its share by this many
# standard deviations of the measurement.
_MIN_DEVIATIONS = 3.0
# A slot that is more than any member's share moves if another member's share
# is this many times its owner's. An overloaded target seems slower than it is.
_MIN_HOT_SLOT_GAIN = 2.0
# It may go to members whose share is at least this fraction of the largest.
_FAST_SHARE = 0.8
# Fraction of the quota. It is lower than the tolerance for load, because
# numbers of slots are exact.
_COUNT_TOLERANCE = 0.02
# After a loss, each successor makes one write and gets an eighth of the lost
# load on top of its own.
_MAX_SUCCESSORS = 8
# Fraction of the fair share by which a successor may exceed it before slots
# get another successor: each change costs a new epoch.
_SUCCESSOR_SLACK = 0.25


class Member(msgspec.Struct, frozen=True):
    """Describes a daemon that may own slots of a service.

    Attributes:
        incarnation: The daemon's incarnation.
        name: The daemon's name, which is kept across restarts.
        data_centre: Data centre of the daemon.
        weight: Weight of its share; a member of weight 0 gets no slots and
            gives away those it has.
        owned: Slots that it owns now.
        rate: Requests a second that it serves, or None if it has not
            reported its load recently.
        speed: Work a second that its target can do, in the unit of the
            rates; 0 if that is not known.
        load_age: Time since the rate was measured, seconds.
    """

    incarnation: str
    name: str
    data_centre: str
    weight: int
    owned: tuple[int, ...]
    rate: float | None = None
    speed: float = 0.0
    load_age: float = 0.0


class Move(msgspec.Struct, frozen=True):
    """A slot that should change its owner.

    Attributes:
        slot: The slot.
        source: Incarnation that owns it now.
        destination: Incarnation that should own it.
        reason: Reason for the log.
        basis: Loads that it rests on; None if it doesn't depend on them.
    """

    slot: int
    source: str
    destination: str
    reason: str
    basis: workload.MoveBasis | None = None


def rendezvous_hash(item: object, candidate: str) -> int:
    """Returns a candidate's rendezvous hash for an item; the highest wins."""
    return xxhash.xxh3_64_intdigest(f"{item}/{candidate}".encode())


def quotas(slot_count: int, members: Sequence[Member]) -> dict[str, int]:
    """Returns each member's number of slots, by largest remainder.

    Args:
        slot_count: Number of slots of the service.
        members: Members with their weights.

    Returns:
        Numbers by incarnation; all 0 if no member has a weight.
    """
    total = sum(member.weight for member in members)
    if not total:
        return {member.incarnation: 0 for member in members}
    shares = {
        member: divmod(slot_count * member.weight, total) for member in members
    }
    unassigned = slot_count - sum(whole for whole, _ in shares.values())
    ranked = sorted(
        members, key=lambda member: (-shares[member][1], member.name)
    )
    extra = {member.incarnation for member in ranked[:unassigned]}
    return {
        member.incarnation: shares[member][0] + (member.incarnation in extra)
        for member in members
    }


# Chooses the moves away from one member and updates the headroom. Arguments:
# the source, all members that take part, the costs, the headroom by
# incarnation and the members' shares.
MoveStrategy = Callable[
    [
        Member,
        Sequence[Member],
        "CostModel",
        dict[str, float],
        dict[Member, float],
    ],
    list[Move],
]


class CostModel:
    """Computes the costs of slots and members.

    Costs are fractions of the cost of all slots together.
    """

    def __init__(
        self, members: Sequence[Member], rates: dict[int, float]
    ) -> None:
        """Creates costs from measured rates.

        Args:
            members: Members that take part; a missing rate counts as 0.
            rates: Requests a second of slots whose own rate is known.
        """
        self.total_rate = sum(member.rate or 0.0 for member in members) or 1.0
        count = sum(len(member.owned) for member in members)
        self._fixed_cost = (1 - _LOAD_WEIGHT) / max(1, count)
        self._rates = rates

    def slot_cost(self, slot: int, owner: Member) -> float:
        """Returns a slot's cost.

        A slot without a rate of its own is given the mean rate of its
        owner's slots.
        """
        rate = self._rates.get(slot)
        if rate is None:
            rate = (owner.rate or 0.0) / max(1, len(owner.owned))
        return self._fixed_cost + _LOAD_WEIGHT * rate / self.total_rate

    def member_cost(self, member: Member) -> float:
        """Returns the cost of all slots of a member."""
        load = _LOAD_WEIGHT * (member.rate or 0.0) / self.total_rate
        return self._fixed_cost * len(member.owned) + load


def plan_moves(
    slot_count: int,
    members: Sequence[Member],
    rates: dict[int, float] | None = None,
    tolerance: float = 0.08,
    half_life: float = loadstats.DEFAULT_HALF_LIFE_S,
    strategy: "MoveStrategy | None" = None,
    request_amount: float = 1.0,
) -> list[Move]:
    """Returns the moves that bring every member close to its share.

    Only surplus is moved, the most loaded slots first, which keeps the number
    of moves low. A slot with more load than the share of any member stays,
    and its owner's other slots move away. Members whose load is not known are
    left out, so that no move rests on stale data. With hardly any load, only
    numbers of slots are balanced.

    Args:
        slot_count: Number of slots of the service.
        members: All members that own slots or may own some.
        rates: Requests a second of slots whose own rate is known.
        tolerance: Excess over its share at which a member gives slots away,
            as a fraction of the share.
        half_life: Half-life of the rates, seconds.
        strategy: Chooses the moves of one source; `plan_slot_moves` if None.
        request_amount: Amount as which a typical request is counted in the
            rates. Fewer but larger requests make a rate less certain.
    """
    if not any(member.weight for member in members):
        return []
    participants = [
        m for m in members if m.rate is not None or not (m.owned and m.weight)
    ]
    costs = CostModel(
        participants,
        workload.smoothed(rates or {}, request_amount, half_life),
    )
    if costs.total_rate < _MIN_TOTAL_RATE_PER_S and _is_any_rate_known(members):
        return _plan_count_moves(slot_count, members)
    if not any(member.weight for member in participants):
        return []
    shares = dict(
        zip(
            participants,
            workload.shares(
                [member.weight for member in participants],
                [member.speed for member in participants],
                [len(member.owned) for member in participants],
            ),
            strict=True,
        )
    )
    headroom = {
        member.incarnation: share - costs.member_cost(member)
        for member, share in shares.items()
    }
    before = dict(headroom)
    moves: list[Move] = []
    for source in sorted(participants, key=lambda member: member.name):
        share = shares[source]
        noise = _relative_noise(
            (source.rate or 0.0) / request_amount, half_life
        )
        threshold = max(tolerance, noise) * share
        if source.weight and -headroom[source.incarnation] <= threshold:
            continue
        moves += (strategy or plan_slot_moves)(
            source, participants, costs, headroom, shares
        )
    return _with_basis(moves, shares, before, headroom)


def _with_basis(
    moves: Iterable[Move],
    shares: dict[Member, float],
    before: dict[str, float],
    after: dict[str, float],
) -> list[Move]:
    """Returns moves that are due to load with the loads they rest on.

    Args:
        moves: The moves.
        shares: Shares of the members.
        before: Headroom of each incarnation before the plan.
        after: Headroom of each incarnation after it.
    """
    members = {member.incarnation: member for member in shares}

    def load(incarnation: str, headroom: dict[str, float]) -> float:
        share = shares[members[incarnation]]
        return 1 - headroom[incarnation] / share if share else 0.0

    return [
        msgspec.structs.replace(
            move,
            basis=workload.MoveBasis(
                load(move.source, before),
                load(move.source, after),
                load(move.destination, before),
                members[move.destination].load_age,
            ),
        )
        for move in moves
    ]


def _is_any_rate_known(members: Sequence[Member]) -> bool:
    """Returns whether the load of at least one owner is known.

    If none is known, slots have just changed owners, as after a takeover.
    Balancing numbers of slots then causes moves in vain, since the load is
    balanced soon after.
    """
    return any(m.rate is not None for m in members if m.owned)


def _relative_noise(rate: float, half_life: float) -> float:
    """Returns the error that a measured rate may have by chance.

    Args:
        rate: Requests a second.
        half_life: Half-life of the rate, seconds.

    Returns:
        Error as a fraction of the rate.
    """
    request_count = rate * loadstats.time_constant_s(half_life)
    return _MIN_DEVIATIONS / max(1.0, request_count) ** 0.5


def plan_slot_moves(
    source: Member,
    members: Sequence[Member],
    costs: CostModel,
    headroom: dict[str, float],
    shares: dict[Member, float],
) -> list[Move]:
    """Returns moves of single slots away from one member.

    Args:
        source: The member that gives slots away.
        members: All members that take part.
        costs: Costs of slots.
        headroom: Share less cost of each incarnation; updated for each move.
        shares: Shares of the members.
    """
    moves: list[Move] = []
    reason = "load" if source.weight else "weight-zero"
    share = shares[source]
    slot_costs = [
        (costs.slot_cost(slot, source), slot) for slot in source.owned
    ]
    candidates = [member for member in members if member.weight]
    for cost, slot in sorted(slot_costs, reverse=True):
        excess = -headroom[source.incarnation]
        if source.weight and excess <= 0:
            break
        # A slot that costs more than the source's whole share goes to a
        # member with a large enough share, even if that has no headroom: it
        # then moves other slots away.
        large_enough = cost > share and [
            m for m in candidates if shares[m] >= cost
        ]
        destination = max(
            (m for m in large_enough or candidates if m is not source),
            key=lambda member: (headroom[member.incarnation], member.name),
            default=None,
        )
        if destination is None:
            break
        worthwhile = _is_worthwhile(
            cost, excess, headroom[destination.incarnation], share
        )
        if source.weight and not (large_enough or worthwhile):
            continue
        headroom[source.incarnation] += cost
        headroom[destination.incarnation] -= cost
        moves.append(
            Move(slot, source.incarnation, destination.incarnation, reason)
        )
    return moves


def plan_block_moves(
    source: Member,
    members: Sequence[Member],
    costs: CostModel,
    headroom: dict[str, float],
    shares: dict[Member, float],
) -> list[Move]:
    """Returns moves of adjacent slots away from one member, in few blocks.

    Used for ordered services, where each range of slots is granted to the
    target on its own. Blocks are cut off at the ends of the source's ranges,
    which keeps the number of ranges low.

    Args:
        source: The member that gives slots away.
        members: All members that take part.
        costs: Costs of slots.
        headroom: Share less cost of each incarnation; updated for each move.
        shares: Shares of the members.
    """
    moves: list[Move] = []
    reason = "load" if source.weight else "weight-zero"
    remaining = sorted(source.owned)
    candidates = [m for m in members if m.weight and m is not source]
    cost_of = {slot: costs.slot_cost(slot, source) for slot in remaining}
    hot_move = _hot_slot_move(source, candidates, cost_of, headroom, shares)
    if hot_move is not None:
        cost = cost_of[hot_move.slot]
        headroom[source.incarnation] += cost
        headroom[hot_move.destination] -= cost
        return [hot_move]
    while remaining and candidates:
        excess = (
            -headroom[source.incarnation] if source.weight else float("inf")
        )
        destination = max(
            candidates, key=lambda m: (headroom[m.incarnation], m.name)
        )
        free = headroom[destination.incarnation]
        if (
            source.weight
            and min(excess, free) <= shares[source] * _MIN_COST_FRACTION
        ):
            break
        block = _best_block(remaining, cost_of, min(excess, free))
        cost = sum(cost_of[slot] for slot in block)
        if source.weight and (
            not block or not _is_worthwhile(cost, excess, free, shares[source])
        ):
            break
        if not block:
            block = remaining[:1]
            cost = cost_of[remaining[0]]
        headroom[source.incarnation] += cost
        headroom[destination.incarnation] -= cost
        moved = set(block)
        remaining = [slot for slot in remaining if slot not in moved]
        moves += [
            Move(slot, source.incarnation, destination.incarnation, reason)
            for slot in block
        ]
    return moves


def _hot_slot_move(
    source: Member,
    candidates: Sequence[Member],
    cost_of: dict[int, float],
    headroom: dict[str, float],
    shares: dict[Member, float],
) -> Move | None:
    """Returns the move of a slot that is too hot for a slow target, or None.

    Such a slot keeps any target busy, so it belongs to a fast one, which then
    gives its other slots away, as its owner would have to do otherwise. The
    calls refused meanwhile are hardly more than the owner refuses anyway.

    Args:
        source: The slot's owner.
        candidates: Members that may get it.
        cost_of: Costs of the owner's slots.
        headroom: Share less cost of each incarnation.
        shares: Shares of the members.
    """
    if not (source.weight and cost_of and candidates):
        return None
    slot = max(cost_of, key=cost_of.__getitem__)
    largest = max(shares[member] for member in candidates)
    if (
        cost_of[slot] <= largest
        or largest < shares[source] * _MIN_HOT_SLOT_GAIN
    ):
        return None
    destination = max(
        (m for m in candidates if shares[m] >= largest * _FAST_SHARE),
        key=lambda member: (headroom[member.incarnation], member.name),
    )
    return Move(slot, source.incarnation, destination.incarnation, "hot-slot")


def _best_block(
    owned: Sequence[int], cost_of: dict[int, float], wanted_cost: float
) -> list[int]:
    """Returns the most costly block at an end of a range within a bound.

    Args:
        owned: Slots, sorted.
        cost_of: Costs by slot.
        wanted_cost: Cost that may be exceeded by `_BLOCK_COST_FACTOR` only.
    """
    best: list[int] = []
    best_cost = 0.0
    for slot_range in _contiguous_ranges(owned):
        for ordered in (slot_range, slot_range[::-1]):
            block: list[int] = []
            total = 0.0
            for slot in ordered:
                if total + cost_of[slot] > wanted_cost * _BLOCK_COST_FACTOR:
                    break
                block.append(slot)
                total += cost_of[slot]
            if total > best_cost:
                best, best_cost = block, total
    if best:
        return best
    # All slots at the ends cost too much: take a single one from within a
    # range, at the price of one more range.
    fitting = [
        s for s in owned if cost_of[s] <= wanted_cost * _BLOCK_COST_FACTOR
    ]
    return [max(fitting, key=cost_of.__getitem__)] if fitting else []


def _contiguous_ranges(owned: Sequence[int]) -> list[list[int]]:
    ranges: list[list[int]] = []
    for slot in owned:
        if ranges and ranges[-1][-1] == slot - 1:
            ranges[-1].append(slot)
        else:
            ranges.append([slot])
    return ranges


def _is_worthwhile(
    cost: float, excess: float, free: float, share: float
) -> bool:
    """Returns whether the gain of a move justifies it.

    The larger excess of the two members must become clearly smaller, and the
    cost moved must not be negligible: otherwise all idle slots of a member
    with a hot slot would move away for hardly any gain.

    Args:
        cost: Cost that is moved.
        excess: Cost of the source above its share.
        free: Headroom of the destination.
        share: Share of the source.
    """
    return (
        cost - free <= excess * _MAX_EXCESS_LEFT
        and cost >= share * _MIN_COST_FRACTION
    )


def _plan_count_moves(slot_count: int, members: Sequence[Member]) -> list[Move]:
    """Returns the moves that bring every member to its quota of slots."""
    wanted = quotas(slot_count, members)
    missing = {
        member.incarnation: wanted[member.incarnation] - len(member.owned)
        for member in members
    }
    if not _is_count_uneven(members, wanted, missing):
        return []
    moves: list[Move] = []
    destinations = sorted(
        (member for member in members if missing[member.incarnation] > 0),
        key=lambda member: (-missing[member.incarnation], member.name),
    )
    for source in sorted(members, key=lambda member: member.name):
        surplus = -missing[source.incarnation]
        reason = "above-quota" if source.weight else "weight-zero"
        for slot in source.owned[: max(0, surplus)]:
            destination = next(
                (m for m in destinations if missing[m.incarnation] > 0), None
            )
            if destination is None:
                return moves
            missing[destination.incarnation] -= 1
            moves.append(
                Move(slot, source.incarnation, destination.incarnation, reason)
            )
    return moves


def _is_count_uneven(
    members: Sequence[Member], wanted: dict[str, int], missing: dict[str, int]
) -> bool:
    return any(
        (not member.weight and member.owned)
        or abs(missing[member.incarnation])
        > max(1, int(wanted[member.incarnation] * _COUNT_TOLERANCE))
        for member in members
    )


def choose_witnesses(
    owner: records.LeaseRecord,
    candidates: Iterable[records.LeaseRecord],
    count: int,
    is_unresponsive: Callable[[str], bool],
) -> tuple[str, ...]:
    """Returns witnesses for an owner, from as many data centres as possible.

    Among candidates of equally used data centres, current witnesses are
    preferred. If there are too few candidates, the result is a smaller odd
    number of them, or none.

    Args:
        owner: Record of the owner.
        candidates: Open records, of any service.
        count: Number of witnesses; odd.
        is_unresponsive: Tells whether an incarnation does not answer.
    """
    usable = [
        record
        for record in candidates
        if record.incarnation != owner.incarnation
        and not record.leaving
        and not is_unresponsive(record.incarnation)
    ]
    # A daemon that has no witnesses of its own may never have started fully,
    # so it is used only if it is one already or there are too few others.
    current = set(owner.witnesses)
    started = [
        record
        for record in usable
        if record.witnesses or record.incarnation in current
    ]
    if len(started) >= count:
        usable = started
    count = min(count, len(usable))
    count -= 1 - count % 2 if count else 0
    chosen: list[records.LeaseRecord] = []
    while len(chosen) < count:
        data_centres = [record.data_centre for record in chosen]
        best = min(
            (record for record in usable if record not in chosen),
            key=lambda record: (
                data_centres.count(record.data_centre),
                record.incarnation not in current,
                -rendezvous_hash(owner.incarnation, record.incarnation),
            ),
        )
        chosen.append(best)
    return tuple(sorted(record.incarnation for record in chosen))


def choose_successors(
    owner: records.LeaseRecord,
    assignments: dict[types.Slot, slots.SlotAssignment],
    members: Iterable[records.LeaseRecord],
) -> dict[types.Slot, slots.SlotAssignment]:
    """Returns the assignments with a successor for each slot.

    Successors are up to eight members that can own slots, outside the owner's
    data centre if there are any, so that the loss of a VM or of a data centre
    does not take owner and successor together. A slot keeps its successor if
    that is still eligible and has not too many slots.

    Args:
        owner: Record of the slots' owner.
        assignments: The owner's slots.
        members: Records of all members.

    Returns:
        The same slots; without successors if no member is eligible.
    """
    others = [
        record
        for record in members
        if record.can_own
        and record.service == owner.service
        and record.incarnation != owner.incarnation
    ]
    outside = [
        record for record in others if record.data_centre != owner.data_centre
    ]
    names = sorted(
        (record.incarnation for record in outside or others),
        key=lambda name: rendezvous_hash(owner.incarnation, name),
        reverse=True,
    )[:_MAX_SUCCESSORS]
    if not names:
        return {
            slot: msgspec.structs.replace(
                assignment, successor=types.NO_INCARNATION
            )
            for slot, assignment in assignments.items()
        }
    return _spread_successors(assignments, names)


def _spread_successors(
    assignments: dict[types.Slot, slots.SlotAssignment], names: Sequence[str]
) -> dict[types.Slot, slots.SlotAssignment]:
    """Spreads slots evenly over the given successors.

    After a loss, the survivors then have about equal numbers of slots and
    need no further moves.
    """
    fair_count = -(-len(assignments) // len(names))
    max_count = fair_count + max(1, int(fair_count * _SUCCESSOR_SLACK))
    counts = dict.fromkeys(names, 0)
    chosen: dict[types.Slot, str] = {}
    for slot, assignment in sorted(assignments.items()):
        if counts.get(assignment.successor, max_count) < max_count:
            chosen[slot] = assignment.successor
            counts[assignment.successor] += 1
    # Adjacent slots get the same successor up to its fair share, so that the
    # slots taken over form few ranges.
    name = ""
    for slot in sorted(assignments.keys() - chosen.keys()):
        if not name or counts[name] >= fair_count:
            name = min(
                names,
                key=lambda name: (counts[name], -rendezvous_hash(slot, name)),
            )
        chosen[slot] = name
        counts[name] += 1
    return {
        slot: msgspec.structs.replace(assignment, successor=chosen[slot])
        for slot, assignment in assignments.items()
    }


def choose_by_rendezvous(item: object, candidates: Iterable[str]) -> str:
    """Returns the candidate with the highest rendezvous hash for an item.

    Without candidates it is `types.NO_INCARNATION`.
    """
    return max(
        candidates,
        key=lambda name: rendezvous_hash(item, name),
        default=types.NO_INCARNATION,
    )
