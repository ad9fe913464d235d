"""Steps for the cost of starting an instance, on a simulated clock."""

import json
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import attrs
from behave import given, then, when
from feeds_steps import FeedWorld, ModelledInstance
from modelled_clock import Clock
from own_modules import OwnModules
from platform_steps import step_platform
from platform_world import TEMPLATE, GatewayProcess, wait_until

from kumquatseam.errors import SettingsError
from kumquatseam.gatewayfile import load_gateway_settings
from kumquatseam.leases import DutyLease
from kumquatseam.standins.logservice import (
    InMemoryLogService,
    LogFaults,
    LogStore,
    LogStoreLimits,
)

_SLOW_LOOKUPS = Path(__file__).parent.parent / "programs" / "slow_lookups.py"
_LIST_MODULES = """
import json, sys
import kumquatseam.platform.__main__
print(json.dumps(sorted(sys.modules)))
"""


@when("the gateway's program is loaded")
def step_loaded(context):
    command = [sys.executable, "-c", _LIST_MODULES]
    found = subprocess.run(command, capture_output=True, check=True, text=True)
    context.modules = json.loads(found.stdout)


@then("none of these was loaded: {names}")
def step_not_loaded(context, names):
    unneeded = [name.strip() for name in names.split(",")]
    assert not set(unneeded) & set(context.modules)


@then("each loaded module of this project is used by another one")
def step_only_used(context):
    """Find modules that a package imports although the gateway uses none of it."""
    modules = OwnModules.find(context.modules)
    assert not modules.unused(), modules.unused()


@then(
    "their code takes at most {most:d} percent of the memory of an instance of "
    "{memory_mb:d} MB"
)
def step_code_size(context, most, memory_mb):
    size_bytes = OwnModules.find(context.modules).code_bytes()
    assert size_bytes <= memory_mb * 1_000_000 * most / 100, size_bytes


@given("a gateway whose host name lookups take 1 second")
def step_slow_lookups(context):
    step_platform(context)
    world = context.platform
    world.add_replica("plain", "p0")
    world.add_route("/plain/", "non_idempotent", "plain")
    world.put_configuration()
    gateway = GatewayProcess(world.folder, "gateway-0", world.log_port)
    gateway.program = [str(_SLOW_LOOKUPS)]
    world.gateways.append(gateway)
    gateway.start()


@when("it says for the first time that it is ready")
def step_first_ready(context):
    wait_until("the gateway is ready", context.platform.gateways[0].is_ready)


@then("it accepts a caller's connection at once")
def step_accepts(context):
    port = context.platform.gateways[0].ports["front"]
    socket.create_connection(("127.0.0.1", port), 2).close()


class LateInstance(ModelledInstance):
    """An instance that sees only itself until it has discovered the others."""

    def restart(self):
        super().restart()
        peers = attrs.evolve(self.watch._peers, may_read=self._may_read)
        self.watch._peers = peers

    def _is_known(self):
        return self.world.clock() >= self.world.known_s

    def _may_read(self):
        return self._is_known() and self._view().is_coordinator

    def _view(self):
        if self._is_known():
            return super()._view()
        view = super()._view()
        own = [record for record in view.records if record.name == self.name]
        return attrs.evolve(view, records=own)


@given(
    "{count:d} instances that start together and discover each other after "
    "{seconds:g} seconds"
)
def step_together(context, count, seconds):
    world = context.world = FeedWorld()
    world.write()
    world.known_s = world.clock() + seconds
    world.instances = [
        LateInstance(world, f"i{n:03}", 100.0 if n < 5 else 5.0) for n in range(count)
    ]


@then("the log was called at most {calls:d} times in all")
def step_called(context, calls):
    assert context.world.calls <= calls, context.world.calls


@then("all readers are coordinators")
def step_readers_coordinators(context):
    readers = [i for i in context.world.readers() if i not in context.before]
    assert readers
    assert all(i._view().is_coordinator for i in readers)


@then("each checks again within {most_s:g} seconds whether to read")
def step_checks_soon(context, most_s):
    for instance in context.world.instances:
        assert instance.watch._next_check_in_s() <= most_s, instance.name


@then("those that are no coordinators check again when their copies expire")
def step_checks_at_expiry(context):
    others = [i for i in context.world.instances if not i._view().is_coordinator]
    assert others
    for instance in others:
        left_s = 1.1 - instance.watch.copy.age_s()
        assert abs(instance.watch._next_check_in_s() - left_s) < 0.01, instance.name


# The lease.


class CountedLog(InMemoryLogService):
    """A log service that counts its calls."""

    def __init__(self, store):
        super().__init__(store, LogFaults())
        self.calls = 0

    def _enter(self):
        self.calls += 1
        super()._enter()


def _build_leases(context):
    context.clock = Clock()
    store = LogStore(LogStoreLimits(), context.clock)
    context.logs = {name: CountedLog(store) for name in ("holder", "contender")}
    context.leases = {}
    for rank, (name, log) in enumerate(context.logs.items()):
        context.leases[name] = DutyLease(
            log,
            "d",
            name,
            3.0,
            lambda rank=rank: rank,
            context.clock,
            lambda fence, name=name: _broadcast_renewal(context, name, fence),
        )


def _broadcast_renewal(context, sender, fence):
    for name, lease in context.leases.items():
        if name != sender:
            lease.note_other_holder(fence)


@given("a lease holder that broadcasts its renewals, and a contender")
def step_lease(context):
    _build_leases(context)
    context.leases["holder"].step()
    assert context.leases["holder"].fence is not None


@when("{seconds:d} seconds of renewals pass")
def step_renewals(context, seconds):
    for _ in range(seconds * 10):
        context.clock.now_s += 0.1
        for lease in context.leases.values():
            lease.step()
    assert context.leases["holder"].fence is not None


@then("the contender called the log at most once")
def step_seldom(context):
    assert context.logs["contender"].calls <= 1, context.logs["contender"].calls


@when("the holder stops")
def step_holder_stops(context):
    context.stopped_s = context.clock()


@then(
    "the contender holds the lease within {most_s:d} seconds, and not before "
    "{least_s:d}"
)
def step_takes_over(context, most_s, least_s):
    contender = context.leases["contender"]
    while contender.fence is None:
        context.clock.now_s += 0.1
        assert context.clock() - context.stopped_s <= most_s
        contender.step()
    assert context.leases["holder"].fence is None
    assert context.clock() - context.stopped_s >= least_s - 1.3


@given("an instance that may not hold a lease")
def step_no_contender(context):
    context.clock = Clock()
    context.log = CountedLog(LogStore(LogStoreLimits(), context.clock))
    context.lease = DutyLease(context.log, "d", "me", 3.0, lambda: None, context.clock)


@when("its lease loop runs for {seconds:d} seconds")
def step_steps(context, seconds):
    for _ in range(seconds * 10):
        context.clock.now_s += 0.1
        context.lease.step()


@then("it called the log {calls:d} times")
def step_called_log(context, calls):
    assert context.log.calls == calls
    assert context.lease.fence is None


# Settings.


@given('gateway settings with "{line}"')
def step_settings(context, line):
    ports = dict.fromkeys(("front", "ready", "metrics", "peer", "state", "relay"), 1)
    text = TEMPLATE.format(name="g", log=1, slack=50, seeds="", grace_s=4, **ports)
    text = text.replace("is_first_start = true\n", "")
    text = text.replace("[peers]", f"[peers]\n{line}")
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.ini"
        path.write_text(text)
        try:
            context.settings, context.fault = load_gateway_settings(str(path)), None
        except SettingsError as error:
            context.settings, context.fault = None, error


@then("they are accepted, and it is the first start")
def step_first_start(context):
    assert context.settings.peers.is_first_start is True


@then("they are accepted, and it is not the first start")
def step_no_first_start(context):
    assert context.settings.peers.is_first_start is False


@then("they are rejected, naming the section and key")
def step_refused_settings(context):
    text = str(context.fault)
    assert "peers" in text and "is_first_start" in text, text
