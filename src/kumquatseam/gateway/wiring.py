"""Composition root of the gateway: builds all parts, starts and stops them."""

import time
from typing import TYPE_CHECKING

from kumquatseam import cachefeeds, feeds, origins, quarantine, quotas
from kumquatseam.cachefeeds import MIN_SENT_PART_SHARE, CacheFeeds, WarmStart
from kumquatseam.codec import merge_kinds
from kumquatseam.feeds import TopicFeeds, TopicUpdate
from kumquatseam.gateway._adapter import Adapter
from kumquatseam.gateway._cache_holders import cache_holders
from kumquatseam.gateway._caller_buffers import CallerBuffers
from kumquatseam.gateway._connection_admission import ConnectionAdmission
from kumquatseam.gateway._handler import HandlerParts, RequestHandler
from kumquatseam.gateway._health import health_servers
from kumquatseam.gateway._loop_idleness import LoopIdleness
from kumquatseam.gateway._paces import (
    instance_pace,
    operator_pace,
    suspects_pace,
    upstream_pace,
)
from kumquatseam.gateway._rollout_candidate import RolloutCandidate, RolloutParts
from kumquatseam.gateway._server import GatewayServer
from kumquatseam.gateway._upstream_paths import UpstreamPaths
from kumquatseam.gatewayfile import GatewayFile
from kumquatseam.http1 import RequestLimits
from kumquatseam.lifecycle import PartGroup
from kumquatseam.logs import part_logger
from kumquatseam.logservice import HttpLogService
from kumquatseam.loops import StepLoop
from kumquatseam.metrics import GatewayMetrics
from kumquatseam.origins import OriginParts, StreamOrigins
from kumquatseam.peers import (
    INSTANCES_TOPIC,
    MESSAGE_KINDS,
    DatagramSocket,
    InstanceRecord,
    InstanceRegistry,
    LoadExchange,
    PeerBus,
    PeerQueries,
    RendezvousOrder,
)
from kumquatseam.placement import BroadcastWork, Placer, ReplacedWeightsGrace
from kumquatseam.prompts import PromptIndex
from kumquatseam.quarantine import (
    SUSPECTS_TOPIC,
    BusNoticeChannel,
    Quarantine,
    QuarantineParts,
    RunUpstream,
)
from kumquatseam.quotas import (
    QuotaParts,
    QuotaTolerance,
    RetryBudgets,
    ShardOwners,
    TeamQuotas,
    UpstreamLimits,
    UpstreamPlaces,
)
from kumquatseam.routes import LiveRouteTable, RouteTable
from kumquatseam.trackers import (
    TRACKER_KINDS,
    FleetSizeSwitch,
    LoadTracker,
    TrackerClient,
)
from kumquatseam.upstreams import (
    AnnouncedLimits,
    Availabilities,
    Brittleness,
    Unavailability,
    Upstream,
    UpstreamDirectory,
    WeightsTargets,
)

if TYPE_CHECKING:
    from kumquatseam.trackers.tracked_work import TrackedWork

_log = part_logger("gateway")

#: messages that instances publish on the peer bus, by kind on the wire.
BUS_KINDS = merge_kinds(MESSAGE_KINDS, quarantine.BUS_KINDS, {"topic": TopicUpdate})
#: messages between instances by datagram, by kind on the wire.
DATAGRAM_KINDS = merge_kinds(
    TRACKER_KINDS,
    quarantine.DATAGRAM_KINDS,
    quotas.DATAGRAM_KINDS,
    origins.DATAGRAM_KINDS,
)
#: request-reply queries between instances, by kind on the wire.
QUERY_KINDS = merge_kinds(feeds.QUERY_KINDS, cachefeeds.QUERY_KINDS)
#: seconds between checks that each engine and store has an instance that polls it.
CACHE_CHECK_INTERVAL_S = 0.25
#: how long a starting instance waits for the list of instances; if the log service
#: is unreachable, it then continues without the list.
PEER_DISCOVERY_TIMEOUT_S = 2.0
#: maximum age of the in-flight counts that a rollout is planned with; runs last
#: longer than this.
ROLLOUT_LOAD_MAX_AGE_S = 0.15
#: seconds between sweeps of idle connections.
SWEEP_INTERVAL_S = 1.0
#: seconds between checks of the connections to peers.
PEER_CHECK_INTERVAL_S = 0.25
#: part of the shutdown grace period that is reserved for ending the process.
SHUTDOWN_MARGIN_S = 0.4


class Gateway:
    """A gateway daemon.

    :param file: its settings.
    :param adapter: integration with the platform it runs on.
    """

    def __init__(self, file: GatewayFile, adapter: Adapter) -> None:
        self._file = file
        self._adapter = adapter
        self._live = LiveRouteTable()
        self._availabilities = Availabilities()
        self._directory = UpstreamDirectory(availabilities=self._availabilities)
        self._index = PromptIndex()
        self._metrics = GatewayMetrics()
        self._started_s = time.monotonic()
        self._log_service = HttpLogService(
            f"http://{file.log.address}", file.log.timeout_s
        )
        self._directory.on_gone(self._forget_upstream)
        self._live.on_change(self._size_index)
        self._targets = WeightsTargets()
        self._orders = adapter.order_client(self._directory)
        self._cache_client = adapter.cache_client(self._directory)
        self._record = InstanceRecord(
            file.gateway.router_name,
            file.peers.address,
            file.peers.state_address,
            file.gateway.link_mbps,
            file.peers.relay_address,
            file.gateway.zone,
        )
        self._bus = PeerBus(self._record, BUS_KINDS)
        self._paths = UpstreamPaths(file, adapter.dialect(), self._directory, self._bus)
        self._path, self._pool = self._paths.path, self._paths.pool
        self._queries = PeerQueries(self._bus, QUERY_KINDS, file.peers.seeds)
        self._feeds = TopicFeeds(
            self._log_service,
            self._bus,
            self._record,
            self._queries,
            self._are_peers_known,
        )
        self._datagrams = DatagramSocket(file.peers.address, DATAGRAM_KINDS)
        self._quarantine = self._build_quarantine()
        self._announced_limits = AnnouncedLimits(
            max_delay_s=self._feeds.process_pauses.max_delay_s
        )
        self._shard_owners = self._build_shard_owners()
        self._quotas = TeamQuotas(self._shard_owners)
        self._origins = StreamOrigins(
            OriginParts(
                self._bus.name,
                lambda: self._bus.records,
                self._datagrams,
                self._are_peers_known,
                unresponsive=self._shard_owners.calls.unresponsive,
            )
        )
        places = UpstreamPlaces(
            self._shard_owners, Brittleness(self._announced_limits), self._directory
        )
        self._limits = UpstreamLimits(
            self._shard_owners, availabilities=self._availabilities, places=places
        )
        self._retries = RetryBudgets(self._shard_owners, self._list_services)
        self._tracker = LoadTracker(
            self._bus.name,
            self._index,
            limits=self._announced_limits,
            used_up_s=self._shard_owners.used_up_s,
            brittle_of=places.report_of,
        )
        registry = InstanceRegistry(self._log_service, self._bus, self._record)
        self._follow_topics(registry)
        self._cache_feeds = self._build_cache_feeds()
        self._loads = LoadExchange(
            self._bus,
            self._directory,
            self._index,
            holder_updates=self._cache_feeds,
            limits=self._announced_limits,
        )
        self._work = self._build_work()
        self._caller_buffers = CallerBuffers(
            file.gateway.memory_mb, lambda: self._read_limits().max_request_bytes
        )
        self._server = self._build_server()
        parts = [
            self._log_service,
            self._bus,
            self._datagrams,
            registry,
            self._queries,
            self._feeds,
            self._quarantine,
            self._orders,
            self._cache_client,
            self._cache_feeds,
            WarmStart(
                self._cache_feeds,
                self._queries,
                self._bus.name,
                self._is_full_mesh_fleet,
            ),
            StepLoop(quotas.SWEEP_INTERVAL_S, self._quotas.sweep),
            StepLoop(origins.SWEEP_INTERVAL_S, self._origins.sweep),
            StepLoop(quotas.SWEEP_INTERVAL_S, self._retries.sweep),
            StepLoop(quotas.SWEEP_INTERVAL_S, places.sweep),
            StepLoop(CACHE_CHECK_INTERVAL_S, self._cache_feeds.step),
            StepLoop(self._loads.next_step_s, self._loads.step),
            StepLoop(PEER_CHECK_INTERVAL_S, self._bus.step),
            StepLoop(self._directory.next_sweep_s, self._directory.sweep),
            self._build_rollouts(),
            StepLoop(SWEEP_INTERVAL_S, self._pool.sweep),
            *self._paths.parts,
            self._caller_buffers,
            *health_servers(file.gateway, self._is_ready, self._metrics_text),
        ]
        self._parts = PartGroup("gateway", parts)
        self._has_gauges = False

    def start(self) -> None:
        """Start every part; accept callers last."""
        self._started_s = time.monotonic()
        self._parts.start()
        self._server.start()
        _log.bind(zone=self._file.gateway.zone, listen=self._file.gateway.listen).info(
            "Started."
        )

    def close(self) -> None:
        """Stop gracefully, callers first, then what is carried for other instances."""
        end_s = time.monotonic() + self._grace_s
        self._paths.begin_stop(end_s)
        self._server.close()
        self._paths.finish_carrying(end_s)
        try:
            self._parts.close()
        finally:
            self._pool.close()

    def apply(self, file: GatewayFile) -> None:
        """Apply changed settings; changed addresses need a restart."""
        self._file = file
        self._retries.apply_settings(file.retries)
        _log.bind(source=file.source).info("Settings reloaded.")

    def _build_server(self) -> GatewayServer:
        gateway = self._file.gateway
        placer = Placer(
            self._directory,
            self._index,
            gateway.zone,
            self._targets,
            work=self._work,
            reuse_window_s=self._file.prompts.reuse_window_s,
            replaced_weights_grace=ReplacedWeightsGrace(
                self._file.rollout.replaced_weights_grace_s,
                operator_pace(self._file.feeds).stale_after_s,
            ),
            limits=self._limits,
        )
        handler = RequestHandler(
            HandlerParts(
                self._live,
                self._adapter.dialect(),
                placer,
                self._directory,
                self._work,
                self._pool,
                self._retries,
                self._metrics,
                self._orders,
                self._quarantine,
                self._quotas,
                self._limits,
                self._origins,
                self._targets,
            )
        )
        return GatewayServer(
            gateway.listen,
            handler,
            self._read_limits,
            self._grace_s,
            ConnectionAdmission(LoopIdleness(), gateway.max_descriptors),
            self._caller_buffers.budget,
        )

    @property
    def _grace_s(self) -> float:
        """How long requests under way may take after a stop was requested."""
        return max(1.0, self._file.gateway.grace_s - SHUTDOWN_MARGIN_S)

    def _build_quarantine(self) -> Quarantine:
        return Quarantine(
            QuarantineParts(
                self._bus.name,
                RendezvousOrder(lambda: self._bus.records),
                self._datagrams,
                BusNoticeChannel(self._bus, self._datagrams),
                self._log_service,
                probe=self._paths.probe_liveness,
                find_upstream=self._run_upstream,
                count_instances=lambda: len(self._bus.records),
            )
        )

    def _run_upstream(self, incarnation_id: str) -> RunUpstream | None:
        """Return a listed upstream, for the quarantine."""
        status = self._directory.status(incarnation_id)
        if status is None:
            return None
        address = status.upstream.address
        return RunUpstream(incarnation_id, address, status.is_leaving)

    def _build_shard_owners(self) -> ShardOwners:
        tolerance = self._file.quotas
        return ShardOwners(
            QuotaParts(
                self._bus.name,
                lambda: self._bus.records,
                self._datagrams,
                lambda: self._live.current,
                QuotaTolerance(tolerance.window_s, tolerance.over, tolerance.slack),
                lambda: self._instances.copy.synced_s is not None,
                limits=self._announced_limits,
                retries=self._file.retries,
                is_first_start=self._file.peers.is_first_start,
            )
        )

    def _build_rollouts(self) -> RolloutCandidate:
        return RolloutCandidate(
            RolloutParts(
                self._file.rollout,
                self._log_service,
                self._lease_rank,
                self._targets,
                self._live,
                self._directory,
                self._orders,
                self._bus,
                lambda engines: self._work.running_on(engines, ROLLOUT_LOAD_MAX_AGE_S),
                self._path,
            )
        )

    def _lease_rank(self) -> int | None:
        """Return this instance's rank among those that may hold the rollout lease."""
        view = self._bus.view()
        if not self._are_peers_known() or not view.is_coordinator:
            return None
        if self._path.is_lost:
            return None
        return view.position

    def _build_work(self) -> FleetSizeSwitch:
        """Build the source of in-flight work of all instances, for any fleet size."""
        self._tracker_client = TrackerClient(
            self._bus.name,
            RendezvousOrder(lambda: self._bus.records),
            self._datagrams,
            self._tracker,
            unresponsive=self._shard_owners.calls.unresponsive,
        )
        return FleetSizeSwitch(
            lambda: self._bus.view().is_full_mesh,
            BroadcastWork(self._directory, self._index, self._loads.on_upstream),
            self._load_tracked_work,
        )

    def _load_tracked_work(self) -> "TrackedWork":
        """Build what asks trackers, once the fleet is large."""
        from kumquatseam.trackers.tracked_work import TrackedWork

        return TrackedWork(
            self._tracker_client,
            self._directory,
            self._bus.name,
            note_load=lambda load: self._limits.note_tracked(
                load.holder, load.limit, load.used_up_ms / 1000.0, load.brittle
            ),
        )

    def _build_cache_feeds(self) -> CacheFeeds:
        return CacheFeeds(
            self._cache_client,
            self._index,
            self._bus.name,
            lambda: cache_holders(self._live.current, self._directory),
            self._present_instances,
            lambda: self._index.engine_capacity_tokens * MIN_SENT_PART_SHARE,
            list_tracked=self._tracked_holders,
        )

    def _are_peers_known(self) -> bool:
        """Return whether the list of instances was read, or reading it timed out.

        Without this check each instance would consider itself the only one right
        after its start.
        """
        is_known = self._instances.copy.synced_s is not None
        return (
            is_known or time.monotonic() - self._started_s >= PEER_DISCOVERY_TIMEOUT_S
        )

    def _is_full_mesh_fleet(self) -> bool:
        """Return whether the fleet is known to be a full mesh.

        In a full mesh, each instance broadcasts all its updates to all others.
        """
        return self._are_peers_known() and self._bus.view().is_full_mesh

    def _present_instances(self) -> list[str]:
        """Return the instances in use; none until the list of instances is known.

        Otherwise each instance would poll every engine.
        """
        return self._bus.view().present_names() if self._are_peers_known() else []

    def _tracked_holders(self) -> set[str] | None:
        """Return the engines and stores that this instance alone has to poll.

        ``None`` in a full mesh, where updates are broadcast to all instances.
        """
        if self._bus.view().is_full_mesh:
            return None
        return self._tracker.tracked_holders()

    def _follow_topics(self, registry: InstanceRegistry) -> None:
        adapter = self._adapter
        operators = adapter.operator_listener(self._live, self._targets)
        upstreams = adapter.upstream_listener(self._directory)
        bounds = self._file.feeds
        follow = self._feeds.follow
        follow(adapter.operator_topic, operators, operator_pace(bounds))
        follow(adapter.upstream_topic, upstreams, upstream_pace(bounds))
        follow(SUSPECTS_TOPIC, self._quarantine.suspects, suspects_pace(bounds))
        self._instances = follow(
            INSTANCES_TOPIC, registry, instance_pace(self._file.peers.is_first_start)
        )

    def _is_ready(self) -> bool:
        is_configured = self._live.current is not None and self._quarantine.is_ready
        return is_configured and self._server.is_accepting

    def _read_limits(self) -> RequestLimits:
        table = self._live.current
        return table.limits if table is not None else RequestLimits()

    def _list_services(self) -> list[str]:
        """Return the names of the services in the configuration in force."""
        table = self._live.current
        return [service.name for service in table.services] if table else []

    def _forget_upstream(self, upstream) -> None:
        self._index.forget(upstream.incarnation_id)
        self._limits.forget(upstream.incarnation_id)
        self._pool.drop(upstream.address)
        self._quarantine.note_upstream_gone(
            upstream.incarnation_id, self._is_leaving(upstream)
        )

    def _is_leaving(self, upstream: Upstream) -> bool:
        availability = self._availabilities.of(upstream.incarnation_id)
        return upstream.is_leaving or availability.left_s(Unavailability.LEAVING) > 0

    def _size_index(self, table: RouteTable) -> None:
        for store in table.cache_stores:
            self._index.set_capacity(store.address, store.cache_tokens)
        engines = [s.engine for s in table.services if s.engine is not None]
        if engines:
            smallest = min(engine.cache_tokens for engine in engines)
            self._index.set_engine_capacity(smallest)

    def _metrics_text(self) -> bytes:
        """Return every metric; the gauges are loaded when they are first read."""
        if not self._has_gauges:
            self._add_gauges()
            self._has_gauges = True
        return self._metrics.text()

    def _add_gauges(self) -> None:
        from kumquatseam.gateway._gauges import GaugeParts, add_gauges

        parts = GaugeParts(
            self._live,
            self._directory,
            self._targets,
            self._quarantine,
            self._pool,
            self._server,
            self._log_service,
            self._bus,
            self._datagrams,
            self._tracker_client,
            self._tracker,
            self._shard_owners,
            self._quotas,
            self._limits,
            self._retries,
            self._path,
            self._paths.relays,
            self._origins,
        )
        add_gauges(self._metrics, parts)
        self._metrics.register_gauge("peers_alive", self._loads.count_instances)
