"""Steps for limits, retries and idempotency keys under faults."""

import contextlib
import json
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from control_steps import set_log_faults, step_controlled_fleet
from fault_steps import stream_events
from fleet_steps import HTTP, engine_stats, post_completion, prompt_of, send, wait_for


@given(
    "a fleet of {routers:d} router and {engines:d} engines that decode a token every "
    "{ms:d} ms"
)
def step_slow_router(context, routers, engines, ms):
    step_controlled_fleet(
        context, routers, engines, engine_options={"decode_ms_per_token": ms}
    )


@given("a fleet of 1 router and {engines:d} engines of which engine 0 hangs")
def step_hanging(context, engines):
    step_controlled_fleet(
        context, 1, engines, more={"admission": {"first_byte_timeout_s": 0.5}}
    )
    engine = context.fleet.engines[0]
    HTTP.request("PUT", f"{engine.url}/standin/faults", body=b'{"hang": true}')


@given("a fleet of 1 router in front of a plain service of {count:d} replicas")
def step_service_fleet(context, count):
    step_controlled_fleet(context, 1, 1, services=count)


@given(
    "a fleet of 1 router and 1 engine of {slots:d} slots that decodes a token every "
    "{ms:d} ms"
)
def step_small_engine(context, slots, ms):
    step_controlled_fleet(
        context, 1, 1, slots=slots, engine_options={"decode_ms_per_token": ms}
    )


@when("a caller streams a {tokens:d}-token response and its engine is killed half-way")
def step_kill_serving_engine(context, tokens):
    def kill():
        running = [
            e for i, e in enumerate(context.fleet.engines) if has_served(context, i)
        ]
        running[0].program.kill()

    def kill_later():
        threading.Timer(tokens / 2 * 0.04, kill).start()

    context.expected_tokens = tokens
    context.events = stream_events(context, tokens, on_first_token=kill_later)


def has_served(context, index: int) -> bool:
    return engine_stats(context, index)["requests"] > 0


@then("the stream is complete and equals an uninterrupted response")
def step_same(context):
    assert context.events[-1] == "[DONE]", context.events[-1]
    chunks = [json.loads(event) for event in context.events[:-1]]
    text = "".join(c["choices"][0]["text"] for c in chunks if c["choices"])
    assert len(text.split()) == context.expected_tokens
    send(context, "key-alpha", prompt_of(48), False, context.expected_tokens)
    assert context.answer["choices"][0]["text"] == text


@then("all {count:d} got complete responses from {engine}")
def step_by_engine(context, count, engine):
    lines = context.fleet.routers[0].log_lines("callers")
    answered = [line for line in lines if " answered " in line]
    assert len(answered) == count, lines
    assert all(f" engine={engine} " in line for line in answered), answered


@when('team "{team}" sends a request with idempotency key "{key}" to router {index:d}')
def step_idempotent(context, team, key, index):
    headers = {"Idempotency-Key": key}
    send(context, f"key-{team}", prompt_of(32), False, router=index, **headers)


@when('team "{team}" retries a request with idempotency key "{key}" until it succeeds')
def step_idempotent_until_success(context, team, key):
    def succeeds():
        step_idempotent(context, team, key, 0)
        return context.status == 200

    wait_for(succeeds, "the request with an idempotency key to succeed")


@when("the log service comes back")
def step_log_back(context):
    set_log_faults(context, down=False)


def call_portal(context, method: str):
    response = HTTP.request(
        method,
        f"{context.fleet.routers[0].url}/services/portal/tickets",
        body=b"lodge" if method == "POST" else None,
        headers={"Authorization": "Bearer key-alpha"},
    )
    context.status = response.status
    context.answer = json.loads(response.data)


@when("the service loses the response to a {method}")
def step_lose_service_answer(context, method):
    # For a GET only one replica loses a response; the round-robin order decides which
    # replica is called first.
    for url in context.fleet.services:
        HTTP.request("PUT", f"{url}/standin/faults", body=b'{"lose_answers": 1}')
        if method == "GET":
            break
    call_portal(context, method)
    for url in context.fleet.services:
        HTTP.request("PUT", f"{url}/standin/faults", body=b'{"lose_answers": 0}')


@then("the caller gets an error that says the call may have run")
def step_may_have_run(context):
    assert context.status == 502, context.status
    assert context.answer["error"]["run"] == "may_have_run", context.answer


@then("the service ran {count:d} {method} call")
def step_service_runs(context, count, method):
    runs = []
    for url in context.fleet.services:
        runs += json.loads(HTTP.request("GET", f"{url}/standin/stats").data)["runs"]
    assert sum(run["method"] == method for run in runs) == count, runs


def answer_of(context, team: str, priority: str, number: int) -> tuple[int, dict, str]:
    headers = {"X-Kumquatseam-Priority": priority}
    prompt = f"{priority}{number} {prompt_of(16)}"
    response = post_completion(context, f"key-{team}", prompt, False, 8, **headers)
    body = json.loads(response.read())
    return response.status, body, response.headers.get("Retry-After")


def send_at_once(context, wanted: list[tuple[str, str]]) -> list[tuple]:
    with ThreadPoolExecutor(len(wanted)) as pool:
        futures = []
        for number, (team, priority) in enumerate(wanted):
            futures.append(pool.submit(answer_of, context, team, priority, number))
            time.sleep(0.005)
        return [future.result() for future in futures]


@when("{high:d} checklist and {low:d} notes requests arrive at once")
def step_burst(context, high, low):
    wanted = [("alpha", "notes")] * low + [("alpha", "checklist")] * high
    context.priorities = [priority for _, priority in wanted]
    context.answers = send_at_once(context, wanted)


@then("every checklist request got a complete response")
def step_checklist_answered(context):
    for priority, answer in zip(context.priorities, context.answers, strict=True):
        if priority == "checklist":
            assert answer[0] == 200, answer
            assert len(answer[1]["choices"][0]["text"].split()) == 8


@then("some notes requests were refused as not run, with a retry delay")
def step_notes_shed(context):
    refused = [answer for answer in context.answers if answer[0] != 200]
    assert refused
    for status, body, retry_after in refused:
        assert status == 429 and float(retry_after) > 0, (status, retry_after)
        assert body["error"]["run"] == "not_run", body


@then("the log of routing decisions has a line for every request")
def step_line_each(context):
    lines = context.fleet.routers[0].log_lines("route")
    assert len(lines) == len(context.answers), len(lines)


@when('team "{first}" sends {many:d} requests at once and team "{second}" {few:d}')
def step_two_teams(context, first, many, second, few):
    wanted = [(first, "checklist")] * many + [(second, "checklist")] * few
    context.teams = [team for team, _ in wanted]
    context.answers = send_at_once(context, wanted)


@then(
    '{count:d} requests of "{team}" were refused with status {status:d} as not run and '
    "all others succeeded"
)
def step_team_refused(context, count, team, status):
    pairs = list(zip(context.teams, context.answers, strict=True))
    refused = [(t, answer) for t, answer in pairs if answer[0] != 200]
    assert [t for t, _ in refused] == [team] * count, context.answers
    for _, answer in refused:
        assert answer[0] == status and answer[1]["error"]["run"] == "not_run", answer


class Relay:
    """TCP relay that can stop forwarding on its open connections for good."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._epoch = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def stop_forwarding(self) -> None:
        """Keep the current connections open, but forward no more data on them."""
        self._epoch += 1

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            far = socket.create_connection(("127.0.0.1", self._target_port))
            for source, sink in ((near, far), (far, near)):
                arguments = (source, sink, self._epoch)
                threading.Thread(
                    target=self._forward, args=arguments, daemon=True
                ).start()

    def _forward(self, source, sink, epoch: int) -> None:
        # The thread of the other direction may close these sockets at any time.
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if epoch == self._epoch:
                    sink.sendall(data)
        if epoch == self._epoch:
            sink.close()


@given("a fleet of 1 router and 1 engine reached through a relay")
def step_relay(context):
    more = {"admission": {"first_byte_timeout_s": 0.5}}
    step_controlled_fleet(context, 1, 1, more=more)
    context.relay = Relay(context.fleet.engines[0].port)
    url = f"http://127.0.0.1:{context.relay.port}"
    context.console.apply(f'alter upstream engine-0 set url = "{url}"', "tester", 5.0)


@when("{count:d} requests open {same:d} connections, which then stop carrying data")
def step_go_silent(context, count, same):
    answers = send_at_once(context, [("alpha", "checklist")] * count)
    assert [answer[0] for answer in answers] == [200] * count, answers
    context.relay.stop_forwarding()


@when('team "{team}" sends one request and after it {count:d} at once')
def step_one_then_many(context, team, count):
    send(context, f"key-{team}", prompt_of(30), stream=False)
    time.sleep(1.2)
    answers = send_at_once(context, [(team, "checklist")] * count)
    context.statuses = [context.status, *(answer[0] for answer in answers)]


@then("only the first of them timed out")
def step_only_first(context):
    assert context.statuses == [502] + [200] * (len(context.statuses) - 1), (
        context.statuses
    )
