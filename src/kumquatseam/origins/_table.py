"""Origins of streams that are kept in memory."""

import collections
import time
from collections.abc import Callable

import attrs

from kumquatseam.upstreams import ServiceVersion

#: origins kept at most; the one that was added first is dropped.
MAX_ORIGINS = 20_000


@attrs.define
class KeptOrigin:
    """An origin in memory.

    :param origin: the origin; ``None`` if streams of different origins have its key.
    :param since_s: when it was added.
    :param until_s: until when it is kept.
    """

    origin: ServiceVersion | None
    since_s: float
    until_s: float


class OriginTable:
    """Origins by the key of their stream, each for a limited time.

    An origin never changes. If two are given for one key, its caller used an id twice,
    and none of them can be told to be the right one.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._kept: collections.OrderedDict[bytes, KeptOrigin] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._kept)

    def put(self, key: bytes, origin: ServiceVersion | None, for_s: float) -> None:
        """Keep an origin for at least ``for_s`` seconds."""
        now_s = self._clock()
        kept = self.get(key)
        if kept is None:
            while len(self._kept) >= MAX_ORIGINS:
                self._kept.popitem(last=False)
            self._kept[key] = KeptOrigin(origin, now_s, now_s + for_s)
            return
        kept.until_s = max(kept.until_s, now_s + for_s)
        if origin != kept.origin:
            kept.origin = None

    def get(self, key: bytes) -> KeptOrigin | None:
        """Return what is kept under ``key``."""
        kept = self._kept.get(key)
        if kept is not None and kept.until_s <= self._clock():
            del self._kept[key]
            return None
        return kept

    def drop_outdated(self) -> None:
        """Drop what has been kept for long enough."""
        now_s = self._clock()
        outdated = [key for key, kept in self._kept.items() if kept.until_s <= now_s]
        for key in outdated:
            del self._kept[key]
