"""The gateway's composition root: builds every part and owns their order."""

import abc
import time

from kumquatseam import cachefeeds, feeds
from kumquatseam.admission import RetryBudget
from kumquatseam.cachefeeds import (
    MIN_TOLD_SHARE,
    CacheClient,
    CacheFeeds,
    CacheHolder,
    WarmStart,
)
from kumquatseam.feeds import ReadPace, TopicFeeds, TopicUpdate
from kumquatseam.fleet import DutyLease
from kumquatseam.gateway._dialect import Dialect
from kumquatseam.gateway._handler import HandlerParts, RequestHandler
from kumquatseam.gateway._health import HealthServer, MetricsServer
from kumquatseam.gateway._server import GatewayServer
from kumquatseam.http1 import ConnectionPool, RequestLimits
from kumquatseam.lifecycle import PartGroup
from kumquatseam.logs import part_logger
from kumquatseam.logservice import HttpLogService, KeyedListener
from kumquatseam.loops import StepLoop
from kumquatseam.metrics import GatewayMetrics
from kumquatseam.peers import (
    INSTANCES_TOPIC,
    MESSAGE_KINDS,
    InstanceRecord,
    InstanceRegistry,
    LoadExchange,
    PeerBus,
    Questions,
)
from kumquatseam.placement import Placer
from kumquatseam.prompts import PromptIndex
from kumquatseam.rollouts import (
    NoticeRelay,
    OrderClient,
    RolloutDuty,
    RolloutView,
)
from kumquatseam.routes import LiveRouteTable, RouteTable
from kumquatseam.settings import AdmissionSettings, GatewayFile
from kumquatseam.upstreams import UpstreamDirectory, WeightsTargets

_log = part_logger("gateway")

#: a configuration is to be in force within two seconds. A reader that fails is
#: noticed after the last figure, and reading takes up to the call's timeout.
OPERATOR_PACE = ReadPace(wait_s=0.5, pause_s=0.0, stale_after_s=1.2)
#: upstreams' entries are rewritten by every heartbeat, so waiting would mean a
#: call a heartbeat; an upstream that leaves may get work for two seconds.
UPSTREAM_PACE = ReadPace(wait_s=0.0, pause_s=0.4, stale_after_s=1.1)
#: nothing correct hangs on knowing of a new instance at once.
INSTANCE_PACE = ReadPace(wait_s=0.0, pause_s=2.0, stale_after_s=9.0)
#: what instances tell each other, by name on the wire.
BUS_KINDS = {**MESSAGE_KINDS, "topic": TopicUpdate}
#: what they ask each other.
QUESTION_KINDS = {**feeds.QUESTION_KINDS, **cachefeeds.QUESTION_KINDS}
#: seconds between two looks whether an engine or store has somebody to ask it.
CACHE_CHECK_INTERVAL_S = 0.25
#: how long a start waits for the list of the other instances; while the log is
#: out of reach it goes on without them.
FIND_PEERS_S = 2.0
#: seconds between two sweeps of idle connections.
SWEEP_INTERVAL_S = 1.0
#: seconds between two looks whether a summary of own loads is due.
LOAD_INTERVAL_S = 0.02
#: seconds between two looks at connections to peers.
PEER_CHECK_INTERVAL_S = 0.25
#: seconds between two looks for upstreams that fell silent.
SILENCE_CHECK_INTERVAL_S = 0.1
#: the duty of rolling out weights.
ROLLOUT_DUTY = "weights"
#: share of the fleet's retry budget that is used, to stay clear of its end.
RETRY_MARGIN = 0.8
#: time kept back from the grace for ending the process.
GRACE_MARGIN_S = 0.4


class Adapter(abc.ABC):
    """What a platform brings: its names and formats."""

    #: keyed topic with the operators' records.
    operator_topic: str
    #: keyed topic with the upstreams' entries.
    upstream_topic: str

    @abc.abstractmethod
    def dialect(self) -> Dialect:
        """Return the translation of headers."""

    @abc.abstractmethod
    def operator_listener(
        self, live: LiveRouteTable, targets: WeightsTargets
    ) -> KeyedListener:
        """Return what puts operators' records in force."""

    @abc.abstractmethod
    def order_client(self) -> OrderClient:
        """Return what gives orders to engines."""

    @abc.abstractmethod
    def cache_client(self) -> CacheClient:
        """Return what asks engines and stores what they keep."""

    @abc.abstractmethod
    def upstream_listener(self, directory: UpstreamDirectory) -> KeyedListener:
        """Return what keeps ``directory`` in step with the entries."""


class Gateway:
    """A gateway daemon.

    :param file: its settings.
    :param adapter: the platform it runs on.
    """

    def __init__(self, file: GatewayFile, adapter: Adapter) -> None:
        self._file = file
        self._adapter = adapter
        self._live = LiveRouteTable()
        self._directory = UpstreamDirectory()
        self._index = PromptIndex()
        self._metrics = GatewayMetrics()
        self._started_s = time.monotonic()
        self._budgets: dict[str, RetryBudget] = {}
        self._pool = ConnectionPool(file.gateway.connect_timeout_s)
        self._log_service = HttpLogService(
            f"http://{file.log.address}", file.log.timeout_s
        )
        self._directory.on_gone(self._forget_upstream)
        self._live.on_change(self._size_index)
        self._targets = WeightsTargets()
        self._orders = adapter.order_client()
        self._record = InstanceRecord(
            file.gateway.router_name,
            file.peers.address,
            file.peers.state_address,
            file.gateway.link_mbps,
        )
        self._bus = PeerBus(self._record, BUS_KINDS)
        self._questions = Questions(self._bus, QUESTION_KINDS, file.peers.seeds)
        self._feeds = TopicFeeds(
            self._log_service, self._bus, self._record, self._questions
        )
        registry = InstanceRegistry(self._log_service, self._bus, self._record)
        self._follow_topics(registry)
        self._cache_feeds = self._build_cache_feeds()
        self._loads = LoadExchange(
            self._bus, self._directory, self._index, held_news=self._cache_feeds
        )
        self._server = self._build_server()
        parts = [
            self._log_service,
            self._bus,
            registry,
            self._questions,
            self._feeds,
            self._cache_feeds,
            WarmStart(self._cache_feeds, self._questions, self._bus.name),
            StepLoop(CACHE_CHECK_INTERVAL_S, self._cache_feeds.step),
            StepLoop(LOAD_INTERVAL_S, self._loads.step),
            StepLoop(PEER_CHECK_INTERVAL_S, self._bus.step),
            StepLoop(SILENCE_CHECK_INTERVAL_S, self._directory.sweep),
            self._build_duty(),
            StepLoop(SWEEP_INTERVAL_S, self._pool.sweep),
            *self._health_servers(),
        ]
        self._parts = PartGroup("gateway", parts)
        self._add_gauges()

    def start(self) -> None:
        """Start every part; callers are taken last."""
        self._started_s = time.monotonic()
        self._parts.start()
        self._server.start()
        _log.bind(zone=self._file.gateway.zone, listen=self._file.gateway.listen).info(
            "Started."
        )

    def close(self) -> None:
        """Stop gracefully, callers first."""
        self._server.close()
        try:
            self._parts.close()
        finally:
            self._pool.close()

    def apply(self, file: GatewayFile) -> None:
        """Take in changed settings; addresses need a restart."""
        self._file = file
        self._budgets.clear()
        _log.bind(source=file.source).info("Settings reloaded.")

    def _build_server(self) -> GatewayServer:
        gateway = self._file.gateway
        placer = Placer(
            self._directory,
            self._index,
            gateway.zone,
            self._targets,
            self._loads.on_upstream,
        )
        handler = RequestHandler(
            HandlerParts(
                self._live,
                self._adapter.dialect(),
                placer,
                self._directory,
                self._index,
                self._pool,
                self._retry_budget,
                self._metrics,
                self._orders,
            )
        )
        grace_s = max(1.0, gateway.grace_s - GRACE_MARGIN_S)
        return GatewayServer(gateway.listen, handler, self._read_limits, grace_s)

    def _build_duty(self) -> RolloutDuty:
        view = RolloutView(self._directory, self._targets)
        NoticeRelay(self._bus, view)
        lease = DutyLease(
            self._log_service,
            ROLLOUT_DUTY,
            self._bus.name,
            self._file.rollout.lease_s,
            lambda: self._bus.view().position,
        )
        return RolloutDuty(
            lease,
            self._targets,
            self._live,
            self._directory,
            self._orders,
            self._bus,
            view,
            self._loads.on_upstream,
        )

    def _build_cache_feeds(self) -> CacheFeeds:
        return CacheFeeds(
            self._adapter.cache_client(),
            self._index,
            self._bus.name,
            self._cache_holders,
            self._present_instances,
            lambda: self._index.engine_capacity_tokens * MIN_TOLD_SHARE,
        )

    def _present_instances(self) -> list[str]:
        """Return the instances in use, once it is known who they are.

        Right after a start each would take itself for the only one, and all
        would ask every engine for its list.
        """
        is_known = self._instances.copy.synced_s is not None
        if not is_known and time.monotonic() - self._started_s < FIND_PEERS_S:
            return []
        return self._bus.view().present_names()

    def _cache_holders(self) -> list[CacheHolder]:
        """Return every engine in use and every store."""
        table = self._live.current
        if table is None:
            return []
        stores = [CacheHolder(s.address, s.address) for s in table.cache_stores]
        engines = [
            CacheHolder(
                status.upstream.incarnation_id,
                status.upstream.address,
                status.upstream.upstream_id,
                status.upstream.born_ms,
            )
            for service in table.services
            if service.engine is not None
            for status in self._directory.of_service(service.name)
        ]
        return [*engines, *stores]

    def _follow_topics(self, registry: InstanceRegistry) -> None:
        adapter = self._adapter
        operators = adapter.operator_listener(self._live, self._targets)
        upstreams = adapter.upstream_listener(self._directory)
        self._feeds.follow(adapter.operator_topic, operators, OPERATOR_PACE)
        self._feeds.follow(adapter.upstream_topic, upstreams, UPSTREAM_PACE)
        self._instances = self._feeds.follow(INSTANCES_TOPIC, registry, INSTANCE_PACE)

    def _health_servers(self) -> list:
        gateway = self._file.gateway
        servers: list = [
            HealthServer(gateway.health_listen, gateway.ready_path, self._is_ready)
        ]
        if gateway.metrics_listen:
            servers.append(
                MetricsServer(
                    gateway.metrics_listen, gateway.metrics_path, self._metrics.text
                )
            )
        return servers

    def _is_ready(self) -> bool:
        return self._live.current is not None and not self._server.is_stopping

    def _read_limits(self) -> RequestLimits:
        table = self._live.current
        return table.limits if table is not None else RequestLimits()

    def _retry_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            retries = self._file.retries
            admission = AdmissionSettings(
                retry_budget_ratio=retries.ratio * RETRY_MARGIN,
                retry_budget_slack=int(retries.slack * RETRY_MARGIN),
                retry_window_s=retries.window_s,
            )
            budget = RetryBudget(admission, self._count_instances)
            self._budgets[service] = budget
        return budget

    def _count_instances(self) -> int:
        return self._loads.count_instances()

    def _forget_upstream(self, upstream) -> None:
        self._index.forget(upstream.incarnation_id)
        self._pool.drop(upstream.address)

    def _size_index(self, table: RouteTable) -> None:
        for store in table.cache_stores:
            self._index.set_capacity(store.address, store.cache_tokens)
        engines = [s.engine for s in table.services if s.engine is not None]
        if engines:
            smallest = min(engine.cache_tokens for engine in engines)
            self._index.set_engine_capacity(smallest)

    def _add_gauges(self) -> None:
        metrics, live = self._metrics, self._live
        metrics.gauge(
            "configuration_version", lambda: live.current.version if live.current else 0
        )
        metrics.gauge("upstreams", lambda: len(self._directory.all()))
        metrics.gauge(
            "upstream_list_age_seconds",
            lambda: time.monotonic() - (self._directory.listed_s or 0.0),
        )
        metrics.gauge("peers_alive", self._count_instances)
        metrics.gauge("upstreams_held_out", self._count_held_out)
        metrics.gauge(
            "weights_version",
            lambda: max((named.version for named in self._targets.all()), default=0),
        )
        metrics.gauge("upstreams_on_newest_weights", self._count_on_newest_weights)
        metrics.gauge(
            "retries_in_window",
            lambda: sum(budget.spent for budget in self._budgets.values()),
        )
        metrics.counter("upstream_connections", lambda: self._pool.opened)
        metrics.counter("caller_connections", lambda: self._server.accepted)

    def _count_held_out(self) -> int:
        now_s = time.monotonic()
        return sum(s.held_out_until_s > now_s for s in self._directory.all())

    def _count_on_newest_weights(self) -> int:
        return sum(
            status.version_of(named.model) == named.version
            for named in self._targets.all()
            for status in self._directory.all()
        )
