"""Limits the load that retries may add."""


class RetryBudget:
    """Holds tokens, which requests add and retries spend."""

    def __init__(self, ratio: float, burst: float) -> None:
        """Creates a full budget.

        Args:
            ratio: Tokens that each request adds.
            burst: Most tokens held.
        """
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Number of tokens held; a retry takes one."""
        return self._tokens

    def resize(self, burst: float) -> None:
        """Sets how many tokens are held at most."""
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def deposit(self) -> None:
        """Adds the tokens of one request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def withdraw(self) -> bool:
        """Spends a token on a retry, or returns False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ServiceRetryBudgets:
    """Holds this daemon's part of the retry budget of each service.

    In any window, all daemons together may retry a share of the requests plus
    a fixed number. Each daemon counts only its own requests and its own part
    of the fixed number, so the daemons need no messages to keep to the sum.
    """

    def __init__(self, ratio: float, extra: float) -> None:
        """Creates full budgets.

        Args:
            ratio: Retries allowed for each request of a service.
            extra: Fixed number of retries, for all daemons together.
        """
        # Halved, since a window may use up saved tokens as well as new ones.
        self._ratio = ratio / 2
        self._extra = extra / 2
        self._burst = 1.0
        self._budgets: dict[str, RetryBudget] = {}

    def resize(self, ratio: float, extra: float) -> None:
        """Sets both amounts and discards all budgets; new ones start full."""
        self._ratio = ratio / 2
        self._extra = extra / 2
        self._budgets.clear()

    def set_daemon_count(self, daemons: int) -> None:
        """Sets the number of daemons that share the fixed number."""
        self._burst = max(1.0, self._extra / max(1, daemons))
        for budget in self._budgets.values():
            budget.resize(self._burst)

    def for_service(self, service: str) -> RetryBudget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._ratio, self._burst)
            self._budgets[service] = budget
        return budget
