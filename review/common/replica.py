"""A stand-in of a replica, by the page of its protocol.

A model replica streams events and answers the calls about its cache and its weights; a
plain one answers with a body. It runs ``slots`` requests at once, lets ``queue`` wait
and turns the others away with 503 and ``X-Not-Executed``.
"""

import json
import re
import socket
import struct
import threading
import time

from harness import free_port

MODEL = "m0"
WORK_CHECK_S = 0.005


class Request:
    """A request as it arrived."""

    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body

    def __getitem__(self, name):
        return self.headers.get(name.lower(), "")


class Replica:
    """A replica on a loopback port.

    :param name: its id.
    :param service: its service.
    :param store: where it registers itself.
    :param record: notes what it gets, runs and answers.
    :param is_model: whether it is a model replica.
    """

    HEARTBEAT_S = 1.2

    def __init__(self, name, service, store, record, is_model=False, **options):
        self.name, self.service, self.is_model = name, service, is_model
        self._store, self.record = store, record
        self.slots = options.get("slots", 48 if is_model else 6)
        self.queue = options.get("queue", 144 if is_model else 24)
        self.work_s = options.get("work_s", 0.06)
        self.events = options.get("events", 13)
        self.event_pause_s = options.get("event_pause_s", 0.02)
        self.version = 1
        #: version of its software.
        self.software = "v1"
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        #: what ran: when, and the request's id.
        self.ran = []
        #: cleared while it is dark: it neither accepts nor sends.
        self.is_lit = threading.Event()
        self.is_lit.set()
        #: called with a connection and a request before anything else; returns whether
        #: it has dealt with it.
        self.trouble = lambda connection, request: False
        #: called before an answer to a request is written.
        self.before_answer = lambda connection, request: None
        #: called with a connection, a request and the answer, once it is written.
        self.after_answer = lambda connection, request, answer: None
        self._sequence = 0
        self._admitted = 0
        self._running = 0
        self._lock = threading.Condition()
        self._connections = set()
        self._is_over = False
        self._listen(free_port())

    def start(self):
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def register(self):
        """Write its entry."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "ghubrah",
            "version": self.software,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        if self.is_model:
            entry["models"] = [{"name": MODEL, "version": self.version, "adapters": []}]
        if not self._store.is_away:
            self._store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def end(self):
        """End: connections are closed and the port refuses new ones."""
        self._is_over = True
        # Wakes the thread that accepts.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in list(self._connections):
            close_for_others(connection)

    def start_again(self, listed_after_s, software):
        """Start again under the same id, at the same address.

        :param listed_after_s: time until its entry is in the store.
        :param software: version of its software now.
        """
        self.software, self.state = software, "ready"
        self.born_ms = int(time.time() * 1000)
        self._is_over = False
        self._running = self._admitted = 0
        self._listen(int(self.address.rpartition(":")[2]))
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, args=(listed_after_s,), daemon=True).start()

    def _listen(self, port):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", port))
        self._listener.listen(256)
        self.address = f"127.0.0.1:{port}"

    def _beat(self, first_after_s=0.0):
        born_ms = self.born_ms
        time.sleep(first_after_s)
        while not self._is_over and self.born_ms == born_ms:
            self.is_lit.wait()
            self.register()
            time.sleep(self.HEARTBEAT_S)

    def _accept(self):
        listener = self._listener
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            self.is_lit.wait()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        try:
            data = bytearray()
            while (request := read_request(connection, data)) is not None:
                self.is_lit.wait()
                if not self.trouble(connection, request):
                    self._answer(connection, request)
        except OSError:
            pass
        finally:
            self._connections.discard(connection)
            connection.close()

    # Answers.

    def head(self, request, status=200, **more):
        """Return the fields of an answer to a request."""
        fields = {
            "X-Request-Id": request["x-request-id"],
            "X-Replica-Signature": f"3e1b.07.{self.name}",
        }
        if self.is_model:
            fields["X-Weight-Versions"] = str(self.version)
        if self.state == "draining":
            fields["Server-Leaving"] = "1"
        return {**fields, **more}

    def _answer(self, connection, request):
        expected = request["x-expect-instance"]
        if expected not in ("", self.name):
            send(connection, 421, {"X-Replica-Id": self.name})
        elif request.path.startswith("/kv-events"):
            time.sleep(int(request["wait-ms"] or 0) / 1000)
            self._send_json(connection, {"lost": False, "events": []})
        elif request.path.startswith("/kv-list"):
            self._send_json(connection, {"held": []})
        elif request.path == "/report":
            self._send_json(connection, self._report())
        elif not request["x-request-id"]:
            send(connection, 400, {"X-Not-Executed": "1"})
        else:
            self._run(connection, request)

    def _send_json(self, connection, fields):
        body = {"epoch": 1, "nextToken": 0, "born": self.born_ms, **fields}
        leaving = {"Server-Leaving": "1"} if self.state == "draining" else {}
        send(connection, 200, leaving, json.dumps(body).encode())

    def _report(self):
        return {
            "stage": "unified",
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": self._running,
            "kvUsed": 0,
            "kvTotal": 100_000,
            "handles": 0,
        }

    def _run(self, connection, request):
        request_id = request["x-request-id"]
        born_ms = self.born_ms
        if not self._admit():
            self.before_answer(connection, request)
            fields = self.head(request, **{"X-Not-Executed": "1"})
            self.record(f"{self.name}: {request_id} turned away: 503, not executed")
            answer = send(connection, 503, fields)
            self.after_answer(connection, request, answer)
            return
        try:
            with self._lock:
                self._lock.wait_for(lambda: self._running < self.slots)
                self._running += 1
            self.ran.append((time.monotonic(), request_id))
            self.record(f"{self.name}: {request_id} runs")
            self.before_answer(connection, request)
            if self.is_model:
                self._stream(connection, request)
            else:
                time.sleep(self.work_s)
                body = f"done {request_id}".encode()
                answer = send(connection, 200, self.head(request), body)
                self.record(f"{self.name}: {request_id} answered: 200")
                self.after_answer(connection, request, answer)
        finally:
            with self._lock:
                if born_ms == self.born_ms:
                    self._running -= 1
                    self._admitted -= 1
                self._lock.notify_all()

    def _admit(self):
        with self._lock:
            if self._admitted >= self.slots + self.queue:
                return False
            self._admitted += 1
            return True

    def _stream(self, connection, request):
        first = int(request["last-event-id"] or 0) + 1
        fields = {
            **self.head(request),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        connection.sendall(encode_head(200, fields))
        for number in range(first, self.events + 1):
            time.sleep(self.event_pause_s)
            self.is_lit.wait()
            event = b"id: %d\nevent: %b\ndata: piece %d\n\n" % (
                number,
                self.software.encode(),
                number,
            )
            connection.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")


def encode_head(status, fields):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join((*lines, "", "")).encode()


def send(connection, status, fields, body=b""):
    """Send an answer with a length; return its bytes."""
    answer = encode_head(status, {**fields, "Content-Length": len(body)}) + body
    connection.sendall(answer)
    return answer


def reset(connection):
    """Reset a connection of this thread's own."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def close_for_others(connection):
    """Close a connection that another thread may be using."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def read_request(connection, data):
    """Read one request; ``None`` at the end of the connection."""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65_536)
        if not received:
            return None
        data += received
    head, _, rest = bytes(data).partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    while len(rest) < length:
        received = connection.recv(65_536)
        if not received:
            return None
        rest += received
    data[:] = rest[length:]
    return Request(method, path, headers, rest[:length])


def configuration(version, routes, services):
    """Return the operator's record of a configuration."""
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "sese880", "apiKeys": [KEY], "isolated": False}],
        }
    ).encode()


KEY = "ctnfzs989anu6wsjnban"
HOST = "jepu9.example"


def route(name, prefix, kind, service, **more):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 4000,
        "targetLatencyMs": 300,
        "priority": 2,
        "maxAttempts": 2,
        "public": False,
        "resumable": False,
        "gapAimMs": 300,
        **more,
    }


def engine_service(name):
    """Return a service of model replicas."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "engine": {
            "slots": 48,
            "kvCapacityTokens": 117_146,
            "kvTokenBytes": 163_840,
            "linkMbps": 130_000.0,
            "models": [{"name": MODEL}],
            "maxConcurrent": 12,
        },
    }


def plain_service(name):
    """Return a service without a model."""
    return {"name": name, "healthPath": "/healthz", "maxConnections": 100}


_STATUS = re.compile(rb"HTTP/1\.1 (\d+)")
_CHUNK = re.compile(rb"[0-9a-fA-F]+")


class Client:
    """One caller's kept connection to a gateway."""

    def __init__(self, gateway, timeout_s=6.0):
        self.name = gateway.name
        self._address = (gateway.ip, gateway.ports["front"])
        self._timeout_s = timeout_s
        self._socket = None

    def connect(self):
        self._socket = socket.create_connection(self._address, 1.0)
        self._socket.settimeout(self._timeout_s)

    @property
    def is_connected(self):
        return self._socket is not None

    def try_connect(self):
        """Connect; return whether that succeeded."""
        try:
            self.connect()
        except OSError:
            self.close()
        return self.is_connected

    def close(self):
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def shut_down(self):
        """Break the connection off while an answer is read."""
        if self._socket is not None:
            self._socket.shutdown(socket.SHUT_RDWR)

    def send(self, request_id, method="POST", path="/t/x", body=b"q", **headers):
        """Send a request; return what came back (see :class:`Answer`)."""
        if self._socket is None:
            self.connect()
        fields = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
            "Authorization": f"Token {KEY}",
            "Content-Length": len(body),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        try:
            self._socket.sendall("\r\n".join((*lines, "", "")).encode() + body)
            answer = read_answer(self._socket)
        except OSError as error:
            answer = Answer(0, {}, b"", False, repr(error))
        if not answer.is_whole or answer.headers.get("connection") == "close":
            self.close()
        return answer


class Answer:
    """What a caller got; status 0 if the connection ended without an answer.

    :param is_valid: whether all bytes belonged to an answer in the protocol.
    """

    def __init__(self, status, headers, body, is_whole, error="", is_valid=True):
        self.status, self.headers, self.body = status, headers, body
        self.is_whole, self.error, self.is_valid = is_whole, error, is_valid

    def __str__(self):
        if not self.status:
            return f"no answer ({self.error})"
        whole = "whole" if self.is_whole else f"broken off ({self.error})"
        after = self.headers.get("retry-after")
        return f"{self.status}, {whole}" + (f", Retry-After {after}" if after else "")


class _Reader:
    """Reads bytes of an answer."""

    def __init__(self, connection):
        self._connection = connection
        self._data = b""

    def line(self):
        while b"\r\n" not in self._data:
            self._receive()
        line, _, self._data = self._data.partition(b"\r\n")
        return line

    def take(self, count):
        while len(self._data) < count:
            self._receive()
        found, self._data = self._data[:count], self._data[count:]
        return found

    def _receive(self):
        received = self._connection.recv(65_536)
        if not received:
            raise ConnectionError("closed")
        self._data += received


def read_answer(connection):
    """Read one answer to its end."""
    reader = _Reader(connection)
    status, headers, body = 0, {}, bytearray()
    try:
        status = int(_STATUS.match(reader.line())[1])
        while line := reader.line():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        if headers.get("transfer-encoding") != "chunked":
            body += reader.take(int(headers.get("content-length", "0")))
            return Answer(status, headers, bytes(body), True)
        while True:
            line = reader.line()
            if not _CHUNK.fullmatch(line):
                error = f"in the place of a chunk: {line[:80]!r}"
                return Answer(status, headers, bytes(body), False, error, False)
            count = int(line, 16)
            body += reader.take(count)
            if reader.take(2) != b"\r\n":
                error = "no end of a chunk"
                return Answer(status, headers, bytes(body), False, error, False)
            if not count:
                return Answer(status, headers, bytes(body), True)
    except OSError as error:
        return Answer(status, headers, bytes(body), False, repr(error))
