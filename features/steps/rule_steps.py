"""Steps that call classes of the control plane directly."""

import attrs
import gevent
from behave import given, then, when
from fleet_steps import start_fleet
from matrix_world import World

from kumquatseam.admission.retry_budget import RetryBudget
from kumquatseam.bench import FleetPlan
from kumquatseam.fleet import (
    ALTER,
    SUSPECT,
    Command,
    EntityChange,
    FieldValue,
    Heartbeat,
    LiveConfiguration,
    Placement,
    RouterSummary,
    append_command,
    read_current,
)
from kumquatseam.logservice import HttpLogService
from kumquatseam.loops import StepLoop
from kumquatseam.operators import LanguageError, parse
from kumquatseam.routing import PeerSummaries
from kumquatseam.settings import (
    AdmissionSettings,
    Configuration,
    FleetSettings,
    TeamSettings,
)


@given("a current configuration built from {count:d} log records")
def step_current_configuration(context, count):
    context.live = LiveConfiguration(Configuration())
    context.newest = World().settings.configuration
    assert context.live.advance(context.newest, count)


@when("a configuration built from {count:d} log records arrives late")
def step_late_configuration(context, count):
    assert not context.live.advance(Configuration(), count)


@then("the configuration built from {count:d} log records stays current")
def step_stays_current(context, count):
    assert context.live.next_offset == count
    assert context.live.current == context.newest


@given("a retry budget of {ratio:f} with a slack of {slack:d} shared by {n:d} routers")
def step_retry_budget(context, ratio, slack, n):
    settings = AdmissionSettings(retry_budget_ratio=ratio, retry_budget_slack=slack)
    context.budget = RetryBudget(settings, lambda: n, lambda: 1.0)


@when("{count:d} requests arrive and each attempts a retry")
def step_retries(context, count):
    for _ in range(count):
        context.budget.record_request()
    context.allowed = sum(context.budget.try_acquire() for _ in range(count))


@then("{count:d} retries are allowed")
def step_allowed_retries(context, count):
    assert context.allowed == count, context.allowed


@given(
    'a router whose peer reported {count:d} requests and a placed prefix on "{engine}"'
)
def step_peer_summary(context, count, engine):
    context.world, context.engine = World(), engine
    router = context.world.router.router
    context.summaries = PeerSummaries(router, FleetSettings(), context.world.clock)
    summary = RouterSummary.of({engine: {0: count}}, [Placement(77, engine)])
    context.summaries.receive(Heartbeat("peer", "", 1, 0, (), summary))
    assert router.fleet.load_requests(engine) == count
    assert router.hints.was_placed_by_peer(77, engine, context.world.clock())


@when("the peer is suspected")
def step_suspect_peer(context):
    context.summaries.on_peer_state("peer", SUSPECT)


@then("the router counts {count:d} requests and no placed prefix there")
def step_peer_data_dropped(context, count):
    router = context.world.router.router
    assert router.fleet.load_requests(context.engine) == count
    assert not router.hints.was_placed_by_peer(
        77, context.engine, context.world.clock()
    )


@then('"{text}" is refused at column {column:d}')
def step_refused_at(context, text, column):
    try:
        command = parse(text)
    except LanguageError as error:
        assert error.column == column, error
        return
    raise AssertionError(attrs.asdict(command))


@given("a loop whose step fails the first {count:d} times")
def step_failing_loop(context, count):
    context.runs = []

    def step():
        context.runs.append(1)
        if len(context.runs) <= count:
            raise ValueError("injected failure")

    context.loop = StepLoop(0.01, step)
    context.loop.start()


@then("the step runs at least {count:d} times within 0.5 s")
def step_loop_continues(context, count):
    gevent.sleep(0.5)
    context.loop.close()
    assert len(context.runs) >= count, context.runs


@given("a log service that stores {count:d} teams")
def step_many_teams(context, count):
    start_fleet(context, FleetPlan(routers=0, engines=0, with_log=True))
    small = World().settings.configuration
    teams = tuple(
        TeamSettings(f"t{n:04}", (f"k{n}",), ("p",), ("m",), ("e0",))
        for n in range(count)
    )
    context.log = HttpLogService(context.fleet.log_url)
    context.state = read_current(context.log, attrs.evolve(small, teams=teams))


@when("a team changes while the pages are read")
def step_change_between_pages(context):
    original, changes = context.log._call, []

    def call(method, path, fields, topic, **options):
        response = original(method, path, fields, topic, **options)
        if path == "/log-newest" and not changes:
            changes.append(True)
            values = (FieldValue("max_running", "7"),)
            change = EntityChange(ALTER, "team", "t0001", values)
            append_command(context.log, context.state, Command("op", (change,)))
        return response

    context.log._call = call
    context.read = read_current(context.log, Configuration())


@then("all {count:d} teams are read, the changed one with its new values")
def step_all_read(context, count):
    teams = context.read.configuration.teams
    assert len(teams) == count, len(teams)
    assert context.read.configuration.find("team", "t0001").max_running == 7
