"""Steps for the limits that upstreams announce."""

import time
from concurrent import futures

from behave import given, then, when
from crash_steps import send
from platform_steps import step_platform
from platform_world import HTTP, wait_until

from kumquatseam.http1 import Headers, ResponseHead
from kumquatseam.platform._headers import PlatformDialect
from kumquatseam.upstreams import NO_LIMIT_PER_S, LimitObservation

#: length of the window in which the users count requests, in seconds.
WINDOW_S = 4.0
#: a refusal of what has no room takes less than this, in seconds.
MAX_REFUSAL_S = 0.3
#: how long callers with a deadline of five seconds obey a Retry-After.
CALLER_WAIT_S = 5.0 / 3
#: requests that callers may have in progress at once.
MAX_CALLERS = 32


def _rate(text):
    return NO_LIMIT_PER_S if text == "none" else float(text)


@when('a response announces the limit "{text}"')
def step_response(context, text):
    head = ResponseHead(200, Headers([(b"Server-Limit", text.encode())]), 0, False)
    context.limit = PlatformDialect().read_response(head).limit_per_s


@then("the limit read is {limit}")
def step_read(context, limit):
    expected = None if limit == "unreadable" else float(limit)
    assert context.limit == expected, context.limit


@given(
    "a response that announced {rate} to a request sent at {sent:g}, received at "
    "{received:g}"
)
def step_first_response(context, rate, sent, received):
    context.known = LimitObservation(_rate(rate), sent, received)


@when(
    "a response announces {rate} to a request sent at {sent:g}, received at "
    "{received:g}"
)
def step_second_response(context, rate, sent, received):
    second = LimitObservation(_rate(rate), sent, received)
    context.known = context.known.merge(second)


@then("the limit in force is {rate}")
def step_in_force(context, rate):
    known = context.known.rate_per_s
    assert known == _rate(rate), known


@given('the engine "{name}" announces a limit of {rate:g} requests a second')
def step_announces(context, name, rate):
    context.platform.replicas[name].limit_per_s = rate


@when("callers send {count:d} requests one by one")
def step_send(context, count):
    world = context.platform
    for number in range(count):
        headers = world.stream_headers(part=f"{number:08x}")
        world.send("/once/x", headers=headers)


@then('the gateway logged that the limit of "{name}" is {rate:g} requests a second')
def step_logged(context, name, rate):
    gateway = context.platform.gateways[0]
    wait_until(
        "the limit is logged",
        lambda: any(
            line["event"] == "Limit of an upstream changed."
            and line["upstream"].startswith(name)
            and line["rate_per_s"] == rate
            for line in gateway.lines()
        ),
    )


@then('its placements on "{name}" name the limit and its age')
def step_placements(context, name):
    placed = [
        line
        for line in context.platform.gateways[0].lines()
        if line["event"] == "Placed." and line["upstream"].startswith(name)
    ]
    # The first one was placed before the engine announced its limit.
    named = [line for line in placed if "limit_per_s" in line]
    assert named, placed
    assert all(line["limit_age_s"] >= 0 for line in named), named


@then("its metrics show one limited upstream and the requests sent there")
def step_metrics(context):
    port = context.platform.gateways[0].ports["metrics"]
    text = HTTP.request("GET", f"http://127.0.0.1:{port}/metrics").data.decode()
    assert "kumquatseam_upstreams_limited 1.0" in text, text
    (line,) = [
        line
        for line in text.splitlines()
        if line.startswith("kumquatseam_limited_upstreams_requests_total ")
    ]
    assert float(line.split()[1]) >= 1, line


@given(
    "{gateways:d} gateways in front of {count:d} {upstreams}, one of which accepts "
    "{rate:g} requests a second"
)
def step_limited(context, gateways, count, upstreams, rate):
    step_platform(context)
    world = context.platform
    version = 1 if upstreams == "engines" else None
    for number in range(count):
        world.add_replica(upstreams, f"{upstreams}-{number}", version=version)
    world.add_route("/once/", "stream", "engines", maxAttempts=1)
    world.add_route("/safe/", "idempotent", "plain")
    world.put_configuration()
    world.name_weights(1)
    for _ in range(gateways):
        world.add_gateway()
    context.limited = world.replicas[f"{upstreams}-0"]
    context.limited.limit_per_s = rate
    context.callers = futures.ThreadPoolExecutor(MAX_CALLERS)
    world.on_close.append(lambda: context.callers.shutdown(cancel_futures=True))


@when(
    'callers send {rate:d} requests a second to "{path}" for {for_s:d} seconds, to '
    "each gateway in turn"
)
def step_send_steadily(context, rate, path, for_s):
    world = context.platform
    context.began_s = time.monotonic()
    sent = []
    for number in range(rate * for_s):
        time.sleep(max(0.0, context.began_s + number / rate - time.monotonic()))
        gateway = number % len(world.gateways)
        arguments = (world, f"{path}{number}", number, gateway)
        sent.append(context.callers.submit(send, *arguments))
    context.results = [future.result() for future in sent]


@then(
    "from a second after it announced its limit it never got more than {most:d} in 4 "
    "seconds"
)
def step_within_limit(context, most):
    arrived = [s.began_s for s in context.limited.seen if s.ran]
    assert arrived, "no request reached the upstream"
    worst = most_in_window(arrived)
    assert worst <= most, f"{worst} requests in {WINDOW_S} s"


def most_in_window(times):
    """Return the most requests in any window from a second after the first one."""
    later = [at_s for at_s in times if at_s > min(times) + 1.0]
    return max(
        (sum(at <= other < at + WINDOW_S for other in later) for at in later), default=0
    )


@then("all callers were answered")
def step_all_answered(context):
    failed = [result for result in context.results if result.status != 200]
    assert not failed, failed


@given("the others refuse all requests")
def step_others_refuse(context):
    for replica in context.platform.replicas.values():
        if replica is not context.limited:
            replica.script.extend(["refuse"] * 1000)


@then("the other callers were told at once that their requests were not run")
def step_others_refused(context):
    statuses = {result.status for result in context.results}
    assert statuses == {200, 503}, statuses
    slowest_s = max(r.took_s for r in context.results if r.status == 503)
    assert slowest_s < MAX_REFUSAL_S, slowest_s


@when(
    'callers send {rate:d} requests a second to "{path}" for {for_s:d} seconds, and '
    "return once as told"
)
def step_send_and_return(context, rate, path, for_s):
    world = context.platform

    def send_and_return(number):
        answers = [world.send(f"{path}{number}", "GET")]
        if answers[0].status == 503:
            time.sleep(float(answers[0].headers["Retry-After"]))
            answers.append(world.send(f"{path}{number}", "GET"))
        return answers

    began_s = time.monotonic()
    sent = []
    for number in range(rate * for_s):
        time.sleep(max(0.0, began_s + number / rate - time.monotonic()))
        sent.append(context.callers.submit(send_and_return, number))
    context.answers = [future.result() for future in sent]


@then("all callers that were told to return within their time were served")
def step_returned(context):
    told = [
        answers
        for answers in context.answers
        if len(answers) == 2
        and float(answers[0].headers["Retry-After"]) < CALLER_WAIT_S
    ]
    assert len(told) > 3, len(told)
    statuses = [answers[1].status for answers in told]
    assert set(statuses) == {200}, statuses
