"""Limits the memory that messages under way take in the whole process.

Each message has a limit of its own, but many of them at once, each within it,
could still exceed the memory of the process.
"""

import sys

# A message that holds more than this counts as a large one. Large messages are
# refused before the budget is used up, so that small ones still have room.
_LARGE_BYTES = 65_536
_LARGE_SHARE = 0.75


class ByteBudget:
    """Counts the bytes that all messages under way hold.

    Attributes:
        refusals: Number of times that a message had no room.
    """

    def __init__(self, limit: int = sys.maxsize) -> None:
        """Creates a budget of which nothing is used.

        Args:
            limit: Most bytes that all messages may hold.
        """
        self._limit = limit
        self._used = 0
        self.refusals = 0

    @property
    def used(self) -> int:
        """Number of bytes that are held."""
        return self._used

    def reserve(self, limit: int) -> "ReservedBudget":
        """Returns a budget for messages that others must not keep out.

        Args:
            limit: Most bytes that these messages may hold.
        """
        return ReservedBudget(self, limit)

    def count(self, change: int) -> None:
        """Counts bytes that have their room elsewhere."""
        self._used += change

    def change(self, held: int, change: int) -> bool:
        """Counts that a message holds more bytes, or fewer.

        Args:
            held: Bytes that the message holds now.
            change: By how many they have changed.

        Returns:
            Whether the message has room; never False if it has not grown.
        """
        self.count(change)
        if change <= 0:
            return True
        limit = self._limit
        if held > _LARGE_BYTES:
            limit *= _LARGE_SHARE
        if self._used <= limit:
            return True
        self.refusals += 1
        return False


class ReservedBudget(ByteBudget):
    """Counts bytes in another budget as well, but has a limit of its own."""

    def __init__(self, budget: ByteBudget, limit: int) -> None:
        """Creates a budget of which nothing is used.

        Args:
            budget: The budget whose messages have less room by these.
            limit: Most bytes that the messages of this budget may hold.
        """
        super().__init__(limit)
        self._budget = budget

    def change(self, held: int, change: int) -> bool:
        """Counts that a message holds more bytes, or fewer.

        Args:
            held: Bytes that the message holds now.
            change: By how many they have changed.

        Returns:
            Whether the message has room; never False if it has not grown.
        """
        self._used += change
        self._budget.count(change)
        if change <= 0 or self._used <= self._limit:
            return True
        self.refusals += 1
        return False


class Charge:
    """Counts the bytes that one connection or message holds."""

    def __init__(self, budget: ByteBudget) -> None:
        """Creates a charge of no bytes."""
        self._budget = budget
        self._held = 0

    @property
    def held(self) -> int:
        """Number of bytes that are held."""
        return self._held

    def hold(self, count: int) -> bool:
        """Sets the number of bytes that are held.

        They count even if there is no room for them, until less is held: it is
        for the caller to drop them.

        Returns:
            Whether there is room for them.
        """
        change = count - self._held
        if not change:
            return True
        self._held = count
        return self._budget.change(count, change)

    def release(self) -> None:
        """Counts that nothing is held any more."""
        self.hold(0)
