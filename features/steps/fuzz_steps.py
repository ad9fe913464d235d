"""Steps for fuzzing decoders, which must handle arbitrary bytes."""

import json
import socket

import gevent
import gevent.socket
from behave import then
from hypothesis import given as for_all
from hypothesis import settings as fuzz_settings
from hypothesis import strategies as st

from kumquatseam.gateway._events import EventSplitter
from kumquatseam.http1 import (
    BadRequestError,
    IdleConnectionError,
    Request,
    RequestLimits,
    RequestReader,
)
from kumquatseam.platform._entries import decode_upstream
from kumquatseam.platform._records import decode_route_table, decode_weights
from kumquatseam.platform._values import DecodingError
from kumquatseam.routes import RouteTable

FUZZ = fuzz_settings(derandomize=True, deadline=None, max_examples=300, database=None)


@then("any split of a stream gives the same whole events and the last id")
def step_split(context):
    stream = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 9))

    @FUZZ
    @for_all(st.lists(st.integers(0, len(stream)), max_size=12))
    def check(cuts):
        splitter = EventSplitter()
        edges = [0, *sorted(cuts), len(stream)]
        out = b""
        for start, end in zip(edges, edges[1:], strict=False):
            whole = splitter.feed(stream[start:end])
            assert whole == b"" or whole.endswith(b"\n\n")
            out += whole
        assert out + splitter.flush() == stream
        assert splitter.last_id == "8"

    check()


def _read_all(data: bytes) -> list[Request]:
    """Return the requests in ``data``; raises the reader's exceptions."""
    reader_side, caller_side = gevent.socket.socketpair()
    try:
        caller_side.sendall(data)
        caller_side.shutdown(socket.SHUT_WR)
        reader = RequestReader(reader_side, RequestLimits(2048, 4096, 0.2, 0.2))
        found = []
        while True:
            found.append(reader.read())
    except IdleConnectionError:
        return found
    finally:
        reader_side.close()
        caller_side.close()


@then("no bytes make the request reader fail in another way")
def step_fuzz_requests(context):
    pieces = st.sampled_from(
        [
            b"GET /a/ HTTP/1.1\r\n",
            b"POST /a/ HTTP/1.1\r\n",
            b"Host: a\r\n",
            b"Content-Length: 3\r\n",
            b"Content-Length: 9999\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Connection: upgrade\r\nUpgrade: h2c\r\n",
            b"X: " + b"y" * 3000 + b"\r\n",
            b"\r\n",
            b"abc",
            b"3\r\nabc\r\n0\r\n\r\n",
        ]
    )
    parts = st.lists(st.one_of(pieces, st.binary(max_size=20)), max_size=8)

    @FUZZ
    @for_all(parts)
    def check(found):
        data = b"".join(found)
        try:
            requests = _read_all(data)
        except BadRequestError:
            return
        assert sum(len(r.body) for r in requests) <= len(data)
        for request in requests:
            assert len(request.body) <= 4096

    check()
    assert [
        r.body for r in _read_all(b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi")
    ]


@then("no record makes the decoders fail in another way")
def step_fuzz_records(context):
    route = {"name": "r", "host": "h", "pathPrefix": "/", "kind": "stream"}
    good = {
        "version": 1,
        "routes": [{**route, "timeoutMs": 1, "service": "s"}],
        "services": [{"name": "s", "engine": {"slots": 1, "kvCapacityTokens": 1}}],
        "tenants": [{"name": "t", "apiKeys": ["k"]}],
        "limits": {},
    }
    assert isinstance(decode_route_table(json.dumps(good).encode()), RouteTable)
    names = st.sampled_from(
        ["version", "routes", "services", "tenants", "limits", "model", "address"]
    )
    leaves = st.one_of(st.none(), st.integers(), st.text(max_size=3), st.floats())
    values = st.recursive(
        leaves,
        lambda inner: st.one_of(
            st.lists(inner, max_size=3), st.dictionaries(names, inner, max_size=5)
        ),
        max_leaves=8,
    )
    records = st.one_of(
        st.binary(max_size=30),
        values.map(lambda v: json.dumps(v).encode()),
        st.dictionaries(names, values).map(
            lambda changed: json.dumps({**good, **changed}).encode()
        ),
    )

    @FUZZ
    @for_all(records)
    def check(record):
        for decode in (
            decode_route_table,
            decode_weights,
            lambda value: decode_upstream("u", value),
        ):
            try:
                decode(record)
            except DecodingError:
                continue

    check()
