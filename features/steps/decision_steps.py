"""Steps for the gateway's decisions, on typed inputs and without input or output."""

import random

import attrs
from behave import given, then, when
from decision_world import build_placer, build_request
from modelled_clock import Clock

from kumquatseam.admission.retry_budget import RetryBudget
from kumquatseam.codec import MessageCodec
from kumquatseam.errors import OverloadedError
from kumquatseam.leases import DutyLease
from kumquatseam.peers import (
    MESSAGE_KINDS,
    FleetView,
    InstanceRecord,
    LoadExchange,
    PeerLiveness,
)
from kumquatseam.placement import (
    Candidate,
    Placer,
    WaitLimit,
    choose,
    wait_ms,
)
from kumquatseam.prompts import PromptIndex
from kumquatseam.settings import AdmissionSettings
from kumquatseam.standins.logservice import LogStore, LogStoreLimits
from kumquatseam.upstreams import (
    Upstream,
    UpstreamDirectory,
    WeightsTargets,
    WeightsVersion,
)


@given("an engine that holds 6300 of a prompt's 9190 tokens and one that holds none")
def step_two_engines(context):
    context.choose = lambda pending_tokens: (
        choose(
            [
                Candidate("holds", 2890, 0, 48, 0, 0.0, pending_tokens),
                Candidate("lacks", 9190, 0, 48, 1),
            ]
        ).incarnation_id
    )


@then("the prompt goes to the first while that has fewer than 6300 pending tokens")
def step_first(context):
    assert context.choose(0) == context.choose(6200) == "holds"


@then("to the second beyond that")
def step_second(context):
    assert context.choose(6700) == "lacks"


@given(
    "a ready engine with {ready:d} pending tokens and one on replaced weights with "
    "{replaced:d}"
)
def step_ready_and_replaced(context, ready, replaced):
    context.choose_short = lambda pending_tokens: choose(
        [
            Candidate("ready", 300, 20, 48, 0, 0.0, pending_tokens),
            Candidate("replaced", 300, 20, 48, 1, 360.0, replaced),
        ],
        WaitLimit(575.0),
    )
    context.pending_tokens = ready


@then(
    "a short prompt that may wait {limit_ms:d} ms goes to the one on replaced weights"
)
def step_short_to_replaced(context, limit_ms):
    chosen = context.choose_short(context.pending_tokens)
    assert chosen.incarnation_id == "replaced"
    assert wait_ms(chosen) <= limit_ms


@then("with only {tokens:d} pending tokens on the ready one it goes there")
def step_short_to_ready(context, tokens):
    assert context.choose_short(tokens).incarnation_id == "ready"


@given("2 instances that know the same 9 engines in different orders")
def step_two_instances(context):
    entries = [(f"e{i}", 1) for i in range(9)]
    shuffled = random.Random(7).sample(entries, 9)
    context.placers = [build_placer(Clock(), e)[0] for e in (entries, shuffled)]


@then("both instances send each of 200 prompts with 50 openings to the same engine")
def step_same_engines(context):
    used = set()
    for number in range(200):
        request = build_request(f"o{number % 50}", f"x{number}")
        first, second = (
            p.place(request).status.upstream.upstream_id for p in context.placers
        )
        assert first == second, (number, first, second)
        used.add(first)
    assert len(used) == 9, used


@given("a lease with a fencing token that an engine rejected")
def step_refused_lease(context):
    class MemoryLog:
        def __init__(self):
            self._store = LogStore(LogStoreLimits())

        def append(self, topic, payloads, at=None):
            return self._store.append(topic, payloads, at)

        def read(self, topic, from_offset, wait_s=0.0):
            return self._store.read(topic, from_offset)

    context.clock = Clock()
    context.lease = DutyLease(MemoryLog(), "d", "me", 3.0, clock=context.clock)
    context.lease.step()
    assert context.lease.fence is not None
    context.lease.step_down()


@then("the holder no longer has a token")
def step_no_token(context):
    assert context.lease.fence is None
    context.lease.step()
    assert context.lease.fence is None


@then(
    "7 instances that use up their retry budgets stay below 0.2 of 600 requests plus 54"
)
def step_budget(context):
    clock = Clock()
    settings = AdmissionSettings(
        retry_budget_ratio=0.16, retry_budget_slack=43, retry_window_s=10.0
    )
    budgets = [RetryBudget(settings, lambda: 7, clock) for _ in range(7)]
    retries = 0
    for number in range(600):
        clock.now_s += 10 / 600
        budget = budgets[number % 7]
        budget.record_request()
        while budget.try_acquire():
            retries += 1
    assert retries <= 0.2 * 600 + 54, retries


@given("an upstream whose connections fail 3 times in a row")
def step_failing(context):
    context.clock = Clock()
    directory = UpstreamDirectory(context.clock)
    directory.put(Upstream("u", "plain", "127.0.0.1:1"))
    context.status = directory.status("u")
    for _ in range(3):
        directory.note_connection_failure(context.status, "test")


@then("it is held out for 2 seconds")
def step_held_out_for(context):
    assert context.status.held_out_until_s == context.clock.now_s + 2.0


@given(
    "a team's request with {left_s:d} seconds left and engines with {tokens:d} "
    "pending tokens"
)
def step_waiting(context, left_s, tokens):
    context.clock = Clock()
    directory = UpstreamDirectory(context.clock)
    weights = (WeightsVersion("m0", 1),)
    for number in range(3):
        upstream = Upstream(f"e{number}", "engines", "a:1", slots=48, weights=weights)
        directory.put(upstream)
        directory.begin(directory.status(f"e{number}"), tokens)
    targets = WeightsTargets(context.clock)
    index = PromptIndex(context.clock)
    placer = Placer(directory, index, "z", targets, clock=context.clock)
    try:
        context.placement = placer.place(
            attrs.evolve(build_request(), max_wait_s=left_s * 0.7)
        )
        context.refusal = None
    except OverloadedError as error:
        context.refusal = error


@then("it is placed")
def step_is_placed(context):
    assert context.refusal is None and context.placement is not None


@then("it is refused with a retry time of {low_s:d} to {high_s:d} seconds")
def step_is_refused(context, low_s, high_s):
    assert low_s <= context.refusal.retry_after_s <= high_s, context.refusal


@given("an engine with 3 {activity} that sent its last byte 1 second ago")
def step_silent(context, activity):
    context.clock = Clock()
    directory = UpstreamDirectory(context.clock)
    directory.put(Upstream("u", "engines", "a:1"))
    context.status = directory.status("u")
    for _ in range(3):
        in_flight_request = directory.begin(context.status, 100)
        if activity == "streaming answers":
            in_flight_request.note_answering()
    context.clock.now_s += 1
    directory.sweep()


@then("it is held out")
def step_is_held_out(context):
    assert context.status.held_out_until_s > context.clock.now_s


@then("it is not held out")
def step_is_not_held_out(context):
    assert context.status.held_out_until_s <= context.clock.now_s


class MemoryBus:
    """Delivers each published message to the handlers of all peers."""

    _codec = MessageCodec("peer message", MESSAGE_KINDS, is_compact=True)

    def __init__(self, name):
        self.name = name
        self.peers = []
        self.handlers = {}

    def on_message(self, kind, handler):
        self.handlers[kind] = handler

    def publish(self, message):
        for peer in self.peers:
            peer.handlers[type(message)](
                self._codec.decode(self._codec.encode(message))
            )

    def view(self):
        records = [InstanceRecord(name, "a:1") for name in ("a", "b")]
        return FleetView(records, self.name, lambda name: PeerLiveness.ALIVE)

    def live_peers(self):
        return [r for r in self.view().records if r.name != self.name]


@given(
    "2 instances with 9 engines that tell each other which parts the engines prefill"
)
def step_instances_exchange(context):
    context.clock = Clock()
    buses = [MemoryBus("a"), MemoryBus("b")]
    buses[0].peers, buses[1].peers = [buses[1]], [buses[0]]
    context.sides = []
    for bus in buses:
        directory = UpstreamDirectory(context.clock)
        index = PromptIndex(context.clock)
        exchange = LoadExchange(bus, directory, index, context.clock)
        context.sides.append((directory, index, exchange))


@when("the first sends 40 prompts with 40 openings to random engines")
def step_sends(context):
    _, index, exchange = context.sides[0]
    draw = random.Random(3)
    context.sent = {}
    for number in range(40):
        chain = build_request(f"o{number}", f"x{number}").prompt
        upstream_id = f"e{draw.randrange(9)}"
        index.note_prefill(upstream_id, "1", chain)
        context.sent[number] = (upstream_id, chain)
        context.clock.now_s += 0.05
        exchange.step()
    context.clock.now_s += 1
    exchange.step()


@then("the second finds each opening held by the engine that the first sent it to")
def step_finds(context):
    _, index, _ = context.sides[1]
    for upstream_id, chain in context.sent.values():
        assert index.look_up("1", chain).held_tokens(upstream_id) == 6300
        assert index.look_up("2", chain).held_tokens(upstream_id) == 0
