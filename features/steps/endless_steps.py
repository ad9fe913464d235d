"""Steps for upstreams that send bytes without end."""

import threading
import time

import urllib3
from behave import given, then, when
from platform_steps import step_platform

#: deadline of callers, and how much later a gateway may still answer.
DEADLINE_S = 2.0
SLACK_S = 1.0
#: requests beside the one whose answer does not end.
BESIDE = 20


def _resident_mb(process):
    with open(f"/proc/{process.pid}/status") as status:
        (line,) = [line for line in status if line.startswith("VmRSS:")]
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


def _send(context, number):
    headers = {"X-Deadline-Ms": str(int(DEADLINE_S * 1000))}
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


@when("a request gets that, and others come meanwhile")
def step_send(context):
    world = context.platform
    assert _send(context, "warm")[0] == 200
    context.before_mb = _resident_mb(context.gateway.process)
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
    context.beside = [_send(context, number) for number in range(BESIDE)]
    first.join()


@then("all are answered in time, and the gateway takes at most {most_mb:d} MB more")
def step_answered(context, most_mb):
    ((_, took_s),) = context.answers
    assert took_s <= DEADLINE_S + SLACK_S, took_s
    late = [a for a in context.beside if a[0] != 200 or a[1] > DEADLINE_S]
    assert not late, late
    more_mb = _resident_mb(context.gateway.process) - context.before_mb
    assert more_mb <= most_mb, more_mb


@then("nobody sends any more")
def step_ended(context):
    seen = [s for r in context.platform.replicas.values() for s in r.seen]
    deadline_s = time.monotonic() + DEADLINE_S + SLACK_S
    while time.monotonic() < deadline_s:
        if all(s.answered_s for s in seen):
            return
        time.sleep(0.05)
    raise AssertionError([s.path for s in seen if not s.answered_s])
