"""Plays seeded faults of targets, their daemons, the table and messages."""

import enum

from tests.support import targetsimulation

_DAEMON_COUNT = 5
_DATA_CENTRES = "abc"
# Longest time between two faults, seconds; faults last longer and overlap.
_MAX_INTERVAL_S = 1.0
# Longest time from a daemon's leaving to the end of its process, seconds.
_GRACE_S = 4.0


class Fault(enum.Enum):
    """What happens to one target or its daemon, or to all of them."""

    RESTART = "the target ends and starts again, before it can be announced"
    CLOCK_STEP = "the time of day at the target's next start is earlier"
    REFUSAL = "a living target refuses connections"
    LATE_GRANT = "grants are carried out late, without answer"
    SILENCE = "orders are carried out without answer"
    SLOW_LINK = "orders and announcements are delayed"
    LOST_ANNOUNCEMENT = "announcements and the answers to them are lost"
    LONG_WORK = "calls in released slots last"
    TARGET_LEAVING = "the target leaves, and the next one starts"
    DAEMON_LEAVING = "the daemon leaves, and the next one starts"
    DAEMON_ENDS = "the daemon ends at once, and the next one starts"
    DAEMON_PAUSE = "the daemon is paused"
    CUT = "the daemon's messages are lost, in one direction or both"
    LOST_MESSAGES = "messages of all daemons are lost"
    TABLE_AWAY = "the table does not answer"


def play(faults, seed, seconds, **settings):
    """Plays faults on a settled cluster, then mends all of them.

    Args:
        faults: The faults to choose from.
        seed: Seed of all that is random.
        seconds: Time for which faults begin, seconds.
        **settings: Settings of the simulation.

    Returns:
        The simulation, after all faults have ended.
    """
    with targetsimulation.TargetSimulation(seed, **settings) as cluster:
        cluster.deploy(_DAEMON_COUNT, _DATA_CENTRES)
        assert cluster.run(20, cluster.is_settled) is not None
        assert cluster.slot_count() == targetsimulation.SLOT_COUNT
        player = _Player(cluster, sorted(faults, key=lambda fault: fault.name))
        cluster.schedule(0.0, player.begin_next)
        cluster.run(seconds)
        player.stop()
        cluster.run(_GRACE_S + 4.0)
        cluster.run(20, cluster.is_settled)
    return cluster


class _Player:
    """Begins faults at random times, and ends each of them."""

    def __init__(self, cluster, faults):
        self._cluster = cluster
        self._rng = cluster.rng
        self._faults = faults
        self._stopped = False
        self._begin = {
            Fault.RESTART: self._restart_target,
            Fault.CLOCK_STEP: self._step_clock,
            Fault.REFUSAL: self._refuse,
            Fault.LATE_GRANT: self._change("late_share", 0.7),
            Fault.SILENCE: self._change("silent_share", 0.5),
            Fault.SLOW_LINK: self._slow_link,
            Fault.LOST_ANNOUNCEMENT: self._change("announcement_loss", 0.7),
            Fault.LONG_WORK: self._change("max_work_s", 1.2),
            Fault.TARGET_LEAVING: self._leave_target,
            Fault.DAEMON_LEAVING: self._leave_daemon,
            Fault.DAEMON_ENDS: self._end_daemon,
            Fault.DAEMON_PAUSE: self._pause_daemon,
            Fault.CUT: self._cut,
            Fault.LOST_MESSAGES: self._lose_messages,
            Fault.TABLE_AWAY: self._take_table_away,
        }

    def begin_next(self):
        """Begins a fault, and schedules the next one."""
        if self._stopped:
            return
        fault = self._rng.choice(self._faults)
        name = self._rng.choice(sorted(self._cluster.hosts))
        self._begin[fault](name)
        delay = self._rng.uniform(0, _MAX_INTERVAL_S)
        self._cluster.schedule(delay, self.begin_next)

    def stop(self):
        """Begins no more faults; those under way end in time."""
        self._stopped = True

    def _for_a_while(self, longest, end):
        self._cluster.schedule(self._rng.uniform(0.1, longest), end)

    def _change(self, field, highest):
        def begin(name):
            faults = self._cluster.hosts[name].faults
            usual = getattr(type(faults), field)
            setattr(faults, field, self._rng.uniform(0, highest))
            self._for_a_while(3.0, lambda: setattr(faults, field, usual))

        return begin

    def _restart_target(self, name, clock_step_s=0.0):
        host = self._cluster.hosts[name]
        if not host.is_alive:
            return
        if self._rng.random() < 0.5:
            host.faults.announcement_loss = 1.0
            self._for_a_while(
                1.5, lambda: setattr(host.faults, "announcement_loss", 0.0)
            )
        down_s = self._rng.choice([0.0, self._rng.uniform(0, 1)])
        same_instance = self._rng.random() < 0.5
        self._cluster.restart_target(
            name,
            down_s,
            clock_step_s=clock_step_s,
            same_instance=same_instance,
        )

    def _step_clock(self, name):
        self._restart_target(name, self._rng.uniform(-100, 0))

    def _refuse(self, name):
        host = self._cluster.hosts[name]
        host.faults.refuses = True
        host.close_connections()
        self._for_a_while(2.0, lambda: setattr(host.faults, "refuses", False))

    def _slow_link(self, name):
        # Orders may take as long as a process that has used up its CPU quota
        # stands still.
        self._change("max_connect_s", 0.2)(name)
        self._change("max_transit_s", 0.1)(name)
        self._change("max_announcement_delay_s", 2.0)(name)

    def _leave_target(self, name):
        host = self._cluster.hosts[name]
        process = host.process
        process.leaving = True

        def end():
            if host.process is process and process.alive:
                self._cluster.restart_target(name, self._rng.uniform(0, 1))

        self._for_a_while(3.0, end)

    def _leave_daemon(self, name):
        daemon = self._cluster.daemons[name]
        daemon.core.drain()
        self._for_a_while(_GRACE_S, lambda: self._replace(daemon))

    def _end_daemon(self, name):
        daemon = self._cluster.daemons[name]
        daemon.alive = False
        self._for_a_while(2.0, lambda: self._replace(daemon))

    def _replace(self, daemon):
        if self._cluster.daemons[daemon.name] is daemon:
            self._cluster.restart(daemon.name)

    def _pause_daemon(self, name):
        daemon = self._cluster.daemons[name]
        daemon.paused = True
        self._for_a_while(2.0, lambda: setattr(daemon, "paused", False))

    def _cut(self, name):
        daemon = self._cluster.daemons[name]
        directions = self._rng.choice(
            [(True, True), (True, False), (False, True)]
        )
        self._cluster.cut(name, *directions)

        def end():
            daemon.outbound_cut = daemon.inbound_cut = False

        self._for_a_while(3.0, end)

    def _lose_messages(self, name):
        del name
        self._cluster.message_loss_rate = self._rng.uniform(0, 0.4)
        self._for_a_while(
            2.0, lambda: setattr(self._cluster, "message_loss_rate", 0.0)
        )

    def _take_table_away(self, name):
        del name
        self._cluster.table_up = False
        self._for_a_while(4.0, lambda: setattr(self._cluster, "table_up", True))
