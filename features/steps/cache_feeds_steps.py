"""Steps for what engines and stores say that they keep, in modelled time."""

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
    HolderReader,
    IndexQuestion,
)
from kumquatseam.placement import CachePlanner, CacheSource
from kumquatseam.prompts import HeldPart, PromptChain, PromptIndex, PromptPart
from kumquatseam.routes import EngineTraits

SALT = "1"
STEP_S = 0.05
LAG_S = 0.1


# One index.


@given("an index that believes e0 holds a prompt of {shared:d} shared tokens")
def step_index(context, shared):
    context.clock = Clock()
    context.index = PromptIndex(context.clock)
    context.prompt = chain(shared, 500)
    context.index.note_prefill("e0", SALT, context.prompt)


def _says(context, after_s, parts, is_whole=False):
    context.clock.now_s += after_s
    held = [HeldPart(SALT, part_id, tokens) for part_id, tokens in parts]
    context.index.apply_holder_report("e0", held, is_whole)


@when("{seconds:g} seconds later e0 says that it dropped the second part")
def step_dropped(context, seconds):
    _says(context, seconds, [("item", 0)])


@when(
    "{seconds:g} seconds later e0 says that it keeps {tokens:d} tokens of the second "
    "part"
)
def step_partial(context, seconds, tokens):
    _says(context, seconds, [("item", tokens)])


@when("{seconds:g} seconds later e0 says that it keeps all whole blocks of both parts")
def step_blocks(context, seconds):
    parts = [(p.part_id, p.tokens // 16 * 16) for p in context.prompt.shared]
    _says(context, seconds, parts)


@when("{seconds:g} seconds later e0 lists only another prompt")
def step_lists_other(context, seconds):
    other = context.other = PromptChain(
        (PromptPart("elsewhere", 900), PromptPart("end", 50))
    )
    _says(context, seconds, [(p.part_id, p.tokens) for p in other.parts], True)


def _held_tokens(context, prompt):
    return context.index.look_up(SALT, prompt).held_tokens("e0")


@then("e0 is believed to hold {tokens:d} tokens of it")
def step_believed(context, tokens):
    assert _held_tokens(context, context.prompt) == tokens


@then("it is believed to hold both parts")
def step_both_parts(context):
    missing = context.prompt.shared_tokens - _held_tokens(context, context.prompt)
    assert 0 <= missing < 2 * 16, missing


@then("e0 is believed to hold the other prompt")
def step_other_held(context):
    assert _held_tokens(context, context.other) == 900


# Instances and holders.


class ModelledHolder:
    """An engine or a store with cache events."""

    def __init__(self, number, prompts):
        self.info = CacheHolder(f"h{number}", f"10.0.0.{number}:1", f"h{number}", 1000)
        self.born_ms = 1000
        self.epoch = 1
        self.kept = {f"h{number}-p{n}": 1000 for n in range(prompts)}
        self.events = []
        self.first_event = 0
        self.lists = 0
        self.questions = 0
        self.is_silent = False

    def change(self, part_id, tokens):
        self.kept[part_id] = tokens
        self.events.append((part_id, tokens))


class ModelledClient(CacheClient):
    def __init__(self, world):
        self._world = world

    def _find(self, holder):
        (found,) = [h for h in self._world.holders if h.info.holder == holder.holder]
        found.questions += 1
        return None if found.is_silent else found

    def list_parts(self, holder):
        found = self._find(holder)
        if found is None:
            return None
        found.lists += 1
        parts = tuple(HeldPart(SALT, p, t) for p, t in found.kept.items() if t)
        return CacheListing(found.epoch, len(found.events), parts, found.born_ms)

    def read_events(self, holder, since, wait_s):
        found = self._find(holder)
        if found is None:
            return None
        has_gap = since < found.first_event
        parts = tuple(HeldPart(SALT, p, t) for p, t in found.events[since:])
        number = len(found.events)
        return CachePage(found.epoch, number, parts, found.born_ms, has_gap)


class ModelledReader(HolderReader):
    """Asks in modelled time, once the pause it asked for is over."""

    def __init__(self, instance, *arguments):
        super().__init__(*arguments)
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
            world.present,
            lambda: 16,
            world.clock,
            lambda *arguments: ModelledReader(self, *arguments),
            lambda: self.world.tracked,
        )

    def step(self):
        self.feeds.step()
        for reader in list(self.running):
            reader.run_due()
        for update in self.feeds.take_fresh():
            self.world.tell(self, update)


class CacheWorld:
    def __init__(self, instances, holders, prompts):
        self.clock = Clock()
        self.tracked = None
        self.holders = [ModelledHolder(n, prompts) for n in range(holders)]
        self.instances = []
        for number in range(instances):
            self.instances.append(ModelledInstance(self, f"i{number}"))

    def present(self):
        """Those that are down are not known to be away, as in a large fleet."""
        return [instance.name for instance in self.instances]

    def tell(self, sender, update):
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
    "{instances:d} instances before {holders:d} holders of {prompts:d} shared prompts "
    "each"
)
def step_world(context, instances, holders, prompts):
    context.cache_world = CacheWorld(instances, holders, prompts)


@when("{seconds:g} seconds pass for them")
def step_pass(context, seconds):
    context.cache_world.run(seconds)


def _knowledge(instance, holder):
    parts = instance.index.held_parts(holder.info.holder)
    return {part.part_id: part.tokens for part in parts}


@then("every instance knows what every holder keeps")
def step_all_know(context):
    world = context.cache_world
    for holder in world.holders:
        kept = {part_id: tokens for part_id, tokens in holder.kept.items() if tokens}
        for instance in world.alive():
            found = _knowledge(instance, holder)
            assert found == kept, (instance.name, holder.info.holder, found, kept)


@then("each holder was listed at most {count:d} times")
def step_lists(context, count):
    lists = [holder.lists for holder in context.cache_world.holders]
    assert max(lists) <= count, lists


@then("each holder is asked by {count:d} instance")
def step_asked_by(context, count):
    world = context.cache_world
    for holder in world.holders:
        name = holder.info.holder
        asking = [i.name for i in world.alive() if name in i.feeds.asked_holders]
        assert len(asking) == count, (name, asking)


@when("each holder drops {drops:d} of its prompts and takes in {takes:d} others")
def step_change(context, drops, takes):
    world = context.cache_world
    for holder in world.holders:
        for part_id in list(holder.kept)[:drops]:
            holder.change(part_id, 0)
        for number in range(takes):
            part_id = f"{holder.info.holder}-new{number}"
            # Traffic showed that the part is shared: some engine was given it.
            prompt = PromptChain((PromptPart(part_id, 700), PromptPart("end", 5)))
            for instance in world.instances:
                instance.index.note_prefill("elsewhere", SALT, prompt)
            holder.change(part_id, 700)


@when("the instance that asks the first holder fails")
def step_reader_fails(context):
    world = context.cache_world
    name = world.holders[0].info.holder
    (asking,) = [i for i in world.instances if name in i.feeds.asked_holders]
    asking.is_down = True


@when("one instance starts anew and asks another")
def step_starts_anew(context):
    world = context.cache_world
    name = world.holders[0].info.holder
    starting = next(i for i in world.instances if name not in i.feeds.asked_holders)
    other = next(i for i in world.instances if i is not starting)
    starting.restart()
    starting.feeds.take_answer(other.feeds.answer(IndexQuestion(starting.name)))


@when("the first holder drops {drops:d} of its prompts and loses the events")
def step_lost_events(context, drops):
    holder = context.cache_world.holders[0]
    for part_id in list(holder.kept)[:drops]:
        holder.change(part_id, 0)
    holder.first_event = len(holder.events)


@when("the first holder restarts empty")
def step_holder_restarts(context):
    holder = context.cache_world.holders[0]
    holder.epoch += 1
    holder.kept.clear()
    holder.events.clear()


@when("the first holder has started again and nobody was told")
def step_other_incarnation(context):
    context.cache_world.holders[0].born_ms = 2000


@then("nobody believes that the first holder keeps anything")
def step_nobody(context):
    world = context.cache_world
    assert all(not _knowledge(i, world.holders[0]) for i in world.instances)


@when("a holder takes in {count:d} parts that no other request names")
def step_own_parts(context, count):
    for number in range(count):
        context.cache_world.holders[0].change(f"own-{number}", 300)


@then("only the instance that asks it knows of these")
def step_only_reader(context):
    world = context.cache_world
    holder = world.holders[0]
    knowing = [i.name for i in world.instances if "own-0" in _knowledge(i, holder)]
    asking = [i.name for i in world.instances if i.feeds.asked_holders]
    assert knowing == asking and len(asking) == 1, (knowing, asking)


@when("the first holder falls silent")
def step_silent(context):
    context.cache_world.holders[0].is_silent = True


@then("it was asked at most {count:d} times")
def step_questions(context, count):
    assert context.cache_world.holders[0].questions <= count


# Sources.


@given("a prompt that an engine and a store behind a slow link keep")
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


@then("the time of a transfer from the store counts the slower link")
def step_slow_link(context):
    # 6,000 tokens of 18,432 bytes over 28 Gbit/s take 31.6 ms.
    assert 31 < context.alone.plan("e1", "z0").fetch_ms < 32


# A process.


@when("the gateway starts anew")
def step_gateway_anew(context):
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
        return sum(d["event"] == "A holder listed what it keeps." for d in lines) == 2

    wait_until("both engines listed", has_listed)


@then("the second request goes where the first one's parts are held")
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


@then("it knows what these {count:d} keep, and nothing of the others")
@then("it knows what this {count:d} keeps, and nothing of the others")
def step_knows_tracked(context, count):
    world = context.cache_world
    (instance,) = world.instances
    assert len(world.tracked) == count
    for holder in world.holders:
        name = holder.info.holder
        known = {p.part_id for p in instance.index.held_parts(name)}
        expected = set(holder.kept) if name in world.tracked else set()
        assert known == expected, (name, len(known), len(expected))
    assert instance.feeds.asked_holders == world.tracked
