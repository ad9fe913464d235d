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

#: in the path of the request that crashes whatever runs it.
CRASHING = "crashing"
#: how long an engine takes to start again after a crash.
RESTART_S = 0.4
#: and its entry to leave the list: a few heartbeats.
LAPSE_S = 0.6
#: events of a whole stream, which takes a second.
EVENTS = 20
#: pause between two crashing requests.
SEND_EVERY_S = 0.35
#: a refusal that waits for nothing takes less.
AT_ONCE_S = 0.25
#: streams tried until each engine has one.
MAX_STREAMS = 40


class CrashingReplicas:
    """Replicas that a request crashes, and that start again under new ids.

    :param world: the stand-ins (``PlatformWorld``).
    :param service: the service they belong to.
    :param count: how many there are.
    """

    def __init__(self, world, service, count):
        self.world = world
        self.service = service
        self.crashed_s = []
        self.timers = []
        world.on_close.append(self.close)
        for number in range(count):
            self._add(f"{service[0]}{number}")

    def _add(self, upstream_id):
        replica = self.world.add_replica(
            self.service,
            upstream_id,
            version=1 if self.service == "engines" else None,
            events=EVENTS,
            event_pause_s=0.05,
            crashes_on=CRASHING,
        )
        replica.on_crash = self._note_crash

    def _note_crash(self, replica):
        self.crashed_s.append(time.monotonic())
        self._later(LAPSE_S, self.world.unlist_replica, replica.upstream_id)
        self._later(RESTART_S, self._add, f"{replica.upstream_id}b")

    def _later(self, delay_s, function, *arguments):
        timer = threading.Timer(delay_s, function, arguments)
        timer.daemon = True
        self.timers.append(timer)
        timer.start()

    def close(self):
        """Let no further replica start."""
        for timer in self.timers:
            timer.cancel()
        for timer in self.timers:
            timer.join()

    def arrivals_s(self):
        """Return when each crashing request reached a replica, in order."""
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
    context.told = []
    context.harmless = []
    context.callers = futures.ThreadPoolExecutor(MAX_STREAMS)
    world.on_close.append(lambda: context.callers.shutdown(cancel_futures=True))


@given(
    "{gateways:d} gateway before {count:d} engines, and a request that crashes "
    "each that runs it"
)
@given(
    "{gateways:d} gateways before {count:d} engines, and a request that crashes "
    "each that runs it"
)
def step_engines(context, gateways, count):
    _build(context, gateways, "engines", count)


@given(
    "{gateways:d} gateways before {count:d} plain replicas, and a request that "
    "crashes each that runs it"
)
def step_plain(context, gateways, count):
    _build(context, gateways, "plain", count)


@attrs.frozen
class CallResult:
    """What a caller was told.

    :param asked_s: when it asked.
    :param status: the answer's status; 0 for none.
    :param took_s: how long it took.
    """

    asked_s: float
    status: int
    took_s: float


def send(world, path, number=0, gateway=0, **options):
    """Send one request; return what its caller was told."""
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
    raise AssertionError("an engine got no stream")


@when("callers send the crashing request {count:d} times")
def step_send_crashing(context, count):
    for _ in range(count):
        send(context.platform, f"/once/{CRASHING}")


@when('callers send it to "{path}" for {for_s:d} seconds, to each gateway in turn')
def step_send_in_turn(context, path, for_s):
    _send_in_turn(context, path, for_s)


@when('callers send it to "{path}" for {for_s:d} seconds, and leave after {ms:d} ms')
def step_send_and_leave(context, path, for_s, ms):
    _send_in_turn(context, path, for_s, timeout=ms / 1000.0)


def _send_in_turn(context, path, for_s, **options):
    """Between two of them something harmless is sent the same way."""
    world = context.platform
    folder = path.rpartition("/")[0]
    end_s = time.monotonic() + for_s
    for number in itertools.count(1):
        began_s = time.monotonic()
        if began_s >= end_s:
            return
        gateway = number % len(world.gateways)
        context.told.append(send(world, path, gateway=gateway, **options))
        harmless = (world, f"{folder}/{number}", number, gateway)
        context.harmless.append(context.callers.submit(send, *harmless))
        time.sleep(max(0.0, began_s + SEND_EVERY_S - time.monotonic()))


@then(
    "at most {count:d} of them reached a replica over {late_s:d} seconds after the "
    "third crash"
)
def step_kept_away(context, count, late_s):
    crashed_s = context.replicas.crashed_s
    assert len(crashed_s) >= 3, "it crashed too few to tell"
    late = [s for s in context.replicas.arrivals_s() if s > crashed_s[2] + late_s]
    assert len(late) <= count, f"{len(late)} arrived, {len(crashed_s)} crashed"


@when("all gateways are killed at once and start again")
def step_killed(context):
    gateways = context.platform.gateways
    for gateway in gateways:
        gateway.close()
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        wait_until("the gateway is ready", gateway.is_ready)
    context.started_again_s = time.monotonic()


@then("it reached no replica since they started again")
def step_none_since(context):
    since_s = context.started_again_s
    late = [s for s in context.replicas.arrivals_s() if s >= since_s]
    assert not late, late


@then("its last {count:d} callers were told at once that it had not run")
def step_told_at_once(context, count):
    last = context.told[-count:]
    assert all(told.status == 503 for told in last), last
    assert all(told.took_s < AT_ONCE_S for told in last), last


@then("whatever else was asked after the last crash was served")
def step_rest_served(context):
    _check_served(context, context.replicas.crashed_s[-1])


@then("whatever else was asked since they started again was served")
def step_rest_served_since(context):
    _check_served(context, context.started_again_s)


def _check_served(context, since_s):
    told = [future.result() for future in context.harmless]
    late = [t for t in told if t.asked_s > since_s]
    assert len(late) > 5, told
    assert all(t.status == 200 for t in late), late


def _failures(context):
    lines = [line for g in context.platform.gateways for line in g.lines()]
    return [line for line in lines if line["event"] == "Attempt failed."]


def _crashing_ids(context):
    replicas = context.platform.replicas.values()
    seen = [s for r in replicas for s in r.seen if CRASHING in s.path]
    return {s.headers["X-Request-Id"] for s in seen}


def _failures_of(context, ids, least):
    """Return the failures of some requests, if there are at least so many."""
    found = [line for line in _failures(context) if line["request"] in ids]
    return found if len(found) >= least else None


@then("both failures are logged with one fingerprint, and without a first event")
def step_one_fingerprint(context):
    ids = _crashing_ids(context)
    found = wait_until("both are logged", lambda: _failures_of(context, ids, 2))
    assert len({line["fingerprint"] for line in found}) == 1, found
    for line in found:
        assert line["first_event_ago_s"] is None, line
        assert 0 < line["sent_ago_s"] < 1.0, line
    context.crashing = found[0]["fingerprint"]


@then("the streams cut with them are logged with others, and with a first event")
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
