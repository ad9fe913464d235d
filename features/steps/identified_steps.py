"""Steps for the incarnations that connections lead to."""

import attrs
import gevent
from behave import given, step, then, when

from kumquatseam.gateway._processes import ASK_PAUSE_S, UpstreamProcesses
from kumquatseam.gateway._stream_writers import StreamWriters
from kumquatseam.rollouts import EngineReport, OrderClient
from kumquatseam.upstreams import ServiceVersion, Upstream, UpstreamDirectory

WAIT_S = 0.3
SERVICE = "engines"


class _Clock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


class _Engine(OrderClient):
    """Answers what its reports are asked for.

    :param clock: advances a little with each question.
    """

    def __init__(self, clock, directory):
        self.clock, self.directory = clock, directory
        self.born_ms = None
        self.questions = 0

    def report(self, upstream):
        self.questions += 1
        asked_s = self.clock.now_s
        gevent.sleep(0.01)
        if self.born_ms is None:
            return None
        self.directory.note_born(upstream.incarnation_id, self.born_ms, asked_s)
        return EngineReport((), False, 0, 0, 0, self.born_ms)

    def close(self):
        pass

    def order(self, upstream, order):
        raise NotImplementedError

    def move_run(self, source, request_id, destination, stops_run):
        raise NotImplementedError

    def free_run(self, source, handle):
        raise NotImplementedError


class _Connection:
    def __init__(self, opened_s, is_relayed=False):
        self.opened_s, self.is_relayed = opened_s, is_relayed
        self.sent_s = opened_s
        self.incarnation_id = ""


class _Placement:
    moved_run = None

    def __init__(self, status):
        self.status = status


class _Route:
    is_resumable = True


class _Call:
    request_id, first_resumed, resume_after = "r", "", ""


class _Job:
    route, call, team_name, origin_key, caller_remaining_s = _Route, _Call, "", b"", 5.0

    def __init__(self, origin=None):
        self.origin = origin


class _Parts:
    def __init__(self, processes):
        self.processes = processes
        self.origins = self.metrics = self
        self.noted = []

    def note(self, key, origin, keep_s):
        self.noted.append(origin)

    def record_continuation(self, by, is_same):
        pass


def _list(context, software, born_ms, at_s):
    context.clock.now_s = at_s
    context.directory.put(
        Upstream(
            "e0",
            SERVICE,
            "127.0.0.1:9",
            born_ms=born_ms,
            software_version=software,
        )
    )


@given("an engine of v1 that is listed at {at_s:g} s, having started at {born}")
def step_listed(context, at_s, born):
    context.clock = _Clock()
    context.directory = UpstreamDirectory(context.clock)
    context.engine = _Engine(context.clock, context.directory)
    context.processes = UpstreamProcesses(
        context.directory, context.engine, context.clock
    )
    _list(context, "v1", 0 if born == "none" else int(born), at_s)
    (context.listed,) = context.directory.all()
    # Its connections are identified after all that is known of it.
    context.clock.now_s = 20.0
    context.stream = None


@given("a {kind} connection to it that was opened at {opened_s:g} s")
def step_connection(context, kind, opened_s):
    context.connection = _Connection(opened_s, kind == "relayed")


@step("its reports say that it started at {born_ms:d}")
def step_reports(context, born_ms):
    context.engine.born_ms = born_ms


@given("it sends no report")
def step_no_report(context):
    context.engine.born_ms = None


@step("a poll at {at_s:g} s said that it started at {born_ms:d}")
def step_poll(context, at_s, born_ms):
    (status,) = context.directory.all()
    context.clock.now_s = at_s
    context.directory.note_born(status.upstream.incarnation_id, born_ms, at_s)
    context.clock.now_s = 20.0


@given("it answered what it was sent at {sent_s:g} s")
def step_answered(context, sent_s):
    """On a connection that is known to lead to it, at 12 s."""
    connection = _Connection(10.5)
    connection.sent_s = sent_s
    connection.incarnation_id = context.listed.upstream.incarnation_id
    context.parts = _Parts(context.processes)
    context.stream = StreamWriters(context.parts, _Job())
    context.known = _Placement(context.listed), connection
    _pass_known_on(context, 12.0)


@when("another event of that answer is passed on at {at_s:g} s")
def step_waited(context, at_s):
    _pass_known_on(context, at_s)


def _pass_known_on(context, at_s):
    context.clock.now_s = at_s
    assert context.stream.may_pass_on(*context.known)
    context.stream.note_events(*context.known)
    context.clock.now_s = 20.0


@then(
    "a connection that was opened at {opened_s:g} s is not found to lead to the listed "
    "one"
)
def step_not_found(context, opened_s):
    found = _ticking(context, lambda: _identify(context, _Connection(opened_s)))
    assert found is not context.listed, found


@step("it is listed as v3 of {born_ms:d} at {at_s:g} s")
def step_listed_later(context, born_ms, at_s):
    _list(context, "v3", born_ms, at_s)
    context.clock.now_s = 20.0


@when("it is listed as v1 of {born_ms:d} again at {at_s:g} s")
def step_listed_again(context, born_ms, at_s):
    _list(context, "v1", born_ms, at_s)


@then("its listed incarnation started at {born_ms:d}")
def step_listed_incarnation(context, born_ms):
    (status,) = context.directory.all()
    assert status.upstream.born_ms == born_ms, status


@given("it is listed as v3 at {at_s:g} s")
def step_listed_without_start(context, at_s):
    _list(context, "v3", 0, at_s)
    context.clock.now_s = 20.0


@given("its entry is gone, and reports say {born_ms:d}")
def step_gone(context, born_ms):
    context.directory.remove("e0")
    context.engine.born_ms = born_ms


def _identify(context, connection):
    """Wait until a connection is identified, in real time."""
    for _ in range(int(WAIT_S / ASK_PAUSE_S)):
        found = context.processes.wait_identified(context.listed, connection, WAIT_S)
        if found is not None:
            return found
        asking = context.processes.ask(context.listed, connection)
        if asking is None:
            return None
        asking.join()
    return context.processes.identify(context.listed, connection)


@then(
    "the connection is found to lead to {incarnation} after {questions} questions",
)
def step_found(context, incarnation, questions):
    context.clock.now_s = 20.0
    with gevent.Timeout(5):
        found = _ticking(context, lambda: _identify(context, context.connection))
    assert (found is None) == (incarnation == "none"), found
    if found is not None:
        assert found.upstream.incarnation_id == context.listed.upstream.incarnation_id
    if questions == "some":
        assert context.engine.questions >= 1
    else:
        assert context.engine.questions == int(questions), context.engine.questions


def _ticking(context, action):
    """Run an action while the clock advances as real time does."""

    def tick():
        while True:
            gevent.sleep(0.01)
            context.clock.now_s += 0.01

    ticker = gevent.spawn(tick)
    try:
        return action()
    finally:
        ticker.kill()


@when(
    "{count:d} connections that were opened at {opened_s:g} s are identified at the "
    "same time"
)
def step_many(context, count, opened_s):
    tasks = [
        gevent.spawn(
            context.processes.wait_identified,
            context.listed,
            _Connection(opened_s),
            WAIT_S,
        )
        for _ in range(count)
    ]
    gevent.joinall(tasks, timeout=5)
    context.found = [task.value for task in tasks]


@then("all of them lead to the listed one after {questions:d} questions")
def step_all_found(context, questions):
    assert all(found is context.listed for found in context.found), context.found
    assert context.engine.questions == questions, context.engine.questions


@when(
    "a stream passes an event on from a connection that was opened at {opened_s:g} s",
)
def step_stream(context, opened_s):
    context.parts = _Parts(context.processes)
    context.stream = StreamWriters(context.parts, _Job())
    (status,) = context.directory.all()
    context.placement = _Placement(status)
    context.connection = _Connection(opened_s)
    _pass_on(context)


def _pass_on(context):
    stream, arguments = context.stream, (context.placement, context.connection)
    assert _ticking(context, lambda: stream.may_pass_on(*arguments))
    stream.note_events(*arguments)
    # Questions that it asked are answered before the next event.
    gevent.sleep(0.05 + ASK_PAUSE_S)


@when("the stream passes another event on")
def step_another(context):
    _pass_on(context)
    _pass_on(context)


@then(
    "the stream may not pass events on from a connection that was opened at "
    "{opened_s:g} s"
)
def step_not_passed_on_by_another(context, opened_s):
    arguments = _Placement(context.listed), _Connection(opened_s)
    assert not _ticking(context, lambda: context.stream.may_pass_on(*arguments))


@given("an engine that has been listed without a break")
def step_listed_on(context):
    _list(context, "v1", 1000, 12.0)
    context.clock.now_s = 20.0


@given("an engine that is found at {at_s:g} s to have started at {born_ms:d}")
def step_found_restarted(context, at_s, born_ms):
    step_poll(context, at_s, born_ms)


@given("an engine that was removed, and is listed again at {at_s:g} s")
def step_listed_again_later(context, at_s):
    context.directory.remove("e0")
    context.clock.now_s = at_s
    entry = attrs.evolve(context.listed.upstream, sequence=1)
    context.directory.put(entry)
    context.clock.now_s = 20.0


@then("the connection {may} carry another stream")
def step_may_reuse(context, may):
    may_reuse = context.stream.may_reuse(context.placement, context.connection)
    assert may_reuse == (may == "may")


@then("the stream is not bound")
def step_unbound(context):
    assert context.stream.origin is None, context.stream.origin
    assert not context.parts.noted, context.parts.noted


@then("the stream is bound to {software} by a later event")
def step_bound(context, software):
    version = ServiceVersion(SERVICE, software)
    assert context.stream.origin == version, context.stream.origin
    assert context.parts.noted[0] == version, context.parts.noted


@then(
    "a stream of {software} may not pass events on from a connection that was opened "
    "at {opened_s:g} s"
)
def step_not_passed_on(context, software, opened_s):
    job = _Job(ServiceVersion(SERVICE, software))
    stream = StreamWriters(_Parts(context.processes), job)
    arguments = _Placement(context.listed), _Connection(opened_s)
    assert not _ticking(context, lambda: stream.may_pass_on(*arguments))
