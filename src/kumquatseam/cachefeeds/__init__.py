"""Following the KV cache contents that engines and stores report.

Request traffic shows which prompts engines prefilled, not what they evicted since,
and a process that starts has seen no traffic. Every engine and store, called a
holder here, can be polled for its cache events, but only by a few clients at a
time. So one instance polls each holder and broadcasts its events to the others.

- :class:`CacheFeeds` decides which holders this instance polls, and applies the
  updates of other instances.
- :class:`CacheClient` is the interface to a platform's engines and stores;
  :class:`DeferredCacheClient` is loaded with the first poll.
"""

from kumquatseam.cachefeeds._client import (
    CacheClient,
    CacheHolder,
    CacheListing,
    CachePage,
)
from kumquatseam.cachefeeds._deferred import DeferredCacheClient
from kumquatseam.cachefeeds._feeds import MIN_SENT_PART_SHARE, CacheFeeds
from kumquatseam.cachefeeds._messages import (
    QUERY_KINDS,
    IndexQuery,
    IndexReply,
)
from kumquatseam.cachefeeds._warm_start import WarmStart

__all__ = [
    "CacheClient",
    "CacheFeeds",
    "CacheHolder",
    "CacheListing",
    "CachePage",
    "DeferredCacheClient",
    "MIN_SENT_PART_SHARE",
    "IndexReply",
    "IndexQuery",
    "QUERY_KINDS",
    "WarmStart",
]
