"""Steps that start a router and stand-in engines and talk to them over HTTP."""

import configparser
import json
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import sseclient
import urllib3
from behave import given, then, when

from kumquatseam.bench._processes import daemon_program, engine_program

HTTP = urllib3.PoolManager(
    maxsize=16, retries=False, timeout=urllib3.Timeout(connect=2, read=20)
)
WAIT_S = 10.0
BLOCK_SIZE_TOKENS = 16


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def write_settings(folder: Path, engines: list[dict], router_port: int) -> Path:
    names = ", ".join(e["name"] for e in engines)
    lines = [
        "[daemon]",
        f"listen = 127.0.0.1:{router_port}",
        "zone = kobanya",
        "policy = prefix_aware",
        f"block_size_tokens = {BLOCK_SIZE_TOKENS}",
        "engine_dead_after_s = 3",
        "index_entry_ttl_s = 30",
        "prefill_ms_per_token = 0.2",
        "queue_ms_per_request = 60",
        "connect_timeout_s = 0.5",
        "read_timeout_s = 10",
        "drain_timeout_s = 5",
        "[priority:checklist]",
        "rank = 0",
        "[model:zaras-7b]",
        "version = v1",
    ]
    for engine in engines:
        lines += [
            f"[upstream:{engine['name']}]",
            f"url = http://127.0.0.1:{engine['port']}",
            f"events = tcp://127.0.0.1:{engine['events_port']}",
            "zone = kobanya",
            "models = zaras-7b",
            "slots = 4",
        ]
    for team in ("alpha", "beta"):
        lines += [
            f"[team:{team}]",
            f"api_keys = key-{team}",
            "priority_classes = checklist",
            "models = zaras-7b",
            f"upstreams = {names}",
        ]
    path = folder / "settings.ini"
    path.write_text("\n".join(lines) + "\n")
    return path


def start(context, program):
    program.start()
    context.programs.append(program)
    return program


@given("a router before {count:d} stand-in engine that decodes a token every {ms:d} ms")
def step_slow_fleet(context, count, ms):
    context.engine_options = {"decode_ms_per_token": ms}
    step_fleet(context, count)


@given("a router before {count:d} stand-in engine that crosses its answers")
def step_crossing_fleet(context, count):
    context.engine_options = {"crossed_answers": True}
    step_fleet(context, count)


@given("a router before {count:d} stand-in engines")
@given("a router before {count:d} stand-in engine")
def step_fleet(context, count):
    context.folder = Path(tempfile.mkdtemp(prefix="kumquatseam-test-"))
    context.engines = []
    for index in range(count):
        engine = {
            "name": f"engine-{index}",
            "port": free_port(),
            "events_port": free_port(),
        }
        engine["program"] = start(context, _engine_program(context, engine))
        context.engines.append(engine)
    context.router_port = free_port()
    context.settings_path = write_settings(
        context.folder, context.engines, context.router_port
    )
    context.daemon_log = context.folder / "kumquatseamd.log"
    start(
        context,
        daemon_program(
            context.router_port,
            str(context.settings_path),
            log_path=str(context.daemon_log),
        ),
    )
    context.daemon = context.programs[-1]
    context.request_ids = []
    context.prompt = None


def _engine_program(context, engine):
    return engine_program(
        engine["name"],
        engine["port"],
        engine["events_port"],
        seed=3,
        log_path=str(context.folder / f"{engine['name']}.log"),
        **getattr(context, "engine_options", {}),
        event_loss_ratio=0,
        event_delay_s=0.05,
        load_lag_s=0.1,
    )


def prompt_of(tokens: int) -> str:
    return " ".join(f"tetel{i}" for i in range(tokens))


def post_completion(context, key: str, prompt: str, stream: bool, max_tokens: int):
    """POST to the router's /v1/completions; the answer is left unread."""
    body = {
        "model": "zaras-7b",
        "prompt": prompt,
        "stream": stream,
        "max_tokens": max_tokens,
    }
    return HTTP.request(
        "POST",
        f"http://127.0.0.1:{context.router_port}/v1/completions",
        body=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {key}", "Content-Type": "application/json"},
        preload_content=False,
    )


def send(context, key: str, prompt: str, stream: bool, max_tokens: int = 4):
    response = post_completion(context, key, prompt, stream, max_tokens)
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


def daemon_log(context) -> list[str]:
    return context.daemon_log.read_text().splitlines()


@then("the router logged a route line for every request")
def step_route_lines(context):
    lines = [line for line in daemon_log(context) if " route: " in line]
    for request_id in context.request_ids:
        assert any(f"request={request_id} " in line for line in lines), request_id


@then("the router logged matched_blocks={figure} for the last request")
def step_route_matched(context, figure):
    request_id = context.request_ids[-1]
    line = next(x for x in daemon_log(context) if f"route: request={request_id} " in x)
    assert f" matched_blocks={figure} " in line, line


def engine_stats(context, index: int = 0) -> dict:
    engine = context.engines[index]
    return json.loads(
        HTTP.request("GET", f"http://127.0.0.1:{engine['port']}/stats").data
    )


@then(
    "by the engine's accounting request {number:d} was served {tokens:d} cached tokens"
)
def step_engine_cached(context, number, tokens):
    seen = engine_stats(context)["recent_requests"]
    assert seen[number - 1]["cached_tokens"] == tokens, seen


@then("the engine has seen {count:d} requests")
def step_engine_requests(context, count):
    assert engine_stats(context)["requests"] == count


@then("the caller got status {status:d}")
def step_status(context, status):
    assert context.status == status, context.status


def router_status(context) -> dict:
    url = f"http://127.0.0.1:{context.router_port}/kumquatseam/status"
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
    def indexed():
        engine = router_status(context)["engines"]["engine-0"]
        return engine if engine["index_blocks"] == count else None

    context.old_epoch = wait_for(indexed, f"{count} indexed blocks")["epoch"]


@when('the router restarts with model version "{version}"')
def step_router_new_version(context, version):
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(context.settings_path)
    parser["model:zaras-7b"]["version"] = version
    with context.settings_path.open("w") as file:
        parser.write(file)
    step_router_restart(context)


@when("engine {index:d} freezes")
def step_engine_freeze(context, index):
    context.engines[index]["program"].pause()


@when("the router has not heard from engine {index:d} for {seconds:f} seconds")
def step_wait_silence(context, index, seconds):
    time.sleep(seconds)


@when('team "{team}" sends {count:d} different prompts')
def step_send_many(context, team, count):
    for number in range(count):
        send(context, f"key-{team}", prompt_of(40 + number), stream=False)


@then("the router routed every request to {engine}")
def step_routed_to(context, engine):
    lines = [x for x in daemon_log(context) if " route: " in x]
    assert lines and all(f" engine={engine} " in x for x in lines), lines


@when("the router is killed and started again")
def step_router_restart(context):
    context.daemon.kill()
    context.daemon = start(
        context,
        daemon_program(
            context.router_port,
            str(context.settings_path),
            log_path=str(context.daemon_log),
        ),
    )


@when("the engine crashes and comes back empty")
def step_engine_restart(context):
    engine = context.engines[0]
    engine["program"].kill()
    engine["program"] = start(context, _engine_program(context, engine))


@then("the router soon sees the engine's new epoch and indexes {count:d} blocks of it")
def step_new_epoch(context, count):
    def renewed():
        engine = router_status(context)["engines"]["engine-0"]
        return engine if engine["epoch"] not in (None, context.old_epoch) else None

    engine = wait_for(renewed, "a new epoch")
    assert engine["index_blocks"] == count, engine


@given('a settings file whose [{section}] {key} is "{value}"')
def step_bad_settings(context, section, key, value):
    context.folder = Path(tempfile.mkdtemp(prefix="kumquatseam-test-"))
    engines = [{"name": "engine-0", "port": free_port(), "events_port": free_port()}]
    path = write_settings(context.folder, engines, free_port())
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(path)
    parser[section][key] = value
    with path.open("w") as file:
        parser.write(file)
    context.settings_path = path


@when("the daemon starts with that file")
def step_start_bad(context):
    context.exited = subprocess.run(
        [
            sys.executable,
            "-m",
            "kumquatseam.daemon",
            f"--settings={context.settings_path}",
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
    assert str(context.settings_path) in error and f"[{section}] {key}" in error, error
