"""Steps for upstreams and callers that send bytes without end."""

import contextlib
import socket
import threading
import time
from pathlib import Path

import gevent
import gevent.socket
import urllib3
from behave import given, then, when
from platform_steps import step_platform
from platform_world import KEY

from kumquatseam.http1 import BadRequestError, RequestLimits, RequestReader
from kumquatseam.relays._carried import CarriedTimes
from kumquatseam.relays._inspector import TunnelInspector

#: deadline of callers, and how much later a gateway may still answer.
DEADLINE_S = 2.0
SLACK_S = 1.0
#: requests beside the one whose answer does not end.
BESIDE = 20


def resident_mb(process_id="self"):
    """Return the resident memory of a process; of this one by default."""
    status = Path(f"/proc/{process_id}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmRSS:")]
    return int(line.split()[1]) / 1024


@given("a gateway in front of 3 replicas of which one sends an {fault}")
def step_gateway(context, fault):
    step_platform(context)
    world = context.platform
    context.kind = "engines" if "event" in fault else "plain"
    version = 1 if context.kind == "engines" else None
    for number in range(3):
        world.add_replica(context.kind, f"r{number}", version=version)
    context.fault = fault
    kind = "stream" if version else "idempotent"
    world.add_route("/call/", kind, context.kind, resumable=bool(version))
    world.put_configuration()
    if version:
        world.name_weights(1)
    context.gateway = world.add_gateway()


def _send(context, number, more=None):
    headers = {"X-Deadline-Ms": str(int(DEADLINE_S * 1000)), **(more or {})}
    if context.kind == "engines":
        headers.update(context.platform.stream_headers())
    began_s = time.monotonic()
    try:
        answer = context.platform.send(
            f"/call/{number}", headers=headers, preload_content=False
        )
        for _ in answer.stream(65_536):
            pass
        status = answer.status
    except urllib3.exceptions.HTTPError:
        status = 0  # Visibly broken off, or no answer at all.
    return status, time.monotonic() - began_s


@when("a request gets that, and others come meanwhile on new connections")
def step_send_new(context):
    step_send(context, pause_s=0.08, headers={"Connection": "close"})


@when("a request gets that, and others come meanwhile")
def step_send(context, pause_s=0.0, headers=None):
    world = context.platform
    assert _send(context, "warm")[0] == 200
    context.before_mb = resident_mb(context.gateway.process.pid)
    for replica in world.replicas.values():
        replica.script.append(context.fault)
    context.answers = []
    first = threading.Thread(
        target=lambda: context.answers.append(_send(context, "first"))
    )
    first.start()
    time.sleep(0.2)
    for replica in world.replicas.values():
        replica.script.clear()
    context.beside = []
    for number in range(BESIDE):
        context.beside.append(_send(context, number, headers))
        time.sleep(pause_s)
    first.join()


@then("all are answered in time, and the gateway takes at most {most_mb:d} MB more")
def step_answered(context, most_mb):
    ((_, took_s),) = context.answers
    assert took_s <= DEADLINE_S + SLACK_S, took_s
    late = [a for a in context.beside if a[0] != 200 or a[1] > DEADLINE_S]
    assert not late, late
    more_mb = resident_mb(context.gateway.process.pid) - context.before_mb
    assert more_mb <= most_mb, more_mb


@then("the gateway turned no connection away")
def step_none_turned_away(context):
    lines = [d for d in context.gateway.lines() if d["event"].startswith("Saturated")]
    assert not lines, lines


@then("nobody sends any more")
def step_ended(context):
    seen = [s for r in context.platform.replicas.values() for s in r.seen]
    deadline_s = time.monotonic() + DEADLINE_S + SLACK_S
    while time.monotonic() < deadline_s:
        if all(s.answered_s for s in seen):
            return
        time.sleep(0.05)
    raise AssertionError([s.path for s in seen if not s.answered_s])


# Many at once.

#: deadline of the requests, and how long their callers wait at most.
CROWD_DEADLINE_S = 4.0
CROWD_TIMEOUT_S = 12.0


@given("a gateway of {memory_mb:d} MB in front of 3 replicas, for {kind} requests")
def step_small_gateway(context, memory_mb, kind):
    step_platform(context)
    world = context.platform
    is_stream = kind == "stream"
    service = "engines" if is_stream else "plain"
    for number in range(3):
        world.add_replica(service, f"r{number}", version=1 if is_stream else None)
    world.add_route("/call/", kind, service, timeoutMs=5000)
    world.put_configuration()
    if is_stream:
        world.name_weights(1)
    context.model_headers = world.stream_headers() if is_stream else {}
    context.gateway = world.add_gateway(more=f"memory_mb = {memory_mb}")


class CrowdCaller(threading.Thread):
    """Sends one request once all others are connected.

    :param address: the gateway's.
    :param request: its bytes.
    :param barrier: waits for the others.
    """

    def __init__(self, address, request, barrier):
        super().__init__(daemon=True)
        self._address = address
        self._request = request
        self._barrier = barrier
        self.received = b""
        self.took_s = 0.0

    def run(self):
        with socket.create_connection(self._address, CROWD_TIMEOUT_S) as connection:
            self._barrier.wait()
            began_s = time.monotonic()
            with contextlib.suppress(OSError):
                connection.sendall(self._request)
                while data := connection.recv(65_536):
                    self.received += data
            self.took_s = time.monotonic() - began_s


@when("{count:d} requests at once are answered by an {fault}")
def step_crowd(context, count, fault):
    for replica in context.platform.replicas.values():
        replica.script.extend([fault] * count * 2)
    barrier = threading.Barrier(count)
    address = ("127.0.0.1", context.gateway.ports["front"])
    context.callers = []
    for number in range(count):
        fields = {
            "Host": "a.example",
            "X-Request-Id": f"crowd-{number}",
            "X-Deadline-Ms": f"{CROWD_DEADLINE_S * 1000:.0f}",
            "Authorization": f"Token {KEY}",
            "Connection": "close",
            **context.model_headers,
        }
        lines = ["GET /call/x HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
        request = "\r\n".join([*lines, "", ""]).encode()
        caller = CrowdCaller(address, request, barrier)
        caller.start()
        context.callers.append(caller)
        # A new connection at a time; the crowd is one of requests.
        time.sleep(0.002)
    for caller in context.callers:
        caller.join()


@then("every caller has its answer within its deadline and {slack_s:d} second")
def step_crowd_answered(context, slack_s):
    most_s = CROWD_DEADLINE_S + slack_s
    wrong = [
        (round(c.took_s, 2), c.received[:40])
        for c in context.callers
        if not c.received.startswith(b"HTTP/1.1 5") or c.took_s > most_s
    ]
    took_s = max(c.took_s for c in context.callers)
    assert not wrong, f"{len(wrong)}, longest {took_s:.2f} s: {wrong[:4]}"


@then("the gateway has taken at most {most_mb:d} MB")
def step_crowd_memory(context, most_mb):
    status = Path(f"/proc/{context.gateway.process.pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
    taken_mb = int(line.split()[1]) * 1024 / 1_000_000
    assert taken_mb <= most_mb, taken_mb


# Requests.

HEAD = (
    b"POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: endless\r\n"
    b"X-Deadline-Ms: 2000\r\nAuthorization: Token %b\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n" % KEY.encode()
)
ENDLESS_REQUESTS = {
    "trailers without end": (b"4\r\nbody\r\n0\r\n", b"X-Note: abc\r\n" * 1024),
    "a size of chunk without end": (b"4;", b"abcdefgh" * 1024),
    "a body without end": (b"", b"400\r\n" + b"x" * 1024 + b"\r\n"),
}
#: how long a caller goes on sending at most.
SENDS_S = 5.0


def _connect(context):
    port = context.platform.gateways[0].ports["front"]
    return socket.create_connection(("127.0.0.1", port), 2)


def _send_endless(context, what):
    """Send until the gateway closes the connection; note when that was."""
    first, again = ENDLESS_REQUESTS[what]
    began_s = time.monotonic()
    context.closed_s = None
    with _connect(context) as connection:
        try:
            connection.sendall(HEAD + first)
            while time.monotonic() < began_s + SENDS_S:
                connection.sendall(again)
        except OSError:
            context.closed_s = time.monotonic() - began_s


@when("a caller sends a request with {what}, and others send meanwhile")
def step_endless_request(context, what):
    process_id = context.platform.gateways[0].process.pid
    assert context.platform.send("/safe/x").status == 200
    context.before_mb = resident_mb(process_id)
    endless = threading.Thread(target=_send_endless, args=(context, what))
    endless.start()
    context.beside = []
    for _ in range(BESIDE):
        began_s = time.monotonic()
        try:
            status = context.platform.send("/safe/x").status
        except urllib3.exceptions.HTTPError:
            status = 0
        context.beside.append((status, time.monotonic() - began_s))
    endless.join()
    context.more_mb = resident_mb(process_id) - context.before_mb


@then(
    "its connection is closed within {time_s:d} seconds, "
    "and the gateway takes at most {most_mb:d} MB more"
)
def step_request_closed(context, time_s, most_mb):
    assert context.closed_s is not None, "not closed"
    assert context.closed_s <= time_s, context.closed_s
    assert context.more_mb <= most_mb, context.more_mb


@then("the others are all served in time")
def step_beside_served(context):
    late = [a for a in context.beside if a[0] != 200 or a[1] > DEADLINE_S]
    assert not late, late


@given("a reader of requests that may take {time_s:f} seconds")
def step_reader(context, time_s):
    context.caller, accepted = gevent.socket.socketpair()
    limits = RequestLimits(total_timeout_s=time_s)
    context.reader = RequestReader(accepted, limits)


@when("a body comes in pieces, one every {pause_s:f} seconds")
def step_slow_body(context, pause_s):
    def send():
        context.caller.sendall(b"POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n")
        for _ in range(30):
            gevent.sleep(pause_s)
            context.caller.sendall(b"x")

    sending = gevent.spawn(send)
    began_s = time.monotonic()
    context.error = None
    try:
        with gevent.Timeout(5, False):
            context.reader.read()
    except BadRequestError as error:
        context.error = error
    context.took_s = time.monotonic() - began_s
    sending.kill()
    context.caller.close()


@then("the request is refused with {status:d} after {least_s:f} to {most_s:f} seconds")
def step_refused(context, status, least_s, most_s):
    assert context.error is not None, context.took_s
    assert context.error.status == status, context.error
    assert least_s <= context.took_s <= most_s, context.took_s


@when("a caller sends a request in chunks, with a trailer")
def step_trailer(context):
    with _connect(context) as connection:
        connection.sendall(HEAD + b"4\r\nbody\r\n0\r\nX-Note: abc\r\n\r\n")
        connection.settimeout(3)
        context.received = connection.recv(65_536)


@then("the request is served, and its replica got no header of that name")
def step_no_header(context):
    assert context.received.startswith(b"HTTP/1.1 200"), context.received
    (seen,) = [s for r in context.platform.replicas.values() for s in r.seen]
    assert seen.body == b"body", seen.body
    assert "X-Note" not in seen.headers, seen.headers


# Tunnels.


class _OpenTraffic:
    def closed_for_s(self, headers):
        return 0.0

    def note_sent(self, headers):
        pass

    def is_answer(self, headers, head):
        return True

    def note_response(self, headers, head, sent_s):
        pass


@given("a tunnel on which a request is under way")
def step_tunnel(context):
    context.inspector = TunnelInspector(_OpenTraffic(), CarriedTimes())
    context.inspector.feed_request(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")


@when("its upstream sends {what} without end")
def step_endless_on_tunnel(context, what):
    context.before_mb = resident_mb()
    context.inspector.feed_response(b"HTTP/1.1 200 OK\r\n")
    if what == "trailers":
        context.inspector.feed_response(b"Transfer-Encoding: chunked\r\n\r\n0\r\n")
    for _ in range(400):
        context.inspector.feed_response(b"X-Note: abc\r\n" * 4096)
    context.more_mb = resident_mb() - context.before_mb


@then("the carrier takes at most {most_mb:d} MB more")
def step_carrier(context, most_mb):
    assert context.more_mb <= most_mb, context.more_mb
