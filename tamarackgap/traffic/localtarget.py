"""Follows the state of the local target from its announcements."""

import enum
import math

import msgspec

from tamarackgap import types
from tamarackgap.traffic import heartbeatorders

# A target is regarded as gone if it has sent no announcement for this many
# announce intervals and has not answered a call within _RECENT_ANSWER_S either.
_SILENCE_INTERVALS = 3.5
_RECENT_ANSWER_S = 1.0
# A process whose birth is not known counts as one that has left for this long:
# a later one under the same id can't be told from it.
_UNBORN_LEFT_S = 30.0
_MAX_LEFT = 16


class Phase(enum.Enum):
    """State of the target, which decides whether calls may be sent to it.

    A leaving target ends its running calls and accepts no new ones.
    """

    ABSENT = "absent"
    SERVING = "serving"
    LEAVING = "leaving"


class Announcement(msgspec.Struct, frozen=True):
    """Holds what a target announces of itself.

    Attributes:
        instance: The target's id.
        service: The service that it runs.
        capacity: Number of calls that it runs at once.
        leaving: Whether it accepts no new calls.
        cold_s: Seconds for which it is still cold.
        born_ms: Start time of its process, milliseconds; 0 if not given.
        sequence: Number that rises with each announcement of one process.
        final: Whether this is its last announcement before it ends.
        report: What it says about its keys.
    """

    instance: str
    service: str = ""
    capacity: int = 0
    leaving: bool = False
    cold_s: float = 0.0
    born_ms: int = 0
    sequence: int = 0
    final: bool = False
    report: heartbeatorders.HoldReport = heartbeatorders.HoldReport()

    @property
    def process(self) -> types.TargetProcess:
        """The process that has sent it."""
        return types.TargetProcess(self.instance, self.born_ms)


class Transition(enum.Enum):
    """What an announcement, a refused connection or silence has changed."""

    NONE = "none"
    # A new process of the target has announced itself. It holds no slots yet.
    NEW_PROCESS = "new-life"
    # The same process announces itself again after it was lost or silent.
    RETURNED = "back"
    LEAVING = "leaving"
    # The target refuses connections, so its process has ended.
    LOST = "lost"
    # The target neither announces itself nor answers, but may still run.
    SILENT = "silent"


class LocalTarget:
    """Tracks the phase and the latest announcement of the local target.

    Attributes:
        phase: Whether calls may be sent to the target.
    """

    def __init__(self, service: str, interval: float, now: float) -> None:
        """Creates a target that has not announced itself.

        Args:
            service: The target's service; announcements of others are ignored.
            interval: Time between two announcements, seconds.
            now: Monotonic time, seconds.
        """
        self._service = service
        self._silence_timeout = interval * _SILENCE_INTERVALS
        self._last_heard = now
        self._latest = Announcement("")
        # Processes that have left, and until when they count so, seconds.
        self._left: dict[types.TargetProcess, float] = {}
        self.phase = Phase.ABSENT

    @property
    def left(self) -> tuple[types.TargetProcess, ...]:
        """The processes that have left."""
        return tuple(self._left)

    @property
    def instance(self) -> str:
        """Id of the target; "" before its first announcement."""
        return self._latest.instance

    @property
    def capacity(self) -> int:
        """Number of calls that the target runs at once."""
        return self._latest.capacity

    def is_latest(self, announcement: Announcement) -> bool:
        """Returns whether an announcement is the one that is in force."""
        return announcement is self._latest

    def handle_announcement(
        self, announcement: Announcement, now: float
    ) -> Transition:
        """Applies an announcement.

        An announcement is ignored if it is for another service or without
        capacity, or if a later one of the same process, or one of a later
        process, has been received. A process that has left never serves again,
        whatever it announces.

        Args:
            announcement: The announcement.
            now: Monotonic time, seconds.

        Returns:
            What it has changed.
        """
        latest = self._latest
        if announcement.final:
            return self._handle_final(announcement, now)
        if announcement.service != self._service or announcement.capacity < 1:
            return Transition.NONE
        if announcement.leaving:
            self._add_left(announcement.process, now)
        is_same_process = announcement.process == latest.process
        if is_same_process and announcement.sequence <= latest.sequence:
            return Transition.NONE
        if not is_same_process and announcement.born_ms < latest.born_ms:
            return Transition.NONE
        self._latest = announcement
        self._last_heard = now
        previous = self.phase
        if announcement.leaving or self.has_left(announcement.process, now):
            self.phase = Phase.LEAVING
            return (
                Transition.NEW_PROCESS
                if not is_same_process
                else self._leaving_transition(previous)
            )
        if is_same_process and previous is Phase.LEAVING:
            return Transition.NONE
        self.phase = Phase.SERVING
        if not is_same_process:
            return Transition.NEW_PROCESS
        return (
            Transition.RETURNED if previous is Phase.ABSENT else Transition.NONE
        )

    def leaving_process(
        self, announcement: Announcement
    ) -> types.TargetProcess:
        """Returns the process that an announcement says to leave.

        A last announcement need not say when the process was started.
        """
        process = announcement.process
        latest = self._latest.process
        if process.instance == latest.instance and not process.born_ms:
            return latest
        return process

    def has_left(self, process: types.TargetProcess, now: float) -> bool:
        """Returns whether a process has said that it leaves.

        Args:
            process: The process.
            now: Monotonic time, seconds.
        """
        unborn = types.TargetProcess(process.instance)
        return any(
            self._left.get(each, -math.inf) > now for each in (process, unborn)
        )

    def record_left(
        self, process: types.TargetProcess, now: float
    ) -> Transition:
        """Records that a process has left, as others know.

        Args:
            process: The process.
            now: Monotonic time, seconds.

        Returns:
            What that has changed.
        """
        self._add_left(process, now)
        if process != self._latest.process or self.phase is not Phase.SERVING:
            return Transition.NONE
        self.phase = Phase.LEAVING
        return Transition.LEAVING

    def _add_left(self, process: types.TargetProcess, now: float) -> None:
        self._left[process] = (
            math.inf if process.born_ms else (now + _UNBORN_LEFT_S)
        )
        for oldest in list(self._left)[:-_MAX_LEFT]:
            del self._left[oldest]

    def handle_connection_refused(self) -> Transition:
        """Records that the target refuses connections.

        Returns:
            LOST, or NONE if the target was absent already.
        """
        if self.phase is Phase.ABSENT:
            return Transition.NONE
        self.phase = Phase.ABSENT
        return Transition.LOST

    def check_silence(self, last_answered_at: float, now: float) -> Transition:
        """Returns SILENT once if the target has been silent for too long.

        Args:
            last_answered_at: Monotonic time of its last answer, seconds.
            now: Monotonic time, seconds.
        """
        if (
            self.phase is Phase.ABSENT
            or now - self._last_heard <= self._silence_timeout
        ):
            return Transition.NONE
        if now - last_answered_at <= _RECENT_ANSWER_S:
            return Transition.NONE
        self.phase = Phase.ABSENT
        return Transition.SILENT

    def _leaving_transition(self, previous: Phase) -> Transition:
        return (
            Transition.NONE if previous is Phase.LEAVING else Transition.LEAVING
        )

    def _handle_final(
        self, announcement: Announcement, now: float
    ) -> Transition:
        return self.record_left(self.leaving_process(announcement), now)
