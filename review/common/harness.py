"""What the scripts share: the gateways' processes, their settings and the record."""

import http.client
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
#: of the small deployment mbfe-muscat, as its sheet and DEPLOY.md give them.
MEMORY_MB = 300
BOUNDS = {
    "bounds.graceS": "8",
    "bounds.configMs": "2000",
    "bounds.drainMs": "2000",
    "bounds.reuseWindowS": "10",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.retryWindowS": "10",
    "bounds.retrySlack": "54",
    "bounds.leaseMs": "3000",
    "bounds.versionMs": "8000",
    "bounds.versionAllMs": "11000",
    "limits.linkMbps": "1000.0",
    "limits.maxFds": "4200",
    "bootstrap": "true",
}
READY_S = 20.0


#: below the ports that the system gives to outgoing connections.
PORTS = range(20_000, 32_000)
_given = set()


def free_port(ip="127.0.0.1"):
    """Return a port that nothing listens on, for TCP and UDP."""
    while True:
        port = random.choice(PORTS)
        if port in _given:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as found:
                    found.bind((ip, port))
        except OSError:
            continue
        _given.add(port)
        return port


def has_trouble():
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes ``record.txt`` in the folder of the case."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def __call__(self, text):
        with self._lock:
            at_s = time.monotonic() - self._start_s
            self._file.write(f"{at_s:8.3f} {text}\n")
            self._file.flush()


def render(template, fields):
    """Fill a template of settings in as the platform does (names and sections)."""

    def section(match):
        value = fields.get(match[1], "")
        return match[2].replace("{{.}}", value) if value else ""

    text = re.sub(r"{{#([^}]+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([^}]+)}}", lambda match: fields.get(match[1], ""), text)


class Gateway:
    """One gateway, started by the command of the deploy file."""

    def __init__(self, name, store_address, folder, seeds=""):
        self.name = name
        self.ip = "127.0.0.1"
        ports = {
            key: free_port()
            for key in ("front", "ready", "control", "peer", "relay", "metrics")
        }
        self.ports = ports
        self.control = f"{self.ip}:{ports['control']}"
        self._settings = Path(folder) / f"{name}.ini"
        self.log_path = Path(folder) / f"{name}.log"
        self._fields = {
            **BOUNDS,
            "nodeName": name,
            "zone": "ghubrah",
            "ip": self.ip,
            "listen.front": f"{self.ip}:{ports['front']}",
            "listen.ready": f"{self.ip}:{ports['ready']}",
            "listen.control": self.control,
            "portRange.0": str(ports["peer"]),
            "portRange.1": str(ports["relay"]),
            "platform.address": store_address,
            "seeds": seeds,
        }
        self.process = None
        #: how often the platform killed it for its memory.
        self.memory_kills = 0
        self.peak_mb = 0.0

    def start(self, seeds=""):
        """Start the process with its settings."""
        if seeds:
            self._fields["seeds"] = seeds
        template = (ROOT / "deploy" / "gateway.ini").read_text()
        text = render(template, self._fields)
        # The platform's port for metrics may be taken on this machine.
        text = text.replace(":9464", f":{self.ports['metrics']}")
        self._settings.write_text(text)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["KUMQUATSEAM_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "kumquatseam.platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (4200, 4200)
                ),
            )

    def is_ready(self):
        """Return whether its readiness address answers 200."""
        try:
            call = http.client.HTTPConnection(self.ip, self.ports["ready"], timeout=1)
            call.request("GET", "/ready")
            status = call.getresponse().status
            call.close()
            return status == 200
        except OSError:
            return False

    def resident_mb(self):
        """Return its resident memory; 0 if it does not run."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+)", status)
        return int(found[1]) / 1024 if found else 0.0

    def cpu_s(self):
        """Return the processor time that it has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    def kill(self):
        """Kill it, as the platform does beyond its limit of memory."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class MemoryLimit(threading.Thread):
    """Kills and restarts gateways whose memory passes the limit, as the platform does.

    DEPLOY.md: "A process that exceeds memoryMb is killed", and "A process that exits or
    is killed is restarted after a short delay".
    """

    RESTART_S = 0.5

    def __init__(self, gateways, record):
        super().__init__(daemon=True)
        self._gateways = gateways
        self._record = record
        self.is_over = False

    def run(self):
        while not self.is_over:
            for gateway in self._gateways:
                used_mb = gateway.resident_mb()
                gateway.peak_mb = max(gateway.peak_mb, used_mb)
                if used_mb > MEMORY_MB:
                    gateway.memory_kills += 1
                    self._record(
                        f"{gateway.name}: {used_mb:.0f} MB, over {MEMORY_MB}: killed"
                    )
                    gateway.kill()
                    time.sleep(self.RESTART_S)
                    gateway.start()
            time.sleep(0.02)


def wait_until(what, check, timeout_s=READY_S):
    """Wait until ``check`` holds; end the script with 2 if it does not in time."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        found = check()
        if found:
            return found
        time.sleep(0.02)
    raise CannotRun(f"not within {timeout_s} s: {what}")


class CannotRun(Exception):
    """The case could not be played."""


class Case:
    """Runs a case in a temporary folder and ends all that it started."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.gateways = []
        self._closers = []

    def on_close(self, closer):
        self._closers.append(closer)

    def add_gateways(self, count, store_address):
        """Start gateways that know each other, and wait until they are ready."""
        new = [
            Gateway(f"front-{number}", store_address, self.folder)
            for number in range(1, count + 1)
        ]
        seeds = ",".join(gateway.control for gateway in new[:3])
        for gateway in new:
            gateway.start(seeds)
        self.gateways += new
        for gateway in new:
            wait_until(f"{gateway.name} is ready", gateway.is_ready)
        return new

    def close(self):
        for closer in self._closers:
            closer()
        for gateway in self.gateways:
            gateway.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for gateway in self.gateways:
                shutil.copy(gateway.log_path, keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(script, run):
    """Run ``run(case)``, which returns whether the rule held; exit with the code."""
    case = Case(Path(script).resolve().parent)
    code = 2
    try:
        code = 0 if run(case) else 1
    except CannotRun as error:
        case.record(f"cannot run: {error}")
        print(f"cannot run: {error}", file=sys.stderr)
    finally:
        case.close()
        case.record(f"exit {code}")
    sys.stdout.flush()
    os._exit(code)
