"""Steps for the limits that engines announce, in a simulated fleet."""

from behave import given, then, when
from limits_explorer import LimitExplorer
from limits_world import MAX_RETRY_AFTER_S, LimitFleet

from kumquatseam.upstreams import NO_LIMIT_PER_S

#: traffic before the first limit, in seconds.
BEFORE_S = 2.0
#: time after which a change of a limit or the end of a fault is known everywhere.
SETTLED_S = 2.0
LIMITED = "e0"


@given("{count:d} instances in front of {engines:d} engines")
def step_fleet(context, count, engines):
    context.limit_fleet = LimitFleet(count, engines)


@when(
    "callers send {per_s:g} requests a second for {for_s:g} seconds, and an engine "
    "announces a limit of {rate:g} a second after {after_s:g} seconds"
)
def step_offer(context, per_s, for_s, rate, after_s):
    fleet = context.limit_fleet
    context.end_s = fleet.clock() + for_s
    fleet.offer(per_s, for_s)
    fleet.run(after_s)
    fleet.announce([LIMITED], rate)
    context.announced_s = fleet.clock()
    context.rate = rate


@when(
    "callers send {per_s:g} requests a second for {for_s:g} seconds, and each engine "
    "announces a limit of {rate:g} a second"
)
def step_offer_all_limited(context, per_s, for_s, rate):
    fleet = context.limit_fleet
    context.end_s = fleet.clock() + for_s
    context.rate = rate
    # The limits are known before the requests are counted.
    fleet.announce(list(fleet.engines), rate)
    fleet.offer(per_s * 0.9, for_s, retries=1, team="large")
    fleet.offer(per_s * 0.1, for_s, retries=1, team="small")
    fleet.run(SETTLED_S)
    context.announced_s = fleet.clock()


@when("after {after_s:g} more seconds its limit becomes {rate:g}")
def step_becomes(context, after_s, rate):
    context.limit_fleet.run(after_s)
    context.limit_fleet.announce([LIMITED], rate)
    context.rate = rate
    context.changed_s = context.limit_fleet.clock()


@when("after {after_s:g} more seconds its limit ends")
def step_ends(context, after_s):
    step_becomes(context, after_s, NO_LIMIT_PER_S)


@when("after {after_s:g} more seconds it restarts without a limit")
def step_replaced(context, after_s):
    context.limit_fleet.run(after_s)
    context.limit_fleet.replace_engine(LIMITED, "e0-restarted")
    context.changed_s = context.limit_fleet.clock()


@when("after {after_s:g} more seconds {fault} for {for_s:g} seconds")
def step_fault(context, after_s, fault, for_s):
    fleet = context.limit_fleet
    fleet.run(after_s)
    first, second, _ = fleet.owners_of(LIMITED)
    others = [i for i in fleet.instances.values() if i not in (first, second)]
    if fault == "its first owner is down":
        fleet.crash(first, for_s)
    elif fault == "its first owner stands still":
        fleet.freeze(first, for_s)
    elif fault == "its first owner is cut off":
        fleet.cut(first, "alone", for_s)
    elif fault == "two of its owners are down":
        fleet.crash(first, for_s)
        fleet.crash(second, for_s)
    elif fault == "its owners cannot reach each other":
        fleet.cut(first, "first", for_s)
        fleet.cut(second, "second", for_s)
    elif fault == "half of the instances are cut off from the others":
        for instance in list(fleet.instances.values())[::2]:
            fleet.cut(instance, "half", for_s)
    elif fault == "a third of the instances stand still":
        for instance in others[::3]:
            fleet.freeze(instance, for_s)
    else:
        raise AssertionError(f"unknown fault {fault!r}")
    context.changed_s = fleet.clock() + for_s


@when("after {after_s:g} more seconds all instances restart")
def step_all_restart(context, after_s):
    fleet = context.limit_fleet
    fleet.run(after_s)
    for instance in fleet.instances.values():
        fleet.restart(instance, list_read_s=0.3)
    context.changed_s = fleet.clock()


@when(
    "{count:d} instances pass through {runs:d} runs of random faults from seed {seed:d}"
)
def step_explore(context, count, runs, seed):
    context.explored = []
    for number in range(seed, seed + runs):
        fleet = LimitExplorer(count, number).run()
        context.explored.append((number, fleet))


@then("in no run an engine got more than its limit allows from instances told of it")
def step_explored(context):
    for number, fleet in context.explored:
        worst = max(engine.worst_excess() for engine in fleet.all_engines)
        assert worst <= 0, f"seed {number}: {worst} requests too many"
        assert fleet.outcomes()["served"], f"seed {number}: no request was served"


def _finish(context):
    """Run the simulation until all requests and their retries have been decided."""
    fleet = context.limit_fleet
    until_s = context.end_s + MAX_RETRY_AFTER_S + 1.0
    fleet.run(max(0.0, until_s - fleet.clock()))
    return fleet


@then("it never got more than its limit allows")
def step_kept(context):
    fleet = _finish(context)
    worst = max(e.worst_excess(are_all_counted=True) for e in fleet.all_engines)
    assert worst <= 0, f"{worst} requests too many"


@then("it never got more than its limit allows from instances told of it")
def step_kept_by_told(context):
    fleet = _finish(context)
    worst = max(e.worst_excess() for e in fleet.all_engines)
    assert worst <= 0, f"{worst} requests too many"


def _count_arrivals(context, engine, from_s):
    """Return the number of requests that an engine got until the callers' last."""
    arrivals = _finish(context).engines[engine].arrivals
    return sum(from_s <= a.at_s < context.end_s for a in arrivals)


@then("it got at least {share:g} of its limit")
def step_used(context, share):
    got = _count_arrivals(context, LIMITED, context.announced_s)
    limit = context.rate * (context.end_s - context.announced_s)
    assert got >= share * limit, (got, limit)


@then("from {after_s:g} seconds later on it got about {rate:g} requests a second")
def step_got(context, after_s, rate):
    from_s = context.changed_s + after_s
    got = _count_arrivals(context, LIMITED, from_s)
    limit = rate * (context.end_s - from_s)
    assert 0.8 * limit - 1 <= got <= 1.2 * limit + 1, (got, limit)


@then(
    "from {after_s:g} seconds later on the engine got over {rate:g} requests a second"
)
def step_got_over(context, after_s, rate):
    engine = "e0-restarted" if "e0-restarted" in context.limit_fleet.engines else "e0"
    from_s = context.changed_s + after_s
    got_per_s = _count_arrivals(context, engine, from_s) / (context.end_s - from_s)
    assert got_per_s > rate, got_per_s


@then("every request was served")
def step_all_served(context):
    outcomes = _finish(context).outcomes()
    assert set(outcomes) == {"served"}, outcomes


@then("the engines got at least {share:g} of their limits")
def step_all_used(context, share):
    fleet = _finish(context)
    for_s = context.end_s - context.announced_s
    arrivals = [
        a
        for engine in fleet.engines.values()
        for a in engine.arrivals
        if context.announced_s <= a.at_s < context.end_s
    ]
    limit_per_s = context.rate * len(fleet.engines)
    assert len(arrivals) / for_s >= share * limit_per_s, len(arrivals) / for_s


def _first_attempts(context):
    requests = _finish(context).requests
    return [r for r in requests if r.at_s >= context.announced_s and not r.is_retry]


def _is_served_by_key(context):
    """Return whether each request was served, at its first attempt or its retry."""
    served = {}
    for request in context.limit_fleet.requests:
        if request.at_s >= context.announced_s:
            is_served = request.outcome == "served"
            served[request.key] = served.get(request.key, False) or is_served
    return served


@then("a refused request took at most {most_ms:g} ms")
def step_refused_at_once(context, most_ms):
    refused = [r for r in _first_attempts(context) if r.outcome == "refused"]
    assert refused
    slowest_ms = max(r.took_s for r in refused) * 1000
    assert slowest_ms <= most_ms, slowest_ms


@then("every caller with a reserved place was served when it retried as told")
def step_promises_kept(context):
    first = _first_attempts(context)
    reserved = [r for r in first if r.outcome == "refused" and r.is_reserved]
    assert len(reserved) > 20, len(reserved)
    assert all(r.retry_after_s <= MAX_RETRY_AFTER_S for r in reserved)
    served = _is_served_by_key(context)
    broken = [r for r in reserved if not served[r.key]]
    assert not broken, len(broken)


@then(
    "a small team's requests were served at least {share:g} as often as a large one's"
)
def step_teams(context, share):
    served = _is_served_by_key(context)

    def served_share(team):
        own = [is_served for key, is_served in served.items() if key.startswith(team)]
        return sum(own) / len(own)

    small, large = served_share("small"), served_share("large")
    assert small >= share * large, (small, large)


@then("the busiest instance sent and received at most {most_kb:g} kB a second")
def step_busiest(context, most_kb):
    fleet = _finish(context)
    for_s = context.end_s - context.announced_s + BEFORE_S
    busiest_kb = max(fleet.net.bytes_by_address.values()) / for_s / 1000
    assert busiest_kb <= most_kb, busiest_kb
