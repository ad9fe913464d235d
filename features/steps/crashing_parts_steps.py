"""Steps for engines that crash under one part of a prompt, with real processes."""

import json
import subprocess
import sys
import threading
from pathlib import Path

import attrs
from behave import given, then, when
from crash_steps import CrashingReplicas
from platform_steps import step_platform
from platform_world import KEY, wait_until

CALLERS_PROGRAM = Path(__file__).parent.parent / "programs" / "part_callers.py"
#: events of a complete stream, and the pause between two.
EVENTS = 12
EVENT_PAUSE_S = 0.05
#: time until a crashed engine has started again.
RESTART_S = 2.0
SOUND_PER_S = 20.0
#: from this long after the fifth crash, requests with the part are counted, and from
#: this long, sound ones have to be served again: the users' rules.
LATE_S = 3.0
SETTLED_S = 6.0
BAD_PARTS = ("bad0", "bad1")


class PartReplicas(CrashingReplicas):
    """Engines that crash under parts of prompts.

    :param world: the stand-ins (``PlatformWorld``).
    :param count: number of engines.
    :param share: how often a part crashes the engine that begins with it.
    """

    restart_s = RESTART_S

    def __init__(self, world, count, share):
        self.share = share
        #: shares of the requests that engines answer with an error, and refuse.
        self.shares = {"fails_share": 0.0, "refuses_share": 0.0}
        super().__init__(world, "engines", count)

    def _add(self, upstream_id):
        super()._add(upstream_id)
        vars(self.world.replicas[upstream_id]).update(self.shares)

    def _options(self):
        return {
            "events": EVENTS,
            "event_pause_s": EVENT_PAUSE_S,
            "crashes_on_parts": dict.fromkeys(BAD_PARTS, self.share),
        }

    def set_shares(self, **shares):
        """Fail or refuse a share of the requests, also after restarts."""
        self.shares.update(shares)
        for replica in self.world.replicas.values():
            vars(replica).update(shares)

    def bad_arrivals_s(self):
        """Return the sorted times at which requests with such a part arrived."""
        seen = [s for r in list(self.world.replicas.values()) for s in list(r.seen)]
        return sorted(s.arrived_s for s in seen if s.has_part(BAD_PARTS))


@attrs.frozen
class Outcome:
    """A request, and what became of it."""

    kind: str
    first_part: str
    sent_s: float
    took_s: float
    status: int
    is_whole: bool

    @classmethod
    def parse(cls, line):
        kind, first_part, sent, took, status, is_whole = line.split()
        return cls(
            kind, first_part, float(sent), float(took), int(status), is_whole == "1"
        )


@given(
    "{gateways:d} gateways in front of {count:d} engines that crash under a part of "
    "the prompt {share:g} of the times"
)
def step_world(context, gateways, count, share):
    step_platform(context)
    world = context.platform
    context.replicas = PartReplicas(world, count, share)
    world.add_route("/once/", "stream", "engines", maxAttempts=1)
    world.add_route("/resume/", "stream", "engines", resumable=True)
    world.put_configuration()
    world.name_weights(1)
    for _ in range(gateways):
        world.add_gateway(wait=False)
    for gateway in world.gateways:
        wait_until("the gateway is ready", gateway.is_ready, 30.0)
    wait_until("all know each other", world.all_know_each_other, 30.0)


def _call(context, for_s, path, bad_per_s, bad_count, place, **more):
    world = context.platform
    options = {
        "ports": [gateway.ports["front"] for gateway in world.gateways],
        "key": KEY,
        "path": path,
        "for_s": for_s,
        "sound_per_s": SOUND_PER_S,
        "bad_per_s": bad_per_s,
        "bad_parts": BAD_PARTS[:bad_count],
        "place": place,
        "leave_after_s": 0.0,
        "events": EVENTS,
        "seed": 1,
        **more,
    }
    output = subprocess.run(
        [sys.executable, str(CALLERS_PROGRAM), json.dumps(options)],
        capture_output=True,
        check=True,
        text=True,
        timeout=for_s + 60,
    ).stdout
    context.outcomes = [Outcome.parse(line) for line in output.splitlines()]


@when(
    'for {for_s:d} seconds sound streams come to "{path}", and {per_s:g} a second with '
    "{count:d} such parts, {place}"
)
def step_call(context, for_s, path, per_s, count, place):
    _call(context, for_s, path, per_s, count, place)


@when(
    "for {for_s:d} seconds callers who leave after {leave_ms:d} ms send {per_s:g} a "
    'second with {count:d} such parts, {place}, beside sound streams to "{path}"'
)
def step_call_and_leave(context, for_s, path, per_s, count, place, leave_ms):
    _call(context, for_s, path, per_s, count, place, leave_after_s=leave_ms / 1000.0)


@given("the engines answer {share:g} of all requests with an error")
def step_fail(context, share):
    context.replicas.set_shares(fails_share=share)


@given("the engines refuse {share:g} of all requests")
def step_refuse(context, share):
    context.replicas.set_shares(refuses_share=share)


@when("all gateways are killed at once {after_s:g} seconds later, and start again")
def step_kill_later(context, after_s):
    world = context.platform

    def kill():
        for gateway in world.gateways:
            gateway.close()
        for gateway in world.gateways:
            gateway.start()

    timer = threading.Timer(after_s, kill)
    timer.start()
    world.on_close.append(timer.join)


@then(
    "at most {count:d} with the part reached an engine over 3 seconds after the fifth "
    "crash"
)
def step_late(context, count):
    crashes = context.replicas.crash_times_s
    assert len(crashes) >= 5, f"only {len(crashes)} engines crashed"
    late = [s for s in context.replicas.bad_arrivals_s() if s > crashes[4] + LATE_S]
    arrivals = len(context.replicas.bad_arrivals_s())
    assert len(late) <= count, (len(late), len(crashes), arrivals)


@then(
    "sound streams sent over 6 seconds after the fifth crash were whole {share:g} of "
    "the times"
)
def step_sound(context, share):
    since_s = context.replicas.crash_times_s[4] + SETTLED_S
    sound = [o for o in context.outcomes if o.kind == "sound" and o.sent_s >= since_s]
    assert len(sound) >= 20, len(sound)
    for first_part in sorted({o.first_part for o in sound}):
        own = [o for o in sound if o.first_part == first_part]
        whole = sum(o.is_whole for o in own)
        statuses = [o.status for o in own if not o.is_whole]
        assert whole >= share * len(own), (first_part, whole, len(own), statuses)


@then("its last {count:d} callers were refused at once, with a time to come back")
def step_refused(context, count):
    bad = [o for o in context.outcomes if o.kind == "bad"][-count:]
    assert all(o.status == 503 and o.took_s < 0.5 for o in bad), bad
