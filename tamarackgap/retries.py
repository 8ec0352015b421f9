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

    def deposit(self) -> None:
        """Notes a request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def withdraw(self) -> bool:
        """Takes one retry; returns False if none is allowed."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
