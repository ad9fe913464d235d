"""Control matrix: faults during configuration changes, leases and rollouts.

Three routers share a log and three engines. Two weights versions are rolled
out one after the other while a fault is injected. After the repair all
routers and engines must have the second version.
"""

import contextlib

import attrs
from matrix_world import (
    MODEL,
    Clock,
    FakeEngine,
    FakeEngineClient,
    FaultTrigger,
)
from matrix_world import (
    SETTINGS as INI,
)

from kumquatseam.engines import SERVING, ModelVersion, OrderUnansweredError
from kumquatseam.errors import KumquatseamError
from kumquatseam.fleet import (
    ALIVE,
    ConfigurationFollower,
    EngineReports,
    LiveConfiguration,
    Membership,
    PeerConfigurationSync,
    RouterSummary,
    SnapshotWriter,
    WarmState,
    WeightsRollout,
)
from kumquatseam.fleet._messages import CONTROL_CODEC
from kumquatseam.leases import DutyLease
from kumquatseam.logservice import LogServiceError
from kumquatseam.operators import FleetConsole
from kumquatseam.settings import FleetSettings, parse_settings
from kumquatseam.standins.logservice import InMemoryLogService, LogFaults, LogStore

ROUTERS = ("r0", "r1", "r2")
SETTINGS = FleetSettings()
TICK_S = 0.25
LEASE_S = 3.0
FAULT_S = 5.0
HEAL_S = 16.0
#: failed attempts of an operator after which an outage ends.
OUTAGE_TRIES = 4
#: when the fault is injected: while nothing happens, before or after a change
#: is appended, or while orders are sent to engines.
STEPS = ("idle", "before_apply", "after_apply", "ordering")


class ControlRouter:
    """The control components of one router; a restart creates new ones."""

    def __init__(self, world, name: str):
        self.name = name
        self.log = world.new_log()
        self.live = LiveConfiguration(world.settings.configuration)
        self.follower = ConfigurationFollower(self.log, self.live, 0.0, world.sleep)
        rank = ROUTERS.index(name)
        self.lease = DutyLease(
            self.log, "fleet", name, LEASE_S, lambda: rank, world.clock
        )
        self.rollout = WeightsRollout(
            self.live,
            self.lease,
            FakeEngineClient(world),
            world,
            name,
            world.clock,
        )
        self.snapshots = SnapshotWriter(
            self.log,
            self.lease,
            1.0,
            lambda: WarmState(name, ()),
            world.clock,
        )
        self.membership = Membership(
            name, f"inproc://{name}", int(world.clock.now_s * 4), SETTINGS, world.clock
        )
        self.membership.set_listed({n: f"inproc://{n}" for n in ROUTERS})
        self.peers = PeerConfigurationSync(
            self.live, self.membership, world.clock, world.query
        )
        self.paused_until_s = 0.0
        self.caught_up = False
        self.world = world

    def step(self) -> None:
        with contextlib.suppress(LogServiceError):
            if not self.caught_up:
                self.follower.catch_up()
                self.caught_up = True
            self.follower.follow_once()
        self.lease.step()
        self.rollout.step()
        self.snapshots.step()
        self.heartbeat()
        self.peers.step()

    def heartbeat(self) -> None:
        """Exchange heartbeats with every peer that is running and reachable."""
        self.membership.tick()
        for target in self.membership.targets():
            message = self.membership.heartbeat(self.live.next_offset, RouterSummary())
            self.membership.note_heartbeat_sent(target.name)
            peer = self.world.reachable_router(target.address)
            if peer is not None:
                peer.membership.receive(message)
                reply = peer.membership.heartbeat(
                    peer.live.next_offset, RouterSummary()
                )
                self.membership.receive(reply)


class ControlWorld(EngineReports):
    """Three routers, three engines, an operator, and one log."""

    def __init__(self):
        self.clock = Clock()
        self.sleep = self.clock.sleep
        self.trigger = FaultTrigger()
        self.settings = parse_settings(INI, "matrix")
        self.store = LogStore(clock=self.clock)
        self.logs: list[InMemoryLogService] = []
        self.engines = {n: FakeEngine(n) for n in ("e0", "e1", "e2")}
        self.reported = dict.fromkeys(self.engines, "v1")
        self.delayed_orders: list = []
        self.unreachable: set[str] = set()
        self.operator_log = self.new_log()
        self.routers = {name: ControlRouter(self, name) for name in ROUTERS}
        self.violations: list[str] = []
        self.last_offsets = dict.fromkeys(ROUTERS, 0)
        self.configuration_by_offset: dict[int, object] = {}

    def epoch(self, engine: str) -> str:
        return str(self.engines[engine].epoch)

    def reported_model(self, engine: str, model: str) -> ModelVersion:
        return ModelVersion(model, self.reported[engine])

    def role(self, engine: str) -> str:
        return SERVING

    def new_log(self) -> InMemoryLogService:
        log = InMemoryLogService(self.store, LogFaults(), self.sleep)
        self.logs.append(log)
        return log

    def holder(self) -> ControlRouter:
        held = [r for r in self.routers.values() if r.lease.fence is not None]
        return held[0] if held else self.routers["r0"]

    def reachable_router(self, address: str) -> ControlRouter | None:
        """Return the router at ``address`` if it is running and reachable."""
        router = self.routers[address.removeprefix("inproc://")]
        is_running = self.clock.now_s >= router.paused_until_s
        return router if is_running and router.name not in self.unreachable else None

    def query(self, address: str, message):
        """Return a router's configuration, encoded and decoded as on the wire."""
        router = self.reachable_router(address)
        if router is None:
            return None
        reply = CONTROL_CODEC.encode(router.peers.snapshot())
        return CONTROL_CODEC.decode(reply)

    def run(self, seconds: float) -> None:
        end_s = self.clock.now_s + seconds
        while self.clock.now_s < end_s:
            self.clock.sleep(TICK_S)
            for engine in self.engines.values():
                self.reported[engine.name] = engine.version
            for router in list(self.routers.values()):
                if self.clock.now_s >= router.paused_until_s:
                    router.step()
                self.check()

    def check(self) -> None:
        """Check the invariants that hold at all times."""
        held = [r.name for r in self.routers.values() if r.lease.fence is not None]
        if len(held) > 1:
            self.violations.append(f"two holders of one lease: {held}")
        for router in self.routers.values():
            offset = router.live.next_offset
            if offset < self.last_offsets[router.name]:
                self.violations.append(f"{router.name} reverted to offset {offset}")
            self.last_offsets[router.name] = offset
            known = self.configuration_by_offset.setdefault(offset, router.live.current)
            if offset and known != router.live.current:
                self.violations.append(f"configurations differ at offset {offset}")

    def restart(self, name: str) -> None:
        self.routers[name] = ControlRouter(self, name)
        self.last_offsets[name] = 0

    def apply(self, text: str) -> None:
        """Apply a command, retrying after a failure as an operator does."""
        console = FleetConsole({}, self.operator_log, self.settings.configuration)
        for attempt in range(20):
            if attempt == OUTAGE_TRIES:
                self.heal()
            try:
                if not self._is_applied(console, text):
                    console.apply(text, "op", 0)
                return
            except KumquatseamError:
                self.run(1.0)
        self.violations.append(f"command never accepted: {text}")

    @staticmethod
    def _is_applied(console: FleetConsole, text: str) -> bool:
        version = text.split()[-1]
        return console.read().configuration.model(MODEL).version == version

    def heal(self) -> None:
        self.trigger.remaining = 0
        self.unreachable.clear()
        for log in self.logs:
            log.faults = LogFaults()
            log.deliver_late()
        for engine_name, order in self.delayed_orders:
            engine = self.engines[engine_name]
            if not engine.checks_fences or order.fence >= engine.highest_fence:
                engine.version = order.version
        self.delayed_orders.clear()


def _set_log_faults(world, **faults) -> None:
    for log in world.logs:
        for name, value in faults.items():
            setattr(log.faults, name, value)


def log_down(world):
    _set_log_faults(world, down=True)


def log_down_for_holder(world):
    world.holder().log.faults.down = True


def log_slow(world):
    _set_log_faults(world, slow_s=0.5)


def log_loses_answers(world):
    _set_log_faults(world, lose_answers=1)


def log_loses_appends(world):
    _set_log_faults(world, drop_appends=2)


def log_appends_late(world):
    _set_log_faults(world, late_appends=2)


def log_expires_records(world):
    topics = world.store._topics.values()
    for topic in topics:
        while topic.payloads:
            topic.payloads.popleft()
            topic.appended_s.popleft()
            topic.first_offset += 1


def pause_holder(world):
    world.holder().paused_until_s = world.clock.now_s + LEASE_S + 2.0


def kill_holder(world):
    world.restart(world.holder().name)


def partition_holder(world):
    """Partition the lease holder from its peers and the log."""
    world.unreachable.add(world.holder().name)
    log_down_for_holder(world)


def kill_all(world):
    for name in ROUTERS:
        world.restart(name)


def kill_all_while_log_is_down(world):
    log_down(world)
    kill_all(world)


def engines_crash(world):
    for engine in world.engines.values():
        engine.crash()


def operators_race(world):
    """Append another operator's command; ours, read before it, then conflicts."""
    console = FleetConsole({}, world.new_log(), world.settings.configuration)
    with contextlib.suppress(KumquatseamError):
        name = f"raced{int(world.clock.now_s * 4)}"
        console.apply(f"create priority {name} rank = 9", "racer", 0)


def orders_are_delayed(world):
    """Engines that ignore fencing tokens carry out orders after a long delay."""

    def delay_order(world, name, step):
        order = attrs.make_class("DelayedOrder", ["fence", "version"])(
            world.holder().lease.fence or 0, "v2"
        )
        world.delayed_orders.append((name, order))
        raise OrderUnansweredError(name, "delayed")

    for engine in world.engines.values():
        engine.checks_fences = False
    world.trigger.step, world.trigger.inject_fault, world.trigger.remaining = (
        "order",
        delay_order,
        3,
    )


FAULTS = (
    log_down,
    log_down_for_holder,
    log_slow,
    log_loses_answers,
    log_loses_appends,
    log_appends_late,
    log_expires_records,
    pause_holder,
    kill_holder,
    partition_holder,
    kill_all,
    kill_all_while_log_is_down,
    engines_crash,
    operators_race,
    orders_are_delayed,
)


def cells():
    """Yield the cells: fault, step, number of injections, second fault."""
    for fault in FAULTS:
        for step in STEPS:
            for times in (1, 2):
                yield fault, step, times, None
    for first in FAULTS:
        for second in FAULTS:
            if first is not second:
                yield first, "after_apply", 1, second


def run_cell(fault, step, times, second) -> list[str]:
    """Run one cell and return the violated invariants."""
    world = ControlWorld()
    world.run(2.0)
    _inject(world, fault, step == "idle", times, second)
    if step == "idle":
        world.run(FAULT_S)
        world.heal()
        world.run(1.0)
    _inject(world, fault, step == "before_apply", times, second)
    world.apply(f"load model {MODEL} version v2")
    _inject(world, fault, step == "after_apply", times, second)
    world.run(0.5)
    _inject(world, fault, step == "ordering", times, second)
    world.run(FAULT_S)
    world.apply(f"load model {MODEL} version v3")
    world.run(1.0)
    world.heal()
    world.run(HEAL_S)
    return _check_end(world)


def _inject(world, fault, now: bool, times: int, second) -> None:
    if not now:
        return
    for _ in range(times):
        fault(world)
        if times > 1:
            world.run(1.0)
    if second is not None:
        second(world)


def _check_end(world) -> list[str]:
    """Return all violations, including a fleet that did not converge."""
    violations = list(dict.fromkeys(world.violations))
    offsets = {r.name: r.live.next_offset for r in world.routers.values()}
    if len(set(offsets.values())) != 1:
        violations.append(f"offsets differ: {offsets}")
    for router in world.routers.values():
        version = router.live.current.model(MODEL).version
        if version != "v3":
            violations.append(f"{router.name} has version {version} in force")
        states = {m.name: m.state for m in router.membership.members()}
        if set(states.values()) != {ALIVE}:
            violations.append(f"{router.name} reports its peers as {states}")
    for engine in world.engines.values():
        if engine.version != "v3":
            violations.append(f"{engine.name} runs {engine.version}")
    if sum(r.lease.fence is not None for r in world.routers.values()) != 1:
        violations.append("not exactly one holder of the lease")
    return violations
