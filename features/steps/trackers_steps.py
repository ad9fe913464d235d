"""Steps for the trackers of upstreams, in modelled time."""

import collections
import socket
import time

import attrs
import gevent
from behave import given, then, when
from decision_world import build_request
from log_capture import captured_lines
from trackers_world import CODEC, TrackedFleet, began

from kumquatseam.bench import free_port
from kumquatseam.errors import OverloadedError
from kumquatseam.peers import DatagramSocket, RendezvousOrder, RoundTripEstimate
from kumquatseam.placement import HolderScope
from kumquatseam.trackers import (
    TRACKER_KINDS,
    LoadAnswer,
    LoadQuestion,
)


@given(
    "{count:d} instances before {engines:d} engines, {fast:d} of them with faster links"
)
def step_fleet(context, count, engines, fast):
    context.tracked = TrackedFleet(count, engines, fast)


def _trackers(fleet, records=None):
    order = RendezvousOrder(lambda: records or fleet.records)
    return {u.incarnation_id: order.of(u.incarnation_id)[0] for u in fleet.upstreams}


@then("all agree who tracks each engine")
def step_agree(context):
    fleet = context.tracked
    expected = _trackers(fleet)
    for side in fleet.sides[:: max(1, len(fleet.sides) // 20)]:
        for engine, record in expected.items():
            assert side.order.of(engine)[0] == record


@then("no instance tracks more than {most:d} of them")
def step_most(context, most):
    counts = collections.Counter(r.name for r in _trackers(context.tracked).values())
    assert max(counts.values()) <= most, counts.most_common(3)


@then("the fast ones track their share")
def step_fast_share(context):
    fleet = context.tracked
    total = sum(record.link_mbps for record in fleet.records)
    fast = sum(r.link_mbps for r in fleet.records if r.link_mbps > 100) / total
    found = [r.link_mbps > 100 for r in _trackers(fleet).values()]
    assert abs(sum(found) / len(found) - fast) < 0.25, (sum(found), fast)


@when("one instance that tracks engines is taken off the list")
def step_taken_off(context):
    fleet = context.tracked
    context.before = _trackers(fleet)
    context.gone = next(iter(context.before.values()))
    left = [r for r in fleet.records if r != context.gone]
    context.after = _trackers(fleet, left)


@then("only its engines are tracked by others")
def step_only_its(context):
    for engine, record in context.before.items():
        moved = context.after[engine] != record
        assert moved == (record == context.gone), engine


@when("{count:d} requests are placed and ended")
def step_placed_ended(context, count):
    fleet = context.tracked
    context.sent_before = fleet.net.sent
    for number in range(count):
        fleet.place(number, ends=True)
    context.placed_count = count


@then("a request took at most {most:d} datagrams on average")
def step_datagrams(context, most):
    sent = context.tracked.net.sent - context.sent_before
    assert sent / context.placed_count <= most, sent / context.placed_count


@then("no datagram was longer than {most:d} bytes")
def step_longest(context, most):
    assert context.tracked.net.longest_bytes <= most, context.tracked.net.longest_bytes


@then("nobody keeps anything of the requests that ended")
@then("no tracker counts any request")
def step_nothing_kept(context):
    assert not context.tracked.counted(), context.tracked.counted()


@when("{count:d} requests of different prompts are placed and none ends")
@when("{count:d} requests are placed and none ends")
def step_none_ends(context, count):
    for number in range(count):
        context.tracked.place(number)


@when("{count:d} requests of one prompt are placed and none ends")
def step_one_prompt(context, count):
    for number in range(count):
        context.tracked.place(number, "hot")


@then("no engine has more than {most:d} requests beyond its share")
def step_spread(context, most):
    fleet = context.tracked
    running = [fleet.true_running(u.incarnation_id) for u in fleet.upstreams]
    share = len(fleet.placed) / len(fleet.upstreams)
    assert max(running) <= share + most, sorted(running)


@when("{count:d} requests of {openings:d} openings are placed and ended one by one")
def step_openings(context, count, openings):
    context.read_again = 0
    held = set()
    for number in range(count):
        opening = f"o{number % openings}"
        placement = context.tracked.place(number, opening, ends=True)
        if placement.prefill_tokens > 2890:
            context.read_again += opening in held
        held.add(opening)
        context.tracked.run(0.3)


@then("at most {most:d} of them read parts that an engine has")
def step_read_again(context, most):
    assert context.read_again <= most, context.read_again


@when("one instance sends a prompt to an engine")
def step_sends(context):
    context.placement = context.tracked.place(0, "opening")


@then("every instance learns that the engine holds it")
def step_learns(context):
    fleet = context.tracked
    holder = context.placement.status.upstream.incarnation_id
    prompt = build_request("opening", "other").prompt
    for side in fleet.sides:
        scopes = [HolderScope(holder, "1")]
        found = side.work.view(prompt, scopes).holders("1")
        assert found.held_tokens(holder) == 6300, side.record.name


@when("{share:d} percent of the instances {fault}")
def step_fail(context, share, fault):
    fleet = context.tracked
    context.fallen = fleet.draw.sample(fleet.sides, len(fleet.sides) * share // 100)
    for side in context.fallen:
        side.is_up = False
    context.fault = fault
    fleet.longest_ask_s = 0.0


@when("they are back")
def step_back(context):
    for side in context.fallen:
        side.is_up = True
        if context.fault == "die":
            side.restart()


@then("every request was placed")
def step_all_placed(context):
    assert context.tracked.unplaced == 0, context.tracked.unplaced


@then("no request waited more than {most_s:g} seconds for answers")
def step_waited(context, most_s):
    assert context.tracked.longest_ask_s <= most_s, context.tracked.longest_ask_s


@when("{seconds:g} seconds pass for the fleet")
def step_pass(context, seconds):
    context.tracked.run(seconds)


@then("the trackers know every request on every engine")
def step_know(context):
    fleet = context.tracked
    fleet.run(0.1)
    for upstream in fleet.upstreams:
        engine = upstream.incarnation_id
        expected, found = fleet.true_running(engine), fleet.tracked_running(engine)
        assert found == expected, (engine, found, expected)


@when("every instance that placed one dies")
def step_placers_die(context):
    for side, _, _ in context.tracked.placed:
        side.is_up = False


@given("every datagram comes twice")
def step_twice(context):
    context.tracked.net.repeats = 1.0


@when("one engine's memory is filled by requests that are being answered")
def step_filled(context):
    fleet = context.tracked
    tracker = fleet.first_tracker("e0").tracker
    for number in range(12):
        tracker.take(began(number, "e0", own=8_000, lasts_s=60.0))


@then("the next prompt goes to the other engine")
def step_other_engine(context):
    for number in range(10):
        placement = context.tracked.place(number, ends=True)
        assert placement.status.upstream.incarnation_id == "e1"


@when("every engine but one has {tokens:d} tokens to read")
def step_busy(context, tokens):
    fleet = context.tracked
    for number, upstream in enumerate(fleet.upstreams[1:]):
        engine = upstream.incarnation_id
        work = began(number, engine, pending=tokens, own=10, lasts_s=60.0)
        fleet.first_tracker(engine).tracker.take(work)


@then(
    "{count:d} requests that may wait {wait_s:g} seconds are placed and none is refused"
)
def step_none_refused(context, count, wait_s):
    for number in range(count):
        try:
            placement = context.tracked.place(number, ends=True, max_wait_s=wait_s)
        except OverloadedError as error:
            raise AssertionError(f"request {number} was refused: {error}") from error
        assert placement.status.upstream.incarnation_id == "e0"


def _close(side, engine, change):
    status = side.directory.status(engine)
    if change == "begins to load":
        side.directory.block(status, 5.0)
    elif change == "leaves":
        side.directory.put(attrs.evolve(status.upstream, is_leaving=True))
    elif change == "is gone":
        side.directory.remove(engine)
    else:
        status.record_version("m0", 2, side.fleet.clock())


@when("an engine {change} while others are asked about it")
def step_closes(context, change):
    fleet = context.tracked
    # Wherever this prompt would go, that engine closes while answers are on the way.
    context.closed = fleet.place(1, "o", ends=True).status.upstream.incarnation_id
    side = context.side = fleet.sides[7]
    wait = fleet.net.wait

    def wait_and_close(event, timeout_s):
        wait(event, timeout_s)
        if side.directory.status(context.closed) is not None:
            _close(side, context.closed, change)

    side.client._wait = wait_and_close
    context.placement = side.placer.place(build_request("o", "x"))


@then("the prompt is not placed on it")
def step_not_on_it(context):
    placed = context.placement and context.placement.status.upstream.incarnation_id
    assert placed != context.closed, placed


# Waiting for answers.


@given("answers that take {took_ms:d} milliseconds")
def step_answers(context, took_ms):
    context.estimate = RoundTripEstimate()
    step_answers_take(context, took_ms)


@when("answers take {took_ms:d} milliseconds for a while")
def step_answers_take(context, took_ms):
    for _ in range(100):
        context.estimate.note(took_ms / 1000.0)


@then("the next one is waited for between {least_ms:d} and {most_ms:d} milliseconds")
def step_waited_for(context, least_ms, most_ms):
    timeout_ms = context.estimate.timeout_s * 1000.0
    assert least_ms <= timeout_ms <= most_ms, timeout_ms


# A real socket.


@given("a datagram socket")
def step_socket(context):
    context.address = f"127.0.0.1:{free_port()}"
    context.link = DatagramSocket(context.address, TRACKER_KINDS)

    def answer(question, sender):
        context.link.send(sender, LoadAnswer(question.number, "me"))

    context.link.on_message(LoadQuestion, answer)
    context.link.start()


@when("it gets bytes that are no message, and then a question")
def step_bad_datagram(context):
    host, _, port = context.address.rpartition(":")
    asker = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    asker.setblocking(False)
    with captured_lines() as context.lines:
        asker.sendto(b"\x93nonsense", (host, int(port)))
        asker.sendto(CODEC.encode(LoadQuestion(7, ("e0",))), (host, int(port)))
        context.reply = _receive(asker)
    asker.close()
    context.link.close()


def _receive(asker):
    give_up_s = time.monotonic() + 5.0
    while time.monotonic() < give_up_s:
        try:
            return asker.recv(65_000)
        except BlockingIOError:
            gevent.sleep(0.01)
    return b""


@then("the question is answered and the rest is logged")
def step_answered(context):
    assert CODEC.decode(context.reply) == LoadAnswer(7, "me")
    assert [x for x in context.lines if x["message"] == "Bad datagram."]


# Exploring.


@given("a fleet explored with seed {seed:d}")
def step_explored(context, seed):
    context.tracked = TrackedFleet(31, 12, 4, seed)
    net = context.tracked.net
    net.loss = net.draw.choice((0.0, 0.02, 0.2))
    net.repeats = net.draw.choice((0.0, 0.1))
    net.longest_delay_s = net.draw.choice((0.003, 0.02))


@when("{count:d} random steps are taken")
def step_random(context, count):
    fleet, draw = context.tracked, context.tracked.draw
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
        _check_books(fleet)


def _revive_one(fleet, draw):
    down = [side for side in fleet.sides if not side.is_up]
    if not down:
        return
    side = draw.choice(down)
    side.is_up = True
    if draw.random() < 0.5:
        # It was killed: its requests ended with it.
        fleet.placed = [entry for entry in fleet.placed if entry[0] is not side]
        side.restart()


def _check_books(fleet):
    """No tracker counts more requests than were ever begun, nor less than none."""
    for side in fleet.sides:
        book = side.tracker._book
        for work in book._by_holder.values():
            assert work.running > 0 and work.pending_tokens >= 0, work
            assert work.own_tokens >= 0 and work.part_tokens >= 0, work
        running = sum(work.running for work in book._by_holder.values())
        assert running == len(book), (running, len(book))


@then("no tracker ever counted a request twice or below zero")
def step_books(context):
    _check_books(context.tracked)


@when("faults end and all requests have ended")
def step_faults_end(context):
    fleet = context.tracked
    net = fleet.net
    net.loss, net.repeats, net.longest_delay_s = 0.0, 0.0, 0.003
    for side in fleet.sides:
        side.is_up = True
    for _, _, in_flight_request in fleet.placed:
        in_flight_request.end()
    fleet.placed.clear()
    fleet.run(15.0)


@then("the fleet knows the next {count:d} requests exactly")
def step_knows_next(context, count):
    step_none_ends(context, count)
    step_know(context)
