"""Steps for requests that a stop must not cut."""

import contextlib
import http.client
import signal
import threading
import time

import attrs
from behave import given, then, when
from platform_steps import step_platform
from platform_world import KEY, WAIT_S, wait_until

PATHS = {"plain": "/plain/x", "stream": "/once/x"}
DEADLINE_S = 15.0
GRACE_S = 4
#: events of a stream.
EVENTS = 10
#: callers whose requests make a gateway know how long its streams take.
MOST_CALLERS = 20
#: pause between the pieces of a body; less than the time limit of a head.
PIECE_PAUSE_S = 0.3
#: how long before the end of a response its connection brings the next request.
EARLY_S = 0.05
#: after the requests were sent, time for them to reach their upstream.
ARRIVE_S = 0.3


@attrs.define(eq=False)
class Answer:
    """What a caller got.

    :param status: 0 if the connection ended without a response.
    :param is_whole: whether the response was complete.
    :param ended_s: when it was.
    :param closes: whether it announced that its connection closes.
    """

    status: int = 0
    is_whole: bool = False
    ended_s: float = 0.0
    closes: bool = False
    body: bytes = b""


class ExactResponse(http.client.HTTPResponse):
    """Reads no byte behind the response: the next one may be there already."""

    def __init__(self, sock, *arguments, **options) -> None:
        super().__init__(sock, *arguments, **options)
        self.fp.close()
        self.fp = sock.makefile("rb", buffering=1)


class StopCaller:
    """A caller with one connection to the gateway of a scenario.

    :param world: the platform.
    """

    def __init__(self, world) -> None:
        port = world.gateways[0].ports["front"]
        self._world = world
        self._connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
        self._connection.response_class = ExactResponse
        self._connection.connect()

    def send(self, request_id, path, is_chunked=False, deadline_s=DEADLINE_S) -> Answer:
        """Send a request and return its answer."""
        headers = self._headers(request_id, path, deadline_s)
        body = [b"que", b"stion"] if is_chunked else b"question"
        try:
            self._connection.request(
                "POST", path, body, headers, encode_chunked=is_chunked
            )
        except OSError:
            return Answer(ended_s=time.monotonic())
        return self._read(self._connection.getresponse)

    def send_early(self, request_id, path, deadline_s) -> None:
        """Send a request behind the one that is being answered."""
        headers = self._headers(request_id, path, deadline_s)
        lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        head = "\r\n".join([*lines, "Content-Length: 8", "", ""])
        self._connection.sock.sendall(head.encode() + b"question")

    def send_in_pieces(self, request_id, path, until_s) -> None:
        """Send a request whose body in chunks ends at a time.

        :param until_s: when, in monotonic time.
        """
        headers = self._headers(request_id, path, DEADLINE_S)
        lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        head = "\r\n".join([*lines, "Transfer-Encoding: chunked", "", ""])
        self._connection.sock.sendall(head.encode())
        while time.monotonic() < until_s:
            self._connection.sock.sendall(b"8\r\nquestion\r\n")
            time.sleep(PIECE_PAUSE_S)
        self._connection.sock.sendall(b"0\r\n\r\n")

    def receive_next(self) -> Answer:
        """Return the answer to the request that was sent so or early."""

        def receive():
            response = ExactResponse(self._connection.sock, method="POST")
            response.begin()
            return response

        return self._read(receive)

    def _headers(self, request_id, path, deadline_s) -> dict:
        headers = {
            "Host": "a.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": f"{deadline_s * 1000:.0f}",
            "Authorization": f"Token {KEY}",
        }
        if path == PATHS["stream"]:
            headers |= self._world.stream_headers()
        return headers

    @staticmethod
    def _read(receive) -> Answer:
        answer = Answer()
        with contextlib.suppress(OSError, http.client.HTTPException):
            response = receive()
            answer.status, answer.closes = response.status, response.will_close
            answer.body = response.read()
            answer.is_whole = True
        answer.ended_s = time.monotonic()
        return answer

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


def _begin(context, count, path, is_chunked=False):
    """Let callers send one request each, beside what follows."""
    context.answers = {}
    context.callers = []
    for number in range(count):
        request_id = f"asked-{number}"
        thread = threading.Thread(
            target=_send_one, args=(context, request_id, path, is_chunked)
        )
        thread.start()
        context.callers.append(thread)


def _send_one(context, request_id, path, is_chunked):
    caller = StopCaller(context.platform)
    context.answers[request_id] = caller.send(request_id, path, is_chunked)
    caller.close()


def _stop(context):
    context.stopped_s = time.monotonic()
    context.platform.gateways[0].process.send_signal(signal.SIGTERM)


def _finish(context):
    for thread in context.callers:
        thread.join()
    context.platform.gateways[0].process.wait(WAIT_S)


def _ran(context) -> list[str]:
    """Return the ids of the requests of the callers that ran."""
    ids = [
        seen.headers.get("X-Request-Id", "")
        for replica in context.platform.replicas.values()
        for seen in replica.seen
        if seen.ran
    ]
    return [request_id for request_id in ids if request_id.startswith("asked")]


@given(
    "a gateway whose {kind} requests are held by their upstream for longer than a stop"
)
def step_held(context, kind):
    step_platform(context)
    world = context.platform
    context.path = PATHS[kind]
    if kind == "plain":
        world.add_replica("plain", "p0").work_s = 8.0
        world.add_route("/plain/", "non_idempotent", "plain", timeoutMs=15_000)
    else:
        world.add_replica("engines", "e0", version=1).script.extend(["hang"] * 20)
        world.add_route("/once/", "stream", "engines", maxAttempts=1, timeoutMs=15_000)
        world.name_weights(1)
    world.put_configuration()
    world.add_gateway()


@when("{count:d} requests are sent with {framing}, and the gateway gets SIGTERM")
def step_send_and_stop(context, count, framing):
    _begin(context, count, context.path, is_chunked=framing == "chunks")
    (replica,) = context.platform.replicas.values()
    wait_until("all reached their upstream", lambda: len(replica.seen) == count)
    _stop(context)
    _finish(context)


@then("each caller got a whole response with status {status:d}")
def step_each_got(context, status):
    answers = list(context.answers.values())
    assert all(a.is_whole and a.status == status for a in answers), answers


@given("a gateway that has served {count:d} streams of {for_s:g} seconds")
def step_served(context, count, for_s):
    step_served_grace(context, GRACE_S, count, for_s)


@given(
    "a gateway with a grace of {grace_s:d} seconds that has served {count:d} streams "
    "of {for_s:g} seconds"
)
def step_served_grace(context, grace_s, count, for_s):
    step_platform(context)
    world = context.platform
    world.add_replica("engines", "e0", version=1, events=EVENTS)
    world.add_route("/once/", "stream", "engines", maxAttempts=1, timeoutMs=15_000)
    world.put_configuration()
    world.name_weights(1)
    world.add_gateway(grace_s=grace_s)
    context.for_s = for_s
    _set_duration(context, for_s)
    callers = min(count, MOST_CALLERS)
    threads = [
        threading.Thread(target=_serve_some, args=(context, number, count // callers))
        for number in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _serve_some(context, number, count):
    caller = StopCaller(context.platform)
    for _ in range(count):
        answer = caller.send(f"before-{number}-{time.monotonic_ns()}", PATHS["stream"])
        assert answer.is_whole and answer.status == 200, answer
    caller.close()


@given("its only engine does not accept requests")
def step_closed_engine(context):
    (engine,) = context.platform.replicas
    context.platform.list_replica(engine, state="draining")
    (gateway,) = context.platform.gateways
    wait_until(
        "the gateway knows that it leaves",
        lambda: any(d["event"] == "Upstream leaving." for d in gateway.lines()),
    )


@when("{count:d} streams wait for an engine, and the gateway gets SIGTERM")
def step_wait_and_stop(context, count):
    _begin(context, count, PATHS["stream"])
    time.sleep(ARRIVE_S)
    _stop(context)
    _finish(context)


@when("the gateway gets SIGTERM and {count:d} callers stream")
def step_stop_and_stream(context, count):
    _stop(context)
    time.sleep(0.1)
    _begin(context, count, PATHS["stream"])
    _finish(context)


@then("each was refused within {most_s:g} second of the SIGTERM, and none ran")
def step_refused_soon(context, most_s):
    answers = list(context.answers.values())
    assert answers and all(
        answer.status == 503 and answer.ended_s - context.stopped_s < most_s
        for answer in answers
    ), (context.stopped_s, answers)
    assert not _ran(context), _ran(context)


@then("each stream was whole")
def step_each_whole(context):
    answers = list(context.answers.values())
    assert answers and all(a.is_whole and a.status == 200 for a in answers), answers


# Late requests.


def _set_duration(context, for_s):
    """Let streams that begin from now on take ``for_s`` seconds."""
    (engine,) = context.platform.replicas.values()
    engine.event_pause_s = for_s / engine.events


def _stream_and_stop(context, for_s):
    context.answers = {}
    _set_duration(context, for_s)
    context.caller = StopCaller(context.platform)

    def stream():
        context.answers["asked-first"] = context.caller.send(
            "asked-first", PATHS["stream"]
        )

    context.callers = [threading.Thread(target=stream)]
    context.first_ends_s = time.monotonic() + for_s
    context.callers[0].start()
    time.sleep(ARRIVE_S)
    _stop(context)


@given("a stream of {for_s:g} seconds has ended")
@given("one stream of {for_s:g} seconds has ended")
def step_one_ended(context, for_s):
    _set_duration(context, for_s)
    caller = StopCaller(context.platform)
    answer = caller.send("before-long", PATHS["stream"])
    assert answer.is_whole, answer
    caller.close()


@when(
    "a stream of {for_s:g} seconds begins, the gateway gets SIGTERM, and engines get "
    "{times:d} times slower"
)
def step_stop_slower(context, for_s, times):
    context.times_slower = times
    _stream_and_stop(context, for_s)


@when("a stream of {for_s:g} seconds begins, and the gateway gets SIGTERM")
def step_stop_as_fast(context, for_s):
    context.times_slower = 1
    _stream_and_stop(context, for_s)


@when("the gateway gets SIGTERM, and engines get {times:d} times slower")
def step_stop_and_slow(context, times):
    context.answers, context.callers = {}, []
    _stop(context)
    _set_duration(context, context.for_s * times)


@when(
    "a stream's body in chunks begins {begins_s:g} seconds later, and ends {ends_s:g} "
    "seconds after the SIGTERM"
)
def step_late_body(context, begins_s, ends_s):
    time.sleep(max(0.0, context.stopped_s + begins_s - time.monotonic()))
    caller = StopCaller(context.platform)
    until_s = context.stopped_s + ends_s
    caller.send_in_pieces("asked-second", PATHS["stream"], until_s)
    context.answers["asked-second"] = caller.receive_next()
    caller.close()
    _finish(context)


@when("the same connection brings a stream at once when the first one has ended")
def step_second(context):
    _send_second(context, DEADLINE_S)


@when(
    "the same connection brings a stream with a deadline of {deadline_ms:d} ms when "
    "the first one has ended"
)
def step_second_deadline(context, deadline_ms):
    _send_second(context, deadline_ms / 1000)


def _send_second(context, deadline_s):
    # Before the first one has ended, so that the connection is never idle.
    time.sleep(max(0.0, context.first_ends_s - EARLY_S - time.monotonic()))
    context.caller.send_early("asked-second", PATHS["stream"], deadline_s)
    _set_duration(context, context.for_s * context.times_slower)
    context.callers[0].join()
    context.answers["asked-second"] = context.caller.receive_next()
    context.caller.close()
    _finish(context)


@then("the first stream was whole")
def step_first_whole(context):
    answer = context.answers["asked-first"]
    assert answer.is_whole and answer.status == 200 and not answer.closes, answer


@then(
    "the second one was refused, the connection announced its end, and it did not run"
)
def step_second_refused(context):
    answer = context.answers["asked-second"]
    assert answer.is_whole and answer.status == 503 and answer.closes, answer
    assert "asked-second" not in _ran(context)


@then("both streams were whole")
def step_both_whole(context):
    step_first_whole(context)
    second = context.answers["asked-second"]
    assert second.is_whole and second.status == 200, second


# What a gateway knows of its streams.


@given("{count:d} requests for streams have been refused")
def step_many_refused(context, count):
    (engine,) = context.platform.replicas.values()
    engine.rest = "0.2"
    for number in range(count):
        caller = StopCaller(context.platform)
        answer = caller.send(f"refused-{number}", PATHS["stream"])
        assert answer.status == 503, answer
        caller.close()
    engine.rest = None
    time.sleep(ARRIVE_S)


# Requests that come until the end.

#: time between two requests.
BETWEEN_S = 0.1


@given("a gateway that has served {count:d} {kind} requests at once")
def step_served_kind(context, count, kind):
    step_platform(context)
    world = context.platform
    context.path = PATHS[kind]
    if kind == "plain":
        world.add_replica("plain", "p0")
        world.add_route("/plain/", "non_idempotent", "plain", timeoutMs=15_000)
    else:
        world.add_replica("engines", "e0", version=1, event_pause_s=0.0)
        world.add_route("/once/", "stream", "engines", maxAttempts=1, timeoutMs=15_000)
        world.name_weights(1)
    world.put_configuration()
    world.add_gateway()
    caller = StopCaller(world)
    for number in range(count):
        answer = caller.send(f"before-{number}", context.path)
        assert answer.is_whole and answer.status == 200, answer
    caller.close()


@when(
    "it gets SIGTERM, its upstream gets slower than the stop, and requests come all "
    "the time"
)
def step_requests_come(context):
    (replica,) = context.platform.replicas.values()
    replica.work_s = DEADLINE_S
    replica.script.extend(["hang"] * 200)
    count = int((GRACE_S + 1) / BETWEEN_S)
    # One on a connection of before, and one on a new connection.
    kept = [StopCaller(context.platform) for _ in range(count)]
    _stop(context)
    context.answers, context.callers = {}, []
    for number, caller in enumerate(kept):
        for name, sender in (("kept", caller), ("new", None)):
            thread = threading.Thread(
                target=_send_late, args=(context, f"asked-{name}-{number}", sender)
            )
            thread.start()
            context.callers.append(thread)
        time.sleep(BETWEEN_S)
    _finish(context)


def _send_late(context, request_id, caller):
    try:
        caller = caller or StopCaller(context.platform)
    except OSError:
        context.answers[request_id] = Answer()
        return
    context.answers[request_id] = caller.send(request_id, context.path)
    caller.close()


@then("all that reached the upstream got a whole response with status {status:d}")
def step_reached_got(context, status):
    reached = _ran(context)
    # New connections are accepted for over 2 s.
    assert len(reached) >= 2.0 / BETWEEN_S, len(reached)
    wrong = {i: context.answers[i] for i in reached}
    wrong = {i: a for i, a in wrong.items() if not (a.is_whole and a.status == status)}
    assert not wrong, f"{len(wrong)} of {len(reached)}: {list(wrong.items())[:3]}"


@then("the others were refused, or their connections closed")
def step_others_refused(context):
    reached = set(_ran(context))
    others = {i: a for i, a in context.answers.items() if i not in reached}
    wrong = {i: a for i, a in others.items() if a.status not in (0, 503)}
    assert not wrong, list(wrong.items())[:3]
