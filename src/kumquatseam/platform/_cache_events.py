"""Client of the cache listings and events of the platform's engines and stores."""

import time
from collections.abc import Mapping, Sequence

import urllib3

from kumquatseam.cachefeeds import CacheClient, CacheHolder, CacheListing, CachePage
from kumquatseam.logs import part_logger
from kumquatseam.platform._availability import decode_availability
from kumquatseam.platform._values import (
    DecodingError,
    decode_json,
    integer,
    text,
)
from kumquatseam.pools import AddressPools
from kumquatseam.prompts import HeldPart
from kumquatseam.response_limits import ResponseLimits
from kumquatseam.upstreams import AvailabilityObserver, NullAvailabilityObserver

_log = part_logger("cache")

#: response timeout, in addition to the wait of a long poll.
_TIMEOUT_S = 0.6
#: time for a whole response, in addition to that wait; the largest one takes 1.7 s on a
#: link of 10 Mbit/s.
_TOTAL_S = 4.0
#: size of a response, and its growth with the holder's memory. A row takes about 100
#: bytes, and its part has tens of tokens or more.
_BASE_BYTES = 65_536
_BYTES_PER_TOKEN = 16
#: largest response of any holder; decoding one may take 30 times as much memory.
_MAX_BYTES = 2_097_152
#: another replica responds at the address.
_MISDIRECTED = 421


class PlatformCacheClient(CacheClient):
    """Requests cache listings and events over HTTP.

    :param observer: is told what the responses say about further requests.
    """

    def __init__(self, observer: AvailabilityObserver | None = None) -> None:
        self._observer = observer or NullAvailabilityObserver()
        self._pools = AddressPools()

    def close(self) -> None:
        """Close every idle connection."""
        self._pools.close()

    def list_parts(self, holder: CacheHolder) -> CacheListing | None:
        return self._get(holder, "/kv-list", {}, 0.0, _decode_listing)

    def read_events(
        self, holder: CacheHolder, since: int, wait_s: float
    ) -> CachePage | None:
        headers = {"Wait-Ms": str(int(wait_s * 1000))}
        return self._get(
            holder, f"/kv-events?since={since}", headers, wait_s, _decode_page
        )

    def _get(self, holder: CacheHolder, path: str, headers, wait_s: float, build):
        if holder.upstream_id and not self._observer.begin_call(holder.holder):
            return None
        if holder.upstream_id:
            headers = {**headers, "X-Expect-Instance": holder.upstream_id}
        asked_s = time.monotonic()
        try:
            response = self._pools.request(
                "GET",
                f"http://{holder.address}",
                path,
                _limits(holder, wait_s),
                headers=headers,
                timeout=urllib3.Timeout(connect=_TIMEOUT_S, read=_TIMEOUT_S + wait_s),
            )
            if holder.upstream_id and response.status != _MISDIRECTED:
                self._observer.note_availability(
                    holder.holder,
                    decode_availability(response.status, response.headers.getlist),
                )
            if response.status == 200:
                listing = decode_json("cache events", response.data, build)
                self._observer.note_born(holder.holder, listing.born_ms, asked_s)
                return listing
            reason = f"HTTP {response.status}"
        except (urllib3.exceptions.HTTPError, DecodingError) as error:
            reason = repr(error)
        _log.bind(holder=holder.holder, path=path, error=reason).info(
            "Cannot read the cache contents of a holder."
        )
        return None


def _limits(holder: CacheHolder, wait_s: float) -> ResponseLimits:
    """Return what a response may take: a holder lists no more than it has room for."""
    if holder.capacity_tokens:
        max_bytes = _BASE_BYTES + _BYTES_PER_TOKEN * holder.capacity_tokens
    else:
        max_bytes = _MAX_BYTES
    return ResponseLimits(min(max_bytes, _MAX_BYTES), _TOTAL_S + wait_s)


def _decode_listing(raw: Mapping) -> CacheListing:
    return CacheListing(
        integer(raw["epoch"]),
        integer(raw["nextToken"]),
        tuple(_held_part(*row[:3]) for row in raw["held"]),
        _born_ms(raw),
    )


def _decode_page(raw: Mapping) -> CachePage:
    return CachePage(
        integer(raw["epoch"]),
        # Despite its name, this is the number of the next event.
        integer(raw["nextToken"]),
        tuple(_decode_event(row) for row in raw["events"]),
        _born_ms(raw),
        bool(raw["lost"]),
    )


def _decode_event(row: Sequence) -> HeldPart:
    """Decode a row: number, sign, scope, part, tokens now cached, model."""
    _, sign, salt, part_id, tokens = row[:5]
    return _held_part(salt, part_id, tokens)


def _held_part(salt: str, part_id: str, tokens: int) -> HeldPart:
    return HeldPart(text(str(salt)), text(str(part_id)), max(0, integer(tokens)))


def _born_ms(raw: Mapping) -> int:
    return integer(raw.get("born", 0))


__all__ = ["PlatformCacheClient"]
