"""The platform's limit on the memory of a process, and the rules about it."""

import pathlib
import signal
import time

from review.common import deployment

LIMIT_KB = 300 * 1024
RESTART_S = 1.0
_POLL_S = 0.02
_ENDS_LIMIT = 3
_MACHINES_LIMIT = 2


def _used_kb(process):
    """Returns the memory that a process uses, 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


class Platform:
    """Kills daemons over the memory limit, and starts ended ones again.

    Attributes:
        ends: How often each daemon has ended by itself.
    """

    def __init__(self, site, stopped):
        """Creates a platform that watches nothing.

        Args:
            site: The deployment.
            stopped: Set when the case ends.
        """
        self.ends = {machine.name: 0 for machine in site.machines}
        self._peaks_kb = dict.fromkeys(self.ends, 0)
        # Ids of requests whose connection ended without an answer.
        self._unanswered = []
        self._site = site
        self._stopped = stopped

    def start(self):
        """Starts to watch all daemons."""
        for machine in self._site.machines:
            deployment.in_background(self._watch, machine)

    def is_rule_broken(self):
        """Returns whether enough daemons have ended often enough."""
        often = sum(count >= _ENDS_LIMIT for count in self.ends.values())
        return often >= _MACHINES_LIMIT

    def send_kept(self, machine, path, pause_s, timeout_ms=2500):
        """Sends requests over a kept connection until the case ends."""
        kept = self._site.connect(machine, timeout_ms)
        while not self._stopped.is_set():
            status, request_id = self._site.send(
                machine, "GET", path, timeout_ms, kept=kept
            )
            if status == 0:
                self._unanswered.append(request_id)
            time.sleep(pause_s)

    def judge(self, sound):
        """Records the result; returns the exit status.

        Args:
            sound: Machines whose servers had no trouble.
        """
        lost = [
            request_id
            for request_id in self._unanswered
            if any(request_id in machine.server.begun for machine in sound)
        ]
        peaks_mb = {name: kb // 1024 for name, kb in self._peaks_kb.items()}
        self._site.record.write("ends", **self.ends)
        self._site.record.write("cut_while_at_a_sound_server", count=len(lost))
        print(
            f"ends {self.ends}, most memory in MB {peaks_mb}, requests cut"
            f" that were at a sound server: {len(lost)}"
        )
        return 1 if self.is_rule_broken() else 0

    def _watch(self, machine):
        while not self._stopped.is_set():
            time.sleep(_POLL_S)
            process = machine.process
            used = _used_kb(process)
            name = machine.name
            self._peaks_kb[name] = max(used, self._peaks_kb[name])
            if used > LIMIT_KB:
                process.send_signal(signal.SIGKILL)
            elif process.poll() is None:
                continue
            process.wait()
            self.ends[name] += 1
            self._site.record.write(
                "daemon_ended", machine=name, memory_mb=used // 1024
            )
            time.sleep(RESTART_S)
            if not self._stopped.is_set():
                machine.start_daemon()
