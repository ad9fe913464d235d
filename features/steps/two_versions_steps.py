"""Steps for streams at replicas of several software versions."""

import json
import random
import re
import signal
import threading
import time

import attrs
import sseclient
import urllib3
from behave import given, then, when
from broken_answers_steps import start_again
from control_steps import step_controlled_fleet
from cut_proxy import RESET, CutProxy
from fleet_steps import HTTP as ROUTER_HTTP
from fleet_steps import post_completion, prompt_of
from pace import TestClock, evenly
from platform_steps import step_platform
from platform_world import HTTP, KEY, wait_until

from kumquatseam.standins.engine._engine import answer_words

STREAMS_PER_S = 30
EVENTS = 8
EVENT_PAUSE_S = 0.05
#: gateways that all hear from each other; in a larger fleet trackers know the work.
FULL_MESH_GATEWAYS = 12
DEADLINE_S = 5.0
#: how long a gateway is paused.
PAUSE_S = 1.0
#: how long a caller takes to come back.
COMES_BACK_S = 0.05
#: tries of a caller, and those that it makes after a refusal without Retry-After.
MAX_TRIES = 3
_EVENT = re.compile(r"id: (\d+)\nevent: (\S+)\ndata: piece \1\n\n")


@attrs.define
class Try:
    """One attempt of a caller.

    :param request_id: its id.
    :param gateway: number of the gateway.
    :param takes_up: whether it takes a stream up.
    :param status: its response's status; 0 without one.
    :param events: number of events received.
    :param took_s: time until its response's head, or its failure.
    :param retry_after: the response's ``Retry-After``.
    :param gave_up: whether its caller waited no longer for a response.
    """

    request_id: str
    gateway: int
    takes_up: bool
    status: int = 0
    events: int = 0
    took_s: float = 0.0
    retry_after: str | None = None
    gave_up: bool = False


@attrs.define
class CallerStream:
    """A stream as its caller sees it, over all attempts."""

    number: int
    began_s: float
    tries: list[Try] = attrs.Factory(list)
    ids: list[int] = attrs.Factory(list)
    versions: list[str] = attrs.Factory(list)
    is_complete: bool = False

    @property
    def has_begun(self) -> bool:
        return bool(self.ids)

    @property
    def taken_up(self) -> list[Try]:
        return [t for t in self.tries if t.takes_up]


class StreamCaller:
    """Streams from a gateway, and takes the stream up elsewhere.

    :param world: the platform.
    :param stream: what it receives.
    :param draw: a random number generator.
    :param drops: whether it drops its connection after two events.
    :param comes_back_s: how long it takes to come back.
    :param deadline_s: how long it waits in all.
    :param max_tries: how often it sends.
    :param clock: counts how long it waits.
    """

    def __init__(
        self,
        world,
        stream,
        draw,
        drops,
        comes_back_s,
        deadline_s=DEADLINE_S,
        max_tries=MAX_TRIES,
        clock=None,
    ):
        self.clock = clock or TestClock()
        self.max_tries = max_tries
        self.comes_back_s = comes_back_s
        self.world = world
        self.stream = stream
        self.draw = draw
        self.drops = drops
        self.deadline_s = self.clock.now_s + deadline_s
        self.first_id = ""

    @property
    def left_s(self):
        """How long it still waits."""
        return self.deadline_s - self.clock.now_s

    def run(self):
        gateway = self.draw.randrange(len(self.world.gateways))
        for _ in range(self.max_tries):
            attempt = self._try(gateway)
            if self.stream.is_complete or self.left_s <= 0:
                return
            wait_s = self.comes_back_s
            if attempt.status in (429, 503) and attempt.retry_after:
                wait_s = min(float(attempt.retry_after), self.left_s / 3)
            time.sleep(wait_s)
            self.clock.sleep_while_still()
            gateway = self._another(gateway)

    def _another(self, gateway):
        """Return a gateway in rotation; the platform's ingress knows which are."""
        count = range(len(self.world.gateways))
        others = [g for g in count if g != gateway]
        ready = [g for g in others if self.world.gateways[g].is_ready()]
        return self.draw.choice(ready or others)

    def _try(self, gateway):
        stream = self.stream
        attempt = Try(
            f"s{stream.number}-{len(stream.tries)}", gateway, bool(stream.ids)
        )
        stream.tries.append(attempt)
        sent_s = time.monotonic()
        try:
            answer = self._send(attempt)
        except urllib3.exceptions.HTTPError as error:
            attempt.took_s = time.monotonic() - sent_s
            attempt.gave_up = isinstance(error, urllib3.exceptions.TimeoutError)
            return attempt
        attempt.took_s = time.monotonic() - sent_s
        attempt.status = answer.status
        attempt.retry_after = answer.headers.get("Retry-After")
        try:
            if answer.status == 200:
                self._read(attempt, answer)
        except urllib3.exceptions.HTTPError:
            pass
        finally:
            # Ends the connection of a stream that is not complete.
            answer.close()
        return attempt

    def _send(self, attempt):
        headers = {
            "Host": "a.example",
            "X-Request-Id": attempt.request_id,
            "X-Deadline-Ms": f"{self.left_s * 1000:.0f}",
            "Authorization": f"Token {KEY}",
            **self.world.stream_headers(),
        }
        if self.stream.ids:
            headers["Last-Event-Id"] = str(self.stream.ids[-1])
            headers["Resumes"] = self.first_id
        port = self.world.gateways[attempt.gateway].ports["front"]
        return HTTP.request(
            "POST",
            f"http://127.0.0.1:{port}/resume/x",
            headers=headers,
            body=b"question %d" % self.stream.number,
            preload_content=False,
            timeout=urllib3.Timeout(connect=1, read=3),
        )

    def _read(self, attempt, answer):
        stream, pending = self.stream, ""
        drops = self.drops and not attempt.takes_up
        for data in answer.stream(65_536):
            pending += data.decode()
            end = 0
            for found in _EVENT.finditer(pending):
                end = found.end()
                if not stream.ids:
                    self.first_id = attempt.request_id
                stream.ids.append(int(found[1]))
                stream.versions.append(found[2])
                attempt.events += 1
                if drops and attempt.events == 2:
                    return
            pending = pending[end:]
        stream.is_complete = True


@given(
    "{count:d} gateways in front of {old:d} engines of v1 and {new:d} of v2, each "
    "behind a proxy"
)
def step_versions(
    context,
    count,
    old,
    new,
    events=EVENTS,
    room=None,
    pause_s=EVENT_PAUSE_S,
    has_proxies=True,
):
    step_platform(context)
    world = context.platform
    context.events, context.room, context.event_pause_s = events, room, pause_s
    context.proxies = []
    context.has_proxies = has_proxies
    context.streams = []
    for number in range(old + new):
        add_engine(context, f"e{number}", "v1" if number < old else "v2")
    world.add_route(
        "/resume/", "stream", "engines", resumable=True, maxAttempts=3, timeoutMs=5000
    )
    world.put_configuration()
    world.name_weights(1)
    for _ in range(count):
        world.add_gateway(wait=False, slack=200)
    set_pids(context)
    for gateway in world.gateways:
        wait_until("the gateway is ready", gateway.is_ready)
        wait_until("it lists replicas", lambda g=gateway: world.knows_replicas(g))
        wait_until("it knows the others", lambda g=gateway: world.knows_instances(g))
    if count <= FULL_MESH_GATEWAYS:
        wait_until("all know each other", world.all_know_each_other)
    else:
        wait_until("all are registered", lambda: _all_registered(world, count))


def _all_registered(world, count):
    return all(
        sum(line["event"] == "Instance added." for line in gateway.lines()) >= count - 1
        for gateway in world.gateways
    )


@given(
    "{count:d} gateways in front of {old:d} engines of v1 and {new:d} of v2, each "
    "behind a proxy and with room for {room:d} streams of {events:d} slow events"
)
def step_small_engines(context, count, old, new, room, events):
    step_versions(context, count, old, new, events, room, 2.5 * EVENT_PAUSE_S)


@given("nothing else happens")
def step_nothing(context):
    context.rests = False


@given("each engine announces a limit of {count:d} requests a second")
def step_limits(context, count):
    context.rests = False
    for replica in context.platform.replicas.values():
        replica.limit_per_s = count


@given("one of the engines that stay asks for rest")
def step_one_rests(context):
    context.rests = True


@given(
    "{count:d} gateways in front of {old:d} engines of v1 and {new:d} of v2, with room "
    "for {room:d} streams of {events:d} events"
)
def step_direct_engines(context, count, old, new, room, events):
    step_versions(context, count, old, new, events, room, has_proxies=False)


def add_engine(context, name, software, service="engines"):
    """Add an engine, behind a proxy or not, and list it."""
    world = context.platform
    replica = world.add_replica(
        service,
        name,
        version=1,
        events=context.events,
        event_pause_s=context.event_pause_s,
        software=software,
    )
    replica.room = context.room
    address = replica.address
    if context.has_proxies:
        proxy = CutProxy(replica.address)
        proxy.pids = [g.process.pid for g in world.gateways if g.process]
        context.proxies.append(proxy)
        world.on_close.append(proxy.close)
        address = proxy.address
    world.list_replica(name, address=address, slots=context.room or 48)
    return replica


def set_pids(context):
    for proxy in context.proxies:
        proxy.pids = [g.process.pid for g in context.platform.gateways]


def run_callers(
    context,
    for_s,
    drop_every=0,
    troubles=(),
    comes_back_s=COMES_BACK_S,
    streams_per_s=STREAMS_PER_S,
    deadline_s=DEADLINE_S,
    max_tries=MAX_TRIES,
):
    """Begin streams at an even rate, and run troubles at their times.

    :param drop_every: every how many callers one drops its connection; 0 for none.
    :param troubles: pairs of seconds after the start and what to call then.
    """
    world = context.platform
    clock = context.clock = TestClock()
    due = sorted(troubles, key=lambda trouble: trouble[0])
    threads = []
    for _ in evenly(clock, streams_per_s, for_s):
        while due and clock.now_s >= due[0][0]:
            threads.append(threading.Thread(target=due.pop(0)[1]))
            threads[-1].start()
        number = len(context.streams)
        stream = CallerStream(number, time.monotonic())
        context.streams.append(stream)
        drops = bool(drop_every) and number % drop_every == 0
        caller = StreamCaller(
            world,
            stream,
            random.Random(number),
            drops,
            comes_back_s,
            deadline_s,
            max_tries,
            clock,
        )
        threads.append(threading.Thread(target=caller.run))
        threads[-1].start()
    for thread in threads:
        thread.join()


@when("callers stream for {for_s:d} seconds and engines reset every {every:d}rd stream")
def step_engines_reset(context, for_s, every):
    set_resets(context, every)
    run_callers(context, for_s)


@when(
    "callers stream for {for_s:d} seconds and every {every:d}rd caller takes its "
    "stream up elsewhere"
)
def step_callers_drop(context, for_s, every):
    run_callers(context, for_s, drop_every=every)


@when(
    "callers stream for {for_s:d} seconds and new weights are named every "
    "{every_s:d} seconds"
)
def step_moves(context, for_s, every_s):
    name = context.platform.name_weights
    # Runs are to last until they can be moved.
    for replica in context.platform.replicas.values():
        replica.event_pause_s = 0.15
    troubles = [
        (at_s, lambda version=number + 2: name(version))
        for number, at_s in enumerate(range(1, for_s, every_s))
    ]
    run_callers(context, for_s, troubles=troubles)


@when(
    "callers stream for {for_s:d} seconds and engines reset every {every:d}rd stream, "
    "every {drop_every:d}rd caller takes its stream up elsewhere, one gateway is cut "
    "and others end or pause"
)
def step_all_troubles(context, for_s, every, drop_every):
    set_resets(context, every)
    gateways = context.platform.gateways

    def cut():
        for proxy in context.proxies:
            proxy.cut(gateways[0].process.pid, RESET)

    def end(gateway, number):
        gateway.process.send_signal(number)
        if number == signal.SIGSTOP:
            time.sleep(PAUSE_S)
            gateway.process.send_signal(signal.SIGCONT)
        else:
            start_again(context, gateway)

    troubles = [(1.0, cut)]
    for count, at_s in enumerate(range(2, for_s, 2)):
        number = (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)[count % 3]
        gateway = gateways[1 + count % (len(gateways) - 1)]
        troubles.append((at_s, lambda g=gateway, n=number: end(g, n)))
    run_callers(context, for_s, drop_every, troubles)


@when(
    "callers stream for {for_s:d} seconds, every {every:d}rd caller takes its stream "
    "up elsewhere, and v1 is replaced by v3"
)
def step_replaced(context, for_s, every):
    world = context.platform
    old = [r for r in world.replicas.values() if r.software == "v1"]

    def replace(replica, number):
        add_engine(context, f"n{number}", "v3")
        world.unlist_replica(replica.upstream_id)

    troubles = [
        (4.0 + number, lambda r=replica, n=number: replace(r, n))
        for number, replica in enumerate(old)
    ]
    run_callers(context, for_s, every, troubles, comes_back_s=1.5)


@when(
    "{rate:d} callers a second stream for {for_s:d} seconds, {count:d} engines of v1 "
    "crash, and 2 gateways are {how}"
)
def step_hundreds(context, rate, for_s, count, how):
    number = signal.SIGKILL if how == "killed" else signal.SIGTERM
    context.rests = False
    for replica in context.platform.replicas.values():
        replica.event_pause_s = 0.5
    step_herd(context, for_s, count, number, streams_per_s=rate, deadline_s=15.0)


@when(
    "callers stream for {for_s:d} seconds, {count:d} engines of v1 crash together with "
    "2 gateways"
)
def step_herd(context, for_s, count, number=signal.SIGKILL, **options):
    world = context.platform
    old = [r for r in world.replicas.values() if r.software == "v1"]

    def crash():
        for gateway in world.gateways[:2]:
            gateway.process.send_signal(number)
        for replica in old[:count]:
            world.unlist_replica(replica.upstream_id)
            replica.crash()
        if context.rests:
            old[-1].rest = "1.0"
            threading.Timer(1.0, setattr, (old[-1], "rest", None)).start()
        for gateway in world.gateways[:2]:
            start_again(context, gateway)

    run_callers(context, for_s, troubles=[(for_s / 2, crash)], **options)


def set_resets(context, every):
    for replica in context.platform.replicas.values():
        replica.resets_every = every


@then("no stream has events of two versions")
def step_one_version(context):
    mixed = [s for s in context.streams if len(set(s.versions)) > 1]
    begun = sum(s.has_begun for s in context.streams)
    assert begun
    assert not mixed, f"{len(mixed)} of {begun}: {mixed[:2]}"


@then("no event is missing or comes twice")
def step_in_order(context):
    wrong = [
        s
        for s in context.streams
        if s.ids != list(range(1, len(s.ids) + 1))
        or (s.is_complete and len(s.ids) != context.events)
    ]
    assert not wrong, f"{len(wrong)}: {wrong[:2]}"


@then("at least {count:d} streams were resumed by a gateway")
def step_resumed(context, count):
    lines = continuations(context, "gateway")
    assert len(lines) >= count, len(lines)


@then("at least {count:d} streams were taken up by their callers")
def step_taken_up(context, count):
    taken = sum(bool(s.taken_up) for s in context.streams)
    assert taken >= count, taken


def continuations(context, by):
    return [
        line
        for gateway in context.platform.gateways
        for line in gateway.lines()
        if line["event"] == "Stream continued." and line["by"] == by
    ]


def shares(context):
    """Return the share of streams that began, and of those taken up that went on."""
    streams = context.streams
    taken = [s for s in streams if s.taken_up]
    went_on = sum(s.is_complete for s in taken)
    begun = sum(s.has_begun for s in streams)
    return begun / len(streams), went_on / max(1, len(taken)), len(taken)


@then("as many streams went on as began, to within {less:g}")
def step_as_many(context, less):
    begin, go_on, taken = shares(context)
    waits_s = [t.took_s for s in context.streams for t in s.taken_up if t.status == 200]
    print(
        f"{taken} taken up: {go_on:.3f} went on, after {sum(waits_s) / taken:.3f} s; "
        f"{begin:.3f} of all began"
    )
    assert taken >= 12, taken
    assert go_on >= begin - less, (
        f"{go_on:.3f} of {taken} went on, {begin:.3f} began: {not_gone_on(context)}"
    )


def not_gone_on(context):
    """Return the attempts of streams that were taken up in vain."""
    return [s.tries for s in context.streams if s.taken_up and not s.is_complete]


@then("at least {share:g} as many streams went on as began")
def step_share_went_on(context, share):
    begin, go_on, taken = shares(context)
    print(f"{taken} taken up: {go_on:.3f} went on, {begin:.3f} of all began")
    assert taken >= 12, taken
    assert go_on >= share * begin, f"{go_on:.3f} of {taken} went on, {begin:.3f} began"


@then("at least {count:d} streams were taken up at once")
def step_hundreds_taken(context, count):
    taken = sum(bool(s.taken_up) for s in context.streams)
    assert taken >= count, taken


@then("at least {share:g} of all streams are complete")
def step_complete(context, share):
    complete = sum(s.is_complete for s in context.streams)
    assert complete >= share * len(context.streams), (complete, len(context.streams))


@then(
    "what is taken up without a replica of its version is refused within {took_s:g} "
    "seconds"
)
def step_refused(context, took_s):
    refused = [
        t for s in context.streams for t in s.taken_up if t.status in (502, 503, 504)
    ]
    assert refused
    late = [t for t in refused if t.took_s > took_s or t.status != 503]
    assert not late, f"{len(late)} of {len(refused)}: {late[:3]}"


# Single attempts.


@given('a plain replica, which serves "{prefix}"')
def step_plain_replica(context, prefix):
    world = context.platform
    world.add_replica("plain", "p0")
    world.add_route(prefix, "non_idempotent", "plain")
    world.put_configuration()
    (gateway,) = world.gateways
    wait_until("it lists the replica", lambda: world.knows_replicas(gateway))
    wait_until("the route is in force", lambda: _is_served(world, f"{prefix}x"))


def _is_served(world, path):
    return world.send(path).status == 200


@when('a caller streams "{path}" as attempt "{request_id}"')
def step_stream_first(context, path, request_id):
    world = context.platform
    answer = world.send(path, request_id=request_id, headers=world.stream_headers())
    assert answer.status == 200, answer.status


@when('it takes the stream up at "{path}" with {what}')
def step_take_up(context, path, what):
    world = context.platform
    context.runs_before = world.runs()
    headers = urllib3.HTTPHeaderDict({"X-Request-Id": "itself"})
    headers.update({"Host": "a.example", "X-Deadline-Ms": "5000"})
    headers["Authorization"] = f"Token {KEY}"
    if not path.startswith("/plain"):
        headers.update(world.stream_headers())
    if "Last-Event-Id" in what:
        headers["Last-Event-Id"] = "2"
    for value in _named_attempts(what):
        headers.add("Resumes", value)
    port = world.gateways[0].ports["front"]
    started_s = time.monotonic()
    url = f"http://127.0.0.1:{port}{path}"
    context.answer = HTTP.request("POST", url, headers=headers, body=b"question")
    context.took_s = time.monotonic() - started_s


def _named_attempts(what):
    named = what.partition("Resumes")[2]
    if "empty Resumes" in what:
        return [""]
    if "3000 bytes" in named:
        return ["x" * 3000]
    return re.findall(r'"(\w+)"', named)


@then("it is refused with {status:d} at once, and no upstream got it")
def step_refused_at_once(context, status):
    assert context.answer.status == status, (context.answer.status, context.answer.data)
    assert context.took_s < 0.5, context.took_s
    assert context.platform.runs() == context.runs_before


@then("it is answered with {status:d}")
def step_answered(context, status):
    assert context.answer.status == status, (context.answer.status, context.answer.data)


# The routers' own interface.

RESPONSE_TOKENS = 40


@given(
    "a fleet of 1 router and 2 engines each of two versions, which break off responses"
)
def step_own_interface(context):
    step_controlled_fleet(context, 1, 4, engine_options={"decode_ms_per_token": 5})
    for number, engine in enumerate(context.fleet.engines):
        # Any response is broken off once.
        faults = {
            "software": f"b{number % 2}",
            "break_after_tokens": RESPONSE_TOKENS * 3 // 5,
        }
        url = f"{engine.url}/standin/faults"
        ROUTER_HTTP.request("PUT", url, body=json.dumps(faults).encode())
    # Until all have reported it.
    time.sleep(1.5)


@when("callers stream {count:d} responses")
def step_stream_responses(context, count):
    context.responses = {}
    for number in range(count):
        prompt = f"tetel{number} {prompt_of(32)}"
        response = post_completion(context, "key-alpha", prompt, True, RESPONSE_TOKENS)
        events = sseclient.SSEClient(response.stream(64)).events()
        context.responses[prompt] = [event.data for event in events]
        response.release_conn()
        # Until the engine that broke off is live again.
        time.sleep(0.5)


@then("each response is complete and written by one version")
def step_responses_of_one_version(context):
    wrong = {}
    for prompt, events in context.responses.items():
        chunks = [json.loads(event) for event in events if event != "[DONE]"]
        text = "".join(c["choices"][0]["text"] for c in chunks if c.get("choices"))
        whole = [
            " " + " ".join(answer_words(prompt, "", RESPONSE_TOKENS, software))
            for software in ("b0", "b1")
        ]
        if events[-1] != "[DONE]" or text not in whole:
            wrong[prompt[:8]] = (events[-1][:100], text)
    assert not wrong, f"{len(wrong)} of {len(context.responses)}: {wrong}"
