"""Counts what an HTTP parser keeps of bytes that it has not passed on.

The parser passes a field of a head or a trailer on only when it is complete,
and keeps all that it has of it until then. The same may hold for other parts of
a message that have no end.
"""


class PartialInput:
    """Counts the bytes that a parser was fed without completing anything.

    Attributes:
        held: Bytes that the parser may keep; those that were read together with
            the end of an element count in full.
        since_complete: Bytes of the reads in which no element was completed,
            since the last one in which one was.
    """

    def __init__(self) -> None:
        """Creates the counts of a parser that has been fed nothing."""
        self.held = 0
        self.since_complete = 0
        self._completed: int | None = None

    def record_complete(self, size: int = 0) -> None:
        """Records that the parser has passed on an element, or a part of one.

        Args:
            size: Size of what it has passed on, bytes.
        """
        self._completed = (self._completed or 0) + size

    def record_read(self, size: int) -> None:
        """Records that the parser has been fed the bytes of one read.

        Args:
            size: Number of the bytes.
        """
        if self._completed is None:
            self.held += size
            self.since_complete += size
        else:
            self.held = max(0, size - self._completed)
            self.since_complete = 0
            self._completed = None

    def clear(self) -> None:
        """Records that the parser keeps nothing."""
        self.held = 0
        self.since_complete = 0
        self._completed = None
