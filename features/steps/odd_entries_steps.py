"""Steps for odd entries in lists and messages from outside."""

import collections
import contextlib
import json
import re

import attrs
import gevent
import msgpack
import pynng
import urllib3
from behave import given, then, when
from foreign_entries_steps import VALID_ENTRY
from hypothesis import given as for_all
from hypothesis import settings as fuzz_settings
from hypothesis import strategies as st
from log_capture import captured_lines
from modelled_clock import Clock
from platform_world import wait_until

from kumquatseam.bench import free_port
from kumquatseam.callers._calls import read_call
from kumquatseam.codec import MessageCodec
from kumquatseam.errors import CodecError
from kumquatseam.feeds import FeedPeers, ReadPace, TopicFollower, TopicUpdate
from kumquatseam.fleet._follower import ConfigurationState, apply_records
from kumquatseam.fleet._records import RECORD_CODEC as ENTITY_CODEC
from kumquatseam.fleet._records import EntityRecord, FieldValue
from kumquatseam.gateway import MalformedCallError
from kumquatseam.http1 import (
    ConnectFailedError,
    Headers,
    Request,
    ResponseHead,
    open_socket,
)
from kumquatseam.instances import HttpInstanceList, InstanceListError
from kumquatseam.logservice import (
    ChangeContext,
    HttpLogService,
    KeyedBatch,
    KeyedChange,
    KeyedListener,
    LogRecord,
    LogServiceError,
    frame_keyed,
)
from kumquatseam.loops import StepLoop
from kumquatseam.nng import receive_within
from kumquatseam.peers import DatagramSocket, InstanceRecord, InstanceRegistry, PeerBus
from kumquatseam.peers._messages import MESSAGE_KINDS, LoadSummary, PresenceHeartbeat
from kumquatseam.platform._cache_events import _decode_page
from kumquatseam.platform._headers import PlatformDialect
from kumquatseam.platform._topics import OperatorListener, UpstreamListener
from kumquatseam.platform._values import DecodingError, decode_json
from kumquatseam.pools import PooledResponse
from kumquatseam.prompts import HolderUpdate
from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._messages import RECORD_CODEC, Crashes, CrashRecord
from kumquatseam.request_errors import CallerError
from kumquatseam.request_reply import ReplyServer, request_once
from kumquatseam.routes import LiveRouteTable
from kumquatseam.settings import Configuration, PrioritySettings, TeamSettings
from kumquatseam.standins.logservice import (
    InMemoryLogService,
    LogFaults,
    LogStore,
    LogStoreLimits,
)
from kumquatseam.upstreams import UpstreamDirectory, WeightsTargets

FUZZ = fuzz_settings(derandomize=True, deadline=None, max_examples=300, database=None)


@attrs.frozen
class Question:
    """A request that names its own reply.

    :param number: the number to reply with; negative ones fail.
    :param text: the text to reply with.
    """

    number: int
    text: str = ""


CODEC = MessageCodec("question", {"question": Question}, is_compact=True)


def nested(levels):
    """Return msgpack's bytes of lists in lists."""
    return b"\x91" * levels + b"\xc0"


ODD_REQUESTS = {
    "is nested 1010 levels deep": (
        b"\x92" + msgpack.packb("question") + b"\x92\x01" + nested(1010)
    ),
    "contains an infinite number": msgpack.packb(["question", [float("inf"), ""]]),
    "needs a reply with a number of 70 bits": CODEC.encode(Question(70)),
    "needs a reply with half a character": CODEC.encode(Question(1, "half")),
    "its handler fails at": CODEC.encode(Question(-1)),
}


def reply_to(question):
    """Return the reply that a question names."""
    if question.number < 0:
        raise LookupError("no reply")
    if question.number == 70:
        return Question(2**70)
    return Question(1, "\ud800") if question.text == "half" else question


@given("a process that replies to requests of other instances")
def step_replying(context):
    context.address = f"tcp://127.0.0.1:{free_port()}"
    context.server = ReplyServer(context.address, CODEC, reply_to)
    context.server.start()
    context.add_cleanup(context.server.close)


@when("a request arrives that {is_odd}")
def step_odd_request(context, is_odd):
    with pynng.Req0() as client:
        client.dial(context.address, block=True)
        client.send(ODD_REQUESTS[is_odd], block=False)
        assert receive_within(client, 0.3) is None


@then("it still replies to valid requests")
def step_still_replies(context):
    with gevent.Timeout(5):
        reply = request_once(context.address, CODEC, Question(7, "x"), 2.0)
    assert reply == Question(7, "x"), reply


@then("no bytes that are derived from a valid message raise anything else")
def step_fuzz_codec(context):
    update = TopicUpdate(
        "a", "keyed.x", KeyedBatch(1, 2, (KeyedChange(1, "k", b"v"),)), ("o",), 0.5
    )
    record = InstanceRecord("a", "10.0.0.1:80", "10.0.0.1:81", 1.0, "10.0.0.1:82", "z")
    kinds = {"topic": TopicUpdate, "instance": InstanceRecord, "q": Question}
    codecs = [MessageCodec("odd", kinds, is_compact) for is_compact in (False, True)]
    valid = [
        msgpack.unpackb(codec.encode(message), strict_map_key=False)
        for codec in codecs
        for message in (update, record, Question(1))
    ]
    depths = st.sampled_from([2, 300, 500, 700, 900, 1000, 1010])
    odd = st.one_of(
        st.sampled_from([float("inf"), float("nan"), 1e300, 2**64 - 1, "9" * 5000]),
        st.sampled_from([None, True, b"\xff", "", "x", [], {}, [[]], {"a": {}}]),
        st.integers(-(2**63), 2**63),
    )

    def check_decodes(codec, data):
        try:
            codec.decode(data)
        except CodecError as error:
            assert len(str(error)) < 1000, len(str(error))

    @FUZZ
    @for_all(st.sampled_from(valid), st.randoms(use_true_random=False), odd, depths)
    def check(document, random, value, levels):
        for codec in codecs:
            data = msgpack.packb(_replaced(document, random, value))
            check_decodes(codec, data)
            marker = msgpack.packb("@deep@")
            data = msgpack.packb(_replaced(document, random, "@deep@"))
            check_decodes(codec, data.replace(marker, nested(levels)))

    check()


def _replaced(document, random, value):
    """Return ``document`` with a random value in it replaced."""
    if not isinstance(document, list | dict) or not document or random.random() < 0.2:
        return value
    copy = document.copy()
    key = random.choice(range(len(copy)) if isinstance(copy, list) else sorted(copy))
    copy[key] = _replaced(copy[key], random, value)
    return copy


VALID_CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "pathPrefix": "/",
            "kind": "stream",
            "resumable": True,
            "timeoutMs": 5000,
            "priority": 1,
            "maxAttempts": 2,
            "trafficSplit": [{"service": "engines", "weight": 1}],
        }
    ],
    "services": [
        {
            "name": "engines",
            "engine": {"slots": 4, "kvCapacityTokens": 9, "models": [{"name": "m0"}]},
        },
        {
            "name": "store",
            "kvStoreAddr": "10.0.0.9:80",
            "zone": "z",
            "kvCapacityTokens": 100,
            "linkMbps": 10,
        },
    ],
    "tenants": [
        {"name": "t", "apiKeys": ["k"], "priority": 2, "ratePerS": 5, "burst": 1}
    ],
    "limits": {"maxHeaderBytes": 1000, "idleTimeoutMs": 500},
}
VALID_WEIGHTS = {"model": "m0", "version": 1}
NO_PEERS = FeedPeers("a", lambda: (), lambda: 0, lambda update: None, lambda at: None)
PACE = ReadPace(wait_s=0.0, pause_s=0.05, stale_after_s=1.0)


def json_bytes(document):
    return json.dumps(document).encode()


class Operators:
    """The topic of operators; each record that counts raises the version."""

    def __init__(self):
        self.live = LiveRouteTable()
        self.listener = OperatorListener(self.live, WeightsTargets())
        self.odd_keys = {"config": VALID_CONFIGURATION, "version/x": VALID_WEIGHTS}
        self.encode = json_bytes

    def valid(self, number):
        at_least = self.live.current.version if self.live.current else 0
        # What the odd record named may be the newest version.
        self.version = at_least + number
        document = {**VALID_CONFIGURATION, "version": self.version}
        return "config", json_bytes(document)

    def check_applied(self):
        assert self.live.current.version == self.version, self.live.current.version
        self.live.current.match("h", "/x")


class Replicas:
    """The topic of replicas."""

    def __init__(self):
        self.directory = UpstreamDirectory(Clock())
        self.listener = UpstreamListener(self.directory)
        self.odd_keys = {"odd": VALID_ENTRY}
        self.encode = json_bytes

    def valid(self, number):
        self.slots = 1 + number
        return "e0", json_bytes({**VALID_ENTRY, "slots": self.slots})

    def check_applied(self):
        statuses = {s.upstream.upstream_id: s for s in self.directory.all()}
        assert statuses["e0"].upstream.slots == self.slots, statuses
        # Sent to other instances.
        for status in statuses.values():
            msgpack.packb(attrs.astuple(status.upstream))


class Suspects:
    """The topic of suspects, in msgpack."""

    def __init__(self):
        self.listener = SuspectList(Clock())
        record = CrashRecord(Crashes(("a",)))
        self.document = msgpack.unpackb(RECORD_CODEC.encode(record))
        self.odd_keys = {"odd": self.document}
        self.encode = lambda document: msgpack.packb(document)

    def valid(self, number):
        self.key = f"f{number}"
        return self.key, msgpack.packb(self.document)

    def check_applied(self):
        assert self.key in self.listener


WORLDS = {"operators": Operators, "replicas": Replicas, "suspects": Suspects}


@given("a follower of the topic of {kind}")
def step_follower(context, kind):
    context.kind, context.world = kind, WORLDS[kind]()
    _follow(context, context.world.listener)
    return context.world


def _follow(context, listener):
    context.log_service = InMemoryLogService(LogStore(LogStoreLimits()), LogFaults())
    context.follower = TopicFollower(
        context.log_service, "keyed.x", listener, PACE, NO_PEERS
    )
    context.follower.read()


def _write(context, key, value):
    context.log_service.append_keyed("keyed.x", key, value)


@then("after each odd record that is derived from a valid one, a valid one is applied")
def step_odd_records(context):
    world = context.world
    values = st.one_of(
        st.sampled_from([float("inf"), float("nan"), 1e300, 2**64 - 1, "9" * 5000]),
        st.sampled_from([None, True, "", "x", [], {}, [[]], {"a": {}}, -1, 0]),
        st.sampled_from(["\ud800", "a:99999", "x" * 9000, "ő", "@deep@", "@huge@"]),
    )
    levels = st.sampled_from([2, 300, 500, 700, 900, 960, 1010, 100_000])
    world_values = values.filter(lambda value: value != "\ud800")
    if world.encode is json_bytes:
        world_values = values

    @FUZZ
    @for_all(
        st.sampled_from(sorted(world.odd_keys)),
        st.randoms(use_true_random=False),
        world_values,
        levels,
    )
    def check(key, random, value, depth):
        world = step_follower(context, context.kind)
        odd = world.encode(_replaced(world.odd_keys[key], random, value))
        odd = odd.replace(b'"@deep@"', b"[" * depth + b"]" * depth)
        odd = odd.replace(b'"@huge@"', b"9" * depth)
        odd = odd.replace(msgpack.packb("@deep@"), nested(depth))
        _write(context, key, odd)
        context.follower.read()
        _write(context, *world.valid(1))
        context.follower.read()
        world.check_applied()

    with captured_lines() as context.lines:
        check()


@then("every odd record is used or refused with the decoder's own error")
def step_own_error(context):
    failed = [line["exception"].value for line in context.lines if line["exception"]]
    assert not failed, (len(failed), failed[:3])


@when('weights are named for the model ["m0"], and then a configuration is written')
def step_listed_weights(context):
    _write(context, "version/m0", json_bytes({"model": ["m0"], "version": 1}))
    _write(context, *context.world.valid(1))
    context.follower.start()
    context.add_cleanup(context.follower.close)
    gevent.sleep(1.2)


@then("the configuration is in force")
def step_in_force(context):
    assert context.world.live.current is not None
    context.world.check_applied()


class Fails(KeyedListener):
    """Records the keys, and fails at one."""

    def __init__(self, key):
        self.key = key
        self.applied = []

    def apply(self, key, value, change_context):
        if key == self.key:
            raise LookupError(key)
        self.applied.append(key)
        return True


@given('a follower whose listener fails at the record "{key}"')
def step_failing_listener(context, key):
    context.listener = Fails(key)
    _follow(context, context.listener)


@when('the records "{first}", "{second}" and "{third}" are written')
def step_three_records(context, first, second, third):
    for key in (first, second, third):
        _write(context, key, b"v")
    with captured_lines() as context.lines:
        context.follower.start()
        context.add_cleanup(context.follower.close)
        gevent.sleep(1.2)


@then('"{first}" and "{last}" are applied, and "{key}" is logged once')
def step_skipped(context, first, last, key):
    assert context.listener.applied == [first, last], context.listener.applied
    failed = [line for line in context.lines if line["exception"]]
    assert [line["extra"].get("key") for line in failed] == [key], failed


ODD_INSTANCES = {
    "a port out of range": {"address": "127.0.0.1:99999"},
    "a port of 20 digits": {"address": "127.0.0.1:" + "9" * 20},
    "no port": {"address": "127.0.0.1"},
    "an empty address": {"address": ""},
    "a space in its address": {"address": "a b:80"},
    "an address that is nested": {"address": [["127.0.0.1:80"]]},
    "a relay's port out of range": {"relay_address": "127.0.0.1:99999"},
    "a state port out of range": {"state_address": "127.0.0.1:" + "9" * 20},
    "the name of another one": {"name": "b", "address": "127.0.0.1:1"},
}


@given("an instance that knows another one by the list of instances")
def step_instances(context):
    records = [InstanceRecord(name, f"127.0.0.1:{free_port()}") for name in "ab"]
    context.buses = [PeerBus(record, MESSAGE_KINDS) for record in records]
    context.datagrams = DatagramSocket(f"127.0.0.1:{free_port()}", MESSAGE_KINDS)
    for part in (*context.buses, context.datagrams):
        part.start()
        context.add_cleanup(part.close)
    log_service = InMemoryLogService(LogStore(LogStoreLimits()), LogFaults())
    context.registry = InstanceRegistry(log_service, context.buses[0], records[0])
    _list_instance(context, "b", attrs.asdict(records[1]))


def _list_instance(context, key, fields):
    value = msgpack.packb(["instance", fields])
    context.registry.apply(key, value, ChangeContext())


@when("an instance is listed with {an_odd_address}")
def step_odd_instance(context, an_odd_address):
    fields = {"name": "", "address": "127.0.0.1:1", **ODD_INSTANCES[an_odd_address]}
    with captured_lines() as context.lines:
        # One of them comes before the other instance in any order.
        for number in range(4):
            key = f"{'ac'[number % 2]}{number}"
            _list_instance(context, key, {**fields, "name": fields["name"] or key})
        for _ in range(20):
            StepLoop._run_step(context.buses[0].step)
            context.buses[1].publish(PresenceHeartbeat("b"))
            gevent.sleep(0.05)


@then("it still hears from the other one, and can send to all that it knows")
def step_hears(context):
    assert [record.name for record in context.buses[0].live_peers()] == ["b"]
    for record in context.buses[0].records:
        context.datagrams.send(record.address, PresenceHeartbeat("a"))
        for address in filter(None, (record.relay_address, record.state_address)):
            with contextlib.suppress(ConnectFailedError):
                open_socket(address, 0.2).close()


@then("at most one log line is written about each odd entry")
def step_few_lines_odd(context):
    odd = [line for line in context.lines if line["level"].no >= 30]
    assert len(odd) <= 4, [line["message"] for line in odd]
    assert not any(line["exception"] for line in odd)


@when("a connection to a port of 20 digits is opened")
def step_open_odd(context):
    try:
        open_socket("127.0.0.1:" + "9" * 20, 0.2)
    except Exception as error:
        context.error = error


@then("it fails with the error of connections that cannot be opened")
def step_open_failed(context):
    assert isinstance(context.error, ConnectFailedError), repr(context.error)


def _odd_text(value):
    return re.sub(r"\[(\d+) digits\]", lambda found: "9" * int(found[1]), value)


@when("a refusal is read whose header {header} is {value}")
def step_odd_response(context, header, value):
    fields = [(b"X-Request-Id", b"r"), (b"Date", b"Mon, 01 Jan 2024 00:00:00 GMT")]
    odd = (header.encode(), _odd_text(value).encode())
    context.traits = [
        PlatformDialect().read_response(ResponseHead(503, Headers(found), 0, False))
        for found in ([*fields, odd], fields)
    ]


@then("it is read as one without this header")
def step_read_without(context):
    odd, plain = context.traits
    if odd.limit_per_s is None:
        plain = attrs.evolve(plain, limit_per_s=None)
    assert odd == plain, odd


@when("a call is read whose header {header} is {value}")
def step_odd_call(context, header, value):
    fields = [
        (b"X-Request-Id", b"r"),
        (header.encode(), _odd_text(value).encode("latin-1")),
    ]
    request = Request(b"POST", b"/", Headers(fields), b"", True, 0.0)
    try:
        context.error = PlatformDialect().read_call(request)
    except Exception as error:
        context.error = error


@then("it is refused as malformed")
def step_malformed(context):
    assert isinstance(context.error, MalformedCallError), repr(context.error)[:200]


@then("every odd report is refused with the decoder's own error, or can be sent on")
def step_odd_reports(context):
    codec = MessageCodec("peer message", MESSAGE_KINDS, is_compact=True)
    row = [1, "+", "salt", "part", 5, "m0"]
    page = {"epoch": 1, "nextToken": 2, "events": [row], "lost": False, "born": 1}
    values = st.sampled_from(
        [float("inf"), 1e300, 2**70, -(2**70), "9" * 5000, "9" * 400, "\ud800"]
        + [None, -5, "", [], {}, "@deep@"]
    )
    outcomes = collections.Counter()

    @FUZZ
    @for_all(
        st.randoms(use_true_random=False), values, st.sampled_from([10, 900, 9999])
    )
    def check(random, value, depth):
        odd = json_bytes(_replaced(page, random, value))
        odd = odd.replace(b'"@deep@"', b"[" * depth + b"]" * depth)
        try:
            read = decode_json("page", odd, _decode_page)
        except DecodingError:
            outcomes["refused"] += 1
            return
        assert all(part.tokens >= 0 for part in read.parts), read.parts
        update = HolderUpdate("e0", read.epoch, read.next_number, read.parts)
        codec.encode(LoadSummary("a", (), (), (update,)))
        outcomes["sent"] += 1

    check()
    assert min(outcomes["refused"], outcomes["sent"]) > 0, outcomes


def _newest(items, end=1):
    return {"items": items, "end": end, "hasMore": False}


ODD_REPLIES = {
    "lists in 100,000 levels": (b"[" * 100_000,) * 2,
    "a number of 5,000 digits": (b"9" * 5000,) * 2,
    "an infinite number": (
        json_bytes(_newest([], float("inf"))),
        json_bytes({"instances": float("inf")}),
    ),
    "records that are no list": (
        json_bytes(_newest(5)),
        json_bytes({"instances": 5}),
    ),
    "a value that is no base64": (
        json_bytes(_newest([{"key": "k", "value": "x", "offset": 1}])),
        b"{}",
    ),
    "pages that do not advance": (
        json_bytes({"items": [], "end": 1, "hasMore": True}),
        b"{}",
    ),
    "another type of document": (b'"x"', b"[]"),
}

ODD_NAMES = {
    "a name that is a list": ["k"],
    "half a character": "\ud800",
    "no name": None,
}


class OneReply:
    """Replies to every request with one body."""

    def __init__(self, body):
        self.body = body

    def request(self, *_, **__):
        return PooledResponse(200, urllib3.HTTPHeaderDict(), self.body)


@when("the log service and the list of instances reply with {odd}")
def step_odd_reply(context, odd):
    log_service, instances = HttpLogService("http://x"), HttpInstanceList("http://x")
    log_service._pools, instances._pools = map(OneReply, ODD_REPLIES[odd])
    context.errors = []
    for call in (lambda: log_service.newest("keyed.x"), instances.read):
        try:
            context.errors.append(call())
        except Exception as error:
            context.errors.append(error)


@when("the log service and the list of instances contain an entry with {odd}")
def step_odd_name(context, odd):
    name = ODD_NAMES[odd]
    found = [{"key": key, "value": "eA==", "offset": 1} for key in ("a", name, "b")]
    listed = [
        dict.fromkeys(("name", "kind", "address", "zone"), n) for n in ("a", name)
    ]
    replies = json_bytes(_newest(found)), json_bytes({"instances": listed})
    log_service, instances = HttpLogService("http://x"), HttpInstanceList("http://x")
    log_service._pools, instances._pools = map(OneReply, replies)
    context.keys = [record.key for record in log_service.newest("keyed.x").records]
    context.names = [instance.name for instance in instances.read()]


@then("the other entries are read")
def step_others_read(context):
    assert (context.keys, context.names) == (["a", "b"], ["a"]), context.keys


@then("each call raises the error of its own that its callers handle")
def step_own_errors(context):
    log_error, list_error = context.errors
    assert isinstance(log_error, LogServiceError), repr(log_error)[:300]
    assert isinstance(list_error, InstanceListError), repr(list_error)[:300]
    assert len(str(log_error)) < 1000 and len(str(list_error)) < 1000


@given("a daemon that follows its configuration")
def step_daemon(context):
    context.state = ConfigurationState(Configuration(), 0)


def _priority_record(name):
    record = EntityRecord("c", "o", 0, 1, False, (FieldValue("rank", "3"),))
    return frame_keyed(f"priority:{name}", ENTITY_CODEC.encode(record))


@when("a record with a key that is no text and then a valid one are written")
def step_no_text_key(context):
    odd = b"\x01\xff" + _priority_record("x")[11:]
    payloads = (_priority_record("a"), odd, _priority_record("b"))
    records = [LogRecord(offset, payload) for offset, payload in enumerate(payloads)]
    context.state = apply_records(context.state, records)


@then("the valid one is in force")
def step_valid_in_force(context):
    names = [priority.name for priority in context.state.configuration.priorities]
    assert names == ["a", "b"], names


ODD_COMPLETIONS = {
    "lists in 100,000 levels": b"[" * 100_000,
    "a number of messages": json_bytes({"model": "m", "messages": 5}),
    "a list of stream options": json_bytes(
        {"model": "m", "messages": [{"content": "x"}], "stream_options": [5]}
    ),
    "half a character in its prompt": json_bytes({"model": "m", "prompt": "\ud800"}),
    "half a character in its message": json_bytes(
        {"model": "m", "messages": [{"content": "\ud800"}]}
    ),
}


@when("a caller of the daemon sends a completion request with {odd}")
def step_odd_completion(context, odd):
    team = TeamSettings("t", ("k",), ("p",), ("m",), ("e0",))
    configuration = Configuration(priorities=(PrioritySettings("p", 1),), teams=(team,))
    headers = {"Authorization": "Bearer k"}
    is_chat = odd != "half a character in its prompt"
    try:
        context.error = read_call(configuration, headers, ODD_COMPLETIONS[odd], is_chat)
    except Exception as error:
        context.error = error


@then("it is refused with status {status:d}")
def step_refused_completion(context, status):
    assert isinstance(context.error, CallerError), repr(context.error)[:200]
    assert context.error.status == status


@when("odd entries are written to all of its lists, and a replica is listed after them")
def step_odd_everywhere(context):
    store = context.platform.store
    nests = [b"[" * depth + b"]" * depth for depth in (500, 900, 990, 100_000)]
    texts = [b'"\\ud800"', b"9" * 5000, b"1e400", b"NaN", b'"10.0.0.1:99999"', b"{}"]
    for number, odd in enumerate(nests + texts):
        for field in ("service", "address", "slots", "models", "extra"):
            marked = json_bytes({**VALID_ENTRY, "service": "plain", field: "@odd@"})
            key = f"odd-{number}-{field}"
            value = marked.replace(b'"@odd@"', odd)
            if field != "extra":
                store.append_keyed("keyed.servers", key, value)
        weights = b'{"model": %s, "version": 1}' % odd
        store.append_keyed("keyed.op", f"version/odd{number}", weights)
        store.append_keyed("keyed.op", "config", odd)
    fields = {"name": "g", "address": "127.0.0.1:99999"}
    for value in (b"\xff", nested(1010), msgpack.packb(["instance", fields])):
        store.append_keyed("keyed.kumquatseam.instances", "g", value)
    context.platform.add_replica("plain", "late")
    context.platform.put_configuration()


@then("the new replica gets requests, all are served, and the gateway did not end")
def step_served_past_odd(context):
    world = context.platform
    (gateway,) = world.gateways

    def is_late_used():
        status = world.send().status
        assert status == 200, status
        return sum(seen.ran for seen in world.replicas["late"].seen) > 0

    wait_until("the new replica is used", is_late_used)
    assert gateway.process.poll() is None
    failed = [line for line in gateway.lines() if "exception" in line]
    assert not failed, (len(failed), failed[0]["event"], failed[0]["exception"])
