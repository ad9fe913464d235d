"""Everything the router needs to talk to model engines.

- :class:`EngineClient` streams completions over HTTP.
- :class:`EngineEventSubscriber` receives cache events and load reports.
- :func:`tokenize`, :func:`cache_salt`, :func:`salt_seed` and
  :func:`block_keys` compute block keys exactly as engines do.
"""

from kumquatseam.engines._blocks import block_keys, cache_salt, salt_seed, tokenize
from kumquatseam.engines._client import EngineChunk, EngineClient, EngineRequest
from kumquatseam.engines._events import EngineEventSubscriber
from kumquatseam.engines._messages import (
    CacheEventBatch,
    LoadReport,
    decode_message,
    encode_message,
)

__all__ = [
    "CacheEventBatch",
    "EngineChunk",
    "EngineClient",
    "EngineEventSubscriber",
    "EngineRequest",
    "LoadReport",
    "block_keys",
    "cache_salt",
    "decode_message",
    "encode_message",
    "salt_seed",
    "tokenize",
]
