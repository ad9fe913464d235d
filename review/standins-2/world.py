"""Gateways, a store, replicas and clients on loopback addresses, for the cases.

Gateways are started with the command of ``deploy/system.toml`` and with settings made
from ``deploy/gateway.ini``. The store is the project's own stand-in. Replicas and
clients are small ones that follow ``PROTOCOL.md``.
"""

import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
KEY = "key-of-alpha"
HOST = "a.example"
HEARTBEAT_S = 1.2
#: of a case; ``run.sh`` maps the second one to 1, since Python also exits so by itself.
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 3, 2


class NotRunError(Exception):
    """The case could not run."""


def has_trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a TCP port that is free on the loopback interface now."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


def wait_until(what, check, timeout_s=20.0):
    """Wait until ``check`` returns a true value, and return that."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        found = check()
        if found:
            return found
        time.sleep(0.02)
    raise NotRunError(f"not within {timeout_s} s: {what}")


def render(template: str, fields: dict) -> str:
    """Fill in a template of settings as ``DEPLOY.md`` describes it."""

    def value(path, scope):
        found = scope
        for name in path.split("."):
            found = found.get(name) if isinstance(found, dict) else None
        return found

    def section(match):
        found = value(match[1], fields)
        return match[2].replace("{{.}}", str(found)) if found is not None else ""

    def plain(match):
        path = match[1]
        if path.endswith(".0"):
            return str(value(path[:-2], fields)[0])
        if path.endswith(".1"):
            return str(value(path[:-2], fields)[1])
        found = value(path, fields)
        if isinstance(found, bool):
            return "true" if found else "false"
        if isinstance(found, list):
            return ",".join(map(str, found))
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", plain, text)


class Record:
    """What was sent, answered and run, in order; written to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def add(self, who: str, what: str) -> None:
        """Add a line with the time since the start."""
        at_s = time.monotonic() - self._began_s
        with self._lock:
            self._file.write(f"{at_s:8.3f} {who}: {what}\n")
            self._file.flush()


class Store:
    """The project's stand-in of the platform's store, as a separate process."""

    def __init__(self, folder: Path) -> None:
        self.port = free_port()
        self._log = open(folder / "store.log", "wb")  # noqa: SIM115
        self._process = subprocess.Popen(
            [sys.executable, "-S", "-m", "kumquatseam.cli", "standin", "log"]
            + [str(self.port)],
            env=_environment(),
            cwd=ROOT,
            stdout=self._log,
            stderr=self._log,
        )
        try:
            wait_until("the store answers", self._answers)
        except NotRunError:
            self.close()
            raise

    def append(self, topic: str, key: str, value: bytes) -> None:
        """Append a record to a keyed topic."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        body = struct.pack(">I", len(content)) + content
        query = urllib.parse.urlencode({"topic": topic, "part": 0})
        self._call("POST", f"/log-append?{query}", body)

    def control(self, path: str, body: dict | None = None) -> None:
        """Set what is wrong with the store, copy its records, or return to the copy."""
        data = json.dumps(body).encode() if body is not None else b""
        self._call("PUT", f"/standin/{path}", data)

    def _call(self, method, path, body=None):
        url = f"http://127.0.0.1:{self.port}{path}"
        request = urllib.request.Request(url, body, method=method)
        with urllib.request.urlopen(request, timeout=5) as response:
            return response.read()

    def _answers(self) -> bool:
        if self._process.poll() is not None:
            raise NotRunError("the store ended")
        try:
            self._call("GET", "/standin/stats")
        except OSError:
            return False
        return True

    def close(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()


class Gateway:
    """A gateway as a separate process."""

    def __init__(self, folder: Path, name: str, store_port: int, seeds=(), **bounds):
        ports = [free_port() for _ in range(5)]
        front, ready, control, peer, relay = ports
        self.name, self.front_port, self.ready_port = name, front, ready
        self.log_path = folder / f"{name}.log"
        self._settings = folder / f"{name}.ini"
        self._fields = {
            "nodeName": name,
            "zone": bounds.pop("zone", "ghubrah"),
            "ip": "127.0.0.1",
            "listen": {
                "front": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
                "control": f"127.0.0.1:{control}",
            },
            "portRange": [peer, relay],
            "seeds": list(seeds),
            "bootstrap": bounds.pop("bootstrap", True),
            "limits": {"linkMbps": 1000.0, "memoryMb": 300, "maxFds": 4200},
            "platform": {"address": f"127.0.0.1:{store_port}"},
            "bounds": {
                "graceS": 8,
                "configMs": 2000,
                "drainMs": 2000,
                "reuseWindowS": 10,
                "retryBudgetRatio": 0.2,
                "retryWindowS": 10,
                "retrySlack": 54,
                "leaseMs": 3000,
                "versionMs": 8000,
                "versionAllMs": 11000,
                **bounds,
            },
        }
        self.control_address = f"127.0.0.1:{control}"
        self.process = None
        self.write_settings()

    def write_settings(self, **fields) -> None:
        """Write the settings file, with fields changed."""
        self._fields.update(fields)
        template = (ROOT / "deploy" / "gateway.ini").read_text()
        text = render(template, self._fields)
        # Each gateway has the loopback address, so none has a port of its own there.
        text = text.replace("metrics_listen = 127.0.0.1:9464\n", "")
        self._settings.write_text(text)

    def start(self) -> None:
        """Start the process."""
        environment = {**_environment(), "KUMQUATSEAM_SETTINGS": str(self._settings)}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-S", "-m", "kumquatseam.platform"],
                env=environment,
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def is_ready(self) -> bool:
        """Return whether it reports that it is ready."""
        try:
            url = f"http://127.0.0.1:{self.ready_port}/ready"
            with urllib.request.urlopen(url, timeout=1) as response:
                return response.status == 200
        except OSError:
            return False

    def has_logged(self, text: str, count: int = 1) -> bool:
        """Return whether its log has so many lines with a text."""
        return self.log_path.read_text(errors="replace").count(text) >= count

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def close(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class RequestAtReplica:
    """A request as a replica received it."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers = method, target, headers
        self.body = body
        self.request_id = headers.get("x-request-id", "")


class Replica:
    """A model replica or a plain one; ``answer`` may be replaced.

    :param answer: called with this replica, the connection and the request for each
        request that it runs; returns whether the connection stays open.
    """

    def __init__(self, record: Record, replica_id: str, service: str, answer=None):
        self.record, self.replica_id, self.service = record, replica_id, service
        self.answer = answer or answer_soundly
        self.version, self.born_ms = 1, int(time.time() * 1000)
        self.software = "v1"
        self.orders = self.heartbeats = 0
        self.is_busy = False
        self.state = "ready"
        self.ran: list[RequestAtReplica] = []
        self.lock = threading.Lock()
        self.epoch = random.getrandbits(30)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self) -> bytes:
        """Return its entry in the list, and count a heartbeat."""
        self.heartbeats += 1
        return json.dumps(
            {
                "id": self.replica_id,
                "service": self.service,
                "address": self.address,
                "zone": "ghubrah",
                "version": self.software,
                "slots": 48,
                "state": self.state,
                "coldLeftMs": 0,
                "sequence": self.heartbeats,
                "born": self.born_ms,
                "stage": "unified",
                "models": self.models(),
            }
        ).encode()

    def models(self) -> list:
        """Return the models that it runs."""
        if self.service != "engines":
            return []
        return [{"name": "m0", "version": self.version, "adapters": []}]

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection) -> None:
        buffer = bytearray()
        try:
            while (request := read_request(connection, buffer)) is not None:
                if not self._handle(connection, request):
                    return
        except OSError:
            return
        finally:
            connection.close()

    def _handle(self, connection, request: RequestAtReplica) -> bool:
        path = request.target.split("?")[0]
        expected = request.headers.get("x-expect-instance", self.replica_id)
        if expected != self.replica_id:
            return send_answer(connection, request, 421, b"", not_run=True)
        if path == "/healthz":
            return send_answer(connection, request, 200, b"")
        if path == "/report":
            return self._send_json(connection, request, 200, self.report())
        if path == "/order":
            return self._take_order(connection, request)
        if path in ("/kv-events", "/kv-list"):
            time.sleep(0.2)
            found = {"epoch": self.epoch, "nextToken": 0, "lost": False}
            found |= {"events": [], "held": []}
            return self._send_json(connection, request, 200, found)
        if path.startswith("/kv-"):
            return self._send_json(connection, request, 404, {})
        if not request.request_id:
            return send_answer(connection, request, 400, b"", not_run=True)
        version = request.headers.get("x-expect-version")
        if version is not None and version != str(self.version):
            return send_answer(connection, request, 421, b"", not_run=True)
        with self.lock:
            self.ran.append(request)
        self.record.add(
            self.replica_id,
            f"runs {request.request_id} {request.method} {request.target}",
        )
        return self.answer(self, connection, request)

    def report(self) -> dict:
        """Return its report."""
        return {
            "stage": "unified",
            "models": self.models(),
            "busy": self.is_busy,
            "sequence": self.orders,
            "waiting": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 100000,
            "handles": 0,
            "born": self.born_ms,
        }

    def _take_order(self, connection, request) -> bool:
        order = json.loads(request.body)
        self.record.add(self.replica_id, f"order {order}")
        if self.is_busy or order.get("expect", self.orders) != self.orders:
            return self._send_json(connection, request, 409, {"born": self.born_ms})
        if order["version"] == self.version:
            return self._send_json(connection, request, 200, {"born": self.born_ms})
        self.orders += 1
        self.is_busy = True

        def load():
            self.version, self.is_busy = order["version"], False

        threading.Timer(0.5, load).start()
        return self._send_json(connection, request, 202, {"born": self.born_ms})

    def _send_json(self, connection, request, status, value) -> bool:
        return send_answer(connection, request, status, json.dumps(value).encode())

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()


def read_request(connection, buffer: bytearray) -> RequestAtReplica | None:
    """Read one request; ``None`` at the end of the connection."""
    while b"\r\n\r\n" not in buffer:
        data = connection.recv(65536)
        if not data:
            return None
        buffer += data
    head, _, rest = bytes(buffer).partition(b"\r\n\r\n")
    line, *fields = head.decode("latin-1").split("\r\n")
    method, target, _ = line.split(" ", 2)
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    while len(rest) < length:
        data = connection.recv(65536)
        if not data:
            return None
        rest += data
    buffer[:] = rest[length:]
    return RequestAtReplica(method, target, headers, rest[:length])


def head_of(request, replica_id, status, *fields) -> bytes:
    """Return the head of a signed response."""
    lines = [
        f"HTTP/1.1 {status} Answer",
        f"X-Request-Id: {request.request_id}",
        f"X-Replica-Signature: {replica_id}.{request.request_id}",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def send_answer(connection, request, status, body, not_run=False, fields=()) -> bool:
    """Send an answer with a length that bears no signature; keep the connection."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}", *fields]
    if request.request_id:
        lines.append(f"X-Request-Id: {request.request_id}")
    if not_run:
        lines.append("X-Not-Executed: 1")
    connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
    return True


def event(number: int, replica_id: str) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: piece {number} of {replica_id}\n\n".encode()


def answer_soundly(replica: Replica, connection, request) -> bool:
    """Answer as a sound replica: a stream of events, or one body."""
    if replica.service != "engines":
        body = f"body for {request.request_id} by {replica.replica_id}".encode()
        head = head_of(request, replica.replica_id, 200, f"Content-Length: {len(body)}")
        connection.sendall(head + body)
        return True
    send_stream(replica, connection, request, events=6, pause_s=0.05)
    return True


def send_stream(replica, connection, request, events, pause_s) -> None:
    """Send a stream in chunks, from the event after the last one received."""
    first = int(request.headers.get("last-event-id") or 0) + 1
    connection.sendall(
        head_of(
            request,
            replica.replica_id,
            200,
            "Content-Type: text/event-stream",
            f"X-Weight-Versions: {replica.version}",
            "Transfer-Encoding: chunked",
        )
    )
    for number in range(first, events + 1):
        time.sleep(pause_s)
        data = event(number, replica.replica_id)
        connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))
    connection.sendall(b"0\r\n\r\n")


class Answer:
    """What a client received on one connection."""

    def __init__(self) -> None:
        self.raw = b""
        self.is_reset = False
        self.took_s = 0.0

    @property
    def status(self) -> int:
        """Its status; 0 without one."""
        found = re.match(rb"HTTP/1\.1 (\d{3})", self.raw)
        return int(found[1]) if found else 0

    @property
    def head(self) -> bytes:
        """Its head."""
        return self.raw.partition(b"\r\n\r\n")[0]

    def header(self, name: str) -> str:
        """Return a header's value; ``""`` without one."""
        for line in self.head.decode("latin-1").split("\r\n")[1:]:
            field, _, value = line.partition(":")
            if field.lower() == name.lower():
                return value.strip()
        return ""

    def body(self) -> tuple[bytes, bool]:
        """Return its body, and whether it is complete by its framing."""
        _, _, rest = self.raw.partition(b"\r\n\r\n")
        if self.header("Transfer-Encoding").lower() != "chunked":
            length = self.header("Content-Length")
            is_complete = bool(length) and len(rest) >= int(length)
            return rest[: int(length)] if length else rest, is_complete
        data = b""
        while True:
            line, found, rest = rest.partition(b"\r\n")
            if not found:
                return data, False
            size = int(line.split(b";")[0], 16)
            if not size:
                return data, rest.startswith(b"\r\n")
            data += rest[:size]
            if len(rest) < size + 2:
                return data, False
            rest = rest[size + 2 :]


class Client:
    """A client with one connection to a gateway."""

    def __init__(self, record: Record, gateway: Gateway) -> None:
        self.record = record
        self.socket = socket.create_connection(("127.0.0.1", gateway.front_port), 2.0)

    def send(
        self,
        request_id,
        path,
        method="POST",
        body=b"question",
        deadline_ms=5000,
        **more,
    ) -> None:
        """Send a request."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Token {KEY}",
        ]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        else:
            body = b""
        self.record.add("client", f"sends {request_id} {method} {path}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
        self.socket.sendall(data)

    def receive(self, timeout_s=10.0) -> Answer:
        """Receive until the answer is complete, or the connection ends."""
        answer, began_s = Answer(), time.monotonic()
        while (left_s := began_s + timeout_s - time.monotonic()) > 0:
            self.socket.settimeout(left_s)
            try:
                data = self.socket.recv(262_144)
            except TimeoutError:
                break
            except OSError:
                answer.is_reset = True
                break
            if not data:
                break
            answer.raw += data
            is_short = len(data) < 262_144
            if is_short and b"\r\n\r\n" in answer.raw and self._is_whole(answer):
                break
        answer.took_s = time.monotonic() - began_s
        return answer

    @staticmethod
    def _is_whole(answer: Answer) -> bool:
        if answer.header("Transfer-Encoding").lower() == "chunked":
            return answer.raw.endswith(b"0\r\n\r\n") and answer.body()[1]
        return answer.body()[1]

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()


STREAM_HEADERS = {
    "X_Model": "m0",
    "X_Token_Usage": "1460,80",
    "X_Prompt_Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
}


class World:
    """The store, replicas and gateways of one case."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.temporary = Path(self._temporary.name)
        self.store = Store(self.temporary)
        self.replicas: list[Replica] = []
        self.gateways: list[Gateway] = []
        self._is_open = True
        threading.Thread(target=self._beat, daemon=True).start()

    def add_replica(self, replica_id, service="engines", answer=None) -> Replica:
        """Start and list a replica."""
        replica = Replica(self.record, replica_id, service, answer)
        self.replicas.append(replica)
        self.list_entry(replica)
        return replica

    def list_entry(self, replica: Replica) -> None:
        """Write the entry of a replica."""
        self.store.append("keyed.servers", replica.replica_id, replica.entry())

    def _beat(self) -> None:
        while self._is_open:
            time.sleep(HEARTBEAT_S)
            for replica in list(self.replicas):
                if replica.state != "gone":
                    try:
                        self.list_entry(replica)
                    except OSError as error:
                        self.record.add(replica.replica_id, f"heartbeat: {error!r}")

    def put_configuration(self, routes, version=1) -> None:
        """Write a configuration."""
        engine = {
            "slots": 48,
            "kvCapacityTokens": 100000,
            "models": [{"name": "m0"}],
            "maxConcurrent": 12,
        }
        value = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": "engines", "healthPath": "/healthz", "engine": engine},
                {"name": "plain", "healthPath": "/healthz"},
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 2000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "alpha", "apiKeys": [KEY], "isolated": False}],
        }
        self.store.append("keyed.op", "config", json.dumps(value).encode())

    def name_weights(self, version: int) -> None:
        """Name new weights."""
        value = json.dumps({"model": "m0", "version": version}).encode()
        self.store.append("keyed.op", "version/m0", value)

    def add_gateways(self, count=1, **bounds) -> list[Gateway]:
        """Start gateways; return once all are ready and know the replicas."""
        made = [
            Gateway(self.temporary, f"front-{i + 1}", self.store.port, **bounds)
            for i in range(count)
        ]
        self.gateways += made
        for gateway in made:
            gateway.write_settings(seeds=[g.control_address for g in made][:3])
            gateway.start()
        for gateway in made:
            wait_until(f"{gateway.name} is ready", gateway.is_ready)
            for replica in self.replicas:
                wait_until(
                    f"{gateway.name} knows {replica.replica_id}",
                    lambda g=gateway, r=replica: g.has_logged(f'"{r.replica_id}'),
                )
        time.sleep(2.0)
        return made

    def close(self) -> None:
        """End all that was started."""
        self._is_open = False
        for gateway in self.gateways:
            gateway.close()
        for replica in self.replicas:
            replica.close()
        self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in self.temporary.glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


def route(prefix, kind, service, **more) -> dict:
    """Return a route of the configuration."""
    return {
        "name": "r" + prefix.replace("/", "-"),
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 600,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "resumable": False,
        "gapAimMs": 300,
        **more,
    }


def play(folder: Path, case) -> None:
    """Play a case in a new world; exit with its result.

    :param case: called with the world; returns the broken rules, one text for each.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    world = None
    status = EXIT_NOT_RUN
    try:
        world = World(folder)
        broken = case(world)
        for text in broken:
            world.record.add("RULE BROKEN", text)
            print("rule broken:", text)
        world.record.add("verdict", "broken" if broken else "held")
        status = EXIT_BROKEN if broken else EXIT_HELD
    except Exception as error:  # noqa: BLE001 - reported as "could not run"
        print("could not run:", repr(error))
        if world is not None:
            world.record.add("verdict", f"could not run: {error!r}")
    finally:
        if world is not None:
            world.close()
    os._exit(status)


def _environment() -> dict:
    kept = ("PATH", "HOME", "LANG")
    environment = {name: os.environ[name] for name in kept if name in os.environ}
    return {**environment, "PYTHONPATH": str(DEPS), "PYTHONDONTWRITEBYTECODE": "1"}
