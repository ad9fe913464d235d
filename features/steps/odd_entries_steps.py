"""Steps for odd entries in lists and messages from outside."""

import attrs
import gevent
import msgpack
import pynng
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as fuzz_settings
from hypothesis import strategies as st

from kumquatseam.bench import free_port
from kumquatseam.codec import MessageCodec
from kumquatseam.errors import CodecError
from kumquatseam.feeds import TopicUpdate
from kumquatseam.logservice import KeyedBatch, KeyedChange
from kumquatseam.nng import receive_within
from kumquatseam.peers import InstanceRecord
from kumquatseam.request_reply import ReplyServer, request_once

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
