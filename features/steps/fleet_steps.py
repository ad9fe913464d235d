"""Steps that start a router and stand-in engines and call them over HTTP."""

import configparser
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import sseclient
import urllib3
from behave import given, then, when

from kumquatseam.bench import MODEL, FleetPlan, LocalFleet

HTTP = urllib3.PoolManager(
    maxsize=16, retries=False, timeout=urllib3.Timeout(connect=2, read=20)
)
WAIT_S = 10.0


def start_fleet(context, plan: FleetPlan) -> LocalFleet:
    context.folder = Path(tempfile.mkdtemp(prefix="kumquatseam-test-"))
    context.fleet = LocalFleet(plan, context.folder)
    context.fleet.start()
    context.request_ids = []
    context.prompt = None
    return context.fleet


@given(
    "a router in front of {count:d} stand-in engine that decodes a token every "
    "{ms:d} ms"
)
def step_slow_fleet(context, count, ms):
    start_fleet(
        context, FleetPlan(engines=count, engine_options={"decode_ms_per_token": ms})
    )


@given("a router in front of {count:d} stand-in engine that mixes up its responses")
def step_crossing_fleet(context, count):
    options = {"crossed_answers": True}
    start_fleet(context, FleetPlan(engines=count, engine_options=options))


@given("a router in front of {count:d} stand-in engines")
@given("a router in front of {count:d} stand-in engine")
def step_fleet(context, count):
    start_fleet(context, FleetPlan(engines=count))


def prompt_of(tokens: int) -> str:
    return " ".join(f"tetel{i}" for i in range(tokens))


def post_completion(
    context, key: str, prompt: str, stream: bool, max_tokens: int, router=0, **headers
):
    """POST to a router's /v1/completions and return the response unread."""
    body = {
        "model": MODEL,
        "prompt": prompt,
        "stream": stream,
        "max_tokens": max_tokens,
    }
    return HTTP.request(
        "POST",
        f"{context.fleet.routers[router].url}/v1/completions",
        body=json.dumps(body).encode(),
        headers={
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
            **headers,
        },
        preload_content=False,
    )


def send(context, key: str, prompt: str, stream: bool, max_tokens: int = 4, **options):
    response = post_completion(context, key, prompt, stream, max_tokens, **options)
    context.status = response.status
    context.retry_after = response.headers.get("Retry-After")
    if response.headers.get("X-Request-Id"):
        context.request_ids.append(response.headers["X-Request-Id"])
    if stream and response.status == 200:
        context.events = [
            e.data for e in sseclient.SSEClient(response.stream(256)).events()
        ]
    else:
        context.events = []
        context.answer = json.loads(response.read())
    response.release_conn()


@when(
    'team "{team}" streams a {tokens:d}-token prompt asking for {max_tokens:d} tokens'
)
def step_stream(context, team, tokens, max_tokens):
    context.prompt = prompt_of(tokens)
    context.max_tokens = max_tokens
    send(context, f"key-{team}", context.prompt, stream=True, max_tokens=max_tokens)


@when('team "{team}" sends a {tokens:d}-token prompt')
def step_send(context, team, tokens):
    context.prompt = prompt_of(tokens)
    send(context, f"key-{team}", context.prompt, stream=False)


@when('team "{team}" sends the same prompt')
def step_send_same(context, team):
    send(context, f"key-{team}", context.prompt, stream=False)


@when('a caller with the key "{key}" sends a {tokens:d}-token prompt')
def step_send_key(context, key, tokens):
    send(context, key, prompt_of(tokens), stream=False)


@then("the stream carries {count:d} tokens and ends with [DONE]")
def step_stream_complete(context, count):
    assert context.status == 200, context.status
    assert context.events[-1] == "[DONE]", context.events[-3:]
    chunks = [json.loads(e) for e in context.events[:-1]]
    texts = [c["choices"][0]["text"] for c in chunks if c["choices"]]
    assert len(texts) == count, texts
    context.streamed_text = "".join(texts)


@then("the streamed text equals the whole answer to the same prompt")
def step_stream_in_order(context):
    send(
        context,
        "key-alpha",
        context.prompt,
        stream=False,
        max_tokens=context.max_tokens,
    )
    assert context.answer["choices"][0]["text"] == context.streamed_text, context.answer


@then("the router logged a route line for every request")
def step_route_lines(context):
    lines = context.fleet.routers[0].log_lines("route")
    for request_id in context.request_ids:
        assert any(f"request={request_id} " in line for line in lines), request_id


@then("the router logged matched_blocks={figure} for the last request")
def step_route_matched(context, figure):
    request_id = context.request_ids[-1]
    line = next(
        line
        for line in context.fleet.routers[0].log_lines("route")
        if f"request={request_id} " in line
    )
    assert f" matched_blocks={figure} " in line, line


def engine_stats(context, index: int = 0) -> dict:
    url = f"{context.fleet.engines[index].url}/stats"
    return json.loads(HTTP.request("GET", url).data)


@then("the engine reports that request {number:d} used {tokens:d} cached tokens")
def step_engine_cached(context, number, tokens):
    requests = engine_stats(context)["recent_requests"]
    assert requests[number - 1]["cached_tokens"] == tokens, requests


@then("the engine has seen {count:d} requests")
def step_engine_requests(context, count):
    assert engine_stats(context)["requests"] == count


@then("the caller got status {status:d}")
def step_status(context, status):
    assert context.status == status, context.status


def router_status(context, index: int = 0) -> dict:
    url = f"{context.fleet.routers[index].url}/kumquatseam/status"
    return json.loads(HTTP.request("GET", url).data)


def wait_for(check, what: str):
    deadline_s = time.monotonic() + WAIT_S
    while time.monotonic() < deadline_s:
        found = check()
        if found:
            return found
        time.sleep(0.05)
    raise AssertionError(f"timed out waiting for {what}")


@then("the router soon indexes {count:d} blocks of the engine")
def step_indexes(context, count):
    def find_indexed():
        engine = router_status(context)["engines"]["engine-0"]
        return engine if engine["index_blocks"] == count else None

    context.old_epoch = wait_for(find_indexed, f"{count} indexed blocks")["epoch"]


@when('the router restarts with model version "{version}"')
def step_router_new_version(context, version):
    change_setting(context, f"model:{MODEL}", "version", version)
    context.fleet.restart_router(0)


def change_setting(context, section: str, key: str, value: str) -> None:
    path = context.fleet.routers[0].settings_path
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(path)
    parser[section][key] = value
    with path.open("w") as file:
        parser.write(file)


@when("engine {index:d} freezes")
def step_engine_freeze(context, index):
    context.fleet.engines[index].program.pause()


@when("the router has received nothing from engine {index:d} for {seconds:f} seconds")
def step_wait_silence(context, index, seconds):
    time.sleep(seconds)


@when('team "{team}" sends {count:d} different prompts')
def step_send_many(context, team, count):
    for number in range(count):
        send(context, f"key-{team}", prompt_of(40 + number), stream=False)


@then("the router routed every request to {engine}")
def step_routed_to(context, engine):
    lines = context.fleet.routers[0].log_lines("route")
    assert lines and all(f" engine={engine} " in x for x in lines), lines


@when("the router is killed and started again")
def step_router_restart(context):
    context.fleet.restart_router(0)


@when("the engine crashes and comes back empty")
def step_engine_restart(context):
    context.fleet.restart_engine(0)


@then("the router soon sees the engine's new epoch and indexes {count:d} blocks of it")
def step_new_epoch(context, count):
    def find_restarted():
        engine = router_status(context)["engines"]["engine-0"]
        return engine if engine["epoch"] not in (None, context.old_epoch) else None

    engine = wait_for(find_restarted, "a new epoch")
    assert engine["index_blocks"] == count, engine


@given('a settings file whose [{section}] {key} is "{value}"')
def step_bad_settings(context, section, key, value):
    start_fleet(context, FleetPlan())
    change_setting(context, section, key, value)


@when("the daemon starts with that file")
def step_start_bad(context):
    context.exited = subprocess.run(
        [
            sys.executable,
            "-m",
            "kumquatseam.daemon",
            f"--settings={context.fleet.routers[0].settings_path}",
        ],
        capture_output=True,
        text=True,
        timeout=30,
    )


@then("it exits with code 2 naming the file, [{section}] and {key}")
def step_exit_code(context, section, key):
    result = context.exited
    assert result.returncode == 2, (result.returncode, result.stderr[-500:])
    error = next(
        line for line in result.stderr.splitlines() if line.startswith("SettingsError")
    )
    assert (
        str(context.fleet.routers[0].settings_path) in error
        and f"[{section}] {key}" in error
    ), error
