"""Messages that engines publish about their cache and load, and their codec.

Engines publish on an nng pub socket. Messages may arrive late or be lost; a
subscriber detects gaps in the cache events by their ``sequence`` numbers.
"""

import attrs

from kumquatseam.codec import MessageCodec

SERVING = "serving"
STANDBY = "standby"


@attrs.frozen
class CacheEventBatch:
    """Blocks that an engine stored and removed since its previous batch.

    :param engine: the engine's name.
    :param epoch: changes at every start of the engine; a new epoch means an
        empty cache.
    :param sequence: number of the batch within the epoch, consecutive from 1; a
        gap between received batches means lost events.
    :param stored_keys: block keys newly cached.
    :param removed_keys: block keys evicted.
    """

    engine: str
    epoch: str
    sequence: int
    stored_keys: tuple[int, ...]
    removed_keys: tuple[int, ...]


@attrs.frozen
class ModelVersion:
    """The weights that an engine runs of one model.

    :param model: the model's name.
    :param version: the weights version.
    :param adapters: the adapters loaded with it.
    """

    model: str
    version: str
    adapters: tuple[str, ...] = ()


@attrs.frozen
class LoadReport:
    """An engine's load at some earlier moment, as reports are delayed.

    :param engine: the engine's name.
    :param epoch: the engine's epoch, as in :class:`CacheEventBatch`.
    :param running_requests: requests being decoded.
    :param waiting_requests: requests queued for a slot.
    :param cache_usage_ratio: used share of the KV cache, 0 to 1.
    :param versions: the weights it runs, per model.
    :param role: ``"serving"``, or ``"standby"`` if it accepts no completions.
    :param software: the version of its software; empty if it states none.
    """

    engine: str
    epoch: str
    running_requests: int
    waiting_requests: int
    cache_usage_ratio: float
    versions: tuple[ModelVersion, ...] = ()
    role: str = SERVING
    software: str = ""


EngineMessage = CacheEventBatch | LoadReport
_CODEC = MessageCodec(
    "engine message", {"cache": CacheEventBatch, "load": LoadReport}, is_compact=True
)


def encode_message(message: EngineMessage) -> bytes:
    """Encode a message for the wire (msgpack)."""
    return _CODEC.encode(message)


def decode_message(data: bytes) -> EngineMessage:
    """Decode a message from the wire.

    :raises CodecError: if ``data`` is no valid message.
    """
    return _CODEC.decode(data)
