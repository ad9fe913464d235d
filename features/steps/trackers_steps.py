"""Steps for the trackers of upstreams, in simulated time."""

import collections
import socket
import time

import attrs
import gevent
from behave import given, then, when
from decision_world import build_request
from log_capture import captured_lines
from trackers_world import CODEC, TrackedFleet, work_began

from kumquatseam.bench import free_port
from kumquatseam.errors import OverloadedError
from kumquatseam.peers import DatagramSocket, RendezvousOrder, RoundTripEstimate
from kumquatseam.placement import HolderScope
from kumquatseam.trackers import (
    TRACKER_KINDS,
    LoadQuery,
    LoadReply,
)


@given("{count:d} instances routing to {engines:d} engines, {fast:d} with fast links")
def step_fleet(context, count, engines, fast):
    context.tracked_fleet = TrackedFleet(count, engines, fast)


def _tracker_records(fleet, records=None):
    order = RendezvousOrder(lambda: records or fleet.records)
    return {
        u.incarnation_id: order.owners_of(u.incarnation_id)[0] for u in fleet.upstreams
    }


@then("all instances choose the same tracker for each engine")
def step_agree(context):
    fleet = context.tracked_fleet
    expected = _tracker_records(fleet)
    for instance in fleet.instances[:: max(1, len(fleet.instances) // 20)]:
        for engine, record in expected.items():
            assert instance.order.owners_of(engine)[0] == record


@then("no instance tracks more than {most:d} of them")
def step_most(context, most):
    counts = collections.Counter(
        r.name for r in _tracker_records(context.tracked_fleet).values()
    )
    assert max(counts.values()) <= most, counts.most_common(3)


@then("the instances with fast links track a share proportional to their links")
def step_proportional_share(context):
    fleet = context.tracked_fleet
    total = sum(record.link_mbps for record in fleet.records)
    fast = sum(r.link_mbps for r in fleet.records if r.link_mbps > 100) / total
    found = [r.link_mbps > 100 for r in _tracker_records(fleet).values()]
    assert abs(sum(found) / len(found) - fast) < 0.25, (sum(found), fast)


@when("one instance that tracks engines is removed from the list")
def step_removed(context):
    fleet = context.tracked_fleet
    context.before = _tracker_records(fleet)
    context.removed = next(iter(context.before.values()))
    left = [r for r in fleet.records if r != context.removed]
    context.after = _tracker_records(fleet, left)


@then("only its engines get another tracker")
def step_only_its(context):
    for engine, record in context.before.items():
        moved = context.after[engine] != record
        assert moved == (record == context.removed), engine


@when("{count:d} requests are placed and ended")
def step_placed_ended(context, count):
    fleet = context.tracked_fleet
    context.sent_before = fleet.net.sent
    for number in range(count):
        fleet.place(number, ends=True)
    context.placed_count = count


@then("a request took at most {most:d} datagrams on average")
def step_datagrams(context, most):
    sent = context.tracked_fleet.net.sent - context.sent_before
    assert sent / context.placed_count <= most, sent / context.placed_count


@then("no datagram was longer than {most:d} bytes")
def step_longest(context, most):
    assert context.tracked_fleet.net.max_bytes <= most, (
        context.tracked_fleet.net.max_bytes
    )


@then("no tracker keeps state of ended requests")
@then("no tracker counts any request")
def step_nothing_kept(context):
    assert not context.tracked_fleet.counted_requests(), (
        context.tracked_fleet.counted_requests()
    )


@when("{count:d} requests with different prompts are placed and none ends")
@when("{count:d} requests are placed and none ends")
def step_none_ends(context, count):
    for number in range(count):
        context.tracked_fleet.place(number)


@when("{count:d} requests with the same prompt are placed and none ends")
def step_one_prompt(context, count):
    for number in range(count):
        context.tracked_fleet.place(number, "hot")


@then("no engine has more than {most:d} requests beyond its share")
def step_spread(context, most):
    fleet = context.tracked_fleet
    running = [fleet.true_running(u.incarnation_id) for u in fleet.upstreams]
    share = len(fleet.placed) / len(fleet.upstreams)
    assert max(running) <= share + most, sorted(running)


@when(
    "{count:d} requests of {prefixes:d} prompt prefixes are placed and ended one by one"
)
def step_prefixes(context, count, prefixes):
    context.prefilled_again = 0
    held = set()
    for number in range(count):
        prefix = f"o{number % prefixes}"
        placement = context.tracked_fleet.place(number, prefix, ends=True)
        if placement.prefill_tokens > 2890:
            context.prefilled_again += prefix in held
        held.add(prefix)
        context.tracked_fleet.run(0.3)


@then("at most {most:d} of them prefill parts that an engine has cached")
def step_prefilled_again(context, most):
    assert context.prefilled_again <= most, context.prefilled_again


@when("one instance sends a prompt to an engine")
def step_sends(context):
    context.placement = context.tracked_fleet.place(0, "opening")


@then("every instance finds the engine as its holder")
def step_finds(context):
    fleet = context.tracked_fleet
    holder = context.placement.status.upstream.incarnation_id
    prompt = build_request("opening", "other").prompt
    for instance in fleet.instances:
        scopes = [HolderScope(holder, "1")]
        found = instance.work.view(prompt, scopes).holders("1")
        assert found.held_tokens(holder) == 6300, instance.record.name


@when("{share:d} percent of the instances {fault}")
def step_fail(context, share, fault):
    fleet = context.tracked_fleet
    context.failed_instances = fleet.draw.sample(
        fleet.instances, len(fleet.instances) * share // 100
    )
    for instance in context.failed_instances:
        instance.is_up = False
    context.fault = fault
    fleet.max_placement_s = 0.0


@when("these instances are up again")
def step_up_again(context):
    for instance in context.failed_instances:
        instance.is_up = True
        if context.fault == "die":
            instance.restart()


@then("every request was placed")
def step_all_placed(context):
    assert context.tracked_fleet.unplaced == 0, context.tracked_fleet.unplaced


@then("no request waited more than {most_s:g} seconds for replies")
def step_waited(context, most_s):
    assert context.tracked_fleet.max_placement_s <= most_s, (
        context.tracked_fleet.max_placement_s
    )


@when("{seconds:g} seconds pass for the fleet")
def step_pass(context, seconds):
    context.tracked_fleet.run(seconds)


@then("the trackers count exactly the requests on every engine")
def step_exact_counts(context):
    fleet = context.tracked_fleet
    fleet.run(0.1)
    for upstream in fleet.upstreams:
        engine = upstream.incarnation_id
        expected, found = fleet.true_running(engine), fleet.tracked_running(engine)
        assert found == expected, (engine, found, expected)


@when("every instance that placed a request dies")
def step_placers_die(context):
    for instance, _, _ in context.tracked_fleet.placed:
        instance.is_up = False


@given("every datagram is delivered twice")
def step_duplicated(context):
    context.tracked_fleet.net.duplication = 1.0


@when("the memory of one engine is filled by requests in progress")
def step_filled(context):
    fleet = context.tracked_fleet
    tracker = fleet.first_tracker("e0").tracker
    for number in range(12):
        tracker.apply(work_began(number, "e0", own=8_000, lasts_s=60.0))


@then("the next prompts are placed on the other engine")
def step_other_engine(context):
    for number in range(10):
        placement = context.tracked_fleet.place(number, ends=True)
        assert placement.status.upstream.incarnation_id == "e1"


@when("every engine but one has {tokens:d} tokens to prefill")
def step_busy(context, tokens):
    fleet = context.tracked_fleet
    for number, upstream in enumerate(fleet.upstreams[1:]):
        engine = upstream.incarnation_id
        work = work_began(number, engine, pending=tokens, own=10, lasts_s=60.0)
        fleet.first_tracker(engine).tracker.apply(work)


@then(
    "{count:d} requests that may wait {wait_s:g} seconds are placed and none is refused"
)
def step_none_refused(context, count, wait_s):
    for number in range(count):
        try:
            placement = context.tracked_fleet.place(
                number, ends=True, max_wait_s=wait_s
            )
        except OverloadedError as error:
            raise AssertionError(f"request {number} was refused: {error}") from error
        assert placement.status.upstream.incarnation_id == "e0"


def _make_unavailable(instance, engine, change):
    status = instance.directory.status(engine)
    if change == "begins to load":
        instance.directory.block(status, 5.0)
    elif change == "leaves":
        instance.directory.put(attrs.evolve(status.upstream, is_leaving=True))
    elif change == "is gone":
        instance.directory.remove(engine)
    else:
        status.record_version("m0", 2, instance.fleet.clock())


@when("an engine {change} while trackers are queried about it")
def step_becomes_unavailable(context, change):
    fleet = context.tracked_fleet
    # The engine that this prompt prefers becomes unavailable before replies arrive.
    context.unavailable = fleet.place(1, "o", ends=True).status.upstream.incarnation_id
    instance = context.instance = fleet.instances[7]
    wait = fleet.net.wait

    def wait_and_make_unavailable(event, timeout_s):
        wait(event, timeout_s)
        if instance.directory.status(context.unavailable) is not None:
            _make_unavailable(instance, context.unavailable, change)

    instance.client._wait = wait_and_make_unavailable
    context.placement = instance.placer.place(build_request("o", "x"))


@then("the prompt is not placed on it")
def step_not_on_it(context):
    placed = context.placement and context.placement.status.upstream.incarnation_id
    assert placed != context.unavailable, placed


# Reply timeouts.


@given("replies that take {took_ms:d} milliseconds")
def step_replies(context, took_ms):
    context.estimate = RoundTripEstimate()
    step_replies_take(context, took_ms)


@when("replies take {took_ms:d} milliseconds for a while")
def step_replies_take(context, took_ms):
    for _ in range(100):
        context.estimate.observe(took_ms / 1000.0)


@then("the next reply timeout is between {least_ms:d} and {most_ms:d} milliseconds")
def step_waited_for(context, least_ms, most_ms):
    timeout_ms = context.estimate.timeout_s * 1000.0
    assert least_ms <= timeout_ms <= most_ms, timeout_ms


# A real socket.


@given("a datagram socket")
def step_socket(context):
    context.address = f"127.0.0.1:{free_port()}"
    context.link = DatagramSocket(context.address, TRACKER_KINDS)

    def reply(query, sender):
        context.link.send(sender, LoadReply(query.number, "me"))

    context.link.on_message(LoadQuery, reply)
    context.link.start()


@when("it receives an undecodable datagram, and then a query")
def step_undecodable(context):
    host, _, port = context.address.rpartition(":")
    client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    client.setblocking(False)
    with captured_lines() as context.lines:
        client.sendto(b"\x93nonsense", (host, int(port)))
        client.sendto(CODEC.encode(LoadQuery(7, ("e0",))), (host, int(port)))
        context.reply = _receive(client)
    client.close()
    context.link.close()


def _receive(client):
    deadline_s = time.monotonic() + 5.0
    while time.monotonic() < deadline_s:
        try:
            return client.recv(65_000)
        except BlockingIOError:
            gevent.sleep(0.01)
    return b""


@then("the query is answered and the undecodable datagram is logged")
def step_answered(context):
    assert CODEC.decode(context.reply) == LoadReply(7, "me")
    assert [x for x in context.lines if x["message"] == "Bad datagram."]


# Random faults.


@given("a fleet with random faults from seed {seed:d}")
def step_random_faults(context, seed):
    context.tracked_fleet = TrackedFleet(31, 12, 4, seed)
    net = context.tracked_fleet.net
    net.loss = net.draw.choice((0.0, 0.02, 0.2))
    net.duplication = net.draw.choice((0.0, 0.1))
    net.max_delay_s = net.draw.choice((0.003, 0.02))


@when("{count:d} random steps are taken")
def step_random(context, count):
    fleet, draw = context.tracked_fleet, context.tracked_fleet.draw
    context.most_counted = 0
    for number in range(count):
        step = draw.random()
        if step < 0.55:
            fleet.place(number, f"o{draw.randrange(8)}")
        elif step < 0.85 and fleet.placed:
            _, _, in_flight_request = fleet.placed.pop(
                draw.randrange(len(fleet.placed))
            )
            in_flight_request.note_answering()
            in_flight_request.end()
        elif step < 0.90 and len(fleet.up()) > 12:
            draw.choice(fleet.up()).is_up = False
        elif step < 0.95:
            _revive_one(fleet, draw)
        else:
            fleet.run(draw.uniform(0.0, 1.0))
        _check_totals(fleet)


def _revive_one(fleet, draw):
    down = [instance for instance in fleet.instances if not instance.is_up]
    if not down:
        return
    instance = draw.choice(down)
    instance.is_up = True
    if draw.random() < 0.5:
        # The instance was killed, which ended its requests.
        fleet.placed = [entry for entry in fleet.placed if entry[0] is not instance]
        instance.restart()


def _check_totals(fleet):
    """Assert that all totals are positive and agree with the number of requests."""
    for instance in fleet.instances:
        in_flight = instance.tracker._in_flight
        for work in in_flight._totals_by_holder.values():
            assert work.running > 0 and work.pending_tokens >= 0, work
            assert work.own_tokens >= 0 and work.part_tokens >= 0, work
        running = sum(work.running for work in in_flight._totals_by_holder.values())
        assert running == len(in_flight), (running, len(in_flight))


@then("no tracker ever counted a request twice or below zero")
def step_totals(context):
    _check_totals(context.tracked_fleet)


@when("the faults stop and all requests have ended")
def step_faults_end(context):
    fleet = context.tracked_fleet
    net = fleet.net
    net.loss, net.duplication, net.max_delay_s = 0.0, 0.0, 0.003
    for instance in fleet.instances:
        instance.is_up = True
    for _, _, in_flight_request in fleet.placed:
        in_flight_request.end()
    fleet.placed.clear()
    fleet.run(15.0)


@then("the trackers count the next {count:d} requests exactly")
def step_next_counted(context, count):
    step_none_ends(context, count)
    step_exact_counts(context)
