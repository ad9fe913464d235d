"""Steps for reported cache contents of engines and stores, in simulated time."""

from behave import given, then, when
from cache_plan_steps import chain
from modelled_clock import Clock
from platform_world import wait_until

from kumquatseam.cachefeeds import (
    CacheClient,
    CacheFeeds,
    CacheHolder,
    CacheListing,
    CachePage,
    IndexQuery,
)
from kumquatseam.cachefeeds._poller import HolderPoller
from kumquatseam.placement import CachePlanner, CacheSource
from kumquatseam.prompts import HeldPart, PromptChain, PromptIndex, PromptPart
from kumquatseam.routes import EngineTraits

SALT = "1"
STEP_S = 0.05
LAG_S = 0.1


# One index.


@given("an index in which e0 holds a prompt of {shared:d} shared tokens")
def step_index(context, shared):
    context.clock = Clock()
    context.index = PromptIndex(context.clock)
    context.prompt = chain(shared, 500)
    context.index.note_prefill("e0", SALT, context.prompt)


def _report(context, after_s, parts, is_whole=False):
    context.clock.now_s += after_s
    held = [HeldPart(SALT, part_id, tokens) for part_id, tokens in parts]
    context.index.apply_holder_report("e0", held, is_whole)


@when("{seconds:g} seconds later e0 reports that it evicted the second part")
def step_dropped(context, seconds):
    _report(context, seconds, [("item", 0)])


@when(
    "{seconds:g} seconds later e0 reports that it holds {tokens:d} tokens of the "
    "second part"
)
def step_partial(context, seconds, tokens):
    _report(context, seconds, [("item", tokens)])


@when(
    "{seconds:g} seconds later e0 reports that it holds all whole blocks of both parts"
)
def step_blocks(context, seconds):
    parts = [(p.part_id, p.tokens // 16 * 16) for p in context.prompt.shared]
    _report(context, seconds, parts)


@when("{seconds:g} seconds later e0 lists only another prompt")
def step_lists_other(context, seconds):
    other = context.other = PromptChain(
        (PromptPart("elsewhere", 900), PromptPart("end", 50))
    )
    _report(context, seconds, [(p.part_id, p.tokens) for p in other.parts], True)


def _held_tokens(context, prompt):
    return context.index.look_up(SALT, prompt).held_tokens("e0")


@then("the index shows {tokens:d} tokens of it at e0")
def step_indexed(context, tokens):
    assert _held_tokens(context, context.prompt) == tokens


@then("the index shows both parts at e0")
def step_both_parts(context):
    missing = context.prompt.shared_tokens - _held_tokens(context, context.prompt)
    assert 0 <= missing < 2 * 16, missing


@then("the index shows the other prompt at e0")
def step_other_indexed(context):
    assert _held_tokens(context, context.other) == 900


# Instances and holders.


class ModelledHolder:
    """An engine or a store with cache events."""

    def __init__(self, number, prompts):
        self.info = CacheHolder(f"h{number}", f"10.0.0.{number}:1", f"h{number}", 1000)
        self.born_ms = 1000
        self.epoch = 1
        self.cached = {f"h{number}-p{n}": 1000 for n in range(prompts)}
        self.events = []
        self.first_event = 0
        self.lists = 0
        self.polls = 0
        self.is_silent = False

    def change(self, part_id, tokens):
        self.cached[part_id] = tokens
        self.events.append((part_id, tokens))


class ModelledClient(CacheClient):
    def close(self):
        pass

    def __init__(self, world):
        self._world = world

    def _find(self, holder):
        (found,) = [h for h in self._world.holders if h.info.holder == holder.holder]
        found.polls += 1
        return None if found.is_silent else found

    def list_parts(self, holder):
        found = self._find(holder)
        if found is None:
            return None
        found.lists += 1
        parts = tuple(HeldPart(SALT, p, t) for p, t in found.cached.items() if t)
        return CacheListing(found.epoch, len(found.events), parts, found.born_ms)

    def read_events(self, holder, since, wait_s):
        found = self._find(holder)
        if found is None:
            return None
        has_gap = since < found.first_event
        parts = tuple(HeldPart(SALT, p, t) for p, t in found.events[since:])
        number = len(found.events)
        return CachePage(found.epoch, number, parts, found.born_ms, has_gap)


class ModelledPoller(HolderPoller):
    """Polls in simulated time, when the pause returned by a step is over."""

    def __init__(self, instance, *arguments):
        super().__init__(*arguments, clock=instance.world.clock)
        self._instance = instance
        self._due_s = 0.0

    def start(self):
        self._due_s = self._instance.world.clock() + LAG_S
        self._instance.running.add(self)

    def close(self):
        self._instance.running.discard(self)

    def run_due(self):
        now_s = self._instance.world.clock()
        if now_s >= self._due_s:
            self._due_s = now_s + max(self.step(), LAG_S)


class ModelledInstance:
    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.is_down = False
        self.restart()

    def restart(self):
        world = self.world
        self.running = set()
        self.index = PromptIndex(world.clock)
        self.feeds = CacheFeeds(
            ModelledClient(world),
            self.index,
            self.name,
            lambda: [h.info for h in world.holders],
            world.instance_names,
            lambda: 16,
            world.clock,
            lambda *arguments: ModelledPoller(self, *arguments),
            lambda: self.world.tracked,
        )

    def step(self):
        self.feeds.step()
        for poller in list(self.running):
            poller.run_due()
        for update in self.feeds.pop_unsent_updates():
            self.world.send(self, update)


class CacheWorld:
    def __init__(self, instances, holders, prompts):
        self.clock = Clock()
        self.tracked = None
        self.holders = [ModelledHolder(n, prompts) for n in range(holders)]
        self.instances = []
        for number in range(instances):
            self.instances.append(ModelledInstance(self, f"i{number}"))

    def instance_names(self):
        """Return all names: failed instances are not detected, as in a large fleet."""
        return [instance.name for instance in self.instances]

    def send(self, sender, update):
        for other in self.instances:
            if other is not sender and not other.is_down:
                other.feeds.apply_update(update)

    def run(self, seconds):
        end_s = self.clock.now_s + seconds
        while self.clock.now_s < end_s:
            self.clock.now_s += STEP_S
            for instance in self.instances:
                if not instance.is_down:
                    instance.step()

    def alive(self):
        return [i for i in self.instances if not i.is_down]


@given(
    "{instances:d} instances and {holders:d} holders of {prompts:d} shared prompts each"
)
def step_world(context, instances, holders, prompts):
    context.cache_world = CacheWorld(instances, holders, prompts)


@when("{seconds:g} seconds pass for them")
def step_pass(context, seconds):
    context.cache_world.run(seconds)


def _indexed_parts(instance, holder):
    parts = instance.index.held_parts(holder.info.holder)
    return {part.part_id: part.tokens for part in parts}


@then("every instance's index matches every holder")
def step_all_match(context):
    world = context.cache_world
    for holder in world.holders:
        expected = {
            part_id: tokens for part_id, tokens in holder.cached.items() if tokens
        }
        for instance in world.alive():
            found = _indexed_parts(instance, holder)
            assert found == expected, (
                instance.name,
                holder.info.holder,
                found,
                expected,
            )


@then("each holder was listed at most {count:d} times")
def step_lists(context, count):
    lists = [holder.lists for holder in context.cache_world.holders]
    assert max(lists) <= count, lists


@then("each holder is polled by {count:d} instance")
def step_polled_by(context, count):
    world = context.cache_world
    for holder in world.holders:
        name = holder.info.holder
        polling = [i.name for i in world.alive() if name in i.feeds.polled_holders]
        assert len(polling) == count, (name, polling)


@when("each holder evicts {evictions:d} of its prompts and caches {additions:d} others")
def step_change(context, evictions, additions):
    world = context.cache_world
    for holder in world.holders:
        for part_id in list(holder.cached)[:evictions]:
            holder.change(part_id, 0)
        for number in range(additions):
            part_id = f"{holder.info.holder}-new{number}"
            # Each index has seen the part as shared in traffic to another engine.
            prompt = PromptChain((PromptPart(part_id, 700), PromptPart("end", 5)))
            for instance in world.instances:
                instance.index.note_prefill("elsewhere", SALT, prompt)
            holder.change(part_id, 700)


@when("the instance that polls the first holder fails")
def step_poller_fails(context):
    world = context.cache_world
    name = world.holders[0].info.holder
    (polling,) = [i for i in world.instances if name in i.feeds.polled_holders]
    polling.is_down = True


@when("one instance restarts and queries another")
def step_instance_restarts(context):
    world = context.cache_world
    name = world.holders[0].info.holder
    starting = next(i for i in world.instances if name not in i.feeds.polled_holders)
    other = next(i for i in world.instances if i is not starting)
    starting.restart()
    starting.feeds.apply_reply(other.feeds.answer(IndexQuery(starting.name)))


@when("the first holder evicts {evictions:d} of its prompts and loses the events")
def step_lost_events(context, evictions):
    holder = context.cache_world.holders[0]
    for part_id in list(holder.cached)[:evictions]:
        holder.change(part_id, 0)
    holder.first_event = len(holder.events)


@when("the first holder loses events every {every_s:g} seconds for {for_s:g} seconds")
def step_loses_repeatedly(context, every_s, for_s):
    for _ in range(int(for_s / every_s)):
        step_lost_events(context, 1)
        step_pass(context, every_s)


@when("the first holder restarts empty")
def step_holder_restarts(context):
    holder = context.cache_world.holders[0]
    holder.epoch += 1
    holder.cached.clear()
    holder.events.clear()


@when("the first holder has restarted without notice")
def step_other_incarnation(context):
    context.cache_world.holders[0].born_ms = 2000


@then("every index is empty for the first holder")
def step_index_empty(context):
    world = context.cache_world
    assert all(not _indexed_parts(i, world.holders[0]) for i in world.instances)


@when("a holder caches {count:d} parts that no other request contains")
def step_own_parts(context, count):
    for number in range(count):
        context.cache_world.holders[0].change(f"own-{number}", 300)


@then("only the instance that polls it has these in its index")
def step_only_poller(context):
    world = context.cache_world
    holder = world.holders[0]
    indexing = [i.name for i in world.instances if "own-0" in _indexed_parts(i, holder)]
    polling = [i.name for i in world.instances if i.feeds.polled_holders]
    assert indexing == polling and len(polling) == 1, (indexing, polling)


@when("the first holder stops answering")
def step_silent(context):
    context.cache_world.holders[0].is_silent = True


@then("it was polled at most {count:d} times")
def step_polls(context, count):
    assert context.cache_world.holders[0].polls <= count


# Sources.


@given("a prompt held by an engine and by a store behind a slow link")
def step_two_sources(context):
    context.clock = Clock()
    context.index = PromptIndex(context.clock)
    context.prompt = chain(6000, 500)
    context.index.note_prefill("e0", SALT, context.prompt, "store:1")
    context.clock.now_s += 1
    traits = EngineTraits(64, 168_000, ("m0",), 12, 18_432, 370_000.0)
    store = CacheSource("store:1", "store:1", "z0", 28_000.0)
    holders = context.index.look_up(SALT, context.prompt)
    engine = CacheSource("e0", "e0:1", "z1")
    context.both = CachePlanner(context.prompt, holders, [store, engine], traits)
    context.alone = CachePlanner(context.prompt, holders, [store], traits)


@then("another engine fetches it from the engine")
def step_from_engine(context):
    plan = context.both.plan("e1", "z0")
    assert plan.source.holder == "e0" and plan.fetched_tokens == 6000, plan


@then("the estimated transfer time from the store uses the slower link")
def step_slow_link(context):
    # 6,000 tokens of 18,432 bytes over 28 Gbit/s take 31.6 ms.
    assert 31 < context.alone.plan("e1", "z0").fetch_ms < 32


# A process.


@when("the gateway restarts")
def step_gateway_restarts(context):
    gateway = context.platform.gateways[0]

    def has_written():
        return any(d["event"] == "Placed." for d in gateway.lines())

    wait_until("the first request is logged", has_written)
    gateway.close()
    context.lines_before = len(gateway.lines())
    gateway.start()
    wait_until("ready", gateway.is_ready)

    def has_listed():
        lines = gateway.lines()[context.lines_before :]
        return (
            sum(d["event"] == "A holder listed its cache contents." for d in lines) == 2
        )

    wait_until("both engines listed", has_listed)


@then("the second request goes to the engine that holds the first one's parts")
def step_goes_there(context):
    def placed():
        lines = context.platform.gateways[0].lines()
        found = [d for d in lines if d["event"] == "Placed."]
        return found if len(found) == 2 else None

    first, second = wait_until("both placed", placed)
    assert first["upstream"] == second["upstream"], (first, second)
    assert second["held_tokens"] == second["shared_tokens"] == 1210, second


# A large fleet.


@given(
    "an instance that tracks {tracked:d} of {holders:d} holders of {prompts:d} shared "
    "prompts each"
)
def step_tracks(context, tracked, holders, prompts):
    context.cache_world = CacheWorld(1, holders, prompts)
    step_tracks_first(context, tracked)


@when("it tracks the first {tracked:d} again")
def step_tracks_first(context, tracked):
    context.cache_world.tracked = {f"h{n}" for n in range(tracked)}


@when("it tracks 1 other holder instead")
def step_tracks_other(context):
    context.cache_world.tracked = {"h5"}


@then("its index matches these {count:d} and has no other holders")
@then("its index matches this {count:d} and has no other holders")
def step_only_tracked(context, count):
    world = context.cache_world
    (instance,) = world.instances
    assert len(world.tracked) == count
    for holder in world.holders:
        name = holder.info.holder
        indexed = {p.part_id for p in instance.index.held_parts(name)}
        expected = set(holder.cached) if name in world.tracked else set()
        assert indexed == expected, (name, len(indexed), len(expected))
    assert instance.feeds.polled_holders == world.tracked
