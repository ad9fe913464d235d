"""Messages engines publish about their cache and load, and their codec.

Engines publish on an nng pub socket; each message is a msgpack map with a
``kind`` field. Messages arrive late and some never arrive: ``sequence``
numbers let a subscriber see the gaps.
"""

import attrs
import msgpack

from kumquatseam.errors import CodecError


@attrs.frozen
class CacheEventBatch:
    """Blocks an engine stored and removed since its previous batch.

    :param engine: the engine's name.
    :param epoch: the engine's life; a new epoch means an empty cache.
    :param sequence: batch number within the epoch, from 1, without gaps as
        sent; a gap as received means lost events.
    :param stored_keys: block keys newly cached.
    :param removed_keys: block keys evicted.
    """

    engine: str
    epoch: str
    sequence: int
    stored_keys: tuple[int, ...]
    removed_keys: tuple[int, ...]


@attrs.frozen
class LoadReport:
    """An engine's load as it stood ``lag`` ago.

    :param engine: the engine's name.
    :param epoch: the engine's life.
    :param running_requests: requests being decoded.
    :param waiting_requests: requests queued for a slot.
    :param cache_usage_ratio: used share of the KV cache, 0 to 1.
    """

    engine: str
    epoch: str
    running_requests: int
    waiting_requests: int
    cache_usage_ratio: float


_KINDS = {"cache": CacheEventBatch, "load": LoadReport}
_NAMES = {cls: name for name, cls in _KINDS.items()}


def encode_message(message: CacheEventBatch | LoadReport) -> bytes:
    """Encode a message for the wire.

    :param message: the record to send.
    :returns: msgpack bytes.
    """
    body = attrs.asdict(message)
    body["kind"] = _NAMES[type(message)]
    return msgpack.packb(body)


def decode_message(data: bytes) -> CacheEventBatch | LoadReport:
    """Decode a message from the wire.

    :param data: msgpack bytes from :func:`encode_message`.
    :returns: the record.
    :raises CodecError: if the bytes are not a known message.
    """
    try:
        body = msgpack.unpackb(data)
        cls = _KINDS[body.pop("kind")]
        if cls is CacheEventBatch:
            body["stored_keys"] = tuple(body["stored_keys"])
            body["removed_keys"] = tuple(body["removed_keys"])
        return cls(**body)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise CodecError("engine message", repr(error)) from error
