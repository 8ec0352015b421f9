"""Decides when a daemon calls the store that has turned it away.

All calls of the store are priced, also those that it refuses, and it may refuse
some daemons for a long time while it serves the others. So while a daemon's
reads fail, its callers wait here, and one at a time of them calls after a
pause. An answer lets all go. Transactions are never the call that tries: their
refusal alone does not keep the daemon from reading.
"""

import random
from collections.abc import Callable

from tamarackgap.network import scheduler

_MIN_PAUSE_S = 0.4
# A daemon may be turned away for long. Yet a change of the configuration that
# nobody else passes on must be read soon after the store is back.
_MAX_PAUSE_S = 2.0
_PAUSE_GROWTH = 1.25
# The least part of a pause that is drawn. Daemons whose calls failed at the
# same moment would otherwise all call again at the same moments.
_MIN_DRAWN_PART = 0.5
# All daemons hear at about the same time that the store answers again.
_MAX_NEWS_DELAY_S = 0.05

# Makes a call that waits for a time at which it may be sent.
Call = Callable[[], None]


class CircuitBreaker:
    """Holds calls back while the store does not answer this daemon's reads."""

    def __init__(self, timers: scheduler.Scheduler, rng: random.Random) -> None:
        """Creates a breaker that lets all calls pass.

        Args:
            timers: The loop's scheduler.
            rng: Spreads the calls of daemons that fail together.
        """
        self._timers = timers
        self._rng = rng
        self._is_open = False
        self._pause_s = _MIN_PAUSE_S
        # Reads that wait, by the name of their caller, in the order in which
        # they began to; and transactions, by the name of theirs. Each has one
        # under way, and sends it again itself.
        self._reads: dict[str, Call] = {}
        self._commits: dict[str, Call] = {}
        # The name of the read that tries, and when it was let go.
        self._trying: str | None = None
        self._tried_at = float("-inf")
        # Lets the next read try; None while one does, or none waits.
        self._timer: scheduler.Timer | None = None
        # Whether a call was made because others had an answer, since the last
        # answer to this daemon.
        self._has_used_news = False

    @property
    def is_open(self) -> bool:
        """Whether reads fail, so that calls have to wait."""
        return self._is_open

    def wait_to_read(self, name: str, call: Call) -> None:
        """Lets a read go once it may: at once, unless reads fail.

        A caller that tries goes on at once, since it may need several calls.

        Args:
            name: The caller. A read of the same name that waits is replaced.
            call: Makes the read; called once.
        """
        if not self._is_open or name == self._trying:
            call()
            return
        self._reads[name] = call
        if self._timer is None and self._trying is None:
            self._let_try()

    def wait_to_commit(self, call: Call, name: str = "") -> None:
        """Lets a transaction go once it may: at once, unless reads fail.

        Args:
            call: Sends it; called once, unless a later transaction of the same
                caller replaces it.
            name: The caller.
        """
        if self._is_open:
            self._commits[name] = call
        else:
            call()

    def record_failure(self, name: str, has_waited: bool) -> None:
        """Records a read without an answer; its caller has to wait then.

        Args:
            name: The caller.
            has_waited: Whether it took its whole time-out, so that the next one
                needs no pause.
        """
        if name == self._trying:
            self._trying = None
        elif self._trying is not None:
            # It was sent before the one that tries.
            return
        self._is_open = True
        if self._timer is None:
            pause = self._rng.uniform(
                _MIN_DRAWN_PART * self._pause_s, self._pause_s
            )
            self._schedule(0.0 if has_waited else pause)
            self._pause_s = min(self._pause_s * _PAUSE_GROWTH, _MAX_PAUSE_S)

    def record_answer(self) -> None:
        """Records an answer to a read: all callers that wait are let go."""
        self._pause_s = _MIN_PAUSE_S
        self._has_used_news = False
        self._trying = None
        if not self._is_open:
            return
        self._is_open = False
        self._cancel_timer()
        waiting = [*self._reads.values(), *self._commits.values()]
        self._reads = {}
        self._commits = {}
        for call in waiting:
            call()

    def use_news(self, answered_at: float) -> bool:
        """Lets a read try at once if others had an answer since the last try.

        That is done once after a failure: if it fails as well, the store turns
        away this daemon only.

        Args:
            answered_at: When the store answered another daemon, seconds.

        Returns:
            Whether a read is let go, and one under way counts no longer.
        """
        if (
            not self._is_open
            or self._has_used_news
            or answered_at <= self._tried_at
        ):
            return False
        self._has_used_news = True
        self._trying = None
        self._cancel_timer()
        self._schedule(self._rng.uniform(0.0, _MAX_NEWS_DELAY_S))
        return True

    def _schedule(self, pause: float) -> None:
        self._timer = self._timers.after(pause, self._let_try)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _let_try(self) -> None:
        self._timer = None
        if self._reads:
            name = next(iter(self._reads))
            self._trying = name
            self._tried_at = self._timers.now
            self._reads.pop(name)()
