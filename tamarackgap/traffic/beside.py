"""What the target beside this daemon says of itself, and what it means."""

import enum

import msgspec

# A target that has said nothing for so many intervals, and has answered
# nothing either, is taken for gone.
_SILENT_INTERVALS = 3.5
# An answer that is younger shows that the target lives.
_ANSWERED_S = 1.0


class Phase(enum.Enum):
    """What may be done with the target."""

    ABSENT = "absent"
    SERVING = "serving"
    LEAVING = "leaving"


class Announcement(msgspec.Struct, frozen=True):
    """What a target says of itself.

    Attributes:
        instance: Its id.
        service: Its service.
        capacity: Calls that it runs at once.
        leaving: Whether it wants no new calls.
        cold_s: How much longer it is slow after its start, seconds.
        born_ms: When this life of it began; 0 where it doesn't say.
        sequence: Rises with each announcement of one life.
        final: Whether it will end, and says nothing more.
    """

    instance: str
    service: str = ""
    capacity: int = 0
    leaving: bool = False
    cold_s: float = 0.0
    born_ms: int = 0
    sequence: int = 0
    final: bool = False


class Change(enum.Enum):
    """What an announcement or silence means for the daemon."""

    NONE = "none"
    # Another life of the target: it holds and knows nothing of before.
    NEW_LIFE = "new-life"
    BACK = "back"
    LEAVING = "leaving"
    # Nobody listens at its address: it has ended.
    LOST = "lost"
    # It says and answers nothing; it may live all the same.
    SILENT = "silent"


class Beside:
    """The target beside this daemon, as far as is known."""

    def __init__(self, service: str, interval: float, now: float) -> None:
        """Creates a target that has said nothing.

        Args:
            service: Its service; announcements of others are not for us.
            interval: Usual time between two announcements, seconds.
            now: Monotonic time, seconds.
        """
        self._service = service
        self._silence = interval * _SILENT_INTERVALS
        self._heard = now
        self._latest = Announcement("")
        self.phase = Phase.ABSENT

    @property
    def instance(self) -> str:
        """Id of the target, or ""."""
        return self._latest.instance

    @property
    def capacity(self) -> int:
        """Calls that it runs at once."""
        return self._latest.capacity

    def announced(self, said: Announcement, now: float) -> Change:
        """Takes an announcement in, unless a later one has been heard."""
        latest = self._latest
        if said.final:
            return self._left(said)
        if said.service != self._service or said.capacity < 1:
            return Change.NONE
        same = (said.instance, said.born_ms) == (
            latest.instance,
            latest.born_ms,
        )
        if same and said.sequence <= latest.sequence:
            return Change.NONE
        if not same and said.born_ms < latest.born_ms:
            return Change.NONE
        self._latest = said
        self._heard = now
        before = self.phase
        if said.leaving:
            self.phase = Phase.LEAVING
            return Change.NEW_LIFE if not same else self._if_new(before)
        if same and before is Phase.LEAVING:
            return Change.NONE
        self.phase = Phase.SERVING
        if not same:
            return Change.NEW_LIFE
        return Change.BACK if before is Phase.ABSENT else Change.NONE

    def lost(self) -> Change:
        """Notes that the target refuses connections."""
        if self.phase is Phase.ABSENT:
            return Change.NONE
        self.phase = Phase.ABSENT
        return Change.LOST

    def check(self, answered: float, now: float) -> Change:
        """Returns SILENT once the target has been silent for too long.

        Args:
            answered: When it last answered a call, seconds.
            now: Monotonic time, seconds.
        """
        if self.phase is Phase.ABSENT or now - self._heard <= self._silence:
            return Change.NONE
        if now - answered <= _ANSWERED_S:
            return Change.NONE
        self.phase = Phase.ABSENT
        return Change.SILENT

    def _if_new(self, before: Phase) -> Change:
        return Change.NONE if before is Phase.LEAVING else Change.LEAVING

    def _left(self, said: Announcement) -> Change:
        if said.instance != self._latest.instance:
            return Change.NONE
        if self.phase is not Phase.SERVING:
            return Change.NONE
        self.phase = Phase.LEAVING
        return Change.LEAVING
