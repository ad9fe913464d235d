"""Steps for brittle replicas that fall over and come back, with real processes."""

import subprocess
import sys
import threading
import time
from concurrent import futures
from pathlib import Path

import attrs
from behave import given, then, when
from platform_steps import step_platform
from platform_world import KEY, wait_until

CALLERS_PROGRAM = Path(__file__).parent.parent / "programs" / "open_loop.py"
#: how long a request runs.
WORK_S = 0.1
#: until a replica that fell over leaves the list, and until another one is listed.
LIST_EXPIRY_S = 0.6
RESTART_S = 3.0
#: callers send for this long before the replicas say that they are brittle, and from
#: this long after that on their falls count and fewer requests may wait.
BEFORE_S = 2.0
SETTLED_S = 3.0
#: part of the run, at its end, in which what is served is counted.
COUNTED_S = 6.0
#: requests that wait at a replica until then.
QUEUE_BEFORE = 24
#: longest time until a request is refused, beyond what it may wait for a place.
MAX_REFUSAL_S = 1.0


class BrittleReplicas:
    """Plain replicas that end by too many rejections, and start again under new ids.

    :param world: the stand-ins (``PlatformWorld``).
    :param count: number of replicas.
    :param slots: requests that each runs at once.
    """

    def __init__(self, world, count, slots):
        self.world = world
        self.count = count
        self.slots = slots
        self.brittle = None
        self.queue = QUEUE_BEFORE
        #: when replicas fell over.
        self.fall_times_s = []
        self.said_s = None
        self._timers = []
        self._lock = threading.Lock()
        world.on_close.append(self.close)
        for number in range(count):
            self._add(f"p{number}")

    def _add(self, upstream_id):
        # Listed once it is set up, as it answers from then on.
        replica = self.world.add_replica("plain", upstream_id, is_listed=False)
        replica.slots, replica.queue = self.slots, self.queue
        replica.work_s = WORK_S
        replica.brittle = self.brittle
        replica.falls_over = self.brittle is not None and self._has_settled()
        replica.on_crash = self._note_fall
        self.world.list_replica(upstream_id, slots=self.slots)

    def _has_settled(self):
        return self.said_s is not None and time.monotonic() >= self.said_s + SETTLED_S

    def _alive(self):
        return list(self.world.replicas.values())

    def say(self, refusals):
        """Say in all answers how many rejections a second they bear."""
        self.brittle = refusals
        self.said_s = time.monotonic()
        for replica in self._alive():
            replica.brittle = refusals

    def fall_from_now_on(self, queue):
        """Let fewer requests wait, and fall over."""
        self.queue = queue
        for replica in self._alive():
            replica.queue = queue
            replica.refused_s.clear()
            replica.falls_over = True

    def _note_fall(self, replica):
        with self._lock:
            self.fall_times_s.append(time.monotonic())
        self._later(LIST_EXPIRY_S, self.world.unlist_replica, replica.upstream_id)
        self._later(RESTART_S, self._add, f"{replica.upstream_id}b")

    def _later(self, delay_s, function, *arguments):
        timer = threading.Timer(delay_s, function, arguments)
        timer.daemon = True
        self._timers.append(timer)
        timer.start()

    def close(self):
        """Cancel what is still to come."""
        for timer in self._timers:
            timer.cancel()
        for timer in self._timers:
            timer.join()


@attrs.frozen
class Outcome:
    """A request of an open loop of callers, and what became of it."""

    sent_s: float
    took_s: float
    status: int
    retry_after: str

    @classmethod
    def parse(cls, line):
        sent, took, status, retry_after = line.split()
        return cls(float(sent), float(took), int(status), retry_after)


@given(
    "{gateways:d} gateways in front of {count:d} brittle replicas with {slots:d} slots"
)
def step_world(context, gateways, count, slots):
    step_platform(context)
    world = context.platform
    context.brittle = BrittleReplicas(world, count, slots)
    world.add_route("/plain/", "non_idempotent", "plain")
    world.add_route("/safe/", "idempotent", "plain")
    world.put_configuration()
    for _ in range(gateways):
        world.add_gateway(wait=False)
    for gateway in world.gateways:
        wait_until("the gateway is ready", gateway.is_ready, 30.0)
    wait_until("all know each other", world.all_know_each_other, 30.0)


@when(
    "callers send {load:g} times what they can do for {for_s:d} seconds, in bursts of "
    "{burst_s:g} s, and they bear {refusals:d} rejections a second, with {queue:d} "
    "more waiting"
)
def step_load(context, load, for_s, burst_s, refusals, queue):
    world, brittle = context.platform, context.brittle
    ports = [str(gateway.ports["front"]) for gateway in world.gateways]
    context.can_do = brittle.count * brittle.slots / WORK_S
    context.offered = load * context.can_do
    numbers = (context.offered, BEFORE_S + for_s, burst_s, 1)
    callers = subprocess.Popen(
        [sys.executable, str(CALLERS_PROGRAM), *map(str, numbers), KEY, *ports],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        time.sleep(BEFORE_S)
        brittle.say(refusals)
        time.sleep(SETTLED_S)
        brittle.fall_from_now_on(queue)
        output, _ = callers.communicate(timeout=for_s + 20)
    finally:
        callers.kill()
        callers.wait()
    context.outcomes = [Outcome.parse(line) for line in output.splitlines()]
    context.end_s = max(outcome.sent_s for outcome in context.outcomes)


@then("at most {count:d} of them fell over")
def step_falls(context, count):
    falls = context.brittle.fall_times_s
    said_s = context.brittle.said_s
    assert len(falls) <= count, [round(at_s - said_s, 1) for at_s in falls]


@then("in the last seconds at least {share:g} of what they can do was served")
def step_used(context, share):
    counted = [
        outcome
        for outcome in context.outcomes
        if outcome.sent_s >= context.end_s - COUNTED_S
    ]
    served = sum(outcome.status == 200 for outcome in counted)
    can_do = min(context.can_do, context.offered) * COUNTED_S
    assert served >= share * can_do, (served / can_do, len(counted))


@then("who was refused was refused within {most_s:g} s, with a time to come back")
def step_refused(context, most_s):
    since_s = context.brittle.said_s + SETTLED_S
    refused = [
        outcome
        for outcome in context.outcomes
        if outcome.status == 503 and outcome.sent_s >= since_s
    ]
    late = [outcome for outcome in refused if outcome.took_s > most_s]
    assert len(late) <= len(context.outcomes) / 100, (len(late), len(refused))
    assert all(outcome.retry_after != "-" for outcome in refused), refused


@given(
    "they say that they bear {refusals:d} rejections a second, and let {queue:d} more "
    "wait"
)
def step_say(context, refusals, queue):
    context.brittle.say(refusals)
    for replica in context.platform.replicas.values():
        replica.queue = queue


@when("{count:d} callers send a request at once, after one that was served")
def step_at_once(context, count):
    world = context.platform
    assert world.send().status == 200
    with futures.ThreadPoolExecutor(count) as callers:
        context.statuses = [
            answer.status
            for answer in callers.map(lambda _: world.send(), range(count))
        ]


@then("the gateway logged for each placement and refusal what the upstream bears")
def step_logged(context):
    lines = context.platform.gateways[0].lines()
    placed = [line for line in lines if line["event"] == "Placed."]
    # The first one was placed before the upstream had said anything.
    assert "bearable_refusals" not in placed[0], placed[0]
    for line in placed[1:]:
        assert line["bearable_refusals"] == 4, line
        assert line["brittle_age_s"] >= 0, line
    for line in lines:
        if line["event"] == "Refused by the upstream.":
            assert (line["bearable_refusals"], line["slots"]) == (4, 2), line
            assert line["own_running"] >= 1, line


@then("its metrics count one brittle upstream, what it got and what it refused")
def step_metrics(context):
    world = context.platform
    (gateway,) = world.gateways
    (replica,) = world.replicas.values()
    assert world.metric(gateway, "upstreams_brittle") == 1
    sent = world.metric(gateway, "brittle_upstreams_requests_total")
    refused = world.metric(gateway, "brittle_upstreams_refusals_total")
    assert sent == len(replica.seen) - 1, (sent, len(replica.seen))
    assert refused == len(replica.refused_s), (refused, replica.refused_s)
