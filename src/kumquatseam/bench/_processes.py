"""Starting and stopping our programs as separate processes on loopback.

The daemon itself starts no process; this launcher serves the demo, the
bench and the tests.
"""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import urllib3

from kumquatseam.errors import KumquatseamError

#: how long a started program may take to answer its health check.
READY_TIMEOUT_S = 15.0


class ProgramNotReadyError(KumquatseamError):
    """A started program did not answer its health check in time."""


class Program:
    """One of our programs running as a child process.

    :param arguments: arguments after ``python -m``.
    :param health_url: URL answering 200 once the program serves.
    :param log_path: file its standard error goes to, or ``None`` to inherit.
    """

    def __init__(
        self, arguments: list[str], health_url: str, log_path: str | None = None
    ):
        self._arguments = arguments
        self.health_url = health_url
        self._log_path = log_path
        self._process: subprocess.Popen | None = None
        self._log = None

    def start(self) -> None:
        """Start the process and wait until it answers.

        :raises ProgramNotReadyError: if it does not answer in time.
        """
        self._log = open(self._log_path, "ab") if self._log_path else None  # noqa: SIM115
        self._process = subprocess.Popen(
            [sys.executable, "-m", *self._arguments],
            stdout=subprocess.DEVNULL,
            stderr=self._log,
            env=dict(os.environ),
        )
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        http = urllib3.PoolManager(retries=False, timeout=1.0)
        while time.monotonic() < deadline_s:
            if self._process.poll() is not None:
                break
            try:
                if http.request("GET", self.health_url).status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                time.sleep(0.1)
        raise ProgramNotReadyError(f"{' '.join(self._arguments)} did not become ready")

    def close(self, timeout_s: float = 10.0) -> int | None:
        """Send SIGTERM and wait; kill if it does not stop.

        :returns: the exit code.
        """
        if self._process is None:
            return None
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.send_signal(signal.SIGTERM)
            try:
                self._process.wait(timeout_s)
            except subprocess.TimeoutExpired:
                self._process.kill()
                self._process.wait()
        if self._log:
            self._log.close()
        return self._process.returncode

    @property
    def process(self) -> subprocess.Popen | None:
        """The process, once it was started."""
        return self._process

    def has_ended(self) -> bool:
        """Return whether the process was started and has ended by itself."""
        return self._process is not None and self._process.poll() is not None

    def cpu_s(self) -> float:
        """Return the CPU seconds (user and system) the process has used."""
        fields = Path(f"/proc/{self._process.pid}/stat").read_text().rsplit(")", 1)[1]
        user_ticks, system_ticks = fields.split()[11:13]
        return (int(user_ticks) + int(system_ticks)) / os.sysconf("SC_CLK_TCK")

    def rss_bytes(self) -> int:
        """Return the resident memory of the process."""
        for line in Path(f"/proc/{self._process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0

    def terminate(self) -> None:
        """Send SIGTERM and return at once (a graceful shutdown begins)."""
        self._process.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int:
        """Wait for the process to exit and return its exit code."""
        return self._process.wait(timeout_s)

    def pause(self) -> None:
        """Freeze the process (SIGSTOP): it keeps its sockets but answers nothing."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Thaw a frozen process."""
        self._process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process at once, as a crash would."""
        self._process.kill()
        self._process.wait()


def standin_program(kind: str, port: int, log_path=None, **options) -> Program:
    """Return a stand-in's program (not started).

    :param kind: ``engine``, ``log``, ``instances``, ``weights`` or ``service``.
    :param port: its HTTP port on loopback.
    :param options: its other options.
    """
    arguments = ["kumquatseam.cli", "standin", kind, f"--port={port}"]
    arguments += [
        f"--{key.replace('_', '-')}={value}" for key, value in options.items()
    ]
    return Program(arguments, f"http://127.0.0.1:{port}/health", log_path)


def daemon_program(
    port: int,
    settings_path: str | None = None,
    policy: str | None = None,
    log_path=None,
) -> Program:
    """Return a ``kumquatseamd`` program (not started)."""
    arguments = ["kumquatseam.daemon"]
    if settings_path:
        arguments.append(f"--settings={settings_path}")
    if policy:
        arguments.append(f"--policy={policy}")
    return Program(arguments, f"http://127.0.0.1:{port}/health", log_path)
