"""Communication with model engines: completions, orders, cache events and loads.

- :class:`EngineClient` streams completions; :class:`HttpEngineClient` does so
  over HTTP.
- :class:`EngineOrderClient` sends engines orders under a fencing token.
- :class:`EngineEventSubscriber` receives cache events and load reports.
- :func:`tokenize`, :class:`PromptTokens`, :func:`cache_salt`, :func:`salt_seed`
  and :func:`block_keys` compute block keys exactly as engines do.
"""

from kumquatseam.engines._blocks import (
    PromptTokens,
    block_keys,
    cache_salt,
    salt_seed,
    tokenize,
)
from kumquatseam.engines._client import (
    EPOCH_HEADER,
    LIMIT_HEADER,
    NOT_EXECUTED_HEADER,
    VERSION_HEADER,
    EngineChunk,
    EngineClient,
    EngineRequest,
    EngineTarget,
    HttpEngineClient,
    rest_of,
)
from kumquatseam.engines._events import EngineEventSubscriber
from kumquatseam.engines._messages import (
    SERVING,
    STANDBY,
    CacheEventBatch,
    EngineMessage,
    LoadReport,
    ModelVersion,
    decode_message,
    encode_message,
)
from kumquatseam.engines._orders import (
    EngineOrder,
    EngineOrderClient,
    HttpEngineOrderClient,
    LoadOrder,
    OrderRefusedError,
    OrderUnansweredError,
    RoleOrder,
)

__all__ = [
    "EPOCH_HEADER",
    "LIMIT_HEADER",
    "NOT_EXECUTED_HEADER",
    "VERSION_HEADER",
    "CacheEventBatch",
    "EngineChunk",
    "EngineClient",
    "EngineEventSubscriber",
    "EngineMessage",
    "EngineOrder",
    "EngineOrderClient",
    "EngineRequest",
    "EngineTarget",
    "HttpEngineClient",
    "HttpEngineOrderClient",
    "LoadOrder",
    "LoadReport",
    "ModelVersion",
    "OrderRefusedError",
    "OrderUnansweredError",
    "PromptTokens",
    "RoleOrder",
    "SERVING",
    "STANDBY",
    "block_keys",
    "cache_salt",
    "decode_message",
    "encode_message",
    "rest_of",
    "salt_seed",
    "tokenize",
]
