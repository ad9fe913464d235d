"""Steps that inject faults: SIGTERM during streams, engine crashes and outages."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import sseclient
import urllib3
from behave import then, when
from fleet_steps import post_completion, prompt_of

#: delay between the start of the streams and the fault.
FAULT_DELAY_S = 0.3


def stream_events(context, max_tokens: int, on_first_token=None) -> list[str]:
    response = post_completion(context, "key-alpha", prompt_of(48), True, max_tokens)
    events = []
    for event in sseclient.SSEClient(response.stream(64)).events():
        events.append(event.data)
        if on_first_token and len(events) == 1:
            on_first_token()
    response.release_conn()
    return events


@when("{count:d} callers stream {tokens:d}-token responses at once")
def step_parallel_streams(context, count, tokens):
    context.pool = ThreadPoolExecutor(count)
    context.futures = [
        context.pool.submit(stream_events, context, tokens) for _ in range(count)
    ]
    context.expected_tokens = tokens


@when("the router gets SIGTERM while they stream")
def step_sigterm(context):
    time.sleep(FAULT_DELAY_S)
    context.fleet.routers[0].program.terminate()


@then("the router's log says that {count:d} requests were cut")
def step_cut_counted(context, count):
    router = context.fleet.routers[0]
    router.program.wait(timeout_s=15)
    lines = router.log_lines("callers")
    assert any(f"{count} requests were cut" in line for line in lines), lines
    for future in context.futures:
        # Their callers got no end.
        try:
            assert future.result(timeout=5)[-1] != "[DONE]"
        except urllib3.exceptions.HTTPError:
            continue


@when("the router gets SIGTERM")
def step_sigterm_idle(context):
    context.fleet.routers[0].program.terminate()


@then("the router exits with code {code:d} before its drain timeout of {limit_s:d} s")
def step_router_exits_early(context, code, limit_s):
    assert context.fleet.routers[0].program.wait(timeout_s=limit_s - 1) == code


@then("all {count:d} streams arrive complete and end with [DONE]")
def step_all_complete(context, count):
    results = [future.result(timeout=30) for future in context.futures]
    assert len(results) == count
    for events in results:
        assert events[-1] == "[DONE]", events[-2:]
        chunks = [json.loads(e) for e in events[:-1]]
        tokens = [c for c in chunks if c["choices"]]
        assert len(tokens) == context.expected_tokens, len(tokens)


@then("the router exits with code {code:d}")
def step_router_exit(context, code):
    assert context.fleet.routers[0].program.wait(timeout_s=20) == code


@when("a caller streams a {tokens:d}-token response and the engine is killed half-way")
def step_kill_mid_stream(context, tokens):
    engine = context.fleet.engines[0].program
    half_s = tokens / 2 * 0.04

    def kill_later():
        threading.Timer(half_s, engine.kill).start()

    context.events = stream_events(context, tokens, on_first_token=kill_later)


@then("the stream ends with an error that says the work may have run")
def step_error_may_have_run(context):
    last = json.loads(context.events[-1]) if context.events else context.answer
    assert last["error"]["run"] == "may_have_run", last


@then("the stream has no [DONE]")
def step_no_done(context):
    assert "[DONE]" not in context.events


@then("the stream carries no token")
def step_no_token(context):
    chunks = [json.loads(e) for e in context.events if e != "[DONE]"]
    assert not [c for c in chunks if c.get("choices")], chunks


@when("the engine crashes and stays down")
def step_engine_down(context):
    context.fleet.engines[0].program.kill()


@then("the refusal says that the request was not run and has a Retry-After header")
def step_not_run(context):
    assert context.answer["error"]["run"] == "not_run", context.answer
    assert context.retry_after is not None
