"""Decides whether a request is sent to a target once more."""

from tamarackgap import types
from tamarackgap.network import scheduler
from tamarackgap.requests import retries
from tamarackgap.traffic import pendingrequests, targets

# A request that may have run is sent again only if this share of its latency
# objective is left until its deadline; with less time an answer is unlikely.
_MIN_OBJECTIVE_SHARE = 0.25

# Refusals by the target itself rather than by its daemon.
_REFUSED_BY_TARGET = frozenset(
    {
        types.Reason.TARGET_REFUSED,
        types.Reason.TARGET_FULL,
        types.Reason.TARGET_MISDIRECTED,
    }
)

# Those after which the owner of a key may run the request all the same.
_MAY_SUCCEED_AT_OWNER = frozenset(
    {types.Reason.TARGET_REFUSED, types.Reason.TARGET_MISDIRECTED}
)


class RerunRules:
    """Tells which requests are sent again, within the services' budgets."""

    def __init__(
        self,
        directory: targets.TargetDirectory,
        budgets: retries.ServiceRetryBudgets,
        timers: scheduler.Scheduler,
    ) -> None:
        """Creates the rules.

        Args:
            directory: Tells whether a target has room.
            budgets: Limits how many legs are sent again.
            timers: The loop's scheduler.
        """
        self._targets = directory
        self._budgets = budgets
        self._timers = timers

    def may_rerun(self, pending: pendingrequests.PendingRequest) -> bool:
        """Returns whether a request that may have run is sent again.

        If it is, a token is taken from the service's retry budget.
        """
        now = self._timers.now
        return (
            pending.runs < pending.route.max_attempts
            and pending.deadline - now
            > pending.route.latency_objective * _MIN_OBJECTIVE_SHARE
            and self._targets.has_room(pending.service)
            and self._budgets.for_service(pending.service).withdraw()
        )

    def may_try_other_target(
        self,
        pending: pendingrequests.PendingRequest,
        reason: types.Reason | None,
    ) -> bool:
        """Returns whether a request that did not run goes to another target.

        A leg that a target itself refused takes a token from the retry budget.
        """
        if len(pending.tried) >= max(2, pending.route.max_attempts):
            return False
        if reason in _REFUSED_BY_TARGET:
            # The leg has reached a target and counts as an attempt.
            return pending.runs < pending.route.max_attempts and (
                self._budgets.for_service(pending.service).withdraw()
            )
        pending.runs -= 1
        return True

    def may_retry_owner(
        self,
        pending: pendingrequests.PendingRequest,
        reason: types.Reason | None,
    ) -> bool:
        """Returns whether a request is sent to the owner of its key again.

        It is sent again only after a refusal by the target that is not a lack
        of room, so the next leg may succeed: TARGET_REFUSED, or
        TARGET_MISDIRECTED, where the leg met a key that was just about to move.
        A token is then taken from the service's retry budget.
        """
        return (
            reason in _MAY_SUCCEED_AT_OWNER
            and pending.runs < pending.route.max_attempts
            and self._budgets.for_service(pending.service).withdraw()
        )
