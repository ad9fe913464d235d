"""Steps for the end of a response, on raw connections of callers."""

import json
import os
import signal
import socket
import threading
import time
from pathlib import Path

from behave import given, then, when
from loguru import logger
from platform_steps import step_platform
from platform_world import KEY, GatewayProcess, wait_until

from kumquatseam.logs import LineWriter

#: events of the stream, and the size of each.
EVENTS = 40
EVENT_BYTES = 5_000
#: what a slow caller's system holds of a response, and how fast it is read.
RECEIVE_BUFFER_BYTES = 4_096
READ_BYTES = 8_192
READ_PAUSE_S = 0.05
#: how long it waits before it reads: the engine has ended its stream by then.
READS_AFTER_S = 0.7
TIMEOUT_S = 15.0
GRACE_S = 12
STOP_THAT_FAILS = Path(__file__).parent.parent / "programs" / "stop_that_fails.py"
LAST_CHUNK = b"0\r\n\r\n"


def encode_call(world, request_id, path="/once/x", close=False) -> bytes:
    """Return the bytes of a request with its body in chunks."""
    headers = {
        "Host": "a.example",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "12000",
        "Authorization": f"Token {KEY}",
        "Transfer-Encoding": "chunked",
    }
    if path == "/once/x":
        headers |= world.stream_headers()
    if close:
        headers["Connection"] = "close"
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"POST {path} HTTP/1.1\r\n{fields}\r\n".encode()
    return head + b"8\r\nquestion\r\n0\r\n\r\n"


def connect(world, buffer_bytes=None) -> socket.socket:
    """Return a connection to the first gateway."""
    caller = socket.socket()
    if buffer_bytes is not None:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    caller.settimeout(TIMEOUT_S)
    caller.connect(("127.0.0.1", world.gateways[0].ports["front"]))
    return caller


def receive(caller, is_whole, read_bytes=READ_BYTES, pause_s=0.0):
    """Receive until a response is whole or the connection ends.

    :returns: the bytes, and how it ended.
    """
    data = bytearray()
    try:
        while not is_whole(data):
            received = caller.recv(read_bytes)
            if not received:
                return bytes(data), "closed"
            data += received
            time.sleep(pause_s)
    except OSError as error:
        return bytes(data), repr(error)
    return bytes(data), "whole"


def _is_stream_whole(data) -> bool:
    return LAST_CHUNK in data


@given("connections may be idle for {idle_s:g} second")
def step_idle(context, idle_s):
    context.idle_timeout_ms = int(idle_s * 1000)


@given("a gateway whose engine streams 200 kB in half a second")
def step_gateway(context, grace_s=GRACE_S):
    step_platform(context)
    world = context.platform
    idle_timeout_ms = getattr(context, "idle_timeout_ms", None)
    if idle_timeout_ms is not None:
        world.idle_timeout_ms = idle_timeout_ms
    engine = world.add_replica("engines", "e0", version=1, events=EVENTS)
    text = b"x" * EVENT_BYTES
    engine._event = lambda number, *_: b"id: %d\ndata: %b\n\n" % (number, text)
    world.add_route("/once/", "stream", "engines", maxAttempts=1, timeoutMs=12_000)
    world.put_configuration()
    world.name_weights(1)
    _add_gateway(world, grace_s=grace_s)
    # A gateway that does not know how long its streams take begins none in a stop.
    with connect(world) as caller:
        caller.sendall(encode_call(world, "known"))
        data, ended = receive(caller, _is_stream_whole)
        assert ended == "whole", (len(data), ended)


def _add_gateway(world, stdout=None, grace_s=GRACE_S, program=None):
    """Add a gateway whose grace leaves time also on a busy machine."""
    gateway = GatewayProcess(world.folder, "gateway-0", world.log_port, grace_s=grace_s)
    gateway.program = program or gateway.program
    gateway.start(stdout)
    world.gateways.append(gateway)
    wait_until("the gateway is ready", gateway.is_ready)
    if stdout is None:
        wait_until("replicas are known", lambda: world.knows_replicas(gateway))


def _stop(context):
    context.process = context.platform.gateways[0].process
    context.process.send_signal(signal.SIGTERM)
    context.stopped_s = time.monotonic()
    time.sleep(0.3)


@when("a slow caller sends {sent} behind its request, and {end}")
def step_slow_caller(context, sent, end):
    world = context.platform
    if end == "the response begins in a stop":
        _stop(context)
    caller = connect(world, RECEIVE_BUFFER_BYTES)
    with caller:
        is_last = end == "asked for the close"
        caller.sendall(encode_call(world, "slow", close=is_last))
        time.sleep(0.05)
        more = {"an empty line": b"\r\n", "another request": encode_call(world, "2")}
        caller.sendall(more[sent])
        time.sleep(READS_AFTER_S)
        context.received = receive(caller, _is_stream_whole, READ_BYTES, READ_PAUSE_S)


@when("a slow caller on a kept connection sends {sent} {after_s:g} s into a stop")
def step_kept_connection(context, sent, after_s):
    world = context.platform
    caller = connect(world, RECEIVE_BUFFER_BYTES)
    with caller:
        caller.sendall(encode_call(world, "slow"))
        # The response begins before the stop, and does not announce a close.
        time.sleep(0.2)
        _stop(context)
        time.sleep(context.stopped_s + after_s - time.monotonic())
        more = {"an empty line": b"\r\n", "another request": encode_call(world, "2")}
        caller.sendall(more[sent])
        context.received = receive(caller, _is_stream_whole, READ_BYTES, READ_PAUSE_S)


@when(
    "a slow caller on a kept connection sends an empty line {after_s:g} s after its "
    "request"
)
def step_idle_connection(context, after_s):
    world = context.platform
    with connect(world, RECEIVE_BUFFER_BYTES) as caller:
        caller.sendall(encode_call(world, "slow"))
        sender = threading.Timer(after_s, caller.sendall, (b"\r\n",))
        sender.start()
        time.sleep(READS_AFTER_S)
        context.received = receive(caller, _is_stream_whole, READ_BYTES, READ_PAUSE_S)
        sender.join()


@then("the slow caller receives the whole response")
def step_whole(context):
    data, ended = context.received
    engine = context.platform.replicas["e0"]
    (seen,) = [s for s in engine.seen if s.headers.get("X-Request-Id") == "slow"]
    assert seen.ended == "whole", seen.ended
    assert ended == "whole", (len(data), ended)
    assert data.partition(LAST_CHUNK)[0].count(b"data: ") == EVENTS


@when("the gateway stops, and a caller that has its response {does}")
def step_stops(context, does):
    world = context.platform
    _stop(context)
    with connect(world) as caller:
        caller.sendall(encode_call(world, "r"))
        data, ended = receive(caller, _is_stream_whole)
        assert ended == "whole", (len(data), ended)
        if does == "closes its connection":
            caller.close()
        else:
            thread = threading.Thread(target=_go_on, args=(caller, does))
            thread.start()
        context.process.wait(TIMEOUT_S)
        context.ended_s = time.monotonic()
        if does != "closes its connection":
            thread.join()


def _go_on(caller, does):
    """Do what a caller does after its response, until the connection is reset."""
    pause_s = {"keeps sending single bytes": 0.02, "sends as much as it can": 0.0}
    if does not in pause_s:
        return
    piece = b"x" if pause_s[does] else b"x" * 65_536
    end_s = time.monotonic() + TIMEOUT_S
    try:
        while time.monotonic() < end_s:
            caller.sendall(piece)
            time.sleep(pause_s[does])
    except OSError:
        return


@then("the process ends well before its grace is over")
def step_ends(context):
    took_s = context.ended_s - context.stopped_s
    assert took_s <= GRACE_S / 2, took_s


@given(
    "a gateway with a grace of {grace_s:d} seconds whose engine streams for longer "
    "than that"
)
def step_long_streams(context, grace_s):
    step_gateway(context, grace_s)
    engine = context.platform.replicas["e0"]
    engine.lengths["slow"] = round(2 * grace_s / engine.event_pause_s)


@when("the gateway stops, and a caller that receives nothing has a response under way")
def step_stops_under_way(context):
    world = context.platform
    with connect(world, RECEIVE_BUFFER_BYTES) as caller:
        caller.sendall(encode_call(world, "slow"))
        assert caller.recv(1) == b"H"
        _stop(context)
        context.process.wait(TIMEOUT_S)
        context.ended_s = time.monotonic()


@then("the process ends by itself within its grace, as after any other stop")
def step_ends_by_itself(context):
    (gateway,) = context.platform.gateways
    took_s = context.ended_s - context.stopped_s
    text = gateway.log_path.read_text()
    assert "Traceback" not in text, f"{took_s:.2f} s, {text[-2000:]}"
    assert context.process.returncode == 0, context.process.returncode
    assert took_s <= gateway.grace_s, took_s
    # What was begun is cut, or this is about nothing.
    cuts = [d["request"] for d in gateway.lines() if d["event"] == "Request cut."]
    assert cuts == ["slow"], cuts


@given("a gateway whose stop fails, and whose interpreter takes long to end")
def step_stop_fails(context):
    step_platform(context)
    world = context.platform
    world.put_configuration()
    _add_gateway(world, program=[str(STOP_THAT_FAILS)])


@when("the gateway stops, and serves nothing")
def step_stops_idle(context):
    _stop(context)
    context.process.wait(TIMEOUT_S)
    context.ended_s = time.monotonic()


@then("the process ends with an error, which is logged, well before its grace is over")
def step_ends_with_error(context):
    step_ends(context)
    assert context.process.returncode == 1, context.process.returncode
    lines = context.platform.gateways[0].lines()
    (error,) = [d["exception"] for d in lines if d["event"] == "The stop failed."]
    assert "Timeout" in error, error
    assert lines[-1]["event"] == "Stopped.", lines[-1]


# Slow callers of a whole body.


@given("a gateway whose plain service answers with {body_kb:d} kB")
def step_plain_service(context, body_kb):
    step_platform(context)
    world = context.platform
    service = world.add_replica("plain", "p0")
    service.pieces = [b"x" * 1_000] * body_kb
    context.body_bytes = body_kb * 1_000
    world.add_route("/plain/", "non_idempotent", "plain", timeoutMs=12_000)
    world.put_configuration()
    _add_gateway(world)


@when("a caller receives such an answer {how}")
def step_receives_slowly(context, how):
    with connect(context.platform, RECEIVE_BUFFER_BYTES) as caller:
        caller.sendall(encode_call(context.platform, "slow", "/plain/x"))
        is_pausing = how == "after a pause of 6 seconds"
        if is_pausing:
            time.sleep(6.0)
        context.received = receive(
            caller,
            lambda data: _body_bytes(data) == context.body_bytes,
            1_000,
            0.0 if is_pausing else 0.05,
        )


def _body_bytes(data) -> int:
    return len(data.partition(b"\r\n\r\n")[2])


@then("it receives the whole body")
def step_whole_body(context):
    data, ended = context.received
    assert ended == "whole", (len(data), ended)


@when(
    "a caller goes on receiving such an answer at 100 kB a second for {for_s:g} seconds"
)
def step_receives_for(context, for_s):
    with connect(context.platform, RECEIVE_BUFFER_BYTES) as caller:
        caller.sendall(encode_call(context.platform, "steady", "/plain/x"))
        end_s = time.monotonic() + for_s
        receive(caller, lambda data: time.monotonic() > end_s, 5_000, 0.05)
        context.lines = context.platform.gateways[0].lines()


@then("the gateway has not logged that the caller left")
def step_not_left(context):
    assert not [d for d in context.lines if d["event"] == "The caller left."]


@when("a caller receives nothing of such an answer")
def step_receives_nothing(context):
    context.caller = connect(context.platform, RECEIVE_BUFFER_BYTES)
    context.caller.sendall(encode_call(context.platform, "slow", "/plain/x"))


@then("the gateway logs within {within_s:g} seconds that the caller left")
def step_left(context, within_s):
    (gateway,) = context.platform.gateways
    with context.caller:
        wait_until(
            "the caller left",
            lambda: any(d["event"] == "The caller left." for d in gateway.lines()),
            within_s,
        )


@when(
    "a caller sends a request, an empty line, and after {after_s:g} s its next request"
)
def step_empty_line(context, after_s):
    context.answers = []
    with connect(context.platform) as caller:
        for number in range(2):
            call = encode_call(context.platform, f"r{number}", "/plain/x")
            try:
                caller.sendall(call)
                context.answers.append(
                    receive(
                        caller, lambda data: _body_bytes(data) == context.body_bytes
                    )
                )
                caller.sendall(b"\r\n")
            except OSError as error:
                context.answers.append((b"", repr(error)))
            time.sleep(after_s)


@then("both requests are answered on one connection")
def step_both_answered(context):
    ends = [ended for _, ended in context.answers]
    assert ends == ["whole", "whole"], ends


# Logs.

#: more lines than a pipe holds, and how soon a reader that pauses goes on.
LINES = 600
LINE_TEXT = "x" * 200
READER_PAUSE_S = 0.05


@given("a log whose pipe is full, with more lines pending")
def step_full_pipe(context):
    context.read_end, write_end = os.pipe()
    context.writer = LineWriter(write_end, "p")
    context.writer.start()
    context.write_end = write_end
    sink = logger.add(context.writer.write, format="{message}", level="INFO")
    try:
        for number in range(LINES):
            logger.bind(part="test", number=number).info(LINE_TEXT)
    finally:
        logger.remove(sink)


@when("the process ends its log, and the reader {reads}")
def step_end_log(context, reads):
    context.lines = []
    reader = threading.Thread(target=_read_lines, args=(context,))
    if reads == "goes on a bit later":
        threading.Timer(READER_PAUSE_S, reader.start).start()
    began_s = time.monotonic()
    context.writer.close()
    context.took_s = time.monotonic() - began_s
    os.close(context.write_end)
    if reads == "never reads again":
        reader.start()
    time.sleep(READER_PAUSE_S)
    reader.join()


def _read_lines(context):
    with open(context.read_end, "rb") as pipe:
        context.lines = pipe.read().split(b"\n")


@then("{outcome}, and the end takes at most {within_s:g} seconds")
def step_lines(context, outcome, within_s):
    assert context.took_s <= within_s, context.took_s
    numbers = [json.loads(line)["number"] for line in context.lines[:-1]]
    count = LINES if outcome == "every line arrives" else len(numbers)
    assert numbers == list(range(count)), (len(numbers), LINES)
    assert numbers
