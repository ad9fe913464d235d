"""Steps for team quotas, in simulated time."""

import statistics

from behave import given, then, when
from quota_world import TOLERANCE, QuotaFleet, allowed_in_window, token_quota

from kumquatseam.gateway import MalformedCallError
from kumquatseam.http1 import Headers, Request
from kumquatseam.platform._headers import PlatformDialect
from kumquatseam.quotas import QuotaLeaseReturn, QuotaTolerance, VersionedLimit
from kumquatseam.routes import TeamQuota, TeamTraits

TEAM = "hot"
OTHER = "other"
#: time in which buckets fill before the first request.
SETTLE_S = 2.0


def _build(context, count, quota, tolerance=TOLERANCE):
    context.quota_fleet = QuotaFleet(count, tolerance=tolerance)
    context.quota_fleet.set_quota(TEAM, quota)
    context.quota_fleet.run(SETTLE_S)
    context.quota = quota
    context.since_s = context.quota_fleet.clock()


@given("{count:d} instances and a team with a quota of {rate:d} tokens a second")
def step_fleet(context, count, rate):
    _build(context, count, token_quota(rate) if rate else None)


@given(
    "{count:d} instances and a team with a quota of {rate:d} tokens a second and a "
    "burst of {burst:d}"
)
def step_fleet_burst(context, count, rate, burst):
    _build(context, count, token_quota(rate, burst), QuotaTolerance())


@given("{count:d} instances and a team with a quota of {rate:d} requests a second")
def step_fleet_requests(context, count, rate):
    _build(context, count, TeamQuota(rate, rate), QuotaTolerance())


@given("half of the instances do not know its owner")
def step_owner_unknown(context):
    fleet = context.quota_fleet
    owner = fleet.owners_of(TEAM)[0].record
    others = tuple(r for r in fleet.records if r != owner)
    for record in others[::2]:
        fleet.instances[record.name].known_records = others


@given("each instance knows only the same {count:d} instances")
def step_partial_list(context, count):
    known = context.quota_fleet.records[:count]
    for instance in context.quota_fleet.instances.values():
        instance.known_records = known


def _offer(context, share, for_s, names=None, obeys_retry_delay=False):
    fleet = context.quota_fleet
    rate = context.quota.rate_per_s * share
    context.since_s = fleet.clock()
    context.for_s = for_s
    fleet.offer(TEAM, rate, for_s, names, obeys_retry_delay)


def _finish(context):
    """Run the simulation until all requests have arrived and are decided."""
    end_s = context.since_s + context.for_s + 0.5
    context.quota_fleet.run(end_s - context.quota_fleet.clock())


@when("the team sends {share:g} times its quota for {for_s:g} seconds")
def step_send(context, share, for_s):
    _offer(context, share, for_s)


@when(
    "the team sends {share:g} times its quota for {for_s:g} seconds and obeys retry "
    "delays"
)
def step_send_obedient(context, share, for_s):
    _offer(context, share, for_s, obeys_retry_delay=True)


@when("the team sends {share:g} times its quota through {where} for {for_s:g} seconds")
def step_send_through(context, share, where, for_s):
    names = list(context.quota_fleet.instances)
    chosen = {
        "all instances": names,
        "a third": names[: len(names) // 3],
        "one instance": names[:1],
    }
    _offer(context, share, for_s, chosen[where])


@when("the team sends {tokens_per_s:d} tokens a second for {for_s:g} seconds")
def step_send_tokens(context, tokens_per_s, for_s):
    context.since_s = context.quota_fleet.clock()
    context.for_s = for_s
    context.quota_fleet.offer(TEAM, tokens_per_s, for_s)


@when(
    "another team sends {share:g} times a quota of {rate:d} tokens a second meanwhile"
)
def step_send_other(context, share, rate):
    context.other_quota = token_quota(rate)
    context.quota_fleet.set_quota(OTHER, context.other_quota)
    context.quota_fleet.offer(OTHER, rate * share, context.for_s)


@when(
    "after {after_s:g} seconds its owner {fails}, and is back {for_s:g} seconds later"
)
def step_owner_fails(context, after_s, fails, for_s):
    fleet = context.quota_fleet
    owner = fleet.owners_of(TEAM)[0]
    address = owner.record.address
    fleet.run(after_s)
    if fails == "crashes":
        owner.is_up = False
        fleet.run(for_s)
        owner.start()
    elif fails == "is cut off":
        fleet.net.unreachable.add(address)
        fleet.run(for_s)
        fleet.net.unreachable.discard(address)
    else:
        fleet.net.extra_delay_s[address] = 0.4
        fleet.run(for_s)
        fleet.net.extra_delay_s.clear()


@when(
    "after {after_s:g} seconds all instances restart and know each other "
    "{known_s:g} second later"
)
def step_all_restart(context, after_s, known_s):
    fleet = context.quota_fleet
    fleet.run(after_s)
    for instance in fleet.instances.values():
        instance.start()
        instance.is_list_known = False
        instance.known_records = (instance.record,)
    fleet.run(known_s)
    for instance in fleet.instances.values():
        instance.is_list_known = True
        instance.known_records = None


@when(
    "after {after_s:g} seconds the instances discover the whole fleet within "
    "{within_s:g} seconds"
)
def step_discover(context, after_s, within_s):
    fleet = context.quota_fleet
    fleet.run(after_s)
    instances = list(fleet.instances.values())
    for instance in instances:
        instance.known_records = None
        fleet.run(within_s / len(instances))


@when(
    "after {after_s:g} seconds its quota is lowered to {rate:d}, unknown to its owner"
)
def step_lowered(context, after_s, rate):
    fleet = context.quota_fleet
    fleet.run(after_s)
    owner = fleet.owners_of(TEAM)[0]
    context.quota = token_quota(rate)
    context.changed_s = fleet.clock()
    fleet.set_quota(TEAM, context.quota, lambda instance: instance is not owner)


@when("after {after_s:g} seconds its quota becomes {rate:d}")
def step_becomes(context, after_s, rate):
    context.quota_fleet.run(after_s)
    context.changed_s = context.quota_fleet.clock()
    context.quota_fleet.set_quota(TEAM, token_quota(rate) if rate else None)


@when("a request of {cost:d} tokens arrives")
def step_request(context, cost):
    fleet = context.quota_fleet
    fleet.run(SETTLE_S)
    fleet.send_request(TEAM, "i1", cost)
    fleet.run(0.05)


@when("a request without a token count arrives")
def step_request_uncounted(context):
    fleet = context.quota_fleet
    traits = TeamTraits(TEAM, quota=context.quota)
    context.grant = fleet.instances["i1"].quotas.acquire(traits, None, 2, "r")


@when(
    "a request of {cost:d} tokens is admitted, does not run and its quota is refunded"
)
def step_refunded(context, cost):
    fleet = context.quota_fleet
    traits = TeamTraits(TEAM, quota=context.quota)
    owner = fleet.owners_of(TEAM)[0].record.name
    (name, *_) = [n for n in fleet.instances if n != owner]
    quotas = fleet.instances[name].quotas
    # The first lease request creates the bucket, which then fills.
    quotas.acquire(traits, 1, 2, "r0")
    fleet.run(SETTLE_S)
    quotas.refund(quotas.acquire(traits, cost, 2, "r"))


@when(
    "a request of {cost:d} tokens is admitted and does not run, and its instance is "
    "cut off when the lease expires"
)
def step_refunded_while_cut_off(context, cost):
    fleet = context.quota_fleet
    owner, *_ = fleet.owners_of(TEAM)
    context.returned = []
    handle = owner.link.handlers[QuotaLeaseReturn]

    def record_return(returned, sender):
        context.returned.append(returned.amount)
        handle(returned, sender)

    owner.link.handlers[QuotaLeaseReturn] = record_return
    step_refunded(context, cost)
    (instance,) = [i for i in fleet.instances.values() if i.quotas._leases]
    fleet.net.unreachable.add(instance.record.address)
    # Its next question to each owner goes unanswered, so it knows of none.
    other = TeamTraits(OTHER, quota=context.quota)
    for _ in range(3):
        for record in fleet.records:
            instance.owners.calls.unresponsive.note_timeout(record.name)
    assert instance.quotas.acquire(other, 1, 2, "r2") is not None
    fleet.run(1.0)
    fleet.net.unreachable.clear()


@then("the owner was returned {amount:d} tokens")
def step_returned_amount(context, amount):
    assert sum(context.returned) == amount, context.returned


@when("{for_s:g} seconds pass without requests")
def step_idle(context, for_s):
    context.quota_fleet.run(for_s)


@when('a request declares "{text}" tokens')
def step_malformed_count(context, text):
    fields = [(b"X-Request-Id", b"r"), (b"X-Token-Usage", text.encode())]
    request = Request(b"POST", b"/x", Headers(fields), b"", True, 0.0)
    try:
        PlatformDialect().read_call(request)
        context.malformed = None
    except MalformedCallError as error:
        context.malformed = error


@then("it is answered 400 and no quota is charged")
def step_malformed(context):
    # The handler answers every such error with 400, before it acquires quota.
    assert "X-Token-Usage" in str(context.malformed), context.malformed


@then("no request was refused although the quota left room for it")
def step_none_refused(context):
    _finish(context)
    assert len(context.quota_fleet.granted(TEAM)) > 20
    refused = context.quota_fleet.refused_below(TEAM, context.quota)
    assert not refused, len(refused)


@then("no request of the other team was refused although its quota left room for it")
def step_other_not_refused(context):
    assert context.quota_fleet.granted(OTHER)
    refused = context.quota_fleet.refused_below(OTHER, context.other_quota)
    assert not refused, len(refused)


@then(
    "at most {most:d} in {of:d} requests were refused although the quota left room "
    "for them"
)
def step_few_refused(context, most, of):
    _finish(context)
    fleet = context.quota_fleet
    refused = fleet.refused_below(TEAM, context.quota)
    share = len(refused) / len(fleet.requests[TEAM])
    assert share <= most / of, share


@then(
    "half of the decisions took at most {median_ms:g} ms, and 99 in 100 at most "
    "{tail_ms:g} ms"
)
def step_took(context, median_ms, tail_ms):
    took_ms = sorted(r.took_s * 1000 for r in context.quota_fleet.granted(TEAM))
    assert statistics.median(took_ms) <= median_ms, statistics.median(took_ms)
    tail = took_ms[int(len(took_ms) * 0.99)]
    assert tail <= tail_ms, tail


@then("no window exceeds the team's quota by more than the tolerance")
def step_within_tolerance(context):
    _finish(context)
    most = context.quota_fleet.most_in_window(TEAM)
    allowed = allowed_in_window(context.quota)
    assert most <= allowed, (most, allowed)


@then(
    "no window that begins a second later exceeds {rate:d} tokens a second by more "
    "than the tolerance"
)
def step_within_lowered_quota(context, rate):
    _finish(context)
    most = context.quota_fleet.most_in_window(TEAM, context.changed_s + 1.0)
    assert 0 < most <= allowed_in_window(token_quota(rate)), most


@then("the team was granted at least {share:g} of its quota")
def step_granted_share(context, share):
    _finish(context)
    _, within_quota = context.quota_fleet.granted_tokens(TEAM)
    quota = context.quota.rate_per_s * context.for_s
    assert within_quota >= share * quota, within_quota / quota


@then("from a second later on it was granted about {rate:d} tokens a second")
def step_granted_rate(context, rate):
    _finish(context)
    from_s = context.changed_s + 1.0
    elapsed_s = context.since_s + context.for_s - from_s
    _, within_quota = context.quota_fleet.granted_tokens(TEAM, from_s)
    granted_per_s = within_quota / elapsed_s
    assert 0.8 * rate <= granted_per_s <= 1.25 * rate, granted_per_s


@then("about {count:d} requests a second were admitted")
def step_admitted_requests(context, count):
    _finish(context)
    granted = len(context.quota_fleet.granted(TEAM))
    burst = context.quota.burst
    assert 0.9 * count * context.for_s <= granted <= count * context.for_s + burst + 1


@then("the busiest instance sent and received at most {most_kb:g} kB a second for it")
def step_busiest(context, most_kb):
    _finish(context)
    sizes = context.quota_fleet.net.bytes_by_address
    busiest_kb = max(sizes.values()) / context.for_s / 1000
    assert busiest_kb <= most_kb, busiest_kb


@then("it is admitted")
def step_admitted(context):
    assert context.quota_fleet.granted(TEAM)


@then("the next request is refused with a retry delay of about {after_s:g} seconds")
def step_next_refused(context, after_s):
    fleet = context.quota_fleet
    fleet.send_request(TEAM, "i2", 875)
    fleet.run(0.05)
    (refused,) = fleet.refused(TEAM)
    assert abs(refused.retry_after_s - after_s) < 0.15, refused


@then("it was charged {amount:d} tokens")
def step_charged(context, amount):
    assert context.grant.amount == amount


@then("the owner's token bucket is full again")
def step_full(context):
    fleet = context.quota_fleet
    fleet.net.run_until(fleet.clock())
    allocator = fleet.owners_of(TEAM)[0].owners.allocator
    (owned,) = allocator._shards.values()
    assert owned.bucket.level(fleet.clock()) == context.quota.burst


@then("the team was also granted requests beyond its quota")
def step_granted_excess(context):
    _finish(context)
    granted, within_quota = context.quota_fleet.granted_tokens(TEAM)
    granted_excess_per_s = (granted - within_quota) / context.for_s
    rate = context.quota.rate_per_s
    assert granted_excess_per_s >= 0.2 * TOLERANCE.excess_per_s(
        VersionedLimit(1, rate, rate)
    ), granted_excess_per_s
