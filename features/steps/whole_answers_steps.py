"""Steps for accepted requests that have to be answered whole."""

import random
import signal
import threading
import time

import urllib3
from behave import given, then, when
from platform_moves import MoveAnswer
from platform_steps import step_platform
from whole_answers_world import (
    PlannedWork,
    describe,
    draw_answer,
    draw_schedule,
    judge,
    serve_and_work,
    start_world,
)

from kumquatseam.bench import free_port

CALLERS = 30
#: when weights are named, and when configurations change, in a scenario of moves.
NAMED_S = (0.8, 3.8, 6.8)
CONFIGURED_S = (0.7, 1.9, 3.7, 5.0, 6.7, 8.0)
#: share of those served, at least, while one rollout follows the other.
SERVED_SHARE = 0.75


def _start(context, gateways, engines, seed):
    step_platform(context)
    context.seed = seed
    context.work = PlannedWork(context.platform, random.Random(seed))
    context.answers_moves = lambda order: MoveAnswer.DONE
    start_world(
        context.platform, gateways, engines, lambda order: context.answers_moves(order)
    )
    context.work.next_answer = lambda order: context.answers_moves(order)


@given("{gateways:d} gateways in front of {engines:d} engines, all sound")
def step_sound(context, gateways, engines):
    _start(context, gateways, engines, 1)


@given("every second move is answered so: {answer}")
def step_answers(context, answer):
    draw = random.Random(context.seed)
    kind = MoveAnswer(answer)
    context.answers_moves = lambda order: (
        kind if draw.random() < 0.5 else MoveAnswer.DONE
    )


@when(
    "callers send for {for_s:d} seconds while weights are named and all is configured"
)
def step_named(context, for_s):
    schedule = [(at_s, "name_weights") for at_s in NAMED_S if at_s < for_s]
    schedule += [
        (at_s, "change_configuration") for at_s in CONFIGURED_S if at_s < for_s
    ]
    _serve(context, for_s, schedule)


@given("moves are answered in any way that the protocol allows")
def step_any_answer(context):
    draw = random.Random(context.seed)
    context.answers_moves = lambda order: draw_answer(draw)


@when("callers send for {for_s:d} seconds while planned work of seed {seed:d} goes on")
def step_soak(context, for_s, seed):
    context.seed = seed
    _serve(context, for_s, draw_schedule(random.Random(seed), for_s))


def _serve(context, for_s, schedule):
    outcomes = serve_and_work(
        context.platform, CALLERS, for_s, schedule, context.work, context.seed
    )
    context.verdict = judge(context.platform, outcomes, context.work.kills)
    context.described = describe(context.platform, context.verdict)


@then("every accepted request was answered whole")
def step_whole(context):
    assert not context.verdict.cut, context.described


@then("no request ran that was refused, and none twice")
def step_not_run(context):
    verdict = context.verdict
    assert not verdict.run_though_refused, context.described
    assert not verdict.run_twice, context.described


@then("no run was at work on two engines")
def step_once(context):
    assert not context.verdict.at_work_twice, context.described


@then("most requests were served")
def step_served(context):
    verdict = context.verdict
    assert verdict.served >= SERVED_SHARE * verdict.total, context.described


@then("runs were to be moved")
def step_asked(context):
    assert context.verdict.moves >= 5, context.described


# Stops.


@given(
    "a gateway whose streams take {for_s:d} seconds, and {count:d} of them have ended"
)
def step_long_streams(context, for_s, count):
    step_platform(context)
    world = context.platform
    world.add_replica("engines", "e0", version=1, events=3 * for_s, event_pause_s=1 / 3)
    world.add_route("/once/", "stream", "engines", maxAttempts=1, timeoutMs=15_000)
    world.put_configuration()
    world.name_weights(1)
    world.add_gateway()
    threads = [
        threading.Thread(target=_stream, args=(context, f"before-{number}", {}))
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _stream(context, request_id, answers):
    world = context.platform
    headers = {**world.stream_headers(), "X-Deadline-Ms": "15000"}
    began_s = time.monotonic()
    try:
        answer = world.send("/once/x", headers=headers, request_id=request_id)
    except urllib3.exceptions.HTTPError as error:
        answers[request_id] = error
    else:
        answers[request_id] = (answer.status, time.monotonic() - began_s)


@when("a caller streams, the gateway gets SIGTERM, and others go on sending")
def step_stop_while_streaming(context):
    context.answers = {}
    process = context.platform.gateways[0].process
    threads = [threading.Thread(target=_stream, args=(context, "cut", context.answers))]
    threads[0].start()
    time.sleep(0.4)
    process.send_signal(signal.SIGTERM)
    time.sleep(0.1)
    for number in range(8):
        arguments = (context, f"late-{number}", context.answers)
        threads.append(threading.Thread(target=_stream, args=arguments))
        threads[-1].start()
        time.sleep(0.2)
    for thread in threads:
        thread.join()
    process.wait()


@then("no stream was begun after the SIGTERM, and those refused came back at once")
def step_none_begun(context):
    (engine,) = context.platform.replicas.values()
    late = [
        seen.headers["X-Request-Id"]
        for seen in engine.seen
        if seen.headers["X-Request-Id"].startswith("late")
    ]
    assert not late, (late, context.answers)
    refused = [a for name, a in context.answers.items() if name.startswith("late")]
    assert len(refused) == 8, refused
    assert all(status == 503 and took_s < 0.3 for status, took_s in refused), refused


@then("the stream that was cut is named in a line, with the stop as its cause")
def step_named_cut(context):
    lines = context.platform.gateways[0].lines()
    cuts = [line for line in lines if line["event"] == "Request cut."]
    assert [(line["request"], line["by"]) for line in cuts] == [("cut", "stop")], cuts


# Large fleets.

PORTS_PER_INSTANCE = 7


@when("one process asks for the ports of {count:d} instances")
def step_ports(context, count):
    context.ports = [free_port() for _ in range(count * PORTS_PER_INSTANCE)]


@then("none of them was given twice")
def step_ports_differ(context):
    assert len(set(context.ports)) == len(context.ports)
