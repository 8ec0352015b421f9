"""Fault: endless answers make daemons exceed their memory limit."""

import contextlib
import pathlib
import signal
import socket
import threading
import time

from review.common import deployment
from standins import httpd

_FOLDER = pathlib.Path(__file__).parent
_MEMORY_KB = 300 * 1024
_MEMORY_POLL_S = 0.02
_RESTART_S = 1.0
# Each window of trouble is as long as the longest of the site files, and in it
# at most one answer in twenty of half of the servers has no end.
_WINDOW_S = 5.5
_WINDOW_STARTS_S = tuple(range(4, 92, 11))
_NORMAL_ANSWERS = 228
_ENDLESS_ANSWERS = 12
_FAULTY = 2
_WORK_S = 0.06
_TIMEOUT_MS = 2500
_CLIENTS_PER_MACHINE = 22
_PAUSE_S = 0.1
_ENDS_LIMIT = 3
_MACHINES_LIMIT = 2
# Chunks of two bytes, without a last one.
_POURED = b"2\r\nab\r\n" * 8192
_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class _Listener:
    """Serves connections on threads; can answer without an end."""

    def __init__(self, address, handle):
        host, _, port = address.rpartition(":")
        self._handle = handle
        self._stopped = threading.Event()
        self._connections = set()
        self._listener = socket.create_server((host, int(port)), backlog=256)

    def serve_forever(self, poll_s):
        """Accepts connections until `stop`."""
        del poll_s
        while not self._stopped.is_set():
            try:
                link, _ = self._listener.accept()
            except OSError:
                return
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.add(link)
            deployment.in_background(self._serve, link)

    def stop(self):
        """Ends the server and its connections."""
        self._stopped.set()
        for each in (self._listener, *self._connections):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()

    def _serve(self, link):
        try:
            with link.makefile("rb") as reader:
                while request := _read_request(reader):
                    response = self._handle(request)
                    if response is None:
                        link.sendall(_HEAD)
                        while not self._stopped.is_set():
                            link.sendall(_POURED)
                        return
                    link.sendall(_encode(response))
        except OSError:
            pass
        finally:
            self._connections.discard(link)
            link.close()


def _read_request(reader):
    line = reader.readline().split()
    if len(line) != 3:
        return None
    headers = {}
    while (field := reader.readline().strip()) != b"":
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return httpd.Request(line[0].decode(), line[1].decode(), headers, body)


def _encode(response):
    lines = [f"HTTP/1.1 {response.status} Status"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines += [f"Content-Length: {len(response.body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + response.body


class _Trouble:
    """Chooses the answers without end, for one server."""

    def __init__(self):
        self.until = 0.0
        self.normal = 0
        self.endless = 0
        self._lock = threading.Lock()

    def begin(self, until):
        """Starts a window of trouble."""
        with self._lock:
            self.until, self.normal, self.endless = until, 0, 0

    def is_endless(self):
        """Counts an answer; returns whether it has no end."""
        with self._lock:
            if time.monotonic() >= self.until:
                return False
            if self.normal < _NORMAL_ANSWERS:
                self.normal += 1
                return False
            if self.endless < _ENDLESS_ANSWERS:
                self.endless += 1
                return True
            return False


def _make_faulty(server, machine, trouble):
    """Lets some of a server's answers have no end."""
    handle = server.answer

    def answer(request):
        is_run = request.path.startswith("/browse/")
        if is_run and trouble.is_endless():
            return None
        return handle(request)

    server.replace_listener(lambda: _Listener(machine.server_address, answer))


def _memory_kb(process):
    try:
        text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


class _Platform:
    """Kills daemons over the memory limit, and starts ended ones again."""

    def __init__(self, site, stopped):
        self.ends = {machine.name: 0 for machine in site.machines}
        self.peaks_kb = dict.fromkeys(self.ends, 0)
        self._site = site
        self._stopped = stopped

    def watch(self, machine):
        """Watches one daemon until the case ends."""
        while not self._stopped.is_set():
            time.sleep(_MEMORY_POLL_S)
            process = machine.process
            used = _memory_kb(process)
            self.peaks_kb[machine.name] = max(used, self.peaks_kb[machine.name])
            if used > _MEMORY_KB:
                process.send_signal(signal.SIGKILL)
            elif process.poll() is None:
                continue
            process.wait()
            self.ends[machine.name] += 1
            self._site.record.write(
                "daemon_ended", machine=machine.name, memory_mb=used // 1024
            )
            time.sleep(_RESTART_S)
            if not self._stopped.is_set():
                machine.start_daemon()


def _count_over(platform):
    """Returns how many daemons have ended so often that the rule is broken."""
    return sum(count >= _ENDS_LIMIT for count in platform.ends.values())


def main():
    """Runs the case; returns the exit status."""
    site = deployment.Deployment(
        _FOLDER, [(f"m{number}", "halls") for number in range(1, 5)]
    )
    stopped = threading.Event()
    platform = _Platform(site, stopped)
    troubles = []
    # Ids of requests whose connection ended without an answer.
    unanswered = []
    try:
        site.put_configuration(
            1,
            deployment.route(
                "browse", "/browse/", "halls", True, _TIMEOUT_MS, 600
            ),
            deployment.service("halls"),
        )
        if not site.start(lambda path: _WORK_S, "/browse/ready"):
            print("the deployment does not serve")
            return 2
        for machine in site.machines[:_FAULTY]:
            troubles.append(_Trouble())
            _make_faulty(machine.server, machine, troubles[-1])
        for machine in site.machines:
            deployment.in_background(platform.watch, machine)

            def send(machine=machine):
                kept = site.connect(machine, _TIMEOUT_MS)
                while not stopped.is_set():
                    status, request_id = site.send(
                        machine,
                        "GET",
                        "/browse/hall",
                        _TIMEOUT_MS,
                        kept=kept,
                    )
                    if status == 0:
                        unanswered.append(request_id)
                    time.sleep(_PAUSE_S)

            for _ in range(_CLIENTS_PER_MACHINE):
                deployment.in_background(send)
        started_at = time.monotonic()
        for start_s in _WINDOW_STARTS_S:
            time.sleep(max(0.0, started_at + start_s - time.monotonic()))
            site.record.write("endless_answers_begin", for_s=_WINDOW_S)
            for trouble in troubles:
                if deployment.has_trouble():
                    trouble.begin(time.monotonic() + _WINDOW_S)
            time.sleep(_WINDOW_S + _RESTART_S)
            for trouble in troubles:
                site.record.write(
                    "endless_answers_end",
                    normal=trouble.normal,
                    endless=trouble.endless,
                )
            if deployment.has_trouble() and _count_over(platform) >= (
                _MACHINES_LIMIT
            ):
                break
        stopped.set()
        site.record.write("result", **platform.ends)
        peaks_mb = {k: v // 1024 for k, v in platform.peaks_kb.items()}
        sound = [machine.server for machine in site.machines[_FAULTY:]]
        lost = [
            request_id
            for request_id in unanswered
            if any(request_id in server.begun for server in sound)
        ]
        site.record.write("cut_while_at_a_sound_server", count=len(lost))
        print(
            f"ends {platform.ends}, most memory in MB {peaks_mb}, requests cut"
            f" that were at a sound server: {len(lost)}"
        )
        return 1 if _count_over(platform) >= _MACHINES_LIMIT else 0
    finally:
        stopped.set()
        time.sleep(_RESTART_S + 0.5)
        site.stop()


if __name__ == "__main__":
    deployment.run(main)
