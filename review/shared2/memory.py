"""What the platform does to processes that use too much memory."""

import pathlib
import threading
import time

from review.shared2 import deployment

LIMIT_MB = 300
RESTART_S = 1.0
# An end within this time of a disruption, a start too, is no end of its own.
_EXCUSED_S = 1.0
_POLL_S = 0.02


class MemoryLimit:
    """Kills daemons over the limit, and starts ended ones again.

    Attributes:
        ends: How often each daemon has ended by itself, later than a second
            after its start.
        peaks_mb: Most memory that each daemon has used, MB.
    """

    def __init__(
        self, system: deployment.Deployment, limit_mb: int = LIMIT_MB
    ) -> None:
        """Creates a limit that watches nothing.

        Args:
            system: Its daemons are watched.
            limit_mb: Memory that a daemon may use, MB.
        """
        self._limit_mb = limit_mb
        self.ends = dict.fromkeys(system.machines, 0)
        self.peaks_mb = dict.fromkeys(system.machines, 0)
        self._system = system
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(machine,), daemon=True)
            for machine in system.machines.values()
        ]

    def start(self) -> None:
        """Starts to watch all daemons."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the watch; no daemon is started after that."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _watch(self, machine: deployment.Machine) -> None:
        name = machine.name
        started_at = time.monotonic()
        while not self._stopped.wait(_POLL_S):
            process = machine.process
            used_mb = _used_mb(process.pid)
            self.peaks_mb[name] = max(self.peaks_mb[name], used_mb)
            if used_mb > self._limit_mb:
                process.kill()
            elif process.poll() is None:
                continue
            process.wait()
            lasted_s = time.monotonic() - started_at
            self.ends[name] += lasted_s > _EXCUSED_S
            self._system.record.add(
                f"{name} ended, it used {used_mb} MB, {lasted_s:.1f} s"
                " after its start"
            )
            time.sleep(RESTART_S)
            if not self._stopped.is_set():
                machine.start()
                started_at = time.monotonic()


def _used_mb(pid: int) -> int:
    """Returns the memory that a process uses, MB; 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) // 1024
    return 0
