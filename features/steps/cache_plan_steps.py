"""Steps for cache plans: where engines get the cached parts of prompts from."""

import collections

from behave import given, then, when
from modelled_clock import Clock

from kumquatseam.placement import (
    BroadcastWork,
    CachePlanner,
    CacheSource,
    EngineComparison,
    HolderScope,
    PlacementOption,
    PlacementRequest,
    Placer,
    select_store,
)
from kumquatseam.prompts import HeldPart, PromptChain, PromptIndex, PromptPart
from kumquatseam.routes import CacheStore, EngineTraits, ServiceTraits
from kumquatseam.upstreams import (
    Upstream,
    UpstreamDirectory,
    WeightsTargets,
    WeightsVersion,
)

STORE = CacheSource("store:1", "store:1", "z0")
TRAITS = EngineTraits(48, 100_000, ("m0",))
ZONES = {"e0": "z0", "e1": "z1", "e2": "z1"}


def chain(shared=6000, own=2000, item="item"):
    common = shared // 3
    return PromptChain(
        (
            PromptPart("common", common),
            PromptPart(item, shared - common),
            PromptPart(f"own-{item}", own),
        )
    )


@given(
    "an engine e0 that prefilled a prompt of {shared:d} shared and {own:d} own tokens"
)
def step_prefilled(context, shared, own):
    context.clock = Clock()
    context.index = PromptIndex(context.clock)
    context.prompt = chain(shared, own)
    context.index.note_prefill("e0", "1", context.prompt)


@given("it sent them to the store")
def step_sent(context):
    context.index.note_prefill("e0", "1", context.prompt, STORE.address)


@given("engine e1 prefilled it too")
def step_prefilled_too(context):
    context.index.note_prefill("e1", "1", context.prompt)


def _plan(context, engine, salt="1"):
    holders = context.index.look_up(salt, context.prompt)
    sources = [STORE, *(CacheSource(n, f"{n}:1", z) for n, z in ZONES.items())]
    planner = CachePlanner(context.prompt, holders, sources, TRAITS)
    context.plan = planner.plan(engine, ZONES[engine])


@when("the prompt is planned for {engine} a second later")
def step_plan_later(context, engine):
    context.clock.now_s += 1
    _plan(context, engine.split(",")[0])


@when("the prompt is planned for {engine} at once")
def step_plan_at_once(context, engine):
    _plan(context, engine)


@when("the prompt is planned for {engine} on other weights")
def step_plan_other(context, engine):
    context.clock.now_s += 1
    _plan(context, engine, salt="2")


@then("it has {held:d} tokens, fetches {fetched:d} and prefills {prefilled:d}")
def step_planned(context, held, fetched, prefilled):
    plan = context.plan
    found = (plan.held_tokens, plan.fetched_tokens, plan.prefill_tokens)
    assert found == (held, fetched, prefilled), found


@then("it fetches them from {source}")
def step_source(context, source):
    expected = STORE.address if source == "the store" else f"{source}:1"
    assert context.plan.source.address == expected, context.plan.source


@then("{count:d} of them would be prefilled twice")
def step_repeated(context, count):
    assert context.plan.repeated_tokens == count, context.plan


@given("an engine e0 whose first part was evicted")
def step_evicted(context):
    context.clock = Clock()
    context.index = PromptIndex(context.clock)
    context.prompt = chain()
    context.index.note_prefill("e0", "1", context.prompt)
    first = context.prompt.shared[0]
    context.index._remove_holder_of(("1", first.part_id), "e0")


@given(
    "an engine with memory for {capacity:d} tokens that prefilled {count:d} prompts of "
    "{tokens:d} tokens"
)
def step_small_engine(context, capacity, count, tokens):
    context.index = PromptIndex(Clock())
    context.index.set_engine_capacity(capacity)
    context.chains = [
        PromptChain((PromptPart(f"p{n}", tokens), PromptPart("own", 1)))
        for n in range(count)
    ]
    for prompt in context.chains:
        context.index.note_prefill("e0", "1", prompt)


@then("the index lists the last {count:d} of them as held")
def step_listed_as_held(context, count):
    held = [
        context.index.look_up("1", prompt).held_tokens("e0") > 0
        for prompt in context.chains
    ]
    assert held == [False] * (len(held) - count) + [True] * count, held


@given("{count:d} stores")
def step_stores(context, count):
    context.stores = [CacheStore(f"s{n}:1", f"z{n}", 1_000_000) for n in range(count)]


@when(
    "{prompts:d} prompts of {items:d} items are sent by 2 instances that list the "
    "stores in different orders"
)
def step_partitioned(context, prompts, items):
    context.chosen = collections.defaultdict(set)
    for number in range(prompts):
        prompt = chain(item=f"item-{number % items}")
        for stores in (context.stores, context.stores[::-1]):
            context.chosen[number % items].add(select_store(prompt, stores))


@then("each item's parts go to one store")
def step_one_store(context):
    assert all(len(stores) == 1 for stores in context.chosen.values())


@then("each store has between {fewest:d} and {most:d} of the items")
def step_balanced(context, fewest, most):
    counts = collections.Counter(next(iter(s)) for s in context.chosen.values())
    assert len(counts) == len(context.stores)
    assert all(fewest <= count <= most for count in counts.values()), counts


def _build_placer(context, engines):
    context.clock = Clock()
    directory = UpstreamDirectory(context.clock)
    weights = (WeightsVersion("m0", 1),)
    for number in range(engines):
        directory.put(
            Upstream(f"e{number}", "engines", f"e{number}:1", "z0", 48, False, weights)
        )
    targets = WeightsTargets(context.clock)
    targets.add_new(weights[0])
    context.directory = directory
    context.index = PromptIndex(context.clock)
    context.placer = Placer(
        directory, context.index, "z0", targets, clock=context.clock
    )


def _place(context, prompt):
    """Place a prompt and record that it is sent; return its placement."""
    service = ServiceTraits("engines", engine=TRAITS)
    stores = (CacheStore(STORE.address, "z0", 1_000_000),)
    request = PlacementRequest(
        "id", service, None, "m0", prompt, frozenset(), 1, cache_stores=stores
    )
    placement = context.placer.place(request)
    upstream_id = placement.status.upstream.upstream_id
    context.index.note_prefill(
        upstream_id, placement.salt, prompt, placement.cache_target
    )
    context.directory.begin(placement.status, placement.prefill_tokens)
    return placement


@given("an instance whose engine sent a prompt to the store")
def step_sent_prompt(context):
    _build_placer(context, 1)
    assert _place(context, chain()).cache_target == STORE.address
    context.clock.now_s += 1


@when("the same prompt arrives again")
def step_again(context):
    context.placement = _place(context, chain())


@then("it is not sent to the store")
def step_not_sent(context):
    assert context.placement.cache_target == ""
    assert context.placement.cache_source == STORE.address


@then("another prompt is")
def step_other_sent(context):
    assert _place(context, chain(item="other")).cache_target == STORE.address


@given("{count:d} engines that have just loaded new weights")
def step_new_weights(context, count):
    _build_placer(context, count)


def _burst(context, count, tag):
    """Place prompts within 200 ms; return the engines that prefill their opening."""
    prefilling = set()
    for number in range(count):
        context.clock.now_s += 0.2 / count
        prompt = PromptChain(
            (PromptPart("opening", 4000), PromptPart(f"{tag}{number}", 300))
        )
        before = context.index.look_up("1", prompt)
        placement = _place(context, prompt)
        upstream_id = placement.status.upstream.upstream_id
        can_fetch = before.settled_tokens(STORE.address) > 0
        if not before.held_tokens(upstream_id) and not can_fetch:
            prefilling.add(upstream_id)
    return prefilling


@when("{count:d} prompts with one opening of 4000 tokens arrive within 200 ms")
def step_burst(context, count):
    context.prefilling = _burst(context, count, "a")


@then("at most {count:d} engines prefill the opening")
def step_few_engines(context, count):
    assert 1 <= len(context.prefilling) <= count, context.prefilling


@when("{count:d} more arrive a second later")
def step_more_later(context, count):
    context.clock.now_s += 1
    context.prefilling = _burst(context, count, "b")


@then("no engine prefills the opening again")
def step_none_again(context):
    assert not context.prefilling, context.prefilling


@given("a full store whose least recently used part is {age_s:d} seconds old")
def step_full_store(context, age_s):
    context.clock = Clock()
    context.index = PromptIndex(context.clock)
    context.index.set_capacity(STORE.address, 50_000)
    old = [HeldPart("0", f"old-{n}", 4000) for n in range(12)]
    context.index.apply_holder_report(STORE.address, old)
    context.clock.now_s += age_s


@given("it has {which} of a prompt's shared parts")
def step_store_has(context, which):
    context.prompt = chain()
    shared = context.prompt.shared
    stored = {"none": (), "the first": shared[:1], "all": shared}[which]
    held = [HeldPart("1", part.part_id, part.tokens) for part in stored]
    context.index.apply_holder_report(STORE.address, held)


def _compare(context, zones):
    directory = UpstreamDirectory(context.clock)
    weights = (WeightsVersion("m0", 1),)
    options = []
    for name, zone in zones.items():
        upstream = Upstream(name, "engines", f"{name}:1", zone, 48, weights=weights)
        directory.put(upstream)
        options.append(PlacementOption(directory.status(name), 1))
    request = PlacementRequest(
        "r",
        ServiceTraits("engines", engine=TRAITS),
        None,
        "m0",
        context.prompt,
        frozenset(),
        1,
        cache_stores=(CacheStore(STORE.address, "z0", 50_000),),
    )
    work = BroadcastWork(directory, context.index)
    comparison = EngineComparison(request, work, directory)
    return comparison, comparison.best(options)


@then("an engine that prefills the prompt {outcome} it to the store")
def step_sends_to_store(context, outcome):
    comparison, choice = _compare(context, {"e0": "z0"})
    expected = STORE.address if outcome == "sends" else ""
    assert comparison.cache_target(choice) == expected


@given("a prompt that an engine and the store of its zone hold")
def step_both_hold(context):
    context.clock = Clock()
    context.index = PromptIndex(context.clock)
    context.prompt = chain()
    context.index.note_prefill("e0", "1", context.prompt, STORE.address)
    context.clock.now_s += 1


@when("the prompt is planned for an engine of that zone that lacks it")
def step_plan_for_other(context):
    context.comparison, _ = _compare(context, {"e0": "z0", "e9": "z0"})
    scopes = [HolderScope("e0", "1"), HolderScope(STORE.address, "1")]
    view = context.comparison._work.view(context.prompt, scopes)
    context.source = context.comparison._planner(1, view).plan("e9", "z0").source


@then("it fetches from the engine")
def step_from_engine(context):
    assert context.source.holder == "e0", context.source
