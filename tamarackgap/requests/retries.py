"""Bounds how much load retries may add."""


class RetryBudget:
    """Tokens that requests bring in and retries use up."""

    def __init__(self, ratio: float, burst: float) -> None:
        """Creates a full budget.

        Args:
            ratio: Retries allowed for each request.
            burst: Most tokens saved.
        """
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Retries that are allowed now."""
        return self._tokens

    def resize(self, burst: float) -> None:
        """Sets how many tokens are saved at most."""
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def deposit(self) -> None:
        """Notes a request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def withdraw(self) -> bool:
        """Takes one retry; returns False if none is allowed."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ServiceRetryBudgets:
    """One daemon's part of a budget that all daemons share.

    Each spends from its own requests and its own part of the fixed amount,
    so the sum holds in any window without a word between them.
    """

    def __init__(self, ratio: float, extra: float) -> None:
        """Creates full budgets.

        Args:
            ratio: Retries allowed for each request of a service.
            extra: Retries allowed besides, for all daemons together.
        """
        # A window may begin with saved tokens and end on new ones.
        self._ratio = ratio / 2
        self._extra = extra / 2
        self._burst = 1.0
        self._budgets: dict[str, RetryBudget] = {}

    def resize(self, ratio: float, extra: float) -> None:
        """Sets both amounts; budgets begin anew with the next request."""
        self._ratio = ratio / 2
        self._extra = extra / 2
        self._budgets.clear()

    def set_daemon_count(self, daemons: int) -> None:
        """Sets among how many daemons the fixed amount is divided."""
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
