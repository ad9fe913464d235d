"""Steps for quotas of teams, in modelled time."""

import statistics

from behave import given, then, when
from quota_world import TOLERANCE, QuotaFleet, allowed_in_window, tokens

from kumquatseam.gateway import MalformedCallError
from kumquatseam.http1 import Headers, Request
from kumquatseam.platform._headers import PlatformDialect
from kumquatseam.quotas import LimitInForce, QuotaTolerance
from kumquatseam.routes import TeamQuota, TeamTraits

TEAM = "hot"
OTHER = "other"
#: time for a bucket to be filled before requests come.
SETTLE_S = 2.0


def _build(context, count, quota, tolerance=TOLERANCE):
    context.quota_fleet = QuotaFleet(count, tolerance=tolerance)
    context.quota_fleet.set_quota(TEAM, quota)
    context.quota_fleet.run(SETTLE_S)
    context.quota = quota
    context.since_s = context.quota_fleet.clock()


@given("{count:d} instances and a team with a quota of {rate:d} tokens a second")
def step_fleet(context, count, rate):
    _build(context, count, tokens(rate) if rate else None)


@given(
    "{count:d} instances and a team with a quota of {rate:d} tokens a second and a "
    "burst of {burst:d}"
)
def step_fleet_burst(context, count, rate, burst):
    _build(context, count, tokens(rate, burst), QuotaTolerance())


@given("{count:d} instances and a team with a quota of {rate:d} requests a second")
def step_fleet_requests(context, count, rate):
    _build(context, count, TeamQuota(rate, rate), QuotaTolerance())


@given("half of the instances do not know its keeper")
def step_split(context):
    fleet = context.quota_fleet
    keeper = fleet.keeper_of(TEAM)[0].record
    known = tuple(r for r in fleet.records if r != keeper)
    for record in known[::2]:
        fleet.sides[record.name].own_records = known


@given("all of them know {count:d} instances alone")
def step_know_few(context, count):
    few = context.quota_fleet.records[:count]
    for side in context.quota_fleet.sides.values():
        side.own_records = few


def _offer(context, share, for_s, names=None, is_obedient=False):
    fleet = context.quota_fleet
    rate = context.quota.rate_per_s * share
    context.since_s = fleet.clock()
    context.for_s = for_s
    fleet.offer(TEAM, rate, for_s, names, is_obedient)


def _finish(context):
    """Let everything that was planned happen."""
    end_s = context.since_s + context.for_s + 0.5
    context.quota_fleet.run(end_s - context.quota_fleet.clock())


@when("the team sends {share:g} of its quota for {for_s:g} seconds")
def step_send(context, share, for_s):
    _offer(context, share, for_s)


@when("the team sends {share:g} of its quota for {for_s:g} seconds and obeys refusals")
def step_send_obedient(context, share, for_s):
    _offer(context, share, for_s, is_obedient=True)


@when("the team sends {share:g} of its quota through {where} for {for_s:g} seconds")
def step_send_through(context, share, where, for_s):
    names = list(context.quota_fleet.sides)
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


@when("another team sends {share:g} of a quota of {rate:d} tokens a second meanwhile")
def step_other(context, share, rate):
    context.other_quota = tokens(rate)
    context.quota_fleet.set_quota(OTHER, context.other_quota)
    context.quota_fleet.offer(OTHER, rate * share, context.for_s)


@when(
    "after {after_s:g} seconds its keeper {fails}, and is back {for_s:g} seconds later"
)
def step_keeper_fails(context, after_s, fails, for_s):
    fleet = context.quota_fleet
    keeper = fleet.keeper_of(TEAM)[0]
    address = keeper.record.address
    fleet.run(after_s)
    if fails == "dies":
        keeper.is_up = False
        fleet.run(for_s)
        keeper.start()
    elif fails == "is cut off":
        fleet.net.cut.add(address)
        fleet.run(for_s)
        fleet.net.cut.discard(address)
    else:
        fleet.net.slow_s[address] = 0.4
        fleet.run(for_s)
        fleet.net.slow_s.clear()


@when(
    "after {after_s:g} seconds all instances start again and know each other "
    "{known_s:g} second later"
)
def step_all_restart(context, after_s, known_s):
    fleet = context.quota_fleet
    fleet.run(after_s)
    for side in fleet.sides.values():
        side.start()
        side.is_list_known = False
        side.own_records = (side.record,)
    fleet.run(known_s)
    for side in fleet.sides.values():
        side.is_list_known = True
        side.own_records = None


@when(
    "after {after_s:g} seconds they learn of all instances within {within_s:g} seconds"
)
def step_learn(context, after_s, within_s):
    fleet = context.quota_fleet
    fleet.run(after_s)
    sides = list(fleet.sides.values())
    for side in sides:
        side.own_records = None
        fleet.run(within_s / len(sides))


@when(
    "after {after_s:g} seconds its quota is lowered to {rate:d}, which its keeper does "
    "not hear"
)
def step_lowered(context, after_s, rate):
    fleet = context.quota_fleet
    fleet.run(after_s)
    keeper = fleet.keeper_of(TEAM)[0]
    context.quota = tokens(rate)
    context.changed_s = fleet.clock()
    fleet.set_quota(TEAM, context.quota, lambda side: side is not keeper)


@when("after {after_s:g} seconds its quota becomes {rate:d}")
def step_becomes(context, after_s, rate):
    context.quota_fleet.run(after_s)
    context.changed_s = context.quota_fleet.clock()
    context.quota_fleet.set_quota(TEAM, tokens(rate) if rate else None)


@when("a request of {cost:d} tokens comes")
def step_large(context, cost):
    fleet = context.quota_fleet
    fleet.run(SETTLE_S)
    fleet.request(TEAM, "i1", cost)
    fleet.run(0.05)


@when("a request without its tokens comes")
def step_plain(context):
    fleet = context.quota_fleet
    traits = TeamTraits(TEAM, quota=context.quota)
    context.grant = fleet.sides["i1"].quotas.acquire(traits, None, 2, "r")


@when("a request of {cost:d} tokens is let through, does not run and is given back")
def step_given_back(context, cost):
    fleet = context.quota_fleet
    traits = TeamTraits(TEAM, quota=context.quota)
    keeper = fleet.keeper_of(TEAM)[0].record.name
    (name, *_) = [n for n in fleet.sides if n != keeper]
    quotas = fleet.sides[name].quotas
    # The first question makes the bucket known; it fills meanwhile.
    quotas.acquire(traits, 1, 2, "r0")
    fleet.run(SETTLE_S)
    quotas.refund(quotas.acquire(traits, cost, 2, "r"))


@when("{for_s:g} seconds pass without requests")
def step_idle(context, for_s):
    context.quota_fleet.run(for_s)


@when('a request says that it uses "{text}" tokens')
def step_unreadable(context, text):
    fields = [(b"X-Request-Id", b"r"), (b"X-Token-Usage", text.encode())]
    request = Request(b"POST", b"/x", Headers(fields), b"", True, 0.0)
    try:
        PlatformDialect().read_call(request)
        context.malformed = None
    except MalformedCallError as error:
        context.malformed = error


@then("it is answered 400 and nothing is taken")
def step_malformed(context):
    # The handler answers 400 to every such error, before it takes of a quota.
    assert "X-Token-Usage" in str(context.malformed), context.malformed


@then("none was refused for which the quota left room")
def step_none_refused(context):
    _finish(context)
    assert len(context.quota_fleet.granted(TEAM)) > 20
    refused = context.quota_fleet.refused_below(TEAM, context.quota)
    assert not refused, len(refused)


@then("none of the other team was refused for which its quota left room")
def step_other_untouched(context):
    assert context.quota_fleet.granted(OTHER)
    refused = context.quota_fleet.refused_below(OTHER, context.other_quota)
    assert not refused, len(refused)


@then("at most {most:d} in {of:d} was refused for which the quota left room")
def step_few_refused(context, most, of):
    _finish(context)
    fleet = context.quota_fleet
    refused = fleet.refused_below(TEAM, context.quota)
    share = len(refused) / len(fleet.taken[TEAM])
    assert share <= most / of, share


@then(
    "half of the decisions took at most {median_ms:g} ms, and 99 in 100 at most "
    "{tail_ms:g} ms"
)
def step_took(context, median_ms, tail_ms):
    took_ms = sorted(t.took_s * 1000 for t in context.quota_fleet.granted(TEAM))
    assert statistics.median(took_ms) <= median_ms, statistics.median(took_ms)
    tail = took_ms[int(len(took_ms) * 0.99)]
    assert tail <= tail_ms, tail


@then("no window holds more of the team than the rule allows")
def step_rule(context):
    _finish(context)
    worst = context.quota_fleet.worst_window(TEAM)
    allowed = allowed_in_window(context.quota)
    assert worst <= allowed, (worst, allowed)


@then("no window that begins a second later holds more than {rate:d} a second allows")
def step_rule_lowered(context, rate):
    _finish(context)
    worst = context.quota_fleet.worst_window(TEAM, context.changed_s + 1.0)
    assert 0 < worst <= allowed_in_window(tokens(rate)), worst


@then("the team got at least {share:g} of its quota")
def step_got(context, share):
    _finish(context)
    _, got = context.quota_fleet.granted_tokens(TEAM)
    quota = context.quota.rate_per_s * context.for_s
    assert got >= share * quota, got / quota


@then("from a second later on it got about {rate:d} tokens a second")
def step_got_rate(context, rate):
    _finish(context)
    from_s = context.changed_s + 1.0
    spent_s = context.since_s + context.for_s - from_s
    _, within = context.quota_fleet.granted_tokens(TEAM, from_s)
    got = within / spent_s
    assert 0.8 * rate <= got <= 1.25 * rate, got


@then("about {count:d} requests a second of it were let through")
def step_requests(context, count):
    _finish(context)
    granted = len(context.quota_fleet.granted(TEAM))
    burst = context.quota.burst
    assert 0.9 * count * context.for_s <= granted <= count * context.for_s + burst + 1


@then("the busiest instance sent and received at most {most_kb:g} kB a second for it")
def step_busiest(context, most_kb):
    _finish(context)
    used = context.quota_fleet.net.bytes_by_address
    busiest_kb = max(used.values()) / context.for_s / 1000
    assert busiest_kb <= most_kb, busiest_kb


@then("it is let through")
def step_let_through(context):
    assert context.quota_fleet.granted(TEAM)


@then(
    "what comes right after it is refused, to come back after about {after_s:g} seconds"
)
def step_refused_after(context, after_s):
    fleet = context.quota_fleet
    fleet.request(TEAM, "i2", 875)
    fleet.run(0.05)
    (refused,) = fleet.refused(TEAM)
    assert abs(refused.retry_after_s - after_s) < 0.15, refused


@then("it took {amount:d} tokens of the quota")
def step_amount(context, amount):
    assert context.grant.amount == amount


@then("the keeper has all of the quota again")
def step_full(context):
    fleet = context.quota_fleet
    fleet.net.run_until(fleet.clock())
    keeper = fleet.keeper_of(TEAM)[0].quotas.allocator
    (kept,) = keeper._kept.values()
    assert kept.bucket.level(fleet.clock()) == context.quota.burst


@then("the team got more than its quota, where nobody waits for it")
def step_got_more(context):
    _finish(context)
    got, within = context.quota_fleet.granted_tokens(TEAM)
    beyond = (got - within) / context.for_s
    rate = context.quota.rate_per_s
    assert beyond >= 0.2 * TOLERANCE.rate_beyond(LimitInForce(1, rate, rate)), beyond
