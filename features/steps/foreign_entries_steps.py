"""Steps for invalid entries in the list of upstreams."""

import copy
import json

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as fuzz_settings
from hypothesis import strategies as st
from log_capture import captured_lines
from modelled_clock import Clock

from kumquatseam.logservice import ChangeContext
from kumquatseam.platform._entries import decode_upstream
from kumquatseam.platform._topics import UpstreamListener
from kumquatseam.platform._values import DecodingError
from kumquatseam.upstreams import UpstreamDirectory

CHANGE_CONTEXT = ChangeContext(is_initial=False, outage_age_s=None)
FUZZ = fuzz_settings(derandomize=True, deadline=None, max_examples=500, database=None)
VALID_ENTRY = {
    "service": "engines",
    "address": "10.1.0.1:8080",
    "zone": "z",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "sequence": 4,
    "coldLeftMs": 0,
    "born": 1_700_000_000_000,
    "models": [{"name": "m0", "version": 3, "adapters": []}],
}
#: field and value by fault; ``...`` removes the field.
FIELD_FAULTS = {
    "no service": ("service", ...),
    "a service of type int": ("service", 7),
    "no address": ("address", ...),
    "an address without a port": ("address", "10.1.0.1"),
    "an address that is a name": ("address", "store.example:80"),
    "a port beyond the last": ("address", "10.1.0.1:65536"),
    "no zone": ("zone", ...),
    "a zone of type list": ("zone", ["z"]),
    "no state": ("state", ...),
    "an unknown state": ("state", "resting"),
    "a state of type bool": ("state", True),
    "no slots": ("slots", ...),
    "negative slots": ("slots", -64),
    "slots of type text": ("slots", "64"),
    "slots of type bool": ("slots", True),
    "huge slots": ("slots", 10**12),
    "no sequence": ("sequence", ...),
    "a negative sequence": ("sequence", -1),
    "a sequence of type float": ("sequence", 1.5),
    "no cold time": ("coldLeftMs", ...),
    "a negative cold time": ("coldLeftMs", -5),
    "a cold time of type text": ("coldLeftMs", "0"),
    "a huge cold time": ("coldLeftMs", 1e300),
    "no software version": ("version", ...),
    "models of type dict": ("models", {"name": "m0"}),
    "a model without a version": ("models", [{"name": "m0"}]),
    "a start of type text": ("born", "1700000000000"),
    "a start of type float": ("born", 1.7e12),
    "another id inside": ("id", "somebody-else"),
}
RAW_FAULTS = {
    "bytes that are no text": b'{"service": "\xff\xfe"}',
    "half an object": b'{"service": "engines", ',
    "a list instead": b"[1, 2]",
}
KEYS = {
    "with a line end": "e1\r\nX-Tenant: other",
    "with a space": "e 1",
    "that is empty": "",
    "that is too long": "e" * 500,
}


def entry(**changes) -> bytes:
    fields = {**copy.deepcopy(VALID_ENTRY), **changes}
    kept = {name: value for name, value in fields.items() if value is not ...}
    return json.dumps(kept).encode()


def faulty_entry(fault) -> bytes:
    if fault in RAW_FAULTS:
        return RAW_FAULTS[fault]
    name, value = FIELD_FAULTS[fault]
    return entry(**{name: value})


def _build(context):
    context.clock = Clock()
    context.directory = UpstreamDirectory(context.clock)
    context.listener = UpstreamListener(context.directory)


def _apply(context, key, value):
    with captured_lines() as lines:
        context.listener.apply(key, value, CHANGE_CONTEXT)
    context.lines = [*getattr(context, "lines", []), *lines]


def _usable_ids(context):
    return [
        status.upstream.upstream_id
        for status in context.directory.of_service("engines")
        if not status.upstream.is_leaving
    ]


def _ignored_lines(context):
    return [r for r in context.lines if r["message"] == "Entry ignored."]


@given("a valid upstream entry and an entry with {fault}")
def step_beside(context, fault):
    _build(context)
    _apply(context, "e0", entry())
    _apply(context, "e1", faulty_entry(fault))
    context.fault = fault


@given("a valid upstream entry and another one under the key {key}")
def step_beside_key(context, key):
    _build(context)
    _apply(context, "e0", entry())
    _apply(context, KEYS[key], entry())


@then("only the valid entry gets requests")
def step_only_valid(context):
    assert _usable_ids(context) == ["e0"], _usable_ids(context)


@then('one log line states the key and the field "{field}"')
def step_one_line(context, field):
    (line,) = _ignored_lines(context)
    assert line["extra"]["upstream"] == "e1", line["extra"]
    assert field in line["extra"]["error"], line["extra"]["error"]


@when("that entry is rewritten {count:d} times")
def step_rewritten(context, count):
    for _ in range(count):
        _apply(context, "e1", faulty_entry(context.fault))


@when("that entry becomes valid")
def step_becomes_valid(context):
    _apply(context, "e1", entry())


@then("both upstreams get requests")
def step_both(context):
    assert _usable_ids(context) == ["e0", "e1"], _usable_ids(context)


@given("a known upstream whose entry becomes unreadable")
def step_known_unreadable(context):
    _build(context)
    _apply(context, "e0", entry())
    context.status = context.directory.of_service("engines")[0]
    context.status.failures_in_row = 2
    _apply(context, "e0", faulty_entry("no slots"))


@then("it gets no requests, and its recorded state is kept")
def step_unused_kept(context):
    assert _usable_ids(context) == []
    assert context.directory.of_service("engines") == [context.status]
    assert context.status.failures_in_row == 2


@when("its next heartbeat writes a valid entry")
def step_next_heartbeat(context):
    context.clock.now_s += 1.2
    context.directory.sweep()
    _apply(context, "e0", entry(sequence=5))
    context.clock.now_s += 10
    context.directory.sweep()


@then("it gets requests, and its recorded state is kept")
def step_used_kept(context):
    assert _usable_ids(context) == ["e0"]
    assert context.directory.of_service("engines") == [context.status]


@when("{seconds:d} seconds pass without a valid entry")
def step_no_valid(context, seconds):
    for _ in range(seconds):
        context.clock.now_s += 1
        _apply(context, "e0", faulty_entry("no slots"))
        context.directory.sweep()


@then("it is removed from the directory")
def step_removed(context):
    assert context.directory.of_service("engines") == []


@given("{count:d} invalid entries and {valid:d} valid ones")
def step_invalid_entries(context, count, valid):
    _build(context)
    context.lines = []
    faults = [*FIELD_FAULTS, *RAW_FAULTS]
    with captured_lines() as context.lines:
        for _ in range(2):
            for number in range(count):
                value = faulty_entry(faults[number % len(faults)])
                context.listener.apply(f"r{number}", value, CHANGE_CONTEXT)
        for number in range(valid):
            context.listener.apply(f"e{number}", entry(), CHANGE_CONTEXT)


@then("the {count:d} valid ones get requests")
def step_valid_used(context, count):
    assert _usable_ids(context) == [f"e{n}" for n in range(count)]


@then("at most {count:d} log lines were written")
def step_few_lines(context, count):
    assert len(context.lines) <= count, len(context.lines)


@then("no mutated entry with an invalid type or range is accepted")
def step_fuzz_entries(context):
    values = st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.floats(),
        st.text(max_size=4),
        st.lists(st.integers(), max_size=2),
        st.dictionaries(st.sampled_from(["name", "version"]), st.integers()),
    )
    changes = st.dictionaries(st.sampled_from(sorted(VALID_ENTRY)), values, max_size=4)

    @FUZZ
    @for_all(changes, st.lists(st.sampled_from(sorted(VALID_ENTRY)), max_size=2))
    def check(changed, dropped):
        fields = {**VALID_ENTRY, **changed}
        for name in dropped:
            fields.pop(name, None)
        try:
            upstream = decode_upstream("e0", json.dumps(fields).encode())
        except DecodingError:
            return
        assert isinstance(upstream.service, str) and upstream.service
        assert type(upstream.slots) is int and 1 <= upstream.slots < 10**6
        assert 0 <= upstream.cold_left_s < 10**4
        assert type(upstream.born_ms) is int and upstream.born_ms >= 0
        assert fields["state"] in ("ready", "draining")

    check()
