"""Pure decisions: quotas, moves, witnesses and successors.

Each owner computes the same plan from the same view and carries out only
its own part; the compare-and-set on both records is the agreement.
"""

from collections.abc import Callable, Iterable, Sequence

import msgspec
import xxhash

from tamarackgap import types
from tamarackgap.placement import loadstats, records, slots

# Below this many requests a second in all, only numbers of slots count.
_LEAST_RATE = 20.0
# Load counts for nearly all of a slot's cost; the rest keeps idle slots even.
_HEAT = 0.9
# A move may leave the taker with at most this part of the giver's excess,
# and a slot below this part of a member's share is a trifle.
_LEFT = 0.9
_TRIFLE = 0.005
# A block may cost so much more than it should, rather than be a slot short.
_OVERSHOOT = 1.1
# A difference counts only if it is this many standard deviations large.
_DEVIATIONS = 3.0
# Numbers of slots are exact: they are evened out closer than load.
_COUNT_TOLERANCE = 0.02
# A lost daemon's slots go to so many others: each of them has one write to
# make, and gets an eighth of the load on top of its own.
_SUCCESSORS = 8
# A successor is kept until it has this much more than its fair share: each
# change costs a new epoch.
_SUCCESSOR_SLACK = 0.25


class Member(msgspec.Struct, frozen=True):
    """A daemon that may own slots of a service.

    Attributes:
        incarnation: Its id.
        name: Its daemon's name, the same over restarts.
        data_centre: Where it stands.
        weight: Its share against other members; 0 takes nothing.
        owned: The slots it owns now.
        rate: Requests a second that it serves, or None where nothing
            fresh is known of it.
    """

    incarnation: str
    name: str
    data_centre: str
    weight: int
    owned: tuple[int, ...]
    rate: float | None = None


class Move(msgspec.Struct, frozen=True):
    """A slot that should change its owner.

    Attributes:
        slot: The slot.
        source: Its owner now.
        destination: Its owner afterwards.
        reason: Why, for the log.
    """

    slot: int
    source: str
    destination: str
    reason: str


def score(item: object, candidate: str) -> int:
    """Returns a candidate's rendezvous hash for an item; highest wins."""
    return xxhash.xxh3_64_intdigest(f"{item}/{candidate}".encode())


def quotas(slot_count: int, members: Sequence[Member]) -> dict[str, int]:
    """Returns each member's number of slots, by largest remainder."""
    total = sum(member.weight for member in members)
    if not total:
        return {member.incarnation: 0 for member in members}
    shares = {
        member: divmod(slot_count * member.weight, total) for member in members
    }
    left = slot_count - sum(whole for whole, _ in shares.values())
    ranked = sorted(
        members, key=lambda member: (-shares[member][1], member.name)
    )
    extra = {member.incarnation for member in ranked[:left]}
    return {
        member.incarnation: shares[member][0] + (member.incarnation in extra)
        for member in members
    }


# Chooses the moves of one giver, and takes their cost out of the room that
# members have: the giver, all members, costs, room, shares.
MoveStrategy = Callable[
    [Member, Sequence[Member], "Costs", dict[str, float], dict[Member, float]],
    list[Move],
]


class Costs:
    """What slots and members cost, as shares of the members' whole."""

    def __init__(
        self, members: Sequence[Member], rates: dict[int, float]
    ) -> None:
        """Weighs load and number of slots.

        Args:
            members: Members whose load is known, or that own nothing.
            rates: Requests a second of the slots that are known exactly.
        """
        self.total = sum(member.rate or 0.0 for member in members) or 1.0
        count = sum(len(member.owned) for member in members)
        self._even = (1 - _HEAT) / max(1, count)
        self._rates = rates

    def slot(self, slot: int, owner: Member) -> float:
        """Returns a slot's cost; of others' slots, their mean."""
        rate = self._rates.get(slot)
        if rate is None:
            rate = (owner.rate or 0.0) / max(1, len(owner.owned))
        return self._even + _HEAT * rate / self.total

    def member(self, member: Member) -> float:
        """Returns what a member's slots cost together."""
        load = _HEAT * (member.rate or 0.0) / self.total
        return self._even * len(member.owned) + load


def plan_moves(
    slot_count: int,
    members: Sequence[Member],
    rates: dict[int, float] | None = None,
    tolerance: float = 0.08,
    half_life: float = loadstats.HALF_LIFE_S,
    strategy: "MoveStrategy | None" = None,
) -> list[Move]:
    """Returns the moves that bring every member near to its share.

    Only surplus moves, hottest slots first, so the churn is the least
    possible. A slot too hot for any member stays, and others leave it.
    Members whose load is not known take no part, so that a plan never rests
    on a stale view; with hardly any load, numbers of slots count alone.

    Args:
        slot_count: Number of slots of the service.
        members: All members that own slots or may.
        rates: Requests a second of the slots that are known exactly.
        tolerance: Excess over its share at which a member gives slots
            away, as a part of the share.
        half_life: Half-life of the rates, seconds.
        strategy: Chooses one giver's moves; `plan_slot_moves` if None.
    """
    if not any(member.weight for member in members):
        return []
    known = [
        m for m in members if m.rate is not None or not (m.owned and m.weight)
    ]
    costs = Costs(known, rates or {})
    if costs.total < _LEAST_RATE and _is_idle(members):
        return _plan_counts(slot_count, members)
    total = sum(member.weight for member in known)
    if not total:
        return []
    shares = {member: member.weight / total for member in known}
    room = {
        member.incarnation: share - costs.member(member)
        for member, share in shares.items()
    }
    moves: list[Move] = []
    for giver in sorted(known, key=lambda member: member.name):
        share = shares[giver]
        least = max(tolerance, _noise(giver.rate or 0.0, half_life)) * share
        if giver.weight and -room[giver.incarnation] <= least:
            continue
        moves += (strategy or plan_slot_moves)(
            giver, known, costs, room, shares
        )
    return moves


def _is_idle(members: Sequence[Member]) -> bool:
    """Returns whether it is known that owners have little to do.

    Where nothing is known of any owner, slots have just changed: then their
    numbers would be evened out for nothing, and load right after.
    """
    return any(m.rate is not None for m in members if m.owned)


def _noise(rate: float, half_life: float) -> float:
    """Returns how far a measured rate may be off by chance, as a share."""
    counted = rate * loadstats.time_constant_s(half_life)
    return _DEVIATIONS / max(1.0, counted) ** 0.5


def plan_slot_moves(
    giver: Member,
    members: Sequence[Member],
    costs: Costs,
    room: dict[str, float],
    shares: dict[Member, float],
) -> list[Move]:
    """Moves slots of one giver, and takes their cost out of `room`."""
    moves: list[Move] = []
    reason = "load" if giver.weight else "weight-zero"
    share = shares[giver]
    priced = [(costs.slot(slot, giver), slot) for slot in giver.owned]
    takers = [member for member in members if member.weight]
    for cost, slot in sorted(priced, reverse=True):
        excess = -room[giver.incarnation]
        if giver.weight and excess <= 0:
            break
        # A slot that can never fit here goes where it can; that member then
        # gives others away.
        fits = cost > share and [m for m in takers if shares[m] >= cost]
        taker = max(
            (m for m in fits or takers if m is not giver),
            key=lambda member: (room[member.incarnation], member.name),
            default=None,
        )
        if taker is None:
            break
        helps = _helps(cost, excess, room[taker.incarnation], share)
        if giver.weight and not (fits or helps):
            continue
        room[giver.incarnation] += cost
        room[taker.incarnation] -= cost
        moves.append(Move(slot, giver.incarnation, taker.incarnation, reason))
    return moves


def plan_block_moves(
    giver: Member,
    members: Sequence[Member],
    costs: Costs,
    room: dict[str, float],
    shares: dict[Member, float],
) -> list[Move]:
    """Moves neighbouring slots of one giver together, as few blocks.

    Each block of an ordered service is one more run to be granted, so blocks
    are cut off at the ends of the giver's runs.
    """
    moves: list[Move] = []
    reason = "load" if giver.weight else "weight-zero"
    left = sorted(giver.owned)
    takers = [m for m in members if m.weight and m is not giver]
    cost_of = {slot: costs.slot(slot, giver) for slot in left}
    while left and takers:
        excess = -room[giver.incarnation] if giver.weight else float("inf")
        taker = max(takers, key=lambda m: (room[m.incarnation], m.name))
        free = room[taker.incarnation]
        if giver.weight and min(excess, free) <= shares[giver] * _TRIFLE:
            break
        block = _best_block(left, cost_of, min(excess, free))
        cost = sum(cost_of[slot] for slot in block)
        if giver.weight and (
            not block or not _helps(cost, excess, free, shares[giver])
        ):
            break
        if not block:
            block = left[:1]
            cost = cost_of[left[0]]
        room[giver.incarnation] += cost
        room[taker.incarnation] -= cost
        taken = set(block)
        left = [slot for slot in left if slot not in taken]
        moves += [
            Move(slot, giver.incarnation, taker.incarnation, reason)
            for slot in block
        ]
    return moves


def _best_block(
    owned: Sequence[int], cost_of: dict[int, float], wanted: float
) -> list[int]:
    """Returns the block at an end of a run whose cost is nearest to wanted.

    Args:
        owned: Slots, sorted.
        cost_of: What each costs.
        wanted: Cost that should not be exceeded by much.
    """
    best: list[int] = []
    best_cost = 0.0
    for run in _runs_of(owned):
        for ordered in (run, run[::-1]):
            block: list[int] = []
            total = 0.0
            for slot in ordered:
                if total + cost_of[slot] > wanted * _OVERSHOOT:
                    break
                block.append(slot)
                total += cost_of[slot]
            if total > best_cost:
                best, best_cost = block, total
    if best:
        return best
    # Hot slots at all ends: one from the middle is better than none.
    fitting = [s for s in owned if cost_of[s] <= wanted * _OVERSHOOT]
    return [max(fitting, key=cost_of.__getitem__)] if fitting else []


def _runs_of(owned: Sequence[int]) -> list[list[int]]:
    runs: list[list[int]] = []
    for slot in owned:
        if runs and runs[-1][-1] == slot - 1:
            runs[-1].append(slot)
        else:
            runs.append([slot])
    return runs


def _helps(cost: float, excess: float, room: float, share: float) -> bool:
    """Returns whether a move is worth its churn.

    It must leave the fuller of the two a good deal less full than before,
    and carry more than a trifle: cold slots stay beside a hot one.
    """
    return cost - room <= excess * _LEFT and cost >= share * _TRIFLE


def _plan_counts(slot_count: int, members: Sequence[Member]) -> list[Move]:
    """Returns the moves that bring every member to its number of slots."""
    wanted = quotas(slot_count, members)
    room = {
        member.incarnation: wanted[member.incarnation] - len(member.owned)
        for member in members
    }
    if not _worth_it(members, wanted, room):
        return []
    moves: list[Move] = []
    takers = sorted(
        (member for member in members if room[member.incarnation] > 0),
        key=lambda member: (-room[member.incarnation], member.name),
    )
    for giver in sorted(members, key=lambda member: member.name):
        surplus = -room[giver.incarnation]
        reason = "above-quota" if giver.weight else "weight-zero"
        for slot in giver.owned[: max(0, surplus)]:
            taker = next(
                (taker for taker in takers if room[taker.incarnation] > 0),
                None,
            )
            if taker is None:
                return moves
            room[taker.incarnation] -= 1
            moves.append(
                Move(slot, giver.incarnation, taker.incarnation, reason)
            )
    return moves


def _worth_it(
    members: Sequence[Member], wanted: dict[str, int], room: dict[str, int]
) -> bool:
    return any(
        (not member.weight and member.owned)
        or abs(room[member.incarnation])
        > max(1, int(wanted[member.incarnation] * _COUNT_TOLERANCE))
        for member in members
    )


def choose_witnesses(
    owner: records.LeaseRecord,
    candidates: Iterable[records.LeaseRecord],
    count: int,
    is_unresponsive: Callable[[str], bool],
) -> tuple[str, ...]:
    """Returns witnesses in as many data centres as there are.

    Present witnesses are kept where they can be.

    Args:
        owner: The record to be witnessed.
        candidates: Open records, of any service.
        count: How many are wanted; odd.
        is_unresponsive: Tells whether an incarnation does not answer.
    """
    usable = [
        record
        for record in candidates
        if record.incarnation != owner.incarnation
        and not record.leaving
        and not is_unresponsive(record.incarnation)
    ]
    # A member without witnesses may never have come up whole.
    settled = [record for record in usable if record.witnesses]
    if len(settled) >= count:
        usable = settled
    count = min(count, len(usable))
    count -= 1 - count % 2 if count else 0
    chosen: list[records.LeaseRecord] = []
    kept = set(owner.witnesses)
    while len(chosen) < count:
        places = [record.data_centre for record in chosen]
        best = min(
            (record for record in usable if record not in chosen),
            key=lambda record: (
                places.count(record.data_centre),
                record.incarnation not in kept,
                -score(owner.incarnation, record.incarnation),
            ),
        )
        chosen.append(best)
    return tuple(sorted(record.incarnation for record in chosen))


def choose_successors(
    owner: records.LeaseRecord,
    holdings: dict[types.Slot, slots.SlotAssignment],
    members: Iterable[records.LeaseRecord],
) -> dict[types.Slot, slots.SlotAssignment]:
    """Returns the holdings with a live successor for each slot.

    Slots spread over all other members, outside the owner's data centre
    where possible, so that neither a server's nor a data centre's loss
    takes owner and successor together. A present successor is kept.
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
        key=lambda name: score(owner.incarnation, name),
        reverse=True,
    )[:_SUCCESSORS]
    if not names:
        return {
            slot: msgspec.structs.replace(held, successor=types.NO_INCARNATION)
            for slot, held in holdings.items()
        }
    return _spread(holdings, names)


def _spread(
    holdings: dict[types.Slot, slots.SlotAssignment], names: Sequence[str]
) -> dict[types.Slot, slots.SlotAssignment]:
    """Gives every candidate about as many slots to succeed to.

    Then a loss leaves the survivors even, and no further moves follow.
    """
    fair = -(-len(holdings) // len(names))
    most = fair + max(1, int(fair * _SUCCESSOR_SLACK))
    counts = dict.fromkeys(names, 0)
    chosen: dict[types.Slot, str] = {}
    for slot, held in sorted(holdings.items()):
        if counts.get(held.successor, most) < most:
            chosen[slot] = held.successor
            counts[held.successor] += 1
    # Neighbouring slots get the same successor, up to its fair share: what
    # is taken over stays in few runs.
    name = ""
    for slot in sorted(holdings.keys() - chosen.keys()):
        if not name or counts[name] >= fair:
            name = min(
                names, key=lambda name: (counts[name], -score(slot, name))
            )
        chosen[slot] = name
        counts[name] += 1
    return {
        slot: msgspec.structs.replace(held, successor=chosen[slot])
        for slot, held in holdings.items()
    }


def choose_by_rendezvous(item: object, candidates: Iterable[str]) -> str:
    """Returns the candidate with the highest score, or nobody."""
    return max(
        candidates,
        key=lambda name: score(item, name),
        default=types.NO_INCARNATION,
    )
