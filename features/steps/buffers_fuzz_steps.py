"""Steps that let a reader of requests receive anything, in any pieces."""

import attrs
from behave import then
from hypothesis import given as for_all
from hypothesis import settings as fuzz_settings
from hypothesis import strategies as st

from kumquatseam.buffers import BufferBudget
from kumquatseam.http1 import (
    BadRequestError,
    IdleConnectionError,
    RequestLimits,
    RequestReader,
)

FUZZ = fuzz_settings(derandomize=True, deadline=None, max_examples=2000, database=None)
LIMITS = RequestLimits(max_header_bytes=2048, max_body_bytes=4096)
#: what requests that are being parsed take, however little was received of them.
LEAST_BYTES = 9 * 16_384 + LIMITS.max_body_bytes
#: the same for each byte received: fields of a few bytes are objects.
PER_BYTE = 64

#: what is put between the parts of requests, or in place of one.
NOISE = st.one_of(
    st.sampled_from(
        [
            b"",
            b"\r\n",
            b"\n",
            b"a:b\r\n" * 40,
            b"X-Note: ",
            b"X-Note: " + b"a" * 1500 + b"\r\n",
            b"Content-Length: 10\r\n",
            b"Content-Length: -1\r\n",
            b"Transfer-Encoding: gzip\r\n",
            b"4;" + b"e" * 300,
            b"0\r\n",
            b"ffffffffffffffff\r\n",
            b"x" * 4096,
        ]
    ),
    st.binary(max_size=40),
)
FIELDS = st.lists(
    st.sampled_from(
        [b"Connection: close\r\n", b"Expect: 100-continue\r\n", b"a:b\r\n" * 30]
    ),
    max_size=2,
)


def _with_length(fields: list[bytes], size: int) -> list[bytes]:
    line = b"Content-Length: %d\r\n" % size
    return [
        b"POST /x HTTP/1.1\r\n",
        b"Host: h\r\n",
        *fields,
        line,
        b"\r\n",
        b"x" * size,
    ]


def _in_chunks(fields: list[bytes], sizes: list[int], trailers: int) -> list[bytes]:
    chunks = [b"%x\r\n%b\r\n" % (size, b"x" * size) for size in sizes]
    head = [b"POST /x HTTP/1.1\r\n", b"Host: h\r\n", *fields]
    coding = b"Transfer-Encoding: chunked\r\n"
    last = [b"0\r\n", *[b"X-Note: abc\r\n"] * trailers, b"\r\n"]
    return [*head, coding, b"\r\n", *chunks, *last]


REQUESTS = st.one_of(
    st.builds(_with_length, FIELDS, st.sampled_from([0, 1, 10, 4096, 4097])),
    st.builds(
        _in_chunks,
        FIELDS,
        st.lists(st.sampled_from([1, 4, 2000, 5000]), max_size=4),
        st.integers(0, 9),
    ),
)
#: where noise goes, what it is, and whether it takes the place of a part.
CHANGES = st.lists(st.tuples(st.integers(0, 99), NOISE, st.booleans()), max_size=1)


def _join(requests: list[list[bytes]], changes) -> bytes:
    parts = [part for request in requests for part in request]
    for at, noise, takes_place in changes:
        at %= len(parts) + 1
        parts[at : at + takes_place] = [noise]
    return b"".join(parts)


RECEIVED = st.builds(_join, st.lists(REQUESTS, max_size=10), CHANGES)


@attrs.define
class ReceivedBytes:
    """A connection on which bytes arrive in pieces.

    :param pieces: the pieces.
    :param budget: what the reader may hold; checked before each piece.
    """

    pieces: list[bytes]
    budget: BufferBudget
    received_bytes: int = 0

    def recv(self, size: int) -> bytes:
        """Return the next piece, or the rest of one; nothing at the end."""
        self.check()
        if not self.pieces:
            return b""
        piece = self.pieces.pop(0)
        if len(piece) > size:
            self.pieces.insert(0, piece[size:])
        self.received_bytes += len(piece[:size])
        return piece[:size]

    def send(self, data: bytes) -> int:
        """Take an interim response."""
        return len(data)

    @property
    def _sock(self) -> "ReceivedBytes":
        return self

    def check(self) -> None:
        """Check what the reader holds."""
        most_bytes = LEAST_BYTES + PER_BYTE * self.received_bytes
        assert self.budget.used_bytes <= most_bytes, (
            self.budget.used_bytes,
            self.received_bytes,
        )


def _cut(data: bytes, cuts: list[int]) -> list[bytes]:
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    pieces = [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    return [piece for piece in pieces if piece]


@then("whatever is received gives requests or errors, and nothing is held afterwards")
def step_fuzz(context):
    @FUZZ
    @for_all(RECEIVED, st.lists(st.integers(0, 20_000), max_size=12))
    def check(received, cuts):
        budget = BufferBudget()
        connection = ReceivedBytes(_cut(received, cuts), budget)
        account = budget.open_account()
        reader = RequestReader(connection, LIMITS, account)
        try:
            while True:
                request = reader.read()
                assert len(request.body) <= LIMITS.max_body_bytes, len(request.body)
                connection.check()
        except (BadRequestError, IdleConnectionError):
            # The only ways to end.
            pass
        reader.close()
        assert account.held_bytes == 0, account.held_bytes

    check()
