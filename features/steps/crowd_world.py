"""A crowd of clients as a process of its own, and what a server takes meanwhile."""

import json
import random
import stat
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

import attrs
import urllib3
from platform_world import wait_until

_PROGRAM = Path(__file__).parent.parent / "programs" / "crowd.py"
#: until when the crowd has sent what it sends; not a bound of any check.
SETTLED_S = 120.0
#: tries of an ordinary client, each on a new connection.
TRIES = 3
#: pause between them. A gateway whose event loop is saturated turns new connections
#: away; clients then try another gateway, and here there is only one.
RETRY_PAUSE_S = 1.0
_POLL_S = 0.05
#: as the machines' memory is stated.
_MB = 1_000_000
#: descriptors of standard output and error.
_LOGS = ("1", "2")


@attrs.define
class Usage:
    """The most that a process took.

    :param memory_mb: resident memory.
    :param descriptors: open descriptors.
    :param files_mb: size of its open files; machines keep them in memory.
    """

    memory_mb: float = 0.0
    descriptors: int = 0
    files_mb: float = 0.0


class UsageWatch:
    """Watches what a process takes, from its start or from now on.

    :param find: returns the process, another one once it was started again.
    """

    def __init__(self, find: Callable[[], subprocess.Popen]) -> None:
        self._find = find
        self._is_closed = threading.Event()
        self.most = Usage()
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def start(self) -> None:
        """Begin to count descriptors."""
        self._thread.start()

    def close(self) -> Usage:
        """Stop watching; return the most, for memory since the process began."""
        self._is_closed.set()
        self._thread.join()
        self._note()
        return self.most

    def _watch(self) -> None:
        while not self._is_closed.wait(_POLL_S):
            self._note()

    def _note(self) -> None:
        folder = Path(f"/proc/{self._find().pid}")
        try:
            status = (folder / "status").read_text()
            links = list((folder / "fd").iterdir())
        except OSError:
            # It has ended.
            return
        peaks = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        for line in peaks:
            peak_mb = int(line.split()[1]) * 1024 / _MB
            self.most.memory_mb = max(self.most.memory_mb, peak_mb)
        self.most.descriptors = max(self.most.descriptors, len(links))
        files_mb = sum(_file_bytes(e) for e in links if e.name not in _LOGS) / _MB
        self.most.files_mb = max(self.most.files_mb, files_mb)


def _file_bytes(link: Path) -> int:
    """Return the size of what a descriptor refers to, if that is a file."""
    try:
        found = link.stat()
    except OSError:
        # It was closed.
        return 0
    return found.st_size if stat.S_ISREG(found.st_mode) else 0


class Crowd:
    """Runs ``programs/crowd.py``.

    :param options: as that program takes them.
    """

    def __init__(self, **options) -> None:
        self._options = options
        self._process: subprocess.Popen | None = None
        self._said: list[str] = []

    def start(self) -> None:
        """Let the clients come."""
        self._process = subprocess.Popen(
            [sys.executable, str(_PROGRAM), json.dumps(self._options)],
            stdout=subprocess.PIPE,
            text=True,
        )
        threading.Thread(target=self._read, daemon=True).start()

    def wait_settled(self) -> None:
        """Wait until each has sent what it sends, or was closed."""
        wait_until("the crowd has settled", lambda: self._said, SETTLED_S)

    def wait_left(self) -> None:
        """Wait until all have left."""
        self._process.wait(SETTLED_S)
        assert self._process.returncode == 0, self._process.returncode

    def close(self) -> None:
        """End the program."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def _read(self) -> None:
        for line in self._process.stdout:
            self._said.append(line.strip())


#: what a crowd does that never completes a request.
ENDLESS_KINDS = (
    "trailer line",
    "short trailers",
    "chunk extension",
    "header line",
    "tiny fields",
    "unfinished bodies",
    "trickling bodies",
    "unfinished chunks",
    "idle connections",
)
#: how many clients come at once, and for how long each crowd stays.
COUNTS = (20, 150)
STAYS_S = (0.5, 4.0)


class CrowdSeries(threading.Thread):
    """One crowd after the other at ports that are drawn, until it is closed.

    :param ports: the ports.
    :param draw: random generator.
    :param options: of every crowd.
    """

    def __init__(self, ports: list[int], draw: random.Random, **options) -> None:
        super().__init__(daemon=True)
        self._ports = ports
        self._draw = draw
        self._options = options
        self._is_closed = threading.Event()
        self.crowds = 0

    def run(self) -> None:
        draw = self._draw
        while not self._is_closed.is_set():
            crowd = Crowd(
                port=draw.choice(self._ports),
                kind=draw.choice(ENDLESS_KINDS),
                count=draw.randint(*COUNTS),
                hold_s=draw.uniform(*STAYS_S),
                **self._options,
            )
            crowd.start()
            try:
                crowd.wait_left()
            finally:
                crowd.close()
            self.crowds += 1

    def close(self) -> None:
        """Let the last crowd leave."""
        self._is_closed.set()
        self.join()


def send_ordinary(send) -> list[int]:
    """Send one ordinary request, again after a failure as clients do.

    :param send: sends it on a new connection, and returns urllib3's response.
    :returns: the status of each try; 0 for a connection that was closed.
    """
    statuses = []
    while len(statuses) < TRIES:
        if statuses:
            time.sleep(RETRY_PAUSE_S)
        try:
            statuses.append(send().status)
        except urllib3.exceptions.HTTPError:
            statuses.append(0)
        if statuses[-1] == 200:
            break
    return statuses
