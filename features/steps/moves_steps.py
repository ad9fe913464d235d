"""Steps for moved runs, with scripted connections and placements."""

import time

import attrs
import gevent.socket
from behave import given, then, when
from quarantine_world import single_instance_quarantine
from quota_world import (
    single_instance_limits,
    single_instance_origins,
    single_instance_quotas,
    single_instance_retries,
)

from kumquatseam.admission import RetryCause
from kumquatseam.clocks import elapsed_s
from kumquatseam.gateway._caller import CallerConnection
from kumquatseam.gateway._handler import HandlerParts, RequestHandler
from kumquatseam.http1 import (
    ConnectFailedError,
    Headers,
    Request,
    ResponseHead,
    ResponseInterruptedError,
)
from kumquatseam.metrics import GatewayMetrics
from kumquatseam.placement import BroadcastWork, Placement, VersionDemand
from kumquatseam.platform._headers import PlatformDialect
from kumquatseam.prompts import PromptIndex
from kumquatseam.rollouts import EngineReport, MoveOutcome, MoveResult
from kumquatseam.routes import (
    EngineTraits,
    LiveRouteTable,
    Repeatability,
    Route,
    RouteTable,
    ServiceTraits,
    TrafficShare,
)
from kumquatseam.upstreams import (
    Unavailability,
    Upstream,
    UpstreamDirectory,
    WeightsTargets,
    WeightsVersion,
)

EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 5)]
ADDRESSES = {"source": "10.0.0.1:1", "target": "10.0.0.2:1", "other": "10.0.0.3:1"}


class StreamingConnection:
    """Returns some events, and then ends or fails.

    :param refusals: how many requests its engine turns away.
    :param resets: how many requests it resets unread.
    """

    is_reusable = True
    is_relayed = False

    def __init__(self, address, events, is_whole, refusals=0, resets=0):
        self.address = address
        self.events = list(events)
        self.is_whole = is_whole
        self.sent = b""
        self.opened_s = self.sent_s = time.monotonic()
        self.incarnation_id = ""
        self.refusals = refusals
        self.refusal = 503
        self.resets = resets

    def is_open_and_idle(self):
        return True

    def send(self, data):
        self.sent += data

    def read_head(self, request_id, header, wait, is_not_run, may_hold):
        if self.resets:
            self.resets -= 1
            raise ResponseInterruptedError(self.address, "reset")
        fields = [(b"X-Request-Id", b"r1")]
        self.is_refusing = self.refusals > 0
        if self.is_refusing:
            self.refusals -= 1
            fields.append((b"X-Not-Executed", b"1"))
            return ResponseHead(self.refusal, Headers(fields), 0, False)
        fields.append((b"X-Replica-Signature", b"s"))
        return ResponseHead(200, Headers(fields), None, True)

    def read_body(self, wait):
        if self.is_refusing:
            return b""
        gevent.sleep(0)
        if self.events:
            return self.events.pop(0)
        if self.is_whole:
            return b""
        raise ResponseInterruptedError(self.address, "moved")

    def close(self):
        pass


class SourceConnection(StreamingConnection):
    """Returns some events, and the rest only if no move stops the run meanwhile.

    :param orders: moves the run (``ScriptedMoves``).
    """

    def __init__(self, orders):
        super().__init__("source", EVENTS[:2], False)
        self.orders = orders
        #: refusals after the run was stopped.
        self.refusals_later = 0

    def read_body(self, wait):
        if self.events or self.is_refusing:
            return super().read_body(wait)
        if self.orders is not None and not self.orders.is_over():
            gevent.sleep(0.01)
            return self.read_body(wait)
        if self.orders is None or self.orders.has_stopped_run:
            self.orders = None
            return super().read_body(wait)
        # The run goes on where it is.
        self.events, self.is_whole, self.orders = EVENTS[2:], True, None
        return super().read_body(wait)

    def take_back(self):
        """Go on with the run that was stopped."""
        self.refusals = self.refusals_later
        self.events, self.is_whole = EVENTS[2:], True


class ScriptedPool:
    """Connections by address; the first attempts to reach the target fail."""

    def __init__(self, target_failures, orders):
        self.target_failures = target_failures
        self.tried = []
        self.connections = {
            ADDRESSES["source"]: SourceConnection(orders),
            ADDRESSES["target"]: StreamingConnection("target", EVENTS[2:], True),
            ADDRESSES["other"]: StreamingConnection("other", EVENTS[2:], True),
        }

    def acquire(self, address, timeout_s, request_id):
        self.tried.append(address)
        source = self.connections[ADDRESSES["source"]]
        if address == ADDRESSES["source"] and self.tried.count(address) > 1:
            source.take_back()
        if address == ADDRESSES["target"] and self.target_failures:
            self.target_failures -= 1
            raise ConnectFailedError(address, "timed out")
        connection = self.connections[address]
        connection.opened_s = connection.sent_s = time.monotonic()
        connection.incarnation_id = ""
        return connection

    def release(self, connection, keep_alive_s):
        pass

    def drop(self, address):
        pass


class ScriptedPlacer:
    """Places on the source first, then on an engine that no move used."""

    def __init__(self, directory):
        self.directory = directory
        self.demand = VersionDemand()
        self.places = ["source", "other"]
        #: software versions that were asked for.
        self.versions = []

    def place(self, request):
        self.versions.append(request.software_version)
        place = self.places.pop(0)
        if place is None:
            return None
        return Placement(self.directory.status(place), "m0", 1, "1")

    def move_destination(self, placement):
        (name,) = placement.status.move_runs_to
        return attrs.evolve(placement, status=self.directory.status(name))

    def may_move(self, placement, destination):
        return not destination.is_closed


COPIED = MoveResult(MoveOutcome.DONE, "handle", 1)
STOPPED = MoveResult(MoveOutcome.DONE, "handle", 2)


class ScriptedMoves:
    """Moves runs.

    :param copied: the answer to the call that copies a run.
    :param stopped: the answer to the call that stops it.
    """

    def __init__(self, copied=COPIED, stopped=STOPPED):
        self.copied = copied
        self.stopped = stopped
        #: called between the two calls, and after the second one.
        self.on_copied = self.on_stopped = lambda: None
        self.calls = []
        self.freed = []
        self.has_stopped_run = False
        self.waits = 0
        #: when engines started, by their own reports, if not as their entries say.
        self.reported_born_ms = {}

    def is_over(self):
        """Whether nothing more comes of the move."""
        self.waits += 1
        # What was given up is not waited for any longer: beside load that could take
        # until the run is moved once more.
        return self.has_stopped_run or bool(self.freed) or self.waits > 20

    def move_run(self, source, request_id, destination, stops_run):
        self.calls.append("stop" if stops_run else "copy")
        gevent.sleep(0)
        if not stops_run:
            gevent.spawn(self.on_copied).join()
            return self.copied
        self.has_stopped_run = self.stopped.outcome in (
            MoveOutcome.DONE,
            MoveOutcome.UNANSWERED,
        ) or bool(self.stopped.handle)
        gevent.spawn(self.on_stopped).join()
        return self.stopped

    def free_run(self, source, handle):
        self.freed.append(handle)

    def report(self, upstream):
        gevent.sleep(0)
        born_ms = self.reported_born_ms.get(upstream.upstream_id, upstream.born_ms)
        return EngineReport((), False, 0, 0, 0, born_ms)


def _build(context, target_failures, is_resumable=False, orders=None):
    route = Route(
        "r",
        "h",
        "/",
        Repeatability.NON_IDEMPOTENT,
        (TrafficShare("engines", 1.0),),
        is_stream=True,
        is_resumable=is_resumable,
        max_attempts=2,
    )
    traits = ServiceTraits("engines", engine=EngineTraits(24, 100_000, ("m0",)))
    live = LiveRouteTable()
    live.apply(RouteTable(1, (route,), (traits,)), "test")
    directory = UpstreamDirectory()
    for name, address in ADDRESSES.items():
        weights = (WeightsVersion("m0", 1),)
        directory.put(
            Upstream(name, "engines", address, weights=weights, software_version="v1")
        )
    directory.status("source").move_runs(("target",))
    directory.status("source").availability.set(Unavailability.LOADING, 60.0)
    context.orders = orders or ScriptedMoves()
    context.pool = ScriptedPool(target_failures, context.orders)
    context.placer = ScriptedPlacer(directory)
    context.limits = single_instance_limits()
    context.retries = single_instance_retries()
    context.handler = RequestHandler(
        HandlerParts(
            live,
            PlatformDialect(),
            context.placer,
            directory,
            BroadcastWork(directory, PromptIndex()),
            context.pool,
            context.retries,
            GatewayMetrics(),
            context.orders,
            single_instance_quarantine(),
            single_instance_quotas(),
            context.limits,
            single_instance_origins(),
            WeightsTargets(),
        )
    )


@given("a stream that is moved to an engine that cannot be reached")
def step_unreachable(context):
    _build(context, 99)


@given("a stream on a drained engine that already runs other weights")
def step_weights_changed(context):
    _build(context, 0)
    context.placer.directory.status("source").record_version("m0", 2, time.monotonic())


@then("only the source engine was tried")
def step_source_only(context):
    assert set(context.pool.tried) == {ADDRESSES["source"]}, context.pool.tried


@given("a stream that is moved to an engine that can be reached")
def step_reached(context):
    _build(context, 0)


@given("a stream that is to be moved from or to an engine that restarts: {name}")
def step_restarted_end(context, name):
    """Its process says so; this instance has read only the entry of the one before."""
    _build(context, 0)
    directory = context.placer.directory
    for listed in ("source", "target"):
        entry = directory.status(listed).upstream
        directory.remove(listed)
        directory.put(attrs.evolve(entry, born_ms=1000, sequence=entry.sequence + 1))
    source = directory.status("source@1000")
    source.move_runs(("target@1000",))
    source.availability.set(Unavailability.LOADING, 60.0)
    context.placer.places[0] = "source@1000"
    if name != "neither":
        context.orders.reported_born_ms[name] = 2000


@given("a stream that is moved to an engine that {what}, while its source {how}")
def step_holders(context, what, how):
    _build(context, 0)
    connections = context.pool.connections
    target, source = (connections[ADDRESSES[n]] for n in ("target", "source"))
    counts = {"refuses it": 99, "refuses it twice": 2}
    target.refusals = counts.get(what, 0)
    target.resets = 1 if what.startswith("resets") else 0
    if what == "resets once and has other weights":
        target.refusals, target.refusal = 99, 421
    if how == "refuses it":
        source.refusals_later = 99


@given("a stream whose move is answered so: {answer}")
def step_answered(context, answer):
    done = MoveResult(MoveOutcome.DONE, "handle", 1)
    answers = {
        "no room for a copy": (MoveResult(MoveOutcome.NO_ROOM), done),
        "no such run": (MoveResult(MoveOutcome.ENDED), done),
        "another call is in progress": (MoveResult(MoveOutcome.IN_PROGRESS), done),
        "the answer to the copy is lost": (MoveResult(MoveOutcome.UNANSWERED), done),
        "stopped, without room": (done, MoveResult(MoveOutcome.NO_ROOM, "handle")),
        "not stopped, without room": (done, MoveResult(MoveOutcome.NO_ROOM)),
        "not stopped, another call is in progress": (
            done,
            MoveResult(MoveOutcome.IN_PROGRESS),
        ),
        "stopped, and the answer is lost": (done, MoveResult(MoveOutcome.UNANSWERED)),
    }
    _build(context, 0, orders=ScriptedMoves(*answers[answer]))


@given("the destination is to load weights itself once the copy is made")
def step_destination_loads(context):
    status = context.placer.directory.status("target")
    context.orders.on_copied = lambda: status.availability.set(
        Unavailability.LOADING, 60.0
    )


@then("the run was not stopped")
def step_not_stopped(context):
    assert "stop" not in context.orders.calls, context.orders.calls


@then("the run was stopped")
def step_stopped(context):
    assert "stop" in context.orders.calls, context.orders.calls


@then("it was not asked to move")
def step_not_asked(context):
    assert not context.orders.calls, context.orders.calls


@then("nothing is reserved for it any more")
def step_nothing_reserved(context):
    gevent.sleep(0.01)
    assert context.orders.freed == ["handle"], context.orders.freed
    for status in context.placer.directory.all():
        assert status.running == 0, status.upstream.upstream_id


@then("it went on at its {place}, after event {number:d}")
def step_went_on_at(context, place, number):
    address = ADDRESSES["target" if place == "destination" else place]
    sent = context.pool.connections[address].sent
    assert b"Kv-From: 10.0.0.1:1/handle" in sent, sent
    assert b"Last-Event-Id: %d" % number in sent, sent
    others = set(ADDRESSES.values()) - {address}
    for other in others:
        connection = context.pool.connections[other]
        has_gone_on = b"Kv-From" in connection.sent and not connection.is_refusing
        assert not has_gone_on, other


@given("a resumable stream that is moved to an engine that refuses it")
def step_resumable(context):
    _build(context, 0, is_resumable=True)
    connections = context.pool.connections
    connections[ADDRESSES["target"]].refusals = 99
    connections[ADDRESSES["source"]].refusals_later = 99


@then("its source went on with it, and no other engine was sent it")
def step_stayed(context):
    for name in ("target", "other"):
        assert not context.pool.connections[ADDRESSES[name]].sent, name


@given("no other engine accepts it at the next placements")
def step_no_placement(context):
    context.placer.places[1:1] = [None, None, None]


@when("the caller's request is served")
def step_served(context):
    router_side, caller_side = gevent.socket.socketpair()
    fields = [
        (b"Host", b"h"),
        (b"X-Request-Id", b"r1"),
        (b"X-Deadline-Ms", b"5000"),
        (b"X-Model", b"m0"),
        (b"X-Token-Usage", b"300,20"),
        (b"X-Prompt-Prefix", b"a1:200,b2:100"),
    ]
    request = Request(b"POST", b"/x", Headers(fields), b"", True, time.monotonic())
    context.handler.handle(request, CallerConnection(router_side), lambda: False)
    router_side.close()
    context.answer = b""
    while data := caller_side.recv(65_536):
        context.answer += data


@then("only the source and the destination engine were tried")
def step_source_and_destination(context):
    tried = set(context.pool.tried)
    assert tried == {ADDRESSES["source"], ADDRESSES["target"]}, context.pool.tried


@then("the caller's stream is visibly incomplete after {count:d} events")
def step_incomplete(context, count):
    assert context.answer.count(b"data:") == count, context.answer
    assert not context.answer.endswith(b"0\r\n\r\n"), context.answer


@then("the caller's stream is complete, with {count:d} events")
def step_whole(context, count):
    assert context.answer.count(b"data:") == count, context.answer
    assert context.answer.endswith(b"0\r\n\r\n"), context.answer


@then("another engine was asked to resume after event {number:d}")
def step_other(context, number):
    sent = context.pool.connections[ADDRESSES["other"]].sent
    assert b"Last-Event-Id: %d" % number in sent, sent
    assert b"Kv-From" not in sent, sent


@given("the destination engine announced a limit")
def step_limited(context):
    context.limits.observe("target", 0.2, elapsed_s())


@given("the destination engine announced a limit that is used up")
def step_used_up(context):
    step_limited(context)
    context.limits.acquire("target", "another request")


@given("the retry budget of its service is used up")
def step_budget_used_up(context):
    while context.retries.acquire("engines", RetryCause.FAILED, "another"):
        pass


@given("the retry budget of its service is used up as soon as the run is stopped")
def step_budget_used_up_later(context):
    context.orders.on_stopped = lambda: step_budget_used_up(context)


@then("its move was granted as one request of that limit")
def step_granted(context):
    assert context.limits.granted == 1, context.limits.granted


@given("a resumable stream on an engine that starts again with other software")
def step_other_software(context):
    _build(context, 0, is_resumable=True)
    directory = context.placer.directory
    directory.status("source").move_runs(())
    connections = context.pool.connections
    connections[ADDRESSES["source"]].orders = None
    connections[ADDRESSES["other"]].events = list(EVENTS)
    source = connections[ADDRESSES["source"]]
    read_head = source.read_head

    def read_head_late(*arguments):
        # Its new entry arrives between its choice and its first event.
        entry = directory.status("source").upstream
        directory.put(attrs.evolve(entry, software_version="v2"))
        return read_head(*arguments)

    source.read_head = read_head_late


@then("another engine was asked to begin the stream")
def step_begun_elsewhere(context):
    sent = context.pool.connections[ADDRESSES["other"]].sent
    assert sent and b"Last-Event-Id" not in sent, sent


@given("a resumable stream on an engine whose software is not known")
def step_unknown_software(context):
    _build(context, 0, is_resumable=True)
    directory = context.placer.directory
    source = directory.status("source")
    # It says itself that it has started again; its entry is older than that.
    directory.note_restart(source, 1)
    restarted = directory.status("source@1")
    assert restarted.upstream.software_version == "", restarted.upstream
    context.placer.places[0] = "source@1"
    # No move of its run was asked for.
    context.pool.connections[ADDRESSES["source"]].orders = None


@given("its entry arrives after that, and is no further start")
def step_entry_arrives(context):
    directory = context.placer.directory
    restarted = directory.status("source@1")
    entry = attrs.evolve(restarted.upstream, software_version="v2")
    directory.put(entry)
    assert directory.status("source@1") is restarted
    assert restarted.upstream.software_version == "v2"


@then("no other engine was tried")
def step_no_other(context):
    assert set(context.pool.tried) == {ADDRESSES["source"]}, context.pool.tried


@then('its next engine has to have software "{version}"')
def step_next_version(context, version):
    assert context.placer.versions == ["", version], context.placer.versions
