"""Steps that call the prefix index directly, without processes."""

from behave import given, then, when

from kumquatseam.engines import CacheEventBatch
from kumquatseam.routing import PrefixIndex


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
