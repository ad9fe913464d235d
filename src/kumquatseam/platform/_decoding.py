"""Decoding the platform's JSON values into the project's types."""

import json
from collections.abc import Callable, Iterable, Mapping

import attrs

from kumquatseam.errors import KumquatseamError
from kumquatseam.http1 import RequestLimits
from kumquatseam.rollouts import EngineReport, MovedRun
from kumquatseam.routes import (
    CacheStore,
    EngineTraits,
    Repeatability,
    Route,
    RouteTable,
    ServiceTraits,
    TeamTraits,
    TrafficShare,
)
from kumquatseam.upstreams import Upstream, WeightsNamed


@attrs.define(frozen=True, eq=False)
class DecodingError(KumquatseamError):
    """A value from the platform's store cannot be understood.

    :param what: the kind of value.
    :param reason: what is wrong, with the field.
    """

    what: str
    reason: str

    def __str__(self) -> str:
        return f"platform: cannot decode {self.what}: {self.reason}"


def _decode(what: str, value: bytes, build: Callable[[Mapping], object]):
    try:
        return build(json.loads(value))
    except KeyError as error:
        raise DecodingError(what, f"field {error} is missing") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise DecodingError(what, repr(error)) from error


def decode_route_table(value: bytes) -> RouteTable:
    """Return the configuration in an operator's record.

    :raises DecodingError: if it is not one.
    """
    return _decode("configuration", value, _route_table)


def decode_upstream(upstream_id: str, value: bytes) -> Upstream:
    """Return an upstream's entry.

    :raises DecodingError: if it is not one.
    """
    return _decode("upstream", value, lambda raw: _upstream(upstream_id, raw))


def decode_weights(value: bytes) -> WeightsNamed:
    """Return the weights an operator named.

    :raises DecodingError: if there are none.
    """
    return _decode(
        "weights", value, lambda raw: WeightsNamed(raw["model"], int(raw["version"]))
    )


def decode_report(value: bytes) -> EngineReport:
    """Return an engine's report of itself.

    :raises DecodingError: if it is not one.
    """
    return _decode("report", value, _report)


def decode_moved_run(source: str, value: bytes) -> MovedRun:
    """Return a run that an engine stopped and copied.

    :raises DecodingError: if it is not one.
    """
    return _decode("moved run", value, lambda raw: _moved_run(source, raw))


def _moved_run(source: str, raw: Mapping) -> MovedRun:
    # The field counts the events made so far; it is no revision of anything.
    return MovedRun(source, str(raw["handle"]), int(raw["createRevision"]))


def _report(raw: Mapping) -> EngineReport:
    return EngineReport(
        weights=_weights(raw["models"]),
        is_busy=bool(raw["busy"]),
        orders_accepted=int(raw["sequence"]),
        waiting=int(raw["waiting"]),
        running=int(raw["running"]),
    )


def _route_table(raw: Mapping) -> RouteTable:
    return RouteTable(
        version=int(raw["version"]),
        routes=tuple(_route(item) for item in raw["routes"]),
        services=tuple(_service(item) for item in raw["services"]),
        teams=tuple(_team(item) for item in raw.get("tenants") or ()),
        limits=_limits(raw.get("limits") or {}),
    )


def _route(raw: Mapping) -> Route:
    kind = raw["kind"]
    repeats = kind == "idempotent"
    return Route(
        name=raw["name"],
        host=raw["host"].lower(),
        path_prefix=raw["pathPrefix"],
        repeatability=(
            Repeatability.IDEMPOTENT if repeats else Repeatability.NON_IDEMPOTENT
        ),
        shares=_shares(raw),
        is_stream=kind == "stream",
        is_resumable=bool(raw.get("resumable")),
        timeout_s=float(raw["timeoutMs"]) / 1000.0,
        target_latency_s=float(raw.get("targetLatencyMs", 1000)) / 1000.0,
        gap_aim_s=float(raw.get("gapAimMs", 1000)) / 1000.0,
        priority=int(raw.get("priority", 5)),
        max_attempts=int(raw.get("maxAttempts", 1)),
        is_public=bool(raw.get("public")),
    )


def _shares(raw: Mapping) -> tuple[TrafficShare, ...]:
    split = raw.get("trafficSplit")
    if split:
        return tuple(
            TrafficShare(item["service"], float(item["weight"])) for item in split
        )
    return (TrafficShare(raw["service"], 1.0),)


def _service(raw: Mapping) -> ServiceTraits:
    engine = raw.get("engine")
    return ServiceTraits(
        name=raw["name"],
        max_connections=int(raw.get("maxConnections", 0)),
        engine=_engine(engine) if engine else None,
        cache_store=_cache_store(raw) if raw.get("kvStoreAddr") else None,
    )


def _cache_store(raw: Mapping) -> CacheStore:
    return CacheStore(
        address=raw["kvStoreAddr"],
        availability_zone=raw.get("zone") or "",
        cache_tokens=int(raw.get("kvCapacityTokens", 0)),
    )


def _engine(raw: Mapping) -> EngineTraits:
    defaults = EngineTraits(1, 0)
    return EngineTraits(
        slots=int(raw["slots"]),
        cache_tokens=int(raw["kvCapacityTokens"]),
        models=tuple(item["name"] for item in raw.get("models") or ()),
        event_pollers=int(raw.get("maxConcurrent", 0)),
        cache_token_bytes=int(raw.get("kvTokenBytes") or defaults.cache_token_bytes),
        link_mbps=float(raw.get("linkMbps") or defaults.link_mbps),
    )


def _team(raw: Mapping) -> TeamTraits:
    priority = raw.get("priority")
    return TeamTraits(
        name=raw["name"],
        keys=tuple(raw.get("apiKeys") or ()),
        priority=None if priority is None else int(priority),
        is_isolated=bool(raw.get("isolated")),
    )


def _limits(raw: Mapping) -> RequestLimits:
    defaults = RequestLimits()
    return RequestLimits(
        int(raw.get("maxHeaderBytes", defaults.max_header_bytes)),
        int(raw.get("maxBodyBytes", defaults.max_body_bytes)),
        float(raw.get("headerTimeoutMs", defaults.header_timeout_s * 1000)) / 1000.0,
        float(raw.get("idleTimeoutMs", defaults.idle_timeout_s * 1000)) / 1000.0,
    )


def _upstream(upstream_id: str, raw: Mapping) -> Upstream:
    return Upstream(
        upstream_id=upstream_id,
        service=raw["service"],
        address=raw["address"],
        availability_zone=raw.get("zone") or "",
        slots=int(raw.get("slots", 1)),
        is_leaving=raw.get("state") == "draining",
        weights=_weights(raw.get("models") or ()),
        # An entry's sequence counts heartbeats; a report's counts orders.
        cold_left_s=float(raw.get("coldLeftMs", 0)) / 1000.0,
    )


def _weights(models: Iterable[Mapping]) -> tuple[WeightsNamed, ...]:
    return tuple(WeightsNamed(item["name"], int(item["version"])) for item in models)
