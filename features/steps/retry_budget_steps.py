"""Steps for the retry budget of a service."""

import heapq

from behave import given, then, when
from platform_world import HTTP, wait_until
from retry_world import WINDOW_S, RetryFleet, play


@then("the gateway logged why each of {count:d} retries was allowed")
def step_logged(context, count):
    gateway = context.platform.gateways[0]

    def find_lines():
        lines = [d for d in gateway.lines() if d["event"] == "Retry budget asked."]
        return lines if len(lines) == count else None

    for line in wait_until("the retries are logged", find_lines):
        assert line["is_allowed"], line
        assert line["cause"] in ("refused", "failed"), line
        assert line["requests"] >= 1, line
        assert line["slack"] > 0, line


@then('its metrics count a retry after "{first}" and one after "{second}"')
def step_counted(context, first, second):
    port = context.platform.gateways[0].ports["metrics"]
    text = HTTP.request("GET", f"http://127.0.0.1:{port}/metrics").data.decode()
    for cause in (first, second):
        line = f'kumquatseam_retries_total{{allowed="true",cause="{cause}"}} 1.0'
        assert line in text, text


@given("{count:d} instances with a retry budget for one service")
def step_fleet(context, count):
    context.retry_fleet = RetryFleet(count)


@when(
    "{rate:d} requests a second arrive for {for_s:d} seconds, and each attempt fails "
    "from {from_s:d} seconds on"
)
def step_offer(context, rate, for_s, from_s):
    fleet = context.retry_fleet
    context.end_s = fleet.clock() + for_s
    fleet.offer(rate, for_s)
    fleet.run(from_s)
    fleet.failing_share = 1.0


@when("{after_s:d} seconds later {fault}")
def step_fault(context, after_s, fault):
    context.retry_fleet.run(after_s)
    FAULTS[fault](context.retry_fleet)


def _kill(fleet, instances):
    for instance in instances:
        fleet.crash(instance, 1.0)


def _kill_half_again(fleet):
    half = list(fleet.instances.values())[::2]
    _kill(fleet, half)
    fleet.net.call_later(4.0, _kill, fleet, half)


def _split(fleet):
    for instance in list(fleet.instances.values())[::2]:
        fleet.cut(instance, "half", 8.0)


def _isolate(fleet):
    for instance in list(fleet.instances.values())[:3]:
        fleet.cut(instance, instance.record.name, 8.0)


def _hide(fleet):
    for number, instance in enumerate(fleet.instances.values()):
        known = fleet.records[number % 3 :: 3]
        fleet.hide_others(instance, known, 6.0)


def _start_in_turn(fleet):
    for number, instance in enumerate(list(fleet.instances.values())[:4]):
        fleet.net.call_later(number * 0.7, fleet.restart, instance, 2.0)


def _end_traffic(fleet):
    fleet.net.scheduled = [
        call for call in fleet.net.scheduled if call[2] != fleet._arrive
    ]
    heapq.heapify(fleet.net.scheduled)


FAULTS = {
    "all instances restart, two at a time": lambda fleet: fleet.roll(2),
    "all instances restart, eight at a time": lambda fleet: fleet.roll(8, 0.7),
    "all instances are killed at once": lambda fleet: _kill(
        fleet, fleet.instances.values()
    ),
    "half of the instances are killed, and again": _kill_half_again,
    "two owners are killed": lambda fleet: _kill(fleet, fleet.owners()[:2]),
    "all owners are killed": lambda fleet: _kill(fleet, fleet.owners()),
    "the first owner stands still for 3 seconds": lambda fleet: fleet.freeze(
        fleet.owners()[0], 3.0
    ),
    "the fleet is split into halves for 8 seconds": _split,
    "three instances are alone for 8 seconds": _isolate,
    "all instances know only some of the others": _hide,
    "four instances start one after the other": _start_in_turn,
    "the traffic ends": _end_traffic,
}


@then("no window has more retries than the budget allows")
def step_within(context):
    fleet = context.retry_fleet
    fleet.run(max(0.0, context.end_s - fleet.clock()))
    retries, allowed = fleet.worst_window()
    assert retries <= allowed, f"{retries} retries, allowed {allowed:.1f}"


@then("the budget is used up to {share:g} in the last ten seconds")
def step_used(context, share):
    used = context.retry_fleet.used_share(context.end_s - WINDOW_S)
    assert used >= share, used


@given(
    "random runs of {count:d} instances with a retry budget, "
    "seeds {first:d} to {last:d}"
)
def step_random_runs(context, count, first, last):
    context.worst_windows = {
        seed: play(count, seed).worst_window() for seed in range(first, last + 1)
    }


@then("in no run a window has more retries than the budget allows")
def step_random_within(context):
    broken = {
        seed: f"{retries} retries, allowed {allowed:.1f}"
        for seed, (retries, allowed) in context.worst_windows.items()
        if retries > allowed
    }
    assert not broken, broken
