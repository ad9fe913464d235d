"""Steps that call the prefix index directly, without processes."""

from behave import given, then, when

from kumquatseam.engines import CacheEventBatch
from kumquatseam.routing import PlacementHints, PrefixIndex


@given("a prefix index")
def step_index(context):
    context.index = PrefixIndex(entry_ttl_s=30.0)
    context.sequence = 0


def _batch(context, engine, epoch, first_key, count):
    context.sequence += 1
    keys = tuple(range(first_key, first_key + count))
    return CacheEventBatch(engine, epoch, context.sequence, keys, ())


@when('engine "{engine}" stores {count:d} blocks in epoch "{epoch}"')
def step_store(context, engine, count, epoch):
    context.index.apply(_batch(context, engine, epoch, 1, count), 1.0)


@when('engine "{engine}" reports epoch "{epoch}"')
def step_report_epoch(context, engine, epoch):
    context.index.observe_epoch(engine, epoch)


@when('a late batch of epoch "{epoch}" stores {count:d} more blocks')
def step_late_batch(context, epoch, count):
    context.index.apply(_batch(context, "e", epoch, 100, count), 2.0)


@when('a late load report of epoch "{epoch}" arrives')
def step_late_report(context, epoch):
    context.index.observe_epoch("e", epoch)


@then('the index holds {count:d} blocks of engine "{engine}"')
def step_block_count(context, count, engine):
    assert context.index.size_blocks(engine) == count, context.index.size_blocks(engine)


@then('the index has epoch "{epoch}" for engine "{engine}"')
def step_has_epoch(context, engine, epoch):
    assert context.index.epoch(engine) == epoch, context.index.epoch(engine)


@when('engine "{engine}" serves a prompt of {count:d} blocks in epoch "{epoch}"')
def step_serve(context, engine, count, epoch):
    context.index.confirm(engine, epoch, tuple(range(count)), 3.0)


@when('engine "{engine}" is dropped, since it stopped sending')
def step_drop(context, engine):
    context.index.drop(engine)


@when("it is asked whether epochs of {count:d} unknown engines are earlier ones")
def step_ask(context, count):
    for number in range(count):
        assert not context.index.is_retired(f"e{number}", "one")


@then("it remembers no epochs")
def step_no_epochs(context):
    assert not context.index._retired, len(context.index._retired)


@given("placements of {count:d} prompts that were not sent to peers yet")
def step_placements(context, count):
    context.hints = PlacementHints(ttl_s=2.0)
    for number in range(1, count + 1):
        context.hints.note_own(number, "e0", 10.0)


@then("a summary with room for {limit:d} has the newest {count:d}")
def step_newest(context, limit, count):
    popped = context.hints.pop_unsent_placements(limit)
    keys = [placement.opening for placement in popped]
    assert keys == [5, 4][:count], keys


@then("the next summary, with room for {limit:d}, has the other {count:d}")
def step_rest(context, limit, count):
    popped = context.hints.pop_unsent_placements(limit)
    assert len(popped) == count, popped


@when("half of the time passes for which they count")
def step_half_ttl(context):
    context.hints.sweep(11.5)
