"""Steps for announced limits at the routers of the product's own interface."""

import json
import time
from concurrent import futures

import attrs
from behave import given, then, when
from control_steps import step_controlled_fleet
from fleet_steps import HTTP, post_completion, prompt_of
from upstream_limits_steps import MAX_CALLERS, MAX_REFUSAL_S, most_in_window


@attrs.frozen
class RouterAnswer:
    """The response of a router.

    :param status: its status.
    :param took_s: time until it was read.
    :param retry_after_s: its Retry-After; ``None`` without one.
    :param run: whether the request ran, if the response says so.
    """

    status: int
    took_s: float
    retry_after_s: float | None = None
    run: str = ""


def _set_limit(url, rate):
    body = json.dumps({"limit_per_s": rate}).encode()
    HTTP.request("PUT", f"{url}/standin/faults", body=body)


@given(
    "a fleet of {routers:d} routers and {engines:d} engines, one of which accepts "
    "{rate:g} requests a second"
)
@given(
    "a fleet of {routers:d} routers and {engines:d} engine, which accepts {rate:g} "
    "requests a second"
)
def step_limited_engine(context, routers, engines, rate):
    step_controlled_fleet(context, routers, engines)
    url = context.fleet.engines[0].url
    _set_limit(url, rate)
    context.list_runs = lambda: _get(f"{url}/stats")["recent_requests"]


@given(
    "a fleet of {routers:d} routers in front of a plain service of {count:d} "
    "replicas, one of which accepts {rate:g} calls a second"
)
def step_limited_service(context, routers, count, rate):
    step_controlled_fleet(context, routers, 1, services=count)
    url = context.fleet.services[0]
    _set_limit(url, rate)
    context.list_runs = lambda: _get(f"{url}/standin/stats")["runs"]


def _get(url):
    return json.loads(HTTP.request("GET", url).data)


@when(
    "callers send the routers {rate:d} prompts a second for {for_s:d} seconds, each in "
    "turn"
)
def step_send_prompts(context, rate, for_s):
    def send(number):
        router = number % len(context.fleet.routers)
        prompt = f"p{number} {prompt_of(40)}"
        return post_completion(context, "key-alpha", prompt, False, 2, router)

    _send_steadily(context, rate, for_s, send)


@when(
    "callers send the routers {rate:d} calls a second for {for_s:d} seconds, each in "
    "turn"
)
def step_send_calls(context, rate, for_s):
    def send(number):
        routers = context.fleet.routers
        return HTTP.request(
            "GET",
            f"{routers[number % len(routers)].url}/services/portal/{number}",
            headers={"Authorization": "Bearer key-alpha"},
            preload_content=False,
        )

    _send_steadily(context, rate, for_s, send)


def _send_steadily(context, rate, for_s, send):
    """Send requests at a steady rate, and read their responses."""

    def serve(number):
        sent_s = time.monotonic()
        response = send(number)
        body = json.loads(response.read())
        error = body.get("error", {})
        after = response.headers.get("Retry-After")
        return RouterAnswer(
            response.status,
            time.monotonic() - sent_s,
            float(after) if after else None,
            error.get("run", ""),
        )

    began_s = time.monotonic()
    with futures.ThreadPoolExecutor(MAX_CALLERS) as callers:
        sent = []
        for number in range(rate * for_s):
            time.sleep(max(0.0, began_s + number / rate - time.monotonic()))
            sent.append(callers.submit(serve, number))
        context.router_answers = [future.result() for future in sent]


@then("from a second after its first run it never ran more than {most:d} in 4 seconds")
def step_within_limit(context, most):
    began = [run["began_s"] for run in context.list_runs()]
    assert began, "it ran nothing"
    worst = most_in_window(began)
    assert worst <= most, worst


@then("all callers of the routers were answered")
def step_answered(context):
    statuses = {answer.status for answer in context.router_answers}
    assert statuses == {200}, statuses


@then("the callers refused were told at once that it was not run, and when to return")
def step_refused(context):
    refused = [a for a in context.router_answers if a.status != 200]
    assert len(refused) > 10, len(refused)
    for answer in refused:
        assert answer.status == 503, answer
        assert answer.took_s < MAX_REFUSAL_S, answer
        assert answer.run == "not_run", answer
        assert answer.retry_after_s > 0, answer
