"""Steps for requests that crash the engines that run them."""

import itertools
import threading
import time
from concurrent import futures

import attrs
import urllib3
from behave import given, then, when
from platform_steps import step_platform
from platform_world import wait_until

#: part of the path of requests that crash the replica that runs them.
CRASHING = "crashing"
#: time until a crashed replica has restarted.
RESTART_S = 0.4
#: time until its entry leaves the list: a few heartbeats.
LIST_EXPIRY_S = 0.6
#: events of a complete stream, which takes a second.
EVENTS = 20
#: pause between two crashing requests.
SEND_INTERVAL_S = 0.35
#: a refusal that waits for no other instance takes less than this.
MAX_REFUSAL_S = 0.25
#: maximum number of streams started until each engine has one.
MAX_STREAMS = 40


class CrashingReplicas:
    """Replicas that crash on a request and restart under new ids.

    :param world: the stand-ins (``PlatformWorld``).
    :param service: the service they belong to.
    :param count: number of replicas.
    """

    restart_s = RESTART_S

    def __init__(self, world, service, count):
        self.world = world
        self.service = service
        self.crash_times_s = []
        self.timers = []
        world.on_close.append(self.close)
        for number in range(count):
            self._add(f"{service[0]}{number}")

    def _add(self, upstream_id):
        replica = self.world.add_replica(
            self.service,
            upstream_id,
            version=1 if self.service == "engines" else None,
            **self._options(),
        )
        replica.on_crash = self._note_crash

    def _options(self):
        return {"events": EVENTS, "event_pause_s": 0.05, "crashes_on": CRASHING}

    def _note_crash(self, replica):
        self.crash_times_s.append(time.monotonic())
        self._call_later(LIST_EXPIRY_S, self.world.unlist_replica, replica.upstream_id)
        self._call_later(self.restart_s, self._add, f"{replica.upstream_id}b")

    def _call_later(self, delay_s, function, *arguments):
        timer = threading.Timer(delay_s, function, arguments)
        timer.daemon = True
        self.timers.append(timer)
        timer.start()

    def close(self):
        """Cancel the pending restarts."""
        for timer in self.timers:
            timer.cancel()
        for timer in self.timers:
            timer.join()

    def arrival_times_s(self):
        """Return the sorted times at which crashing requests reached replicas."""
        seen = [s for r in list(self.world.replicas.values()) for s in list(r.seen)]
        return sorted(s.began_s for s in seen if CRASHING in s.path)


def _build(context, gateways, service, count):
    step_platform(context)
    world = context.platform
    context.replicas = CrashingReplicas(world, service, count)
    world.add_route("/once/", "stream", "engines", maxAttempts=1)
    world.add_route("/resume/", "stream", "engines", resumable=True)
    world.add_route("/safe/", "idempotent", "plain")
    world.put_configuration()
    world.name_weights(1)
    for _ in range(gateways):
        world.add_gateway()
    context.results = []
    context.harmless = []
    context.callers = futures.ThreadPoolExecutor(MAX_STREAMS)
    world.on_close.append(lambda: context.callers.shutdown(cancel_futures=True))


@given(
    "{gateways:d} gateway in front of {count:d} engines, and a request that crashes "
    "each of them that runs it"
)
@given(
    "{gateways:d} gateways in front of {count:d} engines, and a request that crashes "
    "each of them that runs it"
)
def step_engines(context, gateways, count):
    _build(context, gateways, "engines", count)


@given(
    "{gateways:d} gateways in front of {count:d} plain replicas, and a request that "
    "crashes each of them that runs it"
)
def step_plain(context, gateways, count):
    _build(context, gateways, "plain", count)


@attrs.frozen
class CallResult:
    """Outcome of one request.

    :param asked_s: clock reading when it was sent.
    :param status: status of the response; 0 if there was none.
    :param took_s: time until the outcome.
    """

    asked_s: float
    status: int
    took_s: float


def send(world, path, number=0, gateway=0, **options):
    """Send one request; return its outcome."""
    method = "GET" if path.startswith("/safe/") else "POST"
    headers = {} if method == "GET" else world.stream_headers(f"{number:08x}")
    began_s = time.monotonic()
    try:
        answer = world.send(path, method, headers=headers, gateway=gateway, **options)
        status = answer.status
    except urllib3.exceptions.HTTPError:
        status = 0
    return CallResult(began_s, status, time.monotonic() - began_s)


@given("a stream is being answered by each engine")
def step_streams(context):
    world = context.platform
    engines = list(world.replicas.values())
    for number in range(MAX_STREAMS):
        if all(engine.running for engine in engines):
            return
        arguments = (world, f"/once/{number}", number)
        context.callers.submit(send, *arguments)
        total = sum(engine.running for engine in engines)
        wait_until(
            "the stream runs",
            lambda: sum(e.running for e in engines) > total,  # noqa: B023
        )
    raise AssertionError("not every engine received a stream")


@when("callers send the crashing request {count:d} times")
def step_send_crashing(context, count):
    for _ in range(count):
        send(context.platform, f"/once/{CRASHING}")


@when('callers send it to "{path}" for {for_s:d} seconds, to each gateway in turn')
def step_send_in_turn(context, path, for_s):
    _send_in_turn(context, path, for_s)


@when(
    'callers send it to "{path}" for {for_s:d} seconds, and disconnect after {ms:d} ms'
)
def step_send_and_leave(context, path, for_s, ms):
    _send_in_turn(context, path, for_s, timeout=ms / 1000.0)


def _send_in_turn(context, path, for_s, **options):
    """Send the crashing request at intervals, each followed by a harmless one."""
    world = context.platform
    folder = path.rpartition("/")[0]
    end_s = time.monotonic() + for_s
    for number in itertools.count(1):
        began_s = time.monotonic()
        if began_s >= end_s:
            return
        gateway = number % len(world.gateways)
        context.results.append(send(world, path, gateway=gateway, **options))
        harmless = (world, f"{folder}/{number}", number, gateway)
        context.harmless.append(context.callers.submit(send, *harmless))
        time.sleep(max(0.0, began_s + SEND_INTERVAL_S - time.monotonic()))


@then(
    "at most {count:d} of them reached a replica over {late_s:d} seconds after the "
    "third crash"
)
def step_late_arrivals(context, count, late_s):
    crash_times_s = context.replicas.crash_times_s
    assert len(crash_times_s) >= 3, "fewer than 3 replicas crashed"
    late = [
        s for s in context.replicas.arrival_times_s() if s > crash_times_s[2] + late_s
    ]
    assert len(late) <= count, (
        f"{len(late)} late arrivals, {len(crash_times_s)} crashes"
    )


@when("all gateways are killed at once and restarted")
def step_killed(context):
    gateways = context.platform.gateways
    for gateway in gateways:
        gateway.close()
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        wait_until("the gateway is ready", gateway.is_ready)
    context.started_again_s = time.monotonic()


@then("it reached no replica since the restart")
def step_none_since(context):
    since_s = context.started_again_s
    late = [s for s in context.replicas.arrival_times_s() if s >= since_s]
    assert not late, late


@then("its last {count:d} callers received an immediate refusal")
def step_refused_at_once(context, count):
    last = context.results[-count:]
    assert all(result.status == 503 for result in last), last
    assert all(result.took_s < MAX_REFUSAL_S for result in last), last


@then("all other requests sent after the last crash were served")
def step_rest_served(context):
    _check_served(context, context.replicas.crash_times_s[-1])


@then("all other requests sent since the restart were served")
def step_rest_served_since(context):
    _check_served(context, context.started_again_s)


def _check_served(context, since_s):
    results = [future.result() for future in context.harmless]
    late = [t for t in results if t.asked_s > since_s]
    assert len(late) > 5, results
    assert all(t.status == 200 for t in late), late


def _failures(context):
    lines = [line for g in context.platform.gateways for line in g.lines()]
    return [line for line in lines if line["event"] == "Attempt failed."]


def _crashing_ids(context):
    replicas = context.platform.replicas.values()
    seen = [s for r in replicas for s in r.seen if CRASHING in s.path]
    return {s.headers["X-Request-Id"] for s in seen}


def _failures_of(context, ids, least):
    """Return the failures of some requests, ``None`` if fewer than ``least``."""
    found = [line for line in _failures(context) if line["request"] in ids]
    return found if len(found) >= least else None


@then("both failures are logged with the same fingerprint, and without a first event")
def step_one_fingerprint(context):
    ids = _crashing_ids(context)
    found = wait_until("both are logged", lambda: _failures_of(context, ids, 2))
    assert len({line["fingerprint"] for line in found}) == 1, found
    for line in found:
        assert line["first_event_ago_s"] is None, line
        assert 0 < line["sent_ago_s"] < 1.0, line
    context.crashing = found[0]["fingerprint"]


@then(
    "the interrupted streams are logged with other fingerprints, and with a first event"
)
def step_other_fingerprints(context):
    crashing = _crashing_ids(context)

    def cut():
        ids = {line["request"] for line in _failures(context)} - crashing
        return _failures_of(context, ids, 2)

    found = wait_until("both streams' ends are logged", cut)
    assert len({line["fingerprint"] for line in found}) == len(found), found
    for line in found:
        assert line["fingerprint"] != context.crashing
        assert line["first_event_ago_s"] > 0, line


@then("with the shared parts of their prompts, as is the crash")
def step_parts_logged(context):
    ids = _crashing_ids(context)
    failed = [line for line in _failures(context) if line["request"] in ids]
    parts = ["00000000", "00000000b"]
    assert [line["parts"] for line in failed] == [parts] * len(failed), failed
    lines = [line for g in context.platform.gateways for line in g.lines()]
    crashed = [x for x in lines if x["event"] == "Upstream crashed under requests."]
    assert crashed and all(parts in line["parts"] for line in crashed), crashed
