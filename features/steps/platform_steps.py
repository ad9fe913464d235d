"""Steps for the gateway process on stand-ins of the platform."""

import contextlib
import json
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import urllib3
from behave import given, then, when
from platform_world import KEY, PlatformWorld, wait_until

EVENTS = [f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 60)]


@given("the platform's stand-ins")
def step_platform(context):
    context.folder = Path(tempfile.mkdtemp(prefix="kumquatseam-platform-"))
    context.platform = PlatformWorld(context.folder)
    context.platform.start()


@given("a gateway in front of {count:d} plain replicas")
@given("a gateway in front of {count:d} plain replica")
def step_plain_gateway(context, count):
    step_platform(context)
    world = context.platform
    for number in range(count):
        world.add_replica("plain", f"p{number}")
    world.add_route("/plain/", "non_idempotent", "plain")
    world.add_route("/safe/", "idempotent", "plain")
    world.put_configuration()
    world.add_gateway()


@given("a gateway in front of {count:d} engines that stream {events:d} events")
def step_engine_gateway(context, count, events, pause_s=0.01):
    step_platform(context)
    world = context.platform
    for number in range(count):
        world.add_replica(
            "engines", f"e{number}", version=1, events=events, event_pause_s=pause_s
        )
    world.add_route("/resume/", "stream", "engines", resumable=True)
    world.add_route("/once/", "stream", "engines", maxAttempts=1)
    world.put_configuration()
    world.name_weights(1)
    world.add_gateway()


@given("a gateway in front of {count:d} engines that stream {events:d} events slowly")
def step_slow_engine_gateway(context, count, events):
    step_engine_gateway(context, count, events, pause_s=0.08)


@given("a gateway without a configuration")
def step_unconfigured(context):
    step_platform(context)
    context.platform.add_gateway(wait=False)
    context.first = context.platform.gateways[0]

    def try_send():
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return context.platform.send()

    context.answer = wait_until("the gateway responds", try_send)


# Requests.


@when("a caller with forged headers sends a request")
def step_forged(context):
    forged = {
        "X-Tenant": "beta",
        "X-Cache-Salt": "theirs",
        "X-Kv-Hold": "h",
        "X-Pin-Ms": "4000",
        "X-Kv-Backup": "127.0.0.1:1",
        "Kv-From": "127.0.0.1:1/h",
        "X-Expect-Instance": "nobody",
        "X-Kv-Source": "127.0.0.1:1",
        "X-Custom": "kept",
        "Connection": "close, X-Hop",
        "X-Hop": "dropped",
    }
    context.answer = context.platform.send(headers=forged)


@then("the replica gets the team, its own id, a shorter deadline and no forged header")
def step_check_forged(context):
    (seen,) = [s for r in context.platform.replicas.values() for s in r.seen]
    headers = {name.lower(): value for name, value in seen.headers.items()}
    assert headers["x-tenant"] == "alpha", headers
    assert headers["x-expect-instance"] == "p0", headers
    assert 0 < int(headers["x-deadline-ms"]) <= 3000, headers
    assert headers["x-custom"] == "kept", headers
    for name in ("authorization", "x-kv-hold", "x-pin-ms", "x-kv-backup", "kv-from"):
        assert name not in headers, headers
    for name in ("x-cache-salt", "x-kv-source", "x-hop"):
        assert name not in headers, headers


@when('a caller sends "{method}" to "{path}" and the replica\'s script is "{script}"')
def step_scripted(context, method, path, script):
    for replica in context.platform.replicas.values():
        replica.script.extend(script.split(","))
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        context.answer = None
        context.answer = context.platform.send(path, method)


@when('a caller sends "{method}" to "{path}" and one replica\'s script is "{script}"')
def step_scripted_one(context, method, path, script):
    """Give the script to the replica that gets the first attempt only."""
    replicas = list(context.platform.replicas.values())
    original = replicas[0].__class__._serve
    used = []

    def serve(self, http, body):
        if not used:
            used.append(self)
            self.script.extend(script.split(","))
        original(self, http, body)

    for replica in replicas:
        replica._serve = serve.__get__(replica)
    context.answer = None
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        headers = context.platform.stream_headers() if replicas[0].version else {}
        context.answer = context.platform.send(path, method, headers=headers)


@when('a caller sends "{method}" to "{path}"')
def step_send(context, method, path):
    headers = {}
    if any(r.version for r in context.platform.replicas.values()):
        headers = context.platform.stream_headers()
    context.answer = context.platform.send(path, method, headers=headers)


@when('a caller with the key "{key}" sends "{method}" to "{path}"')
def step_send_with_key(context, key, method, path):
    context.answer = context.platform.send(path, method, key=key)


@then("the caller's answer has status {status:d}")
def step_answer_status(context, status):
    assert context.answer is not None, "no response"
    assert context.answer.status == status, context.answer.status


@then('the caller\'s answer is "{body}"')
def step_answer_body(context, body):
    assert context.answer.data == body.encode(), context.answer.data
    assert "X-Replica-Signature" in context.answer.headers


@then("the caller gets a Retry-After header")
def step_retry_after(context):
    assert 0 < float(context.answer.headers["Retry-After"]) < 5


@then("the replicas ran {count:d} requests")
@then("the replicas ran {count:d} request")
def step_ran(context, count):
    assert context.platform.runs() == count, context.platform.runs()


@then("the next request gets its own response")
def step_next_request(context):
    answer = context.platform.send("/plain/next")
    assert (answer.status, answer.data) == (200, b"whole"), answer.data


# Streams.


@when(
    'a caller streams from "{path}" and its engine disconnects in the middle of an '
    "event"
)
def step_break(context, path):
    step_scripted_one(context, "POST", path, "break")


@then("the caller got every event once, in order")
def step_every_event(context):
    count = next(iter(context.platform.replicas.values())).events
    assert context.answer is not None, "the stream was interrupted"
    assert context.answer.data.decode() == "".join(EVENTS[:count]), context.answer.data


@then("the caller's stream ended visibly incomplete")
def step_incomplete(context):
    assert context.answer is None, context.answer.data


@when('{count:d} callers stream from "{path}" and new weights are released meanwhile')
def step_streams_in_rollout(context, count, path):
    world = context.platform
    context.answers = []

    def stream(number):
        headers = world.stream_headers(f"part{number}")
        try:
            answer = world.send(path, headers=headers)
            context.answers.append((answer.status, answer.data.decode()))
        except urllib3.exceptions.HTTPError as error:
            context.answers.append((0, repr(error)))

    threads = [threading.Thread(target=stream, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    world.name_weights(2)
    for thread in threads:
        thread.join()


@then("every stream is complete, with every event once and in order")
def step_all_whole(context):
    count = next(iter(context.platform.replicas.values())).events
    whole = (200, "".join(EVENTS[:count]))
    assert all(answer == whole for answer in context.answers), context.answers


@then("some runs were moved to another engine")
def step_moved(context):
    assert sum(len(r.moves) for r in context.platform.replicas.values()) > 0


@then("every engine soon runs version {version:d}, ordered under a fencing token")
def step_version(context, version):
    replicas = context.platform.replicas.values()
    wait_until(
        "every engine runs the new weights",
        lambda: all(r.version == version for r in replicas),
    )
    for replica in replicas:
        assert all(order["fence"] >= 0 for order in replica.orders), replica.orders


@then("the engines got {count:d} load orders in all")
def step_order_count(context, count):
    orders = sum(len(r.orders) for r in context.platform.replicas.values())
    assert orders == count, orders


@when("the answer to the first order is lost")
def step_lose_order(context):
    for replica in context.platform.replicas.values():
        replica.script.append("lose order")
    context.platform.name_weights(2)


# Connections.


def _connect(context):
    port = context.platform.gateways[0].ports["front"]
    opened = socket.create_connection(("127.0.0.1", port), 3)
    opened.settimeout(5)
    return opened


def _head(path="/plain/x", more="", length=0) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: raw1\r\n"
        f"X-Deadline-Ms: 4000\r\nAuthorization: Token {KEY}\r\n{more}"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


def _read_status(connection) -> int:
    data = connection.recv(4096)
    return int(data.split(b" ", 2)[1]) if data else 0


RAW_REQUESTS = {
    "a head that is too large": lambda: _head(more=f"X-Big: {'b' * 8000}\r\n"),
    "a body that is too large": lambda: _head(length=30_000) + b"x" * 30_000,
    "both a length and chunks": lambda: (
        _head(more="Transfer-Encoding: chunked\r\n")
        + b"0\r\n\r\nPOST /plain/smuggled HTTP/1.1\r\n\r\n"
    ),
    "two different lengths": lambda: _head(more="Content-Length: 5\r\n", length=6),
    "half a head and then nothing": lambda: _head()[:60],
    "no request id": lambda: _head().replace(b"X-Request-Id: raw1\r\n", b""),
    "no HTTP at all": lambda: b"\x16\x03\x01\x02\x00 hello\r\n\r\n",
    "a deadline that is no number": lambda: _head().replace(b"4000", b"soon"),
}


@when("a caller sends {what} over a raw connection")
def step_raw(context, what):
    with _connect(context) as connection:
        connection.sendall(RAW_REQUESTS[what]())
        context.status = _read_status(connection)


@then("its response has status {status:d} and nothing ran")
def step_raw_status(context, status):
    assert context.status == status, context.status
    assert context.platform.runs() == 0


@when("a caller sends a chunked body slowly, in two pieces")
def step_chunked(context):
    with _connect(context) as connection:
        head = _head(more="Transfer-Encoding: chunked\r\n")
        connection.sendall(head.replace(b"Content-Length: 0\r\n", b""))
        connection.sendall(b"4\r\nques\r\n")
        time.sleep(0.3)
        connection.sendall(b"4\r\ntion\r\n0\r\n\r\n")
        context.status = _read_status(connection)


@then("the replica gets the whole body")
def step_whole_body(context):
    (seen,) = [s for r in context.platform.replicas.values() for s in r.seen]
    assert (context.status, seen.body) == (200, b"question"), seen


@when("a caller disconnects while its request hangs at the replica")
def step_disconnect(context):
    replica = context.platform.replicas["p0"]
    replica.script.append("hang")
    with _connect(context) as connection:
        connection.sendall(_head())
        wait_until("the request runs", lambda: replica.seen)
    context.left_s = time.monotonic()


@then("the replica's connection is closed within 1 second")
def step_closed(context):
    seen = context.platform.replicas["p0"].seen[0]
    wait_until("the replica's connection is closed", lambda: seen.ended)
    assert time.monotonic() - context.left_s < 1.0
    assert seen.ended == "left" or "Reset" in seen.ended, seen.ended


# Configuration and the list of replicas.


@when("the first configuration is written")
def step_first_configuration(context):
    world = context.platform
    world.add_replica("plain", "p0")
    world.add_route("/plain/", "non_idempotent", "plain")
    world.put_configuration()
    wait_until("the gateway is ready", context.first.is_ready)
    wait_until("the replica is listed", lambda: world.knows_replicas(context.first))


@when("the operators move the route to another service")
def step_move_route(context):
    world = context.platform
    world.add_replica("other", "o0")
    world.routes[0]["service"] = "other"
    world.put_configuration()


@then("within {seconds:d} seconds requests go to the other service only")
def step_moved_route(context, seconds):
    world = context.platform
    other = world.replicas["o0"]

    def reaches_other():
        before = len(other.seen)
        world.send()
        return len(other.seen) > before

    wait_until("the new route is in effect", reaches_other, seconds)


@when("an older configuration and invalid records follow")
def step_old_and_invalid(context):
    world = context.platform
    world.put_operator_record("config", b"\xff not json")
    world.put_operator_record("config", b'{"version": 99}')
    world.routes[0]["service"] = "plain"
    world.put_configuration(version=1)
    time.sleep(0.3)


@then("the newest configuration stays in effect and the invalid records are logged")
def step_stays(context):
    world = context.platform
    before = len(world.replicas["o0"].seen)
    world.send()
    assert len(world.replicas["o0"].seen) == before + 1
    ignored = [
        line for line in world.gateways[0].lines() if line["event"] == "Record ignored."
    ]
    assert len(ignored) == 2, ignored
    assert "routes" in ignored[1]["error"], ignored


@when("replica {upstream_id} reports that it is draining")
def step_draining(context, upstream_id):
    context.platform.list_replica(upstream_id, state="draining")
    time.sleep(1.0)


@then("replica {upstream_id} gets no further request")
def step_no_further(context, upstream_id):
    world = context.platform
    before = len(world.replicas[upstream_id].seen)
    for _ in range(6):
        assert world.send().status == 200
    assert len(world.replicas[upstream_id].seen) == before


@when("another incarnation takes over the address of replica {upstream_id}")
def step_other_incarnation(context, upstream_id):
    context.platform.replicas[upstream_id].upstream_id = "reborn"


# Stopping, settings and logs.


@when("the gateway gets SIGTERM while a request runs")
def step_stop(context):
    world = context.platform
    replica = world.replicas["e0"]
    result = {}

    def stream():
        result["answer"] = world.send("/once/x", headers=world.stream_headers())

    thread = threading.Thread(target=stream)
    thread.start()
    wait_until("the request runs", lambda: replica.running)
    world.gateways[0].process.send_signal(signal.SIGTERM)
    wait_until("the gateway is not ready", lambda: not world.gateways[0].is_ready())
    thread.join()
    context.answer = result["answer"]


@then("the gateway exits with code {code:d}")
def step_ends(context, code):
    assert context.platform.gateways[0].process.wait(6) == code


@when("nobody reads the gateway's standard output")
def step_unread_output(context):
    world = context.platform
    gateway = world.gateways[0]
    gateway.close()
    gateway.start(stdout=subprocess.PIPE)
    wait_until("the gateway is ready", gateway.is_ready)
    wait_until("a request is served", lambda: world.send().status == 200)


@then("{count:d} requests are still served")
def step_count_served(context, count):
    for _ in range(count):
        assert context.platform.send().status == 200


@when("the log service stops answering")
def step_store_down(context):
    context.platform.set_store_faults(down=True)
    time.sleep(0.5)


@then("requests are still served")
def step_served(context):
    step_count_served(context, 5)


@then("a gateway that starts now is not ready and refuses with 503")
def step_start_without_store(context):
    world = context.platform
    world.add_gateway(wait=False)

    def try_send():
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return world.send(gateway=1)

    answer = wait_until("the gateway responds", try_send)
    assert answer.status == 503, answer.status
    assert not world.gateways[1].is_ready()


@when('the gateway starts with the setting "{line}"')
def step_bad_setting(context, line):
    context.folder = Path(tempfile.mkdtemp(prefix="kumquatseam-platform-"))
    path = context.folder / "bad.ini"
    path.write_text("[gateway]\nname = a\nzone = z\nlisten = 127.0.0.1:1\n")
    with path.open("a") as file:
        file.write(line.replace("\\n", "\n") + "\n")
    context.ended = subprocess.run(
        [sys.executable, "-m", "kumquatseam.platform"],
        env={"KUMQUATSEAM_SETTINGS": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )


@then('it exits with code {code:d} and reports "{text}"')
def step_bad_setting_reported(context, code, text):
    assert context.ended.returncode == code, context.ended
    assert text in context.ended.stderr, context.ended.stderr


@then("the metrics count the requests by outcome")
def step_metrics(context):
    port = context.platform.gateways[0].ports["metrics"]
    text = urllib3.request("GET", f"http://127.0.0.1:{port}/metrics").data.decode()
    assert 'kumquatseam_requests_total{outcome="answered_2xx"' in text, text
    assert "kumquatseam_configuration_version" in text


@then("the log records how the request was placed and answered")
def step_log_events(context):
    def logged_events():
        lines = context.platform.gateways[0].lines()
        events = [d["event"] for d in lines if d.get("request") == "told"]
        return events if "Answered." in events else None

    context.platform.send(request_id="told")
    events = wait_until("the request's log lines", logged_events)
    assert events == ["Placed.", "Answered."], json.dumps(events)


# Quotas.


@given("the team has a quota of {rate:d} requests a second and a burst of {burst:d}")
def step_quota(context, rate, burst):
    world = context.platform
    world.quota = {"ratePerS": rate, "burst": burst}
    world.put_configuration()
    wait_until("the quota is in effect", lambda: _is_in_effect(world))


def _is_in_effect(world):
    return any(
        line["event"] == "Configuration in force." and line["version"] == world.version
        for line in world.gateways[0].lines()
    )


@when("its caller sends {count:d} requests one after the other")
def step_send_many(context, count):
    context.answers = [context.platform.send() for _ in range(count)]


@then("the first {served:d} are answered and at least {refused:d} are refused with 429")
def step_refused_429(context, served, refused):
    statuses = [answer.status for answer in context.answers]
    assert statuses[:served] == [200] * served, statuses
    assert set(statuses) <= {200, 429}, statuses
    assert statuses.count(429) >= refused, statuses


@then("each refusal has a Retry-After header of at most {within_s:g} seconds")
def step_refusals_retry_after(context, within_s):
    for answer in context.answers:
        if answer.status == 429:
            assert 0 < float(answer.headers["Retry-After"]) <= within_s


@then("the replicas ran as many requests as were answered")
def step_ran_as_answered(context):
    answered = sum(answer.status == 200 for answer in context.answers)
    assert context.platform.runs() == answered


@then("the metrics count the quota refusals")
def step_quota_metrics(context):
    port = context.platform.gateways[0].ports["metrics"]
    text = urllib3.request("GET", f"http://127.0.0.1:{port}/metrics").data.decode()
    (line,) = [
        x for x in text.splitlines() if "quota_refusals_total " in x and x[0] != "#"
    ]
    refused = sum(answer.status == 429 for answer in context.answers)
    assert float(line.split()[-1]) == refused, line


# The log service restored from an older copy.


@given("the log service is copied")
def step_copied(context):
    context.platform.change_store("copy")


@given("the configuration is written {count:d} more times")
def step_written_more(context, count):
    world = context.platform
    for _ in range(count):
        world.put_configuration()
        wait_until("the configuration is in effect", lambda: _is_in_effect(world))


@when("the log service is restored from the copy")
def step_restored(context):
    context.platform.change_store("return")
    context.answer_meanwhile = context.platform.send()


@when("the configuration is written again, newer than before")
def step_written_again(context):
    context.platform.put_configuration()


@then("it is in effect within {within_s:g} seconds")
def step_in_force_within(context, within_s):
    world = context.platform
    wait_until("the configuration is in effect", lambda: _is_in_effect(world), within_s)


@then("requests are answered after the restore and after the new configuration")
def step_answered_both(context):
    assert context.answer_meanwhile.status == 200
    assert context.platform.send().status == 200
