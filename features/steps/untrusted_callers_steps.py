"""Steps for crowds of callers that take a router's memory and connections."""

import functools
import json
import socket

import attrs
from behave import given, then, when
from crowd_world import Crowd, UsageWatch, send_ordinary
from fleet_steps import HTTP, post_completion, prompt_of, start_fleet
from platform_world import wait_until

from kumquatseam.bench import MODEL, FleetPlan
from kumquatseam.settings import CallerSettings

#: low, so that small crowds show what large ones take.
MAX_BODY_BYTES = 1_000_000
MAX_HEADER_BYTES = 16_384
#: how long the callers of a crowd stay once they have sent what they send.
HOLD_S = 6.0
#: how long an engine takes for a token, so that the crowd's completions wait.
TOKEN_MS = 300
KEY = "key-alpha"
KB = 1000
COMPLETION = {"model": MODEL, "prompt": prompt_of(8), "max_tokens": 1}
COMPLETIONS_PATH = "/v1/completions"
LARGE_PATH = "/services/portal/large"
#: not on engines, which the crowd's completions may keep busy.
ORDINARY_PATH = "/services/portal/small"
CHUNKED = "Transfer-Encoding: chunked"
LARGE_LENGTH = f"Content-Length: {MAX_BODY_BYTES + 1}"
LARGE_FIELD = "X-Note: " + "a" * (MAX_HEADER_BYTES + 1)
LARGE_CHUNK = b"%x\r\n%b\r\n" % (MAX_BODY_BYTES + 1, b"x" * (MAX_BODY_BYTES + 1))


@given("a router with {memory_mb:d} MB and {descriptors:d} descriptors")
def step_router(context, memory_mb, descriptors):
    limits = {"max_body_bytes": MAX_BODY_BYTES, "max_header_bytes": MAX_HEADER_BYTES}
    _start_router(context, memory_mb, descriptors, limits)


@given(
    "a router with {memory_mb:d} MB and {descriptors:d} descriptors, "
    "and the limits of its defaults"
)
def step_router_defaults(context, memory_mb, descriptors):
    _start_router(context, memory_mb, descriptors, {})


def _start_router(context, memory_mb, descriptors, limits):
    engine_options = {"decode_ms_per_token": TOKEN_MS, "prefill_ms_per_token": 0}
    plan = FleetPlan(services=1, engine_options=engine_options)
    machine = {"memory_mb": memory_mb, "max_descriptors": descriptors}
    sections = {"callers": {**machine, **limits}}
    fleet = start_fleet(context, attrs.evolve(plan, sections=sections))
    context.router = fleet.routers[0]
    context.crowd_path = COMPLETIONS_PATH
    context.watch = UsageWatch(lambda: context.router.program.process)
    context.watch.start()
    context.add_cleanup(context.watch.close)


@given(
    "a router with {memory_mb:d} MB and {descriptors:d} descriptors, "
    "whose service answers with {answer_mb:d} MB"
)
def step_router_service(context, memory_mb, descriptors, answer_mb):
    step_router(context, memory_mb, descriptors)
    faults = json.dumps({"answer_bytes": answer_mb * 1_000_000})
    HTTP.request("PUT", f"{context.fleet.services[0]}/standin/faults", body=faults)
    context.crowd_path = LARGE_PATH


@when("a crowd of {count:d} callers sends {kind}")
def step_crowd(context, count, kind):
    context.crowd = Crowd(
        authorization=f"Bearer {KEY}",
        port=context.router.port,
        path=context.crowd_path,
        kind=kind,
        count=count,
        body_bytes=MAX_BODY_BYTES,
        head_bytes=MAX_HEADER_BYTES,
        hold_s=HOLD_S,
        model=MODEL,
    )
    context.add_cleanup(context.crowd.close)
    context.crowd.start()
    context.crowd.wait_settled()


@then("an ordinary call is answered while they stay, and one after they left")
def step_ordinary(context):
    send = functools.partial(_send, context, ORDINARY_PATH, b"question")
    during = send_ordinary(send)
    context.crowd.wait_left()
    after = send_ordinary(send)
    last = (during[-1], after[-1])
    assert last == (200, 200), (during, after, context.watch.most)


@then("the router lives, with at most {memory_mb:d} MB and {count:d} descriptors")
def step_usage(context, memory_mb, count):
    process = context.router.program.process
    assert process.poll() is None, process.returncode
    most = context.watch.close()
    print(most)
    assert most.memory_mb + most.files_mb <= memory_mb, most
    assert most.descriptors <= count, most


@when("one caller sends a completion in chunks")
def step_chunked(context):
    body = json.dumps(COMPLETION).encode()
    response = _send(context, COMPLETIONS_PATH, iter([body[:10], body[10:]]))
    context.status, context.answer = response.status, response.data


@when("one caller sends a completion of the largest size {how}")
def step_largest(context, how):
    call = {**COMPLETION, "prompt": ""}
    left_bytes = CallerSettings().max_body_bytes - len(json.dumps(call))
    # Short words: each is a token.
    call["prompt"] = ("ab " * (left_bytes // 3)).ljust(left_bytes)
    body = json.dumps(call).encode()
    assert len(body) == CallerSettings().max_body_bytes, len(body)
    pieces = (body[at : at + 65_536] for at in range(0, len(body), 65_536))
    sent = pieces if how == "in chunks" else body
    response = _send(context, COMPLETIONS_PATH, sent)
    context.status, context.answer = response.status, response.data


@when("one caller sends a body that is too large")
def step_large_body(context):
    _send_raw(context, [LARGE_LENGTH])


@when("one caller sends chunks that are too large")
def step_large_chunks(context):
    _send_raw(context, [CHUNKED], LARGE_CHUNK)


@when("one caller sends a head that is too large")
def step_large_head(context):
    _send_raw(context, [LARGE_FIELD, "Content-Length: 0"])


@when("one caller sends what is no request")
def step_no_request(context):
    _send_raw(context, ["no field"])


@when("one caller sends a call of an unknown path")
def step_unknown_path(context):
    response = _send(context, "/unknown", b"")
    context.status, context.answer = response.status, response.data


@then("it is answered with status {status:d}")
def step_status(context, status):
    assert context.status == status, (context.status, context.answer)


@then("it is answered with status {status:d}, and an error as JSON")
def step_json_error(context, status):
    step_status(context, status)
    assert json.loads(context.answer)["error"]["message"], context.answer


def _send(context, path, body):
    return HTTP.request(
        "POST",
        f"{context.router.url}{path}",
        body=body,
        headers={
            "Authorization": f"Bearer {KEY}",
            "Content-Type": "application/json",
            "Connection": "close",
        },
    )


def _send_raw(context, fields: list[str], body: bytes = b"") -> None:
    """Send a request as it is; note its answer."""
    lines = [
        f"POST {COMPLETIONS_PATH} HTTP/1.1",
        "Host: a.example",
        f"Authorization: Bearer {KEY}",
        *fields,
    ]
    head = "".join(f"{line}\r\n" for line in lines).encode()
    with socket.create_connection(("127.0.0.1", context.router.port), 5) as connection:
        connection.sendall(head + b"\r\n" + body)
        received = b""
        while data := connection.recv(65_536):
            received += data
    head, _, context.answer = received.partition(b"\r\n\r\n")
    context.status = int(head.split()[1])


@when("one caller sends {sent_kb:d} KB of a body of {size_kb:d} KB, and waits")
def step_part(context, sent_kb, size_kb):
    context.held_before = _held_bytes(context)
    address = ("127.0.0.1", context.router.port)
    context.caller = socket.create_connection(address, 5)
    context.add_cleanup(context.caller.close)
    length = f"Content-Length: {size_kb * KB}"
    head = f"POST {COMPLETIONS_PATH} HTTP/1.1\r\nHost: a\r\n{length}\r\n\r\n"
    context.caller.sendall(head.encode() + b"x" * (sent_kb * KB))


@then(
    "the status tells that {size_kb:d} KB are held, "
    "and nothing of it once the caller left"
)
def step_status_tells(context, size_kb):
    def holds_body():
        return _held_bytes(context) - context.held_before >= size_kb * KB

    wait_until("the body is counted", holds_body)
    context.caller.close()
    wait_until("it is no longer", lambda: not holds_body())


def _held_bytes(context) -> int:
    status = HTTP.request("GET", f"{context.router.url}/kumquatseam/status").json()
    return status["buffers"]["held_bytes"]


@when("one caller leaves in the middle of a stream")
def step_leave(context):
    response = post_completion(context, KEY, prompt_of(8), stream=True, max_tokens=20)
    assert response.status == 200, response.status
    response.read(1)
    response.close()


@then("the router's log tells that its response was not received")
def step_log_tells(context):
    said = f"Response to a request of {COMPLETIONS_PATH} not received"
    wait_until(
        "the log tells it",
        lambda: any(said in line for line in context.router.log_lines("callers")),
    )
