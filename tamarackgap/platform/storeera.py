"""Tells an older copy of the platform's store, by the header `Store-Era`.

A store that comes back from a copy some seconds old gives versions out again
that it had given before. The header rises by one each time.
"""

from tamarackgap import logs
from tamarackgap.network import httppool

_HEADER = b"store-era"
_MAX_DIGITS = 15


class EraFollower:
    """Compares the eras of the store's answers.

    The first answer's era, and that of a store that names none, is no rise.
    """

    def __init__(self) -> None:
        """Creates an instance that has seen no answer."""
        self._era: int | None = None

    @property
    def era(self) -> int:
        """The highest era of an answer; 0 if no answer has named one."""
        return self._era or 0

    def is_late(self, answer: httppool.Answer) -> bool:
        """Returns whether an answer names an era that has ended."""
        era = _decode(answer)
        return era is not None and era < self.era

    def record(self, answer: httppool.Answer) -> bool:
        """Records an answer's era.

        An era that falls or can't be read is logged and changes nothing.

        Args:
            answer: The answer.

        Returns:
            Whether the era has risen, so that the store may have forgotten what
            it has told before.
        """
        era = _decode(answer)
        if era is None:
            return False
        if self._era is None or era == self._era:
            self._era = era
            return False
        if era < self._era:
            logs.unreadable_event("store_era_odd", era=era, known=self._era)
            return False
        logs.event("store_era", era=era, known=self._era)
        self._era = era
        return True


def _decode(answer: httppool.Answer) -> int | None:
    """Returns the era in an answer, 0 if it has none, None if it is odd."""
    values = [value for name, value in answer.headers if name == _HEADER]
    if not values:
        return 0
    text = values[0].strip()
    if len(values) > 1 or not text.isdigit() or len(text) > _MAX_DIGITS:
        logs.unreadable_event("store_era_odd", era=repr(values))
        return None
    return int(text)
