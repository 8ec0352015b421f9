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


class Transition(enum.Enum):
    """What an announcement or silence means for the daemon."""

    NONE = "none"
    # Another life of the target: it holds and knows nothing of before.
    NEW_PROCESS = "new-life"
    RETURNED = "back"
    LEAVING = "leaving"
    # Nobody listens at its address: it has ended.
    LOST = "lost"
    # It says and answers nothing; it may live all the same.
    SILENT = "silent"


class LocalTarget:
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

    def handle_announcement(self, said: Announcement, now: float) -> Transition:
        """Takes an announcement in, unless a later one has been heard."""
        latest = self._latest
        if said.final:
            return self._left(said)
        if said.service != self._service or said.capacity < 1:
            return Transition.NONE
        same = (said.instance, said.born_ms) == (
            latest.instance,
            latest.born_ms,
        )
        if same and said.sequence <= latest.sequence:
            return Transition.NONE
        if not same and said.born_ms < latest.born_ms:
            return Transition.NONE
        self._latest = said
        self._heard = now
        before = self.phase
        if said.leaving:
            self.phase = Phase.LEAVING
            return Transition.NEW_PROCESS if not same else self._if_new(before)
        if same and before is Phase.LEAVING:
            return Transition.NONE
        self.phase = Phase.SERVING
        if not same:
            return Transition.NEW_PROCESS
        return (
            Transition.RETURNED if before is Phase.ABSENT else Transition.NONE
        )

    def handle_connection_refused(self) -> Transition:
        """Notes that the target refuses connections."""
        if self.phase is Phase.ABSENT:
            return Transition.NONE
        self.phase = Phase.ABSENT
        return Transition.LOST

    def check_silence(self, answered: float, now: float) -> Transition:
        """Returns SILENT once the target has been silent for too long.

        Args:
            answered: When it last answered a call, seconds.
            now: Monotonic time, seconds.
        """
        if self.phase is Phase.ABSENT or now - self._heard <= self._silence:
            return Transition.NONE
        if now - answered <= _ANSWERED_S:
            return Transition.NONE
        self.phase = Phase.ABSENT
        return Transition.SILENT

    def _if_new(self, before: Phase) -> Transition:
        return (
            Transition.NONE if before is Phase.LEAVING else Transition.LEAVING
        )

    def _left(self, said: Announcement) -> Transition:
        if said.instance != self._latest.instance:
            return Transition.NONE
        if self.phase is not Phase.SERVING:
            return Transition.NONE
        self.phase = Phase.LEAVING
        return Transition.LEAVING
