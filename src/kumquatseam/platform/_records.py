"""Decoding the operators' JSON records."""

from collections.abc import Mapping

from kumquatseam.http1 import RequestLimits
from kumquatseam.platform._values import (
    decode_json,
    finite,
    host_and_port,
    integer,
    text,
)
from kumquatseam.routes import (
    CacheStore,
    EngineTraits,
    Repeatability,
    Route,
    RouteTable,
    ServiceTraits,
    TeamQuota,
    TeamTraits,
    TrafficShare,
)
from kumquatseam.upstreams import WeightsVersion

#: unit of a token quota; any other unit counts requests.
_TOKEN_UNIT = "token_stream"


def decode_route_table(value: bytes) -> RouteTable:
    """Decode an operator's configuration record.

    :raises DecodingError: if it is invalid.
    """
    return decode_json("configuration", value, _route_table)


def decode_weights(value: bytes) -> WeightsVersion:
    """Decode an operator's record of the target weights of a model.

    :raises DecodingError: if it is invalid.
    """
    return decode_json(
        "weights",
        value,
        lambda raw: WeightsVersion(text(raw["model"]), integer(raw["version"])),
    )


def _route_table(raw: Mapping) -> RouteTable:
    return RouteTable(
        version=integer(raw["version"]),
        routes=tuple(_route(item) for item in raw["routes"]),
        services=tuple(_service(item) for item in raw["services"]),
        teams=tuple(_team(item) for item in raw.get("tenants") or ()),
        limits=_limits(raw.get("limits") or {}),
    )


def _route(raw: Mapping) -> Route:
    kind = raw["kind"]
    is_idempotent = kind == "idempotent"
    return Route(
        name=text(raw["name"]),
        host=text(raw["host"]).lower(),
        path_prefix=text(raw["pathPrefix"]),
        repeatability=(
            Repeatability.IDEMPOTENT if is_idempotent else Repeatability.NON_IDEMPOTENT
        ),
        shares=_shares(raw),
        is_stream=kind == "stream",
        is_resumable=bool(raw.get("resumable")),
        timeout_s=finite(raw["timeoutMs"]) / 1000.0,
        target_latency_s=finite(raw.get("targetLatencyMs", 1000)) / 1000.0,
        target_event_gap_s=finite(raw.get("gapAimMs", 1000)) / 1000.0,
        priority=integer(raw.get("priority", 5)),
        max_attempts=integer(raw.get("maxAttempts", 1)),
        is_public=bool(raw.get("public")),
    )


def _shares(raw: Mapping) -> tuple[TrafficShare, ...]:
    split = raw.get("trafficSplit")
    if split:
        return tuple(
            TrafficShare(text(item["service"]), finite(item["weight"]))
            for item in split
        )
    return (TrafficShare(text(raw["service"]), 1.0),)


def _service(raw: Mapping) -> ServiceTraits:
    engine = raw.get("engine")
    return ServiceTraits(
        name=text(raw["name"]),
        max_connections=integer(raw.get("maxConnections", 0)),
        engine=_engine(engine) if engine else None,
        cache_store=_cache_store(raw) if raw.get("kvStoreAddr") else None,
    )


def _cache_store(raw: Mapping) -> CacheStore:
    return CacheStore(
        address=host_and_port(raw["kvStoreAddr"]),
        availability_zone=text(raw.get("zone") or ""),
        cache_tokens=integer(raw.get("kvCapacityTokens", 0)),
        link_mbps=finite(raw.get("linkMbps") or 0.0),
    )


def _engine(raw: Mapping) -> EngineTraits:
    defaults = EngineTraits(1, 0)
    return EngineTraits(
        slots=integer(raw["slots"]),
        cache_tokens=integer(raw["kvCapacityTokens"]),
        models=tuple(text(item["name"]) for item in raw.get("models") or ()),
        event_pollers=integer(raw.get("maxConcurrent", 0)),
        cache_token_bytes=integer(
            raw.get("kvTokenBytes") or defaults.cache_token_bytes
        ),
        link_mbps=finite(raw.get("linkMbps") or defaults.link_mbps),
    )


def _team(raw: Mapping) -> TeamTraits:
    priority = raw.get("priority")
    return TeamTraits(
        name=text(raw["name"]),
        keys=tuple(map(text, raw.get("apiKeys") or ())),
        priority=None if priority is None else integer(priority),
        is_isolated=bool(raw.get("isolated")),
        quota=_quota(raw),
    )


def _quota(raw: Mapping) -> TeamQuota | None:
    """Return a team's quota; a rate of 0 or a missing one means no limit."""
    rate_per_s = finite(raw.get("ratePerS") or 0)
    if rate_per_s <= 0:
        return None
    return TeamQuota(
        rate_per_s,
        max(0.0, finite(raw.get("burst") or 0)),
        is_token_based=raw.get("unit") == _TOKEN_UNIT,
        default_tokens=max(0, integer(raw.get("plainTokens") or 0)),
    )


def _limits(raw: Mapping) -> RequestLimits:
    defaults = RequestLimits()
    return RequestLimits(
        integer(raw.get("maxHeaderBytes", defaults.max_header_bytes)),
        integer(raw.get("maxBodyBytes", defaults.max_body_bytes)),
        finite(raw.get("headerTimeoutMs", defaults.header_timeout_s * 1000)) / 1000.0,
        finite(raw.get("idleTimeoutMs", defaults.idle_timeout_s * 1000)) / 1000.0,
    )
