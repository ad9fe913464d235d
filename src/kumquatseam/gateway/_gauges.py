"""Metrics that are read from the gateway's parts when they are collected."""

import time

import attrs

from kumquatseam.gateway._server import GatewayServer
from kumquatseam.http1 import ConnectionPool
from kumquatseam.logservice import HttpLogService
from kumquatseam.metrics import GatewayMetrics
from kumquatseam.origins import StreamOrigins
from kumquatseam.peers import DatagramSocket, PeerBus
from kumquatseam.quarantine import Quarantine
from kumquatseam.quotas import RetryBudgets, ShardOwners, TeamQuotas, UpstreamLimits
from kumquatseam.relays import DirectPath
from kumquatseam.relays.client import RelayClient
from kumquatseam.routes import LiveRouteTable
from kumquatseam.trackers import LoadTracker, TrackerClient
from kumquatseam.upstreams import UpstreamDirectory, WeightsTargets


@attrs.frozen
class GaugeParts:
    """The parts that gauges and counters read."""

    live: LiveRouteTable
    directory: UpstreamDirectory
    targets: WeightsTargets
    quarantine: Quarantine
    pool: ConnectionPool
    server: GatewayServer
    log_service: HttpLogService
    bus: PeerBus
    datagrams: DatagramSocket
    tracker_client: TrackerClient
    tracker: LoadTracker
    shard_owners: ShardOwners
    quotas: TeamQuotas
    limits: UpstreamLimits
    retries: RetryBudgets
    path: DirectPath
    relays: RelayClient
    origins: StreamOrigins


def add_gauges(metrics: GatewayMetrics, parts: GaugeParts) -> None:
    """Add the gauges and counters of every part."""
    _add_state(metrics, parts)
    _add_traffic(metrics, parts)


def _add_state(metrics: GatewayMetrics, parts: GaugeParts) -> None:
    """Add gauges of this instance's view of the fleet and the upstreams."""
    live, directory, targets = parts.live, parts.directory, parts.targets
    metrics.register_gauge(
        "configuration_version", lambda: live.current.version if live.current else 0
    )
    metrics.register_gauge("upstreams", lambda: len(directory.all()))
    metrics.register_gauge(
        "upstream_list_age_seconds",
        lambda: time.monotonic() - (directory.list_confirmed_s or 0.0),
    )
    metrics.register_gauge("upstreams_held_out", lambda: _count_held_out(directory))
    metrics.register_gauge("upstreams_unreachable", directory.count_unreachable)
    metrics.register_gauge(
        "weights_version",
        lambda: max((named.version for named in targets.all()), default=0),
    )
    metrics.register_gauge(
        "upstreams_on_newest_weights",
        lambda: _count_on_newest_weights(directory, targets),
    )
    metrics.register_gauge(
        "upstreams_limited", lambda: _count_limited(directory, parts.limits)
    )
    metrics.register_gauge(
        "upstreams_brittle", lambda: _count_brittle(directory, parts.limits)
    )
    metrics.register_gauge("path_lost", lambda: int(parts.path.is_lost))
    metrics.register_gauge("requests_suspected", lambda: len(parts.quarantine.suspects))
    metrics.register_gauge("quotas_kept", lambda: parts.shard_owners.owned_quotas)
    metrics.register_gauge(
        "retry_budget_used", parts.shard_owners.retry_allocator.used_share
    )
    metrics.register_gauge("stream_origins", lambda: len(parts.origins.table))
    metrics.register_gauge(
        "holders_tracked", lambda: len(parts.tracker.tracked_holders())
    )


def _add_traffic(metrics: GatewayMetrics, parts: GaugeParts) -> None:
    """Add counters of this instance's connections, messages and queries."""
    client, limits = parts.tracker_client, parts.limits
    quota_calls = parts.shard_owners.calls
    metrics.register_counter("suspects_tried", lambda: parts.quarantine.trials)
    metrics.register_counter("quota_refusals", lambda: parts.quotas.refused)
    metrics.register_counter("quota_questions", lambda: quota_calls.call_count)
    metrics.register_counter("quota_keepers_silent", lambda: quota_calls.timeout_count)
    metrics.register_counter(
        "quota_decided_alone", lambda: parts.quotas.decided_locally
    )
    metrics.register_counter(
        "limited_upstreams_requests", lambda: limits.announced.sent
    )
    metrics.register_counter("retries_undecided", lambda: parts.retries.undecided)
    metrics.register_counter("limit_grants", lambda: limits.granted)
    metrics.register_counter("limit_refusals", lambda: limits.refused)
    metrics.register_counter(
        "requests_to_leaving", lambda: parts.directory.sent_to_leaving
    )
    metrics.register_counter("requests_in_rest", lambda: parts.directory.sent_in_rest)
    metrics.register_counter("brittle_upstreams_requests", lambda: limits.places.sent)
    metrics.register_counter(
        "brittle_upstreams_refusals", lambda: limits.places.refused
    )
    metrics.register_counter("places_not_granted", lambda: limits.places.not_granted)
    metrics.register_counter("stream_origins_searched", lambda: parts.origins.searches)
    metrics.register_counter("stream_origins_unknown", lambda: parts.origins.unknown)
    metrics.register_counter("path_losses", lambda: parts.path.lost_count)
    metrics.register_counter("relayed_connections", lambda: parts.relays.opened)
    metrics.register_counter("relay_failures", lambda: parts.relays.failed)
    metrics.register_counter("upstream_connections", lambda: parts.pool.opened)
    metrics.register_counter("caller_connections", lambda: parts.server.accepted)
    metrics.register_counter(
        "caller_connections_turned_away", lambda: parts.server.turned_away
    )
    metrics.register_counter(
        "caller_connections_closed_for_others", lambda: _count_freed(parts.server)
    )
    buffers = parts.server.buffers
    metrics.register_gauge("buffer_bytes_held", lambda: buffers.used_bytes)
    metrics.register_gauge("buffer_bytes_limit", lambda: buffers.limit_bytes)
    metrics.register_counter("buffer_evictions", lambda: buffers.evicted)
    metrics.register_counter("buffer_refusals", lambda: buffers.refused)
    metrics.register_counter("log_calls", lambda: parts.log_service.calls)
    metrics.register_counter("peer_messages_sent", lambda: parts.bus.sent)
    metrics.register_counter("peer_messages_received", lambda: parts.bus.received)
    metrics.register_counter("peer_bytes_received", lambda: parts.bus.received_bytes)
    metrics.register_counter("datagrams_sent", lambda: parts.datagrams.sent)
    metrics.register_counter("datagrams_received", lambda: parts.datagrams.received)
    metrics.register_counter("trackers_asked", lambda: client.query_count)
    metrics.register_counter("trackers_silent", lambda: client.timeout_count)


def _count_freed(server: GatewayServer) -> int:
    return server.places.freed if server.places is not None else 0


def _count_held_out(directory: UpstreamDirectory) -> int:
    return sum(s.is_held_out for s in directory.all())


def _count_limited(directory: UpstreamDirectory, limits: UpstreamLimits) -> int:
    announced = limits.announced
    return sum(
        announced.of(s.upstream.incarnation_id).is_limited for s in directory.all()
    )


def _count_brittle(directory: UpstreamDirectory, limits: UpstreamLimits) -> int:
    return sum(limits.is_brittle(s.upstream.incarnation_id) for s in directory.all())


def _count_on_newest_weights(
    directory: UpstreamDirectory, targets: WeightsTargets
) -> int:
    return sum(
        status.version_of(named.model) == named.version
        for named in targets.all()
        for status in directory.all()
    )
