"""Client of the platform's store: reads, long polls and transactions."""

import random
from collections.abc import Callable

from returns import result

from tamarackgap import logs, types
from tamarackgap.network import (
    bytebudget,
    exchanges,
    httppool,
    scheduler,
    sockets,
)
from tamarackgap.ownership import effects
from tamarackgap.placement import records
from tamarackgap.platform import (
    circuitbreaker,
    names,
    operatorconfig,
    requests,
    storeera,
    tablewatch,
    transactions,
)
from tamarackgap.traffic import evacuations, routetable, storewatch

_IDLE_TIMEOUT_S = 20.0
_UNACKED_TIMEOUT_MS = 2500
_CALL_TIMEOUT_S = 2.0
# All daemons check their polls when one of them has found its own to be lost.
_MAX_CHECK_DELAY_S = 0.1
# A page of rows has up to 1 MB; one of changes has no stated limit.
_MAX_ANSWER_BYTES = 16_777_216
# Both tables may be read at once. Callers and targets that fill the memory for
# messages must not keep this daemon from its configuration.
_RESERVED_BYTES = 2 * _MAX_ANSWER_BYTES


def _ignore_evacuations(state: evacuations.Evacuations) -> None:
    del state


def _ignore_time(time: float) -> None:
    del time


class Store:
    """Makes all calls of this daemon to the platform's store.

    Attributes:
        on_poll_lost: Called when the store answers again after a poll got no
            answer, with the time at which it should have ended, seconds on the
            store's clock.
        on_evacuations: Called after each read of the operators' table with the
            evacuated zones, before any new route table is.
    """

    def __init__(
        self,
        poller: sockets.Poller,
        timers: scheduler.Scheduler,
        address: str,
        budget: bytebudget.ByteBudget,
        rng: random.Random | None = None,
    ) -> None:
        """Creates a client without connections.

        Args:
            poller: The loop's poller.
            timers: The loop's scheduler.
            address: The store's `ip:port`.
            budget: Limits the memory of all messages under way.
            rng: Spreads the calls of daemons that fail together.
        """
        self._timers = timers
        self._rng = rng or random.Random()
        self.on_poll_lost: Callable[[float], None] = _ignore_time
        self.on_evacuations: Callable[[evacuations.Evacuations], None] = (
            _ignore_evacuations
        )
        self._evacuated: frozenset[types.DataCentre] = frozenset()
        self._address = address
        self._pool = httppool.ConnectionPool(
            poller,
            timers,
            address,
            _IDLE_TIMEOUT_S,
            _UNACKED_TIMEOUT_MS,
            _MAX_ANSWER_BYTES,
            budget.reserve(_RESERVED_BYTES),
        )
        self._call_counts: dict[str, int] = {}
        self._breaker = circuitbreaker.CircuitBreaker(timers, self._rng)
        self._era = storeera.EraFollower()
        self._own_watch: tablewatch.TableWatch | None = None
        self._operator_watch: tablewatch.TableWatch | None = None
        # Least value seen of this process's clock minus the store's, seconds.
        self._clock_offset_s = float("inf")

    def to_local_clock(self, store_ms: int) -> float:
        """Returns a time of the store on this process's clock, seconds.

        Uses the least difference between the clocks seen so far, since the time
        that an answer takes adds to the difference measured with it.

        Args:
            store_ms: Time on the store's clock, milliseconds.
        """
        store_s = store_ms / 1000
        self._clock_offset_s = min(
            self._clock_offset_s, self._timers.now - store_s
        )
        return store_s + self._clock_offset_s

    def to_store_clock(self, time: float) -> float:
        """Returns a time of this process on the store's clock, seconds.

        Args:
            time: Time on this process's clock, seconds; minus infinity is
                returned if the store has not answered yet.
        """
        return time - self._clock_offset_s

    def call_counts(self) -> dict[str, int]:
        """Returns the number of calls by path and result."""
        return dict(self._call_counts)

    def watch(
        self, rows: tablewatch.OnRows, failed: Callable[[str], None]
    ) -> None:
        """Reads this system's rows, then each change, until the process ends.

        Args:
            rows: Called after each read.
            failed: Called with the cause when a read has failed.
        """
        self._own_watch = tablewatch.TableWatch(
            self,
            names.OWN_TABLE,
            storewatch.row_plan(1, True),
            rows,
            failed,
            lambda *times: self._handle_regained(self._own_watch, *times),
            self._rng,
            self._breaker,
            follows_era=True,
        )
        self._own_watch.read()

    def skip_pause(self) -> None:
        """Reads changes of this system's rows without the pause."""
        if self._own_watch is not None:
            self._own_watch.skip_pause()

    def set_row_plan(self, plan: storewatch.ReadPlan) -> None:
        """Sets how this system's rows are followed from the next read on."""
        if self._own_watch is not None:
            self._own_watch.plan = plan

    def set_route_table_plan(self, plan: storewatch.ReadPlan) -> None:
        """Sets how the configuration is followed from the next read on."""
        if self._operator_watch is not None:
            self._operator_watch.plan = plan

    def check_route_table(self) -> None:
        """Reads changes of the configuration now, without waiting for one."""
        if self._operator_watch is not None:
            self._operator_watch.check()

    def handle_news(self, answered_at: float) -> None:
        """Calls again at once where calls fail and others have had an answer.

        Args:
            answered_at: When the store answered another daemon, seconds on the
                store's clock.
        """
        if self._clock_offset_s == float("inf"):
            return
        local_time = answered_at + self._clock_offset_s
        for watch in (self._own_watch, self._operator_watch):
            if watch is not None:
                watch.handle_news(local_time)

    def check_calls_sent_before(self, time: float) -> None:
        """Replaces calls that others have found to be lost, after a moment.

        Args:
            time: Calls that were sent before may be lost, seconds on the
                store's clock.
        """
        if self._clock_offset_s == float("inf"):
            return
        local_time = time + self._clock_offset_s

        def check() -> None:
            for watch in (self._own_watch, self._operator_watch):
                if watch is not None:
                    watch.check_if_sent(float("-inf"), local_time)

        self._timers.after(self._rng.uniform(0.0, _MAX_CHECK_DELAY_S), check)

    def _handle_regained(
        self,
        regained: tablewatch.TableWatch,
        since: float,
        lost_at: float | None,
    ) -> None:
        """Checks polls that were sent while calls of the other watch failed.

        Args:
            regained: The watch that has an answer again.
            since: Time of its last answer before, seconds.
            lost_at: When a poll should have ended that was lost, seconds; None
                if none was.
        """
        for watch in (self._own_watch, self._operator_watch):
            if watch is not None and watch is not regained:
                watch.check_if_sent(since, float("inf"))
        if lost_at is not None and self._clock_offset_s < float("inf"):
            self.on_poll_lost(self.to_store_clock(lost_at))

    def watch_route_table(
        self,
        changed: Callable[[routetable.RouteTable], None],
        checked: Callable[[float], None],
    ) -> None:
        """Reads the operator's configuration, then each new version.

        Args:
            changed: Called with each version that could be decoded.
            checked: Called after each read by which the last such version is
                the newest, with the time of that on the store's clock, seconds.
        """
        is_decoded = False

        def handle_rows(
            rows: list[records.Row], revision: int, as_of: float, era: int
        ) -> None:
            nonlocal is_decoded
            del era
            self._handle_evacuations(rows, revision)
            for row in rows:
                if row.key != names.OPERATOR_KEY or row.value is None:
                    continue
                table = operatorconfig.decode(row.value.encode("utf-8"))
                is_decoded = table is not None
                if table is not None:
                    changed(table)
            if is_decoded:
                checked(self.to_store_clock(as_of))

        self._operator_watch = tablewatch.TableWatch(
            self,
            names.OPERATOR_TABLE,
            storewatch.route_table_plan(storewatch.Turn(0, 1)),
            handle_rows,
            lambda problem: None,
            lambda *times: self._handle_regained(self._operator_watch, *times),
            self._rng,
            self._breaker,
        )
        self._operator_watch.read()

    def _handle_evacuations(
        self, rows: list[records.Row], revision: int
    ) -> None:
        """Applies the rows of evacuated zones; what they hold has no meaning.

        Args:
            rows: Rows of the operators' table that have changed.
            revision: Revision up to which they are complete.
        """
        for row in rows:
            zone = row.key.removeprefix(names.EVACUATE_PREFIX)
            if not zone or zone == row.key:
                continue
            if row.value is None:
                self._evacuated -= {types.DataCentre(zone)}
            else:
                self._evacuated |= {types.DataCentre(zone)}
        self.on_evacuations(
            evacuations.Evacuations(self._evacuated, revision, self._era.era)
        )

    def commit(
        self,
        transaction: records.Transaction,
        done: Callable[[effects.CommitState, list[records.Row]], None],
        name: str = "",
    ) -> None:
        """Commits a transaction; its outcome may stay unknown.

        While this daemon's reads fail, it waits, and is sent when they have an
        answer. An answer of another era than the transaction's tells nothing:
        what was committed before may be forgotten.

        Args:
            transaction: The checks and writes.
            done: Called once with the outcome and with rows: those written, or
                after a conflict the checked rows as they are now.
            name: Who commits; of the same one, only the last transaction waits.
        """

        def handle_outcome(
            outcome: result.Result[httppool.Answer, exchanges.Failure],
        ) -> None:
            if isinstance(outcome, result.Success) and (
                transaction.era != self._era.era
            ):
                logs.event("commit_unknown", era=self._era.era)
                done(effects.CommitState.UNKNOWN, [])
                return
            transactions.handle_answer(transaction, done, outcome)

        def send() -> None:
            self.call(
                "POST",
                names.ROWS_TX,
                transactions.encode(transaction),
                _CALL_TIMEOUT_S,
                handle_outcome,
            )

        self._breaker.wait_to_commit(send, name)

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        done: httppool.DoneCallback,
    ) -> httppool.Exchange:
        """Makes a call with a JSON body, and counts its result.

        Args:
            method: HTTP method.
            path: Path and query.
            body: The body, encoded.
            timeout: Longest wait for the whole answer, seconds.
            done: Called once with the answer or the failure.

        Returns:
            The exchange under way.
        """
        path_only = path.partition("?")[0]
        data = requests.encode_json(method, path, self._address, body)

        def handle_outcome(
            outcome: result.Result[httppool.Answer, exchanges.Failure],
        ) -> None:
            match outcome:
                case result.Success(httppool.Answer(status=status)):
                    name = f"{path_only} {status}"
                case result.Failure(exchanges.Failure(cause=cause)):
                    name = f"{path_only} {cause.value}"
                case _:
                    raise AssertionError(outcome)
            self._call_counts[name] = self._call_counts.get(name, 0) + 1
            if isinstance(outcome, result.Success):
                self._follow_era(outcome.unwrap())
            done(outcome)

        return self._pool.send(lambda: data, timeout, handle_outcome)

    def _follow_era(self, answer: httppool.Answer) -> None:
        """Reads both tables anew if the store is back from a copy.

        Changes may come under versions that this daemon has read already.
        """
        if not self._era.record(answer):
            return
        for watch in (self._own_watch, self._operator_watch):
            if watch is not None:
                watch.read_again()

    def cancel(self, exchange: httppool.Exchange) -> None:
        """Ends a call without an answer."""
        self._pool.cancel(exchange)

    @property
    def era(self) -> int:
        """The store's era; 0 if it has named none."""
        return self._era.era

    def is_late(self, answer: httppool.Answer) -> bool:
        """Returns whether an answer is of an era that has ended."""
        return self._era.is_late(answer)

    @property
    def timers(self) -> scheduler.Scheduler:
        """The loop's scheduler."""
        return self._timers
