"""Steps for the gateway's decisions, on typed inputs alone."""

import json
import random
import socket

import attrs
import gevent
import gevent.socket
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as fuzz_settings
from hypothesis import strategies as st

from kumquatseam.admission import RetryBudget
from kumquatseam.codec import MessageCodec
from kumquatseam.errors import OverloadedError
from kumquatseam.fleet import DutyLease
from kumquatseam.gateway._events import EventSplitter
from kumquatseam.http1 import (
    BadRequestError,
    IdleConnectionError,
    Request,
    RequestLimits,
    RequestReader,
)
from kumquatseam.peers import (
    MESSAGE_KINDS,
    FleetView,
    Hearing,
    InstanceRecord,
    LoadExchange,
    RolloutNotice,
)
from kumquatseam.placement import (
    Candidate,
    PlacementRequest,
    Placer,
    choose,
)
from kumquatseam.platform._decoding import (
    DecodingError,
    decode_route_table,
    decode_upstream,
    decode_weights,
)
from kumquatseam.prompts import PromptChain, PromptIndex, PromptPart
from kumquatseam.rollouts import EngineState, RolloutView, plan_loads
from kumquatseam.routes import EngineTraits, RouteTable, ServiceTraits
from kumquatseam.settings import AdmissionSettings
from kumquatseam.standins.logservice import LogStore, LogStoreLimits
from kumquatseam.upstreams import (
    Upstream,
    UpstreamDirectory,
    WeightsNamed,
    WeightsTargets,
)

FUZZ = fuzz_settings(derandomize=True, deadline=None, max_examples=300, database=None)
ENGINES = ServiceTraits("engines", engine=EngineTraits(48, 100_000, ("m0",)))


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def engine(
    number, version, running, target=None, loading=False, slots=48, reachable=True
):
    return EngineState(
        f"e{number:02}",
        version,
        version == target,
        loading,
        running,
        slots,
        is_reachable=reachable,
    )


# Rollouts.


@given("{count:d} engines of {slots:d} slots with {runs:d} runs each on weights 1")
def step_engines(context, count, slots, runs):
    context.engines = [(1, runs, slots)] * count
    context.unreachable = 0


@given("{count:d} of them already run weights {version:d}")
def step_some_ready(context, count, version):
    runs, slots = context.engines[0][1:]
    context.engines[:count] = [(version, runs, slots)] * count


@given("{count:d} more engines run weights {version:d}")
def step_more(context, count, version):
    context.engines = context.engines + [(version, 10, 48)] * count


@given("{count:d} of them cannot be reached")
def step_unreachable(context, count):
    context.unreachable = count


@then("none of the engines that cannot be reached is among them")
def step_none_unreachable(context):
    gone = {f"e{i:02}" for i in range(context.unreachable)}
    assert not gone & {*context.plan.order_now, *context.plan.destinations}


@when("weights {version:d} are named")
def step_named(context, version):
    context.target = version
    _plan(context, 0.1)


@when("{age_s:g} seconds have passed")
def step_passed(context, age_s):
    _plan(context, age_s)


def _plan(context, age_s):
    context.states = [
        engine(
            i,
            version,
            runs,
            context.target,
            slots=slots,
            reachable=i >= context.unreachable,
        )
        for i, (version, runs, slots) in enumerate(context.engines)
    ]
    context.plan = plan_loads(context.states, age_s)


@then("{count:d} engines load, and their runs go to {kept:d} engines that load last")
def step_waves(context, count, kept):
    plan = context.plan
    assert len(plan.order_now) == count, plan
    assert len(plan.destinations) == kept, plan
    assert not set(plan.order_now) & set(plan.destinations), plan


@then("{count:d} engines load")
def step_load_count(context, count):
    assert len(context.plan.order_now) == count, context.plan


@then("no engine loads")
def step_none_load(context):
    assert not context.plan.order_now, context.plan


@then("no engine is closed to new work yet")
def step_none_closed(context):
    assert not context.plan.closing, context.plan


@then("the {count:d} engines that do not load yet are closed to new work")
def step_last_closed(context, count):
    plan = context.plan
    assert len(plan.closing) == count, plan
    assert not set(plan.closing) & set(plan.order_now), plan
    assert set(plan.destinations) <= set(plan.closing), plan


@then("the engines that load all ran weights {version:d}")
def step_loaded_version(context, version):
    versions = {e.upstream_id: e.version for e in context.states}
    assert context.plan.order_now
    assert {versions[i] for i in context.plan.order_now} == {version}, context.plan


@then("of any number of engines up to 80 at most 0.4 load at once, and all get there")
def step_any_size(context):
    for count in range(1, 81):
        states = {f"e{i:02}": engine(i, 1, 5) for i in range(count)}
        for round_number in range(200):
            plan = plan_loads(list(states.values()), 0.05 * round_number)
            assert len(plan.order_now) <= max(1, int(count * 0.4)), plan
            for upstream_id in plan.order_now:
                states[upstream_id] = engine(int(upstream_id[1:]), 2, 0, 2)
        assert all(state.has_target for state in states.values()), count


# Placement.


@given("an engine that holds 6300 of 9190 tokens and one that holds none")
def step_two_engines(context):
    context.choose = lambda pending: (
        choose(
            [
                Candidate("holds", 2890, 0, 48, 0, 0.0, pending),
                Candidate("lacks", 9190, 0, 48, 1),
            ]
        ).upstream_id
    )


@then("the prompt goes to the first while it has fewer than 6300 tokens to read")
def step_first(context):
    assert context.choose(0) == context.choose(6200) == "holds"


@then("to the second beyond that")
def step_second(context):
    assert context.choose(6700) == "lacks"


def _placer(clock, entries):
    directory = UpstreamDirectory(clock)
    for upstream_id, version in entries:
        weights = (WeightsNamed("m0", version),)
        directory.put(
            Upstream(upstream_id, "engines", "127.0.0.1:1", slots=48, weights=weights)
        )
    targets = WeightsTargets(clock)
    return Placer(directory, PromptIndex(clock), "z", targets, clock=clock), targets


def _request(opening="o", own="x"):
    parts = (PromptPart("i", 2520), PromptPart(opening, 3780), PromptPart(own, 2890))
    return PlacementRequest(
        "r", ENGINES, None, "m0", PromptChain(parts), frozenset(), 1
    )


@given("2 instances that know the same 9 engines in different orders")
def step_two_instances(context):
    entries = [(f"e{i}", 1) for i in range(9)]
    shuffled = random.Random(7).sample(entries, 9)
    context.placers = [_placer(Clock(), e)[0] for e in (entries, shuffled)]


@then("200 prompts of 50 openings go to the same engines from both")
def step_same_engines(context):
    used = set()
    for number in range(200):
        request = _request(f"o{number % 50}", f"x{number}")
        first, second = (
            p.place(request).status.upstream.upstream_id for p in context.placers
        )
        assert first == second, (number, first, second)
        used.add(first)
    assert len(used) == 9, used


@given("an engine on weights 1 and none on weights 2")
def step_old_engine(context):
    context.clock = Clock()
    context.placer, context.targets = _placer(context.clock, [("e0", 1)])
    context.targets.take(WeightsNamed("m0", 1))
    context.targets.take(WeightsNamed("m0", 2))
    context.began_s = context.clock.now_s


@when("weights 2 have been named for {age_s:d} seconds")
def step_named_for(context, age_s):
    context.clock.now_s = context.began_s + age_s
    context.placement = context.placer.place(_request())


@then("the request goes to the engine on weights 1")
def step_goes(context):
    assert context.placement.version == 1


@then("the request goes nowhere")
def step_nowhere(context):
    assert context.placement is None


@given("weights 2, 3 and 4 named at 0, 4 and 8 seconds")
def step_series(context):
    clock = context.clock = Clock()
    context.targets = WeightsTargets(clock)
    for version in (2, 3, 4):
        context.targets.take(WeightsNamed("m0", version))
        clock.now_s += 4


@then("at 9 seconds weights 1 are replaced for 9 and weights 3 for 1 seconds")
def step_replaced(context):
    context.clock.now_s -= 3
    assert context.targets.replaced_age_s("m0", 1) == 9
    assert context.targets.replaced_age_s("m0", 3) == 1
    assert context.targets.replaced_age_s("m0", 4) == 0


# Leases, budgets, failures.


@given("a lease with a fencing token that an engine refused")
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
    context.lease.give_up()


@then("the holder has no token any more")
def step_no_token(context):
    assert context.lease.fence is None
    context.lease.step()
    assert context.lease.fence is None


@then("7 instances that retry all they may stay below 0.2 of 600 requests and 54")
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
        budget.note_request()
        while budget.take():
            retries += 1
    assert retries <= 0.2 * 600 + 54, retries


@given("an upstream whose connections fail 3 times in a row")
def step_failing(context):
    context.clock = Clock()
    directory = UpstreamDirectory(context.clock)
    directory.put(Upstream("u", "plain", "127.0.0.1:1"))
    context.status = directory.status("u")
    for _ in range(3):
        directory.note_broken(context.status, "test")


@then("it is left out for 2 seconds and takes work again after that")
def step_left_out(context):
    assert context.status.held_out_until_s == context.clock.now_s + 2.0


# Fuzzing.


@then("any split of a stream gives the same whole events and the last id")
def step_split(context):
    stream = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 9))

    @FUZZ
    @for_all(st.lists(st.integers(0, len(stream)), max_size=12))
    def check(cuts):
        splitter = EventSplitter()
        edges = [0, *sorted(cuts), len(stream)]
        out = b""
        for start, end in zip(edges, edges[1:], strict=False):
            whole = splitter.feed(stream[start:end])
            assert whole == b"" or whole.endswith(b"\n\n")
            out += whole
        assert out + splitter.rest() == stream
        assert splitter.last_id == "8"

    check()


def _read_all(data: bytes) -> list[Request]:
    """Return the requests in ``data``; raises what the reader raises."""
    ours, theirs = gevent.socket.socketpair()
    try:
        theirs.sendall(data)
        theirs.shutdown(socket.SHUT_WR)
        reader = RequestReader(ours, RequestLimits(2048, 4096, 0.2, 0.2))
        found = []
        while True:
            found.append(reader.read())
    except IdleConnectionError:
        return found
    finally:
        ours.close()
        theirs.close()


@then("no bytes make the request reader fail in another way")
def step_fuzz_requests(context):
    pieces = st.sampled_from(
        [
            b"GET /a/ HTTP/1.1\r\n",
            b"POST /a/ HTTP/1.1\r\n",
            b"Host: a\r\n",
            b"Content-Length: 3\r\n",
            b"Content-Length: 9999\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Connection: upgrade\r\nUpgrade: h2c\r\n",
            b"X: " + b"y" * 3000 + b"\r\n",
            b"\r\n",
            b"abc",
            b"3\r\nabc\r\n0\r\n\r\n",
        ]
    )
    parts = st.lists(st.one_of(pieces, st.binary(max_size=20)), max_size=8)

    @FUZZ
    @for_all(parts)
    def check(found):
        data = b"".join(found)
        try:
            requests = _read_all(data)
        except BadRequestError:
            return
        assert sum(len(r.body) for r in requests) <= len(data)
        for request in requests:
            assert len(request.body) <= 4096

    check()
    assert [
        r.body for r in _read_all(b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi")
    ]


@then("no record makes the decoders fail in another way")
def step_fuzz_records(context):
    route = {"name": "r", "host": "h", "pathPrefix": "/", "kind": "stream"}
    good = {
        "version": 1,
        "routes": [{**route, "timeoutMs": 1, "service": "s"}],
        "services": [{"name": "s", "engine": {"slots": 1, "kvCapacityTokens": 1}}],
        "tenants": [{"name": "t", "apiKeys": ["k"]}],
        "limits": {},
    }
    assert isinstance(decode_route_table(json.dumps(good).encode()), RouteTable)
    names = st.sampled_from(
        ["version", "routes", "services", "tenants", "limits", "model", "address"]
    )
    leaves = st.one_of(st.none(), st.integers(), st.text(max_size=3), st.floats())
    values = st.recursive(
        leaves,
        lambda inner: st.one_of(
            st.lists(inner, max_size=3), st.dictionaries(names, inner, max_size=5)
        ),
        max_leaves=8,
    )
    records = st.one_of(
        st.binary(max_size=30),
        values.map(lambda v: json.dumps(v).encode()),
        st.dictionaries(names, values).map(
            lambda changed: json.dumps({**good, **changed}).encode()
        ),
    )

    @FUZZ
    @for_all(records)
    def check(record):
        for decode in (
            decode_route_table,
            decode_weights,
            lambda value: decode_upstream("u", value),
        ):
            try:
                decode(record)
            except DecodingError:
                continue

    check()


@given("a run on weights 1 whose engine hands its runs to another")
def step_run_to_move(context):
    context.clock = Clock()
    entries = [("e0", 1), ("e1", 1)]
    context.placer, context.targets = _placer(context.clock, entries)
    context.targets.take(WeightsNamed("m0", 1))
    context.run = context.placer.place(_request())
    (other,) = {"e0", "e1"} - {context.run.status.upstream.upstream_id}
    context.run.status.move_runs_to = (other,)
    context.targets.take(WeightsNamed("m0", 2))
    context.began_s = context.clock.now_s


@then("the run may move")
def step_may_move(context):
    assert context.placer.destination(context.run) is not None


@then("the run stays where it is")
def step_stays_there(context):
    assert context.placer.destination(context.run) is None


@given(
    "a team's request with {left_s:d} seconds left before engines with {tokens:d} "
    "tokens to read"
)
def step_waiting(context, left_s, tokens):
    context.clock = Clock()
    directory = UpstreamDirectory(context.clock)
    weights = (WeightsNamed("m0", 1),)
    for number in range(3):
        upstream = Upstream(f"e{number}", "engines", "a:1", slots=48, weights=weights)
        directory.put(upstream)
        directory.begin(directory.status(f"e{number}"), tokens)
    targets = WeightsTargets(context.clock)
    index = PromptIndex(context.clock)
    placer = Placer(directory, index, "z", targets, clock=context.clock)
    try:
        context.placement = placer.place(
            attrs.evolve(_request(), longest_wait_s=left_s * 0.7)
        )
        context.refusal = None
    except OverloadedError as error:
        context.refusal = error


@then("it is placed")
def step_is_placed(context):
    assert context.refusal is None and context.placement is not None


@then("it is refused, to come back in {low_s:d} to {high_s:d} seconds")
def step_is_refused(context, low_s, high_s):
    assert low_s <= context.refusal.retry_after_s <= high_s, context.refusal


@given("an engine with 3 {what} that sent its last byte 1 second ago")
def step_silent(context, what):
    context.clock = Clock()
    directory = UpstreamDirectory(context.clock)
    directory.put(Upstream("u", "engines", "a:1"))
    context.status = directory.status("u")
    for _ in range(3):
        occupancy = directory.begin(context.status, 100)
        if what == "answers under way":
            occupancy.note_answering()
    context.clock.now_s += 1
    directory.sweep()


@then("it is left out")
def step_is_left_out(context):
    assert context.status.held_out_until_s > context.clock.now_s


@then("it is not left out")
def step_is_not_left_out(context):
    assert context.status.held_out_until_s <= context.clock.now_s


def _starting(context, entries, known=None):
    context.clock = Clock()
    context.placer, context.targets = _placer(context.clock, entries)
    if known is not None:
        context.targets.take(WeightsNamed("m0", known))
    else:
        context.targets.take_known(WeightsNamed("m0", 2))
    context.began_s = context.clock.now_s


@given(
    "an engine on weights 1, one on weights 2, and a process that has just read the "
    "newest"
)
def step_just_read(context):
    _starting(context, [("e0", 1), ("e1", 2)])


@given("an engine on weights 1, and a process that has just read the newest")
def step_just_read_alone(context):
    _starting(context, [("e0", 1)])


@given("an engine on weights 1 and one on weights 2 in a process that knows weights 1")
def step_knows_old(context):
    _starting(context, [("e0", 1), ("e1", 2)], known=1)


@when("it hears that weights 2 were named {age_s:d} seconds ago")
def step_hears(context, age_s):
    context.targets.hear(WeightsNamed("m0", 2), age_s)


@when("weights 2 have been known for {age_s:d} seconds")
def step_known_for(context, age_s):
    step_named_for(context, age_s)


def _versions_used(context):
    return {context.placer.place(_request(f"o{n}")).version for n in range(30)}


@then("its requests go to the engine on weights 2 only")
def step_only_new(context):
    assert _versions_used(context) == {2}


@then("its requests may go to the engine on weights 1 as well")
def step_both(context):
    assert _versions_used(context) == {1, 2}


@then("the request goes to the engine on weights 1 for now")
def step_old_for_now(context):
    assert context.placer.place(_request()).version == 1


def _entry(version):
    return Upstream("u", "engines", "a:1", weights=(WeightsNamed("m0", version),))


@given("an engine known to run weights {version:d} after {orders:d} orders")
def step_known_engine(context, version, orders):
    context.clock = Clock()
    context.directory = UpstreamDirectory(context.clock)
    context.directory.put(_entry(1))
    context.status = context.directory.status("u")
    step_report_says(context, version, orders)


@when("its entry says weights {version:d} a moment later")
def step_entry_says(context, version):
    context.clock.now_s += 0.5
    context.directory.put(_entry(version))


@when("its entry says weights {version:d} two seconds later")
def step_entry_says_later(context, version):
    context.clock.now_s += 2
    context.directory.put(_entry(version))


@when("its report says weights {version:d} after {orders:d} orders")
def step_report_says(context, version, orders):
    context.status.note_report("m0", version, orders, context.clock())


@when("an answer of its names weights {version:d}")
def step_answer_names(context, version):
    context.status.note_answered("m0", version, context.clock())


@then("it is known to run weights {version:d}")
def step_known_version(context, version):
    assert context.status.version_of("m0") == version


class MemoryBus:
    """Hands messages to every handler, as peers would."""

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
        return FleetView(records, self.name, lambda name: Hearing.ALIVE)

    def heard(self):
        return [r for r in self.view().records if r.name != self.name]


@given("2 instances before 9 engines that tell each other what their engines read")
def step_telling(context):
    context.clock = Clock()
    buses = [MemoryBus("a"), MemoryBus("b")]
    buses[0].peers, buses[1].peers = [buses[1]], [buses[0]]
    context.sides = []
    for bus in buses:
        directory = UpstreamDirectory(context.clock)
        index = PromptIndex(context.clock)
        exchange = LoadExchange(bus, directory, index, context.clock)
        context.sides.append((directory, index, exchange))


@when("the first sends 40 prompts of 40 openings under a load that moves them about")
def step_sends(context):
    _, index, exchange = context.sides[0]
    chance = random.Random(3)
    context.sent = {}
    for number in range(40):
        chain = _request(f"o{number}", f"x{number}").prompt
        upstream_id = f"e{chance.randrange(9)}"
        index.note_read(upstream_id, "1", chain)
        context.sent[number] = (upstream_id, chain)
        context.clock.now_s += 0.05
        exchange.step()
    context.clock.now_s += 1
    exchange.step()


@then("the second finds each opening held where the first sent it")
def step_finds(context):
    _, index, _ = context.sides[1]
    for upstream_id, chain in context.sent.values():
        assert index.look_up("1", chain).held_tokens(upstream_id) == 6300
        assert index.look_up("2", chain).held_tokens(upstream_id) == 0


def _notice(context, model, loading):
    context.notices = getattr(context, "notices", 0) + 1
    notice = RolloutNotice(
        "a", 1, context.notices, model, 2, loading, (), (), named_age_s=1.0
    )
    assert context.view.take(notice)


@given("a process told that e0 loads weights of m0")
def step_told(context):
    context.clock = Clock()
    context.directory = UpstreamDirectory(context.clock)
    context.directory.put(Upstream("e0", "engines", "a:1"))
    targets = WeightsTargets(context.clock)
    context.view = RolloutView(context.directory, targets, context.clock)
    _notice(context, "m0", ("e0",))


@when("it is told that nothing loads weights of {model}")
def step_told_nothing(context, model):
    _notice(context, model, ())


@then("e0 takes no work")
def step_blocked(context):
    assert context.directory.status("e0").blocked_until_s > context.clock.now_s


@then("e0 takes work again")
def step_unblocked(context):
    assert context.directory.status("e0").blocked_until_s <= context.clock.now_s


@given("engines on weights 1, 3 and 4 and a process that has just read weights 4")
def step_read_four(context):
    context.clock = Clock()
    entries = [("e0", 1), ("e1", 3), ("e2", 4)]
    context.placer, context.targets = _placer(context.clock, entries)
    context.targets.take_known(WeightsNamed("m0", 4))


@when(
    "it hears that weights 4 were named {age_s:d} seconds ago in place of weights "
    "{before:d}"
)
def step_hears_before(context, age_s, before):
    context.targets.hear(WeightsNamed("m0", 4), age_s, before)


@then("its requests go to engines on weights 3 and 4 only")
def step_three_and_four(context):
    assert _versions_used(context) == {3, 4}
