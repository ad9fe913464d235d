"""The composition root: builds the components of the daemon and orders them.

:func:`build_daemon` is the only place that constructs and connects them.
:class:`PartGroup` starts them in dependency order and closes them in reverse;
errors while closing are raised together as an exception group.
"""

import time
from collections.abc import Iterable, Sequence

from kumquatseam import quarantine, quotas
from kumquatseam.admission.retry_budget import RetryBudget
from kumquatseam.admission.team_limiter import TeamLimiter
from kumquatseam.callers import CallerInterface
from kumquatseam.control import ControlHandler
from kumquatseam.engines import (
    EngineEventSubscriber,
    HttpEngineClient,
    HttpEngineOrderClient,
)
from kumquatseam.fleet import (
    CONTROL_CODEC,
    ConfigurationFollower,
    HeartbeatLoop,
    LiveConfiguration,
    Membership,
    PeerBootstrap,
    PeerConfigurationSync,
    RouterRecords,
    SnapshotWriter,
    WarmStart,
    WarmState,
    WeightsRollout,
    next_incarnation,
    router_addresses,
)
from kumquatseam.idempotency import ClaimLedger
from kumquatseam.instances import (
    LEAVING,
    HttpInstanceList,
    Instance,
    InstanceRegistration,
    InstanceWatcher,
)
from kumquatseam.leases import DutyLease
from kumquatseam.lifecycle import PartGroup
from kumquatseam.logs import part_logger
from kumquatseam.logservice import HttpLogService
from kumquatseam.loops import StepLoop
from kumquatseam.metrics.figures import RequestStatistics
from kumquatseam.operators import QueryAnswerer, QuerySources
from kumquatseam.peers import (
    DatagramLink,
    DatagramSocket,
    InstanceRecord,
    NullDatagramLink,
    RendezvousOrder,
)
from kumquatseam.quarantine import Quarantine, QuarantineParts
from kumquatseam.quarantine.direct import DirectNoticeChannel
from kumquatseam.quarantine.follower import SuspectsFollower
from kumquatseam.quotas import QuotaParts, ShardOwners, UpstreamLimits
from kumquatseam.request_reply import ReplyServer
from kumquatseam.routing import PeerSummaries, Router, build_policy
from kumquatseam.services import HttpServiceClient
from kumquatseam.serving import (
    CompletionServer,
    RefusalLog,
    RunningRequests,
    ServiceServer,
    ServingParts,
)
from kumquatseam.settings import Configuration, DaemonSettings, Settings
from kumquatseam.status import DaemonStatus

_log = part_logger("daemon")

#: interval of the sweeps for engines and peers that stopped sending, in seconds.
SWEEP_INTERVAL_S = 0.5
#: interval of the tasks of the fleet lease's holder, in seconds.
LEASE_STEP_INTERVAL_S = 0.25
FLEET_LEASE = "fleet"
#: largest fleet whose routers notify all others of the limit of a back end.
MAX_NOTIFIED_ROUTERS = 12
#: timeout of an order to an engine, in seconds.
ORDER_TIMEOUT_S = 2.0
#: maximum number of blocks in a warm state (9 bytes each on the wire).
WARM_STATE_BLOCKS = 12_000


def build_daemon(settings: Settings, policy_name: str | None = None) -> PartGroup:
    """Build a daemon from settings.

    :param settings: validated settings.
    :param policy_name: overrides ``[daemon] policy`` when given.
    :returns: the daemon, not yet started.
    """
    return _DaemonBuilder(settings, policy_name).build()


class _DaemonBuilder:
    """Builds the components of one daemon, one concern per method."""

    def __init__(self, settings: Settings, policy_name: str | None) -> None:
        self._settings = settings
        daemon = settings.daemon
        self._live = LiveConfiguration(settings.configuration)
        self._router = _build_router(daemon, policy_name, self._live)
        self._figures = RequestStatistics()
        self._refusals = RefusalLog()
        self._running = RunningRequests()
        self._log_service: HttpLogService | None = None
        if settings.log.url:
            self._log_service = HttpLogService(settings.log.url, settings.log.timeout_s)
        self._instances: HttpInstanceList | None = None
        if settings.instances.url:
            self._instances = HttpInstanceList(settings.instances.url)
        self._membership: Membership | None = None
        if settings.fleet.control:
            self._membership = Membership(
                daemon.instance_name,
                settings.fleet.control,
                next_incarnation(),
                settings.fleet,
            )
        self._are_routers_listed = self._instances is None
        self._routers = RouterRecords(daemon.instance_name, self._membership)
        #: parts with which routers protect back ends together.
        self._shared_parts: list = []
        self._link = self._build_link()
        self._quarantine = self._build_quarantine()
        self._limits = self._build_limits()
        self._services = HttpServiceClient(
            daemon.connect_timeout_s, daemon.read_timeout_s, self._limits
        )
        self._heartbeats: HeartbeatLoop | None = None
        self._control: ReplyServer | None = None
        self._claims: ClaimLedger | None = None

    def build(self) -> PartGroup:
        """Return the daemon."""
        engines = self._engine_parts()
        fleet = self._fleet_parts()
        log = self._log_parts()
        daemon = PartGroup(
            "daemon",
            [
                *engines,
                self._services,
                *log,
                *fleet,
                *self._shared_parts,
                self._caller_interface(engines[0]),
                *self._instance_parts(),
            ],
        )
        _log.info(
            "Built name={} policy={} engines={} log={} fleet={}.",
            self._settings.daemon.instance_name,
            self._router.policy_name,
            len(self._live.current.upstreams),
            self._settings.log.url or "none",
            self._settings.fleet.control or "none",
        )
        return daemon

    def _build_link(self) -> DatagramLink:
        """Return the link to the other routers."""
        if self._membership is None:
            return NullDatagramLink()
        kinds = {**quarantine.DATAGRAM_KINDS, **quotas.DATAGRAM_KINDS}
        link = DatagramSocket(self._routers.own_address, kinds)
        self._shared_parts.append(link)
        return link

    def _build_limits(self) -> UpstreamLimits:
        """Return the limits that back ends announce to all routers together."""
        owners = ShardOwners(
            QuotaParts(
                self._settings.daemon.instance_name,
                self._routers.listed,
                self._link,
                are_instances_known=lambda: self._are_routers_listed,
            )
        )
        return UpstreamLimits(owners, notified=self._notified_routers)

    def _notified_routers(self) -> Sequence[InstanceRecord]:
        """Return the routers to notify of a limit: all others, while they are few."""
        routers = self._routers.listed()
        return routers if len(routers) <= MAX_NOTIFIED_ROUTERS else ()

    def _build_quarantine(self) -> Quarantine:
        """Return the quarantine, which protects back ends from crashing requests."""
        log = self._log_service
        built = Quarantine(
            QuarantineParts(
                self._settings.daemon.instance_name,
                RendezvousOrder(self._routers.all),
                self._link,
                DirectNoticeChannel(self._link, self._routers.peer_addresses),
                log,
            )
        )
        if log is not None:
            poll_s = self._settings.log.poll_s
            self._shared_parts.append(SuspectsFollower(log, built.suspects, poll_s))
        self._shared_parts.append(built)
        return built

    def _engine_parts(self) -> list:
        daemon = self._settings.daemon
        admission = self._settings.admission
        subscriber = EngineEventSubscriber(self._router.observe)
        client = HttpEngineClient(
            daemon.connect_timeout_s,
            daemon.read_timeout_s,
            admission.first_byte_timeout_s,
            self._limits,
        )

        def follow(configuration: Configuration) -> None:
            subscriber.set_addresses(u.events_address for u in configuration.upstreams)

        follow(self._live.current)
        self._live.on_change(follow)
        return [client, subscriber, StepLoop(SWEEP_INTERVAL_S, self._router.sweep)]

    def _log_parts(self) -> list:
        if self._log_service is None:
            return []
        settings = self._settings
        self._claims = ClaimLedger(self._log_service)
        follower = ConfigurationFollower(
            self._log_service, self._live, settings.log.poll_s
        )
        name = settings.daemon.instance_name
        membership = self._membership
        lease = DutyLease(
            self._log_service,
            FLEET_LEASE,
            name,
            settings.fleet.lease_s,
            lambda: membership.lease_rank(FLEET_LEASE) if membership else 0,
        )
        orders = HttpEngineOrderClient(ORDER_TIMEOUT_S)
        rollout = WeightsRollout(
            self._live,
            lease,
            orders,
            self._router.fleet,
            name,
        )
        snapshots = SnapshotWriter(
            self._log_service,
            lease,
            settings.log.snapshot_interval_s,
            self._warm_state,
        )
        duty = StepLoop(LEASE_STEP_INTERVAL_S, lease.step, rollout.step, snapshots.step)
        return [self._log_service, follower, self._claims, orders, duty]

    def _fleet_parts(self) -> list:
        parts: list = []
        if self._membership is not None:
            parts += self._peer_parts(self._membership)
        if self._log_service is not None or self._membership is not None:
            parts.append(
                WarmStart(self._log_service, self._membership, self._merge_warm_state)
            )
        return parts

    def _peer_parts(self, membership: Membership) -> list:
        settings = self._settings.fleet
        summaries = PeerSummaries(self._router, settings)
        membership.on_state(summaries.on_peer_state)
        sources = QuerySources(
            membership.name,
            self._live,
            self._router,
            self._running,
            self._refusals,
            membership,
        )
        configuration = PeerConfigurationSync(self._live, membership, time.monotonic)
        handler = ControlHandler(
            self._live,
            membership,
            summaries,
            configuration,
            QueryAnswerer(sources),
            self._warm_state,
        )
        self._heartbeats = HeartbeatLoop(
            membership,
            settings,
            lambda: self._live.next_offset,
            summaries.build_summary,
            handler.on_heartbeat_reply,
        )
        self._control = ReplyServer(settings.control, CONTROL_CODEC, handler.reply)
        parts: list = [self._control]
        if self._instances is not None:
            parts.append(
                PeerBootstrap(
                    self._live, self._instances, configuration, membership.name
                )
            )
        return [
            *parts,
            self._heartbeats,
            StepLoop(SWEEP_INTERVAL_S, summaries.sweep, configuration.step),
        ]

    def _instance_parts(self) -> list:
        settings = self._settings
        if self._instances is None:
            return []
        parts: list = [
            InstanceWatcher(
                self._instances,
                settings.instances.poll_interval_s,
                self._apply_instances,
            )
        ]
        if self._membership is not None:
            listed = Instance(
                name=self._membership.name,
                kind="router",
                address=self._membership.address,
                zone=settings.daemon.zone,
            )
            parts.append(InstanceRegistration(self._instances, listed))
        return parts

    def _caller_interface(self, engines: HttpEngineClient) -> CallerInterface:
        daemon = self._settings.daemon
        admission = self._settings.admission
        parts = ServingParts(
            self._claims,
            TeamLimiter(self._count_routers),
            RetryBudget(admission, self._count_routers),
            admission,
            self._running,
            self._quarantine,
            self._limits,
        )
        status = DaemonStatus(
            self._live,
            self._router,
            self._figures,
            self._count_routers,
            self._control_bytes,
        )
        return CallerInterface(
            daemon,
            self._settings.callers,
            self._live,
            CompletionServer(self._router, engines, parts),
            ServiceServer(self._services, parts),
            self._refusals,
            self._figures,
            status.read,
        )

    def _count_routers(self) -> int:
        return self._membership.count_alive() if self._membership else 1

    def _apply_instances(self, instances: Iterable[Instance]) -> None:
        self._are_routers_listed = True
        leaving = [i.name for i in instances if i.state == LEAVING]
        for name in self._router.fleet.set_leaving(leaving):
            _log.info("Engine {} is leaving; no new requests are sent to it.", name)
        if self._membership is not None:
            self._membership.set_listed(router_addresses(instances))

    def _control_bytes(self) -> int:
        """Return the number of bytes exchanged with peers in both directions."""
        if self._heartbeats is None:
            return 0
        return self._heartbeats.bytes_exchanged + self._control.bytes_exchanged

    def _warm_state(self) -> WarmState:
        name = self._settings.daemon.instance_name
        return WarmState(name, self._router.index.export(WARM_STATE_BLOCKS))

    def _merge_warm_state(self, state: WarmState) -> int:
        now_s = time.monotonic()
        index = self._router.index
        return sum(index.merge(blocks, now_s) for blocks in state.engines)


def _build_router(
    daemon: DaemonSettings, policy_name: str | None, live: LiveConfiguration
) -> Router:
    policy = build_policy(
        policy_name or daemon.policy,
        daemon.block_size_tokens,
        daemon.prefill_ms_per_token,
        daemon.queue_ms_per_request,
    )
    return Router(live, daemon, policy)
