"""A client that is loaded with its first call: in a large fleet few instances poll."""

from collections.abc import Callable

from kumquatseam.cachefeeds._client import (
    CacheClient,
    CacheHolder,
    CacheListing,
    CachePage,
)


class DeferredCacheClient(CacheClient):
    """Passes calls on to a client.

    :param load: returns that client.
    """

    def __init__(self, load: Callable[[], CacheClient]) -> None:
        self._load = load
        self._loaded: CacheClient | None = None

    def close(self) -> None:
        if self._loaded is not None:
            self._loaded.close()

    def list_parts(self, holder: CacheHolder) -> CacheListing | None:
        return self._client.list_parts(holder)

    def read_events(
        self, holder: CacheHolder, since: int, wait_s: float
    ) -> CachePage | None:
        return self._client.read_events(holder, since, wait_s)

    @property
    def _client(self) -> CacheClient:
        if self._loaded is None:
            self._loaded = self._load()
        return self._loaded
