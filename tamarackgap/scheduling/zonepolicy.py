"""Decides when a call pays to leave its data centre, and how many do.

The load that this answers: the targets of one data centre are too few or too
slow for what its callers ask of them, while others have room. Traffic between
data centres is slower and costs money, so a call leaves only if its caller
gains more than its bytes cost: the chance of an answer in time there, travel
included, less the chance here.

All daemons of a data centre see the same gap at once, and see it late. If all
their calls left, the gap would change sides. So of the calls that would gain,
the share that leaves grows with the gain, and is smaller the older the loads
behind it are: as calls leave, the gain falls until as many leave as keep it
there.
"""

import random
from collections.abc import Iterable

import msgspec

from tamarackgap.scheduling import balancer, estimates

# Price of a megabyte between data centres where the operators set none, as a
# share of the value of an answer in time.
DEFAULT_PRICE = 1.0
# How sharply the chance of an answer in time falls around its limit. With 3, an
# answer expected after half of the time left comes in time in 89 of 100 cases,
# as where some calls take several times as long as usual.
_STEEPNESS = 3
# Value of an answer after its latency objective, as a share of one in time. A
# refusal and an answer after the deadline have none.
_LATE_VALUE = 0.3
# However large a call is, its bytes count at most as much: one that has no
# chance here leaves if it has a good one elsewhere.
_MAX_COST = 0.5
# With a gain of this much beyond the costs, all calls leave.
_FULL_GAIN = 0.3
# With loads of this age, half of the calls leave that would with present ones.
_AGE_OF_HALF_S = 1.0
# Travel that is assumed to a data centre that has answered no call, seconds.
_UNKNOWN_TRAVEL_S = 0.01
# Weight of a new measurement of travel and of sizes.
_MEASUREMENT_WEIGHT = 0.1
_MEGABYTE = 1_000_000


class CallNeeds(msgspec.Struct, frozen=True):
    """What the caller of a call waits for.

    Attributes:
        latency_objective: Latency objective of the route, seconds.
        objective_left: What is left of it, seconds; negative once it has
            passed.
        deadline_left: Time until the caller gives up, seconds.
        request_bytes: Size of the request, bytes.
        answer_bytes: Expected size of its answer, bytes.
    """

    latency_objective: float
    objective_left: float
    deadline_left: float
    request_bytes: int = 0
    answer_bytes: float = 0.0


class Decision(msgspec.Struct, frozen=True):
    """Whether a call leaves its data centre, and why.

    Attributes:
        gain: What the caller gains if it leaves, as a share of the value of
            an answer in time.
        cost: What its bytes cost, as a share of the same.
        share: Share of such calls that leave, 0 to 1.
    """

    gain: float
    cost: float
    share: float


class Choice(msgspec.Struct, frozen=True):
    """The target that a call is sent to.

    Attributes:
        candidate: The target.
        leaves: Whether it is in another data centre.
        decision: What was decided; None if only one side had a target.
        end_here: Expected time until an answer from this data centre, seconds.
        end_there: The same from the target elsewhere, with travel.
        age: Age of the oldest figure behind it, seconds.
    """

    candidate: balancer.Candidate
    leaves: bool
    decision: Decision | None = None
    end_here: float = 0.0
    end_there: float = 0.0
    age: float = 0.0


class Option(msgspec.Struct, frozen=True):
    """A target that a call could be sent to.

    Attributes:
        candidate: The target.
        is_near: Whether it is in this daemon's data centre.
        usable: Whether new calls may be sent to it.
        end: Expected time until its answer arrives, seconds.
        value: What that is worth to the caller; 1 for an answer in time.
    """

    candidate: balancer.Candidate
    is_near: bool
    usable: bool
    end: float
    value: float


class TravelTimes:
    """Holds how long messages to data centres and back travel.

    They are measured with the completions of calls.
    """

    def __init__(self) -> None:
        """Creates an instance that has measured nothing."""
        self._times: dict[str, float] = {}

    def record(self, data_centre: str, seconds: float) -> None:
        """Records the time that a call and its completion travelled."""
        known = self._times.get(data_centre, seconds)
        self._times[data_centre] = known + _MEASUREMENT_WEIGHT * (
            max(0.0, seconds) - known
        )

    def travel(self, data_centre: str) -> float:
        """Returns the expected time there and back, seconds."""
        return self._times.get(data_centre, _UNKNOWN_TRAVEL_S)


class AnswerSizes:
    """Holds the usual size of answers, by service."""

    def __init__(self) -> None:
        """Creates an instance that has seen no answer."""
        self._sizes: dict[str, float] = {}

    def record(self, service: str, size: int) -> None:
        """Records the size of an answer, bytes."""
        known = self._sizes.get(service, float(size))
        self._sizes[service] = known + _MEASUREMENT_WEIGHT * (size - known)

    def usual(self, service: str) -> float:
        """Returns the usual size of an answer, bytes; 0 if none was seen."""
        return self._sizes.get(service, 0.0)


class ZonePolicy:
    """Chooses the targets of calls that any target of a service can run.

    Attributes:
        travel: Measured travel times.
        sizes: Usual sizes of answers.
        calls_sent_away: Number of calls sent to other data centres.
    """

    def __init__(
        self, data_centre: str, price_per_megabyte: float, rng: random.Random
    ) -> None:
        """Creates a policy that has measured nothing.

        Args:
            data_centre: The data centre of this daemon.
            price_per_megabyte: Price of a megabyte between data centres, as
                a share of the value of an answer in time.
            rng: Draws targets, and the calls that leave.
        """
        self._data_centre = data_centre
        self.price_per_megabyte = price_per_megabyte
        self._rng = rng
        self.travel = TravelTimes()
        self.sizes = AnswerSizes()
        self.calls_sent_away = 0

    def choose(
        self,
        candidates: Iterable[balancer.Candidate],
        tried: frozenset[str],
        needs: CallNeeds,
        own: str,
        now: float,
    ) -> Choice | None:
        """Returns the target to send a call to, or None.

        Args:
            candidates: Targets of the call's service.
            tried: Incarnations that have been tried and are left out.
            needs: What the caller waits for.
            own: Incarnation of this daemon.
            now: Monotonic time, seconds.
        """
        near, far = [], []
        for candidate in candidates:
            is_near = candidate.data_centre == self._data_centre
            (near if is_near else far).append(candidate)
        objective = needs.latency_objective
        count = len(near) + len(far)
        here = balancer.choose(near, tried, now, self._rng, objective, count)
        if here is None:
            there = balancer.choose(
                far, tried, now, self._rng, objective, count
            )
            if there is None:
                return None
            self.calls_sent_away += 1
            return Choice(there, True)
        end_here = self._end(here, needs, own, now)
        # The best that any target elsewhere could do is no gain.
        if decide(end_here, 0.0, needs, self.price_per_megabyte, 0.0).share:
            there = balancer.choose(
                far, tried, now, self._rng, objective, count
            )
            if there is not None:
                return self._compare(here, there, end_here, needs, now)
        return Choice(here, False)

    def options(
        self,
        candidates: Iterable[balancer.Candidate],
        needs: CallNeeds,
        own: str,
        now: float,
    ) -> list[Option]:
        """Returns what is expected of all targets, without a choice.

        The usable ones come first, by when their answer is expected. The
        arguments are those of `choose`.
        """
        options = []
        for candidate in candidates:
            end = self._end(candidate, needs, own, now)
            options.append(
                Option(
                    candidate,
                    candidate.data_centre == self._data_centre,
                    candidate.is_usable(now),
                    end,
                    expected_value(end, needs),
                )
            )
        return sorted(
            options, key=lambda option: (not option.usable, option.end)
        )

    def _compare(
        self,
        here: balancer.Candidate,
        there: balancer.Candidate,
        end_here: float,
        needs: CallNeeds,
        now: float,
    ) -> Choice:
        end_there = self._end(there, needs, "", now)
        age = max(here.load(now).age, there.load(now).age)
        decision = decide(
            end_here, end_there, needs, self.price_per_megabyte, age
        )
        leaves = self._rng.random() < decision.share
        self.calls_sent_away += leaves
        return Choice(
            there if leaves else here,
            leaves,
            decision,
            end_here,
            end_there,
            age,
        )

    def _end(
        self,
        candidate: balancer.Candidate,
        needs: CallNeeds,
        own: str,
        now: float,
    ) -> float:
        """Returns when an answer of a target is expected, seconds."""
        travel = 0.0
        if candidate.incarnation != own:
            travel = self.travel.travel(candidate.data_centre)
        objective = needs.latency_objective
        relative = candidate.estimate(
            now, estimates.INITIAL_RELATIVE_LATENCY, objective
        )
        return relative * objective + travel


def expected_value(end: float, needs: CallNeeds) -> float:
    """Returns the expected value of an answer, 1 for one that is in time.

    Args:
        end: Expected time until it arrives, seconds.
        needs: What the caller waits for.
    """
    in_time = _chance(end, needs.objective_left)
    at_all = _chance(end, min(needs.deadline_left, _END_OF_TIME_S))
    return in_time + _LATE_VALUE * max(0.0, at_all - in_time)


def decide(
    end_here: float,
    end_there: float,
    needs: CallNeeds,
    price_per_megabyte: float,
    age: float,
) -> Decision:
    """Returns whether leaving the data centre pays for a call.

    Args:
        end_here: Expected time until the answer arrives from the best target
            in the data centre, seconds; infinite if there is none.
        end_there: The same for the best target elsewhere, with travel.
        needs: What the caller waits for.
        price_per_megabyte: Price of a megabyte between data centres, as a
            share of the value of an answer in time.
        age: Age of the older one of both loads, seconds.
    """
    gain = expected_value(end_there, needs) - expected_value(end_here, needs)
    cost = min(
        _MAX_COST,
        price_per_megabyte
        * (needs.request_bytes + needs.answer_bytes)
        / _MEGABYTE,
    )
    net = gain - cost
    if net <= 0.0:
        return Decision(gain, cost, 0.0)
    trust = _AGE_OF_HALF_S / (_AGE_OF_HALF_S + max(0.0, age))
    return Decision(gain, cost, min(1.0, net / _FULL_GAIN) * trust)


def _chance(end: float, left: float) -> float:
    """Returns the chance that an answer arrives within the time left."""
    if left <= 0.0 or end == float("inf"):
        return 0.0
    return 1.0 / (1.0 + (end / left) ** _STEEPNESS)


# Keeps the powers of times finite.
_END_OF_TIME_S = 1e6
