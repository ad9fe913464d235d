"""Following what engines and stores keep, by what they say themselves.

Traffic tells what engines were given to read, not what they dropped since, and
a process that starts knows no traffic at all. Each engine and store tells its
cache events to whoever asks, but only to a few at a time. So one instance asks
each of them and tells the others.

- :class:`CacheFeeds` chooses whom this instance asks, and takes in what others
  tell.
- :class:`CacheClient` is the interface to a platform's engines and stores.
"""

from kumquatseam.cachefeeds._client import (
    CacheClient,
    CacheHolder,
    CacheListing,
    CachePage,
)
from kumquatseam.cachefeeds._feeds import MIN_SENT_PART_SHARE, CacheFeeds
from kumquatseam.cachefeeds._messages import (
    QUERY_KINDS,
    IndexAnswer,
    IndexQuestion,
)
from kumquatseam.cachefeeds._reader import HolderReader
from kumquatseam.cachefeeds._warm_start import WarmStart

__all__ = [
    "CacheClient",
    "CacheFeeds",
    "CacheHolder",
    "CacheListing",
    "CachePage",
    "HolderReader",
    "MIN_SENT_PART_SHARE",
    "IndexAnswer",
    "IndexQuestion",
    "QUERY_KINDS",
    "WarmStart",
]
