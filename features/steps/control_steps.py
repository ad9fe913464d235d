"""Steps that control a fleet through its log service and control addresses."""

import json
import subprocess
import sys
import threading
import time

import gevent
from behave import given, then, when
from fault_steps import stream_events
from fleet_steps import (
    HTTP,
    engine_stats,
    prompt_of,
    router_status,
    send,
    start_fleet,
    wait_for,
)

from kumquatseam.bench import FIRST_VERSION, MODEL, FleetPlan
from kumquatseam.errors import KumquatseamError
from kumquatseam.fleet import CONFIGURATION_TOPIC
from kumquatseam.fleet._records import RECORD_CODEC
from kumquatseam.logservice import HttpLogService, unframe_keyed
from kumquatseam.operators import CommandConflictError, FleetConsole
from kumquatseam.settings import load_settings

#: settings sections for failure detection within the timeout of a step.
FAST_FAILURE_DETECTION = {
    "fleet": {"heartbeat_interval_s": 0.2, "suspect_after_s": 0.8}
}


@given("a fleet of {routers:d} routers and {engines:d} engines")
@given("a fleet of {routers:d} routers and {engines:d} engine")
@given("a fleet of {routers:d} router and {engines:d} engine")
def step_controlled_fleet(context, routers, engines, more=None, **options):
    """Start a fleet with a log service.

    :param more: additional settings sections.
    :param options: other fields of the :class:`FleetPlan`.
    """
    plan = FleetPlan(
        routers=routers,
        engines=engines,
        with_log=True,
        sections={**FAST_FAILURE_DETECTION, **(more or {})},
        **options,
    )
    fleet = start_fleet(context, plan)
    context.console = console_of(fleet)
    context.log = HttpLogService(fleet.log_url)
    context.seeded_offset = context.console.read().next_offset


@given(
    "a fleet of {routers:d} routers and {engines:d} engines that decode a token "
    "every {ms:d} ms"
)
def step_slow_controlled_fleet(context, routers, engines, ms):
    options = {"decode_ms_per_token": ms}
    step_controlled_fleet(context, routers, engines, engine_options=options)


@given("a fleet of {routers:d} routers and {engines:d} engines that check weights")
def step_versioned_fleet(context, routers, engines):
    options = {"versions": f"{MODEL}={FIRST_VERSION}"}
    step_controlled_fleet(
        context, routers, engines, with_weights=True, engine_options=options
    )


def console_of(fleet) -> FleetConsole:
    routers = {router.name: router.control for router in fleet.routers}
    settings = load_settings(str(fleet.routers[0].settings_path))
    log = HttpLogService(fleet.log_url)
    return FleetConsole(routers, log, settings.configuration, 0.5)


def set_log_faults(context, **faults) -> None:
    url = f"{context.fleet.log_url}/standin/faults"
    HTTP.request("PUT", url, body=json.dumps(faults).encode())


def offsets(context) -> list[int]:
    return [
        router_status(context, index)["next_offset"]
        for index in range(len(context.fleet.routers))
    ]


@when("two operators read the configuration and both apply conflicting changes")
def step_race(context):
    first, second = console_of(context.fleet), console_of(context.fleet)
    states = first.read(), second.read()
    context.outcomes = []
    commands = (
        "alter priority notes set rank = 5",
        "alter priority notes set rank = 6",
    )
    for console, state, text in zip((first, second), states, commands, strict=True):
        try:
            console.apply(text, "racer", 0, state)
            context.outcomes.append(text)
        except CommandConflictError as error:
            context.outcomes.append(error)


@then("exactly one command is accepted and the other gets a conflict")
def step_one_wins(context):
    accepted = [x for x in context.outcomes if isinstance(x, str)]
    conflicts = [x for x in context.outcomes if isinstance(x, CommandConflictError)]
    assert len(accepted) == len(conflicts) == 1, context.outcomes


@then("every router soon has {count:d} change in force")
@then("every router soon has {count:d} changes in force")
def step_in_force(context, count):
    wait_for(
        lambda: all(o == context.seeded_offset + count for o in offsets(context)),
        f"{count} changes in force, now {offsets(context)}",
    )


@then("every router soon has {count:d} change in force and agrees on the accepted one")
def step_agree(context, count):
    step_in_force(context, count)
    accepted_rank = next(x for x in context.outcomes if isinstance(x, str))[-1]
    rows = context.console.query("show priorities where priority = notes").rows
    assert [row.cells[2] for row in rows] == [accepted_rank] * 3, rows


@when("the log loses the reply to the next append")
def step_lose_append_reply(context):
    set_log_faults(context, lose_answers=1)


@when('the operator applies "{text}"')
def step_apply(context, text):
    context.applied = context.console.apply(text, "tester", 8.0)


@then("the command is in force on all {count:d} routers")
def step_applied_all(context, count):
    assert len(context.applied.in_force) == count, context.applied


@then("the log holds exactly {count:d} record appended by an operator")
def step_records(context, count):
    records = context.log.read(CONFIGURATION_TOPIC, 0).records
    decoded = [RECORD_CODEC.decode(unframe_keyed(r.payload)[1]) for r in records]
    assert sum(x.operator == "tester" for x in decoded) == count, decoded


@when('the operator tool applies "{text}"')
def step_run_operator_tool(context, text):
    settings = context.fleet.routers[0].settings_path
    command = [sys.executable, "-m", "kumquatseam.cli", "apply", text]
    context.exited = subprocess.run(
        [*command, f"--settings={settings}"], capture_output=True, text=True, timeout=30
    )


@then("it exits with code {code:d} and an error at {position}")
def step_operator_tool_exit(context, code, position):
    result = context.exited
    assert result.returncode == code, (result.returncode, result.stderr)
    assert position == "no position" or f"{position}:" in result.stderr, result.stderr


@when("the log service goes down")
def step_log_down(context):
    set_log_faults(context, down=True)


@when("router {index:d} is killed and started again")
def step_restart_one(context, index):
    wait_for(lambda: has_warm_snapshot(context), "a snapshot")
    context.fleet.restart_router(index)


def has_warm_snapshot(context) -> bool:
    """Return whether the log has a snapshot, needs none or cannot be read."""
    try:
        return bool(context.log.newest("keyed.kumquatseam.warm").records) or (
            not router_status(context)["engines"]["engine-0"]["index_blocks"]
        )
    except KumquatseamError:
        return True


@when("the routers have exchanged heartbeats")
@given("the routers have exchanged heartbeats")
def step_wait_heartbeats(context):
    count = len(context.fleet.routers)

    def all_connected():
        rows = context.console.query("show routers where state = alive").rows
        members = [row.cells[1] for row in rows if int(row.cells[3]) > 0]
        return len(members) == count * count

    wait_for(all_connected, "heartbeats between all routers")


@then('router {index:d} soon rejects team "{team}" with status {status:d}')
def step_rejects(context, index, team, status):
    def is_rejected():
        send(context, f"key-{team}", prompt_of(8), stream=False, router=index)
        return context.status == status

    wait_for(is_rejected, f"status {status}")


@then('router {index:d} answers team "{team}" with status {status:d}')
def step_answers(context, index, team, status):
    send(context, f"key-{team}", prompt_of(8), stream=False, router=index)
    assert context.status == status, context.answer


@when("router {index:d} is suspended")
def step_suspend(context, index):
    context.fleet.routers[index].program.pause()


@when("router {index:d} is resumed")
def step_resume(context, index):
    context.fleet.routers[index].program.resume()


@when("all routers are killed and started again at the same moment")
def step_restart_all(context):
    fleet = context.fleet
    for router in fleet.routers:
        router.program.kill()
    threads = [
        threading.Thread(target=fleet.restart_router, args=(index,))
        for index in range(len(fleet.routers))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then(
    'every router\'s first response to team "{first}" is {ok:d} and to team "{second}" '
    "{rejected:d}"
)
def step_first_responses(context, first, ok, second, rejected):
    for index in range(len(context.fleet.routers)):
        step_answers(context, index, first, ok)
        step_answers(context, index, second, rejected)


@then('routers 0 and 1 soon report {name} as "{state}" or "{other}"')
def step_wait_state(context, name, state, other):
    def is_reported():
        rows = context.console.query(f"show routers where member = {name}").rows
        states = [row.cells[2] for row in rows if row.cells[0] != name]
        return len(states) == 2 and set(states) <= {state, other}

    wait_for(is_reported, f"the routers to report {name} as {state}")


@then("a query reports that {name} did not answer")
def step_unreachable(context, name):
    assert context.console.query("show running").unanswered == (name,)


@when("a caller streams a {tokens:d}-token completion from each engine")
def step_two_streams(context, tokens):
    context.streams = [
        gevent.get_hub().threadpool.spawn(stream_events, context, tokens)
        for _ in range(2)
    ]
    context.expected_tokens = tokens
    wait_for(
        lambda: all(engine_stats(context, i)["requests"] == 1 for i in range(2)),
        "a stream on each engine",
    )


@when("engine-0 is undrained and then engine 1 is listed as leaving")
def step_engine_leaves(context):
    send(context, "key-alpha", prompt_of(20), stream=False)
    assert context.answer["choices"], context.answer
    context.console.apply("undrain upstream engine-0", "tester", 5.0)
    HTTP.request("POST", f"{context.fleet.engines[1].url}/standin/leave")
    wait_for(lambda: leaving_engines(context) == {"engine-1"}, "engine-1 to be leaving")
    send(context, "key-alpha", prompt_of(24), stream=False)


def leaving_engines(context) -> set[str]:
    rows = context.console.query("show leaving").rows
    return {row.cells[1] for row in rows if row.cells[0] == "router-0"}


@then("both streams are complete")
def step_streams_complete(context):
    for stream in context.streams:
        events = stream.get(timeout=20)
        chunks = [json.loads(e) for e in events if e != "[DONE]"]
        assert events[-1] == "[DONE]", events[-1]
        assert sum(bool(c["choices"]) for c in chunks) == context.expected_tokens


@then("no request was routed to a leaving engine")
def step_none_to_leaving(context):
    lines = context.fleet.routers[0].log_lines("route")
    engines = [line.split("engine=")[1].split()[0] for line in lines]
    assert engines[2:] == ["engine-1", "engine-0"], engines


@when('team "{team}" sends a {tokens:d}-token prompt to router {index:d} twice')
def step_send_twice(context, team, tokens, index):
    context.prompt = prompt_of(tokens)
    for _ in range(2):
        send(context, f"key-{team}", context.prompt, stream=False, router=index)
        time.sleep(0.5)
    assert newest_request(context)["cached_tokens"] == tokens


@when('team "{team}" sends the same prompt to router {index:d}')
def step_send_same_to(context, team, index):
    send(context, f"key-{team}", context.prompt, stream=False, router=index)
    assert context.status == 200, context.answer


def newest_request(context) -> dict:
    request_id = context.request_ids[-1]
    for index in range(len(context.fleet.engines)):
        for request in engine_stats(context, index)["recent_requests"]:
            if request["request_id"] == request_id:
                return request
    raise AssertionError(f"no engine ran {request_id}")


@then("the newest request was served {tokens:d} cached tokens")
def step_newest_cached(context, tokens):
    assert newest_request(context)["cached_tokens"] == tokens


@then('every engine soon runs version "{version}" after orders with fencing tokens')
def step_versions(context, version):
    def loaded():
        stats = [engine_stats(context, i) for i in range(len(context.fleet.engines))]
        return stats if all(s["versions"][MODEL] == version for s in stats) else None

    for stats in wait_for(loaded, f"version {version}"):
        assert [order["version"] for order in stats["orders"]] == [version], stats
        assert stats["orders"][0]["fence"] >= 0


@then("router {index:d} soon indexes {count:d} blocks from adopted warm state")
def step_warm_started(context, index, count):
    def indexed():
        engine = router_status(context, index)["engines"]["engine-0"]
        return engine["index_blocks"] == count

    wait_for(indexed, f"{count} blocks")
    lines = context.fleet.routers[index].log_lines("warm")
    assert any(f"Adopted blocks={count} " in line for line in lines), lines


@then('every engine soon has adapters "{names}" and engine 0 is on standby')
def step_adapters(context, names):
    expected = [name.strip() for name in names.split(",")]

    def is_applied():
        stats = [engine_stats(context, i) for i in range(len(context.fleet.engines))]
        loaded = all(s["adapters"].get(MODEL) == expected for s in stats)
        return loaded and [s["role"] for s in stats] == ["standby", "serving"]

    wait_for(is_applied, "adapters and roles")
    wait_for(
        lambda: listed_role(context, "engine-0") == "standby",
        "engine-0 to be reported as standby",
    )


def listed_role(context, engine: str) -> str:
    rows = context.console.query(f"show upstreams where upstream = {engine}").rows
    roles = {row.cells[-1] for row in rows}
    return roles.pop() if len(roles) == 1 else ""
