"""Messages engines publish about their cache and load, and their codec.

Engines publish on an nng pub socket. Messages arrive late and some never
arrive: ``sequence`` numbers let a subscriber see the gaps.
"""

import attrs

from kumquatseam.codec import MessageCodec

SERVING = "serving"
STANDBY = "standby"


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
class ModelVersion:
    """The weights of one model an engine runs.

    :param model: the model's name.
    :param version: its weights version.
    :param adapters: the adapters loaded with it.
    """

    model: str
    version: str
    adapters: tuple[str, ...] = ()


@attrs.frozen
class LoadReport:
    """An engine's load as it stood ``lag`` ago.

    :param engine: the engine's name.
    :param epoch: the engine's life.
    :param running_requests: requests being decoded.
    :param waiting_requests: requests queued for a slot.
    :param cache_usage_ratio: used share of the KV cache, 0 to 1.
    :param versions: the weights it runs.
    :param role: ``"serving"``, or ``"standby"`` if it takes no completions.
    """

    engine: str
    epoch: str
    running_requests: int
    waiting_requests: int
    cache_usage_ratio: float
    versions: tuple[ModelVersion, ...] = ()
    role: str = SERVING


EngineMessage = CacheEventBatch | LoadReport
_CODEC = MessageCodec(
    "engine message", {"cache": CacheEventBatch, "load": LoadReport}, is_compact=True
)


def encode_message(message: EngineMessage) -> bytes:
    """Encode a message for the wire (msgpack)."""
    return _CODEC.encode(message)


def decode_message(data: bytes) -> EngineMessage:
    """Decode a message from the wire.

    :raises CodecError: if the bytes are not a known message.
    """
    return _CODEC.decode(data)
